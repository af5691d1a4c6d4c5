//! What differs between two tables, row by row.

use std::fmt;

/// One row that was added, removed or changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The row is new.
    Added(String),
    /// The row is gone.
    Removed(String),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(row) => write!(f, "+ {row}"),
            Self::Removed(row) => write!(f, "- {row}"),
        }
    }
}

/// The rows that differ between two texts of a table; order and empty rows do not count.
#[must_use]
pub fn diff(before: &str, after: &str) -> Vec<Change> {
    let old: Vec<&str> = rows(before);
    let new: Vec<&str> = rows(after);
    let mut changes = Vec::new();
    for row in &old {
        if !new.contains(row) {
            changes.push(Change::Removed((*row).to_owned()));
        }
    }
    for row in &new {
        if !old.contains(row) {
            changes.push(Change::Added((*row).to_owned()));
        }
    }
    changes
}

fn rows(text: &str) -> Vec<&str> {
    text.lines().map(str::trim_end).filter(|row| row.chars().any(|c| c != ',')).collect()
}
