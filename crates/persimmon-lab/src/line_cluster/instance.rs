//! The server of one instance: serves the line protocol from a group's state.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::line_cluster::group::{CommitOutcome, Group, InstanceView};

/// Semaphore that limits the number of concurrent statements.
#[derive(Debug, Default)]
struct Slots {
    busy: Mutex<usize>,
    released: Condvar,
}

#[derive(Debug, Default)]
struct ServerState {
    slots: Slots,
    open_connections: AtomicUsize,
    total_connections: AtomicUsize,
    refused_connections: AtomicUsize,
    loses_responses: AtomicBool,
    /// The words of statements that are refused, each with the code of the error.
    refusals: Mutex<HashMap<&'static str, &'static str>>,
    streams: Mutex<Vec<TcpStream>>,
    /// From when on the instance may receive no new work, once it has announced that it leaves.
    drained_at: Mutex<Option<Instant>>,
}

/// The server that plays one instance.
#[derive(Clone, Debug)]
pub struct InstanceServer {
    /// The address on which it listens.
    pub address: SocketAddr,
    group: Arc<Group>,
    index: usize,
    state: Arc<ServerState>,
}

impl InstanceServer {
    /// Starts the server on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(group: Arc<Group>, index: usize, id: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = Self { address, group, index, state: Arc::default() };
        let accepting = server.clone();
        let id = id.to_owned();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.group.is_up(index) {
                    continue;
                }
                let (server, id) = (accepting.clone(), id.clone());
                std::thread::spawn(move || server.serve(stream, &id));
            }
        });
        Ok(server)
    }

    /// Simulates a crash: connections are shut down, and new ones are closed immediately.
    pub fn crash(&self) {
        self.group.set_running(self.index, false);
        let mut streams = self.state.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            // `shutdown` fails if the peer has already disconnected.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends a simulated crash; the instance keeps its log.
    pub fn restart(&self) {
        self.group.set_running(self.index, true);
    }

    /// While `on`, runs requests but closes the connection instead of sending their responses.
    pub fn set_response_loss(&self, on: bool) {
        self.state.loses_responses.store(on, Ordering::Relaxed);
    }

    /// Refuses statements that begin with `word`, with an error of `code`; `None` ends that.
    pub fn set_refusal(&self, word: &'static str, code: Option<&'static str>) {
        let mut refusals = self.state.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        match code {
            Some(code) => refusals.insert(word, code),
            None => refusals.remove(word),
        };
    }

    fn refusal(&self, word: &str) -> Option<&'static str> {
        self.state.refusals.lock().unwrap_or_else(PoisonError::into_inner).get(word).copied()
    }

    /// Records that the instance leaves and receives no new work after `drain_limit`; `None` if it
    /// stays.
    pub(crate) fn set_draining(&self, drain_limit: Option<Duration>) {
        let mut drained_at = self.state.drained_at.lock().unwrap_or_else(PoisonError::into_inner);
        *drained_at = drain_limit.map(|limit| drained_at.unwrap_or_else(|| Instant::now() + limit));
    }

    fn has_drained(&self) -> bool {
        let drained_at = self.state.drained_at.lock().unwrap_or_else(PoisonError::into_inner);
        drained_at.is_some_and(|at| Instant::now() >= at)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.state.open_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of connections opened since the start.
    #[must_use]
    pub fn total_connections(&self) -> usize {
        self.state.total_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of connections refused for the limit since the start.
    #[must_use]
    pub fn refused_connections(&self) -> usize {
        self.state.refused_connections.load(Ordering::Relaxed)
    }

    fn serve(&self, stream: TcpStream, id: &str) {
        let count = self.state.open_connections.fetch_add(1, Ordering::Relaxed);
        self.state.total_connections.fetch_add(1, Ordering::Relaxed);
        // An I/O error only ends this session.
        let _ = self.session(&stream, id, count);
        self.state.open_connections.fetch_sub(1, Ordering::Relaxed);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn session(&self, stream: &TcpStream, id: &str, count: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if let Ok(clone) = stream.try_clone() {
            let mut streams = self.state.streams.lock().unwrap_or_else(PoisonError::into_inner);
            // Closed streams would otherwise keep their file descriptors for the whole run.
            streams.retain(|stream| stream.peer_addr().is_ok());
            streams.push(clone);
        }
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let mut out = stream.try_clone()?;
        let Some(first) = lines.next().transpose()? else {
            return Ok(());
        };
        let words: Vec<&str> = first.split(' ').collect();
        let is_valid = words.len() >= 3
            && words[0] == "STARTUP"
            && words[1] == self.group.name
            && words.get(3).is_none_or(|expected| *expected == id);
        if !is_valid {
            return write!(out, "ERROR MISROUTED {id}\r\n");
        }
        if count >= self.group.profile.max_connections {
            self.state.refused_connections.fetch_add(1, Ordering::Relaxed);
            return write!(out, "ERROR TOOMANY {id}\r\n");
        }
        let user = words[2].trim_end_matches('\r');
        if let Some(violation) = self.group.workspaces.connection_violation(user) {
            self.group.record_violation(violation);
        }
        let mut session = Session::new(self, id, user);
        write!(out, "{}", session.ready())?;
        for line in lines {
            let response = session.handle_line(line?.trim_end_matches('\r'));
            let is_lost = self.state.loses_responses.load(Ordering::Relaxed) && session.has_run;
            if is_lost || session.is_outcome_unknown {
                return Ok(());
            }
            out.write_all(response.as_bytes())?;
        }
        Ok(())
    }

    fn run_in_slot<T>(&self, run: impl FnOnce() -> T) -> T {
        let slots = &self.state.slots;
        let mut busy = slots.busy.lock().unwrap_or_else(PoisonError::into_inner);
        while *busy >= self.group.profile.slots {
            busy = slots.released.wait(busy).unwrap_or_else(PoisonError::into_inner);
        }
        *busy += 1;
        drop(busy);
        std::thread::sleep(self.group.profile.statement_time);
        let result = run();
        *slots.busy.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        slots.released.notify_one();
        result
    }
}

struct Tx {
    is_read_only: bool,
    term: u64,
    writes: Vec<(String, String, String)>,
    has_failed: bool,
    /// The session that runs the transaction; a request of another one is a violation.
    session_name: Option<String>,
}

struct Session<'a> {
    server: &'a InstanceServer,
    id: String,
    /// Who is connecting, by the first line.
    user: String,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
    tx: Option<Tx>,
    has_run: bool,
    /// Whether the outcome of a commit is unknown, so that no answer is sent.
    is_outcome_unknown: bool,
    signatures: u64,
}

type StatementResult = Result<(Vec<String>, Option<String>), (&'static str, String)>;

impl<'a> Session<'a> {
    fn new(server: &'a InstanceServer, id: &str, user: &str) -> Self {
        Self {
            server,
            id: id.to_owned(),
            user: user.to_owned(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            tx: None,
            has_run: false,
            is_outcome_unknown: false,
            signatures: 0,
        }
    }

    fn view(&self) -> InstanceView {
        self.server.group.view(self.server.index)
    }

    fn ready(&self) -> String {
        let view = self.view();
        let state = match &self.tx {
            None => "I",
            Some(tx) if tx.has_failed => "E",
            Some(_) => "T",
        };
        format!("READY {state} {}.{}\r\n", view.term, view.applied)
    }

    fn handle_line(&mut self, line: &str) -> String {
        self.has_run = false;
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|l| l.split_once(' ')) else {
            return String::new();
        };
        let result = self.statement(id, text);
        let mut out = String::new();
        match result {
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

    fn statement(&mut self, id: &str, text: &str) -> StatementResult {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
            Some((position, rest)) => (Some(position), rest),
            None => (None, text),
        };
        if let Some(position) = after {
            let (term, lsn) = position.split_once('.').unwrap_or(("0", "0"));
            let (term, lsn): (u64, usize) = (term.parse().unwrap_or(0), lsn.parse().unwrap_or(0));
            let view = self.view();
            if view.applied < lsn || term > view.term {
                return Err(("LAGGING", self.id.clone()));
            }
        }
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        if matches!(words[0], "READ" | "WRITE" | "EXECUTE") {
            self.server.group.record_reached(id);
        }
        if self.tx.as_ref().is_some_and(|tx| tx.has_failed) && words[0] != "ROLLBACK" {
            return Err(("MALFORMED", "the transaction failed".to_owned()));
        }
        if let Some(code) = self.server.refusal(words[0]) {
            return Err((code, self.id.clone()));
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
            ("PAUSE", [term]) => {
                let term = term.parse().unwrap_or(0);
                self.server.group.stop_replication(self.server.index, term);
                Ok((vec![self.status()], None))
            }
            ("RESUME", _) => {
                self.server.group.resume_replication(self.server.index);
                Ok((vec![self.status()], None))
            }
            ("DEMOTE", [term]) => {
                self.server.group.demote(self.server.index, term.parse().unwrap_or(0));
                Ok((vec![self.status()], None))
            }
            _ => Err(("MALFORMED", text.to_owned())),
        }
    }

    fn status(&self) -> String {
        let view = self.view();
        let role = if view.is_primary { "primary" } else { "replica" };
        let connections = self.server.open_connections();
        format!("{role} {0} {0}.{1} {0} 0 0 {connections}", view.term, view.received)
    }

    fn begin(&mut self, is_read_only: bool) -> StatementResult {
        let view = self.view();
        if !is_read_only && !view.is_primary {
            return Err(("READONLY", self.id.clone()));
        }
        let tx = Tx {
            is_read_only,
            term: view.term,
            writes: Vec::new(),
            has_failed: false,
            session_name: None,
        };
        self.tx = Some(tx);
        Ok((Vec::new(), None))
    }

    /// Whether the instance has lost the primary role since a read-write transaction began.
    fn has_lost_primary_role(&self) -> bool {
        let view = self.view();
        let Some(tx) = &self.tx else {
            return false;
        };
        !tx.is_read_only && (!view.is_primary || view.term != tx.term)
    }

    /// Records a violation if a request runs with the settings or in the transaction of another
    /// session, or on a connection of another workspace. A request's id holds its session's name before a colon.
    fn check_session_isolation(&mut self, id: &str) {
        if let Some(violation) = self.server.group.workspaces.statement_violation(&self.user, id) {
            self.server.group.record_violation(violation);
        }
        let session_name = id.split(':').next().unwrap_or_default().to_owned();
        let expected = self.values.get("who").cloned();
        if expected.as_ref().is_some_and(|who| *who != session_name) {
            let violation = format!("request {id} ran with the values of {expected:?}");
            self.server.group.record_violation(violation);
        }
        let Some(tx) = &mut self.tx else {
            return;
        };
        if tx.session_name.get_or_insert_with(|| session_name.clone()) != &session_name {
            let violation = format!("request {id} ran in a transaction of {:?}", tx.session_name);
            self.server.group.record_violation(violation);
        }
    }

    /// Records a violation if a statement outside a transaction, or the first one in it, arrives
    /// after the instance's drain limit.
    fn check_drain_limit(&self, id: &str) {
        let is_new_work = self.tx.as_ref().is_none_or(|tx| tx.session_name.is_none());
        if is_new_work && self.server.has_drained() {
            let violation = format!("request {id} reached {} after its drain limit", self.id);
            self.server.group.record_violation(violation);
        }
    }

    fn next_signature(&mut self) -> Option<String> {
        self.has_run = true;
        self.signatures += 1;
        Some(format!("{}.{}", self.id, self.signatures))
    }

    fn read(&mut self, id: &str, item: &str) -> StatementResult {
        if self.has_lost_primary_role() {
            return Err(("READONLY", self.id.clone()));
        }
        self.check_drain_limit(id);
        self.check_session_isolation(id);
        let server = self.server;
        let own_write = self.tx.as_ref().and_then(|tx| {
            tx.writes.iter().rev().find(|(_, i, _)| i == item).map(|(_, _, data)| data.clone())
        });
        let required_term = self.tx.as_ref().filter(|tx| !tx.is_read_only).map(|tx| tx.term);
        let read = server.run_in_slot(|| server.group.read(server.index, required_term, item));
        let Some(value) = read else {
            return Err(("READONLY", self.id.clone()));
        };
        Ok((vec![own_write.unwrap_or(value)], self.next_signature()))
    }

    fn write(&mut self, id: &str, item: &str, data: &str) -> StatementResult {
        let view = self.view();
        if !view.is_primary || self.has_lost_primary_role() {
            return Err(("READONLY", self.id.clone()));
        }
        self.check_drain_limit(id);
        self.check_session_isolation(id);
        let write = (id.to_owned(), item.to_owned(), data.to_owned());
        if let Some(tx) = &mut self.tx {
            if tx.is_read_only {
                return Err(("READONLY", self.id.clone()));
            }
            tx.writes.push(write);
            return Ok((Vec::new(), self.next_signature()));
        }
        self.run_commit(view.term, std::slice::from_ref(&write))
    }

    /// Commits writes. An instance that cannot tell whether they stay closes the connection.
    fn run_commit(&mut self, term: u64, writes: &[(String, String, String)]) -> StatementResult {
        let server = self.server;
        // A commit that waits for replicas occupies no slot.
        server.run_in_slot(|| ());
        match server.group.commit(server.index, term, writes) {
            CommitOutcome::Committed => Ok((Vec::new(), self.next_signature())),
            CommitOutcome::NotPrimary => Err(("READONLY", self.id.clone())),
            CommitOutcome::Unknown => {
                self.is_outcome_unknown = true;
                Err(("FAILED", self.id.clone()))
            }
        }
    }

    fn commit(&mut self) -> StatementResult {
        let Some(tx) = self.tx.take() else {
            return Err(("MALFORMED", "no transaction is open".to_owned()));
        };
        if tx.writes.is_empty() {
            return Ok((Vec::new(), self.next_signature()));
        }
        self.run_commit(tx.term, &tx.writes)
    }
}
