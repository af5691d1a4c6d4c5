//! Daemons as separate processes against a fake platform, for the tests of the line protocol.
#![allow(dead_code, reason = "each test program uses a part of the fixtures")]

pub mod callers;
pub mod crowd;
pub mod keys;
pub mod owners;
pub mod writers;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineClient, LineCluster, loopback_peer_addresses,
};
use persimmon_lab::wait_until;
use serde_json::Value;

/// How long a condition may take to hold.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(15);

/// A fake platform with running daemons.
pub struct Setup {
    /// The fake platform.
    pub cluster: LineCluster,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    folder: TempFolder,
}

/// A temporary folder that is removed when the test succeeds.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates the folder.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("persimmon-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder is created");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the logs of the failed test are kept in {}", self.0.display());
            return;
        }
        // A folder that cannot be removed does not affect a later test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits for a condition; returns whether it held within the limit.
pub fn holds_within(limit: Duration, condition: impl FnMut() -> bool) -> bool {
    wait_until(limit, "a condition", condition).is_ok()
}

/// Starts daemons in front of one group of three instances.
pub fn setup(name: &str, daemons: usize) -> Setup {
    setup_with(name, daemons, InstanceProfile::default())
}

/// The same with the given profile of the instances.
pub fn setup_with(name: &str, count: usize, profile: InstanceProfile) -> Setup {
    let cluster = LineCluster::start(1, 3, profile).expect("the fake platform starts");
    setup_on(name, count, cluster)
}

/// Starts daemons in front of a fake platform.
pub fn setup_on(name: &str, count: usize, cluster: LineCluster) -> Setup {
    setup_with_limits(name, count, cluster, "")
}

/// The same with further text for the settings, such as the section `[limits]`.
pub fn setup_with_limits(name: &str, count: usize, cluster: LineCluster, limits: &str) -> Setup {
    let stores = vec![cluster.store_proxy.address; count];
    start_daemons(name, cluster, stores, limits)
}

/// Starts daemons in front of a fake platform; each reaches the store at an address of its own.
pub fn setup_with_stores(name: &str, cluster: LineCluster, stores: Vec<SocketAddr>) -> Setup {
    start_daemons(name, cluster, stores, "")
}

fn start_daemons(name: &str, cluster: LineCluster, stores: Vec<SocketAddr>, limits: &str) -> Setup {
    let count = stores.len();
    let folder = TempFolder::new(name);
    let mut daemons: Vec<Daemon> = Vec::new();
    let addresses =
        loopback_peer_addresses(u16::try_from(count).expect("the number of daemons fits u16"));
    let seeds = &addresses[..count.min(3)];
    let common = cluster.store_proxy.address.to_string();
    for (number, (peers, store)) in addresses.iter().zip(stores).enumerate() {
        let name = format!("d{number}");
        let settings = cluster.settings(&name, *peers, seeds).replace(&common, &store.to_string());
        let settings = format!("{settings}{limits}");
        daemons.push(Daemon::start(&folder.0, &name, &settings).expect("the daemon starts"));
    }
    assert!(
        holds_within(CONDITION_TIMEOUT, || daemons.iter().all(Daemon::is_ready)),
        "a daemon is not ready"
    );
    Setup { cluster, daemons, folder }
}

impl Setup {
    /// Opens a session.
    pub fn client(&self, daemon: usize, database: &str, name: &str) -> LineClient {
        let address = self.daemons[daemon].addresses.clients;
        LineClient::open(address, database, name).expect("the session opens")
    }

    /// Runs transactions of six sessions in turn, each with a value and a prepared statement whose
    /// names collide, and asserts that each session sees its own state.
    pub fn run_transactions_in_sessions(&self, daemon: usize) {
        let mut clients: Vec<LineClient> =
            (0..6).map(|n| self.client(daemon, "r0", &format!("c{n}"))).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            assert!(
                client.query(&format!("SET who c{number}")).expect("a response").result.is_ok()
            );
            let prepared = client.query("PREPARE s1 WRITE shape").expect("a response");
            assert_eq!(prepared.result, Ok("-".to_owned()));
        }

        for round in 0..10 {
            for (number, client) in clients.iter_mut().enumerate() {
                assert_eq!(client.query("BEGIN").expect("a response").state, "T");
                let written = client.query(&format!("EXECUTE s1 k{number} v{number}-{round}"));
                assert!(written.expect("a response").result.is_ok());
                let committed = client.query("COMMIT").expect("a response");
                assert!(committed.result.is_ok(), "{committed:?}");
                let read = client.query(&format!("READ k{number}")).expect("a response");
                assert_eq!(read.rows, [format!("v{number}-{round}")]);
            }
        }
    }

    /// Sends writes on new sessions until one succeeds; returns how long that took.
    pub fn time_to_write(&self, daemon: usize, data: &str) -> Duration {
        let start = Instant::now();
        let served = holds_within(CONDITION_TIMEOUT, || {
            let address = self.daemons[daemon].addresses.clients;
            let Ok(mut client) = LineClient::open(address, "p0", "gap") else {
                return false;
            };
            client.query(&format!("WRITE gap {data}")).is_ok_and(|a| a.result.is_ok())
        });
        assert!(served, "no write succeeded");
        start.elapsed()
    }

    /// Crashes the primary; its entry stays in the store until `publish_instances` removes it.
    pub fn crash_primary(&self) {
        let (group, instances) = &self.cluster.groups[0];
        let primary = group.primary().expect("the group has a primary");
        instances[primary].server.crash();
    }

    /// Starts crashed instances again and publishes the present roles.
    pub fn restart_crashed(&self) {
        let (group, instances) = &self.cluster.groups[0];
        for (index, instance) in instances.iter().enumerate() {
            if !group.is_up(index) {
                instance.server.restart();
            }
        }
        self.cluster.publish_instances(false);
    }

    /// Kills all daemons and starts them again with the same settings; they listen for clients on
    /// other ports then, and their logs start anew.
    pub fn restart_all(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        for number in 0..self.daemons.len() {
            self.start_again(number);
        }
    }

    /// Starts a daemon that has ended again, with the same settings.
    pub fn start_again(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        let settings = self.folder.0.join(format!("{}.toml", daemon.name));
        let settings = std::fs::read_to_string(settings).expect("the settings are kept");
        *daemon = Daemon::start(&self.folder.0, &daemon.name.clone(), &settings)
            .expect("the daemon starts");
    }

    /// Whether a log line of a daemon satisfies `matches`.
    pub fn has_logged(&self, daemon: usize, matches: impl Fn(&Value) -> bool) -> bool {
        self.daemons[daemon].log_lines().is_ok_and(|lines| lines.iter().any(matches))
    }

    /// Whether the newest directory entries in a daemon's log name the present primary.
    pub fn knows_roles(&self, daemon: usize) -> bool {
        let lines = self.daemons[daemon].log_lines().unwrap_or_default();
        let (group, instances) = &self.cluster.groups[0];
        instances.iter().enumerate().all(|(index, instance)| {
            let is_entry = |line: &&Value| {
                line["message"] == "the directory changed" && line["instance"] == *instance.id
            };
            let role = lines.iter().rev().find(is_entry).map(|line| line["role"].clone());
            let expected = if group.primary() == Some(index) { "Primary" } else { "Replica" };
            role.is_some_and(|role| role == expected)
        })
    }

    /// Asserts that no fake observed a violated guarantee.
    pub fn assert_no_violations(&self) {
        assert_eq!(self.cluster.violations(), Vec::<String>::new());
    }
}
