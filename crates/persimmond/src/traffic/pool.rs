//! Connections of one traffic thread to instances, bounded by the table's caps.
//!
//! Invariants:
//!
//! - At most the thread's share of an instance's connections is open or being opened at once.
//! - Only a connection at rest is used again.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::time::{Millis, timeout};
use persimmon_pg::sqlstate;
use persimmon_table::Table;
use persimmon_types::{Clock, InstanceId, Term, Time};
use tokio::sync::oneshot;

use crate::backend::{Backend, BackendError};
use crate::counters::Counters;

/// Connections of each instance left to holders' probes, orders and replication.
const CONTROL_RESERVE: u32 = 8;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an instance may take to change a connection's term.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection with more prepared statements than this is closed after use.
const PREPARED_LIMIT: usize = 1_000;

/// Why no connection could be had; nothing of the request was sent.
#[derive(Debug)]
pub(crate) enum AcquireError {
    /// The instance cannot be reached, or does not serve the term.
    Failed,
    /// The instance follows another term, which it names.
    Term(Term),
    /// Every connection stayed in use until the allowed waiting had passed.
    TimedOut,
    /// Too many requests wait already.
    QueueFull,
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Backend>,
    open: usize,
    waiters: VecDeque<oneshot::Sender<Option<Backend>>>,
}

/// The pools of one thread.
pub(crate) struct Pools {
    threads: u32,
    counters: Arc<Counters>,
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
}

/// The right to one connection; gives it back when dropped.
#[derive(Debug)]
struct Permit {
    address: SocketAddr,
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&self.address) else {
            return;
        };
        pool.open = pool.open.saturating_sub(1);
        // One waiter may open a connection in place of the one that is gone.
        while let Some(waiter) = pool.waiters.pop_front() {
            if waiter.send(None).is_ok() {
                break;
            }
        }
    }
}

/// A connection in use.
#[derive(Debug)]
pub(crate) struct Lease {
    backend: Option<Backend>,
    permit: Option<Permit>,
    reusable: bool,
}

impl Lease {
    /// The connection.
    pub(crate) fn backend(&mut self) -> &mut Backend {
        match &mut self.backend {
            Some(backend) => backend,
            None => unreachable!("a lease holds its connection until it is dropped"),
        }
    }

    /// Prevents the connection from being used again.
    pub(crate) fn condemn(&mut self) {
        self.reusable = false;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let (Some(backend), Some(permit)) = (self.backend.take(), self.permit.take()) else {
            return;
        };
        let is_reusable = self.reusable
            && backend.at_rest
            && !backend.is_closed()
            && backend.prepared.len() < PREPARED_LIMIT;
        if !is_reusable {
            return;
        }
        let pools = Rc::clone(&permit.pools);
        let address = permit.address;
        // The permit goes with the connection.
        std::mem::forget(permit);
        give(&pools, address, backend);
    }
}

/// Gives a connection at rest to the next waiter, or keeps it.
fn give(pools: &RefCell<HashMap<SocketAddr, Pool>>, address: SocketAddr, backend: Backend) {
    let mut pools = pools.borrow_mut();
    let pool = pools.entry(address).or_default();
    let mut backend = Some(backend);
    while let Some(waiter) = pool.waiters.pop_front() {
        match waiter.send(backend.take()) {
            Ok(()) => return,
            Err(returned) => backend = returned,
        }
    }
    pool.idle.extend(backend);
}

impl Pools {
    pub(crate) fn new(threads: usize, counters: &Arc<Counters>) -> Self {
        Self {
            threads: u32::try_from(threads).unwrap_or(u32::MAX),
            counters: Arc::clone(counters),
            pools: Rc::default(),
        }
    }

    /// This thread's share of an instance's connections.
    fn share(&self, table: &Table, id: InstanceId) -> usize {
        let row = table.instance_row(id);
        let daemons = table.service_row(row.service).daemons;
        let for_callers = row.connections.saturating_sub(CONTROL_RESERVE);
        (for_callers / daemons / self.threads).max(1) as usize
    }

