//! Session statements that run on instances, and their log lines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{AttemptKind, RetryDecision, after_failure};
use persimmon_interfaces::{Access, ErrorCode, Freshness, Query, Route, Statement, TxStatus};
use persimmon_types::{Clock, Position, Time};

use crate::connection::{Answer, Shape};
use crate::metrics::Metrics;
use crate::quota::OverQuota;
use crate::session::{Session, Tx, ready, refusal};
use crate::statement_job::{
    Execution, ExecutionMode, RETRY_AFTER, StatementJob, access, autocommit_mode,
};
use crate::transaction::OpenTransaction;

impl Session {
    pub(super) async fn run_statement(&mut self, query: &Query, shape: Option<&Shape>) {
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
        if !worker.may_start(route.statement_timeout) {
            return self.refuse_in_shutdown(query);
        }
        let permit = match worker.admit_operation(self.caller.as_ref(), &route).await {
            Ok(permit) => permit,
            Err(over) => return self.refuse_over_quota(query, &route, over),
        };
        let mut job = self.new_job(query, shape, &route, fresh_as_of, arrival);
        job.send_by = permit.send_by();
        let execution = worker.run(&job, mode).await;
        worker.settle_permit(permit, &execution);
        self.record_statement(query, &route, access, arrival, &execution);
        let has_begun = matches!(self.tx, Tx::Begun { .. });
        let Execution { result, transaction, mode, retry_after, commit_position, .. } = execution;
        match result {
            Ok(answer) => {
                if mode == ExecutionMode::Write && answer.result.is_ok() {
                    self.record_commit(commit_position);
                }
                if has_begun {
                    self.tx = match transaction {
                        Some(transaction) => {
                            let has_written = access == Access::Write;
                            Self::transaction_after_first(
                                transaction,
                                route,
                                has_written,
                                fresh_as_of,
                                &answer,
                            )
                        }
                        None if is_commit => Tx::None,
                        None => Tx::Failed,
                    };
                }
                self.send_answer(answer);
            }
            Err(ErrorCode::UnknownKey) => {
                self.refused_table = Some(self.table_version());
                self.refuse_key(query);
            }
            Err(code) => {
                if has_begun {
                    self.tx = if is_commit { Tx::None } else { Tx::Failed };
                }
                self.send(&[refusal(code, retry_after), ready(self.status(), None)]);
            }
        }
    }

    /// Refuses a statement that might not end before this process does, and rolls its transaction
    /// back.
    pub(super) fn refuse_in_shutdown(&mut self, query: &Query) {
        tracing::info!(id = %query.id, database = %self.database,
            "not run: the statement might not end before the shutdown");
        Metrics::increment(&self.worker.metrics.statements_not_run);
        let is_commit = query.statement == Statement::Commit;
        let has_transaction = !matches!(self.tx, Tx::None);
        let code = if has_transaction { ErrorCode::Aborted } else { ErrorCode::Busy };
        self.rollback_detached();
        self.tx = if has_transaction && !is_commit { Tx::Failed } else { Tx::None };
        self.send(&[refusal(code, RETRY_AFTER), ready(self.status(), None)]);
    }

    /// Refuses the first statement of an operation whose workspace is over its quota.
    fn refuse_over_quota(&mut self, query: &Query, route: &Route, over: OverQuota) {
        let workspace = self.caller.as_ref().map_or("", |c| &c.workspace);
        if self.worker.log.should_log(true) {
            tracing::info!(id = %query.id, database = %route.database, workspace,
                retry_ms = whole_ms(over.retry_after), priority = route.priority,
                quota = self.worker.describe_quota(workspace),
                "not run: the workspace is over its quota");
        }
        Metrics::increment(&self.worker.metrics.statements_not_run);
        let has_transaction = !matches!(self.tx, Tx::None);
        let code = if has_transaction { ErrorCode::Aborted } else { ErrorCode::Busy };
        self.tx = match (has_transaction, query.statement == Statement::Commit) {
            (true, false) => Tx::Failed,
            _ => Tx::None,
        };
        self.send(&[refusal(code, over.retry_after), ready(self.status(), None)]);
    }

