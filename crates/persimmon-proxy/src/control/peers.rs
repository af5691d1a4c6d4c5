//! Exchange of state between daemons, for times when some of them cannot reach the store.
//!
//! A daemon that cannot reach the store asks peers for the table and the directory. It starts with
//! the seeds, and each peer that it contacts names further ones.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use persimmon_interfaces::Revision;
use persimmon_ownership::Member;
use persimmon_types::{Clock, Time};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use tarpc::server::{BaseChannel, Channel};
use tarpc::{context, serde_transport};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::active_table::ActiveTable;
use crate::connection::BackendConnection;
use crate::control::Control;
use crate::directory::{Directory, EntryVersion};
use crate::drain_notices::DrainNotice;
use crate::peer_json::PeerJson;
use crate::peer_list::PeerList;
use crate::peer_service::{
    DaemonState, EntryOrigin, FRAME_LIMIT, Introduction, PeerError, PeerService, SharedSample,
    WireDrainNotice, connect,
};
use crate::reachability::Reachability;
use crate::relay::{Relay, RelayReply, RelayedKind, WireRevision};
use crate::sampling::LatestSamples;
use crate::traffic::Suspicion;
use crate::wire_member::{WireMember, WireMembers};

/// How long a peer may take to answer.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How often peers are asked while the store does not answer: several times within the time limit
/// for a change of the table to become active.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Rounds between two such requests of a daemon that has a table and a directory.
const REFRESH_ROUNDS: u32 = 3;

/// Number of peers asked in one round.
const FETCH_CONCURRENCY: usize = 2;

/// Number of peers polled on whether an instance answers them.
const POLLED_PEERS: usize = 7;

/// Number of daemons that acquire the promotion lock of a service before others do.
const LOCK_CANDIDATES: usize = 3;

/// Timeout of a poll; votes that arrive later are not counted.
const POLL_TIMEOUT: Duration = Duration::from_millis(350);

/// How long an instance may take to accept a connection that probes it for a peer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Capacity of the queue of probes that peers requested.
const PROBE_QUEUE: usize = 16;

/// Number of exchanges without a new member after which the members count as known. Daemons that
/// start together contact the seeds within this many intervals.
const UNCHANGED_EXCHANGES: u32 = 2;

/// Mean interval between exchanges until then.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// How long members are discovered at most: a client that opens a session waits nearly as long.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Rounds of [`FETCH_INTERVAL`] between two exchanges of members.
const EXCHANGE_INTERVAL_ROUNDS: u32 = 30;

/// State of this daemon that is served to peers, shared with the tasks that answer them.
#[derive(Debug, Default)]
pub(crate) struct PublishedState {
    state: Mutex<DaemonState>,
    /// Since when the store has lost the table.
    table_lost_since: Mutex<Option<Time>>,
    drain_notices: Mutex<Vec<DrainNotice>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PublishedState {
    /// Replaces the published state.
    pub(crate) fn put(&self, table: &ActiveTable, directory: &Directory, is_current: bool) {
        let instances = directory.entries();
        *lock(&self.drain_notices) = directory.drain_notices();
        let mut state = lock(&self.state);
        state.table = table.table().map(|t| (**t).clone());
        state.table_era = table.era();
        *lock(&self.table_lost_since) = table.lost_since();
        let origins = instances
            .iter()
            .map(|(v, _)| EntryOrigin { era: v.revision.era, sequence: v.sequence });
        state.origins = origins.collect();
        state.instances = instances.into_iter().map(|(v, i)| (v.revision.number, i)).collect();
        state.is_current = is_current;
    }
}

#[derive(Clone)]
struct PeerServer {
    published: Arc<PublishedState>,
    reachability: Arc<Reachability>,
    peers: Arc<PeerList>,
    samples: Arc<LatestSamples>,
    relay: Arc<Relay>,
    suspicions: mpsc::Sender<Suspicion>,
    probe_requests: mpsc::Sender<ProbeRequest>,
}

/// An instance to probe, and the channel for the result.
type ProbeRequest = (Arc<str>, oneshot::Sender<bool>);

impl PeerService for PeerServer {
    async fn know(
        self,
        cx: context::Context,
        from: WireMember,
        table: u64,
        members: u64,
    ) -> DaemonState {
        let mut state = lock(&self.published.state).clone();
        if let Some(since) = *lock(&self.published.table_lost_since) {
            let lost_for = Clock.now().since(since).as_millis();
            state.table_lost_ms = u64::try_from(lost_for).unwrap_or(u64::MAX);
        }
        state.table = state.table.filter(|t| t.version > table);
        state.introduction = Some(self.meet(cx, from, members).await);
        state
    }

