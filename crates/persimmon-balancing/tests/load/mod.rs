//! Plays the load of clients on one instance behind the daemons that own its service, without a
//! network, by the dispatch queue or by the rule before it.

mod instance;
mod owner;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use instance::Instance;
use owner::Owner;

/// Statements of a transaction.
const STATEMENTS: u32 = 3;

/// Time from an answer to the next statement of the transaction, or from a client to a daemon.
const ROUND_TRIP_US: u64 = 6_000;

/// Time from the instance to an owner, with the time in which the owner processes the answer.
const HOP_US: u64 = 2_000;

/// How often a client sends an operation again after it was refused.
const MAX_RETRIES: u32 = 2;

/// How often waiting statements are checked, as in the proxy.
const CHECK_INTERVAL_US: u64 = 20_000;

/// Who decides about statements when there is too little room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Throttled statements wait once, for at most 80 ms, in no order.
    WaitOnce,
    /// The dispatch queue and the order of waiters for connections.
    Queue,
}

/// A class of requests, as on the page.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub priority: u8,
    pub per_s: f64,
    pub work_ms: f64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub transactions: f64,
    pub value: f64,
    pub late_value: f64,
}

/// Load that is played.
#[derive(Clone, Debug)]
pub struct Load {
    pub classes: Vec<Class>,
    /// Usual share of each workspace, and the factor of its load.
    pub workspaces: Vec<(f64, f64)>,
    /// Slot time that the usual load requires, relative to the capacity of the instance.
    pub utilization: f64,
    /// Factor of the load of each class.
    pub factors: Vec<f64>,
    pub seconds: u64,
    /// Operations that arrive within the first 100 ms, while no connection is open.
    pub returning: usize,
    /// Factor by which statements take longer in the middle half of the time.
    pub slowdown: f64,
    /// Daemons that send the work of the instance.
    pub owners: usize,
}

/// What became of operations.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub offered: u64,
    pub in_objective: u64,
    pub late: u64,
    /// Refused for good, or not answered in time.
    pub refused: u64,
    pub unanswered: u64,
    pub value: f64,
    pub best_value: f64,
    pub served_work_ms: f64,
}

impl Outcome {
    pub fn share_in_objective(&self) -> f64 {
        self.in_objective as f64 / self.offered.max(1) as f64
    }

    pub fn share_served(&self) -> f64 {
        (self.in_objective + self.late) as f64 / self.offered.max(1) as f64
    }
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub by_class: Vec<Outcome>,
    /// By class and workspace.
    pub by_workspace: Vec<Vec<Outcome>>,
    /// Predicted and actual wait of dispatched statements, in milliseconds.
    pub waits: Vec<(f64, f64)>,
    /// Time from the arrival of a statement to its refusal, relative to the objective.
    pub refusal_times: Vec<f64>,
    pub retry_after_ms: Vec<f64>,
}

impl Report {
    /// Value received relative to the best.
    pub fn value(&self) -> f64 {
        let best: f64 = self.by_class.iter().map(|o| o.best_value).sum();
        self.by_class.iter().map(|o| o.value).sum::<f64>() / best
    }

    /// All workspaces but one, in one class.
    pub fn others(&self, class: usize, hot: usize) -> Outcome {
        let mut sum = Outcome::default();
        for (index, outcome) in self.by_workspace[class].iter().enumerate() {
            if index != hot {
                sum.offered += outcome.offered;
                sum.in_objective += outcome.in_objective;
                sum.late += outcome.late;
                sum.served_work_ms += outcome.served_work_ms;
            }
        }
        sum
    }
}

#[derive(Clone, Debug)]
struct Operation {
    class: usize,
    workspace: usize,
    /// When the client began it.
    began: u64,
    statements_left: u32,
    statement_ms: f64,
    retries: u32,
    owner: usize,
    /// When the present statement arrived at the owner.
    arrived: u64,
    /// Whether it has waited once for admission.
    was_throttled: bool,
    holds_connection: bool,
    /// Predicted wait of the present statement, and when it was queued.
    queued: Option<(f64, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new attempt of an operation arrives at an owner.
    Arrive(usize),
    /// A throttled statement requests admission again.
    Again(usize),
    /// The next statement of a transaction arrives.
    Continue(usize),
    /// The instance completes a statement.
    Done {
        id: usize,
        sent: u64,
    },
    /// The answer reaches the owner.
    Answered {
        id: usize,
        sent: u64,
    },
    /// The instance completes a handshake of an owner.
    Connected {
        owner: usize,
    },
    Check {
        owner: usize,
    },
}

/// The simulation.
pub struct Simulation {
    rule: Rule,
    load: Load,
    workspace_names: Vec<Arc<str>>,
    operations: Vec<Operation>,
    owners: Vec<Owner>,
    instance: Instance,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
    report: Report,
}

fn at(us: u64) -> Time {
    Time::from_micros(10_000_000 + us)
}

/// Plays a load by a rule.
pub fn play(load: &Load, rule: Rule, seed: u64) -> Report {
    let mut simulation = Simulation::new(load, rule, seed);
    simulation.add_arrivals();
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.handle(now, event);
    }
    simulation.report
}

