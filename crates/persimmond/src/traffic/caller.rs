//! One caller's connection.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::io::Io;
use ntex::time::sleep;
use ntex::util::{Bytes, BytesMut, Either};
use persimmon_pg::{
    FrameError, command_complete, error_response, parameter_status, ready, sqlstate, tag,
};
use persimmon_request::{Access, Class, Session};
use persimmon_types::{
    Clock, InstanceId, Reason, Refusal, ServiceId, TimelineKind, Token, Verdict,
};

use tokio::sync::watch;

use crate::backend::FrameCodec;
use crate::cancel::CancelHandle;
use crate::counters::Counters;
use crate::traffic::batch::{Batch, BatchError, Body, Collector, Op};
use crate::traffic::pool::{Lease, millis};
use crate::traffic::request::{self, Served};
use crate::traffic::setting::{self, SessionSettings};
use crate::traffic::statement::Statements;
use crate::traffic::{Worker, greeting};

/// How long a caller must be idle before it is let go, so that a request under way is not crossed.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// The state of the caller's transaction.
#[derive(Debug)]
pub(crate) enum Transaction {
    /// None is open.
    Idle,
    /// One is open on a connection of its own.
    Open {
        /// The connection.
        lease: Lease,
        /// The instance.
        instance: InstanceId,
        /// What the transaction may do.
        access: Access,
        /// The status that the instance last reported.
        status: u8,
    },
    /// One was open, but its connection is gone; the caller must end it first.
    Lost,
}

/// One caller.
pub(crate) struct Caller {
    pub(crate) worker: Rc<Worker>,
    pub(crate) io: Io,
    pub(crate) cancel: Arc<CancelHandle>,
    pub(crate) session: Session,
    pub(crate) settings: SessionSettings,
    pub(crate) transaction: Transaction,
    /// Whether the caller keeps one connection for good.
    pub(crate) pinned: bool,
    service: Arc<str>,
    /// The service's entity in a version of the table.
    resolved: Option<(u64, ServiceId)>,
    statements: Statements,
}

/// Why a connection ends.
#[derive(Debug)]
enum End {
    /// The caller left.
    Gone,
    /// The daemon shuts down.
    Closing,
    /// The caller broke the protocol.
    Protocol(FrameError),
}

/// Serves a caller until it leaves.
pub(crate) async fn serve(worker: Rc<Worker>, io: Io) {
    Counters::increment(&worker.counters().callers_accepted);
    let shared = worker.shared.clone();
    if let Some(parameters) = greeting::receive(&io, &shared.cancels).await {
        greet(&worker, io, &parameters).await;
    }
    Counters::increment(&shared.links.counters.callers_ended);
}

async fn greet(
    worker: &Rc<Worker>,
    io: Io,
    parameters: &std::collections::BTreeMap<String, String>,
) {
    let user = parameters.get("user").cloned().unwrap_or_default();
    let service = parameters.get("database").cloned().unwrap_or(user);
    if worker.view().table.service(&service).is_none() {
        let message = format!("the table has no service `{service}`");
        greeting::refuse(&io, sqlstate::UNKNOWN_DATABASE, &message).await;
        return;
    }
    let mut session = Session::new(Clock.now());
    let mut settings = SessionSettings::default();
    for (name, value) in setting::from_startup(parameters.iter()) {
        if let Err(err) = setting::apply(&mut session, &mut settings, &name, &value) {
            greeting::refuse(&io, sqlstate::INVALID_VALUE, &err.to_string()).await;
            return;
        }
    }
    let Ok(key) = greeting::welcome(&io) else {
        return;
    };
    let cancels = Arc::clone(&worker.shared.cancels);
    let mut caller = Caller {
        worker: Rc::clone(worker),
        io,
        cancel: cancels.register(key),
        session,
        settings,
        transaction: Transaction::Idle,
        pinned: false,
        service: Arc::from(service),
        resolved: None,
        statements: Statements::default(),
    };
    let end = caller.run().await;
    cancels.forget(key);
    match end {
        End::Gone => {}
        End::Closing => {
            greeting::refuse(&caller.io, "57P01", "the daemon is shutting down (not run)").await;
        }
        End::Protocol(err) => {
            greeting::refuse(&caller.io, sqlstate::PROTOCOL_VIOLATION, &err.to_string()).await;
        }
    }
}

