//! Which instance runs a statement, under loads that are played without a network.

use std::collections::VecDeque;
use std::time::Duration;

use persimmon_place::{Candidate, Keep, Load, choose};
use persimmon_types::{Lsn, Position, Term, Time};

const FLOOR: Position = Position { term: Term(1), lsn: Lsn(10) };

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn pick(now: Time, loads: &[Load], primary: Option<usize>) -> Option<usize> {
    pick_from(now, loads, primary, 0)
}

fn pick_from(now: Time, loads: &[Load], primary: Option<usize>, start: usize) -> Option<usize> {
    let candidates: Vec<Candidate<'_>> = loads
        .iter()
        .enumerate()
        .map(|(index, load)| Candidate {
            index,
            load,
            is_primary: primary == Some(index),
            is_near: true,
            was_tried: false,
            is_connected: true,
        })
        .collect();
    choose(now, FLOOR, &candidates, start)
}

/// Plays one statement every `gap_ms`; each instance answers after its own time.
fn play(durations_ms: &[u64], gap_ms: u64, statements: u64) -> Vec<u64> {
    play_with(durations_ms, gap_ms, statements, None)
}

fn play_with(
    durations_ms: &[u64],
    gap_ms: u64,
    statements: u64,
    primary: Option<usize>,
) -> Vec<u64> {
    let mut loads = vec![Load::new(); durations_ms.len()];
    let mut served = vec![0; durations_ms.len()];
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    for number in 0..statements {
        let now = number * gap_ms;
        running.retain(|(ends, index)| {
            if *ends > now {
                return true;
            }
            let relative = durations_ms[*index] as f64 / 40.0;
            loads[*index].in_flight -= 1;
            loads[*index].answered(at(now), relative, false);
            false
        });
        let start = (number as usize * 7) % loads.len();
        if let Some(index) = pick_from(at(now), &loads, primary, start) {
            loads[index].in_flight += 1;
            served[index] += 1;
            running.push_back((now + durations_ms[index], index));
        }
    }
    served
}

#[test]
fn equal_instances_share_the_load() {
    let served = play(&[40, 40, 40], 10, 3_000);

    assert!(served.iter().all(|s| (600..=1_400).contains(s)), "{served:?}");
}

#[test]
fn a_slow_instance_gets_little_and_is_not_forgotten() {
    let served = play(&[40, 40, 200], 10, 3_000);

    assert!(served[2] < 600, "{served:?}");
    assert!(served[2] > 10, "{served:?}");
}

#[test]
fn an_instance_that_fails_fast_attracts_no_load() {
    let mut loads = vec![Load::new(), Load::new()];
    for _ in 0..20 {
        loads[0].answered(at(0), 0.05, true);
        loads[1].answered(at(0), 1.0, false);
    }

    assert_eq!(pick(at(1), &loads, None), Some(1));
}

#[test]
fn a_judgement_fades_so_that_a_healed_instance_comes_back() {
    let mut loads = vec![Load::new(), Load::new()];
    for _ in 0..20 {
        loads[0].answered(at(0), 8.0, false);
        loads[1].answered(at(0), 1.2, false);
    }
    loads[1].in_flight = 2;

    assert_eq!(pick(at(1), &loads, None), Some(1));
    assert_eq!(pick(at(20_000), &loads, None), Some(0));
}

#[test]
fn an_unreachable_instance_is_left_alone_for_growing_pauses() {
    let mut load = Load::new();

    load.unreachable(at(0));
    assert!(load.is_avoided(at(399)));
    assert!(!load.is_avoided(at(401)));
    load.unreachable(at(401));
    assert!(load.is_avoided(at(1_100)));
    load.answered(at(1_300), 1.0, false);
    assert!(!load.is_avoided(at(1_301)));
}

#[test]
fn a_copy_that_is_behind_is_passed_over_until_it_shows_the_position() {
    let mut loads = vec![Load::new(), Load::new()];
    loads[0].was_behind(at(0));
    loads[1].in_flight = 3;

    assert_eq!(pick(at(10), &loads, None), Some(1));
    loads[0].has_applied(Position::new(Term(1), Lsn(10)));
    assert_eq!(pick(at(11), &loads, None), Some(0));
}

#[test]
fn equally_loaded_copies_spare_the_primary() {
    let loads = vec![Load::new(), Load::new(), Load::new()];

    assert_ne!(pick(at(0), &loads, Some(0)), Some(0));
}

#[test]
fn copies_take_the_reads_that_the_rules_allow_at_ordinary_load() {
    let served = play_with(&[40, 40, 40], 40, 2_000, Some(0));

    let share = (served[1] + served[2]) as f64 / served.iter().sum::<u64>() as f64;
    assert!(share >= 0.95, "{served:?}");
}

#[test]
fn nothing_is_chosen_if_every_instance_is_avoided() {
    let mut loads = vec![Load::new()];
    loads[0].unreachable(at(0));

    assert_eq!(pick(at(1), &loads, None), None);
}

#[test]
fn idle_connections_of_all_daemons_stay_below_the_cap() {
    for (cap, daemons) in [(71, 15), (140, 21), (84, 122), (296, 126), (1, 3)] {
        let mut keep = Keep::new();
        keep.set_share(cap, Some(daemons));

        assert!(keep.limit(at(0)) * daemons <= cap, "cap {cap}, daemons {daemons}");
    }
}

#[test]
fn a_daemon_that_does_not_know_the_fleet_keeps_nothing() {
    let mut keep = Keep::new();

    keep.set_share(84, None);

    assert_eq!(keep.limit(at(0)), 0);
}

#[test]
fn a_refusal_gives_idle_connections_back_for_some_time() {
    let mut keep = Keep::new();
    keep.set_share(140, Some(15));
    let (before, lingered) = (keep.limit(at(0)), keep.linger(at(0)));

    keep.refused(at(0));

    assert!(keep.limit(at(1)) < before);
    assert!(keep.linger(at(1)) < lingered);
    assert_eq!(keep.limit(at(10_001)), before);
}

#[test]
fn connections_linger_longer_while_none_is_refused() {
    let mut keep = Keep::new();
    for ms in (0..2_000).step_by(200) {
        keep.refused(at(ms));
    }
    let short = keep.linger(at(2_000));

    for ms in (2_000..30_000).step_by(100) {
        keep.linger(at(ms));
    }

    assert!(short < Duration::from_millis(100), "{short:?}");
    assert!(keep.linger(at(30_000)) > Duration::from_secs(1));
}
