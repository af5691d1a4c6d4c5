//! A statement to execute, and its outcome.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{AttemptKind, ConnectionRank, final_error_code};
use persimmon_interfaces::{Access, ErrorCode, Query, Route, Statement};
use persimmon_types::{Position, Time};
use persimmon_workspace::ClientKey;

use crate::connection::{Answer, ConnectionUser, DesiredState, Shape};
use crate::transaction::OpenTransaction;

/// Default delay after which a client may retry a statement that was not run.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(100);

/// How a statement is executed. The names of the variants appear in log lines and stay the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionMode {
    /// A read on any instance that has applied the minimum position.
    Copy,
    /// A read on the primary, inside a transaction that the proxy opens and only a primary accepts.
    Guarded,
    /// A write, which only a primary accepts.
    Write,
    /// The first statement of a transaction that a replica may serve.
    CopyTransaction,
    /// The first statement of a transaction that needs the primary.
    PrimaryTransaction,
}

impl ExecutionMode {
    pub(crate) fn needs_primary(self) -> bool {
        matches!(self, Self::Guarded | Self::Write | Self::PrimaryTransaction)
    }

    pub(crate) fn opens_transaction(self) -> bool {
        matches!(self, Self::CopyTransaction | Self::PrimaryTransaction)
    }

    pub(crate) fn on_primary(self) -> Self {
        match self {
            Self::Copy => Self::Guarded,
            Self::CopyTransaction => Self::PrimaryTransaction,
            other => other,
        }
    }

    pub(crate) fn attempt_kind(self) -> AttemptKind {
        match self {
            Self::Copy | Self::Guarded => AttemptKind::Read,
            Self::Write => AttemptKind::Write,
            Self::CopyTransaction | Self::PrimaryTransaction => AttemptKind::FirstInTransaction,
        }
    }
}

/// The workspace for which a session runs statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    /// The workspace's name, which instances are told.
    pub(crate) workspace: Arc<str>,
    /// The key that identifies it.
    pub(crate) key: ClientKey,
}

/// A statement to execute.
#[derive(Clone, Debug)]
pub(crate) struct StatementJob<'a> {
    pub(crate) query: &'a Query,
    pub(crate) route: Arc<Route>,
    /// The workspace that it belongs to; `None` on a route that needs none.
    pub(crate) caller: Option<&'a Caller>,
    /// The version of the table by which the route and the workspace were found.
    pub(crate) table_version: u64,
    /// Access and shape of the prepared statement that it executes, if any.
    pub(crate) shape: Option<&'a Shape>,
    /// The session's variables.
    pub(crate) variables: &'a BTreeMap<Arc<str>, Arc<str>>,
    /// The position of the session's last commit.
    pub(crate) last_commit_position: Option<Position>,
    /// When the session's last commit with an unknown position was acknowledged.
    pub(crate) unpositioned_commit_at: Time,
    /// When the read, or the `BEGIN` of its transaction, arrived; the read reflects every commit
    /// acknowledged before then, less the allowed staleness.
    pub(crate) fresh_as_of: Time,
    /// Time by which the client must have an answer.
    pub(crate) deadline: Time,
    /// Time before which it must be sent to an instance, as its quota token expires then.
    pub(crate) send_by: Option<Time>,
}

impl<'a> StatementJob<'a> {
    /// The user as whom its connection to an instance must have been opened.
    pub(crate) fn user(&self) -> ConnectionUser<'a> {
        self.caller.map_or(ConnectionUser::Anonymous, |c| ConnectionUser::Workspace(&c.workspace))
    }

    /// The state that its connection must have.
    pub(crate) fn desired_state(&self) -> DesiredState<'a> {
        DesiredState {
            user: self.user(),
            variables: Some(self.variables),
            shape: self.shape,
            begin: None,
            rank: None,
        }
    }

    /// Until when its answer meets the objective of the route, which counts from the start of its
    /// transaction.
    pub(crate) fn objective_at(&self) -> Time {
        self.fresh_as_of + self.route.target
    }

    /// Its rank among the statements that wait for a connection.
    pub(crate) fn connection_rank(&self) -> ConnectionRank {
        ConnectionRank { priority: self.route.priority, objective_at: self.objective_at() }
    }

    /// Whether it may be sent to an instance for the first time at `now`.
    pub(crate) fn may_send(&self, now: Time) -> bool {
        self.send_by.is_none_or(|send_by| now < send_by)
    }

    /// Time until which the statement waits for a connection: at most its latency target, so that a
    /// client that is refused can still retry at another daemon.
    pub(crate) fn connection_deadline(&self, now: Time) -> Time {
        self.deadline.min(now + self.route.target)
    }
}

