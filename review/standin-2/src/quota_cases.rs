//! A case of a deployment whose tenants have quotas.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::Client;
use crate::cloud::Cloud;
use crate::daemon::{Daemon, Deployment, hosts};
use crate::group::Group;
use crate::instance;
use crate::record::Record;
use crate::store::Store;

const SERVICE: &str = "huvo11a";
const DATABASE: &str = "lepu270";
const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];
const TENANTS: [&str; 4] = ["tenant-a", "tenant-b", "tenant-c", "tenant-d"];
const RATE_PER_S: u32 = 20;

/// Pause of a tenant's client between two operations: a fifth of the tenant's rate.
const PAUSE: Duration = Duration::from_millis(240);

/// How long a client waits for an answer: the deadline of `calibration-log`.
const DEADLINE: Duration = Duration::from_millis(800);

/// The quota bounds of `tangaroa-seam-grown`.
const QUOTA_BOUNDS: &str = "revoke_strict = false\nrevoke_ms = 5000\nquota_window_s = 5\n\
    quota_overage = 0.1\nquota_slack = 20\n";

/// The daemons that run.
type Fleet = Arc<Mutex<Vec<Daemon>>>;

/// When each write was sent, and whether it was answered with success.
type Sent = Arc<Mutex<HashMap<String, (Instant, bool)>>>;

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_client(
    tenant: usize,
    fleet: &Fleet,
    record: &Arc<Record>,
    sent: &Sent,
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
    let (sent, is_over) = (Arc::clone(sent), Arc::clone(is_over));
    std::thread::spawn(move || {
        let mut session = None;
        let mut turn = tenant;
        while !is_over.load(Ordering::Relaxed) {
            std::thread::sleep(PAUSE);
            let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
            lock(&sent).insert(id.clone(), (Instant::now(), false));
            let mut client = match session.take() {
                Some(client) => client,
                None => {
                    // A client that comes again reaches another daemon.
                    turn += 1;
                    let front = {
                        let fleet = lock(&fleet);
                        (!fleet.is_empty()).then(|| fleet[turn % fleet.len()].front)
                    };
                    let key = format!("key-of-{}", TENANTS[tenant]);
                    let opened = front.map(|at| Client::open(at, DATABASE, &key, DEADLINE));
                    let Some(Ok(client)) = opened else {
                        record.line(&format!("no session for {id}"));
                        continue;
                    };
                    client
                }
            };
            record.line(&format!("sent {id} of {}", TENANTS[tenant]));
            match client.query(&id, &format!("WRITE a{tenant} d{id}")) {
                Ok(answer) => {
                    record.line(&format!("answered {id} {:?}", answer.result));
                    if answer.result.is_ok()
                        && let Some(entry) = lock(&sent).get_mut(&id)
                    {
                        entry.1 = true;
                    }
                    session = Some(client);
                }
                Err(err) => record.line(&format!("no answer to {id}: {err}")),
            }
        }
    })
}

fn served(sent: &Sent, from: Instant, until: Instant) -> (usize, usize) {
    let sent = lock(sent);
    let asked = sent.values().filter(|(at, _)| from <= *at && *at < until);
    asked.fold((0, 0), |(asked, served), (_, ok)| (asked + 1, served + usize::from(*ok)))
}

