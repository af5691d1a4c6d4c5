//! Revisions of the object store.
//!
//! Invariant: revisions of two eras are never compared by their numbers alone, because a store that
//! comes back from a copy gives numbers out again.

use std::fmt;

/// A revision of the object store; a later one is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// How often the store has been restored from a copy; zero for a store that does not tell.
    pub era: u64,
    /// The store's counter of changes, which only rises within an era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    #[must_use]
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether this is the revision before any change, from which everything is new.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
