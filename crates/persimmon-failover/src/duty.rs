//! Which daemons have a duty for which groups.
//!
//! Rendezvous hashing over all members and groups is computed only when the members or the table
//! change, and never on a tick.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_table::Table;
use persimmon_types::{DaemonId, GroupRecord, ranked};

/// The holders of every group, for one set of members and one version of the table.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    members: Vec<DaemonId>,
    version: u64,
    holders: BTreeMap<Arc<str>, Vec<DaemonId>>,
}

impl Duties {
    /// Brings the holders up to date; says whether the members changed.
    pub(crate) fn update(&mut self, members: Vec<DaemonId>, version: u64, table: &Table) -> bool {
        let members_changed = members != self.members;
        if !members_changed && version == self.version {
            return false;
        }
        self.members = members;
        self.version = version;
        self.holders.clear();
        for row in &table.services {
            let key = format!("group-{}", row.name);
            let holders = ranked(&key, &self.members, GroupRecord::RESERVATIONS);
            self.holders.insert(Arc::clone(&row.name), holders);
        }
        members_changed
    }

    /// The holders of a group, the first one keeps its record.
    pub(crate) fn holders(&self, service: &str) -> &[DaemonId] {
        self.holders.get(service).map_or(&[], Vec::as_slice)
    }
}
