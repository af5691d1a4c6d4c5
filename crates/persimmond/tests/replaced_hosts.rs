//! Guards against hosts that are replaced for good and leave their shares of the quotas behind, and
//! against a replaced host that is only cut off and grants its share again when it is back.

mod fleet;

use std::time::Duration;

use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineClient, LineCluster, loopback_peer_addresses,
};
use serde_json::{Value, json};

use crate::fleet::{CONDITION_TIMEOUT, Setup, TempFolder, holds_within, setup_on};

/// How long the service may take to grant again after a loss of all daemons.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

fn start(name: &str) -> Setup {
    let cluster = LineCluster::start(1, 3, InstanceProfile::default())
        .expect("the fake platform starts")
        .with_quota_bounds(5.0, 0.1, 20.0);
    cluster.set_workspaces(json!([
        {"name": "w", "api_keys": ["key"], "priority": 1, "rate_per_s": 40.0, "burst": 20.0},
    ]));
    cluster.put_table(3, &[]);
    let setup = setup_on(name, 3, cluster);
    assert!(holds_within(CONDITION_TIMEOUT, || (0..3).all(|d| is_served(&setup.daemons[d]))));
    assert!(holds_within(CONDITION_TIMEOUT, || registered(&setup) == Some(3)));
    setup
}

fn is_served(daemon: &Daemon) -> bool {
    let client = LineClient::open(daemon.addresses.clients, "p0", "key");
    client.is_ok_and(|mut c| c.query("READ item").is_ok_and(|a| a.result.is_ok()))
}

/// The size of the fleet that the last daemon knows.
fn registered(setup: &Setup) -> Option<u64> {
    let lines = setup.daemons.last()?.log_lines().ok()?;
    let is_size = |line: &&Value| line["message"] == "the size of the fleet is known";
    lines.iter().rev().find(is_size)?["registered"].as_u64()
}

/// Adds a daemon at an address of its own.
fn add_daemon(setup: &mut Setup, folder: &TempFolder, name: &str) {
    let seeds: Vec<_> = setup.daemons.iter().map(|d| d.addresses.peers).collect();
    let address = loopback_peer_addresses(1)[0];
    let settings = setup.cluster.settings(name, address, &seeds);
    setup.daemons.push(Daemon::start(&folder.0, name, &settings).expect("the daemon starts"));
}

#[test]
fn hosts_that_are_replaced_one_after_the_other_leave_no_share_behind() {
    let mut setup = start("replaced");
    let folder = TempFolder::new("replaced-hosts");
    for round in 0..3 {
        let mut gone = setup.daemons.remove(0);
        gone.kill();
        add_daemon(&mut setup, &folder, &format!("new{round}"));
        assert!(holds_within(CONDITION_TIMEOUT, || registered(&setup) == Some(4)));
        assert!(
            holds_within(CONDITION_TIMEOUT, || registered(&setup) == Some(3)),
            "a host that is gone is still registered"
        );
    }

    for daemon in &mut setup.daemons {
        daemon.kill();
    }
    let folder = TempFolder::new("replaced-again");
    let seeds: Vec<_> = setup.daemons.iter().map(|d| d.addresses.peers).collect();
    let names: Vec<String> = setup.daemons.iter().map(|d| d.name.clone()).collect();
    for (number, name) in names.iter().enumerate() {
        let settings = setup.cluster.settings(name, seeds[number], &seeds);
        let started = Daemon::start(&folder.0, name, &settings).expect("the daemon starts");
        setup.daemons[number] = started;
    }

    assert!(holds_within(RECOVERY_LIMIT, || setup.daemons.iter().all(is_served)));
    setup.assert_no_violations();
}
