//! One client session.
//!
//! Invariants:
//!
//! - Nothing is sent to a client that has no request outstanding.
//! - A "not run" error is sent only if no instance can still commit the transaction.
//! - A session that the daemon ends, and whose client keeps to the protocol, ends only once its
//!   connection is at rest: every request that has arrived is answered, and a client that was just
//!   answered has had the time to send its next one.
//! - A session whose key was removed stays open, and its statements are refused.

mod codec;
mod ending;
mod flow;
mod identity;
pub(crate) mod registry;
pub(crate) mod state;
mod statements;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::util::BytesMut;
use persimmon_interfaces::{
    ClientMessage, ErrorCode, ProtocolError, Query, Reply, Route, Statement, TxStatus,
};
use persimmon_types::{Clock, Position, Time};
use persimmon_workspace::ClientKey;

use crate::client_connection::ClientConnection;
use crate::client_limits::Phase;
use crate::connection::Answer;
use crate::memory_budget::MemoryShare;
use crate::metrics::Metrics;
use crate::session::codec::ClientCodec;
use crate::session::ending::EndReason;
pub(crate) use crate::session::flow::refuse;
use crate::session::registry::Entry;
use crate::session::state::{SessionState, StateLimit};
use crate::statement_job::Caller;
use crate::traffic::Worker;
use crate::transaction::OpenTransaction;

/// Messages that a session handles without waiting before others get a turn.
const MESSAGES_PER_TURN: u32 = 32;

/// The client's transaction.
enum Tx {
    None,
    /// Begun by the client, but not yet opened on an instance.
    Begun {
        is_read_only: bool,
        arrival: Time,
        route: Arc<Route>,
    },
    /// Open on an instance.
    Open {
        transaction: Box<dyn OpenTransaction>,
        route: Arc<Route>,
        has_written: bool,
        idle_since: Time,
        began: Time,
    },
    /// Failed; only `COMMIT` or `ROLLBACK` is accepted.
    Failed,
}

struct Session {
    worker: Rc<Worker>,
    connection: Rc<ClientConnection>,
    codec: ClientCodec,
    database: Arc<str>,
    key: ClientKey,
    /// The workspace that the key identifies in the active table.
    caller: Option<Caller>,
    state: SessionState,
    last_commit_position: Option<Position>,
    /// When the last commit with an unknown position was acknowledged.
    unpositioned_commit_at: Time,
    tx: Tx,
    /// When the last answer was sent.
    answered_at: Time,
    /// The version of the active table when an owner of the service last refused the session's key.
    refused_table: Option<u64>,
}

enum Wake {
    Message(ClientMessage),
    IdleTooLong,
    End(EndReason),
}

/// Serves one client until either side ends the session.
pub(crate) async fn serve(worker: Rc<Worker>, entry: Rc<Entry>) {
    serve_entry(&worker, &entry).await;
    worker.open_sessions.remove(&entry);
}

async fn serve_entry(worker: &Rc<Worker>, entry: &Rc<Entry>) {
    let codec = ClientCodec::new(worker, Rc::clone(entry));
    let (database, key) = match ending::receive_startup(entry, &codec).await {
        Ok(startup) => startup,
        Err(reason) => return ending::end(worker, entry, reason).await,
    };
    Metrics::increment(&worker.metrics.sessions_opened);
    worker.sessions.set(worker.sessions.get() + 1);
    entry.set_phase(Phase::Busy);
    let mut session = Session {
        worker: Rc::clone(worker),
        connection: Rc::clone(entry.connection()),
        codec,
        database,
        key,
        caller: None,
        state: SessionState::new(
            MemoryShare::new(Rc::clone(&worker.state_budget)),
            worker.settings.session_state_limit,
        ),
        last_commit_position: None,
        unpositioned_commit_at: Time::ZERO,
        tx: Tx::None,
        answered_at: Time::ZERO,
        refused_table: None,
    };
    let reason = session.run().await;
    session.rollback_detached();
    drop(session);
    worker.record_state_bytes();
    ending::end(worker, entry, reason).await;
    worker.sessions.set(worker.sessions.get() - 1);
    Metrics::increment(&worker.metrics.sessions_closed);
}

