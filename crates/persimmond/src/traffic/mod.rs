//! Serves client connections.
//!
//! Each traffic thread has its own [`Worker`]; connections to instances never move between
//! threads.

mod batch;
mod caller;
mod confirm;
mod greeting;
mod pool;
mod relay;
mod request;
mod setting;
mod statement;
mod stream;

use std::cell::RefCell;
use std::io;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::rt::Arbiter;
use ntex::time::sleep;
use persimmon_kernel::Event;
use persimmon_request::{
    InstanceTracker, LeastOutstanding, Policy, PowerOfTwo, RetryBudget, RoundRobin, RoutingSnapshot,
};
use persimmon_types::{Clock, ServiceId, Term, TimelineKind};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::cancel::CancelRegistry;
use crate::control::ControlHandles;
use crate::counters::Counters;
use crate::settings::PolicyName;
use crate::traffic::confirm::PositionSampler;
use crate::traffic::pool::Pools;
use crate::traffic::stream::ClientStream;

/// Pause after the listener failed, such as when out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time reserved at the end of a shutdown for the last errors to be sent.
const FINAL_RESERVE: Duration = Duration::from_millis(500);

/// State that all traffic threads share.
#[derive(Clone, Debug)]
pub struct TrafficContext {
    /// The handles to the control thread.
    pub control: ControlHandles,
    /// The clients whose requests can be cancelled.
    pub cancel_registry: Arc<CancelRegistry>,
}

/// The stages of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// Clients are served.
    Serving,
    /// New clients are refused, and idle ones disconnected.
    DisconnectingIdle,
    /// All clients are disconnected; their requests and transactions are ended.
    DisconnectingAll,
}

/// The state of one traffic thread.
pub(crate) struct Worker {
    pub(crate) context: TrafficContext,
    pub(crate) pools: Pools,
    pub(crate) sampler: PositionSampler,
    pub(crate) selection: RefCell<SelectionState>,
    pub(crate) stage: watch::Sender<ShutdownStage>,
}

/// What one traffic thread uses to select instances and to decide on retries.
pub(crate) struct SelectionState {
    pub(crate) tracker: InstanceTracker,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) rng: SmallRng,
    pub(crate) budget: RetryBudget,
    table_version: u64,
}

impl Worker {
    fn new(context: TrafficContext) -> Self {
        let settings = &context.control.settings;
        let policy: Box<dyn Policy> = match settings.policy {
            PolicyName::PowerOfTwo => Box::new(PowerOfTwo),
            PolicyName::LeastOutstanding => Box::new(LeastOutstanding),
            PolicyName::RoundRobin => Box::new(RoundRobin::new()),
        };
        let selection = SelectionState {
            tracker: InstanceTracker::new(),
            policy,
            rng: SmallRng::seed_from_u64(Clock.now().as_micros()),
            budget: RetryBudget::new(),
            table_version: 0,
        };
        Self {
            pools: Pools::new(settings.traffic_threads, &context.control.counters),
            sampler: PositionSampler::new(),
            selection: RefCell::new(selection),
            stage: watch::Sender::new(ShutdownStage::Serving),
            context,
        }
    }

    /// Disconnects idle clients, and refuses new ones, once the load balancer has had time to notice a
    /// shutdown; disconnects all shortly before the shutdown's limit.
    async fn watch_shutdown(self: Rc<Self>) {
        let control = &self.context.control;
        let mut revision = control.snapshots.subscribe();
        while !control.snapshots.load().is_draining {
            if revision.changed().await.is_err() {
                return;
            }
        }
        let settings = &control.settings;
        let ends_at = Clock.now() + settings.drain_limit.saturating_sub(FINAL_RESERVE);
        sleep(pool::millis(settings.drain_delay)).await;
        self.stage.send_replace(ShutdownStage::DisconnectingIdle);
        sleep(pool::millis(ends_at.since(Clock.now()))).await;
        self.stage.send_replace(ShutdownStage::DisconnectingAll);
    }

    /// Completes once the shutdown has reached a stage.
    pub(crate) async fn reaches(&self, stage: ShutdownStage) {
        // The sender lives as long as the worker.
        let _ = self.stage.subscribe().wait_for(|at| *at >= stage).await;
    }

    /// Returns the current routing snapshot. A new version of the table clears the instance
    /// tracker, because instance IDs are indexes into one version.
    pub(crate) fn routing_snapshot(&self) -> Arc<RoutingSnapshot> {
        let snapshot = self.context.control.snapshots.load();
        let mut selection = self.selection.borrow_mut();
        if selection.table_version != snapshot.version {
            selection.table_version = snapshot.version;
            selection.tracker.clear();
        }
        snapshot
    }

    pub(crate) fn counters(&self) -> &Counters {
        &self.context.control.counters
    }

    /// Reports a failed connection to a primary to the control thread.
    pub(crate) fn report_primary_failure(
        &self,
        snapshot: &RoutingSnapshot,
        service: ServiceId,
        term: Term,
    ) {
        let service = Arc::clone(&snapshot.table.service_row(service).name);
        // The control thread lives as long as the process, so a failed send needs no handling.
        let _ = self.context.control.events.send(Event::PrimaryConnectionFailed { service, term });
    }

    /// Reports a term that an instance named to the control thread.
    pub(crate) fn report_term(&self, snapshot: &RoutingSnapshot, service: ServiceId, term: Term) {
        let service = Arc::clone(&snapshot.table.service_row(service).name);
        // The control thread lives as long as the process, so a failed send needs no handling.
        let _ = self.context.control.events.send(Event::NewerTermReported { service, term });
    }

    /// Records a timeline event.
    pub(crate) fn record(&self, event: TimelineKind) {
        self.context.control.journal.record(event);
    }
}

/// Serves clients on a listener, on threads of their own, until the process ends.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(context: &TrafficContext, listener: &StdListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    for number in 0..context.control.settings.traffic_threads {
        let context = context.clone();
        let listener = listener.try_clone()?;
        // The task runs on the new thread, and the one that it spawns need not be `Send`.
        Arbiter::with_name(format!("traffic-{number}")).handle().spawn(async move {
            ntex::rt::spawn(accept_clients(context, listener));
        });
    }
    Ok(())
}

async fn accept_clients(context: TrafficContext, listener: StdListener) {
    let worker = Rc::new(Worker::new(context));
    ntex::rt::spawn(Rc::clone(&worker).watch_shutdown());
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            tracing::error!(error = %err, "clients cannot be accepted");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = stream.set_nodelay(true) {
                    tracing::debug!(error = %err, "client connection setup failed");
                    continue;
                }
                ntex::rt::spawn(caller::serve(Rc::clone(&worker), ClientStream::new(stream)));
            }
            Err(err) => {
                tracing::warn!(error = %err, "accepting a client connection failed");
                sleep(pool::millis(ACCEPT_RETRY_DELAY)).await;
            }
        }
    }
}
