//! Checks that a daemon has every change of the store's objects.
//!
//! A store may accept a watch and never answer it, and then looks like one without changes: a watch
//! that waits proves nothing. While it waits, the daemon renews its proof before that becomes too
//! old, by a call that does not wait. One daemon asks the store; one of each failure domain asks that
//! daemon, and the others that one, so that the calls to the store do not grow with the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use persimmon_interfaces::{Changes, Listing, ObjectKind, Revision, StoreError};
use persimmon_ownership::WATCHER_KEY;
use persimmon_types::{Clock, Time};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::control::Control;
use crate::control::backoff::Backoff;
use crate::control::follow::SETTLE_CHECK_INTERVAL;
use crate::directory::max_directory_delay;
use crate::metrics::Metrics;
use crate::relay::{RelayReply, RelayedKind};

/// How long a watch waits that only checks what the store has now.
pub(super) const CHECK_WAIT: Duration = Duration::from_millis(1);

/// How long the store may take to answer a check: peers can prove the same, and the watch that waits
/// beside it has its own time limit.
const STORE_CHECK_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a daemon takes to renew its proof by that of another one.
const HOP_TIME: Duration = Duration::from_millis(150);

/// Peers that are asked at the same time for what they have now.
const MAX_ASKED_PEERS: usize = 2;

/// Objects that this daemon lacks.
#[derive(Debug)]
pub(super) struct Found {
    pub(super) objects: FoundObjects,
    /// The time until which this daemon's objects are complete with these.
    pub(super) complete_until: Option<Time>,
}

/// The form in which missing objects were received.
#[derive(Debug)]
pub(super) enum FoundObjects {
    Changes(Changes),
    Listing(Listing),
}

/// How old the proof that a kind of objects is complete may become: a part of the time within which a
/// change must take effect.
pub(super) fn max_proof_age(control: &Control, kind: RelayedKind) -> Duration {
    match kind {
        RelayedKind::Table => control.settings.table_apply_limit * 2 / 3,
        RelayedKind::Instances => max_directory_delay(control.settings.instance_drain_limit),
    }
}

fn is_proved(control: &Control, kind: RelayedKind) -> bool {
    let limit = max_proof_age(control, kind);
    control.relay.complete_until(kind).is_some_and(|until| Clock.now().since(until) < limit)
}

/// Waits until a peer or the store has changes after `revision`.
pub(super) async fn until_behind(
    control: &Control,
    kind: ObjectKind,
    revision: Revision,
) -> Result<Found, StoreError> {
    let Ok(relayed) = RelayedKind::try_from(kind) else {
        return std::future::pending().await;
    };
    let mut backoff = Backoff::new(kind);
    loop {
        if control.peers.daemon_count().is_none() {
            // The peers to ask are not known yet.
            tokio::time::sleep(SETTLE_CHECK_INTERVAL).await;
            continue;
        }
        let rank = rank(control);
        wait_until_due(control, relayed, rank).await;
        if rank != Rank::First {
            if let Some(found) = ask_peers(control, relayed, revision).await {
                return Ok(found);
            }
            if is_proved(control, relayed) {
                continue;
            }
        }
        match ask_store(control, kind, revision).await {
            Ok(Some(found)) => return Ok(found),
            Ok(None) => backoff = Backoff::new(kind),
            Err(StoreError::HistoryGone) => return Err(StoreError::HistoryGone),
            Err(_) => {
                if rank == Rank::First
                    && let Some(found) = ask_peers(control, relayed, revision).await
                {
                    return Ok(found);
                }
                backoff.pause().await;
            }
        }
    }
}

/// Which daemon a daemon asks to renew its proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rank {
    /// None: it asks the store.
    First,
    /// The first daemon of all.
    FirstOfDomain,
    /// The first daemon of its failure domain.
    Other,
}

fn rank(control: &Control) -> Rank {
    let own = control.settings.peers;
    let ranked = control.peers.owners(&Arc::from(WATCHER_KEY));
    if control.peers.top(WATCHER_KEY, 1).first() == Some(&own) {
        Rank::First
    } else if ranked.candidates(&control.settings.failure_domain).first() == Some(&own) {
        Rank::FirstOfDomain
    } else {
        Rank::Other
    }
}

/// Waits until the proof has to be renewed. A daemon does so before those that ask it, also where all
/// proofs are overdue because a change has just been received; jitter keeps daemons from asking
/// together.
async fn wait_until_due(control: &Control, kind: RelayedKind, rank: Rank) {
    let (part, min_wait) = match rank {
        Rank::First => (0.55..0.65, Duration::ZERO),
        Rank::FirstOfDomain => (0.7..0.8, HOP_TIME),
        Rank::Other => (0.85..1.0, HOP_TIME * 2),
    };
    let mut rng = rand::rng();
    let limit = max_proof_age(control, kind).mul_f64(rng.random_range(part));
    tokio::time::sleep(min_wait.mul_f64(rng.random_range(1.0..1.5))).await;
    loop {
        let age = control.relay.complete_until(kind).map(|until| Clock.now().since(until));
        let left = age.map_or(Duration::ZERO, |age| limit.saturating_sub(age));
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left).await;
    }
}

