//! Runs the promotion coordinator of each service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{PromoteError, PromotionRequest};
use persimmon_promotion::{Action, Input, PrimaryInfo, PromotionCoordinator, Request};
use persimmon_types::{Clock, Term, Time};
use rand::Rng;
use tokio::sync::mpsc;

use crate::control::Control;
use crate::control::peers;
use crate::control::probe::ProbeConnections;
use crate::control::promotion_lock::{acquire_lock, announce_promotion};
use crate::control::replication::{
    ReplicationWatch, close_log, demote_old_primary, query_instances, resume_replication,
};
use crate::metrics::Metrics;
use crate::traffic::Suspicion;

/// How often coordinators are driven by the clock.
const TICK: Duration = Duration::from_millis(100);

/// Maximum random delay by which daemons without the promotion lock spread their attempts to
/// acquire it.
const LOCK_STAGGER: Duration = Duration::from_millis(1_500);

/// Part of that delay within which the daemons that come first for a service draw theirs; the others
/// draw from the rest.
const CANDIDATE_STAGGER_PART: f64 = 0.3;

/// Shortest interval between two attempts to acquire a promotion lock again after a restore.
const LOCK_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest interval between two reports of suspicions of one service's primary.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

pub(super) struct RunningCoordinator {
    pub(super) coordinator: RefCell<PromotionCoordinator>,
    pub(super) probes: ProbeConnections,
    pub(super) service: Arc<str>,
    /// The term under which replicas were last stopped or the primary demoted.
    pub(super) closing_term: Cell<Term>,
    watch: ReplicationWatch,
    /// When a suspicion was last reported to the daemons that may hold the promotion lock.
    reported_at: Cell<Time>,
    /// The store's era in which this daemon last acquired the promotion lock, or lost it to
    /// another.
    pub(super) lock_era: Cell<u64>,
    /// When the promotion lock may next be acquired again after a restore of the store.
    renewal_at: Cell<Time>,
}

/// Runs all coordinators until the process ends.
pub(crate) async fn run(control: Rc<Control>, mut suspicions: mpsc::Receiver<Suspicion>) {
    let mut running: HashMap<Arc<str>, Rc<RunningCoordinator>> = HashMap::new();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            suspicion = suspicions.recv() => {
                let Some(suspicion) = suspicion else {
                    return;
                };
                if let Some(running) = running.get(&suspicion.service) {
                    on_suspicion(&control, running, suspicion);
                }
            }
            _ = ticks.tick() => {
                tick(&control, &mut running);
            }
        }
    }
}

fn on_suspicion(control: &Rc<Control>, running: &Rc<RunningCoordinator>, suspicion: Suspicion) {
    let Suspicion { service, instance, is_from_peer } = suspicion;
    handle_input(control, running, Input::Suspected(Arc::clone(&instance)));
    let holds_lock = running.coordinator.borrow().fencing_token().is_some();
    let is_primary = primary_info(control, &service).primary.as_ref() == Some(&instance);
    let now = Clock.now();
    if is_from_peer
        || holds_lock
        || !is_primary
        || now.since(running.reported_at.get()) < REPORT_INTERVAL
    {
        return;
    }
    // Also while this daemon's own coordinator is at work: it cannot act without the lock.
    running.reported_at.set(now);
    tracing::info!(%service, %instance,
        "the suspicion of a primary is reported to the candidates for the promotion lock");
    peers::report_suspicion(control, &service, &instance);
}

