//! Tracks which daemons are alive, and selects those that watch the store for the others.
//!
//! Invariants:
//!
//! - A peer is declared dead only on evidence from two observers, or from one observer that has no
//!   other live peer.
//! - The platform's list of hosts adds peers and marks draining ones. It never marks a dead peer as
//!   alive.
//! - While the store answers, the number of watchers does not depend on the number of daemons.

mod plugin;
mod watch;

pub use plugin::Membership;
