//! A small deployment: a store, three services of three instances each, and daemons.
//!
//! Service `N` has the databases `pN` (latest), `bN` (1,500 ms old at most) and `rN` (read your
//! writes), as in the small site files.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

pub use crate::daemon::could_not_run;
use crate::daemon::{Daemon, hosts, start_fleet, temporary_folder};
use crate::instance::{Group, Instance};
use crate::record::Record;
use crate::store::Store;

/// How long a promotion takes, as in the small site file.
const PROMOTION: Duration = Duration::from_secs(1);

/// Services, and instances of each.
const SIZE: usize = 3;

/// A running deployment; its daemons are killed when it is dropped.
pub struct Cluster {
    /// The record of the run.
    pub record: Record,
    /// The store.
    pub store: Arc<Store>,
    /// The services with their instances.
    pub services: Vec<(Arc<Group>, Vec<Arc<Instance>>)>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl Cluster {
    /// Starts everything; the record is written to `record.txt` in the folder that `CASE` names.
    #[must_use]
    pub fn start(name: &str, daemons: u8) -> Self {
        Self::start_with(name, daemons, |_, _| {})
    }

    /// The same; `prepare` is called before the daemons start.
    #[must_use]
    pub fn start_with(
        name: &str,
        daemons: u8,
        prepare: impl FnOnce(&Store, &[(Arc<Group>, Vec<Arc<Instance>>)]),
    ) -> Self {
        let case = std::env::var_os("CASE").expect("run.sh sets CASE");
        let record = Record::new(&PathBuf::from(case).join("record.txt"));
        record.line(&format!("disruption: {}", has_trouble()));
        let mut services = Vec::new();
        for number in 0..SIZE {
            let group = Group::new(&format!("ledger-core-{number}"), record.clone());
            let instances: Vec<_> = (0..SIZE).map(|index| Instance::start(&group, index)).collect();
            services.push((group, instances));
        }
        let groups: Vec<Arc<Group>> = services.iter().map(|(g, _)| Arc::clone(g)).collect();
        let promote = move |service: &str, id: &str, _: &str, _: u64| {
            let group = groups.iter().find(|g| g.service == service);
            let index = id.rsplit('-').next().and_then(|n| n.parse().ok());
            let (Some(group), Some(index)) = (group, index) else {
                return 404;
            };
            let group = Arc::clone(group);
            std::thread::spawn(move || {
                std::thread::sleep(PROMOTION);
                group.promote(index);
            });
            200
        };
        let store = Store::new(record.clone(), Box::new(promote));
        for instance in services.iter().flat_map(|(_, instances)| instances) {
            store.put("servers", &instance.id, &instance.entry("ready", 1));
        }
        store.put("config", "main", &table(1, 0));
        prepare(&store, &services);
        let folder = temporary_folder(name);
        let stores: Vec<SocketAddr> = (0..daemons).map(|n| store.listen(usize::from(n))).collect();
        let daemons = start_fleet(&folder, &hosts(daemons), &stores);
        record.line("the daemons are ready");
        Self { record, store, services, daemons, folder }
    }

    /// Ends the daemons and exits with 1 if the rule was broken, and 0 if it held.
    pub fn finish(self, violations: &[String]) -> ! {
        for violation in violations {
            self.record.line(&format!("VIOLATION: {violation}"));
            println!("VIOLATION: {violation}");
        }
        let verdict = if violations.is_empty() { "the rule held" } else { "the rule was broken" };
        self.record.line(verdict);
        println!("{verdict}");
        drop(self.daemons);
        if std::env::var_os("KEEP").is_none() {
            // A folder that is left behind does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        std::process::exit(i32::from(!violations.is_empty()));
    }
}

/// Whether the run has its disruption.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A version of the configuration, in which service `p0_service` has the database `p0`.
#[must_use]
pub fn table(version: u64, p0_service: usize) -> String {
    let mut routes = Vec::new();
    let mut services = Vec::new();
    for number in 0..SIZE {
        let service = format!("ledger-core-{number}");
        let writes =
            if number == 0 { format!("ledger-core-{p0_service}") } else { service.clone() };
        routes.push(route(&format!("p{number}"), "primary", 1_000, 200, 0, &writes));
        routes.push(route(&format!("b{number}"), "bounded_staleness", 3_000, 800, 1_500, &service));
        routes.push(route(&format!("r{number}"), "read_your_writes", 1_000, 400, 2_500, &service));
        services.push(format!("{{\"name\":\"{service}\",\"max_conns\":71,\"sync_replicas\":0}}"));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"tx_idle_ms\":3000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn route(host: &str, kind: &str, timeout: u32, target: u32, stale: u32, service: &str) -> String {
    format!(
        "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"type\":\"{kind}\",\"timeout_ms\":{timeout},\
         \"latency_target_ms\":{target},\"priority\":1,\"service\":\"{service}\",\"max_staleness_ms\":{stale}}}"
    )
}
