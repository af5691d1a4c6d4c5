//! The object store and the promotion API, over HTTP.

mod promotion;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::http::header::{HeaderName, HeaderValue};
use ntex::rt::{DefaultRuntime, System};
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::line_cluster::group::Group;
use crate::line_cluster::store::promotion::{LatePromotions, promote};

/// The header of every answer that counts how often the store was restored from a copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Faults that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every object call is refused with status 503; promotions are still served.
    pub is_unavailable: bool,
    /// Object calls that arrive are accepted and never answered, also after the fault has ended.
    /// Watches that wait already are answered.
    pub never_answers: bool,
    /// Writes take effect but get no response.
    pub loses_responses: bool,
    /// Promotions are carried out but get no response.
    pub loses_promotion_responses: bool,
    /// Promotions are refused with status 503; nothing is done.
    pub is_promotion_unavailable: bool,
}

#[derive(Clone, Debug)]
struct Stored {
    revision: u64,
    spec: Value,
}

/// The store's objects at one moment, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
}

#[derive(Debug, Default)]
struct State {
    /// How often the store was restored from a copy, counted from one.
    era: u64,
    revision: u64,
    oldest_revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    events: Vec<(u64, String, Value)>,
    /// Texts of values that another writer stored, each sent in place of its placeholder.
    raw_values: Vec<(String, Vec<u8>)>,
    /// Objects on one page of a listing; `None` for all of them.
    page_size: Option<usize>,
    groups: Vec<Arc<Group>>,
    fencing_tokens: HashMap<String, (u64, String)>,
    /// The instances of the promotion requests received so far.
    requested_promotions: Vec<String>,
    late_promotions: LatePromotions,
    faults: StoreFaults,
    calls: u64,
    waiting_watches: usize,
    violations: Vec<String>,
}

/// The object store, with the promotion API.
#[derive(Clone, Debug)]
pub struct Store {
    /// The address of the HTTP server.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

fn object_json(name: &str, stored: &Stored) -> Value {
    json!({
        "meta": {"name": name, "rev": stored.revision, "created": 1, "finalizers": [],
                 "deleting": false},
        "spec": stored.spec, "status": null,
    })
}

impl Store {
    /// Starts the store on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: watch::Sender::new(0),
        };
        {
            let mut state = store.lock();
            state.revision = 1;
            state.era = 1;
        }
        let serving = store.clone();
        std::thread::spawn(move || {
            let system = System::new("store", DefaultRuntime);
            system.block_on(async move {
                let server = HttpServer::new(async move || {
                    App::new()
                        .state(serving.clone())
                        .service((list, read, create, replace, promote))
                });
                match server.workers(1).disable_signals().listen(listener) {
                    Ok(server) => {
                        // Runs until the process exits.
                        let _ = server.run().await;
                    }
                    Err(err) => eprintln!("failed to serve the object store: {err}"),
                }
            });
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn add_group(&self, group: Arc<Group>) {
        self.lock().groups.push(group);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        self.changed.send_modify(|_| {});
    }

    /// Discards the event history; open watches end with status 410.
    pub fn clear_history(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.oldest_revision = state.revision;
        state.events.clear();
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Copies the objects, to restore the store from later.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Replaces the objects by those of a copy. Everything written since then is lost, and its
    /// revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.objects.clone_from(&copy.objects);
        state.events.retain(|(revision, ..)| *revision <= copy.revision);
        drop(state);
        self.changed.send_replace(copy.revision);
    }

    /// The store's revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Adds the header that counts restores to an answer.
    fn with_era(&self, mut res: HttpResponse) -> HttpResponse {
        res.headers_mut().insert(ERA_HEADER, HeaderValue::from(self.lock().era));
        res
    }

    /// Writes an object unconditionally; an unchanged object keeps its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.lock();
        if state.objects.get(&key).is_some_and(|o| o.spec == spec) {
            return;
        }
        state.revision += 1;
        let stored = Stored { revision: state.revision, spec };
        let event = json!({"deleted": false, "object": object_json(name, &stored)});
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), event));
        state.objects.insert(key, stored);
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Writes an object whose value is sent as `text`, whether or not that is valid JSON.
    pub fn put_raw(&self, kind: &str, name: &str, text: &[u8]) {
        let placeholder = {
            let mut state = self.lock();
            let placeholder = format!("raw value {}", state.raw_values.len());
            state.raw_values.push((placeholder.clone(), text.to_vec()));
            placeholder
        };
        self.put(kind, name, Value::String(placeholder));
    }

    /// Sets how many objects one page of a listing contains.
    pub fn set_page_size(&self, page_size: usize) {
        self.lock().page_size = Some(page_size);
    }

    /// A successful answer, with the texts of raw values in place of their placeholders.
    fn answer(&self, body: &Value) -> HttpResponse {
        let mut bytes = body.to_string().into_bytes();
        for (placeholder, text) in &self.lock().raw_values {
            let quoted = format!("{placeholder:?}").into_bytes();
            while let Some(at) = bytes.windows(quoted.len()).position(|part| part == quoted) {
                bytes.splice(at..at + quoted.len(), text.iter().copied());
            }
        }
        HttpResponse::Ok().content_type("application/json").body(bytes)
    }

    /// Removes an object and records the deletion for watches.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let Some(mut stored) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        stored.revision = state.revision;
        let event = json!({"deleted": true, "object": object_json(name, &stored)});
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), event));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Returns the number of calls received.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the number of watches that wait for a change.
    #[must_use]
    pub fn waiting_watches(&self) -> usize {
        self.lock().waiting_watches
    }

    /// Returns the violations observed so far.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Counts a call; returns the error response if it is to be refused.
    async fn admit(&self) -> Option<HttpResponse> {
        let faults = {
            let mut state = self.lock();
            state.calls += 1;
            state.faults
        };
        if faults.never_answers {
            std::future::pending::<()>().await;
        }
        faults.is_unavailable.then(|| HttpResponse::ServiceUnavailable().finish())
    }

    fn events_after(&self, kind: &str, after: u64) -> (Vec<Value>, u64) {
        let state = self.lock();
        let newer = state.events.iter().filter(|(r, k, _)| *r > after && k == kind);
        (newer.map(|(_, _, event)| event.clone()).collect(), state.revision)
    }

    fn list(&self, kind: &str, after: &str) -> Value {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let mut items: Vec<Value> = of_kind.map(|((_, name), o)| object_json(name, o)).collect();
        let page_size = state.page_size.unwrap_or(items.len());
        let has_more = items.len() > page_size;
        items.truncate(page_size);
        json!({"items": items, "has_more": has_more, "at": state.revision})
    }

    fn read(&self, kind: &str, name: &str) -> HttpResponse {
        let stored = self.lock().objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        match &stored {
            Some(stored) => self.answer(&object_json(name, stored)),
            None => HttpResponse::NotFound().finish(),
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> HttpResponse {
        let mut changed = self.changed.subscribe();
        let era = self.lock().era;
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            // A restore interrupts the watches that wait.
            if self.lock().faults.is_unavailable || self.lock().era != era {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if after < self.lock().oldest_revision || after > self.lock().revision {
                return HttpResponse::Gone().finish();
            }
            let (events, at) = self.events_after(kind, after);
            let has_timed_out = tokio::time::Instant::now() >= deadline;
            if !events.is_empty() || has_timed_out {
                return self.answer(&json!({"events": events, "at": at}));
            }
            let waiting = WaitingWatch::new(self);
            // On a timeout the next turn of the loop sees that the wait is over.
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
            drop(waiting);
        }
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expect: Option<u64>,
        spec: Value,
    ) -> HttpResponse {
        if let Some(refused) = self.admit().await {
            return refused;
        }
        let key = (kind.to_owned(), name.to_owned());
        let current = self.lock().objects.get(&key).cloned();
        if current.as_ref().map(|o| o.revision) != expect {
            let current_object = current.map_or(Value::Null, |o| object_json(name, &o));
            return HttpResponse::Conflict().json(&current_object);
        }
        self.put(kind, name, spec);
        if self.lock().faults.loses_responses {
            std::future::pending::<()>().await;
        }
        let stored = self.lock().objects.get(&key).cloned();
        HttpResponse::Ok().json(&stored.map(|o| object_json(name, &o)))
    }
}

/// Counts a watch as waiting until dropped.
struct WaitingWatch<'a>(&'a Store);

