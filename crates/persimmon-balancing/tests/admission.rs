//! Latency baselines, and what admission control lets a daemon send.

use persimmon_balancing::{Admission, AdmissionController, LatencyBaseline};
use persimmon_types::Time;

const HIGHEST_DRAW: f64 = 1.0;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

/// A controller whose instance has rejected work for a second.
fn congested_controller(daemons: Option<usize>) -> AdmissionController {
    let mut controller = AdmissionController::new();
    controller.set_share(6, daemons);
    for step in 0..10 {
        controller.record_sent(at(step * 100), 500.0);
        controller.record_rejection(at(step * 100));
    }
    controller
}

#[test]
fn queueing_wait_does_not_raise_the_baseline() {
    let mut baseline = LatencyBaseline::new();
    for _ in 0..20 {
        baseline.record(28.0, true);
    }

    for _ in 0..200 {
        baseline.record(220.0, false);
    }

    assert!((27.0..30.0).contains(&baseline.ms()), "{}", baseline.ms());
}

#[test]
fn a_few_answers_establish_a_baseline() {
    let mut baseline = LatencyBaseline::new();

    for _ in 0..5 {
        baseline.record(9.0, true);
    }

    assert!(baseline.ms() < 16.0, "{}", baseline.ms());
}

#[test]
fn one_very_long_statement_hardly_raises_the_baseline() {
    let mut baseline = LatencyBaseline::new();
    for _ in 0..40 {
        baseline.record(28.0, true);
    }

    baseline.record(2_000.0, true);

    assert!(baseline.ms() < 32.0, "{}", baseline.ms());
}

#[test]
fn a_daemon_gets_its_share_of_a_congested_instance() {
    let mut controller = congested_controller(Some(60));
    let mut admitted = 0;

    // A statement of 28 ms every 100 ms is four times the share of one of sixty daemons.
    for step in 0..200 {
        let now = at(1_000 + step * 100);
        controller.record_wait(now, 300.0);
        if controller.admit(now, 28.0, 2, 0, HIGHEST_DRAW) == Admission::Admitted {
            controller.record_sent(now, 28.0);
            admitted += 1;
        }
    }

    // Seven tenths of 6 slots, shared by 60 daemons, are 70 ms per second: 50 statements in 20 s.
    assert!((40..=60).contains(&admitted), "{admitted}");
}

#[test]
fn a_daemon_has_no_share_if_the_number_of_daemons_is_unknown() {
    let mut controller = congested_controller(None);
    controller.record_wait(at(1_000), 300.0);

    let admission = controller.admit(at(1_001), 28.0, 2, 0, HIGHEST_DRAW);

    assert!(matches!(admission, Admission::RetryAfter(_)), "{admission:?}");
}

#[test]
fn observed_congestion_decays_without_traffic() {
    let mut controller = congested_controller(None);

    let admission = controller.admit(at(30_000), 28.0, 2, 0, HIGHEST_DRAW);

    assert_eq!(admission, Admission::Admitted);
}

#[test]
fn short_work_is_admitted_more_often_than_long_work() {
    let mut controller = AdmissionController::new();
    for step in 0..100 {
        controller.record_sent(at(step), 28.0);
        controller.record_wait(at(step), 90.0);
    }
    let mut admitted = [0, 0];

    for step in 0..200 {
        let draw = (f64::from(step) * 0.618).fract();
        for (index, cost_ms) in [(0, 9.0), (1, 47.0)] {
            if controller.admit(at(100), cost_ms, 2, 0, draw) == Admission::Admitted {
                admitted[index] += 1;
            }
        }
    }

    assert!(admitted[0] > admitted[1] * 3, "{admitted:?}");
    assert!(admitted[1] > 0, "long work is starved: {admitted:?}");
}

#[test]
fn owner_limits_its_statements_in_flight_while_they_wait() {
    let mut controller = AdmissionController::new();
    controller.set_share(5, Some(5));
    for step in 0..300 {
        controller.record_wait(at(step * 10), 200.0);
    }

    let now = at(3_000);
    let idle = controller.admit(now, 28.0, 2, 0, 0.5);
    let busy = controller.admit(now, 28.0, 2, 4, 0.5);

    assert_eq!(idle, Admission::Admitted);
    assert!(matches!(busy, Admission::RetryAfter(_)), "{busy:?}");
}

#[test]
fn owner_admits_everything_again_soon_after_the_wait_has_ended() {
    let mut controller = AdmissionController::new();
    controller.set_share(5, Some(5));
    for step in 0..300 {
        controller.record_wait(at(step * 10), 200.0);
    }
    for step in 300..500 {
        controller.record_wait(at(step * 10), 1.0);
    }

    let admission = controller.admit(at(5_000), 28.0, 2, 20, HIGHEST_DRAW);

    assert_eq!(admission, Admission::Admitted);
}

#[test]
fn refused_callers_of_an_owner_return_at_different_times() {
    let mut controller = AdmissionController::new();
    controller.set_share(5, Some(5));
    for step in 0..300 {
        controller.record_wait(at(step * 10), 200.0);
    }

    let times: Vec<Admission> =
        [0.1, 0.4, 0.9].map(|draw| controller.admit(at(3_000), 28.0, 2, 30, draw)).to_vec();

    assert!(times.windows(2).all(|pair| pair[0] != pair[1]), "{times:?}");
}
