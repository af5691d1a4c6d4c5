//! Enforces the quotas of workspaces: asked by sessions at the first statement of each operation.
//!
//! Invariants:
//!
//! - Nothing is decided here; `persimmon_workspace::quota` decides, this module carries its messages.
//! - An operation of a workspace with a quota is sent to an instance only before its token expires.

mod exchange;
mod fleet_view;
mod metrics;
mod wire;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::Route;
use persimmon_types::{Clock, Time};
use persimmon_workspace::quota::{Bounds, Coordinator, Decision, Limit, Member, Token};
use tokio::sync::{Notify, oneshot};

use crate::metrics::Metrics;
use crate::quota::exchange::CoordinatorChoice;
pub(crate) use crate::quota::exchange::run;
pub(crate) use crate::quota::fleet_view::{FleetNeed, FleetView};
pub use crate::quota::metrics::QuotaMetrics;
pub(crate) use crate::quota::wire::{WireQuotaAnswer, WireQuotaRequest};
use crate::settings::QuotaBounds;
use crate::snapshot::RoutingSnapshot;
use crate::statement_job::{Caller, Execution, RETRY_AFTER};
use crate::traffic::Worker;

/// Part of a route's objective for which a statement waits for a token.
const WAIT_PART: u32 = 4;

/// The longest time for which a statement waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(300);

impl From<QuotaBounds> for Bounds {
    fn from(bounds: QuotaBounds) -> Self {
        let QuotaBounds { window, overage, slack } = bounds;
        Self { window, overage, slack }
    }
}

/// The quota state of the traffic thread.
pub(crate) struct Quotas {
    bounds: Bounds,
    member: RefCell<Member>,
    coordinator: RefCell<Coordinator>,
    choice: RefCell<CoordinatorChoice>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Decision>>>,
    fleet: Arc<FleetView>,
    is_calling: Cell<bool>,
    /// When the coordinator may next check the record.
    check_at: Cell<Time>,
    /// The number of the record that was taken over last.
    synced: Cell<u64>,
    /// The coordinator whose lease was last logged.
    logged_lease: Cell<Option<SocketAddr>>,
    /// Notified when a message may be due.
    due: Notify,
}

/// An operation that may run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permit(Option<(Arc<str>, Token)>);

impl Permit {
    /// The time before which the operation must be sent to an instance; `None` without a quota.
    pub(crate) fn send_by(&self) -> Option<Time> {
        self.0.as_ref().map(|(_, token)| token.expires)
    }
}

/// An operation that may not run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverQuota {
    /// After which time the client may retry.
    pub(crate) retry_after: Duration,
}

/// The limit of a workspace in the active table.
fn limit_of(snapshot: &RoutingSnapshot, name: &str, bounds: &Bounds) -> Option<Limit> {
    let workspaces = snapshot.table.as_ref()?.workspaces.as_ref()?;
    Some(Limit::new(workspaces.get(name)?.quota?, bounds))
}

impl Quotas {
    /// Creates the state of a process that starts now.
    pub(crate) fn new(bounds: QuotaBounds, fleet: Arc<FleetView>) -> Self {
        let (bounds, now) = (Bounds::from(bounds), Clock.now());
        Self {
            bounds,
            member: RefCell::new(Member::new(now)),
            coordinator: RefCell::new(Coordinator::new(rand::random(), bounds, now)),
            choice: RefCell::default(),
            waiting: RefCell::default(),
            fleet,
            is_calling: Cell::new(false),
            check_at: Cell::new(now),
            synced: Cell::default(),
            logged_lease: Cell::new(None),
            due: Notify::new(),
        }
    }

    /// Passes on the decisions on operations that waited.
    fn deliver(&self) {
        let decided = self.member.borrow_mut().take_decided();
        let mut waiting = self.waiting.borrow_mut();
        for (id, decision) in decided {
            let Some(waiter) = waiting.remove(&id) else {
                continue;
            };
            let _ = waiter.send(decision);
        }
    }
}

impl Worker {
    /// Decides whether an operation of a workspace may run; waits for a token if one may come soon.
    pub(crate) async fn admit_operation(
        &self,
        caller: Option<&Caller>,
        route: &Route,
    ) -> Result<Permit, OverQuota> {
        let (Some(quotas), Some(caller)) = (&self.quotas, caller) else {
            return Ok(Permit::default());
        };
        let name = &caller.workspace;
        let Some(limit) = limit_of(&self.snapshot(), name, &quotas.bounds) else {
            return Ok(Permit::default());
        };
        let patience = (route.target / WAIT_PART).min(MAX_WAIT);
        let now = Clock.now();
        let mut decision =
            quotas.member.borrow_mut().ask(now, name, limit, route.priority, patience);
        if let Decision::Waiting(id) = decision {
            quotas.due.notify_one();
            let (tx, rx) = oneshot::channel();
            quotas.waiting.borrow_mut().insert(id, tx);
            // The decision of an operation that was displaced may be pending.
            quotas.deliver();
            // The sender lives until the decision is made.
            decision = rx.await.unwrap_or(Decision::Refused(RETRY_AFTER));
        } else {
            quotas.deliver();
        }
        if let Decision::Granted(token) = decision {
            self.metrics.quotas.record_admitted(name);
            return Ok(Permit(Some((Arc::clone(name), token))));
        }
        let retry_after = match decision {
            Decision::Refused(after) => after,
            _ => RETRY_AFTER,
        };
        Metrics::increment(&self.metrics.over_quota);
        self.metrics.quotas.record_refused(name);
        Err(OverQuota { retry_after })
    }

    /// Takes the token of an operation back that was sent to no instance.
    pub(crate) fn settle_permit(&self, permit: Permit, execution: &Execution) {
        let (Some(quotas), Some((name, token))) = (&self.quotas, permit.0) else {
            return;
        };
        if execution.was_sent {
            return;
        }
        quotas.member.borrow_mut().give_back(Clock.now(), &name, token);
        self.metrics.quotas.record_returned(&name);
        quotas.deliver();
    }

    /// What the log line of a refusal over quota tells of the cause.
    pub(crate) fn describe_quota(&self, workspace: &str) -> String {
        let Some(quotas) = &self.quotas else {
            return String::new();
        };
        let member = quotas.member.borrow();
        let fleet = member.fleet();
        if !fleet.is_known() {
            return "the size of the fleet is not known".to_owned();
        }
        let now = Clock.now();
        let granted_at = member.workspace(workspace).and_then(|w| w.granted_at);
        let age = granted_at.map(|at| now.since(at).as_millis());
        let leased_to = member.leased_to(now).map(|a| a.to_string());
        format!(
            "registered {}, leased to {}, last grant {} ms ago",
            fleet.registered(),
            leased_to.as_deref().unwrap_or("none"),
            age.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
        )
    }
}
