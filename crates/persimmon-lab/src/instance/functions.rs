//! The control functions of an instance, called in SQL: `SELECT persimmon_NAME(ARGUMENTS)`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmon_pg::sqlstate;
use serde::{Deserialize, Serialize};

use crate::instance::state::{Entry, Instance, State, wall_ms};

/// How long a replication call waits for a new entry.
const FETCH_WAIT: Duration = Duration::from_millis(50);

/// Maximum number of entries returned by one replication call.
const FETCH_LIMIT: usize = 500;

/// The SQLSTATE of errors that have nothing to do with terms.
const SYSTEM_ERROR: &str = "58000";

/// The result of a function: one row, or a SQLSTATE and message.
pub(crate) type FunctionResult = Result<Vec<String>, (&'static str, String)>;

/// The response to a replication call.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct FetchResponse {
    /// The position to which the replica must truncate its log, if the logs differ.
    pub(crate) back: Option<u64>,
    /// Entries after the replica's last one.
    pub(crate) entries: Vec<Entry>,
    /// A time in milliseconds, and the log position that was the end of the shipped log then.
    pub(crate) mark: (u64, u64),
}

/// Parses a statement as the call of a control function; returns its name and arguments.
pub(crate) fn parse_call(sql: &str) -> Option<(String, Vec<String>)> {
    let rest = sql.trim().trim_end_matches(';').trim_end();
    let start = rest.to_ascii_lowercase().find("persimmon_")?;
    if !rest[..start].trim().eq_ignore_ascii_case("select") {
        return None;
    }
    let (name, arguments) = rest[start..].split_once('(')?;
    let arguments = arguments.strip_suffix(')')?;
    let arguments = arguments
        .split(',')
        .map(|a| a.trim().trim_matches('\'').to_owned())
        .filter(|a| !a.is_empty())
        .collect();
    Some((name.trim().to_ascii_lowercase(), arguments))
}

/// Runs a function.
///
/// `committed` is the log position of the connection's last commit, `term` the term that the
/// connection is fenced to.
pub(crate) fn run(
    instance: &Arc<Instance>,
    name: &str,
    arguments: &[String],
    committed: &mut Option<u64>,
    term: &mut Option<u64>,
) -> FunctionResult {
    let number = |index: usize| -> Result<u64, (&'static str, String)> {
        let text = arguments.get(index).map(String::as_str).unwrap_or_default();
        text.parse()
            .map_err(|_| (sqlstate::INVALID_PARAMETER_VALUE, format!("argument {index} of {name}")))
    };
    let text = |index: usize| arguments.get(index).cloned().unwrap_or_default();
    match name {
        "persimmon_status" => Ok(status(instance)),
        "persimmon_applied" => Ok(applied(instance)),
        "persimmon_confirm" => sample_position(instance, number(0)?, *term),
        "persimmon_fence" => fence(instance, number(0)?, term),
        "persimmon_held" => await_majority(instance, number(0)?, committed.take()),
        "persimmon_seal" => seal(instance, number(0)?, &text(1)),
        "persimmon_promote" => promote(instance, number(0)?, &text(1)),
        "persimmon_follow" => follow(instance, number(0)?, &text(1)),
        "persimmon_fetch" => fetch(instance, &text(0), number(1)?, number(2)?, number(3)?),
        "persimmon_lab_stats" => {
            Ok(vec![serde_json::to_string(&instance.stats()).unwrap_or_default()])
        }
        _ => Err((SYSTEM_ERROR, format!("unknown function {name}"))),
    }
}

fn status(instance: &Instance) -> Vec<String> {
    let state = instance.lock();
    let role = if state.is_primary { "primary" } else { "replica" };
    let age = state.majority_age(instance.cfg.group_size).as_millis();
    vec![
        role.to_owned(),
        state.term.to_string(),
        state.sealed_term.to_string(),
        state.term_at(state.log_end()).to_string(),
        state.log_end().to_string(),
        age.to_string(),
        instance.incarnation.to_string(),
    ]
}

fn applied(instance: &Instance) -> Vec<String> {
    let state = instance.lock();
    let age = if state.is_primary { 0 } else { wall_ms().saturating_sub(state.fresh_as_of_ms) };
    vec![
        instance.incarnation.to_string(),
        state.term_at(state.applied).to_string(),
        state.applied.to_string(),
        age.to_string(),
    ]
}

fn term_refused(state: &State) -> (&'static str, String) {
    (sqlstate::TERM_REFUSED, format!("term {}", state.sealed_term))
}

/// Fences the connection to a term: its later statements are refused unless this instance is the
/// primary of that term. Zero removes the fence.
fn fence(instance: &Instance, requested_term: u64, term: &mut Option<u64>) -> FunctionResult {
    let state = instance.lock();
    if requested_term == 0 {
        *term = None;
    } else if state.may_commit() && state.term == requested_term {
        *term = Some(requested_term);
    } else {
        return Err(term_refused(&state));
    }
    Ok(vec![requested_term.to_string()])
}

/// Returns the end of the log at the time of the call, once a majority has been in contact since.
fn sample_position(instance: &Instance, wait_ms: u64, term: Option<u64>) -> FunctionResult {
    let since = Instant::now();
    let deadline = since + Duration::from_millis(wait_ms);
    let mut state = instance.lock();
    let start_term = state.term;
    if term.is_some_and(|t| t != start_term) {
        return Err(term_refused(&state));
    }
    let log_end = state.log_end();
    state.fetch_wakeups += 1;
    instance.changed.notify_all();
    loop {
        if !state.may_commit() || state.term != start_term {
            return Err(term_refused(&state));
        }
        if state.has_majority_contact_since(since, instance.cfg.group_size) {
            return Ok(vec![state.term_at(log_end).to_string(), log_end.to_string()]);
        }
        let (next, has_time) = instance.wait(state, deadline);
        state = next;
        if !has_time {
            return Err((SYSTEM_ERROR, "no majority of the group answers".to_owned()));
        }
    }
}

