//! Tests daemons that run statements of others, as separate processes. Guards against statements
//! that are run twice or refused falsely when the daemon that runs them stops, freezes or is killed,
//! and against transactions and session state that do not survive the hop.

mod fleet;

use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{InstanceProfile, LineCluster};
use rustix::process::Signal;

use crate::fleet::owners::{
    DAEMONS, FEW_CONNECTIONS, other_than, setup_with_owner, setup_with_profile,
};
use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within};

#[test]
fn session_state_and_transactions_survive_the_hop() {
    let (setup, owner) = setup_with_owner("hop-state");

    setup.run_transactions_in_sessions(other_than(owner));

    setup.assert_no_violations();
}

#[test]
fn few_daemons_connect_to_an_instance() {
    let (setup, owner) = setup_with_owner("hop-connections");
    let (_, instances) = &setup.cluster.groups[0];
    let opened = |setup: &Setup| -> usize {
        setup.cluster.groups[0].1.iter().map(|i| i.server.total_connections()).sum()
    };
    setup.client(owner, "p0", "warm").query("READ item").expect("a response");
    let before = opened(&setup);

    for round in 0..40 {
        let mut client = setup.client(round % DAEMONS, "p0", "c");
        assert!(client.query("READ item").expect("a response").result.is_ok());
    }

    // Each session is new, and every one found a connection that another had used.
    let new = opened(&setup) - before;
    assert!(new <= 4, "{new} new connections for 40 sessions");
    assert!(instances.iter().all(|i| i.server.open_connections() <= FEW_CONNECTIONS));
    setup.assert_no_violations();
}

#[test]
fn killed_owner_aborts_its_transactions_and_is_replaced() {
    let (mut setup, owner) = setup_with_owner("hop-kill");
    let mut client = setup.client(other_than(owner), "p0", "c1");
    assert!(client.query("BEGIN").expect("a response").result.is_ok());
    assert!(client.query("WRITE item lost").expect("a response").result.is_ok());

    setup.daemons[owner].kill();
    let committed = client.query("COMMIT").expect("a response");
    let began = Instant::now();
    let read = client.query("READ item").expect("a response");

    // The commit may have reached the owner before it was killed.
    assert!(matches!(committed.code(), Some("ABORTED" | "INDOUBT")), "{committed:?}");
    assert_eq!(read.rows, ["-"], "{read:?}");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    setup.assert_no_violations();
}

#[test]
fn frozen_owner_makes_writes_in_doubt_and_reads_go_elsewhere() {
    let profile =
        InstanceProfile { statement_time: Duration::from_millis(20), ..InstanceProfile::default() };
    let (setup, owner) = setup_with_profile("hop-freeze", profile);
    let mut writer = setup.client(other_than(owner), "p0", "w");
    let mut reader = setup.client(other_than(owner), "p0", "r");
    assert!(writer.query("WRITE item v0").expect("a response").result.is_ok());

    setup.daemons[owner].signal(Signal::STOP);
    writer.send("WRITE item v1").expect("the request is sent");
    let began = Instant::now();
    let read = reader.query("READ item").expect("a response");
    let read_after = began.elapsed();
    let written = writer.receive_response().expect("a response");
    setup.daemons[owner].signal(Signal::CONT);

    assert!(read.result.is_ok(), "{read:?}");
    assert!(read_after < Duration::from_millis(1_000), "{read_after:?}");
    assert_eq!(written.code(), Some("INDOUBT"), "{written:?}");
    // The owner runs the write now, or never; the fakes report a write that runs twice.
    let mut client = setup.client(owner, "p0", "after");
    assert!(client.query("WRITE other v").expect("a response").result.is_ok());
    setup.assert_no_violations();
}

#[test]
fn slow_statement_at_a_live_owner_is_not_started_again() {
    let profile = InstanceProfile {
        statement_time: Duration::from_millis(600),
        ..InstanceProfile::default()
    };
    let (setup, owner) = setup_with_profile("hop-slow", profile);
    let mut client = setup.client(other_than(owner), "p0", "w");

    let written = client.query("WRITE item v1").expect("a response");

    assert!(written.result.is_ok(), "{written:?}");
    setup.assert_no_violations();
}

#[test]
fn stopping_owner_completes_transactions_of_others_and_refuses_nothing() {
    let (setup, owner) = setup_with_owner("hop-stop");
    let mut busy = setup.client(other_than(owner), "p0", "busy");
    assert!(busy.query("BEGIN").expect("a response").result.is_ok());
    assert!(busy.query("WRITE item v").expect("a response").result.is_ok());

    setup.daemons[owner].signal(Signal::TERM);
    assert!(holds_within(Duration::from_secs(1), || !setup.daemons[owner].is_ready()));
    let mut new = setup.client(other_than(owner), "p0", "new");
    for round in 0..20 {
        let written = new.query(&format!("WRITE other v{round}")).expect("a response");
        assert!(written.result.is_ok(), "{written:?}");
    }
    let committed = busy.query("COMMIT").expect("a response");

    assert!(committed.result.is_ok(), "{committed:?}");
    setup.assert_no_violations();
}

