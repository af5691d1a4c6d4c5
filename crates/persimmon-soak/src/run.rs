//! One run of the soak.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{InstanceProfile, LineClient, LineCluster};

use crate::clients::{Client, OutcomeCounters};
use crate::ends::clients::{END_CLIENTS, EndClient};
use crate::ends::processes::EndRecord;
use crate::ends::table::EndTable;
use crate::ends::{EndReport, logs};
use crate::fleet::{EXTRA_DATABASE, Fleet};
use crate::keys::{KeyClient, KeyLedger, TABLE_LIMIT, serves_held_keys};
use crate::plan::{Plan, Step};

/// How long the system may take to serve again after all faults have ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// How often the instances' directory entries are written.
const DIRECTORY_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Clients that use the keys that come and go.
const KEY_CLIENTS: u64 = 8;

/// How long these clients check in calm, beyond the limit of a change.
const CALM: Duration = Duration::from_secs(1);

/// The bounds of quotas: the window, the part of a quota by which it may be exceeded, and a number of
/// statements.
const QUOTA_WINDOW: Duration = Duration::from_secs(3);
const QUOTA_OVERAGE: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;

/// Interval between checks for due faults and for awaited conditions.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of its plan.
    pub seed: u64,
    /// How long faults are injected.
    pub length: Duration,
    /// The number of daemons.
    pub daemons: u16,
    /// The number of groups, each with three instances.
    pub groups: usize,
    /// The connection limit of an instance that the table names. Daemons that outnumber half of it
    /// run their statements through owners.
    pub max_connections: usize,
    /// Whether the store is also restored from copies.
    pub has_restores: bool,
    /// Whether another writer stores entries that no daemon can read.
    pub has_odd_entries: bool,
    /// Whether calls are accepted and never answered, and session state is refused.
    pub has_unanswered_calls: bool,
    /// Whether clients need keys, some of which come and go.
    pub has_key_changes: bool,
    /// Whether a commit waits for one replica, and instances and hosts are replaced.
    pub has_synchronous_groups: bool,
    /// Whether hosts have room for few sessions, and these are ended for all reasons that daemons have.
    pub has_session_ends: bool,
    /// Whether the plan is without the faults that every seed has, so that it consists of those that are
    /// added.
    pub has_only_added: bool,
    /// The number of clients.
    pub clients: u64,
    /// The directory of the daemons' logs.
    pub log_dir: PathBuf,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The plan of faults.
    pub plan: Plan,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// The outcomes reported to clients.
    pub counters: Arc<OutcomeCounters>,
    /// The ends of sessions, if they are part of the plan; their violations are among those of the run.
    pub ends: Option<EndReport>,
}

