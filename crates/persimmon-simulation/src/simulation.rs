//! One simulated run: three instances, the kernels of three daemons, a store and a client.

mod calls;
mod traffic;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_failover::{DisabledSafeguard as FailoverSafeguard, Failover, FailoverConfig};
use persimmon_kernel::{Action, ControlCommand, Event, HostEntry, Kernel, VersionedTable};
use persimmon_membership::Membership;
use persimmon_request::{DisabledSafeguard, Input};
use persimmon_rollout::Rollout;
use persimmon_types::{DaemonId, Term, Time, TimelineKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::checker::{Checker, ReportedOutcome, Violation};
use crate::client::{Arrival, Client, TrafficState};
use crate::fault::Fault;
use crate::instance::FakeInstance;
use crate::store::FakeStore;

/// How long a temporary fault lasts.
const FAULT_DURATION: Duration = Duration::from_secs(2);

/// When the client sends its first request; the daemons know each other by then.
const CLIENT_START: Time = Time::from_millis(4_000);

/// Length of a run after [`CLIENT_START`].
const RUN_DURATION: Duration = Duration::from_secs(9);

/// A run that acknowledges no write in this final part of it counts as stuck.
const PROGRESS_WINDOW: Duration = Duration::from_secs(3);

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const REPLICATION_INTERVAL: Duration = Duration::from_millis(5);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
const STORE_DELAY: Duration = Duration::from_millis(280);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

const DAEMONS: usize = 3;
const INSTANCES: usize = 3;

/// What happens in the time span whose steps are enumerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// The client writes and reads.
    Request,
    /// The primary dies, and daemons replace it.
    Failover,
    /// The primary freezes, daemons replace it, and it resumes.
    Freeze,
    /// The table marks the primary as draining, and daemons replace it.
    Draining,
    /// The table changes twice, and daemons receive the versions in the wrong order.
    TableChange,
}

impl Scenario {
    /// The time span in which steps are enumerated: a few requests, or a whole change of the
    /// primary.
    fn span(self) -> Duration {
        match self {
            Self::Request | Self::TableChange => Duration::from_millis(100),
            Self::Failover => Duration::from_millis(700),
            Self::Freeze => Duration::from_millis(1_200),
            Self::Draining => Duration::from_millis(300),
        }
    }
}

/// The safeguards that are disabled in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledSafeguards {
    /// Of the failover state machine.
    pub failover: FailoverSafeguard,
    /// Of the request state machine.
    pub request: DisabledSafeguard,
    /// Whether the check that table versions only rise is disabled.
    pub monotonic_versions: bool,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// How many steps were counted in the scenario's time span.
    pub steps: usize,
    /// The guarantees that were violated.
    pub violations: Vec<Violation>,
    /// How many writes were acknowledged.
    pub acknowledged: usize,
    /// How many reads were checked.
    pub reads: usize,
    /// The timeline entries of the daemons: time in milliseconds, index of the daemon, entry.
    pub timeline: Vec<(u64, usize, TimelineKind)>,
}

#[derive(Clone, Debug)]
enum Delivery {
    Tick(usize),
    Replicate(usize),
    Kernel(usize, Event),
    Command(usize, usize, ControlCommand, u64),
    Probe(usize, usize, Time, u64),
    /// The time limit of a call; without a response by then, the daemon receives the event.
    Timeout(usize, u64, Event),
    /// The response to a call.
    Response(usize, u64, Event),
    Store(usize, Action, u64),
    Client(u64, Arrival),
    NextOperation,
}

