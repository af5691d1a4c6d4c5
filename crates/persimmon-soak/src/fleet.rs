//! The daemons of a run, and the injection and healing of faults.

mod table;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use persimmon_lab::line_cluster::{
    Daemon, LineCluster, StoreCopy, StoreFaults, loopback_peer_addresses,
};
use rustix::process::Signal;

use crate::ends::crowd;
use crate::ends::processes::Processes;
use crate::ends::table::{EndTable, LIMITS};
use crate::keys::KeyLedger;
use crate::plan::{Fault, Step};

/// Added delay of all traffic of a slow instance.
const INSTANCE_DELAY: Duration = Duration::from_millis(80);

/// Copies of the store that are kept, one for each time that the directory is written.
const MAX_COPIES: usize = 20;

/// Values of entries that no daemon can read.
const ODD_VALUES: [&[u8]; 6] = [
    b"null",
    b"[[[[1e400]]]]",
    b"{\"service\": \"svc0\", \"address\": \"127.0.0.1:70000\"}",
    b"{\"service\": \"\\ud800\"}",
    b"{\"service\": \"\xff\"}",
    &NESTED,
];

/// The statements of the proxy's own that set session state on a connection.
const STATE_WORDS: [&str; 3] = ["SET", "PREPARE", "RESET"];

/// The verdicts with which instances refuse them.
const REFUSALS: [&str; 4] = ["READONLY", "BUSY", "FAILED", "TIMEOUT"];

/// A value that is nested deeper than a JSON parser follows.
const NESTED: [u8; 401] = {
    let mut text = [b'['; 401];
    text[200] = b'1';
    let mut index = 201;
    while index < text.len() {
        text[index] = b']';
        index += 1;
    }
    text
};

/// The version of the table with which a run starts, above those that the fake platform has written.
const FIRST_VERSION: u64 = 3;

/// A database that some versions of the table have a route for.
pub(crate) const EXTRA_DATABASE: &str = "extra";

/// The processes and fakes that faults act on.
pub(crate) struct Fleet {
    pub(crate) cluster: LineCluster,
    log_dir: PathBuf,
    addresses: Vec<SocketAddr>,
    daemons: Vec<Option<Daemon>>,
    start_count: usize,
    table_version: u64,
    faults: StoreFaults,
    /// The instances that drain, by their number in each group.
    draining: Vec<usize>,
    /// The instances that have ended for good, with the numbers of their groups.
    gone: Vec<(usize, usize)>,
    /// The table that the operators wrote last, as its extra databases.
    extra_databases: &'static [&'static str],
    /// The latest copies of the store, oldest first.
    copies: VecDeque<StoreCopy>,
    /// The keys that come and go, and the number of clients with keys of their own; `None` where no
    /// client needs a key.
    keys: Option<(Arc<KeyLedger>, u64)>,
    /// What the operators change while sessions are open; `None` where hosts have room for all sessions.
    ends: Option<EndTable>,
    /// What happened to the daemons' processes.
    pub(crate) processes: Arc<Processes>,
    /// Client addresses of the running daemons, shared with the clients' threads.
    pub(crate) client_addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

fn lock(client_addresses: &Mutex<Vec<SocketAddr>>) -> MutexGuard<'_, Vec<SocketAddr>> {
    client_addresses.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The name of the entry that a step writes; it comes before or after those of the instances.
fn odd_entry_name(step: &Step) -> String {
    let prefix = if step.target.is_multiple_of(2) { "a" } else { "z" };
    format!("{prefix}-odd-{}", step.target)
}

impl Fleet {
    /// Starts the daemons; with `keys`, the table has workspaces, and with `ends` also those of the
    /// clients whose sessions are ended.
    pub(crate) fn start(
        cluster: LineCluster,
        log_dir: PathBuf,
        daemons: u16,
        keys: Option<(Arc<KeyLedger>, u64)>,
        ends: Option<EndTable>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(&log_dir)?;
        let mut fleet = Self {
            cluster,
            log_dir,
            addresses: loopback_peer_addresses(daemons),
            daemons: Vec::new(),
            start_count: 0,
            table_version: FIRST_VERSION,
            faults: StoreFaults::default(),
            draining: Vec::new(),
            gone: Vec::new(),
            extra_databases: &[],
            copies: VecDeque::new(),
            keys,
            ends,
            processes: Arc::default(),
            client_addresses: Arc::default(),
        };
        if fleet.keys.is_some() {
            fleet.write_table();
        }
        for index in 0..usize::from(daemons) {
            fleet.daemons.push(None);
            fleet.start_daemon(index)?;
        }
        Ok(fleet)
    }

