//! Guards against tables that run a daemon out of memory while it passes them on to others.

mod fleet;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use persimmon_lab::line_cluster::{InstanceProfile, LineCluster};
use serde_json::{Value, json};

use crate::fleet::crowd::memory_kb;
use crate::fleet::keys::workspaces;
use crate::fleet::{Setup, holds_within, setup_with_limits};

/// The memory of the host, in megabytes.
const MEMORY_MB: usize = 112;

/// Sixteenths of the memory that the limits of clients and of other daemons' statements grant.
const GRANTED_SIXTEENTHS: usize = 11;

/// Versions of the table that follow each other in a storm.
const STORM: u64 = 10;

/// Interval between two of them.
const STORM_INTERVAL: Duration = Duration::from_millis(300);

/// How long a receiver waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the receivers may take for the last version.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Workspaces of the table.
const WORKSPACES: usize = 80;

/// Follows the table of a daemon as another one does, until `stops` is set; records the version.
fn follow(
    peer: SocketAddr,
    version: &'static AtomicU64,
    stops: &'static AtomicBool,
) -> JoinHandle<io::Result<()>> {
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(peer)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let mut revision = json!([0, 0]);
        for id in 0.. {
            if stops.load(Ordering::Relaxed) {
                break;
            }
            let reply = request_changes(&mut stream, id, &revision)?;
            let (newest, table) = match (&reply["Listing"], &reply["Changes"]) {
                (Value::Object(listing), _) => {
                    (&listing["revision"], &listing["objects"][0]["value"])
                }
                (_, Value::Object(changes)) => {
                    (&changes["revision"], &changes["changes"][0]["Written"]["value"])
                }
                _ => return Err(io::Error::other(reply.to_string())),
            };
            revision = newest.clone();
            if let Some(number) = table["version"].as_u64() {
                version.store(number, Ordering::Relaxed);
            }
        }
        Ok(())
    })
}

fn request_changes(stream: &mut TcpStream, id: u64, revision: &Value) -> io::Result<Value> {
    let request = json!({"Request": {
        "context": {
            "deadline": {"secs": 10, "nanos": 0},
            "trace_context": {"trace_id": vec![0; 16], "span_id": 1, "sampling_decision": "Unsampled"},
        },
        "id": id,
        "message": {"Changes": {"kind": "Table", "revision": revision}},
    }});
    let body = request.to_string();
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = usize::try_from(u32::from_be_bytes(length)).map_err(io::Error::other)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    let mut answer: Value = serde_json::from_slice(&body)?;
    Ok(answer["message"]["Ok"]["Changes"].take())
}

/// Starts a daemon whose host has the least memory, and whose table has eighty workspaces.
fn small_host(name: &str) -> Setup {
    let cluster = LineCluster::start(1, 3, InstanceProfile::default());
    let cluster = cluster.expect("the fake platform starts");
    let names: Vec<String> = (0..WORKSPACES).map(|number| format!("workspace-{number}")).collect();
    let keys: Vec<[&str; 1]> = names.iter().map(|name| [name.as_str()]).collect();
    let list: Vec<(&str, &[&str])> =
        names.iter().zip(&keys).map(|(name, keys)| (name.as_str(), &keys[..])).collect();
    cluster.set_workspaces(workspaces(&list));
    cluster.put_table(1, &[]);
    let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = 3010\n");
    setup_with_limits(name, 1, cluster, &limits)
}

/// Passes storms of versions on to receivers, with tables of the given numbers of routes; returns the
/// largest memory of the daemon after each, in kilobytes.
fn peaks(name: &str, receivers: usize, sizes: &[usize]) -> Vec<usize> {
    let setup = small_host(name);
    let versions: &'static [AtomicU64] =
        Vec::leak((0..receivers).map(|_| AtomicU64::new(0)).collect());
    let stops: &'static AtomicBool = Box::leak(Box::new(AtomicBool::new(false)));
    let peers = setup.daemons[0].addresses.peers;
    let followers: Vec<_> = versions.iter().map(|version| follow(peers, version, stops)).collect();
    let mut peaks = Vec::new();
    let mut version = 1;

    for size in sizes {
        let names: Vec<String> = (0..*size).map(|number| format!("database-{number}")).collect();
        let routes: Vec<(&str, usize)> = names.iter().map(|name| (name.as_str(), 0)).collect();
        for _ in 0..STORM {
            version += 1;
            setup.cluster.put_routes(version, &routes);
            std::thread::sleep(STORM_INTERVAL);
        }
        let has_last = || versions.iter().all(|seen| seen.load(Ordering::Relaxed) == version);
        assert!(holds_within(DELIVERY_TIMEOUT, has_last), "{size} routes: {versions:?}");
        peaks.push(memory_kb(&setup.daemons[0], "VmHWM:"));
    }

    stops.store(true, Ordering::Relaxed);
    for follower in followers {
        follower.join().expect("no panic").expect("the daemon answers");
    }
    setup.assert_no_violations();
    peaks
}

/// The memory that the limits of clients and of other daemons' statements leave, in kilobytes.
const LEFT_KB: usize = MEMORY_MB * 1_000_000 / 1_024 * (16 - GRANTED_SIXTEENTHS) / 16;

/// Asserts that a daemon passes tables of up to three thousand routes on within its memory.
fn assert_fits(name: &str, receivers: usize) {
    let sizes = [0, 100, 1_000, 3_000];

    let peaks = peaks(name, receivers, &sizes);

    let found = format!("{receivers} receivers, {sizes:?} routes: at most {peaks:?} KB");
    println!("{found}");
    assert!(peaks.iter().all(|peak_kb| *peak_kb <= LEFT_KB), "{found}, limit {LEFT_KB} KB");
}

#[test]
fn table_that_grows_fits_the_memory_of_a_small_host_with_ten_receivers() {
    assert_fits("table-memory-10", 10);
}

#[test]
fn table_that_grows_fits_the_memory_of_a_small_host_with_thirty_receivers() {
    assert_fits("table-memory-30", 30);
}
