//! Instance selection under load simulated without a network, and the idle connection policy.

use std::collections::VecDeque;
use std::time::Duration;

use persimmon_balancing::{Candidate, IdleConnectionPolicy, InstanceLoad, choose_instance};
use persimmon_types::{Lsn, Position, Term, Time};

const MIN_POSITION: Position = Position { term: Term(1), lsn: Lsn(10) };

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn choose_index(now: Time, loads: &[InstanceLoad], primary: Option<usize>) -> Option<usize> {
    choose_index_from(now, loads, primary, 0)
}

fn choose_index_from(
    now: Time,
    loads: &[InstanceLoad],
    primary: Option<usize>,
    start: usize,
) -> Option<usize> {
    let candidates: Vec<Candidate<'_>> = loads
        .iter()
        .enumerate()
        .map(|(index, load)| Candidate {
            index,
            load,
            is_primary: primary == Some(index),
            is_local: true,
            was_tried: false,
            is_connected: true,
            is_for_workspace: false,
        })
        .collect();
    choose_instance(now, MIN_POSITION, &candidates, start)
}

/// Sends one statement every `gap_ms`; each instance answers after its own duration. Returns the
/// number of statements that each instance served.
fn simulate(durations_ms: &[u64], gap_ms: u64, statements: u64) -> Vec<u64> {
    simulate_with_primary(durations_ms, gap_ms, statements, None)
}

fn simulate_with_primary(
    durations_ms: &[u64],
    gap_ms: u64,
    statements: u64,
    primary: Option<usize>,
) -> Vec<u64> {
    let mut loads = vec![InstanceLoad::new(); durations_ms.len()];
    let mut served = vec![0; durations_ms.len()];
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    for number in 0..statements {
        let now = number * gap_ms;
        running.retain(|(ends, index)| {
            if *ends > now {
                return true;
            }
            let relative_latency = durations_ms[*index] as f64 / 40.0;
            loads[*index].in_flight -= 1;
            loads[*index].record_answer(at(now), relative_latency, false);
            false
        });
        let start = (number as usize * 7) % loads.len();
        if let Some(index) = choose_index_from(at(now), &loads, primary, start) {
            loads[index].in_flight += 1;
            served[index] += 1;
            running.push_back((now + durations_ms[index], index));
        }
    }
    served
}

#[test]
fn equal_instances_share_the_load() {
    let served = simulate(&[40, 40, 40], 10, 3_000);

    assert!(served.iter().all(|s| (600..=1_400).contains(s)), "{served:?}");
}

#[test]
fn a_slow_instance_gets_few_statements_but_is_still_tried() {
    let served = simulate(&[40, 40, 200], 10, 3_000);

    assert!(served[2] < 600, "{served:?}");
    assert!(served[2] > 10, "{served:?}");
}

#[test]
fn an_instance_that_fails_fast_attracts_no_load() {
    let mut loads = vec![InstanceLoad::new(), InstanceLoad::new()];
    for _ in 0..20 {
        loads[0].record_answer(at(0), 0.05, true);
        loads[1].record_answer(at(0), 1.0, false);
    }

    assert_eq!(choose_index(at(1), &loads, None), Some(1));
}

#[test]
fn observations_decay_so_that_a_recovered_instance_is_used_again() {
    let mut loads = vec![InstanceLoad::new(), InstanceLoad::new()];
    for _ in 0..20 {
        loads[0].record_answer(at(0), 8.0, false);
        loads[1].record_answer(at(0), 1.2, false);
    }
    loads[1].in_flight = 2;

    assert_eq!(choose_index(at(1), &loads, None), Some(1));
    assert_eq!(choose_index(at(20_000), &loads, None), Some(0));
}

#[test]
fn an_unreachable_instance_is_avoided_for_growing_pauses() {
    let mut load = InstanceLoad::new();

    load.record_unreachable(at(0));
    assert!(load.is_avoided(at(399)));
    assert!(!load.is_avoided(at(401)));
    load.record_unreachable(at(401));
    assert!(load.is_avoided(at(1_100)));
    load.record_answer(at(1_300), 1.0, false);
    assert!(!load.is_avoided(at(1_301)));
}

#[test]
fn a_lagging_replica_is_skipped_until_it_has_applied_the_position() {
    let mut loads = vec![InstanceLoad::new(), InstanceLoad::new()];
    loads[0].record_lagging(at(0));
    loads[1].in_flight = 3;

    assert_eq!(choose_index(at(10), &loads, None), Some(1));
    loads[0].record_applied(Position::new(Term(1), Lsn(10)));
    assert_eq!(choose_index(at(11), &loads, None), Some(0));
}

#[test]
fn equally_loaded_replicas_are_preferred_over_the_primary() {
    let loads = vec![InstanceLoad::new(), InstanceLoad::new(), InstanceLoad::new()];

    assert_ne!(choose_index(at(0), &loads, Some(0)), Some(0));
}

#[test]
fn replicas_take_the_reads_that_freshness_allows_at_normal_load() {
    let served = simulate_with_primary(&[40, 40, 40], 40, 2_000, Some(0));

    let share = (served[1] + served[2]) as f64 / served.iter().sum::<u64>() as f64;
    assert!(share >= 0.95, "{served:?}");
}

#[test]
fn no_instance_is_chosen_if_every_one_is_avoided() {
    let mut loads = vec![InstanceLoad::new()];
    loads[0].record_unreachable(at(0));

    assert_eq!(choose_index(at(1), &loads, None), None);
}

#[test]
fn idle_connections_of_all_daemons_stay_below_the_cap() {
    for (cap, daemons) in [(71, 15), (140, 21), (84, 122), (296, 126), (1, 3)] {
        let mut policy = IdleConnectionPolicy::new();
        policy.set_share(cap, Some(daemons));

        assert!(policy.max_idle(at(0)) * daemons <= cap, "cap {cap}, daemons {daemons}");
    }
}

#[test]
fn no_idle_connection_is_kept_if_the_number_of_daemons_is_unknown() {
    let mut policy = IdleConnectionPolicy::new();

    policy.set_share(84, None);

    assert_eq!(policy.max_idle(at(0)), 0);
}

#[test]
fn a_refusal_lowers_the_idle_limit_and_timeout_for_some_time() {
    let mut policy = IdleConnectionPolicy::new();
    policy.set_share(140, Some(15));
    let (limit_before, timeout_before) = (policy.max_idle(at(0)), policy.idle_timeout(at(0)));

    policy.record_refusal(at(0));

    assert!(policy.max_idle(at(1)) < limit_before);
    assert!(policy.idle_timeout(at(1)) < timeout_before);
    assert_eq!(policy.max_idle(at(10_001)), limit_before);
}

#[test]
fn the_idle_timeout_grows_while_no_connection_is_refused() {
    let mut policy = IdleConnectionPolicy::new();
    for ms in (0..2_000).step_by(200) {
        policy.record_refusal(at(ms));
    }
    let shortest = policy.idle_timeout(at(2_000));

    for ms in (2_000..30_000).step_by(100) {
        policy.idle_timeout(at(ms));
    }

    assert!(shortest < Duration::from_millis(100), "{shortest:?}");
    assert!(policy.idle_timeout(at(30_000)) > Duration::from_secs(1));
}
