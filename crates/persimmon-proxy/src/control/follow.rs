//! Follows the table and the directory in the store: one listing, then changes from its revision,
//! which few daemons request from the store and the others from them.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use persimmon_interfaces::{Change, Changes, Listing, Object, ObjectKind, Revision, StoreError};
use persimmon_ownership::{
    SourceChooser, WATCHER_KEY, WatchSource, WatcherFailure, needs_watchers, watchers,
};
use persimmon_types::{Clock, Time};
use rand::Rng;

use crate::control::Control;
use crate::control::backoff::Backoff;
use crate::control::check::{self, CHECK_WAIT, Found, FoundObjects};
use crate::directory::max_directory_delay;
use crate::relay::{FeedState, RelayReply, RelayedKind};

/// How long a watch waits at the store, just below the thirty seconds that a store allows: a
/// shorter wait costs more calls, and a watch whose revision has left the history also costs a
/// listing.
const DIRECT_WATCH_WAIT: Duration = Duration::from_secs(29);

/// How long a watch of a watcher waits; a shorter wait costs more calls.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long a watch waits of a daemon whose watchers do not answer: the store may be silent to it,
/// and the watchers may answer again meanwhile.
const SUBSTITUTE_WATCH_WAIT: Duration = Duration::from_millis(300);

/// How many times its own limit a watcher's proof may be old before another watcher is asked.
const MAX_SOURCE_AGE_FACTOR: u32 = 2;

/// Pause between two comparisons with other watchers, which wait for changes themselves.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// Watchers that are asked at the same time, in turn: a large table comes from each of them.
const COMPARED_WATCHERS: usize = 2;

/// How often a daemon that has just started checks whether it knows the watchers.
pub(super) const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a change of the directory, so that changes in quick succession cost one call.
const DIRECTORY_PACE: Duration = Duration::from_millis(2_500);

/// Pause after a change of the table: a fraction of the time within which a change must become
/// active, so that a burst of changes costs about one call per second.
const TABLE_PACE: Duration = Duration::from_millis(700);

/// Follows the table of the operators.
pub(crate) async fn follow_table(control: Rc<Control>) {
    follow(control, ObjectKind::Table, TABLE_PACE).await;
}

/// Follows the instance directory.
pub(crate) async fn follow_directory(control: Rc<Control>) {
    let pace = DIRECTORY_PACE.min(max_directory_delay(control.settings.instance_drain_limit));
    follow(control, ObjectKind::Instances, pace).await;
}

async fn follow(control: Rc<Control>, kind: ObjectKind, pace: Duration) {
    ntex::rt::spawn(compare_with_watchers(Rc::clone(&control), kind));
    let mut follower = Follower::new(&control, kind, pace);
    loop {
        follower.step().await;
    }
}

/// On a watcher, requests the changes that other watchers have received: the store may have
/// accepted this daemon's watch without ever answering it.
async fn compare_with_watchers(control: Rc<Control>, kind: ObjectKind) {
    let Ok(relayed) = RelayedKind::try_from(kind) else {
        return;
    };
    let mut follower = Follower::new(&control, kind, Duration::ZERO);
    let mut first = 0;
    loop {
        tokio::time::sleep(COMPARE_INTERVAL).await;
        let Some(revision) = control.relay.revision(relayed) else {
            continue;
        };
        let others = other_watchers(&control);
        let mut requests = FuturesUnordered::new();
        for index in 0..others.len().min(COMPARED_WATCHERS) {
            let peer = others[(first + index) % others.len()];
            let control = Rc::clone(&control);
            requests
                .push(async move { control.request_changes(peer, relayed, Some(revision)).await });
        }
        first = first.wrapping_add(COMPARED_WATCHERS);
        follower.revision = Some(revision);
        let requested_at = Clock.now();
        while let Some(reply) = requests.next().await {
            let complete_until = reply.as_ref().ok().and_then(|r| r.complete_until(requested_at));
            match reply {
                Ok(RelayReply::Changes(changes)) => {
                    let changes = Changes::from(changes);
                    follower.apply_changes(&changes);
                    follower.record_proof(changes.revision, complete_until);
                }
                Ok(RelayReply::Listing(listing)) => {
                    let listing = Listing::from(listing);
                    let before = control.relay.revision(relayed);
                    if Some(listing.revision) > before {
                        tracing::info!(
                            ?kind,
                            revision = %listing.revision,
                            before = before.map(tracing::field::display),
                            "the objects of another watcher replace those of this one"
                        );
                        follower.apply_listing(&listing);
                        follower.record_proof(listing.revision, complete_until);
                    }
                }
                Ok(RelayReply::NotWatching | RelayReply::StoreDown) => {}
                Err(err) => tracing::debug!(?kind, error = %err, "another watcher does not answer"),
            }
        }
    }
}

