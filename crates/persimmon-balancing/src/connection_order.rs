//! Which of the statements that wait for a connection to an instance gets the next one.
//!
//! Handles the moment in which few connections are open and many statements wait, such as after a
//! restart: each handshake occupies a slot, so connections come one at a time. The order is that of
//! the dispatch queue: open transactions, then the priority of the route, then the least slack. A
//! statement that was passed over for long comes first, so that none starves.

use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

/// How long a waiter may be passed over: two thirds of the tightest objective.
const MAX_PASSED_OVER: Duration = Duration::from_millis(100);

/// What decides when a statement gets a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionRank {
    /// Priority of its route; 0 is the most important.
    pub priority: u8,
    /// Until when its answer meets the objective of its route.
    pub objective_at: Time,
}

/// Identifies a waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterId(u64);

#[derive(Clone, Debug)]
struct Waiter {
    id: WaiterId,
    rank: ConnectionRank,
    workspace: Option<Arc<str>>,
    since: Time,
}

impl Waiter {
    fn key(&self, now: Time) -> (bool, u8, bool, Time, WaiterId) {
        let was_passed_over = now.since(self.since) >= MAX_PASSED_OVER;
        if was_passed_over {
            return (false, 0, false, self.since, self.id);
        }
        let ConnectionRank { priority, objective_at } = self.rank;
        (true, priority, now >= objective_at, objective_at, self.id)
    }
}

/// The statements that wait for a connection to one instance.
#[derive(Clone, Debug, Default)]
pub struct ConnectionWaiters {
    waiters: Vec<Waiter>,
    last_id: u64,
}

impl ConnectionWaiters {
    /// Adds a statement that needs a connection of `workspace`.
    pub fn add(
        &mut self,
        now: Time,
        rank: ConnectionRank,
        workspace: Option<Arc<str>>,
    ) -> WaiterId {
        self.last_id += 1;
        let id = WaiterId(self.last_id);
        self.waiters.push(Waiter { id, rank, workspace, since: now });
        id
    }

    /// Removes a statement that has a connection or waits no longer.
    pub fn remove(&mut self, id: WaiterId) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Number of waiters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Whether a waiter may take one of `available` connections that it can use: fewer than that
    /// many waiters for the same workspace come before it.
    #[must_use]
    pub fn may_take(&self, now: Time, id: WaiterId, available: usize) -> bool {
        let Some(own) = self.waiters.iter().find(|waiter| waiter.id == id) else {
            return true;
        };
        let key = own.key(now);
        let is_before = |w: &&Waiter| w.workspace == own.workspace && w.key(now) < key;
        self.waiters.iter().filter(is_before).count() < available
    }
}
