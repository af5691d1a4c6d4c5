//! What the operators change in the table while sessions are open.

use std::time::Duration;

use persimmon_lab::line_cluster::TableLimits;
use serde_json::{Value, json};

use crate::ends::clients::END_CLIENTS;
use crate::ends::cut::MIN_IDLE_TRANSACTION;
use crate::plan::{Fault, Step};

/// The settings of a host with room for few sessions.
pub(crate) const LIMITS: &str = "[limits]\nmax_fds = 300\n";

/// Parts of the keys that are removed together.
const KEY_PARTS: usize = 4;

/// The clients whose workspace has a quota: one of each kind.
const QUOTA_CLIENTS: usize = 6;

/// Statements per second that a workspace may send, and that it may send while its quota is lowered.
const QUOTAS: [f64; 2] = [5_000.0, 20.0];

/// Time limits of statements.
const STATEMENT_LIMITS: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(800), Duration::from_millis(2_500)];

/// Time limits of idle transactions.
const IDLE_LIMITS: [Duration; 3] =
    [MIN_IDLE_TRANSACTION, Duration::from_secs(1), Duration::from_secs(5)];

/// Routes that a change adds at least.
const MIN_GROWTH: usize = 200;

/// The key of a client.
pub(crate) fn key(index: usize) -> String {
    format!("e{}", index % END_CLIENTS)
}

/// The part of the table that changes. A change that another one overlaps stays until both have ended.
#[derive(Debug, Default)]
pub(crate) struct EndTable {
    /// The parts of the keys that are removed.
    removed: Vec<usize>,
    /// How many changes have lowered the quota.
    lowered: usize,
    /// The limits of the changes that last, the latest one last.
    limits: Vec<TableLimits>,
    /// The routes that are added by the changes that last.
    grown: Vec<usize>,
}

fn remove_one<T: PartialEq>(all: &mut Vec<T>, one: &T) {
    if let Some(index) = all.iter().position(|other| other == one) {
        all.remove(index);
    }
}

fn limits_of(step: &Step) -> TableLimits {
    TableLimits {
        statement: STATEMENT_LIMITS[step.target % STATEMENT_LIMITS.len()],
        idle_transaction: IDLE_LIMITS[step.target / 3 % IDLE_LIMITS.len()],
    }
}

impl EndTable {
    /// Applies a change.
    pub(crate) fn begin(&mut self, step: &Step) {
        match step.fault {
            Fault::RemoveKeys => self.removed.push(step.target % KEY_PARTS),
            Fault::LowerQuota => self.lowered += 1,
            Fault::ChangeLimits => self.limits.push(limits_of(step)),
            Fault::GrowTable => self.grown.push(MIN_GROWTH + step.target),
            _ => {}
        }
    }

    /// Takes a change back.
    pub(crate) fn end(&mut self, step: &Step) {
        match step.fault {
            Fault::RemoveKeys => remove_one(&mut self.removed, &(step.target % KEY_PARTS)),
            Fault::LowerQuota => self.lowered = self.lowered.saturating_sub(1),
            Fault::ChangeLimits => remove_one(&mut self.limits, &limits_of(step)),
            Fault::GrowTable => remove_one(&mut self.grown, &(MIN_GROWTH + step.target)),
            _ => {}
        }
    }

    /// The time limits of the table.
    pub(crate) fn limits(&self) -> TableLimits {
        self.limits.last().copied().unwrap_or_default()
    }

    /// The databases of the added routes.
    pub(crate) fn databases(&self) -> Vec<String> {
        (0..self.grown.iter().sum()).map(|number| format!("grown{number}")).collect()
    }

    /// The workspaces of the clients.
    pub(crate) fn workspaces(&self) -> Vec<Value> {
        let of_workspace = |has_quota: bool| -> Vec<String> {
            let all = (0..END_CLIENTS).filter(|client| (*client < QUOTA_CLIENTS) == has_quota);
            let held = all.filter(|client| !self.removed.contains(&(client % KEY_PARTS)));
            held.map(key).collect()
        };
        let quota = QUOTAS[usize::from(self.lowered > 0)];
        vec![
            json!({"name": "ends0", "api_keys": of_workspace(false)}),
            json!({"name": "ends1", "api_keys": of_workspace(true), "rate_per_s": quota,
                "burst": quota}),
        ]
    }
}
