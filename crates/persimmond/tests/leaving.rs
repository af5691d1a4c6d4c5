//! Guards against requests and writes that are lost when a daemon shuts down gracefully or a
//! backend server is drained. Daemons receive SIGTERM; instances are marked as `leaving` in the
//! table.

mod common;

use std::time::Duration;

use common::{SERVICE, block_on, cluster, code, connect, create_ledger, try_connect};
use persimmon_lab::{Cluster, ReportedOutcome, Writers, http, wait_until};
use rustix::process::Signal;

/// The time within which a drain must take effect; the requirement is "a few seconds".
const DRAIN_EFFECT_LIMIT: Duration = Duration::from_secs(4);

const DRAIN_SETTINGS: &str = "drain:\n  delay_ms: 300\n  limit_ms: 20000";

#[test]
fn graceful_shutdown_completes_requests_and_transactions() {
    // Arrange
    let mut cluster = cluster(|c| c.with_settings(DRAIN_SETTINGS));
    block_on(async {
        let address = cluster.daemons[0].client_address;
        let busy = connect(address).await;
        let idle = connect(address).await;
        let open = connect(address).await;
        create_ledger(&busy).await;
        open.batch_execute("BEGIN").await.unwrap();
        open.batch_execute("INSERT INTO ledger VALUES ('open', 1)").await.unwrap();
        let request = tokio::spawn(async move {
            busy.simple_query("SELECT pg_sleep(1.5), count(*) FROM ledger").await
        });
        tokio::time::sleep(Duration::from_millis(200)).await;

        // Act: a second signal must have no effect.
        cluster.daemons[0].process.signal(Signal::TERM);
        let admin = cluster.daemons[0].admin;
        wait_until(DRAIN_EFFECT_LIMIT, "the daemon is not ready", || {
            http::status(admin, "/ready").is_ok_and(|status| status == 503)
        })
        .unwrap();
        let late_client = try_connect(address, "").await;
        cluster.daemons[0].process.signal(Signal::TERM);

        // Assert: a client that connects before the load balancer notices the shutdown is served.
        let late_client = late_client.expect("the daemon still accepts connections");
        assert!(late_client.query("SELECT id FROM ledger", &[]).await.is_ok());
        assert!(request.await.unwrap().is_ok(), "the request in flight is answered");
        open.batch_execute("INSERT INTO ledger VALUES ('later', 2)").await.unwrap();
        open.batch_execute("COMMIT").await.unwrap();
        wait_until(DRAIN_EFFECT_LIMIT, "idle clients are disconnected", || idle.is_closed())
            .unwrap();
        drop((late_client, open));
        assert!(cluster.daemons[0].process.wait().unwrap(), "the daemon exits successfully");
        let other = connect(cluster.daemons[1].client_address).await;
        assert_eq!(other.query("SELECT id FROM ledger", &[]).await.unwrap().len(), 2);
    });
}

#[test]
fn rolling_replacement_of_daemons_loses_no_write() {
    // Arrange
    let mut cluster = cluster(|c| c.with_settings(DRAIN_SETTINGS));
    block_on(async {
        let client = connect(cluster.daemons[0].client_address).await;
        create_ledger(&client).await;
        drop(client);
        let addresses: Vec<_> = cluster.daemons.iter().map(|d| d.client_address).collect();
        let writers = Writers::start(&addresses[1..], SERVICE, 3);
        let history = writers.history.clone();

        // Act: each daemon but the last is replaced while clients write.
        for index in 0..2 {
            let before = history.count(ReportedOutcome::Acknowledged);
            cluster.daemons[index].process.signal(Signal::TERM);
            assert!(cluster.daemons[index].process.wait().unwrap());
            cluster.start_daemon().unwrap();
            wait_until(DRAIN_EFFECT_LIMIT * 5, "writes continue", || {
                history.count(ReportedOutcome::Acknowledged) > before + 50
            })
            .unwrap();
        }

        // Assert: no write has an indeterminate outcome because of a shutdown.
        let history = writers.stop().await;
        assert_eq!(history.count(ReportedOutcome::MayHaveRun), 0);
        let last = connect(cluster.daemons[2].client_address).await;
        let rows = last.query("SELECT id FROM ledger", &[]).await.unwrap();
        let stored: Vec<String> = rows.iter().map(|r| r.get(0)).collect();
        assert!(history.check(&stored).is_empty());
    });
}

fn statement_count(cluster: &Cluster, index: usize) -> u64 {
    let rows = cluster.connect_to_instance(index).unwrap().query("SELECT persimmon_lab_stats()");
    let stats: serde_json::Value = serde_json::from_str(&rows.unwrap().unwrap()[0][0]).unwrap();
    stats["statements"].as_u64().unwrap()
}

/// Sets the state of an instance to `leaving` in the table.
fn drain_instance(cluster: &Cluster, index: usize) {
    let name = &cluster.instances[index].name;
    let is_row = |line: &str| line.starts_with(&format!("instance,{name},"));
    let table: Vec<String> = cluster
        .table()
        .lines()
        .map(|l| if is_row(l) { l.replace(",serving", ",leaving") } else { l.to_owned() })
        .collect();
    cluster.put_table(1, &(table.join("\n") + "\n")).unwrap_or_else(|_| {
        let object = http::get(cluster.platform, "/v1/objects/table").unwrap();
        let version = object["version"].as_u64().unwrap();
        cluster.put_table(version, &(table.join("\n") + "\n")).unwrap();
    });
}

#[test]
fn draining_instance_receives_no_statements_after_a_few_seconds() {
    for drained_role in ["replica", "primary"] {
        // Arrange
        let cluster = cluster(|c| c);
        block_on(async {
            let client = connect(cluster.daemons[0].client_address).await;
            create_ledger(&client).await;
            let addresses: Vec<_> = cluster.daemons.iter().map(|d| d.client_address).collect();
            let writers = Writers::start(&addresses, SERVICE, 4);
            let history = writers.history.clone();
            wait_until(DRAIN_EFFECT_LIMIT, "writes are acknowledged", || {
                history.count(ReportedOutcome::Acknowledged) > 50
            })
            .unwrap();
            let (_, primary) = cluster.primary(0, SERVICE).unwrap();
            let index = if drained_role == "primary" { primary } else { (primary + 1) % 3 };

            // Act
            drain_instance(&cluster, index);
            tokio::time::sleep(DRAIN_EFFECT_LIMIT).await;
            let before = statement_count(&cluster, index);
            let acknowledged = history.count(ReportedOutcome::Acknowledged);
            wait_until(DRAIN_EFFECT_LIMIT * 5, "writes continue", || {
                history.count(ReportedOutcome::Acknowledged) > acknowledged + 100
            })
            .unwrap();

            // Assert
            assert_eq!(statement_count(&cluster, index), before, "{drained_role}");
            let history = writers.stop().await;
            let rows = client.query("SELECT id FROM ledger", &[]).await;
            let rows = rows.map_err(|err| code(&err)).unwrap();
            let stored: Vec<String> = rows.iter().map(|r| r.get(0)).collect();
            assert!(history.check(&stored).is_empty(), "{drained_role}");
        });
    }
}