    async fn meet(self, _: context::Context, from: WireMember, members: u64) -> Introduction {
        let is_same = self.peers.fingerprint() == members;
        let known = if is_same { Vec::new() } else { self.peers.members() };
        self.peers.record_alive(&Member::from(from));
        let table = lock(&self.published.state).table.as_ref().map_or(0, |t| t.version);
        let now = Clock.now();
        let announced = lock(&self.published.drain_notices);
        Introduction {
            own: WireMember::from(self.peers.own()),
            members: WireMembers::from(known.as_slice()),
            table,
            drain_notices: announced.iter().map(|a| WireDrainNotice::new(a, now)).collect(),
        }
    }

    async fn changes(
        self,
        _: context::Context,
        kind: RelayedKind,
        revision: WireRevision,
    ) -> RelayReply {
        self.relay.answer(kind, revision).await
    }

    async fn check(
        self,
        _: context::Context,
        kind: RelayedKind,
        revision: WireRevision,
    ) -> RelayReply {
        self.relay.answer_at_once(kind, revision)
    }

    async fn suspect(self, _: context::Context, service: Arc<str>, instance: Arc<str>) {
        tracing::info!(%service, %instance, "a peer suspects a primary");
        let suspicion = Suspicion { service, instance, is_from_peer: true };
        // A full channel already holds suspicions that the control thread has not read.
        let _ = self.suspicions.try_send(suspicion);
    }

    async fn sample(
        self,
        _: context::Context,
        service: Arc<str>,
        max_age_us: u64,
    ) -> Option<SharedSample> {
        self.samples.wait(&service, Duration::from_micros(max_age_us)).await
    }

    async fn reaches(self, _: context::Context, instance: Arc<str>) -> Option<bool> {
        if let Some(answers) = self.reachability.is_answering(&instance, Clock.now()) {
            return Some(answers);
        }
        // Without a recent statement to the instance, the control thread probes it.
        let (tx, rx) = oneshot::channel();
        self.probe_requests.try_send((instance, tx)).ok()?;
        rx.await.ok()
    }
}

/// Serves peers on a listener; their suspicions are sent to `suspicions`.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(
    control: &Rc<Control>,
    listener: StdListener,
    suspicions: mpsc::Sender<Suspicion>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let (probe_requests_tx, probe_requests) = mpsc::channel(PROBE_QUEUE);
    let server = PeerServer {
        published: Arc::clone(&control.published),
        reachability: Arc::clone(&control.reachability),
        peers: Arc::clone(&control.peers),
        samples: Arc::clone(&control.samples),
        relay: Arc::clone(&control.relay),
        suspicions,
        probe_requests: probe_requests_tx,
    };
    ntex::rt::spawn(answer_probes(Rc::clone(control), probe_requests));
    tokio::spawn(async move {
        let incoming = serde_transport::tcp::listen_on(listener, PeerJson::default).await;
        let mut incoming = match incoming {
            Ok(incoming) => incoming,
            Err(err) => {
                tracing::error!(error = %err, "cannot accept connections of peers");
                return;
            }
        };
        incoming.config_mut().max_frame_length(FRAME_LIMIT);
        while let Some(transport) = incoming.next().await {
            let Ok(transport) = transport else {
                continue;
            };
            let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            tokio::spawn(requests.for_each(|request| async move {
                tokio::spawn(request);
            }));
        }
    });
    Ok(())
}

/// Probes instances on behalf of peers.
async fn answer_probes(control: Rc<Control>, mut probe_requests: mpsc::Receiver<ProbeRequest>) {
    while let Some((id, tx)) = probe_requests.recv().await {
        let snapshot = control.snapshot();
        let listed = snapshot.services.values().flatten().find(|e| e.instance.id == id);
        let Some(instance) = listed.map(|e| Arc::clone(&e.instance)) else {
            continue;
        };
        let control = Rc::clone(&control);
        ntex::rt::spawn(async move {
            let opened =
                BackendConnection::open(&control.instance_protocol, &instance, PROBE_TIMEOUT).await;
            let now = Clock.now();
            let answers = opened.as_ref().err().is_none_or(|err| !err.is_broken());
            if answers {
                control.reachability.record_answer(&instance.id, now);
            } else {
                control.reachability.record_failure(&instance.id, now);
            }
            // The peer may have stopped waiting.
            let _ = tx.send(answers);
        });
    }
}

