//! The order of the statements of one class.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

use super::QueueEntry;

/// Slot time that a workspace may use before others have their turn, in milliseconds. Below it the
/// slack decides, so that workspaces of the same use do not make urgent statements wait.
const TURN_MS: f64 = 40.0;

/// Bounds of the weight of a workspace.
const MIN_WEIGHT: f64 = 0.05;
const MAX_WEIGHT: f64 = 20.0;

/// The slot time that workspaces used, relative to their weight, while statements waited.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    used_ms: HashMap<Option<Arc<str>>, f64>,
    /// What the workspace served last had used. A workspace that has not waited begins here, so
    /// that it can neither save its share nor be charged for earlier use.
    began_ms: f64,
}

impl Turns {
    /// The use at which a workspace's next statement begins.
    fn start_ms(&self, workspace: &Option<Arc<str>>) -> f64 {
        self.used_ms.get(workspace).copied().unwrap_or(0.0).max(self.began_ms)
    }

    /// Charges a dispatched statement to its workspace.
    pub(super) fn charge(&mut self, entry: &QueueEntry) {
        let start_ms = self.start_ms(&entry.workspace);
        self.used_ms.insert(entry.workspace.clone(), start_ms + weighted_ms(entry));
        self.began_ms = self.began_ms.max((start_ms / TURN_MS).floor() * TURN_MS);
        let began_ms = self.began_ms;
        self.used_ms.retain(|_, used_ms| *used_ms > began_ms);
    }
}

/// When a statement that is sent now is answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    pub(super) now: Time,
    /// Time that a statement takes at the instance beyond its slot time, with an allowance for its
    /// variation.
    pub(super) delay: Duration,
}

impl Pace {
    /// Time from sending a statement to the end of its transaction.
    fn needed(&self, entry: &QueueEntry) -> Duration {
        (entry.cost + self.delay) * entry.later_statements.saturating_add(1)
    }

    /// Whether a statement misses its objective if it is sent after `wait`.
    pub(super) fn is_late(&self, entry: &QueueEntry, wait: Duration) -> bool {
        self.now + wait + self.needed(entry) > entry.objective_at
    }
}

/// Indices of the entries of one class in the order in which they are served: those that can still
/// meet their objective, then the others; each by the turns of the workspaces, then by slack.
pub(super) fn order(pace: Pace, entries: &[&QueueEntry], turns: &Turns) -> Vec<usize> {
    let late: Vec<bool> = entries.iter().map(|e| pace.is_late(e, Duration::ZERO)).collect();
    let mut by_slack: Vec<usize> = (0..entries.len()).collect();
    by_slack.sort_by_key(|index| {
        let entry = entries[*index];
        let by = if late[*index] { entry.deadline } else { entry.objective_at };
        (late[*index], latest_start_us(by, pace.needed(entry)))
    });
    let mut used_ms: HashMap<&Option<Arc<str>>, f64> = HashMap::new();
    let mut turn_of = vec![0.0; entries.len()];
    for index in &by_slack {
        let entry = entries[*index];
        let used =
            used_ms.entry(&entry.workspace).or_insert_with(|| turns.start_ms(&entry.workspace));
        turn_of[*index] = (*used / TURN_MS).floor();
        *used += weighted_ms(entry);
    }
    // The sort is stable, so that equal turns stay in the order of slack.
    by_slack.sort_by(|a, b| late[*a].cmp(&late[*b]).then(turn_of[*a].total_cmp(&turn_of[*b])));
    by_slack
}

fn latest_start_us(by: Time, needed: Duration) -> i128 {
    i128::from(by.as_micros()) - i128::try_from(needed.as_micros()).unwrap_or(i128::MAX)
}

fn weighted_ms(entry: &QueueEntry) -> f64 {
    let weight = if entry.weight.is_finite() { entry.weight } else { 1.0 };
    milliseconds(entry.cost) / weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
}

pub(super) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
