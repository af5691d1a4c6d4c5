//! Row-by-row comparison of two tables.

use std::fmt;

/// A row that was added or removed; a changed row is removed and added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// The row is only in the new table.
    Added(String),
    /// The row is only in the old table.
    Removed(String),
}

impl fmt::Display for RowChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(row) => write!(f, "+ {row}"),
            Self::Removed(row) => write!(f, "- {row}"),
        }
    }
}

/// Returns the rows that differ between two texts of a table, ignoring row order and empty rows.
#[must_use]
pub fn diff(old_text: &str, new_text: &str) -> Vec<RowChange> {
    let old: Vec<&str> = rows(old_text);
    let new: Vec<&str> = rows(new_text);
    let mut changes = Vec::new();
    for row in &old {
        if !new.contains(row) {
            changes.push(RowChange::Removed((*row).to_owned()));
        }
    }
    for row in &new {
        if !old.contains(row) {
            changes.push(RowChange::Added((*row).to_owned()));
        }
    }
    changes
}

fn rows(text: &str) -> Vec<&str> {
    text.lines().map(str::trim_end).filter(|row| row.chars().any(|c| c != ',')).collect()
}
