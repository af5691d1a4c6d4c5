//! Replication: receives the primary's log and applies it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rusqlite::Connection;

use crate::instance::engine;
use crate::instance::functions::FetchResponse;
use crate::instance::state::{Entry, Instance, State, wall_ms};
use crate::pgclient::PgClient;

/// The timeout of a replication call; a replica that is commanded to follow another primary must
/// not stay with one that is frozen.
const FETCH_TIMEOUT: Duration = Duration::from_millis(250);

/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Starts the threads that receive and apply the log.
pub(crate) fn spawn(instance: &Arc<Instance>) {
    let receiver = Arc::clone(instance);
    std::thread::spawn(move || receive(&receiver));
    let applier = Arc::clone(instance);
    std::thread::spawn(move || apply(&applier));
}

fn receive(instance: &Instance) {
    let mut connection: Option<(SocketAddr, PgClient)> = None;
    loop {
        let target = {
            let state = instance.lock();
            let may_follow = !state.is_primary && state.sealed_term <= state.term;
            state.follows.filter(|_| may_follow).map(|address| (address, state.term))
        };
        let Some((address, term)) = target else {
            connection = None;
            std::thread::sleep(RETRY_DELAY);
            continue;
        };
        if connection.as_ref().is_none_or(|(a, _)| *a != address) {
            let parameters = [("user", "replica"), ("application_name", "replication")];
            let client = PgClient::connect(address, &parameters, FETCH_TIMEOUT);
            connection = client.ok().map(|client| (address, client));
        }
        let response = connection.as_mut().and_then(|(_, client)| fetch(instance, client, term));
        match response {
            Some(response) => append_fetched(instance, term, response),
            None => {
                connection = None;
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }
}

fn fetch(instance: &Instance, client: &mut PgClient, term: u64) -> Option<FetchResponse> {
    let (last_term, last_lsn) = {
        let state = instance.lock();
        (state.term_at(state.log_end()), state.log_end())
    };
    let name = &instance.cfg.name;
    let sql = format!("SELECT persimmon_fetch('{name}', {term}, {last_term}, {last_lsn})");
    let rows = client.query(&sql).ok()?.ok()?;
    serde_json::from_str(rows.first()?.first()?).ok()
}

fn append_fetched(instance: &Instance, term: u64, response: FetchResponse) {
    let mut state = instance.lock();
    // The term may have ended during the call; its response is then discarded.
    if state.term != term || state.sealed_term > term || state.is_primary {
        return;
    }
    if let Some(back) = response.back {
        state.truncate(back);
        return;
    }
    for entry in response.entries {
        state.append(entry);
    }
    state.freshness_marks.push_back(response.mark);
    instance.changed.notify_all();
}

/// The next step of the applier.
enum ApplierStep {
    Apply(u64, Entry),
    Wait(Duration),
    Rebuild(u64),
}

fn next_step(instance: &Instance, state: &mut State, open_generation: u64) -> ApplierStep {
    while let Some((as_of_ms, lsn)) = state.freshness_marks.front().copied() {
        if lsn > state.applied {
            break;
        }
        state.fresh_as_of_ms = state.fresh_as_of_ms.max(as_of_ms);
        state.freshness_marks.pop_front();
    }
    if state.generation != open_generation {
        return ApplierStep::Rebuild(state.generation);
    }
    let index = usize::try_from(state.applied).unwrap_or(usize::MAX);
    let Some(entry) = state.log.get(index) else {
        return ApplierStep::Wait(Duration::from_millis(50));
    };
    let apply_lag_ms = u64::try_from(instance.cfg.apply_lag.as_millis()).unwrap_or(u64::MAX);
    let due_ms = if state.is_primary { 0 } else { entry.at_ms + apply_lag_ms };
    let now_ms = wall_ms();
    if due_ms > now_ms {
        return ApplierStep::Wait(Duration::from_millis(due_ms - now_ms));
    }
    ApplierStep::Apply(state.applied, entry.clone())
}

fn apply(instance: &Instance) {
    let mut database: Option<Connection> = None;
    let mut open_generation = 0;
    loop {
        let mut state = instance.lock();
        match next_step(instance, &mut state, open_generation) {
            ApplierStep::Wait(pause) => {
                drop(instance.wait(state, Instant::now() + pause));
            }
            ApplierStep::Rebuild(generation) => {
                drop(state);
                database = engine::open(instance, generation).ok();
                // Entries are applied under the instance's lock, which must not be held while
                // waiting for the engine's lock. A failed apply is retried.
                if let Some(db) = &database {
                    let _ = db.busy_timeout(Duration::ZERO);
                }
                open_generation = generation;
            }
            ApplierStep::Apply(applied, entry) => {
                // A primary applies its own commits under the same lock; see `engine::commit`.
                let may_apply = state.generation == open_generation && state.applied == applied;
                let is_applied = may_apply
                    && database.as_mut().is_some_and(|db| engine::apply(db, &entry).is_ok());
                if is_applied {
                    state.applied = applied + 1;
                    instance.changed.notify_all();
                } else {
                    drop(instance.wait(state, Instant::now() + RETRY_DELAY));
                }
            }
        }
    }
}
