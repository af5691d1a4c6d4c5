//! A daemon of the users' platform as a separate process, with its log in a file.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::process::daemon_program;

/// How long a daemon may take to start.
const START_LIMIT: Duration = Duration::from_secs(10);

/// How often its log is looked at meanwhile.
const LOOK: Duration = Duration::from_millis(10);

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "PERSIMMONSEAM_BOOT";

/// Where a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether it is ready.
    pub readiness: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// One daemon.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addresses: Addresses,
    /// Its log.
    pub log: PathBuf,
}

impl Daemon {
    /// Starts a daemon with these settings; its files go to `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started or does not say where it listens.
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
        let until = Instant::now() + START_LIMIT;
        loop {
            if let Some(addresses) = started(&log)? {
                return Ok(Self { child, name: name.to_owned(), addresses, log });
            }
            if Instant::now() > until || child.try_wait()?.is_some() {
                // One that has ended already needs no kill.
                let _ = child.kill();
                let _ = child.wait();
                return Err(io::Error::other(format!("{name} did not start")));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let raw = i32::try_from(self.child.id()).ok();
        if let Some(pid) = raw.and_then(Pid::from_raw) {
            // A process that is gone already needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended; says whether it ended well.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub fn ended(&mut self) -> io::Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }

    /// Whether the daemon says that it is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        crate::http::status(self.addresses.readiness, "/ready").is_ok_and(|status| status == 200)
    }

    /// The log's lines so far.
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

fn started(log: &Path) -> io::Result<Option<Addresses>> {
    let text = std::fs::read_to_string(log)?;
    let lines = text.lines().filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok());
    for line in lines {
        if line["message"] != "started" {
            continue;
        }
        let address = |key: &str| line[key].as_str().and_then(|text| text.parse().ok());
        let (Some(callers), Some(readiness), Some(peers)) =
            (address("callers"), address("readiness"), address("peers"))
        else {
            return Ok(None);
        };
        return Ok(Some(Addresses { callers, readiness, peers }));
    }
    Ok(None)
}
