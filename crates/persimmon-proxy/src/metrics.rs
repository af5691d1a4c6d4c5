//! Counters and latency histograms in the Prometheus text format.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::dispatch_metrics::DispatchMetrics;
use crate::quota::QuotaMetrics;

/// Upper bounds of the latency buckets, in milliseconds: from the overhead of the proxy to the
/// longest client deadline.
const BUCKETS_MS: [u64; 12] = [1, 2, 5, 10, 25, 50, 100, 200, 400, 1_000, 2_000, 8_000];

/// A histogram of durations.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: [AtomicU64; BUCKETS_MS.len() + 1],
    sum_us: AtomicU64,
}

impl Histogram {
    /// Records one duration.
    pub fn record(&self, duration: Duration) {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let index = BUCKETS_MS.iter().position(|b| ms < *b).unwrap_or(BUCKETS_MS.len());
        self.buckets[index].fetch_add(1, Ordering::Relaxed);
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.sum_us.fetch_add(us, Ordering::Relaxed);
    }

    pub(crate) fn render(&self, name: &str, out: &mut String) {
        let mut total = 0;
        // Writing to a string cannot fail.
        let _ = writeln!(out, "# TYPE {name}_seconds histogram");
        for (bound, bucket) in BUCKETS_MS.iter().zip(&self.buckets) {
            total += bucket.load(Ordering::Relaxed);
            let seconds = Duration::from_millis(*bound).as_secs_f64();
            let _ = writeln!(out, "{name}_seconds_bucket{{le=\"{seconds}\"}} {total}");
        }
        total += self.buckets[BUCKETS_MS.len()].load(Ordering::Relaxed);
        let sum = Duration::from_micros(self.sum_us.load(Ordering::Relaxed)).as_secs_f64();
        let _ = writeln!(out, "{name}_seconds_bucket{{le=\"+Inf\"}} {total}");
        let _ = writeln!(out, "{name}_seconds_sum {sum}\n{name}_seconds_count {total}");
    }
}

macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The metrics of one daemon since its start.
        #[derive(Debug, Default)]
        pub struct Metrics {
            /// How long clients waited for answers to reads and writes.
            pub statement: Histogram,
            /// Milliseconds since the directory was last known to be complete.
            pub directory_age_ms: AtomicU64,
            /// Milliseconds since the table was last known to be the store's.
            pub table_age_ms: AtomicU64,
            /// Quotas by workspace.
            pub quotas: QuotaMetrics,
            /// Bytes of the values and prepared statements of all sessions.
            pub session_state_bytes: AtomicU64,
            /// Statements that wait for room at an instance.
            pub dispatch: DispatchMetrics,
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Metrics {
            /// Every counter by name.
            #[must_use]
            pub fn counters(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.load(Ordering::Relaxed)),)*]
            }
        }
    };
}

metrics! {
    /// Sessions opened.
    sessions_opened,
    /// Sessions ended.
    sessions_closed,
    /// Clients refused because too many sessions are open.
    sessions_refused,
    /// Sessions closed so that other clients can open one.
    sessions_closed_for_room,
    /// Sessions closed because their clients took too long to send a message.
    sessions_closed_half_message,
    /// Sessions closed because their clients do not read answers.
    sessions_closed_unread,
    /// Requests that had been received, and were not handled when their connection ended.
    requests_cut,
    /// Answers that were not sent, or not as a whole, when their connection ended.
    answers_cut,
    /// Answers that were not sent, or not as a whole, because the client had left.
    answers_abandoned,
    /// Messages refused because those of all sessions occupy too much memory.
    messages_refused,
    /// Forwarded statements refused because those of all daemons occupy too much memory.
    forwarded_refused,
    /// Sessions and statements refused because the key does not identify their workspace.
    unknown_keys,
    /// Values and prepared statements of sessions refused for their size or number.
    session_state_refused,
    /// Reads, writes and commits answered with success.
    statements_served,
    /// Reads, writes and commits refused without having any effect.
    statements_not_run,
    /// Reads, writes and commits that may have run.
    statements_in_doubt,
    /// Reads, writes and commits that an instance ran and that failed.
    statements_failed,
    /// Reads, writes and commits forwarded to the owner of their service.
    statements_forwarded,
    /// Reads, writes and commits run for other daemons.
    statements_for_peers,
    /// Reads served by a replica.
    replica_reads,
    /// Reads served by the primary although a replica was allowed.
    primary_reads,
    /// Statements sent again after an instance did not run them.
    retries,
    /// Statements rejected by admission control.
    held_back,
    /// Samples of a primary's position.
    samples,
    /// Transactions rolled back because they exceeded the idle limit.
    transactions_idle,
    /// Attempts to open connections to instances.
    connections_opened,
    /// Attempts to open connections to instances that failed.
    connections_failed,
    /// Connections opened for a workspace that had none to the instance that served its statements.
    workspace_connections_first,
    /// Idle connections closed in favour of another workspace.
    workspace_connections_replaced,
    /// Statements of workspaces that waited for a connection.
    workspace_connection_waits,
    /// Connections to instances that failed while an answer was outstanding.
    connections_lost,
    /// Calls to the store.
    store_calls,
    /// Calls to the store that check for changes while a watch waits.
    store_checks,
    /// Calls to the store that failed.
    store_failures,
    /// Operations refused because their workspace is over its quota.
    over_quota,
    /// Quota messages sent to other daemons.
    quota_messages,
    /// Attempts to open connections to other daemons.
    peer_connections,
    /// Promotions requested.
    promotions_ordered,
    /// Log lines of requests omitted to bound the volume.
    log_lines_dropped,
}

impl Metrics {
    /// Increments a counter by one.
    pub fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }

    /// Renders the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut out = String::with_capacity(4_096);
        for (name, value) in self.counters() {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "# TYPE persimmon_{name} counter\npersimmon_{name} {value}");
        }
        let gauges = [
            ("directory_age_ms", &self.directory_age_ms),
            ("table_age_ms", &self.table_age_ms),
            ("session_state_bytes", &self.session_state_bytes),
        ];
        for (name, gauge) in gauges {
            let value = gauge.load(Ordering::Relaxed);
            // Writing to a string cannot fail.
            let _ = writeln!(out, "# TYPE persimmon_{name} gauge\npersimmon_{name} {value}");
        }
        self.quotas.render(&mut out);
        self.statement.render("persimmon_statement", &mut out);
        self.dispatch.render(&mut out);
        out
    }
}
