//! Dispatches typed events to registered plug-ins and collects their actions.
//!
//! Invariants:
//!
//! - Nothing in this crate, and no plug-in, reads a clock, opens a socket or draws randomness of
//!   its own: the time and the seed come in, actions go out.
//! - Plug-ins see each event in one fixed order, so a run is reproducible from its events.
//! - Versions and terms in [`Shared`] only rise.

mod action;
mod event;
mod kernel;
mod message;
mod plugin;
mod shared;

pub use action::{Action, Order, RequestId};
pub use event::{
    Event, GroupSeen, HostSeen, ObjectVersion, OrderFailure, OrderOutcome, ProbeFailure, Role,
    Status, StoreOutcome, TableSeen,
};
pub use kernel::Kernel;
pub use message::{PeerMessage, TableDelta};
pub use plugin::{Context, PLUGINS, Plugin, PluginEntry};
pub use shared::{GroupState, InForce, Peer, RELAY_FANOUT, Shared};
