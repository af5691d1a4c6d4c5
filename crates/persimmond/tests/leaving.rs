//! Graceful shutdowns of daemons, and backend servers that are leaving.

mod common;

use std::time::Duration;

use common::{SERVICE, block_on, cluster, code, connect, create_ledger, try_connect};
use persimmon_lab::{Cluster, Told, Writers, http, wait_until};
use rustix::process::Signal;

/// "A few seconds" of the brief.
const FEW_SECONDS: Duration = Duration::from_secs(4);

const DRAIN: &str = "drain:\n  delay_ms: 300\n  limit_ms: 20000";

#[test]
fn a_graceful_shutdown_cuts_no_request_and_no_transaction() {
    // Arrange
    let mut cluster = cluster(|c| c.with_settings(DRAIN));
    block_on(async {
        let address = cluster.daemons[0].callers;
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

        // Act: a second signal changes nothing.
        cluster.daemons[0].process.signal(Signal::TERM);
        let admin = cluster.daemons[0].admin;
        wait_until(FEW_SECONDS, "readiness fails", || {
            http::status(admin, "/ready").is_ok_and(|status| status == 503)
        })
        .unwrap();
        let late = try_connect(address, "").await;
        cluster.daemons[0].process.signal(Signal::TERM);

        // Assert: who came before the balancer noticed is served.
        let late = late.expect("the daemon still accepts");
        assert!(late.query("SELECT id FROM ledger", &[]).await.is_ok());
        assert!(request.await.unwrap().is_ok(), "the request in flight is answered");
        open.batch_execute("INSERT INTO ledger VALUES ('later', 2)").await.unwrap();
        open.batch_execute("COMMIT").await.unwrap();
        wait_until(FEW_SECONDS, "idle callers are let go", || idle.is_closed()).unwrap();
        drop((late, open));
        assert!(cluster.daemons[0].process.wait().unwrap(), "the daemon ends well");
        let other = connect(cluster.daemons[1].callers).await;
        assert_eq!(other.query("SELECT id FROM ledger", &[]).await.unwrap().len(), 2);
    });
}

#[test]
fn a_rolling_replacement_of_all_daemons_loses_nothing() {
    // Arrange
    let mut cluster = cluster(|c| c.with_settings(DRAIN));
    block_on(async {
        let client = connect(cluster.daemons[0].callers).await;
        create_ledger(&client).await;
        drop(client);
        let addresses: Vec<_> = cluster.daemons.iter().map(|d| d.callers).collect();
        let writers = Writers::start(&addresses[1..], SERVICE, 3);
        let history = writers.history.clone();

        // Act: each daemon but the last is replaced while callers write.
        for index in 0..2 {
            let before = history.count(Told::Acknowledged);
            cluster.daemons[index].process.signal(Signal::TERM);
            assert!(cluster.daemons[index].process.wait().unwrap());
            cluster.start_daemon().unwrap();
            wait_until(FEW_SECONDS * 5, "writes go on", || {
                history.count(Told::Acknowledged) > before + 50
            })
            .unwrap();
        }

        // Assert: a shutdown never leaves a caller in doubt.
        let history = writers.stop().await;
        assert_eq!(history.count(Told::MayHaveRun), 0);
        let last = connect(cluster.daemons[2].callers).await;
        let rows = last.query("SELECT id FROM ledger", &[]).await.unwrap();
        let held: Vec<String> = rows.iter().map(|r| r.get(0)).collect();
        assert!(history.check(&held).is_empty());
    });
}

fn statements(cluster: &Cluster, index: usize) -> u64 {
    let rows = cluster.direct(index).unwrap().query("SELECT persimmon_lab_stats()");
    let stats: serde_json::Value = serde_json::from_str(&rows.unwrap().unwrap()[0][0]).unwrap();
    stats["statements"].as_u64().unwrap()
}

/// Marks an instance as leaving and waits until each daemon serves by that table.
fn mark_leaving(cluster: &Cluster, index: usize) {
    let name = &cluster.instances[index].name;
    let row = |line: &str| line.starts_with(&format!("instance,{name},"));
    let table: Vec<String> = cluster
        .table()
        .lines()
        .map(|l| if row(l) { l.replace(",serving", ",leaving") } else { l.to_owned() })
        .collect();
    cluster.put_table(1, &(table.join("\n") + "\n")).unwrap_or_else(|_| {
        let object = http::get(cluster.platform, "/v1/objects/table").unwrap();
        let version = object["version"].as_u64().unwrap();
        cluster.put_table(version, &(table.join("\n") + "\n")).unwrap();
    });
}

#[test]
fn a_leaving_backend_server_receives_no_new_work_after_a_few_seconds() {
    for leaving in ["replica", "primary"] {
        // Arrange
        let cluster = cluster(|c| c);
        block_on(async {
            let client = connect(cluster.daemons[0].callers).await;
            create_ledger(&client).await;
            let addresses: Vec<_> = cluster.daemons.iter().map(|d| d.callers).collect();
            let writers = Writers::start(&addresses, SERVICE, 4);
            let history = writers.history.clone();
            wait_until(FEW_SECONDS, "writes are acknowledged", || {
                history.count(Told::Acknowledged) > 50
            })
            .unwrap();
            let (_, primary) = cluster.primary(0, SERVICE).unwrap();
            let index = if leaving == "primary" { primary } else { (primary + 1) % 3 };

            // Act
            mark_leaving(&cluster, index);
            tokio::time::sleep(FEW_SECONDS).await;
            let before = statements(&cluster, index);
            let acknowledged = history.count(Told::Acknowledged);
            wait_until(FEW_SECONDS * 5, "writes go on", || {
                history.count(Told::Acknowledged) > acknowledged + 100
            })
            .unwrap();

            // Assert
            assert_eq!(statements(&cluster, index), before, "{leaving}");
            let history = writers.stop().await;
            let rows = client.query("SELECT id FROM ledger", &[]).await;
            let rows = rows.map_err(|err| code(&err)).unwrap();
            let held: Vec<String> = rows.iter().map(|r| r.get(0)).collect();
            assert!(history.check(&held).is_empty(), "{leaving}");
        });
    }
}
