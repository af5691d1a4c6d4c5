//! Runs statements through the daemons that own a service's connections.
//!
//! Invariants:
//!
//! - A daemon runs a forwarded statement itself; it never forwards it again.
//! - A statement that may have reached another daemon is refused as "not run" only if that daemon
//!   said so.

mod frame;
mod link;
mod owner;
mod service;
mod wire;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use persimmon_balancing::{AttemptFailure, RetryDecision, after_failure};
use persimmon_interfaces::ErrorCode;
use persimmon_ownership::{HopFailure, Path, ServiceOwners, after_hop, choose_path};
use persimmon_types::Clock;

pub(crate) use crate::forwarding::frame::FrameRoom;
pub(crate) use crate::forwarding::link::Links;
use crate::forwarding::link::{Link, Patience};
pub(crate) use crate::forwarding::owner::{HeldCount, serve};
use crate::forwarding::service::{ContinueRequest, ExecuteRequest, Refusal};
use crate::forwarding::wire::WireStatement;
use crate::metrics::Metrics;
use crate::quota::{WireQuotaAnswer, WireQuotaRequest};
use crate::statement_job::{Execution, ExecutionMode, StatementJob};
use crate::traffic::Worker;
use crate::transaction::{OpenTransaction, TransactionStep};

/// Shortest time before a statement's deadline at which another path is tried.
const MIN_HOP_TIME: Duration = Duration::from_millis(25);

impl Worker {
    /// Runs a statement of a client of this daemon, here or at the daemon that owns the service.
    pub(crate) async fn run(
        self: &Rc<Self>,
        job: &StatementJob<'_>,
        mode: ExecutionMode,
    ) -> Execution {
        let mut tried = Vec::new();
        let mut was_lost = false;
        loop {
            let Path::Forward(owner) = self.path(&job.route.service, &tried) else {
                let mut execution = self.execute(job, mode).await;
                if was_lost {
                    execution = execution.after_lost_attempt();
                }
                return execution;
            };
            tried.push(owner);
            let failure = match self.run_at(owner, job, mode).await {
                Ok(mut execution) => {
                    if was_lost {
                        execution = execution.after_lost_attempt();
                    }
                    return execution;
                }
                Err(failure) => failure,
            };
            let has_time = Clock.now() + MIN_HOP_TIME < job.deadline;
            let attempt = mode.attempt_kind();
            tracing::info!(id = %job.query.id, service = %job.route.service, %owner, ?failure,
                ?mode, has_time, "a forwarded statement got no outcome");
            if !after_hop(failure, attempt, has_time) {
                let code = match after_failure(attempt, &failure.as_attempt_failure(), false) {
                    RetryDecision::Refuse(code) => code,
                    _ => ErrorCode::TimedOut,
                };
                let mut execution = Execution::new(mode);
                execution.owner = Some(owner);
                execution.failure = Some(Arc::from(format!("{failure:?}")));
                execution.was_lost = was_lost;
                execution.was_sent = was_lost || failure == HopFailure::Unanswered;
                return execution.refused(code);
            }
            was_lost |= failure == HopFailure::Unanswered;
            Metrics::increment(&self.metrics.retries);
        }
    }

    /// Sends a quota message to another daemon, which answers `None` if it does not coordinate.
    pub(crate) async fn call_quota(
        &self,
        peer: SocketAddr,
        request: WireQuotaRequest,
        limit: Duration,
    ) -> Result<Option<WireQuotaAnswer>, HopFailure> {
        let port = self.settings.forwarding.ok_or(HopFailure::NotForwarded)?.port();
        let link = self.links.link(peer, SocketAddr::new(peer.ip(), port));
        let client = link.client().await.ok_or(HopFailure::NotForwarded)?;
        let calling = client.quota(link.short_context(limit), request);
        link.wait(calling, Clock.now() + limit, Patience::UntilDeadline).await
    }

    /// The owners of a service; `None` if every daemon connects to its instances.
    fn owners(&self, service: &Arc<str>) -> Option<Arc<ServiceOwners>> {
        self.peers.needed_owners(service, self.max_connections(service))
    }

    /// Whether this daemon has a share of the connections to a service's instances.
    pub(crate) fn is_sharer(&self, service: &Arc<str>) -> bool {
        let owners = self.owners(service);
        owners.is_none_or(|owners| owners.owners().any(|o| o == self.settings.peers))
    }

    /// The path of a new statement or transaction.
    fn path(&self, service: &Arc<str>, tried: &[SocketAddr]) -> Path {
        let Some(owners) = self.owners(service) else {
            return Path::Direct;
        };
        let now = Clock.now();
        choose_path(
            self.settings.peers,
            owners.candidates(&self.settings.failure_domain),
            tried,
            |peer| self.links.is_usable(peer, now),
        )
    }

