//! The daemon on the users' platform, as separate processes against stand-ins.

use std::io;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use persimmon_lab::process::daemon_program;
use persimmon_lab::seam::{Daemon, LineClient, Seam, StoreFaults, Work, meeting_addresses};
use persimmon_lab::wait_until;
use rustix::process::Signal;

/// How long a condition may take to hold.
const PATIENCE: Duration = Duration::from_secs(15);

struct Setup {
    seam: Seam,
    daemons: Vec<Daemon>,
    _folder: Folder,
}

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("persimmon-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder for the test");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that cannot be removed harms no later test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Whether a condition holds before the limit.
fn holds(limit: Duration, condition: impl FnMut() -> bool) -> bool {
    wait_until(limit, "a condition", condition).is_ok()
}

fn setup(name: &str, daemons: usize) -> Setup {
    setup_with(name, daemons, Work::default())
}

fn setup_with(name: &str, count: usize, work: Work) -> Setup {
    let folder = Folder::new(name);
    let seam = Seam::start(1, 3, work).expect("stand-ins");
    let mut daemons: Vec<Daemon> = Vec::new();
    let addresses = meeting_addresses(u16::try_from(count).expect("a few daemons"));
    let seeds = &addresses[..count.min(3)];
    for (number, peers) in addresses.iter().enumerate() {
        let name = format!("d{number}");
        let settings = seam.settings(&name, *peers, seeds);
        daemons.push(Daemon::start(&folder.0, &name, &settings).expect("a daemon"));
    }
    assert!(holds(PATIENCE, || daemons.iter().all(Daemon::is_ready)), "daemons are ready");
    Setup { seam, daemons, _folder: folder }
}

impl Setup {
    fn client(&self, daemon: usize, database: &str, name: &str) -> LineClient {
        let address = self.daemons[daemon].addresses.callers;
        LineClient::open(address, database, name).expect("a session")
    }

    /// Writes until one succeeds; returns how long that took.
    fn gap(&self, daemon: usize, data: &str) -> Duration {
        let began = Instant::now();
        let served = holds(PATIENCE, || {
            let address = self.daemons[daemon].addresses.callers;
            let Ok(mut client) = LineClient::open(address, "p0", "gap") else {
                return false;
            };
            client.query(&format!("WRITE gap {data}")).is_ok_and(|a| a.result.is_ok())
        });
        assert!(served, "no write is served");
        began.elapsed()
    }

    /// Takes the primary's entry away once it has been missed, as the platform does.
    fn crash_primary(&self) {
        let (group, members) = &self.seam.groups[0];
        let primary = group.primary().expect("a primary");
        members[primary].server.crash();
    }

    fn assert_kept(&self) {
        assert_eq!(self.seam.violations(), Vec::<String>::new());
    }
}

#[test]
fn a_session_reads_its_own_writes_on_every_route() {
    let setup = setup("own-writes", 1);
    for database in ["p0", "b0", "r0"] {
        let mut client = setup.client(0, database, "c1");
        for round in 0..20 {
            let data = format!("{database}-{round}");
            let written = client.query(&format!("WRITE item {data}")).expect("an answer");
            assert!(written.result.is_ok(), "{written:?}");

            let read = client.query("READ item").expect("an answer");

            // A bounded route promises only an age; the other two promise this write.
            if database != "b0" {
                assert_eq!(read.rows, std::slice::from_ref(&data), "{database}: {read:?}");
            }
            assert_eq!(read.state, "I");
        }
    }
    setup.assert_kept();
}

