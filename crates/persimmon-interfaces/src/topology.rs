//! Routes, services and instances, decoded from the objects of the store.

use std::collections::HashMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_workspace::{ClientKey, Workspace, WorkspaceDirectory};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::store::Object;

/// How fresh a route's reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// Reads see every acknowledged commit.
    Latest,
    /// Reads see every commit that was acknowledged more than this long before the read.
    Bounded(Duration),
    /// As [`Freshness::Bounded`]; reads also see every earlier commit of their own session.
    Session(Duration),
}

impl Freshness {
    /// The largest staleness that a read may have; zero for [`Freshness::Latest`].
    #[must_use]
    pub fn max_age(self) -> Duration {
        match self {
            Self::Latest => Duration::ZERO,
            Self::Bounded(age) | Self::Session(age) => age,
        }
    }
}

/// One route of the operators' table: a database that clients name, and how it is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The database name that clients use.
    pub database: Arc<str>,
    /// The name of the service that serves it.
    pub service: Arc<str>,
    /// The freshness that its reads require.
    pub freshness: Freshness,
    /// The time limit of one statement.
    pub statement_timeout: Duration,
    /// The latency objective of a whole operation, such as a transaction.
    pub target: Duration,
    /// Priority of its statements; 0 is the most important.
    pub priority: u8,
    /// Whether clients need no key.
    #[serde(default)]
    pub is_public: bool,
}

/// A database group: a primary and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Connections that one instance accepts from all daemons together.
    pub max_connections: u32,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub is_synchronous: bool,
}

/// One version of the operators' table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The version number, which rises with every change.
    pub version: u64,
    /// Routes by database name.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// How long a transaction may be idle before the proxy may end it.
    pub tx_idle: Duration,
    /// The workspaces; `None` in a deployment that has none, where clients need no key.
    #[serde(default)]
    pub workspaces: Option<Arc<WorkspaceDirectory>>,
}

/// The error for a key that identifies no workspace on a route that requires one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the key identifies no workspace")]
pub struct UnknownKey;

/// Why a daemon does not run a statement that another daemon forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallerMismatch {
    /// The route needs a workspace and the key identifies none.
    #[error("the key identifies no workspace")]
    UnknownKey,
    /// The sender runs it for another workspace than the newer table names, or for none where the newer
    /// table requires one.
    #[error("the statement belongs to another workspace")]
    OtherWorkspace,
}

impl Table {
    /// Returns this older table without the keys that `newer`, which is given up for it, does not hold
    /// for the same workspace: keys that were removed meanwhile must not identify anyone again.
    #[must_use]
    pub fn without_removed_keys(mut self, newer: &Self) -> Self {
        self.workspaces = match (self.workspaces, &newer.workspaces) {
            (Some(older), Some(newer)) => Some(Arc::new(older.without_removed_keys(newer))),
            (None, Some(newer)) => Some(Arc::clone(newer)),
            (workspaces, None) => workspaces,
        };
        self
    }

    /// Checks the workspace of a statement that a daemon forwards whose active version is
    /// `sender_version`. A sender with a newer table is trusted; `caller` is the workspace and the key
    /// that the sender found, and `route` the sender's route, which counts only if this table has none
    /// for the database.
    ///
    /// # Errors
    ///
    /// Returns an error if this table does not allow the statement to run for that workspace.
    pub fn check_forwarded(
        &self,
        route: &Route,
        caller: Option<(&str, ClientKey)>,
        sender_version: u64,
    ) -> Result<(), CallerMismatch> {
        if self.version < sender_version {
            return Ok(());
        }
        let own_route = self.routes.get(&route.database).map_or(route, |own| &**own);
        let Some(workspaces) = self.workspaces.as_ref().filter(|_| !own_route.is_public) else {
            return Ok(());
        };
        let Some((name, key)) = caller else {
            return Err(CallerMismatch::OtherWorkspace);
        };
        match workspaces.find(key) {
            None => Err(CallerMismatch::UnknownKey),
            Some(workspace) if &*workspace.name != name => Err(CallerMismatch::OtherWorkspace),
            Some(_) => Ok(()),
        }
    }

    /// The workspace for which a client with `key` uses `route`; `None` if the route needs none.
    ///
    /// # Errors
    ///
    /// Returns an error if the route needs a workspace and the key identifies none.
    pub fn workspace(
        &self,
        route: &Route,
        key: ClientKey,
    ) -> Result<Option<&Arc<Workspace>>, UnknownKey> {
        let Some(workspaces) = self.workspaces.as_ref().filter(|_| !route.is_public) else {
            return Ok(None);
        };
        workspaces.find(key).map(Some).ok_or(UnknownKey)
    }
}

/// The role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary and serves reads.
    Replica,
}

/// An entry of the instance directory: one backend server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's identity, which survives restarts of its process.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The number of statements that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining, that is, about to leave the service.
    pub is_draining: bool,
    /// Its role by its own account.
    pub role: Role,
    /// Wall-clock start time of its process in milliseconds; distinguishes two processes of the
    /// same identity.
    pub born_ms: u64,
}

/// What an instance wrote of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// The instance.
    pub instance: Instance,
    /// Rises with each report of one process of the instance.
    pub sequence: u64,
}

/// The error for an object of the store that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("object {name}: {problem}")]
pub struct DecodeError {
    /// The object's name.
    pub name: Arc<str>,
    /// What is wrong with the object.
    pub problem: String,
}

/// Decodes the objects of the store; implemented by the adapter.
pub trait ObjectDecoder: Debug + Send + Sync {
    /// Whether an object holds the operators' table.
    fn is_table(&self, object: &Object) -> bool;

    /// Decodes the operators' table.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or has another type.
    fn decode_table(&self, object: &Object) -> Result<Table, DecodeError>;

    /// Decodes an entry of the instance directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry doesn't describe a usable instance.
    fn decode_instance(&self, object: &Object) -> Result<InstanceReport, DecodeError>;
}
