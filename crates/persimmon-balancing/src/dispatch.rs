//! The queue of the statements that wait for room at one instance.
//!
//! It decides which of them is sent next and which is refused because its answer would come too
//! late. Statements of open transactions come first. Then the priority of the route decides, with a
//! guaranteed minimum share of the slot time for each lower class. Within a class come first those
//! that can still meet their objective; workspaces take turns by the slot time that they used, and
//! within a turn the least slack decides.
//!
//! Invariants:
//!
//! - The queue is bounded; a statement of a class that exceeds its guaranteed places gives way.
//! - A statement is dispatched or refused once, and a refused one was never dispatched.
//! - No class and no workspace that waits is passed over forever.

mod classes;
mod order;
mod service_rate;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

pub use classes::QueueClass;

use classes::{Ahead, Class, GUARANTEED_SHARE, MAX_GUARANTEED_TOTAL, next_class};
use order::{Pace, milliseconds};
use service_rate::{Delay, ServiceRate};

/// Default bound of the queue's length: what four slots complete of statements of 15 ms within the
/// longest deadline of an urgent class, 0.8 s, rounded up.
const MAX_WAITING: usize = 256;

/// Share of a predicted wait by which a statement that already waits is judged, so that a small
/// change of the rate does not refuse what was accepted.
const QUEUED_WAIT_FACTOR: f64 = 0.8;

/// Rate at which statements that miss their objective are taken to be served, relative to that of
/// their class, before any was observed: they receive what the others leave.
const LATE_RATE_FACTOR: f64 = 0.5;

/// Time before its deadline by which a statement must be answered: the interval between checks of the
/// queue, and the way of the answer. One that is sent and not answered in time is in doubt, which is
/// worse for its client than a refusal.
const DEADLINE_MARGIN: Duration = Duration::from_millis(25);

/// Shortest time after which a refused statement may return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Bounds of the interval, beyond the shortest time, over which returns are spread. The lower bound
/// keeps a crowd that is refused in one moment from returning in one moment.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(100);
const MAX_RETRY_SPREAD: Duration = Duration::from_millis(900);

/// Statements in flight from one daemon for each slot of an instance: one that runs and one that
/// waits there, so that a slot is never idle while an answer is on its way.
const MAX_IN_FLIGHT_PER_SLOT: f64 = 2.0;

/// The same while statements wait at the instance, where they wait in order of arrival: the waits of
/// a few statements of a transaction add up to the tightest objective.
const MAX_IN_FLIGHT_PER_SLOT_CONGESTED: f64 = 1.0;

/// Average wait at the instance above which the lower bound applies.
const CONGESTED_WAIT_MS: f64 = 10.0;

/// Bounds a limit of statements in flight, so that statements wait in order in the queue and not in
/// order of arrival at the instance. `wait_ms` is their average wait there, in milliseconds.
#[must_use]
pub fn bounded_limit(limit: f64, slots: u32, wait_ms: f64) -> f64 {
    let per_slot = if wait_ms < CONGESTED_WAIT_MS {
        MAX_IN_FLIGHT_PER_SLOT
    } else {
        MAX_IN_FLIGHT_PER_SLOT_CONGESTED
    };
    limit.min(f64::from(slots) * per_slot).max(1.0)
}

/// A statement that asks for room.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// Priority of its route; 0 is the most important.
    pub priority: u8,
    /// Whether its transaction already holds work at the instance.
    pub holds_work: bool,
    /// When it arrived.
    pub arrived_at: Time,
    /// Until when its answer meets the objective of its route.
    pub objective_at: Time,
    /// Until when its answer is of use.
    pub deadline: Time,
    /// Its expected slot time.
    pub cost: Duration,
    /// Number of statements that its transaction is expected to run after it.
    pub later_statements: u32,
    /// The workspace that it belongs to, if any.
    pub workspace: Option<Arc<str>>,
    /// The share of the workspace relative to that of others; 1 for equal shares.
    pub weight: f64,
}

