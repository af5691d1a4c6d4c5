//! A TCP proxy that injects faults: it delays, stalls or discards traffic and refuses or closes
//! connections.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a stalled stream checks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The faults that the proxy injects.
#[derive(Debug, Default)]
struct Faults {
    stall_requests: AtomicBool,
    stall_responses: AtomicBool,
    discard_requests: AtomicBool,
    discard_responses: AtomicBool,
    refuse: AtomicBool,
    delay_us: AtomicU64,
    /// Whether `recorded` receives what passes.
    records: AtomicBool,
    recorded: Mutex<Vec<Vec<u8>>>,
}

impl Faults {
    /// Appends a chunk to the record of one direction of a connection.
    fn record(&self, stream: &mut Option<usize>, chunk: &[u8]) {
        if !self.records.load(Ordering::Relaxed) {
            return;
        }
        let mut recorded = self.recorded.lock().unwrap_or_else(PoisonError::into_inner);
        let index = *stream.get_or_insert_with(|| {
            recorded.push(Vec::new());
            recorded.len() - 1
        });
        recorded[index].extend_from_slice(chunk);
    }
}

/// A fault-injecting proxy in front of one address.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    faults: Arc<Faults>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target)
    }

    /// Starts a proxy that listens at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self {
            address: listener.local_addr()?,
            faults: Arc::default(),
            streams: Arc::default(),
        };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                accepting.accept(client, target);
            }
        });
        Ok(proxy)
    }

    fn accept(&self, client: TcpStream, target: SocketAddr) {
        if self.faults.refuse.load(Ordering::Relaxed) {
            return;
        }
        let proxy = self.clone();
        std::thread::spawn(move || {
            let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                return;
            };
            // On an error both streams are dropped, so the peers see a closed connection.
            let _ = proxy.relay(client, server);
        });
    }

    fn relay(&self, client: TcpStream, server: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        {
            let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
            // Closed streams would otherwise keep their file descriptors for the whole run.
            streams.retain(|stream| stream.peer_addr().is_ok());
            streams.push(client.try_clone()?);
            streams.push(server.try_clone()?);
        }
        let (from, to) = (client.try_clone()?, server.try_clone()?);
        let faults = Arc::clone(&self.faults);
        let has_lost_data = Arc::new(AtomicBool::new(false));
        let has_lost_requests = Arc::clone(&has_lost_data);
        std::thread::spawn(move || copy_stream(from, to, &faults, &has_lost_requests, true));
        copy_stream(server, client, &self.faults, &has_lost_data, false);
        Ok(())
    }

    /// Stalls traffic to the server, like a network partition in that direction; no connection is
    /// closed.
    pub fn stall_requests(&self, on: bool) {
        self.faults.stall_requests.store(on, Ordering::Relaxed);
    }

    /// Stalls traffic from the server.
    pub fn stall_responses(&self, on: bool) {
        self.faults.stall_responses.store(on, Ordering::Relaxed);
    }

    /// Stalls traffic in both directions, like a network partition.
    pub fn partition(&self, on: bool) {
        self.stall_requests(on);
        self.stall_responses(on);
    }

    /// While `on`, accepts requests and discards them. A connection that has lost data stays open and
    /// silent, also after the fault has ended.
    pub fn discard_requests(&self, on: bool) {
        self.faults.discard_requests.store(on, Ordering::Relaxed);
    }

    /// The same for responses: the server handles the requests.
    pub fn discard_responses(&self, on: bool) {
        self.faults.discard_responses.store(on, Ordering::Relaxed);
    }

    /// Both, so that calls are accepted and never answered.
    pub fn discard(&self, on: bool) {
        self.discard_requests(on);
        self.discard_responses(on);
    }

    /// While `on`, closes new connections immediately; switching it on closes all open connections.
    pub fn refuse(&self, on: bool) {
        self.faults.refuse.store(on, Ordering::Relaxed);
        if on {
            self.close_connections();
        }
    }

    /// Delays every chunk by `delay`; zero ends the delay.
    pub fn delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.faults.delay_us.store(micros, Ordering::Relaxed);
    }

    /// Records from now on what passes.
    pub fn record(&self) {
        self.faults.records.store(true, Ordering::Relaxed);
    }

    /// What has passed since [`Self::record`], by connection and direction.
    #[must_use]
    pub fn recorded(&self) -> Vec<Vec<u8>> {
        self.faults.recorded.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            // `shutdown` fails if the peer has already disconnected.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn copy_stream(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: &Faults,
    has_lost_data: &AtomicBool,
    is_to_server: bool,
) {
    let mut chunk = vec![0_u8; 64 << 10];
    let (is_stalled, discards) = if is_to_server {
        (&faults.stall_requests, &faults.discard_requests)
    } else {
        (&faults.stall_responses, &faults.discard_responses)
    };
    let mut is_silent = false;
    let mut record = None;
    while let Ok(read) = from.read(&mut chunk) {
        if read == 0 {
            break;
        }
        faults.record(&mut record, &chunk[..read]);
        let delay = faults.delay_us.load(Ordering::Relaxed);
        if delay > 0 {
            std::thread::sleep(Duration::from_micros(delay));
        }
        while is_stalled.load(Ordering::Relaxed) {
            std::thread::sleep(STALL_POLL_INTERVAL);
        }
        if discards.load(Ordering::Relaxed) {
            is_silent = true;
            has_lost_data.store(true, Ordering::Relaxed);
        }
        if is_silent {
            continue;
        }
        if to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    // The client must not notice that the server has given up a connection which lost data.
    let is_lost = has_lost_data.load(Ordering::Relaxed) || discards.load(Ordering::Relaxed);
    if is_lost && !is_to_server {
        return;
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