#[test]
fn transaction_of_a_killed_daemon_is_rolled_back_at_the_owner() {
    let (mut setup, owner) = setup_with_owner("hop-abandon");
    let mut client = setup.client(other_than(owner), "p0", "c1");
    assert!(client.query("BEGIN").expect("a response").result.is_ok());
    assert!(client.query("WRITE item gone").expect("a response").result.is_ok());

    setup.daemons[other_than(owner)].kill();

    let mut reader = setup.client(owner, "p0", "c2");
    assert_eq!(reader.query("READ item").expect("a response").rows, ["-"]);
    setup.assert_no_violations();
}

#[test]
fn malformed_bytes_on_the_forwarding_port_end_only_their_connection() {
    use std::io::Write;
    use std::net::{SocketAddr, TcpStream};
    let (setup, owner) = setup_with_owner("hop-bytes");
    let peers = setup.daemons[owner].addresses.peers;
    let forwarding = SocketAddr::new(peers.ip(), peers.port() + 1);
    let inputs: [&[u8]; 4] =
        [b"\0\0\0\x04null", b"\xff\xff\xff\xff", b"\0\0\0\x02{}", b"QUERY x READ a\r\n"];

    for input in inputs {
        let mut stream = TcpStream::connect(forwarding).expect("the port accepts connections");
        // The daemon may close before everything is written.
        let _ = stream.write_all(input);
    }

    let mut client = setup.client(other_than(owner), "p0", "c");
    assert!(client.query("WRITE item v").expect("a response").result.is_ok());
    setup.assert_no_violations();
}

/// Guards against a deadline that no instant can hold, with which a release build would end.
#[test]
fn unreachable_deadline_on_a_port_for_daemons_ends_only_its_connection() {
    use std::io::{Read, Write};
    use std::net::{SocketAddr, TcpStream};
    let (setup, owner) = setup_with_owner("hop-deadline");
    let peers = setup.daemons[owner].addresses.peers;
    let forwarding = SocketAddr::new(peers.ip(), peers.port() + 1);
    let request = br#"{"Request":{"context":{"deadline":{"secs":18446744073709551615,"nanos":0},"trace_context":{"trace_id":[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0],"span_id":0,"sampling_decision":"Unsampled"}},"id":0,"message":{"Ping":{}}}}"#;

    for port in [forwarding, peers] {
        let mut stream = TcpStream::connect(port).expect("the port accepts connections");
        let length = u32::try_from(request.len()).expect("a short message");
        stream.write_all(&length.to_be_bytes()).expect("the length is sent");
        stream.write_all(request).expect("the request is sent");
        stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("the timeout is set");
        let closed = stream.read(&mut [0; 64]);

        assert!(closed.is_ok_and(|count| count == 0), "{port}");
    }
    assert!(!setup.has_logged(owner, |line| line["message"] == "panicked"));
    let mut client = setup.client(other_than(owner), "p0", "c");
    assert!(client.query("WRITE item v").expect("a response").result.is_ok());
    setup.assert_no_violations();
}

#[test]
fn table_reaches_all_daemons_while_the_store_is_silent_to_a_third_of_them() {
    use persimmon_lab::fault_proxy::FaultProxy;
    /// A fleet that is large enough to have watchers.
    const COUNT: usize = 33;
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    let proxies: Vec<FaultProxy> = (0..COUNT)
        .map(|_| FaultProxy::start(cluster.store.address).expect("the proxy starts"))
        .collect();
    let stores = proxies.iter().map(|proxy| proxy.address).collect();
    let setup = fleet::setup_with_stores("watch-silent", cluster, stores);
    let have_members =
        |daemon| setup.has_logged(daemon, |line| line["message"] == "members were exchanged");
    assert!(holds_within(CONDITION_TIMEOUT, || (0..COUNT).all(have_members)));

    // The store accepts the calls of these hosts, and answers none of them.
    for proxy in proxies.iter().take(COUNT / 3) {
        proxy.stall_responses(true);
    }
    setup.cluster.put_table(5, &["fresh"]);

    let is_active = |daemon| {
        setup
            .has_logged(daemon, |line| line["message"] == "table activated" && line["version"] == 5)
    };
    // A change must be active within three seconds on the smallest deployment.
    let is_active_everywhere = || (0..COUNT).all(is_active);
    assert!(holds_within(Duration::from_secs(3), is_active_everywhere));
    setup.assert_no_violations();
}
