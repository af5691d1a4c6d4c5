//! The platform's object store: objects by kind and name, conditional writes, listings, watches.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, Response, serve};

#[derive(Clone)]
struct Stored {
    rev: u64,
    spec: Value,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Stored>,
    /// Revision, kind and event of each change.
    events: Vec<(u64, String, Value)>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn object(name: &str, stored: &Stored) -> Value {
    json!({
        "meta": {"name": name, "rev": stored.rev, "created": 1, "finalizers": [], "deleting": false},
        "spec": stored.spec, "status": null,
    })
}

fn answer(status: u16, body: &Value) -> Option<Response> {
    Some(Response { status, body: body.to_string() })
}

impl Store {
    /// Starts the store; returns it with its address.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let state = State { rev: 1, ..State::default() };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let serving = Arc::clone(&store);
        let address = serve(Arc::new(move |request| serving.handle(&request)))?;
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object; one that changes nothing keeps its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.lock();
        Self::put_in(&mut state, kind, name, spec);
        drop(state);
        self.changed.notify_all();
    }

    fn put_in(state: &mut State, kind: &str, name: &str, spec: Value) -> Stored {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(stored) = state.objects.get(&key).filter(|o| o.spec == spec) {
            return stored.clone();
        }
        state.rev += 1;
        let stored = Stored { rev: state.rev, spec };
        let event = json!({"object": object(name, &stored), "deleted": false});
        state.events.push((stored.rev, kind.to_owned(), event));
        state.objects.insert(key, stored.clone());
        stored
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        if let Some(mut stored) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.rev += 1;
            stored.rev = state.rev;
            let event = json!({"object": object(name, &stored), "deleted": true});
            state.events.push((stored.rev, kind.to_owned(), event));
        }
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        let mut parts = request.path.trim_start_matches('/').splitn(3, '/');
        let (Some("objects"), Some(kind)) = (parts.next(), parts.next()) else {
            return answer(404, &Value::Null);
        };
        let name = parts.next();
        match (request.method.as_str(), name) {
            ("GET", None) => match request.field("watch").and_then(|w| w.parse().ok()) {
                Some(after) => self.watch(kind, after, request),
                None => answer(200, &self.list(kind, request.field("after").unwrap_or_default())),
            },
            ("GET", Some(name)) => {
                let state = self.lock();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(stored) => answer(200, &object(name, stored)),
                    None => answer(404, &Value::Null),
                }
            }
            ("POST", None) => self.write(kind, None, &request.body),
            ("PUT", Some(name)) => self.write(kind, Some(name), &request.body),
            _ => answer(404, &Value::Null),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Value {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items: Vec<Value> = of_kind.map(|((_, name), o)| object(name, o)).collect();
        json!({"items": items, "has_more": false, "at": state.rev})
    }

    fn watch(&self, kind: &str, after: u64, request: &Request) -> Option<Response> {
        let wait = request.field("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let new = state.events.iter().filter(|(rev, k, _)| *rev > after && k == kind);
            let events: Vec<Value> = new.map(|(_, _, event)| event.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return answer(200, &json!({"events": events, "at": state.rev}));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &[u8]) -> Option<Response> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let is_new = name.is_none();
        let name = name.or(body["meta"]["name"].as_str())?.to_owned();
        let mut state = self.lock();
        let current = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let rev = body["meta"]["rev"].as_u64();
        let conflicts = match &current {
            Some(stored) => is_new || rev.is_some_and(|rev| rev != stored.rev),
            None => !is_new,
        };
        if conflicts {
            let present = current.map_or(Value::Null, |o| object(&name, &o));
            return answer(409, &present);
        }
        let stored = Self::put_in(&mut state, kind, &name, body["spec"].clone());
        drop(state);
        self.changed.notify_all();
        answer(200, &object(&name, &stored))
    }
}
