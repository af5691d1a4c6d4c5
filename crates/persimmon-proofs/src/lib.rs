//! Small fakes at the borders of the decision machines, and a checker, for the fault matrix.
//!
//! Invariants:
//!
//! - A run is determined by its seed, its faults and what is left out.
//! - The checker knows only what callers were told and what the fake instances hold.

mod caller;
mod checker;
mod fault;
mod instance;
mod store;
mod world;

pub use checker::{Told, Violation};
pub use fault::{FAULTS, Fault};
pub use world::{Flow, Omissions, Report, World};
