//! One caller's session.
//!
//! Invariants:
//!
//! - Nothing is sent to a caller that has no request outstanding.
//! - A refusal that promises that nothing is kept is sent only if no instance can commit the
//!   transaction any more.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use ntex::codec::Decoder;
use ntex::io::Io;
use ntex::util::BytesMut;
use persimmon_place::{Attempt, Failure, Next, after_failure};
use persimmon_ports::{
    Access, CallerMessage, CallerProtocol, Code, Freshness, ProtocolError, Query, Reply, Route,
    Statement, TxStatus,
};
use persimmon_types::{Clock, Position, Time};

use crate::link::{Answer, Shape, Wanted};
use crate::metrics::Metrics;
use crate::pool::Lease;
use crate::traffic::{Stage, Worker};
use crate::transaction::{Carried, Job, Mode, RETRY_AFTER, access, lone_mode};

/// How long a caller may take to open its session.
const OPENING_LIMIT: Duration = Duration::from_secs(5);

/// How long a session waits for the first table; callers give up after two seconds.
const TABLE_WAIT: Duration = Duration::from_millis(1_700);

/// Named values and prepared statements that a session may hold.
const NAMES_LIMIT: usize = 1_000;

#[derive(Debug)]
struct CallerCodec(Arc<dyn CallerProtocol>);

impl Decoder for CallerCodec {
    type Item = CallerMessage;
    type Error = ProtocolError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<CallerMessage>, ProtocolError> {
        self.0.decode(src)
    }
}

/// A caller's transaction.
enum Tx {
    None,
    /// Opened here; no instance knows of it yet.
    Begun {
        is_read_only: bool,
        arrival: Time,
        route: Arc<Route>,
    },
    /// Open on an instance.
    Open {
        lease: Lease,
        route: Arc<Route>,
        has_written: bool,
        rests_since: Time,
        began: Time,
    },
    /// Failed; it can only be ended.
    Failed,
}

struct Session {
    worker: Rc<Worker>,
    io: Io,
    codec: CallerCodec,
    database: Arc<str>,
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: HashMap<Arc<str>, Shape>,
    own_floor: Option<Position>,
    /// When a commit was acknowledged whose position is not known.
    own_since: Time,
    tx: Tx,
}

enum Wake {
    Message(CallerMessage),
    Gone,
    RestedTooLong,
    Close,
}

/// Serves one caller until either side ends the session.
pub(crate) async fn serve(worker: Rc<Worker>, io: Io) {
    let codec = CallerCodec(Arc::clone(&worker.callers));
    let opened = tokio::time::timeout(OPENING_LIMIT, io.recv(&codec)).await;
    let Ok(Ok(Some(CallerMessage::Open { database, user }))) = opened else {
        return;
    };
    Metrics::add(&worker.metrics.sessions_opened);
    worker.sessions.set(worker.sessions.get() + 1);
    let mut session = Session {
        worker: Rc::clone(&worker),
        io,
        codec,
        database,
        values: BTreeMap::new(),
        prepared: HashMap::new(),
        own_floor: None,
        own_since: Time::ZERO,
        tx: Tx::None,
    };
    session.run(&user).await;
    session.abandon();
    // What was written last still has to leave; the session itself is over either way.
    let _ = session.io.shutdown().await;
    worker.sessions.set(worker.sessions.get() - 1);
    Metrics::add(&worker.metrics.sessions_closed);
}

impl Session {
    async fn run(&mut self, user: &str) {
        if !self.open(user).await {
            return;
        }
        loop {
            match self.wake().await {
                Wake::Message(CallerMessage::Query(query)) => {
                    if !self.query(&query).await {
                        return;
                    }
                }
                Wake::RestedTooLong => self.end_resting(),
                Wake::Message(CallerMessage::Open { .. } | CallerMessage::Terminate)
                | Wake::Gone
                | Wake::Close => return,
            }
        }
    }

