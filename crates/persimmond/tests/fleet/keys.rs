//! Fleets whose table has workspaces, and daemons behind proxies of their own.

use std::net::SocketAddr;

use persimmon_lab::fault_proxy::FaultProxy;
use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineClient, LineCluster, forwarding_address, loopback_peer_addresses,
};
use serde_json::{Value, json};

use crate::fleet::owners::{DAEMONS, FEW_CONNECTIONS, await_owner};
use crate::fleet::{CONDITION_TIMEOUT, Setup, TempFolder, holds_within};

/// The version of the table with which the daemons of these fleets start.
pub const FIRST_VERSION: u64 = 3;

/// Workspaces in the form of the platform, each with its keys. The fixtures find an owner by the key
/// `find`.
pub fn workspaces(list: &[(&str, &[&str])]) -> Value {
    let mut all = vec![json!({"name": "fixtures", "api_keys": ["find", "gap"]})];
    for (name, keys) in list {
        all.push(json!({"name": name, "api_keys": keys, "priority": 1}));
    }
    Value::Array(all)
}

/// A fake platform whose table has the given workspaces.
pub fn cluster_with(list: &[(&str, &[&str])], max_connections: usize) -> LineCluster {
    let cluster = LineCluster::start(1, 3, InstanceProfile::default())
        .expect("the fake platform starts")
        .with_max_connections(max_connections);
    cluster.set_workspaces(workspaces(list));
    cluster.put_table(FIRST_VERSION, &[]);
    cluster
}

/// Writes a version of the table with other workspaces.
pub fn put_workspaces(setup: &Setup, version: u64, list: &[(&str, &[&str])]) {
    setup.cluster.set_workspaces(workspaces(list));
    setup.cluster.put_table(version, &[]);
}

/// Whether a daemon has activated a version of the table.
pub fn is_active(setup: &Setup, daemon: usize, version: u64) -> bool {
    setup.has_logged(daemon, |line| {
        line["message"] == "table activated" && line["version"] == version
    })
}

/// Whether all daemons have.
pub fn is_active_everywhere(setup: &Setup, version: u64) -> bool {
    (0..setup.daemons.len()).all(|daemon| is_active(setup, daemon, version))
}

/// The code with which a daemon refuses a session; `None` if it opens.
pub fn refusal(setup: &Setup, daemon: usize, database: &str, key: &str) -> Option<String> {
    let opened = LineClient::open(setup.daemons[daemon].addresses.clients, database, key);
    let line = opened.err()?.to_string();
    Some(line.split(' ').nth(1).unwrap_or(&line).to_owned())
}

/// A fleet in which one daemon owns the service, each daemon behind proxies of its own.
pub struct ProxiedFleet {
    /// The daemons and the fake platform.
    pub setup: Setup,
    /// The daemon that owns the service.
    pub owner: usize,
    /// The proxy of each daemon to the store.
    pub stores: Vec<FaultProxy>,
    /// The proxy to the port of each daemon for other daemons.
    pub peers: Vec<FaultProxy>,
    /// The proxy to the port of each daemon for forwarded statements.
    pub forwarding: Vec<FaultProxy>,
}

/// Starts such a fleet.
pub fn proxied_fleet(name: &str, list: &[(&str, &[&str])]) -> ProxiedFleet {
    let cluster = cluster_with(list, FEW_CONNECTIONS);
    let folder = TempFolder::new(name);
    let count = u16::try_from(DAEMONS).expect("the number of daemons fits u16");
    let used = loopback_peer_addresses(count);
    let bound = loopback_peer_addresses(count);
    let common = cluster.store_proxy.address.to_string();
    let mut starting = Vec::new();
    let (mut stores, mut peers, mut forwarding) = (Vec::new(), Vec::new(), Vec::new());
    let proxy = |used: SocketAddr, bound: SocketAddr| {
        FaultProxy::start_at(used, bound).expect("the proxy starts")
    };
    for (number, (used_at, bound_at)) in used.iter().zip(&bound).enumerate() {
        stores.push(FaultProxy::start(cluster.store.address).expect("the proxy starts"));
        peers.push(proxy(*used_at, *bound_at));
        let (from, to) = (forwarding_address(*used_at), forwarding_address(*bound_at));
        forwarding.push(proxy(from, to));
        for proxy in [&peers[number], &forwarding[number]] {
            proxy.record();
        }
        let name = format!("d{number}");
        let settings = cluster
            .settings(&name, *used_at, &used)
            .replace(&common, &stores[number].address.to_string())
            .replace("[listen]", &format!("[listen]\npeer_ip = \"{}\"", bound_at.ip()));
        let path = folder.0.clone();
        starting.push(std::thread::spawn(move || Daemon::start(&path, &name, &settings)));
    }
    // Beside each other: each logs once, soon after its start, how many daemons it knows.
    let daemons = starting
        .into_iter()
        .map(|thread| thread.join().expect("a start ends").expect("the daemon starts"))
        .collect();
    let setup = Setup { cluster, daemons, folder };
    assert!(
        holds_within(CONDITION_TIMEOUT, || setup.daemons.iter().all(Daemon::is_ready)),
        "a daemon is not ready"
    );
    let owner = await_owner(&setup);
    ProxiedFleet { setup, owner, stores, peers, forwarding }
}
