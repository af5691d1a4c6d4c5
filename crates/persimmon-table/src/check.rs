//! What is wrong with a table, in the words of the person who edits it.

use std::fmt;

use thiserror::Error;

/// One cell that may not stand as it is.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("row {row}, column `{column}`: found `{found}`, allowed: {allowed}")]
pub struct Problem {
    /// The line of the file, counted from 1.
    pub row: usize,
    /// The column's name.
    pub column: String,
    /// The value seen.
    pub found: String,
    /// The values allowed.
    pub allowed: String,
}

impl Problem {
    /// Creates a problem.
    #[must_use]
    pub fn new(row: usize, column: &str, found: &str, allowed: &str) -> Self {
        Self {
            row,
            column: column.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        }
    }
}

/// Every problem of a table; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.0 {
            writeln!(f, "{problem}")?;
        }
        Ok(())
    }
}
