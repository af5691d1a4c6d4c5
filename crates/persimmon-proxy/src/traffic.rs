//! The traffic thread: accepts clients and holds the state that sessions share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use persimmon_balancing::LatencyBaseline;
use persimmon_interfaces::{ClientProtocol, InstanceProtocol};
use persimmon_types::{Clock, Time};
use persimmon_workspace::WorkspaceDirectory;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::client_connection::ClientConnection;
use crate::connection::ConnectionUser;
use crate::dispatcher::Dispatcher;
use crate::drain::ShutdownSchedule;
use crate::forwarding::{FrameRoom, HeldCount, Links};
use crate::logging::LogBudget;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::peer_list::PeerList;
use crate::pool::Pool;
use crate::primaries::PrimaryState;
use crate::quota::{self, FleetView, Quotas};
use crate::reachability::Reachability;

use crate::relay::{Relay, RelayedKind};
use crate::sampling::{LatestSamples, SamplerClients};
use crate::session;
use crate::session::registry::Sessions;
use crate::settings::Settings;
use crate::snapshot::RoutingSnapshot;
use crate::socket;
use crate::table_checks::TableChecks;

/// How often idle connections are checked against their limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Mean interval between checks for instances without an open connection.
const PREWARM_INTERVAL: Duration = Duration::from_millis(2_000);

/// Connection limit assumed for an instance whose service is not in the table.
const DEFAULT_MAX_CONNECTIONS: u32 = 8;

/// Pause after the listener failed, such as when out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tells the control thread that a statement failed at a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub(crate) service: Arc<str>,
    pub(crate) instance: Arc<str>,
    /// Whether another daemon reported it.
    pub(crate) is_from_peer: bool,
}

/// The stages of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// Serving normally.
    Serving,
    /// Readiness is withdrawn; everything is still served.
    NotReady,
    /// Sessions without an open transaction are closed.
    ClosingIdle,
    /// Open transactions are rolled back and their sessions closed; no client is accepted.
    AbortingTransactions,
}

/// What the traffic thread shares between its sessions.
pub(crate) struct Worker {
    pub(crate) settings: Arc<Settings>,
    pub(crate) client_protocol: Arc<dyn ClientProtocol>,
    pub(crate) pool: Rc<Pool>,
    /// Statements that wait for room at an instance.
    pub(crate) dispatcher: Dispatcher,
    pub(crate) primary_states: RefCell<HashMap<Arc<str>, PrimaryState>>,
    /// Latency baseline of each route's statements.
    pub(crate) latency_baselines: RefCell<HashMap<Arc<str>, LatencyBaseline>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: LogBudget,
    pub(crate) stage: watch::Receiver<ShutdownStage>,
    pub(crate) sessions: Cell<usize>,
    /// The schedule of the shutdown, once that has begun.
    pub(crate) shutdown: Cell<Option<ShutdownSchedule>>,
    pub(crate) reachability: Arc<Reachability>,
    pub(crate) peers: Arc<PeerList>,
    pub(crate) samples: Arc<LatestSamples>,
    pub(crate) samplers: SamplerClients,
    /// Connections to the owners of services.
    pub(crate) links: Links,
    /// What this daemon holds for others.
    pub(crate) held: HeldCount,
    /// The open sessions.
    pub(crate) open_sessions: Sessions,
    /// Memory for messages of clients that are incomplete or whose statements run.
    pub(crate) message_budget: Rc<MemoryBudget>,
    /// Memory for statements that other daemons forward.
    pub(crate) forwarded_budget: Rc<MemoryBudget>,
    /// Memory for the values and prepared statements of sessions.
    pub(crate) state_budget: Rc<MemoryBudget>,
    /// Checks that the active table is the newest.
    pub(crate) table_checks: Arc<TableChecks>,
    /// Room for large frames from other daemons.
    pub(crate) frame_room: FrameRoom,
    /// The quotas of workspaces; `None` in a deployment without quotas.
    pub(crate) quotas: Option<Quotas>,
    relay: Arc<Relay>,
    snapshot: watch::Receiver<Arc<RoutingSnapshot>>,
    suspicions: mpsc::Sender<Suspicion>,
}

