//! The platform's store and its promotion call, over HTTP/1.1.
//!
//! Each daemon reaches the store at a port of its own, so that a disruption can be limited to some.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{members, unquoted};
use crate::record::Record;

/// What is done to a call before it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out and answered.
    Serve,
    /// It is carried out; its answer is lost, and its connection returns nothing further.
    LoseAnswer,
    /// It is refused with status 503; nothing is done.
    Refuse,
    /// Nothing is done and nothing is answered; the connection returns nothing further.
    Ignore,
}

/// A call, for the function that decides on disruptions.
#[derive(Debug)]
pub struct Call<'a> {
    /// The number of the daemon's port.
    pub daemon: usize,
    /// The method.
    pub method: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// Whether it is a watch that found a change and is about to return it.
    pub has_change: bool,
}

type Rule = Box<dyn FnMut(&Call<'_>) -> Fate + Send>;
type Promote = Box<dyn Fn(&str, &str, &str, u64) -> u16 + Send + Sync>;

#[derive(Clone)]
struct Stored {
    rev: u64,
    spec: String,
}

struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Stored>,
    events: Vec<(u64, String, String)>,
    rule: Option<Rule>,
    /// Texts that are replaced in answers to a daemon, by the daemon's number.
    views: Vec<(usize, String, String)>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    promote: Promote,
    record: Record,
}

fn object_json(name: &str, stored: &Stored) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{},\"created\":1,\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":null}}",
        stored.rev, stored.spec
    )
}

