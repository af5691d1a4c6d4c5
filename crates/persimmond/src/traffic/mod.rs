//! Carries callers' traffic.
//!
//! Each traffic thread has its own [`Worker`]; connections to instances never move between threads.

mod batch;
mod caller;
mod confirm;
mod greeting;
mod pool;
mod relay;
mod request;
mod setting;
mod statement;

use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::io::Io;
use ntex::server::Server;
use ntex::service::fn_service;
use ntex::time::sleep;
use persimmon_kernel::Event;
use persimmon_request::{
    Knowledge, LeastOutstanding, Policy, PowerOfTwo, RetryBudget, RoundRobin, View,
};
use persimmon_types::{Clock, ServiceId, Term, TimelineKind};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;

use crate::cancel::CancelRegistry;
use crate::control::Links;
use crate::counters::Counters;
use crate::settings::PolicyName;
use crate::traffic::confirm::Confirms;
use crate::traffic::pool::Pools;

/// What all traffic threads share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The links to the control thread.
    pub links: Links,
    /// The callers that may be cancelled.
    pub cancels: Arc<CancelRegistry>,
}

/// The state of one traffic thread.
pub(crate) struct Worker {
    pub(crate) shared: Shared,
    pub(crate) pools: Pools,
    pub(crate) confirms: Confirms,
    pub(crate) mind: RefCell<Mind>,
    /// Becomes true when idle callers are to be let go.
    pub(crate) closing: watch::Sender<bool>,
}

/// What one traffic thread decides by.
pub(crate) struct Mind {
    pub(crate) knowledge: Knowledge,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) rng: SmallRng,
    pub(crate) budget: RetryBudget,
    table_version: u64,
}

impl Worker {
    fn new(shared: Shared) -> Self {
        let settings = &shared.links.settings;
        let policy: Box<dyn Policy> = match settings.policy {
            PolicyName::PowerOfTwo => Box::new(PowerOfTwo),
            PolicyName::LeastOutstanding => Box::new(LeastOutstanding),
            PolicyName::RoundRobin => Box::new(RoundRobin::new()),
        };
        let mind = Mind {
            knowledge: Knowledge::new(),
            policy,
            rng: SmallRng::seed_from_u64(Clock.now().as_micros()),
            budget: RetryBudget::new(),
            table_version: 0,
        };
        Self {
            pools: Pools::new(settings.traffic_threads, &shared.links.counters),
            confirms: Confirms::new(),
            mind: RefCell::new(mind),
            closing: watch::Sender::new(false),
            shared,
        }
    }

    /// Lets idle callers go once the balancer has had time to notice a shutdown.
    async fn watch_shutdown(self: Rc<Self>) {
        let links = &self.shared.links;
        let mut revision = links.snapshots.subscribe();
        while !links.snapshots.load().draining {
            if revision.changed().await.is_err() {
                return;
            }
        }
        sleep(pool::millis(links.settings.drain_delay)).await;
        self.closing.send_replace(true);
    }

    /// The snapshot in force.
    pub(crate) fn view(&self) -> Arc<View> {
        let view = self.shared.links.snapshots.load();
        let mut mind = self.mind.borrow_mut();
        if mind.table_version != view.version {
            mind.table_version = view.version;
            mind.knowledge.clear();
        }
        view
    }

    /// The counters.
    pub(crate) fn counters(&self) -> &Counters {
        &self.shared.links.counters
    }

    /// Tells the control thread that a connection to a primary failed.
    pub(crate) fn suspect(&self, view: &View, service: ServiceId, term: Term) {
        let service = Arc::clone(&view.table.service_row(service).name);
        // The control thread is gone only when the process ends.
        let _ = self.shared.links.events.send(Event::TrafficSuspects { service, term });
    }

    /// Tells the control thread that an instance named a term.
    pub(crate) fn saw_term(&self, view: &View, service: ServiceId, term: Term) {
        let service = Arc::clone(&view.table.service_row(service).name);
        // The control thread is gone only when the process ends.
        let _ = self.shared.links.events.send(Event::TermSeen { service, term });
    }

    /// Records an event of the time line.
    pub(crate) fn record(&self, kind: TimelineKind) {
        self.shared.links.journal.record(kind);
    }
}

/// Serves callers on a listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(shared: Shared, listener: TcpListener) -> io::Result<Server> {
    let threads = shared.links.settings.traffic_threads;
    let server = ntex::server::build().workers(threads).disable_signals().listen(
        "callers",
        listener,
        async move |_| {
            let worker = Rc::new(Worker::new(shared.clone()));
            ntex::rt::spawn(Rc::clone(&worker).watch_shutdown());
            fn_service(async move |io: Io| {
                caller::serve(Rc::clone(&worker), io).await;
                Ok::<_, io::Error>(())
            })
        },
    )?;
    Ok(server.run())
}
