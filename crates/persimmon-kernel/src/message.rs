//! Messages between daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_types::{DaemonId, Term};
use serde::{Deserialize, Serialize};

use crate::event::{ObjectVersion, VersionedGroupRecord};

/// The difference between two versions of the table's text.
///
/// Replacing the lines `at .. at + removed` of version `from` by `added` gives the text of version
/// `to`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// The version that the delta applies to.
    pub from: ObjectVersion,
    /// The version that applying the delta gives.
    pub to: ObjectVersion,
    /// The zero-based index of the first changed line.
    pub at: usize,
    /// The number of lines to replace.
    pub removed: usize,
    /// The replacement lines.
    pub added: Vec<String>,
}

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is alive; summarizes its state so that differences can be found.
    Heartbeat {
        /// The sender's address for peer messages.
        address: SocketAddr,
        /// The version of the sender's active table.
        table: ObjectVersion,
        /// The sum of the terms of all groups that the sender knows; if it differs from the
        /// receiver's, a term differs.
        terms: u64,
        /// Milliseconds since the store last responded to the sender or to any daemon that the
        /// sender has heard from.
        store_age_ms: u64,
        /// Whether the sender requests a reply.
        wants_reply: bool,
    },
    /// The sender could not reach a peer.
    Unreachable {
        /// The unreachable peer.
        peer: DaemonId,
    },
    /// A complete table.
    Table {
        /// The table's version.
        version: ObjectVersion,
        /// The table as CSV.
        text: Arc<str>,
    },
    /// The changes between two versions of the table.
    TableChange(TableDelta),
    /// Requests the table, if the receiver has a newer version.
    AskTable {
        /// The version of the sender's active table.
        have: ObjectVersion,
    },
    /// A group's record.
    Group(VersionedGroupRecord),
    /// Requests the records of all groups of which the receiver knows a newer term.
    AskGroups {
        /// The service names and terms that the sender knows.
        known: Vec<(Arc<str>, Term)>,
    },
    /// The sender suspects that a primary has failed and requests the receiver's vote.
    AskSuspicion {
        /// The service.
        service: Arc<str>,
        /// The primary's term.
        term: Term,
    },
    /// The sender's vote on whether a primary has failed.
    Suspicion {
        /// The service.
        service: Arc<str>,
        /// The primary's term.
        term: Term,
        /// Whether the sender also finds that the primary has failed.
        agrees: bool,
    },
}
