//! Decides which daemons hold the connections to a service's instances, by which path a statement
//! reaches them, and which daemons watch the store for the others. No I/O.
//!
//! Handles fleets in which daemons outnumber the connections that an instance accepts. If every
//! daemon connects to every instance, nearly each statement opens a connection, and each daemon
//! observes too little of an instance's load to limit its own. Here a few daemons of each failure
//! domain, the owners, connect to a service's instances and run the statements of the others.
//!
//! Invariants:
//!
//! - Ownership decides cost, never correctness: two daemons that compute different owners open more
//!   connections, and nothing else.
//! - A statement is forwarded at most once.

mod change_feed;
mod forwarding;
mod link_health;
mod member;
mod owners;
mod watch_source;

pub use change_feed::{ChangeFeed, Since};
pub use forwarding::{HopFailure, Path, after_hop, choose_path};
pub use link_health::LinkHealth;
pub use member::{Member, MemberList};
pub use owners::{OwnerTable, ServiceOwners, needs_owners};
pub use watch_source::{
    SourceChooser, WATCHER_KEY, WatchSource, WatcherFailure, needs_watchers, watchers,
};
