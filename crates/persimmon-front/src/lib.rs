//! Proxies client sessions to database instances over the interfaces of `persimmon-ports`.
//!
//! One thread serves traffic; another follows the store and coordinates promotions. They share an
//! immutable [`RoutingSnapshot`], a channel of suspicions, and counters.
//!
//! Invariants:
//!
//! - Traffic never waits for the store.
//! - A connection to an instance belongs to one session from its first message to its last answer;
//!   it is reused only if every answer was complete.
//! - No state outlives the process.

mod carry;
mod control;
mod directory;
mod drain;
mod exchange;
mod job;
mod link;
mod logging;
mod metrics;
mod ops;
mod outside;
mod peer_list;
mod peer_service;
mod pool;
mod primaries;
mod reach;
mod run;
mod sampling;
mod session;
mod settings;
mod socket;
mod traffic;

mod view;

pub use directory::Directory;
pub use logging::{LineBudget, LogBudget, start_logging};
pub use metrics::Metrics;
pub use outside::{Adapter, PlatformClients};
pub use peer_list::PeerList;
pub use reach::Reachability;
pub use run::run;
pub use settings::Settings;
pub use socket::connect;
pub use view::{DirectoryEntry, RoutingSnapshot};
