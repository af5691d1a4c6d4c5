//! The object that holds the operators' table, with the log of its edits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How many edits the object remembers.
const KEPT_EDITS: usize = 50;

/// One accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEdit {
    /// What the operator chose to identify the edit, to recognise a retry.
    pub id: Arc<str>,
    /// The version that the edit was based on.
    pub base: u64,
    /// Who made it.
    pub author: Arc<str>,
    /// Why.
    pub note: Arc<str>,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The rows that it changed, as `+ row` and `- row`.
    pub changes: Vec<String>,
}

/// An edit that is to be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The new text.
    pub text: Arc<str>,
    /// The edit.
    pub edit: AcceptedEdit,
}

/// The value of the object `table`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableObject {
    /// The CSV text.
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

    /// Whether an edit is among those remembered.
    #[must_use]
    pub fn has_edit(&self, id: &str) -> bool {
        self.edits.iter().any(|e| &*e.id == id)
    }

    /// The object after an edit.
    #[must_use]
    pub fn with_edit(&self, edit: Edit) -> Self {
        let mut edits = self.edits.clone();
        edits.push(edit.edit);
        let surplus = edits.len().saturating_sub(KEPT_EDITS);
        edits.drain(..surplus);
        Self { text: edit.text, edits }
    }
}
