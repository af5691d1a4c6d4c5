//! Guards against clients that run a daemon out of memory or descriptors: large messages, many at
//! once or in small pieces, messages over the limit, messages sent ahead without reading the answers,
//! and crowds that are slow or stop half-way.
//!
//! The bounds are the limits of the host that the settings name. Nothing here depends on times.

mod fleet;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineClient, LineCluster, forwarding_address,
};

use crate::fleet::crowd::{Crowd, Manner, descriptors, memory_kb, serves};
use crate::fleet::owners::{DAEMONS, setup_with_owner_and_limits};
use crate::fleet::{Setup, setup_with_limits};

/// The memory of the hosts of these tests, in megabytes.
const MEMORY_MB: usize = 64;

/// The descriptors of the hosts of these tests.
const MAX_FDS: usize = 400;

/// Size of a large message within the limits, in bytes.
const LARGE: usize = 1_000_000;

/// Members of a crowd that sends large messages.
const LARGE_CROWD: usize = 80;

/// Members of the crowd at each daemon that forwards its statements.
const FORWARDING_CROWD: usize = 40;

/// Members of a crowd that sends ahead.
const AHEAD_CROWD: usize = 40;

/// Members of a crowd that is larger than the host's descriptors.
const WIDE_CROWD: usize = 600;

/// Sessions on a small host after others were lost.
const SMALL_HOST_SESSIONS: usize = 500;

/// One test at a time: each measures a process under a crowd.
static TURN: Mutex<()> = Mutex::new(());

fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn limits() -> String {
    format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n")
}

/// Starts a daemon on a host with lowered limits.
fn small_host(name: &str) -> Setup {
    let cluster = LineCluster::start(1, 3, InstanceProfile::default());
    setup_with_limits(name, 1, cluster.expect("the fake platform starts"), &limits())
}

/// The bytes of a session that sends `requests`.
fn session(requests: &str) -> Arc<[u8]> {
    format!("STARTUP r0 u\r\n{requests}").into_bytes().into()
}

/// The sessions of `count` members that send the same requests.
fn same(count: usize, requests: &str) -> Vec<Arc<[u8]>> {
    vec![session(requests); count]
}

/// The sessions of `count` members that send `writes` large writes each; the fake platform requires
/// that each write has an id of its own.
fn large_writes(count: usize, writes: usize) -> Vec<Arc<[u8]>> {
    let data = "x".repeat(LARGE);
    let write = |member, n| format!("QUERY big:{member}-{n} WRITE item {data}\r\n");
    (0..count)
        .map(|member| session(&(0..writes).map(|n| write(member, n)).collect::<String>()))
        .collect()
}

/// Asserts that a daemon lives within the limits of its host and serves an ordinary caller.
fn assert_withstands(daemon: &mut Daemon, peak_descriptors: usize) {
    let is_served = serves(daemon, "r0");
    assert_eq!(daemon.try_wait().expect("the process is asked"), None, "the daemon exited");
    let (peak_kb, kb) = (memory_kb(daemon, "VmHWM:"), memory_kb(daemon, "VmRSS:"));
    let open = peak_descriptors.max(descriptors(daemon));
    let found = format!(
        "{}: served {is_served}, at most {peak_kb} KB, now {kb} KB, {open} descriptors",
        daemon.name
    );
    println!("{found}");
    assert!(is_served, "{found}");
    assert!(peak_kb <= MEMORY_MB * 1_000_000 / 1_024, "{found}");
    assert!(open <= MAX_FDS, "{found}");
}

/// Lets a crowd of one kind send to a daemon and asserts that the daemon withstands it.
fn withstand(name: &str, payloads: &[Arc<[u8]>], manner: Manner) {
    let _turn = turn();
    let mut setup = small_host(name);
    let mut crowd = Crowd::connect(setup.daemons[0].addresses.clients, payloads);

    crowd.drive(&setup.daemons[0], manner);

    assert_withstands(&mut setup.daemons[0], crowd.peak_descriptors);
    drop(crowd);
    setup.assert_no_violations();
}

