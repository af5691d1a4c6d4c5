//! Samples of a primary's position, each of which serves every request that arrived before it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use persimmon_types::{Clock, InstanceId, Lsn, Position, Term, Time};
use tokio::sync::oneshot;

use crate::counters::Counters;
use crate::traffic::Worker;

/// How long a primary may take to hear a majority of its group.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

type Waiter = oneshot::Sender<Option<Position>>;

#[derive(Debug, Default)]
struct Queue {
    waiting: Vec<Waiter>,
    running: bool,
}

/// The samples of one thread, by primary and term.
#[derive(Debug, Default)]
pub(crate) struct Confirms {
    queues: RefCell<HashMap<(InstanceId, Term), Queue>>,
}

impl Confirms {
    pub(crate) fn new() -> Self {
        Self::default()
    }
}

/// A position of the primary that a majority confirmed after this call began.
pub(crate) async fn confirm(
    worker: &Rc<Worker>,
    primary: InstanceId,
    term: Term,
    until: Time,
) -> Option<Position> {
    let (tx, rx) = oneshot::channel();
    let key = (primary, term);
    let starts = {
        let mut queues = worker.confirms.queues.borrow_mut();
        let queue = queues.entry(key).or_default();
        queue.waiting.push(tx);
        !std::mem::replace(&mut queue.running, true)
    };
    if starts {
        let worker = Rc::clone(worker);
        ntex::rt::spawn(async move { run(&worker, key, until).await });
    }
    rx.await.ok().flatten()
}

/// Samples as long as anybody waits; whoever comes during a sample waits for the next.
async fn run(worker: &Rc<Worker>, key: (InstanceId, Term), until: Time) {
    loop {
        let waiting = {
            let mut queues = worker.confirms.queues.borrow_mut();
            let Some(queue) = queues.get_mut(&key) else {
                return;
            };
            if queue.waiting.is_empty() {
                queues.remove(&key);
                return;
            }
            std::mem::take(&mut queue.waiting)
        };
        let position = sample(worker, key, until).await;
        for waiter in waiting {
            // A request that has given up needs no answer.
            let _ = waiter.send(position);
        }
    }
}

async fn sample(
    worker: &Rc<Worker>,
    (primary, term): (InstanceId, Term),
    until: Time,
) -> Option<Position> {
    Counters::increment(&worker.counters().samples);
    let view = worker.view();
    let until = until.max(Clock.now() + CONFIRM_TIMEOUT);
    let acquired = worker.pools.acquire(&view.table, primary, Some(term), until).await;
    let mut lease = match acquired {
        Ok(lease) => lease,
        Err(err) => {
            tracing::debug!(?err, "no sample");
            return None;
        }
    };
    let sql = format!("SELECT persimmon_confirm({})", CONFIRM_TIMEOUT.as_millis());
    let rows = lease.backend().ask(&sql, CONFIRM_TIMEOUT * 2).await.ok()?.ok()?;
    let row = rows.first()?;
    let lsn = row.get(1)?.parse().ok()?;
    Some(Position::new(Term(row.first()?.parse().ok()?), Lsn(lsn)))
}
