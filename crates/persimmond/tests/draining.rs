//! Guards against new work at an instance that has announced that it leaves. The fake instances
//! record each statement that arrives after the drain limit.

mod fleet;

use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{InstanceProfile, LineCluster, StoreFaults};

use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup_on};

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

/// Sends statements of all routes to every daemon in turn until `end`; returns how many of them
/// succeeded.
fn send_until(setup: &Setup, end: Instant) -> usize {
    std::thread::scope(|scope| {
        let mut running = Vec::new();
        for daemon in 0..setup.daemons.len() {
            for database in ["p0", "b0", "r0"] {
                running.push(scope.spawn(move || {
                    let mut client = setup.client(daemon, database, "c");
                    let mut succeeded = 0;
                    while Instant::now() < end {
                        let statements = ["READ item", "WRITE item x"];
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
    let known = setup.cluster.store.revision();
    let has_directory = |daemon| {
        setup.has_logged(daemon, |line| {
            line["message"] == "the directory changed" && line["instance"] == "i-0-2"
        })
    };
    assert!(holds_within(CONDITION_TIMEOUT, || (0..3).all(has_directory)));

    set_unavailable(&setup, true);
    setup.cluster.store.restore(&copy);
    setup.cluster.publish_with_draining(Some(1));
    while setup.cluster.store.revision() <= known {
        setup.cluster.put_table(setup.cluster.store.revision() + 10, &[]);
    }
    set_unavailable(&setup, false);
    let served = send_until(&setup, Instant::now() + DRAIN_LIMIT * 2);

    assert!(served > 0);
    setup.assert_no_violations();
}

#[test]
fn primary_that_leaves_without_a_successor_receives_no_new_work_after_the_limit() {
    let setup = setup_on("drain-primary", 3, cluster_without_promotions());

    setup.cluster.publish_with_draining(Some(0));
    let served = send_until(&setup, Instant::now() + DRAIN_LIMIT * 2);

    assert!(served > 0);
    setup.assert_no_violations();
}
