//! Detects a failed primary, seals its term, promotes the replica with the highest position and
//! publishes it as the new primary.
//!
//! Invariants:
//!
//! - An instance is promoted only after a majority of the group's instances has been sealed in the
//!   same term, and only if it has the highest position among them.
//! - A daemon promotes at most one instance in a term.
//! - A daemon acts only in a term reserved for it alone by a conditional update of the group's
//!   record. Terms are reserved before a failure where possible, so that a failover works while the
//!   store is unavailable.

mod assignment;
mod config;
mod group;
mod monitor;
mod plugin;
mod promotion_phase;
mod repair;
mod writer;

pub use config::{DisabledSafeguard, FailoverConfig};
pub use plugin::Failover;
