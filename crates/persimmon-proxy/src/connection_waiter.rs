//! The statements that wait for a connection to one instance, some of them in order.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use persimmon_balancing::{ConnectionRank, ConnectionWaiters, WaiterId};
use persimmon_types::Clock;
use tokio::sync::Notify;

/// Who waits for a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionQueue {
    waiters: Rc<RefCell<ConnectionWaiters>>,
    released: Rc<Notify>,
}

impl ConnectionQueue {
    /// Number of statements that wait in order.
    pub(crate) fn len(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Notified when a connection is available or one failed to open.
    pub(crate) fn released(&self) -> Rc<Notify> {
        Rc::clone(&self.released)
    }

    /// Wakes those for whom a connection was released.
    pub(crate) fn notify_released(&self) {
        if self.len() == 0 {
            self.released.notify_one();
        } else {
            // Each of them checks whether it is its turn.
            self.notify_all();
        }
    }

    /// Wakes all that wait.
    pub(crate) fn notify_all(&self) {
        self.released.notify_waiters();
    }

    /// Adds a statement that waits in order.
    pub(crate) fn add(
        &self,
        rank: ConnectionRank,
        workspace: Option<Arc<str>>,
    ) -> ConnectionWaiter {
        let id = self.waiters.borrow_mut().add(Clock.now(), rank, workspace);
        let (waiters, released) = (Rc::clone(&self.waiters), Rc::clone(&self.released));
        ConnectionWaiter { waiters, released, id }
    }
}

/// A place among the statements that wait in order, left when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionWaiter {
    waiters: Rc<RefCell<ConnectionWaiters>>,
    released: Rc<Notify>,
    id: WaiterId,
}

impl ConnectionWaiter {
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
