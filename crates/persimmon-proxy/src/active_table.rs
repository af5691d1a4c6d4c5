//! Which version of the operators' table is active on this daemon.
//!
//! Invariants:
//!
//! - The active version only rises, except that a version which the store lost in a restore, and
//!   which the operators do not write again, is given up after [`LOST_TABLE_RETENTION`].
//! - A version that was given up is not taken from peers again, and no key that it had removed is
//!   valid again.

use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::Table;
use persimmon_types::Time;

/// How long a table stays active that a restored store has lost: longer than operators take to write
/// it again.
pub const LOST_TABLE_RETENTION: Duration = Duration::from_secs(60);

/// What became of a table that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableOutcome {
    /// It is active.
    Activated,
    /// The active table stays, which the store has in its present era.
    Kept,
    /// The active table stays, although the restored store has an older one.
    KeptUnconfirmed,
}

/// The active table, and the older one of a store that was restored since.
#[derive(Clone, Debug, Default)]
pub struct ActiveTable {
    active: Option<Arc<Table>>,
    /// The latest era of the store in which it had the active table.
    era: u64,
    /// The store's table, and since when the store has lost the active one; `None` while it has it.
    lost: Option<(Arc<Table>, Time)>,
    /// Tables of earlier eras are not taken from peers.
    min_peer_era: u64,
}

impl ActiveTable {
    /// Creates the state of a daemon that has received no table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The active table.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.active.as_ref()
    }

    /// The active version; zero before the first table.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |t| t.version)
    }

    /// The latest era of the store in which it had the active table.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Since when the store has lost the active table; `None` while it has it.
    #[must_use]
    pub fn lost_since(&self) -> Option<Time> {
        self.lost.as_ref().map(|(_, since)| *since)
    }

    /// Handles the store's table, read in `era`.
    pub fn receive_stored(&mut self, now: Time, era: u64, table: Table) -> TableOutcome {
        let Some(active) = &self.active else {
            return self.activate(era, table);
        };
        if era < self.era {
            return TableOutcome::Kept;
        }
        // In a later era the operators may have used the version for another table.
        let is_replaced = era > self.era && table.version == active.version && table != **active;
        if table.version > active.version || is_replaced {
            return self.activate(era, table);
        }
        if table.version == active.version {
            self.era = era;
            self.lost = None;
            return TableOutcome::Kept;
        }
        if era == self.era {
            return TableOutcome::Kept;
        }
        let since = self.lost_since().unwrap_or(now);
        self.lost = Some((Arc::new(table), since));
        TableOutcome::KeptUnconfirmed
    }

    /// Handles a peer's active table, which the store had in `era` and has lost for `lost_for`.
    pub fn receive_from_peer(
        &mut self,
        now: Time,
        era: u64,
        lost_for: Duration,
        table: Table,
    ) -> TableOutcome {
        let is_given_up = era < self.min_peer_era || lost_for >= LOST_TABLE_RETENTION;
        if is_given_up || (self.active.is_some() && table.version <= self.version()) {
            return TableOutcome::Kept;
        }
        let before = self.active.take().filter(|_| era < self.era);
        self.lost = match (before, self.lost.take()) {
            // This daemon has read the store in a later era, which lacks the peer's table.
            (Some(stored), None) => Some((stored, now - lost_for)),
            (_, lost) => lost.filter(|_| era <= self.era),
        };
        self.era = era;
        self.active = Some(Arc::new(table));
        TableOutcome::Activated
    }

    /// Advances the time; returns whether a lost table was given up for the store's.
    pub fn tick(&mut self, now: Time, store_era: u64) -> bool {
        if self.lost_since().is_none_or(|since| now.since(since) < LOST_TABLE_RETENTION) {
            return false;
        }
        let Some((stored, _)) = self.lost.take() else {
            return false;
        };
        self.active = match self.active.take() {
            Some(newer) => Some(Arc::new(Table::clone(&stored).without_removed_keys(&newer))),
            None => Some(stored),
        };
        self.era = store_era;
        self.min_peer_era = store_era;
        true
    }

    fn activate(&mut self, era: u64, table: Table) -> TableOutcome {
        self.active = Some(Arc::new(table));
        self.era = era;
        self.lost = None;
        TableOutcome::Activated
    }
}