impl Store {
    /// Creates an empty store; `promote` carries out promotions: service, id, holder, token.
    #[must_use]
    pub fn new(record: Record, promote: Promote) -> Arc<Self> {
        let state = State {
            rev: 1,
            objects: BTreeMap::new(),
            events: Vec::new(),
            rule: None,
            views: Vec::new(),
        };
        Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), promote, record })
    }

    /// Listens for one daemon.
    pub fn listen(self: &Arc<Self>, daemon: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                std::thread::spawn(move || {
                    // An I/O error only ends this connection.
                    let _ = store.serve(daemon, &stream);
                });
            }
        });
        address
    }

    /// Sets the function that decides on disruptions.
    pub fn set_rule(&self, rule: impl FnMut(&Call<'_>) -> Fate + Send + 'static) {
        self.state.lock().expect("usable").rule = Some(Box::new(rule));
    }

    /// Shows a daemon another address of an instance, that of a proxy on its way there.
    pub fn show(&self, daemon: usize, address: SocketAddr, proxy: SocketAddr) {
        let (address, proxy) = (format!("\"{address}\""), format!("\"{proxy}\""));
        self.state.lock().expect("usable").views.push((daemon, address, proxy));
    }

    /// Writes an object, as the operator or an instance does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().expect("usable");
        Self::write(&mut state, kind, name, spec);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes an object, as the platform does with the entry of an instance that is silent.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().expect("usable");
        if let Some(mut stored) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.rev += 1;
            stored.rev = state.rev;
            let event = format!("{{\"object\":{},\"deleted\":true}}", object_json(name, &stored));
            state.events.push((stored.rev, kind.to_owned(), event));
        }
        drop(state);
        self.changed.notify_all();
    }

    fn write(state: &mut State, kind: &str, name: &str, spec: &str) -> Stored {
        state.rev += 1;
        let stored = Stored { rev: state.rev, spec: spec.to_owned() };
        let event = format!("{{\"object\":{},\"deleted\":false}}", object_json(name, &stored));
        state.events.push((stored.rev, kind.to_owned(), event));
        state.objects.insert((kind.to_owned(), name.to_owned()), stored.clone());
        stored
    }

    fn fate(&self, call: &Call<'_>) -> Fate {
        let mut state = self.state.lock().expect("usable");
        state.rule.as_mut().map_or(Fate::Serve, |rule| rule(call))
    }

    fn serve(&self, daemon: usize, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut lines = BufReader::new(stream.try_clone()?);
        let mut out = stream.try_clone()?;
        loop {
            let mut first = String::new();
            if lines.read_line(&mut first)? == 0 {
                return Ok(());
            }
            let mut words = first.split_whitespace();
            let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let mut headers: HashMap<String, String> = HashMap::new();
            loop {
                let mut line = String::new();
                lines.read_line(&mut line)?;
                let line = line.trim_end();
                let Some((name, value)) = line.split_once(':') else {
                    break;
                };
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            lines.read_exact(&mut body)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            let is_watch = path.contains("watch=");
            let mut call = Call { daemon, method, path, has_change: false };
            let mut fate = self.fate(&call);
            let (status, answer) = match fate {
                Fate::Refuse => (503, "{}".to_owned()),
                Fate::Ignore => (0, String::new()),
                _ => self.call(method, path, &headers, &body),
            };
            if is_watch && fate == Fate::Serve {
                call.has_change = answer.contains("\"object\"");
                fate = self.fate(&call);
            }
            if method != "GET" || fate != Fate::Serve {
                self.record.line(&format!(
                    "store, daemon {daemon}: {method} {path} {body} -> {status} {fate:?}"
                ));
            }
            if matches!(fate, Fate::LoseAnswer | Fate::Ignore) {
                // The connection stays open and returns nothing further.
                let mut rest = Vec::new();
                lines.read_to_end(&mut rest)?;
                return Ok(());
            }
            let mut answer = answer;
            for (_, address, proxy) in
                self.state.lock().expect("usable").views.iter().filter(|(d, ..)| *d == daemon)
            {
                answer = answer.replace(address, proxy);
            }
            let status = if fate == Fate::Refuse { 503 } else { status };
            let reason = if status == 200 { "OK" } else { "Other" };
            write!(
                out,
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            )?;
        }
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        headers: &HashMap<String, String>,
        body: &str,
    ) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            ("POST", ["promote"]) => {
                let fields = members(body);
                let field = |name: &str| fields.get(name).map_or("", |v| unquoted(v)).to_owned();
                let token = headers.get("fence-token").and_then(|t| t.parse().ok()).unwrap_or(0);
                let holder = headers.get("duty-holder").cloned().unwrap_or_default();
                let status = (self.promote)(&field("service"), &field("id"), &holder, token);
                (status, "{}".to_owned())
            }
            ("GET", ["objects", kind]) => match query.get("watch").and_then(|r| r.parse().ok()) {
                Some(after) => {
                    let wait = query.get("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    (200, self.watch(kind, after, Duration::from_millis(wait)))
                }
                None => (200, self.list(kind, query.get("after").copied().unwrap_or(""))),
            },
            ("GET", ["objects", kind, name]) => {
                let state = self.state.lock().expect("usable");
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(stored) => (200, object_json(name, stored)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", ["objects", kind]) => {
                let meta = members(members(body).get("meta").map_or("", String::as_str));
                let name = meta.get("name").map_or("", |n| unquoted(n)).to_owned();
                self.replace(kind, &name, None, body)
            }
            ("PUT", ["objects", kind, name]) => {
                let meta = members(members(body).get("meta").map_or("", String::as_str));
                let rev = meta.get("rev").and_then(|r| r.parse().ok());
                self.replace(kind, name, rev, body)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn replace(&self, kind: &str, name: &str, rev: Option<u64>, body: &str) -> (u16, String) {
        let spec = members(body).get("spec").cloned().unwrap_or_else(|| "null".to_owned());
        let mut state = self.state.lock().expect("usable");
        let current = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if current.as_ref().map(|c| c.rev) != rev {
            return (409, current.map_or_else(|| "{}".to_owned(), |c| object_json(name, &c)));
        }
        let stored = Self::write(&mut state, kind, name, &spec);
        drop(state);
        self.changed.notify_all();
        (200, object_json(name, &stored))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().expect("usable");
        let of_kind = state.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items: Vec<String> = of_kind.map(|((_, n), o)| object_json(n, o)).collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"at\":{}}}", items.join(","), state.rev)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().expect("usable");
        loop {
            let newer = state.events.iter().filter(|(rev, k, _)| *rev > after && k == kind);
            let events: Vec<String> = newer.map(|(_, _, event)| event.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.rev);
            }
            state = self.changed.wait_timeout(state, left).expect("usable").0;
        }
    }
}
