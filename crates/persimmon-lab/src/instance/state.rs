//! The log, the term and the followers of an instance.
//!
//! Invariants:
//!
//! - `sealed` and `term` only rise, and `sealed >= term`.
//! - An entry is appended only by the primary of an unsealed term, or received from it.

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::instance::InstanceConfig;

/// One statement of an entry, with its parameters as text.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Statement {
    pub(crate) sql: String,
    pub(crate) params: Vec<Param>,
}

/// A parameter's value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Param {
    Null,
    Int(i64),
    Text(String),
}

/// One committed transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) term: u64,
    pub(crate) at_ms: u64,
    pub(crate) writes: Vec<Statement>,
}

/// What a follower has confirmed in the present term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Follower {
    pub(crate) lsn: u64,
    pub(crate) at: Instant,
}

/// What survives a restart besides the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Durable {
    term: u64,
    primary: bool,
    sealed: u64,
    sealed_by: String,
    promoted: Option<u64>,
    follows: Option<SocketAddr>,
}

/// What an instance has counted.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Statements executed.
    pub statements: u64,
    /// Of these, reads executed as a replica.
    pub replica_reads: u64,
    /// Reads executed as primary.
    pub primary_reads: u64,
    /// The most connections held at once.
    pub max_connections: u64,
    /// Connections refused because the cap was reached.
    pub refused_connections: u64,
    /// The most slots in use at once.
    pub max_slots: u64,
    /// Statements refused because of their term.
    pub term_refusals: u64,
}

/// Everything that one lock protects.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) term: u64,
    pub(crate) primary: bool,
    pub(crate) sealed: u64,
    pub(crate) sealed_by: String,
    /// The last inherited number of the term that this instance was promoted in.
    pub(crate) promoted: Option<u64>,
    pub(crate) follows: Option<SocketAddr>,
    pub(crate) log: Vec<Entry>,
    pub(crate) applied: u64,
    pub(crate) generation: u64,
    pub(crate) followers: BTreeMap<String, Follower>,
    pub(crate) nudges: u64,
    /// Ends of the primary's log with the time at which they were current.
    pub(crate) marks: VecDeque<(u64, u64)>,
    pub(crate) fresh_ms: u64,
    pub(crate) connections: usize,
    pub(crate) slots: usize,
    pub(crate) stats: Stats,
    pub(crate) cancelled: Vec<i32>,
    log_file: File,
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    pub(crate) cfg: InstanceConfig,
    pub(crate) incarnation: u64,
    pub(crate) state: Mutex<State>,
    pub(crate) changed: Condvar,
}

/// Milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Instance {
    pub(crate) fn open(cfg: InstanceConfig) -> io::Result<Self> {
        fs::create_dir_all(&cfg.dir)?;
        let log_path = cfg.dir.join("log.jsonl");
        let log = read_log(&log_path)?;
        let durable = fs::read(cfg.dir.join("state.json")).ok();
        let durable: Option<Durable> = durable.and_then(|b| serde_json::from_slice(&b).ok());
        let first = Durable {
            term: 1,
            primary: cfg.follow.is_none(),
            sealed: 1,
            follows: cfg.follow,
            ..Durable::default()
        };
        let durable = durable.unwrap_or(first);
        let log_file = OpenOptions::new().create(true).append(true).open(&log_path)?;
        let state = State {
            term: durable.term,
            primary: durable.primary,
            sealed: durable.sealed,
            sealed_by: durable.sealed_by,
            promoted: durable.promoted,
            follows: durable.follows,
            log,
            applied: 0,
            generation: wall_ms(),
            followers: BTreeMap::new(),
            nudges: 0,
            marks: VecDeque::new(),
            fresh_ms: 0,
            connections: 0,
            slots: 0,
            stats: Stats::default(),
            cancelled: Vec::new(),
            log_file,
        };
        let incarnation = wall_ms() << 16 | u64::from(std::process::id() & 0xffff);
        Ok(Self { cfg, incarnation, state: Mutex::new(state), changed: Condvar::new() })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change of the state, at most until `deadline`; says whether time is left.
    pub(crate) fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        deadline: Instant,
    ) -> (MutexGuard<'a, State>, bool) {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (state, false);
        }
        let waited = self.changed.wait_timeout(state, left);
        (waited.unwrap_or_else(PoisonError::into_inner).0, true)
    }

    /// Keeps what must survive a restart.
    pub(crate) fn keep(&self, state: &State) {
        let durable = Durable {
            term: state.term,
            primary: state.primary,
            sealed: state.sealed,
            sealed_by: state.sealed_by.clone(),
            promoted: state.promoted,
            follows: state.follows,
        };
        let bytes = serde_json::to_vec(&durable).unwrap_or_default();
        let path = self.cfg.dir.join("state.json");
        let temporary = self.cfg.dir.join("state.tmp");
        // A kill between the two calls leaves the earlier state, as a crash before the change.
        let kept = fs::write(&temporary, bytes).and_then(|()| fs::rename(&temporary, &path));
        debug_assert!(kept.is_ok());
    }

    /// Where the engine of a generation keeps its data.
    pub(crate) fn database(&self, generation: u64) -> PathBuf {
        self.cfg.dir.join(format!("data-{generation}.sqlite"))
    }

    /// What the instance has counted.
    pub fn stats(&self) -> Stats {
        self.lock().stats
    }
}

