//! Changes of the store's objects, kept for other daemons, and until when they are complete.
//!
//! Invariant: a feed has every change that the store accepted before the time until which it is
//! complete, as far as the store's present copy has it. The time never goes back, and the store had
//! not passed the feed's revision at that time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use persimmon_interfaces::{Change, Changes, EncodedValue, Listing, Object, ObjectKind, Revision};
use persimmon_ownership::{ChangeFeed, Since};
use persimmon_types::{Clock, Time};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// How long a caller waits for changes: a fraction of the time within which a change of the table
/// must become active, because a caller notices only after this time that a watcher is silent.
const WAIT_LIMIT: Duration = Duration::from_millis(700);

/// How long after a restore of the store its writers may take to write again what it has lost.
const REWRITE_LIMIT: Duration = Duration::from_secs(3);

/// The kinds of objects that are relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RelayedKind {
    Table,
    Instances,
}

impl From<RelayedKind> for ObjectKind {
    fn from(kind: RelayedKind) -> Self {
        match kind {
            RelayedKind::Table => Self::Table,
            RelayedKind::Instances => Self::Instances,
        }
    }
}

impl TryFrom<ObjectKind> for RelayedKind {
    type Error = ();

    fn try_from(kind: ObjectKind) -> Result<Self, ()> {
        match kind {
            ObjectKind::Table => Ok(Self::Table),
            ObjectKind::Instances => Ok(Self::Instances),
            ObjectKind::Duties | ObjectKind::Fleet => Err(()),
        }
    }
}

/// A revision between daemons. A number alone comes from a daemon that knows of no eras.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum WireRevision {
    Number(u64),
    WithEra(u64, u64),
}

impl From<Revision> for WireRevision {
    fn from(revision: Revision) -> Self {
        Self::WithEra(revision.era, revision.number)
    }
}

impl WireRevision {
    fn without_era(self) -> Self {
        Self::Number(Revision::from(self).number)
    }
}

impl From<WireRevision> for Revision {
    fn from(wire: WireRevision) -> Self {
        match wire {
            WireRevision::Number(number) => Self::new(0, number),
            WireRevision::WithEra(era, number) => Self::new(era, number),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireObject {
    name: Arc<str>,
    revision: WireRevision,
    value: EncodedValue,
}

impl From<&Object> for WireObject {
    fn from(object: &Object) -> Self {
        Self {
            name: Arc::clone(&object.name),
            revision: object.revision.into(),
            value: object.value.clone(),
        }
    }
}

impl From<WireObject> for Object {
    fn from(wire: WireObject) -> Self {
        Self { name: wire.name, revision: wire.revision.into(), value: wire.value }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum WireChange {
    Written(WireObject),
    Removed(Arc<str>),
}

impl From<&Change> for WireChange {
    fn from(change: &Change) -> Self {
        match change {
            Change::Written(object) => Self::Written(object.into()),
            Change::Removed(name) => Self::Removed(Arc::clone(name)),
        }
    }
}

impl From<WireChange> for Change {
    fn from(wire: WireChange) -> Self {
        match wire {
            WireChange::Written(object) => Self::Written(object.into()),
            WireChange::Removed(name) => Self::Removed(name),
        }
    }
}

/// Changes since a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireChanges {
    changes: Vec<WireChange>,
    revision: WireRevision,
    /// How long ago the sender's changes were last known to be complete, in milliseconds; absent if
    /// that is not known.
    #[serde(default)]
    age_ms: Option<u64>,
}

impl From<WireChanges> for Changes {
    fn from(wire: WireChanges) -> Self {
        let changes = wire.changes.into_iter().map(Change::from).collect();
        Self { changes, revision: wire.revision.into() }
    }
}

/// All objects of a kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireListing {
    objects: Vec<WireObject>,
    revision: WireRevision,
    /// As in [`WireChanges`].
    #[serde(default)]
    age_ms: Option<u64>,
}

impl From<WireListing> for Listing {
    fn from(wire: WireListing) -> Self {
        let objects = wire.objects.into_iter().map(Object::from).collect();
        Self { objects, revision: wire.revision.into() }
    }
}

/// What a watcher answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum RelayReply {
    /// The changes since the requested revision; none if there were none in time.
    Changes(WireChanges),
    /// All objects, because the changes since the requested revision are not known.
    Listing(WireListing),
    /// This daemon does not watch the store.
    NotWatching,
    /// The store does not answer this daemon.
    StoreDown,
}

impl RelayReply {
    /// The time until which the sender's objects are complete, where the reply was requested at
    /// `requested_at`; `None` if the sender does not know.
    pub(crate) fn complete_until(&self, requested_at: Time) -> Option<Time> {
        let age_ms = match self {
            Self::Changes(changes) => changes.age_ms,
            Self::Listing(listing) => listing.age_ms,
            Self::NotWatching | Self::StoreDown => None,
        };
        Some(requested_at - Duration::from_millis(age_ms?))
    }

    /// The reply in the form that a daemon understands that knows of no eras.
    fn without_eras(mut self) -> Self {
        match &mut self {
            Self::Changes(changes) => {
                changes.revision = changes.revision.without_era();
                for change in &mut changes.changes {
                    let WireChange::Written(object) = change else {
                        continue;
                    };
                    object.revision = object.revision.without_era();
                }
            }
            Self::Listing(listing) => {
                listing.revision = listing.revision.without_era();
                for object in &mut listing.objects {
                    object.revision = object.revision.without_era();
                }
            }
            Self::NotWatching | Self::StoreDown => {}
        }
        self
    }
}

/// Whether a daemon follows the store itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum FeedState {
    /// It receives changes from another daemon.
    #[default]
    NotWatching,
    /// The store does not answer.
    StoreDown,
    /// The store answers.
    Live,
}

#[derive(Debug, Default)]
struct Feed {
    state: FeedState,
    changes: ChangeFeed,
    /// The time until which the feed is complete; `None` before that was first proved.
    complete_until: Option<Time>,
    /// When the store was last found to be restored, and the time before which nothing had been
    /// missed then.
    restored: Option<(Time, Option<Time>)>,
    /// The revision of the latest caller that was ahead of the feed; bounds the log.
    logged_ahead: Revision,
}

impl Feed {
    /// Records that the store had not passed `revision` at `time`.
    fn record_proof(&mut self, revision: Revision, time: Time) {
        let newest = self.changes.revision();
        if newest.is_zero() || newest.era != revision.era || newest < revision {
            return;
        }
        self.complete_until = self.complete_until.max(Some(time));
    }

