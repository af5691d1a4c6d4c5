//! Messages between daemons, sent over `tarpc`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use persimmon_kernel::{Event, PeerMessage};
use persimmon_types::{DaemonId, HlcTimestamp};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context, serde_transport};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;

use crate::control::ControlHandles;
use crate::counters::Counters;
use crate::journal::Journal;

/// How long a connection to a peer and the delivery of a message may take, each.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum length of a message accepted from a peer, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// The calls that a daemon serves to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Delivers one message.
    async fn deliver(from: DaemonId, stamp: HlcTimestamp, message: PeerMessage);
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
        stamp: HlcTimestamp,
        message: PeerMessage,
    ) {
        self.journal.receive_stamp(stamp);
        // The control thread lives as long as the process, so a failed send needs no handling.
        let _ = self.events.send(Event::Peer { from, message });
    }
}

/// Serves peers on a listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(handles: &ControlHandles, listener: StdListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let receiver =
        Receiver { events: handles.events.clone(), journal: Arc::clone(&handles.journal) };
    tokio::spawn(async move {
        let incoming = serde_transport::tcp::listen_on(listener, Json::default).await;
        let Ok(mut incoming) = incoming else {
            return;
        };
        incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
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

/// Sends messages to peers over cached connections.
pub(crate) struct Peers {
    handles: ControlHandles,
    own_id: DaemonId,
    clients: Rc<RefCell<HashMap<DaemonId, (SocketAddr, PeerServiceClient)>>>,
}

impl Peers {
    pub(crate) fn new(handles: &ControlHandles, own_id: DaemonId) -> Self {
        Self { handles: handles.clone(), own_id, clients: Rc::default() }
    }

    /// Sends a message; a failure is reported to the kernel as an event.
    pub(crate) fn send(&self, to: DaemonId, address: SocketAddr, message: PeerMessage) {
        Counters::increment(&self.handles.counters.peer_messages);
        let (handles, own_id, clients) =
            (self.handles.clone(), self.own_id.clone(), Rc::clone(&self.clients));
        ntex::rt::spawn(async move {
            let client = match connect_client(&clients, &to, address).await {
                Ok(client) => client,
                Err(_) => {
                    let _ = handles.events.send(Event::PeerUnreachable(to));
                    return;
                }
            };
            let stamp = handles.journal.send_stamp();
            let mut cx = context::current();
            cx.deadline = Instant::now() + DELIVERY_TIMEOUT;
            if client.deliver(cx, own_id, stamp, message).await.is_err() {
                clients.borrow_mut().remove(&to);
                let _ = handles.events.send(Event::PeerUnreachable(to));
            }
        });
    }
}

type PeerClients = Rc<RefCell<HashMap<DaemonId, (SocketAddr, PeerServiceClient)>>>;

async fn connect_client(
    clients: &PeerClients,
    to: &DaemonId,
    address: SocketAddr,
) -> io::Result<PeerServiceClient> {
    if let Some((cached_address, client)) = clients.borrow().get(to)
        && *cached_address == address
    {
        return Ok(client.clone());
    }
    let mut connect = serde_transport::tcp::connect(address, Json::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = tokio::time::timeout(DELIVERY_TIMEOUT, connect).await;
    let transport = transport.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
    clients.borrow_mut().insert(to.clone(), (address, client.clone()));
    Ok(client)
}
