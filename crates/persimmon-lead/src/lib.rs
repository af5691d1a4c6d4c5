//! Detects that a service needs another primary, and orders it under a fencing token.
//!
//! Invariants:
//!
//! - A token comes from a conditional write of the store, so that two daemons never hold the same.
//! - A token that was refused is not used again.
//! - What was ordered is never taken for what happened: after an order the instances are asked.
//! - Safety rests on the token and on the instances; the times here only decide how soon.

mod candidate;
mod duty;
mod record;
mod signal;

pub use candidate::{Asked, choose_candidate};
pub use duty::Duty;
pub use record::DutyRecord;
pub use signal::{Action, Finding, Input, Need, Sight};
