//! How many connections a daemon opens to instances, and how many handshakes run concurrently.
//!
//! Handles the simultaneous start of a fleet: every daemon connects to every instance, each
//! handshake occupies a slot, and statements queue behind the handshakes. A waiting statement keeps
//! its connection checked out for longer, which causes more connections to be opened and lengthens
//! the wait further.

use crate::latency::LatencyBaseline;

/// Concurrent handshakes with all instances together, while handshakes do not wait for slots.
const MAX_CONCURRENT: u32 = 3;

/// The same while handshakes wait for slots.
const MAX_CONCURRENT_CONGESTED: u32 = 1;

/// Concurrent handshakes with one instance.
const MAX_CONCURRENT_PER_INSTANCE: usize = 1;

/// Smallest share of an instance's connections to which a daemon is bound.
const MIN_BINDING_SHARE: usize = 8;

/// A handshake that exceeds its baseline by more than this has waited for a slot: a fraction of the
/// wait at which an instance counts as congested.
const CONGESTED_WAIT_MS: f64 = 20.0;

/// Limits concurrent handshakes by how long the last one took.
#[derive(Clone, Copy, Debug)]
pub struct HandshakeLimiter {
    baseline: LatencyBaseline,
    is_congested: bool,
}

impl Default for HandshakeLimiter {
    fn default() -> Self {
        Self::new()
    }
}

impl HandshakeLimiter {
    /// Creates a limiter at its lowest limit, because all daemons may have started together.
    #[must_use]
    pub fn new() -> Self {
        Self { baseline: LatencyBaseline::new(), is_congested: true }
    }

    /// The highest limit of concurrent handshakes with all instances together.
    #[must_use]
    pub fn max_concurrent() -> u32 {
        MAX_CONCURRENT
    }

    /// The current limit of concurrent handshakes with all instances together.
    #[must_use]
    pub fn concurrency(&self) -> u32 {
        if self.is_congested { MAX_CONCURRENT_CONGESTED } else { MAX_CONCURRENT }
    }

    /// Records how long a handshake took, in milliseconds, and whether its instance had spare
    /// capacity.
    ///
    /// Returns the time that it waited for a slot, in milliseconds; negative if it was faster than
    /// the baseline.
    pub fn record_handshake(&mut self, took_ms: f64, has_capacity: bool) -> f64 {
        let wait_ms = took_ms - self.baseline.ms();
        self.is_congested = wait_ms > CONGESTED_WAIT_MS;
        self.baseline.record(took_ms, has_capacity);
        wait_ms
    }
}

/// Numbers of connections of one daemon to one instance, without idle ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionCounts {
    /// Connections checked out by sessions.
    pub checked_out: usize,
    /// Checked-out connections that open transactions pin, including those whose client pauses
    /// between statements.
    pub pinned: usize,
    /// Connections being opened.
    pub opening: usize,
}

impl ConnectionCounts {
    /// Whether no connection is checked out or being opened.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.checked_out + self.opening == 0
    }

    /// Whether one more connection may be opened to an instance.
    ///
    /// On a congested instance, connections beyond twice the daemon's share of the slots only
    /// lengthen the queue, and their handshakes take slots from statements. One daemon uses at most
    /// half of the connection limit, so that it cannot take the connections of all others.
    #[must_use]
    pub fn may_open(&self, limits: ConnectionLimits, is_congested: bool) -> bool {
        let is_within_limit = self.checked_out + self.opening < (limits.max_connections / 2).max(1);
        let busy = self.checked_out.saturating_sub(self.pinned) + self.opening;
        let slot_share = (limits.slots * 2 / limits.sharers.max(1)).max(1);
        self.opening < MAX_CONCURRENT_PER_INSTANCE
            && is_within_limit
            && busy < limits.connection_share()
            && (busy < slot_share || !is_congested)
    }
}

/// What an instance offers to all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections that it accepts.
    pub max_connections: usize,
    /// Statements that it runs concurrently.
    pub slots: usize,
    /// Daemons that share them.
    pub sharers: usize,
}

impl ConnectionLimits {
    /// The connections without an open transaction that one daemon may have.
    ///
    /// Few daemons keep to half of the limit together: after a loss of power, the instance counts
    /// the connections of all daemons for some seconds more, and the other half lets the restarted
    /// daemons connect at once. Where many daemons share the limit, each takes what it needs.
    fn connection_share(&self) -> usize {
        let share = self.max_connections / 2 / self.sharers.max(1);
        if share < MIN_BINDING_SHARE { usize::MAX } else { share }
    }
}
