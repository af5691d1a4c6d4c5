//! The state of the thread that carries traffic.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_place::Typical;
use persimmon_ports::{CallerProtocol, InstanceProtocol};
use persimmon_types::Clock;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::logging::LogBudget;
use crate::metrics::Metrics;
use crate::peer_list::PeerList;
use crate::pool::Pool;
use crate::primaries::Leadership;
use crate::reach::Reach;
use crate::sampling::{SampleBoard, SamplerClients};
use crate::session;
use crate::settings::Settings;
use crate::socket;
use crate::view::View;

/// How often idle connections are looked over.
const SWEEP_EVERY: Duration = Duration::from_millis(100);

/// How often instances without a connection are looked for.
const WARM_EVERY: Duration = Duration::from_millis(2_000);

/// Connections that an instance is taken to accept while the table says nothing of its service.
const UNKNOWN_CAP: u32 = 8;

/// Pause after the listener failed, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Tells control that a statement failed at a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub(crate) service: Arc<str>,
    pub(crate) instance: Arc<str>,
}

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Serving.
    Serving,
    /// Not ready any more; everything is still served.
    Leaving,
    /// Sessions at rest are closed.
    Closing,
    /// Open transactions are given up.
    Ending,
}

/// What the traffic thread shares between its sessions.
pub(crate) struct Worker {
    pub(crate) settings: Arc<Settings>,
    pub(crate) callers: Arc<dyn CallerProtocol>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) leaderships: RefCell<HashMap<Arc<str>, Leadership>>,
    /// How long the statements of each route usually take.
    pub(crate) typical: RefCell<HashMap<Arc<str>, Typical>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: LogBudget,
    pub(crate) stage: watch::Receiver<Stage>,
    pub(crate) sessions: Cell<usize>,
    pub(crate) reach: Arc<Reach>,
    pub(crate) peers: Arc<PeerList>,
    pub(crate) samples: Arc<SampleBoard>,
    pub(crate) samplers: SamplerClients,
    view: watch::Receiver<Arc<View>>,
    suspicions: mpsc::Sender<Suspicion>,
}

/// What a worker is made of.
pub(crate) struct Parts {
    pub(crate) settings: Arc<Settings>,
    pub(crate) callers: Arc<dyn CallerProtocol>,
    pub(crate) instances: Arc<dyn InstanceProtocol>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stage: watch::Receiver<Stage>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) suspicions: mpsc::Sender<Suspicion>,
    pub(crate) reach: Arc<Reach>,
    pub(crate) peers: Arc<PeerList>,
    pub(crate) samples: Arc<SampleBoard>,
}

impl Worker {
    /// Creates the state of the thread.
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            pool: Rc::new(Pool::new(
                parts.instances,
                Arc::clone(&parts.metrics),
                Arc::clone(&parts.peers),
            )),
            peers: parts.peers,
            samples: parts.samples,
            samplers: SamplerClients::default(),
            log: LogBudget::new(Arc::clone(&parts.metrics)),
            settings: parts.settings,
            callers: parts.callers,
            leaderships: RefCell::default(),
            typical: RefCell::default(),
            metrics: parts.metrics,
            stage: parts.stage,
            sessions: Cell::new(0),
            reach: parts.reach,
            view: parts.view,
            suspicions: parts.suspicions,
        }
    }

    /// The picture in force.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Waits until the picture changes.
    pub(crate) async fn view_changed(&self) {
        let mut view = self.view.clone();
        // Control is gone only when the process ends.
        let _ = view.changed().await;
    }

    /// How many connections an instance of a service takes from all daemons.
    pub(crate) fn cap(&self, service: &str) -> u32 {
        let view = self.view();
        let table = view.table.as_ref();
        table.and_then(|t| t.services.get(service)).map_or(UNKNOWN_CAP, |s| s.max_connections)
    }

    /// Tells control that a statement failed at a primary.
    pub(crate) fn suspect(&self, service: &Arc<str>, instance: &Arc<str>) {
        let suspicion = Suspicion { service: Arc::clone(service), instance: Arc::clone(instance) };
        // A full channel already holds a suspicion that control has not read.
        let _ = self.suspicions.try_send(suspicion);
    }
}

/// Accepts callers until the process ends.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(
    worker: &Rc<Worker>,
    listener: StdListener,
    mut wanted: mpsc::Receiver<Arc<str>>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let accepting = Rc::clone(worker);
    ntex::rt::spawn(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(err) => {
                    tracing::warn!(error = %err, "a caller could not be accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            match socket::adopt(stream, false) {
                Ok(io) => {
                    ntex::rt::spawn(session::serve(Rc::clone(&accepting), io));
                }
                Err(err) => tracing::debug!(error = %err, "a caller left at once"),
            }
        }
    });
    let sampling = Rc::clone(worker);
    ntex::rt::spawn(async move {
        while let Some(service) = wanted.recv().await {
            sampling.sample_for_peers(&service);
        }
    });
    ntex::rt::spawn(keep_warm(Rc::clone(worker)));
    let sweeping = Rc::clone(worker);
    ntex::rt::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            let view = sweeping.view();
            let is_listed =
                |id: &str| view.services.values().flatten().any(|l| &*l.instance.id == id);
            sweeping.pool.sweep(Clock.now(), is_listed);
            sweeping.reach.retain(is_listed);
        }
    });
    Ok(())
}

/// Keeps a connection open to each instance as far as the daemon's share allows, so that neither the
/// first callers nor those of a new primary wait for a greeting.
async fn keep_warm(worker: Rc<Worker>) {
    loop {
        let view = worker.view();
        for listed in view.services.values().flatten() {
            if !listed.takes_work() {
                continue;
            }
            let cap = worker.cap(&listed.instance.service);
            worker.pool.warm(&listed.instance, cap).await;
        }
        // Daemons that start together do not greet an instance together.
        tokio::time::sleep(WARM_EVERY.mul_f64(rand::rng().random_range(0.5..1.5))).await;
    }
}
