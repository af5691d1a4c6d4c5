//! What callers and instances say, and the codecs that an adapter provides.

use std::fmt::Debug;
use std::sync::Arc;

use ntex::util::BytesMut;
use persimmon_types::{Lsn, Position, Term};
use thiserror::Error;

use crate::catalogue::Role;
use crate::statement::{Access, Query};

/// Bytes that break the protocol; the connection is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A message is longer than allowed.
    #[error("a message is longer than the protocol allows")]
    TooLong,
    /// A message is not text.
    #[error("a message is not UTF-8")]
    NotText,
    /// A message has an unknown word or lacks a field.
    #[error("a message cannot be read")]
    Malformed,
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Open {
        /// The database that the caller names.
        database: Arc<str>,
        /// Who it says it is.
        user: Arc<str>,
    },
    /// Runs a statement.
    Query(Query),
    /// Ends the session.
    Terminate,
}

/// The state of a transaction after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction failed and can only be ended.
    Failed,
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// The instance or the proxy had no room; nothing ran.
    Busy,
    /// The transaction is rolled back; nothing is kept.
    Aborted,
    /// The replica's log lacks the position that was asked for; nothing ran.
    Behind,
    /// The instance does not lead; nothing ran.
    ReadOnly,
    /// The connection named another service or instance than the one reached; nothing ran.
    WrongInstance,
    /// The instance takes no more connections; nothing ran.
    TooManyConnections,
    /// The instance holds no prepared statement of this name; nothing ran.
    NoSuchPrepared,
    /// The request ran and failed.
    Failed,
    /// The request ran and was given up for its duration.
    TimedOut,
    /// The request may have run.
    MayHaveRun,
    /// No route has the name of the database.
    NoSuchDatabase,
    /// The statement cannot be understood in this state.
    Malformed,
    /// A code that this version does not know.
    Other(Arc<str>),
}

impl Code {
    /// Whether the code says that the instance did not run the statement.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Behind
                | Self::ReadOnly
                | Self::NoSuchPrepared
                | Self::WrongInstance
                | Self::TooManyConnections
        )
    }
}

/// One message of an answer, from an instance or to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// One row.
    Row(Arc<str>),
    /// The statement succeeded; the instance's signature, if an instance ran it.
    Complete(Option<Arc<str>>),
    /// The statement failed.
    Error {
        /// Why.
        code: Code,
        /// More for people.
        text: Arc<str>,
    },
    /// The answer is whole.
    Ready {
        /// The state of the transaction.
        status: TxStatus,
        /// What the instance's log has applied, if it says so.
        position: Option<Position>,
    },
}

/// A message to an instance.
#[derive(Clone, Copy, Debug)]
pub enum Command<'a> {
    /// Opens the session.
    Open {
        /// The service that the instance is expected to serve.
        service: &'a str,
        /// The instance that is expected at this address.
        instance: &'a str,
    },
    /// Opens a transaction.
    Begin {
        /// Whether a replica may serve it.
        is_read_only: bool,
        /// The position that the instance's log must contain.
        after: Option<Position>,
    },
    /// Rolls back a transaction.
    Rollback,
    /// Clears the values and prepared statements of the connection.
    Reset,
    /// Sets a value.
    Set {
        /// The value's name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// The name on this connection.
        name: &'a str,
        /// What it does.
        access: Access,
        /// Its shape.
        shape: &'a str,
    },
    /// Runs a caller's statement.
    Forward {
        /// The caller's request.
        query: &'a Query,
        /// The name on this connection of the prepared statement that it runs.
        prepared: Option<&'a str>,
        /// The position that the instance's log must contain.
        after: Option<Position>,
    },
    /// Asks for the instance's state.
    Status,
    /// Stops a replica from receiving until the next promotion, under a term above the newest one.
    Pause(Term),
}

/// What an instance reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Its role, as it sees itself.
    pub role: Role,
    /// The term that it follows.
    pub term: Term,
    /// The position that it has received, which a promotion starts from.
    pub received: Position,
    /// How far it applies behind the primary, in milliseconds.
    pub lag_ms: u64,
}

impl InstanceStatus {
    /// The status of an instance that holds nothing.
    #[must_use]
    pub fn new(role: Role, term: Term) -> Self {
        Self { role, term, received: Position::new(term, Lsn(0)), lag_ms: 0 }
    }

    /// The status with a received position.
    #[must_use]
    pub fn with_received(mut self, received: Position) -> Self {
        self.received = received;
        self
    }
}

/// The protocol that callers speak.
pub trait CallerProtocol: Debug + Send + Sync {
    /// Takes the next message off `src`, if it is whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes break the protocol.
    fn decode(&self, src: &mut BytesMut) -> Result<Option<CallerMessage>, ProtocolError>;

    /// Appends a message to `dst`.
    fn encode(&self, reply: &Reply, dst: &mut BytesMut);
}

/// The protocol that instances speak.
pub trait InstanceProtocol: Debug + Send + Sync {
    /// Appends a message to `dst`.
    fn encode(&self, command: &Command<'_>, dst: &mut BytesMut);

    /// Takes the next message off `src`, if it is whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes break the protocol.
    fn decode(&self, src: &mut BytesMut) -> Result<Option<Reply>, ProtocolError>;

    /// Reads the row that answers [`Command::Status`] and [`Command::Pause`].
    fn status(&self, row: &str) -> Option<InstanceStatus>;
}
