//! How many connections of all workspaces a daemon may have to one instance.

use std::time::Duration;

use persimmon_types::Time;

/// Percentage of an instance's connections that the sharers keep together. The rest stays free: the
/// instance counts the connections of a host that vanished for some seconds more, and the host that
/// replaces it needs its own.
const KEPT_PERCENT: usize = 70;

/// Fraction of a daemon's share, one connection at least, that it never uses: the instance counts a
/// closed connection until it has noticed, and other daemons connect for a moment to find the primary.
const UNUSED_DIVISOR: usize = 10;

/// Handshakes of an owner with one instance that may be under way together. A second one goes on
/// while the first waits for a slot in a long queue.
const MAX_OPENING: usize = 2;

/// How long a daemon that has started keeps to its part of the free connections: the connections of
/// all daemons before a common restart count for 3 s more.
const START_PERIOD: Duration = Duration::from_millis(3_500);

/// Limits of the connections of one daemon to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceLimits {
    /// Connections that are kept; beyond them, one is closed for each that is opened.
    pub keep: usize,
    /// Connections that the daemon may have while transactions and statements occupy those kept.
    pub max: usize,
    /// Connections that may be opened together, each perhaps in place of one whose end the instance
    /// has not noticed yet.
    pub opening: usize,
    /// Statements that the instance runs concurrently.
    pub slots: usize,
    /// Daemons that share the instance.
    pub sharers: usize,
    /// Whether statements wait at the instance for longer than they should.
    pub is_congested: bool,
}

impl WorkspaceLimits {
    /// Creates the limits of one of `sharers` daemons that alone send work to an instance, for a
    /// daemon that started at `started_at`.
    #[must_use]
    pub fn of_owner(
        max_connections: usize,
        slots: usize,
        sharers: usize,
        started_at: Time,
        now: Time,
    ) -> Self {
        let sharers = sharers.max(1);
        let share = max_connections / sharers;
        let unused = (share / UNUSED_DIVISOR).max(1);
        let max = share.saturating_sub(unused).max(1);
        let kept = (max_connections * KEPT_PERCENT + sharers * 50) / (sharers * 100);
        let keep = kept.clamp(1, max);
        let limits = Self {
            keep,
            max,
            opening: unused.min(MAX_OPENING),
            slots,
            sharers,
            is_congested: false,
        };
        if now.since(started_at) >= START_PERIOD {
            return limits;
        }
        let free = (max_connections.saturating_sub(keep * sharers) / sharers).max(1);
        Self { keep: free.min(keep), max: free.min(max), ..limits }
    }

    /// Creates the limits of a daemon that is one of many, which keeps `max_idle` connections and
    /// has at most half of the limit.
    #[must_use]
    pub fn of_many(
        max_connections: usize,
        slots: usize,
        sharers: Option<usize>,
        max_idle: usize,
    ) -> Self {
        let max = (max_connections / 2).max(1);
        Self {
            keep: max_idle.clamp(1, max),
            max,
            opening: 1,
            slots,
            // An unknown number may be large, so that the share is the lowest.
            sharers: sharers.unwrap_or(usize::MAX).max(1),
            is_congested: false,
        }
    }

    /// Sets whether the instance is congested.
    #[must_use]
    pub fn with_congestion(mut self, is_congested: bool) -> Self {
        self.is_congested = is_congested;
        self
    }

    /// Keeps to the present connections: the instance has just refused one.
    #[must_use]
    pub fn without_growth(mut self) -> Self {
        self.keep = 0;
        self
    }

    /// Connections beyond which only a workspace that has none may open one.
    pub(crate) fn reserve_begin(&self) -> usize {
        self.keep + self.max.saturating_sub(self.keep) / 2
    }
}
