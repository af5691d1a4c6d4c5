//! Structured logs on standard output, bounded and never blocking.
//!
//! Lines go to a thread of their own through a bounded queue that drops when it is full. Before
//! that, a budget a second for successes and one for failures keeps the volume bounded.

use std::cell::Cell;
use std::sync::Arc;

use persimmon_types::{Clock, Time};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::metrics::Metrics;

/// Lines a second for requests that succeeded. With [`FAILURES_PER_S`] it bounds the volume of a
/// daemon to about 150 KB a second.
const SUCCESSES_PER_S: u32 = 100;

/// Lines a second for requests that did not.
const FAILURES_PER_S: u32 = 400;

/// Lines that may wait for standard output.
const QUEUE_LINES: usize = 4_096;

/// The server library says little that matters below warnings.
pub(crate) const DEFAULT_FILTER: &str = "info,ntex=warn,ntex_io=warn,ntex_rt=warn,\
    ntex_server=warn,ntex_service=warn,tarpc=warn";

/// Keeps the logging thread; what waits is written when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
    /// Counts lines that were dropped because standard output was blocked.
    pub dropped: ErrorCounter,
}

/// Starts logging; `level` is a filter such as `info`.
#[must_use]
pub fn start_logging(level: &str) -> LogGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES);
    let (writer, worker) = builder.finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_current_span(false);
    let builder = builder.with_span_list(false).with_target(false);
    builder.with_env_filter(filter).with_writer(writer).init();
    LogGuard { _worker: worker, dropped }
}

/// A number of lines a second.
#[derive(Debug)]
pub struct Budget {
    per_s: u32,
    left: Cell<u32>,
    second: Cell<u64>,
}

impl Budget {
    /// Creates a budget.
    #[must_use]
    pub fn new(per_s: u32) -> Self {
        Self { per_s, left: Cell::new(per_s), second: Cell::new(0) }
    }

    /// Takes one line, if one is left in this second.
    pub fn take(&self, now: Time) -> bool {
        let second = now.as_micros() / 1_000_000;
        if second != self.second.get() {
            self.second.set(second);
            self.left.set(self.per_s);
        }
        let left = self.left.get();
        self.left.set(left.saturating_sub(1));
        left > 0
    }
}

/// Which requests are logged.
#[derive(Debug)]
pub struct LogBudget {
    successes: Budget,
    failures: Budget,
    metrics: Arc<Metrics>,
}

impl LogBudget {
    /// Creates the budget of a daemon.
    #[must_use]
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            successes: Budget::new(SUCCESSES_PER_S),
            failures: Budget::new(FAILURES_PER_S),
            metrics,
        }
    }

    /// Whether a request is logged; one that is not is counted.
    pub fn takes(&self, has_failed: bool) -> bool {
        let budget = if has_failed { &self.failures } else { &self.successes };
        let takes = budget.take(Clock.now());
        if !takes {
            Metrics::add(&self.metrics.log_lines_dropped);
        }
        takes
    }
}
