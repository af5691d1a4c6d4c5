//! Statements and answers as they travel between daemons.
//!
//! Instants travel as ages, because daemons share no clock. The receiver subtracts an age from the
//! time of receipt, so a delay on the way makes a read's freshness requirement stricter, never
//! weaker.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::AttemptFailure;
use persimmon_interfaces::{Access, ErrorCode, Query, Route, Statement, TxStatus};
use persimmon_types::{Clock, Position, Time};
use persimmon_workspace::ClientKey;
use serde::{Deserialize, Serialize};

use crate::connection::{Answer, Shape};
use crate::forwarding::service::{ContinueReply, ExecuteReply};
use crate::statement_job::{
    Caller, Execution, ExecutionMode, QueueDecision, QueueReport, StatementJob,
};
use crate::transaction::TransactionStep;

/// Microseconds of a duration, for the wire.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum WireKind {
    Read,
    Write,
    Commit,
    Execute { name: Arc<str>, arguments: Arc<str> },
}

impl From<&Statement> for WireKind {
    fn from(statement: &Statement) -> Self {
        match statement {
            Statement::Data(Access::Write) => Self::Write,
            Statement::Commit => Self::Commit,
            Statement::Execute { name, arguments } => {
                Self::Execute { name: Arc::clone(name), arguments: Arc::clone(arguments) }
            }
            // Other statements are answered by the daemon that has the session.
            _ => Self::Read,
        }
    }
}

impl From<WireKind> for Statement {
    fn from(wire: WireKind) -> Self {
        match wire {
            WireKind::Read => Self::Data(Access::Read),
            WireKind::Write => Self::Data(Access::Write),
            WireKind::Commit => Self::Commit,
            WireKind::Execute { name, arguments } => Self::Execute { name, arguments },
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireShape {
    is_write: bool,
    text: Arc<str>,
}

/// The workspace of a statement.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireCaller {
    workspace: Arc<str>,
    /// The digest of the key, never its text.
    key: ClientKey,
}

impl From<&Caller> for WireCaller {
    fn from(caller: &Caller) -> Self {
        let workspace = Arc::clone(&caller.workspace);
        Self { workspace, key: caller.key }
    }
}

impl From<WireCaller> for Caller {
    fn from(wire: WireCaller) -> Self {
        Self { workspace: wire.workspace, key: wire.key }
    }
}

/// A statement with what its session requires of the connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireStatement {
    id: Arc<str>,
    text: Arc<str>,
    kind: WireKind,
    shape: Option<WireShape>,
    variables: BTreeMap<Arc<str>, Arc<str>>,
    route: Route,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    caller: Option<WireCaller>,
    /// The version of the sender's table; zero from a daemon that knows of no workspaces.
    #[serde(default)]
    table_version: u64,
    last_commit_position: Option<Position>,
    /// Age of the session's last commit without a known position, if there was one.
    unpositioned_commit_age_us: Option<u64>,
    fresh_as_of_age_us: u64,
    remaining_us: u64,
    /// When its quota token expires on the receiver's clock, in microseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) send_by_us: Option<u64>,
}

impl From<&StatementJob<'_>> for WireStatement {
    fn from(job: &StatementJob<'_>) -> Self {
        let now = Clock.now();
        let age_us = |time: Time| micros(now.since(time));
        let shape = job.shape.map(|(access, text)| WireShape {
            is_write: *access == Access::Write,
            text: Arc::clone(text),
        });
        let unpositioned = Some(job.unpositioned_commit_at).filter(|at| *at != Time::ZERO);
        Self {
            id: Arc::clone(&job.query.id),
            text: Arc::clone(&job.query.text),
            kind: WireKind::from(&job.query.statement),
            shape,
            variables: job.variables.clone(),
            route: (*job.route).clone(),
            caller: job.caller.map(WireCaller::from),
            table_version: job.table_version,
            last_commit_position: job.last_commit_position,
            unpositioned_commit_age_us: unpositioned.map(age_us),
            fresh_as_of_age_us: age_us(job.fresh_as_of),
            remaining_us: micros(job.deadline.since(now)),
            send_by_us: None,
        }
    }
}

