//! Calls between a daemon and the owner of a service, over `tarpc`.

use std::sync::Arc;

use persimmon_interfaces::CallerMismatch;
use serde::{Deserialize, Serialize};

use crate::forwarding::wire::{
    WireAnswer, WireCode, WireFailure, WireMode, WireQueueReport, WireStatement,
};
use crate::quota::{WireQuotaAnswer, WireQuotaRequest};

/// Why a daemon did not run a forwarded statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Refusal {
    /// The daemon is shutting down.
    Draining,
    /// The daemon knows no instance of the service.
    UnknownService,
    /// The daemon does not have the transaction; if it had, it is rolled back.
    UnknownTransaction,
    /// The key identifies no workspace in a table that is at least as new as the sender's. A
    /// transaction is rolled back.
    UnknownKey,
    /// By such a table the statement belongs to another workspace than the sender says. A transaction is
    /// rolled back.
    OtherWorkspace,
}

impl From<CallerMismatch> for Refusal {
    fn from(mismatch: CallerMismatch) -> Self {
        match mismatch {
            CallerMismatch::UnknownKey => Self::UnknownKey,
            CallerMismatch::OtherWorkspace => Self::OtherWorkspace,
        }
    }
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
    #[serde(default)]
    pub(crate) queue: Option<WireQueueReport>,
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
