//! Instance selection, admission control, read freshness and retry decisions of one daemon.
//!
//! Invariants:
//!
//! - Nothing here does I/O or reads a clock; the caller passes the time.
//! - A minimum position is returned only from a sample that was requested within the allowed age.
//! - A statement that may have run is never sent again unless it only reads.

mod admission;
mod concurrency;
mod connection_order;
mod dispatch;
mod freshness;
mod handshakes;
mod idle_connections;
mod latency;
mod retry;
mod selection;
mod workspace_connections;
mod workspace_demand;
mod workspace_limits;

pub use admission::{Admission, AdmissionController};
pub use concurrency::ConcurrencyLimit;
pub use connection_order::{ConnectionRank, ConnectionWaiters, WaiterId};
pub use dispatch::{
    DispatchQueue, Dispatched, Forecast, Offer, QueueClass, QueueEntry, QueueRefusal,
    QueueRefusalReason, Ticket, bounded_limit,
};
pub use freshness::{PositionSample, PositionSamples};
pub use handshakes::{ConnectionCounts, ConnectionLimits, HandshakeLimiter};
pub use idle_connections::IdleConnectionPolicy;
pub use latency::LatencyBaseline;
pub use retry::{AttemptFailure, AttemptKind, RetryDecision, after_failure, final_error_code};
pub use selection::{Candidate, InstanceLoad, choose_instance};
pub use workspace_connections::{OpeningDecision, WorkspaceConnections, WorkspaceName};
pub use workspace_limits::WorkspaceLimits;
