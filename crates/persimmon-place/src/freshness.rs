//! Positions of a primary that prove how fresh a copy is.
//!
//! A position that the primary reported while it led covers every commit that was acknowledged
//! before the question was sent. A copy whose log contains the position is therefore no older than
//! the question.
//!
//! An instance may lose the lead between running a statement and reporting its position, which is
//! then that of a copy. A position therefore counts only if it is of a term that was known before the
//! question was sent: an instance that reports it led that term, and no later one had begun.
//!
//! Invariant: all samples kept are of one term, and rise in time and position.

use std::collections::VecDeque;
use std::time::Duration;

use persimmon_types::{Position, Term, Time};

/// Two samples closer together than this serve the same reads.
const SPACING: Duration = Duration::from_millis(50);

/// Samples kept; with [`SPACING`] they span more than the longest staleness in use.
const KEPT: usize = 128;

/// Reads keep samples this close together: a read whose floor is nearly as old as it may be is
/// served by copies that are nearly as far behind. A sample occupies no slot.
const SAMPLE_EVERY: Duration = Duration::from_millis(200);

/// A position that a primary reported while it led.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The position.
    pub position: Position,
    /// When the question was sent; the answer may have come much later.
    pub asked_at: Time,
}

/// The samples of one service.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    kept: VecDeque<Sample>,
    term: Term,
    /// Since when the term is known.
    term_known_at: Time,
}

impl Samples {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest term that was sampled.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The newest sample.
    #[must_use]
    pub fn newest(&self) -> Option<Sample> {
        self.kept.back().copied()
    }

    /// Takes in a position that came with an answer at `now`; returns whether it proves anything.
    ///
    /// The first position of a new term only makes the term known; positions of older terms are
    /// forgotten then, because they may name commits that no longer exist.
    pub fn add(&mut self, now: Time, sample: Sample) -> bool {
        if sample.position.term > self.term {
            self.kept.clear();
            self.term = sample.position.term;
            self.term_known_at = now;
            return false;
        }
        if sample.position.term < self.term || sample.asked_at < self.term_known_at {
            return false;
        }
        self.keep(sample);
        true
    }

    /// Takes in a sample that another daemon has found to prove something.
    pub fn add_proven(&mut self, sample: Sample) {
        if sample.position.term > self.term {
            self.kept.clear();
            self.term = sample.position.term;
            self.term_known_at = sample.asked_at;
        }
        if sample.position.term == self.term {
            self.keep(sample);
        }
    }

    fn keep(&mut self, sample: Sample) {
        let is_ordered = self.kept.back().is_none_or(|last| {
            sample.position.lsn >= last.position.lsn && sample.asked_at >= last.asked_at + SPACING
        });
        if !is_ordered {
            return;
        }
        self.kept.push_back(sample);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    /// The lowest position that covers every commit acknowledged before `since`.
    #[must_use]
    pub fn floor(&self, since: Time) -> Option<Position> {
        self.kept.iter().find(|s| s.asked_at >= since).map(|s| s.position)
    }

    /// Whether a new sample is due for later reads that may be `max_age` old.
    #[must_use]
    pub fn is_due(&self, now: Time, max_age: Duration) -> bool {
        let every = SAMPLE_EVERY.min(max_age / 2);
        self.newest().is_none_or(|s| now.since(s.asked_at) > every)
    }
}
