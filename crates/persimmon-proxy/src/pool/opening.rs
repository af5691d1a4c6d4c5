//! Opens connections to instances, within the limits on connections and handshakes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{ConnectionLimits, HandshakeLimiter, WorkspaceName};
use persimmon_interfaces::{ErrorCode, Instance};
use persimmon_types::{Clock, Time};

use crate::connection::{BackendConnection, ConnectionError, ConnectionUser, DesiredState};
use crate::metrics::Metrics;
use crate::pool::workspaces::workspace_limits;
use crate::pool::{Pool, Unavailable};

/// How long a connection may take to open: the handshake queues for a slot at the instance behind
/// waiting statements.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// How long no connection is opened after the instance refused one for its connection limit.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// The permission to open a connection, which is counted as being opened.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    /// Whether the limit on concurrent handshakes does not apply, because openings are spaced.
    is_paced: bool,
}

impl Pool {
    /// Counts a connection as being opened for a statement that has `waited`, if the limits allow
    /// one.
    pub(super) fn try_reserve_open(
        &self,
        instance: &Instance,
        now: Time,
        max_connections: u32,
        user: ConnectionUser<'_>,
        waited: Duration,
    ) -> Option<Reservation> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(Arc::clone(&instance.id)).or_default();
        if self.has_workspaces.get() && !entry.connections.time_to_opening(now).is_zero() {
            return None;
        }
        let sharers = self.peers.sharer_count(&instance.service, max_connections);
        let is_owner =
            self.has_workspaces.get() && self.peers.is_owner(&instance.service, max_connections);
        let max_connections = max_connections as usize;
        entry.idle_policy.set_share(max_connections, sharers);
        let limits = ConnectionLimits {
            max_connections,
            slots: instance.slots as usize,
            // An unknown number may be large, so that the share is the lowest.
            sharers: sharers.unwrap_or(usize::MAX),
        };
        // An owner limits its openings by workspace.
        let may_open = now >= entry.refused_until
            && (is_owner || entry.counts.may_open(limits, entry.admission.is_throttling()));
        if !may_open {
            return None;
        }
        if self.has_workspaces.get() {
            let limits = workspace_limits(entry, limits, is_owner, sharers, self.started_at, now);
            self.reserve_for_workspace(entry, now, user, waited, limits)?;
        }
        entry.counts.opening += 1;
        Some(Reservation { is_paced: is_owner })
    }

    /// Opens a connection for a workspace and adds it to the idle ones.
    pub(super) async fn open(
        &self,
        instance: &Arc<Instance>,
        workspace: WorkspaceName,
        reservation: Reservation,
    ) {
        let opening = OpeningGuard { pool: self, id: &instance.id, workspace: workspace.clone() };
        let connecting =
            BackendConnection::connect(&self.protocol, instance, workspace, OPEN_TIMEOUT);
        let connected = connecting.await;
        let opened = match connected {
            Ok(backend) => self.handshake(instance, backend, reservation).await,
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
        reservation: Reservation,
    ) -> Result<BackendConnection, ConnectionError> {
        // A lower concurrency means that each handshake takes a larger share of the permits.
        let permits =
            HandshakeLimiter::max_concurrent() / self.handshake_limiter.get().concurrency();
        // The pace of an owner's openings bounds the slot time that they take at each instance, so
        // that a slow instance delays no workspace at another.
        let needed = if reservation.is_paced { 0 } else { permits };
        let Ok(_permit) = self.handshake_permits.acquire_many(needed).await else {
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
    pub(crate) async fn prewarm(
        self: &Rc<Self>,
        instance: &Arc<Instance>,
        max_connections: u32,
        user: ConnectionUser<'_>,
    ) {
        let now = Clock.now();
        if !self.needs_prewarming(instance, max_connections, now) {
            return;
        }
        // If this fails, a connection is opened on first use.
        let desired = DesiredState { user, ..DesiredState::default() };
        let _ = self.acquire(instance, &desired, max_connections, now + OPEN_TIMEOUT).await;
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
    workspace: WorkspaceName,
}

impl Drop for OpeningGuard<'_> {
    fn drop(&mut self) {
        if let Some(entry) = self.pool.entries.borrow_mut().get_mut(self.id) {
            entry.counts.opening = entry.counts.opening.saturating_sub(1);
            entry.connections.record_opened(&self.workspace);
            // Wakes all waiters: one takes the connection, another may open the next.
            entry.queue.notify_all();
        }
    }
}