#[test]
fn large_messages_at_once_in_one_piece() {
    withstand("large-whole", &large_writes(LARGE_CROWD, 1), Manner::default());
}

#[test]
fn large_messages_at_once_in_small_pieces() {
    let manner = Manner { piece: 4 << 10, ..Manner::default() };
    withstand("large-pieces", &large_writes(LARGE_CROWD, 1), manner);
}

#[test]
fn messages_far_over_the_limit() {
    let endless = format!("QUERY 1 WRITE item {}", "x".repeat(8 * LARGE));
    withstand("far-over", &same(LARGE_CROWD, &endless), Manner::default());
}

#[test]
fn messages_far_over_the_limit_in_place_of_a_startup() {
    let endless: Arc<[u8]> = vec![b'x'; 8 * LARGE].into();
    withstand("far-over-first", &vec![endless; LARGE_CROWD], Manner::default());
}

#[test]
fn thousands_of_reads_sent_ahead() {
    let reads: String = (0..4_000).map(|id| format!("QUERY r:{id} READ item\r\n")).collect();
    withstand("reads-ahead", &same(AHEAD_CROWD, &reads), Manner::default());
}

#[test]
fn large_writes_sent_ahead() {
    withstand("writes-ahead", &large_writes(AHEAD_CROWD, 8), Manner::default());
}

/// Writes a large value, and returns the daemon's setup and reads of it.
fn with_large_value(name: &str) -> (Setup, String) {
    let setup = small_host(name);
    let mut client = setup.client(0, "r0", "writer");
    let written = client.query(&format!("WRITE item {}", "x".repeat(LARGE)));
    assert!(written.expect("a response").result.is_ok());
    (setup, (0..20).map(|id| format!("QUERY r:{id} READ item\r\n")).collect())
}

fn withstand_reads_of_large_value(name: &str, manner: Manner) {
    let _turn = turn();
    let (mut setup, reads) = with_large_value(name);
    let address = setup.daemons[0].addresses.clients;
    let mut crowd = Crowd::connect(address, &same(LARGE_CROWD, &reads));

    crowd.drive(&setup.daemons[0], manner);

    assert_withstands(&mut setup.daemons[0], crowd.peak_descriptors);
    drop(crowd);
    setup.assert_no_violations();
}

#[test]
fn large_answers_that_nobody_reads() {
    withstand_reads_of_large_value("large-unread", Manner::default());
}

/// The members send slowly, so that they are driven, and read, for some seconds.
#[test]
fn large_answers_that_are_read_slowly() {
    let manner = Manner { piece: 2, reads: 1_024, pause: Duration::from_millis(20) };
    withstand_reads_of_large_value("large-slowly", manner);
}

#[test]
fn half_startups() {
    let half: Arc<[u8]> = Arc::from(&b"STARTUP r0"[..]);
    withstand("half-startup", &vec![half; WIDE_CROWD], Manner::default());
}

#[test]
fn startups_that_are_sent_slowly() {
    let manner = Manner { piece: 1, pause: Duration::from_millis(500), ..Manner::default() };
    let startup = format!("STARTUP r0 {}", "u".repeat(16));
    let startup: Arc<[u8]> = startup.into_bytes().into();
    withstand("slow-startup", &vec![startup; WIDE_CROWD], manner);
}

#[test]
fn half_messages() {
    let half = format!("QUERY 1 WRITE item {}", "x".repeat(15_000));
    withstand("half-message", &same(WIDE_CROWD, &half), Manner::default());
}

#[test]
fn messages_that_are_sent_slowly() {
    let half = format!("QUERY 1 WRITE item {}", "x".repeat(60_000));
    let manner = Manner { piece: 1_000, pause: Duration::from_millis(200), ..Manner::default() };
    withstand("slow-message", &same(WIDE_CROWD, &half), manner);
}

