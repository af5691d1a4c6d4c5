//! The daemon's timeline events, kept in memory.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use persimmon_types::{Clock, DaemonId, HlcTimestamp, TimelineEvent, TimelineKind};

/// How many events are retained.
const MAX_EVENTS: usize = 4_096;

#[derive(Debug, Default)]
struct Inner {
    stamp: HlcTimestamp,
    events: VecDeque<TimelineEvent>,
}

/// The latest events of this daemon, with hybrid logical timestamps that order them among those of
/// its peers.
#[derive(Debug)]
pub struct Journal {
    daemon: DaemonId,
    inner: Mutex<Inner>,
}

impl Journal {
    /// Creates an empty journal.
    #[must_use]
    pub fn new(daemon: DaemonId) -> Self {
        Self { daemon, inner: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event.
    pub fn record(&self, kind: TimelineKind) {
        tracing::info!(event = %serde_json::to_string(&kind).unwrap_or_default(), "time line");
        let mut inner = self.lock();
        inner.stamp = inner.stamp.next(Clock.wall_ms());
        let event = TimelineEvent { stamp: inner.stamp, daemon: self.daemon.clone(), kind };
        inner.events.push_back(event);
        if inner.events.len() > MAX_EVENTS {
            inner.events.pop_front();
        }
    }

    /// Advances the clock and returns the timestamp to send with a message.
    pub fn send_stamp(&self) -> HlcTimestamp {
        let mut inner = self.lock();
        inner.stamp = inner.stamp.next(Clock.wall_ms());
        inner.stamp
    }

    /// Merges the timestamp of a received message into the clock.
    pub fn receive_stamp(&self, stamp: HlcTimestamp) {
        let mut inner = self.lock();
        inner.stamp = inner.stamp.merge(stamp, Clock.wall_ms());
    }

    /// The retained events, oldest first.
    pub fn events(&self) -> Vec<TimelineEvent> {
        self.lock().events.iter().cloned().collect()
    }
}
