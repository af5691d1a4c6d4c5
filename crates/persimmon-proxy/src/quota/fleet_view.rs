//! The record of the fleet, shared between the control thread, which reads and writes it, and the
//! traffic thread, which needs it.

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use persimmon_types::Time;
use persimmon_workspace::quota::{Fleet, FleetRecord, RecordChange, later_fleet};
use tokio::sync::Notify;

/// Daemons that are remembered until they are registered.
const MAX_UNREGISTERED: usize = 4_096;

/// Why the record must be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FleetNeed {
    /// Daemons that may not be registered.
    pub(crate) unregistered: HashSet<Arc<str>>,
    /// What this daemon, as the coordinator, wants changed.
    pub(crate) change: RecordChange,
}

#[derive(Debug, Default)]
struct State {
    record: Option<FleetRecord>,
    /// When the call began that returned the record.
    read_at: Option<Time>,
    /// The latest version that any daemon has told.
    known: Arc<Fleet>,
    need: Option<FleetNeed>,
}

/// What this process knows of the record.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    state: Mutex<State>,
    /// How often the record was set.
    reads: AtomicU64,
    needed: Notify,
}

impl FleetView {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The fleet according to the record that was read last, and when that was.
    pub(crate) fn read(&self) -> Option<(Arc<Fleet>, Time)> {
        let state = self.lock();
        Some((Arc::clone(state.record.as_ref()?.fleet()), state.read_at?))
    }

    /// How often the record has been read.
    pub(crate) fn reads(&self) -> u64 {
        self.reads.load(Ordering::Acquire)
    }

    /// The index of a daemon, if it is still registered.
    pub(crate) fn index(&self, daemon: &str) -> Option<u32> {
        let state = self.lock();
        let index = state.record.as_ref()?.index(daemon)?;
        Some(index).filter(|index| state.known.contains(*index))
    }

    /// Records a version of the fleet that this process has learned.
    pub(crate) fn learn(&self, fleet: &Arc<Fleet>) {
        let mut state = self.lock();
        state.known = later_fleet(&state.known, fleet);
    }

    /// The record that replaces `stored`, or the stored one if it has all that is known. A store that
    /// was restored from a copy may have an older record, whose indices daemons may not get again;
    /// `None` if this process does not have the newer one either.
    pub(crate) fn newest(&self, stored: Option<FleetRecord>) -> Option<Option<FleetRecord>> {
        let state = self.lock();
        let has_all = |record: &Option<FleetRecord>| {
            record.as_ref().map_or(0, |r| r.fleet().version) >= state.known.version
        };
        [stored, state.record.clone()].into_iter().find(has_all)
    }

    /// Requests that the record is read, and changed if it lacks something.
    pub(crate) fn request(&self, daemon: Option<Arc<str>>, change: RecordChange) {
        let mut state = self.lock();
        let need = state.need.get_or_insert_default();
        if need.unregistered.len() < MAX_UNREGISTERED {
            need.unregistered.extend(daemon);
        }
        if change != RecordChange::default() {
            need.change = change;
        }
        drop(state);
        self.needed.notify_one();
    }

    /// Waits until the record is needed.
    pub(crate) async fn wait(&self) {
        while self.lock().need.is_none() {
            self.needed.notified().await;
        }
    }

    /// What is needed; `None` if that is nothing.
    pub(crate) fn take_need(&self) -> Option<FleetNeed> {
        let mut state = self.lock();
        let mut need = state.need.take()?;
        let known = Arc::clone(&state.known);
        if let Some(record) = &state.record {
            let is_registered =
                |daemon: &Arc<str>| record.index(daemon).is_some_and(|index| known.contains(index));
            need.unregistered.retain(|daemon| !is_registered(daemon));
        }
        Some(need)
    }

    /// Sets the record as the store has it; the call that returned it began at `read_at`.
    pub(crate) fn set(&self, record: FleetRecord, read_at: Time) {
        let mut state = self.lock();
        state.known = later_fleet(&state.known, record.fleet());
        state.record = Some(record);
        state.read_at = Some(read_at);
        drop(state);
        self.reads.fetch_add(1, Ordering::Release);
    }
}
