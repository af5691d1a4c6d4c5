//! Terms, log sequence numbers and how positions of different terms compare.
//!
//! Invariants:
//!
//! - Log sequence numbers continue across terms: the log of term `t` begins where the promoted
//!   instance's log ended.
//! - A position that was acknowledged is part of every later term's log at the same number.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a primary's reign; it only rises.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A log sequence number: the count of entries in the log up to and including this one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Lsn(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for Lsn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A point in a database group's log: the term of the log's last entry, and its number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the instance last followed a primary, or was one.
    pub term: Term,
    /// The last log sequence number that the instance holds.
    pub lsn: Lsn,
}

impl Position {
    /// Creates a position.
    #[must_use]
    pub fn new(term: Term, lsn: Lsn) -> Self {
        Self { term, lsn }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.lsn)
    }
}

/// Where one term began: the last log sequence number it inherited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term.
    pub term: Term,
    /// The last number that the term inherited from earlier ones.
    pub inherited: Lsn,
}

/// The starts of a group's recent terms, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStarts(Vec<TermStart>);

impl TermStarts {
    /// How many starts are kept; older ones are no longer needed by any live session.
    pub const KEPT: usize = 32;

    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the start of a new term; one that is not newer than the last is ignored.
    pub fn push(&mut self, start: TermStart) {
        if self.0.last().is_some_and(|last| last.term >= start.term) {
            return;
        }
        self.0.push(start);
        if self.0.len() > Self::KEPT {
            self.0.remove(0);
        }
    }

    /// The starts, oldest first.
    #[must_use]
    pub fn as_slice(&self) -> &[TermStart] {
        &self.0
    }

    /// Lowers `floor` to what survived into later terms.
    ///
    /// Entries of a term beyond the point where the next term began were never acknowledged and
    /// are lost. Without this a floor that counted them would make every replica look stale until
    /// the new term had written as many entries.
    #[must_use]
    pub fn clamp(&self, floor: Position) -> Position {
        let mut lsn = floor.lsn;
        for start in &self.0 {
            if start.term <= floor.term {
                continue;
            }
            lsn = lsn.min(start.inherited);
        }
        Position { term: floor.term, lsn }
    }

    /// Whether an instance that has applied up to `applied` shows everything up to `floor`.
    ///
    /// An instance whose term is older than the floor's may hold entries that were later replaced,
    /// so its number proves nothing.
    #[must_use]
    pub fn reaches(&self, applied: Position, floor: Position) -> bool {
        if floor == Position::default() {
            return true;
        }
        if applied.term < floor.term {
            return false;
        }
        applied.lsn >= self.clamp(floor).lsn
    }
}
