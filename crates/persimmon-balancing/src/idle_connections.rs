//! How many idle connections a daemon keeps to one instance, and for how long.
//!
//! All daemons share the connection limit of an instance. Each daemon keeps its share of half of
//! the limit as idle connections; the other half is open to daemons that need more. Idle
//! connections beyond the share are closed after a timeout that shortens when the instance refuses
//! connections.

use std::time::Duration;

use persimmon_types::Time;

/// Upper bound of the idle connections kept to one instance.
const MAX_IDLE: usize = 16;

/// How long an instance counts as short of connections after a refusal.
const SCARCITY_PERIOD: Duration = Duration::from_secs(10);

/// Longest idle timeout, reached while no connection is refused.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_millis(1_500);

/// Shortest idle timeout: the next statement of a busy session still finds the connection.
const IDLE_TIMEOUT_MIN: Duration = Duration::from_millis(60);

/// Interval at which the idle timeout grows while no connection is refused.
const GROWTH_INTERVAL: Duration = Duration::from_millis(500);

/// Refusals less than this apart count as one, because they have the same shortage as their cause.
const REFUSAL_MERGE_WINDOW: Duration = Duration::from_millis(100);

/// Policy for idle connections to one instance: how many are kept, and when the others are closed.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnectionPolicy {
    share: usize,
    idle_timeout: Duration,
    changed_at: Time,
    refused_at: Option<Time>,
}

impl Default for IdleConnectionPolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl IdleConnectionPolicy {
    /// Creates a policy that keeps no idle connections until the share is set.
    #[must_use]
    pub fn new() -> Self {
        let idle_timeout = IDLE_TIMEOUT_MIN * 2;
        Self { share: 0, idle_timeout, changed_at: Time::ZERO, refused_at: None }
    }

    /// Sets the share from the instance's connection limit and the number of daemons. If the latter
    /// is unknown (`None`), no idle connection is kept.
    pub fn set_share(&mut self, max_connections: usize, daemons: Option<usize>) {
        self.share = daemons.map_or(0, |d| (max_connections / 2 / d.max(1)).min(MAX_IDLE));
    }

    /// The number of idle connections that are kept without a timeout.
    #[must_use]
    pub fn max_idle(&self, now: Time) -> usize {
        if self.was_refused(now) { self.share / 2 } else { self.share }
    }

    /// Whether this daemon's share is less than one connection or unknown, or the instance has
    /// refused a connection recently.
    #[must_use]
    pub fn is_scarce(&self, now: Time) -> bool {
        self.share == 0 || self.was_refused(now)
    }

    fn was_refused(&self, now: Time) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < SCARCITY_PERIOD)
    }

    /// The time after which an idle connection beyond the limit is closed. It halves with a refusal
    /// and grows without one, so that a connection that is expensive to open is reused as long as
    /// no other daemon needs it.
    pub fn idle_timeout(&mut self, now: Time) -> Duration {
        if now.since(self.changed_at) >= GROWTH_INTERVAL {
            self.idle_timeout = (self.idle_timeout * 5 / 4).min(IDLE_TIMEOUT_MAX);
            self.changed_at = now;
        }
        self.idle_timeout
    }

    /// Records that the instance refused a connection because of its connection limit.
    pub fn record_refusal(&mut self, now: Time) {
        let is_new = self.refused_at.is_none_or(|at| now.since(at) >= REFUSAL_MERGE_WINDOW);
        self.refused_at = Some(now);
        if is_new {
            self.idle_timeout = (self.idle_timeout / 2).max(IDLE_TIMEOUT_MIN);
            self.changed_at = now;
        }
    }
}
