//! Stand-ins of the users' platform: an object store, an authority that promotes, and instances
//! that speak lines of words.
//!
//! Invariant: the stand-ins check by themselves what a daemon must keep; [`Group::violations`] and
//! [`Store::violations`] say what they saw.

mod client;
mod daemon;
mod group;
mod instance;
mod store;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

use serde_json::json;

pub use client::{LineAnswer, LineClient};
pub use daemon::{Addresses, Daemon};
pub use group::{Group, Work};
pub use instance::InstanceServer;
pub use store::{Store, StoreFaults};

use crate::proxy::Proxy;

/// One instance with the proxy in front of it.
#[derive(Debug)]
pub struct Member {
    /// The instance's identity.
    pub id: String,
    /// Its server.
    pub server: InstanceServer,
    /// Where daemons reach it.
    pub proxy: Proxy,
}

/// A store, and groups of instances that are registered in it.
#[derive(Debug)]
pub struct Seam {
    /// The store and the authority.
    pub store: Store,
    /// The proxy in front of the store.
    pub store_proxy: Proxy,
    /// The groups, each with its instances.
    pub groups: Vec<(Arc<Group>, Vec<Member>)>,
}

impl Seam {
    /// Starts a store and `groups` services of `copies` instances each.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(groups: usize, copies: usize, work: Work) -> io::Result<Self> {
        let store = Store::start()?;
        let store_proxy = Proxy::start(store.address)?;
        let mut started = Vec::new();
        for number in 0..groups {
            let name = format!("svc{number}");
            let group = Arc::new(Group::new(&name, copies, work));
            store.add_group(Arc::clone(&group));
            let mut members = Vec::new();
            for copy in 0..copies {
                let id = format!("i-{number}-{copy}");
                let server = InstanceServer::start(Arc::clone(&group), copy, &id)?;
                let proxy = Proxy::start(server.address)?;
                members.push(Member { id, server, proxy });
            }
            started.push((group, members));
        }
        let seam = Self { store, store_proxy, groups: started };
        seam.register(false);
        seam.put_table(1, &[]);
        Ok(seam)
    }

    /// Writes every instance's entry as it stands.
    pub fn register(&self, first_is_draining: bool) {
        for (group, members) in &self.groups {
            for (copy, member) in members.iter().enumerate() {
                let is_up = group.is_up(copy);
                if !is_up {
                    self.store.remove("servers", &member.id);
                    continue;
                }
                let state = if first_is_draining && copy == 0 { "draining" } else { "ready" };
                self.store.put(
                    "servers",
                    &member.id,
                    json!({
                        "service": group.name, "address": member.proxy.address.to_string(),
                        "zone": "z1", "version": "v1", "slots": 5, "state": state, "cold_ms": 0,
                        "db_role": group.role_word(copy), "seq": 1, "born": group.born(copy),
                    }),
                );
            }
        }
    }

    /// Writes a version of the table: for each service `N` the databases `pN` (latest), `bN`
    /// (bounded to a second) and `rN` (the session's own writes), and others by name on the first.
    pub fn put_table(&self, version: u64, others: &[&str]) {
        let mut routes = Vec::new();
        let mut services = Vec::new();
        for (number, (group, _)) in self.groups.iter().enumerate() {
            let kinds = [("p", "primary"), ("b", "bounded_staleness"), ("r", "read_your_writes")];
            for (prefix, kind) in kinds {
                routes.push(route(&format!("{prefix}{number}"), kind, &group.name));
            }
            services.push(json!({"name": group.name, "max_conns": 60, "sync_replicas": 0}));
        }
        for other in others {
            routes.push(route(other, "primary", "svc0"));
        }
        let table = json!({
            "version": version, "routes": routes, "services": services,
            "limits": {"tx_idle_ms": 3_000},
        });
        self.store.put("config", "main", table);
    }

    /// The settings file of a daemon that meets its peers at `peers` and chooses its other ports.
    #[must_use]
    pub fn settings(&self, name: &str, peers: SocketAddr, seeds: &[SocketAddr]) -> String {
        let ip = peers.ip();
        let seeds: Vec<String> = seeds.iter().map(|s| format!("{:?}", s.to_string())).collect();
        format!(
            "node = {name:?}\nip = \"{ip}\"\nzone = \"z1\"\nseeds = [{}]\n\
             heartbeat_ms = 1200\n[listen]\nfront = \"{ip}:0\"\n\
             ready = \"{ip}:0\"\ncontrol = \"{peers}\"\n\
             metrics = \"{ip}:0\"\n[bounds]\n\
             drain_ms = 7000\ngrace_s = 6\n[platform]\naddress = \"{store}\"\n[cloud_api]\n\
             address = \"{store}\"\n",
            seeds.join(","),
            store = self.store_proxy.address,
        )
    }

    /// Everything that a stand-in saw and that must not be.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut all = self.store.violations();
        for (group, _) in &self.groups {
            all.extend(group.violations());
        }
        all
    }
}

fn route(database: &str, kind: &str, service: &str) -> serde_json::Value {
    json!({
        "name": format!("r-{database}"), "host": database, "path_prefix": "/", "type": kind,
        "timeout_ms": 1_500, "latency_target_ms": 400, "priority": 1, "service": service,
        "max_attempts": 2, "max_staleness_ms": 1_000,
    })
}

/// Addresses at which so many daemons meet; each process and each call gets loopback hosts of its
/// own, so that a fixed port is free there.
#[must_use]
pub fn meeting_addresses(count: u16) -> Vec<SocketAddr> {
    /// The port at which daemons meet.
    const PORT: u16 = 7_440;
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let pid = std::process::id();
    let first = NEXT.fetch_add(count, Ordering::Relaxed);
    let host = |number: u16| {
        let [high, low] = number.to_be_bytes();
        let [_, _, _, process] = pid.to_be_bytes();
        // Other processes of the harness use other hosts, and 127.0.0.1 is left to the stand-ins.
        Ipv4Addr::new(127, process | 1, high.wrapping_add(pid.to_be_bytes()[2]), low)
    };
    (first..first + count).map(|n| SocketAddr::from((host(n), PORT))).collect()
}
