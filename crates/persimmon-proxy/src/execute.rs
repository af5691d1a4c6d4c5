//! Executes one statement, or opens a transaction with its first statement, on an eligible
//! instance.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{
    Admission, AttemptFailure, AttemptKind, Candidate, RetryDecision, after_failure,
    choose_instance,
};
use persimmon_interfaces::{ErrorCode, Freshness, Instance, TxStatus};
use persimmon_types::{Clock, Position, Time};
use rand::Rng;

use crate::connection::{Answer, DesiredState};
use crate::dispatcher::{Grant, Turn};
use crate::metrics::Metrics;
use crate::pool::PooledConnection;
use crate::round_trip::InFlight;
use crate::statement_job::{Execution, ExecutionMode, StatementJob};
use crate::traffic::Worker;
use crate::transaction::DirectTransaction;

/// Minimum time before the statement's deadline to start an attempt; a later one cannot finish in
/// time.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);

/// Initial retry delay; it doubles with each attempt and is jittered.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(8);

/// Maximum retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Longest time that a new statement waits, once, to be admitted at an instance. The limit is short
/// because a client that is told to retry may reach another daemon.
const MAX_ADMISSION_WAIT: Duration = Duration::from_millis(80);

/// Share of a read's remaining time after which an unresponsive instance is abandoned for another.
const READ_ATTEMPT_SHARE: f64 = 0.6;

impl Worker {
    /// Executes a statement on an eligible instance, retrying until its deadline.
    pub(crate) async fn execute(
        self: &Rc<Self>,
        job: &StatementJob<'_>,
        mode: ExecutionMode,
    ) -> Execution {
        let mut execution = Execution::new(mode);
        let mut tried: Vec<Arc<str>> = Vec::new();
        // Instances that could run a read, if they had room.
        let mut full = FullInstances::default();
        loop {
            let selected = self.select_instance(job, &mut execution, &tried, &full).await;
            // A retry counts as the same operation of the client.
            let may_send = execution.was_sent || job.may_send(Clock.now());
            if !may_send || (selected.is_none() && full.instances.is_empty()) {
                execution.failure = Some(failure_text(&AttemptFailure::NotSent));
                return execution.refused(ErrorCode::Busy);
            }
            let (instance, grant) = match selected {
                Some(instance) if !self.is_ordered(&instance) => (instance, None),
                selected => match self.take_turn(job, selected, &mut full, &mut execution).await {
                    Some(Turn::Granted(instance, grant)) => (instance, Some(grant)),
                    Some(Turn::Refused) => return execution.refused(ErrorCode::Busy),
                    Some(Turn::Unavailable) => {
                        tried.clear();
                        continue;
                    }
                    None => {
                        tried.extend(full.instances.last().map(|i| Arc::clone(&i.id)));
                        continue;
                    }
                },
            };
            if grant.is_none()
                && let Admission::RetryAfter(retry_after) =
                    self.admit(job, &instance, &mut execution)
            {
                tried.push(Arc::clone(&instance.id));
                if !execution.mode.needs_primary() {
                    continue;
                }
                execution.instance = Some(Arc::clone(&instance.id));
                execution.retry_after = retry_after;
                if self.wait_for_admission(job, &mut execution).await {
                    tried.clear();
                    continue;
                }
                Metrics::increment(&self.metrics.held_back);
                return execution.refused(ErrorCode::Busy);
            }
            execution.attempts += 1;
            execution.instance = Some(Arc::clone(&instance.id));
            execution.directory_age = self.directory_age();
            let requested_at = Clock.now();
            let failure = match self.attempt(job, &mut execution, &instance, grant).await {
                Ok((connection, answer)) => match answer.code() {
                    Some(code) if code.is_not_run() => {
                        self.rollback_if_open(connection).await;
                        AttemptFailure::Answered(code.clone())
                    }
                    _ => {
                        if execution.mode == ExecutionMode::Write && answer.result.is_ok() {
                            let service = &job.route.service;
                            execution.commit_position =
                                self.covering_position(service, answer.position, requested_at);
                        }
                        if answer.status != TxStatus::Idle {
                            let transaction = DirectTransaction::new(self, connection);
                            execution.transaction = Some(Box::new(transaction));
                        }
                        execution.result = Ok(answer);
                        return execution;
                    }
                },
                Err(failure) => failure,
            };
            // They may have room by now.
            tried.retain(|id| full.instances.iter().all(|i| i.id != *id));
            full = FullInstances::default();
            self.record_failure(&instance, &failure);
            // A statement that has waited for a connection for its whole latency target is refused
            // while the client can still retry at another daemon.
            let may_wait_longer =
                failure != AttemptFailure::NotSent || execution.connection_wait < job.route.target;
            let has_time = may_wait_longer && Clock.now() + MIN_ATTEMPT_TIME < job.deadline;
            let next = after_failure(execution.mode.attempt_kind(), &failure, has_time);
            execution.was_lost |= failure == AttemptFailure::Lost;
            execution.failure = Some(failure_text(&failure));
            match next {
                RetryDecision::Refuse(code) => return execution.refused(code),
                RetryDecision::FindPrimary => {
                    self.record_not_primary(
                        &job.route.service,
                        &instance.id,
                        "the instance refused a write as read-only",
                    );
                }
                RetryDecision::Retry | RetryDecision::ReturnToClient => {}
            }
            Metrics::increment(&self.metrics.retries);
            tried.push(Arc::clone(&instance.id));
            let instances = self.snapshot().instances(&job.route.service).len();
            if execution.mode.needs_primary() || tried.len() >= instances {
                tried.clear();
                pause(execution.attempts, job.deadline).await;
            }
        }
    }

