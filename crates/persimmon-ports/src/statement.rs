//! Callers' statements.

use std::sync::Arc;

/// Whether a statement may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// What identifies the request at the caller, and in logs.
    pub id: Arc<str>,
    /// The statement as the caller wrote it; an instance receives it unchanged.
    pub text: Arc<str>,
    /// The statement, decoded.
    pub statement: Statement,
}

/// A statement, as far as the proxy needs to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the caller promised only to read.
        is_read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads or writes data by its text.
    Data(Access),
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Names a prepared statement.
    Prepare {
        /// The name, unique in the session.
        name: Arc<str>,
        /// What the prepared statement does.
        access: Access,
        /// Its shape.
        shape: Arc<str>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name that the caller gave it.
        name: Arc<str>,
        /// What follows the name in the text.
        arguments: Arc<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Its name.
        name: Arc<str>,
    },
    /// A text that is no statement.
    Unknown,
}
