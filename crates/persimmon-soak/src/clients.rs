//! Clients that check the results of their reads against the reported outcomes of their writes.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{Group, LineClient, LineResponse};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The maximum staleness of routes with bounded staleness.
const MAX_STALENESS: Duration = Duration::from_secs(1);

/// Upper limit of the requests in one session.
const MAX_SESSION_REQUESTS: usize = 25;

/// Pause between two requests of a client.
const THINK_TIME: Duration = Duration::from_millis(4);

/// Counts of the outcomes reported to clients.
#[derive(Debug, Default)]
pub struct OutcomeCounters {
    /// Requests that succeeded.
    pub served: AtomicU64,
    /// Requests that were reported as not run.
    pub not_run: AtomicU64,
    /// Requests with an indeterminate outcome.
    pub may_have_run: AtomicU64,
    /// Sessions that broke or could not be opened.
    pub broken_sessions: AtomicU64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    Acknowledged(Instant),
    Indeterminate,
    /// Refused as not run, or rolled back.
    NotKept,
}

#[derive(Clone, Debug)]
struct WriteRecord {
    value: String,
    outcome: WriteOutcome,
    session: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadBound {
    Latest,
    Bounded,
    OwnWrites,
}

/// One client, which writes and reads a key of its own.
pub(crate) struct Client {
    name: String,
    key: String,
    group_index: usize,
    group: Arc<Group>,
    client_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    counters: Arc<OutcomeCounters>,
    rng: SmallRng,
    written: Vec<WriteRecord>,
    session: u64,
    write_count: u64,
}

impl Client {
    pub(crate) fn new(
        index: u64,
        seed: u64,
        groups: &[Arc<Group>],
        client_addresses: Arc<Mutex<Vec<SocketAddr>>>,
        counters: Arc<OutcomeCounters>,
    ) -> Self {
        let group_index = usize::try_from(index).unwrap_or(0) % groups.len();
        Self {
            name: format!("c{index}"),
            key: format!("k{index}"),
            group_index,
            group: Arc::clone(&groups[group_index]),
            client_addresses,
            counters,
            rng: SmallRng::seed_from_u64(seed ^ (index + 1).wrapping_mul(0x9e37_79b9)),
            written: Vec::new(),
            session: 0,
            write_count: 0,
        }
    }

