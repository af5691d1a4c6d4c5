//! Decides where a request goes, what it waits for and what its caller is told.
//!
//! Invariants:
//!
//! - A request that is not known to be a read goes to the primary.
//! - A request is sent again only if it has not run, or it is a read.
//! - A write is delivered only after a majority of the group's instances holds it in its term.
//! - A read is sent only to an instance that is proven to show the session's own writes.
//! - Nothing here performs I/O, reads a clock or draws randomness of its own.

mod budget;
mod classify;
mod exchange;
mod hint;
mod knowledge;
mod policy;
mod route;
mod scan;
mod session;
mod view;

pub use budget::RetryBudget;
pub use classify::{Class, classify};
pub use exchange::{Access, Answer, Env, Exchange, Input, Omission, Request, Step};
pub use hint::{Hint, HintError};
pub use knowledge::{Knowledge, Proof};
pub use policy::{LeastOutstanding, Policy, PowerOfTwo, RoundRobin};
pub use route::{Route, Wanted, route};
pub use session::{Session, SessionMode};
pub use view::{GroupView, View};
