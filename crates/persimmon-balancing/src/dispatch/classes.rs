//! Classes of waiting statements: which one is served next, with a guaranteed minimum for each.

use std::collections::BTreeMap;
use std::time::Duration;

use super::order::{self, Pace, Turns, milliseconds};
use super::service_rate::ServiceRate;
use super::{QueueEntry, Ticket, Waiting, guaranteed_share};

/// Share of the slot time that each class that waits receives at least, however much waits in the
/// classes before it.
pub(super) const GUARANTEED_SHARE: f64 = 0.1;

/// Bound of the guaranteed shares of all lower classes together.
pub(super) const MAX_GUARANTEED_TOTAL: f64 = 0.5;

/// Bound of the credit of a class, in milliseconds of slot time: several statements of a usual cost.
const MAX_CREDIT_MS: f64 = 200.0;

/// A class of waiting statements, in the order in which they are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueClass {
    /// Statements of transactions that hold work at the instance.
    Open,
    /// Other statements by the priority of their route; 0 is the most important.
    Priority(u8),
}

/// What comes before a statement in its class.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ahead {
    pub(super) statements: usize,
    /// Slot time of those that are served before it, in milliseconds.
    pub(super) work_ms: f64,
    /// Slot time of those that let it pass because they will miss their objective, in milliseconds.
    pub(super) passed_ms: f64,
}

/// The statements of one class.
#[derive(Clone, Debug)]
pub(super) struct Class {
    pub(super) waiting: Vec<Waiting>,
    /// The rate at which the class is served while it waits.
    pub(super) rate: ServiceRate,
    /// The rate at which those that miss their objective are served while some wait.
    pub(super) late_rate: ServiceRate,
    turns: Turns,
    /// Guaranteed slot time that it has not received, in milliseconds.
    credit_ms: f64,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            rate: ServiceRate::of_class(),
            late_rate: ServiceRate::of_class(),
            turns: Turns::default(),
            credit_ms: 0.0,
        }
    }
}

impl Class {
    /// Expected slot time of all its statements, in milliseconds.
    pub(super) fn work_ms(&self) -> f64 {
        self.waiting.iter().map(|w| milliseconds(w.entry.cost)).sum()
    }

    /// Indices of its statements in the order in which they are served.
    pub(super) fn order(&self, pace: Pace) -> Vec<usize> {
        let entries: Vec<&QueueEntry> = self.waiting.iter().map(|w| &w.entry).collect();
        order::order(pace, &entries, &self.turns)
    }

    /// Whether a statement waits that misses its objective.
    pub(super) fn has_late(&self, pace: Pace) -> bool {
        self.waiting.iter().any(|w| pace.is_late(&w.entry, Duration::ZERO))
    }

    /// What comes before a new statement. One that misses its objective by the time at which it is
    /// reached lets the new one pass, as long as that is in time; `wait` is the time until some slot time of this class is served.
    pub(super) fn ahead_of(
        &self,
        pace: Pace,
        entry: &QueueEntry,
        wait: impl Fn(f64) -> Duration,
    ) -> Ahead {
        let mut entries: Vec<&QueueEntry> = self.waiting.iter().map(|w| &w.entry).collect();
        entries.push(entry);
        let ordered = order::order(pace, &entries, &self.turns);
        let is_late = pace.is_late(entry, Duration::ZERO);
        let ahead = ordered.iter().take_while(|index| **index != self.waiting.len());
        let mut sum = Ahead::default();
        for index in ahead {
            let cost_ms = milliseconds(entries[*index].cost);
            sum.statements += 1;
            if !is_late && pace.is_late(entries[*index], wait(sum.work_ms)) {
                sum.passed_ms += cost_ms;
            } else {
                sum.work_ms += cost_ms;
            }
        }
        sum
    }

    /// Takes a statement that is dispatched.
    pub(super) fn take(&mut self, index: usize) -> Waiting {
        let waiting = self.waiting.remove(index);
        self.turns.charge(&waiting.entry);
        self.reset_if_empty();
        waiting
    }

    /// Removes a statement that is not dispatched.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let index = self.waiting.iter().position(|w| w.ticket == ticket)?;
        let waiting = self.waiting.remove(index);
        self.reset_if_empty();
        Some(waiting)
    }

    fn reset_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.turns = Turns::default();
            self.credit_ms = 0.0;
        }
    }
}

/// The class that is served next and the index of its first statement, charged to the credit of the
/// class where that decided.
pub(super) fn next_class(
    pace: Pace,
    classes: &mut BTreeMap<QueueClass, Class>,
) -> Option<(QueueClass, usize)> {
    let mut waiting: Vec<(QueueClass, &mut Class, usize, f64)> = Vec::new();
    for (key, class) in classes {
        let Some(first) = class.order(pace).first().copied() else {
            continue;
        };
        let cost_ms = milliseconds(class.waiting[first].entry.cost);
        if *key == QueueClass::Open {
            return Some((*key, first));
        }
        waiting.push((*key, class, first, cost_ms));
    }
    let (_, _, _, top_cost_ms) = waiting.first()?;
    let top_cost_ms = *top_cost_ms;
    let lower = waiting.len() - 1;
    // The lower class that lacks most of its guarantee, relative to its next statement.
    let owed = waiting.iter().enumerate().skip(1).filter(|(_, (_, c, _, ms))| c.credit_ms >= *ms);
    let owed =
        owed.max_by(|(_, a), (_, b)| (a.1.credit_ms / a.3).total_cmp(&(b.1.credit_ms / b.3)));
    let chosen = owed.map_or(0, |(index, _)| index);
    let cost_ms = if chosen == 0 { top_cost_ms } else { waiting[chosen].3 };
    for (_, class, _, _) in waiting.iter_mut().skip(1) {
        let earned_ms = cost_ms * guaranteed_share(lower);
        class.credit_ms = (class.credit_ms + earned_ms).min(MAX_CREDIT_MS);
    }
    let (key, class, first, _) = &mut waiting[chosen];
    if chosen > 0 {
        class.credit_ms -= cost_ms;
    }
    Some((*key, *first))
}