impl Session {
    async fn run(&mut self) -> EndReason {
        if !self.start().await {
            return EndReason::StartRefused;
        }
        self.answered_at = Clock.now();
        let mut handled = 0_u32;
        loop {
            handled = handled.wrapping_add(1);
            if handled.is_multiple_of(MESSAGES_PER_TURN) {
                tokio::task::yield_now().await;
            }
            self.codec.entry.set_phase(self.waiting_phase(handled));
            match self.wake().await {
                Wake::Message(ClientMessage::Query(query)) => {
                    self.codec.entry.set_phase(Phase::Busy);
                    if self.codec.holds(&query) {
                        let connection = Rc::clone(&self.connection);
                        tokio::select! {
                            biased;
                            () = self.query(&query) => {}
                            () = connection.keep_sending(), if connection.unsent() > 0 => {}
                        }
                    } else {
                        self.refuse_for_memory(&query);
                    }
                    drop(query);
                    self.codec.release();
                    if !self.await_reader().await {
                        return self.unflushed_reason();
                    }
                    self.answered_at = Clock.now();
                }
                Wake::IdleTooLong => self.end_idle_transaction(),
                Wake::Message(ClientMessage::Open { .. }) => {
                    self.send(&[error(ErrorCode::Malformed, "the session is open already")]);
                    return EndReason::ProtocolViolation;
                }
                Wake::Message(ClientMessage::Terminate) => return EndReason::ClientLeft,
                Wake::End(reason) => return reason,
            }
        }
    }

    fn send(&self, replies: &[Reply]) {
        let rows =
            replies.iter().map(|reply| if let Reply::Row(row) = reply { row.len() } else { 0 });
        let mut buf = BytesMut::with_capacity(rows.sum::<usize>() + 32 * replies.len() + 128);
        for reply in replies {
            self.codec.protocol.encode(reply, &mut buf);
        }
        self.connection.send(buf);
    }

    async fn wake(&mut self) -> Wake {
        let mut stage = self.worker.stage.clone();
        loop {
            let at = *stage.borrow_and_update();
            let end_left = self.time_to_end(at);
            let idle_left = self.idle_time_left();
            tokio::select! {
                biased;
                received = self.connection.receive(&self.codec) => return self.received(received),
                _ = stage.changed() => {}
                () = tokio::time::sleep(idle_left.unwrap_or_default()), if idle_left.is_some() => {
                    return Wake::IdleTooLong;
                }
                () = tokio::time::sleep(end_left.unwrap_or_default()), if end_left.is_some() => {
                    if self.try_end() {
                        return Wake::End(EndReason::Shutdown);
                    }
                }
            }
        }
    }

    fn received(&self, received: Result<Option<ClientMessage>, ProtocolError>) -> Wake {
        match received {
            Ok(Some(message)) => Wake::Message(message),
            Err(err) => {
                tracing::info!(database = %self.database, error = %err,
                    "client violated the protocol");
                self.send(&[ending::violation(&err)]);
                Wake::End(EndReason::ProtocolViolation)
            }
            Ok(None) => Wake::End(EndReason::ClientLeft),
        }
    }

    /// Time left before an open transaction exceeds its idle limit.
    fn idle_time_left(&self) -> Option<Duration> {
        let Tx::Open { idle_since, .. } = &self.tx else {
            return None;
        };
        let limit = self.worker.snapshot().table.as_ref()?.tx_idle;
        Some((*idle_since + limit).since(Clock.now()))
    }

    fn end_idle_transaction(&mut self) {
        Metrics::increment(&self.worker.metrics.transactions_idle);
        if let Tx::Open { transaction, has_written, .. } = &self.tx {
            tracing::info!(database = %self.database, instance = %transaction.instance(),
                has_written, "transaction exceeded its idle limit and is rolled back");
        }
        self.rollback_detached();
        self.tx = Tx::Failed;
    }

    /// Rolls back the open transaction in a background task.
    fn rollback_detached(&mut self) {
        if let Tx::Open { transaction, .. } = std::mem::replace(&mut self.tx, Tx::None) {
            transaction.rollback();
        }
    }

    fn status(&self) -> TxStatus {
        match self.tx {
            Tx::None => TxStatus::Idle,
            Tx::Begun { .. } | Tx::Open { .. } => TxStatus::Open,
            Tx::Failed => TxStatus::Failed,
        }
    }