    /// Takes a connection to an instance, which checks `term` for each statement.
    pub(crate) async fn acquire(
        &self,
        table: &Table,
        id: InstanceId,
        term: Option<Term>,
        until: Time,
    ) -> Result<Lease, AcquireError> {
        let address = table.instance_row(id).address;
        let queue = table.service_row(table.instance_row(id).service).queue;
        let share = self.share(table, id);
        loop {
            let mut lease = match self.take(address, share, queue, until).await? {
                Some(lease) => lease,
                None => self.open(address, until).await?,
            };
            if lease.backend().is_closed() {
                lease.condemn();
                continue;
            }
            if lease.backend().fence == term {
                return Ok(lease);
            }
            match fence(lease.backend(), term).await {
                Ok(()) => return Ok(lease),
                Err(FenceError::Term(term)) => return Err(AcquireError::Term(term)),
                // An idle connection may have broken unnoticed; a new one tells.
                Err(FenceError::Broken) => lease.condemn(),
            }
        }
    }

    /// Takes an idle connection, or the right to open one (`None`), waiting for either.
    async fn take(
        &self,
        address: SocketAddr,
        share: usize,
        queue: usize,
        until: Time,
    ) -> Result<Option<Lease>, AcquireError> {
        let receiver = {
            let mut pools = self.pools.borrow_mut();
            let pool = pools.entry(address).or_default();
            if let Some(backend) = pool.idle.pop() {
                return Ok(Some(self.lease(address, backend)));
            }
            if pool.open < share {
                pool.open += 1;
                return Ok(None);
            }
            if pool.waiters.len() >= queue {
                return Err(AcquireError::QueueFull);
            }
            let (tx, rx) = oneshot::channel();
            pool.waiters.push_back(tx);
            rx
        };
        let left = until.since(Clock.now());
        match timeout(millis(left), receiver).await {
            Ok(Ok(Some(backend))) => Ok(Some(self.lease(address, backend))),
            Ok(Ok(None)) => {
                self.pools.borrow_mut().entry(address).or_default().open += 1;
                Ok(None)
            }
            _ => Err(AcquireError::TimedOut),
        }
    }

    fn lease(&self, address: SocketAddr, backend: Backend) -> Lease {
        Lease { backend: Some(backend), permit: Some(self.permit(address)), reusable: true }
    }

    fn permit(&self, address: SocketAddr) -> Permit {
        Permit { address, pools: Rc::clone(&self.pools) }
    }

    /// Opens a connection under a right that `take` gave.
    async fn open(&self, address: SocketAddr, until: Time) -> Result<Lease, AcquireError> {
        let permit = self.permit(address);
        Counters::increment(&self.counters.backend_connects);
        let left = until.since(Clock.now());
        let parameters = [("user", "persimmon"), ("application_name", "persimmond")];
        match Backend::connect(address, &parameters, CONNECT_TIMEOUT.min(left)).await {
            Ok(backend) => {
                Ok(Lease { backend: Some(backend), permit: Some(permit), reusable: true })
            }
            Err(err) => {
                Counters::increment(&self.counters.backend_failures);
                tracing::debug!(%address, error = %err, "no connection");
                Err(match err {
                    BackendError::Refused(fields)
                        if fields.code == sqlstate::TOO_MANY_CONNECTIONS =>
                    {
                        AcquireError::TimedOut
                    }
                    _ => AcquireError::Failed,
                })
            }
        }
    }
}

enum FenceError {
    Term(Term),
    Broken,
}

/// Lets the instance check `term` for every further statement of the connection.
async fn fence(backend: &mut Backend, term: Option<Term>) -> Result<(), FenceError> {
    let number = term.unwrap_or_default();
    let sql = format!("SELECT persimmon_fence({number})");
    match backend.ask(&sql, FENCE_TIMEOUT).await {
        Ok(Ok(_)) => {
            backend.fence = term;
            Ok(())
        }
        Ok(Err(fields)) if fields.code == sqlstate::TERM_REFUSED => {
            Err(FenceError::Term(crate::control::refused_term(&fields.message)))
        }
        _ => Err(FenceError::Broken),
    }
}

/// A wait of at least one millisecond, because zero means no limit to the timer.
pub(crate) fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX).max(1))
}
