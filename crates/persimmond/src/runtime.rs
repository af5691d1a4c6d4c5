//! Starts the daemon's threads and listeners, and shuts them down gracefully.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::rt::{DefaultRuntime, System};
use ntex::time::{Millis, sleep};
use persimmon_kernel::Event;
use persimmon_types::{Clock, DaemonId};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::cancel::CancelRegistry;
use crate::control::{self, Links};
use crate::counters::Counters;
use crate::journal::Journal;
use crate::settings::Settings;
use crate::snapshot::Snapshots;
use crate::traffic::TrafficContext;
use crate::{admin, traffic};

/// How often a graceful shutdown looks whether every caller has left.
const DRAIN_POLL: Millis = Millis(20);

/// The first line that the daemon prints: where it listens.
#[derive(Debug, Serialize)]
struct Listening<'a> {
    event: &'a str,
    name: &'a str,
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
}

/// Runs the daemon until a signal has ended it.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a thread not started.
pub fn run(settings: Settings) -> io::Result<()> {
    let callers = TcpListener::bind(settings.callers)?;
    let admin_listener = TcpListener::bind(settings.admin)?;
    let peers = TcpListener::bind(settings.peers)?;
    print_listening(&settings, &callers, &admin_listener, &peers)?;

    let (tx, rx) = mpsc::unbounded_channel();
    let me = DaemonId::new(&settings.name);
    let links = Links {
        settings: Arc::new(settings),
        snapshots: Arc::new(Snapshots::new()),
        journal: Arc::new(Journal::new(me)),
        counters: Arc::new(Counters::default()),
        events: tx,
    };
    control::start(links.clone(), rx, peers)?;
    let system = System::new("persimmond", DefaultRuntime);
    system.block_on(serve(links, callers, admin_listener))
}

fn print_listening(
    settings: &Settings,
    callers: &TcpListener,
    admin: &TcpListener,
    peers: &TcpListener,
) -> io::Result<()> {
    let listening = Listening {
        event: "listening",
        name: &settings.name,
        callers: callers.local_addr()?,
        admin: admin.local_addr()?,
        peers: peers.local_addr()?,
    };
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, &listening)?;
    writeln!(out)?;
    out.flush()
}

async fn serve(links: Links, callers: TcpListener, admin_listener: TcpListener) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let context = TrafficContext {
        control: links.clone(),
        cancel_registry: Arc::new(CancelRegistry::default()),
    };
    let server = traffic::serve(context, callers)?;
    let admin_server = admin::serve(links.clone(), admin_listener)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    // From here on further signals change nothing: the streams stay registered and unread.
    drain(&links, &server).await;
    server.stop(true).await;
    admin_server.stop(false).await;
    drop((terminate, interrupt));
    Ok(())
}

async fn drain(links: &Links, server: &ntex::server::Server) {
    tracing::info!("draining");
    // The control thread is gone only when the process ends.
    let _ = links.events.send(Event::Drain);
    let began = Clock.now();
    sleep(millis(links.settings.drain_delay)).await;
    server.pause().await;
    while Clock.now().since(began) < links.settings.drain_limit {
        let accepted = links.counters.callers_accepted.load(Ordering::Relaxed);
        let ended = links.counters.callers_ended.load(Ordering::Relaxed);
        if ended >= accepted {
            break;
        }
        sleep(DRAIN_POLL).await;
    }
    tracing::info!("drained");
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}