/// A simulated run.
pub struct Simulation {
    now: Time,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    sequence: u64,
    instances: Vec<FakeInstance>,
    kernels: Vec<Kernel>,
    dead: [bool; DAEMONS],
    frozen_until: [Time; DAEMONS],
    coordinator_requests_lost_until: Time,
    coordinator_responses_lost_until: Time,
    peers_partitioned_until: Time,
    messages_duplicated_until: Time,
    pending_calls: BTreeMap<u64, bool>,
    store: FakeStore,
    traffic: TrafficState,
    client: Client,
    checker: Checker,
    last_versions: [(u64, Term); DAEMONS],
    steps: usize,
    faults: Vec<(usize, Fault)>,
    scenario: Scenario,
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

fn table(draining: Option<usize>, extra_wait_ms: usize) -> String {
    let mut out = String::from(
        "[place],name,region\nplace,p,r\n[service],name,replica_reads,staleness_ms,queue,daemons\n\
         service,s,yes,10000,100,3\n\
         [instance],name,service,place,address,read_weight,connections,slots,state\n",
    );
    for index in 0..INSTANCES {
        let state = if draining == Some(index) { "leaving" } else { "serving" };
        let (name, address) = (instance_name(index), address(7_000 + index));
        out.push_str(&format!("instance,{name},s,p,{address},100,70,5,{state}\n"));
    }
    let wait_ms = 1_000 + extra_wait_ms;
    out.push_str(&format!(
        "[kind],name,length,wait_ms,deadline_ms\nkind,default,short,{wait_ms},30000\n"
    ));
    out
}

impl Simulation {
    /// Prepares a run of a scenario with faults at the given steps.
    #[must_use]
    pub fn new(
        seed: u64,
        scenario: Scenario,
        faults: &[(usize, Fault)],
        disabled: DisabledSafeguards,
    ) -> Self {
        let mut simulation = Self {
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
            kernels: (0..DAEMONS).map(|index| kernel(index, seed, disabled)).collect(),
            dead: [false; DAEMONS],
            frozen_until: [Time::ZERO; DAEMONS],
            coordinator_requests_lost_until: Time::ZERO,
            coordinator_responses_lost_until: Time::ZERO,
            peers_partitioned_until: Time::ZERO,
            messages_duplicated_until: Time::ZERO,
            pending_calls: BTreeMap::new(),
            store: FakeStore::default(),
            traffic: TrafficState::new(seed),
            client: Client::new(DAEMONS - 1, disabled.request),
            checker: Checker::default(),
            last_versions: [(0, Term(0)); DAEMONS],
            steps: 0,
            faults: faults.to_vec(),
            scenario,
            report: Report::default(),
            last_acknowledged_at: Time::ZERO,
        };
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        for index in 0..DAEMONS {
            let hosts = (0..DAEMONS).map(|other| HostEntry {
                daemon: daemon(other),
                address: address(8_000 + other),
                leaving: false,
            });
            self.schedule_at(self.now, Delivery::Kernel(index, Event::Hosts(hosts.collect())));
            let initial_table = VersionedTable { version: 1, text: Arc::from(table(None, 0)) };
            self.schedule_at(self.now, Delivery::Kernel(index, Event::Table(initial_table)));
            self.schedule_at(self.now, Delivery::Tick(index));
        }
        for index in 0..INSTANCES {
            self.schedule_at(self.now, Delivery::Replicate(index));
        }
        self.schedule_at(CLIENT_START, Delivery::NextOperation);
    }

    fn schedule_at(&mut self, time: Time, delivery: Delivery) {
        self.sequence += 1;
        self.deliveries.insert(self.sequence, delivery);
        self.queue.push(Reverse((time, self.sequence)));
    }

    fn schedule_soon(&mut self, delivery: Delivery) {
        let latency = Duration::from_micros(self.rng.random_range(500..2_000));
        self.schedule_at(self.now + latency, delivery);
    }

    /// Runs the simulation to its end and returns the result.
    #[must_use]
    pub fn run(mut self) -> Report {
        let end = CLIENT_START + RUN_DURATION;
        let mut scenario_began = false;
        while let Some(Reverse((time, sequence))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            if !scenario_began && time >= CLIENT_START + Duration::from_millis(100) {
                scenario_began = true;
                self.begin_scenario();
            }
            if let Some(delivery) = self.deliveries.remove(&sequence) {
                self.count_step(&delivery);
                self.deliver(delivery);
            }
        }
        if self.last_acknowledged_at + PROGRESS_WINDOW < end {
            self.checker.violations.insert(Violation::Stuck);
        }
        self.report.steps = self.steps;
        self.report.violations = self.checker.conclude(&self.instances);
        let acknowledged =
            self.checker.reported.values().filter(|t| **t == ReportedOutcome::Acknowledged);
        self.report.acknowledged = acknowledged.count();
        self.report
    }