/// Waits until a majority has the connection's last commit; returns its position and `yes`, or `no`
/// if the time is over. Without a commit, the position is empty and the answer `yes`.
fn await_majority(instance: &Instance, wait_ms: u64, committed: Option<u64>) -> FunctionResult {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let Some(lsn) = committed else {
        return Ok(vec![String::new(), String::new(), "yes".to_owned()]);
    };
    let mut state = instance.lock();
    let start_term = state.term;
    loop {
        if !state.may_commit() || state.term != start_term {
            return Err(term_refused(&state));
        }
        let is_acknowledged = state.has_majority_acknowledged(lsn, instance.cfg.group_size);
        let answer = if is_acknowledged { "yes" } else { "no" };
        let row = vec![state.term_at(lsn).to_string(), lsn.to_string(), answer.to_owned()];
        if is_acknowledged {
            return Ok(row);
        }
        let (next, has_time) = instance.wait(state, deadline);
        state = next;
        if !has_time {
            return Ok(row);
        }
    }
}

fn end_row(state: &State) -> Vec<String> {
    vec![state.term_at(state.log_end()).to_string(), state.log_end().to_string()]
}

fn seal(instance: &Instance, term: u64, coordinator: &str) -> FunctionResult {
    let mut state = instance.lock();
    let is_other_coordinator = term == state.sealed_term && state.sealed_by != coordinator;
    if term < state.sealed_term || is_other_coordinator {
        return Err(term_refused(&state));
    }
    if term > state.sealed_term {
        state.sealed_term = term;
        state.sealed_by = coordinator.to_owned();
        instance.persist(&state);
        instance.changed.notify_all();
    }
    Ok(end_row(&state))
}

fn promote(instance: &Instance, term: u64, coordinator: &str) -> FunctionResult {
    let mut state = instance.lock();
    if state.sealed_term != term || state.sealed_by != coordinator {
        return Err(term_refused(&state));
    }
    if state.term == term && state.is_primary {
        // A retry: the response to the first command was lost.
        let inherited = state.promoted.unwrap_or_default();
        return Ok(vec![state.term_at(inherited).to_string(), inherited.to_string()]);
    }
    let inherited = state.log_end();
    let row = end_row(&state);
    state.term = term;
    state.is_primary = true;
    state.promoted = Some(inherited);
    state.follows = None;
    state.followers.clear();
    // Once a majority has this first entry of the term, the inherited entries are committed too.
    state.append(Entry { term, at_ms: wall_ms(), writes: Vec::new() });
    instance.persist(&state);
    instance.changed.notify_all();
    Ok(row)
}

fn follow(instance: &Instance, term: u64, address: &str) -> FunctionResult {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return Err((sqlstate::INVALID_PARAMETER_VALUE, "address".to_owned()));
    };
    let mut state = instance.lock();
    let is_primary_of_term = state.is_primary && state.term == term;
    if term < state.sealed_term || is_primary_of_term {
        return Err(term_refused(&state));
    }
    state.sealed_term = term;
    if state.term != term || state.follows != Some(address) {
        state.term = term;
        state.is_primary = false;
        state.follows = Some(address);
        state.followers.clear();
        instance.persist(&state);
        instance.changed.notify_all();
    }
    Ok(end_row(&state))
}

/// Serves one replication call; the call also acknowledges the replica's log up to `last_lsn` in
/// the term.
fn fetch(
    instance: &Instance,
    follower: &str,
    term: u64,
    last_term: u64,
    last_lsn: u64,
) -> FunctionResult {
    let deadline = Instant::now() + FETCH_WAIT;
    let mut state = instance.lock();
    if !state.is_primary || state.term != term {
        return Err(term_refused(&state));
    }
    let reply =
        |response: &FetchResponse| Ok(vec![serde_json::to_string(response).unwrap_or_default()]);
    let has_diverged = last_lsn > state.log_end() || state.term_at(last_lsn) != last_term;
    if has_diverged {
        let back = Some(last_lsn.min(state.log_end() + 1) - 1);
        return reply(&FetchResponse { back, ..FetchResponse::default() });
    }
    let now = Instant::now();
    state
        .followers
        .insert(follower.to_owned(), crate::instance::state::Follower { lsn: last_lsn, at: now });
    instance.changed.notify_all();
    let fetch_wakeups = state.fetch_wakeups;
    let ship_lag_ms = u64::try_from(instance.cfg.ship_lag.as_millis()).unwrap_or(u64::MAX);
    loop {
        if !state.is_primary || state.term != term {
            return Err(term_refused(&state));
        }
        let ship_horizon_ms = wall_ms().saturating_sub(ship_lag_ms);
        let first = usize::try_from(last_lsn).unwrap_or(usize::MAX);
        let is_due = |e: &&Entry| e.at_ms <= ship_horizon_ms;
        let due = state.log[first..].iter().take(FETCH_LIMIT).take_while(is_due);
        let entries: Vec<Entry> = due.cloned().collect();
        let has_time = Instant::now() < deadline && state.fetch_wakeups == fetch_wakeups;
        if !entries.is_empty() || !has_time {
            let shipped = last_lsn + entries.len() as u64;
            let mark = (ship_horizon_ms, shipped);
            return reply(&FetchResponse { back: None, entries, mark });
        }
        // An entry that may not be shipped yet makes the wait shorter.
        let pause = if state.log_end() > last_lsn { Duration::from_millis(1) } else { FETCH_WAIT };
        state = instance.wait(state, deadline.min(Instant::now() + pause)).0;
    }
}
