//! Calls to the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::time::{Millis, sleep};
use persimmon_kernel::{
    Event, HostEntry, RequestId, StoreOutcome, VersionedGroupRecord, VersionedTable,
};
use persimmon_store_client::{Changes, Hosts, Object, StoreClient, StoreError, TableObject};
use persimmon_types::DaemonId;
use rand::Rng;

use crate::control::ControlHandles;
use crate::counters::Counters;

/// How long one watch call waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// How often a daemon that watches the store reads the list of hosts.
const HOSTS_INTERVAL: Millis = Millis(2_000);

/// The backoff after a first failed watch; it doubles up to [`MAX_WATCH_BACKOFF`].
const MIN_WATCH_BACKOFF: Duration = Duration::from_millis(50);

/// The longest backoff between two watch attempts.
const MAX_WATCH_BACKOFF: Duration = Duration::from_millis(2_000);

/// How often a daemon tries to read the list of hosts until it has read it once.
const FIRST_HOSTS_INTERVAL: Millis = Millis(500);

/// One daemon's client of the platform's store.
pub(crate) struct Store {
    client: Rc<StoreClient>,
    handles: ControlHandles,
    /// The number of the running watch loop; a loop ends once this is no longer its own number.
    watch_generation: Rc<Cell<u64>>,
    watching: Rc<Cell<bool>>,
}

impl Store {
    pub(crate) async fn new(handles: &ControlHandles) -> Self {
        let client =
            StoreClient::new(&handles.settings.platform, handles.settings.store_timeout).await;
        Self {
            client: Rc::new(client),
            handles: handles.clone(),
            watch_generation: Rc::default(),
            watching: Rc::default(),
        }
    }

    /// Writes an object.
    pub(crate) fn write(&self, request: RequestId, key: Arc<str>, expect: u64, value: Arc<str>) {
        let (client, handles) = (Rc::clone(&self.client), self.handles.clone());
        ntex::rt::spawn(async move {
            Counters::increment(&handles.counters.store_calls);
            let outcome = match client.write(&key, expect, value).await {
                Ok(version) => StoreOutcome::Written(version),
                Err(StoreError::Conflict(Some(object))) => {
                    StoreOutcome::Conflict(object.version, object.value)
                }
                Err(StoreError::Conflict(None)) => StoreOutcome::Missing,
                Err(StoreError::Unavailable(_)) => StoreOutcome::Unavailable,
            };
            report_outcome(&handles, request, outcome);
        });
    }

    /// Reads an object.
    pub(crate) fn read(&self, request: RequestId, key: Arc<str>) {
        let (client, handles) = (Rc::clone(&self.client), self.handles.clone());
        ntex::rt::spawn(async move {
            Counters::increment(&handles.counters.store_calls);
            let outcome = match client.read(&key).await {
                Ok(Some(object)) => StoreOutcome::Found(object.version, object.value),
                Ok(None) => StoreOutcome::Missing,
                Err(_) => StoreOutcome::Unavailable,
            };
            report_outcome(&handles, request, outcome);
        });
    }

    /// Starts or stops watching the store.
    pub(crate) fn watch(&self, on: bool) {
        let watch_generation = self.watch_generation.get() + 1;
        self.watch_generation.set(watch_generation);
        self.watching.set(on);
        if !on {
            return;
        }
        let (client, handles) = (Rc::clone(&self.client), self.handles.clone());
        let latest_generation = Rc::clone(&self.watch_generation);
        ntex::rt::spawn(async move {
            let mut revision = 0;
            let mut backoff = MIN_WATCH_BACKOFF;
            while latest_generation.get() == watch_generation {
                Counters::increment(&handles.counters.store_calls);
                match client.watch(revision, WATCH_WAIT).await {
                    Ok(changes) => {
                        backoff = MIN_WATCH_BACKOFF;
                        revision = changes.revision;
                        apply_changes(&handles, &changes);
                    }
                    Err(_) => {
                        let jitter = rand::rng().random_range(0.5..1.0);
                        sleep(millis(backoff.mul_f64(jitter))).await;
                        backoff = (backoff * 2).min(MAX_WATCH_BACKOFF);
                    }
                }
            }
        });
    }
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}

fn report_outcome(handles: &ControlHandles, request: RequestId, outcome: StoreOutcome) {
    if outcome != StoreOutcome::Unavailable {
        send_event(handles, Event::StoreResponded);
    }
    send_event(handles, Event::Store { request, outcome });
}

fn send_event(handles: &ControlHandles, event: Event) {
    // The control thread lives as long as the process, so a failed send needs no handling.
    let _ = handles.events.send(event);
}

fn apply_changes(handles: &ControlHandles, changes: &Changes) {
    send_event(handles, Event::StoreResponded);
    for object in &changes.objects {
        apply_object(handles, object);
    }
}

fn apply_object(handles: &ControlHandles, object: &Object) {
    let version = object.version;
    if &*object.key == TableObject::KEY {
        let Ok(table) = TableObject::parse(&object.value) else {
            tracing::warn!(version, "ignored a malformed table object");
            return;
        };
        send_event(handles, Event::Table(VersionedTable { version, text: table.text }));
        return;
    }
    if object.key.starts_with("group/")
        && let Ok(record) = serde_json::from_str(&object.value)
    {
        send_event(handles, Event::Group(VersionedGroupRecord { version, record }));
    }
}

/// Reads the list of hosts until the first success, and from then on while this daemon watches.
pub(crate) fn spawn_host_list_refresh(store: &Rc<Store>) {
    let store = Rc::clone(store);
    ntex::rt::spawn(async move {
        let mut is_known = false;
        loop {
            if store.watching.get() || !is_known {
                Counters::increment(&store.handles.counters.store_calls);
                if let Ok(hosts) = store.client.hosts().await {
                    is_known = true;
                    send_event(&store.handles, Event::StoreResponded);
                    send_event(&store.handles, Event::Hosts(host_entries(hosts)));
                }
            }
            sleep(if is_known { HOSTS_INTERVAL } else { FIRST_HOSTS_INTERVAL }).await;
        }
    });
}

fn host_entries(hosts: Hosts) -> Vec<HostEntry> {
    let hosts = hosts.hosts.into_iter();
    hosts
        .map(|host| HostEntry {
            daemon: DaemonId::new(&host.name),
            address: host.peers,
            leaving: host.leaving,
        })
        .collect()
}
