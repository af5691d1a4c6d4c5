//! Session statements that run on instances, and their log lines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{AttemptFailure, AttemptKind, RetryDecision, after_failure};
use persimmon_interfaces::{Access, ErrorCode, Freshness, Query, Route, Statement, TxStatus};
use persimmon_types::{Clock, Position, Time};

use crate::connection::{Answer, DesiredState, Shape};
use crate::metrics::Metrics;
use crate::pool::PooledConnection;
use crate::round_trip::InFlight;
use crate::session::{Session, Tx, ready, refusal};
use crate::statement_job::{
    Execution, ExecutionMode, RETRY_AFTER, StatementJob, access, autocommit_mode,
};

/// Pause before a statement in a transaction is sent again to a busy instance.
const RETRY_DELAY: Duration = Duration::from_millis(12);

impl Session {
    pub(super) async fn run_statement(&mut self, query: &Query, shape: Option<&Shape>) -> bool {
        let arrival = Clock.now();
        let access = access(&query.statement, shape);
        let is_commit = query.statement == Statement::Commit;
        let worker = Rc::clone(&self.worker);
        let (mode, route, fresh_as_of) = match &self.tx {
            Tx::Open { .. } => return self.continue_transaction(query, shape, arrival).await,
            Tx::Begun { is_read_only, arrival, route } => {
                let mode = if *is_read_only && route.freshness != Freshness::Latest {
                    ExecutionMode::CopyTransaction
                } else {
                    ExecutionMode::PrimaryTransaction
                };
                (mode, Arc::clone(route), *arrival)
            }
            _ => {
                let Some(route) = self.route() else {
                    tracing::info!(id = %query.id, database = %self.database,
                        "the database's route was removed");
                    return self.fail(ErrorCode::NoSuchDatabase, "the route was removed");
                };
                (autocommit_mode(access), route, arrival)
            }
        };
        let job = self.new_job(query, shape, &route, fresh_as_of, arrival);
        let execution = worker.execute(&job, mode).await;
        self.record_statement(query, &route, access, arrival, &execution);
        let has_begun = matches!(self.tx, Tx::Begun { .. });
        let Execution { result, connection, mode, retry_after, .. } = execution;
        match result {
            Ok(answer) => {
                if mode == ExecutionMode::Write && answer.result.is_ok() {
                    self.record_commit(&route, answer.position, arrival);
                }
                if has_begun {
                    self.tx = self.transaction_after_first(
                        connection,
                        route,
                        access,
                        fresh_as_of,
                        is_commit,
                        &answer,
                    );
                }
                self.send_answer(answer);
            }
            Err(code) => {
                if has_begun {
                    self.tx = if is_commit { Tx::None } else { Tx::Failed };
                }
                self.send(&[refusal(code, retry_after), ready(self.status(), None)]);
            }
        }
        true
    }

    /// The transaction state after its first statement was answered.
    fn transaction_after_first(
        &mut self,
        connection: Option<PooledConnection>,
        route: Arc<Route>,
        access: Access,
        began: Time,
        is_commit: bool,
        answer: &Answer,
    ) -> Tx {
        let Some(mut connection) = connection else {
            return if is_commit { Tx::None } else { Tx::Failed };
        };
        connection.pin();
        let has_written = access == Access::Write;
        let tx = Tx::Open { connection, route, has_written, idle_since: Clock.now(), began };
        if answer.status == TxStatus::Open {
            return tx;
        }
        self.tx = tx;
        self.rollback_detached();
        Tx::Failed
    }

    /// Records that a commit of this session was acknowledged.
    fn record_commit(&mut self, route: &Route, position: Option<Position>, requested_at: Time) {
        if self.worker.add_sample(&route.service, position, requested_at) {
            self.last_commit_position = self.last_commit_position.max(position);
        } else {
            // Only position samples taken from now on cover the commit.
            self.unpositioned_commit_at = Clock.now();
        }
    }

