//! A randomized fault-injection soak test: real daemon processes, faults injected from outside, and
//! guarantees checked by clients and instances.
//!
//! Invariants:
//!
//! - The plan of faults is determined by the seed alone. The timing of the processes is not, so a
//!   failed run keeps its logs besides its seed.
//! - Signals go only to processes that the soak started, by process id.

pub mod changes;
mod clients;
pub mod ends;
mod fleet;
mod keys;
mod plan;
mod run;

pub use clients::OutcomeCounters;
pub use plan::{Fault, Plan, Step};
pub use run::{Options, Report, run};
