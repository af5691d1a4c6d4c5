//! Quotas of workspaces over all daemons, without I/O.
//!
//! Every registered daemon leases its equal share of each quota to a coordinator, which grants
//! tokens that expire. docs/design/quotas.md contains the proof of the bound.
//!
//! Invariants:
//!
//! - A daemon's share is leased to at most one coordinator at any time, and to none once the daemon may
//!   have been removed from the record.
//! - The fills of all coordinators together never exceed one.
//! - An operation that is sent to an instance holds a token that has not expired.

mod account;
mod bucket;
mod coordinator;
mod fleet;
mod limit;
mod member;
mod message;
mod record;
mod registration;
mod retirement;

pub use account::{Decision, Token};
pub use coordinator::Coordinator;
pub use fleet::{Fleet, Retiring, later_fleet};
pub use limit::{Bounds, LEASE_TIME, Limit, MAX_VALIDITY, RECORD_TIME, REGISTRATION_TIME};
pub use member::{Member, WorkspaceState};
pub use message::{Answer, Claim, Grant, Request, Want};
pub use record::{FleetRecord, RecordChange};
