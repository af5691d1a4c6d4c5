//! Counters and latency histograms as text for scrapers.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bounds of the latency buckets, in milliseconds: from the overhead of the proxy to the
/// longest deadline of callers.
const BUCKETS_MS: [u64; 12] = [1, 2, 5, 10, 25, 50, 100, 200, 400, 1_000, 2_000, 8_000];

/// A histogram of durations.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: [AtomicU64; BUCKETS_MS.len() + 1],
    sum_us: AtomicU64,
}

impl Histogram {
    /// Takes in one duration.
    pub fn record(&self, duration: Duration) {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let index = BUCKETS_MS.iter().position(|b| ms < *b).unwrap_or(BUCKETS_MS.len());
        self.buckets[index].fetch_add(1, Ordering::Relaxed);
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.sum_us.fetch_add(us, Ordering::Relaxed);
    }

    fn render(&self, name: &str, out: &mut String) {
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
        /// What one daemon has counted since it began.
        #[derive(Debug, Default)]
        pub struct Metrics {
            /// How long callers waited for answers to reads and writes.
            pub statement: Histogram,
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
    /// Reads, writes and commits answered with success.
    statements_served,
    /// Reads, writes and commits refused with the promise that nothing is kept.
    statements_not_run,
    /// Reads, writes and commits that may have run.
    statements_in_doubt,
    /// Reads, writes and commits that an instance ran and that failed.
    statements_failed,
    /// Reads served by a replica.
    replica_reads,
    /// Reads that a replica might have served, and the primary did.
    primary_reads,
    /// Statements sent again after an instance did not run them.
    retries,
    /// Times that an instance had no room for new work.
    held_back,
    /// Samples of a primary's log.
    samples,
    /// Transactions ended because they rested too long.
    transactions_idle,
    /// Connections to instances asked for.
    connections_opened,
    /// Connections to instances refused or not answered.
    connections_failed,
    /// Connections to instances that broke while an answer was due.
    connections_lost,
    /// Calls of the store.
    store_calls,
    /// Calls of the store that failed.
    store_failures,
    /// Connections to other daemons.
    peer_connections,
    /// Promotions ordered.
    promotions_ordered,
    /// Log lines of requests left out for the volume.
    log_lines_dropped,
}

impl Metrics {
    /// Raises a counter by one.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// The metrics as text in the exposition format of scrapers.
    #[must_use]
    pub fn render(&self) -> String {
        let mut out = String::with_capacity(4_096);
        for (name, value) in self.counters() {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "# TYPE persimmon_{name} counter\npersimmon_{name} {value}");
        }
        self.statement.render("persimmon_statement", &mut out);
        out
    }
}
