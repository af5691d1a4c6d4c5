//! The instance directory, maintained from store listings and changes.
//!
//! Invariants:
//!
//! - An entry never returns to an older revision. Of two eras of the store, the instance's own
//!   counter of reports decides, because a store that was restored from a copy lists entries that
//!   the instance has replaced since.
//! - A missing entry stays usable for a limited time, because entries also expire while the store
//!   is unavailable; the time counts only while the store answers.
//! - An instance that leaves receives new work for a limited time after its notice, whether or
//!   not it is the primary.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{
    Change, DecodeError, Instance, InstanceReport, Listing, Object, ObjectDecoder, Revision,
};
use persimmon_types::Time;

use crate::drain_notices::{DrainNotice, DrainNotices};
use crate::snapshot::DirectoryEntry;

/// Maximum time for which a missing instance is kept: two seconds for its entry to return, plus the
/// time to replace a primary.
const MISSING_RETENTION: Duration = Duration::from_millis(4_500);

/// Minimum of that time, by which an entry that expired while the store was unavailable returns.
const MIN_MISSING_RETENTION: Duration = Duration::from_millis(2_500);

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

/// Multiple of the instance drain limit after which a notice of an instance that is not
/// listed as draining is forgotten.
const DRAIN_NOTICE_RETENTION: u32 = 2;

/// A notice is logged again if it turns out to be earlier by more than this.
const NOTICE_LOG_STEP: Duration = Duration::from_millis(100);

/// What orders the reports of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryVersion {
    /// The store's revision at which the report was received.
    pub revision: Revision,
    /// The wall-clock start time of the process that wrote the report, in milliseconds.
    pub born_ms: u64,
    /// The process's own counter of reports.
    pub sequence: u64,
}

impl EntryVersion {
    fn new(revision: Revision, report: &InstanceReport) -> Self {
        Self { revision, born_ms: report.instance.born_ms, sequence: report.sequence }
    }

    /// Compares two reports, where that of a later era may have been restored from a copy.
    fn compare(&self, other: &Self) -> Ordering {
        if self.revision.era == other.revision.era {
            return self.revision.cmp(&other.revision);
        }
        let has_sequence = self.sequence != 0 || other.sequence != 0;
        if self.born_ms == other.born_ms && has_sequence {
            return self.sequence.cmp(&other.sequence);
        }
        // A clock may have been set back between the starts of two processes: a report of a later
        // era is older only if its number says so too.
        let by_era = self.revision.cmp(&other.revision);
        let by_number = self.revision.number.cmp(&other.revision.number);
        if by_number == by_era || !has_sequence { by_era } else { self.born_ms.cmp(&other.born_ms) }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Arc<Instance>,
    version: EntryVersion,
    missing_for: Option<Duration>,
    /// How long the entry may have been missing before that was noticed.
    unseen_for: Duration,
}

/// The known instances of all services.
#[derive(Clone, Debug)]
pub struct Directory {
    instance_drain_limit: Duration,
    /// How long a missing instance is kept.
    missing_retention: Duration,
    drain_notices: DrainNotices,
    entries: HashMap<Arc<str>, Entry>,
    /// Revisions of the invalid entries that were logged.
    invalid: HashMap<Arc<str>, Revision>,
    /// Versions of removed entries, so that a delayed write does not restore them.
    removed: HashMap<Arc<str>, EntryVersion>,
    ticked_at: Option<Time>,
}

impl Directory {
    /// Creates an empty directory; a draining instance must receive no request after
    /// `instance_drain_limit`.
    #[must_use]
    pub fn new(instance_drain_limit: Duration) -> Self {
        let reserved = max_directory_delay(instance_drain_limit) + IN_FLIGHT_ALLOWANCE;
        Self {
            instance_drain_limit,
            drain_notices: DrainNotices::default(),
            missing_retention: MISSING_RETENTION.min(instance_drain_limit.saturating_sub(reserved)),
            entries: HashMap::new(),
            invalid: HashMap::new(),
            removed: HashMap::new(),
            ticked_at: None,
        }
    }

    /// Applies a full listing, which contains every report that the store accepted before
    /// `complete_until`; returns whether anything but heartbeats changed.
    pub fn apply_listing(
        &mut self,
        object_decoder: &dyn ObjectDecoder,
        listing: &Listing,
        complete_until: Time,
    ) -> bool {
        let mut changed = false;
        for object in &listing.objects {
            changed |= self.apply_object(object_decoder, object, true, complete_until);
        }
        let is_listed = |id: &Arc<str>| listing.objects.iter().any(|o| o.name == *id);
        let unlisted: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !is_listed(id)).cloned().collect();
        for id in unlisted {
            changed |= self.mark_missing(&id, complete_until);
        }
        self.invalid.retain(|name, _| listing.objects.iter().any(|o| o.name == *name));
        changed
    }

