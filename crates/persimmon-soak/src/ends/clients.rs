//! Clients whose sessions daemons end: each kind meets another end, and all keep a session that is open
//! until its process is gone.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{LineClient, LineResponse};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ends::cut::{Cut, MIN_IDLE_TRANSACTION, UNREAD_LIMIT};
use crate::ends::processes::EndRecord;
use crate::ends::table::key;

/// Number of these clients.
pub(crate) const END_CLIENTS: usize = 24;

/// How long a client waits for an answer: a pause of its daemon, and the longest time of a statement.
const ANSWER_LIMIT: Duration = Duration::from_secs(12);

/// Pause after a refusal, so that clients do not keep a refusing daemon busy.
const REFUSAL_PAUSE: Duration = Duration::from_millis(2);

/// Pause between two sessions.
const SESSION_PAUSE: Duration = Duration::from_millis(30);

/// Longer than an idle session is safe on a host without room for others.
const LONG_IDLE: Duration = Duration::from_millis(10_100);

/// Answers that a slow reader asks for at once. Together they exceed what the kernel takes.
const UNREAD_ANSWERS: usize = 6;

/// Bytes of each of these answers.
const LARGE_VALUE: usize = 900_000;

/// Distinguishes the random numbers of these clients from those of others.
const CLIENT_STREAM: u64 = 0xe2d5_c11e;

/// What a client does in its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Sends each request at once on the answer before.
    AtOnce,
    /// Rests between opening a session and each request.
    Dormant,
    /// Ends its messages after a request.
    HalfClose,
    /// Completes a request late.
    HalfMessage,
    /// Reads large answers late.
    SlowReader,
    /// Runs transactions with pauses.
    Transaction,
}

const KINDS: [(Kind, &str); 6] = [
    (Kind::AtOnce, "client that sends at once"),
    (Kind::Dormant, "dormant client"),
    (Kind::HalfClose, "client that half-closes"),
    (Kind::HalfMessage, "client with half a message"),
    (Kind::SlowReader, "slow reader"),
    (Kind::Transaction, "client with a transaction"),
];

/// One client.
pub(crate) struct EndClient {
    kind: Kind,
    kind_name: &'static str,
    key: String,
    database: String,
    client_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    record: Arc<EndRecord>,
    rng: SmallRng,
}

/// An open session, with what the check needs to know of it.
struct OpenSession<'a> {
    client: LineClient,
    address: SocketAddr,
    kind_name: &'static str,
    record: &'a EndRecord,
    answered_at: Instant,
    sent_at: Instant,
    unread_for: Duration,
    is_in_transaction: bool,
    /// The ids of the requests without an answer, oldest first.
    outstanding: Vec<String>,
}

impl OpenSession<'_> {
    fn record_sent(&mut self) {
        self.sent_at = Instant::now();
        self.outstanding.push(self.client.last_id().to_owned());
    }

    /// Sends a request. An error means that it has not been sent whole.
    fn send(&mut self, text: &str) -> io::Result<()> {
        self.client.send(text).inspect_err(|_| self.record.record_end_unasked())?;
        self.record_sent();
        Ok(())
    }

    /// Sends the rest of a request.
    fn send_rest(&mut self, rest: &str) -> io::Result<()> {
        let sent = self.client.send_raw(rest.as_bytes());
        sent.inspect_err(|_| self.record.record_end_unasked())?;
        self.record_sent();
        Ok(())
    }

    /// Waits, and returns an error if the daemon has ended the session meanwhile.
    fn rest(&self, pause: Duration) -> io::Result<()> {
        std::thread::sleep(pause);
        if !self.client.has_ended() {
            return Ok(());
        }
        self.record.record_end_unasked();
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    /// Leaves answers unread for a time.
    fn leave_unread(&mut self, pause: Duration) {
        std::thread::sleep(pause);
        self.unread_for += pause;
    }

    /// Receives the response to the oldest request, or records that it is missing.
    fn receive(&mut self) -> io::Result<LineResponse> {
        match self.client.receive_response() {
            Ok(response) => {
                self.record.record_answer();
                self.outstanding.remove(0);
                self.answered_at = Instant::now();
                self.is_in_transaction = response.state != "I";
                Ok(response)
            }
            Err(err) => {
                self.record_missing(&err);
                Err(err)
            }
        }
    }

    fn record_missing(&self, err: &io::Error) {
        let ended_at = Instant::now();
        for id in &self.outstanding {
            if matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) {
                self.record.record_silence(self.address, self.kind_name, id);
                continue;
            }
            let cut = Cut {
                id: id.clone(),
                answered_at: self.answered_at,
                sent_at: self.sent_at,
                ended_at,
                unread_for: self.unread_for,
                is_in_transaction: self.is_in_transaction,
                has_run: false,
            };
            self.record.record_cut(self.address, self.kind_name, cut);
        }
    }

    fn query(&mut self, text: &str) -> io::Result<LineResponse> {
        self.send(text)?;
        self.receive()
    }
}

impl EndClient {
    /// Creates the client with this number.
    pub(crate) fn new(
        index: usize,
        seed: u64,
        groups: usize,
        client_addresses: Arc<Mutex<Vec<SocketAddr>>>,
        record: Arc<EndRecord>,
    ) -> Self {
        let (kind, kind_name) = KINDS[index % KINDS.len()];
        let stream = u64::try_from(index + 1).unwrap_or(0).wrapping_mul(0x9e37_79b9);
        Self {
            kind,
            kind_name,
            key: key(index),
            database: format!("p{}", index % groups),
            client_addresses,
            record,
            rng: SmallRng::seed_from_u64(seed ^ CLIENT_STREAM ^ stream),
        }
    }

