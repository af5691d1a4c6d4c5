//! Finds out which daemons are alive and which of them watch the store for the others.
//!
//! Invariants:
//!
//! - A peer is found dead only on the evidence of two observers, or of one that has no other live
//!   peer to ask.
//! - The platform's list of hosts adds peers and says which are leaving; it never makes one alive
//!   that does not answer.
//! - The number of watchers does not depend on the number of daemons while the store answers.

mod plugin;
mod watch;

pub use plugin::Membership;
