//! Checks on demand that the active table is the newest, for sessions that it would refuse.
//!
//! Invariants:
//!
//! - A daemon begins at most one check in each [`MIN_CHECK_INTERVAL`], however many sessions request
//!   one.
//! - A session waits for at most [`MAX_CHECK_WAIT`].

use std::time::Duration;

use persimmon_types::Time;
use tokio::sync::watch;

/// The shortest time between the beginnings of two checks: each costs calls to other daemons.
pub(crate) const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long a session waits for a newer table, or for the proof that there is none: a fraction of the
/// two seconds that clients wait for a session.
pub(crate) const MAX_CHECK_WAIT: Duration = Duration::from_millis(500);

/// The requests of sessions on the traffic thread to the control thread, which carries checks out.
#[derive(Debug)]
pub(crate) struct TableChecks {
    /// When the latest session requested a check.
    requested: watch::Sender<Time>,
    /// Changes when a check has ended.
    ended: watch::Sender<()>,
}

impl Default for TableChecks {
    fn default() -> Self {
        Self { requested: watch::Sender::new(Time::ZERO), ended: watch::Sender::new(()) }
    }
}

impl TableChecks {
    /// Requests a check that begins after `now`; the receiver changes when one has ended.
    pub(crate) fn request(&self, now: Time) -> watch::Receiver<()> {
        let ended = self.ended.subscribe();
        self.requested.send_replace(now);
        ended
    }

    /// The requests, for the control thread.
    pub(crate) fn requests(&self) -> watch::Receiver<Time> {
        self.requested.subscribe()
    }

    /// Wakes the sessions that wait, after a check.
    pub(crate) fn record_end(&self) {
        self.ended.send_replace(());
    }
}

/// Whether a check is due for a session that requested it at `requested`, where the table is known to
/// be complete until `complete_until`.
#[must_use]
pub fn is_check_due(now: Time, requested: Time, complete_until: Option<Time>) -> bool {
    let is_waiting = now.since(requested) < MAX_CHECK_WAIT;
    is_waiting && complete_until.is_none_or(|until| until < requested)
}
