//! Ends of sessions that are not their clients' own, and the check that no request is lost with them.
//!
//! Invariants:
//!
//! - A request that was sent whole on an open session gets a complete answer. Each case in which it may
//!   go without one is an [`Exemption`] with its reason, and is counted.
//! - A daemon's process ends only if it was killed or asked to stop.

pub(crate) mod clients;
pub(crate) mod crowd;
mod cut;
pub(crate) mod logs;
pub(crate) mod processes;
pub(crate) mod table;

pub use cut::{Cut, Exemption, Process, Verdict, verdict};
pub use logs::LoggedCut;
pub use processes::EndReport;
