//! Dispatches typed events to registered plug-ins and collects their actions.
//!
//! Invariants:
//!
//! - Sans-I/O: neither this crate nor a plug-in reads a clock, opens a socket or creates its own
//!   randomness. The driver passes in the time and a seed, and performs the returned actions.
//! - Plug-ins see each event in a fixed order, so a run can be reproduced from its events.
//! - Versions and terms in [`ControlState`] only increase.

mod action;
mod control_state;
mod event;
mod kernel;
mod message;
mod plugin;

pub use action::{Action, ControlCommand, RequestId};
pub use control_state::{ActiveTable, ControlState, GroupState, Peer, RELAY_FANOUT};
pub use event::{
    CommandFailure, CommandOutcome, Event, HostEntry, InstanceStatus, ObjectVersion, ProbeFailure,
    Role, StoreOutcome, VersionedGroupRecord, VersionedTable,
};
pub use kernel::Kernel;
pub use message::{PeerMessage, TableDelta};
pub use plugin::{Context, PLUGINS, Plugin, PluginEntry};
