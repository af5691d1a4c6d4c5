//! Which position samples bound the staleness of reads from replicas.

use std::time::Duration;

use persimmon_balancing::{PositionSample, PositionSamples};
use persimmon_types::{Lsn, Position, Term, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn position(term: u64, lsn: u64) -> Position {
    Position::new(Term(term), Lsn(lsn))
}

fn sample(ms: u64, term: u64, lsn: u64) -> PositionSample {
    PositionSample { position: position(term, lsn), requested_at: at(ms) }
}

/// Samples of a term that was known before; each answer came 5 ms after its request.
fn samples(entries: &[(u64, u64, u64)]) -> PositionSamples {
    let mut samples = PositionSamples::new();
    samples.add(at(0), sample(0, 1, 1));
    for (ms, term, lsn) in entries {
        samples.add(at(ms + 5), sample(*ms, *term, *lsn));
    }
    samples
}

#[test]
fn the_oldest_sample_inside_the_bound_is_the_minimum_position() {
    let samples = samples(&[(10, 1, 10), (100, 1, 20), (200, 1, 30)]);

    assert_eq!(samples.min_position(at(90)), Some(position(1, 20)));
}

#[test]
fn a_sample_requested_before_the_bound_is_not_used() {
    let samples = samples(&[(10, 1, 10)]);

    assert_eq!(samples.min_position(at(11)), None);
}

#[test]
fn a_new_term_discards_positions_of_commits_that_may_be_lost() {
    let samples = samples(&[(10, 1, 10), (100, 1, 20), (150, 2, 15)]);

    assert_eq!(samples.term(), Term(2));
    assert_eq!(samples.min_position(at(0)), None);
}

#[test]
fn a_position_is_valid_if_its_term_was_known_before_the_request() {
    let mut samples = samples(&[(100, 2, 15)]);

    assert!(!samples.add(at(120), sample(104, 2, 16)), "requested before the term was known");
    assert!(samples.add(at(130), sample(106, 2, 17)));
    assert_eq!(samples.min_position(at(0)), Some(position(2, 17)));
}

#[test]
fn a_position_reported_after_the_primary_role_was_lost_is_invalid() {
    let mut samples = samples(&[(10, 1, 10)]);

    // The write ran in term 1; its answer reports what a replica of term 2 has applied.
    let is_valid = samples.add(at(200), sample(100, 2, 8));

    assert!(!is_valid);
    assert_eq!(samples.min_position(at(90)), None);
}

#[test]
fn a_late_answer_of_an_older_term_is_ignored() {
    let mut samples = samples(&[(100, 2, 15)]);

    assert!(!samples.add(at(400), sample(300, 1, 99)));
    assert_eq!(samples.min_position(at(0)), None);
}

#[test]
fn an_answer_older_than_the_newest_sample_is_not_stored() {
    let samples = samples(&[(200, 1, 30), (100, 1, 20)]);

    assert_eq!(samples.min_position(at(0)), Some(position(1, 30)));
}

#[test]
fn a_sample_verified_by_another_daemon_is_used_at_once() {
    let mut samples = samples(&[]);

    samples.add_verified(sample(300, 4, 50));

    assert_eq!(samples.min_position(at(250)), Some(position(4, 50)));
}

#[test]
fn a_sample_is_due_once_the_newest_is_older_than_the_interval() {
    let samples = samples(&[(10, 1, 10)]);

    assert!(!samples.is_due(at(150), Duration::from_millis(1_500)));
    assert!(samples.is_due(at(250), Duration::from_millis(1_500)));
    assert!(PositionSamples::new().is_due(at(0), Duration::from_millis(1_500)));
}