    fn begin_scenario(&mut self) {
        match self.scenario {
            Scenario::Request => {}
            Scenario::Failover => self.instances[0].is_up = false,
            Scenario::Freeze => self.instances[0].frozen_until = self.now + FAULT_DURATION,
            Scenario::Draining => self.deliver_table(2, &table(Some(0), 0)),
            Scenario::TableChange => {
                self.deliver_table(3, &table(None, 3));
                self.deliver_table(2, &table(None, 2));
            }
        }
    }

    fn deliver_table(&mut self, version: u64, text: &str) {
        for index in 0..DAEMONS {
            let table = VersionedTable { version, text: Arc::from(text) };
            self.schedule_soon(Delivery::Kernel(index, Event::Table(table)));
        }
    }

    /// Counts a step of the state machines within the scenario's time span and injects the faults
    /// that are due at it.
    fn count_step(&mut self, delivery: &Delivery) {
        let is_step =
            !matches!(delivery, Delivery::Tick(_) | Delivery::Replicate(_) | Delivery::Timeout(..));
        let begins = CLIENT_START + Duration::from_millis(100);
        if !is_step || self.now < begins || self.now > begins + self.scenario.span() {
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
        let primaries = self.instances.iter().enumerate().filter(|(_, i)| i.is_primary);
        primaries.max_by_key(|(_, i)| i.term).map_or(0, |(index, _)| index)
    }

    /// The first daemon with a reserved term, which coordinates the next failover.
    fn coordinator(&self) -> usize {
        let record = self.kernels[0].state().groups.get("s").map(|g| &g.record);
        let coordinator = record.and_then(|r| r.reserved.first()).map(|r| r.holder.clone());
        (0..DAEMONS).find(|i| Some(daemon(*i)) == coordinator).unwrap_or(0)
    }

    fn inject(&mut self, fault: Fault) {
        let until = self.now + FAULT_DURATION;
        let primary = self.primary();
        let replica = (primary + 1) % INSTANCES;
        let other = (primary + 2) % INSTANCES;
        let coordinator = self.coordinator();
        // Without two of three instances no guarantee holds, so at most one is killed.
        let may_kill_instance = self.instances.iter().all(|i| i.is_up);
        let may_kill_daemon = self.dead.iter().all(|dead| !dead);
        match fault {
            Fault::KillPrimary if may_kill_instance => self.instances[primary].is_up = false,
            Fault::KillReplica if may_kill_instance => self.instances[replica].is_up = false,
            Fault::KillPrimary | Fault::KillReplica => {}
            Fault::FreezePrimary => self.instances[primary].frozen_until = until,
            Fault::FreezeReplica => self.instances[replica].frozen_until = until,
            Fault::FreezeOtherReplica => self.instances[other].frozen_until = until,
            Fault::LagOtherReplica => self.instances[other].lagging_until = until,
            Fault::LagReplica => self.instances[replica].lagging_until = until,
            Fault::CutReplication => self.instances[primary].replication_cut_until = until,
            Fault::KillCoordinator if may_kill_daemon => self.kill_daemon(coordinator),
            Fault::KillClientDaemon if may_kill_daemon => self.kill_daemon(self.client.daemon),
            Fault::KillCoordinator | Fault::KillClientDaemon => {}
            Fault::FreezeCoordinator => self.frozen_until[coordinator] = until,
            Fault::FreezeClientDaemon => self.frozen_until[self.client.daemon] = until,
            Fault::LoseCoordinatorRequests => self.coordinator_requests_lost_until = until,
            Fault::LoseCoordinatorResponses => self.coordinator_responses_lost_until = until,
            Fault::PartitionPeers => self.peers_partitioned_until = until,
            Fault::StoreDown => self.store.down_until = until,
            Fault::StoreSlow => self.store.slow_until = until,
            Fault::LoseStoreResponses => self.store.responses_lost_until = until,
            Fault::DuplicateMessages => self.messages_duplicated_until = until,
            Fault::Cancel => {
                if let Some(operation) = &self.client.operation {
                    let serial = operation.serial;
                    self.schedule_soon(Delivery::Client(serial, Arrival::Input(Input::Cancelled)));
                }
            }
            Fault::TwoCoordinators => {
                // Each daemon suspects the primary without contact to the others.
                self.peers_partitioned_until = until;
                self.instances[primary].frozen_until = until;
            }
        }
    }

    fn kill_daemon(&mut self, index: usize) {
        self.dead[index] = true;
        if self.client.daemon != index {
            return;
        }
        if let Some(operation) = self.client.operation.take()
            && operation.is_write
        {
            self.checker.reported.insert(operation.id, ReportedOutcome::MayHaveRun);
        }
        // The client reconnects to another daemon, which has no state of its session.
        self.client.daemon = (index + 1) % DAEMONS;
        self.client.session = persimmon_request::Session::new(self.now);
        self.traffic = TrafficState::new(self.sequence);
        self.schedule_soon(Delivery::NextOperation);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(k) => {
                self.schedule_at(self.now + TICK_INTERVAL, Delivery::Tick(k));
                self.handle(k, &Event::Tick);
            }
            Delivery::Replicate(follower) => self.replicate(follower),
            Delivery::Kernel(k, event) => {
                if self.frozen_until[k] > self.now {
                    self.schedule_at(self.frozen_until[k], Delivery::Kernel(k, event));
                    return;
                }
                if self.messages_duplicated_until > self.now {
                    let late = self.now + Duration::from_millis(700);
                    self.schedule_at(late, Delivery::Kernel(k, event.clone()));
                }
                self.handle(k, &event);
            }
            Delivery::Response(k, call, event) | Delivery::Timeout(k, call, event) => {
                if self.pending_calls.remove(&call).is_some() {
                    self.schedule_soon(Delivery::Kernel(k, event));
                }
            }
            Delivery::Command(k, i, command, call) => self.run_command(k, i, command, call),
            Delivery::Probe(k, i, sent, call) => self.probe(k, i, sent, call),
            Delivery::Store(k, action, call) => self.store_call(k, &action, call),
            Delivery::Client(serial, arrival) => self.handle_arrival(serial, arrival),
            Delivery::NextOperation => self.start_operation(),
        }
    }

    fn handle(&mut self, k: usize, event: &Event) {
        if self.dead[k] || self.frozen_until[k] > self.now {
            return;
        }
        let mut actions = Vec::new();
        self.kernels[k].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute_action(k, action);
        }
        let state = self.kernels[k].state();
        let versions = (state.active_table.version, state.term("s"));
        if versions.0 < self.last_versions[k].0 || versions.1 < self.last_versions[k].1 {
            self.checker.violations.insert(Violation::WentBack);
        }
        self.last_versions[k] = versions;
    }
}

fn kernel(index: usize, seed: u64, disabled: DisabledSafeguards) -> Kernel {
    let config = FailoverConfig::new().with_disabled_safeguard(disabled.failover);
    let mut rollout = Rollout::new();
    if disabled.monotonic_versions {
        rollout = rollout.with_older_versions_allowed();
    }
    let plugins: Vec<Box<dyn persimmon_kernel::Plugin>> = vec![
        Box::new(Membership::new()),
        Box::new(rollout),
        Box::new(Failover::with_config(config)),
    ];
    let seed = seed.wrapping_mul(31).wrapping_add(index as u64);
    Kernel::with_plugins(daemon(index), address(8_000 + index), seed, plugins)
}
