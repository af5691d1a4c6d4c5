//! Client keys that come and go, and clients that check who is served.
//!
//! A daemon out of contact cannot know of a change, so that the time limit of a change begins again with
//! the end of each fault that may keep a daemon from the table.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{Group, LineClient};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::plan::Fault;

/// The keys that come and go.
pub(crate) const CHANGING_KEYS: [&str; 3] = ["turn0", "turn1", "turn2"];

/// The time within which a change of the table must be active: the limit of the smallest deployment,
/// which daemons use whose settings name none.
pub(crate) const TABLE_LIMIT: Duration = Duration::from_secs(3);

/// Workspaces among which the keys of the other clients are divided.
const WORKSPACES: u64 = 2;

/// Requests of a short session with a key.
const SHORT_SESSION: usize = 12;

/// Pause between two requests of a session with a key.
const THINK_TIME: Duration = Duration::from_millis(40);

/// Distinguishes the random numbers of these clients from those of others.
const CLIENT_STREAM: u64 = 0x6b65_7973;

#[derive(Clone, Copy, Debug)]
struct KeyState {
    is_held: bool,
    since: Instant,
}

#[derive(Debug)]
struct State {
    keys: HashMap<&'static str, KeyState>,
    /// Faults that last and may keep a daemon from the table.
    active_faults: usize,
    /// When the last of them ended.
    undisturbed_since: Instant,
}

/// Which keys the latest table holds, and since when every daemon must know.
#[derive(Debug)]
pub(crate) struct KeyLedger(Mutex<State>);

impl KeyLedger {
    /// Creates the ledger of a table that holds all keys.
    pub(crate) fn new() -> Self {
        let since = Instant::now();
        let state = KeyState { is_held: true, since };
        let keys = CHANGING_KEYS.iter().map(|key| (*key, state)).collect();
        Self(Mutex::new(State { keys, active_faults: 0, undisturbed_since: since }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a fault begins.
    pub(crate) fn begin_fault(&self, fault: Fault) {
        if disturbs_table(fault) {
            self.lock().active_faults += 1;
        }
    }

    /// Records that a fault has ended.
    pub(crate) fn end_fault(&self, fault: Fault) {
        if disturbs_table(fault) {
            let mut state = self.lock();
            state.active_faults = state.active_faults.saturating_sub(1);
            state.undisturbed_since = Instant::now();
        }
    }

    /// Records that all faults have ended.
    pub(crate) fn end_all_faults(&self) {
        let mut state = self.lock();
        state.active_faults = 0;
        state.undisturbed_since = Instant::now();
    }

    /// Whether the latest table holds a key.
    pub(crate) fn is_held(&self, key: &str) -> bool {
        self.lock().keys.get(key).is_some_and(|state| state.is_held)
    }

    /// Adds a key that the latest table lacks, or removes it; the clients learn of it before the store
    /// has the change, and its limit begins with [`Self::record_written`].
    pub(crate) fn toggle(&self, key: &str) {
        if let Some(state) = self.lock().keys.get_mut(key) {
            state.is_held = !state.is_held;
            state.since = Instant::now();
        }
    }

    /// Records that the store has the latest change of a key.
    pub(crate) fn record_written(&self, key: &str) {
        if let Some(state) = self.lock().keys.get_mut(key) {
            state.since = Instant::now();
        }
    }

    /// Whether the key is held, if every daemon must have known that at `at` and nothing has changed
    /// since; `None` if a daemon may be behind.
    fn settled(&self, key: &str, at: Instant) -> Option<bool> {
        let state = self.lock();
        let key = state.keys.get(key)?;
        let since = key.since.max(state.undisturbed_since);
        let is_settled = state.active_faults == 0 && at > since + TABLE_LIMIT;
        is_settled.then_some(key.is_held)
    }

    /// The workspaces of the latest table, where `clients` others have keys of their own.
    pub(crate) fn workspaces(&self, clients: u64) -> Value {
        let of_workspace = |number: u64| -> Vec<String> {
            let steady = (0..clients).filter(|client| client % WORKSPACES == number);
            let mut keys: Vec<String> = steady.map(|client| format!("c{client}")).collect();
            if number == 0 {
                keys.push("end".to_owned());
                keys.extend(
                    CHANGING_KEYS.iter().filter(|k| self.is_held(k)).map(|k| (*k).to_owned()),
                );
            }
            keys
        };
        let workspaces = (0..WORKSPACES)
            .map(|number| json!({"name": format!("w{number}"), "api_keys": of_workspace(number)}));
        Value::Array(workspaces.collect())
    }
}

/// Whether a fault may keep a daemon from the latest table. A restarted daemon serves nobody before it
/// has read the table.
fn disturbs_table(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::PauseDaemon
            | Fault::StoreBusy
            | Fault::StoreSilent
            | Fault::StoreUnanswered
            | Fault::RestoreStore
    )
}

/// A client that uses the keys that come and go.
pub(crate) struct KeyClient {
    ledger: Arc<KeyLedger>,
    group: Arc<Group>,
    client_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    rng: SmallRng,
    /// Requests of a session: every other client keeps its sessions until they end, so that some are
    /// older than a removal whose limit has passed.
    session_requests: usize,
}

impl KeyClient {
    pub(crate) fn new(
        index: u64,
        seed: u64,
        ledger: Arc<KeyLedger>,
        group: Arc<Group>,
        client_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(seed ^ CLIENT_STREAM ^ index);
        let session_requests = if index.is_multiple_of(2) { usize::MAX } else { SHORT_SESSION };
        Self { ledger, group, client_addresses, rng, session_requests }
    }

    /// Uses the keys until `stop` is set.
    pub(crate) fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let key = CHANGING_KEYS[self.rng.random_range(0..CHANGING_KEYS.len())];
            let address = {
                let addresses =
                    self.client_addresses.lock().unwrap_or_else(PoisonError::into_inner);
                let index = self.rng.random_range(0..addresses.len().max(1));
                addresses.get(index).copied()
            };
            if let Some(address) = address {
                self.run_session(address, key, stop);
            }
            std::thread::sleep(THINK_TIME);
        }
    }

