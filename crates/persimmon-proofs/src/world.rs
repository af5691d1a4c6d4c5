//! One run: three instances, three daemons' kernels, a store and a caller.

mod calls;
mod traffic;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_failover::{Failover, Omission as FailoverOmission, Rules};
use persimmon_kernel::{Action, Event, HostSeen, Kernel, Order, TableSeen};
use persimmon_member::Membership;
use persimmon_request::{Input, Omission};
use persimmon_rollout::Rollout;
use persimmon_types::{DaemonId, Term, Time, TimelineKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::caller::{Arrival, Caller, TrafficMind};
use crate::checker::{Checker, Told, Violation};
use crate::fault::Fault;
use crate::instance::FakeInstance;
use crate::store::FakeStore;

/// How long a fault lasts that is not for good.
const FAULT_TIME: Duration = Duration::from_secs(2);

/// When the caller begins; the daemons know each other by then.
const CALLER_BEGINS: Time = Time::from_millis(4_000);

/// How long a run lasts after the caller began.
const RUN_TIME: Duration = Duration::from_secs(9);

/// A run in which no write is acknowledged in its last part is stuck.
const LAST_PART: Duration = Duration::from_secs(3);

const TICK: Duration = Duration::from_millis(20);
const REPLICATION: Duration = Duration::from_millis(5);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
const STORE_SLOWNESS: Duration = Duration::from_millis(280);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

const DAEMONS: usize = 3;
const INSTANCES: usize = 3;

/// What happens in the span whose steps are enumerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// The caller writes and reads.
    Request,
    /// The primary dies, and daemons replace it.
    Failover,
    /// The primary freezes, daemons replace it, and it wakes.
    Freeze,
    /// The table marks the primary as leaving, and daemons replace it.
    Leaving,
    /// The table changes twice, shown to daemons in the wrong order.
    TableChange,
}

impl Flow {
    /// The span in which the flow's steps are enumerated: a few requests, or a whole change.
    fn span(self) -> Duration {
        match self {
            Self::Request | Self::TableChange => Duration::from_millis(100),
            Self::Failover => Duration::from_millis(700),
            Self::Freeze => Duration::from_millis(1_200),
            Self::Leaving => Duration::from_millis(300),
        }
    }
}

/// What a run leaves out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Omissions {
    /// Of the failover machine.
    pub failover: FailoverOmission,
    /// Of the request machine.
    pub request: Omission,
    /// Versions of the table may go back.
    pub monotonic: bool,
}

/// How a run ended.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The steps of the flow.
    pub steps: usize,
    /// The promises broken.
    pub violations: Vec<Violation>,
    /// Writes acknowledged.
    pub acknowledged: usize,
    /// Reads checked.
    pub reads: usize,
    /// What the daemons recorded, with the time in milliseconds.
    pub timeline: Vec<(u64, usize, TimelineKind)>,
}

#[derive(Clone, Debug)]
enum Delivery {
    Tick(usize),
    Replicate(usize),
    Kernel(usize, Event),
    Order(usize, usize, Order, u64),
    Probe(usize, usize, Time, u64),
    /// A call has no answer yet: the event takes its place.
    Timeout(usize, u64, Event),
    /// The answer to a call.
    Answer(usize, u64, Event),
    Store(usize, Action, u64),
    Caller(u64, Arrival),
    NextOperation,
}

/// One run.
pub struct World {
    now: Time,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    sequence: u64,
    instances: Vec<FakeInstance>,
    kernels: Vec<Kernel>,
    dead: [bool; DAEMONS],
    frozen_until: [Time; DAEMONS],
    cut_out_until: Time,
    cut_in_until: Time,
    cut_peers_until: Time,
    duplicate_until: Time,
    answered: BTreeMap<u64, bool>,
    store: FakeStore,
    mind: TrafficMind,
    caller: Caller,
    checker: Checker,
    seen_versions: [(u64, Term); DAEMONS],
    steps: usize,
    faults: Vec<(usize, Fault)>,
    flow: Flow,
    report: Report,
    last_acknowledged_at: Time,
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap_or_default()))
}

