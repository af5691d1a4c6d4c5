//! A TCP proxy that delays, withholds, refuses or cuts what passes through it.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a withheld stream looks whether it may go on.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// What the proxy does to everything that passes.
#[derive(Debug, Default)]
struct Faults {
    hold_forward: AtomicBool,
    hold_back: AtomicBool,
    refuse: AtomicBool,
    delay_us: AtomicU64,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where the proxy listens.
    pub address: SocketAddr,
    faults: Arc<Faults>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
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
            // Streams that end early are dropped; the peers see the end.
            let _ = proxy.join(client, server);
        });
    }

    fn join(&self, client: TcpStream, server: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        {
            let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
            // Streams that have ended would otherwise hold their descriptors for the whole run.
            streams.retain(|stream| stream.peer_addr().is_ok());
            streams.push(client.try_clone()?);
            streams.push(server.try_clone()?);
        }
        let (from, to) = (client.try_clone()?, server.try_clone()?);
        let faults = Arc::clone(&self.faults);
        std::thread::spawn(move || pump(from, to, &faults, true));
        pump(server, client, &self.faults, false);
        Ok(())
    }

    /// Withholds what goes to the server, as a cut in that direction would.
    pub fn hold_forward(&self, on: bool) {
        self.faults.hold_forward.store(on, Ordering::Relaxed);
    }

    /// Withholds what comes from the server.
    pub fn hold_back(&self, on: bool) {
        self.faults.hold_back.store(on, Ordering::Relaxed);
    }

    /// Withholds both directions.
    pub fn cut(&self, on: bool) {
        self.hold_forward(on);
        self.hold_back(on);
    }

    /// Breaks every connection, and every new one at once while it is on.
    pub fn refuse(&self, on: bool) {
        self.faults.refuse.store(on, Ordering::Relaxed);
        if on {
            self.break_all();
        }
    }

    /// Delays every chunk.
    pub fn delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.faults.delay_us.store(micros, Ordering::Relaxed);
    }

    /// Breaks every connection that stands.
    pub fn break_all(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            // A stream that has ended already needs no shutdown.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, faults: &Faults, forward: bool) {
    let mut chunk = vec![0_u8; 64 << 10];
    let held = if forward { &faults.hold_forward } else { &faults.hold_back };
    while let Ok(read) = from.read(&mut chunk) {
        if read == 0 {
            break;
        }
        let delay = faults.delay_us.load(Ordering::Relaxed);
        if delay > 0 {
            std::thread::sleep(Duration::from_micros(delay));
        }
        while held.load(Ordering::Relaxed) {
            std::thread::sleep(HOLD_POLL);
        }
        if to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
