//! An open-loop load: requests arrive at set times, whether or not earlier ones have completed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Mutex, mpsc};
use tokio_postgres::{Client, SimpleQueryMessage};

use crate::history::{History, ReportedOutcome};
use crate::writers::{connect, reported_outcome};

/// Identifiers are unique over all loads of a process, because several may write to one table.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The configuration of a load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Requests per second over all sessions.
    pub rate: f64,
    /// The fraction of requests that are writes, from 0 to 1.
    pub write_ratio: f64,
    /// The number of sessions.
    pub sessions: usize,
    /// How long the load lasts.
    pub duration: Duration,
    /// Interval at which a session moves to another daemon; `None` for never.
    pub roam_interval: Option<Duration>,
    /// The lag of replicas; a read within this time after a write of its session must not go to
    /// one.
    pub replica_lag: Duration,
    /// Whether a session that moves passes its position token to the next daemon.
    pub keeps_position_token: bool,
    /// The hint of every read, such as `kind=export`; empty for none.
    pub read_hint: String,
    /// Execution time of every read at the instance, in seconds; 0 for a lookup.
    pub read_seconds: f64,
    /// The seed of the arrival times.
    pub seed: u64,
}

/// The result of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// The results that clients observed.
    pub history: History,
    /// Time from the set arrival to the response of requests that succeeded, in microseconds.
    pub latency: Histogram<u64>,
    /// Reads that replicas may serve, as their session had not written for longer than the lag.
    pub allowed_reads: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// When the load began.
    pub began: Instant,
    /// When the response to each request that succeeded arrived, in milliseconds since the load
    /// began, ascending.
    pub answered_ms: Vec<u64>,
}

/// A load on a set of daemons.
#[derive(Clone, Debug)]
pub struct LoadGenerator {
    /// The addresses of the daemons.
    pub daemons: Vec<SocketAddr>,
    /// The service that the requests go to.
    pub service: String,
    /// The configuration.
    pub config: LoadConfig,
}

/// One client session: its connection, its daemon and its last acknowledged write.
struct Session {
    number: usize,
    daemon: usize,
    client: Option<Client>,
    moved_at: Instant,
    last_id: Option<String>,
    position_token: Option<String>,
    last_write_at: Option<Instant>,
}

/// One completed request.
struct CompletedRequest {
    outcome: ReportedOutcome,
    is_replica_allowed: bool,
    arrived: Instant,
    answered: Instant,
}

