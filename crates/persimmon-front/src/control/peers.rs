//! Daemons help each other while the store turns some of them away.
//!
//! A daemon that cannot reach the store asks peers for the table and the directory. It begins with
//! the seeds and learns of others from each peer that it meets.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use persimmon_ports::{Instance, Table};
use persimmon_types::Clock;
use rand::seq::{IndexedRandom, SliceRandom};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tarpc::{context, serde_transport};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::control::Control;
use crate::link::Link;
use crate::peer_list::PeerList;
use crate::peer_service::{FRAME_LIMIT, Known, PeerError, PeerService, SharedSample, connect};
use crate::reach::Reach;
use crate::sampling::SampleBoard;

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
const CANVASS_LIMIT: Duration = Duration::from_millis(350);

/// How long an instance may take to accept a connection that a peer asked for.
const LOOK_LIMIT: Duration = Duration::from_millis(250);

/// Questions of peers that control has not seen yet.
const LOOKS: usize = 16;

/// Rounds of [`ASK_EVERY`] after the start in which a peer is met. Each names all that it knows, so
/// that a few meetings are enough to learn of most others.
const FIRST_MEETINGS: u32 = 6;

/// Rounds between two meetings later on.
const MEET_EVERY_ROUNDS: u32 = 30;

/// What peers may read from another thread's task.
#[derive(Debug, Default)]
pub(crate) struct Shelf {
    known: Mutex<Known>,
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
}

#[derive(Clone)]
struct Answerer {
    shelf: Arc<Shelf>,
    reach: Arc<Reach>,
    peers: Arc<PeerList>,
    samples: Arc<SampleBoard>,
    looks: mpsc::Sender<Look>,
}

/// A question whether an instance answers, and where its answer goes.
type Look = (Arc<str>, oneshot::Sender<bool>);

impl PeerService for Answerer {
    async fn know(self, _: context::Context, from: SocketAddr, table: u64) -> Known {
        let mut known = lock(&self.shelf.known).clone();
        known.table = known.table.filter(|t| t.version > table);
        known.peers = self.peers.all();
        self.peers.note(from);
        known
    }

    async fn meet(self, _: context::Context, from: SocketAddr) -> Vec<SocketAddr> {
        let known = self.peers.all();
        self.peers.note(from);
        known
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
        if let Some(answers) = self.reach.answers(&instance, Clock.now()) {
            return Some(answers);
        }
        // No statement went there lately: control looks for itself.
        let (tx, rx) = oneshot::channel();
        self.looks.try_send((instance, tx)).ok()?;
        rx.await.ok()
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
    let (looks_tx, looks) = mpsc::channel(LOOKS);
    let answerer = Answerer {
        shelf: Arc::clone(&control.shelf),
        reach: Arc::clone(&control.reach),
        peers: Arc::clone(&control.peers),
        samples: Arc::clone(&control.samples),
        looks: looks_tx,
    };
    ntex::rt::spawn(look(Rc::clone(control), looks));
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

/// Looks whether instances answer, for peers that ask.
async fn look(control: Rc<Control>, mut looks: mpsc::Receiver<Look>) {
    while let Some((id, tx)) = looks.recv().await {
        let view = control.view();
        let listed = view.services.values().flatten().find(|l| l.instance.id == id);
        let Some(instance) = listed.map(|l| Arc::clone(&l.instance)) else {
            continue;
        };
        let control = Rc::clone(&control);
        ntex::rt::spawn(async move {
            let opened = Link::open(&control.instances, &instance, LOOK_LIMIT).await;
            let now = Clock.now();
            let answers = opened.as_ref().err().is_none_or(|err| !err.is_broken());
            if answers {
                control.reach.answered(&instance.id, now);
            } else {
                control.reach.failed(&instance.id, now);
            }
            // The peer may have given up waiting.
            let _ = tx.send(answers);
        });
    }
}

/// Meets peers, and asks them for what they know while the store does not answer.
pub(crate) async fn help_each_other(control: Rc<Control>) {
    let mut rounds: u32 = 0;
    loop {
        let is_reachable = control.is_store_reachable() && control.has_directory.get();
        if !is_reachable {
            ask_some(&control).await;
        }
        if rounds < FIRST_MEETINGS || rounds.is_multiple_of(MEET_EVERY_ROUNDS) {
            meet_one(&control).await;
        }
        rounds = rounds.wrapping_add(1);
        if rounds == FIRST_MEETINGS {
            control.peers.settle();
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
}

async fn meet_one(control: &Control) {
    let Some(peer) = control.peers.all().choose(&mut rand::rng()).copied() else {
        return;
    };
    let asking = async {
        let client = connect(&control.metrics, peer).await?;
        Ok::<_, PeerError>(client.meet(context::current(), control.settings.peers).await?)
    };
    match tokio::time::timeout(ANSWER_LIMIT, asking).await {
        Ok(Ok(peers)) => {
            control.peers.note(peer);
            control.peers.learn(&peers);
        }
        Ok(Err(_)) | Err(_) => forget(control, peer),
    }
}

/// Seeds are never forgotten: a daemon that has lost all peers begins with them again.
fn forget(control: &Control, peer: SocketAddr) {
    tracing::debug!(%peer, "a peer does not answer");
    if !control.settings.seeds.contains(&peer) {
        control.peers.forget(peer);
    }
}

async fn ask_some(control: &Control) {
    let mut peers = control.peers.all();
    peers.shuffle(&mut rand::rng());
    let asked = peers.iter().take(ASKED_AT_ONCE).map(|peer| ask(control, *peer));
    for (peer, answer) in join_all(asked).await {
        match answer {
            Ok(known) => take(control, peer, known),
            Err(err) => {
                tracing::debug!(%peer, error = %err, "a peer cannot help");
                forget(control, peer);
            }
        }
    }
}

async fn ask(control: &Control, peer: SocketAddr) -> (SocketAddr, Result<Known, PeerError>) {
    let version = control.table.borrow().as_ref().map_or(0, |t| t.version);
    let asking = async {
        let client = connect(&control.metrics, peer).await?;
        Ok(client.know(context::current(), control.settings.peers, version).await?)
    };
    let answer = tokio::time::timeout(ANSWER_LIMIT, asking).await;
    (peer, answer.unwrap_or(Err(PeerError::TimedOut)))
}

/// Asks some peers whether an instance answers them; returns how many say no, and how many yes.
pub(crate) async fn canvass(control: &Control, instance: &Arc<str>) -> (usize, usize) {
    let mut peers = control.peers.all();
    peers.shuffle(&mut rand::rng());
    let asked = peers.iter().take(CANVASSED).map(|peer| async {
        let asking = async {
            let client = connect(&control.metrics, *peer).await?;
            Ok::<_, PeerError>(client.reaches(context::current(), Arc::clone(instance)).await?)
        };
        tokio::time::timeout(CANVASS_LIMIT, asking).await.unwrap_or(Err(PeerError::TimedOut))
    });
    let answers = join_all(asked).await;
    let count =
        |wanted| answers.iter().filter(|a| matches!(a, Ok(Some(w)) if *w == wanted)).count();
    (count(false), count(true))
}

fn take(control: &Control, peer: SocketAddr, known: Known) {
    control.peers.note(peer);
    control.peers.learn(&known.peers);
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