fn tick(control: &Rc<Control>, running: &mut HashMap<Arc<str>, Rc<RunningCoordinator>>) {
    let now = Clock.now();
    control.tick_table(now);
    control.record_ages(now);
    if control.directory.borrow_mut().tick(now, control.is_store_reachable()) {
        control.publish();
    }
    let snapshot = control.snapshot();
    let Some(table) = &snapshot.table else {
        return;
    };
    if control.peers.daemon_count().is_none() {
        // Whether this daemon is one of the first to acquire promotion locks is not known yet.
        return;
    }
    let mut names: Vec<_> = table.services.keys().cloned().collect();
    names.sort();
    for name in &names {
        if snapshot.instances(name).is_empty() {
            continue;
        }
        let entry = running.entry(Arc::clone(name)).or_insert_with(|| {
            let running = Rc::new(RunningCoordinator {
                coordinator: RefCell::new(new_coordinator(control, name)),
                probes: ProbeConnections::default(),
                service: Arc::clone(name),
                closing_term: Cell::default(),
                watch: ReplicationWatch::default(),
                reported_at: Cell::default(),
                lock_era: Cell::default(),
                renewal_at: Cell::default(),
            });
            acquire_initial_lock(control, &running);
            running
        });
        let is_synchronous = table.services.get(name).is_some_and(|s| s.is_synchronous);
        entry.coordinator.borrow_mut().set_synchronous(is_synchronous);
        if entry.coordinator.borrow().is_idle() {
            entry.probes.clear();
        }
        watch_replication(control, entry, now);
        renew_lock_after_restore(control, entry, now);
        handle_input(control, entry, Input::Tick);
    }
}

/// Checks the replicas of a synchronous group, on the daemons that come first for the service and on
/// the holder of the promotion lock.
fn watch_replication(control: &Rc<Control>, running: &Rc<RunningCoordinator>, now: Time) {
    let (may_watch, holds_lock) = {
        let coordinator = running.coordinator.borrow();
        let may_watch = coordinator.is_synchronous() && coordinator.may_be_at_rest();
        (may_watch, coordinator.fencing_token().is_some())
    };
    let is_watching = holds_lock || peers::is_lock_candidate(control, &running.service);
    if !may_watch || !is_watching || !running.watch.is_due(now, holds_lock) {
        return;
    }
    let (control, running) = (Rc::clone(control), Rc::clone(running));
    ntex::rt::spawn(async move {
        let service = &running.service;
        if let Some(primary) = running.watch.check(&control, service, holds_lock).await {
            handle_input(&control, &running, Input::Standstill(primary));
        }
    });
}

fn new_coordinator(control: &Control, service: &Arc<str>) -> PromotionCoordinator {
    let is_candidate = peers::is_lock_candidate(control, service);
    let range =
        if is_candidate { 0.0..CANDIDATE_STAGGER_PART } else { CANDIDATE_STAGGER_PART..1.0 };
    let stagger = LOCK_STAGGER.mul_f64(rand::rng().random_range(range));
    PromotionCoordinator::new(stagger).with_lock_lease(control.settings.promotion_lock_lease)
}

/// Acquires the promotion lock in advance on the daemon that comes first for the service, so that a
/// primary can be replaced while the store is unavailable.
fn acquire_initial_lock(control: &Rc<Control>, running: &Rc<RunningCoordinator>) {
    if control.peers.top(&running.service, 1) != [control.settings.peers] {
        return;
    }
    let (control, running) = (Rc::clone(control), Rc::clone(running));
    ntex::rt::spawn(async move {
        let input = acquire_lock(&control, &running, false).await;
        handle_input(&control, &running, input);
    });
}

/// Acquires a promotion lock again that this daemon holds and that the store may have forgotten: a
/// daemon that reads no record would act beside this one.
fn renew_lock_after_restore(control: &Rc<Control>, running: &Rc<RunningCoordinator>, now: Time) {
    let is_held = {
        let coordinator = running.coordinator.borrow();
        coordinator.is_idle() && coordinator.fencing_token().is_some()
    };
    if !is_held || running.lock_era.get() >= control.store_era() || now < running.renewal_at.get() {
        return;
    }
    running.renewal_at.set(now + LOCK_RENEWAL_INTERVAL);
    let (control, running) = (Rc::clone(control), Rc::clone(running));
    ntex::rt::spawn(async move {
        let input = acquire_lock(&control, &running, true).await;
        handle_input(&control, &running, input);
    });
}