impl LoadGenerator {
    /// Runs the load to its end.
    ///
    /// A session sends its requests one at a time; the time that a request waits for its session
    /// counts as latency.
    pub async fn run(&self) -> LoadResult {
        let history = History::new();
        let (tx, rx) = mpsc::unbounded_channel();
        let began = Instant::now();
        let mut rng = SmallRng::seed_from_u64(self.config.seed);
        let sessions: Vec<Arc<Mutex<Session>>> = (0..self.config.sessions)
            .map(|number| Arc::new(Mutex::new(self.session(number, began))))
            .collect();
        let mut arrival = began;
        while arrival.duration_since(began) < self.config.duration {
            tokio::time::sleep_until(arrival.into()).await;
            let session = Arc::clone(&sessions[rng.random_range(0..sessions.len())]);
            let is_write = rng.random_bool(self.config.write_ratio);
            let (load, history, tx) = (self.clone(), history.clone(), tx.clone());
            tokio::spawn(async move {
                let mut session = session.lock().await;
                let id = format!("l{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
                let since = session.last_write_at.map(|at| at.elapsed());
                let is_replica_allowed =
                    !is_write && since.is_none_or(|since| since > load.config.replica_lag);
                let outcome = load.request(&mut session, &history, &id, is_write).await;
                // Sending cannot fail: the receiver lives until every task has ended.
                let _ = tx.send(CompletedRequest {
                    outcome,
                    is_replica_allowed,
                    arrived: arrival,
                    answered: Instant::now(),
                });
            });
            // Exponentially distributed gaps make the arrivals a Poisson process.
            let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / self.config.rate;
            arrival += Duration::from_secs_f64(gap);
        }
        drop(tx);
        collect(rx, history, began).await
    }

    fn session(&self, number: usize, now: Instant) -> Session {
        Session {
            number,
            daemon: number % self.daemons.len(),
            client: None,
            moved_at: now,
            last_id: None,
            position_token: None,
            last_write_at: None,
        }
    }

    async fn request(
        &self,
        session: &mut Session,
        history: &History,
        id: &str,
        is_write: bool,
    ) -> ReportedOutcome {
        self.roam(session);
        if self.prepare(session).await.is_none() {
            return ReportedOutcome::NotRun;
        }
        let sent = Instant::now();
        let outcome = if is_write {
            self.write(session, id).await
        } else {
            self.read(session, history).await
        };
        if is_write {
            history.record_write(id, sent, outcome);
        }
        if is_write && outcome == ReportedOutcome::Acknowledged {
            session.last_id = Some(id.to_owned());
            session.last_write_at = Some(Instant::now());
        }
        if outcome == ReportedOutcome::MayHaveRun {
            session.client = None;
            session.daemon = (session.daemon + 1) % self.daemons.len();
        }
        outcome
    }

    fn roam(&self, session: &mut Session) {
        let is_due =
            self.config.roam_interval.is_some_and(|every| session.moved_at.elapsed() > every);
        if is_due {
            session.client = None;
            session.daemon = (session.daemon + 1) % self.daemons.len();
            session.moved_at = Instant::now();
        }
    }

    async fn prepare(&self, session: &mut Session) -> Option<()> {
        if session.client.as_ref().is_some_and(|c| !c.is_closed()) {
            return Some(());
        }
        let address = self.daemons[session.daemon];
        let Ok(client) = connect(address, &self.service).await else {
            session.daemon = (session.daemon + 1) % self.daemons.len();
            return None;
        };
        if self.config.keeps_position_token
            && let Some(position_token) = &session.position_token
        {
            let sql = format!("SET persimmon.token = '{position_token}'");
            client.batch_execute(&sql).await.ok()?;
        }
        session.client = Some(client);
        Some(())
    }

    async fn write(&self, session: &mut Session, id: &str) -> ReportedOutcome {
        let Some(client) = &session.client else {
            return ReportedOutcome::NotRun;
        };
        let number = session.number;
        let sql = format!("/* persimmon: once */ INSERT INTO ledger VALUES ('{id}', {number})");
        match client.batch_execute(&sql).await {
            Ok(()) => ReportedOutcome::Acknowledged,
            Err(err) => reported_outcome(&err),
        }
    }

    async fn read(&self, session: &mut Session, history: &History) -> ReportedOutcome {
        let Some(client) = &session.client else {
            return ReportedOutcome::NotRun;
        };
        let id = session.last_id.clone().unwrap_or_default();
        let hint = match self.config.read_hint.as_str() {
            "" => String::new(),
            hint => format!("/* persimmon: {hint} */ "),
        };
        let seconds = self.config.read_seconds;
        // A long read must take its full time even if no row matches.
        let is_long = seconds > 0.0;
        let sql = if is_long {
            format!("{hint}SELECT pg_sleep({seconds}), count(*) FROM ledger")
        } else {
            format!("{hint}SELECT id FROM ledger WHERE id = '{id}'")
        };
        match client.simple_query(&sql).await {
            Ok(messages) => {
                let is_found = messages.iter().any(|m| matches!(m, SimpleQueryMessage::Row(_)));
                if session.last_id.is_some() && !is_long {
                    history.record_read(&id, is_found);
                }
                ReportedOutcome::Acknowledged
            }
            Err(err) => reported_outcome(&err),
        }
    }
}

/// A histogram from one microsecond to ten minutes; longer latencies count as ten minutes.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are in order"))
}

async fn collect(
    mut rx: mpsc::UnboundedReceiver<CompletedRequest>,
    history: History,
    began: Instant,
) -> LoadResult {
    let mut result = LoadResult {
        history,
        latency: histogram(),
        allowed_reads: 0,
        succeeded: 0,
        not_run: 0,
        failed: 0,
        began,
        answered_ms: Vec::new(),
    };
    while let Some(request) = rx.recv().await {
        match request.outcome {
            ReportedOutcome::Acknowledged => {
                result.succeeded += 1;
                result.allowed_reads += u64::from(request.is_replica_allowed);
                let micros = request.answered.duration_since(request.arrived).as_micros();
                result.latency.saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
                let at = request.answered.duration_since(began).as_millis();
                result.answered_ms.push(u64::try_from(at).unwrap_or(u64::MAX));
            }
            ReportedOutcome::NotRun => result.not_run += 1,
            ReportedOutcome::MayHaveRun => result.failed += 1,
        }
    }
    result.answered_ms.sort_unstable();
    result
}
