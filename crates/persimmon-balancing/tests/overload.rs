//! Admission control under load above an instance's capacity, simulated without a network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use persimmon_balancing::{Admission, AdmissionController};
use persimmon_types::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Slots and queue length of the simulated instance, as instances behind the proxy have them.
const SLOTS: usize = 6;
const QUEUE: usize = 48;

/// Average slot time of one statement, in microseconds.
const WORK_US: u64 = 28_000;

/// Statements of a transaction, and the time within which all must be answered.
const STATEMENTS: u32 = 4;
const DEADLINE_US: u64 = 400_000;

/// Daemons that each send their own clients' work.
const DAEMONS: usize = 60;

/// Daemons that send the work of all others, one in each failure domain, whatever the fleet's size.
const OWNERS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Operation {
    daemon: usize,
    arrival: u64,
    statements_left: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(Operation),
    Send(Operation),
    Done { op: Operation, sent: u64 },
}

struct Simulation {
    controllers: Vec<AdmissionController>,
    /// Statements in flight of each daemon.
    in_flight: Vec<u32>,
    has_admission_control: bool,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    queue: VecDeque<(Operation, u64)>,
    busy: usize,
    completed: u64,
    sequence: u64,
    rng: SmallRng,
}

fn controller(senders: usize) -> AdmissionController {
    let mut controller = AdmissionController::new();
    controller.set_share(SLOTS as u32, Some(senders));
    controller
}

fn at(us: u64) -> Time {
    Time::from_micros(10_000_000 + us)
}

impl Simulation {
    fn new(has_admission_control: bool) -> Self {
        Self::with_senders(DAEMONS, has_admission_control)
    }

    /// Creates an instance to which `senders` daemons send work.
    fn with_senders(senders: usize, has_admission_control: bool) -> Self {
        Self {
            controllers: vec![controller(senders); senders],
            in_flight: vec![0; senders],
            has_admission_control,
            events: BinaryHeap::new(),
            queue: VecDeque::new(),
            busy: 0,
            completed: 0,
            sequence: 0,
            rng: SmallRng::seed_from_u64(11),
        }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    /// Offers load at a multiple of capacity; returns operations per second completed by the
    /// deadline.
    fn run(&mut self, load_factor: f64, from_s: u64, to_s: u64) -> f64 {
        let capacity = SLOTS as f64 * 1e6 / (WORK_US as f64 * f64::from(STATEMENTS));
        let gap_us = 1e6 / (capacity * load_factor);
        let (mut time, end) = (from_s as f64 * 1e6, to_s as f64 * 1e6);
        while time < end {
            time += gap_us * self.rng.random_range(0.2..1.8);
            let daemon = self.rng.random_range(0..self.controllers.len());
            let arrival = time as u64;
            self.push(
                arrival,
                Event::Arrive(Operation { daemon, arrival, statements_left: STATEMENTS }),
            );
        }
        let before = self.completed;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.handle(time, event);
        }
        (self.completed - before) as f64 / (to_s - from_s) as f64
    }

    fn handle(&mut self, time: u64, event: Event) {
        match event {
            Event::Arrive(op) => {
                if !self.has_admission_control {
                    self.handle(time, Event::Send(op));
                    return;
                }
                let draw = self.rng.random_range(0.0..1.0);
                let in_flight = self.in_flight[op.daemon];
                let cost_ms = WORK_US as f64 / 1_000.0;
                if self.controllers[op.daemon].admit(at(time), cost_ms, 2, in_flight, draw)
                    == Admission::Admitted
                {
                    self.handle(time, Event::Send(op));
                }
            }
            Event::Send(op) => self.send(time, op),
            Event::Done { op, sent } => self.done(time, op, sent),
        }
    }

    fn send(&mut self, time: u64, op: Operation) {
        if time > op.arrival + DEADLINE_US {
            return;
        }
        if self.busy < SLOTS {
            self.record_sent(time, op);
            self.start(time, op, time);
        } else if self.queue.len() < QUEUE {
            self.record_sent(time, op);
            self.queue.push_back((op, time));
        } else {
            self.controllers[op.daemon].record_rejection(at(time));
            let pause = self.rng.random_range(8_000..80_000);
            self.push(time + pause, Event::Send(op));
        }
    }

