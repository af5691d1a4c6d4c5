//! Load above an instance's capacity, played without a network: what callers get.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use persimmon_place::{Admission, Gate};
use persimmon_types::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One instance: slots and a queue, as callers of this project meet them.
const SLOTS: usize = 6;
const QUEUE: usize = 48;

/// What one statement occupies, in microseconds on average.
const WORK_US: u64 = 28_000;

/// Statements of a transaction, and the time in which all must be answered.
const STATEMENTS: u32 = 4;
const DEADLINE_US: u64 = 400_000;

const DAEMONS: usize = 60;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Op {
    daemon: usize,
    arrival: u64,
    left: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(Op),
    Try(Op),
    Done { op: Op, sent: u64 },
}

struct Play {
    gates: Vec<Gate>,
    has_gates: bool,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    queue: VecDeque<(Op, u64)>,
    busy: usize,
    served: u64,
    number: u64,
    rng: SmallRng,
}

fn gate() -> Gate {
    let mut gate = Gate::new();
    gate.set_share(SLOTS as u32, Some(DAEMONS));
    gate
}

fn at(us: u64) -> Time {
    Time::from_micros(10_000_000 + us)
}

impl Play {
    fn new(has_gates: bool) -> Self {
        Self {
            gates: vec![gate(); DAEMONS],
            has_gates,
            events: BinaryHeap::new(),
            queue: VecDeque::new(),
            busy: 0,
            served: 0,
            number: 0,
            rng: SmallRng::seed_from_u64(11),
        }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }

    /// Plays load at a multiple of capacity; returns operations served in time a second.
    fn run(&mut self, factor: f64, from_s: u64, to_s: u64) -> f64 {
        let capacity = SLOTS as f64 * 1e6 / (WORK_US as f64 * f64::from(STATEMENTS));
        let gap = 1e6 / (capacity * factor);
        let (mut time, end) = (from_s as f64 * 1e6, to_s as f64 * 1e6);
        while time < end {
            time += gap * self.rng.random_range(0.2..1.8);
            let daemon = self.rng.random_range(0..DAEMONS);
            let arrival = time as u64;
            self.push(arrival, Event::Arrive(Op { daemon, arrival, left: STATEMENTS }));
        }
        let before = self.served;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.handle(time, event);
        }
        (self.served - before) as f64 / (to_s - from_s) as f64
    }

    fn handle(&mut self, time: u64, event: Event) {
        match event {
            Event::Arrive(op) => {
                if !self.has_gates {
                    self.handle(time, Event::Try(op));
                    return;
                }
                let draw = self.rng.random_range(0.0..1.0);
                if self.gates[op.daemon].admit(at(time), WORK_US as f64 / 1_000.0, 2, draw)
                    == Admission::Now
                {
                    self.handle(time, Event::Try(op));
                }
            }
            Event::Try(op) => self.try_once(time, op),
            Event::Done { op, sent } => self.done(time, op, sent),
        }
    }

    fn try_once(&mut self, time: u64, op: Op) {
        if time > op.arrival + DEADLINE_US {
            return;
        }
        let cost_ms = WORK_US as f64 / 1_000.0;
        if self.busy < SLOTS {
            self.gates[op.daemon].sent(at(time), cost_ms);
            self.start(time, op, time);
        } else if self.queue.len() < QUEUE {
            self.gates[op.daemon].sent(at(time), cost_ms);
            self.queue.push_back((op, time));
        } else {
            self.gates[op.daemon].refused(at(time));
            let pause = self.rng.random_range(8_000..80_000);
            self.push(time + pause, Event::Try(op));
        }
    }

    fn start(&mut self, time: u64, op: Op, sent: u64) {
        self.busy += 1;
        let work = self.rng.random_range(WORK_US / 2..WORK_US * 3 / 2);
        self.push(time + work, Event::Done { op, sent });
    }

    fn done(&mut self, time: u64, mut op: Op, sent: u64) {
        self.busy -= 1;
        if let Some((next, sent)) = self.queue.pop_front() {
            self.start(time, next, sent);
        }
        let wait_us = (time - sent).saturating_sub(WORK_US);
        self.gates[op.daemon].answered(at(time), wait_us as f64 / 1_000.0);
        op.left -= 1;
        if op.left == 0 {
            let in_time = time <= op.arrival + DEADLINE_US;
            self.served += u64::from(in_time);
            return;
        }
        self.try_once(time, op);
    }
}

#[test]
fn goodput_at_three_and_five_times_capacity_stays_near_the_peak() {
    let peak = Play::new(true).run(0.95, 0, 20);
    for factor in [3.0, 5.0] {
        let goodput = Play::new(true).run(factor, 0, 20);

        assert!(goodput >= peak * 0.95, "at {factor}: {goodput:.1} of {peak:.1} a second");
    }
}

#[test]
fn without_budgets_the_same_load_collapses() {
    let peak = Play::new(false).run(0.95, 0, 20);

    let goodput = Play::new(false).run(3.0, 0, 20);

    assert!(goodput < peak * 0.4, "{goodput:.1} of {peak:.1} a second");
}

#[test]
fn service_is_back_within_five_seconds_of_a_crest() {
    let calm = Play::new(true).run(0.6, 0, 10);
    let mut play = Play::new(true);
    play.run(5.0, 0, 10);

    let after = play.run(0.6, 15, 25);

    assert!(after >= calm * 0.95, "{after:.1} of {calm:.1} a second");
}

#[test]
fn below_capacity_nothing_is_held_back() {
    let mut play = Play::new(true);

    let goodput = play.run(0.6, 0, 10);

    let offered = 0.6 * SLOTS as f64 * 1e6 / (WORK_US as f64 * f64::from(STATEMENTS));
    assert!(goodput >= offered * 0.97, "{goodput:.1} of {offered:.1} a second");
}

#[test]
fn important_work_passes_while_ordinary_work_is_held_back() {
    let mut gate = Gate::new();
    gate.refused(at(0));
    for number in 0..40 {
        gate.answered(at(number * 10_000), 300.0);
    }
    assert!(gate.is_closed());
    let mut passed = [0, 0];
    for number in 0..200 {
        let now = at(1_000_000 + number * 20_000);
        gate.answered(now, 100.0);
        for (index, priority) in [(0, 1), (1, 2)] {
            let draw = (number as f64 * 0.618).fract();
            if gate.admit(now, 9.0, priority, draw) == Admission::Now {
                passed[index] += 1;
            }
        }
    }

    assert!(passed[0] > passed[1] * 2, "{passed:?}");
}
