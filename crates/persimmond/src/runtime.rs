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
use crate::control::{self, ControlHandles};
use crate::counters::Counters;
use crate::journal::Journal;
use crate::settings::Settings;
use crate::snapshot::Snapshots;
use crate::traffic::TrafficContext;
use crate::{admin, traffic};

/// How often a graceful shutdown checks whether every client has disconnected.
const DRAIN_POLL: Millis = Millis(20);

/// The first line that the daemon prints on standard output: its listening addresses.
#[derive(Debug, Serialize)]
struct Listening<'a> {
    event: &'a str,
    name: &'a str,
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
}

/// Runs the daemon until SIGTERM or SIGINT has shut it down.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a thread cannot be started.
pub fn run(settings: Settings) -> io::Result<()> {
    let client_listener = TcpListener::bind(settings.clients)?;
    let admin_listener = TcpListener::bind(settings.admin)?;
    let peer_listener = TcpListener::bind(settings.peers)?;
    print_listening(&settings, &client_listener, &admin_listener, &peer_listener)?;

    let (tx, rx) = mpsc::unbounded_channel();
    let own_id = DaemonId::new(&settings.name);
    let handles = ControlHandles {
        settings: Arc::new(settings),
        snapshots: Arc::new(Snapshots::new()),
        journal: Arc::new(Journal::new(own_id)),
        counters: Arc::new(Counters::default()),
        events: tx,
    };
    control::start(handles.clone(), rx, peer_listener)?;
    let system = System::new("persimmond", DefaultRuntime);
    system.block_on(serve(handles, client_listener, admin_listener))
}

fn print_listening(
    settings: &Settings,
    client_listener: &TcpListener,
    admin: &TcpListener,
    peers: &TcpListener,
) -> io::Result<()> {
    let listening = Listening {
        event: "listening",
        name: &settings.name,
        callers: client_listener.local_addr()?,
        admin: admin.local_addr()?,
        peers: peers.local_addr()?,
    };
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, &listening)?;
    writeln!(out)?;
    out.flush()
}

async fn serve(
    handles: ControlHandles,
    client_listener: TcpListener,
    admin_listener: TcpListener,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let context = TrafficContext {
        control: handles.clone(),
        cancel_registry: Arc::new(CancelRegistry::default()),
    };
    traffic::serve(&context, &client_listener)?;
    let admin_server = admin::serve(handles.clone(), admin_listener)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    // Further signals have no effect: their streams stay registered and are not read.
    drain(&handles).await;
    admin_server.stop(false).await;
    drop((terminate, interrupt));
    Ok(())
}

async fn drain(handles: &ControlHandles) {
    tracing::info!("the daemon is draining");
    // The control thread lives as long as the process, so a failed send needs no handling.
    let _ = handles.events.send(Event::Drain);
    let started = Clock.now();
    sleep(millis(handles.settings.drain_delay)).await;
    while Clock.now().since(started) < handles.settings.drain_limit {
        let accepted = handles.counters.callers_accepted.load(Ordering::Relaxed);
        let ended = handles.counters.callers_ended.load(Ordering::Relaxed);
        if ended >= accepted {
            break;
        }
        sleep(DRAIN_POLL).await;
    }
    tracing::info!("the daemon has drained");
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}
