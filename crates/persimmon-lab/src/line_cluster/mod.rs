//! A fake of the users' platform: an object store, a promotion API, and instances that speak the
//! line protocol.
//!
//! Invariant: the fakes themselves check the guarantees that a daemon must keep;
//! [`Group::violations`] and [`Store::violations`] return the violations that they observed.

mod client;
mod daemon;
mod group;
mod instance;
mod store;
mod workspaces;

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

pub use client::{LineClient, LineResponse};
pub use daemon::{Addresses, Daemon};
pub use group::{Group, InstanceProfile};
pub use instance::InstanceServer;
pub use store::{Store, StoreCopy, StoreFaults};

use crate::fault_proxy::FaultProxy;

/// How long an instance that leaves may receive new work, unless a test sets it.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(7);

/// The port on which daemons listen for their peers.
const PEER_PORT: u16 = 7_440;

/// One instance with the fault-injecting proxy in front of it.
#[derive(Debug)]
pub struct ProxiedInstance {
    /// The instance's name in the store.
    pub id: String,
    /// The server that plays the instance.
    pub server: InstanceServer,
    /// The proxy through which daemons connect.
    pub proxy: FaultProxy,
}

impl ProxiedInstance {
    fn start(group: &Arc<Group>, group_number: usize, index: usize) -> io::Result<Self> {
        let id = format!("i-{group_number}-{index}");
        let server = InstanceServer::start(Arc::clone(group), index, &id)?;
        let proxy = FaultProxy::start(server.address)?;
        Ok(Self { id, server, proxy })
    }
}

/// The time limits that the table names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// How long a statement may take, on every route.
    pub statement: Duration,
    /// How long a transaction may be idle.
    pub idle_transaction: Duration,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self { statement: Duration::from_millis(1_500), idle_transaction: Duration::from_secs(3) }
    }
}

/// An object store, and database groups whose instances are registered in it.
#[derive(Debug)]
pub struct LineCluster {
    /// The store, with the promotion API.
    pub store: Store,
    /// The proxy in front of the store.
    pub store_proxy: FaultProxy,
    /// The groups, each with its instances.
    pub groups: Vec<(Arc<Group>, Vec<ProxiedInstance>)>,
    /// The connection limit of an instance that the table names.
    max_connections: usize,
    /// How long an instance that leaves may receive new work.
    drain_limit: Duration,
    /// Whether the instances record new work after the drain limit.
    checks_drain_limit: bool,
    /// The workspaces of the table, in the form of the platform; `None` in a deployment without them.
    workspaces: Mutex<Option<Value>>,
    /// The databases whose routes need no key.
    public_databases: Mutex<Vec<String>>,
    /// The time limits that the next versions of the table name.
    table_limits: Mutex<TableLimits>,
    /// The bounds of quotas in the settings of daemons, as the platform writes them; empty in a
    /// deployment without quotas.
    quota_bounds: String,
    /// What each instance wrote last of itself, and how often it has written.
    written: Mutex<HashMap<String, (Value, u64)>>,
}