/// The other watchers that a watcher compares itself with; none on other daemons.
fn other_watchers(control: &Control) -> Vec<SocketAddr> {
    if !control.peers.daemon_count().is_some_and(needs_watchers) {
        return Vec::new();
    }
    let ranked = control.peers.owners(&Arc::from(WATCHER_KEY));
    let domain = &control.settings.failure_domain;
    let mut others = ranked.first_elsewhere(domain);
    let local = watchers(ranked.candidates(domain), others.len());
    let own = control.settings.peers;
    if !local.contains(&own) {
        return Vec::new();
    }
    others.extend(local.iter().copied().filter(|peer| *peer != own));
    others
}

/// Follows the objects of one kind.
pub(super) struct Follower<'a> {
    control: &'a Control,
    kind: ObjectKind,
    /// Pause after a change that the store returned.
    pace: Duration,
    sources: SourceChooser,
    backoff: Backoff,
    /// The store's revision up to which changes were received; `None` before the first listing.
    revision: Option<Revision>,
    /// The revision whose later changes the store no longer has, for the log.
    gone_revision: Option<Revision>,
    may_be_stale: bool,
    /// Whether the store's latest answer was of the era of `revision`.
    is_era_checked: bool,
}

impl<'a> Follower<'a> {
    pub(super) fn new(control: &'a Control, kind: ObjectKind, pace: Duration) -> Self {
        Self {
            control,
            kind,
            pace,
            sources: SourceChooser::new(),
            backoff: Backoff::new(kind),
            revision: None,
            gone_revision: None,
            // The watch that follows delivers what a stale listing misses, unless the history is
            // gone.
            may_be_stale: true,
            is_era_checked: false,
        }
    }

    async fn step(&mut self) {
        let control = self.control;
        match control.peers.daemon_count() {
            // The watchers are not known yet.
            None if self.revision.is_some() => {
                tokio::time::sleep(SETTLE_CHECK_INTERVAL).await;
                return;
            }
            Some(daemons) if needs_watchers(daemons) => {}
            None | Some(_) => return self.follow_store(DIRECT_WATCH_WAIT).await,
        }
        let ranked = control.peers.owners(&Arc::from(WATCHER_KEY));
        let domain = &control.settings.failure_domain;
        let source = self.sources.choose(
            Clock.now(),
            control.settings.peers,
            ranked.candidates(domain),
            &ranked.first_elsewhere(domain),
            rand::rng().random_range(0.0..1.0),
        );
        match source {
            WatchSource::Store { is_watcher: true } => self.follow_store(WATCH_WAIT).await,
            WatchSource::Store { is_watcher: false } => {
                self.set_feed_state(FeedState::NotWatching);
                self.follow_store(SUBSTITUTE_WATCH_WAIT).await;
            }
            WatchSource::Watcher(peer) => {
                self.is_era_checked = false;
                self.set_feed_state(FeedState::NotWatching);
                self.follow_watcher(peer).await;
            }
            WatchSource::Pause(pause) => tokio::time::sleep(pause).await,
        }
    }

    fn set_feed_state(&self, state: FeedState) {
        if let Ok(kind) = RelayedKind::try_from(self.kind) {
            self.control.relay.set_state(kind, state);
        }
    }

