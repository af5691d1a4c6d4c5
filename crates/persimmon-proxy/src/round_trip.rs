//! One round trip to an instance: preparing a connection for the session, sending the statement,
//! receiving the answer, and recording what it shows about the instance.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{AttemptFailure, LatencyBaseline};
use persimmon_interfaces::{Command, ErrorCode, Instance, TxStatus};
use persimmon_types::{Clock, Position};

use crate::connection::{Answer, Begin, ConnectionError, DesiredState};
use crate::pool::PooledConnection;
use crate::primaries::PrimaryTransactionError;
use crate::statement_job::{Execution, ExecutionMode, StatementJob};
use crate::traffic::Worker;

/// Counts a statement as in flight at an instance, including while it waits for a connection, so
/// that later statements prefer a free instance.
pub(crate) struct InFlight<'a> {
    worker: &'a Rc<Worker>,
    instance: &'a Arc<str>,
}

impl<'a> InFlight<'a> {
    pub(crate) fn new(worker: &'a Rc<Worker>, instance: &'a Arc<str>) -> Self {
        worker.pool.load(instance, |load| load.in_flight += 1);
        Self { worker, instance }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.worker
            .pool
            .load(self.instance, |load| load.in_flight = load.in_flight.saturating_sub(1));
        self.worker.send_next(self.instance);
    }
}

impl Worker {
    /// Checks out a connection that is ready for the statement, in a transaction if it needs one.
    pub(crate) async fn ready_connection(
        &self,
        job: &StatementJob<'_>,
        execution: &Execution,
        instance: &Arc<Instance>,
        desired: DesiredState<'_>,
    ) -> Result<PooledConnection, AttemptFailure> {
        match execution.mode {
            ExecutionMode::Guarded | ExecutionMode::PrimaryTransaction => {
                let deadline = job.connection_deadline(Clock.now());
                let opened = self.open_primary_transaction(instance, &desired, deadline).await;
                opened.map_err(|why| match why {
                    PrimaryTransactionError::NotLeading => {
                        AttemptFailure::Answered(ErrorCode::ReadOnly)
                    }
                    PrimaryTransactionError::Unavailable(_) | PrimaryTransactionError::Lost => {
                        AttemptFailure::NotSent
                    }
                })
            }
            ExecutionMode::Write | ExecutionMode::Copy => {
                self.connection_with_state(job, instance, &desired).await
            }
            ExecutionMode::CopyTransaction => {
                let begin = Begin { is_read_only: true, after: execution.after };
                self.connection_with_state(
                    job,
                    instance,
                    &DesiredState { begin: Some(begin), ..desired },
                )
                .await
            }
        }
    }

    /// Checks out a connection and applies the desired session state to it.
    async fn connection_with_state(
        &self,
        job: &StatementJob<'_>,
        instance: &Arc<Instance>,
        desired: &DesiredState<'_>,
    ) -> Result<PooledConnection, AttemptFailure> {
        let service = &instance.service;
        let deadline = job.connection_deadline(Clock.now());
        let acquired =
            self.pool.acquire(instance, desired, self.max_connections(service), deadline).await;
        let mut connection = match acquired {
            Ok(connection) => connection,
            Err(why) => {
                let is_primary =
                    self.believed_primary(service).is_some_and(|p| p.id == instance.id);
                if why.is_unreachable() {
                    self.reachability.record_failure(&instance.id, Clock.now());
                }
                if is_primary && why.is_unreachable() {
                    self.record_not_primary(
                        service,
                        &instance.id,
                        "the connection could not be opened",
                    );
                }
                return Err(AttemptFailure::NotSent);
            }
        };
        let left = job.deadline.since(Clock.now()).max(Duration::from_millis(1));
        match connection.backend().apply_state(desired, left).await {
            Ok(None) => Ok(connection),
            Ok(Some(answer)) => match answer.code() {
                None => Ok(connection),
                Some(code) => Err(AttemptFailure::Answered(code.clone())),
            },
            // The client's statement has not been sent.
            Err(ConnectionError::Refused(..)) => Err(AttemptFailure::NotSent),
            Err(err) => {
                self.record_connection_error(instance, &err);
                Err(AttemptFailure::NotSent)
            }
        }
    }

    /// Sends the client's statement on a prepared connection. With `rolls_back`, a rollback of the
    /// proxy's own transaction is sent in the same write.
    pub(crate) async fn forward(
        &self,
        connection: &mut PooledConnection,
        job: &StatementJob<'_>,
        after: Option<Position>,
        rolls_back: bool,
        limit: Duration,
    ) -> Result<Answer, AttemptFailure> {
        let instance = Arc::clone(&connection.instance);
        let backend = connection.backend();
        let prepared = job.shape.and_then(|shape| backend.prepared_name(shape));
        let forward = Command::Forward { query: job.query, prepared: prepared.as_deref(), after };
        let sent_at = Clock.now();
        let baseline_ms = self.latency_baseline(job).ms();
        self.pool
            .admission(&instance.id, |controller| controller.record_sent(sent_at, baseline_ms));
        let sent = if rolls_back {
            backend.send(&[forward, Command::Rollback])
        } else {
            backend.send(&[forward])
        };
        let answered = match sent {
            Ok(()) => backend.answer(limit).await,
            Err(err) => Err(err),
        };
        let answer = match answered {
            Ok(answer) => answer,
            Err(err) => {
                self.record_connection_error(&instance, &err);
                return Err(AttemptFailure::Lost);
            }
        };
        if prepared.is_some() && answer.code() == Some(&ErrorCode::NoSuchPrepared) {
            tracing::warn!(instance = %instance.id, id = %job.query.id,
                "the instance lacks a prepared statement that it confirmed");
            backend.distrust_state();
        }
        self.record_answer(job, &instance, &answer, Clock.now().since(sent_at));
        self.reachability.record_answer(&instance.id, Clock.now());
        if !rolls_back {
            return Ok(answer);
        }
        // The answer to the rollback; without it the connection is not reused.
        let ended = backend.answer(limit).await;
        let status = ended.as_ref().map_or(TxStatus::Idle, |a| a.status);
        Ok(Answer { status, ..answer })
    }

    pub(crate) fn latency_baseline(&self, job: &StatementJob<'_>) -> LatencyBaseline {
        self.latency_baselines.borrow().get(&job.route.database).copied().unwrap_or_default()
    }

    fn record_answer(
        &self,
        job: &StatementJob<'_>,
        instance: &Arc<Instance>,
        answer: &Answer,
        took: Duration,
    ) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let baseline_ms = self.latency_baseline(job).ms();
        let relative = took_ms / baseline_ms.max(1.0);
        let has_failed = matches!(answer.code(), Some(ErrorCode::Failed | ErrorCode::TimedOut));
        let has_run = answer.code().is_none_or(|code| !code.is_not_run());
        let has_capacity = self.pool.admission(&instance.id, |controller| {
            if has_run {
                controller.record_wait(Clock.now(), took_ms - baseline_ms);
            }
            !controller.is_throttling()
        });
        if has_run {
            self.dispatcher.record_answer(&instance.id, baseline_ms, took);
        }
        if answer.code().is_none() {
            let mut baselines = self.latency_baselines.borrow_mut();
            let baseline = baselines.entry(Arc::clone(&job.route.database)).or_default();
            baseline.record(took_ms, has_capacity);
        }
        self.pool.load(&instance.id, |load| {
            if has_run {
                load.record_answer(Clock.now(), relative, has_failed);
            }
            if let Some(position) = answer.position {
                load.record_applied(position);
            }
        });
    }
}