    async fn open(&mut self, user: &str) -> bool {
        let until = Clock.now() + TABLE_WAIT;
        while self.worker.view().table.is_none() {
            let left = until.since(Clock.now());
            if left.is_zero() {
                tracing::warn!(database = %self.database, user, "a session came before a table");
                self.send(&[refusal(Code::Busy, RETRY_AFTER)]);
                return false;
            }
            // Running out of time here only means to look again.
            let _ = tokio::time::timeout(left, self.worker.view_changed()).await;
        }
        if self.route().is_none() {
            let version = self.worker.view().table.as_ref().map_or(0, |t| t.version);
            tracing::info!(database = %self.database, user, table = version, "no such database");
            self.send(&[error(Code::NoSuchDatabase, &self.database)]);
            return false;
        }
        self.send(&[ready(TxStatus::Idle, None)]);
        true
    }

    fn route(&self) -> Option<Arc<Route>> {
        self.worker.view().table.as_ref()?.routes.get(&self.database).cloned()
    }

    fn send(&self, replies: &[Reply]) {
        let mut buf = BytesMut::with_capacity(256);
        for reply in replies {
            self.codec.0.encode(reply, &mut buf);
        }
        // A caller that is gone is noticed when its next message is awaited.
        let _ = self.io.encode_slice(&buf);
    }

    async fn wake(&mut self) -> Wake {
        let mut stage = self.worker.stage.clone();
        loop {
            let at = *stage.borrow_and_update();
            let is_idle = matches!(self.tx, Tx::None);
            let closes = at >= Stage::Ending || (at >= Stage::Closing && is_idle);
            if closes {
                // A request that has arrived already is served first.
                return match self.io.recv(&self.codec).now_or_never() {
                    Some(Ok(Some(message))) if is_idle => Wake::Message(message),
                    _ => Wake::Close,
                };
            }
            let rest = self.rest_left();
            tokio::select! {
                biased;
                received = self.io.recv(&self.codec) => return self.received(received),
                _ = stage.changed() => {}
                () = tokio::time::sleep(rest.unwrap_or_default()), if rest.is_some() => {
                    return Wake::RestedTooLong;
                }
            }
        }
    }

    fn received<E: std::fmt::Debug>(
        &self,
        received: Result<Option<CallerMessage>, ntex::util::Either<ProtocolError, E>>,
    ) -> Wake {
        match received {
            Ok(Some(message)) => Wake::Message(message),
            Err(ntex::util::Either::Left(err)) => {
                tracing::info!(database = %self.database, error = %err, "a caller broke the protocol");
                self.send(&[error(Code::Malformed, &err.to_string())]);
                Wake::Gone
            }
            Ok(None) | Err(ntex::util::Either::Right(_)) => Wake::Gone,
        }
    }

    /// How much longer an open transaction may rest.
    fn rest_left(&self) -> Option<Duration> {
        let Tx::Open { rests_since, .. } = &self.tx else {
            return None;
        };
        let limit = self.worker.view().table.as_ref()?.tx_idle;
        Some((*rests_since + limit).since(Clock.now()))
    }

    fn end_resting(&mut self) {
        Metrics::add(&self.worker.metrics.transactions_idle);
        if let Tx::Open { lease, has_written, .. } = &self.tx {
            tracing::info!(database = %self.database, instance = %lease.instance.id, has_written,
                "a transaction rested too long and is rolled back");
        }
        self.abandon();
        self.tx = Tx::Failed;
    }

    /// Rolls back a transaction without its caller.
    fn abandon(&mut self) {
        let Tx::Open { mut lease, .. } = std::mem::replace(&mut self.tx, Tx::None) else {
            return;
        };
        let worker = Rc::clone(&self.worker);
        ntex::rt::spawn(async move { worker.rollback(&mut lease).await });
    }

    fn status(&self) -> TxStatus {
        match self.tx {
            Tx::None => TxStatus::Idle,
            Tx::Begun { .. } | Tx::Open { .. } => TxStatus::Open,
            Tx::Failed => TxStatus::Failed,
        }
    }