    /// Applies one change, which the store accepted after `accepted_after`; returns whether it
    /// changed anything but a heartbeat.
    pub fn apply_change(
        &mut self,
        object_decoder: &dyn ObjectDecoder,
        change: &Change,
        accepted_after: Time,
    ) -> bool {
        match change {
            Change::Written(object) => {
                self.apply_object(object_decoder, object, false, accepted_after)
            }
            Change::Removed(id) => {
                self.invalid.remove(id);
                self.mark_missing(id, accepted_after)
            }
        }
    }

    /// Records that an entry is missing which was removed after `accepted_after`.
    fn mark_missing(&mut self, id: &Arc<str>, accepted_after: Time) -> bool {
        let now = self.ticked_at.unwrap_or(accepted_after);
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.missing_for.is_some() {
            return false;
        }
        entry.missing_for = Some(Duration::ZERO);
        entry.unseen_for = now.since(accepted_after);
        tracing::info!(instance = %id, revision = %entry.version.revision,
            unseen_for = ?entry.unseen_for, "an instance's entry is missing from the directory");
        true
    }

    fn known_version(&self, id: &str) -> Option<EntryVersion> {
        let known = self.entries.get(id).map(|e| e.version);
        known.or_else(|| self.removed.get(id).copied())
    }

    /// Applies an object of a listing, or else one that was written after the listing.
    fn apply_object(
        &mut self,
        object_decoder: &dyn ObjectDecoder,
        object: &Object,
        is_listed: bool,
        accepted_after: Time,
    ) -> bool {
        let known = self.known_version(&object.name);
        if known.is_some_and(|known| known.revision > object.revision) {
            return false;
        }
        let report = match object_decoder.decode_instance(object) {
            Ok(report) => report,
            Err(err) => {
                self.log_invalid(object, &err);
                return self.mark_missing(&object.name, accepted_after);
            }
        };
        self.invalid.remove(&object.name);
        let version = EntryVersion::new(object.revision, &report);
        // What is written in a later era is new. What is listed may be from the copy.
        let restored = known.filter(|known| is_listed && known.revision.era != object.revision.era);
        match restored.map(|known| version.compare(&known)) {
            Some(Ordering::Less) => {
                tracing::info!(instance = %object.name, revision = %object.revision,
                    sequence = report.sequence, known = ?known,
                    "the restored store lists an older entry, which is ignored");
                false
            }
            // An instance that was removed and lives has written a later report by now.
            Some(Ordering::Equal) => self.mark_present(&object.name),
            Some(Ordering::Greater) | None => self.insert(version, report.instance, accepted_after),
        }
    }

    /// Logs that an entry is invalid, once for each of its changes.
    fn log_invalid(&mut self, object: &Object, err: &DecodeError) {
        let logged = self.invalid.insert(Arc::clone(&object.name), object.revision);
        if logged != Some(object.revision) {
            tracing::warn!(revision = %object.revision, problem = %err,
                "the directory entry is invalid and treated as missing");
        }
    }

    /// Ends the absence of an entry that is listed again without a new report.
    fn mark_present(&mut self, id: &Arc<str>) -> bool {
        let missing_for = self.entries.get_mut(id).and_then(|entry| entry.missing_for.take());
        if missing_for.is_some() {
            tracing::info!(instance = %id, "an instance's entry is listed again");
        }
        missing_for.is_some()
    }

    /// Merges an entry received from a peer, which the store accepted after `accepted_after`;
    /// returns whether it changed anything.
    pub fn merge_entry(
        &mut self,
        version: EntryVersion,
        instance: Instance,
        accepted_after: Time,
    ) -> bool {
        let known = self.known_version(&instance.id);
        if known.is_some_and(|known| version.compare(&known) != Ordering::Greater) {
            return false;
        }
        self.insert(version, instance, accepted_after)
    }

    /// Merges a notice that a peer knows; returns whether it was unknown.
    pub fn merge_drain_notice(&mut self, notice: DrainNotice) -> bool {
        self.record_notice(notice, "peer")
    }

    /// Records a notice from `source`; returns whether it was unknown, or is earlier than was known.
    fn record_notice(&mut self, notice: DrainNotice, source: &str) -> bool {
        let now = self.ticked_at.unwrap_or(notice.since);
        let instance = Arc::clone(&notice.instance);
        let age = now.since(notice.since);
        let known_since = self.drain_notices.known_since(&notice);
        let is_much_earlier =
            known_since.is_none_or(|known| known.since(notice.since) > NOTICE_LOG_STEP);
        let is_news = self.drain_notices.record(notice);
        if is_news && is_much_earlier {
            tracing::info!(%instance, source, ?age, "an instance has announced that it leaves");
        }
        is_news
    }

