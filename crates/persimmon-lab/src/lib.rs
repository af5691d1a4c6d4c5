//! Stand-ins of the platform and of database groups, a fault-injecting proxy and the load tool.
//!
//! Nothing here ships. Invariant: a stand-in counts and enforces by itself, so that a check never
//! rests on the word of the daemon that it checks.

pub mod bench;
pub mod cluster;
pub mod deployment;
pub mod history;
pub mod http;
pub mod instance;
mod pgclient;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod seam;
pub mod writers;

// The slopes run a kernel with every plug-in that the daemon has.
use persimmon_failover as _;
use persimmon_member as _;
use persimmon_rollout as _;

pub use cluster::{Cluster, ClusterConfig, wait_until};
pub use deployment::Deployment;
pub use history::{History, Told, Violation};
pub use pgclient::{PgClient, QueryResult};
pub use writers::Writers;
