//! Guards against lost writes, stale reads and long outages when the primary changes under faults.
//! Daemons and instances are real processes; writers record a history, and a checker that is
//! independent of the daemons compares it with the data of the new primary.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{SERVICE, block_on, cluster, connect, create_ledger};
use persimmon_lab::platform::Faults;
use persimmon_lab::{Cluster, History, ReportedOutcome, Writers, wait_until};
use rustix::process::Signal;

/// The longest gap between acknowledged writes that the failover target allows in any run.
const FAILOVER_GAP_LIMIT: Duration = Duration::from_secs(3);

/// The longest gap between acknowledged writes that is allowed under any other fault.
const MAX_GAP: Duration = Duration::from_secs(10);

/// How many writes must be acknowledged before and after a fault.
const WRITES_AROUND_FAULT: usize = 50;

fn client_addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.daemons.iter().map(|d| d.client_address).collect()
}

async fn start_writers(cluster: &Cluster) -> Writers {
    let client = connect(cluster.daemons[0].client_address).await;
    create_ledger(&client).await;
    let writers = Writers::start(&client_addresses(cluster), SERVICE, 4);
    await_writes(&writers.history, WRITES_AROUND_FAULT);
    writers
}

/// Waits until `more` further writes have been acknowledged.
fn await_writes(history: &History, more: usize) {
    let target = history.count(ReportedOutcome::Acknowledged) + more;
    let what = "writes are acknowledged";
    wait_until(MAX_GAP * 2, what, || history.count(ReportedOutcome::Acknowledged) >= target)
        .unwrap();
}

/// Returns the IDs of the rows that the current primary has.
fn stored_ids(cluster: &Cluster, daemon: usize) -> Vec<String> {
    let (_, primary) = cluster.primary(daemon, SERVICE).unwrap();
    let rows = cluster
        .connect_to_instance(primary)
        .unwrap()
        .query("SELECT id FROM ledger")
        .unwrap()
        .unwrap();
    rows.into_iter().map(|row| row[0].clone()).collect()
}

async fn stop_and_check(cluster: &Cluster, writers: Writers, daemon: usize) -> History {
    let history = writers.stop().await;
    let violations = history.check(&stored_ids(cluster, daemon));
    assert!(violations.is_empty(), "{violations:?}");
    assert!(history.reads() > 0);
    history
}

#[test]
fn killed_primary_is_replaced_quickly_without_losing_writes() {
    // Arrange
    let mut cluster = cluster(|c| c);
    block_on(async {
        let writers = start_writers(&cluster).await;
        let (term, primary) = cluster.primary(0, SERVICE).unwrap();

        // Act
        let killed = Instant::now();
        cluster.instances[primary].process.kill();
        await_writes(&writers.history, WRITES_AROUND_FAULT);

        // Assert
        let history = stop_and_check(&cluster, writers, 0).await;
        let gap = history.longest_gap_after(killed).unwrap();
        assert!(gap < FAILOVER_GAP_LIMIT, "{gap:?}");
        let (new_term, new_primary) = cluster.primary(0, SERVICE).unwrap();
        assert!(new_term > term);
        assert_ne!(new_primary, primary);
    });
}

#[test]
fn frozen_primary_follows_the_new_primary_when_it_resumes() {
    // Arrange
    let cluster = cluster(|c| c);
    block_on(async {
        let writers = start_writers(&cluster).await;
        let (_, primary) = cluster.primary(0, SERVICE).unwrap();

        // Act
        let frozen = Instant::now();
        cluster.instances[primary].process.signal(Signal::STOP);
        await_writes(&writers.history, WRITES_AROUND_FAULT);
        let promotions = count_timeline_events(&cluster, "promoted");
        cluster.instances[primary].process.signal(Signal::CONT);
        await_writes(&writers.history, WRITES_AROUND_FAULT);

        // Assert: the old primary is a replica of the new one, and no write is lost.
        wait_until(MAX_GAP, "the old primary is a replica", || {
            let rows =
                cluster.connect_to_instance(primary).unwrap().query("SELECT persimmon_status()");
            rows.unwrap().unwrap()[0][0] == "replica"
        })
        .unwrap();
        let history = stop_and_check(&cluster, writers, 0).await;
        let gap = history.longest_gap_after(frozen).unwrap();
        assert!(gap < FAILOVER_GAP_LIMIT, "{gap:?}");
        assert_eq!(promotions, 1, "a primary that was just promoted is not replaced immediately");
    });
}

/// Returns how many timeline events of a kind all daemons have recorded.
fn count_timeline_events(cluster: &Cluster, event: &str) -> usize {
    let events = cluster.daemons.iter().map(|d| persimmon_lab::http::get(d.admin, "/timeline"));
    let all = events.flat_map(|e| e.unwrap().as_array().cloned().unwrap_or_default());
    all.filter(|e| e["event"] == event).count()
}

#[test]
fn primary_partitioned_from_its_replicas_acknowledges_no_write() {
    // Arrange
    let cluster = cluster(|c| c);
    block_on(async {
        let writers = start_writers(&cluster).await;
        let (term, primary) = cluster.primary(0, SERVICE).unwrap();

        // Act: clients and daemons still reach the primary, its replicas do not.
        let partitioned = Instant::now();
        cluster.instances[primary].replication_proxy.partition(true);
        await_writes(&writers.history, WRITES_AROUND_FAULT);

        // Assert
        let history = stop_and_check(&cluster, writers, 0).await;
        let gap = history.longest_gap_after(partitioned).unwrap();
        assert!(gap < MAX_GAP, "{gap:?}");
        assert!(cluster.primary(0, SERVICE).unwrap().0 > term);
    });
}

