//! What the control thread is told.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_types::{DaemonId, GroupRecord, Lsn, Position, Term, Time};
use serde::{Deserialize, Serialize};

use crate::action::RequestId;
use crate::message::PeerMessage;

/// The version of an object in the platform's store; zero means that the object does not exist.
pub type ObjectVersion = u64;

/// A version of the table's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableSeen {
    /// The object's version.
    pub version: ObjectVersion,
    /// The CSV text.
    pub text: Arc<str>,
}

/// A version of a group's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSeen {
    /// The object's version, zero if a peer told of a change not yet written.
    pub version: ObjectVersion,
    /// The record.
    pub record: GroupRecord,
}

/// One entry of the platform's list of hosts, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSeen {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// Whether the platform is about to take the host away.
    pub leaving: bool,
}

/// What an instance believes that it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It accepts writes in its term.
    Primary,
    /// It follows a primary.
    Replica,
}

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// The term it last served or followed.
    pub term: Term,
    /// The term below which it refuses everything.
    pub sealed: Term,
    /// The end of its log.
    pub end: Position,
    /// On a primary: milliseconds since a majority was last heard in its term.
    pub majority_age_ms: u64,
}

/// Why a probe of an instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeFailure {
    /// The connection was refused or reset: no process listens.
    Refused,
    /// No answer came in time.
    TimedOut,
}

/// Why an order to an instance was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderFailure {
    /// The instance has seen a newer term, or this one from another decider.
    Superseded(Term),
    /// No answer came; the order may have taken effect.
    Unknown,
    /// Nothing can have reached the instance.
    NotSent,
}

/// The answer to an order: the end of the instance's log.
pub type OrderOutcome = Result<Position, OrderFailure>;

/// The answer of the platform's store to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// A write took effect and made this version.
    Written(ObjectVersion),
    /// A write was refused because the object has another version; here it is.
    Conflict(ObjectVersion, Arc<str>),
    /// A read found the object.
    Found(ObjectVersion, Arc<str>),
    /// A read found no object.
    Missing,
    /// No answer came; a write may have taken effect.
    Unavailable,
}

/// One event for the kernel.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The store or a peer showed a version of the table.
    Table(TableSeen),
    /// A peer sent what changed since a version of the table.
    Group(GroupSeen),
    /// The platform's list of hosts was read.
    Hosts(Vec<HostSeen>),
    /// The store answered any call at all.
    StoreHeard,
    /// The store answered a call that a plug-in asked for.
    Store {
        /// The call.
        request: RequestId,
        /// Its outcome.
        outcome: StoreOutcome,
    },
    /// A probe ended.
    Probed {
        /// The instance's name.
        instance: Arc<str>,
        /// When the probe began.
        sent: Time,
        /// What it brought.
        outcome: Result<Status, ProbeFailure>,
    },
    /// A seal ended.
    Sealed {
        /// The instance's name.
        instance: Arc<str>,
        /// The term of the order.
        term: Term,
        /// What it brought.
        outcome: OrderOutcome,
    },
    /// A promotion ended.
    Promoted {
        /// The instance's name.
        instance: Arc<str>,
        /// The term of the order.
        term: Term,
        /// What it brought: the position that the term inherited.
        outcome: OrderOutcome,
    },
    /// A peer's message arrived.
    Peer {
        /// The sender.
        from: DaemonId,
        /// The message.
        message: PeerMessage,
    },
    /// A message to a peer could not be delivered.
    PeerLost(DaemonId),
    /// A traffic thread saw a connection to a primary break or time out.
    TrafficSuspects {
        /// The service.
        service: Arc<str>,
        /// The term of the connection.
        term: Term,
    },
    /// An instance told a traffic thread of a newer term.
    TermSeen {
        /// The service.
        service: Arc<str>,
        /// The term.
        term: Term,
    },
    /// The daemon is to shut down gracefully.
    Drain,
}

impl Status {
    /// The status of a healthy primary, for fakes.
    #[must_use]
    pub fn primary(term: Term, lsn: Lsn) -> Self {
        let end = Position::new(term, lsn);
        Self { role: Role::Primary, term, sealed: term, end, majority_age_ms: 0 }
    }
}
