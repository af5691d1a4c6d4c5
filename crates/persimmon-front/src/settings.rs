//! What a daemon is told when it starts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The daemon's name, unique among hosts.
    pub name: Arc<str>,
    /// The failure domain of the host.
    pub domain: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the daemon takes new callers.
    pub readiness: SocketAddr,
    /// Where other daemons connect.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Peers to ask first; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// The object store.
    pub store: SocketAddr,
    /// The authority that promotes instances.
    pub authority: SocketAddr,
    /// How long an instance that is leaving may still receive requests.
    pub leaving_limit: Duration,
    /// How long the process lives after it was asked to stop.
    pub stop_limit: Duration,
    /// How long a duty is granted for, or zero if it is not bound to a time.
    pub lease: Duration,
}
