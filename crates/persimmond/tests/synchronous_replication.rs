//! Guards against acknowledged commits that a promotion loses, and against writes that stay blocked,
//! in a group whose commits wait for one replica. The fakes record each lost commit.

mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{InstanceProfile, StoreFaults};

use crate::fleet::writers::Writers;
use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup_with};

/// How long after its request a promotion takes effect.
const PROMOTION_DELAY: Duration = Duration::from_millis(1_000);

/// After this time, a daemon has proved at the store that its directory is complete.
const DIRECTORY_PROOF_TIME: Duration = Duration::from_secs(4);

/// How long the service may take to acknowledge writes after a loss of all daemons.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

fn synchronous_setup(name: &str) -> Setup {
    let profile = InstanceProfile {
        sync_replicas: 1,
        promotion_delay: PROMOTION_DELAY,
        ..InstanceProfile::default()
    };
    setup_with(name, 3, profile)
}

/// Starts writers, and waits until the daemons know that they have the whole directory: they would
/// take an instance that announces earlier that it leaves for one that has left.
fn start_writers(setup: &Setup) -> Writers {
    let addresses: Vec<SocketAddr> = setup.daemons.iter().map(|d| d.addresses.clients).collect();
    let writers = Writers::start(&addresses);
    publish_for(setup, &[], DIRECTORY_PROOF_TIME);
    assert!(writers.acknowledged() > 50);
    writers
}

/// Publishes the present roles, with these instances draining, until a condition holds.
fn publish_until(setup: &Setup, draining: &[usize], mut condition: impl FnMut() -> bool) -> bool {
    holds_within(CONDITION_TIMEOUT, || {
        setup.cluster.publish_with_draining(draining);
        condition()
    })
}

fn publish_for(setup: &Setup, draining: &[usize], time: Duration) {
    let until = Instant::now() + time;
    publish_until(setup, draining, || Instant::now() >= until);
}

/// Guards against a replica that joins while a promotion takes effect, and with which the old
/// primary acknowledges commits that the next one lacks.
#[test]
fn replica_that_joins_during_a_planned_promotion_costs_no_acknowledged_commit() {
    let mut setup = synchronous_setup("sync-join");
    let writers = start_writers(&setup);
    setup.cluster.add_instance(0).expect("an instance starts");

    let is_requested =
        publish_until(&setup, &[0], || !setup.cluster.store.requested_promotions().is_empty());
    setup.cluster.add_instance(0).expect("an instance starts");

    assert!(is_requested);
    let group = &setup.cluster.groups[0].0;
    let is_replaced = || group.primary().is_some_and(|primary| primary != 0);
    assert!(publish_until(&setup, &[0], is_replaced));
    let before = writers.acknowledged();
    assert!(publish_until(&setup, &[0], || writers.acknowledged() > before + 50));
    setup.assert_no_violations();
}

/// Guards against a promotion request without an answer that is carried out after a later promotion.
#[test]
fn promotion_request_that_is_carried_out_late_does_not_undo_a_later_promotion() {
    const DELAY: Duration = Duration::from_secs(9);
    let mut setup = synchronous_setup("sync-late");
    let writers = start_writers(&setup);
    setup.cluster.store.delay_promotions(1, DELAY);
    setup.cluster.add_instance(0).expect("an instance starts");

    let is_replaced = publish_until(&setup, &[0], || {
        setup.cluster.groups[0].0.primary().is_some_and(|primary| primary != 0)
    });
    let requested_at = Instant::now();
    assert!(is_replaced);
    let first = setup.cluster.groups[0].0.primary().expect("the group has a primary");
    setup.cluster.add_instance(0).expect("an instance starts");
    // The daemon that requested the first promotion is at rest again and requests the next one.
    publish_for(&setup, &[0], Duration::from_secs(2));
    let is_replaced = publish_until(&setup, &[0, first], || {
        setup.cluster.groups[0].0.primary().is_some_and(|primary| primary != 0 && primary != first)
    });
    assert!(is_replaced && requested_at.elapsed() < DELAY);
    let (group, _) = &setup.cluster.groups[0];
    group.set_replication_paused(first, true);
    let second = group.primary();
    publish_for(&setup, &[0, first], DELAY);

    assert_eq!(group.primary(), second);
    let before = writers.acknowledged();
    assert!(publish_until(&setup, &[0, first], || writers.acknowledged() > before + 50));
    setup.assert_no_violations();
}

/// Crashes the primary while promotions are unavailable, until a replica has been stopped from
/// receiving, and starts it again.
fn crash_primary_until_replicas_are_stopped(setup: &Setup) {
    setup
        .cluster
        .store
        .set_faults(StoreFaults { is_promotion_unavailable: true, ..StoreFaults::default() });
    setup.crash_primary();
    let (group, _) = &setup.cluster.groups[0];
    assert!(holds_within(CONDITION_TIMEOUT, || group.is_stopped(1) && group.is_stopped(2)));
    setup.restart_crashed();
}

/// Guards against replicas that stay stopped because the process that stopped them is gone.
#[test]
fn replicas_that_were_stopped_by_killed_daemons_receive_again() {
    let mut setup = synchronous_setup("sync-killed");
    let writers = start_writers(&setup);
    crash_primary_until_replicas_are_stopped(&setup);

    for daemon in &mut setup.daemons {
        daemon.kill();
    }
    drop(writers);
    setup.cluster.store.set_faults(StoreFaults::default());
    setup.restart_all();
    let gap = setup.time_to_write(0, "after");

    assert!(gap < RECOVERY_LIMIT, "{gap:?}");
    setup.assert_no_violations();
}

/// Guards against replicas that wait for a promotion which is no longer needed.
#[test]
fn replicas_receive_again_once_the_primary_is_back_while_promotions_are_unavailable() {
    let setup = synchronous_setup("sync-back");
    let _writers = start_writers(&setup);
    crash_primary_until_replicas_are_stopped(&setup);

    let gap = setup.time_to_write(0, "after");

    assert!(gap < Duration::from_secs(4), "{gap:?}");
    assert_eq!(setup.cluster.groups[0].0.term(), 1);
    setup.assert_no_violations();
}
