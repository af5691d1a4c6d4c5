//! Samples of a primary's position. A sample serves every request that arrived before it began.
//!
//! The module is named `confirm` because its path is the target of its log lines.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use persimmon_request::PositionReport;
use persimmon_types::{Clock, InstanceId, Lsn, Position, Term, Time};
use tokio::sync::oneshot;

use crate::backend::QueryResult;
use crate::counters::Counters;
use crate::traffic::Worker;

/// How long a primary may take to hear from a majority of its group.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(1_000);

type Waiter = oneshot::Sender<Option<Position>>;

#[derive(Debug, Default)]
struct SampleQueue {
    waiting: Vec<Waiter>,
    is_running: bool,
}

/// The requests of one thread that wait for a sample, by primary and term.
#[derive(Debug, Default)]
pub(crate) struct PositionSampler {
    queues: RefCell<HashMap<(InstanceId, Term), SampleQueue>>,
}

impl PositionSampler {
    pub(crate) fn new() -> Self {
        Self::default()
    }
}

/// Returns a position of the primary that a majority confirmed after this call began.
pub(crate) async fn sample_primary(
    worker: &Rc<Worker>,
    primary: InstanceId,
    term: Term,
    deadline: Time,
) -> Option<Position> {
    let (tx, rx) = oneshot::channel();
    let key = (primary, term);
    let must_start = {
        let mut queues = worker.sampler.queues.borrow_mut();
        let queue = queues.entry(key).or_default();
        queue.waiting.push(tx);
        !std::mem::replace(&mut queue.is_running, true)
    };
    if must_start {
        let worker = Rc::clone(worker);
        ntex::rt::spawn(async move { run_samples(&worker, key, deadline).await });
    }
    rx.await.ok().flatten()
}

/// Samples until no request waits; a request that arrives during a sample waits for the next one.
async fn run_samples(worker: &Rc<Worker>, key: (InstanceId, Term), deadline: Time) {
    loop {
        let waiting = {
            let mut queues = worker.sampler.queues.borrow_mut();
            let Some(queue) = queues.get_mut(&key) else {
                return;
            };
            if queue.waiting.is_empty() {
                queues.remove(&key);
                return;
            }
            std::mem::take(&mut queue.waiting)
        };
        let position = sample_once(worker, key, deadline).await;
        for waiter in waiting {
            // A request that has been cancelled or has timed out needs no answer.
            let _ = waiter.send(position);
        }
    }
}

async fn sample_once(
    worker: &Rc<Worker>,
    (primary, term): (InstanceId, Term),
    deadline: Time,
) -> Option<Position> {
    Counters::increment(&worker.counters().samples);
    let snapshot = worker.routing_snapshot();
    let deadline = deadline.max(Clock.now() + MAJORITY_TIMEOUT);
    let acquired = worker.pools.acquire(&snapshot.table, primary, Some(term), deadline).await;
    let mut connection = match acquired {
        Ok(connection) => connection,
        Err(err) => {
            tracing::debug!(?err, "cannot sample the primary's position: no connection to it");
            return None;
        }
    };
    let sql = format!("SELECT persimmon_confirm({})", MAJORITY_TIMEOUT.as_millis());
    let rows = connection.backend().query(&sql, MAJORITY_TIMEOUT * 2).await.ok()?.ok()?;
    let row = rows.first()?;
    let lsn = row.get(1)?.parse().ok()?;
    Some(Position::new(Term(row.first()?.parse().ok()?), Lsn(lsn)))
}

/// The position that a replica has reported in answer to a query sent at `requested_at`.
pub(crate) fn position_report(answer: QueryResult, requested_at: Time) -> Option<PositionReport> {
    let rows = answer.ok()?;
    let row = rows.first()?;
    let number = |index: usize| row.get(index)?.parse::<u64>().ok();
    Some(PositionReport {
        incarnation: number(0)?,
        applied: Position::new(Term(number(1)?), Lsn(number(2)?)),
        age: Duration::from_millis(number(3)?),
        requested_at,
    })
}
