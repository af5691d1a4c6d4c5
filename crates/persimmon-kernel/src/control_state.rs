//! Control state that one plug-in maintains and others read.
//!
//! Invariants: the table's version and every group's term only increase; `peers` never contains the
//! daemon itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_table::Table;
use persimmon_types::{DaemonId, GroupRecord, Term, Time, rendezvous_top};

use crate::event::{ObjectVersion, VersionedGroupRecord};

/// The number of peers to which a daemon relays an update.
pub const RELAY_FANOUT: usize = 4;

/// The active version of the table on this daemon.
#[derive(Clone, Debug, Default)]
pub struct ActiveTable {
    /// The version, zero if no table has been received yet.
    pub version: ObjectVersion,
    /// The table as CSV.
    pub text: Arc<str>,
    /// The validated table.
    pub table: Arc<Table>,
}

/// The known state of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The peer's address for peer messages.
    pub address: SocketAddr,
    /// Whether the peer is considered alive, by the evidence so far.
    pub is_alive: bool,
    /// Whether the peer's host is draining: the platform is about to remove it.
    pub is_draining: bool,
    /// When this daemon last heard from the peer.
    pub last_heard: Time,
}

/// The known state of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupState {
    /// The version of the record in the store, zero if the record has not been seen there.
    pub stored_version: ObjectVersion,
    /// The term of the stored version; if `record` has a later term, that record came from a peer.
    pub stored_term: Term,
    /// The latest known record.
    pub record: GroupRecord,
}

/// The state that plug-ins share.
#[derive(Clone, Debug)]
pub struct ControlState {
    /// The name of this daemon.
    pub me: DaemonId,
    /// This daemon's address for peer messages.
    pub address: SocketAddr,
    /// The active table.
    pub active_table: ActiveTable,
    /// The groups by service name.
    pub groups: BTreeMap<Arc<str>, GroupState>,
    /// The peers by name.
    pub peers: BTreeMap<DaemonId, Peer>,
    /// When the store last responded to this daemon or to any daemon from which it has heard.
    pub store_last_heard: Time,
    /// Whether this daemon is isolated, so that its table may be out of date; it then refuses new
    /// work.
    pub is_isolated: bool,
    /// Whether this daemon is shutting down.
    pub is_draining: bool,
}

impl ControlState {
    /// Creates the initial state of a daemon.
    #[must_use]
    pub fn new(me: DaemonId, address: SocketAddr) -> Self {
        Self {
            me,
            address,
            active_table: ActiveTable::default(),
            groups: BTreeMap::new(),
            peers: BTreeMap::new(),
            store_last_heard: Time::ZERO,
            is_isolated: false,
            is_draining: false,
        }
    }

    /// Returns the sorted names of the daemons eligible for tasks such as failover coordination:
    /// this daemon and the live peers, except those that are draining.
    #[must_use]
    pub fn eligible_daemons(&self) -> Vec<DaemonId> {
        let mut eligible: Vec<DaemonId> = Vec::with_capacity(self.peers.len() + 1);
        if !self.is_draining {
            eligible.push(self.me.clone());
        }
        for (id, peer) in &self.peers {
            if peer.is_alive && !peer.is_draining {
                eligible.push(id.clone());
            }
        }
        eligible.sort();
        eligible
    }

    /// Returns the peers to which this daemon relays the update identified by `key`.
    ///
    /// All daemons compute the same tree over the eligible daemons from the key alone, so that each
    /// receives one copy and sends at most [`RELAY_FANOUT`]. Every daemon but the root also sends
    /// the update to the root, in case the update came from outside the tree. A daemon that is not
    /// eligible sends it to the root only.
    #[must_use]
    pub fn relay_targets(&self, key: &str) -> Vec<DaemonId> {
        let eligible = self.eligible_daemons();
        let order = rendezvous_top(key, &eligible, eligible.len());
        let Some(index) = order.iter().position(|id| *id == self.me) else {
            return order.into_iter().take(1).collect();
        };
        let first = index * RELAY_FANOUT + 1;
        let mut targets: Vec<DaemonId> =
            order.iter().skip(first).take(RELAY_FANOUT).cloned().collect();
        if index != 0 {
            targets.push(order[0].clone());
        }
        targets
    }

    /// Returns the sum of all known terms, which two daemons compare to detect that one of them
    /// lacks a change.
    #[must_use]
    pub fn term_sum(&self) -> u64 {
        self.groups.values().map(|g| g.record.term.0).sum()
    }

    /// Returns the known term of a service's group, zero if there is none.
    #[must_use]
    pub fn term(&self, service: &str) -> Term {
        self.groups.get(service).map(|g| g.record.term).unwrap_or_default()
    }

    /// Merges a group's record if it is newer than the known one, and returns whether the term
    /// increased.
    pub fn merge_group_record(&mut self, versioned: &VersionedGroupRecord) -> bool {
        let group = self.groups.entry(Arc::clone(&versioned.record.service)).or_default();
        let term_rose = versioned.record.term > group.record.term;
        // A later version with the same term has new reserved terms.
        let is_later =
            versioned.record.term == group.record.term && versioned.version > group.stored_version;
        if term_rose || is_later {
            group.record = versioned.record.clone();
        }
        if versioned.version > group.stored_version {
            group.stored_version = versioned.version;
            group.stored_term = versioned.record.term;
        }
        term_rose
    }
}