    fn start_daemon(&mut self, index: usize) -> io::Result<()> {
        self.start_count += 1;
        let name = format!("d{index}");
        let seeds = &self.addresses[..self.addresses.len().min(3)];
        let mut settings = self.cluster.settings(&name, self.addresses[index], seeds);
        if self.ends.is_some() {
            settings.push_str(LIMITS);
        }
        // Each process writes its own log, also after a restart.
        let log_dir = self.log_dir.join(format!("{}", self.start_count));
        std::fs::create_dir_all(&log_dir)?;
        self.daemons[index] = Some(Daemon::start(&log_dir, &name, &settings)?);
        self.publish_client_addresses();
        Ok(())
    }

    fn publish_client_addresses(&self) {
        let running = self.daemons.iter().flatten();
        *lock(&self.client_addresses) = running.map(|d| d.addresses.clients).collect();
    }

    fn restart_missing(&mut self) -> io::Result<()> {
        for index in 0..self.daemons.len() {
            if self.daemons[index].is_none() {
                self.start_daemon(index)?;
            }
        }
        self.restart_exited()
    }

    /// Whether sessions are ended for all reasons that daemons have.
    pub(crate) fn has_session_ends(&self) -> bool {
        self.ends.is_some()
    }

    /// Restarts the daemons that have exited, and records a violation if nobody asked one to.
    pub(crate) fn restart_exited(&mut self) -> io::Result<()> {
        for index in 0..self.daemons.len() {
            let Some(daemon) = &mut self.daemons[index] else {
                continue;
            };
            let Some(is_success) = daemon.try_wait()? else {
                continue;
            };
            let was_stopped = self.processes.get(daemon.addresses.clients).stopped_at.is_some();
            if !was_stopped || !is_success {
                let violation = format!("d{index} ended by itself; stopping: {was_stopped}");
                self.cluster.groups[0].0.record_violation(violation);
            }
            self.start_daemon(index)?;
        }
        Ok(())
    }

    /// Fills the room for sessions of a daemon.
    fn gather_crowd(&self, step: &Step) {
        if let Some(daemon) = self.daemon(step.target) {
            let database = format!("p{}", step.target % self.cluster.groups.len());
            crowd::gather(daemon.addresses.clients, database, step.lasts);
        }
    }

    fn daemon(&self, target: usize) -> Option<&Daemon> {
        self.daemons[target % self.daemons.len()].as_ref()
    }

    fn kill_daemon(&mut self, index: usize) {
        if let Some(daemon) = &self.daemons[index] {
            self.processes.record_kill(daemon.addresses.clients);
        }
        self.daemons[index] = None;
        self.publish_client_addresses();
    }

    /// The indexes of the group and of the instance that a fault acts on.
    fn find_instance(&self, step: &Step, is_primary: bool) -> Option<(usize, usize)> {
        let group_index = step.target % self.cluster.groups.len();
        let (group, instances) = &self.cluster.groups[group_index];
        let primary = group.primary();
        if is_primary {
            return primary.map(|instance_index| (group_index, instance_index));
        }
        let others = (0..instances.len()).filter(|i| Some(*i) != primary && group.is_up(*i));
        let others: Vec<usize> = others.collect();
        others
            .get(step.target / 7 % others.len().max(1))
            .map(|instance_index| (group_index, *instance_index))
    }

    fn find_any_instance(&self, step: &Step) -> Option<(usize, usize)> {
        self.find_instance(step, step.target.is_multiple_of(2))
    }

    fn set_faults(&mut self, set: impl FnOnce(&mut StoreFaults)) {
        set(&mut self.faults);
        self.cluster.store.set_faults(self.faults);
    }

    /// Whether the latest table has a route for [`EXTRA_DATABASE`].
    pub(crate) fn has_extra_database(&self) -> bool {
        !self.extra_databases.is_empty()
    }

