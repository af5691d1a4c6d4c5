//! Activates new versions of the table and relays them between daemons.
//!
//! Invariants:
//!
//! - The active version only rises; older versions are ignored, whatever their source.
//! - A table with any problem is refused as a whole, and the active table stays.
//! - A daemon relays only its own active version.

mod delta;
mod plugin;

pub use delta::{apply_delta, compute_delta};
pub use plugin::Rollout;
