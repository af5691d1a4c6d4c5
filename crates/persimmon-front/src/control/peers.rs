//! Daemons help each other while the store turns some of them away.
//!
//! A daemon that cannot reach the store asks peers for the table and the directory; it knows the
//! seeds, and every daemon that has asked it.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use persimmon_ports::{Instance, Table};
use persimmon_types::Clock;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context, serde_transport};
use thiserror::Error;
use tokio::net::TcpListener;

use crate::control::Control;
use crate::metrics::Metrics;
use crate::reach::Reach;

/// How long a peer may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);

/// How often peers are asked while the store does not answer: several times within the time that a
/// change of the table has to come into force.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Peers asked in one round.
const ASKED_AT_ONCE: usize = 2;

/// Peers asked whether an instance answers them.
const CANVASSED: usize = 7;

/// How long they may take; one that is slower is not counted.
const CANVASS_LIMIT: Duration = Duration::from_millis(250);

/// Peers remembered.
const KNOWN_LIMIT: usize = 64;

/// The largest message, in bytes: a table of some thousand routes.
const FRAME_LIMIT: usize = 8 << 20;

/// What a daemon knows, for one that cannot reach the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Known {
    table: Option<Table>,
    /// Each instance with the revision of its entry.
    instances: Vec<(u64, Instance)>,
    peers: Vec<SocketAddr>,
    /// Whether the store answered the daemon lately.
    is_current: bool,
}

#[tarpc::service]
pub(crate) trait PeerService {
    /// Answers with the table if it is newer than the asker's, and with the directory.
    async fn know(from: SocketAddr, table: u64) -> Known;

    /// Answers whether an instance answers this daemon's statements; `None` if it sent none lately.
    async fn reaches(instance: Arc<str>) -> Option<bool>;
}

/// What peers may read from another thread's task.
#[derive(Debug, Default)]
pub(crate) struct Shelf {
    known: Mutex<Known>,
    /// Every peer that was heard of, in the order of its latest sign of life.
    peers: Mutex<Vec<SocketAddr>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shelf {
    /// Lays out what this daemon knows.
    pub(crate) fn put(
        &self,
        table: Option<&Table>,
        instances: Vec<(u64, Instance)>,
        is_current: bool,
    ) {
        let mut known = lock(&self.known);
        known.table = table.cloned();
        known.instances = instances;
        known.is_current = is_current;
    }

    fn note_peer(&self, peer: SocketAddr) {
        let mut peers = lock(&self.peers);
        peers.retain(|p| *p != peer);
        peers.push(peer);
        if peers.len() > KNOWN_LIMIT {
            peers.remove(0);
        }
    }
}

#[derive(Clone)]
struct Answerer {
    shelf: Arc<Shelf>,
    reach: Arc<Reach>,
}

impl PeerService for Answerer {
    async fn know(self, _: context::Context, from: SocketAddr, table: u64) -> Known {
        let mut known = lock(&self.shelf.known).clone();
        known.table = known.table.filter(|t| t.version > table);
        known.peers.clone_from(&lock(&self.shelf.peers));
        self.shelf.note_peer(from);
        known
    }

    async fn reaches(self, _: context::Context, instance: Arc<str>) -> Option<bool> {
        self.reach.answers(&instance, Clock.now())
    }
}

/// Serves peers on a listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(control: &Rc<Control>, listener: StdListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let answerer =
        Answerer { shelf: Arc::clone(&control.shelf), reach: Arc::clone(&control.reach) };
    tokio::spawn(async move {
        let incoming = serde_transport::tcp::listen_on(listener, Json::default).await;
        let mut incoming = match incoming {
            Ok(incoming) => incoming,
            Err(err) => {
                tracing::error!(error = %err, "peers cannot be accepted");
                return;
            }
        };
        incoming.config_mut().max_frame_length(FRAME_LIMIT);
        while let Some(transport) = incoming.next().await {
            let Ok(transport) = transport else {
                continue;
            };
            let requests = BaseChannel::with_defaults(transport).execute(answerer.clone().serve());
            tokio::spawn(requests.for_each(|request| async move {
                tokio::spawn(request);
            }));
        }
    });
    Ok(())
}

