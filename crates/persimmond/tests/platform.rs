//! Tests daemons on the users' platform: separate processes against a fake platform and fake
//! instances, which record each violated guarantee. Guards against lost writes, stale reads,
//! sessions that affect each other, and outages while instances, the store or a daemon fail.

mod fleet;

use std::io;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineClient, LineCluster, StoreFaults, loopback_peer_addresses,
};
use persimmon_lab::process::daemon_program;
use rustix::process::Signal;

use crate::fleet::{CONDITION_TIMEOUT, Setup, TempFolder, holds_within, setup, setup_with};

#[test]
fn session_reads_its_own_writes_on_every_route() {
    let setup = setup("own-writes", 1);
    for database in ["p0", "b0", "r0"] {
        let mut client = setup.client(0, database, "c1");
        for round in 0..20 {
            let data = format!("{database}-{round}");
            let written = client.query(&format!("WRITE item {data}")).expect("a response");
            assert!(written.result.is_ok(), "{written:?}");

            let read = client.query("READ item").expect("a response");

            // A route with bounded staleness guarantees only the age of its data; the other two
            // guarantee that the read returns this write.
            if database != "b0" {
                assert_eq!(read.rows, std::slice::from_ref(&data), "{database}: {read:?}");
            }
            assert_eq!(read.state, "I");
        }
    }
    setup.assert_no_violations();
}

#[test]
fn sessions_share_no_values_statements_or_transactions() {
    let setup = setup("sessions", 1);

    setup.run_transactions_in_sessions(0);

    setup.assert_no_violations();
}

#[test]
fn rolled_back_or_abandoned_transaction_writes_nothing() {
    let setup = setup("rollback", 1);
    let mut client = setup.client(0, "p0", "c1");
    assert!(client.query("BEGIN").expect("a response").result.is_ok());
    assert!(client.query("WRITE item gone").expect("a response").result.is_ok());
    assert_eq!(client.query("ROLLBACK").expect("a response").state, "I");
    let mut abandoning = setup.client(0, "p0", "c2");
    assert!(abandoning.query("BEGIN").expect("a response").result.is_ok());
    assert!(abandoning.query("WRITE item left").expect("a response").result.is_ok());
    drop(abandoning);

    let read = client.query("READ item").expect("a response");

    assert_eq!(read.rows, ["-"]);
    setup.assert_no_violations();
}

#[test]
fn crashed_primary_is_replaced() {
    let setup = setup("crash", 3);
    setup.time_to_write(0, "before");

    setup.crash_primary();
    let gap = setup.time_to_write(0, "after");

    // The promotion takes 300 ms; the failover may take at most two seconds more.
    assert!(gap < Duration::from_millis(2_300), "{gap:?}");
    assert_eq!(setup.cluster.groups[0].0.term(), 2);
    setup.assert_no_violations();
}

#[test]
fn crashed_primary_is_replaced_by_the_promotion_lock_holder_while_the_store_is_unavailable() {
    let setup = setup("crash-store", 3);
    setup.crash_primary();
    setup.time_to_write(0, "first");
    setup.cluster.publish_instances(false);
    let (group, instances) = &setup.cluster.groups[0];
    instances.iter().enumerate().filter(|(index, _)| !group.is_up(*index)).for_each(
        |(_, instance)| {
            instance.server.restart();
        },
    );
    setup.cluster.publish_instances(false);
    let roles_known = |setup: &Setup| setup.time_to_write(1, "second") < Duration::from_secs(1);
    assert!(holds_within(CONDITION_TIMEOUT, || roles_known(&setup)));
    setup.cluster.store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    setup.crash_primary();

    // The fake store also serves promotions; it refuses only reads and writes of objects.
    let gap = setup.time_to_write(0, "third");

    assert!(gap < Duration::from_millis(3_000), "{gap:?}");
    setup.assert_no_violations();
}

#[test]
fn crashed_primary_is_replaced_in_time_whichever_daemon_notices_it() {
    let setup = setup("crash-noticed", 4);
    let lock_is_held = || {
        (0..4).any(|daemon| {
            setup.has_logged(daemon, |l| l["message"] == "this daemon holds the duty")
        })
    };
    assert!(holds_within(CONDITION_TIMEOUT, lock_is_held));

    for daemon in 0..4 {
        let roles_are_known = || (0..4).all(|daemon| setup.knows_roles(daemon));
        assert!(holds_within(CONDITION_TIMEOUT, roles_are_known));
        setup.time_to_write(daemon, &format!("before{daemon}"));
        let unavailable = StoreFaults { is_unavailable: true, ..StoreFaults::default() };
        setup.cluster.store.set_faults(unavailable);
        setup.crash_primary();

        // Only this daemon has a client, and it need not hold the promotion lock.
        let gap = setup.time_to_write(daemon, &format!("after{daemon}"));

        // The promotion takes 300 ms; the failover may take at most two seconds more.
        assert!(gap < Duration::from_millis(2_300), "daemon {daemon}: {gap:?}");
        setup.cluster.store.set_faults(StoreFaults::default());
        setup.restart_crashed();
    }
    setup.assert_no_violations();
}