fn daemon(index: usize) -> DaemonId {
    DaemonId::new(&format!("d{index}"))
}

fn instance_name(index: usize) -> String {
    format!("i{index}")
}

fn table(leaving: Option<usize>, note: usize) -> String {
    let mut out = String::from(
        "[place],name,region\nplace,p,r\n[service],name,replica_reads,staleness_ms,queue,daemons\n\
         service,s,yes,10000,100,3\n\
         [instance],name,service,place,address,read_weight,connections,slots,state\n",
    );
    for index in 0..INSTANCES {
        let state = if leaving == Some(index) { "leaving" } else { "serving" };
        let (name, address) = (instance_name(index), address(7_000 + index));
        out.push_str(&format!("instance,{name},s,p,{address},100,70,5,{state}\n"));
    }
    let wait = 1_000 + note;
    out.push_str(&format!(
        "[kind],name,length,wait_ms,deadline_ms\nkind,default,short,{wait},30000\n"
    ));
    out
}

impl World {
    /// Prepares a run of a flow with faults at some of its steps.
    #[must_use]
    pub fn new(seed: u64, flow: Flow, faults: &[(usize, Fault)], omit: Omissions) -> Self {
        let mut world = Self {
            now: Time::from_millis(1_000),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            instances: vec![
                FakeInstance::new(None),
                FakeInstance::new(Some(0)),
                FakeInstance::new(Some(0)),
            ],
            kernels: (0..DAEMONS).map(|index| kernel(index, seed, omit)).collect(),
            dead: [false; DAEMONS],
            frozen_until: [Time::ZERO; DAEMONS],
            cut_out_until: Time::ZERO,
            cut_in_until: Time::ZERO,
            cut_peers_until: Time::ZERO,
            duplicate_until: Time::ZERO,
            answered: BTreeMap::new(),
            store: FakeStore::default(),
            mind: TrafficMind::new(seed),
            caller: Caller::new(DAEMONS - 1, omit.request),
            checker: Checker::default(),
            seen_versions: [(0, Term(0)); DAEMONS],
            steps: 0,
            faults: faults.to_vec(),
            flow,
            report: Report::default(),
            last_acknowledged_at: Time::ZERO,
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        for index in 0..DAEMONS {
            let hosts = (0..DAEMONS).map(|other| HostSeen {
                daemon: daemon(other),
                address: address(8_000 + other),
                leaving: false,
            });
            self.at(self.now, Delivery::Kernel(index, Event::Hosts(hosts.collect())));
            let seen = TableSeen { version: 1, text: Arc::from(table(None, 0)) };
            self.at(self.now, Delivery::Kernel(index, Event::Table(seen)));
            self.at(self.now, Delivery::Tick(index));
        }
        for index in 0..INSTANCES {
            self.at(self.now, Delivery::Replicate(index));
        }
        self.at(CALLER_BEGINS, Delivery::NextOperation);
    }

    fn at(&mut self, time: Time, delivery: Delivery) {
        self.sequence += 1;
        self.deliveries.insert(self.sequence, delivery);
        self.queue.push(Reverse((time, self.sequence)));
    }

    fn soon(&mut self, delivery: Delivery) {
        let latency = Duration::from_micros(self.rng.random_range(500..2_000));
        self.at(self.now + latency, delivery);
    }

    /// Runs to the end and reports.
    #[must_use]
    pub fn run(mut self) -> Report {
        let end = CALLER_BEGINS + RUN_TIME;
        let mut flow_began = false;
        while let Some(Reverse((time, sequence))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            if !flow_began && time >= CALLER_BEGINS + Duration::from_millis(100) {
                flow_began = true;
                self.begin_flow();
            }
            if let Some(delivery) = self.deliveries.remove(&sequence) {
                self.count_step(&delivery);
                self.deliver(delivery);
            }
        }
        if self.last_acknowledged_at + LAST_PART < end {
            self.checker.violations.insert(Violation::Stuck);
        }
        self.report.steps = self.steps;
        self.report.violations = self.checker.conclude(&self.instances);
        let acknowledged = self.checker.told.values().filter(|t| **t == Told::Acknowledged);
        self.report.acknowledged = acknowledged.count();
        self.report
    }

    fn begin_flow(&mut self) {
        match self.flow {
            Flow::Request => {}
            Flow::Failover => self.instances[0].up = false,
            Flow::Freeze => self.instances[0].frozen_until = self.now + FAULT_TIME,
            Flow::Leaving => self.show_table(2, &table(Some(0), 0)),
            Flow::TableChange => {
                self.show_table(3, &table(None, 3));
                self.show_table(2, &table(None, 2));
            }
        }
    }

    fn show_table(&mut self, version: u64, text: &str) {
        for index in 0..DAEMONS {
            let seen = TableSeen { version, text: Arc::from(text) };
            self.soon(Delivery::Kernel(index, Event::Table(seen)));
        }
    }

    /// Counts what the machines do in the flow, and brings in the faults that are due.
    fn count_step(&mut self, delivery: &Delivery) {
        let is_step =
            !matches!(delivery, Delivery::Tick(_) | Delivery::Replicate(_) | Delivery::Timeout(..));
        let begins = CALLER_BEGINS + Duration::from_millis(100);
        if !is_step || self.now < begins || self.now > begins + self.flow.span() {
            return;
        }
        let step = self.steps;
        self.steps += 1;
        let due: Vec<Fault> =
            self.faults.iter().filter(|(at, _)| *at == step).map(|(_, f)| *f).collect();
        for fault in due {
            self.inject(fault);
        }
    }

    fn primary(&self) -> usize {
        let primaries = self.instances.iter().enumerate().filter(|(_, i)| i.primary);
        primaries.max_by_key(|(_, i)| i.term).map_or(0, |(index, _)| index)
    }

    /// The daemon whose turn it is to decide.
    fn decider(&self) -> usize {
        let record = self.kernels[0].shared().groups.get("s").map(|g| &g.record);
        let holder = record.and_then(|r| r.reserved.first()).map(|r| r.holder.clone());
        (0..DAEMONS).find(|i| Some(daemon(*i)) == holder).unwrap_or(0)
    }

    fn inject(&mut self, fault: Fault) {
        let until = self.now + FAULT_TIME;
        let primary = self.primary();
        let replica = (primary + 1) % INSTANCES;
        let other = (primary + 2) % INSTANCES;
        let decider = self.decider();
        // At most one of three instances may be down for good; more is beyond any promise.
        let may_kill = self.instances.iter().all(|i| i.up);
        let may_kill_daemon = self.dead.iter().all(|dead| !dead);
        match fault {
            Fault::KillPrimary if may_kill => self.instances[primary].up = false,
            Fault::KillReplica if may_kill => self.instances[replica].up = false,
            Fault::KillPrimary | Fault::KillReplica => {}
            Fault::FreezePrimary => self.instances[primary].frozen_until = until,
            Fault::FreezeReplica => self.instances[replica].frozen_until = until,
            Fault::FreezeOtherReplica => self.instances[other].frozen_until = until,
            Fault::OtherReplicaFarBehind => self.instances[other].behind_until = until,
            Fault::ReplicaFarBehind => self.instances[replica].behind_until = until,
            Fault::CutPrimaryFromReplicas => self.instances[primary].cut_until = until,
            Fault::KillDecider if may_kill_daemon => self.kill_daemon(decider),
            Fault::KillCallersDaemon if may_kill_daemon => self.kill_daemon(self.caller.daemon),
            Fault::KillDecider | Fault::KillCallersDaemon => {}
            Fault::FreezeDecider => self.frozen_until[decider] = until,
            Fault::FreezeCallersDaemon => self.frozen_until[self.caller.daemon] = until,
            Fault::CutDeciderOutward => self.cut_out_until = until,
            Fault::CutDeciderInward => self.cut_in_until = until,
            Fault::CutPeers => self.cut_peers_until = until,
            Fault::StoreDown => self.store.down_until = until,
            Fault::StoreSlow => self.store.slow_until = until,
            Fault::StoreAnswersLost => self.store.lose_until = until,
            Fault::DuplicateAndLate => self.duplicate_until = until,
            Fault::Cancel => {
                if let Some(operation) = &self.caller.operation {
                    let serial = operation.serial;
                    self.soon(Delivery::Caller(serial, Arrival::Input(Input::Cancelled)));
                }
            }
            Fault::TwoDeciders => {
                // Each daemon believes alone that the primary is gone.
                self.cut_peers_until = until;
                self.instances[primary].frozen_until = until;
            }
        }
    }

    fn kill_daemon(&mut self, index: usize) {
        self.dead[index] = true;
        if self.caller.daemon != index {
            return;
        }
        if let Some(operation) = self.caller.operation.take()
            && operation.is_write
        {
            self.checker.told.insert(operation.id, Told::MayHaveRun);
        }
        // The caller roams to another daemon, which knows nothing of its session.
        self.caller.daemon = (index + 1) % DAEMONS;
        self.caller.session = persimmon_request::Session::new(self.now);
        self.mind = TrafficMind::new(self.sequence);
        self.soon(Delivery::NextOperation);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(k) => {
                self.at(self.now + TICK, Delivery::Tick(k));
                self.handle(k, &Event::Tick);
            }
            Delivery::Replicate(follower) => self.replicate(follower),
            Delivery::Kernel(k, event) => {
                if self.frozen_until[k] > self.now {
                    self.at(self.frozen_until[k], Delivery::Kernel(k, event));
                    return;
                }
                if self.duplicate_until > self.now {
                    let late = self.now + Duration::from_millis(700);
                    self.at(late, Delivery::Kernel(k, event.clone()));
                }
                self.handle(k, &event);
            }
            Delivery::Answer(k, call, event) | Delivery::Timeout(k, call, event) => {
                if self.answered.remove(&call).is_some() {
                    self.soon(Delivery::Kernel(k, event));
                }
            }
            Delivery::Order(k, i, order, call) => self.order(k, i, order, call),
            Delivery::Probe(k, i, sent, call) => self.probe(k, i, sent, call),
            Delivery::Store(k, action, call) => self.store_call(k, &action, call),
            Delivery::Caller(serial, arrival) => self.arrive(serial, arrival),
            Delivery::NextOperation => self.next_operation(),
        }
    }

    fn handle(&mut self, k: usize, event: &Event) {
        if self.dead[k] || self.frozen_until[k] > self.now {
            return;
        }
        let mut actions = Vec::new();
        self.kernels[k].handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(k, action);
        }
        let shared = self.kernels[k].shared();
        let seen = (shared.in_force.version, shared.term("s"));
        if seen.0 < self.seen_versions[k].0 || seen.1 < self.seen_versions[k].1 {
            self.checker.violations.insert(Violation::WentBack);
        }
        self.seen_versions[k] = seen;
    }
}

fn kernel(index: usize, seed: u64, omit: Omissions) -> Kernel {
    let rules = Rules::new().with_omission(omit.failover);
    let mut rollout = Rollout::new();
    if omit.monotonic {
        rollout = rollout.with_versions_that_go_back();
    }
    let plugins: Vec<Box<dyn persimmon_kernel::Plugin>> =
        vec![Box::new(Membership::new()), Box::new(rollout), Box::new(Failover::with_rules(rules))];
    let seed = seed.wrapping_mul(31).wrapping_add(index as u64);
    Kernel::with_plugins(daemon(index), address(8_000 + index), seed, plugins)
}