    async fn run_at(
        self: &Rc<Self>,
        owner: SocketAddr,
        job: &StatementJob<'_>,
        mode: ExecutionMode,
    ) -> Result<Execution, HopFailure> {
        let Some(forwarding) = self.settings.forwarding else {
            return Err(HopFailure::NotForwarded);
        };
        let link = self.links.link(owner, SocketAddr::new(owner.ip(), forwarding.port()));
        let client = link.client().await.ok_or(HopFailure::NotForwarded)?;
        let transaction = link.next_transaction();
        let mut statement = WireStatement::from(job);
        if let Some(send_by) = job.send_by {
            // A statement that is delayed on the way must not be sent after its token has expired.
            let there = link.peer_time(&client, send_by).await;
            statement.send_by_us = Some(there.ok_or(HopFailure::NotForwarded)?);
        }
        let request = ExecuteRequest { statement, mode: mode.into(), transaction };
        Metrics::increment(&self.metrics.statements_forwarded);
        let patience = Patience::of(mode.attempt_kind());
        let calling = client.execute(link.context(job), request);
        let answer = match link.wait(calling, job.deadline, patience).await {
            Ok(Ok(reply)) => {
                link.record_clock(reply.clock_us);
                reply
            }
            Ok(Err(refusal)) => {
                link.record_refusal(refusal);
                let Some(code) = refused_code(refusal) else {
                    return Err(HopFailure::NotForwarded);
                };
                let mut execution = Execution::new(mode);
                execution.owner = Some(owner);
                execution.failure = Some(Arc::from(format!("{refusal:?}")));
                return Ok(execution.refused(code));
            }
            Err(failure) => {
                if failure == HopFailure::Unanswered && mode.opens_transaction() {
                    link.rollback(transaction);
                }
                return Err(failure);
            }
        };
        let has_transaction = answer.has_transaction;
        let mut execution = Execution::try_from(answer).map_err(|()| HopFailure::Unanswered)?;
        execution.owner = Some(owner);
        if has_transaction {
            let instance = execution.instance.clone().unwrap_or_else(|| Arc::from(""));
            execution.transaction =
                Some(Box::new(ForwardedTransaction { link, id: transaction, instance }));
        }
        Ok(execution)
    }
}

/// The code for a statement that an owner refuses and that no other path may run; `None` if another
/// one may.
fn refused_code(refusal: Refusal) -> Option<ErrorCode> {
    match refusal {
        Refusal::UnknownKey => Some(ErrorCode::UnknownKey),
        // This daemon's table is behind; the client may retry once it is not.
        Refusal::OtherWorkspace => Some(ErrorCode::Busy),
        Refusal::Draining | Refusal::UnknownService | Refusal::UnknownTransaction => None,
    }
}

/// A transaction that is open on a connection of another daemon.
struct ForwardedTransaction {
    link: Rc<Link>,
    /// Its number on the link.
    id: u64,
    instance: Arc<str>,
}

impl ForwardedTransaction {
    async fn run(&mut self, job: &StatementJob<'_>, has_written: bool) -> TransactionStep {
        let lost = |failure: HopFailure| TransactionStep {
            result: Err(failure.as_attempt_failure()),
            attempts: 1,
            commit_position: None,
        };
        // A new connection would not have the transaction.
        let Some(client) = self.link.open_client() else {
            return lost(HopFailure::NotForwarded);
        };
        let request = ContinueRequest {
            statement: WireStatement::from(job),
            transaction: self.id,
            has_written,
        };
        let calling = client.continue_transaction(self.link.context(job), request);
        match self.link.wait(calling, job.deadline, Patience::UntilDeadline).await {
            Ok(Ok(reply)) => reply.try_into().unwrap_or_else(|()| lost(HopFailure::Unanswered)),
            // The other daemon no longer has the transaction, so it is rolled back.
            Ok(Err(refusal)) => {
                self.link.record_refusal(refusal);
                let code = refused_code(refusal).unwrap_or(ErrorCode::Busy);
                TransactionStep {
                    result: Err(AttemptFailure::Answered(code)),
                    attempts: 1,
                    commit_position: None,
                }
            }
            Err(failure) => lost(failure),
        }
    }
}

impl OpenTransaction for ForwardedTransaction {
    fn instance(&self) -> &Arc<str> {
        &self.instance
    }

    fn execute<'a>(
        &'a mut self,
        job: &'a StatementJob<'a>,
        has_written: bool,
    ) -> LocalBoxFuture<'a, TransactionStep> {
        self.run(job, has_written).boxed_local()
    }

    fn rollback(self: Box<Self>) {
        self.link.rollback(self.id);
    }
}
