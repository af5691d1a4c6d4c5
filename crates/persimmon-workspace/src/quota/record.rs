//! The record of the fleet in the store.
//!
//! Invariants:
//!
//! - An index names one registration of a daemon and is never given out again.
//! - A daemon is removed only if the record has named it as retiring since before the wait that its
//!   removal requires.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::quota::fleet::{Fleet, Retiring};

/// What a coordinator wants changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordChange {
    /// The version with which every registered daemon has leased to it, if that raises the floor.
    pub confirmed: Option<u64>,
    /// Daemons that have not been heard of for long.
    pub silent: Vec<u32>,
    /// Daemons that have been heard of lately. Those that retire stay.
    pub active: Vec<u32>,
    /// Retiring daemons of which most votes know, each with the version since which it retires.
    pub known: Vec<(u32, u64)>,
    /// Retiring daemons that lease nothing any more, each with the version since which it retires.
    pub ended: Vec<(u32, u64)>,
}

impl RecordChange {
    /// Whether nothing is to be changed in the record that has this version of the fleet.
    #[must_use]
    pub fn is_empty(&self, fleet: &Fleet) -> bool {
        let stays = |r: &Retiring| !r.is_known && self.active.contains(&r.index);
        self.confirmed.is_none()
            && self.silent.is_empty()
            && self.known.is_empty()
            && self.ended.is_empty()
            && !fleet.retiring().iter().any(stays)
    }
}

/// The record of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredRecord", into = "StoredRecord")]
pub struct FleetRecord {
    /// The daemons with their indices, ascending.
    members: Vec<(Arc<str>, u32)>,
    next_index: u32,
    fleet: Arc<Fleet>,
    indices: HashMap<Arc<str>, u32>,
}

/// The form in the store. A record of before daemons could be removed has only `daemons`, whose
/// positions are their indices, and `floor`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct StoredRecord {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    daemons: Vec<Arc<str>>,
    floor: u32,
    version: u64,
    members: Vec<(Arc<str>, u32)>,
    next_index: u32,
    retiring: Vec<Retiring>,
    credit_base: u32,
}

impl From<StoredRecord> for FleetRecord {
    fn from(stored: StoredRecord) -> Self {
        let mut members = stored.members;
        if stored.version == 0 {
            members = stored.daemons.into_iter().zip(0..).collect();
        }
        members.sort_by_key(|(_, index)| *index);
        let after_last = members.last().map_or(0, |(_, index)| index.saturating_add(1));
        let mut record =
            Self { members, next_index: stored.next_index.max(after_last), ..Self::default() };
        record.set(stored.version.max(1), stored.floor.max(1), stored.retiring, stored.credit_base);
        record
    }
}

impl From<FleetRecord> for StoredRecord {
    fn from(record: FleetRecord) -> Self {
        let fleet = &record.fleet;
        Self {
            daemons: Vec::new(),
            floor: fleet.floor(),
            version: fleet.version,
            retiring: fleet.retiring().to_vec(),
            credit_base: fleet.credit_base(),
            members: record.members,
            next_index: record.next_index,
        }
    }
}

impl FleetRecord {
    /// The record to write instead of the stored one; `None` if that may stay. `members` are daemons
    /// that may not be registered; one that retires and still may stay does so.
    #[must_use]
    pub fn updated(
        stored: Option<&Self>,
        members: impl IntoIterator<Item = Arc<str>>,
        change: &RecordChange,
    ) -> Option<Self> {
        let mut record = stored.cloned().unwrap_or_default();
        let before = Arc::clone(&record.fleet);
        let version = before.version + 1;
        let mut retiring: Vec<Retiring> = before.retiring().to_vec();
        let mut floor = before.floor();
        let mut credit_base = before.credit_base();
        if change.confirmed == Some(before.version) {
            floor = before.registered();
        }
        let has_ended = |r: &Retiring| change.ended.contains(&(r.index, r.since));
        let ended: Vec<u32> = retiring.iter().filter(|r| has_ended(r)).map(|r| r.index).collect();
        if !ended.is_empty() {
            credit_base = before.registered();
            record.members.retain(|(_, index)| !ended.contains(index));
            retiring.retain(|r| !ended.contains(&r.index));
        }
        for r in &mut retiring {
            r.is_known |= change.known.contains(&(r.index, r.since));
        }
        let mut staying = change.active.clone();
        for member in members {
            match record.indices.get(&member).filter(|index| !ended.contains(index)) {
                Some(index) => staying.push(*index),
                None => {
                    record.indices.insert(Arc::clone(&member), record.next_index);
                    record.members.push((member, record.next_index));
                    record.next_index += 1;
                }
            }
        }
        retiring.retain(|r| r.is_known || !staying.contains(&r.index));
        for index in &change.silent {
            let is_new = !retiring.iter().any(|r| r.index == *index);
            if is_new && record.members.iter().any(|(_, i)| i == index) {
                retiring.push(Retiring { index: *index, since: version, is_known: false });
            }
        }
        if stored.is_none() {
            floor = u32::try_from(record.members.len()).unwrap_or(u32::MAX);
        }
        record.set(before.version, floor, retiring, credit_base);
        if record.members.is_empty() || record.fleet == before {
            return None;
        }
        let (floor, retiring) = (record.fleet.floor(), record.fleet.retiring().to_vec());
        let credit_base = record.fleet.credit_base();
        record.set(version, floor, retiring, credit_base);
        Some(record)
    }

    /// Sets what follows from the members. Nobody relies on daemons of whose removal most votes know.
    fn set(&mut self, version: u64, floor: u32, retiring: Vec<Retiring>, credit_base: u32) {
        self.indices = self.members.iter().cloned().collect();
        let leaving = retiring.iter().filter(|r| r.is_known).count();
        let staying = u32::try_from(self.members.len().saturating_sub(leaving)).unwrap_or(u32::MAX);
        let indices = self.members.iter().map(|(_, index)| *index);
        let fleet = Fleet::new(version, indices, floor.min(staying));
        self.fleet = Arc::new(fleet.with_retiring(retiring).with_credit_base(credit_base));
    }

    /// The index of a daemon.
    #[must_use]
    pub fn index(&self, member: &str) -> Option<u32> {
        self.indices.get(member).copied()
    }

    /// The registered daemons.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }
}
