//! What happened to the processes of the daemons, and the requests without answers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use persimmon_lab::line_cluster::Group;

use crate::ends::cut::{Cut, Exemption, Process, Verdict, verdict};

/// The processes of all daemons of a run, by their addresses for clients; a restarted daemon has another
/// address.
#[derive(Debug, Default)]
pub(crate) struct Processes(Mutex<HashMap<SocketAddr, Process>>);

impl Processes {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Process>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a process is about to be killed.
    pub(crate) fn record_kill(&self, address: SocketAddr) {
        self.lock().entry(address).or_default().killed_at = Some(Instant::now());
    }

    /// Records that a process is about to be asked to stop.
    pub(crate) fn record_stop(&self, address: SocketAddr) {
        self.lock().entry(address).or_default().stopped_at.get_or_insert_with(Instant::now);
    }

    /// Records that a process is about to be paused.
    pub(crate) fn record_pause(&self, address: SocketAddr) {
        self.lock().entry(address).or_default().paused_at = Some(Instant::now());
    }

    /// Records that a process is about to go on.
    pub(crate) fn record_resumption(&self, address: SocketAddr) {
        self.lock().entry(address).or_default().resumed_at = Some(Instant::now());
    }

    /// What happened to a process.
    pub(crate) fn get(&self, address: SocketAddr) -> Process {
        self.lock().get(&address).copied().unwrap_or_default()
    }
}

/// What the clients of a run have seen of the ends of their sessions.
#[derive(Debug, Default)]
pub(crate) struct EndRecord {
    answered: AtomicU64,
    ended_unasked: AtomicU64,
    cuts: Mutex<Vec<(SocketAddr, &'static str, Cut)>>,
    silences: Mutex<Vec<String>>,
}

impl EndRecord {
    /// Records an answer.
    pub(crate) fn record_answer(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a connection ended while no request was outstanding.
    pub(crate) fn record_end_unasked(&self) {
        self.ended_unasked.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a request of a client of some kind whose connection ended before its answer.
    pub(crate) fn record_cut(&self, address: SocketAddr, kind: &'static str, cut: Cut) {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner).push((address, kind, cut));
    }

    /// Records a request that has no answer although its connection is open.
    pub(crate) fn record_silence(&self, address: SocketAddr, kind: &'static str, id: &str) {
        let silence = format!("{kind} {id} at {address}: neither an answer nor an end");
        self.silences.lock().unwrap_or_else(PoisonError::into_inner).push(silence);
    }

    /// Judges all requests without answers. A request may reach an instance after the end of its
    /// connection, so that this is asked at the end of a run.
    pub(crate) fn report(
        &self,
        processes: &Processes,
        groups: &[Arc<Group>],
        (logged, logged_violations): (BTreeMap<String, u64>, Vec<String>),
    ) -> EndReport {
        let mut report = EndReport {
            answered: self.answered.load(Ordering::Relaxed),
            ended_unasked: self.ended_unasked.load(Ordering::Relaxed),
            exempt: BTreeMap::new(),
            crossed: Vec::new(),
            violations: self.silences.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            logged,
        };
        report.violations.extend(logged_violations);
        let cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for (address, kind, mut cut) in cuts {
            cut.has_run = groups.iter().any(|group| group.has_reached(&cut.id));
            let process = processes.get(address);
            let verdict = verdict(&cut, process);
            if let Verdict::Exempt(exemption) = verdict {
                *report.exempt.entry(exemption).or_default() += 1;
            }
            let idle_for = cut.sent_at.saturating_duration_since(cut.answered_at);
            let open_for = cut.ended_at.saturating_duration_since(cut.sent_at);
            let stopped_for =
                process.stopped_at.and_then(|at| cut.ended_at.checked_duration_since(at));
            let description = format!(
                "{kind} {} at {address}: sent {idle_for:?} after the answer before, ended {open_for:?} \
                 later, stopping for {stopped_for:?}",
                cut.id
            );
            match verdict {
                Verdict::Violation(reason) => {
                    report.violations.push(format!("{description}; cut although {reason}"));
                }
                Verdict::Exempt(Exemption::Crossed) => report.crossed.push(description),
                Verdict::Exempt(_) => {}
            }
        }
        report
    }
}

/// The result of the check that no request is lost with its session.
#[derive(Clone, Debug, Default)]
pub struct EndReport {
    /// Requests that were answered.
    pub answered: u64,
    /// Connections that a daemon ended while no request was outstanding.
    pub ended_unasked: u64,
    /// Requests without an answer that may go without one, by the reason.
    pub exempt: BTreeMap<Exemption, u64>,
    /// Descriptions of those whose sessions a daemon ended for a reason of its own.
    pub crossed: Vec<String>,
    /// Descriptions of the requests that were owed an answer.
    pub violations: Vec<String>,
    /// The requests and answers that daemons have logged as cut, by the reason.
    pub logged: BTreeMap<String, u64>,
}