    /// Creates the job of one statement of this session.
    fn new_job<'a>(
        &'a self,
        query: &'a Query,
        shape: Option<&'a Shape>,
        route: &Arc<Route>,
        fresh_as_of: Time,
        arrival: Time,
    ) -> StatementJob<'a> {
        StatementJob {
            query,
            route: Arc::clone(route),
            shape,
            variables: &self.variables,
            last_commit_position: self.last_commit_position,
            unpositioned_commit_at: self.unpositioned_commit_at,
            fresh_as_of,
            deadline: arrival + route.statement_timeout,
        }
    }

    /// Runs a statement on the connection of the open transaction.
    async fn continue_transaction(
        &mut self,
        query: &Query,
        shape: Option<&Shape>,
        arrival: Time,
    ) -> bool {
        let Tx::Open { mut connection, route, has_written, began, .. } =
            std::mem::replace(&mut self.tx, Tx::Failed)
        else {
            return true;
        };
        let access = access(&query.statement, shape);
        let is_commit = query.statement == Statement::Commit;
        let job = self.new_job(query, shape, &route, began, arrival);
        let attempt = match (is_commit, has_written) {
            (true, true) => AttemptKind::Commit,
            (true, false) => AttemptKind::ReadOnlyCommit,
            _ => AttemptKind::LaterInTransaction,
        };
        let mut attempts = 0;
        let ended = loop {
            attempts += 1;
            match self.execute_in_transaction(&mut connection, &job).await {
                Ok(answer) => {
                    let is_busy = answer.code() == Some(&ErrorCode::Busy);
                    let is_open = answer.status == TxStatus::Open;
                    if is_busy && is_open && Clock.now() + RETRY_DELAY * 2 < job.deadline {
                        Metrics::increment(&self.worker.metrics.retries);
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                    match answer.code().filter(|c| c.is_not_run()) {
                        None => break Ok(answer),
                        Some(code) => break Err(AttemptFailure::Answered(code.clone())),
                    }
                }
                Err(failure) => break Err(failure),
            }
        };
        let mut execution = Execution::new(ExecutionMode::PrimaryTransaction);
        execution.instance = Some(Arc::clone(&connection.instance));
        execution.attempts = attempts;
        match ended {
            Ok(answer) => {
                let was_committed = is_commit && answer.result.is_ok();
                if was_committed && has_written {
                    self.record_commit(&route, answer.position, arrival);
                }
                let status = answer.status;
                execution.result = Ok(answer);
                self.record_statement(query, &route, access, arrival, &execution);
                let has_written = has_written || access == Access::Write;
                self.tx = match status {
                    TxStatus::Idle => Tx::None,
                    TxStatus::Open | TxStatus::Failed => {
                        Tx::Open { connection, route, has_written, idle_since: Clock.now(), began }
                    }
                };
                if status == TxStatus::Failed {
                    self.rollback_detached();
                    self.tx = Tx::Failed;
                }
                if let Ok(answer) = execution.result {
                    self.send_answer(answer);
                }
            }
            Err(failure) => {
                let code = match after_failure(attempt, &failure, false) {
                    RetryDecision::Refuse(code) => code,
                    RetryDecision::Retry
                    | RetryDecision::FindPrimary
                    | RetryDecision::ReturnToClient => ErrorCode::Aborted,
                };
                if failure == AttemptFailure::Answered(ErrorCode::ReadOnly) {
                    let service = &route.service;
                    self.worker.record_not_primary(
                        service,
                        &connection.instance.id,
                        "the instance lost the primary role",
                    );
                }
                execution.result = Err(code.clone());
                execution.failure = Some(failure);
                self.record_statement(query, &route, access, arrival, &execution);
                let worker = Rc::clone(&self.worker);
                if connection.backend().has_transaction {
                    ntex::rt::spawn(async move { worker.rollback(&mut connection).await });
                }
                self.tx = if is_commit { Tx::None } else { Tx::Failed };
                self.send(&[refusal(code, RETRY_AFTER), ready(self.status(), None)]);
            }
        }
        true
    }

    async fn execute_in_transaction(
        &self,
        connection: &mut PooledConnection,
        job: &StatementJob<'_>,
    ) -> Result<Answer, AttemptFailure> {
        let id = Arc::clone(&connection.instance.id);
        let _in_flight = InFlight::new(&self.worker, &id);
        let desired =
            DesiredState { variables: Some(&self.variables), shape: job.shape, begin: None };
        let limit = job.deadline.since(Clock.now()).max(Duration::from_millis(1));
        // Variables set since the transaction was opened apply from this statement on.
        if let Err(err) = connection.backend().apply_state(&desired, limit).await {
            self.worker.record_connection_error(&Arc::clone(&connection.instance), &err);
            return Err(AttemptFailure::NotSent);
        }
        self.worker.forward(connection, job, None, false, limit).await
    }

    /// Counts and logs the outcome of a statement.
    fn record_statement(
        &self,
        query: &Query,
        route: &Route,
        access: Access,
        arrival: Time,
        execution: &Execution,
    ) {
        let metrics = &self.worker.metrics;
        let took = Clock.now().since(arrival);
        metrics.statement.record(took);
        let (outcome, counter) = match &execution.result {
            Ok(answer) if answer.result.is_ok() => ("served", &metrics.statements_served),
            Ok(_) => ("failed at the instance", &metrics.statements_failed),
            Err(ErrorCode::MayHaveRun | ErrorCode::TimedOut) => {
                ("may have run", &metrics.statements_in_doubt)
            }
            Err(_) => ("not run", &metrics.statements_not_run),
        };
        Metrics::increment(counter);
        let is_read = access == Access::Read && query.statement != Statement::Commit;
        if is_read && route.freshness != Freshness::Latest && outcome == "served" {
            let primary = self.worker.believed_primary(&route.service);
            let at = execution.instance.as_ref().map(|i| &i.id);
            let is_primary = primary.as_ref().map(|p| &p.id) == at;
            let reads = if is_primary { &metrics.primary_reads } else { &metrics.replica_reads };
            Metrics::increment(reads);
        }
        let has_failed = outcome != "served";
        if !self.worker.log.should_log(has_failed) {
            return;
        }
        let code = match &execution.result {
            Ok(answer) => answer.code().cloned(),
            Err(code) => Some(code.clone()),
        };
        let instance = execution.instance.as_ref().map_or("none", |i| &*i.id);
        let after = execution.after.map(|p| p.to_string());
        let table = self.worker.snapshot().table.as_ref().map_or(0, |t| t.version);
        tracing::info!(
            id = %query.id, database = %route.database, service = %route.service, instance,
            mode = ?execution.mode, attempts = execution.attempts, after, table,
            failure = execution.failure.as_ref().map(|f| format!("{f:?}")),
            code = code.map(|c| format!("{c:?}")),
            ms = whole_ms(took), floor_ms = whole_ms(execution.min_position_wait),
            connection_ms = whole_ms(execution.connection_wait),
            congestion_ms = execution.congestion_ms.map(f64::round),
            outcome, "request"
        );
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
