//! Which daemons have a duty for which groups.
//!
//! Holders are brought up to date only when the members or the table change, and never on a tick:
//! a daemon that comes is compared with each group's holders alone, and one that goes costs only the
//! groups that it held.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_table::Table;
use persimmon_types::{DaemonId, GroupRecord, ranked};

/// What an update of the duties found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DutyChange {
    /// Nothing changed.
    None,
    /// Only the table changed.
    Table,
    /// The members changed.
    Members,
}

/// The holders of every group, for one set of members and one version of the table.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    members: Vec<DaemonId>,
    version: u64,
    holders: BTreeMap<Arc<str>, Vec<DaemonId>>,
}

impl Duties {
    /// Brings the holders up to date; says what changed.
    pub(crate) fn update(
        &mut self,
        members: Vec<DaemonId>,
        version: u64,
        table: &Table,
    ) -> DutyChange {
        let members_changed = members != self.members;
        if !members_changed && version == self.version {
            return DutyChange::None;
        }
        let table_changed = version != self.version;
        self.version = version;
        let before = std::mem::replace(&mut self.members, members);
        let came: Vec<DaemonId> =
            self.members.iter().filter(|m| before.binary_search(m).is_err()).cloned().collect();
        let gone: Vec<DaemonId> =
            before.iter().filter(|m| self.members.binary_search(m).is_err()).cloned().collect();
        if table_changed {
            self.holders.retain(|name, _| table.service(name).is_some());
        }
        for row in &table.services {
            let known = self.holders.get(&row.name);
            let holders = match known {
                Some(known) if !known.iter().any(|h| gone.contains(h)) => {
                    if came.is_empty() {
                        continue;
                    }
                    // Whoever is not among the first of these is not among the first of all.
                    first(&row.name, &[known.as_slice(), came.as_slice()].concat())
                }
                _ => first(&row.name, &self.members),
            };
            self.holders.insert(Arc::clone(&row.name), holders);
        }
        if members_changed { DutyChange::Members } else { DutyChange::Table }
    }

    /// The holders of a group, the first one keeps its record.
    pub(crate) fn holders(&self, service: &str) -> &[DaemonId] {
        self.holders.get(service).map_or(&[], Vec::as_slice)
    }
}

/// The holders of a group among some daemons.
fn first(service: &str, among: &[DaemonId]) -> Vec<DaemonId> {
    ranked(&format!("group-{service}"), among, GroupRecord::RESERVATIONS)
}
