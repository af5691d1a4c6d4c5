//! Which instances answer this daemon's statements, for polls by peers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use persimmon_types::Time;

/// Observations older than this are ignored.
const OBSERVATION_VALIDITY: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    answered_at: Option<Time>,
    failed_at: Option<Time>,
}

/// The latest answer and the latest failure of each instance.
#[derive(Debug, Default)]
pub struct Reachability {
    observations: Mutex<HashMap<Arc<str>, Observation>>,
}

impl Reachability {
    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Observation>> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an instance answered.
    pub fn record_answer(&self, instance: &Arc<str>, now: Time) {
        let mut observations = self.lock();
        if let Some(observation) = observations.get_mut(instance) {
            observation.answered_at = Some(now);
            return;
        }
        observations.entry(Arc::clone(instance)).or_default().answered_at = Some(now);
    }

    /// Records that an instance was unreachable or closed a connection unexpectedly.
    pub fn record_failure(&self, instance: &Arc<str>, now: Time) {
        self.lock().entry(Arc::clone(instance)).or_default().failed_at = Some(now);
    }

    /// Whether the latest observation was an answer; `None` if there is no recent one.
    #[must_use]
    pub fn is_answering(&self, instance: &str, now: Time) -> Option<bool> {
        let observation = self.lock().get(instance).copied()?;
        let is_answering = observation.answered_at > observation.failed_at;
        let latest = observation.answered_at.max(observation.failed_at)?;
        (now.since(latest) <= OBSERVATION_VALIDITY).then_some(is_answering)
    }

    /// Removes instances that are not listed.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock().retain(|id, _| is_listed(id));
    }
}