    /// When the instances announced that they leave.
    #[must_use]
    pub fn drain_notices(&self) -> Vec<DrainNotice> {
        self.drain_notices.all()
    }

    fn insert(&mut self, version: EntryVersion, instance: Instance, accepted_after: Time) -> bool {
        let was_draining =
            self.entries.get(&instance.id).is_some_and(|before| before.instance.is_draining);
        if instance.is_draining {
            let notice = DrainNotice {
                instance: Arc::clone(&instance.id),
                born_ms: instance.born_ms,
                since: accepted_after,
            };
            self.record_notice(notice, "directory");
        } else if was_draining {
            self.drain_notices.remove(&instance.id);
        }
        let entry = Entry {
            instance: Arc::new(instance),
            version,
            missing_for: None,
            unseen_for: Duration::ZERO,
        };
        let before = self.entries.get(&entry.instance.id);
        let changed =
            before.is_none_or(|b| b.missing_for.is_some() || b.instance != entry.instance);
        if changed {
            let instance = &entry.instance;
            tracing::info!(
                instance = %instance.id, service = %instance.service, address = %instance.address,
                role = ?instance.role, draining = instance.is_draining, born = instance.born_ms,
                revision = %version.revision, sequence = version.sequence, "the directory changed"
            );
        }
        self.entries.insert(Arc::clone(&entry.instance.id), entry);
        changed
    }

    /// How long an entry has been missing while the store answered.
    #[must_use]
    pub fn missing_for(&self, id: &str) -> Option<Duration> {
        self.entries.get(id).and_then(|entry| entry.missing_for)
    }

    /// All entries that are not missing, with their versions.
    #[must_use]
    pub fn entries(&self) -> Vec<(EntryVersion, Instance)> {
        let listed = self.entries.values().filter(|e| e.missing_for.is_none());
        listed.map(|e| (e.version, (*e.instance).clone())).collect()
    }

    /// Advances the time; returns whether a missing instance was removed.
    pub fn tick(&mut self, now: Time, store_answers: bool) -> bool {
        let before = self.ticked_at.replace(now).unwrap_or(now);
        let passed = now.since(before);
        self.log_drained(before, now);
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
            let retention = self.missing_retention.saturating_sub(entry.unseen_for);
            if *missing_for >= retention.max(MIN_MISSING_RETENTION.min(self.missing_retention)) {
                expired.push((Arc::clone(id), entry.version));
            }
        }
        for (id, version) in &expired {
            tracing::info!(instance = %id, revision = %version.revision,
                "a missing instance was removed from the directory");
            self.entries.remove(id);
            self.removed.insert(Arc::clone(id), *version);
        }
        let max_age = self.instance_drain_limit * DRAIN_NOTICE_RETENTION;
        let entries = &self.entries;
        self.drain_notices.retain(now, max_age, |notice| {
            entries.get(&notice.instance).is_some_and(|entry| {
                entry.instance.is_draining && entry.instance.born_ms == notice.born_ms
            })
        });
        !expired.is_empty()
    }

    /// Logs the instances whose drain deadline has passed since `before`.
    fn log_drained(&self, before: Time, now: Time) {
        for Entry { instance, .. } in self.entries.values() {
            let Some(deadline) = self.drain_deadline(instance) else {
                continue;
            };
            if before < deadline && deadline <= now {
                tracing::info!(instance = %instance.id, service = %instance.service,
                    role = ?instance.role, "an instance that leaves receives no new work any more");
            }
        }
    }

    /// From when on an instance that leaves receives no new work.
    fn drain_deadline(&self, instance: &Instance) -> Option<Time> {
        let since = self.drain_notices.since(instance).filter(|_| instance.is_draining)?;
        Some(since + self.instance_drain_limit.saturating_sub(IN_FLIGHT_ALLOWANCE))
    }

    /// The instances by service, sorted by id.
    #[must_use]
    pub fn by_service(&self) -> HashMap<Arc<str>, Vec<DirectoryEntry>> {
        let mut services: HashMap<Arc<str>, Vec<DirectoryEntry>> = HashMap::new();
        for entry in self.entries.values() {
            let listed = DirectoryEntry {
                instance: Arc::clone(&entry.instance),
                revision: entry.version.revision,
                missing_for: entry.missing_for,
                drain_deadline: self.drain_deadline(&entry.instance),
            };
            services.entry(Arc::clone(&entry.instance.service)).or_default().push(listed);
        }
        for listed in services.values_mut() {
            listed.sort_by(|a, b| a.instance.id.cmp(&b.instance.id));
        }
        services
    }
}
