//! The control thread: passes events to the kernel and executes the actions that it returns.

mod instances;
mod orders;
mod peers;
mod store;

use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::rt::{DefaultRuntime, System};
use ntex::time::{Millis, interval};
use persimmon_kernel::{Action, Event, HostEntry, Kernel};
use persimmon_types::{Clock, DaemonId, TimelineKind};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::control::instances::InstanceProber;
pub(crate) use crate::control::orders::refused_term;
use crate::control::peers::Peers;
use crate::control::store::Store;
use crate::counters::{Counters, Reporter};
use crate::journal::Journal;
use crate::settings::Settings;
use crate::snapshot::Snapshots;

/// How often the kernel receives a tick.
const TICK: Millis = Millis(20);

/// How many ticks pass between two reports of the counters.
const TICKS_PER_REPORT: u32 = 50;

/// Handles that the control thread shares with the other threads.
#[derive(Clone, Debug)]
pub struct ControlHandles {
    /// The daemon's settings.
    pub settings: Arc<Settings>,
    /// The routing snapshots that traffic threads read.
    pub snapshots: Arc<Snapshots>,
    /// This daemon's timeline events.
    pub journal: Arc<Journal>,
    /// The counters.
    pub counters: Arc<Counters>,
    /// Sends events to the kernel.
    pub events: UnboundedSender<Event>,
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn start(
    handles: ControlHandles,
    events: UnboundedReceiver<Event>,
    listener: StdListener,
) -> std::io::Result<()> {
    let builder = std::thread::Builder::new().name("control".to_owned());
    builder.spawn(move || {
        let system = System::new("control", DefaultRuntime);
        system.block_on(run(handles, events, listener));
    })?;
    Ok(())
}

/// Executes the kernel's actions.
struct Driver {
    handles: ControlHandles,
    store: Rc<Store>,
    prober: Rc<InstanceProber>,
    peers: Rc<Peers>,
}

async fn run(handles: ControlHandles, mut events: UnboundedReceiver<Event>, listener: StdListener) {
    let address = match listener.local_addr() {
        Ok(address) => address,
        Err(err) => {
            tracing::error!(error = %err, "cannot read the local address of the peer listener");
            return;
        }
    };
    let own_id = DaemonId::new(&handles.settings.name);
    let seed = Clock.now().as_micros();
    let mut kernel = Kernel::new(own_id.clone(), address, seed);
    let driver = Driver {
        store: Rc::new(Store::new(&handles).await),
        prober: Rc::new(InstanceProber::new(&handles)),
        peers: Rc::new(Peers::new(&handles, own_id)),
        handles: handles.clone(),
    };
    if let Err(err) = peers::serve(&handles, listener) {
        tracing::error!(error = %err, "cannot serve peer connections");
    }
    store::spawn_host_list_refresh(&driver.store);
    handles.journal.record(TimelineKind::Started);
    add_seeds(&handles);
    let mut reporter = Reporter::new(Arc::clone(&handles.counters), handles.settings.statsd);
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
            driver.execute(action, &kernel);
        }
    }
}

/// Adds the seeds to the kernel's hosts, so that it asks them for state. They are marked as
/// draining and so coordinate no failover, since their daemons' names are not known yet.
fn add_seeds(handles: &ControlHandles) {
    let hosts = handles.settings.seeds.iter().map(|address| HostEntry {
        daemon: DaemonId::new(&format!("seed@{address}")),
        address: *address,
        leaving: true,
    });
    // The control thread lives as long as the process, so a failed send needs no handling.
    let _ = handles.events.send(Event::Hosts(hosts.collect()));
}

impl Driver {
    fn execute(&self, action: Action, kernel: &Kernel) {
        match action {
            Action::Probe { instance, address } => {
                Counters::increment(&self.handles.counters.probes);
                self.prober.probe(instance, address);
            }
            Action::Command { instance, address, command } => {
                orders::execute(&self.handles, instance, address, command);
            }
            Action::StoreWrite { request, key, expect, value } => {
                self.store.write(request, key, expect, value);
            }
            Action::StoreRead { request, key } => self.store.read(request, key),
            Action::Watch(on) => self.store.watch(on),
            Action::Send { to, address, message } => self.peers.send(to, address, message),
            Action::Record(kind) => self.handles.journal.record(kind),
            Action::Publish => self.handles.snapshots.publish(kernel.state()),
        }
    }
}