/// What a worker is created from.
pub(crate) struct Parts {
    pub(crate) settings: Arc<Settings>,
    pub(crate) client_protocol: Arc<dyn ClientProtocol>,
    pub(crate) instance_protocol: Arc<dyn InstanceProtocol>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stage: watch::Receiver<ShutdownStage>,
    pub(crate) snapshot: watch::Receiver<Arc<RoutingSnapshot>>,
    pub(crate) suspicions: mpsc::Sender<Suspicion>,
    pub(crate) reachability: Arc<Reachability>,
    pub(crate) peers: Arc<PeerList>,
    pub(crate) samples: Arc<LatestSamples>,
    pub(crate) relay: Arc<Relay>,
    pub(crate) table_checks: Arc<TableChecks>,
    pub(crate) fleet: Arc<FleetView>,
}

impl Worker {
    /// Creates the state of the thread.
    pub(crate) fn new(parts: Parts) -> Self {
        let limits = parts.settings.client_limits;
        Self {
            pool: Rc::new(Pool::new(
                parts.instance_protocol,
                Arc::clone(&parts.metrics),
                Arc::clone(&parts.peers),
            )),
            dispatcher: Dispatcher::default(),
            peers: parts.peers,
            samples: parts.samples,
            samplers: SamplerClients::default(),
            links: Links::new(Arc::clone(&parts.metrics)),
            held: HeldCount::default(),
            open_sessions: Sessions::new(limits, Arc::clone(&parts.metrics)),
            message_budget: Rc::new(MemoryBudget::new(limits.message_bytes)),
            frame_room: FrameRoom::new(limits.frame_bytes),
            forwarded_budget: Rc::new(MemoryBudget::new(limits.forwarded_bytes)),
            state_budget: Rc::new(MemoryBudget::new(parts.settings.session_state_total)),
            table_checks: parts.table_checks,
            quotas: parts.settings.quota.map(|bounds| Quotas::new(bounds, parts.fleet)),
            relay: parts.relay,
            log: LogBudget::new(Arc::clone(&parts.metrics)),
            settings: parts.settings,
            client_protocol: parts.client_protocol,
            primary_states: RefCell::default(),
            latency_baselines: RefCell::default(),
            metrics: parts.metrics,
            stage: parts.stage,
            sessions: Cell::new(0),
            shutdown: Cell::default(),
            reachability: parts.reachability,
            snapshot: parts.snapshot,
            suspicions: parts.suspicions,
        }
    }

    /// Publishes how much memory the values and prepared statements of sessions occupy.
    pub(crate) fn record_state_bytes(&self) {
        let bytes = u64::try_from(self.state_budget.used()).unwrap_or(u64::MAX);
        self.metrics.session_state_bytes.store(bytes, Ordering::Relaxed);
    }

    /// The current snapshot.
    pub(crate) fn snapshot(&self) -> Arc<RoutingSnapshot> {
        Arc::clone(&self.snapshot.borrow())
    }

    /// How long ago the directory was last known to be complete; `None` before that was proved.
    pub(crate) fn directory_age(&self) -> Option<Duration> {
        let complete_until = self.relay.complete_until(RelayedKind::Instances)?;
        Some(Clock.now().since(complete_until))
    }

    /// A receiver of the snapshots, which changes with each one that follows the present one.
    pub(crate) fn snapshots(&self) -> watch::Receiver<Arc<RoutingSnapshot>> {
        let mut snapshots = self.snapshot.clone();
        snapshots.mark_unchanged();
        snapshots
    }

    /// The time until which the active table is known to be the newest; `None` before that was
    /// proved.
    pub(crate) fn table_complete_until(&self) -> Option<Time> {
        self.relay.complete_until(RelayedKind::Table)
    }

    /// Connection limit of an instance of a service, over all daemons.
    pub(crate) fn max_connections(&self, service: &str) -> u32 {
        let snapshot = self.snapshot();
        let table = snapshot.table.as_ref();
        table
            .and_then(|t| t.services.get(service))
            .map_or(DEFAULT_MAX_CONNECTIONS, |s| s.max_connections)
    }

