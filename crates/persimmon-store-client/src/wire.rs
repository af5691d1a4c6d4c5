//! Request and response bodies of version 1 of the platform's HTTP/JSON API.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An object, as returned by `GET /v1/objects/KEY`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key.
    pub key: Arc<str>,
    /// The object's version, which increases with every write.
    pub version: u64,
    /// The object's value.
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

/// The response to a successful `PUT /v1/objects/KEY`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// The object's version after the write.
    pub version: u64,
}

/// The response to `GET /v1/watch?after=REVISION&wait_ms=N`: the objects written after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The store's revision, from which to watch next.
    pub revision: u64,
    /// The changed objects in their latest versions.
    pub objects: Vec<Object>,
}

/// A host on which a daemon runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the daemon on this host.
    pub name: Arc<str>,
    /// The daemon's address for peer messages.
    pub peers: SocketAddr,
    /// The daemon's address for the administration API.
    pub admin: SocketAddr,
    /// Whether the host is draining: the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}

/// The response to `GET /v1/hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// The list of hosts, which may be out of date.
    pub hosts: Vec<Host>,
}
