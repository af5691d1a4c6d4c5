//! The stored object of a group's promotion lock.
//!
//! Invariant: a fencing token contains the store's era in which it was acquired, because a store
//! that is restored from a copy forgets acquisitions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Fencing tokens of one era of the store; more acquisitions of one lock do not happen in an era.
const TOKENS_PER_ERA: u64 = 1 << 20;

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
    /// `now_ms`. `previous` is the stored record, read in the store's era `era`.
    #[must_use]
    pub fn acquired(
        previous: Option<&Self>,
        era: u64,
        holder: &Arc<str>,
        incarnation: u64,
        now_ms: u64,
    ) -> Self {
        // Acquisitions of earlier eras may be missing in the store, whatever it contains.
        let used = previous.map_or(0, |r| r.token).max(era.saturating_mul(TOKENS_PER_ERA));
        let token = used.saturating_add(1);
        Self { holder: Arc::clone(holder), incarnation, token, ordered_ms: now_ms }
    }

    /// The store's era in which the lock was acquired.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.token / TOKENS_PER_ERA
    }

    /// Whether this process wrote the record.
    #[must_use]
    pub fn is_held_by(&self, holder: &str, incarnation: u64) -> bool {
        &*self.holder == holder && self.incarnation == incarnation
    }
}
