//! Detects a failed primary, seals the old term, promotes the highest replica and publishes it.
//!
//! Invariants:
//!
//! - A promotion follows only the seal of a majority of the group's instances in its own term, and
//!   goes to the instance with the highest position among them.
//! - Under one term a daemon orders the promotion of one instance only.
//! - A term was given to this daemon alone by a conditional update of the group's record, before
//!   the failure where possible, so that the store may be down during the change.

mod change;
mod duty;
mod group;
mod monitor;
mod plugin;
mod repair;
mod rules;
mod writer;

pub use plugin::Failover;
pub use rules::{Omission, Rules};
