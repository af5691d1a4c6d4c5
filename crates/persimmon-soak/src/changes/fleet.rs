//! The daemons of a run, each with a proxy of its own to the store.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmon_lab::fault_proxy::FaultProxy;
use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineClient, LineCluster, StoreCopy, forwarding_address,
    loopback_peer_addresses,
};
use persimmon_ownership::{Member, OwnerTable, WATCHER_KEY, needs_watchers, watchers};
use rustix::process::Signal;

use crate::changes::ChangeOptions;
use crate::changes::plan::{Disruption, Episode};

/// How long the daemons may take to start.
const START_LIMIT: Duration = Duration::from_secs(40);

/// Capacity of a daemon whose settings name none, in thousandths of a core.
const DEFAULT_CAPACITY: u32 = 1_000;

/// The database that moves from one service to the other with each change.
const MOVED_DATABASE: &str = "moved";

/// The item that names the service in which it is stored.
const SERVICE_ITEM: &str = "service";

/// Pause between two daemons that are stopped one after the other.
const STOP_INTERVAL: Duration = Duration::from_millis(120);

/// The services of a run.
const SERVICES: usize = 2;

/// What the latest table says.
#[derive(Clone, Copy, Debug)]
pub(super) struct Written {
    pub(super) version: u64,
    /// When the store had accepted it.
    pub(super) at: Instant,
}

impl Written {
    /// The number of the service of the moved database.
    fn service(self) -> usize {
        usize::try_from(self.version % 2).unwrap_or(0)
    }

    fn added_database(version: u64) -> String {
        format!("added{version}")
    }
}

/// The daemons and the fakes.
pub(super) struct ChangeFleet {
    pub(super) cluster: Arc<LineCluster>,
    log_dir: PathBuf,
    addresses: Vec<SocketAddr>,
    domains: usize,
    /// The addresses that the daemons bind for each other, behind their proxies.
    bound: Vec<SocketAddr>,
    store_proxies: Vec<FaultProxy>,
    /// For each daemon, the proxies through which the others reach it; none if calls between daemons
    /// are not disturbed.
    peer_proxies: Vec<Vec<FaultProxy>>,
    daemons: Vec<Option<Daemon>>,
    start_count: usize,
    /// Databases that every version of the table has a route for.
    steady_databases: Vec<String>,
    written: Written,
    copy: Option<StoreCopy>,
}