    /// Answers one request; returns whether the session goes on.
    async fn query(&mut self, query: &Query) -> bool {
        if matches!(self.tx, Tx::Failed) {
            return self.end_failed(query);
        }
        match &query.statement {
            Statement::Begin { is_read_only } => self.begin(query, *is_read_only),
            Statement::Rollback => self.rollback(),
            Statement::Set { name, value } => {
                if self.values.len() < NAMES_LIMIT || self.values.contains_key(name) {
                    self.values.insert(Arc::clone(name), Arc::clone(value));
                    return self.complete();
                }
                self.fail(Code::Malformed, "too many values")
            }
            Statement::Prepare { name, access, shape } => {
                if self.prepared.len() < NAMES_LIMIT || self.prepared.contains_key(name) {
                    self.prepared.insert(Arc::clone(name), (*access, Arc::clone(shape)));
                    return self.complete();
                }
                self.fail(Code::Malformed, "too many prepared statements")
            }
            Statement::Deallocate { name } => {
                self.prepared.remove(name);
                self.complete()
            }
            Statement::Execute { name, .. } => match self.prepared.get(name).cloned() {
                Some(shape) => self.run_statement(query, Some(&shape)).await,
                None => self.fail(Code::NoSuchPrepared, name),
            },
            Statement::Data(_) => self.run_statement(query, None).await,
            Statement::Commit if matches!(self.tx, Tx::None) => {
                self.fail(Code::Malformed, "no transaction is open")
            }
            Statement::Commit => self.run_statement(query, None).await,
            Statement::Unknown => self.fail(Code::Malformed, "not a statement"),
        }
    }

    fn complete(&self) -> bool {
        self.send(&[Reply::Complete(None), ready(self.status(), None)]);
        true
    }

    fn fail(&mut self, code: Code, text: &str) -> bool {
        if matches!(self.tx, Tx::Begun { .. } | Tx::Open { .. }) {
            self.abandon();
            self.tx = Tx::Failed;
        }
        self.send(&[error(code, text), ready(self.status(), None)]);
        true
    }

    fn end_failed(&mut self, query: &Query) -> bool {
        match query.statement {
            Statement::Rollback => {
                self.tx = Tx::None;
                self.complete()
            }
            Statement::Commit => {
                self.tx = Tx::None;
                self.fail(Code::Aborted, "the transaction failed and is rolled back")
            }
            _ => self.fail(Code::Malformed, "the transaction failed and can only be ended"),
        }
    }

    fn begin(&mut self, query: &Query, is_read_only: bool) -> bool {
        if !matches!(self.tx, Tx::None) {
            return self.fail(Code::Malformed, "a transaction is open already");
        }
        let Some(route) = self.route() else {
            tracing::info!(id = %query.id, database = %self.database, "the route is gone");
            return self.fail(Code::NoSuchDatabase, "the route was removed");
        };
        self.tx = Tx::Begun { is_read_only, arrival: Clock.now(), route };
        self.complete()
    }

    fn rollback(&mut self) -> bool {
        if matches!(self.tx, Tx::None) {
            return self.fail(Code::Malformed, "no transaction is open");
        }
        self.abandon();
        self.tx = Tx::None;
        self.complete()
    }

    async fn run_statement(&mut self, query: &Query, shape: Option<&Shape>) -> bool {
        let arrival = Clock.now();
        let access = access(&query.statement, shape);
        let is_commit = query.statement == Statement::Commit;
        let worker = Rc::clone(&self.worker);
        let (mode, route, fresh_at) = match &self.tx {
            Tx::Open { .. } => return self.continue_transaction(query, shape, arrival).await,
            Tx::Begun { is_read_only, arrival, route } => {
                let mode = if *is_read_only && route.freshness != Freshness::Latest {
                    Mode::CopyTransaction
                } else {
                    Mode::PrimaryTransaction
                };
                (mode, Arc::clone(route), *arrival)
            }
            _ => {
                let Some(route) = self.route() else {
                    tracing::info!(id = %query.id, database = %self.database, "the route is gone");
                    return self.fail(Code::NoSuchDatabase, "the route was removed");
                };
                (lone_mode(access), route, arrival)
            }
        };
        let until = arrival + route.statement_timeout;
        let job = Job {
            query,
            shape,
            values: &self.values,
            own_floor: self.own_floor,
            own_since: self.own_since,
            fresh_at,
            until,
            route: Arc::clone(&route),
        };
        let carried = worker.carry(&job, mode).await;
        self.explain(query, &route, access, arrival, &carried);
        let has_begun = matches!(self.tx, Tx::Begun { .. });
        let Carried { result, lease, mode, retry_after, .. } = carried;
        match result {
            Ok(answer) => {
                if mode == Mode::Write && answer.result.is_ok() {
                    self.committed(&route, answer.position, arrival);
                }
                if has_begun {
                    self.tx = self.opened(lease, route, access, fresh_at, is_commit, &answer);
                }
                self.deliver(answer);
            }
            Err(code) => {
                if has_begun {
                    self.tx = if is_commit { Tx::None } else { Tx::Failed };
                }
                self.send(&[refusal(code, retry_after), ready(self.status(), None)]);
            }
        }
        true
    }

