//! Timeline events, which `persimmonctl timeline` collects from all processes.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entity::DaemonId;
use crate::position::Term;
use crate::time::HlcTimestamp;

/// A kind of timeline event, with its details.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum TimelineKind {
    /// The daemon started serving.
    Started,
    /// The daemon began a graceful shutdown.
    Draining,
    /// The daemon suspects that a primary has failed.
    PrimarySuspected {
        /// The service.
        service: Arc<str>,
        /// The term of the suspected primary.
        term: Term,
        /// The failure that raised the suspicion.
        reason: Arc<str>,
    },
    /// The daemon began a failover of a group.
    FailoverBegan {
        /// The service.
        service: Arc<str>,
        /// The term of the failover.
        term: Term,
    },
    /// A majority of the group's instances now refuses older terms.
    TermSealed {
        /// The service.
        service: Arc<str>,
        /// The sealed term.
        term: Term,
    },
    /// An instance was promoted to primary.
    Promoted {
        /// The service.
        service: Arc<str>,
        /// The new term.
        term: Term,
        /// The new primary.
        primary: Arc<str>,
    },
    /// The daemon abandoned a failover.
    FailoverAbandoned {
        /// The service.
        service: Arc<str>,
        /// The term of the failover.
        term: Term,
        /// Why the failover was abandoned.
        reason: Arc<str>,
    },
    /// A new term of a group became active on the daemon.
    TermInForce {
        /// The service.
        service: Arc<str>,
        /// The term.
        term: Term,
        /// The primary.
        primary: Arc<str>,
    },
    /// A new version of the operators' table became active on the daemon.
    TableInForce {
        /// The version.
        version: u64,
    },
    /// The daemon refused a version of the operators' table.
    TableRefused {
        /// The version.
        version: u64,
        /// The first validation error.
        problem: Arc<str>,
    },
    /// A peer was declared dead, or responded again.
    PeerChanged {
        /// The peer.
        peer: DaemonId,
        /// Whether the peer is alive.
        alive: bool,
    },
    /// The daemon began or stopped watching the store on behalf of its peers.
    WatchChanged {
        /// Whether the daemon now watches the store.
        watching: bool,
    },
    /// The daemon refused a request.
    Refused {
        /// The service.
        service: Arc<str>,
        /// `not run` or `may have run`.
        verdict: Arc<str>,
        /// Why the request was refused.
        reason: Arc<str>,
    },
}

/// A timeline event with the timestamp that orders it among the events of all processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// The hybrid logical clock timestamp.
    pub stamp: HlcTimestamp,
    /// The daemon that recorded the event.
    pub daemon: DaemonId,
    /// What happened.
    #[serde(flatten)]
    pub kind: TimelineKind,
}

impl fmt::Display for TimelineEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = serde_json::to_string(&self.kind).unwrap_or_default();
        write!(f, "{}.{:04} {} {kind}", self.stamp.wall_ms, self.stamp.counter, self.daemon)
    }
}
