//! The control thread: follows the store, exchanges state with peers, and coordinates promotions.

mod backoff;
mod check;
mod fleet;
mod follow;
mod on_demand;
mod peers;
mod probe;
mod promotion;
mod promotion_lock;
mod replication;
mod view;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::rt::{DefaultRuntime, System};
use persimmon_interfaces::{InstanceProtocol, ObjectDecoder, Revision, Table};
use persimmon_ownership::WatcherFailure;
use persimmon_types::{Clock, Time};
use tarpc::client::RpcError;
use tarpc::context;
use tokio::sync::{mpsc, watch};

use crate::active_table::{ActiveTable, TableOutcome};
use crate::adapter::{Connect, PlatformClients};
use crate::control::peers::PublishedState;
use crate::directory::Directory;
use crate::metrics::Metrics;
use crate::peer_list::PeerList;
use crate::peer_service::{PeerError, PeerServiceClient, connect};
use crate::quota::FleetView;
use crate::reachability::Reachability;
use crate::relay::{Relay, RelayReply, RelayedKind};
use crate::sampling::LatestSamples;
use crate::settings::Settings;
use crate::snapshot::RoutingSnapshot;
use crate::table_checks::TableChecks;
use crate::traffic::Suspicion;

/// How long a watcher of the store may take to answer, of which it waits 700 ms for changes.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_100);

/// How long a daemon may take to tell what it knows at present.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);

/// Invalid workspaces and keys that are logged for one version of the table.
const MAX_LOGGED_REJECTIONS: usize = 20;

/// What the control thread is created from.
pub(crate) struct Parts {
    pub(crate) settings: Arc<Settings>,
    pub(crate) connect: Connect,
    pub(crate) object_decoder: Arc<dyn ObjectDecoder>,
    pub(crate) instance_protocol: Arc<dyn InstanceProtocol>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) snapshot: watch::Sender<Arc<RoutingSnapshot>>,
    pub(crate) suspicions: mpsc::Receiver<Suspicion>,
    /// For suspicions that peers report.
    pub(crate) peer_suspicions: mpsc::Sender<Suspicion>,
    pub(crate) peer_listener: StdListener,
    pub(crate) reachability: Arc<Reachability>,
    pub(crate) peers: Arc<PeerList>,
    pub(crate) samples: Arc<LatestSamples>,
    pub(crate) relay: Arc<Relay>,
    pub(crate) table_checks: Arc<TableChecks>,
    /// The record of the fleet, for quotas.
    pub(crate) fleet: Arc<FleetView>,
}

/// The state of the control thread.
pub(crate) struct Control {
    pub(crate) settings: Arc<Settings>,
    pub(crate) platform: PlatformClients,
    pub(crate) object_decoder: Arc<dyn ObjectDecoder>,
    pub(crate) instance_protocol: Arc<dyn InstanceProtocol>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) table: RefCell<ActiveTable>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) has_directory: Cell<bool>,
    /// Whether the store answered the latest call that ended, of this daemon or of the watcher that
    /// it follows.
    is_store_answering: Cell<bool>,
    /// The highest era that the store or a watcher has named.
    store_era: watch::Sender<u64>,
    /// Changes of the store's objects for daemons that do not watch it.
    pub(crate) relay: Arc<Relay>,
    /// Connections to the watchers that this daemon follows.
    watchers: RefCell<HashMap<SocketAddr, PeerServiceClient>>,
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
    started_at: Time,
    snapshot: watch::Sender<Arc<RoutingSnapshot>>,
}

impl Control {
    /// Publishes a new snapshot to the traffic thread.
    pub(crate) fn publish(&self) {
        let snapshot = RoutingSnapshot {
            table: self.table.borrow().table().cloned(),
            has_directory: self.has_directory.get(),
            services: self.directory.borrow().by_service(),
        };
        let is_current = self.is_store_reachable();
        self.published.put(&self.table.borrow(), &self.directory.borrow(), is_current);
        self.snapshot.send_replace(Arc::new(snapshot));
    }

    /// The current snapshot.
    pub(crate) fn snapshot(&self) -> Arc<RoutingSnapshot> {
        Arc::clone(&self.snapshot.borrow())
    }

    /// Handles the table that the store had in `era`.
    pub(crate) fn receive_stored_table(&self, era: u64, table: Table) {
        let version = table.version;
        let (before, was_lost) = {
            let active = self.table.borrow();
            (active.version(), active.lost_since().is_some())
        };
        let outcome = self.table.borrow_mut().receive_stored(Clock.now(), era, table);
        if outcome == TableOutcome::Activated {
            self.on_table_activated(before, "store");
        }
        let is_lost = self.table.borrow().lost_since().is_some();
        if is_lost && !was_lost {
            tracing::warn!(
                version,
                active = before,
                era,
                "the restored store has an older table; the active one stays until it is written again"
            );
            self.publish();
        }
        if was_lost && !is_lost {
            tracing::info!(version, active = before, era, "the store has the active table again");
            self.publish();
        }
    }

    /// Handles the active table of a peer, which the store had in `era` and has lost for
    /// `lost_for`.
    pub(crate) fn receive_peer_table(&self, era: u64, lost_for: Duration, table: Table) {
        let before = self.table.borrow().version();
        let mut active = self.table.borrow_mut();
        let outcome = active.receive_from_peer(Clock.now(), era, lost_for, table);
        drop(active);
        if outcome == TableOutcome::Activated {
            self.on_table_activated(before, "peer");
        }
    }

    /// Gives up a table that the store has lost for too long.
    fn tick_table(&self, now: Time) {
        let before = self.table.borrow().version();
        if self.table.borrow_mut().tick(now, self.store_era()) {
            tracing::warn!(
                before,
                "the active table was not written again after the store was restored"
            );
            self.on_table_activated(before, "store");
        }
    }