impl<'a> WaitingWatch<'a> {
    fn new(store: &'a Store) -> Self {
        store.lock().waiting_watches += 1;
        Self(store)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting_watches -= 1;
    }
}

#[derive(Deserialize)]
struct ListQuery {
    watch: Option<u64>,
    wait_ms: Option<u64>,
    after: Option<String>,
}

#[derive(Deserialize)]
struct WriteMeta {
    name: String,
    rev: Option<u64>,
}

#[derive(Deserialize)]
struct WriteBody {
    meta: WriteMeta,
    spec: Value,
}

/// Lists or watches the objects of a kind.
#[web::get("/objects/{kind}")]
async fn list(
    store: web::types::State<Store>,
    kind: web::types::Path<String>,
    query: web::types::Query<ListQuery>,
) -> HttpResponse {
    if let Some(refused) = store.admit().await {
        return store.with_era(refused);
    }
    if let Some(after) = query.watch {
        let wait = Duration::from_millis(query.wait_ms.unwrap_or(0));
        let res = store.watch(&kind, after, wait).await;
        return store.with_era(res);
    }
    let listing = store.list(&kind, query.after.as_deref().unwrap_or_default());
    store.with_era(store.answer(&listing))
}

/// Reads one object.
#[web::get("/objects/{kind}/{name}")]
async fn read(
    store: web::types::State<Store>,
    path: web::types::Path<(String, String)>,
) -> HttpResponse {
    if let Some(refused) = store.admit().await {
        return store.with_era(refused);
    }
    let (kind, name) = path.into_inner();
    let res = store.read(&kind, &name);
    store.with_era(res)
}

/// Creates one object.
#[web::post("/objects/{kind}")]
async fn create(
    store: web::types::State<Store>,
    kind: web::types::Path<String>,
    written: web::types::Json<WriteBody>,
) -> HttpResponse {
    let WriteBody { meta, spec } = written.into_inner();
    let res = store.write(&kind, &meta.name, None, spec).await;
    store.with_era(res)
}

/// Replaces one object.
#[web::put("/objects/{kind}/{name}")]
async fn replace(
    store: web::types::State<Store>,
    path: web::types::Path<(String, String)>,
    written: web::types::Json<WriteBody>,
) -> HttpResponse {
    let (kind, name) = path.into_inner();
    let WriteBody { meta, spec } = written.into_inner();
    let res = store.write(&kind, &name, meta.rev, spec).await;
    store.with_era(res)
}
