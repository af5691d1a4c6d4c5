//! Limits the memory that one kind of data of all sessions occupies together.
//!
//! Invariant: a session that holds little is never affected by what others hold.

use std::cell::Cell;
use std::rc::Rc;

/// Size up to which the data of a session is always kept.
const SMALL_BYTES: usize = 16 << 10;

/// The bytes that all sessions hold, and their limit.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used; `limit` is in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Cell::default() }
    }

    /// The bytes that all sessions hold.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// The part of one session.
#[derive(Debug)]
pub struct MemoryShare {
    budget: Rc<MemoryBudget>,
    bytes: Cell<usize>,
}

impl MemoryShare {
    /// Creates the part of a session that holds nothing.
    #[must_use]
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        Self { budget, bytes: Cell::default() }
    }

    /// The bytes that the session holds.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// The bytes that all sessions hold.
    #[must_use]
    pub fn total(&self) -> usize {
        self.budget.used()
    }

    /// Records how much the session holds; returns whether it may keep that.
    pub fn record(&self, bytes: usize) -> bool {
        let total = self.budget.used.get() - self.bytes.replace(bytes) + bytes;
        self.budget.used.set(total);
        bytes <= SMALL_BYTES || total <= self.budget.limit
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.record(0);
    }
}
