//! Starts the daemon's threads and listeners, and shuts them down on a signal.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use ntex::rt::{DefaultRuntime, System};
use persimmon_ownership::Member;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::adapter::{Adapter, Reload};
use crate::control;
use crate::drain::drain;
use crate::forwarding;
use crate::http::{self, HttpState};
use crate::logging::{DEFAULT_FILTER, start_logging};
use crate::metrics::Metrics;
use crate::peer_list::PeerList;
use crate::quota::FleetView;
use crate::reachability::Reachability;
use crate::relay::Relay;
use crate::sampling::LatestSamples;
use crate::settings::Settings;
use crate::snapshot::RoutingSnapshot;
use crate::table_checks::TableChecks;
use crate::traffic::{self, ShutdownStage, Worker};

/// Capacity of the queue of suspicions to the control thread.
const SUSPICION_QUEUE: usize = 64;

/// Capacity of the queue of sample requests from peers to the traffic thread.
const SAMPLE_REQUEST_QUEUE: usize = 64;

/// Runs a daemon until it is stopped by a signal.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a thread cannot be started.
pub fn run(mut settings: Settings, adapter: Adapter) -> io::Result<()> {
    let _logs = start_logging(DEFAULT_FILTER);
    let client_listener = TcpListener::bind(settings.clients)?;
    let readiness_listener = TcpListener::bind(settings.readiness)?;
    let bind_for_peers = |mut address: SocketAddr| {
        address.set_ip(settings.peer_bind.unwrap_or(address.ip()));
        TcpListener::bind(address)
    };
    let peer_listener = bind_for_peers(settings.peers)?;
    let forwarding_listener = settings.forwarding.map(bind_for_peers).transpose()?;
    // With port 0, the operating system chose the port.
    settings.clients = client_listener.local_addr()?;
    settings.readiness = readiness_listener.local_addr()?;
    settings.peers.set_port(peer_listener.local_addr()?.port());
    let metrics_listener = TcpListener::bind(settings.metrics)
        .inspect_err(|err| {
            tracing::warn!(address = %settings.metrics, error = %err,
                "cannot bind the metrics listener; metrics are not served");
        })
        .ok();
    if let Some(listener) = &metrics_listener {
        settings.metrics = listener.local_addr()?;
    }
    tracing::info!(name = %settings.name, domain = %settings.failure_domain,
        callers = %settings.clients, readiness = %settings.readiness, peers = %settings.peers,
        metrics = %settings.metrics, version = env!("CARGO_PKG_VERSION"), "started");

    let metrics = Arc::new(Metrics::default());
    let reachability = Arc::new(Reachability::default());
    let own = Member {
        address: settings.peers,
        domain: Arc::clone(&settings.failure_domain),
        capacity: settings.capacity,
    };
    let peers = PeerList::new(own, &settings.seeds);
    let peers = Arc::new(peers.with_forwarding(settings.forwarding.is_some()));
    let (sample_requests_tx, sample_requests) = mpsc::channel(SAMPLE_REQUEST_QUEUE);
    let samples = Arc::new(LatestSamples::new(sample_requests_tx));
    let settings = Arc::new(settings);
    let relay = Arc::new(Relay::new());
    let table_checks = Arc::new(TableChecks::default());
    let fleet = Arc::new(FleetView::default());
    let (snapshot_tx, snapshot) = watch::channel(Arc::new(RoutingSnapshot::default()));
    let (suspicions_tx, suspicions) = mpsc::channel(SUSPICION_QUEUE);
    let (stage_tx, stage) = watch::channel(ShutdownStage::Serving);
    control::start(control::Parts {
        settings: Arc::clone(&settings),
        connect: adapter.connect,
        object_decoder: adapter.object_decoder,
        instance_protocol: Arc::clone(&adapter.instance_protocol),
        metrics: Arc::clone(&metrics),
        snapshot: snapshot_tx,
        suspicions,
        peer_suspicions: suspicions_tx.clone(),
        peer_listener,
        reachability: Arc::clone(&reachability),
        peers: Arc::clone(&peers),
        samples: Arc::clone(&samples),
        relay: Arc::clone(&relay),
        table_checks: Arc::clone(&table_checks),
        fleet: Arc::clone(&fleet),
    })?;
    let parts = traffic::Parts {
        settings,
        client_protocol: adapter.client_protocol,
        instance_protocol: adapter.instance_protocol,
        metrics: Arc::clone(&metrics),
        stage: stage.clone(),
        snapshot: snapshot.clone(),
        suspicions: suspicions_tx,
        reachability,
        peers,
        samples,
        relay,
        table_checks,
        fleet,
    };
    let system = System::new("traffic", DefaultRuntime);
    system.block_on(async move {
        let worker = Rc::new(Worker::new(parts));
        let _server = http::serve(
            HttpState { metrics, snapshot, stage },
            readiness_listener,
            metrics_listener,
        )?;
        traffic::serve(&worker, client_listener, sample_requests)?;
        if let Some(listener) = forwarding_listener {
            forwarding::serve(&worker, listener)?;
        }
        wait_for_stop_signal(&adapter.reload).await?;
        drain(&worker, &stage_tx).await;
        Ok(())
    })
}

async fn wait_for_stop_signal(reload: &Reload) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => match reload() {
                // Addresses and names are fixed until the process ends; everything else that may
                // change comes from the store.
                Ok(settings) => tracing::info!(name = %settings.name, "settings reloaded"),
                Err(problem) => tracing::error!(problem,
                    "the settings could not be read; the current ones stay in use"),
            },
        }
    }
}
