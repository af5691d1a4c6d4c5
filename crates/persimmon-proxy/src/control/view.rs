//! Proves that a daemon's view of the instances is recent, before it replaces a primary.
//!
//! A daemon that was cut off acts on a view from before otherwise.

use std::time::Duration;

use futures::future::join_all;
use persimmon_interfaces::{Changes, Listing, ObjectKind, Revision, StoreError};
use persimmon_types::{Clock, Time};
use rand::seq::SliceRandom;

use crate::control::Control;
use crate::control::check::ask_store;
use crate::control::follow::Follower;
use crate::relay::{RelayReply, RelayedKind};

/// Maximum age of the proof by which a primary is replaced.
const MAX_VIEW_AGE: Duration = Duration::from_millis(500);

/// Peers that are asked, at most, whether this daemon is isolated.
const VIEW_PEERS: usize = 9;

/// Brings the directory up to date; returns whether the store answered, or else a majority of the
/// peers: a minority may be cut off together with this daemon.
pub(super) async fn prove_view(control: &Control) -> bool {
    prove_view_since(control, Clock.now() - MAX_VIEW_AGE).await
}

/// The same; the proof is not older than `since`.
pub(super) async fn prove_view_since(control: &Control, since: Time) -> bool {
    let kind = RelayedKind::Instances;
    if control.relay.complete_until(kind).is_some_and(|until| until >= since) {
        return true;
    }
    let Some(revision) = control.relay.revision(kind) else {
        return false;
    };
    if control.is_store_reachable() && update_from_store(control, revision).await {
        return true;
    }
    let (answered, asked) = update_from_peers(control, revision).await;
    let has_majority = (answered + 1) * 2 > asked + 1;
    tracing::info!(
        answered,
        asked,
        has_majority,
        "the store does not prove the directory; peers were asked"
    );
    has_majority || update_from_store(control, revision).await
}

async fn update_from_store(control: &Control, revision: Revision) -> bool {
    let kind = ObjectKind::Instances;
    let mut follower = Follower::new(control, kind, Duration::ZERO);
    follower.resume_at(revision);
    match ask_store(control, kind, revision).await {
        Ok(None) => true,
        Ok(Some(found)) => {
            follower.apply_found(&found);
            true
        }
        Err(StoreError::HistoryGone) => follower.list().await.is_ok(),
        Err(_) => false,
    }
}

/// Asks peers for changes of the directory; returns how many answered, and how many were asked.
async fn update_from_peers(control: &Control, revision: Revision) -> (usize, usize) {
    let mut peers = control.peers.all();
    peers.shuffle(&mut rand::rng());
    peers.truncate(VIEW_PEERS);
    let kind = RelayedKind::Instances;
    let calls = peers.iter().map(|peer| control.request_check(*peer, kind, revision));
    let replies = join_all(calls).await;
    let mut answered = 0;
    for reply in replies.into_iter().flatten() {
        answered += 1;
        let mut follower = Follower::new(control, ObjectKind::Instances, Duration::ZERO);
        follower.resume_at(control.relay.revision(kind).unwrap_or(revision));
        match reply {
            RelayReply::Changes(changes) => follower.apply_changes(&Changes::from(changes)),
            RelayReply::Listing(listing) => {
                let listing = Listing::from(listing);
                if Some(listing.revision) > control.relay.revision(kind) {
                    follower.apply_listing(&listing);
                }
            }
            RelayReply::NotWatching | RelayReply::StoreDown => {}
        }
    }
    (answered, peers.len())
}
