//! The state of an instance: its log, its term and its followers.
//!
//! Invariants:
//!
//! - `sealed_term` and `term` never decrease, and `sealed_term >= term`.
//! - An entry is appended only by the primary of a term that no higher term has sealed, or received
//!   from that primary.

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::instance::InstanceConfig;

/// One statement of a log entry, with its parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Statement {
    pub(crate) sql: String,
    pub(crate) params: Vec<Param>,
}

/// The value of a statement parameter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Param {
    Null,
    Int(i64),
    Text(String),
}

/// One log entry: the writes of a committed transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) term: u64,
    pub(crate) at_ms: u64,
    pub(crate) writes: Vec<Statement>,
}

/// The last log position that a follower acknowledged in the current term, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Follower {
    pub(crate) lsn: u64,
    pub(crate) at: Instant,
}

/// The state that survives a restart, besides the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct DurableState {
    term: u64,
    primary: bool,
    sealed: u64,
    sealed_by: String,
    promoted: Option<u64>,
    follows: Option<SocketAddr>,
}

/// Counters of an instance.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Statements executed.
    pub statements: u64,
    /// Reads executed as replica.
    pub replica_reads: u64,
    /// Reads executed as primary.
    pub primary_reads: u64,
    /// Maximum number of connections open at the same time.
    pub max_connections: u64,
    /// Connections refused because the connection limit was reached.
    pub refused_connections: u64,
    /// Maximum number of execution slots in use at the same time.
    pub max_slots: u64,
    /// Statements refused because of their term.
    pub term_refusals: u64,
}

/// The mutable state of an instance, protected by one lock.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) term: u64,
    pub(crate) is_primary: bool,
    pub(crate) sealed_term: u64,
    pub(crate) sealed_by: String,
    /// The last log position inherited from earlier terms when this instance was promoted.
    pub(crate) promoted: Option<u64>,
    pub(crate) follows: Option<SocketAddr>,
    pub(crate) log: Vec<Entry>,
    pub(crate) applied: u64,
    pub(crate) generation: u64,
    pub(crate) followers: BTreeMap<String, Follower>,
    /// Incremented to make waiting replication calls return, so that followers call again at once.
    pub(crate) fetch_wakeups: u64,
    /// Times in milliseconds, each with the end of the primary's log at that time.
    ///
    /// When the replica has applied up to such an end, its data is as fresh as that time.
    pub(crate) freshness_marks: VecDeque<(u64, u64)>,
    pub(crate) fresh_as_of_ms: u64,
    pub(crate) connections: usize,
    pub(crate) slots: usize,
    pub(crate) stats: Stats,
    pub(crate) cancelled: Vec<i32>,
    log_file: File,
}

/// One fake instance.
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
        let durable: Option<DurableState> = durable.and_then(|b| serde_json::from_slice(&b).ok());
        let initial = DurableState {
            term: 1,
            primary: cfg.follow.is_none(),
            sealed: 1,
            follows: cfg.follow,
            ..DurableState::default()
        };
        let durable = durable.unwrap_or(initial);
        let log_file = OpenOptions::new().create(true).append(true).open(&log_path)?;
        let state = State {
            term: durable.term,
            is_primary: durable.primary,
            sealed_term: durable.sealed,
            sealed_by: durable.sealed_by,
            promoted: durable.promoted,
            follows: durable.follows,
            log,
            applied: 0,
            generation: wall_ms(),
            followers: BTreeMap::new(),
            fetch_wakeups: 0,
            freshness_marks: VecDeque::new(),
            fresh_as_of_ms: 0,
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

    /// Waits for a change of the state until `deadline`; returns false if the deadline had already
    /// passed.
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

    /// Writes the durable part of the state to disk.
    pub(crate) fn persist(&self, state: &State) {
        let durable = DurableState {
            term: state.term,
            primary: state.is_primary,
            sealed: state.sealed_term,
            sealed_by: state.sealed_by.clone(),
            promoted: state.promoted,
            follows: state.follows,
        };
        let bytes = serde_json::to_vec(&durable).unwrap_or_default();
        let path = self.cfg.dir.join("state.json");
        let temporary_path = self.cfg.dir.join("state.tmp");
        // A kill between the two calls leaves the earlier state, as if the kill had come before it.
        let persisted =
            fs::write(&temporary_path, bytes).and_then(|()| fs::rename(&temporary_path, &path));
        debug_assert!(persisted.is_ok());
    }

    /// Returns the path of the embedded database of a generation.
    pub(crate) fn database(&self, generation: u64) -> PathBuf {
        self.cfg.dir.join(format!("data-{generation}.sqlite"))
    }

    /// Returns the counters.
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
        // A kill may leave the last line incomplete; that entry was never acknowledged.
        let Ok(entry) = serde_json::from_str(&line?) else {
            break;
        };
        log.push(entry);
    }
    Ok(log)
}

impl State {
    /// Returns the log position of the last entry.
    pub(crate) fn log_end(&self) -> u64 {
        self.log.len() as u64
    }

    /// Returns the term of an entry; zero before the first entry.
    pub(crate) fn term_at(&self, lsn: u64) -> u64 {
        let index = usize::try_from(lsn).unwrap_or(usize::MAX);
        index.checked_sub(1).and_then(|i| self.log.get(i)).map_or(0, |e| e.term)
    }

    /// Appends an entry to the log and to its file.
    pub(crate) fn append(&mut self, entry: Entry) {
        let mut line = serde_json::to_vec(&entry).unwrap_or_default();
        line.push(b'\n');
        let written = self.log_file.write_all(&line);
        debug_assert!(written.is_ok());
        self.log.push(entry);
    }

    /// Truncates the log after `lsn`.
    ///
    /// If a dropped entry was applied, the database is rebuilt as a new generation.
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
        self.freshness_marks.clear();
        self.fresh_as_of_ms = 0;
    }

    /// Whether this instance is the primary of a term that no higher term has sealed.
    pub(crate) fn may_commit(&self) -> bool {
        self.is_primary && self.sealed_term <= self.term
    }

    /// Returns the time since a majority, counting this instance, was last in contact; one hour
    /// if it never was.
    pub(crate) fn majority_age(&self, group_size: usize) -> Duration {
        let needed = group_size / 2;
        let mut contacts: Vec<Instant> = self.followers.values().map(|f| f.at).collect();
        contacts.sort_by(|a, b| b.cmp(a));
        match needed.checked_sub(1) {
            None => Duration::ZERO,
            Some(index) => contacts.get(index).map_or(Duration::from_secs(3_600), Instant::elapsed),
        }
    }

    /// Whether a majority, counting this instance, has the log up to `lsn`.
    pub(crate) fn has_majority_acknowledged(&self, lsn: u64, group_size: usize) -> bool {
        let acknowledgements = self.followers.values().filter(|f| f.lsn >= lsn).count();
        acknowledgements + 1 > group_size / 2
    }

    /// Whether a majority, counting this instance, was in contact after `since`.
    pub(crate) fn has_majority_contact_since(&self, since: Instant, group_size: usize) -> bool {
        let contacts = self.followers.values().filter(|f| f.at > since).count();
        contacts + 1 > group_size / 2
    }
}
