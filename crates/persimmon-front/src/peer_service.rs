//! What daemons ask each other, over `tarpc`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_ports::{Instance, Table};
use persimmon_types::Position;
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, serde_transport};
use thiserror::Error;

use crate::metrics::Metrics;

/// The largest message, in bytes: a table of some thousand routes.
pub(crate) const FRAME_LIMIT: usize = 8 << 20;

/// What a daemon knows, for one that cannot reach the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Known {
    pub(crate) table: Option<Table>,
    /// Each instance with the revision of its entry.
    pub(crate) instances: Vec<(u64, Instance)>,
    pub(crate) peers: Vec<SocketAddr>,
    /// Whether the store answered the daemon's latest call.
    pub(crate) is_current: bool,
}

/// A sample of a primary's log, with its age at the daemon that took it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct SharedSample {
    pub(crate) position: Position,
    /// Microseconds since the question was sent, on the steady clock of the daemon that sent it.
    pub(crate) age_us: u64,
}

#[tarpc::service]
pub(crate) trait PeerService {
    /// Answers with the table if it is newer than the asker's, with the directory and with peers.
    async fn know(from: SocketAddr, table: u64) -> Known;

    /// Answers with peers only.
    async fn meet(from: SocketAddr) -> Vec<SocketAddr>;

    /// Answers whether an instance answers this daemon's statements; `None` if it sent none lately.
    async fn reaches(instance: Arc<str>) -> Option<bool>;

    /// Answers with a sample of a primary's log that is at most so old.
    async fn sample(service: Arc<str>, max_age_us: u64) -> Option<SharedSample>;
}

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// It accepts no connection.
    #[error("not connected: {0}")]
    Connect(#[from] io::Error),
    /// The connection broke.
    #[error("no answer: {0}")]
    Call(#[from] client::RpcError),
    /// It is silent.
    #[error("no answer in time")]
    TimedOut,
}

/// Connects to a peer.
pub(crate) async fn connect(metrics: &Metrics, peer: SocketAddr) -> io::Result<PeerServiceClient> {
    Metrics::add(&metrics.peer_connections);
    let mut connecting = serde_transport::tcp::connect(peer, Json::default);
    connecting.config_mut().max_frame_length(FRAME_LIMIT);
    let transport = connecting.await?;
    Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
}
