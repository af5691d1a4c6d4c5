//! The immutable snapshot that traffic threads route by.

use std::sync::Arc;

use persimmon_kernel::Shared;
use persimmon_table::Table;
use persimmon_types::{InstanceId, ServiceId, Term, TermStarts};

/// What is in force for one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// The term in force, zero if none is known.
    pub term: Term,
    /// The primary of that term, if the table has it.
    pub primary: Option<InstanceId>,
    /// Where recent terms began.
    pub starts: TermStarts,
}

/// What is in force on this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Rises with every snapshot.
    pub revision: u64,
    /// The table's version.
    pub version: u64,
    /// The table.
    pub table: Arc<Table>,
    /// The groups, by service.
    pub groups: Vec<GroupView>,
    /// Whether the daemon may be without the table in force.
    pub cut_off: bool,
    /// Whether the daemon is shutting down.
    pub draining: bool,
}

impl View {
    /// The snapshot of a control thread's state.
    #[must_use]
    pub fn of(shared: &Shared, revision: u64) -> Self {
        let table = Arc::clone(&shared.in_force.table);
        let mut groups = Vec::with_capacity(table.services.len());
        for service in &table.services {
            let Some(group) = shared.groups.get(&service.name) else {
                groups.push(GroupView::default());
                continue;
            };
            groups.push(GroupView {
                term: group.record.term,
                primary: table.instance(&group.record.primary),
                starts: group.record.starts.clone(),
            });
        }
        Self {
            revision,
            version: shared.in_force.version,
            table,
            groups,
            cut_off: shared.cut_off,
            draining: shared.draining,
        }
    }

    /// The group of a service.
    #[must_use]
    pub fn group(&self, service: ServiceId) -> Option<&GroupView> {
        self.groups.get(service.index())
    }

    /// The primary of a service and its term.
    #[must_use]
    pub fn primary(&self, service: ServiceId) -> Option<(InstanceId, Term)> {
        let group = self.group(service)?;
        group.primary.map(|primary| (primary, group.term))
    }
}