#[test]
fn primary_is_not_replaced_when_one_daemon_is_paused() {
    let setup = setup("cut-one", 4);
    setup.time_to_write(0, "before");
    let (group, _) = &setup.cluster.groups[0];

    // Only one daemon is paused; the primary works.
    setup.daemons[3].signal(Signal::STOP);
    for round in 0..10 {
        setup.time_to_write(0, &format!("r{round}"));
    }
    setup.daemons[3].signal(Signal::CONT);

    setup.time_to_write(3, "after");
    assert_eq!(group.term(), 1);
    setup.assert_no_violations();
}

#[test]
fn draining_primary_is_replaced_before_it_stops() {
    let setup = setup("leaving", 2);
    setup.time_to_write(0, "before");

    setup.cluster.publish_instances(true);

    let (group, _) = &setup.cluster.groups[0];
    let is_replaced = holds_within(Duration::from_secs(6), || group.primary() != Some(0));
    assert!(is_replaced, "the draining instance is still the primary");
    setup.time_to_write(0, "after");
    setup.assert_no_violations();
}

#[test]
fn new_table_becomes_active_and_a_removed_route_is_refused() {
    let setup = setup("table", 2);
    let open = |daemon: usize, database: &str| {
        LineClient::open(setup.daemons[daemon].addresses.clients, database, "t")
    };
    assert!(open(0, "fresh").is_err());

    setup.cluster.put_table(5, &["fresh"]);
    for daemon in 0..2 {
        let is_served = holds_within(Duration::from_secs(3), || open(daemon, "fresh").is_ok());
        assert!(is_served, "a new route is not served within three seconds");
    }
    setup.cluster.put_table(9, &[]);

    for daemon in 0..2 {
        let is_refused = holds_within(Duration::from_secs(3), || {
            open(daemon, "fresh").is_err_and(|err| err.to_string().contains("NODB"))
        });
        assert!(is_refused, "a removed route is still served after three seconds");
    }
}

#[test]
fn daemon_without_store_access_serves_with_state_from_its_peers() {
    let mut setup = setup("peers", 2);
    let seeds: Vec<_> = setup.daemons.iter().map(|d| d.addresses.peers).collect();
    let store = setup.cluster.store_proxy.address.to_string();
    let address = loopback_peer_addresses(1)[0];
    let settings = setup.cluster.settings("late", address, &seeds).replace(&store, "127.0.0.1:9");

    let folder = TempFolder::new("peers-late");
    let late = Daemon::start(&folder.0, "late", &settings).expect("the daemon starts");

    assert!(
        holds_within(CONDITION_TIMEOUT, || late.is_ready()),
        "the daemon without store access is not ready"
    );
    setup.daemons.push(late);
    let mut client = setup.client(2, "r0", "c1");
    assert!(client.query("WRITE item v").expect("a response").result.is_ok());
    assert_eq!(client.query("READ item").expect("a response").rows, ["v"]);
    setup.assert_no_violations();
}

#[test]
fn objects_are_listed_again_after_the_store_loses_its_history() {
    let setup = setup("history", 1);
    setup.cluster.store.clear_history();
    setup.cluster.put_table(7, &["fresh"]);

    let is_served = holds_within(Duration::from_secs(3), || {
        LineClient::open(setup.daemons[0].addresses.clients, "fresh", "t").is_ok()
    });

    assert!(is_served, "a new route is not served after the store lost its history");
}

#[test]
fn write_with_a_lost_response_is_reported_in_doubt_and_runs_once() {
    let setup = setup("lost-answer", 1);
    let mut client = setup.client(0, "p0", "c1");
    assert!(client.query("WRITE item v0").expect("a response").result.is_ok());
    let (group, instances) = &setup.cluster.groups[0];
    let primary = group.primary().expect("the group has a primary");
    instances[primary].server.set_response_loss(true);

    let answer = client.query("WRITE item v1").expect("a response");

    assert_eq!(answer.code(), Some("INDOUBT"), "{answer:?}");
    instances[primary].server.set_response_loss(false);
    let mut reader = setup.client(0, "p0", "c2");
    assert_eq!(reader.query("READ item").expect("a response").rows, ["v1"]);
    setup.assert_no_violations();
}

#[test]
fn stopping_daemon_completes_open_transactions() {
    let mut setup = setup("stop", 1);
    let mut busy = setup.client(0, "p0", "busy");
    let mut idle = setup.client(0, "p0", "idle");
    assert!(busy.query("BEGIN").expect("a response").result.is_ok());
    assert!(busy.query("WRITE item v").expect("a response").result.is_ok());

    setup.daemons[0].signal(Signal::TERM);
    assert!(holds_within(Duration::from_secs(1), || !setup.daemons[0].is_ready()));
    assert!(busy.query("READ item").expect("a response").result.is_ok());
    assert!(idle.is_closed(), "an idle session is closed without a message");
    let committed = busy.query("COMMIT").expect("a response");

    assert!(committed.result.is_ok(), "{committed:?}");
    let has_ended = || setup.daemons[0].try_wait().expect("the process can be polled").is_some();
    assert!(holds_within(Duration::from_secs(6), has_ended), "the process still runs");
    setup.cluster.groups[0].0.primary().expect("the group has a primary");
}

