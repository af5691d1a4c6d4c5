//! A simulated fleet of daemons that enforce quotas: clocks, network, store, and faults.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;
use persimmon_workspace::Quota;
use persimmon_workspace::quota::{
    Answer, Bounds, Coordinator, Decision, FleetRecord, Limit, Member, Request, Token, later_fleet,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Step of the simulation, in microseconds.
pub const STEP: u64 = 5_000;
/// How long a daemon waits for an answer before it passes a coordinator over.
const CALL_TIMEOUT: u64 = 300_000;
/// How long it is passed over.
const PASS_OVER: u64 = 2_000_000;
/// How long a statement may wait for a token.
const PATIENCE: Duration = Duration::from_millis(60);

/// Where a statement that has a token is on its way to an instance.
#[derive(Clone, Copy, Debug)]
struct Statement {
    workspace: usize,
    token: Token,
    /// True time at which it would be sent.
    at: u64,
    is_dropped: bool,
}

#[derive(Debug)]
enum Event {
    Request { from: usize, life: u64, sent_at: Time, request: Request },
    Answer { from: usize, life: u64, sent_at: Time, request: Request, answer: Answer },
    Read { life: u64, sent_at: Time },
    Write { life: u64, sent_at: Time, expect: u64, record: FleetRecord },
    Learn { life: u64, sent_at: Time, record: FleetRecord },
}

#[derive(Debug)]
pub struct Daemon {
    life: u64,
    offset: u64,
    pub is_up: bool,
    /// Whether its host is gone for good.
    is_gone: bool,
    /// When a host that is cut off from everything is back.
    returns_at: Option<u64>,
    pub frozen_until: u64,
    pub group: u8,
    pub sees_store: bool,
    knows: usize,
    member: Member,
    coordinator: Coordinator,
    record: Option<FleetRecord>,
    is_registering: bool,
    unregistered: HashSet<usize>,
    in_flight: Option<(usize, u64)>,
    passed_over: HashMap<usize, u64>,
    waiting: HashMap<u64, usize>,
    statements: Vec<Statement>,
    /// Which version of the quotas is active.
    pub version: usize,
}

impl Daemon {
    /// Lets the coordinator know what the member knows of the fleet, and the other way round.
    fn sync_fleet(&mut self, now: Time) {
        let fleet = later_fleet(self.member.fleet(), self.coordinator.fleet());
        let current_at = self.member.current_at();
        self.member.learn(&fleet, None, None);
        let is_registered = self.member.index().is_some();
        self.coordinator.set_fleet(now, &fleet, current_at, is_registered);
    }
}

/// How the network and the statements behave.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub max_delay: u64,
    pub loss: f64,
    /// Whether statements are sent at any time until their token expires, and some never.
    pub is_adverse: bool,
}

pub struct Fleet {
    pub rng: StdRng,
    pub now: u64,
    pub daemons: Vec<Daemon>,
    pub weather: Weather,
    pub bounds: Bounds,
    /// Versions of the quotas of all workspaces.
    pub quotas: Vec<Vec<Quota>>,
    names: Vec<Arc<str>>,
    store: Option<FleetRecord>,
    store_version: u64,
    pub store_calls: u64,
    pub messages: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, (usize, Event)>,
    next_event: u64,
    /// True times at which operations of each workspace reached an instance.
    pub spent: Vec<Vec<u64>>,
    pub asked: Vec<u64>,
    pub refused: Vec<u64>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).expect("few daemons")))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

fn name(index: usize) -> Arc<str> {
    Arc::from(address(index).to_string())
}

