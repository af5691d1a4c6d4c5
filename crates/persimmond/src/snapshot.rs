//! Publishes immutable routing snapshots from the control thread to all other threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use persimmon_kernel::ControlState;
use persimmon_request::RoutingSnapshot;
use tokio::sync::watch;

/// The current routing snapshot, and a signal that it has changed.
#[derive(Debug)]
pub struct Snapshots {
    current: ArcSwap<RoutingSnapshot>,
    revision: watch::Sender<u64>,
}

impl Default for Snapshots {
    fn default() -> Self {
        Self::new()
    }
}

impl Snapshots {
    /// Starts with an empty snapshot.
    #[must_use]
    pub fn new() -> Self {
        Self { current: ArcSwap::default(), revision: watch::Sender::new(0) }
    }

    /// Returns the current snapshot.
    #[must_use]
    pub fn load(&self) -> Arc<RoutingSnapshot> {
        self.current.load_full()
    }

    /// Returns a receiver that is notified of changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Publishes a new snapshot of the control state.
    pub fn publish(&self, state: &ControlState) {
        let revision = self.current.load().revision + 1;
        self.current.store(Arc::new(RoutingSnapshot::new(state, revision)));
        self.revision.send_replace(revision);
    }
}
