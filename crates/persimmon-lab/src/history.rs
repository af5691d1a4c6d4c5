//! The results that clients observed, and their comparison with the data of a group.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// The outcome of one write as reported to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReportedOutcome {
    /// The write was acknowledged.
    Acknowledged,
    /// The write was refused as not run.
    NotRun,
    /// The outcome is indeterminate: the write may have run, or the response was lost.
    MayHaveRun,
}

/// One write.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// When it was sent.
    pub sent: Instant,
    /// When the response arrived.
    pub answered: Instant,
    /// The reported outcome.
    pub outcome: ReportedOutcome,
}

/// A difference between a history and the data of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Violation {
    /// An acknowledged write is missing.
    Lost(String),
    /// A write is stored more than once.
    Doubled(String),
    /// A write that was refused as not run is stored.
    RanDespiteRefusal(String),
    /// A read did not return a write that was acknowledged in its session.
    StaleRead(String),
    /// A stored value was never written.
    Unknown(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// All writes and reads of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    attempts: BTreeMap<String, Attempt>,
    stale_reads: Vec<Violation>,
    reads: u64,
}

impl History {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a write and its reported outcome.
    pub fn record_write(&self, id: &str, sent: Instant, outcome: ReportedOutcome) {
        let attempt = Attempt { sent, answered: Instant::now(), outcome };
        self.lock().attempts.insert(id.to_owned(), attempt);
    }

    /// Records a read of the write `id`, and whether it returned that write, as it must.
    pub fn record_read(&self, id: &str, is_found: bool) {
        let mut inner = self.lock();
        inner.reads += 1;
        if !is_found {
            inner.stale_reads.push(Violation::StaleRead(id.to_owned()));
        }
    }

    /// How many writes had this outcome.
    #[must_use]
    pub fn count(&self, outcome: ReportedOutcome) -> usize {
        self.lock().attempts.values().filter(|a| a.outcome == outcome).count()
    }

    /// How many reads were recorded.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    /// The longest time without an acknowledgement after `since`, counted from `since` and then
    /// between consecutive acknowledgements. `None` if nothing was acknowledged after `since`.
    #[must_use]
    pub fn longest_gap_after(&self, since: Instant) -> Option<Duration> {
        let inner = self.lock();
        let acknowledged =
            inner.attempts.values().filter(|a| a.outcome == ReportedOutcome::Acknowledged);
        // Acknowledgements before `since`, which is the time of the failure, do not count.
        let after = acknowledged.map(|a| a.answered).filter(|at| *at > since);
        let mut times: Vec<Instant> = after.collect();
        times.sort();
        let first = times.first()?;
        let mut longest = first.duration_since(since);
        for pair in times.windows(2) {
            longest = longest.max(pair[1].duration_since(pair[0]));
        }
        Some(longest)
    }

    /// Compares the history with the identifiers of the writes that the group stores at the end.
    #[must_use]
    pub fn check(&self, stored_ids: &[String]) -> Vec<Violation> {
        let inner = self.lock();
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for id in stored_ids {
            *counts.entry(id).or_default() += 1;
        }
        let mut violations = inner.stale_reads.clone();
        for (id, attempt) in &inner.attempts {
            let count = counts.get(id.as_str()).copied().unwrap_or(0);
            match attempt.outcome {
                ReportedOutcome::Acknowledged if count == 0 => {
                    violations.push(Violation::Lost(id.clone()));
                }
                ReportedOutcome::NotRun if count > 0 => {
                    violations.push(Violation::RanDespiteRefusal(id.clone()));
                }
                _ => {}
            }
            if count > 1 {
                violations.push(Violation::Doubled(id.clone()));
            }
        }
        for id in counts.keys().filter(|id| !inner.attempts.contains_key(**id)) {
            violations.push(Violation::Unknown((*id).to_owned()));
        }
        violations
    }
}
