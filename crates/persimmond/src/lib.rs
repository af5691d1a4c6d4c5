//! The daemon on entry hosts.
//!
//! One thread runs the kernel and everything it asks for; other threads carry traffic by an
//! immutable snapshot and never wait for the first.
//!
//! Invariants:
//!
//! - The daemon keeps nothing on its host and starts no process.
//! - A traffic thread shares only the snapshot, counters and channels with other threads.

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

// The areas register their plug-ins with the kernel when they are linked.
use persimmon_failover as _;
use persimmon_member as _;
use persimmon_rollout as _;