/// What the queue of an instance decided about a statement. The names of the variants appear in log
/// lines and stay the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueDecision {
    /// It was sent when there was room.
    Dispatched,
    /// It was refused: its answer would have come after its deadline.
    TooLate,
    /// It was refused: the queue was full, and others came before it.
    QueueFull,
    /// It selected another instance, because this one could not run it any more.
    InstanceUnavailable,
}

/// How a statement waited for room at an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueReport {
    /// Its class: the priority of its route.
    pub(crate) priority: u8,
    /// Number of statements ahead of it.
    pub(crate) position: u32,
    /// Its predicted wait.
    pub(crate) predicted_wait: Duration,
    /// How long it waited.
    pub(crate) waited: Duration,
    /// What was decided last.
    pub(crate) decision: QueueDecision,
}

/// Outcome of a statement, with the details that its log line reports.
pub(crate) struct Execution {
    /// The instance's answer, or the code with which the proxy refuses the statement.
    pub(crate) result: Result<Answer, ErrorCode>,
    /// The transaction, if one is open.
    pub(crate) transaction: Option<Box<dyn OpenTransaction>>,
    /// The daemon to which the statement was forwarded.
    pub(crate) owner: Option<SocketAddr>,
    /// Identity of the instance of the last attempt.
    pub(crate) instance: Option<Arc<str>>,
    /// For a write outside a transaction, a position from which on reads see it, if one is known.
    pub(crate) commit_position: Option<Position>,
    /// The mode of the last attempt.
    pub(crate) mode: ExecutionMode,
    /// Number of attempts.
    pub(crate) attempts: u32,
    /// The minimum position that the instance had to have applied.
    pub(crate) after: Option<Position>,
    /// The last failure.
    pub(crate) failure: Option<Arc<str>>,
    /// Average wait of recent statements at the instance to which admission control did not admit
    /// this one, in milliseconds.
    pub(crate) congestion_ms: Option<f64>,
    /// How it waited for room at an instance, if it did.
    pub(crate) queue: Option<QueueReport>,
    /// Whether it may have been sent to an instance.
    pub(crate) was_sent: bool,
    /// Whether a sent attempt got no answer, so that it may have run.
    pub(crate) was_lost: bool,
    /// Whether it has waited for admission.
    pub(crate) was_throttled: bool,
    /// Delay after which the client may retry, if the statement was not admitted.
    pub(crate) retry_after: Duration,
    /// Time spent waiting for the minimum position.
    pub(crate) min_position_wait: Duration,
    /// Time spent waiting for connections.
    pub(crate) connection_wait: Duration,
    /// How long ago the directory was last known to be complete when the last attempt was sent.
    pub(crate) directory_age: Option<Duration>,
}

impl Execution {
    /// Creates the outcome of a statement that has not been sent.
    pub(crate) fn new(mode: ExecutionMode) -> Self {
        Self {
            result: Err(ErrorCode::Busy),
            transaction: None,
            owner: None,
            instance: None,
            commit_position: None,
            mode,
            attempts: 0,
            after: None,
            failure: None,
            congestion_ms: None,
            queue: None,
            was_sent: false,
            was_lost: false,
            was_throttled: false,
            retry_after: RETRY_AFTER,
            min_position_wait: Duration::ZERO,
            connection_wait: Duration::ZERO,
            directory_age: None,
        }
    }

    /// Refuses the statement, with a code that holds for all its attempts.
    pub(crate) fn refused(mut self, code: ErrorCode) -> Self {
        self.result = Err(final_error_code(code, self.was_lost));
        self
    }

    /// The outcome after an earlier attempt that was sent and got no answer.
    pub(crate) fn after_lost_attempt(mut self) -> Self {
        self.was_lost = true;
        self.was_sent = true;
        self.result = self.result.map_err(|code| final_error_code(code, true));
        self
    }
}

/// The mode of a statement outside a transaction.
pub(crate) fn autocommit_mode(access: Access) -> ExecutionMode {
    match access {
        Access::Read => ExecutionMode::Copy,
        Access::Write => ExecutionMode::Write,
    }
}

/// Whether a statement may change data.
pub(crate) fn access(statement: &Statement, shape: Option<&Shape>) -> Access {
    match (statement, shape) {
        (Statement::Data(access), _) | (_, Some((access, _))) => *access,
        _ => Access::Read,
    }
}
