//! Callers that check what they are told.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use persimmon_lab::seam::{Group, LineAnswer, LineClient};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The bound of the routes whose reads may be old.
const STALENESS: Duration = Duration::from_secs(1);

/// Requests of one session at the most.
const REQUESTS: usize = 25;

/// Pause between two requests of a caller.
const THINK: Duration = Duration::from_millis(4);

/// What callers were told, counted.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests answered with success.
    pub served: AtomicU64,
    /// Requests refused with a promise.
    pub promised: AtomicU64,
    /// Requests that may have run.
    pub in_doubt: AtomicU64,
    /// Sessions that broke or could not be opened.
    pub broken: AtomicU64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Acknowledged(Instant),
    InDoubt,
    NotKept,
}

#[derive(Clone, Debug)]
struct Written {
    data: String,
    fate: Fate,
    session: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bound {
    Latest,
    Bounded,
    OwnWrites,
}

/// One caller with an item of its own.
pub(crate) struct Caller {
    name: String,
    item: String,
    number: usize,
    group: Arc<Group>,
    fronts: Arc<Mutex<Vec<SocketAddr>>>,
    tally: Arc<Tally>,
    rng: SmallRng,
    written: Vec<Written>,
    session: u64,
    writes: u64,
}

impl Caller {
    pub(crate) fn new(
        index: u64,
        seed: u64,
        groups: &[Arc<Group>],
        fronts: Arc<Mutex<Vec<SocketAddr>>>,
        tally: Arc<Tally>,
    ) -> Self {
        let number = usize::try_from(index).unwrap_or(0) % groups.len();
        Self {
            name: format!("c{index}"),
            item: format!("k{index}"),
            number,
            group: Arc::clone(&groups[number]),
            fronts,
            tally,
            rng: SmallRng::seed_from_u64(seed ^ (index + 1).wrapping_mul(0x9e37_79b9)),
            written: Vec::new(),
            session: 0,
            writes: 0,
        }
    }

    /// Calls until it is told to stop.
    pub(crate) fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            self.session += 1;
            if self.one_session(stop).is_err() {
                self.tally.broken.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn one_session(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let address = {
            let fronts = self.fronts.lock().unwrap_or_else(PoisonError::into_inner);
            if fronts.is_empty() {
                return Err(io::ErrorKind::NotConnected.into());
            }
            fronts[self.rng.random_range(0..fronts.len())]
        };
        let kinds = [("p", Bound::Latest), ("b", Bound::Bounded), ("r", Bound::OwnWrites)];
        let (prefix, bound) = kinds[self.rng.random_range(0..kinds.len())];
        let database = format!("{prefix}{}", self.number);
        let mut client = LineClient::open(address, &database, &self.name)?;
        client.query(&format!("SET who {}", self.name))?;
        client.query("PREPARE s1 WRITE w")?;
        client.query("PREPARE s2 READ r")?;
        for _ in 0..self.rng.random_range(1..REQUESTS) {
            if stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            match self.rng.random_range(0..10) {
                0..2 => self.write(&mut client)?,
                2..4 => self.transaction(&mut client)?,
                _ => self.read(&mut client, bound)?,
            }
            std::thread::sleep(THINK);
        }
        Ok(())
    }

    fn next_data(&mut self) -> String {
        self.writes += 1;
        let data = format!("{}-{}", self.name, self.writes);
        self.written.push(Written {
            data: data.clone(),
            fate: Fate::InDoubt,
            session: self.session,
        });
        data
    }

    fn settle(&mut self, fate: Fate, id: &str) {
        if fate == Fate::NotKept {
            self.group.promised(id);
        }
        let counter = match fate {
            Fate::Acknowledged(_) => &self.tally.served,
            Fate::NotKept => &self.tally.promised,
            Fate::InDoubt => &self.tally.in_doubt,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if let Some(last) = self.written.last_mut() {
            last.fate = fate;
        }
    }

    fn fate(answer: &LineAnswer) -> Fate {
        if answer.result.is_ok() {
            return Fate::Acknowledged(Instant::now());
        }
        if answer.promises_nothing_kept() { Fate::NotKept } else { Fate::InDoubt }
    }

    fn write(&mut self, client: &mut LineClient) -> io::Result<()> {
        let data = self.next_data();
        let text = if self.rng.random_bool(0.5) {
            format!("WRITE {} {data}", self.item)
        } else {
            format!("EXECUTE s1 {} {data}", self.item)
        };
        let answer = client.query(&text)?;
        self.settle(Self::fate(&answer), client.last_id());
        Ok(())
    }

    fn transaction(&mut self, client: &mut LineClient) -> io::Result<()> {
        let data = self.next_data();
        client.query("BEGIN")?;
        let answer = client.query(&format!("WRITE {} {data}", self.item))?;
        let write_id = client.last_id().to_owned();
        if answer.result.is_err() {
            // Nothing was committed, whatever the code says.
            self.settle(Fate::NotKept, &write_id);
            client.query("ROLLBACK")?;
            return Ok(());
        }
        if self.rng.random_bool(0.3) {
            std::thread::sleep(THINK * 5);
        }
        if self.rng.random_bool(0.2) {
            self.settle(Fate::NotKept, &write_id);
            client.query("ROLLBACK")?;
            return Ok(());
        }
        let answer = client.query("COMMIT")?;
        self.settle(Self::fate(&answer), &write_id);
        Ok(())
    }

    fn read(&mut self, client: &mut LineClient, bound: Bound) -> io::Result<()> {
        let sent_at = Instant::now();
        let text = if self.rng.random_bool(0.5) {
            format!("READ {}", self.item)
        } else {
            format!("EXECUTE s2 {}", self.item)
        };
        let answer = client.query(&text)?;
        if answer.result.is_err() {
            let counter = if answer.promises_nothing_kept() {
                &self.tally.promised
            } else {
                &self.tally.in_doubt
            };
            counter.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.tally.served.fetch_add(1, Ordering::Relaxed);
        if let Some(problem) = self.problem(&answer, bound, sent_at) {
            self.group.violation(format!("{} {}: {problem}", self.name, client.last_id()));
        }
        Ok(())
    }

    /// What is wrong with the value that a read returned.
    fn problem(&self, answer: &LineAnswer, bound: Bound, sent_at: Instant) -> Option<String> {
        let [value] = &answer.rows[..] else {
            return Some(format!("a read has {} rows", answer.rows.len()));
        };
        let at = self.written.iter().position(|w| w.data == *value);
        if at.is_none() && value != "-" {
            return Some(format!("a read returned {value}, which nobody wrote there"));
        }
        if let Some(at) = at
            && self.written[at].fate == Fate::NotKept
        {
            return Some(format!("a read returned {value}, which was promised not to be kept"));
        }
        let newer = &self.written[at.map_or(0, |at| at + 1)..];
        let missed = newer.iter().find(|w| self.must_see(w, bound, sent_at))?;
        Some(format!("a read on a {bound:?} route returned {value} and missed {}", missed.data))
    }

    fn must_see(&self, written: &Written, bound: Bound, sent_at: Instant) -> bool {
        let Fate::Acknowledged(at) = written.fate else {
            return false;
        };
        let is_old = sent_at.saturating_duration_since(at) > STALENESS;
        let is_bound = match bound {
            Bound::Latest => true,
            Bound::Bounded => is_old,
            Bound::OwnWrites => is_old || written.session == self.session,
        };
        is_bound && !self.group.is_lost(&written.data)
    }
}
