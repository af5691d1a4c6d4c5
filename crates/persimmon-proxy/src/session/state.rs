//! The values and prepared statements of a session, and the memory that they may occupy.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use persimmon_interfaces::Access;

use crate::connection::Shape;
use crate::memory_budget::MemoryShare;

/// Maximum number of values, and of prepared statements, in one session.
const MAX_ENTRIES: usize = 1_000;

/// Why a value or a prepared statement is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateLimit {
    /// The session has too many of them.
    Entries,
    /// They occupy too much memory for one session.
    Session,
    /// Those of all sessions occupy too much memory.
    Total,
}

/// The state of one session. A change that exceeds a limit leaves it as it was.
#[derive(Debug)]
pub struct SessionState {
    variables: BTreeMap<Arc<str>, Arc<str>>,
    prepared: HashMap<Arc<str>, Shape>,
    share: MemoryShare,
    /// Maximum size of the state, in bytes.
    limit: usize,
}

impl SessionState {
    /// Creates an empty state of at most `limit` bytes, as far as `share` allows.
    #[must_use]
    pub fn new(share: MemoryShare, limit: usize) -> Self {
        Self { variables: BTreeMap::new(), prepared: HashMap::new(), share, limit }
    }

    /// The values.
    #[must_use]
    pub fn variables(&self) -> &BTreeMap<Arc<str>, Arc<str>> {
        &self.variables
    }

    /// The access and the shape of a prepared statement.
    #[must_use]
    pub fn prepared(&self, name: &str) -> Option<&Shape> {
        self.prepared.get(name)
    }

    /// The size of the state, and that of all sessions, in bytes.
    #[must_use]
    pub fn bytes(&self) -> (usize, usize) {
        (self.share.bytes(), self.share.total())
    }

    /// Sets a value.
    ///
    /// # Errors
    ///
    /// Returns the limit that it would exceed.
    pub fn set(&mut self, name: &Arc<str>, value: &Arc<str>) -> Result<(), StateLimit> {
        let before = self.variables.get(name).map(|value| name.len() + value.len());
        self.reserve(before, name.len() + value.len(), self.variables.len())?;
        self.variables.insert(Arc::clone(name), Arc::clone(value));
        Ok(())
    }

    /// Names a prepared statement.
    ///
    /// # Errors
    ///
    /// Returns the limit that it would exceed.
    pub fn prepare(
        &mut self,
        name: &Arc<str>,
        access: Access,
        shape: &Arc<str>,
    ) -> Result<(), StateLimit> {
        let before = self.prepared.get(name).map(|(_, shape)| name.len() + shape.len());
        self.reserve(before, name.len() + shape.len(), self.prepared.len())?;
        self.prepared.insert(Arc::clone(name), (access, Arc::clone(shape)));
        Ok(())
    }

    /// Forgets a prepared statement.
    pub fn deallocate(&mut self, name: &str) {
        if let Some((name, (_, shape))) = self.prepared.remove_entry(name) {
            self.share.record(self.share.bytes() - name.len() - shape.len());
        }
    }

    /// Makes room for an entry of `bytes` in place of one of `before` bytes, beside `count` others.
    fn reserve(&self, before: Option<usize>, bytes: usize, count: usize) -> Result<(), StateLimit> {
        if before.is_none() && count >= MAX_ENTRIES {
            return Err(StateLimit::Entries);
        }
        let held = self.share.bytes();
        let wanted = held - before.unwrap_or(0) + bytes;
        if wanted > self.limit {
            return Err(StateLimit::Session);
        }
        if !self.share.record(wanted) {
            self.share.record(held);
            return Err(StateLimit::Total);
        }
        Ok(())
    }
}
