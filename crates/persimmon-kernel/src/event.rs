//! Events that the kernel's driver, the control thread, passes to the kernel.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_types::{DaemonId, GroupRecord, Lsn, Position, Term, Time};
use serde::{Deserialize, Serialize};

use crate::action::RequestId;
use crate::message::PeerMessage;

/// The version of an object in the platform's store; zero if the object doesn't exist.
pub type ObjectVersion = u64;

/// The text of the operators' table at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedTable {
    /// The object's version.
    pub version: ObjectVersion,
    /// The table as CSV.
    pub text: Arc<str>,
}

/// A group's record at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedGroupRecord {
    /// The object's version, zero if this record has not been written to the store yet.
    pub version: ObjectVersion,
    /// The record.
    pub record: GroupRecord,
}

/// One entry of the platform's list of hosts, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// The daemon's address for peer messages.
    pub address: SocketAddr,
    /// Whether the host is draining: the platform is about to remove it.
    pub leaving: bool,
}

/// The role that an instance reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// The instance accepts writes in its term.
    Primary,
    /// The instance follows a primary.
    Replica,
}

/// The status that an instance reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// The instance's role.
    pub role: Role,
    /// The term in which the instance last was primary or followed one.
    pub term: Term,
    /// The sealed term: the instance refuses all older terms.
    pub sealed_term: Term,
    /// The position of the end of the instance's log.
    pub log_end: Position,
    /// On a primary, the milliseconds since it last heard from a majority in its term.
    pub majority_age_ms: u64,
}

/// The reason why a probe of an instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeFailure {
    /// The connection was refused or reset: no process listens.
    Refused,
    /// The probe timed out.
    TimedOut,
}

/// The reason why a control command to an instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandFailure {
    /// The instance has seen this newer term, or the command's own term from another failover
    /// coordinator.
    Superseded(Term),
    /// No response arrived; the command may have taken effect.
    Unknown,
    /// The command can't have reached the instance.
    NotSent,
}

/// The outcome of a control command: on success, the end of the instance's log.
pub type CommandOutcome = Result<Position, CommandFailure>;

/// The outcome of a call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// A write succeeded and created this version.
    Written(ObjectVersion),
    /// A write failed because the object has another version; holds that version and its value.
    Conflict(ObjectVersion, Arc<str>),
    /// A read returned the object's version and value.
    Found(ObjectVersion, Arc<str>),
    /// A read found that the object doesn't exist.
    Missing,
    /// No response arrived; a write may have taken effect.
    Unavailable,
}

/// An event for the kernel to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer fired.
    Tick,
    /// A version of the operators' table was read from the store.
    Table(VersionedTable),
    /// A version of a group's record was read from the store.
    Group(VersionedGroupRecord),
    /// The platform's list of hosts was read from the store.
    Hosts(Vec<HostEntry>),
    /// The store responded to a call, whatever the outcome.
    StoreResponded,
    /// A store call that a plug-in requested completed.
    Store {
        /// Identifies the call.
        request: RequestId,
        /// The outcome of the call.
        outcome: StoreOutcome,
    },
    /// A probe of an instance completed.
    Probed {
        /// The instance's name.
        instance: Arc<str>,
        /// When the probe started.
        sent: Time,
        /// The instance's status, or the reason of the failure.
        outcome: Result<InstanceStatus, ProbeFailure>,
    },
    /// A seal command completed.
    Sealed {
        /// The instance's name.
        instance: Arc<str>,
        /// The term of the command.
        term: Term,
        /// The outcome of the command.
        outcome: CommandOutcome,
    },
    /// A promote command completed.
    Promoted {
        /// The instance's name.
        instance: Arc<str>,
        /// The term of the command.
        term: Term,
        /// The outcome of the command: on success, the position that the term inherited.
        outcome: CommandOutcome,
    },
    /// A message from a peer arrived.
    Peer {
        /// The sender.
        from: DaemonId,
        /// The message.
        message: PeerMessage,
    },
    /// A message to this peer could not be delivered.
    PeerUnreachable(DaemonId),
    /// A traffic thread's connection to a primary was lost or timed out.
    PrimaryConnectionFailed {
        /// The service.
        service: Arc<str>,
        /// The term of the connection.
        term: Term,
    },
    /// An instance reported a newer term to a traffic thread.
    NewerTermReported {
        /// The service.
        service: Arc<str>,
        /// The term.
        term: Term,
    },
    /// The daemon was asked to shut down gracefully.
    Drain,
}

impl InstanceStatus {
    /// Returns the status of a healthy primary, for fakes.
    #[must_use]
    pub fn primary(term: Term, lsn: Lsn) -> Self {
        let log_end = Position::new(term, lsn);
        Self { role: Role::Primary, term, sealed_term: term, log_end, majority_age_ms: 0 }
    }
}
