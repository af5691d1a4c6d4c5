//! The server of one instance, which speaks the line protocol.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::group::{Group, Outcome};

/// How long a statement works in a slot, and how many slots there are.
const WORK: Duration = Duration::from_millis(9);
const HANDSHAKE: Duration = Duration::from_millis(12);
const SLOTS: usize = 5;

/// An instance's server.
pub struct Server {
    group: Arc<Group>,
    index: usize,
    id: String,
    busy: Mutex<usize>,
    freed: Condvar,
    open: AtomicUsize,
}

/// Listens on a free port; the instance serves once it has joined its group.
pub fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Adds an instance to the group and serves it.
pub fn start(group: &Arc<Group>, id: &str, zone: &str) -> io::Result<usize> {
    let (listener, address) = listen()?;
    let index = group.add(id, &address.to_string(), zone);
    let server = Arc::new(Server {
        group: Arc::clone(group),
        index,
        id: id.to_owned(),
        busy: Mutex::default(),
        freed: Condvar::new(),
        open: AtomicUsize::new(0),
    });
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = Arc::clone(&server);
            std::thread::spawn(move || {
                server.open.fetch_add(1, Ordering::Relaxed);
                // An I/O error only ends this session.
                let _ = server.serve(&stream);
                server.open.fetch_sub(1, Ordering::Relaxed);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    Ok(index)
}

struct Tx {
    is_read_only: bool,
    term: u64,
    writes: Vec<(String, String, String)>,
    has_failed: bool,
}

struct Session {
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
    tx: Option<Tx>,
    signatures: u64,
}

/// The rows and the signature, or the code and text of an error; `None` closes the connection.
type Answered = Option<Result<(Vec<String>, Option<String>), (&'static str, String)>>;

impl Server {
    fn in_slot(&self, work: Duration) {
        let mut busy = self.busy.lock().unwrap_or_else(PoisonError::into_inner);
        while *busy >= SLOTS {
            busy = self.freed.wait(busy).unwrap_or_else(PoisonError::into_inner);
        }
        *busy += 1;
        drop(busy);
        std::thread::sleep(work);
        *self.busy.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        self.freed.notify_one();
    }

    fn is_up(&self) -> bool {
        self.group.lock().members[self.index].is_up
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if !self.group.connect(self.index, stream.try_clone()?) {
            return Ok(());
        }
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let mut out = stream.try_clone()?;
        let Some(first) = lines.next().transpose()? else {
            return Ok(());
        };
        let words: Vec<&str> = first.trim_end().split(' ').collect();
        let is_right = words.len() >= 3
            && words[0] == "STARTUP"
            && words[1] == self.group.name
            && words.get(3).is_none_or(|id| *id == self.id);
        if !is_right {
            return write!(out, "ERROR MISROUTED {}\r\n", self.id);
        }
        self.in_slot(HANDSHAKE);
        let mut session =
            Session { values: BTreeMap::new(), prepared: HashMap::new(), tx: None, signatures: 0 };
        out.write_all(self.ready(&session).as_bytes())?;
        for line in lines {
            let line = line?;
            let line = line.trim_end_matches('\r');
            if !self.is_up() || line == "TERMINATE" {
                return Ok(());
            }
            let Some(text) = self.answer(&mut session, line) else {
                return Ok(());
            };
            out.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn ready(&self, session: &Session) -> String {
        let state = match &session.tx {
            None => "I",
            Some(tx) if tx.has_failed => "E",
            Some(_) => "T",
        };
        format!("READY {state} {}.{}\r\n", self.group.term(), self.group.applied(self.index))
    }

    fn answer(&self, session: &mut Session, line: &str) -> Option<String> {
        let (id, text) = line.strip_prefix("QUERY ")?.split_once(' ')?;
        let mut out = String::new();
        match self.statement(session, id, text)? {
            Ok((rows, signature)) => {
                for row in rows {
                    out.push_str(&format!("ROW {row}\r\n"));
                }
                out.push_str(&format!("COMPLETE {}\r\n", signature.as_deref().unwrap_or("-")));
            }
            Err((code, detail)) => {
                if let Some(tx) = &mut session.tx {
                    tx.has_failed = true;
                }
                out.push_str(&format!("ERROR {code} {detail}\r\n"));
            }
        }
        out.push_str(&self.ready(session));
        Some(out)
    }

    fn sign(&self, session: &mut Session) -> Option<String> {
        session.signatures += 1;
        Some(format!("{}.{}", self.id, session.signatures))
    }

    fn statement(&self, session: &mut Session, id: &str, text: &str) -> Answered {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
            Some((position, rest)) => (Some(position), rest),
            None => (None, text),
        };
        if let Some((term, number)) = after.and_then(|position| position.split_once('.')) {
            let (term, number) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            if self.group.applied(self.index) < number || term > self.group.term() {
                return Some(Err(("LAGGING", self.id.clone())));
            }
        }
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let ends = matches!(words[0], "COMMIT" | "ROLLBACK");
        if session.tx.as_ref().is_some_and(|tx| tx.has_failed) && !ends {
            return Some(Err(("MALFORMED", "the transaction failed".to_owned())));
        }
        let nothing = Some(Ok((Vec::new(), None)));
        match (words[0], &words[1..]) {
            ("BEGIN", rest) => {
                let is_read_only = !rest.is_empty();
                if !is_read_only && !self.group.is_primary(self.index) {
                    return Some(Err(("READONLY", self.id.clone())));
                }
                let term = self.group.term();
                session.tx = Some(Tx { is_read_only, term, writes: Vec::new(), has_failed: false });
                nothing
            }
            ("ROLLBACK", _) => {
                session.tx = None;
                nothing
            }
            ("COMMIT", _) => self.commit(session),
            ("READ", [item]) => self.read(session, item),
            ("WRITE", [item, data]) => self.write(session, id, item, data),
            ("SET", [name, value]) => {
                session.values.insert((*name).to_owned(), (*value).to_owned());
                nothing
            }
            ("RESET", _) => {
                session.values.clear();
                session.prepared.clear();
                nothing
            }
            ("PREPARE", [name, rest]) => {
                let (access, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                session.prepared.insert((*name).to_owned(), (access == "WRITE", shape.to_owned()));
                nothing
            }
            ("DEALLOC", [name]) => {
                session.prepared.remove(*name);
                nothing
            }
            ("EXECUTE", [name, arguments]) => {
                let Some((writes, _)) = session.prepared.get(*name).cloned() else {
                    return Some(Err(("NOSTMT", (*name).to_owned())));
                };
                match arguments.split_once(' ') {
                    Some((item, data)) if writes => self.write(session, id, item, data),
                    _ => self.read(session, arguments),
                }
            }
            ("STATUS", _) => Some(Ok((vec![self.status()], None))),
            ("PAUSE", [term]) => {
                self.group.pause(self.index, term.parse().unwrap_or(0));
                Some(Ok((vec![self.status()], None)))
            }
            ("RESUME", _) => {
                self.group.resume(self.index);
                Some(Ok((vec![self.status()], None)))
            }
            ("DEMOTE", [term]) => {
                self.group.demote(self.index, term.parse().unwrap_or(0));
                Some(Ok((vec![self.status()], None)))
            }
            _ => Some(Err(("MALFORMED", text.to_owned()))),
        }
    }

    fn status(&self) -> String {
        let role = if self.group.is_primary(self.index) { "primary" } else { "replica" };
        let (term, received) = (self.group.term(), self.group.received(self.index));
        let open = self.open.load(Ordering::Relaxed);
        format!("{role} {term} {term}.{received} 0 20 0 {open}")
    }

    /// Whether the instance has lost the primary role since a plain transaction began.
    fn has_lost_lead(&self, session: &Session) -> bool {
        let is_primary = self.group.is_primary(self.index);
        let term = self.group.term();
        session.tx.as_ref().is_some_and(|tx| !tx.is_read_only && (!is_primary || tx.term != term))
    }

    fn read(&self, session: &mut Session, item: &str) -> Answered {
        self.in_slot(WORK);
        if self.has_lost_lead(session) {
            return Some(Err(("READONLY", self.id.clone())));
        }
        let row = self.group.read(self.index, item);
        Some(Ok((vec![row], self.sign(session))))
    }

    fn write(&self, session: &mut Session, id: &str, item: &str, data: &str) -> Answered {
        self.in_slot(WORK);
        if !self.group.is_primary(self.index) || self.has_lost_lead(session) {
            return Some(Err(("READONLY", self.id.clone())));
        }
        if let Some(tx) = &mut session.tx {
            if tx.is_read_only {
                return Some(Err(("READONLY", self.id.clone())));
            }
            tx.writes.push((id.to_owned(), item.to_owned(), data.to_owned()));
            return Some(Ok((Vec::new(), self.sign(session))));
        }
        let term = self.group.term();
        self.outcome(session, self.group.commit(self.index, term, id, item, data))
    }

    fn commit(&self, session: &mut Session) -> Answered {
        let Some(tx) = session.tx.take() else {
            return Some(Err(("MALFORMED", "no transaction is open".to_owned())));
        };
        if tx.has_failed {
            return Some(Err(("ABORTED", self.id.clone())));
        }
        self.in_slot(WORK);
        // The cases write one item a transaction.
        let Some((id, item, data)) = tx.writes.last() else {
            return Some(Ok((Vec::new(), self.sign(session))));
        };
        self.outcome(session, self.group.commit(self.index, tx.term, id, item, data))
    }

    fn outcome(&self, session: &mut Session, outcome: Outcome) -> Answered {
        match outcome {
            Outcome::Committed => Some(Ok((Vec::new(), self.sign(session)))),
            Outcome::NotPrimary => Some(Err(("READONLY", self.id.clone()))),
            Outcome::Unknown => None,
        }
    }
}
