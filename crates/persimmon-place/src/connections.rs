//! How many idle connections a daemon keeps to one instance.
//!
//! The cap of an instance is shared by all daemons. Each keeps its share of half the cap when idle;
//! the other half is lent to whoever needs it. Where the share is less than one connection, an idle
//! one is closed soon, and so it is for some time after an instance refused a new one.

use std::time::Duration;

use persimmon_types::Time;

/// Idle connections kept at the most.
const MAX_KEPT: usize = 8;

/// How long an instance counts as short of connections after a refusal.
const SCARCE_FOR: Duration = Duration::from_secs(10);

/// Idle connections beyond the number kept are closed after this long.
const SURPLUS_IDLE: Duration = Duration::from_millis(1_500);

/// The same while the instance is short of connections: long enough for the next statement of a
/// busy session, short enough for other daemons.
const SURPLUS_IDLE_SCARCE: Duration = Duration::from_millis(60);

/// How many idle connections to one instance are kept.
#[derive(Clone, Copy, Debug, Default)]
pub struct Keep {
    share: usize,
    refused_at: Option<Time>,
}

impl Keep {
    /// Keeps nothing until the share is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Says how many connections the instance takes, and how many daemons share them.
    pub fn set_share(&mut self, cap: usize, daemons: usize) {
        self.share = (cap / 2 / daemons.max(1)).min(MAX_KEPT);
    }

    /// How many idle connections may be kept.
    #[must_use]
    pub fn limit(&self, now: Time) -> usize {
        if self.was_refused(now) { self.share / 2 } else { self.share }
    }

    /// Whether there are fewer connections than daemons, or the instance has refused one lately.
    #[must_use]
    pub fn is_scarce(&self, now: Time) -> bool {
        self.share == 0 || self.was_refused(now)
    }

    fn was_refused(&self, now: Time) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < SCARCE_FOR)
    }

    /// How long an idle connection beyond the number kept stays open.
    #[must_use]
    pub fn surplus_idle(&self, now: Time) -> Duration {
        if self.is_scarce(now) { SURPLUS_IDLE_SCARCE } else { SURPLUS_IDLE }
    }

    /// Takes in that the instance refused a connection for its cap.
    pub fn refused(&mut self, now: Time) {
        self.refused_at = Some(now);
    }
}
