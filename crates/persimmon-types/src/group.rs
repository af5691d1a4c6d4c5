//! The record of a database group in the platform's object store.
//!
//! Invariants:
//!
//! - A term number is assigned only once: `next_term` only increases, and a reserved term is never
//!   reassigned, so that two failover coordinators never act under the same term.
//! - `term` only increases from one version of the record to the next.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entity::DaemonId;
use crate::position::{Term, TermHistory};

/// A term number that only one daemon may use, reserved while the store was available.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermReservation {
    /// The reserved term.
    pub term: Term,
    /// The daemon that may coordinate a failover under this term.
    pub holder: DaemonId,
}

/// The primary of a group, and the daemons that may coordinate its next failover.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The name of the group's service.
    pub service: Arc<str>,
    /// The current term.
    pub term: Term,
    /// The name of the instance that is primary in `term`.
    pub primary: Arc<str>,
    /// The log positions at which recent terms began.
    pub starts: TermHistory,
    /// The lowest term number that has not been assigned or reserved yet.
    pub next_term: u64,
    /// Reserved terms in ascending order, which is the order in which their holders should act.
    pub reserved: Vec<TermReservation>,
    /// The daemon that wrote this version, so that it recognizes its own write after a lost
    /// response.
    pub writer: Option<DaemonId>,
    /// A number that the writer uses only once.
    pub nonce: u64,
}

impl GroupRecord {
    /// The number of daemons that hold a reserved term of a group.
    pub const RESERVED_TERMS: usize = 3;

    /// Creates the first record of a group, with `primary` as the primary of term 1.
    #[must_use]
    pub fn new(service: &str, primary: &str) -> Self {
        Self {
            service: Arc::from(service),
            term: Term(1),
            primary: Arc::from(primary),
            next_term: 2,
            ..Self::default()
        }
    }

    /// Returns the lowest reserved term of `daemon` that is still newer than the current term.
    #[must_use]
    pub fn reservation(&self, daemon: &DaemonId) -> Option<&TermReservation> {
        self.reserved.iter().find(|r| r.holder == *daemon && r.term > self.term)
    }

    /// Reserves a term for each daemon in `holders` that has none, and drops past terms and those
    /// of other daemons.
    pub fn reserve_terms(&mut self, holders: &[DaemonId]) {
        let term = self.term;
        self.reserved.retain(|r| r.term > term && holders.contains(&r.holder));
        for holder in holders {
            if self.reserved.iter().any(|r| r.holder == *holder) {
                continue;
            }
            self.reserved
                .push(TermReservation { term: Term(self.next_term), holder: holder.clone() });
            self.next_term += 1;
        }
        // The holder of the lowest term acts first, because a higher term may always follow a lower
        // one.
        self.reserved.sort_by_key(|r| r.term);
    }

    /// Whether the daemons that have a usable reserved term are exactly `holders`.
    #[must_use]
    pub fn is_reserved_for(&self, holders: &[DaemonId]) -> bool {
        let usable = self.reserved.iter().filter(|r| r.term > self.term).count();
        usable == holders.len() && holders.iter().all(|h| self.reservation(h).is_some())
    }
}
