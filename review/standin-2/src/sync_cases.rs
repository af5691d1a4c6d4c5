//! Cases of a service with `sync_replicas` 1: an acknowledged commit has to be in the log of each
//! instance that is promoted later.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::Client;
use crate::cloud::{Cloud, LateOrders};
use crate::daemon::{Daemon, Deployment, hosts};
use crate::group::Group;
use crate::instance;
use crate::record::Record;
use crate::store::Store;

const SERVICE: &str = "huvo11a";
const DATABASE: &str = "lepu270";
const ZONES: [&str; 3] = ["kingston", "spanish-town", "may-pen"];

/// A promotion takes effect this long after its order.
const PROMOTE_TIME: Duration = Duration::from_millis(1_000);

/// A draining instance serves for `drain_ms` and some seconds longer.
const DRAIN_TIME: Duration = Duration::from_millis(10_000);

/// Sessions that write, spread over the daemons.
const WRITERS: usize = 12;

/// Pause of a session between two writes.
const PAUSE: Duration = Duration::from_millis(60);

/// How long a client waits for an answer: the deadline of `job-booking`.
const DEADLINE: Duration = Duration::from_secs(2);

struct Setup {
    group: Arc<Group>,
    cloud: Arc<Cloud>,
    record: Arc<Record>,
    deployment: Deployment,
    daemons: Vec<Daemon>,
    is_over: Arc<AtomicBool>,
    /// When each write was answered with success.
    successes: Arc<Mutex<HashMap<String, Instant>>>,
    /// When each write was sent.
    sent: Arc<Mutex<HashMap<String, Instant>>>,
    writers: Vec<JoinHandle<()>>,
}

fn start(folder: &Path, record: &Arc<Record>) -> io::Result<Setup> {
    let (store, store_address) = Store::start()?;
    let group = Group::new(SERVICE, 1, PROMOTE_TIME, Arc::clone(&store), Arc::clone(record));
    for (number, zone) in ZONES.iter().enumerate() {
        instance::start(&group, &format!("i-{number}0f3a91c2"), zone)?;
    }
    store.put(
        "config",
        "main",
        json!({
            "version": 7,
            "routes": [{
                "name": "r-n2ctnfz", "host": DATABASE, "path_prefix": "/", "type": "primary",
                "timeout_ms": 1_000, "latency_target_ms": 200, "priority": 1, "service": SERVICE,
                "max_attempts": 2,
            }],
            "services": [{
                "name": SERVICE, "health_path": "/health", "max_conns": 71, "protocol": "h1",
                "tls": false, "sync_replicas": 1,
            }],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000, "tx_idle_ms": 3_000,
            },
        }),
    );
    let (cloud, cloud_address) = Cloud::start(Arc::clone(&group), Arc::clone(record))?;
    let hosts = hosts(3);
    let deployment = Deployment {
        seeds: hosts.clone(),
        hosts,
        zones: ZONES.to_vec(),
        store: store_address,
        cloud: cloud_address,
        more_bounds: String::new(),
    };
    let daemons = deployment.start(folder, &[0, 1, 2])?;
    for daemon in &daemons {
        record.line(&format!("{} runs as process {}", daemon.name, daemon.id()));
    }
    let mut setup = Setup {
        group,
        cloud,
        record: Arc::clone(record),
        deployment,
        daemons,
        is_over: Arc::default(),
        successes: Arc::default(),
        sent: Arc::default(),
        writers: Vec::new(),
    };
    for number in 0..WRITERS {
        setup.start_writer(number);
    }
    Ok(setup)
}

