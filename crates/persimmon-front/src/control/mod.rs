//! The control thread: follows the store, helps peers, and holds the duty of promoting primaries.

mod duties;
mod follow;
mod inquiry;
mod peers;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::rt::{DefaultRuntime, System};
use persimmon_ports::{Catalogue, InstanceProtocol, Table};
use tokio::sync::{mpsc, watch};

use crate::control::peers::Shelf;
use crate::directory::Directory;
use crate::metrics::Metrics;
use crate::outside::{Connect, Platform};
use crate::peer_list::PeerList;
use crate::reach::Reach;
use crate::sampling::SampleBoard;
use crate::settings::Settings;
use crate::traffic::Suspicion;
use crate::view::View;

/// What the control thread is made of.
pub(crate) struct Parts {
    pub(crate) settings: Arc<Settings>,
    pub(crate) connect: Connect,
    pub(crate) catalogue: Arc<dyn Catalogue>,
    pub(crate) instances: Arc<dyn InstanceProtocol>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) suspicions: mpsc::Receiver<Suspicion>,
    pub(crate) peers: StdListener,
    pub(crate) reach: Arc<Reach>,
    pub(crate) peer_list: Arc<PeerList>,
    pub(crate) samples: Arc<SampleBoard>,
}

/// The state of the control thread.
pub(crate) struct Control {
    pub(crate) settings: Arc<Settings>,
    pub(crate) platform: Platform,
    pub(crate) catalogue: Arc<dyn Catalogue>,
    pub(crate) instances: Arc<dyn InstanceProtocol>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) table: RefCell<Option<Arc<Table>>>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) has_directory: Cell<bool>,
    /// Whether the store answered the latest call that ended.
    store_answers: Cell<bool>,
    /// What peers may read.
    pub(crate) shelf: Arc<Shelf>,
    /// Which instances answer this daemon.
    pub(crate) reach: Arc<Reach>,
    /// The daemons that were heard of.
    pub(crate) peers: Arc<PeerList>,
    /// Samples that peers may ask for.
    pub(crate) samples: Arc<SampleBoard>,
    /// Tells two processes of one name apart.
    pub(crate) incarnation: u64,
    view: watch::Sender<Arc<View>>,
}

impl Control {
    /// Publishes a new picture for traffic.
    pub(crate) fn publish(&self) {
        let view = View {
            table: self.table.borrow().clone(),
            has_directory: self.has_directory.get(),
            services: self.directory.borrow().by_service(),
        };
        let instances = self.directory.borrow().entries();
        let is_current = self.is_store_reachable();
        self.shelf.put(view.table.as_deref(), instances, is_current);
        self.view.send_replace(Arc::new(view));
    }

    /// The picture in force.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Brings a table into force unless a newer one is.
    pub(crate) fn adopt_table(&self, table: Table, source: &str) {
        let before = self.table.borrow().as_ref().map(|t| t.version);
        if before.is_some_and(|version| version >= table.version) {
            return;
        }
        tracing::info!(
            version = table.version,
            before,
            routes = table.routes.len(),
            source,
            "a table is in force"
        );
        *self.table.borrow_mut() = Some(Arc::new(table));
        self.publish();
    }

    /// Notes whether the store answered a call.
    pub(crate) fn note_store<E: std::fmt::Display>(&self, call: &str, failure: Option<&E>) {
        Metrics::add(&self.metrics.store_calls);
        let was_reachable = self.store_answers.replace(failure.is_none());
        match failure {
            None => {
                if !was_reachable {
                    tracing::info!(call, "the store answers");
                }
            }
            Some(err) => {
                Metrics::add(&self.metrics.store_failures);
                if was_reachable {
                    tracing::warn!(call, error = %err, "the store does not answer");
                }
            }
        }
    }

    /// Whether the store answered the latest call that ended.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.store_answers.get()
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
    let directory = Directory::new(parts.settings.leaving_limit);
    let control = Rc::new(Control {
        settings: parts.settings,
        platform,
        catalogue: parts.catalogue,
        instances: parts.instances,
        metrics: parts.metrics,
        table: RefCell::default(),
        directory: RefCell::new(directory),
        has_directory: Cell::new(false),
        store_answers: Cell::new(false),
        shelf: Arc::default(),
        reach: parts.reach,
        peers: parts.peer_list,
        samples: parts.samples,
        incarnation: rand::random(),
        view: parts.view,
    });
    if let Err(err) = peers::serve(&control, parts.peers) {
        tracing::error!(error = %err, "peers cannot be served");
    }
    ntex::rt::spawn(follow::follow_table(Rc::clone(&control)));
    ntex::rt::spawn(follow::follow_directory(Rc::clone(&control)));
    ntex::rt::spawn(peers::help_each_other(Rc::clone(&control)));
    duties::run(control, parts.suspicions).await;
}