impl QueueEntry {
    /// The class in which it waits.
    #[must_use]
    pub fn class(&self) -> QueueClass {
        if self.holds_work { QueueClass::Open } else { QueueClass::Priority(self.priority) }
    }
}

/// Identifies a waiting statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What is expected of a statement that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// Number of statements ahead of it.
    pub position: usize,
    /// Time until it is dispatched.
    pub wait: Duration,
}

/// Why a statement is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusalReason {
    /// Its answer would come after its deadline.
    TooLate,
    /// The queue is full, and others come before it.
    QueueFull,
}

/// The refusal of a statement that was not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Why it is refused.
    pub reason: QueueRefusalReason,
    /// What was expected of it.
    pub forecast: Forecast,
    /// When a retry may succeed; drawn at random.
    pub retry_after: Duration,
}

/// What the queue decides about a new statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It waits.
    Queued(Ticket, Forecast),
    /// It is refused.
    Refused(QueueRefusal),
}

/// A statement that is sent now.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatched {
    /// Its ticket.
    pub ticket: Ticket,
    /// How long it waited.
    pub waited: Duration,
    /// The statement.
    pub entry: QueueEntry,
}

/// A waiting statement.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    ticket: Ticket,
    queued_at: Time,
    entry: QueueEntry,
}

/// The queue of one instance.
#[derive(Clone, Debug)]
pub struct DispatchQueue {
    classes: BTreeMap<QueueClass, Class>,
    /// The rate at which all waiting statements are served.
    rate: ServiceRate,
    delay: Delay,
    /// Slot time that the instance serves in a unit of time, before any was observed.
    capacity: f64,
    last_ticket: u64,
    max_waiting: usize,
}

