//! How many connections are opened, in single decisions and under a start of the whole fleet.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use persimmon_place::{Greetings, InUse};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CAP: usize = 80;

#[test]
fn a_daemon_that_has_just_started_greets_one_instance_at_a_time() {
    let greetings = Greetings::new();

    assert_eq!(greetings.at_once(), 1);
}

#[test]
fn more_are_greeted_at_once_while_none_waits() {
    let mut greetings = Greetings::new();

    greetings.answered(27.0, true);

    assert_eq!(greetings.at_once(), Greetings::most_at_once());
}

#[test]
fn a_greeting_that_waited_slows_the_next_ones() {
    let mut greetings = Greetings::new();
    for _ in 0..20 {
        greetings.answered(27.0, true);
    }

    let wait_ms = greetings.answered(227.0, false);

    assert!((190.0..=200.0).contains(&wait_ms), "{wait_ms}");
    assert_eq!(greetings.at_once(), 1);
}

#[test]
fn a_congested_instance_gets_no_second_connection() {
    let in_use = InUse { lent: 1, pinned: 0, opening: 0 };

    assert!(!in_use.may_open(CAP, true));
    assert!(in_use.may_open(CAP, false));
}

#[test]
fn a_connection_that_a_transaction_keeps_does_not_count_as_busy() {
    let in_use = InUse { lent: 2, pinned: 2, opening: 0 };

    assert!(in_use.may_open(CAP, true));
}

#[test]
fn one_daemon_leaves_half_of_the_cap_to_others() {
    let in_use = InUse { lent: CAP / 2, pinned: CAP / 2, opening: 0 };

    assert!(!in_use.may_open(CAP, false));
}

/// All daemons greet all instances at once; every greeting occupies a slot.
const DAEMONS: usize = 120;
const INSTANCES: usize = 24;
const SLOTS: usize = 6;
const GREETING_MS: u64 = 27;

/// Plays the start of a fleet; returns the mean time in which a greeting is answered, and when the
/// last one is, both in milliseconds.
fn play_start(is_paced: bool) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut greetings = vec![Greetings::new(); DAEMONS];
    let mut left: Vec<Vec<usize>> = vec![(0..INSTANCES).collect(); DAEMONS];
    let mut out = vec![0_u32; DAEMONS];
    let mut busy = [0_usize; INSTANCES];
    let mut queues: Vec<VecDeque<(usize, u64)>> = vec![VecDeque::new(); INSTANCES];
    let mut events: BinaryHeap<Reverse<(u64, usize, usize, u64)>> = BinaryHeap::new();
    let (mut now, mut total, mut count) = (0, 0, 0);
    loop {
        for daemon in 0..DAEMONS {
            let limit = if is_paced { greetings[daemon].at_once() } else { INSTANCES as u32 };
            while out[daemon] < limit && !left[daemon].is_empty() {
                let index = rng.random_range(0..left[daemon].len());
                let instance = left[daemon].swap_remove(index);
                out[daemon] += 1;
                if busy[instance] < SLOTS {
                    busy[instance] += 1;
                    events.push(Reverse((now + GREETING_MS, instance, daemon, now)));
                } else {
                    queues[instance].push_back((daemon, now));
                }
            }
        }
        let Some(Reverse((time, instance, daemon, sent))) = events.pop() else {
            return (total / count, now);
        };
        now = time;
        out[daemon] -= 1;
        total += now - sent;
        count += 1;
        greetings[daemon].answered((now - sent) as f64, queues[instance].is_empty());
        match queues[instance].pop_front() {
            Some((next, sent)) => events.push(Reverse((now + GREETING_MS, instance, next, sent))),
            None => busy[instance] -= 1,
        }
    }
}

#[test]
fn at_the_start_of_a_fleet_work_waits_little_behind_greetings() {
    let (unpaced_mean, unpaced_end) = play_start(false);

    let (mean, end) = play_start(true);

    assert!(mean * 3 < unpaced_mean, "{mean} of {unpaced_mean} ms");
    assert!(end < unpaced_end * 2, "the last after {end}, unpaced {unpaced_end} ms");
}
