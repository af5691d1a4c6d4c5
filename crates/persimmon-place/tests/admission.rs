//! What a daemon takes for usual, and what it may send in any case.

use persimmon_place::{Admission, Gate, Typical};
use persimmon_types::Time;

const NEVER_LUCKY: f64 = 1.0;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

/// A gate that has seen its instance's queue full for a second.
fn congested_gate(daemons: Option<usize>) -> Gate {
    let mut gate = Gate::new();
    gate.set_share(6, daemons);
    for number in 0..10 {
        gate.sent(at(number * 100), 500.0);
        gate.refused(at(number * 100));
    }
    gate
}

#[test]
fn what_waited_does_not_become_usual() {
    let mut typical = Typical::new();
    for _ in 0..20 {
        typical.observe(28.0, true);
    }

    for _ in 0..200 {
        typical.observe(220.0, false);
    }

    assert!((27.0..30.0).contains(&typical.ms()), "{}", typical.ms());
}

#[test]
fn a_few_answers_are_enough_to_know_a_route() {
    let mut typical = Typical::new();

    for _ in 0..5 {
        typical.observe(9.0, true);
    }

    assert!(typical.ms() < 16.0, "{}", typical.ms());
}

#[test]
fn one_very_long_statement_changes_little() {
    let mut typical = Typical::new();
    for _ in 0..40 {
        typical.observe(28.0, true);
    }

    typical.observe(2_000.0, true);

    assert!(typical.ms() < 32.0, "{}", typical.ms());
}

#[test]
fn a_daemon_keeps_its_share_of_a_congested_instance() {
    let mut gate = congested_gate(Some(60));
    let mut admitted = 0;

    // A statement of 28 ms each 100 ms is four times what sixty daemons can have each.
    for number in 0..200 {
        let now = at(1_000 + number * 100);
        gate.answered(now, 300.0);
        if gate.admit(now, 28.0, 2, NEVER_LUCKY) == Admission::Now {
            gate.sent(now, 28.0);
            admitted += 1;
        }
    }

    // 6 slots, seven tenths of them shared by 60 daemons, are 70 ms a second: 50 statements in 20 s.
    assert!((40..=60).contains(&admitted), "{admitted}");
}

#[test]
fn a_daemon_that_does_not_know_the_fleet_has_no_share() {
    let mut gate = congested_gate(None);
    gate.answered(at(1_000), 300.0);

    let admission = gate.admit(at(1_001), 28.0, 2, NEVER_LUCKY);

    assert!(matches!(admission, Admission::After(_)), "{admission:?}");
}

#[test]
fn a_quiet_daemon_forgets_the_congestion() {
    let mut gate = congested_gate(None);

    let admission = gate.admit(at(30_000), 28.0, 2, NEVER_LUCKY);

    assert_eq!(admission, Admission::Now);
}

#[test]
fn short_work_passes_more_often_than_long_work() {
    let mut gate = Gate::new();
    for number in 0..100 {
        gate.sent(at(number), 28.0);
        gate.answered(at(number), 90.0);
    }
    let mut passed = [0, 0];

    for number in 0..200 {
        let draw = (f64::from(number) * 0.618).fract();
        for (index, cost_ms) in [(0, 9.0), (1, 47.0)] {
            if gate.admit(at(100), cost_ms, 2, draw) == Admission::Now {
                passed[index] += 1;
            }
        }
    }

    assert!(passed[0] > passed[1] * 3, "{passed:?}");
    assert!(passed[1] > 0, "long work starves: {passed:?}");
}