#[test]
fn sessions_do_not_share_values_statements_or_transactions() {
    let setup = setup("sessions", 1);
    let mut clients: Vec<LineClient> =
        (0..6).map(|n| setup.client(0, "r0", &format!("c{n}"))).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        assert!(client.query(&format!("SET who c{number}")).expect("an answer").result.is_ok());
        let prepared = client.query("PREPARE s1 WRITE shape").expect("an answer");
        assert_eq!(prepared.result, Ok("-".to_owned()));
    }

    for round in 0..10 {
        for (number, client) in clients.iter_mut().enumerate() {
            assert_eq!(client.query("BEGIN").expect("an answer").state, "T");
            let written = client.query(&format!("EXECUTE s1 k{number} v{number}-{round}"));
            assert!(written.expect("an answer").result.is_ok());
            let committed = client.query("COMMIT").expect("an answer");
            assert!(committed.result.is_ok(), "{committed:?}");
            let read = client.query(&format!("READ k{number}")).expect("an answer");
            assert_eq!(read.rows, [format!("v{number}-{round}")]);
        }
    }

    setup.assert_kept();
}

#[test]
fn a_transaction_that_is_rolled_back_or_left_keeps_nothing() {
    let setup = setup("rollback", 1);
    let mut client = setup.client(0, "p0", "c1");
    assert!(client.query("BEGIN").expect("an answer").result.is_ok());
    assert!(client.query("WRITE item gone").expect("an answer").result.is_ok());
    assert_eq!(client.query("ROLLBACK").expect("an answer").state, "I");
    let mut leaver = setup.client(0, "p0", "c2");
    assert!(leaver.query("BEGIN").expect("an answer").result.is_ok());
    assert!(leaver.query("WRITE item left").expect("an answer").result.is_ok());
    drop(leaver);

    let read = client.query("READ item").expect("an answer");

    assert_eq!(read.rows, ["-"]);
    setup.assert_kept();
}

#[test]
fn a_primary_that_crashes_is_replaced() {
    let setup = setup("crash", 3);
    setup.gap(0, "before");

    setup.crash_primary();
    let gap = setup.gap(0, "after");

    // The promotion takes 300 ms; two seconds more are the bound at worst.
    assert!(gap < Duration::from_millis(2_300), "{gap:?}");
    assert_eq!(setup.seam.groups[0].0.term(), 2);
    setup.assert_kept();
}

#[test]
fn a_primary_that_crashes_while_the_store_is_away_is_replaced_by_the_holder_of_the_duty() {
    let setup = setup("crash-store", 3);
    setup.crash_primary();
    setup.gap(0, "first");
    setup.seam.register(false);
    let (group, members) = &setup.seam.groups[0];
    members.iter().enumerate().filter(|(copy, _)| !group.is_up(*copy)).for_each(|(_, m)| {
        m.server.restart();
    });
    setup.seam.register(false);
    let roles_known = |setup: &Setup| setup.gap(1, "second") < Duration::from_secs(1);
    assert!(holds(PATIENCE, || roles_known(&setup)));
    setup.seam.store.set_faults(StoreFaults { is_busy: true, ..StoreFaults::default() });
    setup.crash_primary();

    // The authority is the same stand-in; only objects are refused.
    let gap = setup.gap(0, "third");

    assert!(gap < Duration::from_millis(3_000), "{gap:?}");
    setup.assert_kept();
}

#[test]
fn a_primary_that_is_cut_from_one_daemon_stays() {
    let setup = setup("cut-one", 4);
    setup.gap(0, "before");
    let (group, _) = &setup.seam.groups[0];

    // Only one daemon is paused while the primary is well.
    setup.daemons[3].signal(Signal::STOP);
    for round in 0..10 {
        setup.gap(0, &format!("r{round}"));
    }
    setup.daemons[3].signal(Signal::CONT);

    setup.gap(3, "after");
    assert_eq!(group.term(), 1);
    setup.assert_kept();
}

#[test]
fn a_leaving_primary_is_replaced_before_it_goes() {
    let setup = setup("leaving", 2);
    setup.gap(0, "before");

    setup.seam.register(true);

    let (group, _) = &setup.seam.groups[0];
    let is_replaced = holds(Duration::from_secs(6), || group.primary() != Some(0));
    assert!(is_replaced, "the primary still leads");
    setup.gap(0, "after");
    setup.assert_kept();
}