/// Exchanges members, and fetches the state of peers while the store does not answer.
pub(crate) async fn exchange_with_peers(control: Rc<Control>) {
    ntex::rt::spawn(discover_members(Rc::clone(&control)));
    let mut rounds: u32 = 0;
    let mut logged_count = None;
    loop {
        let count = control.peers.daemon_count();
        if count != logged_count {
            logged_count = count;
            tracing::info!(daemons = count, "the number of known daemons changed");
        }
        let is_reachable = control.is_store_reachable() && control.has_directory.get();
        let has_state = control.has_directory.get() && control.table.borrow().table().is_some();
        if !is_reachable && (!has_state || rounds.is_multiple_of(REFRESH_ROUNDS)) {
            fetch_from_peers(&control).await;
        }
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(EXCHANGE_INTERVAL_ROUNDS) {
            exchange_members(&control, false).await;
        }
        tokio::time::sleep(FETCH_INTERVAL).await;
    }
}

/// Exchanges members after the start until an exchange brings no new ones.
async fn discover_members(control: Rc<Control>) {
    let began = Clock.now();
    let mut unchanged = 0;
    while unchanged < UNCHANGED_EXCHANGES && Clock.now().since(began) < DISCOVERY_TIMEOUT {
        if control.peers.all().is_empty() {
            break;
        }
        let before = control.peers.fingerprint();
        let has_answered = exchange_members(&control, true).await;
        let is_unchanged = has_answered && before == control.peers.fingerprint();
        unchanged = if is_unchanged { unchanged + 1 } else { 0 };
        let pause = DISCOVERY_INTERVAL.mul_f64(rand::rng().random_range(0.75..1.25));
        tokio::time::sleep(pause).await;
    }
    control.peers.mark_settled();
    let ms = u64::try_from(Clock.now().since(began).as_millis()).unwrap_or(u64::MAX);
    tracing::info!(daemons = control.peers.daemon_count(), ms, "members were exchanged");
}

/// Exchanges members with one peer. While a daemon starts, seeds are preferred: all daemons contact
/// them first, so they know most. Returns whether the peer answered.
async fn exchange_members(control: &Control, prefers_seed: bool) -> bool {
    let mut rng = rand::rng();
    let seed = control.peers.seeds().choose(&mut rng).copied().filter(|_| prefers_seed);
    let Some(peer) = seed.or_else(|| control.peers.all().choose(&mut rng).copied()) else {
        return false;
    };
    let own = WireMember::from(control.peers.own());
    let requested_at = Clock.now();
    let call = async {
        let client = connect(&control.metrics, peer).await?;
        let members = control.peers.fingerprint();
        Ok::<_, PeerError>(client.meet(context::current(), own, members).await?)
    };
    match tokio::time::timeout(PEER_CALL_TIMEOUT, call).await {
        Ok(Ok(introduction)) => {
            let has_newer_table = is_behind(control, introduction.table);
            merge_introduction(control, introduction, requested_at);
            if has_newer_table {
                fetch_from_peer(control, peer).await;
            }
            true
        }
        Ok(Err(_)) | Err(_) => {
            forget(control, peer);
            false
        }
    }
}

/// Whether a peer's version of the table is newer than that of this daemon, which has one. A store
/// that was restored from a copy lacks what peers received before, and the instances' newer reports
/// too.
fn is_behind(control: &Control, peer_version: u64) -> bool {
    let table = control.table.borrow();
    table.table().is_some() && table.version() < peer_version
}

/// Merges what a peer answered to a call that was sent at `requested_at`.
fn merge_introduction(control: &Control, introduction: Introduction, requested_at: Time) {
    control.peers.record_alive(&Member::from(introduction.own));
    control.peers.merge(&Vec::from(introduction.members));
    let mut changed = false;
    for notice in introduction.drain_notices {
        let notice = notice.received(requested_at);
        changed |= control.directory.borrow_mut().merge_drain_notice(notice);
    }
    if changed {
        control.publish();
    }
}

/// Removes a peer that does not answer.
fn forget(control: &Control, peer: SocketAddr) {
    tracing::debug!(%peer, "peer does not answer");
    control.peers.forget(peer);
}

async fn fetch_from_peers(control: &Control) {
    let mut peers = control.peers.all();
    peers.shuffle(&mut rand::rng());
    let calls = peers.iter().take(FETCH_CONCURRENCY).map(|peer| fetch_state(control, *peer));
    for answer in join_all(calls).await {
        merge_answer(control, answer);
    }
}