    /// Answers one request.
    async fn query(&mut self, query: &Query) {
        if matches!(self.tx, Tx::Failed) {
            return self.query_failed_transaction(query);
        }
        if query.statement != Statement::Rollback {
            if !self.check_identity(query) {
                return;
            }
            if self.is_aborting() && !matches!(self.tx, Tx::None) {
                return self.refuse_in_shutdown(query);
            }
        }
        match &query.statement {
            Statement::Begin { is_read_only } => self.begin(query, *is_read_only),
            Statement::Rollback => self.rollback(),
            Statement::Set { name, value } => {
                let set = self.state.set(name, value);
                self.answer_state_change(query, set);
            }
            Statement::Prepare { name, access, shape } => {
                let prepared = self.state.prepare(name, *access, shape);
                self.answer_state_change(query, prepared);
            }
            Statement::Deallocate { name } => {
                self.state.deallocate(name);
                self.answer_state_change(query, Ok(()));
            }
            Statement::Execute { name, .. } => match self.state.prepared(name).cloned() {
                Some(shape) => self.run_statement(query, Some(&shape)).await,
                None => self.fail(ErrorCode::NoSuchPrepared, name),
            },
            Statement::Data(_) => self.run_statement(query, None).await,
            Statement::Commit if matches!(self.tx, Tx::None) => {
                self.fail(ErrorCode::Malformed, "no transaction is open");
            }
            Statement::Commit => self.run_statement(query, None).await,
            Statement::Unknown => self.fail(ErrorCode::Malformed, "not a statement"),
        }
    }

    /// Answers a change of the session's state.
    fn answer_state_change(&mut self, query: &Query, change: Result<(), StateLimit>) {
        self.worker.record_state_bytes();
        let Err(limit) = change else {
            return self.complete();
        };
        Metrics::increment(&self.worker.metrics.session_state_refused);
        let (session_bytes, total_bytes) = self.state.bytes();
        if self.worker.log.should_log(true) {
            tracing::info!(id = %query.id, database = %self.database, ?limit, session_bytes,
                total_bytes, "a value or prepared statement of a session is refused");
        }
        match limit {
            StateLimit::Entries => {
                self.fail(ErrorCode::Malformed, "the session has too many values or statements");
            }
            StateLimit::Session => {
                self.fail(ErrorCode::Malformed, "the values of the session are too large");
            }
            StateLimit::Total => {
                self.fail(ErrorCode::Busy, "no room for values of sessions; retry later");
            }
        }
    }

    fn complete(&self) {
        self.send(&[Reply::Complete(None), ready(self.status(), None)]);
    }

    fn fail(&mut self, code: ErrorCode, text: &str) {
        if matches!(self.tx, Tx::Begun { .. } | Tx::Open { .. }) {
            self.rollback_detached();
            self.tx = Tx::Failed;
        }
        self.send(&[error(code, text), ready(self.status(), None)]);
    }

    fn query_failed_transaction(&mut self, query: &Query) {
        match query.statement {
            Statement::Rollback => {
                self.tx = Tx::None;
                self.complete();
            }
            Statement::Commit => {
                self.tx = Tx::None;
                self.fail(ErrorCode::Aborted, "the transaction failed and is rolled back");
            }
            _ => self.fail(ErrorCode::Malformed, "the transaction failed and can only be ended"),
        }
    }

    fn begin(&mut self, query: &Query, is_read_only: bool) {
        if !matches!(self.tx, Tx::None) {
            return self.fail(ErrorCode::Malformed, "a transaction is open already");
        }
        let Some(route) = self.route() else {
            tracing::info!(id = %query.id, database = %self.database,
                "the database's route was removed");
            return self.fail(ErrorCode::NoSuchDatabase, "the route was removed");
        };
        self.tx = Tx::Begun { is_read_only, arrival: Clock.now(), route };
        self.complete();
    }

    fn rollback(&mut self) {
        if matches!(self.tx, Tx::None) {
            return self.fail(ErrorCode::Malformed, "no transaction is open");
        }
        self.rollback_detached();
        self.tx = Tx::None;
        self.complete();
    }

    fn send_answer(&self, answer: Answer) {
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

fn error(code: ErrorCode, text: &str) -> Reply {
    Reply::Error { code, text: Arc::from(text) }
}

/// An error reply; if the request has not run, it tells the client when to retry.
fn refusal(code: ErrorCode, retry_after: Duration) -> Reply {
    let ms = retry_after.as_millis();
    match code {
        ErrorCode::MayHaveRun => error(code, "the request may have run"),
        ErrorCode::TimedOut => error(code, "no answer in time"),
        _ => error(code, &format!("not run; retry after {ms} ms")),
    }
}