/// A statement received from another daemon.
#[derive(Debug)]
pub(crate) struct ReceivedStatement {
    query: Query,
    shape: Option<Shape>,
    variables: BTreeMap<Arc<str>, Arc<str>>,
    pub(crate) route: Arc<Route>,
    pub(crate) caller: Option<Caller>,
    /// The version of the sender's table.
    pub(crate) table_version: u64,
    last_commit_position: Option<Position>,
    unpositioned_commit_at: Time,
    fresh_as_of: Time,
    deadline: Time,
    send_by: Option<Time>,
}

impl From<WireStatement> for ReceivedStatement {
    fn from(wire: WireStatement) -> Self {
        let now = Clock.now();
        let shape = wire.shape.map(|shape| {
            let access = if shape.is_write { Access::Write } else { Access::Read };
            (access, shape.text)
        });
        let unpositioned_commit_at = wire
            .unpositioned_commit_age_us
            .map_or(Time::ZERO, |age| now - Duration::from_micros(age));
        Self {
            query: Query { id: wire.id, text: wire.text, statement: wire.kind.into() },
            shape,
            variables: wire.variables,
            route: Arc::new(wire.route),
            caller: wire.caller.map(Caller::from),
            table_version: wire.table_version,
            last_commit_position: wire.last_commit_position,
            unpositioned_commit_at,
            fresh_as_of: now - Duration::from_micros(wire.fresh_as_of_age_us),
            deadline: now + Duration::from_micros(wire.remaining_us),
            send_by: wire.send_by_us.map(Time::from_micros),
        }
    }
}

impl ReceivedStatement {
    /// The client's identifier of the statement.
    pub(crate) fn id(&self) -> &Arc<str> {
        &self.query.id
    }

    /// The size of its text and of its session's values, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let values: usize = self.variables.iter().map(|(name, v)| name.len() + v.len()).sum();
        self.query.text.len() + values
    }

    /// The statement as a job of this daemon.
    pub(crate) fn job(&self) -> StatementJob<'_> {
        StatementJob {
            query: &self.query,
            route: Arc::clone(&self.route),
            caller: self.caller.as_ref(),
            table_version: self.table_version,
            shape: self.shape.as_ref(),
            variables: &self.variables,
            last_commit_position: self.last_commit_position,
            unpositioned_commit_at: self.unpositioned_commit_at,
            fresh_as_of: self.fresh_as_of,
            deadline: self.deadline,
            send_by: self.send_by,
        }
    }
}

/// How a statement is executed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum WireMode {
    Copy,
    Guarded,
    Write,
    CopyTransaction,
    PrimaryTransaction,
}

impl From<ExecutionMode> for WireMode {
    fn from(mode: ExecutionMode) -> Self {
        match mode {
            ExecutionMode::Copy => Self::Copy,
            ExecutionMode::Guarded => Self::Guarded,
            ExecutionMode::Write => Self::Write,
            ExecutionMode::CopyTransaction => Self::CopyTransaction,
            ExecutionMode::PrimaryTransaction => Self::PrimaryTransaction,
        }
    }
}

impl From<WireMode> for ExecutionMode {
    fn from(mode: WireMode) -> Self {
        match mode {
            WireMode::Copy => Self::Copy,
            WireMode::Guarded => Self::Guarded,
            WireMode::Write => Self::Write,
            WireMode::CopyTransaction => Self::CopyTransaction,
            WireMode::PrimaryTransaction => Self::PrimaryTransaction,
        }
    }
}

