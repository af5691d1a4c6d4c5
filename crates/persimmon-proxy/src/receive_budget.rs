//! Limits the memory that incomplete messages of clients occupy together.
//!
//! Invariant: a session whose incomplete message is small is never affected by those of others.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for incomplete messages of all sessions: some of the largest messages, and a fraction of
/// the smallest host's memory.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// Size up to which an incomplete message is always kept.
const SMALL_BYTES: usize = 16 << 10;

/// The bytes of incomplete messages of all sessions.
#[derive(Debug, Default)]
pub struct ReceiveBudget(Cell<usize>);

/// The part of one session.
#[derive(Debug)]
pub struct ReceiveShare {
    budget: Rc<ReceiveBudget>,
    bytes: Cell<usize>,
}

impl ReceiveShare {
    /// Creates the part of a session that has received nothing.
    #[must_use]
    pub fn new(budget: Rc<ReceiveBudget>) -> Self {
        Self { budget, bytes: Cell::default() }
    }

    /// Records the size of the session's incomplete message, zero if there is none; returns whether
    /// it may be kept.
    pub fn record(&self, bytes: usize) -> bool {
        let total = self.budget.0.get() - self.bytes.replace(bytes) + bytes;
        self.budget.0.set(total);
        bytes <= SMALL_BYTES || total <= MAX_TOTAL_BYTES
    }
}

impl Drop for ReceiveShare {
    fn drop(&mut self) {
        self.record(0);
    }
}
