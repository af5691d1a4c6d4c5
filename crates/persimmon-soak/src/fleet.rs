//! The daemons of a run, and how faults are carried out and healed.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use persimmon_lab::seam::{Daemon, Seam, StoreFaults, meeting_addresses};
use rustix::process::Signal;

use crate::plan::{Fault, Step};

/// How late everything is at a slow instance.
const LATE: Duration = Duration::from_millis(80);

/// Everything that faults act on.
pub(crate) struct Fleet {
    pub(crate) seam: Seam,
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    daemons: Vec<Option<Daemon>>,
    starts: usize,
    version: u64,
    faults: StoreFaults,
    /// Where callers may go, shared with their threads.
    pub(crate) fronts: Arc<Mutex<Vec<SocketAddr>>>,
}

fn lock(fronts: &Mutex<Vec<SocketAddr>>) -> MutexGuard<'_, Vec<SocketAddr>> {
    fronts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    pub(crate) fn start(seam: Seam, folder: PathBuf, daemons: u16) -> io::Result<Self> {
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            seam,
            folder,
            addresses: meeting_addresses(daemons),
            daemons: Vec::new(),
            starts: 0,
            version: 1,
            faults: StoreFaults::default(),
            fronts: Arc::default(),
        };
        for index in 0..usize::from(daemons) {
            fleet.daemons.push(None);
            fleet.start_daemon(index)?;
        }
        Ok(fleet)
    }

    fn start_daemon(&mut self, index: usize) -> io::Result<()> {
        self.starts += 1;
        let name = format!("d{index}");
        let seeds = &self.addresses[..self.addresses.len().min(3)];
        let settings = self.seam.settings(&name, self.addresses[index], seeds);
        // Each process has a log of its own.
        let folder = self.folder.join(format!("{}", self.starts));
        std::fs::create_dir_all(&folder)?;
        self.daemons[index] = Some(Daemon::start(&folder, &name, &settings)?);
        self.publish();
        Ok(())
    }

    fn publish(&self) {
        let running = self.daemons.iter().flatten();
        *lock(&self.fronts) = running.map(|d| d.addresses.callers).collect();
    }

    fn restart_missing(&mut self) -> io::Result<()> {
        for index in 0..self.daemons.len() {
            let has_ended = match &mut self.daemons[index] {
                Some(daemon) => daemon.ended()?.is_some(),
                None => true,
            };
            if has_ended {
                self.start_daemon(index)?;
            }
        }
        Ok(())
    }

    fn daemon(&self, target: usize) -> Option<&Daemon> {
        self.daemons[target % self.daemons.len()].as_ref()
    }

    fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
        self.publish();
    }

    /// The group and the instance that a fault meets.
    fn instance(&self, step: &Step, leads: bool) -> Option<(usize, usize)> {
        let number = step.target % self.seam.groups.len();
        let (group, members) = &self.seam.groups[number];
        let primary = group.primary();
        if leads {
            return primary.map(|copy| (number, copy));
        }
        let others = (0..members.len()).filter(|c| Some(*c) != primary && group.is_up(*c));
        let others: Vec<usize> = others.collect();
        others.get(step.target / 7 % others.len().max(1)).map(|copy| (number, *copy))
    }

    fn any_instance(&self, step: &Step) -> Option<(usize, usize)> {
        self.instance(step, step.target.is_multiple_of(2))
    }

    fn set_faults(&mut self, set: impl FnOnce(&mut StoreFaults)) {
        set(&mut self.faults);
        self.seam.store.set_faults(self.faults);
    }

    /// Begins a fault; returns which instance it met, for its end.
    pub(crate) fn begin(&mut self, step: &Step) -> Option<(usize, usize)> {
        let index = step.target % self.daemons.len();
        match step.fault {
            Fault::KillDaemon => self.kill(index),
            Fault::KillAll => (0..self.daemons.len()).for_each(|i| self.kill(i)),
            Fault::StopDaemon => self.signal(step, Signal::TERM),
            Fault::PauseDaemon => self.signal(step, Signal::STOP),
            Fault::HangUp => self.signal(step, Signal::HUP),
            Fault::StoreBusy => self.set_faults(|f| f.is_busy = true),
            Fault::StoreLosesAnswers => self.set_faults(|f| f.loses_answers = true),
            Fault::LoseOrders => self.set_faults(|f| f.loses_orders = true),
            Fault::StoreSilent => self.seam.store_proxy.cut(true),
            Fault::ForgetHistory => self.seam.store.forget_history(),
            Fault::ChangeTable => {
                self.version += 1 + u64::try_from(step.target % 5).unwrap_or(0);
                self.seam.put_table(self.version, &["extra"][..step.target % 2]);
            }
            Fault::DrainPrimary => self.seam.register(true),
            _ => return self.begin_at_instance(step),
        }
        None
    }

    fn signal(&self, step: &Step, signal: Signal) {
        if let Some(daemon) = self.daemon(step.target) {
            daemon.signal(signal);
        }
    }

    fn begin_at_instance(&mut self, step: &Step) -> Option<(usize, usize)> {
        let met = match step.fault {
            Fault::CrashPrimary | Fault::LoseAnswers => self.instance(step, true),
            Fault::CrashReplica | Fault::DeafReplica => self.instance(step, false),
            _ => self.any_instance(step),
        }?;
        let (group, members) = &self.seam.groups[met.0];
        let member = &members[met.1];
        match step.fault {
            Fault::CrashPrimary | Fault::CrashReplica => member.server.crash(),
            Fault::LoseAnswers => member.server.lose_answers(true),
            Fault::DeafReplica => group.set_deaf(met.1, true),
            Fault::CutInstance => member.proxy.cut(true),
            Fault::CutAnswers => member.proxy.hold_back(true),
            Fault::ResetInstance => member.proxy.break_all(),
            Fault::DelayInstance => member.proxy.delay(LATE),
            _ => {}
        }
        Some(met)
    }

    /// Ends a fault.
    pub(crate) fn end(&mut self, step: &Step, met: Option<(usize, usize)>) -> io::Result<()> {
        match step.fault {
            Fault::KillDaemon | Fault::KillAll | Fault::StopDaemon => self.restart_missing()?,
            Fault::PauseDaemon => self.signal(step, Signal::CONT),
            Fault::StoreBusy => self.set_faults(|f| f.is_busy = false),
            Fault::StoreLosesAnswers => self.set_faults(|f| f.loses_answers = false),
            Fault::LoseOrders => self.set_faults(|f| f.loses_orders = false),
            Fault::StoreSilent => self.seam.store_proxy.cut(false),
            _ => {}
        }
        let Some((number, copy)) = met else {
            return Ok(());
        };
        let (group, members) = &self.seam.groups[number];
        let member = &members[copy];
        match step.fault {
            Fault::CrashPrimary | Fault::CrashReplica => member.server.restart(),
            Fault::LoseAnswers => member.server.lose_answers(false),
            Fault::DeafReplica => group.set_deaf(copy, false),
            Fault::CutInstance | Fault::CutAnswers => member.proxy.cut(false),
            Fault::DelayInstance => member.proxy.delay(Duration::ZERO),
            _ => {}
        }
        Ok(())
    }

    /// What instances write to the directory by themselves.
    pub(crate) fn beat(&self) {
        self.seam.register(false);
    }

    /// Heals everything that may still be broken.
    pub(crate) fn heal(&mut self) -> io::Result<()> {
        self.set_faults(|f| *f = StoreFaults::default());
        self.seam.store_proxy.cut(false);
        for (group, members) in &self.seam.groups {
            for (copy, member) in members.iter().enumerate() {
                member.proxy.cut(false);
                member.proxy.delay(Duration::ZERO);
                member.server.lose_answers(false);
                if !group.is_up(copy) {
                    member.server.restart();
                }
                group.set_deaf(copy, false);
            }
        }
        self.beat();
        for daemon in self.daemons.iter().flatten() {
            daemon.signal(Signal::CONT);
        }
        self.restart_missing()
    }

    /// Whether every daemon says that it is ready; one that is still stopping is started again.
    pub(crate) fn is_ready(&mut self) -> bool {
        self.restart_missing().is_ok() && self.daemons.iter().flatten().all(Daemon::is_ready)
    }
}
