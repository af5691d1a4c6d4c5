//! Calls between daemons, over `tarpc`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{Instance, Table};
use persimmon_types::{Position, Time};
use serde::{Deserialize, Serialize};
use tarpc::{client, serde_transport};
use thiserror::Error;

use crate::drain_notices::DrainNotice;
use crate::metrics::Metrics;
use crate::peer_json::PeerJson;
use crate::relay::{RelayReply, RelayedKind, WireRevision};
use crate::wire_member::{WireMember, WireMembers};

/// Maximum message size in bytes, enough for a table of some thousand routes.
pub(crate) const FRAME_LIMIT: usize = 8 << 20;

/// A daemon's state, for peers that cannot reach the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct DaemonState {
    pub(crate) table: Option<Table>,
    /// The latest era of the store in which it had the table.
    #[serde(default)]
    pub(crate) table_era: u64,
    /// How long the store has lacked the table after a restore, in milliseconds; zero while it has
    /// it.
    #[serde(default)]
    pub(crate) table_lost_ms: u64,
    /// The instances with the numbers of their entries' revisions.
    pub(crate) instances: Vec<(u64, Instance)>,
    /// The rest of what orders each entry of `instances`; empty from a daemon that knows of no eras.
    #[serde(default)]
    pub(crate) origins: Vec<EntryOrigin>,
    /// The daemon itself and the peers that it knows; absent before it is sent.
    pub(crate) introduction: Option<Introduction>,
    /// Whether the store answered the daemon's latest call to it.
    pub(crate) is_current: bool,
}

/// From where a directory entry comes.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct EntryOrigin {
    /// The store's era in which it was received.
    pub(crate) era: u64,
    /// The instance's own counter of reports.
    pub(crate) sequence: u64,
}

/// A daemon, and the members that it knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Introduction {
    pub(crate) own: WireMember,
    /// All known members; empty if the caller knows the same ones.
    pub(crate) members: WireMembers,
    /// The daemon's active version of the table; zero if it has none or does not tell.
    #[serde(default)]
    pub(crate) table: u64,
    /// DrainNotices of instances that leave.
    #[serde(default)]
    pub(crate) drain_notices: Vec<WireDrainNotice>,
}

/// That an instance leaves, with the age of its drain notice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireDrainNotice {
    pub(crate) instance: Arc<str>,
    pub(crate) born_ms: u64,
    pub(crate) age_ms: u64,
}

impl WireDrainNotice {
    /// The form in which `notice` is sent at `now`.
    pub(crate) fn new(notice: &DrainNotice, now: Time) -> Self {
        let age_ms = now.since(notice.since).as_millis();
        Self {
            instance: Arc::clone(&notice.instance),
            born_ms: notice.born_ms,
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
        }
    }

    /// The notice, received in answer to a call that was sent at `requested_at`.
    pub(crate) fn received(self, requested_at: Time) -> DrainNotice {
        DrainNotice {
            instance: self.instance,
            born_ms: self.born_ms,
            since: requested_at - Duration::from_millis(self.age_ms),
        }
    }
}

/// A sample of a primary's position, with its age at the daemon that took it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct SharedSample {
    pub(crate) position: Position,
    /// Microseconds since the sample was requested, on the monotonic clock of the daemon that took
    /// it.
    pub(crate) age_us: u64,
}

#[tarpc::service]
pub(crate) trait PeerService {
    /// Returns the table if it is newer than the version `table`, the directory, and the known
    /// peers; `members` is the fingerprint of the peers that the caller knows.
    async fn know(from: WireMember, table: u64, members: u64) -> DaemonState;

    /// Returns this daemon and the known peers; `members` is the fingerprint of those that the
    /// caller knows.
    async fn meet(from: WireMember, members: u64) -> Introduction;

    /// Waits for changes of the store's objects after `revision`; zero requests a listing.
    async fn changes(kind: RelayedKind, revision: WireRevision) -> RelayReply;

    /// Returns the changes of the store's objects after `revision` without waiting, as far as this
    /// daemon knows them; zero requests a listing.
    async fn check(kind: RelayedKind, revision: WireRevision) -> RelayReply;

    /// Tells a daemon that may hold the promotion lock of a service that statements fail at its
    /// primary.
    async fn suspect(service: Arc<str>, instance: Arc<str>);

    /// Returns whether an instance answers this daemon; `None` if that cannot be determined.
    async fn reaches(instance: Arc<str>) -> Option<bool>;

    /// Returns a sample of a primary's position that is at most `max_age_us` microseconds old.
    async fn sample(service: Arc<str>, max_age_us: u64) -> Option<SharedSample>;
}

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// The peer does not accept the connection.
    #[error("not connected: {0}")]
    Connect(#[from] io::Error),
    /// The connection failed during the call.
    #[error("no answer: {0}")]
    Call(#[from] client::RpcError),
    /// The peer did not answer in time.
    #[error("no answer in time")]
    TimedOut,
}

/// Connects to a peer.
pub(crate) async fn connect(metrics: &Metrics, peer: SocketAddr) -> io::Result<PeerServiceClient> {
    Metrics::increment(&metrics.peer_connections);
    let mut connecting = serde_transport::tcp::connect(peer, PeerJson::default);
    connecting.config_mut().max_frame_length(FRAME_LIMIT);
    let transport = connecting.await?;
    Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
}
