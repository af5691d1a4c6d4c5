//! How many idle connections a daemon keeps to one instance.
//!
//! The cap of an instance is shared by all daemons. Each keeps its share of half the cap when idle;
//! the other half is lent to whoever needs it. Connections beyond the share linger for a time that
//! follows the instance's refusals.

use std::time::Duration;

use persimmon_types::Time;

/// Idle connections kept at the most.
const MAX_KEPT: usize = 8;

/// How long an instance counts as short of connections after a refusal.
const SCARCE_FOR: Duration = Duration::from_secs(10);

/// Idle connections beyond the number kept are closed after this long, while none is refused.
const LINGER_MAX: Duration = Duration::from_millis(1_500);

/// The least such time: a busy session's next statement still finds the connection.
const LINGER_MIN: Duration = Duration::from_millis(60);

/// How often the time grows while no connection is refused.
const GROW_EVERY: Duration = Duration::from_millis(500);

/// Refusals closer together than this are one signal: they answer the same shortage.
const REFUSALS_TOGETHER: Duration = Duration::from_millis(100);

/// How many idle connections to one instance are kept, and how long the others linger.
#[derive(Clone, Copy, Debug)]
pub struct Keep {
    share: usize,
    linger: Duration,
    changed_at: Time,
    refused_at: Option<Time>,
}

impl Default for Keep {
    fn default() -> Self {
        Self::new()
    }
}

impl Keep {
    /// Keeps nothing until the share is known.
    #[must_use]
    pub fn new() -> Self {
        let linger = LINGER_MIN * 2;
        Self { share: 0, linger, changed_at: Time::ZERO, refused_at: None }
    }

    /// Says how many connections the instance takes, and how many daemons share them, if known.
    pub fn set_share(&mut self, cap: usize, daemons: Option<usize>) {
        self.share = daemons.map_or(0, |d| (cap / 2 / d.max(1)).min(MAX_KEPT));
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

    /// How long an idle connection beyond the number kept stays open. The time halves with a
    /// refusal and grows without one, so that a connection that is dear to open is used again as
    /// long as nobody else wants it.
    pub fn linger(&mut self, now: Time) -> Duration {
        if now.since(self.changed_at) >= GROW_EVERY {
            self.linger = (self.linger * 5 / 4).min(LINGER_MAX);
            self.changed_at = now;
        }
        self.linger
    }

    /// Takes in that the instance refused a connection for its cap.
    pub fn refused(&mut self, now: Time) {
        let is_new = self.refused_at.is_none_or(|at| now.since(at) >= REFUSALS_TOGETHER);
        self.refused_at = Some(now);
        if is_new {
            self.linger = (self.linger / 2).max(LINGER_MIN);
            self.changed_at = now;
        }
    }
}
