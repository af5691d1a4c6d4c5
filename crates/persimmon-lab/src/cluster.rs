//! A complete deployment of separate processes on the loopback address.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use persimmon_store_client::{AcceptedEdit, Host, Hosts, PutRequest, TableEdit, TableObject};
use serde::Deserialize;

use crate::deployment::Deployment;
use crate::fault_proxy::FaultProxy;
use crate::http;
use crate::pgclient::PgClient;
use crate::platform::{Faults, PlatformStats};
use crate::process::{Process, daemon_program, lab_program};

/// Time limit for the start of a deployment.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The configuration of a test deployment.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The deployment to imitate.
    pub deployment: Deployment,
    /// How many of its services to start.
    pub services: usize,
    /// How many daemons to start.
    pub daemons: usize,
    /// Time from the commit of a log entry until a replica receives it.
    pub ship_lag: Duration,
    /// Time from the commit of a log entry until a replica applies it.
    pub apply_lag: Duration,
    /// Minimum execution time of every statement.
    pub statement_time: Duration,
    /// Lines that are appended to each daemon's settings; the first level is not indented.
    pub settings: String,
}

impl ClusterConfig {
    /// Creates a configuration with one service, three daemons and no lag.
    #[must_use]
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            services: 1,
            daemons: 3,
            ship_lag: Duration::ZERO,
            apply_lag: Duration::ZERO,
            statement_time: Duration::ZERO,
            settings: String::new(),
        }
    }

    /// Sets the number of daemons.
    #[must_use]
    pub fn with_daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Sets the number of services.
    #[must_use]
    pub fn with_services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Sets the delay until replicas apply entries.
    #[must_use]
    pub fn with_apply_lag(mut self, lag: Duration) -> Self {
        self.apply_lag = lag;
        self
    }

    /// Sets the delay until replicas receive entries.
    #[must_use]
    pub fn with_ship_lag(mut self, lag: Duration) -> Self {
        self.ship_lag = lag;
        self
    }

    /// Sets the minimum execution time of statements.
    #[must_use]
    pub fn with_statement_time(mut self, time: Duration) -> Self {
        self.statement_time = time;
        self
    }

    /// Sets the additional settings of each daemon.
    #[must_use]
    pub fn with_settings(mut self, settings: &str) -> Self {
        settings.clone_into(&mut self.settings);
        self
    }
}

/// A fake instance in its own process.
#[derive(Debug)]
pub struct InstanceProcess {
    /// The name in the table.
    pub name: String,
    /// The service that the instance belongs to.
    pub service: String,
    /// The address of the instance itself, without a proxy.
    pub direct_address: SocketAddr,
    /// The proxy for connections to the instance.
    pub proxy: FaultProxy,
    /// The proxy for replication connections from its initial followers.
    pub replication_proxy: FaultProxy,
    /// The child process.
    pub process: Process,
    args: Vec<String>,
}

/// A daemon in its own process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The daemon's name.
    pub name: String,
    /// The address for clients.
    pub client_address: SocketAddr,
    /// The address of the administration API.
    pub admin: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// A proxy in front of the address for peers.
    pub peers_proxy: FaultProxy,
    /// The proxy through which the daemon connects to the platform.
    pub platform_proxy: FaultProxy,
    /// The child process.
    pub process: Process,
}

