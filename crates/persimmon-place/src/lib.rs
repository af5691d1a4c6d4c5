//! Where a statement runs, how fresh a copy must be, and what follows a failure.
//!
//! Invariants:
//!
//! - Nothing here does I/O or reads a clock; the caller passes the time.
//! - A floor is returned only from a sample that was asked for inside the allowed age.
//! - A statement that may have run is never sent again unless it only reads.

mod connections;
mod freshness;
mod gate;
mod greetings;
mod placing;
mod retry;
mod typical;

pub use connections::Keep;
pub use freshness::{Sample, Samples};
pub use gate::{Admission, Gate};
pub use greetings::{Greetings, InUse};
pub use placing::{Candidate, Load, choose};
pub use retry::{Attempt, Failure, Next, after_failure, refused_with};
pub use typical::Typical;