impl Setup {
    fn start_writer(&mut self, number: usize) {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        let front = self.daemons[number % self.daemons.len()].front;
        let record = Arc::clone(&self.record);
        let is_over = Arc::clone(&self.is_over);
        let successes = Arc::clone(&self.successes);
        let sent = Arc::clone(&self.sent);
        self.writers.push(std::thread::spawn(move || {
            let mut session = None;
            while !is_over.load(Ordering::Relaxed) {
                std::thread::sleep(PAUSE);
                let who = format!("u{number}");
                let opened = session.take();
                let opened =
                    opened.map_or_else(|| Client::open(front, DATABASE, &who, DEADLINE), Ok);
                let Ok(mut client) = opened else {
                    continue;
                };
                let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
                record.line(&format!("sent {id}"));
                sent.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .insert(id.clone(), Instant::now());
                match client.query(&id, &format!("WRITE a{number} d{id}")) {
                    Ok(answer) => {
                        record.line(&format!("answered {id} {:?}", answer.result));
                        if answer.result.is_ok() {
                            let mut all = successes.lock().unwrap_or_else(PoisonError::into_inner);
                            all.insert(id, Instant::now());
                        }
                        session = Some(client);
                    }
                    Err(err) => record.line(&format!("no answer to {id}: {err}")),
                }
            }
        }));
    }

    /// How many writes were sent between two times, and how many of them were served.
    fn served(&self, from: Instant, until: Instant) -> (usize, usize) {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let successes = self.successes.lock().unwrap_or_else(PoisonError::into_inner);
        let asked: Vec<&String> =
            sent.iter().filter(|(_, at)| from <= **at && **at < until).map(|(id, _)| id).collect();
        (asked.len(), asked.iter().filter(|id| successes.contains_key(**id)).count())
    }

    fn pass(&self, time: Duration) {
        std::thread::sleep(time);
    }

    /// Ends the run; returns each promotion that lacked acknowledged commits.
    fn finish(mut self) -> io::Result<Vec<String>> {
        self.is_over.store(true, Ordering::Relaxed);
        for writer in self.writers.drain(..) {
            let _ = writer.join();
        }
        let ended: Vec<String> = self
            .daemons
            .iter_mut()
            .filter_map(|daemon| daemon.has_ended().then(|| daemon.name.clone()))
            .collect();
        self.daemons.clear();
        if !ended.is_empty() {
            return Err(io::Error::other(format!("ended by themselves: {ended:?}")));
        }
        let successes = self.successes.lock().unwrap_or_else(PoisonError::into_inner);
        if successes.len() < 100 {
            return Err(io::Error::other("too few writes were served"));
        }
        let state = self.group.lock();
        let mut broken = Vec::new();
        for promotion in &state.promotions {
            let mut lost: Vec<&String> = state
                .acknowledged
                .iter()
                .filter(|(id, at)| {
                    **at < promotion.at
                        && successes.contains_key(*id)
                        && !promotion.ids.contains(*id)
                })
                .map(|(id, _)| id)
                .collect();
            lost.sort();
            self.record.line(&format!(
                "promotion of {} to term {} at {:.3}: {} acknowledged commits missing",
                promotion.instance,
                promotion.term,
                self.record.seconds(promotion.at),
                lost.len()
            ));
            if let Some(first) = lost.first() {
                broken.push(format!(
                    "LOST: {} was promoted to term {} without {} acknowledged commits, first {first}",
                    promotion.instance,
                    promotion.term,
                    lost.len()
                ));
            }
        }
        self.record.line(&format!(
            "{} writes answered with success, {} promotions, orders {:?}",
            successes.len(),
            state.promotions.len(),
            self.cloud.orders()
        ));
        Ok(broken)
    }
}

/// How long after the start of the new instance the old one drains.
const UNTIL_DRAINING: Duration = Duration::from_millis(500);

/// Replaces one instance: the new one starts first, then the old one drains, and ends in the
/// background.
fn replace(group: &Arc<Group>, step: usize, old: usize) -> io::Result<JoinHandle<()>> {
    instance::start(group, &format!("i-{step}5b1d07e4"), ZONES[old % ZONES.len()])?;
    std::thread::sleep(UNTIL_DRAINING);
    group.drain(old);
    let group = Arc::clone(group);
    Ok(std::thread::spawn(move || {
        std::thread::sleep(DRAIN_TIME);
        group.end(old);
    }))
}

fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        // A thread that fails shows in the record.
        let _ = thread.join();
    }
}

