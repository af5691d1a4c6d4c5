//! What control costs one daemon against the number of daemons and of databases.
//!
//! A real kernel with every plug-in runs in this process at sizes that no machine holds as
//! processes; its actions are counted and dropped.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmon_kernel::{Action, Event, GroupSeen, HostSeen, Kernel, PeerMessage, TableSeen};
use persimmon_types::{DaemonId, GroupRecord, Time};
use serde::Serialize;

/// Ticks over which the mean is taken: five seconds of a daemon's life.
const TICKS: u32 = 250;

/// Microseconds between two ticks.
const TICK_US: u64 = 20_000;

/// Control's cost at one size.
#[derive(Debug, Serialize)]
pub struct SlopePoint {
    /// How many daemons.
    pub daemons: usize,
    /// How many databases, of three instances each.
    pub databases: usize,
    /// Processor time of all ticks, in percent of a core.
    pub ticks_cpu_pct: f64,
    /// Time to take in a changed table, in milliseconds.
    pub table_change_ms: f64,
    /// Time to take in that a daemon died or came, in milliseconds.
    pub member_change_ms: f64,
    /// Time to build the snapshot for traffic, in milliseconds.
    pub snapshot_ms: f64,
    /// Growth of the process since before the kernel, in megabytes.
    pub memory_mb: f64,
    /// The table's text, in megabytes.
    pub table_mb: f64,
    /// Probes and messages that the ticks asked for, a second.
    pub probes_per_s: f64,
    /// Messages to peers that the ticks asked for, a second.
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

struct Bench {
    kernel: Kernel,
    now: u64,
    probes: u64,
    messages: u64,
}

impl Bench {
    fn tell(&mut self, event: &Event) {
        let mut actions = Vec::new();
        self.kernel.handle(Time::from_micros(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Probe { .. } => self.probes += 1,
                Action::Send { .. } => self.messages += 1,
                _ => {}
            }
        }
    }

    fn timed(&mut self, event: &Event) -> f64 {
        let began = Instant::now();
        self.tell(event);
        began.elapsed().as_secs_f64() * 1_000.0
    }

    fn tick(&mut self, count: u32) -> Duration {
        let began = Instant::now();
        for _ in 0..count {
            self.now += TICK_US;
            self.tell(&Event::Tick);
        }
        began.elapsed()
    }
}

/// Measures one size.
#[must_use]
pub fn measure(daemons: usize, databases: usize) -> SlopePoint {
    let before = memory_mb();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let kernel = Kernel::new(daemon(0), address, 1);
    let mut bench = Bench { kernel, now: 1_000_000, probes: 0, messages: 0 };
    let hosts = |count: usize| {
        let hosts = (0..count).map(|index| HostSeen {
            daemon: daemon(index),
            address: peer_address(index),
            leaving: false,
        });
        Event::Hosts(hosts.collect())
    };
    bench.tell(&hosts(daemons));
    let text = table(databases, 1_000);
    let table_mb = text.len() as f64 / f64::from(1 << 20);
    bench.tell(&Event::Table(TableSeen { version: 1, text: Arc::from(text) }));
    for index in 0..databases {
        let mut record = GroupRecord::new(&format!("s{index}"), &format!("i{}", index * 3));
        record.reserve(&[daemon(index % daemons), daemon((index + 1) % daemons)]);
        bench.tell(&Event::Group(GroupSeen { version: 2 + index as u64, record }));
    }
    bench.tick(TICKS);
    (bench.probes, bench.messages) = (0, 0);
    let heartbeat = PeerMessage::Heartbeat {
        address: peer_address(1),
        table: 1,
        terms: bench.kernel.shared().term_sum(),
        store_age_ms: 0,
        wants_reply: true,
    };
    let ticks = bench.tick(TICKS);
    for _ in 0..10 {
        let from = daemon(1);
        bench.tell(&Event::Peer { from, message: heartbeat.clone() });
    }
    let seconds = f64::from(TICKS) * 0.02;
    let (probes, messages) = (bench.probes as f64 / seconds, bench.messages as f64 / seconds);
    let changed = TableSeen { version: 10_000_000, text: Arc::from(table(databases, 1_001)) };
    let table_change_ms = bench.timed(&Event::Table(changed));
    bench.tick(20);
    bench.tell(&hosts(daemons + 1));
    let member_change_ms = bench.tick(11).as_secs_f64() * 1_000.0;
    let snapshots = persimmon_request::View::default();
    let began = Instant::now();
    let view = snapshot(&bench.kernel, &snapshots);
    let snapshot_ms = began.elapsed().as_secs_f64() * 1_000.0;
    let memory = memory_mb() - before;
    drop(view);
    SlopePoint {
        daemons,
        databases,
        ticks_cpu_pct: ticks.as_secs_f64() / seconds * 100.0,
        table_change_ms,
        member_change_ms,
        snapshot_ms,
        memory_mb: memory,
        table_mb,
        probes_per_s: probes,
        peer_messages_per_s: messages,
    }
}

fn snapshot(kernel: &Kernel, before: &persimmon_request::View) -> persimmon_request::View {
    persimmon_request::View::of(kernel.shared(), before.revision + 1)
}
