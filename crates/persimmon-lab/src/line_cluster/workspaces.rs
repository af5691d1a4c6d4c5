//! Which workspace each client key has identified in any version of the table, by which instances
//! check who is connecting.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::Value;

/// The id of statements of a proxy's own, which belong to no client.
const PROXY_STATEMENT_ID: &str = "-";

/// The keys and workspaces of all versions of the table.
#[derive(Debug, Default)]
pub(crate) struct KnownWorkspaces(Mutex<Known>);

#[derive(Debug, Default)]
struct Known {
    names: HashSet<String>,
    /// The workspaces that have held each key.
    by_key: HashMap<String, HashSet<String>>,
}

impl KnownWorkspaces {
    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the workspaces of a version of the table.
    pub(crate) fn add(&self, workspaces: &Value) {
        let mut known = self.lock();
        for workspace in workspaces.as_array().into_iter().flatten() {
            let Some(name) = workspace["name"].as_str() else {
                continue;
            };
            known.names.insert(name.to_owned());
            let keys = workspace["api_keys"].as_array().into_iter().flatten();
            for key in keys.filter_map(Value::as_str) {
                known.by_key.entry(key.to_owned()).or_default().insert(name.to_owned());
            }
        }
    }

    /// The violation of a connection that is opened in the name of `user`, if any.
    pub(crate) fn connection_violation(&self, user: &str) -> Option<String> {
        let is_key = self.lock().by_key.contains_key(user);
        is_key.then(|| format!("a connection was opened in the name of the key {user}"))
    }

    /// The violation of a statement on a connection that was opened in the name of `user`, if any. The
    /// id of a statement holds the client's key before a colon.
    pub(crate) fn statement_violation(&self, user: &str, id: &str) -> Option<String> {
        let key = id.split(':').next().unwrap_or_default();
        if key == PROXY_STATEMENT_ID {
            return None;
        }
        let known = self.lock();
        let is_valid = match known.by_key.get(key) {
            Some(workspaces) => workspaces.contains(user),
            // A client of a public route, whose connection names no workspace.
            None => !known.names.contains(user),
        };
        (!is_valid).then(|| format!("request {id} ran on a connection of {user}"))
    }
}
