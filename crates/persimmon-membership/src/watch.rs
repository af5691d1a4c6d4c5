//! Selects the daemons that watch the store, and detects that this daemon is isolated.

use std::time::Duration;

use persimmon_kernel::{Action, Context};
use persimmon_types::{TimelineKind, rendezvous_rank};

/// Number of daemons that watch the store for all.
const WATCHER_COUNT: usize = 3;

/// Time without contact to the store after which a daemon watches it itself.
const WATCH_SILENCE: Duration = Duration::from_secs(5);

/// Time without contact to the store and to a majority of the daemons after which a daemon is
/// isolated and refuses new work.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts or stops watching the store if this daemon became or is no longer a watcher.
pub(crate) fn update_watch(cx: &mut Context<'_>, is_watching: &mut bool) {
    let daemons = cx.state.eligible_daemons();
    let is_selected = rendezvous_rank("watch", &daemons, &cx.state.me) < WATCHER_COUNT;
    let lacks_store_contact = cx.now.since(cx.state.store_last_heard) > WATCH_SILENCE;
    let should_watch = (is_selected || lacks_store_contact) && !cx.state.is_draining;
    if should_watch == *is_watching {
        return;
    }
    *is_watching = should_watch;
    cx.act(Action::Watch(should_watch));
    cx.record(TimelineKind::WatchChanged { watching: should_watch });
}

/// Updates whether this daemon is isolated, so that its table may be outdated.
///
/// Only the store accepts changes. A daemon with recent contact to the store, directly or through
/// peers, receives a change within seconds, and so does one with contact to a majority of the
/// daemons while the store is unavailable. A daemon with neither refuses new work instead of using
/// a table that may have been replaced.
pub(crate) fn update_isolation(cx: &mut Context<'_>) {
    let store_silence = cx.now.since(cx.state.store_last_heard);
    let alive_peers = cx
        .state
        .peers
        .values()
        .filter(|p| p.is_alive && cx.now.since(p.last_heard) < ISOLATION_TIMEOUT)
        .count();
    let has_majority = 2 * (alive_peers + 1) > cx.state.peers.len() + 1;
    let is_isolated = store_silence > ISOLATION_TIMEOUT && !has_majority;
    if is_isolated != cx.state.is_isolated {
        cx.state.is_isolated = is_isolated;
        cx.publish();
    }
}