impl Fleet {
    pub fn new(seed: u64, daemons: usize, quotas: Vec<Quota>, bounds: Bounds) -> Self {
        let workspaces = quotas.len();
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000_000_000,
            daemons: Vec::new(),
            weather: Weather { max_delay: 2_000, loss: 0.0, is_adverse: false },
            bounds,
            quotas: vec![quotas],
            names: (0..workspaces).map(|w| Arc::from(format!("w{w}"))).collect(),
            store: None,
            store_version: 0,
            store_calls: 0,
            messages: 0,
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            next_event: 0,
            spent: vec![Vec::new(); workspaces],
            asked: vec![0; workspaces],
            refused: vec![0; workspaces],
        };
        for _ in 0..daemons {
            fleet.add_daemon();
        }
        fleet
    }

    /// Adds a host; the others know it from now on.
    pub fn add_daemon(&mut self) {
        let offset = self.rng.random_range(0..1_000_000_000);
        let daemon = self.new_daemon(offset);
        self.daemons.push(daemon);
    }

    fn new_daemon(&mut self, offset: u64) -> Daemon {
        let now = Time::from_micros(self.now + offset);
        Daemon {
            life: self.rng.random(),
            offset,
            is_up: true,
            is_gone: false,
            returns_at: None,
            frozen_until: 0,
            group: 0,
            sees_store: true,
            knows: usize::MAX,
            member: Member::new(now),
            coordinator: Coordinator::new(self.rng.random(), self.bounds, now),
            record: None,
            is_registering: false,
            unregistered: HashSet::new(),
            in_flight: None,
            passed_over: HashMap::new(),
            waiting: HashMap::new(),
            statements: Vec::new(),
            version: self.quotas.len() - 1,
        }
    }

    /// Ends the process of a daemon, which loses everything it knows, and starts another.
    pub fn restart(&mut self, index: usize) {
        if self.daemons[index].is_gone {
            return;
        }
        let (offset, group) = (self.daemons[index].offset, self.daemons[index].group);
        let sees_store = self.daemons[index].sees_store;
        let mut daemon = self.new_daemon(offset);
        daemon.group = group;
        daemon.sees_store = sees_store;
        self.daemons[index] = daemon;
    }

    /// Stops or starts a daemon's process without a loss of its state.
    pub fn toggle(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.is_up = !daemon.is_up && !daemon.is_gone;
    }

    /// Replaces a host by another one at another address.
    pub fn replace(&mut self, index: usize) {
        self.daemons[index].is_up = false;
        self.daemons[index].is_gone = true;
        self.add_daemon();
    }

    /// Adds a host in place of one that is only cut off, and back after `time`.
    pub fn replace_cut_off(&mut self, index: usize, time: u64) {
        /// No other daemon is in it.
        const CUT_OFF: u8 = 100;
        let returns_at = self.now + time;
        let daemon = &mut self.daemons[index];
        (daemon.group, daemon.sees_store) = (CUT_OFF, false);
        daemon.returns_at = Some(returns_at);
        self.add_daemon();
    }

    /// The hosts that are not gone for good.
    pub fn hosts(&self) -> Vec<usize> {
        (0..self.daemons.len()).filter(|index| !self.daemons[*index].is_gone).collect()
    }

    /// The record of the fleet in the store.
    pub fn record(&self) -> Option<&FleetRecord> {
        self.store.as_ref()
    }

    /// Limits how many daemons each one knows, as while a fleet starts.
    pub fn limit_knowledge(&mut self, knows: usize) {
        for daemon in &mut self.daemons {
            daemon.knows = knows;
        }
    }

    fn local(&self, daemon: usize) -> Time {
        Time::from_micros(self.now + self.daemons[daemon].offset)
    }

    fn limit(&self, daemon: usize, workspace: usize) -> Limit {
        Limit::new(self.quotas[self.daemons[daemon].version][workspace], &self.bounds)
    }

    fn push(&mut self, delay: u64, target: usize, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((self.now + delay, id)));
        self.payloads.insert(id, (target, event));
    }

    fn delay(&mut self) -> u64 {
        let usual = self.rng.random_range(300..1_500);
        if self.rng.random_bool(0.1) {
            self.rng.random_range(0..=self.weather.max_delay)
        } else {
            usual
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.messages += 1;
        if self.daemons[from].group != self.daemons[to].group
            || self.rng.random_bool(self.weather.loss)
        {
            return;
        }
        let delay = self.delay();
        self.push(delay, to, event);
    }

    /// One operation of a client arrives.
    pub fn arrive(&mut self, daemon: usize, workspace: usize, priority: u8) {
        if !self.daemons[daemon].is_up || self.daemons[daemon].frozen_until > self.now {
            return;
        }
        self.asked[workspace] += 1;
        let (now, limit) = (self.local(daemon), self.limit(daemon, workspace));
        let name = Arc::clone(&self.names[workspace]);
        match self.daemons[daemon].member.ask(now, &name, limit, priority, PATIENCE) {
            Decision::Granted(token) => self.start(daemon, workspace, token),
            Decision::Refused(_) => self.refused[workspace] += 1,
            Decision::Waiting(id) => {
                self.daemons[daemon].waiting.insert(id, workspace);
            }
        }
    }

    fn start(&mut self, daemon: usize, workspace: usize, token: Token) {
        let left = token.expires.since(self.local(daemon)).as_micros();
        let left = u64::try_from(left).expect("short");
        let (mut at, mut is_dropped) = (self.now, false);
        if self.weather.is_adverse {
            at += match self.rng.random_range(0..4) {
                0 => left.saturating_sub(1),
                1 => self.rng.random_range(0..=left),
                _ => 0,
            };
            is_dropped = self.rng.random_bool(0.05);
        }
        self.daemons[daemon].statements.push(Statement { workspace, token, at, is_dropped });
    }

    /// The coordinator that a daemon chooses: the first that has not failed to answer.
    fn choose(&self, daemon: usize) -> usize {
        let me = &self.daemons[daemon];
        let is_candidate = |other: &usize| {
            *other == daemon
                || (*other < me.knows
                    && !self.daemons[*other].is_gone
                    && me.passed_over.get(other).is_none_or(|until| *until <= self.now))
        };
        (0..self.daemons.len()).find(is_candidate).unwrap_or(daemon)
    }

    /// Advances by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > self.now {
                break;
            }
            self.events.pop();
            let (target, event) = self.payloads.remove(&id).expect("pending");
            let thaws_at = self.daemons[target].frozen_until;
            if thaws_at > self.now {
                self.push(thaws_at - self.now, target, event);
            } else if self.daemons[target].is_up {
                self.deliver(target, event);
            }
        }
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].returns_at.is_some_and(|at| at <= self.now) {
                let back = &mut self.daemons[daemon];
                (back.group, back.sees_store, back.returns_at) = (0, true, None);
            }
            if self.daemons[daemon].is_up && self.daemons[daemon].frozen_until <= self.now {
                self.run(daemon);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let now = self.local(index);
        self.send_statements(index, now);
        self.daemons[index].coordinator.tick(now);
        self.daemons[index].member.tick(now);
        self.take_decided(index);
        if let Some((peer, since)) = self.daemons[index].in_flight {
            if self.now - since < CALL_TIMEOUT {
                return;
            }
            self.daemons[index].in_flight = None;
            self.daemons[index].member.record_lost();
            self.daemons[index].passed_over.insert(peer, self.now + PASS_OVER);
        }
        let to = self.choose(index);
        if let Some((holder, request)) = self.daemons[index].member.next_release(now, address(to)) {
            self.call(index, index_of(holder), now, request);
            return;
        }
        if let Some(request) = self.daemons[index].member.next_request(now, address(to)) {
            self.call(index, to, now, request);
        }
    }

    fn call(&mut self, index: usize, to: usize, now: Time, request: Request) {
        let life = self.daemons[index].life;
        self.daemons[index].in_flight = Some((to, self.now));
        let event = Event::Request { from: index, life, sent_at: now, request };
        if to == index {
            self.deliver(index, event);
        } else {
            self.send(index, to, event);
        }
    }

    fn send_statements(&mut self, index: usize, now: Time) {
        let due = self.now;
        let statements = std::mem::take(&mut self.daemons[index].statements);
        for statement in statements {
            // Sent at its exact time within the step, unless the daemon was frozen then.
            let at = statement.at.max(due - STEP);
            if statement.at > due {
                self.daemons[index].statements.push(statement);
                continue;
            }
            let local = Time::from_micros(at + self.daemons[index].offset);
            if statement.is_dropped {
                let name = Arc::clone(&self.names[statement.workspace]);
                self.daemons[index].member.give_back(now, &name, statement.token);
            } else if local < statement.token.expires {
                self.spent[statement.workspace].push(at);
            } else {
                self.refused[statement.workspace] += 1;
            }
        }
    }

    fn take_decided(&mut self, index: usize) {
        for (id, decision) in self.daemons[index].member.take_decided() {
            let Some(workspace) = self.daemons[index].waiting.remove(&id) else {
                continue;
            };
            match decision {
                Decision::Granted(token) => self.start(index, workspace, token),
                _ => self.refused[workspace] += 1,
            }
        }
    }

    fn deliver(&mut self, target: usize, event: Event) {
        match event {
            Event::Request { from, life, sent_at, request } => {
                let answer = self.coordinate(target, from, &request);
                let event = Event::Answer { from: target, life, sent_at, request, answer };
                if from == target {
                    self.deliver(target, event);
                } else {
                    self.send(target, from, event);
                }
            }
            Event::Answer { from, life, sent_at, request, answer } => {
                let now = self.local(target);
                let daemon = &mut self.daemons[target];
                if daemon.life != life {
                    return;
                }
                daemon.member.receive(now, sent_at, address(from), &request, &answer);
                if daemon.in_flight.is_some_and(|(peer, _)| peer == from) {
                    daemon.in_flight = None;
                }
                daemon.passed_over.remove(&from);
                self.take_decided(target);
            }
            Event::Read { life, sent_at } => self.read_record(target, life, sent_at),
            Event::Write { life, sent_at, expect, record } => {
                self.write_record(target, life, sent_at, expect, record);
            }
            Event::Learn { life, sent_at, record } => {
                let now = self.local(target);
                let daemon = &mut self.daemons[target];
                if daemon.life != life {
                    return;
                }
                daemon.is_registering = false;
                daemon.unregistered.clear();
                let index = record.index(&name(target));
                daemon.member.learn(record.fleet(), index, Some(sent_at));
                daemon.sync_fleet(now);
                daemon.record = Some(record);
            }
        }
    }

    fn coordinate(&mut self, target: usize, from: usize, request: &Request) -> Answer {
        let now = self.local(target);
        let limits: Vec<Limit> =
            (0..self.names.len()).map(|workspace| self.limit(target, workspace)).collect();
        let names = &self.names;
        let find = |n: &str| limits.iter().zip(names).find(|(_, o)| &***o == n).map(|(l, _)| *l);
        let daemon = &mut self.daemons[target];
        daemon.sync_fleet(now);
        let found = daemon.record.as_ref().and_then(|r| r.index(&name(from)));
        let index = request.index.or(found);
        let index = index.filter(|index| daemon.member.fleet().contains(*index));
        if index.is_none() {
            daemon.unregistered.insert(from);
        }
        let answer = daemon.coordinator.handle(now, request, index, find);
        let fleet = Arc::clone(daemon.coordinator.fleet());
        daemon.member.learn(&fleet, None, daemon.coordinator.current_at());
        let needs = index.is_none()
            || daemon.member.index().is_none()
            || daemon.coordinator.needs_record(now)
            || !daemon.coordinator.due_change(now).is_empty(daemon.coordinator.fleet());
        if needs && !daemon.is_registering && daemon.sees_store {
            daemon.is_registering = true;
            let life = daemon.life;
            let delay = self.store_delay();
            self.push(delay, target, Event::Read { life, sent_at: now });
        }
        answer
    }

    fn store_delay(&mut self) -> u64 {
        self.store_calls += 1;
        self.rng.random_range(5_000..60_000)
    }

    fn read_record(&mut self, target: usize, life: u64, sent_at: Time) {
        let now = self.local(target);
        let daemon = &mut self.daemons[target];
        if daemon.life != life {
            return;
        }
        if !daemon.sees_store {
            daemon.is_registering = false;
            return;
        }
        let known: Vec<Arc<str>> =
            daemon.unregistered.iter().chain(&[target]).map(|index| name(*index)).collect();
        let change = daemon.coordinator.due_change(now);
        let stored = self.store.clone();
        let delay = self.store_delay();
        match FleetRecord::updated(stored.as_ref(), known, &change) {
            Some(record) => {
                let expect = self.store_version;
                self.push(delay, target, Event::Write { life, sent_at, expect, record });
            }
            None => {
                let record = stored.expect("a record");
                self.push(delay, target, Event::Learn { life, sent_at, record });
            }
        }
    }

    fn write_record(
        &mut self,
        target: usize,
        life: u64,
        sent_at: Time,
        expect: u64,
        record: FleetRecord,
    ) {
        let is_written = expect == self.store_version;
        if is_written {
            self.store = Some(record.clone());
            self.store_version += 1;
        }
        let daemon = &mut self.daemons[target];
        if daemon.life != life {
            return;
        }
        daemon.is_registering = false;
        let is_answered = !self.weather.is_adverse || self.rng.random_bool(0.8);
        if is_written && is_answered {
            let delay = self.store_delay();
            self.push(delay, target, Event::Learn { life, sent_at, record });
        }
    }

    /// The sum of what all coordinators grant at present, as a part of each quota.
    pub fn total_fill(&self) -> f64 {
        let is_running = |d: &Daemon| d.is_up && d.frozen_until <= self.now;
        let indices = (0..self.daemons.len()).filter(|index| is_running(&self.daemons[*index]));
        indices.map(|index| self.daemons[index].coordinator.fill(self.local(index))).sum()
    }

    /// The largest number of operations of a workspace in a window that ends after `from`, beyond
    /// the bound; not positive where the bound holds.
    pub fn excess(&mut self, workspace: usize, quota: Quota, from: u64) -> f64 {
        let window = u64::try_from(self.bounds.window.as_micros()).expect("short");
        let spent = &mut self.spent[workspace];
        spent.sort_unstable();
        let (mut start, mut most) = (0, 0);
        for end in 0..spent.len() {
            while spent[end] - spent[start] > window {
                start += 1;
            }
            if spent[end] >= from {
                most = most.max(end - start + 1);
            }
        }
        f64::from(u32::try_from(most).expect("few")) - self.bounds.max_operations(quota)
    }
}