/// The codes that have a name on the wire; any other one travels as its own text.
const CODES: [(ErrorCode, &str); 13] = [
    (ErrorCode::Busy, "busy"),
    (ErrorCode::Aborted, "aborted"),
    (ErrorCode::Behind, "behind"),
    (ErrorCode::ReadOnly, "read-only"),
    (ErrorCode::WrongInstance, "wrong-instance"),
    (ErrorCode::TooManyConnections, "too-many-connections"),
    (ErrorCode::NoSuchPrepared, "no-such-prepared"),
    (ErrorCode::Failed, "failed"),
    (ErrorCode::TimedOut, "timed-out"),
    (ErrorCode::MayHaveRun, "may-have-run"),
    (ErrorCode::NoSuchDatabase, "no-such-database"),
    (ErrorCode::UnknownKey, "unknown-key"),
    (ErrorCode::Malformed, "malformed"),
];

/// An error code.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireCode {
    name: Arc<str>,
    /// Whether `name` is the text of a code that this version does not know.
    is_other: bool,
}

impl From<&ErrorCode> for WireCode {
    fn from(code: &ErrorCode) -> Self {
        if let ErrorCode::Other(text) = code {
            return Self { name: Arc::clone(text), is_other: true };
        }
        let name = CODES.iter().find(|(known, _)| known == code).map_or("", |(_, name)| *name);
        Self { name: Arc::from(name), is_other: false }
    }
}

impl TryFrom<WireCode> for ErrorCode {
    type Error = ();

    fn try_from(wire: WireCode) -> Result<Self, ()> {
        if wire.is_other {
            return Ok(Self::Other(wire.name));
        }
        let known = CODES.iter().find(|(_, name)| *name == &*wire.name);
        known.map(|(code, _)| code.clone()).ok_or(())
    }
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum WireStatus {
    Idle,
    Open,
    Failed,
}

/// An instance's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireAnswer {
    rows: Vec<Arc<str>>,
    result: Result<Option<Arc<str>>, (WireCode, Arc<str>)>,
    status: WireStatus,
    position: Option<Position>,
}

impl From<Answer> for WireAnswer {
    fn from(answer: Answer) -> Self {
        let status = match answer.status {
            TxStatus::Idle => WireStatus::Idle,
            TxStatus::Open => WireStatus::Open,
            TxStatus::Failed => WireStatus::Failed,
        };
        let result = answer.result.map_err(|(code, text)| (WireCode::from(&code), text));
        Self { rows: answer.rows, result, status, position: answer.position }
    }
}

impl TryFrom<WireAnswer> for Answer {
    type Error = ();

    fn try_from(wire: WireAnswer) -> Result<Self, ()> {
        let status = match wire.status {
            WireStatus::Idle => TxStatus::Idle,
            WireStatus::Open => TxStatus::Open,
            WireStatus::Failed => TxStatus::Failed,
        };
        let result = match wire.result {
            Ok(signature) => Ok(signature),
            Err((code, text)) => Err((ErrorCode::try_from(code)?, text)),
        };
        Ok(Self { rows: wire.rows, result, status, position: wire.position })
    }
}

/// Why an attempt at an instance failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum WireFailure {
    NotSent,
    Lost,
    Answered(WireCode),
}

impl From<&AttemptFailure> for WireFailure {
    fn from(failure: &AttemptFailure) -> Self {
        match failure {
            AttemptFailure::NotSent => Self::NotSent,
            AttemptFailure::Lost => Self::Lost,
            AttemptFailure::Answered(code) => Self::Answered(code.into()),
        }
    }
}

impl TryFrom<WireFailure> for AttemptFailure {
    type Error = ();

    fn try_from(wire: WireFailure) -> Result<Self, ()> {
        Ok(match wire {
            WireFailure::NotSent => Self::NotSent,
            WireFailure::Lost => Self::Lost,
            WireFailure::Answered(code) => Self::Answered(code.try_into()?),
        })
    }
}

/// [`QueueDecision`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum WireQueueDecision {
    Dispatched,
    TooLate,
    QueueFull,
    InstanceUnavailable,
}

