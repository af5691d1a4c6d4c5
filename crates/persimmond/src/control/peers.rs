//! Messages between daemons, over `tarpc`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use persimmon_kernel::{Event, PeerMessage};
use persimmon_types::{DaemonId, Stamp};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context, serde_transport};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;

use crate::control::Links;
use crate::counters::Counters;
use crate::journal::Journal;

/// How long a message may take to be delivered.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest message accepted, in bytes.
const FRAME_LIMIT: usize = 16 << 20;

/// What a daemon offers its peers.
#[tarpc::service]
pub trait PeerService {
    /// Delivers one message.
    async fn deliver(from: DaemonId, stamp: Stamp, message: PeerMessage);
}

#[derive(Clone)]
struct Receiver {
    events: UnboundedSender<Event>,
    journal: Arc<Journal>,
}

impl PeerService for Receiver {
    async fn deliver(
        self,
        _: context::Context,
        from: DaemonId,
        stamp: Stamp,
        message: PeerMessage,
    ) {
        self.journal.receive_stamp(stamp);
        // The control thread is gone only when the process ends.
        let _ = self.events.send(Event::Peer { from, message });
    }
}

/// Serves peers on a listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(links: &Links, listener: StdListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let receiver = Receiver { events: links.events.clone(), journal: Arc::clone(&links.journal) };
    tokio::spawn(async move {
        let incoming = serde_transport::tcp::listen_on(listener, Json::default).await;
        let Ok(mut incoming) = incoming else {
            return;
        };
        incoming.config_mut().max_frame_length(FRAME_LIMIT);
        while let Some(transport) = incoming.next().await {
            let Ok(transport) = transport else {
                continue;
            };
            let requests = BaseChannel::with_defaults(transport).execute(receiver.clone().serve());
            tokio::spawn(requests.for_each(|request| async move {
                tokio::spawn(request);
            }));
        }
    });
    Ok(())
}

/// Sends messages to peers.
pub(crate) struct Peers {
    links: Links,
    me: DaemonId,
    clients: Rc<RefCell<HashMap<DaemonId, (SocketAddr, PeerServiceClient)>>>,
}

impl Peers {
    pub(crate) fn new(links: &Links, me: DaemonId) -> Self {
        Self { links: links.clone(), me, clients: Rc::default() }
    }

    /// Sends a message; a failure becomes an event.
    pub(crate) fn send(&self, to: DaemonId, address: SocketAddr, message: PeerMessage) {
        Counters::add(&self.links.counters.peer_messages);
        let (links, me, clients) = (self.links.clone(), self.me.clone(), Rc::clone(&self.clients));
        ntex::rt::spawn(async move {
            let client = match client_of(&clients, &to, address).await {
                Ok(client) => client,
                Err(_) => {
                    let _ = links.events.send(Event::PeerLost(to));
                    return;
                }
            };
            let stamp = links.journal.send_stamp();
            let mut cx = context::current();
            cx.deadline = Instant::now() + DELIVERY_TIMEOUT;
            if client.deliver(cx, me, stamp, message).await.is_err() {
                clients.borrow_mut().remove(&to);
                let _ = links.events.send(Event::PeerLost(to));
            }
        });
    }
}

type Clients = Rc<RefCell<HashMap<DaemonId, (SocketAddr, PeerServiceClient)>>>;

async fn client_of(
    clients: &Clients,
    to: &DaemonId,
    address: SocketAddr,
) -> io::Result<PeerServiceClient> {
    if let Some((known, client)) = clients.borrow().get(to)
        && *known == address
    {
        return Ok(client.clone());
    }
    let mut connect = serde_transport::tcp::connect(address, Json::default);
    connect.config_mut().max_frame_length(FRAME_LIMIT);
    let transport = tokio::time::timeout(DELIVERY_TIMEOUT, connect).await;
    let transport = transport.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
    clients.borrow_mut().insert(to.clone(), (address, client.clone()));
    Ok(client)
}