    /// Takes the turn of a statement at the selected instance. A read that finds no room there first
    /// tries the other instances (`None`), and waits for all of them once none is left to select.
    async fn take_turn(
        self: &Rc<Self>,
        job: &StatementJob<'_>,
        selected: Option<Arc<Instance>>,
        full: &mut FullInstances,
        execution: &mut Execution,
    ) -> Option<Turn> {
        if let Some(instance) = selected {
            if let Some(grant) = self.grant_at_once(&instance) {
                return Some(Turn::Granted(instance, grant));
            }
            execution.instance = Some(Arc::clone(&instance.id));
            execution.congestion_ms =
                Some(self.pool.admission(&instance.id, |controller| controller.wait_ms()));
            if execution.mode.needs_primary() {
                return Some(self.wait_for_turn(job, &[instance], true, execution).await);
            }
            full.after = execution.after;
            full.instances.push(instance);
            return None;
        }
        let FullInstances { instances, after } = std::mem::take(full);
        execution.after = after;
        Some(self.wait_for_turn(job, &instances, false, execution).await)
    }

    /// Whether admission control lets a new statement go to an instance.
    fn admit(
        &self,
        job: &StatementJob<'_>,
        instance: &Instance,
        execution: &mut Execution,
    ) -> Admission {
        let draw = rand::rng().random_range(0.0..1.0);
        let service = &job.route.service;
        let daemons = self.peers.sharer_count(service, self.max_connections(service));
        let baseline_ms = self.latency_baseline(job).ms();
        let in_flight = self.pool.load(&instance.id, |load| load.in_flight);
        self.pool.admission(&instance.id, |controller| {
            controller.set_share(instance.slots, daemons);
            let priority = job.route.priority;
            let admission = controller.admit(Clock.now(), baseline_ms, priority, in_flight, draw);
            if admission != Admission::Admitted {
                execution.congestion_ms = Some(controller.wait_ms());
            }
            admission
        })
    }

