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

fn sample(ms: u64, term: u64, lsn: u64) -> Sample {
    Sample { position: position(term, lsn), asked_at: at(ms) }
}

/// Samples of a term that has been known for long; each answer came 5 ms after its question.
fn samples(entries: &[(u64, u64, u64)]) -> Samples {
    let mut samples = Samples::new();
    samples.add(at(0), sample(0, 1, 1));
    for (ms, term, lsn) in entries {
        samples.add(at(ms + 5), sample(*ms, *term, *lsn));
    }
    samples
}

#[test]
fn the_oldest_sample_inside_the_bound_is_the_floor() {
    let samples = samples(&[(10, 1, 10), (100, 1, 20), (200, 1, 30)]);

    assert_eq!(samples.floor(at(90)), Some(position(1, 20)));
}

#[test]
fn a_sample_asked_before_the_bound_proves_nothing() {
    let samples = samples(&[(10, 1, 10)]);

    assert_eq!(samples.floor(at(11)), None);
}

#[test]
fn a_new_term_forgets_floors_that_may_be_lost() {
    let samples = samples(&[(10, 1, 10), (100, 1, 20), (150, 2, 15)]);

    assert_eq!(samples.term(), Term(2));
    assert_eq!(samples.floor(at(0)), None);
}

#[test]
fn a_position_proves_something_once_its_term_was_known_before_the_question() {
    let mut samples = samples(&[(100, 2, 15)]);

    assert!(!samples.add(at(120), sample(104, 2, 16)), "asked before the term was known");
    assert!(samples.add(at(130), sample(106, 2, 17)));
    assert_eq!(samples.floor(at(0)), Some(position(2, 17)));
}

#[test]
fn a_position_that_came_after_the_lead_was_lost_proves_nothing() {
    let mut samples = samples(&[(10, 1, 10)]);

    // The write ran in term 1; its answer shows what a copy of term 2 has applied.
    let proves = samples.add(at(200), sample(100, 2, 8));

    assert!(!proves);
    assert_eq!(samples.floor(at(90)), None);
}

#[test]
fn an_answer_of_an_older_term_that_comes_late_is_ignored() {
    let mut samples = samples(&[(100, 2, 15)]);

    assert!(!samples.add(at(400), sample(300, 1, 99)));
    assert_eq!(samples.floor(at(0)), None);
}

#[test]
fn an_answer_that_was_overtaken_is_not_kept() {
    let samples = samples(&[(200, 1, 30), (100, 1, 20)]);

    assert_eq!(samples.floor(at(0)), Some(position(1, 30)));
}

#[test]
fn a_sample_that_another_daemon_proved_is_taken_at_once() {
    let mut samples = samples(&[]);

    samples.add_proven(sample(300, 4, 50));

    assert_eq!(samples.floor(at(250)), Some(position(4, 50)));
}

#[test]
fn samples_are_due_while_reads_may_be_old() {
    let samples = samples(&[(10, 1, 10)]);

    assert!(!samples.is_due(at(150), Duration::from_millis(1_500)));
    assert!(samples.is_due(at(250), Duration::from_millis(1_500)));
    assert!(Samples::new().is_due(at(0), Duration::from_millis(1_500)));
}
