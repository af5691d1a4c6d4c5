//! A statement on its way, and what became of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_place::{Attempt, Failure, refused_with};
use persimmon_ports::{Access, Code, Instance, Query, Route, Statement};
use persimmon_types::{Position, Time};

use crate::link::{Answer, Shape};
use crate::pool::Lease;

/// When a caller may come back whose statement could not be carried.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(100);

/// How a statement is carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// A read on any instance whose log contains a position.
    Copy,
    /// A read inside a transaction of the proxy's own, which only a primary opens.
    Guarded,
    /// A write, which only a primary runs.
    Write,
    /// The first statement of a transaction that any instance may serve.
    CopyTransaction,
    /// The first statement of a transaction that only a primary may serve.
    PrimaryTransaction,
}

impl Mode {
    pub(crate) fn needs_primary(self) -> bool {
        matches!(self, Self::Guarded | Self::Write | Self::PrimaryTransaction)
    }

    pub(crate) fn at_primary(self) -> Self {
        match self {
            Self::Copy => Self::Guarded,
            Self::CopyTransaction => Self::PrimaryTransaction,
            other => other,
        }
    }

    pub(crate) fn attempt(self) -> Attempt {
        match self {
            Self::Copy | Self::Guarded => Attempt::Read,
            Self::Write => Attempt::Write,
            Self::CopyTransaction | Self::PrimaryTransaction => Attempt::First,
        }
    }
}

/// A statement on its way.
#[derive(Clone, Debug)]
pub(crate) struct Job<'a> {
    pub(crate) query: &'a Query,
    pub(crate) route: Arc<Route>,
    /// What the session's prepared statement is, if it runs one.
    pub(crate) shape: Option<&'a Shape>,
    /// The session's values.
    pub(crate) values: &'a BTreeMap<Arc<str>, Arc<str>>,
    /// The position of the session's last commit.
    pub(crate) own_floor: Option<Position>,
    /// When a commit of the session was acknowledged whose position is not known.
    pub(crate) own_since: Time,
    /// When the first byte of the read, or of its transaction, arrived.
    pub(crate) fresh_at: Time,
    /// When it must be answered.
    pub(crate) until: Time,
}

impl Job<'_> {
    /// Until when the statement waits for a connection: a caller that is refused after its objective
    /// can still try elsewhere.
    pub(crate) fn connected_by(&self, now: Time) -> Time {
        self.until.min(now + self.route.target)
    }
}

/// What became of a statement, with what explains it.
#[derive(Debug)]
pub(crate) struct Carried {
    /// The instance's answer, or the code with which the statement is refused.
    pub(crate) result: Result<Answer, Code>,
    /// The connection, if a transaction is open on it.
    pub(crate) lease: Option<Lease>,
    /// The instance that was asked last.
    pub(crate) instance: Option<Arc<Instance>>,
    /// How it was carried at last.
    pub(crate) mode: Mode,
    /// How often it was tried.
    pub(crate) attempts: u32,
    /// The position that the log had to contain.
    pub(crate) after: Option<Position>,
    /// The last failure.
    pub(crate) failure: Option<Failure>,
    /// How long statements waited lately at the instance that was held to have no room, in
    /// milliseconds.
    pub(crate) congestion_ms: Option<f64>,
    /// Whether an attempt was sent and had no answer.
    pub(crate) was_lost: bool,
    /// Whether it has waited for room.
    pub(crate) was_held: bool,
    /// When the caller may come back, if the statement was held back.
    pub(crate) retry_after: Duration,
    /// How long it waited for a position that proves a copy fresh.
    pub(crate) floor_wait: Duration,
    /// How long it waited for connections.
    pub(crate) connection_wait: Duration,
}

impl Carried {
    /// A statement that has not been sent.
    pub(crate) fn new(mode: Mode) -> Self {
        Self {
            result: Err(Code::Busy),
            lease: None,
            instance: None,
            mode,
            attempts: 0,
            after: None,
            failure: None,
            congestion_ms: None,
            was_lost: false,
            was_held: false,
            retry_after: RETRY_AFTER,
            floor_wait: Duration::ZERO,
            connection_wait: Duration::ZERO,
        }
    }

    /// The same, refused with a code that is true of all its attempts.
    pub(crate) fn refused(mut self, code: Code) -> Self {
        self.result = Err(refused_with(code, self.was_lost));
        self
    }
}

/// How a statement outside a transaction is carried.
pub(crate) fn lone_mode(access: Access) -> Mode {
    match access {
        Access::Read => Mode::Copy,
        Access::Write => Mode::Write,
    }
}

/// Whether a statement may change data.
pub(crate) fn access(statement: &Statement, shape: Option<&Shape>) -> Access {
    match (statement, shape) {
        (Statement::Data(access), _) | (_, Some((access, _))) => *access,
        _ => Access::Read,
    }
}
