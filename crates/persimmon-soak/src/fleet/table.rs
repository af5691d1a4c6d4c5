//! Versions of the table that the operators write during a run.

use std::sync::Arc;

use crate::ends::table::EndTable;
use crate::fleet::Fleet;
use crate::keys::CHANGING_KEYS;
use crate::plan::Step;

impl Fleet {
    /// Writes the latest version of the table.
    pub(super) fn write_table(&self) {
        let mut added = Vec::new();
        if let Some(ends) = &self.ends {
            self.cluster.set_table_limits(ends.limits());
            added = ends.databases();
        }
        if let Some((ledger, clients)) = &self.keys {
            let mut workspaces = ledger.workspaces(*clients);
            let all = workspaces.as_array_mut();
            if let (Some(all), Some(ends)) = (all, &self.ends) {
                all.extend(ends.workspaces());
            }
            self.cluster.set_workspaces(workspaces);
        }
        let databases = self.extra_databases.iter().copied();
        let databases: Vec<&str> = databases.chain(added.iter().map(String::as_str)).collect();
        self.cluster.put_table(self.table_version, &databases);
    }

    /// Changes the table as `change` says, if it changes while sessions are open.
    pub(super) fn change_ends(&mut self, change: impl FnOnce(&mut EndTable)) {
        if let Some(ends) = &mut self.ends {
            change(ends);
            self.table_version += 1;
            self.write_table();
        }
    }

    /// Adds a client key to the table, or removes it.
    pub(super) fn change_key(&mut self, step: &Step) {
        let Some((ledger, _)) = &self.keys else {
            return;
        };
        let ledger = Arc::clone(ledger);
        let key = CHANGING_KEYS[step.target % CHANGING_KEYS.len()];
        ledger.toggle(key);
        self.table_version += 1;
        self.write_table();
        ledger.record_written(key);
    }
}
