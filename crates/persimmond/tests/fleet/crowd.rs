//! Clients that do not keep to the protocol's customs, driven by one thread, and what a daemon's
//! process occupies meanwhile.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{Daemon, LineClient};

use crate::fleet::holds_within;

/// The crowd is still when none of its members could send for this long.
const STILL: Duration = Duration::from_millis(1_500);

/// How long a crowd is driven at most.
const MAX_DRIVE: Duration = Duration::from_secs(40);

/// How long an ordinary caller may try until it is served.
const SERVED_WITHIN: Duration = Duration::from_secs(30);

/// Pause between rounds in which nobody could send.
const ROUND_PAUSE: Duration = Duration::from_millis(5);

/// How the members of a crowd treat what they send and receive.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Most bytes that a member sends in one round.
    pub piece: usize,
    /// Most bytes that a member reads in one round.
    pub reads: usize,
    /// Pause after each round.
    pub pause: Duration,
}

impl Default for Manner {
    fn default() -> Self {
        Self { piece: usize::MAX, reads: 0, pause: Duration::ZERO }
    }
}

struct Member {
    stream: TcpStream,
    payload: Arc<[u8]>,
    sent: usize,
    is_open: bool,
}

impl Member {
    /// Sends a piece and reads a piece; returns whether anything was sent.
    fn step(&mut self, manner: Manner) -> bool {
        if !self.is_open {
            return false;
        }
        let mut buf = vec![0; manner.reads];
        if manner.reads > 0 && matches!(self.stream.read(&mut buf), Ok(0)) {
            self.is_open = false;
            return false;
        }
        let end = self.sent.saturating_add(manner.piece).min(self.payload.len());
        if self.sent == end {
            return false;
        }
        match self.stream.write(&self.payload[self.sent..end]) {
            Ok(count) => {
                self.sent += count;
                count > 0
            }
            Err(err) if err.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.is_open = false;
                false
            }
        }
    }
}

/// Clients that are driven together.
pub struct Crowd {
    members: Vec<Member>,
    /// Most descriptors that the daemon had open while the crowd was driven.
    pub peak_descriptors: usize,
}

impl Crowd {
    /// Connects a client for each of `payloads`, which it will send.
    pub fn connect(address: SocketAddr, payloads: &[Arc<[u8]>]) -> Self {
        let connect = |payload: &Arc<[u8]>| {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(Member { stream, payload: Arc::clone(payload), sent: 0, is_open: true })
        };
        Self { members: payloads.iter().filter_map(connect).collect(), peak_descriptors: 0 }
    }

    /// Lets the members send until each has sent everything, is closed, or can send nothing more.
    pub fn drive(&mut self, daemon: &Daemon, manner: Manner) {
        let began = Instant::now();
        let mut progressed_at = began;
        while progressed_at.elapsed() < STILL && began.elapsed() < MAX_DRIVE {
            let mut has_progressed = false;
            for member in &mut self.members {
                has_progressed |= member.step(manner);
            }
            self.peak_descriptors = self.peak_descriptors.max(descriptors(daemon));
            if has_progressed {
                progressed_at = Instant::now();
            }
            let pause = if has_progressed { manner.pause } else { ROUND_PAUSE };
            std::thread::sleep(pause);
        }
    }
}

/// The number of descriptors that a daemon has open.
pub fn descriptors(daemon: &Daemon) -> usize {
    let open = std::fs::read_dir(format!("/proc/{}/fd", daemon.id()));
    open.expect("the process runs").count()
}

/// A field of a daemon's status in kilobytes, such as `VmHWM`, its largest memory until now.
pub fn memory_kb(daemon: &Daemon, field: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.id()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with(field)).expect("the field exists");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Whether an ordinary caller is served after a number of tries.
pub fn serves(daemon: &Daemon, database: &str) -> bool {
    holds_within(SERVED_WITHIN, || {
        let client = LineClient::open(daemon.addresses.clients, database, "ordinary");
        client.is_ok_and(|mut client| {
            client.query("READ ordinary").is_ok_and(|response| response.result.is_ok())
        })
    })
}