impl LineCluster {
    /// Starts a store and `groups` services of `instance_count` instances each.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(
        groups: usize,
        instance_count: usize,
        profile: InstanceProfile,
    ) -> io::Result<Self> {
        let store = Store::start()?;
        let store_proxy = FaultProxy::start(store.address)?;
        let mut started = Vec::new();
        for number in 0..groups {
            let name = format!("svc{number}");
            let group = Arc::new(Group::new(&name, instance_count, profile));
            store.add_group(Arc::clone(&group));
            let mut instances = Vec::new();
            for index in 0..instance_count {
                instances.push(ProxiedInstance::start(&group, number, index)?);
            }
            started.push((group, instances));
        }
        let max_connections = InstanceProfile::default().max_connections;
        let cluster = Self {
            store,
            store_proxy,
            groups: started,
            max_connections,
            drain_limit: DEFAULT_DRAIN_LIMIT,
            checks_drain_limit: true,
            workspaces: Mutex::default(),
            public_databases: Mutex::default(),
            table_limits: Mutex::default(),
            quota_bounds: String::new(),
            written: Mutex::default(),
        };
        cluster.publish_instances(false);
        cluster.put_table(1, &[]);
        Ok(cluster)
    }

    /// Sets the connection limit of an instance that the table names; daemons that outnumber it
    /// run their statements through the owners of a service.
    #[must_use]
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self.put_table(2, &[]);
        self
    }

    /// Sets how long an instance that leaves may receive new work, which the settings of daemons
    /// name and the instances check.
    #[must_use]
    pub fn with_drain_limit(mut self, drain_limit: Duration) -> Self {
        self.drain_limit = drain_limit;
        self
    }

    /// Sets the workspaces that the next versions of the table contain, in the form of the platform. A
    /// client of [`LineClient`] sends its name as its key. Instances record a violation if a statement
    /// of a key runs on a connection that names none of the workspaces which have held that key.
    pub fn set_workspaces(&self, workspaces: Value) {
        for (group, _) in &self.groups {
            group.workspaces.add(&workspaces);
        }
        *self.workspaces.lock().unwrap_or_else(PoisonError::into_inner) = Some(workspaces);
    }

    /// Lets the next versions of the table route these databases without a key.
    pub fn set_public_databases(&self, databases: &[&str]) {
        let databases = databases.iter().map(|database| (*database).to_owned()).collect();
        *self.public_databases.lock().unwrap_or_else(PoisonError::into_inner) = databases;
    }

    /// Sets the time limits that the next versions of the table name.
    pub fn set_table_limits(&self, limits: TableLimits) {
        *self.table_limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Sets how far the settings of daemons let quotas be exceeded: the window in seconds, the part of
    /// the quota, and a number of operations.
    #[must_use]
    pub fn with_quota_bounds(mut self, window_s: f64, overage: f64, slack: f64) -> Self {
        self.quota_bounds = format!(
            "quota_window_s = {window_s:?}\nquota_overage = {overage:?}\nquota_slack = {slack:?}\n"
        );
        self
    }

    /// Lets instances record no new work after the drain limit: for runs in which daemons may be kept
    /// from learning that an instance leaves.
    #[must_use]
    pub fn without_drain_check(mut self) -> Self {
        self.checks_drain_limit = false;
        self
    }

    /// Starts another replica of a group with a copy of the primary's log; returns its number. The
    /// next call that publishes the instances writes its entry.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn add_instance(&mut self, group_number: usize) -> io::Result<usize> {
        let (group, instances) = &mut self.groups[group_number];
        let index = group.add_instance();
        instances.push(ProxiedInstance::start(group, group_number, index)?);
        Ok(index)
    }

    /// Writes every instance's current entry to the store and removes those of stopped instances.
    ///
    /// With `first_is_draining`, the first instance of each group is entered as draining.
    pub fn publish_instances(&self, first_is_draining: bool) {
        self.publish_with_draining(if first_is_draining { &[0] } else { &[] });
    }

    /// The same, where the instances of each group that `draining` numbers are entered as draining.
    pub fn publish_with_draining(&self, draining: &[usize]) {
        for (group, instances) in &self.groups {
            for (index, instance) in instances.iter().enumerate() {
                let is_up = group.is_up(index);
                if !is_up {
                    self.store.remove("servers", &instance.id);
                    continue;
                }
                let is_draining = draining.contains(&index);
                let is_checked = is_draining && self.checks_drain_limit;
                instance.server.set_draining(is_checked.then_some(self.drain_limit));
                let state = if is_draining { "draining" } else { "ready" };
                let entry = json!({
                    "service": group.name, "address": instance.proxy.address.to_string(),
                    "zone": "z1", "version": "v1", "slots": group.profile.slots, "state": state, "cold_ms": 0,
                    "db_role": group.role(index), "born": group.born(index),
                });
                self.write_entry(&instance.id, entry, false);
            }
        }
    }

    /// Lets every instance that is up write its latest entry again, as a heartbeat does.
    pub fn beat(&self) {
        let written = self.written.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for (group, instances) in &self.groups {
            for (index, instance) in instances.iter().enumerate() {
                let Some((entry, _)) = written.get(&instance.id).filter(|_| group.is_up(index))
                else {
                    continue;
                };
                self.write_entry(&instance.id, entry.clone(), true);
            }
        }
    }

    /// Writes an instance's entry with the next sequence number. Without `is_heartbeat`, an
    /// unchanged entry keeps its number.
    fn write_entry(&self, id: &str, entry: Value, is_heartbeat: bool) {
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        let (last, sequence) = written.entry(id.to_owned()).or_default();
        if *last != entry || is_heartbeat {
            *sequence += 1;
        }
        last.clone_from(&entry);
        let mut entry = entry;
        entry["seq"] = json!(*sequence);
        self.store.put("servers", id, entry);
    }

    /// Writes a version of the table.
    ///
    /// Each service `N` gets the databases `pN` (latest), `bN` (staleness of up to one second) and
    /// `rN` (read your writes); `extra_databases` are routed to the primary of the first service.
    pub fn put_table(&self, version: u64, extra_databases: &[&str]) {
        let extra_routes: Vec<(&str, usize)> = extra_databases.iter().map(|d| (*d, 0)).collect();
        self.put_routes(version, &extra_routes);
    }

    /// The same, where each of `extra_routes` names a database and the number of its service.
    pub fn put_routes(&self, version: u64, extra_routes: &[(&str, usize)]) {
        let limits = *self.table_limits.lock().unwrap_or_else(PoisonError::into_inner);
        let mut routes = Vec::new();
        let mut services = Vec::new();
        for (number, (group, _)) in self.groups.iter().enumerate() {
            let route_types =
                [("p", "primary"), ("b", "bounded_staleness"), ("r", "read_your_writes")];
            for (prefix, route_type) in route_types {
                routes.push(route_json(
                    &format!("{prefix}{number}"),
                    route_type,
                    &group.name,
                    limits.statement,
                ));
            }
            services.push(json!({
                "name": group.name, "max_conns": self.max_connections,
                "sync_replicas": group.profile.sync_replicas,
            }));
        }
        for (database, service) in extra_routes {
            let service = format!("svc{service}");
            routes.push(route_json(database, "primary", &service, limits.statement));
        }
        let public = self.public_databases.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for route in &mut routes {
            if public.iter().any(|database| route["host"] == **database) {
                route["public"] = json!(true);
            }
        }
        let mut table = json!({
            "version": version, "routes": routes, "services": services,
            "limits": {"tx_idle_ms": whole_ms(limits.idle_transaction)},
        });
        let workspaces = self.workspaces.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(workspaces) = workspaces {
            table["tenants"] = workspaces;
        }
        self.store.put("config", "main", table);
    }

    /// Returns the settings file of a daemon that listens for its peers at `peers` and on free
    /// ports for everything else.
    #[must_use]
    pub fn settings(&self, name: &str, peers: SocketAddr, seeds: &[SocketAddr]) -> String {
        let ip = peers.ip();
        let seeds: Vec<String> = seeds.iter().map(|s| format!("{:?}", s.to_string())).collect();
        format!(
            "node = {name:?}\nip = \"{ip}\"\nzone = \"z1\"\nseeds = [{}]\n\
             heartbeat_ms = 1200\ninternal_port_range = [{first}, {last}]\n[listen]\nfront = \"{ip}:0\"\n\
             ready = \"{ip}:0\"\ncontrol = \"{peers}\"\n\
             metrics = \"{ip}:0\"\n[bounds]\n\
             drain_ms = {drain_ms}\ngrace_s = 6\n{quota}[platform]\naddress = \"{store}\"\n[cloud_api]\n\
             address = \"{store}\"\n",
            seeds.join(","),
            first = PEER_PORT + 1,
            last = PEER_PORT + 15,
            drain_ms = self.drain_limit.as_millis(),
            quota = self.quota_bounds,
            store = self.store_proxy.address,
        )
    }

    /// Returns every violation that a fake observed.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut all = self.store.violations();
        for (group, _) in &self.groups {
            all.extend(group.violations());
        }
        all
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn route_json(database: &str, route_type: &str, service: &str, timeout: Duration) -> Value {
    json!({
        "name": format!("r-{database}"), "host": database, "path_prefix": "/", "type": route_type,
        "timeout_ms": whole_ms(timeout), "latency_target_ms": 400, "priority": 1,
        "service": service, "max_attempts": 2, "max_staleness_ms": 1_000,
    })
}

/// The address for statements that daemons forward to the daemon with this peer address.
#[must_use]
pub fn forwarding_address(peers: SocketAddr) -> SocketAddr {
    SocketAddr::new(peers.ip(), PEER_PORT + 1)
}

/// Returns the peer addresses of `count` daemons.
///
/// Each process and each call gets its own loopback addresses, so that the fixed port is free
/// there.
#[must_use]
pub fn loopback_peer_addresses(count: u16) -> Vec<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let pid = std::process::id();
    let first = NEXT.fetch_add(count, Ordering::Relaxed);
    let host = |number: u16| {
        let [high, low] = number.to_be_bytes();
        let [_, _, _, process] = pid.to_be_bytes();
        // Other processes of the test harness get other addresses.
        Ipv4Addr::new(127, process, high.wrapping_add(pid.to_be_bytes()[2]), low)
    };
    (first..first + count).map(|n| SocketAddr::from((host(n), PEER_PORT))).collect()
}
