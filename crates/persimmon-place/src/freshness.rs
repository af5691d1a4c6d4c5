//! Positions of a primary that prove how fresh a copy is.
//!
//! A position that the primary reported while it led covers every commit that was acknowledged
//! before the question was sent. A copy whose log contains the position is therefore no older than
//! the question.
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
        self.kept.back().map_or(Term(0), |s| s.position.term)
    }

    /// The newest sample.
    #[must_use]
    pub fn newest(&self) -> Option<Sample> {
        self.kept.back().copied()
    }

    /// Adds a sample. One of an older term is ignored; one of a newer term replaces all others,
    /// because their positions may name commits that no longer exist.
    pub fn add(&mut self, sample: Sample) {
        let Some(last) = self.kept.back().copied() else {
            self.kept.push_back(sample);
            return;
        };
        if sample.position.term > last.position.term {
            self.kept.clear();
            self.kept.push_back(sample);
            return;
        }
        let is_ordered = sample.position.term == last.position.term
            && sample.position.lsn >= last.position.lsn
            && sample.asked_at >= last.asked_at + SPACING;
        if !is_ordered {
            return;
        }
        self.kept.push_back(sample);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    /// The lowest position that makes a copy fresh enough for a read that arrived at `arrival`.
    #[must_use]
    pub fn floor(&self, arrival: Time, max_age: Duration) -> Option<Position> {
        let oldest = arrival - max_age;
        self.kept.iter().find(|s| s.asked_at >= oldest).map(|s| s.position)
    }

    /// Whether a new sample is due for later reads that may be `max_age` old.
    #[must_use]
    pub fn is_due(&self, now: Time, max_age: Duration) -> bool {
        let every = SAMPLE_EVERY.min(max_age / 2);
        self.newest().is_none_or(|s| now.since(s.asked_at) > every)
    }
}
