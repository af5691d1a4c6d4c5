//! Whether another daemon answers, judged by the connection to it.
//!
//! A daemon that is frozen, cut off or overloaded keeps its connections open. While requests are
//! outstanding, it is sent a ping, which it answers without waiting for an instance. A daemon that
//! does not answer the ping in time gets no new requests; what it was sent is not given up.

use std::time::Duration;

use persimmon_types::Time;

/// How long nothing may be heard, while requests are outstanding, before a ping is sent.
const PING_DELAY: Duration = Duration::from_millis(100);

/// How long a ping may stay unanswered before the daemon is passed over: several round trips
/// between failure domains, and the processing time of a small host under load.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// First pause before a daemon that did not answer is tried again.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Longest such pause.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How long a daemon that is shutting down is passed over: it exits within this time.
const DRAINING_PERIOD: Duration = Duration::from_secs(10);

/// What is known of one other daemon.
#[derive(Clone, Copy, Debug)]
pub struct LinkHealth {
    outstanding: u32,
    heard_at: Time,
    pinged_at: Option<Time>,
    avoided_until: Time,
    backoff: Duration,
}

impl LinkHealth {
    /// Creates the state of a daemon that has just been connected to.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            outstanding: 0,
            heard_at: now,
            pinged_at: None,
            avoided_until: Time::ZERO,
            backoff: MIN_BACKOFF,
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Time) {
        if self.outstanding == 0 {
            self.heard_at = now;
        }
        self.outstanding += 1;
    }

    /// Records that a request ended without an answer.
    pub fn record_abandoned(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records an answer to a request.
    pub fn record_answer(&mut self, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.record_heard(now);
    }

    /// Records an answer to a ping.
    pub fn record_pong(&mut self, now: Time) {
        self.record_heard(now);
    }

    fn record_heard(&mut self, now: Time) {
        self.heard_at = now;
        self.pinged_at = None;
        self.backoff = MIN_BACKOFF;
    }

    /// Records that a ping was sent.
    pub fn record_ping(&mut self, now: Time) {
        self.pinged_at.get_or_insert(now);
    }

    /// Records that the connection failed, or could not be opened. The pause that follows doubles
    /// with each failure.
    pub fn record_failure(&mut self, now: Time) {
        self.avoided_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.pinged_at = None;
    }

    /// Records that the daemon is shutting down.
    pub fn record_draining(&mut self, now: Time) {
        self.avoided_until = now + DRAINING_PERIOD;
    }

    /// Whether a ping is due.
    #[must_use]
    pub fn needs_ping(&self, now: Time) -> bool {
        self.outstanding > 0 && self.pinged_at.is_none() && now.since(self.heard_at) >= PING_DELAY
    }

    /// Whether the last ping has not been answered in time.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        self.pinged_at.is_some_and(|at| now.since(at) >= PING_TIMEOUT)
    }

    /// Whether new requests may be sent.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        now >= self.avoided_until && !self.is_silent(now)
    }
}
