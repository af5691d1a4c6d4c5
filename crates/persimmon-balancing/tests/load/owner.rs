//! A daemon that owns the service: admission, the order of waiting statements, and connections.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use persimmon_balancing::{
    Admission, AdmissionController, ConcurrencyLimit, ConnectionRank, ConnectionWaiters,
    DispatchQueue, Offer, QueueEntry, Ticket, WaiterId, bounded_limit,
};
use rand::Rng;

use super::instance::{SLOTS, Work};
use super::{CHECK_INTERVAL_US, Event, ROUND_TRIP_US, Rule, Simulation, at};

/// Connections of one owner to an instance: a third of half of the connection limit.
pub const MAX_CONNECTIONS: usize = 18;

pub struct Owner {
    controller: AdmissionController,
    in_flight: u32,
    queue: DispatchQueue,
    by_ticket: HashMap<Ticket, usize>,
    is_checking: bool,
    open: usize,
    idle: usize,
    is_opening: bool,
    /// Statements that wait for a connection, in order of arrival.
    waiting: VecDeque<(usize, WaiterId)>,
    waiters: ConnectionWaiters,
}

impl Owner {
    pub fn new(open: usize, owners: usize) -> Self {
        let mut controller = AdmissionController::new();
        controller.set_share(SLOTS as u32, Some(owners));
        Self {
            controller,
            in_flight: 0,
            queue: DispatchQueue::new(SLOTS as u32),
            by_ticket: HashMap::new(),
            is_checking: false,
            open,
            idle: open,
            is_opening: false,
            waiting: VecDeque::new(),
            waiters: ConnectionWaiters::default(),
        }
    }

    fn limit(&self, now: u64) -> f64 {
        bounded_limit(self.controller.limit(at(now)), SLOTS as u32, self.controller.wait_ms())
    }

    fn has_room(&self, now: u64) -> bool {
        let needs_connection = self.waiters.len() > self.idle;
        !needs_connection && f64::from(self.in_flight) + 0.5 < self.limit(now)
    }
}

impl Simulation {
    /// A new statement, or the first one of a transaction, requests room at the instance.
    pub(super) fn request_room(&mut self, now: u64, id: usize) {
        match self.rule {
            Rule::WaitOnce => self.admit(now, id),
            Rule::Queue => self.enqueue(now, id),
        }
    }

    fn admit(&mut self, now: u64, id: usize) {
        let class = self.load.classes[self.operations[id].class];
        let draw = self.rng.random_range(0.0..1.0);
        let deadline = self.deadline(id);
        let operation = &mut self.operations[id];
        let owner = &mut self.owners[operation.owner];
        let cost_ms = operation.statement_ms;
        let admission =
            owner.controller.admit(at(now), cost_ms, class.priority, owner.in_flight, draw);
        let Admission::RetryAfter(retry_after) = admission else {
            self.send(now, id);
            return;
        };
        let max_wait_us = 80_000.min(class.objective_ms * 1_000 / 4);
        if std::mem::replace(&mut operation.was_throttled, true) || now + max_wait_us > deadline {
            self.refuse(now, id, retry_after);
            return;
        }
        let wait_us = (max_wait_us as f64 * self.rng.random_range(0.5..1.0)) as u64;
        self.push(now + wait_us, Event::Again(id));
    }

    fn entry(&self, id: usize) -> QueueEntry {
        let operation = &self.operations[id];
        let class = &self.load.classes[operation.class];
        let has_workspaces = self.workspace_names.len() > 1;
        QueueEntry {
            priority: class.priority,
            holds_work: false,
            arrived_at: at(operation.began),
            objective_at: at(operation.began + class.objective_ms * 1_000),
            deadline: at(self.deadline(id)),
            cost: Duration::from_secs_f64(operation.statement_ms / 1_000.0),
            later_statements: operation.statements_left - 1,
            workspace: has_workspaces.then(|| self.workspace_names[operation.workspace].clone()),
            weight: 1.0,
        }
    }

    fn enqueue(&mut self, now: u64, id: usize) {
        let index = self.operations[id].owner;
        let entry = self.entry(id);
        let owner = &mut self.owners[index];
        if owner.queue.is_empty() && owner.has_room(now) {
            self.send(now, id);
            return;
        }
        let capacity = owner.limit(now).min(SLOTS as f64);
        owner.queue.set_capacity(capacity);
        let rng = &mut self.rng;
        let (offer, displaced) =
            owner.queue.offer(at(now), entry, &mut || rng.random_range(0.0..1.0));
        let displaced: Vec<_> =
            displaced.into_iter().map(|(t, r)| (owner.by_ticket.remove(&t), r)).collect();
        match offer {
            Offer::Queued(ticket, forecast) => {
                owner.by_ticket.insert(ticket, id);
                let predicted_ms = forecast.wait.as_secs_f64() * 1_000.0;
                self.operations[id].queued = Some((predicted_ms, now));
                if !std::mem::replace(&mut owner.is_checking, true) {
                    self.push(now + CHECK_INTERVAL_US, Event::Check { owner: index });
                }
            }
            Offer::Refused(refusal) => self.refuse(now, id, refusal.retry_after),
        }
        for (displaced, refusal) in displaced {
            self.refuse(now, displaced.expect("a displaced statement waits"), refusal.retry_after);
        }
    }

    pub(super) fn check(&mut self, now: u64, index: usize) {
        let owner = &mut self.owners[index];
        let rng = &mut self.rng;
        let refused = owner.queue.refuse_late(at(now), &mut || rng.random_range(0.0..1.0));
        let refused: Vec<_> =
            refused.into_iter().map(|(t, r)| (owner.by_ticket.remove(&t), r)).collect();
        for (id, refusal) in refused {
            self.refuse(now, id.expect("a refused statement waits"), refusal.retry_after);
        }
        self.send_next(now, index);
        self.owners[index].is_checking = !self.owners[index].queue.is_empty();
        if self.owners[index].is_checking {
            self.push(now + CHECK_INTERVAL_US, Event::Check { owner: index });
        }
    }