#[derive(Deserialize)]
struct Listening {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct DaemonListening {
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
}

/// A running deployment; dropping it kills all of its processes.
#[derive(Debug)]
pub struct Cluster {
    /// The configuration that it was started with.
    pub config: ClusterConfig,
    /// The address of the fake platform.
    pub platform: SocketAddr,
    /// The instances: three per service, ordered by service.
    pub instances: Vec<InstanceProcess>,
    /// The daemons, in the order of their start.
    pub daemons: Vec<DaemonProcess>,
    platform_process: Process,
    dir: PathBuf,
    daemons_started: usize,
}

static NEXT_DIR_NUMBER: AtomicU64 = AtomicU64::new(0);

impl Cluster {
    /// Starts a deployment and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or the deployment is not ready in time.
    pub fn start(config: ClusterConfig) -> io::Result<Self> {
        let number = NEXT_DIR_NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("persimmon-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let (platform_process, listening) =
            Process::start::<Listening>(&lab_program()?, &["platform".to_owned()])?;
        let mut cluster = Self {
            platform: listening.address,
            config,
            instances: Vec::new(),
            daemons: Vec::new(),
            platform_process,
            dir,
            daemons_started: 0,
        };
        cluster.start_instances()?;
        let table = cluster.table();
        cluster.put_table(0, &table)?;
        for _ in 0..cluster.config.daemons {
            cluster.start_daemon()?;
        }
        cluster.await_ready()?;
        Ok(cluster)
    }

    fn start_instances(&mut self) -> io::Result<()> {
        let services = self.config.deployment.services();
        for service in services.iter().take(self.config.services) {
            let mut follow: Option<SocketAddr> = None;
            for number in 1..=3 {
                let name = format!("{service}-{number}");
                let args = self.instance_args(&name, follow);
                let (process, listening) = Process::start::<Listening>(&lab_program()?, &args)?;
                let proxy = FaultProxy::start(listening.address)?;
                let replication_proxy = FaultProxy::start(listening.address)?;
                follow.get_or_insert(replication_proxy.address);
                self.instances.push(InstanceProcess {
                    name,
                    service: (*service).to_owned(),
                    direct_address: listening.address,
                    proxy,
                    replication_proxy,
                    process,
                    args,
                });
            }
        }
        Ok(())
    }

    fn instance_args(&self, name: &str, follow: Option<SocketAddr>) -> Vec<String> {
        let deployment = self.config.deployment;
        let millis = |d: Duration| d.as_millis().to_string();
        let mut args = vec!["instance".to_owned()];
        let mut add = |key: &str, value: String| args.push(format!("--{key}={value}"));
        add("name", name.to_owned());
        add("connections", deployment.connections().to_string());
        add("slots", deployment.slots().to_string());
        add("connect-ms", millis(deployment.connect_delay()));
        add("ship-lag-ms", millis(self.config.ship_lag));
        add("apply-lag-ms", millis(self.config.apply_lag));
        add("statement-us", self.config.statement_time.as_micros().to_string());
        add("dir", self.dir.join(name).display().to_string());
        if let Some(follow) = follow {
            add("follow", follow.to_string());
        }
        args
    }

    /// The operators' table of the deployment.
    #[must_use]
    pub fn table(&self) -> String {
        let instances: Vec<_> = self
            .instances
            .iter()
            .map(|i| (i.service.clone(), i.name.clone(), i.proxy.address))
            .collect();
        self.config.deployment.table(self.config.daemons.max(3), &instances)
    }

    /// Replaces the version `expect` of the table.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not accept the table.
    pub fn put_table(&self, expect: u64, text: &str) -> io::Result<()> {
        let history_entry = AcceptedEdit {
            id: Arc::from(format!("{expect}-{}", text.len())),
            base: expect,
            author: Arc::from("lab"),
            note: Arc::from(""),
            at_ms: 0,
            changes: Vec::new(),
        };
        let object =
            TableObject::default().with_edit(TableEdit { text: Arc::from(text), history_entry });
        let value = Arc::from(serde_json::to_string(&object)?);
        http::put(self.platform, "/v1/objects/table", &PutRequest { expect, value })
    }

    /// Starts one more daemon, registers it at the platform and returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_daemon(&mut self) -> io::Result<usize> {
        self.daemons_started += 1;
        let name = format!("entry-{}", self.daemons_started);
        let failure_domain =
            self.config.deployment.failure_domains()[(self.daemons_started - 1) % 3];
        let platform_proxy = FaultProxy::start(self.platform)?;
        let settings = format!(
            "name: {name}\nplace: {failure_domain}\nlisten:\n  callers: 127.0.0.1:0\n  \
             admin: 127.0.0.1:0\n  peers: 127.0.0.1:0\nplatform:\n  address: http://{}\n\
             log:\n  level: {}\n{}\n",
            platform_proxy.address,
            std::env::var("PERSIMMON_LOG").unwrap_or_else(|_| "error".to_owned()),
            self.config.settings,
        );
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let args = ["--config".to_owned(), path.display().to_string()];
        let (process, listening) = Process::start::<DaemonListening>(&daemon_program()?, &args)?;
        let peers_proxy = FaultProxy::start(listening.peers)?;
        self.daemons.push(DaemonProcess {
            name,
            client_address: listening.callers,
            admin: listening.admin,
            peers: listening.peers,
            peers_proxy,
            platform_proxy,
            process,
        });
        self.register_daemons()?;
        Ok(self.daemons.len() - 1)
    }

