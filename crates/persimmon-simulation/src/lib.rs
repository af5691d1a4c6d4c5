//! Deterministic simulation of the sans-I/O state machines against fake instances and a fake
//! store, with a checker, for the fault matrix.
//!
//! Invariants:
//!
//! - A run is determined by its seed, its faults and the safeguards that are disabled.
//! - The checker sees only the outcomes reported to clients and the logs of the fake instances.

mod checker;
mod client;
mod fault;
mod instance;
mod simulation;
mod store;

pub use checker::{ReportedOutcome, Violation};
pub use fault::{FAULTS, Fault};
pub use simulation::{DisabledSafeguards, Report, Scenario, Simulation};
