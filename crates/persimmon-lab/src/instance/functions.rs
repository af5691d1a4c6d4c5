//! The functions of the contract, called in SQL: `SELECT persimmon_NAME(ARGUMENTS)`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmon_pg::sqlstate;
use serde::{Deserialize, Serialize};

use crate::instance::state::{Entry, Instance, State, wall_ms};

/// How long an idle replication call waits for an entry.
const FETCH_WAIT: Duration = Duration::from_millis(50);

/// How many entries one replication call brings at most.
const FETCH_LIMIT: usize = 500;

/// The code of a refusal that has nothing to do with terms.
const FAILED: &str = "58000";

/// What a function brings: one row, or a code and a text.
pub(crate) type FunctionResult = Result<Vec<String>, (&'static str, String)>;

/// What a replication call brings.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Fetched {
    /// The number from which the replica's log differs, if it does.
    pub(crate) back: Option<u64>,
    /// New entries.
    pub(crate) entries: Vec<Entry>,
    /// The end of what may be shipped now, and the time at which it was the end.
    pub(crate) mark: (u64, u64),
}

/// The name and arguments of a call, if the statement is one.
pub(crate) fn call(sql: &str) -> Option<(String, Vec<String>)> {
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

/// Runs a function; `committed` is the last number that the connection committed.
pub(crate) fn run(
    instance: &Arc<Instance>,
    name: &str,
    arguments: &[String],
    committed: &mut Option<u64>,
    term: &mut Option<u64>,
) -> FunctionResult {
    let number = |index: usize| -> Result<u64, (&'static str, String)> {
        let text = arguments.get(index).map(String::as_str).unwrap_or_default();
        text.parse().map_err(|_| (sqlstate::INVALID_VALUE, format!("argument {index} of {name}")))
    };
    let text = |index: usize| arguments.get(index).cloned().unwrap_or_default();
    match name {
        "persimmon_status" => Ok(status(instance)),
        "persimmon_applied" => Ok(applied(instance)),
        "persimmon_confirm" => confirm(instance, number(0)?, *term),
        "persimmon_fence" => fence(instance, number(0)?, term),
        "persimmon_held" => held(instance, number(0)?, committed.take()),
        "persimmon_seal" => seal(instance, number(0)?, &text(1)),
        "persimmon_promote" => promote(instance, number(0)?, &text(1)),
        "persimmon_follow" => follow(instance, number(0)?, &text(1)),
        "persimmon_fetch" => fetch(instance, &text(0), number(1)?, number(2)?, number(3)?),
        "persimmon_lab_stats" => {
            Ok(vec![serde_json::to_string(&instance.stats()).unwrap_or_default()])
        }
        _ => Err((FAILED, format!("unknown function {name}"))),
    }
}

fn status(instance: &Instance) -> Vec<String> {
    let state = instance.lock();
    let role = if state.primary { "primary" } else { "replica" };
    let age = state.majority_age(instance.cfg.members).as_millis();
    vec![
        role.to_owned(),
        state.term.to_string(),
        state.sealed.to_string(),
        state.term_at(state.end()).to_string(),
        state.end().to_string(),
        age.to_string(),
        instance.incarnation.to_string(),
    ]
}

fn applied(instance: &Instance) -> Vec<String> {
    let state = instance.lock();
    let age = if state.primary { 0 } else { wall_ms().saturating_sub(state.fresh_ms) };
    vec![
        instance.incarnation.to_string(),
        state.term_at(state.applied).to_string(),
        state.applied.to_string(),
        age.to_string(),
    ]
}

fn refuse_term(state: &State) -> (&'static str, String) {
    (sqlstate::TERM_REFUSED, format!("term {}", state.sealed))
}

/// Lets every further statement of the connection be refused unless this instance is primary of
/// the term; zero lifts the fence.
fn fence(instance: &Instance, wanted: u64, term: &mut Option<u64>) -> FunctionResult {
    let state = instance.lock();
    if wanted == 0 {
        *term = None;
    } else if state.may_commit() && state.term == wanted {
        *term = Some(wanted);
    } else {
        return Err(refuse_term(&state));
    }
    Ok(vec![wanted.to_string()])
}

fn confirm(instance: &Instance, wait_ms: u64, term: Option<u64>) -> FunctionResult {
    let since = Instant::now();
    let deadline = since + Duration::from_millis(wait_ms);
    let mut state = instance.lock();
    let in_term = state.term;
    if term.is_some_and(|t| t != in_term) {
        return Err(refuse_term(&state));
    }
    let end = state.end();
    state.nudges += 1;
    instance.changed.notify_all();
    loop {
        if !state.may_commit() || state.term != in_term {
            return Err(refuse_term(&state));
        }
        if state.is_confirmed(since, instance.cfg.members) {
            return Ok(vec![state.term_at(end).to_string(), end.to_string()]);
        }
        let (next, has_time) = instance.wait(state, deadline);
        state = next;
        if !has_time {
            return Err((FAILED, "no majority of the group answers".to_owned()));
        }
    }
}

fn held(instance: &Instance, wait_ms: u64, committed: Option<u64>) -> FunctionResult {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let Some(lsn) = committed else {
        return Ok(vec![String::new(), String::new(), "yes".to_owned()]);
    };
    let mut state = instance.lock();
    let in_term = state.term;
    loop {
        if !state.may_commit() || state.term != in_term {
            return Err(refuse_term(&state));
        }
        let is_held = state.is_held(lsn, instance.cfg.members);
        let word = if is_held { "yes" } else { "no" };
        let row = vec![state.term_at(lsn).to_string(), lsn.to_string(), word.to_owned()];
        if is_held {
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
    vec![state.term_at(state.end()).to_string(), state.end().to_string()]
}

fn seal(instance: &Instance, term: u64, by: &str) -> FunctionResult {
    let mut state = instance.lock();
    let is_other = term == state.sealed && state.sealed_by != by;
    if term < state.sealed || is_other {
        return Err(refuse_term(&state));
    }
    if term > state.sealed {
        state.sealed = term;
        state.sealed_by = by.to_owned();
        instance.keep(&state);
        instance.changed.notify_all();
    }
    Ok(end_row(&state))
}

fn promote(instance: &Instance, term: u64, by: &str) -> FunctionResult {
    let mut state = instance.lock();
    if state.sealed != term || state.sealed_by != by {
        return Err(refuse_term(&state));
    }
    if state.term == term && state.primary {
        // The order arrives again: the answer to the first was lost.
        let inherited = state.promoted.unwrap_or_default();
        return Ok(vec![state.term_at(inherited).to_string(), inherited.to_string()]);
    }
    let inherited = state.end();
    let row = end_row(&state);
    state.term = term;
    state.primary = true;
    state.promoted = Some(inherited);
    state.follows = None;
    state.followers.clear();
    // The first entry of the term makes everything inherited part of the term once it is held.
    state.append(Entry { term, at_ms: wall_ms(), writes: Vec::new() });
    instance.keep(&state);
    instance.changed.notify_all();
    Ok(row)
}

fn follow(instance: &Instance, term: u64, address: &str) -> FunctionResult {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return Err((sqlstate::INVALID_VALUE, "address".to_owned()));
    };
    let mut state = instance.lock();
    let is_primary_of_term = state.primary && state.term == term;
    if term < state.sealed || is_primary_of_term {
        return Err(refuse_term(&state));
    }
    state.sealed = term;
    if state.term != term || state.follows != Some(address) {
        state.term = term;
        state.primary = false;
        state.follows = Some(address);
        state.followers.clear();
        instance.keep(&state);
        instance.changed.notify_all();
    }
    Ok(end_row(&state))
}

/// Serves one replication call; the call's arrival confirms what the replica holds in the term.
fn fetch(
    instance: &Instance,
    follower: &str,
    term: u64,
    last_term: u64,
    last_lsn: u64,
) -> FunctionResult {
    let deadline = Instant::now() + FETCH_WAIT;
    let mut state = instance.lock();
    if !state.primary || state.term != term {
        return Err(refuse_term(&state));
    }
    let answer = |fetched: &Fetched| Ok(vec![serde_json::to_string(fetched).unwrap_or_default()]);
    let differs = last_lsn > state.end() || state.term_at(last_lsn) != last_term;
    if differs {
        let back = Some(last_lsn.min(state.end() + 1) - 1);
        return answer(&Fetched { back, ..Fetched::default() });
    }
    let now = Instant::now();
    state
        .followers
        .insert(follower.to_owned(), crate::instance::state::Follower { lsn: last_lsn, at: now });
    instance.changed.notify_all();
    let nudges = state.nudges;
    let lag = u64::try_from(instance.cfg.ship_lag.as_millis()).unwrap_or(u64::MAX);
    loop {
        if !state.primary || state.term != term {
            return Err(refuse_term(&state));
        }
        let horizon = wall_ms().saturating_sub(lag);
        let first = usize::try_from(last_lsn).unwrap_or(usize::MAX);
        let is_due = |e: &&Entry| e.at_ms <= horizon;
        let due = state.log[first..].iter().take(FETCH_LIMIT).take_while(is_due);
        let entries: Vec<Entry> = due.cloned().collect();
        let has_time = Instant::now() < deadline && state.nudges == nudges;
        if !entries.is_empty() || !has_time {
            let shipped = last_lsn + entries.len() as u64;
            let mark = (horizon, shipped);
            return answer(&Fetched { back: None, entries, mark });
        }
        // An entry that is not due yet ends the wait early.
        let pause = if state.end() > last_lsn { Duration::from_millis(1) } else { FETCH_WAIT };
        state = instance.wait(state, deadline.min(Instant::now() + pause)).0;
    }
}
