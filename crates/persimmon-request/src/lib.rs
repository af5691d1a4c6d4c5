//! Selects the instance for a request, decides what the request waits for, and determines the
//! result that its client receives.
//!
//! Invariants:
//!
//! - A request that is not known to be a read goes to the primary.
//! - A request is retried only if it has not run, or if it is a read.
//! - A write is reported as successful only after a majority of the group's instances has
//!   acknowledged it in its term.
//! - A read is sent only to the primary, or to a replica whose position report shows that it has
//!   applied the session's minimum position.
//! - Nothing here performs I/O, reads a clock or owns a source of randomness.

mod budget;
mod classify;
mod hint;
mod instance_tracker;
mod machine;
mod policy;
mod read_target;
mod scan;
mod session;
mod snapshot;

pub use budget::RetryBudget;
pub use classify::{StatementClass, classify};
pub use hint::{Hint, HintError};
pub use instance_tracker::{InstanceTracker, PositionReport};
pub use machine::{
    Access, AnswerKind, DisabledSafeguard, Input, Request, RequestContext, RequestMachine, Step,
};
pub use policy::{LeastOutstanding, Policy, PowerOfTwo, RoundRobin};
pub use read_target::{ReadRequirements, ReadTarget, select_read_target};
pub use session::{Session, SessionMode};
pub use snapshot::{GroupSnapshot, RoutingSnapshot};
