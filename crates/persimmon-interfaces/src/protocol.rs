//! Messages of clients and instances, and the codecs that an adapter provides for them.

use std::fmt::Debug;
use std::sync::Arc;

use ntex::util::BytesMut;
use persimmon_types::{Lsn, Position, Term};
use persimmon_workspace::ClientKey;
use thiserror::Error;

use crate::statement::{Access, Query};
use crate::topology::Role;

/// The error for bytes that violate the protocol; the connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A message is longer than allowed.
    #[error("a message is longer than the protocol allows")]
    TooLong,
    /// A message is not valid UTF-8.
    #[error("a message is not UTF-8")]
    NotText,
    /// A message has an unknown keyword or lacks a field.
    #[error("a message cannot be read")]
    Malformed,
    /// Other incomplete messages occupy the memory that there is for them.
    #[error("there is no room for an incomplete message")]
    NoRoom,
}

/// A message from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// Opens a session.
    Open {
        /// The database name that the client gives.
        database: Arc<str>,
        /// The digest of the key that the client gives.
        key: ClientKey,
    },
    /// Runs a statement.
    Query(Query),
    /// Ends the session.
    Terminate,
}

/// The transaction state of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction has failed and can only be ended.
    Failed,
}

/// The error code of a failed request. Each code says whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ErrorCode {
    /// The instance or the proxy had no capacity; nothing ran.
    Busy,
    /// The transaction was rolled back; none of its changes are kept.
    Aborted,
    /// The replica's log lacks the required position; nothing ran.
    Behind,
    /// The instance is not the primary; nothing ran.
    ReadOnly,
    /// The connection expected another service or instance than the one it reached; nothing ran.
    WrongInstance,
    /// The instance accepts no more connections; nothing ran.
    TooManyConnections,
    /// The instance has no prepared statement of this name on the connection; nothing ran.
    NoSuchPrepared,
    /// The request ran and failed.
    Failed,
    /// The request ran and was canceled because it exceeded its time limit.
    TimedOut,
    /// The request may have run; its outcome is unknown.
    MayHaveRun,
    /// No route exists for the database name.
    NoSuchDatabase,
    /// The client's key identifies no workspace.
    UnknownKey,
    /// The statement is invalid, or invalid in the present state of the session.
    Malformed,
    /// A code that this version does not know.
    Other(Arc<str>),
}

impl ErrorCode {
    /// Whether the code guarantees that the instance did not run the statement.
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

/// One message of an answer, from an instance or to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// One row.
    Row(Arc<str>),
    /// The statement succeeded. Contains the instance's signature, if an instance ran the
    /// statement.
    Complete(Option<Arc<str>>),
    /// The statement failed.
    Error {
        /// The error code.
        code: ErrorCode,
        /// A description for people.
        text: Arc<str>,
    },
    /// The answer is complete.
    Ready {
        /// The state of the transaction.
        status: TxStatus,
        /// The position that the instance has applied, if it reports one.
        position: Option<Position>,
    },
}

/// A message to an instance.
#[derive(Clone, Copy, Debug)]
pub enum Command<'a> {
    /// Opens the session.
    Open {
        /// The service to which the instance is expected to belong.
        service: &'a str,
        /// The workspace for which the connection is used; `None` for none.
        workspace: Option<&'a str>,
        /// The instance that is expected at this address.
        instance: &'a str,
    },
    /// Opens a transaction.
    Begin {
        /// Whether a replica may serve it.
        is_read_only: bool,
        /// The position that the instance's log must contain; `None` if any will do.
        after: Option<Position>,
    },
    /// Rolls back a transaction.
    Rollback,
    /// Discards the session variables and prepared statements of the connection.
    Reset,
    /// Sets a session variable.
    Set {
        /// The variable's name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// The statement's name on this connection.
        name: &'a str,
        /// Whether the statement may write.
        access: Access,
        /// The text of the statement to prepare.
        shape: &'a str,
    },
    /// Runs a client's statement.
    Forward {
        /// The client's request.
        query: &'a Query,
        /// For the execution of a prepared statement, the statement's name on this connection.
        prepared: Option<&'a str>,
        /// The position that the instance's log must contain; `None` if any will do.
        after: Option<Position>,
    },
    /// Queries the instance's status.
    Status,
    /// Stops a replica from receiving until the next promotion. The term must be above the newest.
    Pause(Term),
    /// Lets a replica receive again.
    Resume,
    /// Makes the primary of a lower term a replica.
    Demote(Term),
}

/// The status that an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Its role by its own account.
    pub role: Role,
    /// The term that it follows.
    pub term: Term,
    /// The position up to which it has received the log; a promotion starts from it.
    pub received: Position,
    /// How far it lags behind the primary in applying the log, in milliseconds.
    pub lag_ms: u64,
}

impl InstanceStatus {
    /// Creates the status of an instance that has received nothing in `term`.
    #[must_use]
    pub fn new(role: Role, term: Term) -> Self {
        Self { role, term, received: Position::new(term, Lsn(0)), lag_ms: 0 }
    }

    /// Sets the received position.
    #[must_use]
    pub fn with_received(mut self, received: Position) -> Self {
        self.received = received;
        self
    }
}

/// Codec of the protocol that clients speak.
pub trait ClientProtocol: Debug + Send + Sync {
    /// Removes the next message from `src`; `None` if the message is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes violate the protocol.
    fn decode(&self, src: &mut BytesMut) -> Result<Option<ClientMessage>, ProtocolError>;

    /// Whether [`Self::decode`] would return a message or an error for `src`, whose first `seen` bytes are
    /// an incomplete message. It spares decoding a long message again for each of its pieces.
    fn is_complete(&self, src: &[u8], seen: usize) -> bool;

    /// Appends the encoded message to `dst`.
    fn encode(&self, reply: &Reply, dst: &mut BytesMut);
}

/// Codec of the protocol that instances speak.
pub trait InstanceProtocol: Debug + Send + Sync {
    /// Appends the encoded message to `dst`.
    fn encode(&self, command: &Command<'_>, dst: &mut BytesMut);

    /// Removes the next message from `src`; `None` if the message is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes violate the protocol.
    fn decode(&self, src: &mut BytesMut) -> Result<Option<Reply>, ProtocolError>;

    /// Parses the row that answers [`Command::Status`], [`Command::Pause`],
    /// [`Command::Resume`] and [`Command::Demote`]; `None` if the row is malformed.
    fn parse_status(&self, row: &str) -> Option<InstanceStatus>;
}
