//! Connection pools of one traffic thread, bounded by the connection limits of the table.
//!
//! Invariants:
//!
//! - At most the thread's share of an instance's connections is open or being opened at once.
//! - Only an idle connection, with nothing outstanding, is reused.

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

use crate::backend::{BackendConnection, BackendError};
use crate::counters::Counters;

/// Connections of each instance that are reserved for coordinators' probes and control commands and
/// for replication.
const RESERVED_CONTROL_CONNECTIONS: u32 = 8;

/// How long the handshake of a connection may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an instance may take to change the term that it checks for a connection.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection with this many prepared statements or more is closed instead of being reused.
const MAX_PREPARED_STATEMENTS: usize = 1_000;

/// Why no connection could be acquired; nothing of the request was sent.
#[derive(Debug)]
pub(crate) enum AcquireError {
    /// The instance cannot be reached, or does not serve the term.
    Failed,
    /// The instance is in another term, which it names.
    Term(Term),
    /// No connection became available before the deadline.
    TimedOut,
    /// The queue of waiting requests is full.
    QueueFull,
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<BackendConnection>,
    open_count: usize,
    waiters: VecDeque<oneshot::Sender<Option<BackendConnection>>>,
}

/// The pools of one thread, by the address of the instance.
pub(crate) struct Pools {
    threads: u32,
    counters: Arc<Counters>,
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
}

/// The permit for one connection; dropping it makes room for another.
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
        pool.open_count = pool.open_count.saturating_sub(1);
        // One waiter may open a connection in place of the closed one.
        while let Some(waiter) = pool.waiters.pop_front() {
            if waiter.send(None).is_ok() {
                break;
            }
        }
    }
}

/// A connection that is checked out; dropping it returns it to the pool or closes it.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    backend: Option<BackendConnection>,
    permit: Option<Permit>,
    is_reusable: bool,
}

impl PooledConnection {
    /// The connection.
    pub(crate) fn backend(&mut self) -> &mut BackendConnection {
        match &mut self.backend {
            Some(backend) => backend,
            None => unreachable!("a pooled connection is present until it is dropped"),
        }
    }

    /// Makes the connection be closed when it is dropped instead of being reused.
    pub(crate) fn discard_on_drop(&mut self) {
        self.is_reusable = false;
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let (Some(backend), Some(permit)) = (self.backend.take(), self.permit.take()) else {
            return;
        };
        let is_reusable = self.is_reusable
            && backend.is_idle
            && !backend.is_closed()
            && backend.prepared.len() < MAX_PREPARED_STATEMENTS;
        if !is_reusable {
            return;
        }
        let pools = Rc::clone(&permit.pools);
        let address = permit.address;
        // The connection stays open, so its permit remains in use.
        std::mem::forget(permit);
        check_in(&pools, address, backend);
    }
}

/// Hands an idle connection to the next waiter, or stores it in the pool.
fn check_in(
    pools: &RefCell<HashMap<SocketAddr, Pool>>,
    address: SocketAddr,
    backend: BackendConnection,
) {
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

    /// Returns this thread's share of an instance's connections.
    fn share(&self, table: &Table, id: InstanceId) -> usize {
        let row = table.instance_row(id);
        let daemons = table.service_row(row.service).expected_daemons;
        let for_clients = row.max_connections.saturating_sub(RESERVED_CONTROL_CONNECTIONS);
        (for_clients / daemons / self.threads).max(1) as usize
    }

    /// Acquires a connection to an instance that checks `term` for each of its statements.
    pub(crate) async fn acquire(
        &self,
        table: &Table,
        id: InstanceId,
        term: Option<Term>,
        deadline: Time,
    ) -> Result<PooledConnection, AcquireError> {
        let address = table.instance_row(id).address;
        let max_queued = table.service_row(table.instance_row(id).service).max_queued;
        let share = self.share(table, id);
        loop {
            let mut connection = match self.checkout(address, share, max_queued, deadline).await? {
                Some(connection) => connection,
                None => self.open(address, deadline).await?,
            };
            if connection.backend().is_closed() {
                connection.discard_on_drop();
                continue;
            }
            if connection.backend().fenced_term == term {
                return Ok(connection);
            }
            match fence(connection.backend(), term).await {
                Ok(()) => return Ok(connection),
                Err(FenceError::Term(term)) => return Err(AcquireError::Term(term)),
                // A pooled connection may have broken unnoticed, so try another one or a new one.
                Err(FenceError::Broken) => connection.discard_on_drop(),
            }
        }
    }

    /// Checks out an idle connection, or reserves room to open one (`None`); waits for either.
    async fn checkout(
        &self,
        address: SocketAddr,
        share: usize,
        max_queued: usize,
        deadline: Time,
    ) -> Result<Option<PooledConnection>, AcquireError> {
        let receiver = {
            let mut pools = self.pools.borrow_mut();
            let pool = pools.entry(address).or_default();
            if let Some(backend) = pool.idle.pop() {
                return Ok(Some(self.pooled(address, backend)));
            }
            if pool.open_count < share {
                pool.open_count += 1;
                return Ok(None);
            }
            if pool.waiters.len() >= max_queued {
                return Err(AcquireError::QueueFull);
            }
            let (tx, rx) = oneshot::channel();
            pool.waiters.push_back(tx);
            rx
        };
        let left = deadline.since(Clock.now());
        match timeout(millis(left), receiver).await {
            Ok(Ok(Some(backend))) => Ok(Some(self.pooled(address, backend))),
            Ok(Ok(None)) => {
                self.pools.borrow_mut().entry(address).or_default().open_count += 1;
                Ok(None)
            }
            _ => Err(AcquireError::TimedOut),
        }
    }

    fn pooled(&self, address: SocketAddr, backend: BackendConnection) -> PooledConnection {
        PooledConnection {
            backend: Some(backend),
            permit: Some(self.permit(address)),
            is_reusable: true,
        }
    }

    fn permit(&self, address: SocketAddr) -> Permit {
        Permit { address, pools: Rc::clone(&self.pools) }
    }

    /// Opens a connection in the room that [`Self::checkout`] reserved.
    async fn open(
        &self,
        address: SocketAddr,
        deadline: Time,
    ) -> Result<PooledConnection, AcquireError> {
        let permit = self.permit(address);
        Counters::increment(&self.counters.backend_connects);
        let left = deadline.since(Clock.now());
        let parameters = [("user", "persimmon"), ("application_name", "persimmond")];
        match BackendConnection::connect(address, &parameters, HANDSHAKE_TIMEOUT.min(left)).await {
            Ok(backend) => Ok(PooledConnection {
                backend: Some(backend),
                permit: Some(permit),
                is_reusable: true,
            }),
            Err(err) => {
                Counters::increment(&self.counters.backend_failures);
                tracing::debug!(%address, error = %err, "cannot open a connection to an instance");
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

/// Makes the instance check `term` for every further statement of the connection.
async fn fence(backend: &mut BackendConnection, term: Option<Term>) -> Result<(), FenceError> {
    let number = term.unwrap_or_default();
    let sql = format!("SELECT persimmon_fence({number})");
    match backend.query(&sql, FENCE_TIMEOUT).await {
        Ok(Ok(_)) => {
            backend.fenced_term = term;
            Ok(())
        }
        Ok(Err(fields)) if fields.code == sqlstate::TERM_REFUSED => {
            Err(FenceError::Term(crate::control::refused_term(&fields.message)))
        }
        _ => Err(FenceError::Broken),
    }
}

/// Converts a duration to at least one millisecond, because zero means no limit to the timer.
pub(crate) fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX).max(1))
}