    /// Lists the objects in the store if none were received yet, or watches them.
    async fn follow_store(&mut self, wait: Duration) {
        // A store that was restored may have given the watched revision out again, and would then
        // accept the watch and wait for later changes without telling its era.
        let wait = if self.is_era_checked { wait } else { wait.min(CHECK_WAIT) };
        let (call, result) = match self.revision {
            None => ("list", self.list().await),
            Some(revision) => ("watch", self.watch(revision, wait).await),
        };
        // The first listing of instances may be stale: what it lacks is fetched at once, so that later
        // news can be dated.
        let is_stale = call == "list" && self.may_be_stale && self.kind == ObjectKind::Instances;
        self.is_era_checked = result.is_ok() && !is_stale;
        self.control.record_store_call(call, result.as_ref().err());
        match result {
            Ok(has_changes) => {
                self.backoff = Backoff::new(self.kind);
                self.set_feed_state(FeedState::Live);
                if has_changes {
                    tokio::time::sleep(self.pace).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                self.forget_revision(
                    "the watched revision is no longer in the store's history; listing again",
                );
            }
            // A watch may be interrupted at any time; missed changes are in the history.
            Err(_) => {
                self.set_feed_state(FeedState::StoreDown);
                self.follow_peers().await;
                self.backoff.pause().await;
            }
        }
    }

    /// Makes the next request one for all objects.
    fn forget_revision(&mut self, why: &str) {
        tracing::info!(kind = ?self.kind,
            revision = self.revision.map(tracing::field::display), "{why}");
        self.gone_revision = self.revision.take();
        self.may_be_stale = false;
    }

    /// Continues from a revision up to which another follower has received the changes.
    pub(super) fn resume_at(&mut self, revision: Revision) {
        self.revision = Some(revision);
        self.may_be_stale = false;
    }

    /// Requests what peers know while the store does not answer.
    async fn follow_peers(&mut self) {
        let (Some(revision), Ok(kind)) = (self.revision, RelayedKind::try_from(self.kind)) else {
            return;
        };
        if let Some(found) = check::ask_peers(self.control, kind, revision).await {
            self.apply_found(&found);
        }
    }

    pub(super) async fn list(&mut self) -> Result<bool, StoreError> {
        let requested_at = Clock.now();
        let listing = self.control.platform.store.list(self.kind, self.may_be_stale).await?;
        tracing::info!(kind = ?self.kind, revision = %listing.revision,
            before = self.gone_revision.map(tracing::field::display),
            objects = listing.objects.len(), "the objects in the store were listed");
        self.apply_listing(&listing);
        if !self.may_be_stale {
            self.control.relay.record_proof(listing.revision, requested_at);
        }
        Ok(false)
    }

    /// Waits for changes; returns whether there were any.
    async fn watch(&mut self, revision: Revision, wait: Duration) -> Result<bool, StoreError> {
        let control = self.control;
        let requested_at = Clock.now();
        let found = tokio::select! {
            result = control.platform.store.watch(self.kind, revision, wait) => {
                let objects = FoundObjects::Changes(result?);
                Found { objects, complete_until: Some(requested_at) }
            }
            // A watch that does not wait is a check itself.
            found = check::until_behind(control, self.kind, revision), if wait > CHECK_WAIT => found?,
            () = control.wait_for_era_after(revision.era) => return Err(StoreError::HistoryGone),
        };
        Ok(self.apply_found(&found))
    }

    /// Applies what was found; returns whether that contains changes.
    pub(super) fn apply_found(&mut self, found: &Found) -> bool {
        let (revision, has_changes) = match &found.objects {
            FoundObjects::Changes(changes) => {
                self.apply_changes(changes);
                (changes.revision, !changes.changes.is_empty())
            }
            FoundObjects::Listing(listing) => {
                self.apply_listing(listing);
                (listing.revision, true)
            }
        };
        self.record_proof(revision, found.complete_until);
        has_changes
    }

    /// Records until when the objects are complete, if that is known.
    fn record_proof(&self, revision: Revision, complete_until: Option<Time>) {
        if let Some(complete_until) = complete_until {
            self.control.relay.record_proof(revision, complete_until);
        }
    }

    /// Requests the changes from a daemon that watches the store.
    async fn follow_watcher(&mut self, peer: SocketAddr) {
        let Ok(kind) = RelayedKind::try_from(self.kind) else {
            return;
        };
        let requested_at = Clock.now();
        // After one that did not answer, a watcher is asked for what it has now, which takes less time
        // to fail.
        let reply = if self.sources.has_unanswered() {
            self.control.request_check(peer, kind, self.revision.unwrap_or_default()).await
        } else {
            self.control.request_changes(peer, kind, self.revision).await
        };
        let complete_until = reply.as_ref().ok().and_then(|r| r.complete_until(requested_at));
        let failure = match reply {
            Ok(RelayReply::Changes(changes)) => {
                let objects = FoundObjects::Changes(changes.into());
                self.apply_found(&Found { objects, complete_until });
                self.source_failure(kind, peer, complete_until)
            }
            Ok(RelayReply::Listing(listing)) => {
                let objects = FoundObjects::Listing(listing.into());
                self.apply_found(&Found { objects, complete_until });
                None
            }
            Ok(RelayReply::NotWatching) => Some(WatcherFailure::NotWatching),
            Ok(RelayReply::StoreDown) => Some(WatcherFailure::StoreDown),
            Err(err) => {
                tracing::info!(kind = ?self.kind, %peer, error = %err,
                    "a watcher of the store does not answer");
                Some(WatcherFailure::Unreachable)
            }
        };
        if failure != Some(WatcherFailure::NotWatching) {
            self.control.record_source(failure);
        }
        match failure {
            Some(failure) => self.sources.record_failure(Clock.now(), peer, failure),
            None => self.sources.record_success(),
        }
    }

    /// Whether a watcher is so far behind that another one is to be asked. One that does not tell
    /// counts as current.
    fn source_failure(
        &self,
        kind: RelayedKind,
        peer: SocketAddr,
        complete_until: Option<Time>,
    ) -> Option<WatcherFailure> {
        let age = Clock.now().since(complete_until?);
        let is_behind = age > check::max_proof_age(self.control, kind) * MAX_SOURCE_AGE_FACTOR;
        if is_behind {
            tracing::info!(kind = ?self.kind, %peer, ?age, "a watcher of the store is behind");
        }
        is_behind.then_some(WatcherFailure::StoreDown)
    }

    /// Whether other daemons use an object. Another writer may store any number of large ones beside
    /// the table.
    fn is_relayed(&self, object: &Object) -> bool {
        self.kind != ObjectKind::Table || self.control.object_decoder.is_table(object)
    }

    fn relayed_listing<'b>(&self, listing: &'b Listing) -> Cow<'b, Listing> {
        let is_relayed = |object: &&Object| self.is_relayed(object);
        if listing.objects.iter().all(|object| is_relayed(&object)) {
            return Cow::Borrowed(listing);
        }
        let objects = listing.objects.iter().filter(is_relayed).cloned().collect();
        Cow::Owned(Listing { objects, revision: listing.revision })
    }

    fn relayed_changes<'b>(&self, changes: &'b Changes) -> Cow<'b, Changes> {
        let is_relayed = |change: &&Change| match change {
            Change::Written(object) => self.is_relayed(object),
            Change::Removed(_) => true,
        };
        if changes.changes.iter().all(|change| is_relayed(&change)) {
            return Cow::Borrowed(changes);
        }
        let kept = changes.changes.iter().filter(is_relayed).cloned().collect();
        Cow::Owned(Changes { changes: kept, revision: changes.revision })
    }

    pub(super) fn apply_listing(&mut self, listing: &Listing) {
        self.control.record_era(listing.revision.era, "listing");
        self.revision = Some(listing.revision);
        let unseen_since = self.control.unseen_since();
        if let Ok(kind) = RelayedKind::try_from(self.kind) {
            self.control.relay.apply_listing(kind, &self.relayed_listing(listing));
        }
        if self.kind == ObjectKind::Table {
            for object in &listing.objects {
                apply_table(self.control, object);
            }
            return;
        }
        let decoder = &*self.control.object_decoder;
        let changed =
            self.control.directory.borrow_mut().apply_listing(decoder, listing, unseen_since);
        let is_first = !self.control.has_directory.replace(true);
        if changed || is_first {
            self.control.publish();
        }
    }

    pub(super) fn apply_changes(&mut self, changes: &Changes) {
        self.control.record_era(changes.revision.era, "changes");
        let Some(revision) = self.revision.filter(|r| r.era == changes.revision.era) else {
            // The changes do not continue what was received, so that some may be missing.
            self.forget_revision("the changes are of another era of the store; listing again");
            return;
        };
        self.revision = Some(revision.max(changes.revision));
        if let Ok(kind) = RelayedKind::try_from(self.kind) {
            self.control.relay.apply_changes(kind, &self.relayed_changes(changes));
        }
        apply_changes(self.control, self.kind, &changes.changes);
    }
}

fn apply_changes(control: &Control, kind: ObjectKind, changes: &[Change]) {
    let unseen_since = control.unseen_since();
    let mut changed = false;
    for change in changes {
        match (kind, change) {
            (ObjectKind::Table, Change::Written(object)) => apply_table(control, object),
            (ObjectKind::Instances, change) => {
                let object_decoder = &*control.object_decoder;
                let mut directory = control.directory.borrow_mut();
                changed |= directory.apply_change(object_decoder, change, unseen_since);
            }
            _ => {}
        }
    }
    if changed {
        control.publish();
    }
}

fn apply_table(control: &Control, object: &Object) {
    if !control.object_decoder.is_table(object) {
        return;
    }
    match control.object_decoder.decode_table(object) {
        Ok(table) => control.receive_stored_table(object.revision.era, table),
        Err(err) => {
            tracing::error!(revision = %object.revision, problem = %err,
                "the table in the store is invalid and ignored");
        }
    }
}
