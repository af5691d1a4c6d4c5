//! Queries the instances of a service, closes the log of a primary before a promotion, and lets
//! replicas receive again.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{Command, InstanceStatus, Role};
use persimmon_promotion::{Asked, Input, StandstillDetector};
use persimmon_types::{Clock, Term, Time};

use crate::control::Control;
use crate::control::probe::ProbeConnections;
use crate::control::promotion::RunningCoordinator;
use crate::control::promotion_lock::{LockState, confirm_lock};
use crate::control::view;
use crate::snapshot::DirectoryEntry;

/// Rounds in which instances that joined meanwhile are queried too, before the attempt is given up.
const MAX_JOIN_ROUNDS: usize = 3;

/// How long after the promotion lock was confirmed replicas may be resumed: other daemons do not
/// acquire it for longer.
const CONFIRMATION_TIME: Duration = Duration::from_millis(1_000);

/// How often replicas are checked for a standstill, by the holder of the promotion lock and by the
/// other daemons that come first for the service.
const WATCH_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(1_000));

/// Rounds without progress after which a replica stands still, for the holder and the others.
const STANDSTILL_ROUNDS: (u32, u32) = (2, 4);

/// Pause of the checks after a standstill: a replica that the network cuts off stands still too.
const STANDSTILL_PAUSE: Duration = Duration::from_secs(5);

/// Queries the state of every instance.
pub(super) async fn query_instances(control: &Control, running: &RunningCoordinator) -> Input {
    if !view::prove_view(control).await {
        tracing::info!(service = %running.service,
            "no primary is replaced, because neither the store nor a majority of the peers proves \
             that the directory is complete");
        return Input::NotClaimed;
    }
    let (listed, _) = listed_instances(control, running);
    let mut answers = running.probes.query_status(control, &listed, Command::Status).await;
    refresh_draining(control, running, &mut answers);
    Input::Asked(answers)
}

/// Keeps the old primary from acknowledging commits that the next one may lack, and queries the state
/// of every instance afterwards.
///
/// An old primary that leaves is demoted: what it acknowledged before is in its log. Where it cannot
/// be reached, replicas stop receiving, including those that join meanwhile.
pub(super) async fn close_log(control: &Control, running: &RunningCoordinator) -> Input {
    let (mut covered, old_primary) = listed_instances(control, running);
    let mut answers = running.probes.query_status(control, &covered, Command::Status).await;
    let newest = newest_term(&answers);
    let is_old_primary = |id: &Arc<str>| Some(id) == old_primary.as_ref();
    let has_successor = answers.iter().any(|a| {
        !is_old_primary(&a.id)
            && a.status.is_some_and(|s| s.role == Role::Primary && Some(s.term) == newest)
    });
    if has_successor {
        return Input::Closed(answers);
    }
    let term = Term(newest.map_or(0, |t| t.0) + 1);
    running.closing_term.set(term);
    let demoted = demote(control, running, &covered, old_primary.as_ref(), term).await;
    let command = if demoted.is_some() { Command::Status } else { Command::Pause(term) };
    let mut next: Vec<DirectoryEntry> =
        covered.iter().filter(|e| !is_old_primary(&e.instance.id)).cloned().collect();
    answers.clear();
    for _ in 0..MAX_JOIN_ROUNDS {
        answers.extend(running.probes.query_status(control, &next, command).await);
        let closed_at = Clock.now();
        let is_proved = view::prove_view_since(control, closed_at).await;
        if !is_proved && demoted.is_none() {
            return Input::NotClaimed;
        }
        next = joined_instances(control, running, &covered);
        if next.is_empty() {
            break;
        }
        tracing::info!(service = %running.service, joined = next.len(),
            "instances joined while the log of the primary was closed");
        covered.extend_from_slice(&next);
    }
    if !next.is_empty() {
        return Input::NotClaimed;
    }
    if let (Some(id), Some(_)) = (old_primary, demoted) {
        answers.push(Asked { id, is_draining: true, is_late: false, status: demoted });
    }
    refresh_draining(control, running, &mut answers);
    Input::Closed(answers)
}

/// Tells the old primary to become a replica. A promotion that was accepted makes it one in any case.
pub(super) async fn demote_old_primary(control: &Control, running: &RunningCoordinator) {
    let snapshot = control.snapshot();
    let listed = snapshot.instances(&running.service);
    let old_primary = running.coordinator.borrow().suspected_primary().cloned();
    let is_old_primary = |e: &&DirectoryEntry| Some(&e.instance.id) == old_primary.as_ref();
    let Some(entry) = listed.iter().find(is_old_primary) else {
        return;
    };
    let command = Command::Demote(running.closing_term.get());
    let probes = ProbeConnections::default();
    let answers = probes.query_status(control, std::slice::from_ref(entry), command).await;
    tracing::info!(service = %running.service, instance = %entry.instance.id, ?answers,
        "the failed primary was told to become a replica");
}