/// The instances of the service are replaced one after the other, the primary first. `TROUBLE=0`
/// replaces none.
pub fn replacement(
    folder: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
) -> io::Result<Vec<String>> {
    /// The time between two steps.
    const GAP: Duration = Duration::from_millis(3_000);
    let setup = start(folder, record)?;
    setup.pass(Duration::from_secs(5));
    let mut ending = Vec::new();
    for old in 0..3 {
        if has_trouble {
            ending.push(replace(&setup.group, old, old)?);
        }
        setup.pass(GAP - UNTIL_DRAINING);
    }
    join(ending);
    setup.pass(Duration::from_secs(5));
    setup.finish()
}

/// The primary is replaced, and later its successor. The first order to promote gets no answer and is
/// carried out some seconds later, while the instance that it names receives nothing. With
/// `TROUBLE=0` the order is answered and carried out at once; all else is the same.
pub fn late_order(
    folder: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
) -> io::Result<Vec<String>> {
    const LATE_BY: Duration = Duration::from_millis(9_000);
    const SECOND_STEP_AFTER: Duration = Duration::from_millis(6_000);
    const DEAF_AFTER: Duration = Duration::from_millis(4_000);
    const DEAF_FOR: Duration = Duration::from_millis(4_000);
    let setup = start(folder, record)?;
    setup.pass(Duration::from_secs(5));
    setup.cloud.set_late(LateOrders { count: u32::from(has_trouble), by: LATE_BY });
    let mut ending = vec![replace(&setup.group, 0, 0)?];
    setup.pass(SECOND_STEP_AFTER - UNTIL_DRAINING);
    let (_, named) = setup.cloud.orders().into_iter().next().unwrap_or_default();
    let successor = setup.group.lock().members.iter().position(|m| m.id == named);
    let Some(successor) = successor.filter(|s| setup.group.is_primary(*s)) else {
        return Err(io::Error::other("the instance that the first order names is not the primary"));
    };
    ending.push(replace(&setup.group, 1, successor)?);
    setup.pass(DEAF_AFTER);
    if setup.group.is_primary(successor) {
        return Err(io::Error::other("the draining primary was not replaced in time"));
    }
    setup.group.set_deaf(successor, true);
    setup.pass(DEAF_FOR);
    setup.group.set_deaf(successor, false);
    join(ending);
    setup.pass(Duration::from_secs(4));
    setup.finish()
}

/// The primary crashes and is back after 3 s, while the API for promotions is down; a moment later all
/// daemons are killed and started again. `TROUBLE=0` leaves the crash and the outage out; the daemons
/// are killed all the same.
pub fn paused(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Vec<String>> {
    const DOWN_FOR: Duration = Duration::from_secs(2);
    const RECOVERY: Duration = Duration::from_secs(12);
    let mut setup = start(folder, record)?;
    let began = Instant::now();
    setup.pass(Duration::from_secs(5));
    setup.cloud.set_down(has_trouble);
    if has_trouble {
        setup.group.crash(0);
    }
    setup.pass(Duration::from_secs(3));
    if has_trouble {
        setup.group.restart(0);
    }
    setup.pass(Duration::from_millis(500));
    let fault = Instant::now();
    record.line("all daemons are killed");
    for daemon in &mut setup.daemons {
        daemon.kill();
    }
    setup.pass(DOWN_FOR);
    setup.cloud.set_down(false);
    setup.daemons = setup.deployment.start(folder, &[0, 1, 2])?;
    let back = Instant::now();
    record.line("all daemons are back");
    setup.pass(RECOVERY);
    let from = Instant::now();
    setup.pass(Duration::from_secs(12));
    let until = Instant::now();
    // The last answers.
    setup.pass(DEADLINE);
    let (before, served_before) = setup.served(began, fault);
    let (after, served_after) = setup.served(from, until);
    record.line(&format!(
        "before the fault {served_before} of {before} writes were served; of those sent later than \
         {:.1} s after the daemons were back, {served_after} of {after}",
        from.duration_since(back).as_secs_f64()
    ));
    if served_before * 4 < before || after < 20 {
        return Err(io::Error::other("too little was sent or served to judge"));
    }
    let mut broken = setup.finish()?;
    if served_after * 4 < after {
        broken.push(format!("RECOVER: {served_after} of {after} writes were served"));
    }
    Ok(broken)
}
