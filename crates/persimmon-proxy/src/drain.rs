//! The stages of a graceful shutdown.

use std::rc::Rc;
use std::time::Duration;

use persimmon_types::Clock;
use tokio::sync::watch;

use crate::traffic::{ShutdownStage, Worker};

/// How long clients are served after readiness is withdrawn: the load balancer checks once a second
/// and needs two failed checks.
const READINESS_NOTICE: Duration = Duration::from_millis(2_300);

/// Time reserved for the last replies to be sent and the process to exit.
const FINAL_RESERVE: Duration = Duration::from_millis(500);

/// How often the number of sessions is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Takes the worker through the shutdown stages; returns when every session has ended or the time
/// limit is reached.
pub(crate) async fn drain(worker: &Rc<Worker>, stage: &watch::Sender<ShutdownStage>) {
    let began = Clock.now();
    let limit = worker.settings.shutdown_limit;
    tracing::info!(sessions = worker.sessions.get(), limit = ?limit,
        "shutdown started; readiness withdrawn");
    stage.send_replace(ShutdownStage::NotReady);
    tokio::time::sleep(READINESS_NOTICE.min(limit / 2)).await;
    tracing::info!(sessions = worker.sessions.get(), "closing idle sessions");
    stage.send_replace(ShutdownStage::ClosingIdle);
    loop {
        let passed = Clock.now().since(began);
        let is_idle = worker.sessions.get() == 0 && worker.held.get() == 0;
        if is_idle && passed + FINAL_RESERVE >= limit / 2 {
            break;
        }
        if passed + FINAL_RESERVE * 2 >= limit
            && *stage.borrow() < ShutdownStage::AbortingTransactions
        {
            tracing::info!(sessions = worker.sessions.get(), "rolling back open transactions");
            stage.send_replace(ShutdownStage::AbortingTransactions);
        }
        if passed + FINAL_RESERVE >= limit {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tracing::info!(sessions = worker.sessions.get(), "stopped");
}
