//! State that one plug-in keeps and others read.
//!
//! Invariants: the table's version and every group's term only rise; `peers` never holds the
//! daemon itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_table::Table;
use persimmon_types::{DaemonId, GroupRecord, Term, Time, ranked};

use crate::event::{GroupSeen, ObjectVersion};

/// How many peers a daemon passes one piece of news on to.
pub const RELAY_FANOUT: usize = 4;

/// The version of the table that this daemon serves by.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// The version, zero before any.
    pub version: ObjectVersion,
    /// Its text.
    pub text: Arc<str>,
    /// The checked table.
    pub table: Arc<Table>,
}

/// What is known of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// Whether it answers, by evidence.
    pub alive: bool,
    /// Whether the platform is about to take its host away.
    pub leaving: bool,
    /// When it was last heard.
    pub heard: Time,
}

/// What is known of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupState {
    /// The version of the record in the store, zero if it was never seen there.
    pub version: ObjectVersion,
    /// The term of that version; a record of a later term is known from peers only.
    pub stored_term: Term,
    /// The record.
    pub record: GroupRecord,
}

/// State that plug-ins share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// This daemon.
    pub me: DaemonId,
    /// Where this daemon answers its peers.
    pub address: SocketAddr,
    /// The table in force.
    pub in_force: InForce,
    /// The groups by service name.
    pub groups: BTreeMap<Arc<str>, GroupState>,
    /// The peers by name.
    pub peers: BTreeMap<DaemonId, Peer>,
    /// When the store last answered this daemon or anybody it heard from.
    pub store_heard: Time,
    /// Whether this daemon may be without the current table; it then refuses new work.
    pub cut_off: bool,
    /// Whether this daemon is shutting down.
    pub draining: bool,
}

impl Shared {
    /// Creates the state of a daemon that knows nothing yet.
    #[must_use]
    pub fn new(me: DaemonId, address: SocketAddr) -> Self {
        Self {
            me,
            address,
            in_force: InForce::default(),
            groups: BTreeMap::new(),
            peers: BTreeMap::new(),
            store_heard: Time::ZERO,
            cut_off: false,
            draining: false,
        }
    }

    /// The daemons that may hold duties: this one and the live peers that are not leaving.
    #[must_use]
    pub fn members(&self) -> Vec<DaemonId> {
        let mut members: Vec<DaemonId> = Vec::with_capacity(self.peers.len() + 1);
        if !self.draining {
            members.push(self.me.clone());
        }
        for (id, peer) in &self.peers {
            if peer.alive && !peer.leaving {
                members.push(id.clone());
            }
        }
        members.sort();
        members
    }

    /// The peers to which this daemon passes on something new, named by `key`.
    ///
    /// All daemons compute the same tree over the live members from the key alone, so that each
    /// receives one copy and sends at most [`RELAY_FANOUT`]. A daemon that has the news from
    /// outside the tree tells the root too.
    #[must_use]
    pub fn relay_targets(&self, key: &str) -> Vec<DaemonId> {
        let members = self.members();
        let order = ranked(key, &members, members.len());
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

    /// The sum of the terms known, which two daemons compare to find that one lacks a change.
    #[must_use]
    pub fn term_sum(&self) -> u64 {
        self.groups.values().map(|g| g.record.term.0).sum()
    }

    /// The term known of a service.
    #[must_use]
    pub fn term(&self, service: &str) -> Term {
        self.groups.get(service).map(|g| g.record.term).unwrap_or_default()
    }

    /// Takes in a group's record if it is newer; says whether the term rose.
    pub fn learn(&mut self, seen: &GroupSeen) -> bool {
        let known = self.groups.entry(Arc::clone(&seen.record.service)).or_default();
        let term_rose = seen.record.term > known.record.term;
        // A later version of the same term carries new reservations.
        let is_later = seen.record.term == known.record.term && seen.version > known.version;
        if term_rose || is_later {
            known.record = seen.record.clone();
        }
        if seen.version > known.version {
            known.version = seen.version;
            known.stored_term = seen.record.term;
        }
        term_rose
    }
}
