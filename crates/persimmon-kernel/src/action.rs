//! What the control thread is asked to do.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_types::{DaemonId, Term, TimelineKind};

use crate::event::ObjectVersion;
use crate::message::PeerMessage;

/// Names one store call so that its outcome finds the plug-in that asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What an instance is ordered to do; every order carries its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Refuse every older term from now on.
    Seal {
        /// The term.
        term: Term,
        /// The daemon that alone may act under the term.
        decider: DaemonId,
    },
    /// Become primary of the term.
    Promote {
        /// The term.
        term: Term,
        /// The daemon that sealed it.
        decider: DaemonId,
    },
    /// Follow the primary of the term.
    Follow {
        /// The term.
        term: Term,
        /// The primary's name.
        primary: Arc<str>,
        /// Where the primary listens.
        address: SocketAddr,
    },
}

/// One action that the kernel's host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask an instance for its status; answered by `Event::Probed`.
    Probe {
        /// The instance's name.
        instance: Arc<str>,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Order an instance; answered by `Event::Sealed` or `Event::Promoted`, `Follow` by nothing.
    Order {
        /// The instance's name.
        instance: Arc<str>,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Write an object if it still has the expected version; answered by `Event::Store`.
    StoreWrite {
        /// The call.
        request: RequestId,
        /// The object's key.
        key: Arc<str>,
        /// The version that the object must have.
        expect: ObjectVersion,
        /// The new value.
        value: Arc<str>,
    },
    /// Read an object; answered by `Event::Store`.
    StoreRead {
        /// The call.
        request: RequestId,
        /// The object's key.
        key: Arc<str>,
    },
    /// Begin or stop to watch the store.
    Watch(bool),
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: DaemonId,
        /// Where it answers its peers.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Record an event of the time line.
    Record(TimelineKind),
    /// Build a new snapshot for the traffic threads.
    Publish,
}