impl Caller {
    async fn run(&mut self) -> End {
        let mut collector = Collector::default();
        loop {
            let frame = match self.receive(collector.is_empty()).await {
                Ok(frame) => frame,
                Err(end) => return end,
            };
            if frame[0] == b'X' {
                return End::Gone;
            }
            let result = match collector.take_in(&mut self.statements, frame) {
                Ok(None) => continue,
                Ok(Some(batch)) => self.serve_batch(&batch).await,
                Err(BatchError::Frame(err)) => return End::Protocol(err),
                Err(err) => self.refuse_batch(&err),
            };
            if result.is_err() {
                return End::Gone;
            }
            if *self.worker.closing.borrow() && matches!(self.transaction, Transaction::Idle) {
                // The end goes out together with the answer, before the caller can send more.
                return End::Closing;
            }
        }
    }

    /// Receives a message; an idle caller is let go when the daemon shuts down.
    async fn receive(&self, batch_is_empty: bool) -> Result<Bytes, End> {
        let is_idle = batch_is_empty && matches!(self.transaction, Transaction::Idle);
        let mut closing = self.worker.closing.subscribe();
        let received = tokio::select! {
            biased;
            received = self.io.recv(&FrameCodec) => received,
            () = paused(&mut closing), if is_idle => return Err(End::Closing),
        };
        match received {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) | Err(Either::Right(_)) => Err(End::Gone),
            Err(Either::Left(err)) => Err(End::Protocol(err)),
        }
    }

    /// The service's entity in the table in force.
    pub(crate) fn resolve(&mut self) -> Option<ServiceId> {
        let view = self.worker.view();
        if let Some((version, id)) = self.resolved
            && version == view.version
        {
            return Some(id);
        }
        let id = view.table.service(&self.service)?;
        self.resolved = Some((view.version, id));
        Some(id)
    }

    async fn serve_batch(&mut self, batch: &Batch) -> std::io::Result<()> {
        Counters::increment(&self.worker.counters().requests);
        if matches!(self.transaction, Transaction::Lost) {
            return self.answer_in_lost_transaction(batch);
        }
        let is_idle = matches!(self.transaction, Transaction::Idle);
        match batch.class {
            Class::Setting => self.answer_setting(batch),
            Class::Copy => self.error(sqlstate::NOT_SUPPORTED, "COPY is not carried"),
            Class::Empty if is_idle => self.answer_empty(batch),
            _ => self.forward(batch).await,
        }
    }

    async fn forward(&mut self, batch: &Batch) -> std::io::Result<()> {
        match request::serve(self, batch).await {
            Served::Delivered { kept, status, position } => self.deliver(&kept, status, position),
            Served::Refused(refusal) => self.refuse(refusal),
            Served::CallerGone => Err(std::io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn deliver(
        &mut self,
        kept: &[u8],
        status: u8,
        position: Option<persimmon_types::Position>,
    ) -> std::io::Result<()> {
        let mut out = BytesMut::with_capacity(kept.len() + 64);
        out.extend_from_slice(kept);
        if let Some(position) = position {
            Counters::increment(&self.worker.counters().writes);
            let token = Token(position).to_string();
            out.extend_from_slice(&parameter_status("persimmon.token", &token));
        }
        out.extend_from_slice(&ready(status));
        self.io.encode_slice(&out)
    }

    fn status(&self) -> u8 {
        match &self.transaction {
            Transaction::Idle => b'I',
            Transaction::Open { status, .. } => *status,
            Transaction::Lost => b'E',
        }
    }

    /// Refuses a request with its verdict.
    fn refuse(&mut self, refusal: Refusal) -> std::io::Result<()> {
        let counters = self.worker.counters();
        Counters::increment(match refusal.verdict {
            Verdict::NotRun => &counters.refused_not_run,
            Verdict::MayHaveRun => &counters.refused_may_have_run,
        });
        if refusal.verdict == Verdict::MayHaveRun || refusal.reason == Reason::CutOff {
            self.worker.record(TimelineKind::Refused {
                service: Arc::clone(&self.service),
                verdict: Arc::from(refusal.verdict.as_str()),
                reason: Arc::from(refusal.reason.to_string()),
            });
        }
        let code = refusal.verdict.sqlstate();
        let detail = format!("verdict={}", refusal.verdict);
        let mut out = error_response("ERROR", code, &refusal.to_string(), &detail);
        out.extend_from_slice(&ready(self.status()));
        self.io.encode_slice(&out)
    }

    fn error(&mut self, code: &str, message: &str) -> std::io::Result<()> {
        let detail = format!("verdict={}", Verdict::NotRun);
        let mut out = error_response("ERROR", code, message, &detail);
        out.extend_from_slice(&ready(self.status()));
        self.io.encode_slice(&out)
    }

    fn refuse_batch(&mut self, err: &BatchError) -> std::io::Result<()> {
        match err {
            BatchError::UnknownStatement(name) => {
                let message = format!("prepared statement `{name}` does not exist");
                self.error(sqlstate::UNKNOWN_STATEMENT, &message)
            }
            BatchError::Hint(err) => self.error(sqlstate::INVALID_VALUE, &err.to_string()),
            BatchError::NotCarried(what) => {
                self.error(sqlstate::NOT_SUPPORTED, &format!("{what} is not carried"))
            }
            BatchError::Frame(err) => self.error(sqlstate::PROTOCOL_VIOLATION, &err.to_string()),
        }
    }

    fn answer_in_lost_transaction(&mut self, batch: &Batch) -> std::io::Result<()> {
        if !matches!(batch.class, Class::Commit | Class::Rollback) {
            let message = "the transaction's connection was lost; end the transaction first";
            return self.error(sqlstate::TRANSACTION_ABORTED, message);
        }
        self.transaction = Transaction::Idle;
        self.answer_locally(batch, "ROLLBACK")
    }

    fn answer_setting(&mut self, batch: &Batch) -> std::io::Result<()> {
        let runs = match &batch.body {
            Body::Simple(_) => true,
            Body::Extended(ops) => ops.iter().any(|op| matches!(op, Op::Other(_, true))),
        };
        if runs {
            let Some((name, value)) = setting::parse(&batch.sql) else {
                return self.error(sqlstate::INVALID_VALUE, "SET persimmon.NAME = VALUE");
            };
            let applied = setting::apply(&mut self.session, &mut self.settings, &name, &value);
            if let Err(err) = applied {
                return self.error(sqlstate::INVALID_VALUE, &err.to_string());
            }
        }
        self.answer_locally(batch, "SET")
    }

    fn answer_empty(&mut self, batch: &Batch) -> std::io::Result<()> {
        if let Body::Simple(_) = batch.body {
            let mut out = tag(b'I');
            out.extend_from_slice(&ready(b'I'));
            return self.io.encode_slice(&out);
        }
        self.answer_locally(batch, "")
    }

    /// Answers a batch that no instance needs to see.
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
        out.extend_from_slice(&ready(self.status()));
        self.io.encode_slice(&out)
    }
}

/// Completes when the daemon lets callers go and this one has been idle for a while since.
async fn paused(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        return std::future::pending().await;
    }
    sleep(millis(IDLE_PAUSE)).await;
}

fn answer_op(op: &Op, completion: &str, out: &mut BytesMut) {
    match op {
        Op::Parse(_) => out.extend_from_slice(&tag(b'1')),
        Op::Bind(..) => out.extend_from_slice(&tag(b'2')),
        Op::Describe(..) => {
            out.extend_from_slice(&persimmon_pg::parameter_description(&[]));
            out.extend_from_slice(&tag(b'n'));
        }
        Op::CloseStatement => out.extend_from_slice(&tag(b'3')),
        Op::Other(_, true) => out.extend_from_slice(&command_complete(completion)),
        Op::Other(frame, false) => {
            out.extend_from_slice(&tag(if frame[0] == b'D' { b'n' } else { b'3' }));
        }
    }
}
