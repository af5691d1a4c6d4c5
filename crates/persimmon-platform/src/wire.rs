//! The bodies of the platform's HTTP/JSON API, version 1.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One object, answered by `GET /v1/objects/KEY`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its key.
    pub key: Arc<str>,
    /// Its version, which rises with every write.
    pub version: u64,
    /// Its value.
    pub value: Arc<str>,
}

/// The body of `PUT /v1/objects/KEY`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The version that the object must have, zero if it must not exist.
    pub expect: u64,
    /// The new value.
    pub value: Arc<str>,
}

/// The answer to an accepted write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// The version that the write made.
    pub version: u64,
}

/// The answer to `GET /v1/watch?after=REVISION&wait_ms=N`: the objects written after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The store's revision, to watch from next.
    pub revision: u64,
    /// The objects in their newest versions.
    pub objects: Vec<Object>,
}

/// One host of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the daemon on it.
    pub name: Arc<str>,
    /// Where the daemon answers its peers.
    pub peers: SocketAddr,
    /// Where the daemon answers its operators.
    pub admin: SocketAddr,
    /// Whether the platform is about to take the host away.
    #[serde(default)]
    pub leaving: bool,
}

/// The answer to `GET /v1/hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// The hosts, which may lag behind reality.
    pub hosts: Vec<Host>,
}
