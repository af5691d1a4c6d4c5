//! Test harness: a fake platform, fake database instances, a fault-injecting proxy and the
//! benchmarks.
//!
//! Nothing here ships. Invariant: a fake counts and enforces limits by itself, so that a check
//! never relies on data from the daemon under test.

pub mod bench;
pub mod cluster;
pub mod deployment;
pub mod fault_proxy;
pub mod history;
pub mod http;
pub mod instance;
pub mod line_cluster;
mod pgclient;
pub mod platform;
pub mod process;
pub mod writers;

// The kernel of the slope benchmark runs with all plug-ins of the daemon.
use persimmon_failover as _;
use persimmon_membership as _;
use persimmon_rollout as _;

pub use cluster::{Cluster, ClusterConfig, wait_until};
pub use deployment::Deployment;
pub use history::{History, ReportedOutcome, Violation};
pub use pgclient::{PgClient, QueryResult};
pub use writers::Writers;
