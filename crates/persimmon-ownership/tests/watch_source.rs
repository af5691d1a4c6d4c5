//! From where daemons receive the store's changes while watchers or the store fail.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use persimmon_ownership::{SourceChooser, WatchSource, WatcherFailure, watchers};
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
fn silent_watchers_are_passed_over_in_turn() {
    let mut chooser = SourceChooser::new();
    let mut sources = Vec::new();

    for _ in 0..4 {
        let source = choose(&mut chooser, at(0), 9);
        if let WatchSource::Watcher(peer) = source {
            chooser.record_failure(at(0), peer, WatcherFailure::Unreachable);
        }
        sources.push(source);
    }

    let expected = [1, 2, 21, 31].map(|n| WatchSource::Watcher(address(n)));
    assert_eq!(sources, expected);
    // Without a watcher, the daemon makes up for them, and returns to them later.
    assert_eq!(choose(&mut chooser, at(10), 9), WatchSource::Store { is_watcher: false });
    assert_eq!(choose(&mut chooser, at(3_100), 9), WatchSource::Watcher(address(1)));
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