#[test]
fn a_table_comes_into_force_and_a_dropped_route_is_refused() {
    let setup = setup("table", 2);
    let open = |daemon: usize, database: &str| {
        LineClient::open(setup.daemons[daemon].addresses.callers, database, "t")
    };
    assert!(open(0, "fresh").is_err());

    setup.seam.put_table(5, &["fresh"]);
    for daemon in 0..2 {
        let found = holds(Duration::from_secs(3), || open(daemon, "fresh").is_ok());
        assert!(found, "a new route is not found within three seconds");
    }
    setup.seam.put_table(9, &[]);

    for daemon in 0..2 {
        let dropped = holds(Duration::from_secs(3), || {
            open(daemon, "fresh").is_err_and(|err| err.to_string().contains("NODB"))
        });
        assert!(dropped, "a dropped route is still served after three seconds");
    }
}

#[test]
fn a_daemon_that_the_store_turns_away_serves_with_its_peers_help() {
    let mut setup = setup("peers", 2);
    let seeds: Vec<_> = setup.daemons.iter().map(|d| d.addresses.peers).collect();
    let store = setup.seam.store_proxy.address.to_string();
    let address = meeting_addresses(1)[0];
    let settings = setup.seam.settings("late", address, &seeds).replace(&store, "127.0.0.1:9");

    let folder = Folder::new("peers-late");
    let late = Daemon::start(&folder.0, "late", &settings).expect("a daemon");

    assert!(holds(PATIENCE, || late.is_ready()), "it is not ready");
    setup.daemons.push(late);
    let mut client = setup.client(2, "r0", "c1");
    assert!(client.query("WRITE item v").expect("an answer").result.is_ok());
    assert_eq!(client.query("READ item").expect("an answer").rows, ["v"]);
    setup.assert_kept();
}

#[test]
fn a_lost_history_of_the_store_is_listed_anew() {
    let setup = setup("history", 1);
    setup.seam.store.forget_history();
    setup.seam.put_table(7, &["fresh"]);

    let found = holds(Duration::from_secs(3), || {
        LineClient::open(setup.daemons[0].addresses.callers, "fresh", "t").is_ok()
    });

    assert!(found, "a route is not found after the history was lost");
}

#[test]
fn a_lost_answer_to_a_write_is_in_doubt_and_runs_once() {
    let setup = setup("lost-answer", 1);
    let mut client = setup.client(0, "p0", "c1");
    assert!(client.query("WRITE item v0").expect("an answer").result.is_ok());
    let (group, members) = &setup.seam.groups[0];
    let primary = group.primary().expect("a primary");
    members[primary].server.lose_answers(true);

    let answer = client.query("WRITE item v1").expect("an answer");

    assert_eq!(answer.code(), Some("INDOUBT"), "{answer:?}");
    members[primary].server.lose_answers(false);
    let mut reader = setup.client(0, "p0", "c2");
    assert_eq!(reader.query("READ item").expect("an answer").rows, ["v1"]);
    setup.assert_kept();
}

#[test]
fn a_daemon_that_is_asked_to_stop_finishes_what_is_open() {
    let mut setup = setup("stop", 1);
    let mut busy = setup.client(0, "p0", "busy");
    let mut idle = setup.client(0, "p0", "idle");
    assert!(busy.query("BEGIN").expect("an answer").result.is_ok());
    assert!(busy.query("WRITE item v").expect("an answer").result.is_ok());

    setup.daemons[0].signal(Signal::TERM);
    assert!(holds(Duration::from_secs(1), || !setup.daemons[0].is_ready()));
    assert!(busy.query("READ item").expect("an answer").result.is_ok());
    assert!(idle.is_closed(), "a session at rest is closed without a word");
    let committed = busy.query("COMMIT").expect("an answer");

    assert!(committed.result.is_ok(), "{committed:?}");
    let ended = || setup.daemons[0].ended().expect("a state").is_some();
    assert!(holds(Duration::from_secs(6), ended), "the process still runs");
    setup.seam.groups[0].0.primary().expect("a primary");
}

