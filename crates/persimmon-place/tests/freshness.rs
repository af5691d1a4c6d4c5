//! Which samples prove how fresh a copy is.

use std::time::Duration;

use persimmon_place::{Sample, Samples};
use persimmon_types::{Lsn, Position, Term, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn position(term: u64, lsn: u64) -> Position {
    Position::new(Term(term), Lsn(lsn))
}

fn samples(entries: &[(u64, u64, u64)]) -> Samples {
    let mut samples = Samples::new();
    for (ms, term, lsn) in entries {
        samples.add(Sample { position: position(*term, *lsn), asked_at: at(*ms) });
    }
    samples
}

#[test]
fn the_oldest_sample_inside_the_bound_is_the_floor() {
    let samples = samples(&[(0, 1, 10), (100, 1, 20), (200, 1, 30)]);

    let floor = samples.floor(at(1_090), Duration::from_millis(1_000));

    assert_eq!(floor, Some(position(1, 20)));
}

#[test]
fn a_sample_asked_before_the_bound_proves_nothing() {
    let samples = samples(&[(0, 1, 10)]);

    let floor = samples.floor(at(1_001), Duration::from_millis(1_000));

    assert_eq!(floor, None);
}

#[test]
fn a_new_term_replaces_floors_that_may_be_lost() {
    let samples = samples(&[(0, 1, 10), (100, 1, 20), (150, 2, 15)]);

    let floor = samples.floor(at(160), Duration::from_secs(5));

    assert_eq!(floor, Some(position(2, 15)));
}

#[test]
fn an_answer_of_an_older_term_that_comes_late_is_ignored() {
    let samples = samples(&[(0, 2, 15), (100, 1, 99)]);

    assert_eq!(samples.newest().map(|s| s.position), Some(position(2, 15)));
}

#[test]
fn an_answer_that_was_overtaken_is_ignored() {
    let samples = samples(&[(200, 1, 30), (100, 1, 20)]);

    assert_eq!(samples.floor(at(300), Duration::from_secs(1)), Some(position(1, 30)));
}

#[test]
fn reads_that_may_be_old_are_kept_in_samples() {
    let samples = samples(&[(0, 1, 10)]);

    assert!(!samples.is_due(at(150), Duration::from_millis(1_500)));
    assert!(samples.is_due(at(250), Duration::from_millis(1_500)));
    assert!(Samples::new().is_due(at(0), Duration::from_millis(1_500)));
}