    /// How long ago the feed was last known to be complete, rounded up to milliseconds.
    fn age_ms(&self) -> Option<u64> {
        let age = Clock.now().since(self.complete_until?);
        Some(u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX))
    }

    /// A time before which the store had accepted no change that this feed lacks, in any era.
    fn unseen_since(&self, now: Time) -> Option<Time> {
        match self.restored {
            Some((restored_at, before)) if now.since(restored_at) < REWRITE_LIMIT => before,
            _ => self.complete_until,
        }
    }

    /// Records that the store was restored, if a listing is of a later era.
    fn record_era(&mut self, listing: &Listing) {
        let known = self.changes.revision();
        if !known.is_zero() && listing.revision.era > known.era {
            let now = Clock.now();
            self.restored = Some((now, self.unseen_since(now)));
        }
    }

    /// The reply with the changes since `revision`, which may be none.
    fn changes_since(&self, revision: Revision) -> RelayReply {
        let (newest, age_ms) = (self.changes.revision(), self.age_ms());
        match self.changes.since(revision) {
            Since::Nothing => {
                let changes = Vec::new();
                RelayReply::Changes(WireChanges { changes, revision: revision.into(), age_ms })
            }
            Since::Changes(changes) => {
                let changes = changes.into_iter().map(WireChange::from).collect();
                RelayReply::Changes(WireChanges { changes, revision: newest.into(), age_ms })
            }
            Since::All(objects) => {
                let objects = objects.into_iter().map(WireObject::from).collect();
                RelayReply::Listing(WireListing { objects, revision: newest.into(), age_ms })
            }
        }
    }

    /// Logs that a caller has a higher revision than this feed, once for each such revision.
    fn log_caller_ahead(&mut self, kind: RelayedKind, revision: Revision) {
        let newest = self.changes.revision();
        if revision > newest && revision != self.logged_ahead {
            self.logged_ahead = revision;
            tracing::info!(?kind, requested = %revision, %newest, state = ?self.state,
                "a daemon requests changes since a revision that this watcher has not reached");
        }
    }

    /// The reply to a caller that has everything up to `revision`; `None` if it has to wait.
    fn reply(&self, revision: Revision) -> Option<RelayReply> {
        match self.state {
            FeedState::NotWatching => return Some(RelayReply::NotWatching),
            FeedState::StoreDown | FeedState::Live if self.changes.revision().is_zero() => {
                return None;
            }
            FeedState::StoreDown => return Some(RelayReply::StoreDown),
            FeedState::Live => {}
        }
        let has_nothing = matches!(self.changes.since(revision), Since::Nothing);
        (!has_nothing).then(|| self.changes_since(revision))
    }
}

