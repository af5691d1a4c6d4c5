//! Pool of connections to instances, each checked out by one session at a time.
//!
//! Connections are limited and expensive to open: an idle one that already has the session's
//! variables is preferred, few are opened concurrently, and idle ones are closed when an instance
//! refuses more.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{
    AdmissionController, ConnectionCounts, ConnectionLimits, HandshakeLimiter,
    IdleConnectionPolicy, InstanceLoad,
};
use persimmon_interfaces::{ErrorCode, Instance, InstanceProtocol};
use persimmon_types::{Clock, Time};
use tokio::sync::Semaphore;

use crate::connection::{BackendConnection, ConnectionError, ConnectionUser, DesiredState};
use crate::connection_waiter::{ConnectionQueue, ConnectionWaiter};
use crate::metrics::Metrics;
use crate::peer_list::PeerList;

/// How long a connection may take to open: the handshake queues for a slot at the instance behind
/// waiting statements.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// How long no connection is opened after the instance refused one for its connection limit.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// How long `acquire` waits for a returned connection before it checks again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Idle connections are closed after this time; the instance itself closes them after a minute.
const MAX_IDLE_TIME: Duration = Duration::from_secs(25);

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
}

/// A checked-out connection; dropping it returns the connection to the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    backend: Option<BackendConnection>,
    is_pinned: bool,
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
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(backend) = self.backend.take() {
            self.pool.release(&self.instance.id, backend, self.is_pinned);
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
        Self { protocol, metrics, peers, entries, handshake_permits, handshake_limiter }
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

    /// An instance's load, and whether there is an idle connection to it for `user`.
    pub(crate) fn load_and_idle(
        &self,
        id: &Arc<str>,
        user: ConnectionUser<'_>,
    ) -> (InstanceLoad, bool) {
        let entries = self.entries.borrow();
        entries.get(id).map_or_else(
            || (InstanceLoad::new(), false),
            |entry| {
                let is_usable = |b: &BackendConnection| user.accepts(b.workspace());
                (entry.load.clone(), entry.idle.iter().any(is_usable))
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

    fn release(&self, id: &Arc<str>, backend: BackendConnection, was_pinned: bool) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(id) else {
            return;
        };
        entry.counts.checked_out = entry.counts.checked_out.saturating_sub(1);
        entry.counts.pinned = entry.counts.pinned.saturating_sub(usize::from(was_pinned));
        if backend.is_idle() && !backend.has_large_state() {
            entry.idle.push(backend);
        }
        entry.queue.notify_released();
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
                ..InstanceEntry::default()
            };
        }
        entry.idle.retain(BackendConnection::is_idle);
        let is_usable = |backend: &BackendConnection| desired.user.accepts(backend.workspace());
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
        entry.counts.checked_out += 1;
        Some(entry.idle.remove(index))
    }

    /// Counts a connection as being opened, if the limits allow one; returns whether they do.
    fn try_reserve_open(&self, instance: &Instance, now: Time, max_connections: u32) -> bool {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(Arc::clone(&instance.id)).or_default();
        let sharers = self.peers.sharer_count(&instance.service, max_connections);
        let max_connections = max_connections as usize;
        entry.idle_policy.set_share(max_connections, sharers);
        let limits = ConnectionLimits {
            max_connections,
            slots: instance.slots as usize,
            // An unknown number may be large, so that the share is the lowest.
            sharers: sharers.unwrap_or(usize::MAX),
        };
        let may_open = entry.counts.may_open(limits, entry.admission.is_throttling())
            && now >= entry.refused_until;
        if may_open {
            entry.counts.opening += 1;
        }
        may_open
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
        let waiter = self.wait_in_order(instance, desired);
        loop {
            if let Some(backend) = self.take_idle(instance, desired, waiter.as_ref()) {
                let pool = Rc::clone(self);
                let instance = Arc::clone(instance);
                return Ok(PooledConnection {
                    backend: Some(backend),
                    is_pinned: false,
                    pool,
                    instance,
                });
            }
            let now = Clock.now();
            if now >= deadline {
                return Err(Unavailable::Waited);
            }
            if self.try_reserve_open(instance, now, max_connections) {
                let (pool, instance) = (Rc::clone(self), Arc::clone(instance));
                let workspace = desired.user.workspace();
                self.make_room(&instance.id, now, desired.user);
                ntex::rt::spawn(async move { pool.open(&instance, workspace).await });
            }
            let released = {
                let mut entries = self.entries.borrow_mut();
                let entry = entries.entry(Arc::clone(&instance.id)).or_default();
                let before = *failures_before.get_or_insert(entry.failures);
                if before != entry.failures {
                    return Err(entry.last_failure.clone().unwrap_or(Unavailable::Waited));
                }
                if now < entry.refused_until && entry.counts.is_empty() {
                    return Err(Unavailable::Full);
                }
                entry.queue.released()
            };
            let wait = RECHECK_INTERVAL.min(deadline.since(now));
            // A timeout only makes the loop check again.
            let _ = tokio::time::timeout(wait, released.notified()).await;
        }
    }

    /// Closes the idle connection of another workspace that was not used for the longest time, if as
    /// many are idle as this daemon keeps.
    fn make_room(&self, id: &Arc<str>, now: Time, user: ConnectionUser<'_>) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(id) else {
            return;
        };
        if entry.idle.len() < entry.idle_policy.max_idle(now).max(1) {
            return;
        }
        let oldest = entry.idle.iter().position(|backend| !user.accepts(backend.workspace()));
        if let Some(index) = oldest {
            entry.idle.remove(index);
        }
    }

    /// Opens a connection for a workspace and adds it to the idle ones.
    async fn open(&self, instance: &Arc<Instance>, workspace: Option<Arc<str>>) {
        let opening = OpeningGuard { pool: self, id: &instance.id };
        let connecting =
            BackendConnection::connect(&self.protocol, instance, workspace, OPEN_TIMEOUT);
        let connected = connecting.await;
        let opened = match connected {
            Ok(backend) => self.handshake(instance, backend).await,
            Err(err) => Err(err),
        };
        self.record_opened(instance, opened);
        drop(opening);
    }

    /// Performs the handshake once the limit on concurrent handshakes allows it. The limit does not
    /// cover connecting, so unreachable hosts do not delay handshakes with other instances.
    async fn handshake(
        &self,
        instance: &Instance,
        mut backend: BackendConnection,
    ) -> Result<BackendConnection, ConnectionError> {
        // A lower concurrency means that each handshake takes a larger share of the permits.
        let permits =
            HandshakeLimiter::max_concurrent() / self.handshake_limiter.get().concurrency();
        let Ok(_permit) = self.handshake_permits.acquire_many(permits).await else {
            unreachable!("the semaphore is never closed");
        };
        let began = Clock.now();
        let completed = backend.handshake(instance, OPEN_TIMEOUT).await;
        if matches!(completed, Ok(()) | Err(ConnectionError::TimedOut)) {
            self.record_handshake(instance, Clock.now().since(began));
        }
        completed.map(|()| backend)
    }

    /// Records the duration of a handshake, which waits for a slot like a statement.
    fn record_handshake(&self, instance: &Instance, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let mut limiter = self.handshake_limiter.get();
        let mut entries = self.entries.borrow_mut();
        let admission = &mut entries.entry(Arc::clone(&instance.id)).or_default().admission;
        let wait_ms = limiter.record_handshake(took_ms, !admission.is_throttling());
        admission.record_wait(Clock.now(), wait_ms);
        self.handshake_limiter.set(limiter);
    }

    fn record_opened(
        &self,
        instance: &Instance,
        opened: Result<BackendConnection, ConnectionError>,
    ) {
        let now = Clock.now();
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(Arc::clone(&instance.id)).or_default();
        Metrics::increment(&self.metrics.connections_opened);
        let err = match opened {
            Ok(backend) => {
                entry.idle.push(backend);
                if std::mem::take(&mut entry.is_failing) {
                    tracing::info!(instance = %instance.id, "instance accepts connections again");
                }
                return;
            }
            Err(err) => err,
        };
        Metrics::increment(&self.metrics.connections_failed);
        if !std::mem::replace(&mut entry.is_failing, true) {
            tracing::info!(instance = %instance.id, address = %instance.address, error = %err,
                lent = entry.counts.checked_out, idle = entry.idle.len(),
                "connecting to an instance failed");
        }
        let unavailable = unavailable(&err);
        if unavailable == Unavailable::Full {
            entry.idle_policy.record_refusal(now);
            entry.refused_until = now + REFUSAL_BACKOFF;
        } else {
            entry.load.record_unreachable(now);
        }
        entry.failures += 1;
        entry.last_failure = Some(unavailable);
    }

    /// Whether there is no connection to the instance and this daemon's share allows one to be
    /// opened in advance.
    fn needs_prewarming(&self, instance: &Instance, max_connections: u32, now: Time) -> bool {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(Arc::clone(&instance.id)).or_default();
        let sharers = self.peers.sharer_count(&instance.service, max_connections);
        entry.idle_policy.set_share(max_connections as usize, sharers);
        let has_none = entry.idle.is_empty() && entry.counts.is_empty();
        has_none && entry.idle_policy.max_idle(now) > 0 && !entry.load.is_avoided(now)
    }

    /// Opens a connection to an instance in advance, if there is none and the daemon's share allows
    /// it.
    pub(crate) async fn prewarm(self: &Rc<Self>, instance: &Arc<Instance>, max_connections: u32) {
        let now = Clock.now();
        if !self.needs_prewarming(instance, max_connections, now) {
            return;
        }
        // If this fails, a connection is opened on first use.
        let desired = DesiredState::default();
        let _ = self.acquire(instance, &desired, max_connections, now + OPEN_TIMEOUT).await;
    }

    /// Closes connections that exceed the idle limits or whose instance is no longer listed.
    pub(crate) fn close_idle(&self, now: Time, is_listed: impl Fn(&str) -> bool) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|id, entry| !entry.counts.is_empty() || is_listed(id));
        for (id, entry) in entries.iter_mut() {
            if !is_listed(id) {
                entry.idle.clear();
                continue;
            }
            let limit = entry.idle_policy.max_idle(now);
            let idle_timeout = entry.idle_policy.idle_timeout(now);
            // The most recently used connections are at the end.
            let surplus = entry.idle.len().saturating_sub(limit);
            let mut index = 0;
            entry.idle.retain(|backend| {
                let idle_for = now.since(backend.used_at);
                let is_surplus = index < surplus && idle_for > idle_timeout;
                index += 1;
                let is_last = surplus == 0 && limit > 0 && index == 1;
                backend.is_idle() && !is_surplus && (is_last || idle_for < MAX_IDLE_TIME)
            });
        }
    }
}

