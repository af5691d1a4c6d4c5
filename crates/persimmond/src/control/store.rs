//! Calls of the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::time::{Millis, sleep};
use persimmon_kernel::{Event, GroupSeen, HostSeen, RequestId, StoreOutcome, TableSeen};
use persimmon_platform::{Changes, Client, Hosts, Object, StoreError, TableObject};
use persimmon_types::DaemonId;
use rand::Rng;

use crate::control::Links;
use crate::counters::Counters;

/// How long one watch waits; each is one call of the store.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// How often the list of hosts is read by a daemon that watches.
const HOSTS_INTERVAL: Millis = Millis(2_000);

/// The first pause after a failed watch; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause between two tries of a watch.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);

/// How many tries a daemon makes to read the list of hosts before it watches or hears of peers.
const HOSTS_PAUSE: Millis = Millis(500);

/// The store's calls of one daemon.
pub(crate) struct Store {
    client: Rc<Client>,
    links: Links,
    /// The number of the watch under way; an older loop ends when it sees a newer one.
    epoch: Rc<Cell<u64>>,
    watching: Rc<Cell<bool>>,
}

impl Store {
    pub(crate) async fn new(links: &Links) -> Self {
        let client = Client::new(&links.settings.platform, links.settings.store_timeout).await;
        Self {
            client: Rc::new(client),
            links: links.clone(),
            epoch: Rc::default(),
            watching: Rc::default(),
        }
    }

    /// Writes an object.
    pub(crate) fn write(&self, request: RequestId, key: Arc<str>, expect: u64, value: Arc<str>) {
        let (client, links) = (Rc::clone(&self.client), self.links.clone());
        ntex::rt::spawn(async move {
            Counters::add(&links.counters.store_calls);
            let outcome = match client.write(&key, expect, value).await {
                Ok(version) => StoreOutcome::Written(version),
                Err(StoreError::Conflict(Some(object))) => {
                    StoreOutcome::Conflict(object.version, object.value)
                }
                Err(StoreError::Conflict(None)) => StoreOutcome::Missing,
                Err(StoreError::Unavailable(_)) => StoreOutcome::Unavailable,
            };
            answer(&links, request, outcome);
        });
    }

    /// Reads an object.
    pub(crate) fn read(&self, request: RequestId, key: Arc<str>) {
        let (client, links) = (Rc::clone(&self.client), self.links.clone());
        ntex::rt::spawn(async move {
            Counters::add(&links.counters.store_calls);
            let outcome = match client.read(&key).await {
                Ok(Some(object)) => StoreOutcome::Found(object.version, object.value),
                Ok(None) => StoreOutcome::Missing,
                Err(_) => StoreOutcome::Unavailable,
            };
            answer(&links, request, outcome);
        });
    }

    /// Begins or stops to watch.
    pub(crate) fn watch(&self, on: bool) {
        let epoch = self.epoch.get() + 1;
        self.epoch.set(epoch);
        self.watching.set(on);
        if !on {
            return;
        }
        let (client, links) = (Rc::clone(&self.client), self.links.clone());
        let current = Rc::clone(&self.epoch);
        ntex::rt::spawn(async move {
            let mut revision = 0;
            let mut pause = FIRST_PAUSE;
            while current.get() == epoch {
                Counters::add(&links.counters.store_calls);
                match client.watch(revision, WATCH_WAIT).await {
                    Ok(changes) => {
                        pause = FIRST_PAUSE;
                        revision = changes.revision;
                        take_in(&links, &changes);
                    }
                    Err(_) => {
                        let jitter = rand::rng().random_range(0.5..1.0);
                        sleep(millis(pause.mul_f64(jitter))).await;
                        pause = (pause * 2).min(LONGEST_PAUSE);
                    }
                }
            }
        });
    }
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}

fn answer(links: &Links, request: RequestId, outcome: StoreOutcome) {
    if outcome != StoreOutcome::Unavailable {
        send(links, Event::StoreHeard);
    }
    send(links, Event::Store { request, outcome });
}

fn send(links: &Links, event: Event) {
    // The control thread is gone only when the process ends.
    let _ = links.events.send(event);
}

fn take_in(links: &Links, changes: &Changes) {
    send(links, Event::StoreHeard);
    for object in &changes.objects {
        take_in_object(links, object);
    }
}

fn take_in_object(links: &Links, object: &Object) {
    let version = object.version;
    if &*object.key == TableObject::KEY {
        let Ok(table) = TableObject::parse(&object.value) else {
            tracing::warn!(version, "the table's object is malformed");
            return;
        };
        send(links, Event::Table(TableSeen { version, text: table.text }));
        return;
    }
    if object.key.starts_with("group/")
        && let Ok(record) = serde_json::from_str(&object.value)
    {
        send(links, Event::Group(GroupSeen { version, record }));
    }
}

/// Reads the list of hosts while this daemon watches, and at first until it is known.
pub(crate) fn spawn_hosts(store: &Rc<Store>) {
    let store = Rc::clone(store);
    ntex::rt::spawn(async move {
        let mut is_known = false;
        loop {
            if store.watching.get() || !is_known {
                Counters::add(&store.links.counters.store_calls);
                if let Ok(hosts) = store.client.hosts().await {
                    is_known = true;
                    send(&store.links, Event::StoreHeard);
                    send(&store.links, Event::Hosts(seen(hosts)));
                }
            }
            sleep(if is_known { HOSTS_INTERVAL } else { HOSTS_PAUSE }).await;
        }
    });
}

fn seen(hosts: Hosts) -> Vec<HostSeen> {
    let hosts = hosts.hosts.into_iter();
    hosts
        .map(|host| HostSeen {
            daemon: DaemonId::new(&host.name),
            address: host.peers,
            leaving: host.leaving,
        })
        .collect()
}
