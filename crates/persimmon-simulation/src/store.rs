//! A fake of the platform's object store.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_kernel::StoreOutcome;
use persimmon_types::Time;

/// An in-memory store whose writes are conditional on the stored version.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) objects: BTreeMap<Arc<str>, (u64, Arc<str>)>,
    revision: u64,
    pub(crate) down_until: Time,
    pub(crate) slow_until: Time,
    pub(crate) responses_lost_until: Time,
}

impl FakeStore {
    pub(crate) fn read(&self, key: &str) -> StoreOutcome {
        match self.objects.get(key) {
            Some((version, value)) => StoreOutcome::Found(*version, Arc::clone(value)),
            None => StoreOutcome::Missing,
        }
    }

    pub(crate) fn write(&mut self, key: &Arc<str>, expect: u64, value: &Arc<str>) -> StoreOutcome {
        let current = self.objects.get(key).cloned();
        let version = current.as_ref().map_or(0, |(version, _)| *version);
        if version != expect {
            return match current {
                Some((version, value)) => StoreOutcome::Conflict(version, value),
                None => StoreOutcome::Missing,
            };
        }
        self.revision += 1;
        self.objects.insert(Arc::clone(key), (self.revision, Arc::clone(value)));
        StoreOutcome::Written(self.revision)
    }
}
