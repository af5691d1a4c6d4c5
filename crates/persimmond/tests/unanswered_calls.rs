//! Guards against a daemon that takes silence for "nothing has changed": a store that accepts a call
//! and never answers it, and a daemon that was stopped for a while.

mod fleet;

use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{InstanceProfile, LineCluster, StoreFaults};
use rustix::process::Signal;

use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup, setup_on};

/// How long an instance may receive new work after its notice.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// The time within which a change of the table must be active.
const TABLE_LIMIT: Duration = Duration::from_secs(3);

/// The same while the store is disturbed, with the time by which that extends the limit.
const UNSTABLE_TABLE_LIMIT: Duration = Duration::from_secs(15);

/// Delay of each message to and from a slow store.
const ONE_WAY_DELAY: Duration = Duration::from_millis(400);

/// Longer than a daemon pauses between two watches.
const SILENCE: Duration = Duration::from_millis(1_500);

fn cluster(profile: InstanceProfile) -> LineCluster {
    LineCluster::start(1, 3, profile)
        .expect("the fake platform starts")
        .with_drain_limit(DRAIN_LIMIT)
}

fn set_silent(setup: &Setup, never_answers: bool) {
    setup.cluster.store.set_faults(StoreFaults { never_answers, ..StoreFaults::default() });
}

/// Waits until every daemon watches the table and the instances.
fn wait_for_watches(setup: &Setup) {
    let kinds = 2;
    let watches = || setup.cluster.store.waiting_watches();
    assert!(holds_within(CONDITION_TIMEOUT, || watches() >= kinds * setup.daemons.len()));
}

/// Lets every daemon watch the store anew while the store accepts calls and never answers them.
fn watch_in_silence(setup: &Setup, change: impl FnOnce()) {
    wait_for_watches(setup);
    change();
    // The answers to the watches that wait are on their way.
    std::thread::sleep(Duration::from_millis(200));
    set_silent(setup, true);
    std::thread::sleep(SILENCE);
    set_silent(setup, false);
}

/// Whether every daemon has activated a version of the table.
fn is_active(setup: &Setup, version: u64) -> bool {
    (0..setup.daemons.len()).all(|daemon| {
        setup.has_logged(daemon, |line| {
            line["message"] == "table activated" && line["version"] == version
        })
    })
}

/// Sends statements to every daemon until `end`; returns how many succeeded.
fn send_until(setup: &Setup, end: Instant, database: &str, statement: &str) -> usize {
    std::thread::scope(|scope| {
        let mut running = Vec::new();
        for daemon in 0..setup.daemons.len() {
            running.push(scope.spawn(move || {
                let mut client = setup.client(daemon, database, "c");
                let mut succeeded = 0;
                while Instant::now() < end {
                    let answer = client.query(statement);
                    succeeded += usize::from(answer.is_ok_and(|r| r.result.is_ok()));
                }
                succeeded
            }));
        }
        running.into_iter().map(|thread| thread.join().expect("a client")).sum()
    })
}

/// Guards against new work at a leaving instance because the watch of the directory hangs.
#[test]
fn leaving_replica_receives_no_work_after_a_watch_that_is_never_answered() {
    let setup = setup_on("silent-directory", 3, cluster(InstanceProfile::default()));
    watch_in_silence(&setup, || setup.cluster.beat());

    setup.cluster.publish_with_draining(&[2]);
    let end = Instant::now() + DRAIN_LIMIT * 2;
    let served = send_until(&setup, end, "b0", "READ item");

    assert!(served > 0);
    setup.assert_no_violations();
}

/// Guards against statements at a service that a database has left because the watch of the table hangs.
#[test]
fn table_is_active_in_time_after_a_watch_that_is_never_answered() {
    let setup = setup("silent-table", 3);
    watch_in_silence(&setup, || setup.cluster.put_table(5, &[]));
    assert!(holds_within(CONDITION_TIMEOUT, || is_active(&setup, 5)));

    setup.cluster.put_table(8, &["fresh"]);

    assert!(holds_within(TABLE_LIMIT, || is_active(&setup, 8)));
}

/// Guards against a daemon that a slow store keeps from every later change, because a call of its own
/// gives up sooner than the store answers.
#[test]
fn changes_are_received_from_a_store_that_answers_late() {
    let setup = setup("slow-store", 3);
    wait_for_watches(&setup);
    setup.cluster.store_proxy.delay(ONE_WAY_DELAY);
    // The watches that wait break, so that each daemon sends new ones.
    setup.cluster.store_proxy.close_connections();
    std::thread::sleep(SILENCE);

    setup.cluster.put_table(5, &["fresh"]);

    assert!(holds_within(UNSTABLE_TABLE_LIMIT, || is_active(&setup, 5)));
}

/// Guards against new work at a leaving instance because its notice counts from when it was heard.
#[test]
fn notice_heard_late_does_not_extend_the_limit_of_a_primary_that_leaves() {
    let profile =
        InstanceProfile { promotion_delay: Duration::from_secs(600), ..InstanceProfile::default() };
    let setup = setup_on("stopped-daemon", 1, cluster(profile));
    setup.daemons[0].signal(Signal::STOP);
    let noticed_at = Instant::now();
    setup.cluster.publish_with_draining(&[0]);
    std::thread::sleep(DRAIN_LIMIT - Duration::from_millis(200));

    setup.daemons[0].signal(Signal::CONT);
    send_until(&setup, noticed_at + DRAIN_LIMIT * 2, "p0", "WRITE item x");

    setup.assert_no_violations();
}
