//! Proxies client sessions to database instances over the interfaces of `persimmon-interfaces`.
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

mod active_table;
mod adapter;
mod client_connection;
mod client_limits;
mod connection;
mod connection_waiter;
mod control;
mod directory;
mod dispatch_metrics;
mod dispatcher;
mod drain;
mod drain_notices;
mod execute;
mod forwarding;
mod http;
mod logging;
mod memory_budget;
mod metrics;
mod peer_json;
mod peer_list;
mod peer_service;
mod pool;
mod primaries;
mod quota;
mod reachability;

mod relay;
mod round_trip;
mod run;
mod sampling;
mod session;
mod settings;
mod snapshot;
mod socket;
mod statement_job;
mod table_checks;
mod traffic;
mod transaction;
mod wire_member;

pub use active_table::{ActiveTable, LOST_TABLE_RETENTION, TableOutcome};
pub use adapter::{Adapter, PlatformClients};
pub use client_limits::{
    ANSWER_TIMEOUT, ClientLimits, MESSAGE_TIMEOUT, Phase, SessionView, session_to_close,
    unread_to_close,
};
pub use directory::{Directory, EntryVersion};
pub use drain::ShutdownSchedule;
pub use drain_notices::DrainNotice;
pub use logging::{LineBudget, LogBudget, start_logging};
pub use memory_budget::{MemoryBudget, MemoryShare};
pub use metrics::Metrics;
pub use peer_list::PeerList;
pub use quota::QuotaMetrics;
pub use reachability::Reachability;
pub use run::run;
pub use session::state::{SessionState, StateLimit};
pub use settings::{QuotaBounds, Settings, session_state_limits};
pub use snapshot::{DirectoryEntry, RoutingSnapshot};
pub use socket::connect;
pub use table_checks::is_check_due;
