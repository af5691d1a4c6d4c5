//! Daemons as processes, started with the command of the deploy file.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A daemon, killed when dropped.
pub struct Daemon {
    child: Child,
    /// The address for clients.
    pub front: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
}

/// The processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run without a verdict, and every process that it started.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for id in STARTED.lock().map(|started| started.clone()).unwrap_or_default() {
        // The process may have ended already.
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {id}")).status();
    }
    std::process::exit(2);
}

/// The repository, which holds the build of the deploy file.
#[must_use]
pub fn repository() -> PathBuf {
    PathBuf::from(std::env::var_os("REPOSITORY").expect("run.sh sets REPOSITORY"))
}

/// A folder for the files of a run.
#[must_use]
pub fn temporary_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    path
}

/// The loopback addresses of `count` hosts, of this process alone.
#[must_use]
pub fn hosts(count: u8) -> Vec<Ipv4Addr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (0..count).map(|n| Ipv4Addr::new(127, high.clamp(2, 250), low, 10 + n)).collect()
}

/// A port that is free at all `hosts`, and so are the 16 that follow.
fn free_ports(hosts: &[Ipv4Addr]) -> u16 {
    let is_free = |port: u16| hosts.iter().all(|host| TcpListener::bind((*host, port)).is_ok());
    (0..1_000)
        .map(|n| 21_000 + n * 23)
        .find(|first| (*first..first + 20).all(is_free))
        .expect("free ports")
}

/// Starts one daemon a host; `stores` holds the store's address for each.
#[must_use]
pub fn start_fleet(folder: &Path, hosts: &[Ipv4Addr], stores: &[SocketAddr]) -> Vec<Daemon> {
    let first = free_ports(hosts);
    let seeds: Vec<String> =
        hosts.iter().take(3).map(|host| format!("\"{host}:{}\"", first + 1)).collect();
    let mut daemons = Vec::new();
    for (number, (host, store)) in hosts.iter().zip(stores).enumerate() {
        let text = settings(number, *host, first, &seeds.join(","), *store);
        let path = folder.join(format!("d{number}.toml"));
        std::fs::write(&path, text).expect("the settings are written");
        daemons.push(Daemon::start(&path, *host, first));
    }
    let deadline = Instant::now() + Duration::from_secs(15);
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() > deadline {
            could_not_run("a daemon is not ready");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    daemons
}

fn settings(number: usize, ip: Ipv4Addr, first: u16, seeds: &str, store: SocketAddr) -> String {
    format!(
        "node = \"front-kingston-{number}\"\nrole = \"daemon\"\nclass = \"front\"\n\
         serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"kingston\"\nregion = \"jm-south\"\n\
         internal_port_range = [{}, {}]\nseeds = [{seeds}]\nbootstrap = true\nloss_counts = false\n\
         discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"platform\"]\n\
         [zones]\nkingston = \"jm-south\"\n\
         [listen]\nfront = \"{ip}:{}\"\nready = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\nmetrics = \"{ip}:{}\"\n\
         [limits]\ncpu_share = 0.17\ncores = 1\nmemory_mb = 182\nmax_fds = 3010\nlink_mbps = 700.0\ndisk_mb = 0\n\
         [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstable_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\n\
         drain_ms = 7000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\n\
         skew_max_ms = 12000\nrecovery_s = 12\nrequire_fence = true\nthaw_slack_ms = 300\n\
         [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
         history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n\
         [cloud_api]\naddress = \"{store}\"\nrate_per_s = 50.0\nduties = [\"failover\"]\nduty_per_s = 50.0\n",
        first + 4,
        first + 19,
        first + 2,
        first + 3,
        first + 1,
        first
    )
}

impl Daemon {
    fn start(path: &Path, host: Ipv4Addr, first: u16) -> Self {
        let repository = repository();
        let log = File::create(path.with_extension("log")).expect("a log file");
        let child = Command::new(repository.join("target/release/persimmond"))
            .arg("--platform")
            .current_dir(&repository)
            .env("PERSIMMONSEAM_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        let Ok(child) = child else {
            could_not_run("the daemon's program is missing");
        };
        STARTED.lock().expect("usable").push(child.id());
        let front = SocketAddr::from((host, first + 2));
        Self { child, front, ready: SocketAddr::from((host, first + 3)) }
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.id())).status();
        assert!(status.is_ok_and(|s| s.success()), "the signal is sent");
    }

    /// Whether the readiness check succeeds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(900)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut head = [0; 12];
        stream.read_exact(&mut head).is_ok() && head.ends_with(b"200")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
