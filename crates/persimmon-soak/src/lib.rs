//! A randomized soak: real daemons as processes, faults from outside them, promises checked from
//! what callers and instances see.
//!
//! Invariants:
//!
//! - The plan of faults follows from the seed alone; what the operating system does in between does
//!   not, so that a failure is kept with its logs as well as with its seed.
//! - Only processes that the soak started are signalled, by their ids.

mod callers;
mod fleet;
mod plan;
mod run;

pub use callers::Tally;
pub use plan::{Fault, Plan, Step};
pub use run::{Options, Report, run};