    /// Starts a fault; returns the instance that it acts on, for [`Self::end_fault`].
    pub(crate) fn start_fault(&mut self, step: &Step) -> Option<(usize, usize)> {
        if let Some((ledger, _)) = &self.keys {
            ledger.begin_fault(step.fault);
        }
        let index = step.target % self.daemons.len();
        match step.fault {
            Fault::KillDaemon => self.kill_daemon(index),
            Fault::KillAll => (0..self.daemons.len()).for_each(|i| self.kill_daemon(i)),
            Fault::StopDaemon => self.signal(step, Signal::TERM),
            Fault::PauseDaemon => self.signal(step, Signal::STOP),
            Fault::HangUp => self.signal(step, Signal::HUP),
            Fault::StoreBusy => self.set_faults(|f| f.is_unavailable = true),
            Fault::StoreLosesAnswers => self.set_faults(|f| f.loses_responses = true),
            Fault::LoseOrders => self.set_faults(|f| f.loses_promotion_responses = true),
            Fault::StoreSilent => self.cluster.store_proxy.partition(true),
            Fault::StoreUnanswered => self.cluster.store_proxy.discard(true),
            Fault::RefuseState => self.refuse_state(step),
            Fault::ForgetHistory => self.cluster.store.clear_history(),
            Fault::ChangeTable => {
                self.table_version += 1 + u64::try_from(step.target % 5).unwrap_or(0);
                self.extra_databases = &[EXTRA_DATABASE][..step.target % 2];
                self.write_table();
            }
            Fault::ChangeKey => self.change_key(step),
            Fault::RestoreStore => {
                self.set_faults(|f| f.is_unavailable = true);
                if let Some(copy) = self.copies.get(step.target % self.copies.len().max(1)) {
                    self.cluster.store.restore(copy);
                }
            }
            Fault::OddEntry => {
                let value = ODD_VALUES[step.target % ODD_VALUES.len()];
                self.cluster.store.put_raw("servers", &odd_entry_name(step), value);
            }
            Fault::DrainPrimary => self.cluster.publish_instances(true),
            Fault::LateOrders => {
                self.cluster.store.delay_promotions(1 + step.target % 2, step.lasts * 4);
            }
            Fault::OrdersUnavailable => self.set_faults(|f| f.is_promotion_unavailable = true),
            Fault::ReplaceHost => self.kill_daemon(index),
            Fault::Crowd => self.gather_crowd(step),
            Fault::RemoveKeys | Fault::LowerQuota | Fault::ChangeLimits | Fault::GrowTable => {
                self.change_ends(|ends| ends.begin(step));
            }
            Fault::ReplaceInstance => return self.start_replacement(step),
            _ => return self.start_instance_fault(step),
        }
        None
    }

    /// Starts another instance, and lets the primary or another one drain.
    fn start_replacement(&mut self, step: &Step) -> Option<(usize, usize)> {
        let target = self.find_any_instance(step)?;
        if self.draining.contains(&target.1) || self.cluster.add_instance(target.0).is_err() {
            return None;
        }
        self.draining.push(target.1);
        self.refresh_directory();
        Some(target)
    }

    /// Ends the instance that drains.
    fn end_replacement(&mut self, target: (usize, usize)) {
        self.draining.retain(|instance| *instance != target.1);
        self.gone.push(target);
        self.cluster.groups[target.0].1[target.1].server.crash();
    }

    /// Lets all instances refuse the statements of one kind that change session state.
    fn refuse_state(&self, step: &Step) {
        let word = STATE_WORDS[step.target / 3 % STATE_WORDS.len()];
        let code = REFUSALS[step.target / 9 % REFUSALS.len()];
        for (_, instances) in &self.cluster.groups {
            for instance in instances {
                instance.server.set_refusal(word, Some(code));
            }
        }
    }

    /// Ends all refusals of session state.
    fn accept_state(&self) {
        for (_, instances) in &self.cluster.groups {
            for instance in instances {
                for word in STATE_WORDS {
                    instance.server.set_refusal(word, None);
                }
            }
        }
    }

    fn signal(&self, step: &Step, signal: Signal) {
        if let Some(daemon) = self.daemon(step.target) {
            let address = daemon.addresses.clients;
            match signal {
                Signal::TERM => self.processes.record_stop(address),
                Signal::STOP => self.processes.record_pause(address),
                Signal::CONT => self.processes.record_resumption(address),
                _ => {}
            }
            daemon.signal(signal);
        }
    }

    fn start_instance_fault(&mut self, step: &Step) -> Option<(usize, usize)> {
        let target = match step.fault {
            Fault::CrashPrimary | Fault::LoseAnswers => self.find_instance(step, true),
            Fault::CrashReplica | Fault::DeafReplica => self.find_instance(step, false),
            _ => self.find_any_instance(step),
        }?;
        let (group, instances) = &self.cluster.groups[target.0];
        let instance = &instances[target.1];
        match step.fault {
            Fault::CrashPrimary | Fault::CrashReplica => instance.server.crash(),
            Fault::LoseAnswers => instance.server.set_response_loss(true),
            Fault::DeafReplica => group.set_replication_paused(target.1, true),
            Fault::CutInstance => instance.proxy.partition(true),
            Fault::InstanceUnanswered => instance.proxy.discard(true),
            Fault::CutAnswers => instance.proxy.stall_responses(true),
            Fault::ResetInstance => instance.proxy.close_connections(),
            Fault::DelayInstance => instance.proxy.delay(INSTANCE_DELAY),
            _ => {}
        }
        Some(target)
    }