    /// Sends requests in one session until the key is refused.
    fn run_session(&self, address: SocketAddr, key: &'static str, stop: &AtomicBool) {
        let sent_at = Instant::now();
        let mut client = match LineClient::open(address, "p0", key) {
            Ok(client) => client,
            Err(err) => return self.check(address, key, sent_at, is_unknown_key(&err.to_string())),
        };
        self.check(address, key, sent_at, Some(true));
        for _ in 0..self.session_requests {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(THINK_TIME);
            let sent_at = Instant::now();
            let Ok(response) = client.query("READ keys") else {
                return;
            };
            match response.code() {
                None => self.check(address, key, sent_at, Some(true)),
                Some("NOAUTH") => return self.check(address, key, sent_at, Some(false)),
                Some(_) => {}
            }
        }
    }

    /// Records a violation if a key was served or refused, as `is_served` says, at a daemon that must
    /// have known better.
    fn check(&self, address: SocketAddr, key: &str, sent_at: Instant, is_served: Option<bool>) {
        let (Some(is_served), Some(is_held)) = (is_served, self.ledger.settled(key, sent_at))
        else {
            return;
        };
        if is_served != is_held {
            let violation = format!("{address} served {key}: {is_served}; held: {is_held}");
            self.group.record_violation(violation);
        }
    }
}

/// `Some(false)` if a refused session was refused for its key; `None` for any other reason.
fn is_unknown_key(line: &str) -> Option<bool> {
    line.starts_with("ERROR NOAUTH").then_some(false)
}

/// Whether a daemon serves exactly the keys that the latest table holds.
pub(crate) fn serves_held_keys(ledger: &KeyLedger, address: SocketAddr) -> bool {
    CHANGING_KEYS.iter().all(|key| match LineClient::open(address, "p0", key) {
        Ok(mut client) => {
            let read = client.query("READ keys");
            ledger.is_held(key) && read.is_ok_and(|response| response.result.is_ok())
        }
        Err(err) => !ledger.is_held(key) && is_unknown_key(&err.to_string()) == Some(false),
    })
}