/// Runs one seed.
///
/// # Errors
///
/// Returns an error if a process or a fake cannot be started.
pub fn run(options: &Options) -> io::Result<Report> {
    let mut plan = if options.has_only_added {
        Plan::empty()
    } else {
        Plan::new(options.seed, options.length)
    };
    if options.has_restores {
        plan = plan.with_restores(options.seed, options.length);
    }
    if options.has_odd_entries {
        plan = plan.with_odd_entries(options.seed, options.length);
    }
    if options.has_unanswered_calls {
        plan = plan.with_unanswered_calls(options.seed, options.length);
    }
    let mut profile = InstanceProfile::default();
    if options.has_synchronous_groups {
        plan = plan.with_replacements(options.seed, options.length);
        profile = InstanceProfile { sync_replicas: 1, ..profile };
    }
    let mut ledger = None;
    if options.has_key_changes {
        plan = plan.with_key_changes(options.seed, options.length);
        ledger = Some(Arc::new(KeyLedger::new()));
    }
    let mut cluster = LineCluster::start(options.groups, 3, profile)?
        .with_max_connections(options.max_connections)
        .without_drain_check();
    let mut end_table = None;
    if options.has_session_ends {
        plan = plan.with_session_ends(options.seed, options.length);
        ledger = ledger.or_else(|| Some(Arc::new(KeyLedger::new())));
        end_table = Some(EndTable::default());
        cluster = cluster.with_quota_bounds(QUOTA_WINDOW.as_secs_f64(), QUOTA_OVERAGE, QUOTA_SLACK);
    }
    let keys = ledger.clone().map(|ledger| (ledger, options.clients));
    let mut fleet =
        Fleet::start(cluster, options.log_dir.clone(), options.daemons, keys, end_table)?;
    let mut violations = Vec::new();
    if !wait(RECOVERY_LIMIT, || fleet.is_ready()) {
        violations.push("the daemons are not ready at the start".to_owned());
    }
    let counters = Arc::new(OutcomeCounters::default());
    let stop = Arc::new(AtomicBool::new(false));
    let groups: Vec<_> = fleet.cluster.groups.iter().map(|(group, _)| Arc::clone(group)).collect();
    let mut threads = Vec::new();
    for index in 0..options.clients {
        let client_addresses = Arc::clone(&fleet.client_addresses);
        let client =
            Client::new(index, options.seed, &groups, client_addresses, Arc::clone(&counters));
        let stop = Arc::clone(&stop);
        threads.push(std::thread::spawn(move || client.run(&stop)));
    }
    for index in 0..KEY_CLIENTS {
        let Some(ledger) = ledger.clone().filter(|_| options.has_key_changes) else {
            break;
        };
        let client_addresses = Arc::clone(&fleet.client_addresses);
        let group = Arc::clone(&groups[0]);
        let client = KeyClient::new(index, options.seed, ledger, group, client_addresses);
        let stop = Arc::clone(&stop);
        threads.push(std::thread::spawn(move || client.run(&stop)));
    }
    let end_record = Arc::new(EndRecord::default());
    for index in 0..END_CLIENTS {
        if !options.has_session_ends {
            break;
        }
        let addresses = Arc::clone(&fleet.client_addresses);
        let record = Arc::clone(&end_record);
        let client = EndClient::new(index, options.seed, options.groups, addresses, record);
        let stop = Arc::clone(&stop);
        threads.push(std::thread::spawn(move || client.run(&stop)));
    }
    run_plan(&mut fleet, &plan, options.length)?;
    fleet.heal()?;
    let healed = Instant::now();
    if !wait(RECOVERY_LIMIT, || accepts_writes_everywhere(&mut fleet, options.groups)) {
        violations.push(format!("a daemon does not serve {:?} after healing", healed.elapsed()));
    }
    if let Some(ledger) = &ledger {
        let healed = Instant::now();
        if !wait(TABLE_LIMIT, || serve_held_keys(&fleet, ledger)) {
            violations
                .push(format!("a daemon serves other keys {:?} after healing", healed.elapsed()));
        }
        if options.has_key_changes {
            // The clients check in calm that this stays so.
            std::thread::sleep(TABLE_LIMIT + CALM);
        }
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        if thread.join().is_err() {
            violations.push("a client's thread panicked".to_owned());
        }
    }
    violations.extend(fleet.cluster.violations());
    let mut ends = None;
    if options.has_session_ends {
        let report = end_record.report(&fleet.processes, &groups, logs::read(&options.log_dir)?);
        violations.extend(report.violations.iter().cloned());
        ends = Some(report);
    }
    Ok(Report { plan, violations, counters, ends })
}

fn wait(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() > until {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    true
}

/// A started fault, and the instance that it acts on.
type ActiveFault = (Step, Option<(usize, usize)>);

fn run_plan(fleet: &mut Fleet, plan: &Plan, length: Duration) -> io::Result<()> {
    let began = Instant::now();
    let mut due = plan.steps.iter().copied().peekable();
    let mut active: Vec<ActiveFault> = Vec::new();
    let mut refresh_at = Duration::ZERO;
    loop {
        let now = began.elapsed();
        while let Some(step) = due.next_if(|s| s.at <= now) {
            let target = fleet.start_fault(&step);
            active.push((step, target));
        }
        let (ended, remaining): (Vec<ActiveFault>, Vec<ActiveFault>) =
            active.into_iter().partition(|(step, _)| step.at + step.lasts <= now);
        active = remaining;
        for (step, target) in ended {
            fleet.end_fault(&step, target)?;
        }
        if now >= refresh_at {
            refresh_at = now + DIRECTORY_REFRESH_INTERVAL;
            if fleet.has_session_ends() {
                fleet.restart_exited()?;
            }
            let is_draining =
                active.iter().any(|(step, _)| step.fault == crate::plan::Fault::DrainPrimary);
            if !is_draining {
                fleet.refresh_directory();
            }
        }
        if now >= length {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether every daemon serves exactly the keys that the latest table holds.
fn serve_held_keys(fleet: &Fleet, ledger: &KeyLedger) -> bool {
    let client_addresses = fleet.client_addresses.lock().map(|a| a.clone()).unwrap_or_default();
    client_addresses.iter().all(|address| serves_held_keys(ledger, *address))
}

/// Whether every daemon accepts writes, by the latest table.
fn accepts_writes_everywhere(fleet: &mut Fleet, groups: usize) -> bool {
    fleet.refresh_directory();
    if !fleet.is_ready() {
        return false;
    }
    let client_addresses = fleet.client_addresses.lock().map(|a| a.clone()).unwrap_or_default();
    client_addresses.iter().all(|address| {
        // The latest table decides whether this database has a route.
        let has_route = LineClient::open(*address, EXTRA_DATABASE, "end").is_ok();
        if has_route != fleet.has_extra_database() {
            return false;
        }
        (0..groups).all(|group_index| {
            let opened = LineClient::open(*address, &format!("p{group_index}"), "end");
            opened.and_then(|mut c| c.query("WRITE end x")).is_ok_and(|r| r.result.is_ok())
        })
    })
}
