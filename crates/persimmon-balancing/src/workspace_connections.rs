//! Which workspaces have connections to an instance.
//!
//! A connection carries one workspace for its life, and an instance accepts fewer connections than
//! there are workspaces. Opening one costs the instance slot time, so that each workspace keeps the
//! connections that save the most handshakes: a connection is worth the rate of arrivals that find
//! it idle and would find none without it, and the one of lowest worth is closed for a workspace
//! that has none.
//!
//! Invariants:
//!
//! - The connections that are idle, busy and being opened never exceed [`WorkspaceLimits::max`].
//! - A workspace without a usable connection is served before one that wants another, and among
//!   those the one that has waited the longest is first, also while the instance is congested.
//! - A connection that a waiting statement of its workspace is about to take is never closed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

use crate::workspace_demand::Demand;
use crate::workspace_limits::WorkspaceLimits;

/// The workspace of a connection; `None` if it belongs to none.
pub type WorkspaceName = Option<Arc<str>>;

/// Slot time of one handshake, as instances charge it.
const HANDSHAKE_MS: f64 = 12.0;

/// Share of an instance's slots that the handshakes of all daemons may occupy. Right after a start
/// nothing is open, and statements must find slots between the handshakes.
const HANDSHAKE_SLOT_SHARE: f64 = 0.5;

/// The same while statements wait at the instance.
const HANDSHAKE_SLOT_SHARE_CONGESTED: f64 = 0.125;

/// How long a statement waits for a busy connection of its workspace instead of opening another: a
/// quarter of the tightest latency objective, and three handshakes.
const BUSY_PATIENCE: Duration = Duration::from_millis(36);

/// Demand below which an unused workspace is forgotten, in arrivals per second.
const NEGLIGIBLE_RATE_PER_S: f64 = 0.001;

/// What to do for a statement whose workspace has no idle connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpeningDecision {
    /// Wait: a connection becomes free soon, or no other may be opened now.
    Wait,
    /// Open a connection.
    Open,
    /// Close an idle connection of this workspace, then open one.
    Replace(WorkspaceName),
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    demand: Demand,
    idle: usize,
    /// Connections in use, including pinned ones.
    busy: usize,
    /// Connections of open transactions, whose clients may pause.
    pinned: usize,
    opening: usize,
    /// Statements that wait for a connection.
    waiting: usize,
    /// Since when none of the waiting statements got a connection.
    waiting_since: Time,
}

impl Usage {
    fn unpinned(&self) -> usize {
        self.busy.saturating_sub(self.pinned)
    }

    /// Connections that serve the next statements of the workspace.
    fn usable(&self) -> usize {
        self.idle + self.unpinned() + self.opening
    }

    fn total(&self) -> usize {
        self.idle + self.busy + self.opening
    }

    /// Whether a waiting statement has no usable connection and may get one.
    fn has_claim(&self, limits: &WorkspaceLimits) -> bool {
        self.waiting > 0 && self.usable() == 0 && !self.has_pinned_too_many(limits)
    }

    /// Whether open transactions of the workspace occupy half of the connections: clients that rest
    /// in transactions must not keep those of other workspaces from being served.
    fn has_pinned_too_many(&self, limits: &WorkspaceLimits) -> bool {
        self.pinned > 0 && self.pinned >= (limits.max / 2).max(1)
    }
}

/// The connections of one daemon to one instance, by workspace.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceConnections {
    usages: HashMap<WorkspaceName, Usage>,
    next_open_at: Time,
}

impl WorkspaceConnections {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn usage(&mut self, workspace: &WorkspaceName) -> &mut Usage {
        if !self.usages.contains_key(workspace) {
            self.usages.insert(workspace.clone(), Usage::default());
        }
        match self.usages.get_mut(workspace) {
            Some(usage) => usage,
            None => unreachable!("the entry was just inserted"),
        }
    }

    /// Records that a statement, or a transaction, needs a connection.
    pub fn record_arrival(&mut self, now: Time, workspace: &WorkspaceName) {
        self.usage(workspace).demand.record_arrival(now);
    }

    /// Records that a statement begins to wait.
    pub fn begin_wait(&mut self, now: Time, workspace: &WorkspaceName) {
        let usage = self.usage(workspace);
        if usage.waiting == 0 {
            usage.waiting_since = now;
        }
        usage.waiting += 1;
    }

