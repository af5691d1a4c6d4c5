//! The immutable state that traffic threads select instances by.

use std::sync::Arc;

use persimmon_kernel::ControlState;
use persimmon_table::Table;
use persimmon_types::{InstanceId, ServiceId, Term, TermHistory};

/// The active record of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupSnapshot {
    /// The active term, zero if none is known.
    pub term: Term,
    /// The primary of that term, or `None` if the active table does not list it.
    pub primary: Option<InstanceId>,
    /// The log positions at which recent terms began.
    pub term_history: TermHistory,
}

/// The active table and groups of this daemon at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingSnapshot {
    /// Increases with every snapshot.
    pub revision: u64,
    /// The version of the active table.
    pub version: u64,
    /// The active table.
    pub table: Arc<Table>,
    /// The groups, indexed by service.
    pub groups: Vec<GroupSnapshot>,
    /// Whether the daemon has lost contact to the store and to a majority of the daemons, so that
    /// its table may be outdated.
    pub is_isolated: bool,
    /// Whether the daemon is shutting down.
    pub is_draining: bool,
}

impl RoutingSnapshot {
    /// Creates a snapshot of the control thread's state.
    #[must_use]
    pub fn new(state: &ControlState, revision: u64) -> Self {
        let table = Arc::clone(&state.active_table.table);
        let mut groups = Vec::with_capacity(table.services.len());
        for service in &table.services {
            let Some(group) = state.groups.get(&service.name) else {
                groups.push(GroupSnapshot::default());
                continue;
            };
            groups.push(GroupSnapshot {
                term: group.record.term,
                primary: table.instance(&group.record.primary),
                term_history: group.record.starts.clone(),
            });
        }
        Self {
            revision,
            version: state.active_table.version,
            table,
            groups,
            is_isolated: state.is_isolated,
            is_draining: state.is_draining,
        }
    }

    /// The group of a service.
    #[must_use]
    pub fn group(&self, service: ServiceId) -> Option<&GroupSnapshot> {
        self.groups.get(service.index())
    }

    /// The primary of a service and its term, if both are known.
    #[must_use]
    pub fn primary(&self, service: ServiceId) -> Option<(InstanceId, Term)> {
        let group = self.group(service)?;
        group.primary.map(|primary| (primary, group.term))
    }
}
