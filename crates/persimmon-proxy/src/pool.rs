//! Pool of connections to instances, each checked out by one session at a time.
//!
//! Connections are limited and expensive to open: an idle one that already has the session's
//! variables is preferred, few are opened concurrently, and idle ones are closed when an instance
//! refuses more. In a deployment with workspaces, a connection carries one workspace for its life;
//! [`WorkspaceConnections`] decides which workspaces have one.

mod opening;
mod sweep;
mod workspaces;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{
    AdmissionController, ConnectionCounts, HandshakeLimiter, IdleConnectionPolicy, InstanceLoad,
    WorkspaceConnections, WorkspaceLimits, WorkspaceName,
};
use persimmon_interfaces::{Instance, InstanceProtocol};
use persimmon_types::{Clock, Time};
use tokio::sync::Semaphore;

use crate::connection::{BackendConnection, ConnectionUser, DesiredState};
use crate::connection_waiter::{ConnectionQueue, ConnectionWaiter};
use crate::metrics::Metrics;
use crate::peer_list::PeerList;
use crate::pool::workspaces::WaitGuard;

/// How long `acquire` waits for a returned connection before it checks again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Why no connection was available; nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// The host is reachable, but the instance's process does not accept connections.
    Refused,
    /// The host did not answer in time.
    Silent,
    /// The instance's connection limit is reached.
    Full,
    /// Another instance answers at the address.
    Replaced,
    /// No connection became available in time.
    Waited,
}

impl Unavailable {
    /// Whether the instance, or the network path to it, seems to have failed.
    pub(crate) fn is_unreachable(&self) -> bool {
        matches!(self, Self::Refused | Self::Silent | Self::Replaced)
    }
}

#[derive(Debug, Default)]
struct InstanceEntry {
    born_ms: u64,
    idle: Vec<BackendConnection>,
    counts: ConnectionCounts,
    idle_policy: IdleConnectionPolicy,
    connections: WorkspaceConnections,
    /// The limits by which an owner in a deployment with workspaces opened a connection last.
    workspace_limits: Option<WorkspaceLimits>,
    load: InstanceLoad,
    admission: AdmissionController,
    refused_until: Time,
    /// Whether the latest attempt to connect failed; only the first failure in a row is logged.
    is_failing: bool,
    /// Number of failed attempts to connect, by which waiting tasks notice a new failure.
    failures: u64,
    /// Why the latest attempt failed.
    last_failure: Option<Unavailable>,
    /// Who waits for a connection.
    queue: ConnectionQueue,
}

/// The connection pool of one thread.
#[derive(Debug)]
pub(crate) struct Pool {
    protocol: Arc<dyn InstanceProtocol>,
    metrics: Arc<Metrics>,
    peers: Arc<PeerList>,
    entries: RefCell<HashMap<Arc<str>, InstanceEntry>>,
    handshake_permits: Semaphore,
    handshake_limiter: Cell<HandshakeLimiter>,
    /// Whether the deployment has workspaces.
    has_workspaces: Cell<bool>,
    started_at: Time,
}

/// A checked-out connection; dropping it returns the connection to the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    backend: Option<BackendConnection>,
    /// The workspace for which it was opened.
    workspace: WorkspaceName,
    is_pinned: bool,
    taken_at: Time,
    pool: Rc<Pool>,
    /// The instance at its other end.
    pub(crate) instance: Arc<Instance>,
}

impl PooledConnection {
    /// The connection.
    pub(crate) fn backend(&mut self) -> &mut BackendConnection {
        match &mut self.backend {
            Some(backend) => backend,
            None => unreachable!("a pooled connection is present until it is dropped"),
        }
    }