/// [`QueueReport`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct WireQueueReport {
    priority: u8,
    position: u32,
    predicted_us: u64,
    waited_us: u64,
    decision: WireQueueDecision,
}

impl From<QueueReport> for WireQueueReport {
    fn from(report: QueueReport) -> Self {
        let decision = match report.decision {
            QueueDecision::Dispatched => WireQueueDecision::Dispatched,
            QueueDecision::TooLate => WireQueueDecision::TooLate,
            QueueDecision::QueueFull => WireQueueDecision::QueueFull,
            QueueDecision::InstanceUnavailable => WireQueueDecision::InstanceUnavailable,
        };
        Self {
            priority: report.priority,
            position: report.position,
            predicted_us: micros(report.predicted_wait),
            waited_us: micros(report.waited),
            decision,
        }
    }
}

impl From<WireQueueReport> for QueueReport {
    fn from(wire: WireQueueReport) -> Self {
        let decision = match wire.decision {
            WireQueueDecision::Dispatched => QueueDecision::Dispatched,
            WireQueueDecision::TooLate => QueueDecision::TooLate,
            WireQueueDecision::QueueFull => QueueDecision::QueueFull,
            WireQueueDecision::InstanceUnavailable => QueueDecision::InstanceUnavailable,
        };
        Self {
            priority: wire.priority,
            position: wire.position,
            predicted_wait: Duration::from_micros(wire.predicted_us),
            waited: Duration::from_micros(wire.waited_us),
            decision,
        }
    }
}

impl From<Execution> for ExecuteReply {
    fn from(execution: Execution) -> Self {
        Self {
            result: execution.result.map(WireAnswer::from).map_err(|code| WireCode::from(&code)),
            has_transaction: execution.transaction.is_some(),
            instance: execution.instance,
            mode: execution.mode.into(),
            attempts: execution.attempts,
            after: execution.after,
            failure: execution.failure,
            congestion_ms: execution.congestion_ms,
            queue: execution.queue.map(WireQueueReport::from),
            retry_after_us: micros(execution.retry_after),
            min_position_wait_us: micros(execution.min_position_wait),
            connection_wait_us: micros(execution.connection_wait),
            commit_position: execution.commit_position,
            was_not_sent: !execution.was_sent,
            clock_us: Clock.now().as_micros(),
        }
    }
}

impl TryFrom<ExecuteReply> for Execution {
    type Error = ();

    fn try_from(reply: ExecuteReply) -> Result<Self, ()> {
        let mut execution = Self::new(reply.mode.into());
        execution.result = match reply.result {
            Ok(answer) => Ok(answer.try_into()?),
            Err(code) => Err(code.try_into()?),
        };
        execution.instance = reply.instance;
        execution.attempts = reply.attempts;
        execution.after = reply.after;
        execution.failure = reply.failure;
        execution.congestion_ms = reply.congestion_ms;
        execution.queue = reply.queue.map(QueueReport::from);
        execution.retry_after = Duration::from_micros(reply.retry_after_us);
        execution.min_position_wait = Duration::from_micros(reply.min_position_wait_us);
        execution.connection_wait = Duration::from_micros(reply.connection_wait_us);
        execution.commit_position = reply.commit_position;
        execution.was_sent = !reply.was_not_sent;
        Ok(execution)
    }
}

impl From<TransactionStep> for ContinueReply {
    fn from(step: TransactionStep) -> Self {
        Self {
            result: step.result.map(WireAnswer::from).map_err(|f| WireFailure::from(&f)),
            attempts: step.attempts,
            commit_position: step.commit_position,
        }
    }
}

impl TryFrom<ContinueReply> for TransactionStep {
    type Error = ();

    fn try_from(reply: ContinueReply) -> Result<Self, ()> {
        let result = match reply.result {
            Ok(answer) => Ok(answer.try_into()?),
            Err(failure) => Err(failure.try_into()?),
        };
        Ok(Self { result, attempts: reply.attempts, commit_position: reply.commit_position })
    }
}
