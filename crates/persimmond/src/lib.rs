//! The daemon that runs on entry hosts.
//!
//! The control thread runs the kernel and executes its actions. Traffic threads route statements by
//! an immutable routing snapshot and never wait for the control thread.
//!
//! Invariants:
//!
//! - The daemon stores nothing on its host and starts no process.
//! - A traffic thread shares only the routing snapshot, counters and channels with other threads.

pub mod admin;
pub mod backend;
pub mod cancel;
pub mod control;
pub mod counters;
pub mod journal;
pub mod logging;
pub mod runtime;
pub mod settings;
pub mod snapshot;
pub mod traffic;

// These crates register their plug-ins with the kernel when they are linked.
use persimmon_failover as _;
use persimmon_membership as _;
use persimmon_rollout as _;
