//! The record of a database group in the platform's store.
//!
//! Invariants:
//!
//! - A term number is given out once: `next_term` only rises, and a reservation is never
//!   reassigned, so that two deciders never act under one term.
//! - `term` only rises from one version of the record to the next.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entity::DaemonId;
use crate::position::{Term, TermStarts};

/// A term number that one daemon alone may use, agreed while the store was up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The term.
    pub term: Term,
    /// The daemon that may act under it.
    pub holder: DaemonId,
}

/// Who is primary of a group, and who may decide its next change of primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The service that the group serves.
    pub service: Arc<str>,
    /// The term in force.
    pub term: Term,
    /// The name of the primary of that term.
    pub primary: Arc<str>,
    /// Where recent terms began.
    pub starts: TermStarts,
    /// The lowest term number not yet given out.
    pub next_term: u64,
    /// Terms given out beforehand, in the order in which their holders should act.
    pub reserved: Vec<Reservation>,
    /// The daemon that wrote this version, to recognise one's own write after a lost answer.
    pub writer: Option<DaemonId>,
    /// A number that the writer never uses twice.
    pub nonce: u64,
}

impl GroupRecord {
    /// How many daemons hold a reservation for a group.
    pub const RESERVATIONS: usize = 3;

    /// The first record of a group whose primary is `primary` at term 1.
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

    /// The usable reservation of `daemon`, the lowest first.
    #[must_use]
    pub fn reservation(&self, daemon: &DaemonId) -> Option<&Reservation> {
        self.reserved.iter().find(|r| r.holder == *daemon && r.term > self.term)
    }

    /// Gives new term numbers to `holders`, keeping the numbers of those that already have one.
    pub fn reserve(&mut self, holders: &[DaemonId]) {
        let term = self.term;
        self.reserved.retain(|r| r.term > term && holders.contains(&r.holder));
        for holder in holders {
            if self.reserved.iter().any(|r| r.holder == *holder) {
                continue;
            }
            self.reserved.push(Reservation { term: Term(self.next_term), holder: holder.clone() });
            self.next_term += 1;
        }
        // The holder of the lowest term acts first; a higher term may always follow a lower one.
        self.reserved.sort_by_key(|r| r.term);
    }

    /// Whether every holder in `holders` has a usable reservation and nobody else has one.
    #[must_use]
    pub fn is_reserved_for(&self, holders: &[DaemonId]) -> bool {
        let usable = self.reserved.iter().filter(|r| r.term > self.term).count();
        usable == holders.len() && holders.iter().all(|h| self.reservation(h).is_some())
    }
}
