//! What the store says of routes, services and instances.

use std::collections::HashMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::store::Object;

/// How fresh a route's reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// Every acknowledged commit is seen.
    Latest,
    /// Every commit is seen that was acknowledged more than this long before the read.
    Bounded(Duration),
    /// As [`Freshness::Bounded`], and every commit of the same session.
    Session(Duration),
}

impl Freshness {
    /// How old a read may be at the most.
    #[must_use]
    pub fn max_age(self) -> Duration {
        match self {
            Self::Latest => Duration::ZERO,
            Self::Bounded(age) | Self::Session(age) => age,
        }
    }
}

/// One row of the operators' table: the database that callers name, and how it is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name that callers use.
    pub database: Arc<str>,
    /// The service that serves it.
    pub service: Arc<str>,
    /// How fresh its reads must be.
    pub freshness: Freshness,
    /// How long one statement may take.
    pub statement_timeout: Duration,
    /// The objective for a whole operation.
    pub target: Duration,
    /// 0 is the most important.
    pub priority: u8,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that an instance takes from all daemons together.
    pub max_connections: u32,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub is_synchronous: bool,
}

/// One version of the operators' table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Rises with every change.
    pub version: u64,
    /// Routes by the database that they serve.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// How long a transaction may rest before it may be ended.
    pub tx_idle: Duration,
}

/// The role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows a primary.
    Replica,
}

/// An entry of the instance directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its identity.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// How many statements it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Its role, as it sees itself.
    pub role: Role,
    /// The wall-clock millisecond at which its process began; tells two processes of one identity
    /// apart.
    pub born_ms: u64,
}

/// Why an object of the store says nothing usable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("object {name}: {problem}")]
pub struct DecodeError {
    /// The object.
    pub name: Arc<str>,
    /// What is wrong with it.
    pub problem: String,
}

/// Decodes objects of the store.
pub trait Catalogue: Debug + Send + Sync {
    /// Whether an object is the one that holds the operators' table.
    fn is_table(&self, object: &Object) -> bool;

    /// Decodes the operators' table.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or has another type.
    fn table(&self, object: &Object) -> Result<Table, DecodeError>;

    /// Decodes an entry of the instance directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry names no usable instance.
    fn instance(&self, object: &Object) -> Result<Instance, DecodeError>;
}
