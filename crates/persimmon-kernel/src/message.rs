//! What daemons say to each other.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_types::{DaemonId, Term};
use serde::{Deserialize, Serialize};

use crate::event::{GroupSeen, ObjectVersion};

/// Lines of the table that changed from one version to a later one.
///
/// Applying it to the text of `from` gives the text of `to`: the lines `at .. at + removed` are
/// replaced by `added`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// The version it applies to.
    pub from: ObjectVersion,
    /// The version it makes.
    pub to: ObjectVersion,
    /// The first line that changed, counted from zero.
    pub at: usize,
    /// How many lines are replaced.
    pub removed: usize,
    /// The lines that replace them.
    pub added: Vec<String>,
}

/// One message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender lives, and this is what it knows.
    Heartbeat {
        /// Where the sender answers its peers.
        address: SocketAddr,
        /// The table's version in force at the sender.
        table: ObjectVersion,
        /// The sum of the terms that the sender knows, which differs if any term differs.
        terms: u64,
        /// Milliseconds since the store answered the sender or anybody it heard from.
        store_age_ms: u64,
        /// Whether an answer is asked for.
        wants_reply: bool,
    },
    /// The sender could not reach a peer.
    Unreachable {
        /// The peer.
        peer: DaemonId,
    },
    /// A whole table.
    Table {
        /// Its version.
        version: ObjectVersion,
        /// Its text.
        text: Arc<str>,
    },
    /// What changed in the table.
    TableChange(TableDelta),
    /// The sender lacks the table from this version on.
    AskTable {
        /// The version in force at the sender.
        have: ObjectVersion,
    },
    /// A group's record.
    Group(GroupSeen),
    /// The sender asks for every group whose term it does not know: it knows these.
    AskGroups {
        /// Service names and the terms known.
        known: Vec<(Arc<str>, Term)>,
    },
    /// The sender suspects a primary and asks what the receiver sees.
    AskSuspicion {
        /// The service.
        service: Arc<str>,
        /// The primary's term.
        term: Term,
    },
    /// What the sender sees of a primary.
    Suspicion {
        /// The service.
        service: Arc<str>,
        /// The primary's term.
        term: Term,
        /// Whether the sender finds it failed too.
        agrees: bool,
    },
}