#[test]
fn more_sessions_than_descriptors() {
    withstand("wide", &same(WIDE_CROWD, ""), Manner::default());
}

/// Guards against limits that clients within the platform's pages meet on its smallest host.
#[test]
fn ordinary_clients_meet_no_limit() {
    let _turn = turn();
    let limits = "[limits]\nmemory_mb = 112\nmax_fds = 3010\n";
    let cluster = LineCluster::start(1, 3, InstanceProfile::default());
    let setup = setup_with_limits("ordinary", 1, cluster.expect("the platform starts"), limits);
    let mut clients: Vec<LineClient> =
        (0..SMALL_HOST_SESSIONS).map(|n| setup.client(0, "r0", &format!("c{n}"))).collect();

    for client in &mut clients {
        let response = client.query("READ item").expect("a response");
        assert!(response.result.is_ok(), "{response:?}");
    }
    let largest = format!("WRITE item {}", "x".repeat((1 << 20) - 100));
    let response = clients[0].query(&largest).expect("a response");
    assert!(response.result.is_ok(), "{:?}", response.code());
    let read = clients[0].query("READ item").expect("a response");
    assert_eq!(read.rows.first().map(String::len), Some((1 << 20) - 100));
    assert_eq!(clients[1].query("BEGIN").expect("a response").state, "T");
    for number in 0..12 {
        let text = format!("WRITE item{number} {}", "x".repeat(80_000));
        assert_eq!(clients[1].query(&text).expect("a response").state, "T");
    }
    assert!(clients[1].query("COMMIT").expect("a response").result.is_ok());

    setup.assert_no_violations();
}

/// Guards against an owner that holds the statements of all other daemons at once.
#[test]
fn large_statements_that_daemons_forward_to_an_owner() {
    let _turn = turn();
    let profile = InstanceProfile { slots: 1, ..InstanceProfile::default() };
    let (mut setup, owner) = setup_with_owner_and_limits("large-forwarded", profile, &limits());
    let others: Vec<usize> = (0..DAEMONS).filter(|daemon| *daemon != owner).collect();
    let payloads = large_writes(others.len() * FORWARDING_CROWD, 1);
    let mut crowds: Vec<Crowd> = Vec::new();

    for (daemon, payloads) in others.iter().zip(payloads.chunks(FORWARDING_CROWD)) {
        crowds.push(Crowd::connect(setup.daemons[*daemon].addresses.clients, payloads));
    }
    std::thread::scope(|scope| {
        for (crowd, daemon) in crowds.iter_mut().zip(&others) {
            let daemon = &setup.daemons[*daemon];
            scope.spawn(move || crowd.drive(daemon, Manner::default()));
        }
    });

    assert_withstands(&mut setup.daemons[owner], 0);
    for (crowd, daemon) in crowds.iter().zip(&others) {
        assert_withstands(&mut setup.daemons[*daemon], crowd.peak_descriptors);
    }
    drop(crowds);
    setup.assert_no_violations();
}

/// Guards against statements of many daemons that arrive at an owner at the same time, each of which
/// is incomplete.
#[test]
fn half_frames_of_many_daemons() {
    let _turn = turn();
    let mut setup = small_host("half-frames");
    let length = u32::try_from(LARGE + 1).expect("a short frame").to_be_bytes();
    let half: Arc<[u8]> = [&length[..], &vec![b'x'; LARGE]].concat().into();
    let address = forwarding_address(setup.daemons[0].addresses.peers);
    let mut crowd = Crowd::connect(address, &vec![half; LARGE_CROWD]);

    crowd.drive(&setup.daemons[0], Manner::default());

    assert_withstands(&mut setup.daemons[0], crowd.peak_descriptors);
    drop(crowd);
    setup.assert_no_violations();
}
