//! The object that names who holds the duty for a service.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Who may order promotions of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// The daemon's name.
    pub holder: Arc<str>,
    /// Tells two processes of one name apart, so that a daemon recognises its own write.
    pub incarnation: u64,
    /// The fencing token; each claim raises it.
    pub token: u64,
    /// The wall-clock millisecond of the latest order, so that others do not order meanwhile.
    pub ordered_ms: u64,
}

impl DutyRecord {
    /// The record after a claim.
    #[must_use]
    pub fn claimed(before: Option<&Self>, holder: &Arc<str>, incarnation: u64, now: u64) -> Self {
        let token = before.map_or(1, |r| r.token + 1);
        Self { holder: Arc::clone(holder), incarnation, token, ordered_ms: now }
    }

    /// Whether this process wrote the record.
    #[must_use]
    pub fn is_of(&self, holder: &str, incarnation: u64) -> bool {
        &*self.holder == holder && self.incarnation == incarnation
    }
}