/// Asks the store for the changes after `revision`; returns `None` if there are none.
pub(super) async fn ask_store(
    control: &Control,
    kind: ObjectKind,
    revision: Revision,
) -> Result<Option<Found>, StoreError> {
    let requested_at = Clock.now();
    Metrics::increment(&control.metrics.store_checks);
    let call = control.platform.store.watch(kind, revision, CHECK_WAIT);
    let result = tokio::time::timeout(STORE_CHECK_TIMEOUT, call).await;
    let result = result.unwrap_or_else(|_| {
        Err(StoreError::Unavailable("no answer to a check in time".to_owned()))
    });
    control.record_store_call("check", result.as_ref().err());
    let changes = result?;
    control.record_era(changes.revision.era, "check");
    if changes.revision.era != revision.era {
        return Err(StoreError::HistoryGone);
    }
    let complete_until = Some(requested_at);
    if !changes.changes.is_empty() {
        tracing::info!(?kind, %revision, newest = %changes.revision,
            "the store has changes that the waiting watch did not return");
        return Ok(Some(Found { objects: FoundObjects::Changes(changes), complete_until }));
    }
    record_no_changes(control, kind, &changes, complete_until);
    Ok(None)
}

/// Records that nothing has changed up to the revision of `changes`, which are none.
fn record_no_changes(
    control: &Control,
    kind: ObjectKind,
    changes: &Changes,
    complete_until: Option<Time>,
) {
    if let Ok(relayed) = RelayedKind::try_from(kind) {
        control.relay.apply_changes(relayed, changes);
    }
    if let Some(complete_until) = complete_until {
        control.relay.record_proof(changes.revision, complete_until);
    }
}

/// Asks peers for the changes after `revision`, until one proves that there are none or has some.
pub(super) async fn ask_peers(
    control: &Control,
    kind: RelayedKind,
    revision: Revision,
) -> Option<Found> {
    for peer in check_peers(control) {
        let found = ask_peer(control, peer, kind, revision).await;
        if found.is_some() {
            return found;
        }
        if is_proved(control, kind) {
            return None;
        }
    }
    None
}

/// The daemons of this failure domain that are most likely to have the newest objects.
pub(super) fn local_peers(control: &Control) -> Vec<SocketAddr> {
    let ranked = control.peers.owners(&Arc::from(WATCHER_KEY));
    let candidates = ranked.candidates(&control.settings.failure_domain).iter().copied();
    candidates.filter(|peer| *peer != control.settings.peers).take(MAX_ASKED_PEERS).collect()
}

/// Asks peers beside each other, whatever is proved already; returns what the first one has that knows
/// of changes.
pub(super) async fn ask_any_peer(
    control: &Control,
    peers: &[SocketAddr],
    kind: RelayedKind,
    revision: Revision,
) -> Option<Found> {
    let mut asking: FuturesUnordered<_> =
        peers.iter().map(|peer| ask_peer(control, *peer, kind, revision)).collect();
    while let Some(found) = asking.next().await {
        if found.is_some() {
            return found;
        }
    }
    None
}

/// The daemon that renews this one's proof, and another one in case that fails.
fn check_peers(control: &Control) -> Vec<SocketAddr> {
    let ranked = control.peers.owners(&Arc::from(WATCHER_KEY));
    let domain = &control.settings.failure_domain;
    let first = control.peers.top(WATCHER_KEY, 1).first().copied();
    let local = ranked.candidates(domain).first().copied();
    let elsewhere = ranked.first_elsewhere(domain).choose(&mut rand::rng()).copied();
    let source = if rank(control) == Rank::Other { local } else { first };
    let own = control.settings.peers;
    let mut peers: Vec<SocketAddr> =
        source.into_iter().chain(elsewhere).filter(|peer| *peer != own).collect();
    peers.dedup();
    peers
}

async fn ask_peer(
    control: &Control,
    peer: SocketAddr,
    kind: RelayedKind,
    revision: Revision,
) -> Option<Found> {
    let requested_at = Clock.now();
    let reply = match control.request_check(peer, kind, revision).await {
        Ok(reply) => reply,
        Err(err) => {
            tracing::debug!(?kind, %peer, error = %err, "a peer does not tell its changes");
            return None;
        }
    };
    let complete_until = reply.complete_until(requested_at);
    let objects = match reply {
        RelayReply::Changes(changes) => {
            let changes = Changes::from(changes);
            if changes.revision.era != revision.era {
                return None;
            }
            if changes.changes.is_empty() {
                record_no_changes(control, kind.into(), &changes, complete_until);
                return None;
            }
            FoundObjects::Changes(changes)
        }
        RelayReply::Listing(listing) => {
            let listing = Listing::from(listing);
            if listing.revision <= revision {
                return None;
            }
            FoundObjects::Listing(listing)
        }
        RelayReply::NotWatching | RelayReply::StoreDown => return None,
    };
    tracing::info!(?kind, %peer, %revision, "a peer has changes that this daemon lacks");
    Some(Found { objects, complete_until })
}