#[test]
fn malformed_input_ends_only_its_own_session() {
    let setup = setup("bad-input", 1);
    let mut unaffected = setup.client(0, "r0", "good");
    let long = format!("QUERY x:1 READ {}\r\n", "k".repeat(1 << 20));
    let inputs: [&[u8]; 6] = [
        b"HELLO there\r\n",
        b"QUERY\r\n",
        b"\xff\xfe\xfd\r\n",
        b"QUERY x:1 READ a\n",
        b"\0\0\0\x08\x04\xd2\x16\x2f\r\n",
        long.as_bytes(),
    ];
    for input in inputs {
        let mut bad = setup.client(0, "r0", "bad");
        // A daemon may close before everything is written.
        let _ = bad.send_raw(input);

        let has_ended = (0..3).any(|_| bad.receive_response().is_err());

        assert!(has_ended, "the session continues after {:?}", &input[..input.len().min(12)]);
        assert!(unaffected.query("READ item").expect("a response").result.is_ok());
    }
    let mut half = setup.client(0, "r0", "half");
    half.send_raw(b"QUERY half:1 REA").expect("the bytes are sent");
    half.send_raw(b"D item\r\n").expect("the bytes are sent");
    assert!(half.receive_response().expect("a response").result.is_ok());
}

#[test]
fn invalid_statements_are_refused_and_the_session_continues() {
    let setup = setup("texts", 1);
    let mut client = setup.client(0, "r0", "c1");
    for text in ["SELECT 1", "COMMIT", "ROLLBACK", "PREPARE x", "EXECUTE nobody k", "BEGIN NOW"] {
        let answer = client.query(text).expect("a response");

        assert!(answer.result.is_err(), "{text}: {answer:?}");
        assert_eq!(answer.state, "I", "{text}");
    }
    assert!(client.query("READ item").expect("a response").result.is_ok());
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let setup = setup("pipeline", 1);
    let mut client = setup.client(0, "r0", "c1");
    for number in 0..20 {
        client.send(&format!("WRITE k{number} v{number}")).expect("the bytes are sent");
        client.send(&format!("READ k{number}")).expect("the bytes are sent");
    }

    for number in 0..20 {
        assert!(client.receive_response().expect("a response").result.is_ok());
        assert_eq!(client.receive_response().expect("a response").rows, [format!("v{number}")]);
    }
    setup.assert_no_violations();
}

#[test]
fn connections_stay_within_the_limit_of_an_instance() {
    let profile = InstanceProfile { max_connections: 12, ..InstanceProfile::default() };
    let setup = setup_with("cap", 3, profile);
    let sessions: Vec<_> = (0..30).map(|n| setup.client(n % 3, "p0", &format!("s{n}"))).collect();

    let threads: Vec<_> = sessions
        .into_iter()
        .map(|mut client| {
            std::thread::spawn(move || {
                let answers = (0..20).map(|n| client.query(&format!("READ k{n}")));
                answers.filter(|a| a.as_ref().is_ok_and(|a| a.result.is_ok())).count()
            })
        })
        .collect();
    let served: usize = threads.into_iter().filter_map(|t| t.join().ok()).sum();

    // Requests beyond the limit wait in the daemon instead of being refused by the instance.
    assert!(served >= 570, "{served} of 600");
    setup.assert_no_violations();
}

#[test]
fn blocked_standard_output_delays_no_request() -> io::Result<()> {
    let cluster = LineCluster::start(1, 3, InstanceProfile::default())?;
    let folder = TempFolder::new("blocked");
    let file = folder.0.join("blocked.toml");
    std::fs::write(&file, cluster.settings("blocked", loopback_peer_addresses(1)[0], &[]))?;
    let mut child = Command::new(daemon_program()?)
        .arg("--platform")
        .env("PERSIMMONSEAM_BOOT", &file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    // The first line names the addresses; nothing after it is read, so that the pipe fills up.
    let mut first = String::new();
    let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let mut reader = io::BufReader::with_capacity(1, out);
    io::BufRead::read_line(&mut reader, &mut first)?;
    let line: serde_json::Value = serde_json::from_str(&first)?;
    let address = line["callers"].as_str().and_then(|a| a.parse().ok());
    let address = address.ok_or(io::ErrorKind::InvalidData)?;
    let mut client = None;
    assert!(holds_within(CONDITION_TIMEOUT, || {
        client = LineClient::open(address, "r0", "c1").ok();
        client.is_some()
    }));

    let mut slowest = Duration::ZERO;
    if let Some(client) = &mut client {
        assert!(client.query("READ k")?.result.is_ok());
        for number in 0..1_500 {
            let start = Instant::now();
            // Each failure is logged; the log budget for failures is larger than the pipe.
            let statement = if number % 4 == 0 { "READ k" } else { "EXECUTE nobody k" };
            client.query(statement)?;
            slowest = slowest.max(start.elapsed());
        }
    }

    assert!(slowest < Duration::from_millis(1_000), "{slowest:?}");
    child.kill()?;
    child.wait()?;
    Ok(())
}