    fn record_sent(&mut self, time: u64, op: Operation) {
        self.controllers[op.daemon].record_sent(at(time), WORK_US as f64 / 1_000.0);
        self.in_flight[op.daemon] += 1;
    }

    fn start(&mut self, time: u64, op: Operation, sent: u64) {
        self.busy += 1;
        let work = self.rng.random_range(WORK_US / 2..WORK_US * 3 / 2);
        self.push(time + work, Event::Done { op, sent });
    }

    fn done(&mut self, time: u64, mut op: Operation, sent: u64) {
        self.busy -= 1;
        self.in_flight[op.daemon] -= 1;
        if let Some((next, sent)) = self.queue.pop_front() {
            self.start(time, next, sent);
        }
        let wait_us = (time - sent).saturating_sub(WORK_US);
        self.controllers[op.daemon].record_wait(at(time), wait_us as f64 / 1_000.0);
        op.statements_left -= 1;
        if op.statements_left == 0 {
            let in_time = time <= op.arrival + DEADLINE_US;
            self.completed += u64::from(in_time);
            return;
        }
        self.send(time, op);
    }
}

#[test]
fn goodput_at_three_and_five_times_capacity_stays_near_the_peak() {
    let peak = Simulation::new(true).run(0.95, 0, 20);
    for load_factor in [3.0, 5.0] {
        let goodput = Simulation::new(true).run(load_factor, 0, 20);

        assert!(goodput >= peak * 0.95, "at {load_factor}: {goodput:.1} of {peak:.1} a second");
    }
}

/// The load of a fleet of any size reaches an instance through the owners alone.
#[test]
fn goodput_of_owners_at_three_and_five_times_capacity_stays_near_the_peak() {
    let peak = Simulation::with_senders(OWNERS, true).run(0.95, 0, 20);
    for load_factor in [3.0, 5.0] {
        let goodput = Simulation::with_senders(OWNERS, true).run(load_factor, 0, 20);

        assert!(goodput >= peak * 0.95, "at {load_factor}: {goodput:.1} of {peak:.1} a second");
    }
}

#[test]
fn goodput_collapses_without_admission_control() {
    let peak = Simulation::new(false).run(0.95, 0, 20);

    let goodput = Simulation::new(false).run(3.0, 0, 20);

    assert!(goodput < peak * 0.4, "{goodput:.1} of {peak:.1} a second");
}

#[test]
fn goodput_recovers_within_five_seconds_after_an_overload() {
    let baseline = Simulation::new(true).run(0.6, 0, 10);
    let mut simulation = Simulation::new(true);
    simulation.run(5.0, 0, 10);

    let after = simulation.run(0.6, 15, 25);

    assert!(after >= baseline * 0.95, "{after:.1} of {baseline:.1} a second");
}

#[test]
fn nothing_is_throttled_below_capacity() {
    let mut simulation = Simulation::new(true);

    let goodput = simulation.run(0.6, 0, 10);

    let offered = 0.6 * SLOTS as f64 * 1e6 / (WORK_US as f64 * f64::from(STATEMENTS));
    assert!(goodput >= offered * 0.97, "{goodput:.1} of {offered:.1} a second");
}

#[test]
fn important_work_is_admitted_more_often_than_normal_work() {
    let mut controller = AdmissionController::new();
    controller.record_rejection(at(0));
    for step in 0..40 {
        controller.record_wait(at(step * 10_000), 300.0);
    }
    assert!(controller.is_throttling());
    let mut admitted = [0, 0];
    for step in 0..200 {
        let now = at(1_000_000 + step * 20_000);
        controller.record_wait(now, 100.0);
        for (index, priority) in [(0, 1), (1, 2)] {
            let draw = (step as f64 * 0.618).fract();
            if controller.admit(now, 9.0, priority, 0, draw) == Admission::Admitted {
                admitted[index] += 1;
            }
        }
    }

    assert!(admitted[0] > admitted[1] * 2, "{admitted:?}");
}
