//! Workspaces and their quotas, as the operators' table describes them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::key::ClientKey;

/// How many operations a workspace may start, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Operations per second.
    pub rate_per_s: f64,
    /// Operations beyond the rate that it may start at once after a pause.
    pub burst: f64,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name, which instances are told.
    pub name: Arc<str>,
    /// The keys by which its clients identify themselves.
    pub keys: Vec<ClientKey>,
    /// The quota; `None` if nothing limits it.
    pub quota: Option<Quota>,
}

impl Workspace {
    /// Creates a workspace without keys and without a quota.
    #[must_use]
    pub fn new(name: Arc<str>) -> Self {
        Self { name, keys: Vec::new(), quota: None }
    }

    /// Adds a key.
    #[must_use]
    pub fn with_key(mut self, key: ClientKey) -> Self {
        self.keys.push(key);
        self
    }

    /// Sets the quota.
    #[must_use]
    pub fn with_quota(mut self, quota: Quota) -> Self {
        self.quota = Some(quota);
        self
    }
}
