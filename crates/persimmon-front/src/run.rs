//! Starts the daemon's threads and listeners, and stops them when asked to.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::rt::{DefaultRuntime, System};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::control;
use crate::drain::drain;
use crate::logging::{DEFAULT_FILTER, start_logging};
use crate::metrics::Metrics;
use crate::ops::{self, Ops};
use crate::outside::{Outside, Reload};
use crate::peer_list::PeerList;
use crate::reach::Reach;
use crate::sampling::SampleBoard;
use crate::settings::Settings;
use crate::traffic::{self, Stage, Worker};
use crate::view::View;

/// Suspicions that control has not read yet.
const SUSPICIONS: usize = 64;

/// Services of which peers want a sample, and that traffic has not seen yet.
const SAMPLES_WANTED: usize = 64;

/// Runs a daemon until it has been asked to stop.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a thread not started.
pub fn run(mut settings: Settings, outside: Outside) -> io::Result<()> {
    let _logs = start_logging(DEFAULT_FILTER);
    let callers = TcpListener::bind(settings.callers)?;
    let readiness = TcpListener::bind(settings.readiness)?;
    let peers = TcpListener::bind(settings.peers)?;
    // A port may have been left to the host's choice.
    settings.callers = callers.local_addr()?;
    settings.readiness = readiness.local_addr()?;
    settings.peers = peers.local_addr()?;
    let metrics_listener = TcpListener::bind(settings.metrics)
        .inspect_err(|err| {
            tracing::warn!(address = %settings.metrics, error = %err, "metrics cannot be served");
        })
        .ok();
    if let Some(listener) = &metrics_listener {
        settings.metrics = listener.local_addr()?;
    }
    tracing::info!(name = %settings.name, domain = %settings.domain, callers = %settings.callers,
        readiness = %settings.readiness, peers = %settings.peers, metrics = %settings.metrics,
        version = env!("CARGO_PKG_VERSION"), "started");

    let metrics = Arc::new(Metrics::default());
    let reach = Arc::new(Reach::default());
    let peer_list = Arc::new(PeerList::new(settings.peers, &settings.seeds));
    let (wanted_tx, wanted) = mpsc::channel(SAMPLES_WANTED);
    let samples = Arc::new(SampleBoard::new(wanted_tx));
    let settings = Arc::new(settings);
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (suspicions_tx, suspicions) = mpsc::channel(SUSPICIONS);
    let (stage_tx, stage) = watch::channel(Stage::Serving);
    control::start(control::Parts {
        settings: Arc::clone(&settings),
        connect: outside.connect,
        catalogue: outside.catalogue,
        instances: Arc::clone(&outside.instances),
        metrics: Arc::clone(&metrics),
        view: view_tx,
        suspicions,
        peers,
        reach: Arc::clone(&reach),
        peer_list: Arc::clone(&peer_list),
        samples: Arc::clone(&samples),
    })?;
    let parts = traffic::Parts {
        settings,
        callers: outside.callers,
        instances: outside.instances,
        metrics: Arc::clone(&metrics),
        stage: stage.clone(),
        view: view.clone(),
        suspicions: suspicions_tx,
        reach,
        peers: peer_list,
        samples,
    };
    let system = System::new("traffic", DefaultRuntime);
    system.block_on(async move {
        let worker = Rc::new(Worker::new(parts));
        let _ops = ops::serve(Ops { metrics, view, stage }, readiness, metrics_listener)?;
        traffic::serve(&worker, callers, wanted)?;
        until_asked_to_stop(&outside.reload).await?;
        drain(&worker, &stage_tx).await;
        Ok(())
    })
}

async fn until_asked_to_stop(reload: &Reload) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => match reload() {
                // Addresses and names hold until the process ends; everything else that may change
                // comes from the store.
                Ok(settings) => tracing::info!(name = %settings.name, "reloaded"),
                Err(problem) => tracing::error!(problem, "the settings cannot be read; they stay"),
            },
        }
    }
}
