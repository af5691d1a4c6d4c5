//! Detects that a database group needs another primary, and promotes one under a fencing token.
//!
//! Each daemon runs one coordinator per group, which `persimmon-interfaces` calls a service. The
//! daemon that holds the group's promotion lock in the store may promote; the lock's number is the
//! fencing token.
//!
//! Invariants:
//!
//! - A token comes from a conditional write to the store, so that two daemons never hold the same.
//! - A token that was refused is not used again.
//! - A request without an answer may be carried out at any later time. Its token is used for no other
//!   instance until the authority has answered a request of a higher one.
//! - Replicas that were stopped receive again after a promotion, or once none can take effect any more.
//! - An accepted promotion request does not prove a promotion: the instances are queried
//!   afterwards.
//! - Safety depends only on the token and the instances; the timeouts here only affect how soon a
//!   promotion happens.

mod candidate;
mod coordinator;
mod input;
mod outstanding;
mod record;
mod standstill;

pub use candidate::{Asked, choose_candidate, choose_from_closed_log};
pub use coordinator::PromotionCoordinator;
pub use input::{Action, Input, PrimaryInfo, ProbeFinding, PromotionReason, Request};
pub use record::PromotionLockRecord;
pub use standstill::StandstillDetector;
