//! A fake of the platform: versioned objects, conditional updates, watches and the list of hosts.

#![expect(missing_docs, reason = "the route attributes make items without documentation")]

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::time::{Millis, sleep};
use ntex::web::{self, App, HttpResponse, HttpServer};
use persimmon_store_client::{Changes, Hosts, Object, PutReply, PutRequest};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Faults that the fake platform injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Every call is refused with status 503.
    #[serde(default)]
    pub down: bool,
    /// Additional latency of every call, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// Writes take effect, but the client gets status 503.
    #[serde(default)]
    pub lose_answers: bool,
}

/// Counters of the fake platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// All calls, including refused ones; each long poll of a watch counts as one.
    pub calls: u64,
    /// Calls that write an object.
    pub writes: u64,
    /// Calls that watch for changes.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<String, Object>,
    hosts: Hosts,
    faults: Faults,
    stats: PlatformStats,
}

/// The state of the fake platform; clones share it.
#[derive(Clone, Debug)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
    revision: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

impl Platform {
    /// Creates an empty platform.
    #[must_use]
    pub fn new() -> Self {
        Self { store: Arc::default(), revision: watch::Sender::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the faults; returns whether it is to be served.
    async fn admit(&self, count: impl FnOnce(&mut PlatformStats)) -> bool {
        let faults = {
            let mut store = self.lock();
            store.stats.calls += 1;
            count(&mut store.stats);
            store.faults
        };
        if faults.slow_ms > 0 {
            sleep(Millis(u32::try_from(faults.slow_ms).unwrap_or(u32::MAX))).await;
        }
        !faults.down
    }

    async fn read(&self, key: &str) -> HttpResponse {
        if !self.admit(|_| {}).await {
            return HttpResponse::ServiceUnavailable().finish();
        }
        match self.lock().objects.get(key) {
            Some(object) => HttpResponse::Ok().json(object),
            None => HttpResponse::NotFound().finish(),
        }
    }

    async fn write(&self, key: &str, req: PutRequest) -> HttpResponse {
        if !self.admit(|stats| stats.writes += 1).await {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let mut store = self.lock();
        let current = store.objects.get(key).cloned();
        let version = current.as_ref().map_or(0, |o| o.version);
        if version != req.expect {
            return HttpResponse::Conflict().json(&current);
        }
        store.revision += 1;
        let version = store.revision;
        let object = Object { key: Arc::from(key), version, value: req.value };
        store.objects.insert(key.to_owned(), object);
        let loses_response = store.faults.lose_answers;
        drop(store);
        self.revision.send_replace(version);
        if loses_response {
            return HttpResponse::ServiceUnavailable().finish();
        }
        HttpResponse::Ok().json(&PutReply { version })
    }

    async fn watch(&self, query: &WatchQuery) -> HttpResponse {
        if !self.admit(|stats| stats.watches += 1).await {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let mut revisions = self.revision.subscribe();
        let wait = Duration::from_millis(query.wait_ms);
        // A timeout is not an error; the response then has no objects.
        let _ = tokio::time::timeout(wait, revisions.wait_for(|r| *r > query.after)).await;
        let store = self.lock();
        if store.faults.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let changed = store.objects.values().filter(|o| o.version > query.after);
        let changes = Changes { revision: store.revision, objects: changed.cloned().collect() };
        HttpResponse::Ok().json(&changes)
    }

    async fn hosts(&self) -> HttpResponse {
        if !self.admit(|_| {}).await {
            return HttpResponse::ServiceUnavailable().finish();
        }
        HttpResponse::Ok().json(&self.lock().hosts)
    }
}

/// Serves a platform on a listener until the returned server is stopped.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(listener: TcpListener, platform: Platform) -> io::Result<ntex::server::Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(platform.clone())
            .state(web::types::JsonConfig::default().limit(8 << 20))
            .service((
                get_object, put_object, get_watch, get_hosts, put_hosts, put_faults, get_stats,
            ))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

/// Binds a listener and returns it with its address; port zero picks a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Returns an object.
#[web::get("/v1/objects/{key}*")]
async fn get_object(
    platform: web::types::State<Platform>,
    key: web::types::Path<String>,
) -> HttpResponse {
    platform.read(&key).await
}

/// Writes an object if its version is the expected one.
#[web::put("/v1/objects/{key}*")]
async fn put_object(
    platform: web::types::State<Platform>,
    key: web::types::Path<String>,
    req: web::types::Json<PutRequest>,
) -> HttpResponse {
    platform.write(&key, req.into_inner()).await
}

/// Returns the objects changed after a revision; waits for a change up to the given time.
#[web::get("/v1/watch")]
async fn get_watch(
    platform: web::types::State<Platform>,
    query: web::types::Query<WatchQuery>,
) -> HttpResponse {
    platform.watch(&query).await
}

/// Returns the list of hosts.
#[web::get("/v1/hosts")]
async fn get_hosts(platform: web::types::State<Platform>) -> HttpResponse {
    platform.hosts().await
}

/// Replaces the list of hosts.
#[web::put("/lab/hosts")]
async fn put_hosts(
    platform: web::types::State<Platform>,
    hosts: web::types::Json<Hosts>,
) -> HttpResponse {
    platform.lock().hosts = hosts.into_inner();
    HttpResponse::Ok().finish()
}

/// Replaces the injected faults.
#[web::put("/lab/faults")]
async fn put_faults(
    platform: web::types::State<Platform>,
    faults: web::types::Json<Faults>,
) -> HttpResponse {
    platform.lock().faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

/// Returns the counters.
#[web::get("/lab/stats")]
async fn get_stats(platform: web::types::State<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.lock().stats)
}
