//! Instance selection, admission control, read freshness and retry decisions of one daemon.
//!
//! Invariants:
//!
//! - Nothing here does I/O or reads a clock; the caller passes the time.
//! - A minimum position is returned only from a sample that was requested within the allowed age.
//! - A statement that may have run is never sent again unless it only reads.

mod connections;
mod freshness;
mod gate;
mod greetings;
mod placing;
mod retry;
mod typical;

pub use connections::IdleConnectionPolicy;
pub use freshness::{PositionSample, PositionSamples};
pub use gate::{Admission, AdmissionController};
pub use greetings::{ConnectionCounts, HandshakeLimiter};
pub use placing::{Candidate, InstanceLoad, choose_instance};
pub use retry::{AttemptFailure, AttemptKind, RetryDecision, after_failure, final_error_code};
pub use typical::LatencyBaseline;
