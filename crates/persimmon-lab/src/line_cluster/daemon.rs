//! A daemon that runs against the fake platform as a separate process and logs to a file.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::process::daemon_program;

/// How long a daemon may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// How often the log of a starting daemon is read.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The environment variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "PERSIMMONSEAM_BOOT";

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address of the readiness check that a load balancer queries.
    pub readiness: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
}

/// One daemon process, killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// The daemon's name.
    pub name: String,
    /// The addresses on which it listens.
    pub addresses: Addresses,
    /// The path of its log file.
    pub log: PathBuf,
}

impl Daemon {
    /// Starts a daemon with the text of a settings file; its files are written to `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started or does not log its addresses in time.
    pub fn start(folder: &Path, name: &str, settings: &str) -> io::Result<Self> {
        let file = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&file, settings)?;
        let mut child = Command::new(daemon_program()?)
            .arg("--platform")
            .env(SETTINGS_VARIABLE, &file)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .spawn()?;
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            if let Some(addresses) = logged_addresses(&log)? {
                return Ok(Self { child, name: name.to_owned(), addresses, log });
            }
            if Instant::now() > deadline || child.try_wait()?.is_some() {
                // `kill` fails if the process has already exited.
                let _ = child.kill();
                let _ = child.wait();
                return Err(io::Error::other(format!("{name} did not start")));
            }
            std::thread::sleep(LOG_POLL_INTERVAL);
        }
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let raw = i32::try_from(self.child.id()).ok();
        if let Some(pid) = raw.and_then(Pid::from_raw) {
            // The signal fails if the process has already exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process exited successfully, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub fn try_wait(&mut self) -> io::Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }

    /// Whether the daemon's readiness check succeeds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        crate::http::status(self.addresses.readiness, "/ready").is_ok_and(|status| status == 200)
    }

    /// Returns the log lines written so far; lines that are not JSON are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub fn log_lines(&self) -> io::Result<Vec<serde_json::Value>> {
        let text = std::fs::read_to_string(&self.log)?;
        Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn logged_addresses(log: &Path) -> io::Result<Option<Addresses>> {
    let text = std::fs::read_to_string(log)?;
    let lines = text.lines().filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok());
    for line in lines {
        if line["message"] != "started" {
            continue;
        }
        let address = |key: &str| line[key].as_str().and_then(|text| text.parse().ok());
        let (Some(clients), Some(readiness), Some(peers)) =
            (address("callers"), address("readiness"), address("peers"))
        else {
            return Ok(None);
        };
        return Ok(Some(Addresses { clients, readiness, peers }));
    }
    Ok(None)
}