pub(super) fn primary_info(control: &Control, service: &str) -> PrimaryInfo {
    let snapshot = control.snapshot();
    let Some(primary) = snapshot.self_declared_primary(service) else {
        return PrimaryInfo::default();
    };
    let id = &primary.instance.id;
    PrimaryInfo {
        primary: Some(Arc::clone(id)),
        is_draining: primary.instance.is_draining,
        // The snapshot is not published again while the time advances.
        missing_for: control.directory.borrow().missing_for(id),
    }
}

fn handle_input(control: &Rc<Control>, running: &Rc<RunningCoordinator>, input: Input) {
    let service = &running.service;
    let primary_info = primary_info(control, service);
    let mut actions = Vec::new();
    let (before, after) = {
        let mut coordinator = running.coordinator.borrow_mut();
        let before = coordinator.state_name();
        coordinator.handle(Clock.now(), &primary_info, input.clone(), &mut actions);
        (before, coordinator.state_name())
    };
    if before != after {
        tracing::info!(%service, before, after, primary = primary_info.primary.as_deref(),
            draining = primary_info.is_draining, missing = ?primary_info.missing_for,
            because = ?input, "promotion coordinator changed state");
    }
    for action in actions {
        let (control, running) = (Rc::clone(control), Rc::clone(running));
        ntex::rt::spawn(async move {
            let input = execute_action(&control, &running, action).await;
            handle_input(&control, &running, input);
        });
    }
}

async fn execute_action(
    control: &Rc<Control>,
    running: &Rc<RunningCoordinator>,
    action: Action,
) -> Input {
    let snapshot = control.snapshot();
    let listed = snapshot.instances(&running.service);
    match action {
        Action::Probe => Input::Probed(running.probes.probe(control, listed).await),
        Action::PollPeers => {
            let suspected = running.coordinator.borrow().suspected_primary().cloned();
            let Some(primary) =
                suspected.or_else(|| primary_info(control, &running.service).primary)
            else {
                return Input::Canvassed { failing: 0, answered: 0 };
            };
            let (failing, answered) = peers::poll_peers(control, &primary).await;
            tracing::info!(service = %running.service, %primary, failing, answered,
                "peers were polled on whether the primary answers them");
            Input::Canvassed { failing, answered }
        }
        Action::QueryInstances => query_instances(control, running).await,
        Action::CloseLog => close_log(control, running).await,
        Action::DemoteOldPrimary => {
            demote_old_primary(control, running).await;
            Input::Tick
        }
        Action::ResumeReplication { primary, only } => {
            resume_replication(control, running, &primary, only).await
        }
        Action::AcquireLock => acquire_lock(control, running, false).await,
        Action::RequestPromotion(req) => request_promotion(control, running, req).await,
    }
}

async fn request_promotion(
    control: &Rc<Control>,
    running: &Rc<RunningCoordinator>,
    req: Request,
) -> Input {
    let Request { candidate, fencing_token } = &req;
    let (service, fencing_token) = (&running.service, *fencing_token);
    Metrics::increment(&control.metrics.promotions_ordered);
    announce_promotion(control, service, fencing_token);
    let request = PromotionRequest {
        service: Arc::clone(service),
        instance: Arc::clone(candidate),
        coordinator: Arc::clone(&control.settings.name),
        fencing_token,
    };
    let began = Clock.now();
    let result = control.platform.authority.promote(request).await;
    let ms = u64::try_from(Clock.now().since(began).as_millis()).unwrap_or(u64::MAX);
    tracing::info!(%service, %candidate, token = fencing_token, ms, ?result,
        "a promotion was ordered");
    match result {
        Ok(()) => Input::Accepted(req),
        Err(PromoteError::Refused) => Input::Refused(req),
        Err(PromoteError::Limited | PromoteError::Unavailable(_)) => Input::NotDone(req),
        Err(PromoteError::Unanswered(_)) => Input::Unanswered(req),
    }
}
