//! Terms, log sequence numbers, and the comparison of log positions across terms.
//!
//! Invariants:
//!
//! - Log sequence numbers continue across terms: the log of term `t` begins where the promoted
//!   instance's log ended.
//! - An acknowledged log entry is part of every later term's log at the same sequence number.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a primary's period, which only increases, as in Raft.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A log sequence number: the number of log entries up to and including this one.
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

/// A position in a database group's log: a term and a log sequence number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the instance last was primary or followed one.
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

/// The log position at which a term began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term.
    pub term: Term,
    /// The last log sequence number that the term inherited from earlier terms.
    pub inherited: Lsn,
}

/// The starting positions of a group's recent terms, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermHistory(Vec<TermStart>);

impl TermHistory {
    /// The maximum number of terms kept; no live session needs older ones.
    pub const MAX_TERMS: usize = 32;

    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the start of a new term; ignored if the term is not newer than the last one.
    pub fn push(&mut self, start: TermStart) {
        if self.0.last().is_some_and(|last| last.term >= start.term) {
            return;
        }
        self.0.push(start);
        if self.0.len() > Self::MAX_TERMS {
            self.0.remove(0);
        }
    }

    /// The term starts, oldest first.
    #[must_use]
    pub fn as_slice(&self) -> &[TermStart] {
        &self.0
    }

    /// Lowers `min_position` to the part of the log that survived into later terms.
    ///
    /// Entries of a term beyond the start of the next term were never acknowledged and are lost.
    /// A minimum position that still counted them would make every replica look stale until the
    /// new term had written as many entries.
    #[must_use]
    pub fn clamp(&self, min_position: Position) -> Position {
        let mut lsn = min_position.lsn;
        for start in &self.0 {
            if start.term <= min_position.term {
                continue;
            }
            lsn = lsn.min(start.inherited);
        }
        Position { term: min_position.term, lsn }
    }

    /// Whether an instance that has applied the log up to `applied` has applied `min_position`.
    ///
    /// An instance whose term is older than that of the minimum position may hold entries that were
    /// later replaced, so its log sequence number can't be compared.
    #[must_use]
    pub fn has_applied(&self, applied: Position, min_position: Position) -> bool {
        if min_position == Position::default() {
            return true;
        }
        if applied.term < min_position.term {
            return false;
        }
        applied.lsn >= self.clamp(min_position).lsn
    }
}