/// Lets replicas receive again: all, or only one of them.
pub(super) async fn resume_replication(
    control: &Control,
    running: &RunningCoordinator,
    primary: &Arc<str>,
    only: Option<Arc<str>>,
) -> Input {
    let service = &running.service;
    let Some(token) = running.coordinator.borrow().fencing_token() else {
        return Input::Resumed { only, is_complete: false };
    };
    match confirm_lock(control, service, token).await {
        LockState::Held => {}
        LockState::Lost => return Input::LockLost,
        LockState::Unknown => return Input::Resumed { only, is_complete: false },
    }
    let confirmed_at = Clock.now();
    let snapshot = control.snapshot();
    let is_resumed = |e: &&DirectoryEntry| {
        e.instance.id != *primary && only.as_ref().is_none_or(|only| e.instance.id == *only)
    };
    let entries: Vec<DirectoryEntry> =
        snapshot.instances(service).iter().filter(is_resumed).cloned().collect();
    // The connections are there before the command is sent, which has no term and cannot be fenced.
    running.probes.query_status(control, &entries, Command::Status).await;
    if Clock.now().since(confirmed_at) >= CONFIRMATION_TIME {
        return Input::Resumed { only, is_complete: false };
    }
    let answers = running.probes.query_status(control, &entries, Command::Resume).await;
    let is_complete = answers.iter().all(|a| a.status.is_some());
    tracing::info!(%service, %primary, only = only.as_deref(), is_complete, ?answers,
        "replicas were told to receive again");
    Input::Resumed { only, is_complete }
}

/// Watches whether replicas receive what the primary has. The process that has stopped one may be
/// gone.
#[derive(Debug, Default)]
pub(super) struct ReplicationWatch {
    detector: RefCell<StandstillDetector>,
    /// Connections that stay open while the group is at rest.
    probes: ProbeConnections,
    is_querying: Cell<bool>,
    next_at: Cell<Time>,
}

impl ReplicationWatch {
    /// Whether a check is due, at the holder of the promotion lock or another daemon.
    pub(super) fn is_due(&self, now: Time, holds_lock: bool) -> bool {
        if self.is_querying.get() || now < self.next_at.get() {
            return false;
        }
        let (of_holder, of_others) = WATCH_INTERVALS;
        self.next_at.set(now + if holds_lock { of_holder } else { of_others });
        true
    }

    /// Checks the replicas; returns the primary if one of them stands still.
    pub(super) async fn check(
        &self,
        control: &Control,
        service: &Arc<str>,
        holds_lock: bool,
    ) -> Option<Arc<str>> {
        self.is_querying.set(true);
        let snapshot = control.snapshot();
        let listed = snapshot.instances(service);
        let answers = self.probes.query_status(control, listed, Command::Status).await;
        self.is_querying.set(false);
        let (of_holder, of_others) = STANDSTILL_ROUNDS;
        let rounds = if holds_lock { of_holder } else { of_others };
        let primary = self.detector.borrow_mut().observe(&answers, rounds)?;
        tracing::warn!(%service, %primary, ?answers,
            "a replica receives nothing although the primary has more");
        *self.detector.borrow_mut() = StandstillDetector::default();
        self.next_at.set(Clock.now() + STANDSTILL_PAUSE);
        Some(primary)
    }
}

/// Demotes the old primary if it leaves and can be reached; returns its status if it is a replica
/// now.
async fn demote(
    control: &Control,
    running: &RunningCoordinator,
    listed: &[DirectoryEntry],
    old_primary: Option<&Arc<str>>,
    term: Term,
) -> Option<InstanceStatus> {
    if !running.coordinator.borrow().is_planned() {
        return None;
    }
    let entry = listed.iter().find(|e| Some(&e.instance.id) == old_primary)?;
    let entries = std::slice::from_ref(entry);
    let answers = running.probes.query_status(control, entries, Command::Demote(term)).await;
    let status = answers.first().and_then(|a| a.status);
    tracing::info!(service = %running.service, instance = %entry.instance.id, %term, ?status,
        "the primary was told to become a replica");
    status.filter(|s| s.role == Role::Replica)
}

/// The instances to query, and the primary that is to be replaced. A primary that has just failed is
/// left out: waiting for it would only delay the result.
fn listed_instances(
    control: &Control,
    running: &RunningCoordinator,
) -> (Vec<DirectoryEntry>, Option<Arc<str>>) {
    let snapshot = control.snapshot();
    let coordinator = running.coordinator.borrow();
    let old_primary = coordinator.suspected_primary().cloned();
    let is_queried = |e: &&DirectoryEntry| {
        coordinator.is_planned() || Some(&e.instance.id) != old_primary.as_ref()
    };
    let listed = snapshot.instances(&running.service).iter().filter(is_queried).cloned().collect();
    (listed, old_primary)
}

/// The listed instances that are neither covered nor the old primary.
fn joined_instances(
    control: &Control,
    running: &RunningCoordinator,
    covered: &[DirectoryEntry],
) -> Vec<DirectoryEntry> {
    let old_primary = running.coordinator.borrow().suspected_primary().cloned();
    let snapshot = control.snapshot();
    let is_covered = |e: &DirectoryEntry| {
        Some(&e.instance.id) == old_primary.as_ref()
            || covered.iter().any(|c| c.instance.id == e.instance.id)
    };
    snapshot.instances(&running.service).iter().filter(|e| !is_covered(e)).cloned().collect()
}

/// Notices may have arrived while the instances were queried.
fn refresh_draining(control: &Control, running: &RunningCoordinator, answers: &mut [Asked]) {
    let snapshot = control.snapshot();
    for answer in answers {
        let listed = snapshot.instance(&running.service, &answer.id);
        answer.is_draining = listed.is_none_or(|entry| !entry.accepts_work());
    }
}

fn newest_term(answers: &[Asked]) -> Option<Term> {
    answers.iter().filter_map(|a| a.status.map(|s| s.term)).max()
}
