//! Which daemons watch the store, and when a daemon is cut off.

use std::time::Duration;

use persimmon_kernel::{Action, Context};
use persimmon_types::{TimelineKind, rank};

/// How many daemons watch the store for all.
const WATCHERS: usize = 3;

/// A daemon that has no news of the store for this long watches it itself.
const WATCH_SILENCE: Duration = Duration::from_secs(5);

/// A daemon without the store and without a majority of its peers for this long refuses new work.
const CUT_OFF_AFTER: Duration = Duration::from_secs(10);

/// Decides whether this daemon watches the store.
pub(crate) fn decide_watch(cx: &mut Context<'_>, watching: &mut bool) {
    let members = cx.shared.members();
    let is_ranked = rank("watch", &members, &cx.shared.me) < WATCHERS;
    let is_starved = cx.now.since(cx.shared.store_heard) > WATCH_SILENCE;
    let wanted = (is_ranked || is_starved) && !cx.shared.draining;
    if wanted == *watching {
        return;
    }
    *watching = wanted;
    cx.act(Action::Watch(wanted));
    cx.record(TimelineKind::WatchChanged { watching: wanted });
}

/// Decides whether this daemon may be without the table in force.
///
/// A change is accepted only by the store. A daemon that has heard of the store lately, or stays
/// with a majority of the daemons while the store is away, learns of a change within seconds; one
/// that has neither refuses new work instead of serving by a table that may have been replaced.
pub(crate) fn decide_cut_off(cx: &mut Context<'_>) {
    let store_silence = cx.now.since(cx.shared.store_heard);
    let alive = cx
        .shared
        .peers
        .values()
        .filter(|p| p.alive && cx.now.since(p.heard) < CUT_OFF_AFTER)
        .count();
    let has_majority = 2 * (alive + 1) > cx.shared.peers.len() + 1;
    let cut_off = store_silence > CUT_OFF_AFTER && !has_majority;
    if cut_off != cx.shared.cut_off {
        cx.shared.cut_off = cut_off;
        cx.publish();
    }
}
