//! Connections of workspaces: asks [`WorkspaceConnections`] for its decisions, and carries them out.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{
    ConnectionLimits, OpeningDecision, WorkspaceConnections, WorkspaceLimits, WorkspaceName,
};
use persimmon_types::{Clock, Time};

use crate::connection::{BackendConnection, ConnectionUser};
use crate::metrics::Metrics;
use crate::pool::{InstanceEntry, Pool, RECHECK_INTERVAL};

/// How long after a refusal no connection is opened unless another is closed: the instance counts
/// the connections of a vanished host for that time.
const VANISHED_PERIOD: Duration = Duration::from_secs(3);

/// How long a statement of the proxy's own waits for a connection of any workspace.
const ANY_PATIENCE: Duration = Duration::from_millis(36);

impl InstanceEntry {
    /// Closes the idle connection of a workspace that was not used for the longest time.
    pub(super) fn close_one_idle(&mut self, workspace: &WorkspaceName) {
        // The most recently used connections are at the end.
        if let Some(index) = self.idle.iter().position(|b| b.workspace() == workspace) {
            self.idle.remove(index);
        }
    }
}

/// The limits of this daemon at an instance.
pub(super) fn workspace_limits(
    entry: &mut InstanceEntry,
    limits: ConnectionLimits,
    is_owner: bool,
    sharers: Option<usize>,
    started_at: Time,
    now: Time,
) -> WorkspaceLimits {
    let ConnectionLimits { max_connections, slots, .. } = limits;
    let limits = match sharers.filter(|_| is_owner) {
        Some(owners) => WorkspaceLimits::of_owner(max_connections, slots, owners, started_at, now),
        None => {
            let max_idle = entry.idle_policy.max_idle(now);
            WorkspaceLimits::of_many(max_connections, slots, sharers, max_idle)
        }
    };
    entry.workspace_limits = is_owner.then_some(limits);
    limits.with_congestion(entry.admission.is_throttling())
}

impl Pool {
    /// Whether a connection for `user` becomes idle sooner than a new one opens.
    pub(super) fn is_soon_free(&self, entry: &InstanceEntry, user: ConnectionUser<'_>) -> bool {
        self.has_workspaces.get() && entry.connections.is_soon_free(&user.workspace())
    }

    /// Records that a client's statement needs a connection.
    pub(super) fn record_arrival(&self, id: &Arc<str>, user: ConnectionUser<'_>) {
        if user == ConnectionUser::Any {
            return;
        }
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(Arc::clone(id)).or_default();
        entry.connections.record_arrival(Clock.now(), &user.workspace());
    }

    /// Decides whether a connection is opened for `user`, after closing another if it must be.
    pub(super) fn reserve_for_workspace(
        &self,
        entry: &mut InstanceEntry,
        now: Time,
        user: ConnectionUser<'_>,
        waited: Duration,
        limits: WorkspaceLimits,
    ) -> Option<()> {
        let workspace = user.workspace();
        let connections = &mut entry.connections;
        connections.set_idle(entry.idle.iter().map(BackendConnection::workspace));
        let is_any = user == ConnectionUser::Any;
        if is_any && waited < ANY_PATIENCE && connections.is_any_soon_free() {
            return None;
        }
        let was_refused = now < entry.refused_until + VANISHED_PERIOD;
        let limits = if was_refused { limits.without_growth() } else { limits };
        let has_none = connections.has_none(&workspace);
        match connections.decide(now, &workspace, &limits) {
            OpeningDecision::Wait => return None,
            OpeningDecision::Open => {}
            OpeningDecision::Replace(other) => {
                entry.close_one_idle(&other);
                Metrics::increment(&self.metrics.workspace_connections_replaced);
            }
        }
        if has_none {
            Metrics::increment(&self.metrics.workspace_connections_first);
        }
        entry.connections.record_opening(now, &workspace, &limits);
        Some(())
    }

    /// How long a waiting statement waits for a returned connection before it checks again.
    pub(super) fn recheck_interval(&self, entry: &InstanceEntry, now: Time) -> Duration {
        let to_opening = entry.connections.time_to_opening(now);
        if self.has_workspaces.get() && !to_opening.is_zero() {
            // Timers have the resolution of a millisecond.
            return RECHECK_INTERVAL.min(to_opening + Duration::from_millis(1));
        }
        RECHECK_INTERVAL
    }
}

/// Counts a statement as waiting for a connection until dropped.
pub(super) struct WaitGuard {
    pool: Rc<Pool>,
    id: Arc<str>,
    /// The workspace; none is counted for statements of the proxy's own.
    workspace: Option<WorkspaceName>,
    since: Time,
    is_served: bool,
}

impl WaitGuard {
    /// Begins to count a statement.
    pub(super) fn new(pool: &Rc<Pool>, id: &Arc<str>, user: ConnectionUser<'_>, now: Time) -> Self {
        let workspace = (user != ConnectionUser::Any).then(|| user.workspace());
        let guard = Self {
            pool: Rc::clone(pool),
            id: Arc::clone(id),
            workspace,
            since: now,
            is_served: false,
        };
        guard.update(|connections, workspace| connections.begin_wait(now, workspace));
        if matches!(user, ConnectionUser::Workspace(_)) {
            pool.has_workspaces.set(true);
            Metrics::increment(&pool.metrics.workspace_connection_waits);
        }
        guard
    }

    /// For how long it has waited.
    pub(super) fn waited(&self, now: Time) -> Duration {
        now.since(self.since)
    }

    /// Ends the wait of a statement that got a connection.
    pub(super) fn end_served(mut self) {
        self.is_served = true;
    }

    fn update(&self, f: impl FnOnce(&mut WorkspaceConnections, &WorkspaceName)) {
        let Some(workspace) = &self.workspace else {
            return;
        };
        let mut entries = self.pool.entries.borrow_mut();
        let entry = entries.entry(Arc::clone(&self.id)).or_default();
        f(&mut entry.connections, workspace);
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let is_served = self.is_served;
        self.update(|connections, workspace| {
            connections.end_wait(Clock.now(), workspace, is_served);
        });
    }
}
