//! A statement that waits, in order, for a connection to an instance.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use persimmon_balancing::{ConnectionRank, ConnectionWaiters, WaiterId};
use persimmon_types::Clock;
use tokio::sync::Notify;

/// A place among the waiters, left when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionWaiter {
    waiters: Rc<RefCell<ConnectionWaiters>>,
    released: Rc<Notify>,
    id: WaiterId,
}

impl ConnectionWaiter {
    /// Adds a statement to the waiters; `released` wakes them.
    pub(crate) fn new(
        waiters: Rc<RefCell<ConnectionWaiters>>,
        released: Rc<Notify>,
        rank: ConnectionRank,
        workspace: Option<Arc<str>>,
    ) -> Self {
        let id = waiters.borrow_mut().add(Clock.now(), rank, workspace);
        Self { waiters, released, id }
    }

    /// Whether it may take one of `available` connections that it can use.
    pub(crate) fn may_take(&self, available: usize) -> bool {
        self.waiters.borrow().may_take(Clock.now(), self.id, available)
    }
}

impl Drop for ConnectionWaiter {
    fn drop(&mut self) {
        let mut waiters = self.waiters.borrow_mut();
        waiters.remove(self.id);
        if !waiters.is_empty() {
            // A connection may be left for the next one.
            self.released.notify_waiters();
        }
    }
}