/// Each of three machines is removed for good, and a new one comes at another address 2 s later; in
/// the end all daemons are killed and started again. With `TROUBLE=0` no machine is replaced; the
/// daemons are killed all the same.
pub fn replaced_machines(
    folder: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
) -> io::Result<Vec<String>> {
    const STEP: Duration = Duration::from_secs(8);
    const NEW_AFTER: Duration = Duration::from_secs(2);
    const DOWN_FOR: Duration = Duration::from_secs(2);
    const RECOVERY: Duration = Duration::from_secs(12);
    let (store, store_address) = Store::start()?;
    let promote_time = Duration::from_secs(1);
    let group = Group::new(SERVICE, 0, promote_time, Arc::clone(&store), Arc::clone(record));
    for (number, zone) in ZONES.iter().enumerate() {
        instance::start(&group, &format!("i-{number}0f3a91c2"), zone)?;
    }
    let tenants: Vec<_> = TENANTS
        .iter()
        .map(|name| {
            json!({"name": name, "api_keys": [format!("key-of-{name}")],
                   "rate_per_s": RATE_PER_S, "burst": RATE_PER_S})
        })
        .collect();
    store.put(
        "config",
        "main",
        json!({
            "version": 7,
            "routes": [{
                "name": "r-n2ctnfz", "host": DATABASE, "path_prefix": "/", "type": "primary",
                "timeout_ms": 800, "latency_target_ms": 150, "priority": 1, "service": SERVICE,
                "max_attempts": 2,
            }],
            "services": [{
                "name": SERVICE, "health_path": "/health", "max_conns": 71, "protocol": "h1",
                "tls": false, "sync_replicas": 0,
            }],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000, "tx_idle_ms": 3_000,
            },
            "tenants": tenants,
        }),
    );
    let (_, cloud) = Cloud::start(Arc::clone(&group), Arc::clone(record))?;
    let all = hosts(6);
    if all.len() < 6 {
        return Err(io::Error::other("no free addresses"));
    }
    let mut deployment = Deployment {
        hosts: all,
        seeds: Vec::new(),
        zones: ZONES.to_vec(),
        store: store_address,
        cloud,
        more_bounds: QUOTA_BOUNDS.to_owned(),
    };
    // The numbers of the machines that run.
    let mut numbers = vec![0, 1, 2];
    deployment.seeds = deployment.hosts[..3].to_vec();
    let fleet: Fleet = Arc::new(Mutex::new(deployment.start(folder, &numbers)?));
    let (sent, is_over) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    let began = Instant::now();
    let clients: Vec<JoinHandle<()>> = (0..TENANTS.len())
        .map(|tenant| start_client(tenant, &fleet, record, &sent, &is_over))
        .collect();
    std::thread::sleep(STEP);
    for step in 0..3 {
        if has_trouble {
            let mut gone = lock(&fleet).remove(0);
            record.line(&format!("the machine of {} is removed for good", gone.name));
            gone.kill();
            numbers.remove(0);
            std::thread::sleep(NEW_AFTER);
            let new = 3 + step;
            deployment.seeds = numbers.iter().map(|n| deployment.hosts[*n]).collect();
            let started = deployment.start(folder, &[new])?;
            record.line(&format!("front-{new} comes at {}", deployment.hosts[new]));
            lock(&fleet).extend(started);
            numbers.push(new);
            std::thread::sleep(STEP - NEW_AFTER);
        } else {
            std::thread::sleep(STEP);
        }
        let now = Instant::now();
        let (asked, ok) = served(&sent, now - Duration::from_secs(4), now - DEADLINE);
        record.line(&format!("{ok} of {asked} writes were served lately"));
    }
    let fault = Instant::now();
    record.line("all daemons are killed");
    for daemon in lock(&fleet).iter_mut() {
        daemon.kill();
    }
    lock(&fleet).clear();
    std::thread::sleep(DOWN_FOR);
    deployment.seeds = numbers.iter().map(|n| deployment.hosts[*n]).collect();
    let restarted = deployment.start(folder, &numbers)?;
    *lock(&fleet) = restarted;
    record.line("all daemons are back");
    std::thread::sleep(RECOVERY);
    let from = Instant::now();
    std::thread::sleep(Duration::from_secs(12));
    let until = Instant::now();
    std::thread::sleep(DEADLINE);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    lock(&fleet).clear();
    let (before, served_before) = served(&sent, began, fault);
    let (after, served_after) = served(&sent, from, until);
    record.line(&format!(
        "before the fault {served_before} of {before} writes were served; of those sent later than \
         12 s after the daemons were back, {served_after} of {after}"
    ));
    if served_before * 4 < before || after < 20 {
        return Err(io::Error::other("too little was sent or served to judge"));
    }
    if served_after * 4 < after {
        return Ok(vec![format!("RECOVER: {served_after} of {after} writes were served")]);
    }
    Ok(Vec::new())
}