#[test]
fn bad_input_ends_one_session_and_harms_no_other() {
    let setup = setup("bad-input", 1);
    let mut good = setup.client(0, "r0", "good");
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

        let ends = (0..3).any(|_| bad.answer().is_err());

        assert!(ends, "the session goes on after {:?}", &input[..input.len().min(12)]);
        assert!(good.query("READ item").expect("an answer").result.is_ok());
    }
    let mut half = setup.client(0, "r0", "half");
    half.send_raw(b"QUERY half:1 REA").expect("sent");
    half.send_raw(b"D item\r\n").expect("sent");
    assert!(half.answer().expect("an answer").result.is_ok());
}

#[test]
fn texts_that_are_no_statement_are_refused_and_the_session_goes_on() {
    let setup = setup("texts", 1);
    let mut client = setup.client(0, "r0", "c1");
    for text in ["SELECT 1", "COMMIT", "ROLLBACK", "PREPARE x", "EXECUTE nobody k", "BEGIN NOW"] {
        let answer = client.query(text).expect("an answer");

        assert!(answer.result.is_err(), "{text}: {answer:?}");
        assert_eq!(answer.state, "I", "{text}");
    }
    assert!(client.query("READ item").expect("an answer").result.is_ok());
}

#[test]
fn requests_that_are_sent_ahead_are_answered_in_order() {
    let setup = setup("pipeline", 1);
    let mut client = setup.client(0, "r0", "c1");
    for number in 0..20 {
        client.send(&format!("WRITE k{number} v{number}")).expect("sent");
        client.send(&format!("READ k{number}")).expect("sent");
    }

    for number in 0..20 {
        assert!(client.answer().expect("an answer").result.is_ok());
        assert_eq!(client.answer().expect("an answer").rows, [format!("v{number}")]);
    }
    setup.assert_kept();
}

#[test]
fn connections_stay_below_the_cap_of_an_instance() {
    let work = Work { connections: 12, ..Work::default() };
    let setup = setup_with("cap", 3, work);
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

    // Work beyond the cap waits here and is not lost there.
    assert!(served >= 570, "{served} of 600");
    setup.assert_kept();
}

#[test]
fn a_blocked_standard_output_delays_no_request() -> io::Result<()> {
    let seam = Seam::start(1, 3, Work::default())?;
    let folder = Folder::new("blocked");
    let file = folder.0.join("blocked.toml");
    std::fs::write(&file, seam.settings("blocked", meeting_addresses(1)[0], &[]))?;
    let mut child = Command::new(daemon_program()?)
        .arg("--platform")
        .env("PERSIMMONSEAM_BOOT", &file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    // The first line names the addresses; nothing is read after it, so that the pipe fills.
    let mut first = String::new();
    let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let mut reader = io::BufReader::with_capacity(1, out);
    io::BufRead::read_line(&mut reader, &mut first)?;
    let line: serde_json::Value = serde_json::from_str(&first)?;
    let address = line["callers"].as_str().and_then(|a| a.parse().ok());
    let address = address.ok_or(io::ErrorKind::InvalidData)?;
    let mut client = None;
    assert!(holds(PATIENCE, || {
        client = LineClient::open(address, "r0", "c1").ok();
        client.is_some()
    }));

    let mut slowest = Duration::ZERO;
    if let Some(client) = &mut client {
        assert!(client.query("READ k")?.result.is_ok());
        for number in 0..1_500 {
            let began = Instant::now();
            // Each of these is logged: the budget of failures is larger than the pipe.
            let text = if number % 4 == 0 { "READ k" } else { "EXECUTE nobody k" };
            client.query(text)?;
            slowest = slowest.max(began.elapsed());
        }
    }

    assert!(slowest < Duration::from_millis(1_000), "{slowest:?}");
    child.kill()?;
    child.wait()?;
    Ok(())
}
