//! One client connection.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::time::sleep;
use ntex::util::{Bytes, BytesMut, Either};
use persimmon_pg::{
    FrameError, command_complete, empty_message, error_response, parameter_status, ready_for_query,
    sqlstate,
};
use persimmon_request::{Access, Session, StatementClass};
use persimmon_types::{
    Clock, InstanceId, PositionToken, Refusal, RefusalReason, ServiceId, TimelineKind, Verdict,
};

use crate::backend::FrameCodec;
use crate::cancel::CancelHandle;
use crate::counters::Counters;
use crate::traffic::batch::{Batch, BatchCollector, BatchError, Body, Op};
use crate::traffic::pool::{PooledConnection, millis};
use crate::traffic::request::{self, Served};
use crate::traffic::setting::{self, SessionSettings};
use crate::traffic::statement::Statements;
use crate::traffic::stream::ClientStream;
use crate::traffic::{ShutdownStage, Worker, greeting};

/// How long a client must be idle before it is disconnected, so that the disconnect does not cross
/// a request that is already on its way.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// The state of the client's transaction.
#[derive(Debug)]
pub(crate) enum Transaction {
    /// No transaction is open.
    Idle,
    /// A transaction is open on a connection that the client keeps.
    Open {
        /// The connection.
        connection: PooledConnection,
        /// The instance.
        instance: InstanceId,
        /// Whether the transaction may write.
        access: Access,
        /// The transaction status that the instance last reported: `I`, `T` or `E`.
        status: u8,
    },
    /// The connection of an open transaction was lost; the client must end the transaction before
    /// it can continue.
    Lost,
}

/// One client and the state of its session.
pub(crate) struct Client {
    pub(crate) worker: Rc<Worker>,
    pub(crate) stream: Rc<ClientStream>,
    pub(crate) cancel: Arc<CancelHandle>,
    pub(crate) session: Session,
    pub(crate) settings: SessionSettings,
    pub(crate) transaction: Transaction,
    /// Whether the client keeps one connection until it disconnects.
    pub(crate) is_pinned: bool,
    service: Arc<str>,
    /// The service's ID, and the version of the table that it is valid in.
    resolved: Option<(u64, ServiceId)>,
    statements: Statements,
}

/// Why a client connection ends.
#[derive(Debug)]
enum Disconnect {
    /// The client disconnected.
    Client,
    /// The daemon is shutting down.
    Shutdown,
    /// The client violated the protocol.
    Protocol(FrameError),
}

/// Serves a client until it disconnects.
pub(crate) async fn serve(worker: Rc<Worker>, stream: ClientStream) {
    Counters::increment(&worker.counters().callers_accepted);
    let context = worker.context.clone();
    if let Some(parameters) = greeting::receive_startup(&stream, &context.cancel_registry).await {
        if *worker.stage.borrow() >= ShutdownStage::DisconnectingIdle {
            // Clients learn at once that they have to connect elsewhere.
            greeting::send_fatal(&stream, "57P03", "the daemon is shutting down").await;
        } else {
            run_session(&worker, stream, &parameters).await;
        }
    }
    Counters::increment(&context.control.counters.callers_ended);
}

async fn run_session(
    worker: &Rc<Worker>,
    stream: ClientStream,
    parameters: &std::collections::BTreeMap<String, String>,
) {
    let user = parameters.get("user").cloned().unwrap_or_default();
    let service = parameters.get("database").cloned().unwrap_or(user);
    if worker.routing_snapshot().table.service(&service).is_none() {
        let message = format!("the table has no service `{service}`");
        greeting::send_fatal(&stream, sqlstate::UNKNOWN_DATABASE, &message).await;
        return;
    }
    let mut session = Session::new(Clock.now());
    let mut settings = SessionSettings::default();
    for (name, value) in setting::from_startup(parameters.iter()) {
        if let Err(err) = setting::apply(&mut session, &mut settings, &name, &value) {
            greeting::send_fatal(&stream, sqlstate::INVALID_PARAMETER_VALUE, &err.to_string())
                .await;
            return;
        }
    }
    let Ok(key) = greeting::accept_startup(&stream) else {
        return;
    };
    let cancel_registry = Arc::clone(&worker.context.cancel_registry);
    let mut client = Client {
        worker: Rc::clone(worker),
        stream: Rc::new(stream),
        cancel: cancel_registry.register(key),
        session,
        settings,
        transaction: Transaction::Idle,
        is_pinned: false,
        service: Arc::from(service),
        resolved: None,
        statements: Statements::default(),
    };
    let end = client.run().await;
    cancel_registry.forget(key);
    match end {
        Disconnect::Client => greeting::flush(&client.stream).await,
        Disconnect::Shutdown => {
            greeting::send_fatal(&client.stream, "57P01", "the daemon is shutting down (not run)")
                .await;
        }
        Disconnect::Protocol(err) => {
            greeting::send_fatal(&client.stream, sqlstate::PROTOCOL_VIOLATION, &err.to_string())
                .await;
        }
    }
}

