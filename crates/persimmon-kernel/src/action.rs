//! Actions that the kernel requests from its driver, the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_types::{DaemonId, Term, TimelineKind};

use crate::event::ObjectVersion;
use crate::message::PeerMessage;

/// Identifies a store call, so that its outcome can be matched to the plug-in that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A control command to an instance; every command carries its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCommand {
    /// Refuse every older term from now on.
    Seal {
        /// The term to seal.
        term: Term,
        /// The failover coordinator, the only daemon that may act under the term.
        coordinator: DaemonId,
    },
    /// Become primary of the term.
    Promote {
        /// The new primary's term.
        term: Term,
        /// The failover coordinator that sealed the term.
        coordinator: DaemonId,
    },
    /// Follow the primary of the term.
    Follow {
        /// The primary's term.
        term: Term,
        /// The primary's name.
        primary: Arc<str>,
        /// The address on which the primary listens.
        address: SocketAddr,
    },
}

/// An action for the kernel's driver to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Request an instance's status; completes with `Event::Probed`.
    Probe {
        /// The instance's name.
        instance: Arc<str>,
        /// The address on which the instance listens.
        address: SocketAddr,
    },
    /// Send a control command to an instance; completes with `Event::Sealed` or
    /// `Event::Promoted`, or with no event for `Follow`.
    Command {
        /// The instance's name.
        instance: Arc<str>,
        /// The address on which the instance listens.
        address: SocketAddr,
        /// The command.
        command: ControlCommand,
    },
    /// Write an object if it still has the expected version; completes with `Event::Store`.
    StoreWrite {
        /// Identifies the call.
        request: RequestId,
        /// The object's key.
        key: Arc<str>,
        /// The version that the object must have, zero if it must not exist.
        expect: ObjectVersion,
        /// The new value.
        value: Arc<str>,
    },
    /// Read an object; completes with `Event::Store`.
    StoreRead {
        /// Identifies the call.
        request: RequestId,
        /// The object's key.
        key: Arc<str>,
    },
    /// Start (`true`) or stop (`false`) watching the store.
    Watch(bool),
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: DaemonId,
        /// The receiver's address for peer messages.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Record a timeline event.
    Record(TimelineKind),
    /// Publish a new routing snapshot to the traffic threads.
    Publish,
}
