//! The control thread: follows the store, exchanges state with peers, and coordinates promotions.

mod follow;
mod peers;
mod probe;
mod promotion;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::rt::{DefaultRuntime, System};
use persimmon_interfaces::{InstanceProtocol, ObjectDecoder, Table};
use tokio::sync::{mpsc, watch};

use crate::adapter::{Connect, PlatformClients};
use crate::control::peers::PublishedState;
use crate::directory::Directory;
use crate::metrics::Metrics;
use crate::peer_list::PeerList;
use crate::reachability::Reachability;
use crate::sampling::LatestSamples;
use crate::settings::Settings;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::Suspicion;

/// What the control thread is created from.
pub(crate) struct Parts {
    pub(crate) settings: Arc<Settings>,
    pub(crate) connect: Connect,
    pub(crate) object_decoder: Arc<dyn ObjectDecoder>,
    pub(crate) instance_protocol: Arc<dyn InstanceProtocol>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) snapshot: watch::Sender<Arc<RoutingSnapshot>>,
    pub(crate) suspicions: mpsc::Receiver<Suspicion>,
    pub(crate) peer_listener: StdListener,
    pub(crate) reachability: Arc<Reachability>,
    pub(crate) peers: Arc<PeerList>,
    pub(crate) samples: Arc<LatestSamples>,
}

/// The state of the control thread.
pub(crate) struct Control {
    pub(crate) settings: Arc<Settings>,
    pub(crate) platform: PlatformClients,
    pub(crate) object_decoder: Arc<dyn ObjectDecoder>,
    pub(crate) instance_protocol: Arc<dyn InstanceProtocol>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) table: RefCell<Option<Arc<Table>>>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) has_directory: Cell<bool>,
    /// Whether the store answered the latest call that ended.
    is_store_answering: Cell<bool>,
    /// State that is served to peers.
    pub(crate) published: Arc<PublishedState>,
    /// Which instances answer this daemon.
    pub(crate) reachability: Arc<Reachability>,
    /// The known daemons.
    pub(crate) peers: Arc<PeerList>,
    /// Position samples that are served to peers.
    pub(crate) samples: Arc<LatestSamples>,
    /// Distinguishes processes that run under the same daemon name.
    pub(crate) incarnation: u64,
    snapshot: watch::Sender<Arc<RoutingSnapshot>>,
}

impl Control {
    /// Publishes a new snapshot to the traffic thread.
    pub(crate) fn publish(&self) {
        let snapshot = RoutingSnapshot {
            table: self.table.borrow().clone(),
            has_directory: self.has_directory.get(),
            services: self.directory.borrow().by_service(),
        };
        let instances = self.directory.borrow().entries();
        let is_current = self.is_store_reachable();
        self.published.put(snapshot.table.as_deref(), instances, is_current);
        self.snapshot.send_replace(Arc::new(snapshot));
    }

    /// The current snapshot.
    pub(crate) fn snapshot(&self) -> Arc<RoutingSnapshot> {
        Arc::clone(&self.snapshot.borrow())
    }

    /// Activates a table unless the active one is at least as new.
    pub(crate) fn activate_table(&self, table: Table, source: &str) {
        let before = self.table.borrow().as_ref().map(|t| t.version);
        if before.is_some_and(|version| version >= table.version) {
            return;
        }
        tracing::info!(
            version = table.version,
            before,
            routes = table.routes.len(),
            source,
            "table activated"
        );
        *self.table.borrow_mut() = Some(Arc::new(table));
        self.publish();
    }

    /// Records whether the store answered a call.
    pub(crate) fn record_store_call<E: std::fmt::Display>(&self, call: &str, failure: Option<&E>) {
        Metrics::increment(&self.metrics.store_calls);
        let was_reachable = self.is_store_answering.replace(failure.is_none());
        match failure {
            None => {
                if !was_reachable {
                    tracing::info!(call, "the store answers");
                }
            }
            Some(err) => {
                Metrics::increment(&self.metrics.store_failures);
                if was_reachable {
                    tracing::warn!(call, error = %err, "store call failed");
                }
            }
        }
    }

    /// Whether the store answered the latest call that ended.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.is_store_answering.get()
    }
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn start(parts: Parts) -> io::Result<()> {
    let builder = std::thread::Builder::new().name("control".to_owned());
    builder.spawn(move || {
        let system = System::new("control", DefaultRuntime);
        system.block_on(run(parts));
    })?;
    Ok(())
}

async fn run(parts: Parts) {
    let platform = (parts.connect)().await;
    let directory = Directory::new(parts.settings.instance_drain_limit);
    let control = Rc::new(Control {
        settings: parts.settings,
        platform,
        object_decoder: parts.object_decoder,
        instance_protocol: parts.instance_protocol,
        metrics: parts.metrics,
        table: RefCell::default(),
        directory: RefCell::new(directory),
        has_directory: Cell::new(false),
        is_store_answering: Cell::new(false),
        published: Arc::default(),
        reachability: parts.reachability,
        peers: parts.peers,
        samples: parts.samples,
        incarnation: rand::random(),
        snapshot: parts.snapshot,
    });
    if let Err(err) = peers::serve(&control, parts.peer_listener) {
        tracing::error!(error = %err, "cannot serve peers");
    }
    ntex::rt::spawn(follow::follow_table(Rc::clone(&control)));
    ntex::rt::spawn(follow::follow_directory(Rc::clone(&control)));
    ntex::rt::spawn(peers::exchange_with_peers(Rc::clone(&control)));
    promotion::run(control, parts.suspicions).await;
}
