//! Tests the whole path with separate processes: a real PostgreSQL driver, daemons, a database
//! group and the fake platform. Guards against stale reads within a session, responses that reach
//! the wrong statement or transaction, and sessions that fail after an unsupported request.

mod common;

use std::time::{Duration, Instant};

use common::{SERVICE, block_on, cluster, code, connect, create_ledger};
use persimmon_lab::{Cluster, wait_until};
use tokio_postgres::SimpleQueryMessage;

fn replica_reads(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for index in 0..cluster.instances.len() {
        let rows =
            cluster.connect_to_instance(index).unwrap().query("SELECT persimmon_lab_stats()");
        let stats: serde_json::Value = serde_json::from_str(&rows.unwrap().unwrap()[0][0]).unwrap();
        sum += stats["replica_reads"].as_u64().unwrap();
    }
    sum
}

#[test]
fn session_reads_its_writes_on_another_daemon_while_replicas_lag() {
    // Arrange
    let lag = Duration::from_secs(2);
    let cluster = cluster(|c| c.with_apply_lag(lag));
    block_on(async {
        let one = connect(cluster.daemons[0].client_address).await;
        let other = connect(cluster.daemons[1].client_address).await;
        create_ledger(&one).await;

        // Act: write over the simple and the extended protocol, inside and outside a transaction.
        one.execute("INSERT INTO ledger VALUES ($1, $2::int8)", &[&"a", &1_i64]).await.unwrap();
        one.batch_execute("INSERT INTO ledger VALUES ('b', 2)").await.unwrap();
        one.batch_execute("BEGIN").await.unwrap();
        let insert = one.prepare("INSERT INTO ledger VALUES ($1, $2::int8)").await.unwrap();
        one.execute(&insert, &[&"c", &3_i64]).await.unwrap();
        one.batch_execute("COMMIT").await.unwrap();
        let written = Instant::now();

        // Assert: the other daemon returns all three rows immediately, over both protocols.
        let rows = other.query("SELECT id FROM ledger ORDER BY id", &[]).await.unwrap();
        let ids: Vec<&str> = rows.iter().map(|r| r.get(0)).collect();
        assert_eq!(ids, ["a", "b", "c"]);
        let select = other.prepare("SELECT amount FROM ledger WHERE id = $1").await.unwrap();
        let row = other.query_one(&select, &[&"b"]).await.unwrap();
        assert_eq!(row.get::<_, i64>(0), 2);
        let rows = one.simple_query("SELECT count(*) FROM ledger").await.unwrap();
        let counted = rows
            .iter()
            .any(|m| matches!(m, SimpleQueryMessage::Row(row) if row.get(0) == Some("3")));
        assert!(counted);
        if written.elapsed() < lag / 2 {
            assert_eq!(replica_reads(&cluster), 0, "no replica can have applied the writes");
        }

        // Assert: once the lag has passed, replicas serve reads of the same session.
        wait_until(lag * 3, "replicas serve reads", || {
            let before = replica_reads(&cluster);
            futures::executor::block_on(async {
                let rows = other.query("SELECT id FROM ledger", &[]).await.unwrap();
                assert_eq!(rows.len(), 3);
            });
            replica_reads(&cluster) > before
        })
        .unwrap();
    });
}

#[test]
fn prepared_statement_works_on_every_pooled_connection() {
    // Arrange
    let cluster = cluster(|c| c);
    block_on(async {
        let client = connect(cluster.daemons[0].client_address).await;
        create_ledger(&client).await;
        let insert = client.prepare("INSERT INTO ledger VALUES ($1, $2::int8)").await.unwrap();
        let select = client.prepare("SELECT amount FROM ledger WHERE id = $1").await.unwrap();

        // Act: concurrent requests use several connections of the pool.
        let mut tasks = Vec::new();
        for n in 0..40_i64 {
            let other = connect(cluster.daemons[0].client_address).await;
            tasks.push(tokio::spawn(async move {
                let insert =
                    other.prepare("INSERT INTO ledger VALUES ($1, $2::int8)").await.unwrap();
                other.execute(&insert, &[&format!("t{n}"), &n]).await.unwrap();
                let select =
                    other.prepare("SELECT amount FROM ledger WHERE id = $1").await.unwrap();
                let row = other.query_one(&select, &[&format!("t{n}")]).await.unwrap();
                assert_eq!(row.get::<_, i64>(0), n);
            }));
        }
        for task in tasks {
            task.await.unwrap();
        }
        client.execute(&insert, &[&"x", &7_i64]).await.unwrap();

        // Assert
        let row = client.query_one(&select, &[&"x"]).await.unwrap();
        assert_eq!(row.get::<_, i64>(0), 7);
    });
}

#[test]
fn transaction_stays_on_one_connection_and_rolls_back() {
    // Arrange
    let cluster = cluster(|c| c);
    block_on(async {
        let one = connect(cluster.daemons[0].client_address).await;
        let other = connect(cluster.daemons[0].client_address).await;
        create_ledger(&one).await;

        // Act
        one.batch_execute("BEGIN").await.unwrap();
        one.batch_execute("INSERT INTO ledger VALUES ('gone', 1)").await.unwrap();
        let rows = other.query("SELECT id FROM ledger", &[]).await.unwrap();
        one.batch_execute("ROLLBACK").await.unwrap();

        // Assert
        assert!(rows.is_empty(), "an open transaction is invisible to others");
        assert!(one.query("SELECT id FROM ledger", &[]).await.unwrap().is_empty());
        one.batch_execute("BEGIN; INSERT INTO ledger VALUES ('kept', 1); COMMIT").await.unwrap();
        assert_eq!(other.query("SELECT id FROM ledger", &[]).await.unwrap().len(), 1);
    });
}

#[test]
fn unsupported_request_is_refused_and_the_session_continues() {
    // Arrange
    let cluster = cluster(|c| c.with_daemons(1));
    block_on(async {
        let client = connect(cluster.daemons[0].client_address).await;
        create_ledger(&client).await;
        let cases = [
            ("COPY ledger FROM STDIN", "0A000"),
            ("SET persimmon.token = 'nonsense'", "22023"),
            ("SET persimmon.colour = 'red'", "22023"),
            ("/* persimmon: onec */ SELECT 1", "22023"),
        ];
        for (sql, expected) in cases {
            // Act
            let err = client.batch_execute(sql).await.unwrap_err();

            // Assert
            assert_eq!(code(&err), expected, "{sql}");
            assert!(client.query("SELECT id FROM ledger", &[]).await.is_ok(), "{sql}");
        }
    });
    assert!(cluster.primary(0, SERVICE).is_ok());
}