    /// Registers the daemons at the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub fn register_daemons(&self) -> io::Result<()> {
        let hosts = self.daemons.iter().map(|d| Host {
            name: Arc::from(d.name.as_str()),
            peers: d.peers,
            admin: d.admin,
            leaving: false,
        });
        http::put(self.platform, "/lab/hosts", &Hosts { hosts: hosts.collect() })
    }

    /// Waits until every daemon is ready and knows the primary of every service.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not happen in time.
    pub fn await_ready(&self) -> io::Result<()> {
        let services = self.config.services;
        wait_until(START_TIMEOUT, "every daemon is ready", || {
            self.daemons.iter().all(|daemon| {
                let Ok(status) = http::get(daemon.admin, "/status") else {
                    return false;
                };
                let groups = status["groups"].as_object();
                let known =
                    groups.map_or(0, |g| g.values().filter(|g| g["primary"].is_string()).count());
                status["ready"] == true && known == services
            })
        })
    }

    /// Injects faults into the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub fn set_faults(&self, faults: Faults) -> io::Result<()> {
        http::put(self.platform, "/lab/faults", &faults)
    }

    /// The platform's own counters.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub fn platform_stats(&self) -> io::Result<PlatformStats> {
        Ok(serde_json::from_value(http::get(self.platform, "/lab/stats")?)?)
    }

    /// The term and the index of the instance that a daemon considers the primary of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer or knows none.
    pub fn primary(&self, daemon: usize, service: &str) -> io::Result<(u64, usize)> {
        let status = http::get(self.daemons[daemon].admin, "/status")?;
        let group = &status["groups"][service];
        let term = group["term"].as_u64().unwrap_or_default();
        let name = group["primary"].as_str().unwrap_or_default();
        let index = self.instances.iter().position(|i| i.name == name);
        index.map(|i| (term, i)).ok_or_else(|| io::Error::other("no primary is known"))
    }

    /// Kills an instance if it runs and restarts it with the same files and address.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_instance(&mut self, index: usize) -> io::Result<()> {
        let instance = &mut self.instances[index];
        instance.process.kill();
        let mut args = instance.args.clone();
        args.push(format!("--listen={}", instance.direct_address));
        let (process, _) = Process::start::<Listening>(&lab_program()?, &args)?;
        instance.process = process;
        Ok(())
    }

    /// Opens a blocking connection to an instance, without a proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not answer.
    pub fn connect_to_instance(&self, index: usize) -> io::Result<PgClient> {
        let parameters = [("user", "check")];
        PgClient::connect(self.instances[index].direct_address, &parameters, Duration::from_secs(5))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.daemons.clear();
        self.instances.clear();
        self.platform_process.kill();
        // A failed removal leaves files only in the directory for temporary files.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Waits until a condition is true.
///
/// # Errors
///
/// Returns an error that names the condition (`what`) if it is not true within `limit`.
pub fn wait_until(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> bool,
) -> io::Result<()> {
    let began = Instant::now();
    while began.elapsed() < limit {
        if condition() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Err(io::Error::other(format!("condition not met within {limit:?}: {what}")))
}
