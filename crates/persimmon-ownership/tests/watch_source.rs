//! From where daemons receive the store's changes while watchers or the store fail.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use persimmon_ownership::{SourceChooser, WatchSource, WatcherFailure, needs_watchers, watchers};
use persimmon_types::Time;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7_440))
}

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn candidates() -> Vec<SocketAddr> {
    (1..=6).map(address).collect()
}

/// The first members of two other failure domains.
fn others() -> Vec<SocketAddr> {
    vec![address(21), address(31)]
}

fn choose(chooser: &mut SourceChooser, now: Time, own: u8) -> WatchSource {
    chooser.choose(now, address(own), &candidates(), &others(), 0.5)
}

#[test]
fn few_members_watch_whatever_the_size_of_the_failure_domain() {
    let candidates = candidates();
    for (other_domains, expected) in [(0, 6), (1, 3), (2, 2), (4, 2)] {
        assert_eq!(watchers(&candidates, other_domains).len(), expected, "{other_domains}");
    }
}

#[test]
fn watchers_use_the_store_and_the_others_use_them() {
    let mut chooser = SourceChooser::new();

    for own in [1, 2] {
        let source = choose(&mut chooser, at(0), own);
        assert_eq!(source, WatchSource::Store { is_watcher: true });
    }
    assert_eq!(choose(&mut chooser, at(0), 9), WatchSource::Watcher(address(1)));
}

#[test]
fn daemon_without_watchers_in_its_failure_domain_turns_to_the_store_and_then_to_others() {
    let mut chooser = SourceChooser::new();
    let mut sources = Vec::new();

    for _ in 0..5 {
        let source = choose(&mut chooser, at(0), 9);
        if let WatchSource::Watcher(peer) = source {
            chooser.record_failure(at(0), peer, WatcherFailure::Unreachable);
        }
        sources.push(source);
    }

    let watcher = |n| WatchSource::Watcher(address(n));
    let store = WatchSource::Store { is_watcher: false };
    assert_eq!(sources, [watcher(1), watcher(2), store, watcher(21), watcher(31)]);
    assert!(matches!(choose(&mut chooser, at(10), 9), WatchSource::Pause(_)));
    // The store is due again, and then the watchers are tried again.
    assert_eq!(choose(&mut chooser, at(3_100), 9), store);
    assert_eq!(choose(&mut chooser, at(3_100), 9), watcher(1));
}

#[test]
fn watchers_without_the_store_are_replaced_by_those_of_other_failure_domains() {
    let mut chooser = SourceChooser::new();
    for peer in [1, 2] {
        chooser.record_failure(at(0), address(peer), WatcherFailure::StoreDown);
    }

    assert_eq!(choose(&mut chooser, at(0), 9), WatchSource::Watcher(address(21)));
}

#[test]
fn small_fleet_needs_no_watchers() {
    assert!(!needs_watchers(21));
    assert!(needs_watchers(103));
}

#[test]
fn store_that_no_watcher_reaches_is_called_rarely() {
    /// Daemons that are not watchers, in a fleet of 295.
    const FOLLOWERS: usize = 285;
    let mut own_calls = 0;

    for follower in 0..FOLLOWERS {
        let mut chooser = SourceChooser::new();
        let draw = follower as f64 / FOLLOWERS as f64;
        let mut now = at(0);
        while now < at(9_000) {
            let source = chooser.choose(now, address(9), &candidates(), &others(), draw);
            now = now + Duration::from_millis(50);
            match source {
                WatchSource::Watcher(peer) => {
                    chooser.record_failure(now, peer, WatcherFailure::StoreDown);
                }
                WatchSource::Store { .. } => own_calls += 1,
                WatchSource::Pause(pause) => now = now + pause,
            }
        }
    }

    // At most one call in three seconds from each daemon.
    assert!(own_calls <= FOLLOWERS * 3, "{own_calls}");
    assert!(own_calls >= FOLLOWERS, "{own_calls}: a store that turns hosts away may serve others");
}

/// How long a request to a watcher that does not answer takes.
const UNANSWERED: Duration = Duration::from_millis(1_100);

/// The longest time between two calls to the store, or to one after the watchers have fallen silent,
/// that leaves a second of the shortest limit for a change of the table.
const LONGEST_GAP: Duration = Duration::from_millis(2_700);

/// Lets a daemon whose watchers never answer choose its sources for `length`; returns the longest
/// time for which it did not ask the store.
fn longest_gap(candidates: &[SocketAddr], others: &[SocketAddr], length: Duration) -> Duration {
    let mut chooser = SourceChooser::new();
    let (mut now, mut asked_at) = (at(0), at(0));
    let mut longest = Duration::ZERO;
    while now.since(at(0)) < length {
        match chooser.choose(now, address(9), candidates, others, 1.0) {
            WatchSource::Watcher(peer) => {
                now = now + UNANSWERED;
                chooser.record_failure(now, peer, WatcherFailure::Unreachable);
            }
            WatchSource::Store { .. } => {
                longest = longest.max(now.since(asked_at));
                asked_at = now;
            }
            WatchSource::Pause(pause) => now = now + pause,
        }
    }
    longest.max(now.since(asked_at))
}

/// Guards against followers that ask one silent watcher after the other for longer than a change may
/// take.
#[test]
fn followers_of_silent_watchers_ask_the_store_in_time() {
    for count in 1..=4 {
        let others: Vec<SocketAddr> = (1..count).map(|n| address(20 + n)).collect();

        let gap = longest_gap(&candidates(), &others, Duration::from_secs(30));

        assert!(gap <= LONGEST_GAP, "{count} failure domains: {gap:?}");
    }
}

/// Guards against an interval that was chosen while the watchers answered.
#[test]
fn follower_asks_the_store_soon_once_watchers_without_the_store_fall_silent() {
    let mut chooser = SourceChooser::new();
    let mut now = at(0);
    let mut sources = Vec::new();
    // All watchers answer that the store is down until the daemon has asked the store itself.
    while !sources.contains(&WatchSource::Store { is_watcher: false }) {
        let source = chooser.choose(now, address(9), &candidates(), &others(), 1.0);
        if let WatchSource::Watcher(peer) = source {
            chooser.record_failure(now, peer, WatcherFailure::StoreDown);
        }
        sources.push(source);
    }
    let asked_at = now;

    loop {
        match chooser.choose(now, address(9), &candidates(), &others(), 1.0) {
            WatchSource::Watcher(peer) => {
                now = now + UNANSWERED;
                chooser.record_failure(now, peer, WatcherFailure::Unreachable);
            }
            WatchSource::Store { .. } => break,
            WatchSource::Pause(pause) => now = now + pause,
        }
    }

    // The watchers are passed over for a second after they have answered, and then asked in turn.
    let gap = now.since(asked_at);
    assert!(gap <= Duration::from_secs(1) + LONGEST_GAP, "{gap:?}");
}

/// Guards against a second request that waits at a watcher as long as the first one did.
#[test]
fn unanswered_request_is_remembered_until_a_watcher_answers() {
    let mut chooser = SourceChooser::new();
    assert!(!chooser.has_unanswered());

    chooser.record_failure(at(0), address(1), WatcherFailure::Unreachable);
    assert!(chooser.has_unanswered());

    chooser.record_success();
    assert!(!chooser.has_unanswered());
    chooser.record_failure(at(0), address(1), WatcherFailure::Unreachable);
    // This one answered, although it has no changes.
    chooser.record_failure(at(0), address(2), WatcherFailure::StoreDown);
    assert!(!chooser.has_unanswered());
}