/// Makes this daemon known to the seeds, and asks peers while the store does not answer.
pub(crate) async fn help_each_other(control: Rc<Control>) {
    for seed in control.settings.seeds.clone() {
        if seed != control.settings.peers {
            control.shelf.note_peer(seed);
        }
    }
    let mut has_asked = false;
    loop {
        let is_reachable = control.is_store_reachable() && control.has_directory.get();
        if !has_asked || !is_reachable {
            ask_some(&control).await;
            has_asked = true;
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
}

async fn ask_some(control: &Control) {
    let mut peers = lock(&control.shelf.peers).clone();
    peers.retain(|p| *p != control.settings.peers);
    peers.shuffle(&mut rand::rng());
    let asked = peers.iter().take(ASKED_AT_ONCE).map(|peer| ask(control, *peer));
    for (peer, answer) in join_all(asked).await {
        match answer {
            Ok(known) => take(control, peer, known),
            Err(err) => {
                tracing::debug!(%peer, error = %err, "a peer does not answer");
                let mut peers = lock(&control.shelf.peers);
                if !control.settings.seeds.contains(&peer) {
                    peers.retain(|p| *p != peer);
                }
            }
        }
    }
}

async fn client(control: &Control, peer: SocketAddr) -> io::Result<PeerServiceClient> {
    Metrics::add(&control.metrics.peer_calls);
    let mut connecting = serde_transport::tcp::connect(peer, Json::default);
    connecting.config_mut().max_frame_length(FRAME_LIMIT);
    let transport = connecting.await?;
    Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
}

async fn ask(control: &Control, peer: SocketAddr) -> (SocketAddr, Result<Known, PeerError>) {
    let version = control.table.borrow().as_ref().map_or(0, |t| t.version);
    let asking = async {
        let client = client(control, peer).await?;
        Ok(client.know(context::current(), control.settings.peers, version).await?)
    };
    let answer = tokio::time::timeout(ANSWER_LIMIT, asking).await;
    (peer, answer.unwrap_or(Err(PeerError::TimedOut)))
}

/// Asks some peers whether an instance answers them; returns how many say no, and how many yes.
pub(crate) async fn canvass(control: &Control, instance: &Arc<str>) -> (usize, usize) {
    let mut peers = lock(&control.shelf.peers).clone();
    peers.retain(|p| *p != control.settings.peers);
    peers.shuffle(&mut rand::rng());
    let asked = peers.iter().take(CANVASSED).map(|peer| async {
        let asking = async {
            let client = client(control, *peer).await?;
            Ok::<_, PeerError>(client.reaches(context::current(), Arc::clone(instance)).await?)
        };
        tokio::time::timeout(CANVASS_LIMIT, asking).await.unwrap_or(Err(PeerError::TimedOut))
    });
    let answers = join_all(asked).await;
    let count = |wanted| answers.iter().filter(|a| matches!(a, Ok(Some(w)) if *w == wanted)).count();
    (count(false), count(true))
}

fn take(control: &Control, peer: SocketAddr, known: Known) {
    control.shelf.note_peer(peer);
    for other in known.peers {
        if !lock(&control.shelf.peers).contains(&other) {
            lock(&control.shelf.peers).insert(0, other);
        }
    }
    if let Some(table) = known.table {
        control.adopt_table(table, "peer");
    }
    if known.instances.is_empty() {
        return;
    }
    let mut changed = false;
    for (revision, instance) in known.instances {
        changed |= control.directory.borrow_mut().learn(revision, instance);
    }
    let is_first = !control.has_directory.replace(true);
    if changed || is_first {
        tracing::info!(%peer, current = known.is_current, "a peer's directory was taken in");
        control.publish();
    }
}

/// Why a peer gave no answer.
#[derive(Debug, Error)]
enum PeerError {
    #[error("not connected: {0}")]
    Connect(#[from] io::Error),
    #[error("no answer: {0}")]
    Call(#[from] client::RpcError),
    #[error("no answer in time")]
    TimedOut,
}
