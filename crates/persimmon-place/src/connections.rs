//! How many idle connections a daemon keeps to one instance.
//!
//! The cap of an instance is shared by daemons that do not know of each other's connections. A
//! refusal is the signal to give idle ones back; the number kept halves with each, and grows by one
//! at a time while connections are opened without a refusal.

use std::time::Duration;

use persimmon_types::Time;

/// Idle connections kept at the most.
const MAX_KEPT: usize = 8;

/// How long no refusal must come before one more is kept.
const GROW_EVERY: Duration = Duration::from_secs(5);

/// How long an instance counts as short of connections after a refusal.
const SCARCE_FOR: Duration = Duration::from_secs(10);

/// Idle connections beyond the number kept are closed after this long.
const SURPLUS_IDLE: Duration = Duration::from_millis(1_500);

/// The same while the instance is short of connections: long enough for the next statement of a
/// busy session, short enough for other daemons.
const SURPLUS_IDLE_SCARCE: Duration = Duration::from_millis(60);

/// How many idle connections to one instance are kept.
#[derive(Clone, Copy, Debug)]
pub struct Keep {
    limit: usize,
    changed_at: Time,
    refused_at: Option<Time>,
}

impl Default for Keep {
    fn default() -> Self {
        Self::new()
    }
}

impl Keep {
    /// Begins with a moderate number.
    #[must_use]
    pub fn new() -> Self {
        Self { limit: 4, changed_at: Time::ZERO, refused_at: None }
    }

    /// How many idle connections may be kept.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether the instance has refused a connection for its cap lately.
    #[must_use]
    pub fn is_scarce(&self, now: Time) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < SCARCE_FOR)
    }

    /// How long an idle connection beyond the number kept stays open.
    #[must_use]
    pub fn surplus_idle(&self, now: Time) -> Duration {
        if self.is_scarce(now) { SURPLUS_IDLE_SCARCE } else { SURPLUS_IDLE }
    }

    /// Takes in that the instance refused a connection for its cap.
    pub fn refused(&mut self, now: Time) {
        self.limit /= 2;
        self.changed_at = now;
        self.refused_at = Some(now);
    }

    /// Takes in that a connection was opened.
    pub fn opened(&mut self, now: Time) {
        if self.is_scarce(now) || now.since(self.changed_at) < GROW_EVERY {
            return;
        }
        self.limit = (self.limit + 1).min(MAX_KEPT);
        self.changed_at = now;
    }
}