    /// Marks the connection as pinned by an open transaction.
    pub(crate) fn pin(&mut self) {
        let mut entries = self.pool.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(&self.instance.id)
            && !std::mem::replace(&mut self.is_pinned, true)
        {
            entry.counts.pinned += 1;
            entry.connections.record_pinned(&self.workspace);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(backend) = self.backend.take() {
            let held = Clock.now().since(self.taken_at);
            self.pool.release(&self.instance.id, backend, self.is_pinned, held);
        }
    }
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(
        protocol: Arc<dyn InstanceProtocol>,
        metrics: Arc<Metrics>,
        peers: Arc<PeerList>,
    ) -> Self {
        let handshake_permits = Semaphore::new(HandshakeLimiter::max_concurrent() as usize);
        let (entries, handshake_limiter) = (RefCell::default(), Cell::default());
        Self {
            protocol,
            metrics,
            peers,
            entries,
            handshake_permits,
            handshake_limiter,
            has_workspaces: Cell::new(false),
            started_at: Clock.now(),
        }
    }

    /// Whether an instance allows fewer connections than there are daemons, or recently refused
    /// one.
    pub(crate) fn is_scarce(&self, id: &str, now: Time) -> bool {
        self.entries.borrow().get(id).is_some_and(|entry| entry.idle_policy.is_scarce(now))
    }

    /// Accesses the load tracked for an instance.
    pub(crate) fn load<T>(&self, id: &Arc<str>, f: impl FnOnce(&mut InstanceLoad) -> T) -> T {
        f(&mut self.entries.borrow_mut().entry(Arc::clone(id)).or_default().load)
    }

    /// Accesses the admission control of an instance.
    pub(crate) fn admission<T>(
        &self,
        id: &Arc<str>,
        f: impl FnOnce(&mut AdmissionController) -> T,
    ) -> T {
        f(&mut self.entries.borrow_mut().entry(Arc::clone(id)).or_default().admission)
    }

    /// An instance's load, and whether there is an idle connection to it for `user`, or one that
    /// becomes idle sooner than a new one opens.
    pub(crate) fn load_and_idle(
        &self,
        id: &Arc<str>,
        user: ConnectionUser<'_>,
    ) -> (InstanceLoad, bool) {
        let entries = self.entries.borrow();
        entries.get(id).map_or_else(
            || (InstanceLoad::new(), false),
            |entry| {
                let is_usable = |b: &BackendConnection| user.accepts(b.workspace().as_ref());
                let is_idle = entry.idle.iter().any(is_usable);
                let is_connected = is_idle || self.is_soon_free(entry, user);
                (entry.load.clone(), is_connected)
            },
        )
    }

    /// Whether there is an idle connection, so that a query needs none of the connections that
    /// daemons share.
    pub(crate) fn has_idle(&self, id: &str) -> bool {
        self.entries
            .borrow()
            .get(id)
            .is_some_and(|entry| entry.idle.iter().any(BackendConnection::is_idle))
    }

    fn release(&self, id: &Arc<str>, backend: BackendConnection, was_pinned: bool, held: Duration) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(id) else {
            return;
        };
        entry.counts.checked_out = entry.counts.checked_out.saturating_sub(1);
        entry.counts.pinned = entry.counts.pinned.saturating_sub(usize::from(was_pinned));
        entry.connections.record_returned(backend.workspace(), was_pinned, held);
        if backend.is_idle() && !backend.has_large_state() {
            entry.idle.push(backend);
        }
        if self.has_workspaces.get() {
            // The first waiter may belong to another workspace, which cannot use the connection.
            entry.queue.notify_all();
        } else {
            entry.queue.notify_released();
        }
    }

    /// Whether more statements wait for a connection, in order, than are idle. Further ones can only
    /// wait for the next connection to open.
    pub(crate) fn needs_connections(&self, id: &str) -> bool {
        let entries = self.entries.borrow();
        entries.get(id).is_some_and(|entry| entry.queue.len() > entry.idle.len())
    }