    /// Opens sessions until `stop` is set.
    pub(crate) fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            // How a session ends is in the record.
            let _ = self.run_session(stop);
            std::thread::sleep(SESSION_PAUSE);
        }
    }

    fn run_session(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let address = {
            let addresses = self.client_addresses.lock().unwrap_or_else(PoisonError::into_inner);
            let index = self.rng.random_range(0..addresses.len().max(1));
            *addresses.get(index).ok_or(io::ErrorKind::NotConnected)?
        };
        let client = LineClient::open(address, &self.database, &self.key)?;
        client.set_response_timeout(ANSWER_LIMIT)?;
        let record = Arc::clone(&self.record);
        let now = Instant::now();
        let mut session = OpenSession {
            client,
            address,
            kind_name: self.kind_name,
            record: &record,
            answered_at: now,
            sent_at: now,
            unread_for: Duration::ZERO,
            is_in_transaction: false,
            outstanding: Vec::new(),
        };
        match self.kind {
            Kind::AtOnce => self.send_at_once(&mut session, stop),
            Kind::Dormant => self.rest_between(&mut session, stop),
            Kind::HalfClose => self.half_close(&mut session),
            Kind::HalfMessage => self.complete_late(&mut session),
            Kind::SlowReader => self.read_late(&mut session),
            Kind::Transaction => self.run_transactions(&mut session, stop),
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn item(&self) -> String {
        format!("i-{}", self.key)
    }

    fn send_at_once(&mut self, session: &mut OpenSession<'_>, stop: &AtomicBool) -> io::Result<()> {
        let is_endless = self.rng.random_bool(0.5);
        let count = if is_endless { usize::MAX } else { self.rng.random_range(1..400) };
        let item = self.item();
        for number in 0..count {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let text = match number % 10 {
                0 => format!("WRITE {item} v{number}"),
                _ => format!("READ {item}"),
            };
            if session.query(&text)?.result.is_err() {
                std::thread::sleep(REFUSAL_PAUSE);
            }
        }
        Ok(())
    }

    fn rest_between(&mut self, session: &mut OpenSession<'_>, stop: &AtomicBool) -> io::Result<()> {
        while !stop.load(Ordering::Relaxed) {
            let is_long = self.rng.random_bool(0.1);
            let pause = if is_long { LONG_IDLE } else { self.millis(0..2_500) };
            session.rest(pause)?;
            session.query(&format!("READ {}", self.item()))?;
            if self.rng.random_bool(0.4) {
                break;
            }
        }
        Ok(())
    }

    fn half_close(&mut self, session: &mut OpenSession<'_>) -> io::Result<()> {
        for _ in 0..self.rng.random_range(0..4) {
            session.query(&format!("READ {}", self.item()))?;
        }
        let pause = self.millis(0..300);
        session.rest(pause)?;
        let text = match self.rng.random_range(0..2) {
            0 => format!("WRITE {} half", self.item()),
            _ => format!("READ {}", self.item()),
        };
        session.send(&text)?;
        // The end of the messages fails if the connection is broken, which the next line records.
        let _ = session.client.finish_sending();
        session.receive().map(drop)
    }

    fn complete_late(&mut self, session: &mut OpenSession<'_>) -> io::Result<()> {
        for _ in 0..self.rng.random_range(0..3) {
            session.query(&format!("READ {}", self.item()))?;
        }
        let rest = session.client.send_half(&format!("READ {}", self.item()))?;
        let pause = self.millis(50..2_500);
        session.rest(pause)?;
        session.send_rest(&rest)?;
        session.receive().map(drop)
    }

    fn read_late(&mut self, session: &mut OpenSession<'_>) -> io::Result<()> {
        let item = self.item();
        session.query(&format!("WRITE {item} {}", "v".repeat(LARGE_VALUE)))?;
        for _ in 0..UNREAD_ANSWERS {
            session.send(&format!("READ {item}"))?;
        }
        let is_slow = self.rng.random_bool(0.3);
        let pause = self.millis(0..if is_slow { 300 } else { 600 });
        let pause = if is_slow { UNREAD_LIMIT + pause } else { pause };
        session.leave_unread(pause);
        for _ in 0..UNREAD_ANSWERS {
            session.receive()?;
        }
        session.rest(SESSION_PAUSE * 20)
    }

    fn run_transactions(
        &mut self,
        session: &mut OpenSession<'_>,
        stop: &AtomicBool,
    ) -> io::Result<()> {
        let item = self.item();
        while !stop.load(Ordering::Relaxed) {
            session.query("BEGIN")?;
            for number in 0..self.rng.random_range(1..5) {
                session.query(&format!("WRITE {item} t{number}"))?;
                if self.rng.random_bool(0.3) {
                    let is_long = self.rng.random_bool(0.2);
                    let limit = u64::try_from(MIN_IDLE_TRANSACTION.as_millis()).unwrap_or(0);
                    let pause =
                        if is_long { self.millis(limit..limit * 5) } else { self.millis(0..200) };
                    std::thread::sleep(pause);
                }
            }
            session.query(if self.rng.random_bool(0.8) { "COMMIT" } else { "ROLLBACK" })?;
            if self.rng.random_bool(0.1) {
                break;
            }
        }
        Ok(())
    }
}