    /// Ends a fault.
    pub(crate) fn end_fault(
        &mut self,
        step: &Step,
        target: Option<(usize, usize)>,
    ) -> io::Result<()> {
        self.undo_fault(step, target)?;
        if let Some((ledger, _)) = &self.keys {
            ledger.end_fault(step.fault);
        }
        Ok(())
    }

    fn undo_fault(&mut self, step: &Step, target: Option<(usize, usize)>) -> io::Result<()> {
        match step.fault {
            Fault::KillDaemon | Fault::KillAll | Fault::StopDaemon => self.restart_missing()?,
            Fault::PauseDaemon => self.signal(step, Signal::CONT),
            Fault::StoreBusy => self.set_faults(|f| f.is_unavailable = false),
            Fault::RestoreStore => {
                self.set_faults(|f| f.is_unavailable = false);
                self.write_table();
                self.cluster.beat();
            }
            Fault::OddEntry => self.cluster.store.remove("servers", &odd_entry_name(step)),
            Fault::StoreLosesAnswers => self.set_faults(|f| f.loses_responses = false),
            Fault::LoseOrders => self.set_faults(|f| f.loses_promotion_responses = false),
            Fault::StoreSilent => self.cluster.store_proxy.partition(false),
            Fault::StoreUnanswered => self.cluster.store_proxy.discard(false),
            Fault::RefuseState => self.accept_state(),
            Fault::OrdersUnavailable => self.set_faults(|f| f.is_promotion_unavailable = false),
            Fault::RemoveKeys | Fault::LowerQuota | Fault::ChangeLimits | Fault::GrowTable => {
                self.change_ends(|ends| ends.end(step));
            }
            Fault::ReplaceHost => {
                let index = step.target % self.daemons.len();
                if self.daemons[index].is_none() {
                    self.addresses[index] = loopback_peer_addresses(1)[0];
                }
                self.restart_missing()?;
            }
            _ => {}
        }
        let Some((group_index, instance_index)) = target else {
            return Ok(());
        };
        let (group, instances) = &self.cluster.groups[group_index];
        let instance = &instances[instance_index];
        match step.fault {
            Fault::ReplaceInstance => self.end_replacement((group_index, instance_index)),
            Fault::CrashPrimary | Fault::CrashReplica
                if !self.gone.contains(&(group_index, instance_index)) =>
            {
                instance.server.restart();
            }
            Fault::LoseAnswers => instance.server.set_response_loss(false),
            Fault::DeafReplica => group.set_replication_paused(instance_index, false),
            Fault::CutInstance | Fault::CutAnswers => instance.proxy.partition(false),
            Fault::DelayInstance => instance.proxy.delay(Duration::ZERO),
            Fault::InstanceUnanswered => instance.proxy.discard(false),
            _ => {}
        }
        Ok(())
    }

    /// Writes the entries of all instances to the directory, as instances do periodically.
    pub(crate) fn refresh_directory(&mut self) {
        self.cluster.publish_with_draining(&self.draining);
        self.copies.push_back(self.cluster.store.copy());
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }

    /// Ends all faults and restarts what has stopped.
    pub(crate) fn heal(&mut self) -> io::Result<()> {
        self.set_faults(|f| *f = StoreFaults::default());
        self.change_ends(|ends| *ends = EndTable::default());
        self.write_table();
        self.cluster.store_proxy.partition(false);
        self.cluster.store_proxy.discard(false);
        self.accept_state();
        self.draining.clear();
        for (group_index, (group, instances)) in self.cluster.groups.iter().enumerate() {
            for (instance_index, instance) in instances.iter().enumerate() {
                if self.gone.contains(&(group_index, instance_index)) {
                    continue;
                }
                instance.proxy.partition(false);
                instance.proxy.delay(Duration::ZERO);
                instance.proxy.discard(false);
                instance.server.set_response_loss(false);
                if !group.is_up(instance_index) {
                    instance.server.restart();
                }
                group.set_replication_paused(instance_index, false);
            }
        }
        self.refresh_directory();
        for daemon in self.daemons.iter().flatten() {
            self.processes.record_resumption(daemon.addresses.clients);
            daemon.signal(Signal::CONT);
        }
        self.restart_missing()?;
        if let Some((ledger, _)) = &self.keys {
            ledger.end_all_faults();
        }
        Ok(())
    }

    /// Whether every daemon reports that it is ready. Restarts daemons that have exited, such as
    /// one that was still stopping when the faults ended.
    pub(crate) fn is_ready(&mut self) -> bool {
        self.restart_missing().is_ok() && self.daemons.iter().flatten().all(Daemon::is_ready)
    }
}