impl ChangeFleet {
    pub(super) fn start(options: &ChangeOptions) -> io::Result<Self> {
        let cluster = LineCluster::start(SERVICES, 3, InstanceProfile::default())?;
        let mut fleet = Self {
            cluster: Arc::new(cluster),
            log_dir: options.log_dir.clone(),
            addresses: loopback_peer_addresses(options.daemons),
            domains: options.domains.max(1),
            bound: loopback_peer_addresses(options.daemons),
            store_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            daemons: Vec::new(),
            start_count: 0,
            steady_databases: (0..options.routes).map(|n| format!("steady{n}")).collect(),
            written: Written { version: 2, at: Instant::now() },
            copy: None,
        };
        fleet.write_table();
        for index in 0..usize::from(options.daemons) {
            fleet.store_proxies.push(FaultProxy::start(fleet.cluster.store.address)?);
            let mut proxies = Vec::new();
            if options.has_peer_proxies {
                let (used, bound) = (fleet.addresses[index], fleet.bound[index]);
                proxies.push(FaultProxy::start_at(used, bound)?);
                let (used, bound) = (forwarding_address(used), forwarding_address(bound));
                proxies.push(FaultProxy::start_at(used, bound)?);
            }
            fleet.peer_proxies.push(proxies);
            fleet.daemons.push(None);
        }
        let all: Vec<usize> = (0..fleet.daemons.len()).collect();
        fleet.start_daemons(&all)?;
        let began = Instant::now();
        while !fleet.daemons.iter().flatten().all(Daemon::is_ready) {
            if began.elapsed() > START_LIMIT {
                return Err(io::Error::other("a daemon is not ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        fleet.name_services()?;
        Ok(fleet)
    }

    /// Stores in each service an item with its name.
    fn name_services(&self) -> io::Result<()> {
        let Some(daemon) = self.daemons.iter().flatten().next() else {
            return Ok(());
        };
        for service in 0..SERVICES {
            let mut client =
                LineClient::open(daemon.addresses.clients, &format!("p{service}"), "setup")?;
            let written = client.query(&format!("WRITE {SERVICE_ITEM} svc{service}"))?;
            if let Err((code, text)) = written.result {
                return Err(io::Error::other(format!("{code} {text}")));
            }
        }
        Ok(())
    }

    /// Starts daemons beside each other.
    fn start_daemons(&mut self, indexes: &[usize]) -> io::Result<()> {
        let seeds = &self.addresses[..self.addresses.len().min(3)];
        let common = self.cluster.store_proxy.address.to_string();
        let mut starting = Vec::new();
        for index in indexes {
            self.start_count += 1;
            let folder = self.log_dir.join(self.start_count.to_string());
            std::fs::create_dir_all(&folder)?;
            let name = format!("d{index}");
            let domain = format!("zone = \"z{}\"", index % self.domains);
            let settings = self.cluster.settings(&name, self.addresses[*index], seeds);
            let settings = settings
                .replace(&common, &self.store_proxies[*index].address.to_string())
                .replace("zone = \"z1\"", &domain);
            let settings = if self.peer_proxies[*index].is_empty() {
                settings
            } else {
                let bound = self.bound[*index].ip();
                settings.replace("[listen]", &format!("[listen]\npeer_ip = \"{bound}\""))
            };
            let start = move || Daemon::start(&folder, &name, &settings);
            starting.push((*index, std::thread::spawn(start)));
        }
        for (index, thread) in starting {
            let started = thread.join().map_err(|_| io::Error::other("a start panicked"))?;
            self.daemons[index] = Some(started?);
        }
        Ok(())
    }

    pub(super) fn len(&self) -> usize {
        self.daemons.len()
    }

    /// The daemon with a number; `None` while it is stopped.
    pub(super) fn daemon(&self, index: usize) -> Option<&Daemon> {
        self.daemons[index].as_ref()
    }

    /// The daemons that watch the store for the others.
    pub(super) fn watchers(&self) -> Vec<usize> {
        if !needs_watchers(self.len()) {
            return Vec::new();
        }
        let domain = |index: usize| Arc::<str>::from(format!("z{}", index % self.domains));
        let members = self.addresses.iter().enumerate().map(|(index, address)| Member {
            address: *address,
            domain: domain(index),
            capacity: DEFAULT_CAPACITY,
        });
        let mut table = OwnerTable::new();
        table.set_members(1, members.collect());
        let ranked = table.owners(&Arc::from(WATCHER_KEY));
        let mut found = Vec::new();
        for index in 0..self.domains {
            let own = domain(index);
            let others = ranked.first_elsewhere(&own).len();
            found.extend_from_slice(watchers(ranked.candidates(&own), others));
        }
        let index_of: HashMap<&SocketAddr, usize> =
            self.addresses.iter().enumerate().map(|(index, address)| (address, index)).collect();
        found.iter().filter_map(|address| index_of.get(address).copied()).collect()
    }

    fn write_table(&mut self) {
        let added = Written::added_database(self.written.version);
        let steady = self.steady_databases.iter().map(|database| (database.as_str(), 0));
        let mut routes: Vec<(&str, usize)> = steady.collect();
        routes.push((MOVED_DATABASE, self.written.service()));
        routes.push((&added, self.written.service()));
        self.cluster.put_routes(self.written.version, &routes);
        self.written.at = Instant::now();
    }

    /// The version that was written last.
    pub(super) fn written(&self) -> Written {
        self.written
    }

    /// Writes the next version of the table: a database moves, one is added, and the one that was
    /// added before is removed.
    pub(super) fn change_table(&mut self) -> Written {
        self.written.version += 1;
        self.write_table();
        self.written
    }

    pub(super) fn start_disruption(&mut self, episode: &Episode, targets: &[usize]) {
        self.copy = Some(self.cluster.store.copy());
        for index in targets {
            let proxy = &self.store_proxies[*index];
            match episode.disruption {
                Disruption::StoreSilent => proxy.discard(true),
                Disruption::PeersSilent => self.each_peer_proxy(*index, |p| p.discard(true)),
                Disruption::PeersAnswersLost => {
                    self.each_peer_proxy(*index, |p| p.discard_responses(true));
                }
                Disruption::PeersSlow => {
                    self.each_peer_proxy(*index, |p| p.delay(episode.delay / 4));
                }
                Disruption::StoreAnswersLost => proxy.discard_responses(true),
                Disruption::StoreRefuses => proxy.refuse(true),
                Disruption::StoreSlow => proxy.delay(episode.delay / 2),
                Disruption::Freeze => self.signal(*index, Signal::STOP),
                Disruption::Kill => self.daemons[*index] = None,
                Disruption::Stop => {
                    self.signal(*index, Signal::TERM);
                    std::thread::sleep(STOP_INTERVAL);
                }
                Disruption::Restore => {}
            }
        }
    }

    fn each_peer_proxy(&self, index: usize, act: impl Fn(&FaultProxy)) {
        self.peer_proxies[index].iter().for_each(act);
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(daemon) = &self.daemons[index] {
            daemon.signal(signal);
        }
    }

    pub(super) fn end_disruption(
        &mut self,
        episode: &Episode,
        targets: &[usize],
    ) -> io::Result<()> {
        if episode.disruption == Disruption::Restore {
            if let Some(copy) = self.copy.take() {
                self.cluster.store.restore(&copy);
            }
            self.write_table();
            self.cluster.beat();
        }
        for index in targets {
            let proxy = &self.store_proxies[*index];
            proxy.discard(false);
            proxy.refuse(false);
            proxy.delay(Duration::ZERO);
            self.each_peer_proxy(*index, |p| {
                p.discard(false);
                p.delay(Duration::ZERO);
            });
            match episode.disruption {
                Disruption::Freeze => self.signal(*index, Signal::CONT),
                // One that still ends its transactions is killed, as the platform does.
                Disruption::Stop => self.daemons[*index] = None,
                _ => {}
            }
        }
        if matches!(episode.disruption, Disruption::Kill | Disruption::Stop) {
            self.start_daemons(targets)?;
        }
        Ok(())
    }
}

/// How what a client sees at a daemon differs from a version of the table; `None` if it does not.
pub(super) fn find_difference(address: SocketAddr, written: Written) -> Option<String> {
    let open = |database: &str| LineClient::open(address, database, "probe");
    if let Err(err) = open(&Written::added_database(written.version)) {
        return Some(format!("the added database is refused: {err}"));
    }
    if open(&Written::added_database(written.version - 1)).is_ok() {
        return Some("the removed database is served".to_owned());
    }
    let read = open(MOVED_DATABASE).and_then(|mut c| c.query(&format!("READ {SERVICE_ITEM}")));
    let expected = format!("svc{}", written.service());
    match read {
        Ok(answer) if answer.rows == [expected] => None,
        Ok(answer) => {
            Some(format!("the moved database answers {:?} {:?}", answer.rows, answer.result))
        }
        Err(err) => Some(format!("the moved database does not answer: {err}")),
    }
}
