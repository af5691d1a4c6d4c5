//! Brings versions of the table into force and relays them between daemons.
//!
//! Invariants:
//!
//! - The version in force only rises, whoever shows an older one.
//! - A table with any problem is refused whole; the one in force stays.
//! - A daemon passes on only what is in force on itself.

mod delta;
mod plugin;

pub use delta::{apply, between};
pub use plugin::Rollout;
