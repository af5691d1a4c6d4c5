//! The row types of the table's sections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::{FailureDomainId, ServiceId};

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureDomainRow {
    /// The name, unique within the section.
    pub name: Arc<str>,
    /// The region of the failure domain.
    pub region: Arc<str>,
}

/// A database group, which clients address by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRow {
    /// The name, unique within the section; clients use it as the database name.
    pub name: Arc<str>,
    /// Whether plain `SELECT` statements may be routed to replicas.
    pub replica_reads: bool,
    /// The default maximum staleness of a replica read.
    pub max_staleness: Duration,
    /// The maximum number of requests that wait for a connection on one daemon.
    pub max_queued: usize,
    /// The expected number of daemons; they share the connection limits of the service's instances.
    pub expected_daemons: u32,
}

/// Whether an instance receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// It receives new work.
    Serving,
    /// It is draining: it finishes its current work and receives no new work.
    Draining,
}

/// A backend server: one instance of a database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRow {
    /// The name, unique within the section.
    pub name: Arc<str>,
    /// The service to which the instance belongs.
    pub service: ServiceId,
    /// The failure domain of the instance.
    pub failure_domain: FailureDomainId,
    /// The address on which the instance listens.
    pub address: SocketAddr,
    /// The instance's share of reads relative to the service's other instances; zero means none.
    pub read_weight: u32,
    /// The maximum number of connections from all daemons together.
    pub max_connections: u32,
    /// The number of statements that the instance executes concurrently.
    pub slots: u32,
    /// Whether it receives new work.
    pub state: InstanceState,
}

/// The usual duration of a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestLength {
    /// Clients wait for the result.
    Short,
    /// Requests take many times longer than short ones.
    Long,
}

/// A request class, which has its own wait limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClassRow {
    /// The name, unique within the section; `default` applies to statements that name no class.
    pub name: Arc<str>,
    /// The usual duration of the class's requests.
    pub length: RequestLength,
    /// The maximum time that a request waits before it begins.
    pub max_wait: Duration,
    /// The maximum duration of a request, counted from its arrival.
    pub deadline: Duration,
}
