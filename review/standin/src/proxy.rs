//! A proxy on the way to an instance, which can cut the way: open connections are reset and new ones
//! refused.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A proxy in front of one address.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    is_cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    #[must_use]
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (is_cut, open) = (AtomicBool::new(false), Mutex::default());
        let proxy = Arc::new(Self { address, is_cut, open });
        let serving = Arc::clone(&proxy);
        std::thread::spawn(move || serving.serve(listener, target));
        proxy
    }

    /// Cuts the way, or opens it again.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
        if is_cut {
            for stream in self.open.lock().expect("usable").drain(..) {
                // The connection may have ended already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn serve(&self, listener: TcpListener, target: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.is_cut.load(Ordering::Relaxed) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(listening) = &listener else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = listening.set_nonblocking(true);
            let Ok((near, _)) = listening.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = near.set_nonblocking(false);
            if let Ok(far) = TcpStream::connect(target) {
                self.join(&near, &far);
            }
        }
    }

    fn join(&self, near: &TcpStream, far: &TcpStream) {
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        for (from, to) in [(near, far), (far, near)] {
            let (Ok(from), Ok(to), Ok(kept)) = (from.try_clone(), to.try_clone(), from.try_clone())
            else {
                return;
            };
            self.open.lock().expect("usable").push(kept);
            std::thread::spawn(move || copy(from, to));
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 << 10];
    while let Ok(count) = from.read(&mut buf) {
        if count == 0 || to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
