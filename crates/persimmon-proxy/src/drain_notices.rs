//! When instances announced that they leave, as far as a daemon and its peers know.
//!
//! Invariant: the time that is kept of a notice only becomes earlier. It is not later than
//! that at which the store accepted it, as long as the directory is as current as it is meant to be.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::Instance;
use persimmon_types::Time;

/// That a process of an instance leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainNotice {
    /// The instance's identity.
    pub instance: Arc<str>,
    /// The start time of the process that leaves.
    pub born_ms: u64,
    /// A time before which the store had not accepted the notice.
    pub since: Time,
}

/// The drain notices of all instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainNotices(HashMap<Arc<str>, DrainNotice>);

impl DrainNotices {
    /// Records a notice; returns whether it was unknown, or is earlier than was known.
    pub(crate) fn record(&mut self, notice: DrainNotice) -> bool {
        let is_known = self.known_since(&notice).is_some_and(|since| since <= notice.since);
        if !is_known {
            self.0.insert(Arc::clone(&notice.instance), notice);
        }
        !is_known
    }

    /// The time that is kept for the process that a notice is of.
    pub(crate) fn known_since(&self, notice: &DrainNotice) -> Option<Time> {
        let known = self.0.get(&notice.instance);
        known.filter(|known| known.born_ms == notice.born_ms).map(|known| known.since)
    }

    /// Forgets what an instance announced, which has withdrawn it.
    pub(crate) fn remove(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// When the process of `instance` announced that it leaves.
    pub(crate) fn since(&self, instance: &Instance) -> Option<Time> {
        let known = self.0.get(&instance.id).filter(|known| known.born_ms == instance.born_ms);
        known.map(|known| known.since)
    }

    /// Drops drain_notices older than `max_age`, except those of instances that `is_listed` accepts.
    pub(crate) fn retain(
        &mut self,
        now: Time,
        max_age: Duration,
        is_listed: impl Fn(&DrainNotice) -> bool,
    ) {
        self.0.retain(|_, known| now.since(known.since) < max_age || is_listed(known));
    }

    /// All drain_notices.
    pub(crate) fn all(&self) -> Vec<DrainNotice> {
        self.0.values().cloned().collect()
    }
}
