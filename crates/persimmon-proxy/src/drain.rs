//! The stages of a graceful shutdown.

use std::rc::Rc;
use std::time::Duration;

use persimmon_types::{Clock, Time};
use tokio::sync::watch;

use crate::traffic::{ShutdownStage, Worker};

/// How long clients are served after readiness is withdrawn: the load balancer checks once a second
/// and needs two failed checks.
const READINESS_NOTICE: Duration = Duration::from_millis(2_300);

/// Time reserved for the last replies to be sent and the process to exit.
const FINAL_RESERVE: Duration = Duration::from_millis(500);

/// How long no session must have been open when the process exits: time for a connection that was just
/// accepted to start one, and for an answer to another daemon to be sent.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// How often the number of sessions is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When statements may still start and must have ended during a shutdown.
///
/// A statement that is passed on late would be cut off when the process ends, and its client would
/// not learn whether it ran.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    began: Time,
    limit: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule of a process that was asked to stop at `began` and must have exited
    /// `limit` later.
    #[must_use]
    pub fn new(began: Time, limit: Duration) -> Self {
        Self { began, limit }
    }

    /// When the last statement must have an answer.
    #[must_use]
    pub fn last_answer_at(&self) -> Time {
        self.began + self.limit.saturating_sub(FINAL_RESERVE)
    }

    /// Whether a statement that may take `timeout` may start at `now`: in the first half of the
    /// limit, or later if it ends in time.
    #[must_use]
    pub fn may_start(&self, now: Time, timeout: Duration) -> bool {
        now <= self.began + self.limit / 2 || now + timeout <= self.last_answer_at()
    }
}

impl Worker {
    /// Whether no client and no other daemon is served.
    fn is_idle(&self) -> bool {
        self.sessions.get() == 0 && self.held.get() == 0
    }

    /// Whether a statement that may take `timeout` may start.
    pub(crate) fn may_start(&self, timeout: Duration) -> bool {
        let schedule = self.shutdown.get();
        schedule.is_none_or(|schedule| schedule.may_start(Clock.now(), timeout))
    }

    /// A statement's deadline, or the earlier time by which this process must have answered.
    pub(crate) fn limit_deadline(&self, deadline: Time) -> Time {
        let schedule = self.shutdown.get();
        schedule.map_or(deadline, |schedule| deadline.min(schedule.last_answer_at()))
    }
}

/// Takes the worker through the shutdown stages; returns when every session has ended or the time
/// limit is reached.
pub(crate) async fn drain(worker: &Rc<Worker>, stage: &watch::Sender<ShutdownStage>) {
    let began = Clock.now();
    let limit = worker.settings.shutdown_limit;
    worker.shutdown.set(Some(ShutdownSchedule::new(began, limit)));
    tracing::info!(sessions = worker.sessions.get(), limit = ?limit,
        "shutdown started; readiness withdrawn");
    stage.send_replace(ShutdownStage::NotReady);
    tokio::time::sleep(READINESS_NOTICE.min(limit / 2)).await;
    tracing::info!(sessions = worker.sessions.get(), "closing idle sessions");
    stage.send_replace(ShutdownStage::ClosingIdle);
    loop {
        let passed = Clock.now().since(began);
        if worker.is_idle() && passed + FINAL_RESERVE >= limit / 2 {
            break;
        }
        if passed + FINAL_RESERVE * 2 >= limit
            && *stage.borrow() < ShutdownStage::AbortingTransactions
        {
            tracing::info!(sessions = worker.sessions.get(), "rolling back open transactions");
            stage.send_replace(ShutdownStage::AbortingTransactions);
        }
        // The last answers are due when the reserve begins.
        if passed + FINAL_RESERVE / 2 >= limit {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    stage.send_replace(ShutdownStage::AbortingTransactions);
    settle(worker, began + limit).await;
    worker.hand_back_share().await;
    tracing::info!(sessions = worker.sessions.get(), "stopped");
}

/// Waits until nothing has been served for [`SETTLE_TIME`], or until shortly before `end`.
async fn settle(worker: &Worker, end: Time) {
    let mut idle_since = Clock.now();
    while Clock.now() + FINAL_RESERVE / 2 < end && Clock.now().since(idle_since) < SETTLE_TIME {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !worker.is_idle() {
            idle_since = Clock.now();
        }
    }
}
