//! The statements of this daemon that wait for room at each instance.
//!
//! Invariants:
//!
//! - A grant counts as a statement in flight from the moment at which it is given, and room that a
//!   statement does not use is given to the next one.
//! - A statement that stops waiting leaves its queue.
//! - Statements that wait for an instance which cannot run them any more select another one.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use persimmon_balancing::{
    AttemptKind, ConcurrencyLimit, DispatchQueue, Dispatched, Forecast, Offer, QueueEntry,
    QueueRefusal, QueueRefusalReason, Ticket, bounded_limit,
};
use persimmon_interfaces::{Instance, Table};
use persimmon_types::Clock;
use rand::Rng;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::statement_job::{Execution, QueueDecision, QueueReport, StatementJob};
use crate::traffic::Worker;

/// How often queues are checked for statements that became hopeless and for changed limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Statements that a transaction is taken to run after its first one, one of them the commit.
const LATER_STATEMENTS: u32 = 2;

/// Share of a read's remaining time within which it must be answered after it waited: the daemon that
/// forwarded it tries another path after 0.7 of its time, and would run it twice.
const READ_WAIT_SHARE: f64 = 0.6;

/// Weight of a statement's quota in the mean of quotas.
const MEAN_QUOTA_WEIGHT: f64 = 0.01;

/// What a waiting statement is told.
#[derive(Debug)]
enum Verdict {
    Granted(Grant, Duration),
    Refused(QueueRefusal),
    /// The instance cannot run it any more.
    Unavailable,
}

#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<Verdict>,
    needs_primary: bool,
}

#[derive(Debug)]
struct InstanceQueue {
    instance: Arc<Instance>,
    queue: DispatchQueue,
    waiters: HashMap<Ticket, Waiter>,
    /// Grants that are not yet counted in the instance's load.
    granted: u32,
}

/// The queues of all instances.
#[derive(Debug, Default)]
pub(crate) struct Dispatcher {
    queues: RefCell<HashMap<Arc<str>, InstanceQueue>>,
    /// Whether a task checks the queues.
    is_checking: Cell<bool>,
    /// The last table that was asked about, and whether it calls for an order.
    order_wanted: RefCell<Option<(Arc<Table>, bool)>>,
    /// Mean rate of the quotas of statements, in operations per second.
    mean_quota: Cell<f64>,
}

impl Dispatcher {
    /// Whether the table calls for an order: it has workspaces, which compete for room, and the
    /// priorities of its routes differ.
    fn is_order_wanted(&self, table: &Arc<Table>) -> bool {
        let mut known = self.order_wanted.borrow_mut();
        if let Some((of, is_wanted)) = &*known
            && Arc::ptr_eq(of, table)
        {
            return *is_wanted;
        }
        let mut priorities = table.routes.values().map(|route| route.priority);
        let first = priorities.next();
        let is_wanted =
            table.workspaces.is_some() && priorities.any(|priority| Some(priority) != first);
        *known = Some((Arc::clone(table), is_wanted));
        is_wanted
    }

    /// The share of a workspace with a quota of `rate_per_s`, relative to that of others.
    fn weight(&self, rate_per_s: f64) -> f64 {
        let mean = self.mean_quota.get();
        let mean = if mean > 0.0 { mean } else { rate_per_s };
        self.mean_quota.set(mean + MEAN_QUOTA_WEIGHT * (rate_per_s - mean));
        rate_per_s / mean
    }

    fn with_queue<T>(
        &self,
        instance: &Arc<Instance>,
        f: impl FnOnce(&mut InstanceQueue) -> T,
    ) -> T {
        let mut queues = self.queues.borrow_mut();
        f(queues.entry(Arc::clone(&instance.id)).or_insert_with(|| InstanceQueue {
            instance: Arc::clone(instance),
            queue: DispatchQueue::new(instance.slots),
            waiters: HashMap::new(),
            granted: 0,
        }))
    }

    /// Records an answer of an instance, if it has a queue.
    pub(crate) fn record_answer(&self, instance: &str, cost_ms: f64, took: Duration) {
        if let Some(of) = self.queues.borrow_mut().get_mut(instance) {
            let cost = Duration::from_secs_f64(cost_ms.max(0.0) / 1_000.0);
            of.queue.record_answer(Clock.now(), cost, took);
        }
    }
}

/// Room for one statement at an instance. Dropping it gives the room to the next one, unless the
/// statement was counted as in flight meanwhile.
pub(crate) struct Grant {
    worker: Rc<Worker>,
    instance: Arc<str>,
}

