//! One instance: serves lines of words from a group's state.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

use crate::seam::group::{Group, Seen};

/// Statements running at once, counted.
#[derive(Debug, Default)]
struct Slots {
    busy: Mutex<usize>,
    freed: Condvar,
}

#[derive(Debug, Default)]
struct Shared {
    slots: Slots,
    connections: AtomicUsize,
    opened: AtomicUsize,
    loses_answers: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// The server of one instance.
#[derive(Clone, Debug)]
pub struct InstanceServer {
    /// Where it listens.
    pub address: SocketAddr,
    group: Arc<Group>,
    copy: usize,
    shared: Arc<Shared>,
}

impl InstanceServer {
    /// Starts the server on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(group: Arc<Group>, copy: usize, id: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = Self { address, group, copy, shared: Arc::default() };
        let accepting = server.clone();
        let id = id.to_owned();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.group.is_up(copy) {
                    continue;
                }
                let (server, id) = (accepting.clone(), id.clone());
                std::thread::spawn(move || server.serve(stream, &id));
            }
        });
        Ok(server)
    }

    /// Ends the process: connections break, and new ones are closed at once.
    pub fn crash(&self) {
        self.group.set_up(self.copy, false);
        let mut streams = self.shared.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            // A stream that has ended already needs no shutdown.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the process again with its log.
    pub fn restart(&self) {
        self.group.set_up(self.copy, true);
    }

    /// Runs requests and loses their answers while it is on.
    pub fn lose_answers(&self, on: bool) {
        self.shared.loses_answers.store(on, Ordering::Relaxed);
    }

    /// Connections that stand now.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Connections ever opened.
    #[must_use]
    pub fn opened(&self) -> usize {
        self.shared.opened.load(Ordering::Relaxed)
    }

    fn serve(&self, stream: TcpStream, id: &str) {
        let count = self.shared.connections.fetch_add(1, Ordering::Relaxed);
        self.shared.opened.fetch_add(1, Ordering::Relaxed);
        // A connection that breaks ends its session; nothing else depends on it.
        let _ = self.session(&stream, id, count);
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn session(&self, stream: &TcpStream, id: &str, count: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if let Ok(clone) = stream.try_clone() {
            let mut streams = self.shared.streams.lock().unwrap_or_else(PoisonError::into_inner);
            // Streams that have ended would otherwise hold their descriptors for the whole run.
            streams.retain(|stream| stream.peer_addr().is_ok());
            streams.push(clone);
        }
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let mut out = stream.try_clone()?;
        let Some(first) = lines.next().transpose()? else {
            return Ok(());
        };
        let words: Vec<&str> = first.split(' ').collect();
        let is_right = words.len() >= 3
            && words[0] == "STARTUP"
            && words[1] == self.group.name
            && words.get(3).is_none_or(|expected| *expected == id);
        if !is_right {
            return write!(out, "ERROR MISROUTED {id}\r\n");
        }
        if count >= self.group.work.connections {
            return write!(out, "ERROR TOOMANY {id}\r\n");
        }
        let mut session = Session::new(self, id);
        write!(out, "{}", session.ready())?;
        for line in lines {
            let answer = session.line(line?.trim_end_matches('\r'));
            if self.shared.loses_answers.load(Ordering::Relaxed) && session.ran {
                return Ok(());
            }
            out.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn occupy<T>(&self, run: impl FnOnce() -> T) -> T {
        let slots = &self.shared.slots;
        let mut busy = slots.busy.lock().unwrap_or_else(PoisonError::into_inner);
        while *busy >= self.group.work.slots {
            busy = slots.freed.wait(busy).unwrap_or_else(PoisonError::into_inner);
        }
        *busy += 1;
        drop(busy);
        std::thread::sleep(self.group.work.statement);
        let result = run();
        *slots.busy.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        slots.freed.notify_one();
        result
    }
}

struct Tx {
    is_read_only: bool,
    term: u64,
    writes: Vec<(String, String, String)>,
    has_failed: bool,
    /// The callers whose requests ran in it; more than one mixes transactions.
    tag: Option<String>,
}

struct Session<'a> {
    server: &'a InstanceServer,
    id: String,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
    tx: Option<Tx>,
    ran: bool,
    signatures: u64,
}

type Answered = Result<(Vec<String>, Option<String>), (&'static str, String)>;

impl<'a> Session<'a> {
    fn new(server: &'a InstanceServer, id: &str) -> Self {
        Self {
            server,
            id: id.to_owned(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            tx: None,
            ran: false,
            signatures: 0,
        }
    }

    fn seen(&self) -> Seen {
        self.server.group.seen(self.server.copy)
    }

    fn ready(&self) -> String {
        let seen = self.seen();
        let state = match &self.tx {
            None => "I",
            Some(tx) if tx.has_failed => "E",
            Some(_) => "T",
        };
        format!("READY {state} {}.{}\r\n", seen.term, seen.applied)
    }

    fn line(&mut self, line: &str) -> String {
        self.ran = false;
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|l| l.split_once(' ')) else {
            return String::new();
        };
        let answered = self.statement(id, text);
        let mut out = String::new();
        match answered {
            Ok((rows, signature)) => {
                for row in rows {
                    out.push_str(&format!("ROW {row}\r\n"));
                }
                out.push_str(&format!("COMPLETE {}\r\n", signature.as_deref().unwrap_or("-")));
            }
            Err((code, detail)) => {
                if let Some(tx) = &mut self.tx {
                    tx.has_failed = true;
                }
                out.push_str(&format!("ERROR {code} {detail}\r\n"));
            }
        }
        out.push_str(&self.ready());
        out
    }

    fn statement(&mut self, id: &str, text: &str) -> Answered {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
            Some((position, rest)) => (Some(position), rest),
            None => (None, text),
        };
        if let Some(position) = after {
            let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
            let (term, number): (u64, usize) =
                (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            let seen = self.seen();
            if seen.applied < number || term > seen.term {
                return Err(("LAGGING", self.id.clone()));
            }
        }
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        if self.tx.as_ref().is_some_and(|tx| tx.has_failed) && words[0] != "ROLLBACK" {
            return Err(("MALFORMED", "the transaction failed".to_owned()));
        }
        match (words[0], &words[1..]) {
            ("BEGIN", rest) => self.begin(!rest.is_empty()),
            ("ROLLBACK", _) => {
                self.tx = None;
                Ok((Vec::new(), None))
            }
            ("COMMIT", _) => self.commit(),
            ("READ", [item]) => self.read(id, item),
            ("WRITE", [item, data]) => self.write(id, item, data),
            ("SET", [name, value]) => {
                self.values.insert((*name).to_owned(), (*value).to_owned());
                Ok((Vec::new(), None))
            }
            ("RESET", _) => {
                self.values.clear();
                self.prepared.clear();
                Ok((Vec::new(), None))
            }
            ("PREPARE", [name, rest]) => {
                let (access, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                let prepared = (access == "WRITE", shape.to_owned());
                self.prepared.insert((*name).to_owned(), prepared);
                Ok((Vec::new(), None))
            }
            ("EXECUTE", [name, arguments]) => {
                let Some((writes, _)) = self.prepared.get(*name).cloned() else {
                    return Err(("NOSTMT", (*name).to_owned()));
                };
                match arguments.split_once(' ') {
                    Some((item, data)) if writes => self.write(id, item, data),
                    _ => self.read(id, arguments),
                }
            }
            ("STATUS", _) => Ok((vec![self.status()], None)),
            ("PAUSE", _) => {
                self.server.group.set_deaf(self.server.copy, true);
                Ok((vec![self.status()], None))
            }
            ("RESUME", _) => {
                self.server.group.set_deaf(self.server.copy, false);
                Ok((vec![self.status()], None))
            }
            _ => Err(("MALFORMED", text.to_owned())),
        }
    }

    fn status(&self) -> String {
        let seen = self.seen();
        let role = if seen.leads { "primary" } else { "replica" };
        let connections = self.server.connections();
        format!("{role} {0} {0}.{1} {0} 0 0 {connections}", seen.term, seen.received)
    }

    fn begin(&mut self, is_read_only: bool) -> Answered {
        let seen = self.seen();
        if !is_read_only && !seen.leads {
            return Err(("READONLY", self.id.clone()));
        }
        let tx =
            Tx { is_read_only, term: seen.term, writes: Vec::new(), has_failed: false, tag: None };
        self.tx = Some(tx);
        Ok((Vec::new(), None))
    }

    /// Whether a plain transaction's instance has lost the lead.
    fn has_lost_the_lead(&self) -> bool {
        let seen = self.seen();
        let Some(tx) = &self.tx else {
            return false;
        };
        !tx.is_read_only && (!seen.leads || seen.term != tx.term)
    }

    /// A request's id names its session before a colon, so that mixed sessions are seen.
    fn note_session(&mut self, id: &str) {
        let tag = id.split(':').next().unwrap_or_default().to_owned();
        let wanted = self.values.get("who").cloned();
        if wanted.as_ref().is_some_and(|who| *who != tag) {
            let violation = format!("request {id} ran with the values of {wanted:?}");
            self.server.group.violation(violation);
        }
        let Some(tx) = &mut self.tx else {
            return;
        };
        if tx.tag.get_or_insert_with(|| tag.clone()) != &tag {
            let violation = format!("request {id} ran in a transaction of {:?}", tx.tag);
            self.server.group.violation(violation);
        }
    }

    fn sign(&mut self) -> Option<String> {
        self.ran = true;
        self.signatures += 1;
        Some(format!("{}.{}", self.id, self.signatures))
    }

    fn read(&mut self, id: &str, item: &str) -> Answered {
        if self.has_lost_the_lead() {
            return Err(("READONLY", self.id.clone()));
        }
        self.note_session(id);
        let server = self.server;
        let own = self.tx.as_ref().and_then(|tx| {
            tx.writes.iter().rev().find(|(_, i, _)| i == item).map(|(_, _, data)| data.clone())
        });
        let must_lead = self.tx.as_ref().filter(|tx| !tx.is_read_only).map(|tx| tx.term);
        let read = server.occupy(|| server.group.read(server.copy, must_lead, item));
        let Some(value) = read else {
            return Err(("READONLY", self.id.clone()));
        };
        Ok((vec![own.unwrap_or(value)], self.sign()))
    }

    fn write(&mut self, id: &str, item: &str, data: &str) -> Answered {
        let seen = self.seen();
        if !seen.leads || self.has_lost_the_lead() {
            return Err(("READONLY", self.id.clone()));
        }
        self.note_session(id);
        let write = (id.to_owned(), item.to_owned(), data.to_owned());
        if let Some(tx) = &mut self.tx {
            if tx.is_read_only {
                return Err(("READONLY", self.id.clone()));
            }
            tx.writes.push(write);
            return Ok((Vec::new(), self.sign()));
        }
        let server = self.server;
        let done = server
            .occupy(|| server.group.commit(server.copy, seen.term, std::slice::from_ref(&write)));
        if done { Ok((Vec::new(), self.sign())) } else { Err(("READONLY", self.id.clone())) }
    }

    fn commit(&mut self) -> Answered {
        let Some(tx) = self.tx.take() else {
            return Err(("MALFORMED", "no transaction is open".to_owned()));
        };
        if tx.writes.is_empty() {
            return Ok((Vec::new(), self.sign()));
        }
        let server = self.server;
        let done = server.occupy(|| server.group.commit(server.copy, tx.term, &tx.writes));
        if done { Ok((Vec::new(), self.sign())) } else { Err(("READONLY", self.id.clone())) }
    }
}