    /// The transaction after its first statement was answered.
    fn opened(
        &mut self,
        lease: Option<Lease>,
        route: Arc<Route>,
        access: Access,
        began: Time,
        is_commit: bool,
        answer: &Answer,
    ) -> Tx {
        let Some(lease) = lease else {
            return if is_commit { Tx::None } else { Tx::Failed };
        };
        let has_written = access == Access::Write;
        let tx = Tx::Open { lease, route, has_written, rests_since: Clock.now(), began };
        if answer.status == TxStatus::Open {
            return tx;
        }
        self.tx = tx;
        self.abandon();
        Tx::Failed
    }

    /// Takes in that a commit of this session was acknowledged.
    fn committed(&mut self, route: &Route, position: Option<Position>, asked_at: Time) {
        if self.worker.add_sample(&route.service, position, asked_at) {
            self.own_floor = self.own_floor.max(position);
        } else {
            // Only a sample that is taken from now on covers the commit.
            self.own_since = Clock.now();
        }
    }

    /// Runs a statement on the connection of the open transaction.
    async fn continue_transaction(
        &mut self,
        query: &Query,
        shape: Option<&Shape>,
        arrival: Time,
    ) -> bool {
        let Tx::Open { mut lease, route, has_written, began, .. } =
            std::mem::replace(&mut self.tx, Tx::Failed)
        else {
            return true;
        };
        let access = access(&query.statement, shape);
        let is_commit = query.statement == Statement::Commit;
        let until = arrival + route.statement_timeout;
        let job = Job {
            query,
            shape,
            values: &self.values,
            own_floor: self.own_floor,
            own_since: self.own_since,
            fresh_at: began,
            until,
            route: Arc::clone(&route),
        };
        let attempt = match (is_commit, has_written) {
            (true, true) => Attempt::Commit,
            (true, false) => Attempt::ReadOnlyCommit,
            _ => Attempt::Later,
        };
        let mut attempts = 0;
        let ended = loop {
            attempts += 1;
            match self.step(&mut lease, &job).await {
                Ok(answer) => {
                    let is_busy = answer.code() == Some(&Code::Busy);
                    let goes_on = answer.status == TxStatus::Open;
                    if is_busy && goes_on && Clock.now() + RETRY_PAUSE * 2 < until {
                        Metrics::add(&self.worker.metrics.retries);
                        tokio::time::sleep(RETRY_PAUSE).await;
                        continue;
                    }
                    match answer.code().filter(|c| c.is_not_run()) {
                        None => break Ok(answer),
                        Some(code) => break Err(Failure::Answered(code.clone())),
                    }
                }
                Err(failure) => break Err(failure),
            }
        };
        let mut carried = Carried {
            result: Err(Code::Aborted),
            lease: None,
            instance: Some(Arc::clone(&lease.instance)),
            mode: Mode::PrimaryTransaction,
            attempts,
            after: None,
            failure: None,
            budget: None,
            retry_after: RETRY_AFTER,
        };
        match ended {
            Ok(answer) => {
                let was_committed = is_commit && answer.result.is_ok();
                if was_committed && has_written {
                    self.committed(&route, answer.position, arrival);
                }
                let status = answer.status;
                carried.result = Ok(answer);
                self.explain(query, &route, access, arrival, &carried);
                let has_written = has_written || access == Access::Write;
                self.tx = match status {
                    TxStatus::Idle => Tx::None,
                    TxStatus::Open | TxStatus::Failed => {
                        Tx::Open { lease, route, has_written, rests_since: Clock.now(), began }
                    }
                };
                if status == TxStatus::Failed {
                    self.abandon();
                    self.tx = Tx::Failed;
                }
                if let Ok(answer) = carried.result {
                    self.deliver(answer);
                }
            }
            Err(failure) => {
                let code = match after_failure(attempt, &failure, false) {
                    Next::Refuse(code) => code,
                    Next::Retry | Next::FindPrimary | Next::Deliver => Code::Aborted,
                };
                if failure == Failure::Answered(Code::ReadOnly) {
                    let service = &route.service;
                    self.worker.not_leading(service, &lease.instance.id, "it lost the lead");
                }
                carried.result = Err(code.clone());
                carried.failure = Some(failure);
                self.explain(query, &route, access, arrival, &carried);
                let worker = Rc::clone(&self.worker);
                if lease.link().has_transaction {
                    ntex::rt::spawn(async move { worker.rollback(&mut lease).await });
                }
                self.tx = if is_commit { Tx::None } else { Tx::Failed };
                self.send(&[refusal(code, RETRY_AFTER), ready(self.status(), None)]);
            }
        }
        true
    }

