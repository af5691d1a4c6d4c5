//! How many idle connections a daemon keeps to one instance.
//!
//! The cap of an instance is shared by daemons that do not know of each other's connections. A
//! refusal is the signal to give idle ones back; the number kept halves with each, and grows by one
//! at a time while connections are opened without a refusal.

use std::time::Duration;

use persimmon_types::Time;

/// Idle connections that are kept in any case while they were used lately.
pub const MIN_KEPT: usize = 1;

/// Idle connections kept at the most.
const MAX_KEPT: usize = 8;

/// How long no refusal must come before one more is kept.
const GROW_EVERY: Duration = Duration::from_secs(5);

/// How many idle connections to one instance are kept.
#[derive(Clone, Copy, Debug)]
pub struct Keep {
    limit: usize,
    changed_at: Time,
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
        Self { limit: 4, changed_at: Time::ZERO }
    }

    /// How many idle connections may be kept.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Takes in that the instance refused a connection for its cap.
    pub fn refused(&mut self, now: Time) {
        self.limit = (self.limit / 2).max(MIN_KEPT);
        self.changed_at = now;
    }

    /// Takes in that a connection was opened.
    pub fn opened(&mut self, now: Time) {
        if now.since(self.changed_at) < GROW_EVERY {
            return;
        }
        self.limit = (self.limit + 1).min(MAX_KEPT);
        self.changed_at = now;
    }
}
