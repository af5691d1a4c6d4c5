//! The settings of a daemon.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::client_limits::ClientLimits;

/// Part of a host's memory for the values and prepared statements of sessions.
const SESSION_STATE_PART: usize = 8;

/// Memory for them on a host whose memory is not known, in bytes.
const DEFAULT_SESSION_STATE: usize = 16 << 20;

/// Part of that memory that one session may use.
const SESSION_PART: usize = 4;

/// Returns the memory for the values and prepared statements of one session, and of all sessions, on
/// a host with `memory` bytes.
#[must_use]
pub fn session_state_limits(memory: Option<usize>) -> (usize, usize) {
    let total = memory.map_or(DEFAULT_SESSION_STATE, |memory| memory / SESSION_STATE_PART);
    (total / SESSION_PART, total)
}

/// How far the operations of a workspace may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The length of the sliding window over which a quota holds.
    pub window: Duration,
    /// The part of the quota by which it may be exceeded.
    pub overage: f64,
    /// The operations by which it may be exceeded besides.
    pub slack: f64,
}

/// The settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The daemon's name, unique among hosts.
    pub name: Arc<str>,
    /// The failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Listen address for clients.
    pub clients: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    /// Listen address for statements that other daemons forward, on the same port on every host;
    /// `None` if this daemon neither forwards statements nor runs those of others.
    pub forwarding: Option<SocketAddr>,
    /// The host's address to bind for other daemons, where it is not the one that they connect to.
    pub peer_bind: Option<IpAddr>,
    /// Processor capacity of the host, in thousandths of a core.
    pub capacity: u32,
    /// What clients may occupy.
    pub client_limits: ClientLimits,
    /// Maximum size of the values and prepared statements of one session, in bytes.
    pub session_state_limit: usize,
    /// The same of all sessions together.
    pub session_state_total: usize,
    /// Listen address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Addresses of the peers to contact first; they may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Address of the object store.
    pub store: SocketAddr,
    /// Address of the authority that promotes instances.
    pub authority: SocketAddr,
    /// How far quotas may be exceeded; `None` in a deployment without quotas.
    pub quota: Option<QuotaBounds>,
    /// How long a draining instance may still receive requests.
    pub instance_drain_limit: Duration,
    /// How long a change of the table may take to become active on every daemon.
    pub table_apply_limit: Duration,
    /// Maximum time from the stop signal to the end of the process.
    pub shutdown_limit: Duration,
    /// Lease time of a promotion lock; zero if it does not expire.
    pub promotion_lock_lease: Duration,
}
