//! An open transaction of a client.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use persimmon_balancing::AttemptFailure;
use persimmon_interfaces::{ErrorCode, Statement, TxStatus};
use persimmon_types::{Clock, Position};

use crate::connection::Answer;
use crate::metrics::Metrics;
use crate::pool::PooledConnection;
use crate::round_trip::InFlight;
use crate::statement_job::StatementJob;
use crate::traffic::Worker;

/// Pause before a statement in a transaction is sent again to a busy instance.
const RETRY_DELAY: Duration = Duration::from_millis(12);

/// Outcome of one statement in a transaction.
#[derive(Debug)]
pub(crate) struct TransactionStep {
    /// The instance's answer, or why there is none.
    pub(crate) result: Result<Answer, AttemptFailure>,
    /// Number of attempts.
    pub(crate) attempts: u32,
    /// For a commit, a position from which on reads see it, if one is known.
    pub(crate) commit_position: Option<Position>,
}

impl TransactionStep {
    /// The outcome of a statement that was not sent.
    pub(crate) fn not_sent() -> Self {
        Self { result: Err(AttemptFailure::NotSent), attempts: 0, commit_position: None }
    }
}

/// A transaction that is open on a connection of this daemon or of another one. It must be ended
/// with a commit or [`Self::rollback`].
pub(crate) trait OpenTransaction {
    /// Identity of the instance on which it is open.
    fn instance(&self) -> &Arc<str>;

    /// Runs a statement; `has_written` says whether an earlier one may have changed data.
    fn execute<'a>(
        &'a mut self,
        job: &'a StatementJob<'a>,
        has_written: bool,
    ) -> LocalBoxFuture<'a, TransactionStep>;

    /// Rolls the transaction back in the background, if it is still open.
    fn rollback(self: Box<Self>);
}

/// A transaction on a connection of this daemon.
pub(crate) struct DirectTransaction {
    worker: Rc<Worker>,
    connection: PooledConnection,
}

impl DirectTransaction {
    /// Creates the transaction that is open on `connection`.
    pub(crate) fn new(worker: &Rc<Worker>, mut connection: PooledConnection) -> Self {
        connection.pin();
        Self { worker: Rc::clone(worker), connection }
    }

    async fn attempt(&mut self, job: &StatementJob<'_>) -> Result<Answer, AttemptFailure> {
        let instance = Arc::clone(&self.connection.instance);
        let _in_flight = InFlight::new(&self.worker, &instance.id);
        let desired = job.desired_state();
        let limit = job.deadline.since(Clock.now()).max(Duration::from_millis(1));
        // Variables set since the transaction was opened apply from this statement on.
        if let Err(err) = self.connection.backend().apply_state(&desired, limit).await {
            self.worker.record_connection_error(&instance, &err);
            return Err(AttemptFailure::NotSent);
        }
        self.worker.forward(&mut self.connection, job, None, false, limit).await
    }

    async fn run(&mut self, job: &StatementJob<'_>, has_written: bool) -> TransactionStep {
        let began = Clock.now();
        let mut attempts = 0;
        let result = loop {
            attempts += 1;
            let answer = match self.attempt(job).await {
                Ok(answer) => answer,
                Err(failure) => break Err(failure),
            };
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
        };
        let service = &job.route.service;
        if result.as_ref().err() == Some(&AttemptFailure::Answered(ErrorCode::ReadOnly)) {
            let id = &self.connection.instance.id;
            self.worker.record_not_primary(service, id, "the instance lost the primary role");
        }
        let is_commit = job.query.statement == Statement::Commit && has_written;
        let committed = result.as_ref().ok().filter(|a| is_commit && a.result.is_ok());
        let commit_position = committed
            .and_then(|answer| self.worker.covering_position(service, answer.position, began));
        TransactionStep { result, attempts, commit_position }
    }
}

impl OpenTransaction for DirectTransaction {
    fn instance(&self) -> &Arc<str> {
        &self.connection.instance.id
    }

    fn execute<'a>(
        &'a mut self,
        job: &'a StatementJob<'a>,
        has_written: bool,
    ) -> LocalBoxFuture<'a, TransactionStep> {
        self.run(job, has_written).boxed_local()
    }

    fn rollback(self: Box<Self>) {
        let Self { worker, mut connection } = *self;
        if connection.backend().has_transaction {
            ntex::rt::spawn(async move { worker.rollback(&mut connection).await });
        }
    }
}
