//! The instance directory, kept from listings and changes.
//!
//! Invariants:
//!
//! - An entry never goes back to an older revision.
//! - An entry that disappeared stays usable for a while, because entries also disappear when the
//!   store has been away; the time counts only while the store answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_ports::{Catalogue, Change, Instance, Listing, Object};
use persimmon_types::Time;

use crate::view::Listed;

/// How long a missing instance is kept at the most: two seconds for entries to come back, and time to
/// replace a primary.
const KEEP_MISSING: Duration = Duration::from_millis(4_500);

/// The part of the time within which a leaving instance must receive nothing more that may pass
/// before its entry is seen to be missing.
const SEEN_WITHIN: u32 = 3;

/// What is left of that time for statements on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// How long the directory may be out of date, where an instance that is leaving must receive nothing
/// more after `leaving_limit`.
#[must_use]
pub(crate) fn longest_delay(leaving_limit: Duration) -> Duration {
    leaving_limit / SEEN_WITHIN
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Arc<Instance>,
    revision: u64,
    missing_for: Option<Duration>,
}

/// The directory.
#[derive(Clone, Debug)]
pub struct Directory {
    /// How long a missing instance is kept.
    keep_missing: Duration,
    entries: HashMap<Arc<str>, Entry>,
    /// Revisions of entries that were removed, so that a late write does not revive them.
    removed: HashMap<Arc<str>, u64>,
    ticked_at: Option<Time>,
}

impl Directory {
    /// Creates an empty directory, where an instance that is leaving must receive nothing more after
    /// `leaving_limit`.
    #[must_use]
    pub fn new(leaving_limit: Duration) -> Self {
        let unseen = longest_delay(leaving_limit) + ON_THE_WAY;
        Self {
            keep_missing: KEEP_MISSING.min(leaving_limit.saturating_sub(unseen)),
            entries: HashMap::new(),
            removed: HashMap::new(),
            ticked_at: None,
        }
    }

    /// Takes in a full listing; returns whether anything but heartbeats changed.
    pub fn list(&mut self, catalogue: &dyn Catalogue, listing: &Listing) -> bool {
        let mut changed = false;
        for object in &listing.objects {
            changed |= self.write(catalogue, object);
        }
        for (id, entry) in &mut self.entries {
            let is_listed = listing.objects.iter().any(|o| o.name == *id);
            if !is_listed && entry.missing_for.is_none() {
                entry.missing_for = Some(Duration::ZERO);
                changed = true;
            }
        }
        changed
    }

    /// Takes in one change; returns whether anything but a heartbeat changed.
    pub fn change(&mut self, catalogue: &dyn Catalogue, change: &Change) -> bool {
        match change {
            Change::Written(object) => self.write(catalogue, object),
            Change::Removed(id) => self.miss(id),
        }
    }

    fn miss(&mut self, id: &Arc<str>) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.missing_for.is_some() {
            return false;
        }
        entry.missing_for = Some(Duration::ZERO);
        tracing::info!(instance = %id, revision = entry.revision, "the directory lost an instance");
        true
    }

    fn write(&mut self, catalogue: &dyn Catalogue, object: &Object) -> bool {
        let known = self.entries.get(&object.name).map(|e| e.revision);
        let floor = known.or_else(|| self.removed.get(&object.name).copied());
        if floor.is_some_and(|revision| revision > object.revision) {
            return false;
        }
        let instance = match catalogue.instance(object) {
            Ok(instance) => instance,
            Err(err) => {
                tracing::warn!(revision = object.revision, problem = %err, "an unusable entry");
                return self.miss(&object.name);
            }
        };
        self.put(object.revision, instance)
    }

    /// Takes in an entry that a peer knows; returns whether it changed anything.
    pub fn learn(&mut self, revision: u64, instance: Instance) -> bool {
        let known = self.entries.get(&instance.id).map(|e| e.revision);
        let floor = known.or_else(|| self.removed.get(&instance.id).copied());
        if floor.is_some_and(|floor| floor >= revision) {
            return false;
        }
        self.put(revision, instance)
    }

    fn put(&mut self, revision: u64, instance: Instance) -> bool {
        let entry = Entry { instance: Arc::new(instance), revision, missing_for: None };
        let before = self.entries.get(&entry.instance.id);
        let changed =
            before.is_none_or(|b| b.missing_for.is_some() || b.instance != entry.instance);
        if changed {
            let instance = &entry.instance;
            tracing::info!(
                instance = %instance.id, service = %instance.service, address = %instance.address,
                role = ?instance.role, draining = instance.is_draining, born = instance.born_ms,
                revision = entry.revision, "the directory changed"
            );
        }
        self.entries.insert(Arc::clone(&entry.instance.id), entry);
        changed
    }

    /// Every entry that is not missing, with its revision.
    #[must_use]
    pub fn entries(&self) -> Vec<(u64, Instance)> {
        let listed = self.entries.values().filter(|e| e.missing_for.is_none());
        listed.map(|e| (e.revision, (*e.instance).clone())).collect()
    }

    /// Lets time pass; returns whether an instance is gone for good.
    pub fn tick(&mut self, now: Time, store_answers: bool) -> bool {
        let passed = self.ticked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        let mut gone = Vec::new();
        for (id, entry) in &mut self.entries {
            let Some(missing_for) = &mut entry.missing_for else {
                continue;
            };
            if !store_answers {
                // What lapsed while the store was away may be back after its return.
                *missing_for = Duration::ZERO;
                continue;
            }
            *missing_for += passed;
            if *missing_for >= self.keep_missing {
                gone.push((Arc::clone(id), entry.revision));
            }
        }
        for (id, revision) in &gone {
            tracing::info!(instance = %id, revision, "an instance is gone");
            self.entries.remove(id);
            self.removed.insert(Arc::clone(id), *revision);
        }
        !gone.is_empty()
    }

    /// The instances by service, in a fixed order.
    #[must_use]
    pub fn by_service(&self) -> HashMap<Arc<str>, Vec<Listed>> {
        let mut services: HashMap<Arc<str>, Vec<Listed>> = HashMap::new();
        for entry in self.entries.values() {
            let listed = Listed {
                instance: Arc::clone(&entry.instance),
                revision: entry.revision,
                missing_for: entry.missing_for,
            };
            services.entry(Arc::clone(&entry.instance.service)).or_default().push(listed);
        }
        for listed in services.values_mut() {
            listed.sort_by(|a, b| a.instance.id.cmp(&b.instance.id));
        }
        services
    }
}