    /// The transaction state after its first statement was answered.
    fn transaction_after_first(
        transaction: Box<dyn OpenTransaction>,
        route: Arc<Route>,
        has_written: bool,
        began: Time,
        answer: &Answer,
    ) -> Tx {
        if answer.status == TxStatus::Open {
            return Tx::Open { transaction, route, has_written, idle_since: Clock.now(), began };
        }
        transaction.rollback();
        Tx::Failed
    }

    /// Records that a commit of this session was acknowledged; `position` is one from which on
    /// reads see it, if one is known.
    fn record_commit(&mut self, position: Option<Position>) {
        if position.is_some() {
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
            caller: self.caller.as_ref(),
            table_version: self.table_version(),
            shape,
            variables: self.state.variables(),
            last_commit_position: self.last_commit_position,
            unpositioned_commit_at: self.unpositioned_commit_at,
            fresh_as_of,
            deadline: self.worker.limit_deadline(arrival + route.statement_timeout),
            send_by: None,
        }
    }

    /// Runs a statement on the connection of the open transaction.
    async fn continue_transaction(&mut self, query: &Query, shape: Option<&Shape>, arrival: Time) {
        if let Tx::Open { route, .. } = &self.tx
            && !self.worker.may_start(route.statement_timeout)
        {
            return self.refuse_in_shutdown(query);
        }
        let Tx::Open { mut transaction, route, has_written, began, .. } =
            std::mem::replace(&mut self.tx, Tx::Failed)
        else {
            return;
        };
        let access = access(&query.statement, shape);
        let is_commit = query.statement == Statement::Commit;
        let job = self.new_job(query, shape, &route, began, arrival);
        let attempt = match (is_commit, has_written) {
            (true, true) => AttemptKind::Commit,
            (true, false) => AttemptKind::ReadOnlyCommit,
            _ => AttemptKind::LaterInTransaction,
        };
        let step = transaction.execute(&job, has_written).await;
        let mut execution = Execution::new(ExecutionMode::PrimaryTransaction);
        execution.instance = Some(Arc::clone(transaction.instance()));
        execution.attempts = step.attempts;
        match step.result {
            Ok(answer) => {
                if is_commit && has_written && answer.result.is_ok() {
                    self.record_commit(step.commit_position);
                }
                let status = answer.status;
                execution.result = Ok(answer);
                self.record_statement(query, &route, access, arrival, &execution);
                let has_written = has_written || access == Access::Write;
                self.tx = match status {
                    TxStatus::Idle => Tx::None,
                    TxStatus::Open => {
                        Tx::Open { transaction, route, has_written, idle_since: Clock.now(), began }
                    }
                    TxStatus::Failed => {
                        transaction.rollback();
                        Tx::Failed
                    }
                };
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
                execution.result = Err(code.clone());
                execution.failure = Some(Arc::from(format!("{failure:?}")));
                self.record_statement(query, &route, access, arrival, &execution);
                transaction.rollback();
                self.tx = if is_commit { Tx::None } else { Tx::Failed };
                self.send(&[refusal(code, RETRY_AFTER), ready(self.status(), None)]);
            }
        }
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
            let is_primary = primary.as_ref().map(|p| &p.id) == execution.instance.as_ref();
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
        let instance = execution.instance.as_deref().unwrap_or("none");
        let owner = execution.owner.map(|o| o.to_string());
        let after = execution.after.map(|p| p.to_string());
        let table = self.worker.snapshot().table.as_ref().map_or(0, |t| t.version);
        tracing::info!(
            id = %query.id, database = %route.database, service = %route.service, instance,
            mode = ?execution.mode, attempts = execution.attempts, after, table,
            owner, failure = execution.failure.as_deref(),
            code = code.map(|c| format!("{c:?}")),
            ms = whole_ms(took), floor_ms = whole_ms(execution.min_position_wait),
            connection_ms = whole_ms(execution.connection_wait),
            directory_ms = execution.directory_age.map(whole_ms),
            congestion_ms = execution.congestion_ms.map(f64::round),
            queue = execution.queue.map(|q| format!("{:?}", q.decision)),
            queue_class = execution.queue.map(|q| q.priority),
            queue_position = execution.queue.map(|q| q.position),
            queue_predicted_ms = execution.queue.map(|q| whole_ms(q.predicted_wait)),
            queue_ms = execution.queue.map(|q| whole_ms(q.waited)),
            outcome, "request"
        );
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