fn unavailable(err: &ConnectionError) -> Unavailable {
    match err {
        ConnectionError::Refused(ErrorCode::TooManyConnections, _) => Unavailable::Full,
        ConnectionError::Refused(ErrorCode::WrongInstance, _) => Unavailable::Replaced,
        // The host accepted the connection; the handshake is waiting for a slot.
        ConnectionError::TimedOut => Unavailable::Waited,
        ConnectionError::Broken(err) if err.kind() == std::io::ErrorKind::TimedOut => {
            Unavailable::Silent
        }
        // An instance that answers is alive, even if it refuses the session now.
        ConnectionError::Refused(..) => Unavailable::Waited,
        ConnectionError::Broken(_) | ConnectionError::Protocol(_) => Unavailable::Refused,
    }
}

/// Counts a connection as being opened until dropped.
struct OpeningGuard<'a> {
    pool: &'a Pool,
    id: &'a Arc<str>,
}

impl Drop for OpeningGuard<'_> {
    fn drop(&mut self) {
        if let Some(entry) = self.pool.entries.borrow_mut().get_mut(self.id) {
            entry.counts.opening = entry.counts.opening.saturating_sub(1);
            // Wakes all waiters: one takes the connection, another may open the next.
            entry.queue.notify_all();
        }
    }
}
