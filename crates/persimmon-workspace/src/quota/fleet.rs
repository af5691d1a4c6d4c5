//! The registered daemons of a fleet, and how many of them there are.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The size of the fleet according to one version of its record. Later versions are never less in
/// either field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// The number of registered daemons; zero if unknown.
    pub registered: u32,
    /// The least number of registered daemons on which a coordinator may still rely.
    pub floor: u32,
}

impl FleetSize {
    /// Takes over what another daemon knows; returns whether it was news.
    pub fn merge(&mut self, other: Self) -> bool {
        let before = *self;
        self.registered = self.registered.max(other.registered);
        self.floor = self.floor.max(other.floor.min(other.registered));
        *self != before
    }

    /// The part of every quota that a coordinator with `leases` leases may grant. A share that is
    /// not leased to it counts as the largest that another coordinator may take it for.
    #[must_use]
    pub fn fill(&self, leases: usize) -> f64 {
        if self.registered == 0 || self.floor == 0 {
            return 0.0;
        }
        let leases = f64::from(u32::try_from(leases).unwrap_or(u32::MAX).min(self.registered));
        let missing = f64::from(self.registered) - leases;
        (1.0 - missing / f64::from(self.floor)).clamp(0.0, 1.0)
    }
}

/// The record of the fleet in the store. Daemons are only added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// The daemons; the position of one is its index.
    #[serde(rename = "daemons")]
    members: Vec<Arc<str>>,
    /// See [`FleetSize::floor`].
    floor: u32,
    #[serde(skip)]
    indices: HashMap<Arc<str>, u32>,
}

impl FleetRecord {
    /// Creates the first record of a fleet.
    #[must_use]
    pub fn new(members: impl IntoIterator<Item = Arc<str>>) -> Self {
        let mut record = Self::default();
        record.register(members);
        record.floor = record.size().registered;
        record
    }

    /// Restores what is not stored, and limits the floor to what a record may have.
    #[must_use]
    pub fn restored(mut self) -> Self {
        let members = std::mem::take(&mut self.members);
        self.register(members);
        self.floor = self.floor.clamp(1, self.size().registered.max(1));
        self
    }

    /// Adds daemons; returns whether one was new.
    pub fn register(&mut self, members: impl IntoIterator<Item = Arc<str>>) -> bool {
        let before = self.members.len();
        for member in members {
            if self.indices.contains_key(&member) {
                continue;
            }
            let index = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
            self.indices.insert(Arc::clone(&member), index);
            self.members.push(member);
        }
        self.members.len() > before
    }

    /// The record to write instead of the stored one; `None` if that may stay. `members` are the
    /// known daemons. `confirmed` is the number of registered daemons that all of them have leased
    /// with; if the stored record has it, no coordinator relies on an older record.
    #[must_use]
    pub fn updated(
        stored: Option<&Self>,
        members: impl IntoIterator<Item = Arc<str>>,
        confirmed: Option<u32>,
    ) -> Option<Self> {
        let Some(stored) = stored else {
            let first = Self::new(members);
            return Some(first).filter(|record| record.size().registered > 0);
        };
        let mut record = stored.clone();
        let is_confirmed = confirmed == Some(stored.size().registered);
        let is_raised = is_confirmed && stored.floor < stored.size().registered;
        if is_raised {
            record.floor = stored.size().registered;
        }
        let has_grown = record.register(members);
        (has_grown || is_raised).then_some(record)
    }

    /// The index of a daemon.
    #[must_use]
    pub fn index(&self, member: &str) -> Option<u32> {
        self.indices.get(member).copied()
    }

    /// The size of the fleet.
    #[must_use]
    pub fn size(&self) -> FleetSize {
        let registered = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        FleetSize { registered, floor: self.floor }
    }
}
