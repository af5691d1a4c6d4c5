//! Which instances answer this daemon's statements, for peers that ask.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use persimmon_types::Time;

/// An observation older than this says nothing of the present.
const VALID: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    answered_at: Option<Time>,
    failed_at: Option<Time>,
}

/// The latest answer and the latest failure of each instance.
#[derive(Debug, Default)]
pub struct Reach {
    seen: Mutex<HashMap<Arc<str>, Seen>>,
}

impl Reach {
    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that an instance answered.
    pub fn answered(&self, instance: &Arc<str>, now: Time) {
        let mut seen = self.lock();
        if let Some(seen) = seen.get_mut(instance) {
            seen.answered_at = Some(now);
            return;
        }
        seen.entry(Arc::clone(instance)).or_default().answered_at = Some(now);
    }

    /// Takes in that an instance could not be reached, or broke a connection.
    pub fn failed(&self, instance: &Arc<str>, now: Time) {
        self.lock().entry(Arc::clone(instance)).or_default().failed_at = Some(now);
    }

    /// Whether the latest observation was an answer, if there is one that still holds.
    #[must_use]
    pub fn answers(&self, instance: &str, now: Time) -> Option<bool> {
        let seen = self.lock().get(instance).copied()?;
        let is_answered = seen.answered_at > seen.failed_at;
        let latest = seen.answered_at.max(seen.failed_at)?;
        (now.since(latest) <= VALID).then_some(is_answered)
    }

    /// Forgets instances that are not listed.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock().retain(|id, _| is_listed(id));
    }
}
