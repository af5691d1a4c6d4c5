//! The prepared statements of one client.
//!
//! A statement's name on an instance is derived from its text, so that clients that prepare the
//! same text share it, and a statement can be bound on whichever connection a request gets.

use std::collections::HashMap;
use std::rc::Rc;

use persimmon_pg::{FrameError, rename_statement};
use persimmon_request::{Hint, HintError, StatementClass, classify};
use persimmon_types::fingerprint;

/// One prepared statement.
#[derive(Debug)]
pub(crate) struct Statement {
    /// A hash of the text and the parameter types.
    pub(crate) hash: u64,
    /// The statement class.
    pub(crate) class: StatementClass,
    /// The hint in its leading comment.
    pub(crate) hint: Result<Hint, HintError>,
    /// The SQL text.
    pub(crate) sql: String,
    /// The `Parse` message with the statement's name on instances.
    pub(crate) parse: Vec<u8>,
}

impl Statement {
    fn new(sql: &str, frame: &[u8]) -> Result<Self, FrameError> {
        let anonymous = rename_statement(frame, "")?;
        let hash = fingerprint(&anonymous);
        Ok(Self {
            hash,
            class: classify(sql),
            hint: Hint::parse(sql),
            sql: sql.to_owned(),
            parse: rename_statement(frame, &backend_name(hash))?,
        })
    }
}

/// Returns the name of a statement on instances.
pub(crate) fn backend_name(hash: u64) -> String {
    format!("p{hash:016x}")
}

/// The statements of one client, by the names that the client gave them.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    named: HashMap<String, Rc<Statement>>,
}

impl Statements {
    /// Adds the statement of a `Parse` message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub(crate) fn insert(
        &mut self,
        name: &str,
        sql: &str,
        frame: &[u8],
    ) -> Result<Rc<Statement>, FrameError> {
        let statement = Rc::new(Statement::new(sql, frame)?);
        self.named.insert(name.to_owned(), Rc::clone(&statement));
        Ok(statement)
    }

    /// Returns the statement that the client named `name`.
    pub(crate) fn get(&self, name: &str) -> Option<Rc<Statement>> {
        self.named.get(name).cloned()
    }

    /// Removes a statement.
    pub(crate) fn close(&mut self, name: &str) {
        self.named.remove(name);
    }
}
