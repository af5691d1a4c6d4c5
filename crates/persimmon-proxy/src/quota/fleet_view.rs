//! The record of the fleet, shared between the control thread, which reads and writes it, and the
//! traffic thread, which needs it.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use persimmon_workspace::quota::{FleetRecord, FleetSize};
use tokio::sync::Notify;

/// Daemons that are remembered until they are registered.
const MAX_UNREGISTERED: usize = 4_096;

/// Why the record must be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FleetNeed {
    /// Daemons that may not be registered.
    pub(crate) unregistered: HashSet<Arc<str>>,
    /// The size with which every registered daemon has leased, if that raises the record's floor.
    pub(crate) confirmed: Option<u32>,
}

#[derive(Debug, Default)]
struct State {
    record: Option<FleetRecord>,
    /// The largest size that any daemon has told.
    known: FleetSize,
    need: Option<FleetNeed>,
}

/// What this process knows of the record.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    state: Mutex<State>,
    needed: Notify,
}

impl FleetView {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The size of the fleet in the record that was read last, and the index of a daemon.
    pub(crate) fn find(&self, daemon: &str) -> (FleetSize, Option<u32>) {
        let state = self.lock();
        let Some(record) = &state.record else {
            return (FleetSize::default(), None);
        };
        (record.size(), record.index(daemon))
    }

    /// Records a size of the fleet that this process has learned.
    pub(crate) fn learn(&self, size: FleetSize) {
        self.lock().known.merge(size);
    }

    /// The record that replaces `stored`, or the stored one if it has all that is known. A store that
    /// was restored from a copy may have an older record, whose indices daemons may not get again;
    /// `None` if this process does not have the newer one either.
    pub(crate) fn newest(&self, stored: Option<FleetRecord>) -> Option<Option<FleetRecord>> {
        let state = self.lock();
        let has_all = |record: &Option<FleetRecord>| {
            record.as_ref().map_or(0, |r| r.size().registered) >= state.known.registered
        };
        [stored, state.record.clone()].into_iter().find(has_all)
    }

    /// Requests that the record is read, and changed if it lacks something.
    pub(crate) fn request(&self, daemon: Option<Arc<str>>, confirmed: Option<u32>) {
        let mut state = self.lock();
        let need = state.need.get_or_insert_default();
        if need.unregistered.len() < MAX_UNREGISTERED {
            need.unregistered.extend(daemon);
        }
        need.confirmed = confirmed.or(need.confirmed);
        drop(state);
        self.needed.notify_one();
    }

    /// Waits until the record is needed.
    pub(crate) async fn wait(&self) {
        while self.lock().need.is_none() {
            self.needed.notified().await;
        }
    }

    /// What is needed and not in the record that was read last; `None` if that is nothing.
    pub(crate) fn take_need(&self) -> Option<FleetNeed> {
        let mut state = self.lock();
        let mut need = state.need.take()?;
        if let Some(record) = &state.record {
            need.unregistered.retain(|daemon| record.index(daemon).is_none());
            need.confirmed =
                need.confirmed.filter(|_| record.size().floor < record.size().registered);
            if need == FleetNeed::default() {
                return None;
            }
        }
        Some(need)
    }

    /// Sets the record as the store has it.
    pub(crate) fn set(&self, record: FleetRecord) {
        let mut state = self.lock();
        state.known.merge(record.size());
        state.record = Some(record);
    }
}