impl Client {
    async fn run(&mut self) -> Disconnect {
        let mut collector = BatchCollector::default();
        loop {
            let frame = match self.receive(collector.is_empty()).await {
                Ok(frame) => frame,
                Err(end) => return end,
            };
            if frame[0] == b'X' {
                return Disconnect::Client;
            }
            let result = match collector.push(&mut self.statements, frame) {
                Ok(None) => continue,
                Ok(Some(batch)) => self.serve_batch(&batch).await,
                Err(BatchError::Frame(err)) => return Disconnect::Protocol(err),
                Err(err) => self.send_batch_error(&err),
            };
            if result.is_err() {
                return Disconnect::Client;
            }
            if *self.worker.stage.borrow() >= self.last_stage(true) {
                // The error that ends the connection goes out together with the answer, before the
                // client can send another request.
                return Disconnect::Shutdown;
            }
        }
    }

    /// The stage of a shutdown at which the client is disconnected.
    fn last_stage(&self, batch_is_empty: bool) -> ShutdownStage {
        if batch_is_empty && matches!(self.transaction, Transaction::Idle) {
            ShutdownStage::DisconnectingIdle
        } else {
            ShutdownStage::DisconnectingAll
        }
    }

    /// Receives a message, unless the client is disconnected as the daemon shuts down.
    async fn receive(&self, batch_is_empty: bool) -> Result<Bytes, Disconnect> {
        let last_stage = self.last_stage(batch_is_empty);
        let received = tokio::select! {
            biased;
            received = self.stream.recv(&FrameCodec) => received,
            () = idle_disconnect(&self.worker, last_stage) => return Err(Disconnect::Shutdown),
        };
        match received {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) | Err(Either::Right(_)) => Err(Disconnect::Client),
            Err(Either::Left(err)) => Err(Disconnect::Protocol(err)),
        }
    }

    /// The service's ID in the active table.
    pub(crate) fn resolve(&mut self) -> Option<ServiceId> {
        let snapshot = self.worker.routing_snapshot();
        if let Some((version, id)) = self.resolved
            && version == snapshot.version
        {
            return Some(id);
        }
        let id = snapshot.table.service(&self.service)?;
        self.resolved = Some((snapshot.version, id));
        Some(id)
    }

    async fn serve_batch(&mut self, batch: &Batch) -> std::io::Result<()> {
        Counters::increment(&self.worker.counters().requests);
        if matches!(self.transaction, Transaction::Lost) {
            return self.answer_in_lost_transaction(batch);
        }
        let is_idle = matches!(self.transaction, Transaction::Idle);
        match batch.class {
            StatementClass::Setting => self.answer_setting(batch),
            StatementClass::Copy => {
                self.send_error(sqlstate::FEATURE_NOT_SUPPORTED, "COPY is not carried")
            }
            StatementClass::Empty if is_idle => self.answer_empty(batch),
            _ => self.forward(batch).await,
        }
    }

    async fn forward(&mut self, batch: &Batch) -> std::io::Result<()> {
        match request::serve(self, batch).await {
            Served::Delivered { buffered, status, position } => {
                self.deliver(&buffered, status, position)
            }
            Served::Refused(refusal) => self.send_refusal(refusal),
        }
    }

    fn deliver(
        &mut self,
        buffered: &[u8],
        status: u8,
        position: Option<persimmon_types::Position>,
    ) -> std::io::Result<()> {
        let mut out = BytesMut::with_capacity(buffered.len() + 64);
        out.extend_from_slice(buffered);
        if let Some(position) = position {
            Counters::increment(&self.worker.counters().writes);
            let token = PositionToken(position).to_string();
            out.extend_from_slice(&parameter_status("persimmon.token", &token));
        }
        out.extend_from_slice(&ready_for_query(status));
        self.stream.send(&out)
    }

    fn transaction_status(&self) -> u8 {
        match &self.transaction {
            Transaction::Idle => b'I',
            Transaction::Open { status, .. } => *status,
            Transaction::Lost => b'E',
        }
    }

    /// Reports a refused request with its verdict.
    fn send_refusal(&mut self, refusal: Refusal) -> std::io::Result<()> {
        let counters = self.worker.counters();
        Counters::increment(match refusal.verdict {
            Verdict::NotRun => &counters.refused_not_run,
            Verdict::MayHaveRun => &counters.refused_may_have_run,
        });
        if refusal.verdict == Verdict::MayHaveRun || refusal.reason == RefusalReason::Isolated {
            self.worker.record(TimelineKind::Refused {
                service: Arc::clone(&self.service),
                verdict: Arc::from(refusal.verdict.as_str()),
                reason: Arc::from(refusal.reason.to_string()),
            });
        }
        let code = refusal.verdict.sqlstate();
        let detail = format!("verdict={}", refusal.verdict);
        let mut out = error_response("ERROR", code, &refusal.to_string(), &detail);
        out.extend_from_slice(&ready_for_query(self.transaction_status()));
        self.stream.send(&out)
    }

    fn send_error(&mut self, code: &str, message: &str) -> std::io::Result<()> {
        let detail = format!("verdict={}", Verdict::NotRun);
        let mut out = error_response("ERROR", code, message, &detail);
        out.extend_from_slice(&ready_for_query(self.transaction_status()));
        self.stream.send(&out)
    }

    fn send_batch_error(&mut self, err: &BatchError) -> std::io::Result<()> {
        match err {
            BatchError::UnknownStatement(name) => {
                let message = format!("prepared statement `{name}` does not exist");
                self.send_error(sqlstate::UNKNOWN_STATEMENT, &message)
            }
            BatchError::Hint(err) => {
                self.send_error(sqlstate::INVALID_PARAMETER_VALUE, &err.to_string())
            }
            BatchError::Unsupported(what) => {
                self.send_error(sqlstate::FEATURE_NOT_SUPPORTED, &format!("{what} is not carried"))
            }
            BatchError::Frame(err) => {
                self.send_error(sqlstate::PROTOCOL_VIOLATION, &err.to_string())
            }
        }
    }

    fn answer_in_lost_transaction(&mut self, batch: &Batch) -> std::io::Result<()> {
        if !matches!(batch.class, StatementClass::Commit | StatementClass::Rollback) {
            let message = "the transaction's connection was lost; end the transaction first";
            return self.send_error(sqlstate::TRANSACTION_ABORTED, message);
        }
        self.transaction = Transaction::Idle;
        self.answer_locally(batch, "ROLLBACK")
    }

    fn answer_setting(&mut self, batch: &Batch) -> std::io::Result<()> {
        let executes = match &batch.body {
            Body::Simple(_) => true,
            Body::Extended(ops) => ops.iter().any(|op| matches!(op, Op::Other(_, true))),
        };
        if executes {
            let Some((name, value)) = setting::parse(&batch.sql) else {
                return self
                    .send_error(sqlstate::INVALID_PARAMETER_VALUE, "SET persimmon.NAME = VALUE");
            };
            let applied = setting::apply(&mut self.session, &mut self.settings, &name, &value);
            if let Err(err) = applied {
                return self.send_error(sqlstate::INVALID_PARAMETER_VALUE, &err.to_string());
            }
        }
        self.answer_locally(batch, "SET")
    }

    fn answer_empty(&mut self, batch: &Batch) -> std::io::Result<()> {
        if let Body::Simple(_) = batch.body {
            let mut out = empty_message(b'I');
            out.extend_from_slice(&ready_for_query(b'I'));
            return self.stream.send(&out);
        }
        self.answer_locally(batch, "")
    }

    /// Answers a batch without sending it to an instance.
    fn answer_locally(&mut self, batch: &Batch, completion: &str) -> std::io::Result<()> {
        let mut out = BytesMut::new();
        match &batch.body {
            Body::Simple(_) => out.extend_from_slice(&command_complete(completion)),
            Body::Extended(ops) => {
                for op in ops {
                    answer_op(op, completion, &mut out);
                }
            }
        }
        out.extend_from_slice(&ready_for_query(self.transaction_status()));
        self.stream.send(&out)
    }
}

/// Completes once the shutdown has reached a stage and [`IDLE_PAUSE`] has passed since.
async fn idle_disconnect(worker: &Worker, stage: ShutdownStage) {
    worker.reaches(stage).await;
    sleep(millis(IDLE_PAUSE)).await;
}

fn answer_op(op: &Op, completion: &str, out: &mut BytesMut) {
    match op {
        Op::Parse(_) => out.extend_from_slice(&empty_message(b'1')),
        Op::Bind(..) => out.extend_from_slice(&empty_message(b'2')),
        Op::Describe(..) => {
            out.extend_from_slice(&persimmon_pg::parameter_description(&[]));
            out.extend_from_slice(&empty_message(b'n'));
        }
        Op::CloseStatement => out.extend_from_slice(&empty_message(b'3')),
        Op::Other(_, true) => out.extend_from_slice(&command_complete(completion)),
        Op::Other(frame, false) => {
            out.extend_from_slice(&empty_message(if frame[0] == b'D' { b'n' } else { b'3' }));
        }
    }
}