/// What this daemon has read from the store, for daemons that do not watch it.
#[derive(Debug)]
pub(crate) struct Relay {
    table: Mutex<Feed>,
    instances: Mutex<Feed>,
    changed: Notify,
}

impl Relay {
    /// Creates a relay that has received nothing.
    pub(crate) fn new() -> Self {
        // Each change of the table is the whole table.
        let changes = ChangeFeed::new().with_max_batches(0);
        let table = Feed { changes, ..Feed::default() };
        Self { table: Mutex::new(table), instances: Mutex::default(), changed: Notify::new() }
    }

    fn feed(&self, kind: RelayedKind) -> MutexGuard<'_, Feed> {
        let feed = match kind {
            RelayedKind::Table => &self.table,
            RelayedKind::Instances => &self.instances,
        };
        feed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether this daemon follows the store, and whether the store answers.
    pub(crate) fn set_state(&self, kind: RelayedKind, state: FeedState) {
        let before = std::mem::replace(&mut self.feed(kind).state, state);
        if before != state {
            self.changed.notify_waiters();
        }
    }

    /// The revision up to which this daemon has received changes; `None` before the first listing.
    pub(crate) fn revision(&self, kind: RelayedKind) -> Option<Revision> {
        Some(self.feed(kind).changes.revision()).filter(|revision| !revision.is_zero())
    }

    /// Records that the store had not passed `revision` at `time`. The store numbers the changes of
    /// all kinds together, so that this may prove more than one feed complete.
    pub(crate) fn record_proof(&self, revision: Revision, time: Time) {
        for kind in [RelayedKind::Table, RelayedKind::Instances] {
            self.feed(kind).record_proof(revision, time);
        }
    }

    /// The time until which the changes of a kind are complete; `None` before that was first proved.
    pub(crate) fn complete_until(&self, kind: RelayedKind) -> Option<Time> {
        self.feed(kind).complete_until
    }

    /// A time before which the store had accepted no change of a kind that this daemon lacks; `None`
    /// if none is known.
    pub(crate) fn unseen_since(&self, kind: RelayedKind) -> Option<Time> {
        self.feed(kind).unseen_since(Clock.now())
    }

    /// Replaces all objects of a kind, unless the listing is older than what was received.
    pub(crate) fn apply_listing(&self, kind: RelayedKind, listing: &Listing) {
        let mut feed = self.feed(kind);
        feed.record_era(listing);
        feed.changes.apply_listing(listing);
        drop(feed);
        self.changed.notify_waiters();
    }

    /// Applies what a watch returned.
    pub(crate) fn apply_changes(&self, kind: RelayedKind, changes: &Changes) {
        self.feed(kind).changes.apply_changes(changes);
        self.changed.notify_waiters();
    }

    /// Answers a caller's request for the changes since a revision. One that knows of no eras is
    /// taken to be in the present one.
    pub(crate) async fn answer(&self, kind: RelayedKind, requested: WireRevision) -> RelayReply {
        let WireRevision::Number(number) = requested else {
            return self.wait(kind, requested.into()).await;
        };
        let era = self.feed(kind).changes.revision().era;
        self.wait(kind, Revision::new(era, number)).await.without_eras()
    }

    /// Answers at once, whether or not this daemon watches the store: the reply tells how current it
    /// is.
    pub(crate) fn answer_at_once(&self, kind: RelayedKind, requested: WireRevision) -> RelayReply {
        let feed = self.feed(kind);
        if feed.changes.revision().is_zero() {
            return RelayReply::NotWatching;
        }
        feed.changes_since(requested.into())
    }

    /// The changes since a revision, as soon as there are any.
    async fn wait(&self, kind: RelayedKind, revision: Revision) -> RelayReply {
        let deadline = Clock.now() + WAIT_LIMIT;
        let state = {
            let mut feed = self.feed(kind);
            feed.log_caller_ahead(kind, revision);
            feed.state
        };
        loop {
            let changed = self.changed.notified();
            let is_down = {
                let feed = self.feed(kind);
                let is_down = feed.state != FeedState::Live;
                // A caller that is told at once that the store is down would ask again at once.
                let answers_now =
                    !is_down || feed.state != state || feed.state == FeedState::NotWatching;
                if let Some(reply) = feed.reply(revision).filter(|_| answers_now) {
                    return reply;
                }
                is_down
            };
            let left = deadline.since(Clock.now());
            if left.is_zero() {
                if is_down {
                    return RelayReply::StoreDown;
                }
                let age_ms = self.feed(kind).age_ms();
                let revision = revision.into();
                return RelayReply::Changes(WireChanges { changes: Vec::new(), revision, age_ms });
            }
            // A timeout only makes the loop check again.
            let _ = tokio::time::timeout(left, changed).await;
        }
    }
}
