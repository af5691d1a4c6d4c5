//! Statements of clients.

use std::sync::Arc;

/// Whether a statement may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Access {
    /// The statement only reads.
    Read,
    /// The statement may write.
    Write,
}

/// One request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The client's identifier of the request, also used in logs.
    pub id: Arc<str>,
    /// The statement as the client sent it; an instance receives it unchanged.
    pub text: Arc<str>,
    /// The parsed statement.
    pub statement: Statement,
}

/// A parsed statement, in the detail that the proxy needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the client declared that the transaction only reads.
        is_read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads or writes data.
    Data(Access),
    /// Sets a session variable.
    Set {
        /// The variable's name.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Creates a prepared statement.
    Prepare {
        /// The name, which is unique in the session.
        name: Arc<str>,
        /// Whether the prepared statement may write.
        access: Access,
        /// The text of the prepared statement.
        shape: Arc<str>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name that the client gave the prepared statement.
        name: Arc<str>,
        /// The text that follows the name.
        arguments: Arc<str>,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// The prepared statement's name.
        name: Arc<str>,
    },
    /// Text that is not a known statement.
    Unknown,
}
