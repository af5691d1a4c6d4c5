//! The statements of a session that instances run, and what is logged of them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_place::{Attempt, Failure, Next, after_failure};
use persimmon_ports::{Access, Code, Freshness, Query, Route, Statement, TxStatus};
use persimmon_types::{Clock, Position, Time};

use crate::exchange::InFlight;
use crate::job::{Carried, Job, Mode, RETRY_AFTER, access, lone_mode};
use crate::link::{Answer, Shape, Wanted};
use crate::metrics::Metrics;
use crate::pool::Lease;
use crate::session::{Session, Tx, ready, refusal};

/// Pause before a busy instance is asked again inside a transaction.
const RETRY_PAUSE: Duration = Duration::from_millis(12);

impl Session {
    pub(super) async fn run_statement(&mut self, query: &Query, shape: Option<&Shape>) -> bool {
        let arrival = Clock.now();
        let access = access(&query.statement, shape);
        let is_commit = query.statement == Statement::Commit;
        let worker = Rc::clone(&self.worker);
        let (mode, route, fresh_at) = match &self.tx {
            Tx::Open { .. } => return self.continue_transaction(query, shape, arrival).await,
            Tx::Begun { is_read_only, arrival, route } => {
                let mode = if *is_read_only && route.freshness != Freshness::Latest {
                    Mode::CopyTransaction
                } else {
                    Mode::PrimaryTransaction
                };
                (mode, Arc::clone(route), *arrival)
            }
            _ => {
                let Some(route) = self.route() else {
                    tracing::info!(id = %query.id, database = %self.database, "the route is gone");
                    return self.fail(Code::NoSuchDatabase, "the route was removed");
                };
                (lone_mode(access), route, arrival)
            }
        };
        let job = self.job(query, shape, &route, fresh_at, arrival);
        let carried = worker.carry(&job, mode).await;
        self.explain(query, &route, access, arrival, &carried);
        let has_begun = matches!(self.tx, Tx::Begun { .. });
        let Carried { result, lease, mode, retry_after, .. } = carried;
        match result {
            Ok(answer) => {
                if mode == Mode::Write && answer.result.is_ok() {
                    self.committed(&route, answer.position, arrival);
                }
                if has_begun {
                    self.tx = self.opened(lease, route, access, fresh_at, is_commit, &answer);
                }
                self.deliver(answer);
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

    /// The transaction after its first statement was answered.
    fn opened(
        &mut self,
        lease: Option<Lease>,
        route: Arc<Route>,
        access: Access,
        began: Time,
        is_commit: bool,
        answer: &Answer,
    ) -> Tx {
        let Some(mut lease) = lease else {
            return if is_commit { Tx::None } else { Tx::Failed };
        };
        lease.pin();
        let has_written = access == Access::Write;
        let tx = Tx::Open { lease, route, has_written, rests_since: Clock.now(), began };
        if answer.status == TxStatus::Open {
            return tx;
        }
        self.tx = tx;
        self.abandon();
        Tx::Failed
    }

    /// Takes in that a commit of this session was acknowledged.
    fn committed(&mut self, route: &Route, position: Option<Position>, asked_at: Time) {
        if self.worker.add_sample(&route.service, position, asked_at) {
            self.own_floor = self.own_floor.max(position);
        } else {
            // Only a sample that is taken from now on covers the commit.
            self.own_since = Clock.now();
        }
    }

    /// A statement of this session on its way.
    fn job<'a>(
        &'a self,
        query: &'a Query,
        shape: Option<&'a Shape>,
        route: &Arc<Route>,
        fresh_at: Time,
        arrival: Time,
    ) -> Job<'a> {
        Job {
            query,
            route: Arc::clone(route),
            shape,
            values: &self.values,
            own_floor: self.own_floor,
            own_since: self.own_since,
            fresh_at,
            until: arrival + route.statement_timeout,
        }
    }

    /// Runs a statement on the connection of the open transaction.
    async fn continue_transaction(
        &mut self,
        query: &Query,
        shape: Option<&Shape>,
        arrival: Time,
    ) -> bool {
        let Tx::Open { mut lease, route, has_written, began, .. } =
            std::mem::replace(&mut self.tx, Tx::Failed)
        else {
            return true;
        };
        let access = access(&query.statement, shape);
        let is_commit = query.statement == Statement::Commit;
        let job = self.job(query, shape, &route, began, arrival);
        let attempt = match (is_commit, has_written) {
            (true, true) => Attempt::Commit,
            (true, false) => Attempt::ReadOnlyCommit,
            _ => Attempt::Later,
        };
        let mut attempts = 0;
        let ended = loop {
            attempts += 1;
            match self.step(&mut lease, &job).await {
                Ok(answer) => {
                    let is_busy = answer.code() == Some(&Code::Busy);
                    let goes_on = answer.status == TxStatus::Open;
                    if is_busy && goes_on && Clock.now() + RETRY_PAUSE * 2 < job.until {
                        Metrics::add(&self.worker.metrics.retries);
                        tokio::time::sleep(RETRY_PAUSE).await;
                        continue;
                    }
                    match answer.code().filter(|c| c.is_not_run()) {
                        None => break Ok(answer),
                        Some(code) => break Err(Failure::Answered(code.clone())),
                    }
                }
                Err(failure) => break Err(failure),
            }
        };
        let mut carried = Carried::new(Mode::PrimaryTransaction);
        carried.instance = Some(Arc::clone(&lease.instance));
        carried.attempts = attempts;
        match ended {
            Ok(answer) => {
                let was_committed = is_commit && answer.result.is_ok();
                if was_committed && has_written {
                    self.committed(&route, answer.position, arrival);
                }
                let status = answer.status;
                carried.result = Ok(answer);
                self.explain(query, &route, access, arrival, &carried);
                let has_written = has_written || access == Access::Write;
                self.tx = match status {
                    TxStatus::Idle => Tx::None,
                    TxStatus::Open | TxStatus::Failed => {
                        Tx::Open { lease, route, has_written, rests_since: Clock.now(), began }
                    }
                };
                if status == TxStatus::Failed {
                    self.abandon();
                    self.tx = Tx::Failed;
                }
                if let Ok(answer) = carried.result {
                    self.deliver(answer);
                }
            }
            Err(failure) => {
                let code = match after_failure(attempt, &failure, false) {
                    Next::Refuse(code) => code,
                    Next::Retry | Next::FindPrimary | Next::Deliver => Code::Aborted,
                };
                if failure == Failure::Answered(Code::ReadOnly) {
                    let service = &route.service;
                    self.worker.not_leading(service, &lease.instance.id, "it lost the lead");
                }
                carried.result = Err(code.clone());
                carried.failure = Some(failure);
                self.explain(query, &route, access, arrival, &carried);
                let worker = Rc::clone(&self.worker);
                if lease.link().has_transaction {
                    ntex::rt::spawn(async move { worker.rollback(&mut lease).await });
                }
                self.tx = if is_commit { Tx::None } else { Tx::Failed };
                self.send(&[refusal(code, RETRY_AFTER), ready(self.status(), None)]);
            }
        }
        true
    }

    async fn step(&self, lease: &mut Lease, job: &Job<'_>) -> Result<Answer, Failure> {
        let id = Arc::clone(&lease.instance.id);
        let _in_flight = InFlight::new(&self.worker, &id);
        let wanted = Wanted { values: Some(&self.values), shape: job.shape, begin: None };
        let limit = job.until.since(Clock.now()).max(Duration::from_millis(1));
        // The transaction is open: what the session set since must hold from here on.
        if let Err(err) = lease.link().align(&wanted, limit).await {
            self.worker.broke(&Arc::clone(&lease.instance), &err);
            return Err(Failure::NotSent);
        }
        self.worker.forward(lease, job, None, false, limit).await
    }

    /// Counts and logs what became of a statement.
    fn explain(
        &self,
        query: &Query,
        route: &Route,
        access: Access,
        arrival: Time,
        carried: &Carried,
    ) {
        let metrics = &self.worker.metrics;
        let took = Clock.now().since(arrival);
        metrics.statement.record(took);
        let (outcome, counter) = match &carried.result {
            Ok(answer) if answer.result.is_ok() => ("served", &metrics.statements_served),
            Ok(_) => ("failed at the instance", &metrics.statements_failed),
            Err(Code::MayHaveRun | Code::TimedOut) => {
                ("may have run", &metrics.statements_in_doubt)
            }
            Err(_) => ("not run", &metrics.statements_not_run),
        };
        Metrics::add(counter);
        let is_read = access == Access::Read && query.statement != Statement::Commit;
        if is_read && route.freshness != Freshness::Latest && outcome == "served" {
            let leader = self.worker.believed_leader(&route.service);
            let at = carried.instance.as_ref().map(|i| &i.id);
            let is_primary = leader.as_ref().map(|l| &l.id) == at;
            let reads = if is_primary { &metrics.primary_reads } else { &metrics.replica_reads };
            Metrics::add(reads);
        }
        let has_failed = outcome != "served";
        if !self.worker.log.takes(has_failed) {
            return;
        }
        let code = match &carried.result {
            Ok(answer) => answer.code().cloned(),
            Err(code) => Some(code.clone()),
        };
        let instance = carried.instance.as_ref().map_or("none", |i| &*i.id);
        let after = carried.after.map(|p| p.to_string());
        let table = self.worker.view().table.as_ref().map_or(0, |t| t.version);
        tracing::info!(
            id = %query.id, database = %route.database, service = %route.service, instance,
            mode = ?carried.mode, attempts = carried.attempts, after, table,
            failure = carried.failure.as_ref().map(|f| format!("{f:?}")),
            code = code.map(|c| format!("{c:?}")),
            ms = whole_ms(took), floor_ms = whole_ms(carried.floor_wait),
            connection_ms = whole_ms(carried.connection_wait),
            congestion_ms = carried.congestion_ms.map(f64::round),
            outcome, "request"
        );
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
