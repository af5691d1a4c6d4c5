//! The assignment of failover coordinators to groups.
//!
//! Assignments are recomputed only when the daemons or the table change, and never on a tick. A
//! daemon that joins is compared only with the coordinators of each group; a daemon that leaves
//! affects only the groups that it coordinated.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_table::Table;
use persimmon_types::{DaemonId, GroupRecord, rendezvous_top};

/// What changed in an update of the assignments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AssignmentChange {
    /// Nothing changed.
    None,
    /// Only the table changed.
    Table,
    /// The daemons changed.
    Daemons,
}

/// The coordinators of every group, for one set of daemons and one version of the table.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    daemons: Vec<DaemonId>,
    version: u64,
    coordinators: BTreeMap<Arc<str>, Vec<DaemonId>>,
}

impl Assignments {
    /// Updates the coordinators for the given daemons and table; returns what changed.
    pub(crate) fn update(
        &mut self,
        daemons: Vec<DaemonId>,
        version: u64,
        table: &Table,
    ) -> AssignmentChange {
        let daemons_changed = daemons != self.daemons;
        if !daemons_changed && version == self.version {
            return AssignmentChange::None;
        }
        let table_changed = version != self.version;
        self.version = version;
        let previous = std::mem::replace(&mut self.daemons, daemons);
        let joined: Vec<DaemonId> =
            self.daemons.iter().filter(|d| previous.binary_search(d).is_err()).cloned().collect();
        let left: Vec<DaemonId> =
            previous.iter().filter(|d| self.daemons.binary_search(d).is_err()).cloned().collect();
        if table_changed {
            self.coordinators.retain(|name, _| table.service(name).is_some());
        }
        for row in &table.services {
            let known = self.coordinators.get(&row.name);
            let coordinators = match known {
                Some(known) if !known.iter().any(|d| left.contains(d)) => {
                    if joined.is_empty() {
                        continue;
                    }
                    // A daemon outside the top ranks here is outside the top ranks of all daemons.
                    top_ranked(&row.name, &[known.as_slice(), joined.as_slice()].concat())
                }
                _ => top_ranked(&row.name, &self.daemons),
            };
            self.coordinators.insert(Arc::clone(&row.name), coordinators);
        }
        if daemons_changed { AssignmentChange::Daemons } else { AssignmentChange::Table }
    }

    /// The coordinators of a group in rendezvous order. The first one maintains its record.
    pub(crate) fn coordinators(&self, service: &str) -> &[DaemonId] {
        self.coordinators.get(service).map_or(&[], Vec::as_slice)
    }
}

/// The coordinators of a group among the given daemons.
fn top_ranked(service: &str, daemons: &[DaemonId]) -> Vec<DaemonId> {
    rendezvous_top(&format!("group-{service}"), daemons, GroupRecord::RESERVED_TERMS)
}