    fn send_next(&mut self, now: u64, index: usize) {
        while self.owners[index].has_room(now) {
            let owner = &mut self.owners[index];
            let Some(dispatched) = owner.queue.next(at(now)) else {
                return;
            };
            let id = owner.by_ticket.remove(&dispatched.ticket).expect("it waits");
            if let Some((predicted_ms, since)) = self.operations[id].queued.take() {
                self.report.waits.push((predicted_ms, (now - since) as f64 / 1_000.0));
            }
            self.send(now, id);
        }
    }

    /// Counts a statement as in flight and sends it as soon as it has a connection.
    pub(super) fn send(&mut self, now: u64, id: usize) {
        let index = self.operations[id].owner;
        self.owners[index].in_flight += 1;
        if self.operations[id].holds_connection {
            self.transmit(now, id);
            return;
        }
        let (class, began) = (self.operations[id].class, self.operations[id].began);
        let class = self.load.classes[class];
        let rank = ConnectionRank {
            priority: class.priority,
            objective_at: at(began + class.objective_ms * 1_000),
        };
        let owner = &mut self.owners[index];
        let waiter = owner.waiters.add(at(now), rank, None);
        owner.waiting.push_back((id, waiter));
        self.use_connections(now, index);
    }

    /// Gives idle connections to those that wait for one, and opens another one if some still wait.
    fn use_connections(&mut self, now: u64, index: usize) {
        loop {
            let owner = &mut self.owners[index];
            let position = match self.rule {
                _ if owner.idle == 0 || owner.waiting.is_empty() => None,
                Rule::WaitOnce => Some(0),
                Rule::Queue => {
                    owner.waiting.iter().position(|(_, w)| owner.waiters.may_take(at(now), *w, 1))
                }
            };
            let Some((id, waiter)) = position.and_then(|p| owner.waiting.remove(p)) else {
                break;
            };
            owner.waiters.remove(waiter);
            owner.idle -= 1;
            self.operations[id].holds_connection = true;
            self.transmit(now, id);
        }
        if self.rule == Rule::Queue {
            self.send_next(now, index);
        }
        let owner = &mut self.owners[index];
        if !owner.waiting.is_empty() && !owner.is_opening && owner.open < MAX_CONNECTIONS {
            owner.is_opening = true;
            self.submit(now, Work::Handshake { owner: index });
        }
    }

    pub(super) fn connected(&mut self, now: u64, index: usize) {
        self.free_slot(now);
        let owner = &mut self.owners[index];
        owner.is_opening = false;
        owner.open += 1;
        owner.idle += 1;
        self.use_connections(now, index);
    }

    fn transmit(&mut self, now: u64, id: usize) {
        let operation = &self.operations[id];
        let owner = &mut self.owners[operation.owner];
        owner.controller.record_sent(at(now), operation.statement_ms);
        if self.submit(now, Work::Statement { id, sent: now }) {
            return;
        }
        // The instance rejects the statement, which is not run.
        let index = self.operations[id].owner;
        let owner = &mut self.owners[index];
        owner.controller.record_rejection(at(now));
        owner.in_flight -= 1;
        let is_open = self.operations[id].statements_left < self.statements(id);
        if !is_open {
            self.release(now, id);
        }
        if now + ROUND_TRIP_US > self.deadline(id) {
            self.release(now, id);
            self.refuse(now, id, Duration::from_millis(100));
            return;
        }
        let pause = self.rng.random_range(8_000..40_000);
        self.push(now + pause, if is_open { Event::Continue(id) } else { Event::Again(id) });
    }

    fn statements(&self, id: usize) -> u32 {
        let operation = &self.operations[id];
        let work_ms = self.load.classes[operation.class].work_ms;
        (work_ms / operation.statement_ms).round() as u32
    }

    fn release(&mut self, now: u64, id: usize) {
        let index = self.operations[id].owner;
        if std::mem::take(&mut self.operations[id].holds_connection) {
            self.owners[index].idle += 1;
            self.use_connections(now, index);
        }
    }

    pub(super) fn answered(&mut self, now: u64, id: usize, sent: u64) {
        let deadline = self.deadline(id);
        let operation = &mut self.operations[id];
        let index = operation.owner;
        operation.statements_left -= 1;
        let (left, cost_ms) = (operation.statements_left, operation.statement_ms);
        let took_us = now - sent;
        let owner = &mut self.owners[index];
        owner.in_flight -= 1;
        owner.controller.record_wait(at(now), took_us as f64 / 1_000.0 - cost_ms);
        let cost = Duration::from_secs_f64(cost_ms / 1_000.0);
        owner.queue.record_answer(at(now), cost, Duration::from_micros(took_us));
        if left > 0 && now + ROUND_TRIP_US < deadline {
            self.push(now + ROUND_TRIP_US, Event::Continue(id));
        } else {
            self.release(now, id);
            self.complete_or_abandon(now, id, left);
        }
        if self.rule == Rule::Queue {
            self.send_next(now, index);
        }
    }

    fn complete_or_abandon(&mut self, now: u64, id: usize, left: u32) {
        if left == 0 {
            self.complete(now, id);
            return;
        }
        let (class, workspace) = (self.operations[id].class, self.operations[id].workspace);
        for outcome in self.outcomes(class, workspace) {
            outcome.unanswered += 1;
        }
    }
}