fn read_log(path: &PathBuf) -> io::Result<Vec<Entry>> {
    let Ok(file) = File::open(path) else {
        return Ok(Vec::new());
    };
    let mut log = Vec::new();
    for line in BufReader::new(file).lines() {
        // The last line may be torn by a kill; the entry was then never confirmed.
        let Ok(entry) = serde_json::from_str(&line?) else {
            break;
        };
        log.push(entry);
    }
    Ok(log)
}

impl State {
    /// The end of the log.
    pub(crate) fn end(&self) -> u64 {
        self.log.len() as u64
    }

    /// The term of an entry, zero before the first.
    pub(crate) fn term_at(&self, lsn: u64) -> u64 {
        let index = usize::try_from(lsn).unwrap_or(usize::MAX);
        index.checked_sub(1).and_then(|i| self.log.get(i)).map_or(0, |e| e.term)
    }

    /// Appends an entry and keeps it.
    pub(crate) fn append(&mut self, entry: Entry) {
        let mut line = serde_json::to_vec(&entry).unwrap_or_default();
        line.push(b'\n');
        let written = self.log_file.write_all(&line);
        debug_assert!(written.is_ok());
        self.log.push(entry);
    }

    /// Drops entries beyond `lsn`.
    pub(crate) fn truncate(&mut self, lsn: u64) {
        self.log.truncate(usize::try_from(lsn).unwrap_or(usize::MAX));
        let rewritten = self.log_file.set_len(0);
        debug_assert!(rewritten.is_ok());
        let entries = std::mem::take(&mut self.log);
        for entry in entries {
            self.append(entry);
        }
        if self.applied > lsn {
            self.applied = 0;
            self.generation += 1;
        }
        self.marks.clear();
        self.fresh_ms = 0;
    }

    /// Whether this instance is primary and may commit.
    pub(crate) fn may_commit(&self) -> bool {
        self.primary && self.sealed <= self.term
    }

    /// How long ago a majority was last heard, counting this instance.
    pub(crate) fn majority_age(&self, members: usize) -> Duration {
        let needed = members / 2;
        let mut heard: Vec<Instant> = self.followers.values().map(|f| f.at).collect();
        heard.sort_by(|a, b| b.cmp(a));
        match needed.checked_sub(1) {
            None => Duration::ZERO,
            Some(index) => heard.get(index).map_or(Duration::from_secs(3_600), Instant::elapsed),
        }
    }

    /// Whether a majority holds the log up to `lsn`, counting this instance.
    pub(crate) fn is_held(&self, lsn: u64, members: usize) -> bool {
        let holders = self.followers.values().filter(|f| f.lsn >= lsn).count();
        holders + 1 > members / 2
    }

    /// Whether a majority was heard after `since`, counting this instance.
    pub(crate) fn is_confirmed(&self, since: Instant, members: usize) -> bool {
        let heard = self.followers.values().filter(|f| f.at > since).count();
        heard + 1 > members / 2
    }
}
