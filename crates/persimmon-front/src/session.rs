//! One caller's session.
//!
//! Invariants:
//!
//! - Nothing is sent to a caller that has no request outstanding.
//! - A refusal that promises that nothing is kept is sent only if no instance can commit the
//!   transaction any more.

mod statements;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use ntex::codec::Decoder;
use ntex::io::Io;
use ntex::util::BytesMut;
use persimmon_ports::{
    CallerMessage, CallerProtocol, Code, ProtocolError, Query, Reply, Route, Statement, TxStatus,
};
use persimmon_types::{Clock, Position, Time};

use crate::job::RETRY_AFTER;
use crate::link::{Answer, Shape};
use crate::metrics::Metrics;
use crate::pool::Lease;
use crate::traffic::{Stage, Worker};

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

    fn deliver(&self, answer: Answer) {
        let mut replies: Vec<Reply> = answer.rows.into_iter().map(Reply::Row).collect();
        replies.push(match answer.result {
            Ok(signature) => Reply::Complete(signature),
            Err((code, text)) => Reply::Error { code, text },
        });
        replies.push(ready(self.status(), answer.position));
        self.send(&replies);
    }
}

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
