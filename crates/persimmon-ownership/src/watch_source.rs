//! From where a daemon receives changes of the store's objects.
//!
//! Calls to the store must not grow with the fleet. Two daemons of each failure domain, the
//! watchers, watch the store; the others receive the changes from them. A daemon whose watchers
//! fall silent turns to the store itself, and between its calls to those of other failure domains.
//!
//! Invariant: a daemon whose watchers do not answer asks the store again before a change of the table
//! may be overdue, however many watchers there are.
//!
//! A store that accepts a host's watch and never answers it looks like one without changes. The
//! watchers therefore also compare with each other what they have received.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use persimmon_types::Time;

/// The key by which the daemons that watch the store are ranked.
pub const WATCHER_KEY: &str = "watchers of the store";

/// Largest fleet in which every daemon watches the store.
const MAX_DIRECT_FLEET: usize = 30;

/// Whether a fleet needs watchers: in a small one, they would save fewer calls than it costs to be
/// without the store's changes while they fail.
#[must_use]
pub fn needs_watchers(daemons: usize) -> bool {
    daemons > MAX_DIRECT_FLEET
}

/// Members of a failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Watchers in all failure domains together, at least: a store that turns a third of the hosts away
/// still answers one of them.
const MIN_WATCHERS: usize = 6;

/// The watchers among the `candidates` of a failure domain, where there are `other_domains` more.
#[must_use]
pub fn watchers(candidates: &[SocketAddr], other_domains: usize) -> &[SocketAddr] {
    let count = WATCHERS_PER_DOMAIN.max(MIN_WATCHERS.div_ceil(other_domains + 1));
    &candidates[..candidates.len().min(count)]
}

/// How long a watcher that did not answer, or does not watch, is passed over.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(3);

/// How long a watcher is passed over that cannot reach the store: another one may.
const STORE_DOWN_PAUSE: Duration = Duration::from_secs(1);

/// Interval between calls to the store while every watcher says that the store does not answer; a
/// store that turns single hosts away may still serve this one. Daemons draw from the range, so that
/// they do not call together.
const OWN_CALL_INTERVAL: RangeInclusive<Duration> = Duration::from_secs(3)..=Duration::from_secs(6);

/// The same while no watcher answers: this daemon may be the only one with a path to the store. With
/// a request to a watcher it stays below the shortest limit for a change of the table.
const ISOLATED_CALL_INTERVAL: RangeInclusive<Duration> =
    Duration::from_millis(1_000)..=Duration::from_millis(1_500);

/// Requests in a row without an answer after which the store is asked before further watchers, of
/// which each may take its time limit.
const MAX_UNANSWERED: u32 = 2;

/// Pause before the watchers are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// From where the next changes are requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchSource {
    /// The store. Contains whether this daemon is a watcher, or only makes up for them.
    Store {
        /// Whether other daemons rely on this one.
        is_watcher: bool,
    },
    /// A watcher.
    Watcher(SocketAddr),
    /// None yet: wait this long.
    Pause(Duration),
}

/// Why a watcher provided no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatcherFailure {
    /// It did not answer.
    Unreachable,
    /// It does not watch the store.
    NotWatching,
    /// The store does not answer it.
    StoreDown,
}

/// Chooses the source of one kind of objects for one daemon.
#[derive(Clone, Debug, Default)]
pub struct SourceChooser {
    failed: HashMap<SocketAddr, (Time, WatcherFailure)>,
    /// Requests to watchers since the last one that was answered.
    unanswered: u32,
    /// When this daemon last asked the store itself, with a random number from 0 to 1.
    own_call: Option<(Time, f64)>,
}

impl SourceChooser {
    /// Creates a chooser that has seen no failure.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses the source. `candidates` are the members of this daemon's failure domain that come
    /// first, and `others` the first ones of the other failure domains; `draw` is a random number
    /// from 0 to 1.
    pub fn choose(
        &mut self,
        now: Time,
        own: SocketAddr,
        candidates: &[SocketAddr],
        others: &[SocketAddr],
        draw: f64,
    ) -> WatchSource {
        let watchers = watchers(candidates, others.len());
        if watchers.contains(&own) || watchers.is_empty() {
            return WatchSource::Store { is_watcher: true };
        }
        self.failed.retain(|_, (until, _)| now < *until);
        let is_due = self.is_own_call_due(now);
        let asks_store = self.unanswered >= MAX_UNANSWERED && is_due;
        let is_available = |peer: &&SocketAddr| !self.failed.contains_key(peer);
        let available = watchers.iter().find(is_available).filter(|_| !asks_store);
        if let Some(watcher) = available {
            return WatchSource::Watcher(*watcher);
        }
        // A daemon that reaches no watcher of its failure domain may be parted from all of them, but
        // not from the store; trying all others first would take too long.
        let is_unreachable = |peer: &SocketAddr| {
            self.failed.get(peer).is_some_and(|(_, f)| *f == WatcherFailure::Unreachable)
        };
        let other = others.iter().find(is_available).copied();
        let asks_others_first = !watchers.iter().any(is_unreachable) || !is_due;
        if let Some(other) = other.filter(|_| asks_others_first && !asks_store) {
            return WatchSource::Watcher(other);
        }
        if !is_due {
            return WatchSource::Pause(RETRY_DELAY);
        }
        self.own_call = Some((now, draw));
        WatchSource::Store { is_watcher: false }
    }

    /// Whether the last request to a watcher was not answered.
    #[must_use]
    pub fn has_unanswered(&self) -> bool {
        self.unanswered > 0
    }

    /// Whether this daemon may ask the store itself, by what is known of the watchers now.
    fn is_own_call_due(&self, now: Time) -> bool {
        let Some((called_at, draw)) = self.own_call else {
            return true;
        };
        let is_store_down = self.unanswered < MAX_UNANSWERED
            && self.failed.values().any(|(_, f)| *f == WatcherFailure::StoreDown);
        let interval = if is_store_down { OWN_CALL_INTERVAL } else { ISOLATED_CALL_INTERVAL };
        let jitter = (*interval.end() - *interval.start()).mul_f64(draw);
        now.since(called_at) >= *interval.start() + jitter
    }

    /// Records that a watcher provided changes, or that there are none.
    pub fn record_success(&mut self) {
        self.unanswered = 0;
    }

    /// Records that a watcher provided no changes.
    pub fn record_failure(&mut self, now: Time, watcher: SocketAddr, failure: WatcherFailure) {
        let pause = match failure {
            WatcherFailure::StoreDown => STORE_DOWN_PAUSE,
            WatcherFailure::Unreachable | WatcherFailure::NotWatching => UNREACHABLE_PAUSE,
        };
        self.unanswered =
            if failure == WatcherFailure::Unreachable { self.unanswered + 1 } else { 0 };
        self.failed.insert(watcher, (now + pause, failure));
    }
}