    /// Sends requests until `stop` is set.
    pub(crate) fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            self.session += 1;
            if self.run_session(stop).is_err() {
                self.counters.broken_sessions.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn run_session(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let address = {
            let client_addresses =
                self.client_addresses.lock().unwrap_or_else(PoisonError::into_inner);
            if client_addresses.is_empty() {
                return Err(io::ErrorKind::NotConnected.into());
            }
            client_addresses[self.rng.random_range(0..client_addresses.len())]
        };
        let routes =
            [("p", ReadBound::Latest), ("b", ReadBound::Bounded), ("r", ReadBound::OwnWrites)];
        let (prefix, bound) = routes[self.rng.random_range(0..routes.len())];
        let database = format!("{prefix}{}", self.group_index);
        let mut client = LineClient::open(address, &database, &self.name)?;
        client.query(&format!("SET who {}", self.name))?;
        client.query("PREPARE s1 WRITE w")?;
        client.query("PREPARE s2 READ r")?;
        for _ in 0..self.rng.random_range(1..MAX_SESSION_REQUESTS) {
            if stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            match self.rng.random_range(0..10) {
                0..2 => self.write(&mut client)?,
                2..4 => self.transaction(&mut client)?,
                _ => self.read(&mut client, bound)?,
            }
            std::thread::sleep(THINK_TIME);
        }
        Ok(())
    }

    fn next_value(&mut self) -> String {
        self.write_count += 1;
        let value = format!("{}-{}", self.name, self.write_count);
        self.written.push(WriteRecord {
            value: value.clone(),
            outcome: WriteOutcome::Indeterminate,
            session: self.session,
        });
        value
    }

    fn record_outcome(&mut self, outcome: WriteOutcome, id: &str) {
        if outcome == WriteOutcome::NotKept {
            self.group.record_not_kept(id);
        }
        let counter = match outcome {
            WriteOutcome::Acknowledged(_) => &self.counters.served,
            WriteOutcome::NotKept => &self.counters.not_run,
            WriteOutcome::Indeterminate => &self.counters.may_have_run,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if let Some(last) = self.written.last_mut() {
            last.outcome = outcome;
        }
    }

    fn outcome(response: &LineResponse) -> WriteOutcome {
        if response.result.is_ok() {
            return WriteOutcome::Acknowledged(Instant::now());
        }
        if response.reports_no_effect() {
            WriteOutcome::NotKept
        } else {
            WriteOutcome::Indeterminate
        }
    }

    fn write(&mut self, client: &mut LineClient) -> io::Result<()> {
        let value = self.next_value();
        let text = if self.rng.random_bool(0.5) {
            format!("WRITE {} {value}", self.key)
        } else {
            format!("EXECUTE s1 {} {value}", self.key)
        };
        let response = client.query(&text)?;
        self.record_outcome(Self::outcome(&response), client.last_id());
        Ok(())
    }

    fn transaction(&mut self, client: &mut LineClient) -> io::Result<()> {
        let value = self.next_value();
        client.query("BEGIN")?;
        let response = client.query(&format!("WRITE {} {value}", self.key))?;
        let write_id = client.last_id().to_owned();
        if response.result.is_err() {
            // Without a COMMIT nothing is stored, whatever the error code.
            self.record_outcome(WriteOutcome::NotKept, &write_id);
            client.query("ROLLBACK")?;
            return Ok(());
        }
        if self.rng.random_bool(0.3) {
            std::thread::sleep(THINK_TIME * 5);
        }
        if self.rng.random_bool(0.2) {
            self.record_outcome(WriteOutcome::NotKept, &write_id);
            client.query("ROLLBACK")?;
            return Ok(());
        }
        let response = client.query("COMMIT")?;
        self.record_outcome(Self::outcome(&response), &write_id);
        Ok(())
    }

    fn read(&mut self, client: &mut LineClient, bound: ReadBound) -> io::Result<()> {
        let sent_at = Instant::now();
        let text = if self.rng.random_bool(0.5) {
            format!("READ {}", self.key)
        } else {
            format!("EXECUTE s2 {}", self.key)
        };
        let response = client.query(&text)?;
        if response.result.is_err() {
            let counter = if response.reports_no_effect() {
                &self.counters.not_run
            } else {
                &self.counters.may_have_run
            };
            counter.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.counters.served.fetch_add(1, Ordering::Relaxed);
        if let Some(violation) = self.find_violation(&response, bound, sent_at) {
            self.group.record_violation(format!("{} {}: {violation}", self.name, client.last_id()));
        }
        Ok(())
    }

    /// The guarantee that the returned value violates, if any.
    fn find_violation(
        &self,
        response: &LineResponse,
        bound: ReadBound,
        sent_at: Instant,
    ) -> Option<String> {
        let [value] = &response.rows[..] else {
            return Some(format!("a read has {} rows", response.rows.len()));
        };
        let at = self.written.iter().position(|w| w.value == *value);
        if at.is_none() && value != "-" {
            return Some(format!("a read returned {value}, which was never written to its key"));
        }
        if let Some(at) = at
            && self.written[at].outcome == WriteOutcome::NotKept
        {
            return Some(format!(
                "a read returned {value}, whose write was refused or rolled back"
            ));
        }
        let newer = &self.written[at.map_or(0, |at| at + 1)..];
        let missed = newer.iter().find(|w| self.must_see(w, bound, sent_at))?;
        Some(format!("a read on a {bound:?} route returned {value} and missed {}", missed.value))
    }

    fn must_see(&self, write: &WriteRecord, bound: ReadBound, sent_at: Instant) -> bool {
        let WriteOutcome::Acknowledged(at) = write.outcome else {
            return false;
        };
        let is_old = sent_at.saturating_duration_since(at) > MAX_STALENESS;
        let is_required = match bound {
            ReadBound::Latest => true,
            ReadBound::Bounded => is_old,
            ReadBound::OwnWrites => is_old || write.session == self.session,
        };
        is_required && !self.group.is_rolled_back(&write.value)
    }
}