impl std::fmt::Debug for Grant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Grant").field("instance", &self.instance).finish_non_exhaustive()
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(of) = self.worker.dispatcher.queues.borrow_mut().get_mut(&self.instance) {
            of.granted = of.granted.saturating_sub(1);
        }
        self.worker.send_next(&self.instance);
    }
}

/// A statement in the queue of one instance.
struct Place {
    worker: Rc<Worker>,
    instance: Arc<Instance>,
    ticket: Ticket,
    rx: oneshot::Receiver<Verdict>,
}

impl Future for Place {
    type Output = (Arc<Instance>, Verdict);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let instance = Arc::clone(&self.instance);
        // The sender is dropped only with the queue, whose instance is no longer listed.
        Pin::new(&mut self.rx).poll(cx).map(|told| (instance, told.unwrap_or(Verdict::Unavailable)))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut queues = self.worker.dispatcher.queues.borrow_mut();
        if let Some(of) = queues.get_mut(&self.instance.id) {
            of.queue.cancel(Clock.now(), self.ticket);
            of.waiters.remove(&self.ticket);
        }
    }
}

/// Outcome of a statement's wait.
#[derive(Debug)]
pub(crate) enum Turn {
    /// It may be sent to the instance.
    Granted(Arc<Instance>, Grant),
    /// It is refused.
    Refused,
    /// No instance at which it waited can run it any more.
    Unavailable,
}

impl Worker {
    /// Whether statements for an instance wait in order: the table calls for it, and this daemon limits
    /// its statements in flight there.
    pub(crate) fn is_ordered(&self, instance: &Instance) -> bool {
        let is_wanted =
            self.snapshot().table.as_ref().is_some_and(|t| self.dispatcher.is_order_wanted(t));
        if !is_wanted {
            return false;
        }
        let service = &instance.service;
        let daemons = self.peers.sharer_count(service, self.max_connections(service));
        self.pool.admission(&instance.id, |controller| {
            controller.set_share(instance.slots, daemons);
            controller.limits_in_flight()
        })
    }

    /// Grants room for a statement at an instance, if there is room and none waits there.
    pub(crate) fn grant_at_once(self: &Rc<Self>, instance: &Arc<Instance>) -> Option<Grant> {
        let is_idle = self.dispatcher.with_queue(instance, |of| of.queue.is_empty());
        if !is_idle || !self.has_room(instance) {
            return None;
        }
        self.dispatcher.with_queue(instance, |of| of.granted += 1);
        Some(Grant { worker: Rc::clone(self), instance: Arc::clone(&instance.id) })
    }

    /// Lets a statement wait for the first of several instances that has room for it.
    pub(crate) async fn wait_for_turn(
        self: &Rc<Self>,
        job: &StatementJob<'_>,
        instances: &[Arc<Instance>],
        needs_primary: bool,
        execution: &mut Execution,
    ) -> Turn {
        let later = if execution.mode.opens_transaction() { LATER_STATEMENTS } else { 0 };
        let mut entry = QueueEntry { later_statements: later, ..self.queue_entry(job) };
        if execution.mode.attempt_kind() == AttemptKind::Read {
            let now = Clock.now();
            entry.deadline = now + job.deadline.since(now).mul_f64(READ_WAIT_SHARE);
        }
        let priority = entry.priority;
        let mut places = Vec::new();
        let mut refusal = None;
        let mut forecast = None;
        for instance in instances {
            let limit = self.in_flight_limit(instance);
            match self.enqueue(instance, entry.clone(), needs_primary, limit) {
                Ok((place, expected)) => {
                    if forecast.is_none_or(|f: Forecast| expected.wait < f.wait) {
                        forecast = Some(expected);
                    }
                    places.push(place);
                }
                Err(refused) => refusal = Some(sooner(refusal, refused)),
            }
        }
        let began = Clock.now();
        if !places.is_empty() {
            self.metrics.dispatch.record_queued(priority);
        }
        let mut turn = Turn::Unavailable;
        while !places.is_empty() {
            let ((instance, verdict), _, others) = futures::future::select_all(places).await;
            places = others;
            match verdict {
                Verdict::Granted(grant, waited) => {
                    self.metrics.dispatch.record_dispatched(priority, waited);
                    turn = Turn::Granted(instance, grant);
                    break;
                }
                Verdict::Refused(refused) => refusal = Some(sooner(refusal, refused)),
                Verdict::Unavailable => {}
            }
        }
        let mut report = QueueReport {
            priority,
            position: 0,
            predicted_wait: Duration::ZERO,
            waited: execution.queue.map_or(Duration::ZERO, |q| q.waited) + Clock.now().since(began),
            decision: QueueDecision::Dispatched,
        };
        match (&turn, refusal) {
            (Turn::Unavailable, Some(refused)) => {
                turn = Turn::Refused;
                execution.retry_after = refused.retry_after;
                forecast = Some(refused.forecast);
                report.decision = match refused.reason {
                    QueueRefusalReason::TooLate => QueueDecision::TooLate,
                    QueueRefusalReason::QueueFull => QueueDecision::QueueFull,
                };
                self.metrics.dispatch.record_refused(priority);
                Metrics::increment(&self.metrics.held_back);
            }
            (Turn::Unavailable, None) => report.decision = QueueDecision::InstanceUnavailable,
            _ => {}
        }
        if let Some(forecast) = forecast {
            report.position = u32::try_from(forecast.position).unwrap_or(u32::MAX);
            report.predicted_wait = forecast.wait;
        }
        execution.queue = Some(report);
        turn
    }