    /// Records that a statement waits no more; `is_served` says whether it got a connection.
    pub fn end_wait(&mut self, now: Time, workspace: &WorkspaceName, is_served: bool) {
        let usage = self.usage(workspace);
        usage.waiting = usage.waiting.saturating_sub(1);
        if is_served {
            usage.waiting_since = now;
        }
    }

    /// Records that a connection is checked out.
    pub fn record_taken(&mut self, workspace: &WorkspaceName) {
        self.usage(workspace).busy += 1;
    }

    /// Records that an open transaction pins a checked-out connection.
    pub fn record_pinned(&mut self, workspace: &WorkspaceName) {
        self.usage(workspace).pinned += 1;
    }

    /// Records that a connection is no longer checked out, after `held`.
    pub fn record_returned(&mut self, workspace: &WorkspaceName, was_pinned: bool, held: Duration) {
        let usage = self.usage(workspace);
        usage.busy = usage.busy.saturating_sub(1);
        if was_pinned {
            usage.pinned = usage.pinned.saturating_sub(1);
        } else {
            usage.demand.record_hold(held);
        }
    }

    /// Records that a connection is being opened, which delays the next one.
    pub fn record_opening(
        &mut self,
        now: Time,
        workspace: &WorkspaceName,
        limits: &WorkspaceLimits,
    ) {
        self.usage(workspace).opening += 1;
        self.next_open_at = now + handshake_interval(limits);
    }

    /// Records that opening a connection has succeeded or failed.
    pub fn record_opened(&mut self, workspace: &WorkspaceName) {
        let usage = self.usage(workspace);
        usage.opening = usage.opening.saturating_sub(1);
    }

