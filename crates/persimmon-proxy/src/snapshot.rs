//! The immutable state by which traffic is routed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{Instance, Revision, Role, Table};
use persimmon_types::Time;

/// An instance in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The latest valid entry.
    pub instance: Arc<Instance>,
    /// The store's revision of that entry.
    pub revision: Revision,
    /// How long the entry has been missing while the store answered.
    pub missing_for: Option<Duration>,
    /// From when on the instance receives no new work, if it has announced that it leaves.
    pub drain_deadline: Option<Time>,
}

impl DirectoryEntry {
    /// Whether new statements may be sent to the instance.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        !self.instance.is_draining && self.missing_for.is_none()
    }

    /// Whether the instance announced so long ago that it leaves that it receives no new work, even
    /// if no other one can run it.
    #[must_use]
    pub fn is_past_drain_deadline(&self, now: Time) -> bool {
        self.drain_deadline.is_some_and(|deadline| now >= deadline)
    }
}

/// An immutable snapshot of the table and the directory.
#[derive(Clone, Debug, Default)]
pub struct RoutingSnapshot {
    /// The active table; `None` until one has been received.
    pub table: Option<Arc<Table>>,
    /// Whether the directory has been read.
    pub has_directory: bool,
    /// Instances by service.
    pub services: HashMap<Arc<str>, Vec<DirectoryEntry>>,
}

impl RoutingSnapshot {
    /// The instances of a service.
    #[must_use]
    pub fn instances(&self, service: &str) -> &[DirectoryEntry] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The instance that declares itself primary. Of several, the one with the latest entry: an
    /// instance that failed as primary cannot withdraw its declaration.
    #[must_use]
    pub fn self_declared_primary(&self, service: &str) -> Option<&DirectoryEntry> {
        let primaries = self.instances(service).iter().filter(|e| e.instance.role == Role::Primary);
        primaries.max_by_key(|e| (e.missing_for.is_none(), e.revision))
    }

    /// One instance of a service.
    #[must_use]
    pub fn instance(&self, service: &str, id: &str) -> Option<&DirectoryEntry> {
        self.instances(service).iter().find(|e| &*e.instance.id == id)
    }
}
