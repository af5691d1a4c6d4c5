//! Events of the time line that `persimmonctl timeline` collects over all processes.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entity::DaemonId;
use crate::position::Term;
use crate::time::Stamp;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum TimelineKind {
    /// The daemon began to serve.
    Started,
    /// The daemon began a graceful shutdown.
    Draining,
    /// The daemon suspects that a primary has failed.
    PrimarySuspected {
        /// The service.
        service: Arc<str>,
        /// The term of the suspected primary.
        term: Term,
        /// Why.
        reason: Arc<str>,
    },
    /// The daemon began to change the primary of a group.
    FailoverBegan {
        /// The service.
        service: Arc<str>,
        /// The term it acts under.
        term: Term,
    },
    /// A majority of the group's instances refuses terms older than this one.
    TermSealed {
        /// The service.
        service: Arc<str>,
        /// The term.
        term: Term,
    },
    /// An instance became primary.
    Promoted {
        /// The service.
        service: Arc<str>,
        /// The new term.
        term: Term,
        /// The new primary.
        primary: Arc<str>,
    },
    /// A change of primary was given up.
    FailoverAbandoned {
        /// The service.
        service: Arc<str>,
        /// The term it acted under.
        term: Term,
        /// Why.
        reason: Arc<str>,
    },
    /// The daemon routes by a new term.
    TermInForce {
        /// The service.
        service: Arc<str>,
        /// The term.
        term: Term,
        /// The primary.
        primary: Arc<str>,
    },
    /// The daemon serves by a new version of the table.
    TableInForce {
        /// The version.
        version: u64,
    },
    /// A version of the table was refused.
    TableRefused {
        /// The version.
        version: u64,
        /// The first problem found.
        problem: Arc<str>,
    },
    /// A peer was found alive or dead.
    PeerChanged {
        /// The peer.
        peer: DaemonId,
        /// Whether it answers.
        alive: bool,
    },
    /// This daemon began or stopped to watch the store for its peers.
    WatchChanged {
        /// Whether it watches.
        watching: bool,
    },
    /// A request was refused.
    Refused {
        /// The service.
        service: Arc<str>,
        /// `not run` or `may have run`.
        verdict: Arc<str>,
        /// Why.
        reason: Arc<str>,
    },
}

/// One event with its place in the order over all processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// The hybrid logical stamp.
    pub stamp: Stamp,
    /// The process that recorded it.
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