    /// Counts the idle connections, which are closed without notice by either side.
    pub fn set_idle<'a>(&mut self, idle: impl Iterator<Item = &'a WorkspaceName>) {
        for usage in self.usages.values_mut() {
            usage.idle = 0;
        }
        for workspace in idle {
            self.usage(workspace).idle += 1;
        }
    }

    /// The number of connections that are idle, busy or being opened.
    #[must_use]
    pub fn total(&self) -> usize {
        self.usages.values().map(Usage::total).sum()
    }

    /// Time until the next connection may be opened.
    #[must_use]
    pub fn time_to_opening(&self, now: Time) -> Duration {
        self.next_open_at.since(now)
    }

    /// Whether a statement of the workspace will soon find an idle connection.
    #[must_use]
    pub fn is_soon_free(&self, workspace: &WorkspaceName) -> bool {
        self.usages.get(workspace).is_some_and(|usage| {
            let wait_ms = usage.demand.hold_ms() * (usage.waiting + 1) as f64;
            let free = usage.unpinned();
            free > 0 && wait_ms / free as f64 <= BUSY_PATIENCE.as_secs_f64() * 1_000.0
        })
    }

    /// Whether a workspace has no connection that serves its next statements.
    #[must_use]
    pub fn has_none(&self, workspace: &WorkspaceName) -> bool {
        self.usages.get(workspace).is_none_or(|usage| usage.usable() == 0)
    }

    /// Whether any connection is in use without a transaction or being opened, so that a statement
    /// of the proxy's own, which may use each of them, soon finds one.
    #[must_use]
    pub fn is_any_soon_free(&self) -> bool {
        self.usages.values().any(|usage| usage.unpinned() + usage.opening > 0)
    }

    /// Decides how a waiting statement of a workspace without an idle connection gets one. The idle
    /// connections must have been counted.
    #[must_use]
    pub fn decide(
        &self,
        now: Time,
        workspace: &WorkspaceName,
        limits: &WorkspaceLimits,
    ) -> OpeningDecision {
        let own = self.usages.get(workspace).copied().unwrap_or_default();
        let is_on_its_way = own.opening > 0 && own.opening >= own.waiting;
        let has_progress = now.since(own.waiting_since) < BUSY_PATIENCE;
        if is_on_its_way || has_progress && self.is_soon_free(workspace) {
            return OpeningDecision::Wait;
        }
        let opening: usize = self.usages.values().map(|usage| usage.opening).sum();
        let needs_first = own.usable() == 0;
        if opening >= limits.opening
            || now < self.next_open_at
            || own.has_pinned_too_many(limits)
            || self.is_preceded(workspace, &own, needs_first, limits)
            // More connections only lengthen the queue, and their handshakes take slots from it.
            || limits.is_congested && !needs_first
        {
            return OpeningDecision::Wait;
        }
        let total = self.total();
        if total < limits.keep.min(limits.max) {
            return OpeningDecision::Open;
        }
        let victim = self.least_valuable(now, workspace, limits);
        if needs_first {
            return match victim {
                Some((_, victim)) => OpeningDecision::Replace(victim.clone()),
                None if self.may_exceed(total, &own, limits) => OpeningDecision::Open,
                None => OpeningDecision::Wait,
            };
        }
        let gain = own.demand.marginal_value(now, own.usable() + 1, limits.slots);
        match victim {
            Some((value, victim)) if value < gain && own.usable() < limits.slots => {
                OpeningDecision::Replace(victim.clone())
            }
            // Idle connections of other workspaces are worth more; this one is closed after the peak.
            _ if own.usable() < limits.slots && total < limits.reserve_begin() => {
                OpeningDecision::Open
            }
            _ => OpeningDecision::Wait,
        }
    }

    /// Whether a workspace without a usable connection may have one beyond those kept.
    fn may_exceed(&self, total: usize, own: &Usage, limits: &WorkspaceLimits) -> bool {
        let end = if own.total() == 0 { limits.max } else { limits.reserve_begin() };
        total < end
    }

    /// Whether another workspace without a usable connection has waited for longer.
    fn is_preceded(
        &self,
        workspace: &WorkspaceName,
        own: &Usage,
        needs_first: bool,
        limits: &WorkspaceLimits,
    ) -> bool {
        self.usages.iter().any(|(name, usage)| {
            let is_earlier = !needs_first
                || own.waiting > 0 && (usage.waiting_since, name) < (own.waiting_since, workspace);
            name != workspace && usage.has_claim(limits) && is_earlier
        })
    }

    /// The workspace other than `except` whose idle connection is worth the least, and its worth.
    fn least_valuable(
        &self,
        now: Time,
        except: &WorkspaceName,
        limits: &WorkspaceLimits,
    ) -> Option<(f64, &WorkspaceName)> {
        let mut least: Option<(f64, &WorkspaceName)> = None;
        for (name, usage) in &self.usages {
            if name == except || usage.idle <= usage.waiting {
                continue;
            }
            let value = usage.demand.marginal_value(now, usage.usable(), limits.slots);
            // Equal values are told apart by the name, so that the result is reproducible.
            if least.is_none_or(|other| (value, name) < other) {
                least = Some((value, name));
            }
        }
        least
    }

    /// The workspace whose idle connection is closed next because there are more connections than
    /// are kept; `None` if there are not. The idle connections must have been counted.
    #[must_use]
    pub fn surplus(&self, now: Time, limits: &WorkspaceLimits) -> Option<WorkspaceName> {
        let pinned: usize = self.usages.values().map(|usage| usage.pinned).sum();
        if self.total().saturating_sub(pinned) <= limits.keep {
            return None;
        }
        // No workspace has a second `None` name, and the requester is nobody.
        let nobody = Some(Arc::from(""));
        self.least_valuable(now, &nobody, limits).map(|(_, name)| name.clone())
    }

    /// Forgets workspaces without connections whose demand has ceased or that are not `listed`.
    pub fn forget_unused(&mut self, now: Time, is_listed: impl Fn(&str) -> bool) {
        self.usages.retain(|name, usage| {
            let is_listed = name.as_deref().is_none_or(&is_listed);
            let has_demand = usage.demand.rate_per_s(now) >= NEGLIGIBLE_RATE_PER_S;
            usage.total() + usage.waiting > 0 || is_listed && has_demand
        });
    }
}

/// Time between two handshakes of one daemon with an instance, so that those of all sharers occupy
/// their share of the slots.
fn handshake_interval(limits: &WorkspaceLimits) -> Duration {
    let share =
        if limits.is_congested { HANDSHAKE_SLOT_SHARE_CONGESTED } else { HANDSHAKE_SLOT_SHARE };
    // Many sharers do not open connections at the same time.
    let sharers = limits.sharers.min(limits.slots.max(1)) as f64;
    Duration::from_secs_f64(HANDSHAKE_MS / 1_000.0 * sharers / (limits.slots.max(1) as f64 * share))
}
