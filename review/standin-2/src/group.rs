//! A service of one primary and its replicas, with one log for each instance and acknowledgement of
//! a commit once `sync_replicas` replicas have received it.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::record::Record;
use crate::store::Store;

/// One way between machines of two zones, and how far replicas apply behind (SYSTEM.md).
const NETWORK_DELAY: Duration = Duration::from_micros(1_400);
const APPLY_LAG: Duration = Duration::from_millis(20);

/// A commit.
#[derive(Debug)]
pub struct Commit {
    pub id: String,
    pub item: String,
    pub data: String,
    pub at: Instant,
}

/// One instance.
pub struct Member {
    pub id: String,
    pub address: String,
    pub zone: String,
    pub is_up: bool,
    pub is_draining: bool,
    pub is_paused: bool,
    /// The network brings it nothing from the primary.
    pub is_deaf: bool,
    pub log: Vec<Arc<Commit>>,
    /// Its open connections.
    streams: Vec<TcpStream>,
}

impl Member {
    fn stop(&mut self) {
        self.is_up = false;
        for stream in self.streams.drain(..) {
            // It fails if the other end has closed the connection.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A promotion that took effect.
pub struct Promotion {
    pub at: Instant,
    pub term: u64,
    pub instance: String,
    pub ids: Vec<String>,
}

pub struct State {
    pub term: u64,
    pub primary: Option<usize>,
    pub members: Vec<Member>,
    /// When each commit was acknowledged by the instance that ran it.
    pub acknowledged: HashMap<String, Instant>,
    pub promotions: Vec<Promotion>,
    fence: u64,
}

/// A service.
pub struct Group {
    pub name: String,
    pub sync_replicas: usize,
    promote_time: Duration,
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
}

/// What became of a write.
pub enum Outcome {
    Committed,
    /// It did not run: the instance is not the primary.
    NotPrimary,
    /// The instance lost the primary role, or ended, before the commit was acknowledged.
    Unknown,
}

impl Group {
    pub fn new(
        name: &str,
        sync_replicas: usize,
        promote_time: Duration,
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let state = State {
            term: 1,
            primary: Some(0),
            members: Vec::new(),
            acknowledged: HashMap::new(),
            promotions: Vec::new(),
            fence: 0,
        };
        let group = Arc::new(Self {
            name: name.to_owned(),
            sync_replicas,
            promote_time,
            state: Mutex::new(state),
            changed: Condvar::new(),
            store,
            record,
        });
        let replicating = Arc::clone(&group);
        std::thread::spawn(move || {
            loop {
                replicating.replicate();
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an instance that runs; a replica of a running group starts with a copy of the log.
    pub fn add(&self, id: &str, address: &str, zone: &str) -> usize {
        let mut state = self.lock();
        let log = state.primary.filter(|p| *p < state.members.len());
        let log = log.map_or_else(Vec::new, |p| state.members[p].log.clone());
        state.members.push(Member {
            id: id.to_owned(),
            address: address.to_owned(),
            zone: zone.to_owned(),
            is_up: true,
            is_draining: false,
            is_paused: false,
            is_deaf: false,
            log,
            streams: Vec::new(),
        });
        let index = state.members.len() - 1;
        self.record.line(&format!("instance {id} starts"));
        self.report(&state, index);
        index
    }

    /// Writes an instance's entry to the store, or removes that of one that does not run.
    fn report(&self, state: &State, index: usize) {
        let member = &state.members[index];
        if !member.is_up {
            self.store.remove("servers", &member.id);
            return;
        }
        let role = if state.primary == Some(index) { "primary" } else { "replica" };
        let entry = json!({
            "service": self.name, "address": member.address, "zone": member.zone, "version": "v1",
            "slots": 5, "state": if member.is_draining { "draining" } else { "ready" },
            "cold_ms": 0, "db_role": role, "seq": 1,
        });
        self.store.put("servers", &member.id, entry);
    }

    /// The instance reports that it leaves.
    pub fn drain(&self, index: usize) {
        let mut state = self.lock();
        state.members[index].is_draining = true;
        self.record.line(&format!("instance {} reports draining", state.members[index].id));
        self.report(&state, index);
    }

    /// The instance ends, and its entry is removed.
    pub fn end(&self, index: usize) {
        let mut state = self.lock();
        state.members[index].stop();
        self.record.line(&format!("instance {} ends", state.members[index].id));
        self.report(&state, index);
        drop(state);
        self.changed.notify_all();
    }

    /// The instance's process crashes; its entry stays until it has missed three heartbeats.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        state.members[index].stop();
        self.record.line(&format!("instance {} crashes", state.members[index].id));
        drop(state);
        self.changed.notify_all();
    }

    /// A crashed instance starts again with its log, as a replica if another one was promoted.
    pub fn restart(&self, index: usize) {
        let mut state = self.lock();
        state.members[index].is_up = true;
        state.members[index].is_paused = false;
        let role = if state.primary == Some(index) { "primary" } else { "replica" };
        self.record.line(&format!("instance {} is back as {role}", state.members[index].id));
        self.report(&state, index);
    }

    /// Registers a connection, which ends with the instance; returns whether the instance runs.
    pub fn connect(&self, index: usize, stream: TcpStream) -> bool {
        let mut state = self.lock();
        let member = &mut state.members[index];
        member.streams.retain(|stream| stream.peer_addr().is_ok());
        if member.is_up {
            member.streams.push(stream);
        }
        member.is_up
    }

    /// Sets whether a replica receives nothing.
    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        let mut state = self.lock();
        state.members[index].is_deaf = is_deaf;
        let id = state.members[index].id.clone();
        self.record.line(&format!("replica {id} receives nothing: {is_deaf}"));
    }

    /// Brings every replica up to what the network has delivered.
    fn replicate(&self) {
        let mut state = self.lock();
        let Some(primary) = state.primary.filter(|p| state.members[*p].is_up) else {
            return;
        };
        let source = state.members[primary].log.clone();
        let now = Instant::now();
        for (index, member) in state.members.iter_mut().enumerate() {
            if index == primary || !member.is_up || member.is_paused || member.is_deaf {
                continue;
            }
            // What the primary does not have is rolled back.
            let same =
                member.log.iter().zip(&source).take_while(|(a, b)| Arc::ptr_eq(a, b)).count();
            member.log.truncate(same);
            let arrived = |c: &&Arc<Commit>| now.duration_since(c.at) >= NETWORK_DELAY;
            member.log.extend(source[same..].iter().take_while(arrived).cloned());
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn is_primary(&self, index: usize) -> bool {
        let state = self.lock();
        state.members[index].is_up && state.primary == Some(index)
    }

    pub fn term(&self) -> u64 {
        self.lock().term
    }

    /// How many commits an instance has applied.
    pub fn applied(&self, index: usize) -> usize {
        let state = self.lock();
        let log = &state.members[index].log;
        if state.primary == Some(index) {
            return log.len();
        }
        let now = Instant::now();
        log.iter().take_while(|c| now.duration_since(c.at) >= APPLY_LAG).count()
    }

    pub fn received(&self, index: usize) -> usize {
        self.lock().members[index].log.len()
    }

    pub fn read(&self, index: usize, item: &str) -> String {
        let applied = self.applied(index);
        let state = self.lock();
        let log = &state.members[index].log;
        let found = log[..applied.min(log.len())].iter().rev().find(|c| c.item == item);
        found.map_or_else(|| "-".to_owned(), |c| c.data.clone())
    }

    /// Commits a write on the primary of `term`, and waits until enough replicas have received it.
    pub fn commit(&self, index: usize, term: u64, id: &str, item: &str, data: &str) -> Outcome {
        let mut state = self.lock();
        if state.primary != Some(index) || state.term != term || !state.members[index].is_up {
            return Outcome::NotPrimary;
        }
        let commit = Arc::new(Commit {
            id: id.to_owned(),
            item: item.to_owned(),
            data: data.to_owned(),
            at: Instant::now(),
        });
        state.members[index].log.push(Arc::clone(&commit));
        let position = state.members[index].log.len() - 1;
        let has = |m: &Member| m.log.get(position).is_some_and(|c| Arc::ptr_eq(c, &commit));
        loop {
            if state.primary != Some(index) || state.term != term || !state.members[index].is_up {
                return Outcome::Unknown;
            }
            let others = state.members.iter().enumerate().filter(|(i, _)| *i != index);
            let received: Vec<String> =
                others.filter(|(_, m)| has(m)).map(|(_, m)| m.id.clone()).collect();
            if received.len() >= self.sync_replicas {
                state.acknowledged.insert(id.to_owned(), Instant::now());
                let at = &state.members[index].id;
                let text = format!("run {id} on {at}, term {term}, received by {received:?}");
                self.record.line(&text);
                return Outcome::Committed;
            }
            let waited = self.changed.wait_timeout(state, Duration::from_millis(100));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Stops a replica from receiving, if `term` is above the newest one.
    pub fn pause(&self, index: usize, term: u64) {
        let mut state = self.lock();
        if term > state.term && state.primary != Some(index) {
            if !state.members[index].is_paused {
                self.record.line(&format!("replica {} is paused", state.members[index].id));
            }
            state.members[index].is_paused = true;
        }
    }

    pub fn resume(&self, index: usize) {
        self.lock().members[index].is_paused = false;
    }

    /// Makes a primary of a lower term a replica.
    pub fn demote(&self, index: usize, term: u64) {
        let mut state = self.lock();
        if state.primary == Some(index) && state.term < term {
            state.primary = None;
            self.record.line(&format!("primary {} is demoted", state.members[index].id));
            self.report(&state, index);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Carries out an order to promote; returns the status of the answer.
    pub fn promote(self: &Arc<Self>, instance: &str, token: u64) -> u16 {
        let mut state = self.lock();
        let found = state.members.iter().position(|m| m.id == instance && m.is_up);
        let Some(index) = found.filter(|_| token >= state.fence) else {
            return 409;
        };
        state.fence = token;
        if state.primary == Some(index) {
            return 200;
        }
        drop(state);
        let group = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(group.promote_time);
            group.lead(index);
        });
        200
    }

    fn lead(&self, index: usize) {
        let mut state = self.lock();
        if !state.members[index].is_up || state.primary == Some(index) {
            return;
        }
        let old = state.primary.replace(index);
        state.term += 1;
        for member in &mut state.members {
            member.is_paused = false;
        }
        let member = &state.members[index];
        let promotion = Promotion {
            at: Instant::now(),
            term: state.term,
            instance: member.id.clone(),
            ids: member.log.iter().map(|c| c.id.clone()).collect(),
        };
        let text = format!("{} leads term {}", promotion.instance, promotion.term);
        self.record.line(&format!("{text} with {} commits", promotion.ids.len()));
        state.promotions.push(promotion);
        // The old primary's entry first, so that the newest one that names a primary is right.
        for changed in old.into_iter().chain([index]) {
            self.report(&state, changed);
        }
        drop(state);
        self.changed.notify_all();
    }
}
