//! The stages of a graceful shutdown.

use std::rc::Rc;
use std::time::Duration;

use persimmon_types::Clock;
use tokio::sync::watch;

use crate::traffic::{Stage, Worker};

/// How long callers are served as before: the balancer asks once a second and needs two misses.
const NOTICE: Duration = Duration::from_millis(2_300);

/// Left at the end for answers to leave and the process to end.
const LAST: Duration = Duration::from_millis(500);

/// How often it is looked whether every session has ended.
const LOOK: Duration = Duration::from_millis(50);

/// Leads the worker through the stages; returns when every session has ended, or time is up.
pub(crate) async fn drain(worker: &Rc<Worker>, stage: &watch::Sender<Stage>) {
    let began = Clock.now();
    let limit = worker.settings.stop_limit;
    tracing::info!(sessions = worker.sessions.get(), limit = ?limit, "leaving: not ready any more");
    stage.send_replace(Stage::Leaving);
    tokio::time::sleep(NOTICE.min(limit / 2)).await;
    tracing::info!(sessions = worker.sessions.get(), "closing sessions at rest");
    stage.send_replace(Stage::Closing);
    loop {
        let passed = Clock.now().since(began);
        if worker.sessions.get() == 0 && passed + LAST >= limit / 2 {
            break;
        }
        if passed + LAST * 2 >= limit && *stage.borrow() < Stage::Ending {
            tracing::info!(sessions = worker.sessions.get(), "giving up open transactions");
            stage.send_replace(Stage::Ending);
        }
        if passed + LAST >= limit {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    tracing::info!(sessions = worker.sessions.get(), "stopped");
}
