//! Metrics of quotas by workspace.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Workspaces with metrics of their own; the others are counted together. Each has four lines.
const MAX_WORKSPACES: usize = 100;

/// The label of the workspaces without metrics of their own. It is no valid name of a workspace.
const OTHERS: &str = "(others)";

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    admitted: u64,
    refused: u64,
    held: u32,
    grant_age_ms: Option<u64>,
}

/// What is published of each workspace.
#[derive(Debug, Default)]
pub struct QuotaMetrics {
    counts: Mutex<HashMap<Arc<str>, Counts>>,
}

impl QuotaMetrics {
    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Counts>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, workspace: &Arc<str>, f: impl FnOnce(&mut Counts)) {
        let mut counts = self.lock();
        if let Some(known) = counts.get_mut(workspace) {
            f(known);
            return;
        }
        let is_full = counts.len() >= MAX_WORKSPACES;
        let name = if is_full { Arc::from(OTHERS) } else { Arc::clone(workspace) };
        f(counts.entry(name).or_default());
    }

    /// Counts an operation that may run.
    pub fn record_admitted(&self, workspace: &Arc<str>) {
        self.update(workspace, |c| c.admitted += 1);
    }

    /// Counts an operation that was refused over quota.
    pub fn record_refused(&self, workspace: &Arc<str>) {
        self.update(workspace, |c| c.refused += 1);
    }

    /// Takes back the count of an operation that reached no instance.
    pub fn record_returned(&self, workspace: &Arc<str>) {
        self.update(workspace, |c| c.admitted = c.admitted.saturating_sub(1));
    }

    /// Updates the tokens held and the age of the last grant, which `state` returns for a workspace.
    pub fn update_tokens(&self, state: impl Fn(&str) -> Option<(u32, Option<u64>)>) {
        for (name, counts) in &mut *self.lock() {
            let (held, grant_age_ms) = state(name).unwrap_or_default();
            counts.held = held;
            counts.grant_age_ms = grant_age_ms;
        }
    }

    /// Appends the metrics in the Prometheus text format.
    pub fn render(&self, out: &mut String) {
        let counts = self.lock();
        if counts.is_empty() {
            return;
        }
        let mut all: Vec<(&Arc<str>, &Counts)> = counts.iter().collect();
        all.sort_unstable_by_key(|(name, _)| *name);
        let mut family = |name: &str, kind: &str, value: &dyn Fn(&Counts) -> Option<u64>| {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "# TYPE persimmon_quota_{name} {kind}");
            for (workspace, counts) in &all {
                let Some(value) = value(counts) else {
                    continue;
                };
                let workspace = workspace.replace('\\', "\\\\").replace('"', "\\\"");
                let _ =
                    writeln!(out, "persimmon_quota_{name}{{workspace=\"{workspace}\"}} {value}");
            }
        };
        family("admitted", "counter", &|c| Some(c.admitted));
        family("refused", "counter", &|c| Some(c.refused));
        family("tokens_held", "gauge", &|c| Some(c.held.into()));
        family("grant_age_ms", "gauge", &|c| c.grant_age_ms);
    }
}
