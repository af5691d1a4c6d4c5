//! The instance directory, maintained from store listings and changes.
//!
//! Invariants:
//!
//! - An entry never returns to an older revision.
//! - A missing entry stays usable for a limited time, because entries also expire while the store
//!   is unavailable; the time counts only while the store answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{Change, Instance, Listing, Object, ObjectDecoder, Revision};
use persimmon_types::Time;

use crate::snapshot::DirectoryEntry;

/// Maximum time for which a missing instance is kept: two seconds for its entry to return, plus the
/// time to replace a primary.
const MISSING_RETENTION: Duration = Duration::from_millis(4_500);

/// Divisor that gives the part of the instance drain limit that may pass before a missing entry is
/// noticed.
const DETECTION_DIVISOR: u32 = 3;

/// Part of the instance drain limit that is reserved for statements in flight.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(500);

/// Maximum staleness of the directory, given that a draining instance must receive no request after
/// `instance_drain_limit`.
#[must_use]
pub(crate) fn max_directory_delay(instance_drain_limit: Duration) -> Duration {
    instance_drain_limit / DETECTION_DIVISOR
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Arc<Instance>,
    revision: Revision,
    missing_for: Option<Duration>,
}

/// The known instances of all services.
#[derive(Clone, Debug)]
pub struct Directory {
    /// How long a missing instance is kept.
    missing_retention: Duration,
    entries: HashMap<Arc<str>, Entry>,
    /// Revisions of removed entries, so that a delayed write does not restore them.
    removed: HashMap<Arc<str>, Revision>,
    ticked_at: Option<Time>,
}

impl Directory {
    /// Creates an empty directory; a draining instance must receive no request after
    /// `instance_drain_limit`.
    #[must_use]
    pub fn new(instance_drain_limit: Duration) -> Self {
        let reserved = max_directory_delay(instance_drain_limit) + IN_FLIGHT_ALLOWANCE;
        Self {
            missing_retention: MISSING_RETENTION.min(instance_drain_limit.saturating_sub(reserved)),
            entries: HashMap::new(),
            removed: HashMap::new(),
            ticked_at: None,
        }
    }

    /// Applies a full listing; returns whether anything but heartbeats changed.
    pub fn apply_listing(&mut self, object_decoder: &dyn ObjectDecoder, listing: &Listing) -> bool {
        let mut changed = false;
        for object in &listing.objects {
            changed |= self.apply_object(object_decoder, object);
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

    /// Applies one change; returns whether it changed anything but a heartbeat.
    pub fn apply_change(&mut self, object_decoder: &dyn ObjectDecoder, change: &Change) -> bool {
        match change {
            Change::Written(object) => self.apply_object(object_decoder, object),
            Change::Removed(id) => self.mark_missing(id),
        }
    }

    fn mark_missing(&mut self, id: &Arc<str>) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.missing_for.is_some() {
            return false;
        }
        entry.missing_for = Some(Duration::ZERO);
        tracing::info!(instance = %id, revision = %entry.revision,
            "an instance's entry is missing from the directory");
        true
    }

    fn apply_object(&mut self, object_decoder: &dyn ObjectDecoder, object: &Object) -> bool {
        let known = self.entries.get(&object.name).map(|e| e.revision);
        let min_revision = known.or_else(|| self.removed.get(&object.name).copied());
        if min_revision.is_some_and(|revision| revision > object.revision) {
            return false;
        }
        let instance = match object_decoder.decode_instance(object) {
            Ok(instance) => instance,
            Err(err) => {
                tracing::warn!(revision = %object.revision, problem = %err,
                    "the directory entry is invalid and treated as missing");
                return self.mark_missing(&object.name);
            }
        };
        self.insert(object.revision, instance)
    }

    /// Merges an entry received from a peer; returns whether it changed anything.
    pub fn merge_entry(&mut self, revision: Revision, instance: Instance) -> bool {
        let known = self.entries.get(&instance.id).map(|e| e.revision);
        let min_revision = known.or_else(|| self.removed.get(&instance.id).copied());
        if min_revision.is_some_and(|min_revision| min_revision >= revision) {
            return false;
        }
        self.insert(revision, instance)
    }

    fn insert(&mut self, revision: Revision, instance: Instance) -> bool {
        let entry = Entry { instance: Arc::new(instance), revision, missing_for: None };
        let before = self.entries.get(&entry.instance.id);
        let changed =
            before.is_none_or(|b| b.missing_for.is_some() || b.instance != entry.instance);
        if changed {
            let instance = &entry.instance;
            tracing::info!(
                instance = %instance.id, service = %instance.service, address = %instance.address,
                role = ?instance.role, draining = instance.is_draining, born = instance.born_ms,
                revision = %entry.revision, "the directory changed"
            );
        }
        self.entries.insert(Arc::clone(&entry.instance.id), entry);
        changed
    }

    /// All entries that are not missing, with their revisions.
    #[must_use]
    pub fn entries(&self) -> Vec<(Revision, Instance)> {
        let listed = self.entries.values().filter(|e| e.missing_for.is_none());
        listed.map(|e| (e.revision, (*e.instance).clone())).collect()
    }

    /// Advances the time; returns whether a missing instance was removed.
    pub fn tick(&mut self, now: Time, store_answers: bool) -> bool {
        let passed = self.ticked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        let mut expired = Vec::new();
        for (id, entry) in &mut self.entries {
            let Some(missing_for) = &mut entry.missing_for else {
                continue;
            };
            if !store_answers {
                // An entry that expired while the store was unavailable may return afterwards.
                *missing_for = Duration::ZERO;
                continue;
            }
            *missing_for += passed;
            if *missing_for >= self.missing_retention {
                expired.push((Arc::clone(id), entry.revision));
            }
        }
        for (id, revision) in &expired {
            tracing::info!(instance = %id, %revision,
                "a missing instance was removed from the directory");
            self.entries.remove(id);
            self.removed.insert(Arc::clone(id), *revision);
        }
        !expired.is_empty()
    }

    /// The instances by service, sorted by id.
    #[must_use]
    pub fn by_service(&self) -> HashMap<Arc<str>, Vec<DirectoryEntry>> {
        let mut services: HashMap<Arc<str>, Vec<DirectoryEntry>> = HashMap::new();
        for entry in self.entries.values() {
            let listed = DirectoryEntry {
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
