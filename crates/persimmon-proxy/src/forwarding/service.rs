//! Calls between a daemon and the owner of a service, over `tarpc`.

use std::io;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use crate::forwarding::wire::{WireAnswer, WireCode, WireFailure, WireMode, WireStatement};
use crate::quota::{WireQuotaAnswer, WireQuotaRequest};
use crate::socket;

/// Maximum message size in bytes: a client's message and its answer, each at most 1 MiB, with what
/// JSON adds to escape them.
const FRAME_LIMIT: usize = 4 << 20;

/// Why a daemon did not run a forwarded statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Refusal {
    /// The daemon is shutting down.
    Draining,
    /// The daemon knows no instance of the service.
    UnknownService,
    /// The daemon does not have the transaction; if it had, it is rolled back.
    UnknownTransaction,
}

/// A statement outside a transaction, or the first one of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExecuteRequest {
    pub(crate) statement: WireStatement,
    pub(crate) mode: WireMode,
    /// The number on this connection of the transaction that it opens, if it opens one.
    pub(crate) transaction: u64,
}

/// The outcome of [`ExecuteRequest`], with the details that the caller logs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExecuteReply {
    pub(crate) result: Result<WireAnswer, WireCode>,
    /// Whether the transaction is open.
    pub(crate) has_transaction: bool,
    pub(crate) instance: Option<Arc<str>>,
    pub(crate) mode: WireMode,
    pub(crate) attempts: u32,
    pub(crate) after: Option<persimmon_types::Position>,
    pub(crate) failure: Option<Arc<str>>,
    pub(crate) congestion_ms: Option<f64>,
    pub(crate) retry_after_us: u64,
    pub(crate) min_position_wait_us: u64,
    pub(crate) connection_wait_us: u64,
    pub(crate) commit_position: Option<persimmon_types::Position>,
    /// Whether it was sent to no instance.
    #[serde(default)]
    pub(crate) was_not_sent: bool,
    /// The time of the answer on the owner's clock, in microseconds.
    #[serde(default)]
    pub(crate) clock_us: u64,
}

/// A later statement of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ContinueRequest {
    pub(crate) statement: WireStatement,
    pub(crate) transaction: u64,
    /// Whether an earlier statement of the transaction may have changed data.
    pub(crate) has_written: bool,
}

/// The outcome of [`ContinueRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ContinueReply {
    pub(crate) result: Result<WireAnswer, WireFailure>,
    pub(crate) attempts: u32,
    pub(crate) commit_position: Option<persimmon_types::Position>,
}

#[tarpc::service]
pub(crate) trait ForwardService {
    /// Runs a statement.
    async fn execute(request: ExecuteRequest) -> Result<ExecuteReply, Refusal>;

    /// Runs a later statement of a transaction of this connection.
    async fn continue_transaction(request: ContinueRequest) -> Result<ContinueReply, Refusal>;

    /// Rolls a transaction of this connection back, if it is open.
    async fn rollback(transaction: u64);

    /// Returns at once.
    async fn ping();

    /// Returns the time on the daemon's clock, in microseconds.
    async fn clock() -> u64;

    /// Leases the caller's share of the quotas and requests tokens; `None` if the daemon does not
    /// coordinate.
    async fn quota(request: WireQuotaRequest) -> Option<WireQuotaAnswer>;
}

/// A connection between two daemons, framed for messages in each direction.
pub(crate) type Framed<In, Out> = Transport<TcpStream, In, Out, Json<In, Out>>;

/// Frames a connection for messages.
///
/// # Errors
///
/// Returns an error if the socket refuses an option.
pub(crate) fn frame<In, Out>(stream: TcpStream) -> io::Result<Framed<In, Out>>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    socket::set_options(&stream, true)?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
    let framed = tarpc::tokio_util::codec::Framed::new(stream, codec);
    Ok(serde_transport::new(framed, Json::default()))
}
