//! Validation errors of a table, in terms of the file that the operator edits.

use std::fmt;

use thiserror::Error;

/// A validation error of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("row {row}, column `{column}`: found `{found}`, allowed: {allowed}")]
pub struct Problem {
    /// The one-based line number in the file.
    pub row: usize,
    /// The name of the column, or `file`, `section` or `header`.
    pub column: String,
    /// The value found.
    pub found: String,
    /// A description of the allowed values.
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

/// All validation errors of a table; never empty.
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