async fn fetch_from_peer(control: &Control, peer: SocketAddr) {
    let answer = fetch_state(control, peer).await;
    merge_answer(control, answer);
}

/// What a peer answered to a request for its state.
struct PeerAnswer {
    peer: SocketAddr,
    requested_at: Time,
    result: Result<DaemonState, PeerError>,
}

fn merge_answer(control: &Control, answer: PeerAnswer) {
    let PeerAnswer { peer, requested_at, result } = answer;
    match result {
        Ok(state) => merge_state(control, peer, state, requested_at),
        Err(err) => {
            tracing::debug!(%peer, error = %err, "fetching the state of a peer failed");
            forget(control, peer);
        }
    }
}

async fn fetch_state(control: &Control, peer: SocketAddr) -> PeerAnswer {
    let requested_at = Clock.now();
    let version = control.table.borrow().version();
    let call = async {
        let client = connect(&control.metrics, peer).await?;
        let own = WireMember::from(control.peers.own());
        let members = control.peers.fingerprint();
        Ok(client.know(context::current(), own, version, members).await?)
    };
    let answer = tokio::time::timeout(PEER_CALL_TIMEOUT, call).await;
    PeerAnswer { peer, requested_at, result: answer.unwrap_or(Err(PeerError::TimedOut)) }
}

/// Polls some peers on whether an instance answers them; returns the numbers of negative and
/// positive votes.
pub(crate) async fn poll_peers(control: &Control, instance: &Arc<str>) -> (usize, usize) {
    let mut peers = control.peers.all();
    peers.shuffle(&mut rand::rng());
    let calls = peers.iter().take(POLLED_PEERS).map(|peer| async {
        let call = async {
            let client = connect(&control.metrics, *peer).await?;
            Ok::<_, PeerError>(client.reaches(context::current(), Arc::clone(instance)).await?)
        };
        tokio::time::timeout(POLL_TIMEOUT, call).await.unwrap_or(Err(PeerError::TimedOut))
    });
    let answers = join_all(calls).await;
    let count = |vote| answers.iter().filter(|a| matches!(a, Ok(Some(v)) if *v == vote)).count();
    (count(false), count(true))
}

/// Whether this daemon is one of the first to acquire a service's promotion lock.
pub(crate) fn is_lock_candidate(control: &Control, service: &Arc<str>) -> bool {
    control.peers.top(service, LOCK_CANDIDATES).contains(&control.settings.peers)
}

/// Tells the daemons that may hold a service's promotion lock that statements fail at its primary:
/// the holder may have no client of the service.
pub(crate) fn report_suspicion(control: &Rc<Control>, service: &Arc<str>, instance: &Arc<str>) {
    for peer in control.peers.top(service, LOCK_CANDIDATES) {
        if peer == control.settings.peers {
            continue;
        }
        let (control, service, instance) =
            (Rc::clone(control), Arc::clone(service), Arc::clone(instance));
        ntex::rt::spawn(async move {
            let call = async {
                let client = connect(&control.metrics, peer).await?;
                Ok(client.suspect(context::current(), service, instance).await?)
            };
            let told = tokio::time::timeout(POLL_TIMEOUT, call).await;
            if let Err(err) = told.unwrap_or(Err(PeerError::TimedOut)) {
                tracing::info!(%peer, error = %err, "a suspicion could not be reported");
            }
        });
    }
}

fn merge_state(control: &Control, peer: SocketAddr, state: DaemonState, requested_at: Time) {
    if let Some(introduction) = state.introduction {
        merge_introduction(control, introduction, requested_at);
    }
    if let Some(table) = state.table {
        let lost_for = Duration::from_millis(state.table_lost_ms);
        control.receive_peer_table(state.table_era, lost_for, table);
    }
    if state.instances.is_empty() {
        return;
    }
    let mut changed = false;
    let accepted_after = control.unseen_since();
    let origins = state.origins.into_iter().chain(std::iter::repeat(EntryOrigin::default()));
    for ((number, instance), origin) in state.instances.into_iter().zip(origins) {
        let version = EntryVersion {
            revision: Revision::new(origin.era, number),
            born_ms: instance.born_ms,
            sequence: origin.sequence,
        };
        let mut directory = control.directory.borrow_mut();
        changed |= directory.merge_entry(version, instance, accepted_after);
    }
    let is_first = !control.has_directory.replace(true);
    if changed || is_first {
        tracing::info!(%peer, current = state.is_current, "merged the directory of a peer");
        control.publish();
    }
}