impl DispatchQueue {
    /// Creates an empty queue for an instance that serves `slots` statements concurrently.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            classes: BTreeMap::new(),
            rate: ServiceRate::of_all(),
            delay: Delay::default(),
            capacity: f64::from(slots.max(1)),
            last_ticket: 0,
            max_waiting: MAX_WAITING,
        }
    }

    /// Sets the bound of its length.
    #[must_use]
    pub fn with_max_waiting(mut self, max_waiting: usize) -> Self {
        self.max_waiting = max_waiting.max(1);
        self
    }

    /// Number of statements that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.values().map(|class| class.waiting.len()).sum()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.waiting.is_empty())
    }

    /// Sets the slot time that the instance is taken to serve in a unit of time while nothing was
    /// observed: its slots, or a lower limit of the statements in flight.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(0.1);
    }

    /// Records an answer: the expected slot time of the statement and the time that it took.
    pub fn record_answer(&mut self, now: Time, cost: Duration, took: Duration) {
        self.delay.record(now, cost, took);
    }

    /// Offers a statement that was not admitted at once. The refusals are those of waiting
    /// statements that give way to it. `draw` returns random numbers from 0 to 1.
    pub fn offer(
        &mut self,
        now: Time,
        entry: QueueEntry,
        draw: &mut dyn FnMut() -> f64,
    ) -> (Offer, Vec<(Ticket, QueueRefusal)>) {
        self.advance(now);
        let forecast = self.forecast(now, &entry);
        if self.is_too_late(now, &entry, forecast.wait) {
            let refusal = refusal(QueueRefusalReason::TooLate, forecast, draw());
            return (Offer::Refused(refusal), Vec::new());
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let class = self.classes.entry(entry.class()).or_default();
        // The rates of a new class begin now.
        class.rate.advance(now, false);
        class.late_rate.advance(now, false);
        class.waiting.push(Waiting { ticket, queued_at: now, entry });
        let mut displaced = Vec::new();
        while self.len() > self.max_waiting {
            let Some((last, wait)) = self.remove_last(now) else {
                break;
            };
            let forecast = Forecast { position: self.len(), wait };
            let refusal = refusal(QueueRefusalReason::QueueFull, forecast, draw());
            if last == ticket {
                return (Offer::Refused(refusal), displaced);
            }
            displaced.push((last, refusal));
        }
        (Offer::Queued(ticket, forecast), displaced)
    }

    /// What is expected of a statement if it waits.
    #[must_use]
    pub fn forecast(&self, now: Time, entry: &QueueEntry) -> Forecast {
        let mut position = 0;
        let mut ahead_ms = 0.0;
        for class in self.classes.range(..entry.class()).map(|(_, class)| class) {
            position += class.waiting.len();
            ahead_ms += class.work_ms();
        }
        let on_time = |work_ms| self.on_time_wait(entry.class(), ahead_ms, work_ms);
        let own_class = self.classes.get(&entry.class());
        let ahead = own_class.map(|class| class.ahead_of(self.pace(now), entry, on_time));
        let ahead = ahead.unwrap_or_default();
        let wait = self.wait(now, entry, ahead_ms, ahead);
        Forecast { position: position + ahead.statements, wait }
    }

    /// Takes the statement that is sent next. The caller has checked that there is room for one.
    pub fn next(&mut self, now: Time) -> Option<Dispatched> {
        self.advance(now);
        let pace = self.pace(now);
        let (key, index) = next_class(pace, &mut self.classes)?;
        let class = self.classes.get_mut(&key)?;
        let waiting = class.take(index);
        let cost_ms = milliseconds(waiting.entry.cost);
        class.rate.record(cost_ms);
        if pace.is_late(&waiting.entry, Duration::ZERO) {
            class.late_rate.record(cost_ms);
        }
        self.rate.record(cost_ms);
        let waited = now.since(waiting.queued_at);
        Some(Dispatched { ticket: waiting.ticket, waited, entry: waiting.entry })
    }

    /// Removes a statement that no longer waits; returns whether it did.
    pub fn cancel(&mut self, now: Time, ticket: Ticket) -> bool {
        self.advance(now);
        self.classes.values_mut().any(|class| class.remove(ticket).is_some())
    }

    /// Removes the statements that cannot be answered before their deadline any more.
    pub fn refuse_late(
        &mut self,
        now: Time,
        draw: &mut dyn FnMut() -> f64,
    ) -> Vec<(Ticket, QueueRefusal)> {
        self.advance(now);
        let mut refused = Vec::new();
        let (mut position, mut ahead_ms) = (0, 0.0);
        for class in self.classes.values() {
            let mut ahead = Ahead::default();
            for index in class.order(self.pace(now)) {
                let waiting = &class.waiting[index];
                let wait = self.wait(now, &waiting.entry, ahead_ms, ahead);
                if self.is_too_late(now, &waiting.entry, wait.mul_f64(QUEUED_WAIT_FACTOR)) {
                    let forecast = Forecast { position, wait };
                    let refusal = refusal(QueueRefusalReason::TooLate, forecast, draw());
                    refused.push((waiting.ticket, refusal));
                    continue;
                }
                position += 1;
                let cost_ms = milliseconds(waiting.entry.cost);
                let pace = self.pace(now);
                if !pace.is_late(&waiting.entry, Duration::ZERO)
                    && pace.is_late(&waiting.entry, wait)
                {
                    ahead.passed_ms += cost_ms;
                } else {
                    ahead.work_ms += cost_ms;
                }
            }
            ahead_ms += ahead.work_ms + ahead.passed_ms;
        }
        for (ticket, _) in &refused {
            self.cancel(now, *ticket);
        }
        refused
    }

    /// Time until `own_ms` of a class and `ahead_ms` of the classes before it are dispatched. The
    /// rate of the class counts what arrives later in classes before it, and its guaranteed share.
    fn on_time_wait(&self, key: QueueClass, ahead_ms: f64, own_ms: f64) -> Duration {
        let total = self.rate.per_ms(self.capacity);
        let by_total = (ahead_ms + own_ms) / total;
        let guaranteed = match key {
            QueueClass::Open => 1.0,
            QueueClass::Priority(_) => guaranteed_share(self.classes.len()),
        };
        let own = self.classes.get(&key).map_or(total, |class| class.rate.per_ms(total));
        let by_class = own_ms / own.max(total * guaranteed);
        Duration::from_secs_f64(by_total.max(by_class) / 1_000.0)
    }

    /// Time until a statement is dispatched, with the work ahead of it as in [`Self::on_time_wait`].
    /// One that misses its objective by then also lets pass those that arrive later in its class.
    fn wait(&self, now: Time, entry: &QueueEntry, ahead_ms: f64, ahead: Ahead) -> Duration {
        let key = entry.class();
        let wait = self.on_time_wait(key, ahead_ms, ahead.work_ms);
        let pace = self.pace(now);
        let Some(class) = self.classes.get(&key).filter(|_| pace.is_late(entry, wait)) else {
            return wait;
        };
        let is_ahead = |w: &&Waiting| {
            pace.is_late(&w.entry, Duration::ZERO) && w.entry.deadline < entry.deadline
        };
        let late = class.waiting.iter().filter(is_ahead);
        let late_ms: f64 = late.map(|w| milliseconds(w.entry.cost)).sum();
        let prior = class.rate.per_ms(self.rate.per_ms(self.capacity)) * LATE_RATE_FACTOR;
        let late_ms = late_ms + ahead.passed_ms + milliseconds(entry.cost);
        let by_late = late_ms / class.late_rate.per_ms(prior);
        wait.max(Duration::from_secs_f64(by_late / 1_000.0))
    }

    fn pace(&self, now: Time) -> Pace {
        Pace { now, delay: self.delay.with_allowance(now) }
    }

    fn is_too_late(&self, now: Time, entry: &QueueEntry, wait: Duration) -> bool {
        let needed = entry.cost + self.delay.with_allowance(now) + DEADLINE_MARGIN;
        now + wait + needed > entry.deadline
    }

    /// Removes the last statement of the lowest class that exceeds its guaranteed places; returns it
    /// and the predicted wait of the queue.
    fn remove_last(&mut self, now: Time) -> Option<(Ticket, Duration)> {
        let places = (self.max_waiting as f64 * guaranteed_share(self.classes.len())).ceil();
        let waits_beyond_places = |class: &Class| class.waiting.len() as f64 > places;
        let key = self.classes.iter().rev().find(|(_, class)| waits_beyond_places(class));
        let key = key.or_else(|| self.classes.iter().rev().find(|(_, c)| !c.waiting.is_empty()));
        let key = *key?.0;
        let all_ms: f64 = self.classes.values().map(Class::work_ms).sum();
        let wait = Duration::from_secs_f64(all_ms / self.rate.per_ms(self.capacity) / 1_000.0);
        let pace = self.pace(now);
        let class = self.classes.get_mut(&key)?;
        let last = *class.order(pace).last()?;
        let ticket = class.waiting[last].ticket;
        class.remove(ticket);
        Some((ticket, wait))
    }

    /// Applies the time since the last call to the observed rates.
    fn advance(&mut self, now: Time) {
        let pace = self.pace(now);
        let is_busy = !self.is_empty();
        self.rate.advance(now, is_busy);
        for class in self.classes.values_mut() {
            let is_busy = !class.waiting.is_empty();
            class.rate.advance(now, is_busy);
            let has_late = class.has_late(pace);
            class.late_rate.advance(now, has_late);
        }
    }
}

/// The guaranteed share of each of several classes.
fn guaranteed_share(classes: usize) -> f64 {
    GUARANTEED_SHARE.min(MAX_GUARANTEED_TOTAL / classes.max(1) as f64)
}

fn refusal(reason: QueueRefusalReason, forecast: Forecast, draw: f64) -> QueueRefusal {
    let spread = forecast.wait.clamp(MIN_RETRY_SPREAD, MAX_RETRY_SPREAD);
    let retry_after = MIN_RETRY_AFTER + spread.mul_f64(draw.clamp(0.0, 1.0));
    QueueRefusal { reason, forecast, retry_after }
}
