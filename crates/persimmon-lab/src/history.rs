//! What callers saw, and whether it agrees with what a group holds.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// What a caller was told of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Told {
    /// It was acknowledged.
    Acknowledged,
    /// It was refused as not run.
    NotRun,
    /// It was refused as perhaps run, or the answer was lost.
    MayHaveRun,
}

/// One write.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// When it was sent.
    pub sent: Instant,
    /// When the answer came.
    pub answered: Instant,
    /// The answer.
    pub told: Told,
}

/// How a history disagrees with what a group holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Violation {
    /// An acknowledged write is not there.
    Lost(String),
    /// A write is there more than once.
    Doubled(String),
    /// A write that was refused as not run is there.
    RanDespiteRefusal(String),
    /// A read did not show a write that its session had been acknowledged.
    StaleRead(String),
    /// A value is there that nobody wrote.
    Unknown(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Every write and read of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    attempts: BTreeMap<String, Attempt>,
    stale: Vec<Violation>,
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

    /// Notes a write and what its caller was told.
    pub fn wrote(&self, id: &str, sent: Instant, told: Told) {
        let attempt = Attempt { sent, answered: Instant::now(), told };
        self.lock().attempts.insert(id.to_owned(), attempt);
    }

    /// Notes a read, and whether it showed the write that it had to.
    pub fn read(&self, id: &str, shown: bool) {
        let mut inner = self.lock();
        inner.reads += 1;
        if !shown {
            inner.stale.push(Violation::StaleRead(id.to_owned()));
        }
    }

    /// How many writes were told so.
    #[must_use]
    pub fn count(&self, told: Told) -> usize {
        self.lock().attempts.values().filter(|a| a.told == told).count()
    }

    /// How many reads were checked.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    /// The longest time between two acknowledgements, and the time from `since` to the first
    /// acknowledgement of a write that was sent after it.
    #[must_use]
    pub fn gap_after(&self, since: Instant) -> Option<Duration> {
        let inner = self.lock();
        let acknowledged = inner.attempts.values().filter(|a| a.told == Told::Acknowledged);
        // A write that was answered before the failure says nothing about the time after it.
        let next = acknowledged.map(|a| a.answered).filter(|at| *at > since);
        let mut answers: Vec<Instant> = next.collect();
        answers.sort();
        let first = answers.first()?;
        let mut longest = first.duration_since(since);
        for pair in answers.windows(2) {
            longest = longest.max(pair[1].duration_since(pair[0]));
        }
        Some(longest)
    }

    /// Compares what callers were told with the identities that the group holds in the end.
    #[must_use]
    pub fn check(&self, held: &[String]) -> Vec<Violation> {
        let inner = self.lock();
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for id in held {
            *counts.entry(id).or_default() += 1;
        }
        let mut violations = inner.stale.clone();
        for (id, attempt) in &inner.attempts {
            let count = counts.get(id.as_str()).copied().unwrap_or(0);
            match attempt.told {
                Told::Acknowledged if count == 0 => violations.push(Violation::Lost(id.clone())),
                Told::NotRun if count > 0 => {
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
