//! Closes idle connections that are no longer worth keeping.

use std::time::Duration;

use persimmon_types::Time;
use persimmon_workspace::WorkspaceDirectory;

use crate::connection::BackendConnection;
use crate::pool::{InstanceEntry, Pool};

/// Idle connections are closed after this time; the instance itself closes them after a minute.
const MAX_IDLE_TIME: Duration = Duration::from_secs(25);

/// The same for the connection of a workspace, whose statements may be that far apart.
const MAX_WORKSPACE_IDLE_TIME: Duration = Duration::from_secs(45);

impl Pool {
    /// Closes connections that exceed the idle limits, or whose instance or workspace is no longer
    /// listed.
    pub(crate) fn close_idle(
        &self,
        now: Time,
        is_listed: impl Fn(&str) -> bool,
        workspaces: Option<&WorkspaceDirectory>,
    ) {
        self.has_workspaces.set(workspaces.is_some());
        let mut entries = self.entries.borrow_mut();
        entries.retain(|id, entry| !entry.counts.is_empty() || is_listed(id));
        for (id, entry) in entries.iter_mut() {
            if !is_listed(id) {
                entry.idle.clear();
                continue;
            }
            if let Some(workspaces) = workspaces {
                close_removed(id, entry, now, workspaces);
                if entry.workspace_limits.is_some() {
                    close_least_valuable(entry, now);
                    continue;
                }
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

/// Closes the idle connections of workspaces that the active table does not contain.
fn close_removed(
    instance: &str,
    entry: &mut InstanceEntry,
    now: Time,
    workspaces: &WorkspaceDirectory,
) {
    let is_listed = |name: &str| workspaces.get(name).is_some();
    let before = entry.idle.len();
    entry.idle.retain(|backend| backend.workspace().as_deref().is_none_or(is_listed));
    let closed = before - entry.idle.len();
    if closed > 0 {
        tracing::info!(instance, closed, "connections of removed workspaces are closed");
    }
    entry.connections.forget_unused(now, is_listed);
}

/// Closes what was idle for too long, and one connection if there are more than are kept.
fn close_least_valuable(entry: &mut InstanceEntry, now: Time) {
    entry.idle.retain(|backend| {
        backend.is_idle() && now.since(backend.used_at) < MAX_WORKSPACE_IDLE_TIME
    });
    let Some(limits) = entry.workspace_limits else {
        return;
    };
    entry.connections.set_idle(entry.idle.iter().map(BackendConnection::workspace));
    let Some(workspace) = entry.connections.surplus(now, &limits) else {
        return;
    };
    entry.close_one_idle(&workspace);
}
