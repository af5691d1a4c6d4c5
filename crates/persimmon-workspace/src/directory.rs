//! The workspaces of one version of the operators' table, by key and by name.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::ClientKey;
use crate::workspace::{Quota, Workspace};

/// A workspace, or one of its keys, that is left out of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RejectedEntry {
    /// The workspaces are not a list, so that no key identifies one.
    #[error("the workspaces are not a list")]
    NotAList,
    /// A field of the workspace at this index is missing or has another type.
    #[error("the workspace at index {0} cannot be read")]
    Unreadable(usize),
    /// Some keys of the workspace are not texts, or empty.
    #[error("{1} keys of the workspace {0} are not texts")]
    InvalidKeys(Arc<str>, usize),
    /// The name is not a printable word, so that instances cannot be told it.
    #[error("a workspace's name is not a printable word")]
    Name,
    /// Another workspace has the same name.
    #[error("the workspace {0} is listed twice")]
    DuplicateName(Arc<str>),
    /// The quota is negative or not a number.
    #[error("the quota of the workspace {0} is not a valid number")]
    Quota(Arc<str>),
    /// Another workspace holds the same key, so that it identifies neither.
    #[error("the workspaces {0} and {1} hold the same key")]
    SharedKey(Arc<str>, Arc<str>),
}

/// The valid workspaces of one version of the table.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<Workspace>", into = "Vec<Workspace>")]
pub struct WorkspaceDirectory {
    by_key: HashMap<ClientKey, Arc<Workspace>>,
    by_name: HashMap<Arc<str>, Arc<Workspace>>,
    rejected: Vec<RejectedEntry>,
}

impl PartialEq for WorkspaceDirectory {
    fn eq(&self, other: &Self) -> bool {
        self.by_name == other.by_name
    }
}

impl Eq for WorkspaceDirectory {}

impl From<Vec<Workspace>> for WorkspaceDirectory {
    fn from(workspaces: Vec<Workspace>) -> Self {
        Self::new(workspaces)
    }
}

impl From<WorkspaceDirectory> for Vec<Workspace> {
    fn from(directory: WorkspaceDirectory) -> Self {
        directory.by_name.into_values().map(Arc::unwrap_or_clone).collect()
    }
}

impl WorkspaceDirectory {
    /// Creates a directory of the valid workspaces. An invalid workspace or key does not affect the
    /// others; [`Self::rejected`] returns what is left out.
    #[must_use]
    pub fn new(workspaces: Vec<Workspace>) -> Self {
        let mut directory = Self::default();
        for workspace in workspaces {
            match directory.check(&workspace) {
                Ok(()) => {
                    let workspace = Arc::new(workspace);
                    directory.by_name.insert(Arc::clone(&workspace.name), workspace);
                }
                Err(err) => directory.rejected.push(err),
            }
        }
        directory.index_keys();
        directory
    }

    /// Adds entries that could not be decoded to those that are left out.
    #[must_use]
    pub fn with_rejected(mut self, rejected: Vec<RejectedEntry>) -> Self {
        self.rejected.extend(rejected);
        self
    }

    /// What is left out of the directory; it names no key.
    #[must_use]
    pub fn rejected(&self) -> &[RejectedEntry] {
        &self.rejected
    }

    /// Returns the directory without the keys that `newer` does not hold for the same workspace.
    #[must_use]
    pub fn without_removed_keys(&self, newer: &Self) -> Self {
        let workspaces = self.by_name.values().map(|workspace| {
            let mut workspace = Workspace::clone(workspace);
            let name = Arc::clone(&workspace.name);
            workspace.keys.retain(|key| newer.find(*key).is_some_and(|w| w.name == name));
            workspace
        });
        Self::new(workspaces.collect())
    }

    fn check(&self, workspace: &Workspace) -> Result<(), RejectedEntry> {
        let name = &workspace.name;
        // The name becomes a field of a line.
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(RejectedEntry::Name);
        }
        if self.by_name.contains_key(name) {
            return Err(RejectedEntry::DuplicateName(Arc::clone(name)));
        }
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        match workspace.quota {
            Some(Quota { rate_per_s, burst }) if !is_valid(rate_per_s) || !is_valid(burst) => {
                Err(RejectedEntry::Quota(Arc::clone(name)))
            }
            _ => Ok(()),
        }
    }

    fn index_keys(&mut self) {
        let mut shared = Vec::new();
        for workspace in self.by_name.values() {
            for key in &workspace.keys {
                match self.by_key.entry(*key) {
                    Entry::Vacant(entry) => {
                        entry.insert(Arc::clone(workspace));
                    }
                    Entry::Occupied(entry) if entry.get().name != workspace.name => {
                        let first = Arc::clone(&entry.get().name);
                        let second = Arc::clone(&workspace.name);
                        self.rejected.push(RejectedEntry::SharedKey(first, second));
                        shared.push(*key);
                    }
                    Entry::Occupied(_) => {}
                }
            }
        }
        for key in shared {
            self.by_key.remove(&key);
        }
    }

    /// The workspace that a key identifies.
    #[must_use]
    pub fn find(&self, key: ClientKey) -> Option<&Arc<Workspace>> {
        self.by_key.get(&key)
    }

    /// The workspace of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// The workspace with the largest quota; `None` if none has a quota.
    #[must_use]
    pub fn largest(&self) -> Option<&Arc<Workspace>> {
        let with_rates = self.by_name.values().filter_map(|w| Some((w.quota?.rate_per_s, w)));
        // Equal quotas are told apart by the name, so that every daemon finds the same.
        let largest =
            with_rates.max_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| y.name.cmp(&x.name)));
        largest.map(|(_, workspace)| workspace)
    }

    /// The number of workspaces.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is no workspace.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
