//! Structured logs on standard output, with bounded volume and without blocking.
//!
//! Lines go to a writer thread through a bounded queue, and are dropped while it is full. Budgets
//! of lines per second, one for successes and one for failures, limit the volume before that. A panic,
//! which ends the process before the queue is written, has its line written directly.

use std::cell::Cell;
use std::io;
use std::panic::{self, PanicHookInfo};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use persimmon_types::{Clock, Time};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::metrics::Metrics;

/// Log lines per second for successful requests. With [`FAILURES_PER_S`], it bounds a daemon's
/// volume to about 150 KB per second.
const SUCCESSES_PER_S: u32 = 100;

/// Log lines per second for failed requests.
const FAILURES_PER_S: u32 = 400;

/// Capacity of the queue to standard output, in lines.
const QUEUE_LINES: usize = 4_096;

/// How long the line of a panic may take to be written, as standard output may be blocked.
const PANIC_LINE_TIMEOUT: Duration = Duration::from_millis(200);

/// Default filter; the server library logs little of interest below warnings.
pub(crate) const DEFAULT_FILTER: &str = "info,ntex=warn,ntex_io=warn,ntex_rt=warn,\
    ntex_server=warn,ntex_service=warn,tarpc=warn";

/// Keeps the writer thread alive; dropping it flushes the queued lines.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
    /// Number of lines dropped because standard output was blocked.
    pub dropped: ErrorCounter,
}

/// Starts logging; `level` is a filter directive such as `info`.
#[must_use]
pub fn start_logging(level: &str) -> LogGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES);
    let (writer, worker) = builder.finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_current_span(false);
    let builder = builder.with_span_list(false).with_target(false);
    builder.with_env_filter(filter).with_writer(writer).init();
    log_panics();
    LogGuard { _worker: worker, dropped }
}

/// Logs each panic before the hook that was set until now runs.
fn log_panics() {
    let next = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log_panic(info);
        next(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let reason = info.payload_as_str().unwrap_or("unknown").to_owned();
    let location = info.location().map(ToString::to_string);
    let panicked = thread::current().name().unwrap_or("unnamed").to_owned();
    let (tx, rx) = mpsc::channel();
    let write = move || {
        let lines = tracing_subscriber::fmt().json().flatten_event(true);
        let lines = lines.with_current_span(false).with_span_list(false).with_target(false);
        tracing::subscriber::with_default(lines.with_writer(io::stdout).finish(), || {
            tracing::error!(reason, location, thread = panicked, "panicked");
        });
        // The receiver may have stopped waiting.
        let _ = tx.send(());
    };
    // Without a thread, the hook that runs next still prints the panic.
    if thread::Builder::new().name("panic-log".to_owned()).spawn(write).is_ok() {
        // After a timeout the process ends without the line.
        let _ = rx.recv_timeout(PANIC_LINE_TIMEOUT);
    }
}

/// A budget of log lines per second.
#[derive(Debug)]
pub struct LineBudget {
    per_s: u32,
    left: Cell<u32>,
    second: Cell<u64>,
}

impl LineBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(per_s: u32) -> Self {
        Self { per_s, left: Cell::new(per_s), second: Cell::new(0) }
    }

    /// Takes one line from the budget of the current second; returns whether one was left.
    pub fn try_take(&self, now: Time) -> bool {
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

/// Decides which requests are logged.
#[derive(Debug)]
pub struct LogBudget {
    successes: LineBudget,
    failures: LineBudget,
    metrics: Arc<Metrics>,
}

impl LogBudget {
    /// Creates the budget of a daemon.
    #[must_use]
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            successes: LineBudget::new(SUCCESSES_PER_S),
            failures: LineBudget::new(FAILURES_PER_S),
            metrics,
        }
    }

    /// Whether to log a request; a line that is left out is counted.
    pub fn should_log(&self, has_failed: bool) -> bool {
        let budget = if has_failed { &self.failures } else { &self.successes };
        let takes = budget.try_take(Clock.now());
        if !takes {
            Metrics::increment(&self.metrics.log_lines_dropped);
        }
        takes
    }
}