    fn on_table_activated(&self, before: u64, source: &str) {
        let Some(table) = self.table.borrow().table().cloned() else {
            return;
        };
        tracing::info!(
            version = table.version,
            before,
            era = self.table.borrow().era(),
            routes = table.routes.len(),
            workspaces = table.workspaces.as_ref().map(|w| w.len()),
            source,
            "table activated"
        );
        log_rejected(&table);
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

    /// Publishes how long ago the table and the directory were last known to be complete.
    fn record_ages(&self, now: Time) {
        let gauges = [
            (RelayedKind::Table, &self.metrics.table_age_ms),
            (RelayedKind::Instances, &self.metrics.directory_age_ms),
        ];
        for (kind, gauge) in gauges {
            let Some(complete_until) = self.relay.complete_until(kind) else {
                continue;
            };
            let age_ms = now.since(complete_until).as_millis();
            gauge.store(u64::try_from(age_ms).unwrap_or(u64::MAX), Ordering::Relaxed);
        }
    }

    /// Records the era of an answer of the store, or of a watcher.
    pub(crate) fn record_era(&self, era: u64, source: &str) {
        let before = self.store_era();
        if era > before {
            self.store_era.send_replace(era);
            tracing::info!(era, before, source, "the store is in a later era");
        }
    }

    /// The highest era that an answer has named.
    pub(crate) fn store_era(&self) -> u64 {
        *self.store_era.borrow()
    }

    /// Waits until an answer has named a later era than `era`.
    pub(crate) async fn wait_for_era_after(&self, era: u64) {
        let mut eras = self.store_era.subscribe();
        // The sender lives as long as this value, so that waiting cannot fail.
        let _ = eras.wait_for(|latest| *latest > era).await;
    }

    /// A time before which the store had accepted no change of the directory that this daemon lacks.
    pub(crate) fn unseen_since(&self) -> Time {
        let known = self.relay.unseen_since(RelayedKind::Instances);
        // Without a proof, whatever is heard may be as old as the limit that rests on it.
        known.unwrap_or(self.started_at - self.settings.instance_drain_limit)
    }

    /// Records whether a watcher of the store provided its changes.
    pub(crate) fn record_source(&self, failure: Option<WatcherFailure>) {
        let was_reachable = self.is_store_answering.replace(failure.is_none());
        if was_reachable != failure.is_none() {
            tracing::info!(?failure, "whether a watcher of the store provides changes has changed");
        }
    }

    /// Requests the changes since a revision from a daemon that watches the store.
    pub(crate) async fn request_changes(
        &self,
        peer: SocketAddr,
        kind: RelayedKind,
        revision: Option<Revision>,
    ) -> Result<RelayReply, PeerError> {
        let revision = revision.unwrap_or_default().into();
        self.call_watcher(peer, WATCHER_TIMEOUT, async move |client| {
            client.changes(context::current(), kind, revision).await
        })
        .await
    }

    /// Requests the changes since a revision that another daemon knows at present.
    pub(crate) async fn request_check(
        &self,
        peer: SocketAddr,
        kind: RelayedKind,
        revision: Revision,
    ) -> Result<RelayReply, PeerError> {
        let revision = revision.into();
        self.call_watcher(peer, CHECK_TIMEOUT, async move |client| {
            client.check(context::current(), kind, revision).await
        })
        .await
    }

    /// Calls another daemon on a connection that is kept open.
    async fn call_watcher(
        &self,
        peer: SocketAddr,
        limit: Duration,
        call: impl AsyncFnOnce(PeerServiceClient) -> Result<RelayReply, RpcError>,
    ) -> Result<RelayReply, PeerError> {
        let calling = async {
            let known = self.watchers.borrow().get(&peer).cloned();
            let client = match known {
                Some(client) => client,
                None => {
                    let client = connect(&self.metrics, peer).await?;
                    self.watchers.borrow_mut().insert(peer, client.clone());
                    client
                }
            };
            Ok(call(client).await?)
        };
        let answer = tokio::time::timeout(limit, calling).await;
        let answer = answer.unwrap_or(Err(PeerError::TimedOut));
        if answer.is_err() {
            self.watchers.borrow_mut().remove(&peer);
        }
        answer
    }

    /// Whether the store answered the latest call that ended.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.is_store_answering.get()
    }
}

/// Logs the workspaces and keys that a version of the table leaves out.
fn log_rejected(table: &Table) {
    let rejected = table.workspaces.as_ref().map_or(&[][..], |w| w.rejected());
    for problem in rejected.iter().take(MAX_LOGGED_REJECTIONS) {
        tracing::warn!(version = table.version, %problem, count = rejected.len(),
            "a workspace or key of the table is invalid and left out");
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
        store_era: watch::Sender::new(0),
        relay: parts.relay,
        watchers: RefCell::default(),
        published: Arc::default(),
        reachability: parts.reachability,
        peers: parts.peers,
        samples: parts.samples,
        incarnation: rand::random(),
        started_at: Clock.now(),
        snapshot: parts.snapshot,
    });
    if let Err(err) = peers::serve(&control, parts.peer_listener, parts.peer_suspicions) {
        tracing::error!(error = %err, "cannot serve peers");
    }
    ntex::rt::spawn(follow::follow_table(Rc::clone(&control)));
    ntex::rt::spawn(follow::follow_directory(Rc::clone(&control)));
    ntex::rt::spawn(on_demand::check_on_demand(Rc::clone(&control), parts.table_checks));
    ntex::rt::spawn(peers::exchange_with_peers(Rc::clone(&control)));
    ntex::rt::spawn(fleet::keep_record(Rc::clone(&control), parts.fleet));
    promotion::run(control, parts.suspicions).await;
}