    fn queue_entry(&self, job: &StatementJob<'_>) -> QueueEntry {
        let workspace = job.caller.map(|caller| Arc::clone(&caller.workspace));
        let snapshot = self.snapshot();
        let directory = snapshot.table.as_ref().and_then(|table| table.workspaces.as_ref());
        let known = directory.and_then(|d| workspace.as_ref().and_then(|name| d.get(name)));
        let rate = known.and_then(|w| w.quota.as_ref()).map(|quota| quota.rate_per_s);
        let weight = rate.filter(|r| *r > 0.0).map_or(1.0, |r| self.dispatcher.weight(r));
        QueueEntry {
            priority: job.route.priority,
            // Statements of open transactions are sent without waiting here.
            holds_work: false,
            arrived_at: job.fresh_as_of,
            objective_at: job.objective_at(),
            deadline: job.deadline,
            cost: Duration::from_secs_f64(self.latency_baseline(job).ms().max(0.0) / 1_000.0),
            later_statements: 0,
            workspace,
            weight,
        }
    }

    /// The number of this daemon's statements that may be in flight at an instance.
    fn in_flight_limit(&self, instance: &Instance) -> f64 {
        let (limit, wait_ms) = self.pool.admission(&instance.id, |controller| {
            let limit: &dyn ConcurrencyLimit = controller;
            (limit.limit(Clock.now()), controller.wait_ms())
        });
        bounded_limit(limit, instance.slots, wait_ms)
    }

    /// Whether one more statement may be sent; the limit is rounded. While no connection is available,
    /// statements wait in the queue, where those that arrive later can come first.
    fn has_room(&self, instance: &Instance) -> bool {
        let id = &instance.id;
        let granted = self.dispatcher.queues.borrow().get(id).map_or(0, |of| of.granted);
        let in_flight = self.pool.load(id, |load| load.in_flight) + granted;
        !self.pool.needs_connections(id)
            && f64::from(in_flight) + 0.5 < self.in_flight_limit(instance)
    }

    fn enqueue(
        self: &Rc<Self>,
        instance: &Arc<Instance>,
        entry: QueueEntry,
        needs_primary: bool,
        limit: f64,
    ) -> Result<(Place, Forecast), QueueRefusal> {
        let now = Clock.now();
        let (tx, rx) = oneshot::channel();
        let (offer, displaced) = self.dispatcher.with_queue(instance, |of| {
            of.queue.set_capacity(limit.min(f64::from(instance.slots)));
            let (offer, displaced) = of.queue.offer(now, entry, &mut draw);
            if let Offer::Queued(ticket, _) = offer {
                of.waiters.insert(ticket, Waiter { tx, needs_primary });
            }
            (offer, of.take_waiters(displaced))
        });
        refuse(displaced);
        match offer {
            Offer::Refused(refusal) => Err(refusal),
            Offer::Queued(ticket, forecast) => {
                self.check_queues();
                let (worker, instance) = (Rc::clone(self), Arc::clone(instance));
                Ok((Place { worker, instance, ticket, rx }, forecast))
            }
        }
    }

