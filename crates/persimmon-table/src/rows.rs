//! One row type for each section of the table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::{PlaceId, ServiceId};

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceRow {
    /// The name, unique in its section.
    pub name: Arc<str>,
    /// The region that the place belongs to.
    pub region: Arc<str>,
}

/// A database group that callers reach by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRow {
    /// The name, unique in its section; callers give it as the database name.
    pub name: Arc<str>,
    /// Whether plain `SELECT` statements may go to replicas.
    pub replica_reads: bool,
    /// How old a replica's data may be for a read that asks for nothing else.
    pub staleness: Duration,
    /// How many requests may wait for a connection on one daemon.
    pub queue: usize,
    /// How many daemons share the caps of the service's instances.
    pub daemons: u32,
}

/// Whether an instance receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// It receives work.
    Serving,
    /// It finishes what it has and receives nothing new.
    Leaving,
}

/// A backend server: one instance of a database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRow {
    /// The name, unique in its section.
    pub name: Arc<str>,
    /// The service it belongs to.
    pub service: ServiceId,
    /// The place it stands in.
    pub place: PlaceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its share of reads relative to its peers; zero takes none.
    pub read_weight: u32,
    /// How many connections it may take from all daemons together.
    pub connections: u32,
    /// How many statements it executes at once.
    pub slots: u32,
    /// Whether it receives new work.
    pub state: InstanceState,
}

/// How long work of a kind usually takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// It is waited for.
    Short,
    /// It runs many times longer than short work.
    Long,
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindRow {
    /// The name, unique in its section; `default` applies to statements that name no kind.
    pub name: Arc<str>,
    /// Whether it is short or long.
    pub length: Length,
    /// How long a request may wait before it begins.
    pub wait: Duration,
    /// How long a request may take from its arrival.
    pub deadline: Duration,
}