    fn wait_in_order(
        &self,
        instance: &Instance,
        desired: &DesiredState<'_>,
    ) -> Option<ConnectionWaiter> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(Arc::clone(&instance.id)).or_default();
        desired.rank.map(|rank| entry.queue.add(rank, desired.user.workspace()))
    }

    /// Takes an idle connection of the desired user, preferring one that already has the desired
    /// session variables.
    fn take_idle(
        &self,
        instance: &Instance,
        desired: &DesiredState<'_>,
        waiter: Option<&ConnectionWaiter>,
    ) -> Option<BackendConnection> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(Arc::clone(&instance.id)).or_default();
        if entry.born_ms != instance.born_ms {
            // A new process uses this instance id; the recorded state belongs to the previous one.
            *entry = InstanceEntry {
                born_ms: instance.born_ms,
                counts: entry.counts,
                connections: std::mem::take(&mut entry.connections),
                ..InstanceEntry::default()
            };
        }
        entry.idle.retain(BackendConnection::is_idle);
        let is_usable =
            |backend: &BackendConnection| desired.user.accepts(backend.workspace().as_ref());
        let usable = entry.idle.iter().filter(|b| is_usable(b)).count();
        if waiter.is_some_and(|waiter| !waiter.may_take(usable)) {
            return None;
        }
        let matching = desired.variables.and_then(|variables| {
            let matches = |b: &BackendConnection| is_usable(b) && b.has_variables(variables);
            entry.idle.iter().position(matches)
        });
        // The most recently used connections are at the end.
        let index = matching.or_else(|| entry.idle.iter().rposition(is_usable))?;
        let backend = entry.idle.remove(index);
        entry.counts.checked_out += 1;
        entry.connections.record_taken(backend.workspace());
        Some(backend)
    }

    /// Checks out a connection to an instance; `max_connections` is its limit over all daemons.
    ///
    /// A connection that opens meanwhile goes to the first waiter, and stays idle if nobody waits
    /// any more: closing it would waste the slot that its handshake occupied.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        instance: &Arc<Instance>,
        desired: &DesiredState<'_>,
        max_connections: u32,
        deadline: Time,
    ) -> Result<PooledConnection, Unavailable> {
        let mut failures_before = None;
        let mut waiting: Option<WaitGuard> = None;
        let waiter = self.wait_in_order(instance, desired);
        loop {
            if let Some(backend) = self.take_idle(instance, desired, waiter.as_ref()) {
                if let Some(waiting) = waiting {
                    waiting.end_served();
                } else {
                    self.record_arrival(&instance.id, desired.user);
                }
                return Ok(PooledConnection {
                    workspace: backend.workspace().clone(),
                    backend: Some(backend),
                    is_pinned: false,
                    taken_at: Clock.now(),
                    pool: Rc::clone(self),
                    instance: Arc::clone(instance),
                });
            }
            let now = Clock.now();
            if now >= deadline {
                return Err(Unavailable::Waited);
            }
            let waiting = waiting.get_or_insert_with(|| {
                self.record_arrival(&instance.id, desired.user);
                WaitGuard::new(self, &instance.id, desired.user, now)
            });
            let waited = waiting.waited(now);
            let reserved =
                self.try_reserve_open(instance, now, max_connections, desired.user, waited);
            if let Some(reservation) = reserved {
                let (pool, instance) = (Rc::clone(self), Arc::clone(instance));
                let workspace = desired.user.workspace();
                ntex::rt::spawn(async move { pool.open(&instance, workspace, reservation).await });
            }
            let (released, recheck_after) = {
                let mut entries = self.entries.borrow_mut();
                let entry = entries.entry(Arc::clone(&instance.id)).or_default();
                let before = *failures_before.get_or_insert(entry.failures);
                if before != entry.failures {
                    return Err(entry.last_failure.clone().unwrap_or(Unavailable::Waited));
                }
                if now < entry.refused_until && entry.counts.is_empty() {
                    return Err(Unavailable::Full);
                }
                (entry.queue.released(), self.recheck_interval(entry, now))
            };
            let wait = recheck_after.min(deadline.since(now));
            // A timeout only makes the loop check again.
            let _ = tokio::time::timeout(wait, released.notified()).await;
        }
    }
}
