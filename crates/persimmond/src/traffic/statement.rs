//! The prepared statements of one caller.
//!
//! A statement's name on an instance is derived from its text, so that callers that prepare the
//! same text share it and a statement is known on whichever connection a request gets.

use std::collections::HashMap;
use std::rc::Rc;

use persimmon_pg::{FrameError, rename};
use persimmon_request::{Class, Hint, HintError, classify};
use persimmon_types::fingerprint;

/// One prepared statement.
#[derive(Debug)]
pub(crate) struct Statement {
    /// Identifies the text and the parameter types.
    pub(crate) hash: u64,
    /// What the statement is.
    pub(crate) class: Class,
    /// What its leading comment says.
    pub(crate) hint: Result<Hint, HintError>,
    /// Its text.
    pub(crate) sql: String,
    /// The `Parse` message with the name that instances know.
    pub(crate) parse: Vec<u8>,
}

impl Statement {
    fn new(sql: &str, frame: &[u8]) -> Result<Self, FrameError> {
        let anonymous = rename(frame, "")?;
        let hash = fingerprint(&anonymous);
        Ok(Self {
            hash,
            class: classify(sql),
            hint: Hint::parse(sql),
            sql: sql.to_owned(),
            parse: rename(frame, &name(hash))?,
        })
    }
}

/// The name of a statement on an instance.
pub(crate) fn name(hash: u64) -> String {
    format!("p{hash:016x}")
}

/// The statements of one caller by the caller's names.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    named: HashMap<String, Rc<Statement>>,
}

impl Statements {
    /// Takes in a `Parse` message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub(crate) fn parse(
        &mut self,
        name: &str,
        sql: &str,
        frame: &[u8],
    ) -> Result<Rc<Statement>, FrameError> {
        let statement = Rc::new(Statement::new(sql, frame)?);
        self.named.insert(name.to_owned(), Rc::clone(&statement));
        Ok(statement)
    }

    /// The statement with a name.
    pub(crate) fn get(&self, name: &str) -> Option<Rc<Statement>> {
        self.named.get(name).cloned()
    }

    /// Forgets a statement.
    pub(crate) fn close(&mut self, name: &str) {
        self.named.remove(name);
    }
}
