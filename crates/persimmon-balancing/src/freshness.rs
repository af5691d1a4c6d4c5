//! Positions of a primary that bound the staleness of reads from replicas.
//!
//! A position that the primary reported while it was primary covers every commit acknowledged
//! before the request was sent. A replica whose log contains the position is therefore at most as
//! stale as the request is old.
//!
//! An instance may lose the primary role between running a statement and reporting its position;
//! the position is then that of a replica. A position therefore counts only if its term was known
//! before the request was sent: the instance that reports it was primary in that term, and no later
//! term had begun.
//!
//! Invariant: all stored samples have the same term, and rise in time and position.

use std::collections::VecDeque;
use std::time::Duration;

use persimmon_types::{Position, Term, Time};

/// Minimum time between two stored samples; closer ones serve the same reads.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// Samples stored; with [`MIN_SPACING`] they span more than the longest staleness in use.
const MAX_SAMPLES: usize = 128;

/// Longest interval between samples while reads need them. If the minimum position of a read is
/// nearly as old as the read allows, replicas that lag by nearly as much can serve the read. A
/// sample occupies no slot.
const MAX_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// A log position that a primary reported while it was primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionSample {
    /// The position.
    pub position: Position,
    /// When the request was sent; the answer may have come much later.
    pub requested_at: Time,
}

/// The position samples of one database group.
#[derive(Clone, Debug, Default)]
pub struct PositionSamples {
    samples: VecDeque<PositionSample>,
    term: Term,
    /// When the term became known.
    term_known_at: Time,
}

impl PositionSamples {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest term seen in a sample, or the default term before the first one.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The newest stored sample.
    #[must_use]
    pub fn newest(&self) -> Option<PositionSample> {
        self.samples.back().copied()
    }

    /// Adds a position from an answer that was received at `now`. Returns whether the position is
    /// valid as a bound for reads.
    ///
    /// The first position of a new term only makes the term known. It also discards the positions
    /// of older terms, because they may refer to commits that no longer exist.
    pub fn add(&mut self, now: Time, sample: PositionSample) -> bool {
        if sample.position.term > self.term {
            self.samples.clear();
            self.term = sample.position.term;
            self.term_known_at = now;
            return false;
        }
        if sample.position.term < self.term || sample.requested_at < self.term_known_at {
            return false;
        }
        self.push(sample);
        true
    }

    /// Adds a sample that another daemon has found valid.
    pub fn add_verified(&mut self, sample: PositionSample) {
        if sample.position.term > self.term {
            self.samples.clear();
            self.term = sample.position.term;
            self.term_known_at = sample.requested_at;
        }
        if sample.position.term == self.term {
            self.push(sample);
        }
    }

    fn push(&mut self, sample: PositionSample) {
        let is_ordered = self.samples.back().is_none_or(|last| {
            sample.position.lsn >= last.position.lsn
                && sample.requested_at >= last.requested_at + MIN_SPACING
        });
        if !is_ordered {
            return;
        }
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The lowest stored position that covers every commit acknowledged before `since`; `None` if
    /// no sample was requested at or after that time.
    #[must_use]
    pub fn min_position(&self, since: Time) -> Option<Position> {
        self.samples.iter().find(|s| s.requested_at >= since).map(|s| s.position)
    }

    /// Whether a new sample is due for coming reads that allow a staleness of `max_age`.
    #[must_use]
    pub fn is_due(&self, now: Time, max_age: Duration) -> bool {
        let interval = MAX_SAMPLE_INTERVAL.min(max_age / 2);
        self.newest().is_none_or(|s| now.since(s.requested_at) > interval)
    }
}