impl Simulation {
    fn new(load: &Load, rule: Rule, seed: u64) -> Self {
        let open = if load.returning > 0 { 0 } else { owner::MAX_CONNECTIONS };
        let report = Report {
            by_class: vec![Outcome::default(); load.classes.len()],
            by_workspace: vec![vec![Outcome::default(); load.workspaces.len()]; load.classes.len()],
            ..Report::default()
        };
        let names = (0..load.workspaces.len()).map(|index| Arc::from(format!("w{index}")));
        Self {
            rule,
            workspace_names: names.collect(),
            load: load.clone(),
            operations: Vec::new(),
            owners: (0..load.owners).map(|_| Owner::new(open, load.owners)).collect(),
            instance: Instance::default(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            report,
        }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn add_arrivals(&mut self) {
        let work_ms: f64 = self.load.classes.iter().map(|c| c.per_s * c.work_ms).sum();
        let scale = self.load.utilization * instance::SLOTS as f64 * 1_000.0 / work_ms;
        let end = self.load.seconds as f64 * 1e6;
        let workspaces = self.load.workspaces.clone();
        for (index, class) in self.load.classes.clone().into_iter().enumerate() {
            for (workspace, (share, factor)) in workspaces.iter().enumerate() {
                let per_s = class.per_s * scale * self.load.factors[index] * share * factor;
                let mut time = 0.0;
                loop {
                    time -= (1.0 - self.rng.random_range(0.0..1.0_f64)).ln() * 1e6 / per_s;
                    if time >= end {
                        break;
                    }
                    self.add_operation(index, workspace, time as u64);
                }
            }
        }
        let per_s: f64 = self.load.classes.iter().map(|c| c.per_s).sum();
        for index in 0..self.load.classes.len() {
            let share = self.load.classes[index].per_s / per_s;
            for _ in 0..(self.load.returning as f64 * share) as usize {
                let workspace = self.rng.random_range(0..workspaces.len());
                let time = self.rng.random_range(0..100_000);
                self.add_operation(index, workspace, time);
            }
        }
    }

    fn add_operation(&mut self, class: usize, workspace: usize, began: u64) {
        let of = &self.load.classes[class];
        let statements = if self.rng.random_bool(of.transactions) { STATEMENTS } else { 1 };
        let (value, statement_ms) = (of.value, of.work_ms / f64::from(statements));
        let id = self.operations.len();
        self.operations.push(Operation {
            class,
            workspace,
            began,
            statements_left: statements,
            statement_ms,
            retries: 0,
            owner: 0,
            arrived: began,
            was_throttled: false,
            holds_connection: false,
            queued: None,
        });
        for outcome in self.outcomes(class, workspace) {
            outcome.offered += 1;
            outcome.best_value += value;
        }
        self.push(began, Event::Arrive(id));
    }

    fn outcomes(&mut self, class: usize, workspace: usize) -> [&mut Outcome; 2] {
        let Report { by_class, by_workspace, .. } = &mut self.report;
        [&mut by_class[class], &mut by_workspace[class][workspace]]
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive(id) => {
                let owner = self.rng.random_range(0..self.load.owners);
                let operation = &mut self.operations[id];
                operation.owner = owner;
                operation.arrived = now;
                operation.was_throttled = false;
                self.request_room(now, id);
            }
            Event::Again(id) => self.request_room(now, id),
            Event::Continue(id) => {
                self.operations[id].arrived = now;
                self.send(now, id);
            }
            Event::Done { id, sent } => {
                self.free_slot(now);
                self.push(now + HOP_US, Event::Answered { id, sent });
            }
            Event::Answered { id, sent } => self.answered(now, id, sent),
            Event::Connected { owner } => self.connected(now, owner),
            Event::Check { owner } => self.check(now, owner),
        }
    }

    fn deadline(&self, id: usize) -> u64 {
        let operation = &self.operations[id];
        operation.began + self.load.classes[operation.class].deadline_ms * 1_000
    }

    /// Ends an operation that was answered.
    fn complete(&mut self, now: u64, id: usize) {
        let Operation { class, workspace, began, .. } = self.operations[id];
        let deadline = self.deadline(id);
        let of = self.load.classes[class];
        for outcome in self.outcomes(class, workspace) {
            if now <= began + of.objective_ms * 1_000 {
                outcome.in_objective += 1;
                outcome.value += of.value;
            } else if now <= deadline {
                outcome.late += 1;
                outcome.value += of.late_value;
            } else {
                outcome.unanswered += 1;
                continue;
            }
            outcome.served_work_ms += of.work_ms;
        }
    }

    /// Refuses the present attempt of an operation; its client may send it again.
    fn refuse(&mut self, now: u64, id: usize, retry_after: Duration) {
        let deadline = self.deadline(id);
        let operation = &mut self.operations[id];
        operation.retries += 1;
        operation.queued = None;
        let returns = now + u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX);
        let returns_at = returns + ROUND_TRIP_US;
        let Operation { class, workspace, retries, arrived, .. } = *operation;
        let objective_us = self.load.classes[class].objective_ms * 1_000;
        self.report.refusal_times.push((now - arrived) as f64 / objective_us as f64);
        self.report.retry_after_ms.push(retry_after.as_secs_f64() * 1_000.0);
        if retries <= MAX_RETRIES && returns_at < deadline {
            self.push(returns_at, Event::Arrive(id));
            return;
        }
        for outcome in self.outcomes(class, workspace) {
            outcome.refused += 1;
        }
    }
}

/// The shares of workspaces whose loads fall with their rank.
pub fn zipf(count: usize) -> Vec<(f64, f64)> {
    let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| (weight / sum, 1.0)).collect()
}

/// Outcomes by class name, for messages.
pub fn summary(report: &Report, classes: &[Class]) -> BTreeMap<&'static str, String> {
    let rows = classes.iter().zip(&report.by_class);
    rows.map(|(class, o)| {
        let text = format!(
            "{} offered, {:.3} in objective, {:.3} served, {} refused, {} unanswered",
            o.offered,
            o.share_in_objective(),
            o.share_served(),
            o.refused,
            o.unanswered
        );
        (class.name, text)
    })
    .collect()
}
