//! The stored object of a group's promotion lock.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The holder of a group's promotion lock, which alone may request promotions of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionLockRecord {
    /// The name of the daemon that holds the lock.
    pub holder: Arc<str>,
    /// Distinguishes two processes of the same name, so that a daemon recognizes its own write.
    pub incarnation: u64,
    /// The fencing token; each acquisition raises it.
    pub token: u64,
    /// Wall-clock time of the holder's latest promotion request, or of the acquisition, in
    /// milliseconds. For some time after it, other daemons do not acquire the lock, so that they
    /// request no promotion meanwhile.
    pub ordered_ms: u64,
}

impl PromotionLockRecord {
    /// Creates the record with which `holder` acquires the lock at the wall-clock millisecond
    /// `now_ms`. `previous` is the stored record; without one the first token is 1.
    #[must_use]
    pub fn acquired(
        previous: Option<&Self>,
        holder: &Arc<str>,
        incarnation: u64,
        now_ms: u64,
    ) -> Self {
        let token = previous.map_or(1, |r| r.token + 1);
        Self { holder: Arc::clone(holder), incarnation, token, ordered_ms: now_ms }
    }

    /// Whether this process wrote the record.
    #[must_use]
    pub fn is_held_by(&self, holder: &str, incarnation: u64) -> bool {
        &*self.holder == holder && self.incarnation == incarnation
    }
}
