//! Guards against new work at an instance that has announced that it leaves. The fake instances
//! record each statement that arrives after the drain limit.

mod fleet;

use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineCluster, StoreFaults, loopback_peer_addresses,
};

use crate::fleet::{CONDITION_TIMEOUT, Setup, TempFolder, holds_within, setup_on};

/// How long an instance may receive new work after its announcement.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

fn cluster(profile: InstanceProfile) -> LineCluster {
    LineCluster::start(1, 3, profile)
        .expect("the fake platform starts")
        .with_drain_limit(DRAIN_LIMIT)
}

/// A group in which no promotion takes effect.
fn cluster_without_promotions() -> LineCluster {
    cluster(InstanceProfile {
        promotion_delay: Duration::from_secs(600),
        ..InstanceProfile::default()
    })
}

fn set_unavailable(setup: &Setup, is_unavailable: bool) {
    setup.cluster.store.set_faults(StoreFaults { is_unavailable, ..StoreFaults::default() });
}

/// Starts another daemon of the fleet.
fn start_late(setup: &Setup, folder: &TempFolder) -> Daemon {
    let seeds: Vec<_> = setup.daemons.iter().map(|d| d.addresses.peers).collect();
    let settings = setup.cluster.settings("late", loopback_peer_addresses(1)[0], &seeds);
    Daemon::start(&folder.0, "late", &settings).expect("the daemon starts")
}

/// Sends the statements on each database to every daemon until `end`; returns how many succeeded.
fn send_until(setup: &Setup, end: Instant, databases: &[&str], statements: &[&str]) -> usize {
    std::thread::scope(|scope| {
        let mut running = Vec::new();
        for daemon in 0..setup.daemons.len() {
            for database in databases {
                running.push(scope.spawn(move || {
                    let mut client = setup.client(daemon, database, "c");
                    let mut succeeded = 0;
                    while Instant::now() < end {
                        let served = statements
                            .iter()
                            .filter(|text| client.query(text).is_ok_and(|r| r.result.is_ok()));
                        succeeded += served.count();
                    }
                    succeeded
                }));
            }
        }
        running.into_iter().map(|thread| thread.join().expect("a client")).sum()
    })
}

#[test]
fn announcement_lost_by_a_restored_store_and_written_again_is_not_missed() {
    let setup = setup_on("drain-restore", 3, cluster(InstanceProfile::default()));
    let copy = setup.cluster.store.copy();
    setup.cluster.beat();
    setup.cluster.publish_with_draining(&[2]);
    let known = setup.cluster.store.revision();
    let knows_first = |daemon| {
        setup.has_logged(daemon, |line| line["instance"] == "i-0-2" && line["draining"] == true)
    };
    assert!(holds_within(CONDITION_TIMEOUT, || (0..3).all(knows_first)));

    set_unavailable(&setup, true);
    setup.cluster.store.restore(&copy);
    setup.cluster.publish_with_draining(&[1, 2]);
    while setup.cluster.store.revision() <= known {
        setup.cluster.put_table(setup.cluster.store.revision() + 10, &[]);
    }
    set_unavailable(&setup, false);
    let end = Instant::now() + DRAIN_LIMIT * 2;
    let served = send_until(&setup, end, &["b0", "r0"], &["READ item"]);

    assert!(served > 0);
    setup.assert_no_violations();
}

#[test]
fn primary_that_leaves_without_a_successor_receives_no_new_work_after_the_limit() {
    let setup = setup_on("drain-primary", 3, cluster_without_promotions());

    setup.cluster.publish_with_draining(&[0]);
    let end = Instant::now() + DRAIN_LIMIT * 2;
    let served = send_until(&setup, end, &["p0", "b0", "r0"], &["READ item", "WRITE item x"]);

    assert!(served > 0);
    setup.assert_no_violations();
}

#[test]
fn daemon_that_starts_late_does_not_extend_the_limit_of_a_primary_that_leaves() {
    let mut setup = setup_on("drain-late", 3, cluster_without_promotions());
    let began = Instant::now();
    setup.cluster.publish_with_draining(&[0]);
    send_until(&setup, began + DRAIN_LIMIT / 2, &["p0"], &["WRITE item x"]);

    let folder = TempFolder::new("drain-newcomer");
    let late = start_late(&setup, &folder);
    setup.daemons = vec![late];
    send_until(&setup, began + DRAIN_LIMIT * 2, &["p0", "r0"], &["READ item", "WRITE item x"]);

    setup.assert_no_violations();
}
