//! The project's daemon as a separate process, with settings like those of a small deployment.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client;

const PEER_PORT: u16 = 8_782;
const FRONT_PORT: u16 = 8_784;
const READY_PORT: u16 = 8_785;
const FIRST_INTERNAL_PORT: u16 = 7_440;

/// A running daemon, which is killed when dropped.
pub struct Daemon {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// Loopback addresses of hosts on which the daemons' ports are free.
pub fn hosts(count: usize) -> Vec<Ipv4Addr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let candidates = (1..250).map(|n| Ipv4Addr::new(127, 64 + high % 64, low, n));
    let is_free = |host: &Ipv4Addr| {
        [PEER_PORT, FRONT_PORT, READY_PORT, FIRST_INTERNAL_PORT, 9_464]
            .iter()
            .all(|port| TcpListener::bind((*host, *port)).is_ok())
    };
    candidates.filter(is_free).take(count).collect()
}

/// The bounds of `bluemahoe-seam`.
const BOUNDS: &str = "seed_lag_s = 3\naddr_reuse_s = 2\nstable_window_ms = 4000\nack_ms = 5000\n\
    catch_up_s = 4\ndrain_ms = 7000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\n\
    rollback_slack_ms = 250\nskew_max_ms = 12000\nrecovery_s = 12\nrequire_fence = true\n\
    thaw_slack_ms = 300\n";

/// What the daemons' settings have in common.
pub struct Deployment {
    pub hosts: Vec<Ipv4Addr>,
    /// The machines that a daemon contacts first.
    pub seeds: Vec<Ipv4Addr>,
    pub zones: Vec<&'static str>,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    /// Further bounds.
    pub more_bounds: String,
}

impl Deployment {
    fn settings(&self, number: usize) -> String {
        let ip = self.hosts[number];
        let zone = self.zones[number % self.zones.len()];
        let seeds: Vec<String> =
            self.seeds.iter().map(|host| format!("\"{host}:{PEER_PORT}\"")).collect();
        let zones: String = self.zones.iter().map(|z| format!("{z} = \"region\"\n")).collect();
        format!(
            "node = \"front-{number}\"\nrole = \"daemon\"\nclass = \"front\"\n\
             serves = [\"front\", \"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"region\"\ninternal_port_range = [{FIRST_INTERNAL_PORT}, {}]\n\
             seeds = [{}]\nbootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\n\
             entry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sql\", \"platform\"]\n\
             [zones]\n{zones}[listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             control = \"{ip}:{PEER_PORT}\"\n[limits]\ncpu_share = 0.17\ncores = 1\nmemory_mb = 182\n\
             max_fds = 3010\nlink_mbps = 700.0\ndisk_mb = 0\n[tolerate]\nmachines = 1\nzones = 0\n\
             regions = 0\n[bounds]\n{BOUNDS}{}[platform]\naddress = \"{}\"\nform = \"objects\"\n\
             writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n\
             ttl_min_ms = 1000\n[cloud_api]\naddress = \"{}\"\nrate_per_s = 50.0\n\
             duties = [\"failover\"]\nduty_per_s = 50.0\n",
            FIRST_INTERNAL_PORT + 15,
            seeds.join(", "),
            self.more_bounds,
            self.store,
            self.cloud,
        )
    }

    /// Starts the daemons with these numbers, and waits until all are ready.
    pub fn start(&self, folder: &Path, numbers: &[usize]) -> io::Result<Vec<Daemon>> {
        let daemons: Vec<Daemon> =
            numbers.iter().map(|n| self.start_one(folder, *n)).collect::<io::Result<_>>()?;
        let deadline = Instant::now() + Duration::from_secs(15);
        while !daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > deadline {
                return Err(io::Error::other("a daemon is not ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(daemons)
    }

    /// Starts one daemon with the command of the deploy file.
    fn start_one(&self, folder: &Path, number: usize) -> io::Result<Daemon> {
        let name = format!("front-{number}");
        let boot = folder.join(format!("{name}.toml"));
        std::fs::write(&boot, self.settings(number))?;
        let log =
            File::options().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/persimmond")
            .arg("--platform")
            .env("PERSIMMONSEAM_BOOT", &boot)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        let ip = self.hosts[number];
        let front = SocketAddr::from((ip, FRONT_PORT));
        Ok(Daemon { child, name, front, ready: SocketAddr::from((ip, READY_PORT)) })
    }
}

impl Daemon {
    fn is_ready(&self) -> bool {
        client::http_status(self.ready, "/ready").is_ok_and(|status| status == 200)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn kill(&mut self) {
        // It fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
