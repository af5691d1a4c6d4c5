//! Metrics of the statements that wait for room at an instance, by priority.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::metrics::Histogram;

/// Priorities that are counted apart; lower ones (higher values) are counted with the last.
const PRIORITIES: usize = 4;

/// Counters by priority.
#[derive(Debug, Default)]
pub struct DispatchMetrics {
    queued: [AtomicU64; PRIORITIES],
    dispatched: [AtomicU64; PRIORITIES],
    refused: [AtomicU64; PRIORITIES],
    wait: Histogram,
}

impl DispatchMetrics {
    /// Records a statement that waits.
    pub fn record_queued(&self, priority: u8) {
        increment(&self.queued, priority);
    }

    /// Records a statement that waited and is sent.
    pub fn record_dispatched(&self, priority: u8, waited: Duration) {
        increment(&self.dispatched, priority);
        self.wait.record(waited);
    }

    /// Records a statement that is refused because it would be late or the queue is full.
    pub fn record_refused(&self, priority: u8) {
        increment(&self.refused, priority);
    }

    /// Writes the metrics in the Prometheus text format.
    pub(crate) fn render(&self, out: &mut String) {
        let counters = [
            ("queue_queued", &self.queued),
            ("queue_dispatched", &self.dispatched),
            ("queue_refused", &self.refused),
        ];
        for (name, by_priority) in counters {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "# TYPE persimmon_{name} counter");
            for (priority, counter) in by_priority.iter().enumerate() {
                let value = counter.load(Ordering::Relaxed);
                let _ = writeln!(out, "persimmon_{name}{{priority=\"{priority}\"}} {value}");
            }
        }
        self.wait.render("persimmon_queue_wait", out);
    }
}

fn increment(counters: &[AtomicU64; PRIORITIES], priority: u8) {
    counters[usize::from(priority).min(PRIORITIES - 1)].fetch_add(1, Ordering::Relaxed);
}