    /// Tells the control thread that a statement failed at a primary.
    pub(crate) fn suspect(&self, service: &Arc<str>, instance: &Arc<str>) {
        let suspicion = Suspicion {
            service: Arc::clone(service),
            instance: Arc::clone(instance),
            is_from_peer: false,
        };
        // A full channel already holds suspicions that the control thread has not read.
        let _ = self.suspicions.try_send(suspicion);
    }
}

/// Accepts clients until shortly before the process exits.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(
    worker: &Rc<Worker>,
    listener: StdListener,
    mut sample_requests: mpsc::Receiver<Arc<str>>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let accepting = Rc::clone(worker);
    ntex::rt::spawn(async move {
        let mut stage = accepting.stage.clone();
        loop {
            let accepted = tokio::select! {
                biased;
                () = stops_accepting(&mut stage) => break,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(err) => {
                    tracing::warn!(error = %err, "accepting a client connection failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if accepting.open_sessions.is_full() {
                let has_room = accepting.open_sessions.make_room(&accepting.log);
                // The task of a closed session ends on its next turn.
                tokio::task::yield_now().await;
                if !has_room {
                    session::refuse(&accepting, &stream);
                    continue;
                }
            }
            if let Err(err) = socket::set_client_options(&stream) {
                tracing::debug!(error = %err, "client connection setup failed");
                continue;
            }
            let protocol = Arc::clone(&accepting.client_protocol);
            let entry = accepting.open_sessions.add(ClientConnection::new(stream, protocol));
            ntex::rt::spawn(session::serve(Rc::clone(&accepting), entry));
        }
    });
    let sampling = Rc::clone(worker);
    ntex::rt::spawn(async move {
        while let Some(service) = sample_requests.recv().await {
            sampling.sample_for_peers(&service);
        }
    });
    ntex::rt::spawn(keep_prewarmed(Rc::clone(worker)));
    ntex::rt::spawn(quota::run(Rc::clone(worker)));
    let sweeping = Rc::clone(worker);
    ntex::rt::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let snapshot = sweeping.snapshot();
            let is_listed =
                |id: &str| snapshot.services.values().flatten().any(|e| &*e.instance.id == id);
            let workspaces = snapshot.table.as_ref().and_then(|t| t.workspaces.as_deref());
            sweeping.pool.close_idle(Clock.now(), is_listed, workspaces);
            sweeping.reachability.retain(is_listed);
            sweeping.open_sessions.close_overdue(Clock.now(), &sweeping.log);
        }
    });
    Ok(())
}

async fn stops_accepting(stage: &mut watch::Receiver<ShutdownStage>) {
    // The sender is dropped only as the process exits.
    let _ = stage.wait_for(|stage| *stage >= ShutdownStage::AbortingTransactions).await;
}

/// Keeps a connection open to each instance as far as the daemon's share allows, so that neither
/// the first clients nor those of a new primary wait for a handshake.
///
/// In a deployment with workspaces, the first connection is the one of the workspace with the
/// largest quota, which uses it most; samples of positions may use it too. The others are opened as
/// statements need them.
async fn keep_prewarmed(worker: Rc<Worker>) {
    loop {
        let snapshot = worker.snapshot();
        let workspaces = snapshot.table.as_ref().and_then(|t| t.workspaces.as_deref());
        let largest = workspaces.and_then(WorkspaceDirectory::largest);
        let user = largest.map_or(ConnectionUser::Any, |w| ConnectionUser::Workspace(&w.name));
        // A connection that belongs to no workspace runs no statement of one.
        let has_user = workspaces.is_none() || largest.is_some();
        for listed in snapshot.services.values().flatten() {
            if !has_user || !listed.accepts_work() || !worker.is_sharer(&listed.instance.service) {
                continue;
            }
            let max_connections = worker.max_connections(&listed.instance.service);
            worker.pool.prewarm(&listed.instance, max_connections, user).await;
        }
        // Jitter, so that daemons that start together do not open connections to an instance
        // together.
        tokio::time::sleep(PREWARM_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5))).await;
    }
}
