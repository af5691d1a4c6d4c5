//! The control thread: feeds the kernel and carries out what it asks for.

mod instances;
mod orders;
mod peers;
mod store;

use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::rt::{DefaultRuntime, System};
use ntex::time::{Millis, interval};
use persimmon_kernel::{Action, Event, HostSeen, Kernel};
use persimmon_types::{Clock, DaemonId, TimelineKind};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::control::instances::Instances;
pub(crate) use crate::control::orders::refused_term;
use crate::control::peers::Peers;
use crate::control::store::Store;
use crate::counters::{Counters, Reporter};
use crate::journal::Journal;
use crate::settings::Settings;
use crate::snapshot::Snapshots;

/// How often the kernel is told that time has passed.
const TICK: Millis = Millis(20);

/// How many ticks pass between two reports of counters.
const TICKS_PER_REPORT: u32 = 50;

/// What the control thread shares with the others.
#[derive(Clone, Debug)]
pub struct Links {
    /// The daemon's settings.
    pub settings: Arc<Settings>,
    /// The snapshots for traffic.
    pub snapshots: Arc<Snapshots>,
    /// The daemon's part of the time line.
    pub journal: Arc<Journal>,
    /// The counters.
    pub counters: Arc<Counters>,
    /// Takes events for the kernel.
    pub events: UnboundedSender<Event>,
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn start(
    links: Links,
    events: UnboundedReceiver<Event>,
    listener: StdListener,
) -> std::io::Result<()> {
    let builder = std::thread::Builder::new().name("control".to_owned());
    builder.spawn(move || {
        let system = System::new("control", DefaultRuntime);
        system.block_on(run(links, events, listener));
    })?;
    Ok(())
}

/// Carries out actions.
struct Host {
    links: Links,
    store: Rc<Store>,
    instances: Rc<Instances>,
    peers: Rc<Peers>,
}

async fn run(links: Links, mut events: UnboundedReceiver<Event>, listener: StdListener) {
    let address = match listener.local_addr() {
        Ok(address) => address,
        Err(err) => {
            tracing::error!(error = %err, "the peers' listener is gone");
            return;
        }
    };
    let me = DaemonId::new(&links.settings.name);
    let seed = Clock.now().as_micros();
    let mut kernel = Kernel::new(me.clone(), address, seed);
    let host = Host {
        store: Rc::new(Store::new(&links).await),
        instances: Rc::new(Instances::new(&links)),
        peers: Rc::new(Peers::new(&links, me)),
        links: links.clone(),
    };
    if let Err(err) = peers::serve(&links, listener) {
        tracing::error!(error = %err, "peers cannot be served");
    }
    store::spawn_hosts(&host.store);
    links.journal.record(TimelineKind::Started);
    announce_seeds(&links);
    let mut reporter = Reporter::new(Arc::clone(&links.counters), links.settings.statsd);
    let ticks = interval(TICK);
    let mut tick_count = 0_u32;
    let mut actions = Vec::new();
    loop {
        let event = tokio::select! {
            event = events.recv() => match event {
                Some(event) => event,
                None => return,
            },
            () = ticks.tick() => Event::Tick,
        };
        if matches!(event, Event::Tick) {
            tick_count += 1;
            if tick_count.is_multiple_of(TICKS_PER_REPORT) {
                reporter.report();
            }
        }
        kernel.handle(Clock.now(), &event, &mut actions);
        for action in actions.drain(..) {
            host.carry_out(action, &kernel);
        }
    }
}

/// Lets the kernel ask the seeds; they have no duties, since their names are not known yet.
fn announce_seeds(links: &Links) {
    let hosts = links.settings.seeds.iter().map(|address| HostSeen {
        daemon: DaemonId::new(&format!("seed@{address}")),
        address: *address,
        leaving: true,
    });
    // The control thread is gone only when the process ends.
    let _ = links.events.send(Event::Hosts(hosts.collect()));
}

impl Host {
    fn carry_out(&self, action: Action, kernel: &Kernel) {
        match action {
            Action::Probe { instance, address } => {
                Counters::add(&self.links.counters.probes);
                self.instances.probe(instance, address);
            }
            Action::Order { instance, address, order } => {
                orders::carry_out(&self.links, instance, address, order);
            }
            Action::StoreWrite { request, key, expect, value } => {
                self.store.write(request, key, expect, value);
            }
            Action::StoreRead { request, key } => self.store.read(request, key),
            Action::Watch(on) => self.store.watch(on),
            Action::Send { to, address, message } => self.peers.send(to, address, message),
            Action::Record(kind) => self.links.journal.record(kind),
            Action::Publish => self.links.snapshots.publish(kernel.shared()),
        }
    }
}