    async fn step(&self, lease: &mut Lease, job: &Job<'_>) -> Result<Answer, Failure> {
        let wanted = Wanted { values: Some(&self.values), shape: job.shape, begin: None };
        let limit = job.until.since(Clock.now()).max(Duration::from_millis(1));
        // The transaction is open: what the session set since must hold from here on.
        if let Err(err) = lease.link().align(&wanted, limit).await {
            self.worker.broke(&Arc::clone(&lease.instance), &err);
            return Err(Failure::NotSent);
        }
        self.worker.forward(lease, job, None, false, limit).await
    }

    fn deliver(&self, answer: Answer) {
        let mut replies: Vec<Reply> = answer.rows.into_iter().map(Reply::Row).collect();
        replies.push(match answer.result {
            Ok(signature) => Reply::Complete(signature),
            Err((code, text)) => Reply::Error { code, text },
        });
        replies.push(ready(self.status(), answer.position));
        self.send(&replies);
    }

    /// Counts and logs what became of a statement.
    fn explain(
        &self,
        query: &Query,
        route: &Route,
        access: Access,
        arrival: Time,
        carried: &Carried,
    ) {
        let metrics = &self.worker.metrics;
        let took = Clock.now().since(arrival);
        metrics.statement.record(took);
        let (outcome, counter) = match &carried.result {
            Ok(answer) if answer.result.is_ok() => ("served", &metrics.statements_served),
            Ok(_) => ("failed at the instance", &metrics.statements_failed),
            Err(Code::MayHaveRun | Code::TimedOut) => {
                ("may have run", &metrics.statements_in_doubt)
            }
            Err(_) => ("not run", &metrics.statements_not_run),
        };
        Metrics::add(counter);
        let is_read = access == Access::Read && query.statement != Statement::Commit;
        if is_read && route.freshness != Freshness::Latest && outcome == "served" {
            let leader = self.worker.believed_leader(&route.service);
            let at = carried.instance.as_ref().map(|i| &i.id);
            let is_primary = leader.as_ref().map(|l| &l.id) == at;
            let reads = if is_primary { &metrics.primary_reads } else { &metrics.replica_reads };
            Metrics::add(reads);
        }
        let has_failed = outcome != "served";
        if !self.worker.log.takes(has_failed) {
            return;
        }
        let code = match &carried.result {
            Ok(answer) => answer.code().cloned(),
            Err(code) => Some(code.clone()),
        };
        let instance = carried.instance.as_ref().map_or("none", |i| &*i.id);
        let after = carried.after.map(|p| p.to_string());
        let table = self.worker.view().table.as_ref().map_or(0, |t| t.version);
        tracing::info!(
            id = %query.id, database = %route.database, service = %route.service, instance,
            mode = ?carried.mode, attempts = carried.attempts, after, table,
            failure = carried.failure.as_ref().map(|f| format!("{f:?}")),
            code = code.map(|c| format!("{c:?}")),
            ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            budget_ms_per_s = carried.budget.map(f64::round),
            outcome, "request"
        );
    }
}

/// Pause before a busy instance is asked again inside a transaction.
const RETRY_PAUSE: Duration = Duration::from_millis(12);

fn ready(status: TxStatus, position: Option<Position>) -> Reply {
    Reply::Ready { status, position }
}

fn error(code: Code, text: &str) -> Reply {
    Reply::Error { code, text: Arc::from(text) }
}

/// A refusal that tells the caller when to come back, if the request has not run.
fn refusal(code: Code, retry_after: Duration) -> Reply {
    let ms = retry_after.as_millis();
    match code {
        Code::MayHaveRun => error(code, "the request may have run"),
        Code::TimedOut => error(code, "no answer in time"),
        _ => error(code, &format!("not run; retry after {ms} ms")),
    }
}