    /// Sends the next waiting statements while there is room at the instance.
    pub(crate) fn send_next(self: &Rc<Self>, id: &Arc<str>) {
        loop {
            let instance = {
                let queues = self.dispatcher.queues.borrow();
                let waiting = queues.get(id).filter(|of| !of.queue.is_empty());
                waiting.map(|of| Arc::clone(&of.instance))
            };
            let Some(instance) = instance.filter(|instance| self.has_room(instance)) else {
                return;
            };
            let next = self.dispatcher.with_queue(&instance, |of| {
                let Dispatched { ticket, waited, .. } = of.queue.next(Clock.now())?;
                let waiter = of.waiters.remove(&ticket);
                of.granted += u32::from(waiter.is_some());
                Some((waiter, waited))
            });
            let Some((waiter, waited)) = next else {
                return;
            };
            if let Some(waiter) = waiter {
                let grant = Grant { worker: Rc::clone(self), instance: Arc::clone(id) };
                // A waiter that is gone drops the grant, which sends the next one.
                let _ = waiter.tx.send(Verdict::Granted(grant, waited));
            }
        }
    }

    /// Checks the queues regularly while a statement waits.
    fn check_queues(self: &Rc<Self>) {
        if self.dispatcher.is_checking.replace(true) {
            return;
        }
        let worker = Rc::clone(self);
        ntex::rt::spawn(async move {
            while worker.check_queues_once() {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            worker.dispatcher.is_checking.set(false);
        });
    }

    /// Refuses what became hopeless, releases what waits for an instance that cannot run it, and
    /// sends what there is room for; returns whether a statement still waits.
    fn check_queues_once(self: &Rc<Self>) -> bool {
        let now = Clock.now();
        let snapshot = self.snapshot();
        let instances: Vec<_> = {
            let mut queues = self.dispatcher.queues.borrow_mut();
            queues.retain(|id, of| {
                let is_listed = snapshot.instance(&of.instance.service, id).is_some();
                is_listed || !of.queue.is_empty() || of.granted > 0
            });
            let waiting = queues.values().filter(|of| !of.queue.is_empty());
            waiting.map(|of| Arc::clone(&of.instance)).collect()
        };
        for instance in &instances {
            let primary = self.believed_primary(&instance.service);
            let is_primary = primary.is_some_and(|p| p.id == instance.id);
            let listed = snapshot.instance(&instance.service, &instance.id);
            let serves_reads = listed.is_some_and(|e| e.accepts_work() || is_primary)
                && !self.pool.load(&instance.id, |load| load.is_avoided(now));
            let (refused, released) = self.dispatcher.with_queue(instance, |of| {
                let refused = of.queue.refuse_late(now, &mut draw);
                let released = of.take_unavailable(is_primary, serves_reads);
                (of.take_waiters(refused), released)
            });
            refuse(refused);
            for waiter in released {
                // A waiter that is gone needs no instance.
                let _ = waiter.tx.send(Verdict::Unavailable);
            }
            self.send_next(&instance.id);
        }
        !instances.is_empty()
    }
}

impl InstanceQueue {
    fn take_waiters(
        &mut self,
        refused: Vec<(Ticket, QueueRefusal)>,
    ) -> Vec<(Waiter, QueueRefusal)> {
        let taken = refused.into_iter();
        taken.filter_map(|(t, refusal)| self.waiters.remove(&t).map(|w| (w, refusal))).collect()
    }

    /// Removes the statements that the instance cannot run.
    fn take_unavailable(&mut self, is_primary: bool, serves_reads: bool) -> Vec<Waiter> {
        let is_served = |w: &Waiter| if w.needs_primary { is_primary } else { serves_reads };
        let unavailable: Vec<Ticket> =
            self.waiters.iter().filter(|(_, w)| !is_served(w)).map(|(t, _)| *t).collect();
        let now = Clock.now();
        let waiters = unavailable.into_iter().filter_map(|ticket| {
            self.queue.cancel(now, ticket);
            self.waiters.remove(&ticket)
        });
        waiters.collect()
    }
}

fn draw() -> f64 {
    rand::rng().random_range(0.0..1.0)
}

fn refuse(refused: Vec<(Waiter, QueueRefusal)>) {
    for (waiter, refusal) in refused {
        // A waiter that is gone needs no answer.
        let _ = waiter.tx.send(Verdict::Refused(refusal));
    }
}

/// The refusal with the shorter predicted wait.
fn sooner(known: Option<QueueRefusal>, other: QueueRefusal) -> QueueRefusal {
    known.filter(|known| known.forecast.wait <= other.forecast.wait).unwrap_or(other)
}