    /// Lets a throttled statement wait once; returns whether it may request admission again.
    async fn wait_for_admission(&self, job: &StatementJob<'_>, execution: &mut Execution) -> bool {
        let max_wait = MAX_ADMISSION_WAIT.min(job.route.target / 4);
        let has_time = Clock.now() + max_wait + MIN_ATTEMPT_TIME < job.deadline;
        if !has_time || std::mem::replace(&mut execution.was_throttled, true) {
            return false;
        }
        // Jitter, so that statements throttled together do not retry together.
        tokio::time::sleep(max_wait.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        true
    }

    fn record_failure(&self, instance: &Arc<Instance>, failure: &AttemptFailure) {
        let now = Clock.now();
        self.pool.load(&instance.id, |load| match failure {
            AttemptFailure::Answered(ErrorCode::Behind) => load.record_lagging(now),
            AttemptFailure::Answered(ErrorCode::Busy) => load.record_answer(now, 3.0, true),
            _ => {}
        });
        if *failure == AttemptFailure::Answered(ErrorCode::Busy) {
            self.pool.admission(&instance.id, |controller| controller.record_rejection(now));
        }
    }

    async fn rollback_if_open(&self, mut connection: PooledConnection) {
        if connection.backend().has_transaction {
            self.rollback(&mut connection).await;
        }
    }

    /// Selects an instance, and the minimum position that it must have applied.
    async fn select_instance(
        self: &Rc<Self>,
        job: &StatementJob<'_>,
        execution: &mut Execution,
        tried: &[Arc<str>],
        full: &FullInstances,
    ) -> Option<Arc<Instance>> {
        let service = &job.route.service;
        let max_age = job.route.freshness.max_age();
        if !execution.mode.needs_primary() && job.route.freshness == Freshness::Latest {
            execution.mode = execution.mode.on_primary();
        }
        if execution.mode.needs_primary() {
            execution.after = None;
            return self.find_primary(service, job.deadline).await;
        }
        let since = (job.fresh_as_of - max_age).max(job.unpositioned_commit_at);
        let wait_began = Clock.now();
        let min_position = self.min_position(service, since, max_age, job.deadline).await;
        execution.min_position_wait += Clock.now().since(wait_began);
        let min_position = min_position?;
        self.refresh_sample(service, max_age);
        let min_position =
            job.last_commit_position.map_or(min_position, |own| own.max(min_position));
        let snapshot = self.snapshot();
        let primary = self.believed_primary(service).map(|p| Arc::clone(&p.id));
        let now = Clock.now();
        let listed = snapshot.instances(service);
        let loads: Vec<_> = listed
            .iter()
            .map(|entry| self.pool.load_and_idle(&entry.instance.id, job.user()))
            .collect();
        let mut candidates = Vec::with_capacity(listed.len());
        for (index, (entry, (load, is_connected))) in listed.iter().zip(&loads).enumerate() {
            let is_primary = primary.as_ref() == Some(&entry.instance.id);
            if entry.is_past_drain_deadline(now) || !entry.accepts_work() && !is_primary {
                continue;
            }
            candidates.push(Candidate {
                index,
                load,
                is_primary,
                is_local: entry.instance.domain == self.settings.failure_domain,
                was_tried: tried.contains(&entry.instance.id),
                is_connected: *is_connected,
                is_for_workspace: job.caller.is_some(),
            });
        }
        let start = rand::rng().random_range(0..candidates.len().max(1));
        if let Some(index) = choose_instance(now, min_position, &candidates, start) {
            execution.after = Some(min_position);
            return Some(Arc::clone(&listed[index].instance));
        }
        if !full.instances.is_empty() {
            return None;
        }
        // No replica is known to be fresh enough; the primary always is.
        execution.mode = execution.mode.on_primary();
        execution.after = None;
        self.find_primary(service, job.deadline).await
    }

    async fn attempt(
        self: &Rc<Self>,
        job: &StatementJob<'_>,
        execution: &mut Execution,
        instance: &Arc<Instance>,
        grant: Option<Grant>,
    ) -> Result<(PooledConnection, Answer), AttemptFailure> {
        let _in_flight = InFlight::new(self, &instance.id);
        let desired = DesiredState {
            rank: grant.as_ref().map(|_| job.connection_rank()),
            ..job.desired_state()
        };
        // It is counted as in flight from here on.
        drop(grant);
        let began = Clock.now();
        let opened = self.ready_connection(job, execution, instance, desired).await;
        execution.connection_wait += Clock.now().since(began);
        // The next statement may wait for a connection now.
        self.send_next(&instance.id);
        let mut connection = opened?;
        if self.is_past_drain_deadline(instance) {
            self.rollback_if_open(connection).await;
            return Err(AttemptFailure::NotSent);
        }
        let after = if execution.mode == ExecutionMode::Copy { execution.after } else { None };
        let rolls_back = execution.mode == ExecutionMode::Guarded;
        if !execution.was_sent && !job.may_send(Clock.now()) {
            self.rollback_if_open(connection).await;
            return Err(AttemptFailure::NotSent);
        }
        execution.was_sent = true;
        let mut limit = job.deadline.since(Clock.now()).max(Duration::from_millis(1));
        if execution.mode.attempt_kind() == AttemptKind::Read {
            limit = limit.mul_f64(READ_ATTEMPT_SHARE);
        }
        let requested_at = Clock.now();
        let answer = self.forward(&mut connection, job, after, rolls_back, limit).await?;
        if execution.mode == ExecutionMode::Guarded && answer.result.is_ok() {
            // An instance that lost the primary role runs no statement in such a transaction, so
            // the position comes from the primary.
            self.add_sample(&instance.service, answer.position, requested_at);
        }
        Ok((connection, answer))
    }
}

/// Instances that have no room for a read, and the minimum position that it requires of them.
#[derive(Debug, Default)]
struct FullInstances {
    instances: Vec<Arc<Instance>>,
    after: Option<Position>,
}

/// The text of a failure in log lines.
fn failure_text(failure: &AttemptFailure) -> Arc<str> {
    Arc::from(format!("{failure:?}"))
}

async fn pause(attempts: u32, deadline: Time) {
    let longest = INITIAL_RETRY_DELAY * 2_u32.saturating_pow(attempts.min(6));
    let pause = longest.min(MAX_RETRY_DELAY).mul_f64(rand::rng().random_range(0.5..1.0));
    let left = deadline.since(Clock.now());
    tokio::time::sleep(pause.min(left)).await;
}
