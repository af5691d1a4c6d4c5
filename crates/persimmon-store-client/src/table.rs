//! The stored object that holds the operators' table and its edit history.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The maximum number of edits kept in the history.
const MAX_EDITS: usize = 50;

/// An accepted edit of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEdit {
    /// The edit's id, chosen by the operator, by which a retry is recognized.
    pub id: Arc<str>,
    /// The version of the object on which the edit is based.
    pub base: u64,
    /// The author of the edit.
    pub author: Arc<str>,
    /// The author's note on the reason for the edit.
    pub note: Arc<str>,
    /// The time of the edit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The changed rows, as `+ row` and `- row`.
    pub changes: Vec<String>,
}

/// An edit to apply, with the text that results from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEdit {
    /// The new table as CSV.
    pub text: Arc<str>,
    /// The entry for the edit history.
    pub history_entry: AcceptedEdit,
}

/// The value of the object with key [`TableObject::KEY`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableObject {
    /// The table as CSV.
    pub text: Arc<str>,
    /// The latest edits, oldest first.
    pub edits: Vec<AcceptedEdit>,
}

impl TableObject {
    /// The object's key.
    pub const KEY: &str = "table";

    /// Parses the object's value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not the JSON of this type.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(value)
    }

    /// Whether the edit history contains the edit with this id.
    #[must_use]
    pub fn has_edit(&self, id: &str) -> bool {
        self.edits.iter().any(|e| &*e.id == id)
    }

    /// Returns the object after an edit.
    #[must_use]
    pub fn with_edit(&self, edit: TableEdit) -> Self {
        let mut edits = self.edits.clone();
        edits.push(edit.history_entry);
        let surplus = edits.len().saturating_sub(MAX_EDITS);
        edits.drain(..surplus);
        Self { text: edit.text, edits }
    }
}
