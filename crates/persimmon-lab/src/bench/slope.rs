//! How the control plane's cost per daemon grows with the number of daemons and databases.
//!
//! A real kernel with all plug-ins runs in this process, because the sizes need more processes than
//! one machine can run. Its actions are counted and discarded.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmon_kernel::{
    Action, Event, HostEntry, Kernel, PeerMessage, VersionedGroupRecord, VersionedTable,
};
use persimmon_types::{DaemonId, GroupRecord, Time};
use serde::Serialize;

/// Ticks over which the mean is taken: five seconds of simulated time.
const TICKS: u32 = 250;

/// Microseconds between two ticks.
const TICK_US: u64 = 20_000;

/// The control plane's cost at one size.
#[derive(Debug, Serialize)]
pub struct SlopePoint {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of databases, each with three instances.
    pub databases: usize,
    /// Processor time of all ticks, in percent of a core.
    pub ticks_cpu_pct: f64,
    /// Time to process a changed table, in milliseconds.
    pub table_change_ms: f64,
    /// Time to process that a daemon was added or removed, in milliseconds.
    pub member_change_ms: f64,
    /// Time to build the routing snapshot, in milliseconds.
    pub snapshot_ms: f64,
    /// Growth of the process's memory from before the kernel was created, in megabytes.
    pub memory_mb: f64,
    /// Size of the table's text, in megabytes.
    pub table_mb: f64,
    /// Probes that the ticks requested, per second.
    pub probes_per_s: f64,
    /// Messages to peers that the ticks requested, per second.
    pub peer_messages_per_s: f64,
}

fn memory_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}

fn daemon(index: usize) -> DaemonId {
    DaemonId::new(&format!("entry-{index}"))
}

fn peer_address(index: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).unwrap_or(0).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8_602))
}

fn table(databases: usize, wait_ms: usize) -> String {
    let mut out = String::from(
        "[place],name,region\nplace,p,r\n[service],name,replica_reads,staleness_ms,queue,daemons\n",
    );
    for index in 0..databases {
        out.push_str(&format!("service,s{index},yes,10000,100,21\n"));
    }
    out.push_str("[instance],name,service,place,address,read_weight,connections,slots,state\n");
    for index in 0..databases * 3 {
        let (service, low) = (index / 3, index % 65_536);
        let address = format!("10.{}.{}.{}:5432", index / 65_536, low / 256, low % 256);
        out.push_str(&format!("instance,i{index},s{service},p,{address},100,70,5,serving\n"));
    }
    out.push_str("[kind],name,length,wait_ms,deadline_ms\n");
    out.push_str(&format!("kind,default,short,{wait_ms},30000\n"));
    out
}

struct KernelBench {
    kernel: Kernel,
    now: u64,
    probes: u64,
    peer_messages: u64,
}

impl KernelBench {
    fn handle_event(&mut self, event: &Event) {
        let mut actions = Vec::new();
        self.kernel.handle(Time::from_micros(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Probe { .. } => self.probes += 1,
                Action::Send { .. } => self.peer_messages += 1,
                _ => {}
            }
        }
    }

    fn time_event_ms(&mut self, event: &Event) -> f64 {
        let began = Instant::now();
        self.handle_event(event);
        began.elapsed().as_secs_f64() * 1_000.0
    }

    fn run_ticks(&mut self, count: u32) -> Duration {
        let began = Instant::now();
        for _ in 0..count {
            self.now += TICK_US;
            self.handle_event(&Event::Tick);
        }
        began.elapsed()
    }
}

/// Measures the cost at one size.
#[must_use]
pub fn measure(daemons: usize, databases: usize) -> SlopePoint {
    let before = memory_mb();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let kernel = Kernel::new(daemon(0), address, 1);
    let mut bench = KernelBench { kernel, now: 1_000_000, probes: 0, peer_messages: 0 };
    let hosts = |count: usize| {
        let hosts = (0..count).map(|index| HostEntry {
            daemon: daemon(index),
            address: peer_address(index),
            leaving: false,
        });
        Event::Hosts(hosts.collect())
    };
    bench.handle_event(&hosts(daemons));
    let text = table(databases, 1_000);
    let table_mb = text.len() as f64 / f64::from(1 << 20);
    bench.handle_event(&Event::Table(VersionedTable { version: 1, text: Arc::from(text) }));
    for index in 0..databases {
        let mut record = GroupRecord::new(&format!("s{index}"), &format!("i{}", index * 3));
        record.reserve_terms(&[daemon(index % daemons), daemon((index + 1) % daemons)]);
        bench.handle_event(&Event::Group(VersionedGroupRecord {
            version: 2 + index as u64,
            record,
        }));
    }
    bench.run_ticks(TICKS);
    (bench.probes, bench.peer_messages) = (0, 0);
    let heartbeat = PeerMessage::Heartbeat {
        address: peer_address(1),
        table: 1,
        terms: bench.kernel.state().term_sum(),
        store_age_ms: 0,
        wants_reply: true,
    };
    let tick_time = bench.run_ticks(TICKS);
    for _ in 0..10 {
        let from = daemon(1);
        bench.handle_event(&Event::Peer { from, message: heartbeat.clone() });
    }
    let seconds = f64::from(TICKS) * 0.02;
    let (probes, peer_messages) =
        (bench.probes as f64 / seconds, bench.peer_messages as f64 / seconds);
    let changed = VersionedTable { version: 10_000_000, text: Arc::from(table(databases, 1_001)) };
    let table_change_ms = bench.time_event_ms(&Event::Table(changed));
    bench.run_ticks(20);
    bench.handle_event(&hosts(daemons + 1));
    let member_change_ms = bench.run_ticks(11).as_secs_f64() * 1_000.0;
    let previous = persimmon_request::RoutingSnapshot::default();
    let began = Instant::now();
    let routing_snapshot = snapshot(&bench.kernel, &previous);
    let snapshot_ms = began.elapsed().as_secs_f64() * 1_000.0;
    let memory = memory_mb() - before;
    drop(routing_snapshot);
    SlopePoint {
        daemons,
        databases,
        ticks_cpu_pct: tick_time.as_secs_f64() / seconds * 100.0,
        table_change_ms,
        member_change_ms,
        snapshot_ms,
        memory_mb: memory,
        table_mb,
        probes_per_s: probes,
        peer_messages_per_s: peer_messages,
    }
}

fn snapshot(
    kernel: &Kernel,
    previous: &persimmon_request::RoutingSnapshot,
) -> persimmon_request::RoutingSnapshot {
    persimmon_request::RoutingSnapshot::new(kernel.state(), previous.revision + 1)
}