#[test]
fn killed_primary_is_replaced_while_the_store_is_down() {
    // Arrange
    let mut cluster = cluster(|c| c);
    block_on(async {
        let writers = start_writers(&cluster).await;
        await_reserved_terms(&cluster);
        let (_, primary) = cluster.primary(0, SERVICE).unwrap();

        // Act
        cluster.set_faults(Faults { down: true, ..Faults::default() }).unwrap();
        let killed = Instant::now();
        cluster.instances[primary].process.kill();
        await_writes(&writers.history, WRITES_AROUND_FAULT);
        let history = stop_and_check(&cluster, writers, 0).await;
        cluster.set_faults(Faults::default()).unwrap();

        // Assert: the gap is as short as with a working store, and the term is stored afterwards.
        let gap = history.longest_gap_after(killed).unwrap();
        assert!(gap < FAILOVER_GAP_LIMIT, "{gap:?}");
        let term = cluster.primary(0, SERVICE).unwrap().0;
        wait_until(MAX_GAP, "the term is stored", || {
            stored_record(&cluster).is_some_and(|r| r["term"] == term)
        })
        .unwrap();
    });
}

#[test]
fn frozen_coordinator_is_replaced_and_loses_no_write_when_it_resumes() {
    // Arrange
    let mut cluster = cluster(|c| c);
    block_on(async {
        let writers = start_writers(&cluster).await;
        await_reserved_terms(&cluster);
        let (_, primary) = cluster.primary(0, SERVICE).unwrap();
        let record = stored_record(&cluster).unwrap();
        let coordinator = record["reserved"][0]["holder"].as_str().unwrap().to_owned();
        let coordinator = cluster.daemons.iter().position(|d| d.name == coordinator).unwrap();
        let other = (coordinator + 1) % cluster.daemons.len();

        // Act: the daemon with the first reserved term freezes just before the primary is killed.
        let killed = Instant::now();
        cluster.daemons[coordinator].process.signal(Signal::STOP);
        cluster.instances[primary].process.kill();
        let term = cluster.primary(other, SERVICE).unwrap().0;
        wait_until(MAX_GAP, "another daemon replaces the primary", || {
            cluster.primary(other, SERVICE).unwrap().0 > term
        })
        .unwrap();
        let replaced_after = killed.elapsed();
        cluster.daemons[coordinator].process.signal(Signal::CONT);
        await_writes(&writers.history, WRITES_AROUND_FAULT);

        // Assert
        assert!(replaced_after < FAILOVER_GAP_LIMIT, "{replaced_after:?}");
        stop_and_check(&cluster, writers, other).await;
    });
}

#[test]
fn failover_completes_while_the_store_loses_responses() {
    // Arrange
    let mut cluster = cluster(|c| c);
    block_on(async {
        let writers = start_writers(&cluster).await;
        await_reserved_terms(&cluster);
        let (_, primary) = cluster.primary(0, SERVICE).unwrap();

        // Act
        cluster.set_faults(Faults { lose_answers: true, ..Faults::default() }).unwrap();
        cluster.instances[primary].process.kill();
        await_writes(&writers.history, WRITES_AROUND_FAULT);
        cluster.set_faults(Faults::default()).unwrap();

        // Assert: the stored record has the new term.
        stop_and_check(&cluster, writers, 0).await;
        let term = cluster.primary(0, SERVICE).unwrap().0;
        wait_until(MAX_GAP, "the term is stored", || {
            stored_record(&cluster).is_some_and(|r| r["term"] == term)
        })
        .unwrap();
    });
}

#[test]
fn restarted_primary_with_its_data_becomes_a_replica() {
    // Arrange
    let mut cluster = cluster(|c| c);
    block_on(async {
        let writers = start_writers(&cluster).await;
        let (_, primary) = cluster.primary(0, SERVICE).unwrap();

        // Act: three failovers in a row; each killed primary is restarted.
        for _ in 0..3 {
            let (_, primary) = cluster.primary(0, SERVICE).unwrap();
            cluster.instances[primary].process.kill();
            await_writes(&writers.history, WRITES_AROUND_FAULT);
            cluster.restart_instance(primary).unwrap();
            wait_until(MAX_GAP, "the killed primary is a replica", || {
                let rows = cluster
                    .connect_to_instance(primary)
                    .unwrap()
                    .query("SELECT persimmon_status()");
                let row = &rows.unwrap().unwrap()[0];
                let term = cluster.primary(0, SERVICE).unwrap().0;
                row[0] == "replica" && row[1] == term.to_string()
            })
            .unwrap();
        }

        // Assert
        stop_and_check(&cluster, writers, 0).await;
        let rows = cluster.connect_to_instance(primary).unwrap().query("SELECT persimmon_status()");
        assert!(!rows.unwrap().unwrap().is_empty());
    });
}

fn stored_record(cluster: &Cluster) -> Option<serde_json::Value> {
    let path = format!("/v1/objects/group/{SERVICE}");
    let object = persimmon_lab::http::get(cluster.platform, &path).ok()?;
    serde_json::from_str(object["value"].as_str()?).ok()
}

/// Waits until every daemon has a reserved term.
fn await_reserved_terms(cluster: &Cluster) {
    wait_until(MAX_GAP * 2, "terms are reserved", || {
        stored_record(cluster)
            .is_some_and(|r| r["reserved"].as_array().is_some_and(|a| a.len() == 3))
    })
    .unwrap();
}
