//! Drives the request state machine of one batch.

use std::rc::Rc;
use std::time::Duration;

use ntex::time::{sleep, timeout};
use ntex::util::BytesMut;
use persimmon_request::{
    Access, AnswerKind, Input, Request, RequestContext, RequestMachine, StatementClass, Step,
};
use persimmon_types::{
    Clock, InstanceId, Lsn, Position, Refusal, RefusalReason, ServiceId, Term, Time,
};

use crate::backend::{BackendError, QueryResult};
use crate::counters::Counters;
use crate::traffic::batch::Batch;
use crate::traffic::caller::{Client, Transaction};
use crate::traffic::confirm::{position_report, sample_primary};
use crate::traffic::greeting::{cancel_target, should_log};
use crate::traffic::pool::{AcquireError, PooledConnection, millis};
use crate::traffic::relay::{Relay, Response};
use crate::traffic::stream::ClientStream;
use crate::traffic::{ShutdownStage, Worker};

/// How long a replica may take to report its applied position.
const POSITION_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for the response of a primary after it has been replaced.
const REPLACED_PRIMARY_GRACE: Duration = Duration::from_millis(50);

/// How a batch ended.
#[derive(Debug)]
pub(crate) enum Served {
    /// The batch was run; these are the rest of the response and its results.
    Delivered {
        /// The part of the response that has not been forwarded to the client.
        buffered: BytesMut,
        /// The transaction status: `I`, `T` or `E`.
        status: u8,
        /// The position of the write, if it was one.
        position: Option<Position>,
    },
    /// The batch was refused.
    Refused(Refusal),
}

/// Drives one batch: performs the I/O that the state machine asks for.
struct Driver<'a> {
    client: &'a mut Client,
    batch: &'a Batch,
    relay: Relay<'a>,
    machine: RequestMachine,
    request: Request,
    deadline: Time,
    connection: Option<PooledConnection>,
    instance: Option<InstanceId>,
    response: Option<Response>,
    /// Whether the batch was sent to an instance.
    was_sent: bool,
    /// Whether the batch is bound to a connection, by a transaction or by a pinned client.
    keeps_connection: bool,
    /// Whether a transaction was open before the batch.
    in_transaction: bool,
}

/// Serves a batch that must run on an instance.
pub(crate) async fn serve(client: &mut Client, batch: &Batch) -> Served {
    let Some(service) = client.resolve() else {
        return Served::Refused(Refusal::not_run(RefusalReason::UnknownService));
    };
    let cancel = std::sync::Arc::clone(&client.cancel);
    let worker = Rc::clone(&client.worker);
    // The relay writes to the client's stream while the driver borrows the rest of the client.
    let stream = Rc::clone(&client.stream);
    let served = {
        let mut driver = Driver::new(client, batch, service, &stream);
        let ended = tokio::select! {
            biased;
            served = driver.run() => Some(served),
            () = worker.reaches(ShutdownStage::DisconnectingAll) => None,
        };
        ended.unwrap_or_else(|| driver.stop())
    };
    cancel.set_running(None);
    served
}

impl<'a> Driver<'a> {
    fn new(
        client: &'a mut Client,
        batch: &'a Batch,
        service: ServiceId,
        stream: &'a ClientStream,
    ) -> Self {
        let snapshot = client.worker.routing_snapshot();
        let now = Clock.now();
        let class_name =
            batch.hint.request_class.as_deref().or(client.settings.request_class.as_deref());
        let class_row = snapshot
            .table
            .request_class_row(snapshot.table.request_class(class_name.unwrap_or_default()));
        let row = snapshot.table.service_row(service);
        let access = access(batch, row.replica_reads);
        let max_age = batch.hint.max_age.unwrap_or(row.max_staleness);
        let mut request =
            Request { service, access, max_age, wait_until: now + class_row.max_wait };
        let mut connection = None;
        let mut instance = None;
        let opened = std::mem::replace(&mut client.transaction, Transaction::Idle);
        let keeps_connection = matches!(opened, Transaction::Open { .. });
        let in_transaction = matches!(opened, Transaction::Open { status, .. } if status != b'I');
        let machine = match opened {
            Transaction::Open {
                connection: open_connection,
                instance: open_instance,
                access,
                ..
            } => {
                request.access = access;
                connection = Some(open_connection);
                instance = Some(open_instance);
                RequestMachine::with_connection(request, open_instance)
            }
            _ => RequestMachine::new(request),
        };
        Self {
            relay: Relay::new(stream, request.access == Access::Write),
            client,
            batch,
            machine,
            request,
            deadline: now + class_row.deadline,
            connection,
            instance,
            response: None,
            was_sent: false,
            keeps_connection,
            in_transaction,
        }
    }

    fn feed(&mut self, input: Input) -> Step {
        let worker = Rc::clone(&self.client.worker);
        let snapshot = worker.routing_snapshot();
        let mut selection = worker.selection.borrow_mut();
        let selection = &mut *selection;
        let mut cx = RequestContext {
            now: Clock.now(),
            snapshot: &snapshot,
            tracker: &mut selection.tracker,
            policy: &mut *selection.policy,
            rng: &mut selection.rng,
            budget: &mut selection.budget,
        };
        self.machine.handle(&mut cx, &mut self.client.session, input)
    }

    async fn run(&mut self) -> Served {
        self.client.worker.selection.borrow_mut().budget.deposit();
        let incarnation =
            self.connection.as_mut().map(|connection| connection.backend().incarnation);
        let first = incarnation.map_or(Input::Start, Input::Connected);
        let mut step = self.feed(first);
        loop {
            let is_final = matches!(step, Step::Deliver(_) | Step::Refuse(_));
            if self.keeps_connection
                && !is_final
                && !matches!(step, Step::Send | Step::AwaitMajority)
            {
                // A statement of a transaction cannot move to another connection.
                return self.lose_transaction(Refusal::not_run(RefusalReason::TermRefused));
            }
            let input = match step {
                Step::SamplePrimary { primary, term } => self.sample_primary(primary, term).await,
                Step::Connect { instance, term } => self.connect(instance, term).await,
                Step::CheckPosition => self.check_position().await,
                Step::Send => self.send().await,
                Step::AwaitMajority => self.await_majority().await,
                Step::Wait { until } => self.wait(until).await,
                Step::Deliver(position) => return self.deliver(position),
                Step::Refuse(refusal) => return self.refuse(refusal),
            };
            step = self.feed(input);
        }
    }

    async fn sample_primary(&mut self, primary: InstanceId, term: Term) -> Input {
        self.connection = None;
        let worker = Rc::clone(&self.client.worker);
        let sample = tokio::select! {
            sample = sample_primary(&worker, primary, term, self.request.wait_until) => sample,
            () = superseded(&worker, self.request.service, Some(term)) => None,
        };
        match sample {
            Some(position) => Input::PrimarySampled(position),
            None => {
                worker.report_primary_failure(
                    &worker.routing_snapshot(),
                    self.request.service,
                    term,
                );
                Input::SampleFailed
            }
        }
    }

    async fn connect(&mut self, instance: InstanceId, term: Option<Term>) -> Input {
        self.connection = None;
        let worker = Rc::clone(&self.client.worker);
        let snapshot = worker.routing_snapshot();
        if instance.index() >= snapshot.table.instances.len() {
            // The table has changed since the instance was selected.
            return Input::ConnectFailed;
        }
        let cancel = std::sync::Arc::clone(&self.client.cancel);
        let deadline = self.request.wait_until;
        let acquired = tokio::select! {
            acquired = worker.pools.acquire(&snapshot.table, instance, term, deadline) => acquired,
            () = superseded(&worker, self.request.service, term) => return Input::ConnectFailed,
            () = cancel.wake.notified() => return Input::Cancelled,
        };
        match acquired {
            Ok(mut connection) => {
                let incarnation = connection.backend().incarnation;
                self.connection = Some(connection);
                self.instance = Some(instance);
                Input::Connected(incarnation)
            }
            Err(AcquireError::TimedOut) => Input::ConnectTimedOut,
            Err(AcquireError::QueueFull) => Input::QueueFull,
            Err(AcquireError::Term(seen)) => {
                worker.report_term(&snapshot, self.request.service, seen);
                Input::ConnectFailed
            }
            Err(AcquireError::Failed) => {
                if let Some(term) = term {
                    worker.report_primary_failure(&snapshot, self.request.service, term);
                }
                Input::ConnectFailed
            }
        }
    }

    async fn check_position(&mut self) -> Input {
        Counters::increment(&self.client.worker.counters().position_checks);
        let Some(connection) = &mut self.connection else {
            return Input::Lost;
        };
        let requested_at = Clock.now();
        let answer =
            connection.backend().query("SELECT persimmon_applied()", POSITION_CHECK_TIMEOUT).await;
        match answer.ok().and_then(|answer| position_report(answer, requested_at)) {
            Some(report) => Input::PositionChecked(report),
            None => {
                connection.discard_on_drop();
                Input::Lost
            }
        }
    }

    async fn send(&mut self) -> Input {
        let worker = Rc::clone(&self.client.worker);
        let majority_timeout_ms = self.pipelined_majority_timeout_ms();
        let (Some(connection), Some(instance)) = (&mut self.connection, self.instance) else {
            return Input::Lost;
        };
        if self.response.take().is_some() || !self.relay.buffered.is_empty() {
            Counters::increment(&worker.counters().retries);
            self.relay.reset();
        }
        self.was_sent = true;
        self.client.cancel.set_running(cancel_target(connection.backend()));
        worker.selection.borrow_mut().tracker.record_start(instance);
        let left = self.deadline.since(Clock.now());
        let superseded =
            superseded(&worker, self.request.service, connection.backend().fenced_term);
        let relay = self.relay.run(connection.backend(), &self.batch.body, majority_timeout_ms);
        let result = tokio::select! {
            result = timeout(millis(left), relay) => result.unwrap_or(Err(BackendError::TimedOut)),
            () = superseded => Err(BackendError::TimedOut),
        };
        worker.selection.borrow_mut().tracker.record_end(instance);
        self.client.cancel.set_running(None);
        match result {
            Ok(response) => self.handle_response(response),
            Err(err) => {
                if should_log(&err) {
                    tracing::info!(error = %err, "a request to an instance got no response");
                }
                connection.discard_on_drop();
                self.handle_lost()
            }
        }
    }

    /// Returns how long the instance may wait for a majority, in milliseconds, if the call of
    /// `persimmon_held` is sent behind the batch.
    fn pipelined_majority_timeout_ms(&self) -> Option<u128> {
        let ends_transaction = !self.in_transaction || self.batch.class == StatementClass::Commit;
        let begins_transaction = matches!(self.batch.class, StatementClass::Begin { .. });
        let is_pipelined =
            self.request.access == Access::Write && ends_transaction && !begins_transaction;
        is_pipelined
            .then(|| self.client.worker.context.control.settings.majority_timeout.as_millis())
    }

    fn handle_response(&mut self, response: Response) -> Input {
        let answer = response.answer;
        if answer == AnswerKind::TermRefused {
            let worker = Rc::clone(&self.client.worker);
            let message =
                response.term_refusal.as_ref().map(|f| f.message.clone()).unwrap_or_default();
            let seen = crate::control::refused_term(&message);
            worker.report_term(&worker.routing_snapshot(), self.request.service, seen);
            if let Some(connection) = &mut self.connection {
                connection.discard_on_drop();
            }
        }
        self.response = Some(response);
        Input::Answered(answer)
    }

    fn handle_lost(&mut self) -> Input {
        let worker = Rc::clone(&self.client.worker);
        let snapshot = worker.routing_snapshot();
        if let Some((primary, term)) = snapshot.primary(self.request.service)
            && Some(primary) == self.instance
        {
            worker.report_primary_failure(&snapshot, self.request.service, term);
        }
        Input::Lost
    }

    /// Returns whether a majority has the write; calls `persimmon_held` now unless the call was
    /// sent behind the batch.
    async fn await_majority(&mut self) -> Input {
        if let Some(answer) = self.response.as_mut().and_then(|r| r.majority.take()) {
            return majority_input(answer);
        }
        let limit = self.client.worker.context.control.settings.majority_timeout;
        let Some(connection) = &mut self.connection else {
            return Input::MajorityNotReached;
        };
        let sql = format!("SELECT persimmon_held({})", limit.as_millis());
        match connection.backend().query(&sql, limit * 2).await {
            Ok(answer) => majority_input(answer),
            Err(_) => {
                connection.discard_on_drop();
                Input::MajorityNotReached
            }
        }
    }

    async fn wait(&mut self, until: Time) -> Input {
        self.connection = None;
        let worker = Rc::clone(&self.client.worker);
        let mut revision = worker.context.control.snapshots.subscribe();
        let cancel = std::sync::Arc::clone(&self.client.cancel);
        let left = until.since(Clock.now());
        tokio::select! {
            () = sleep(millis(left)) => Input::Woken,
            _ = revision.changed() => Input::Woken,
            () = cancel.wake.notified() => Input::Cancelled,
        }
    }

    fn deliver(&mut self, position: Option<Position>) -> Served {
        let status = self.response.as_ref().map_or(b'I', |r| r.status);
        self.count_read();
        let connection = self.connection.take();
        if self.batch.class == StatementClass::Pin {
            self.client.is_pinned = true;
        }
        let keeps_connection = status != b'I' || self.client.is_pinned;
        if let (true, Some(mut connection), Some(instance)) =
            (keeps_connection, connection, self.instance)
        {
            if self.client.is_pinned {
                connection.discard_on_drop();
            }
            let access = self.request.access;
            self.client.transaction = Transaction::Open { connection, instance, access, status };
        }
        Served::Delivered { buffered: std::mem::take(&mut self.relay.buffered), status, position }
    }

    fn count_read(&self) {
        let may_use_replica =
            self.request.access == Access::Read && !self.request.max_age.is_zero();
        if !may_use_replica || self.in_transaction {
            return;
        }
        let snapshot = self.client.worker.routing_snapshot();
        let primary = snapshot.primary(self.request.service).map(|(primary, _)| primary);
        let counters = self.client.worker.counters();
        Counters::increment(if primary == self.instance {
            &counters.primary_reads
        } else {
            &counters.replica_reads
        });
    }

    fn refuse(&mut self, refusal: Refusal) -> Served {
        self.connection = None;
        if self.keeps_connection {
            return self.lose_transaction(refusal);
        }
        Served::Refused(refusal)
    }

    /// Refuses the batch because the process ends.
    fn stop(&mut self) -> Served {
        let refuse = if self.was_sent { Refusal::may_have_run } else { Refusal::not_run };
        let refusal = refuse(RefusalReason::Draining);
        if self.keeps_connection {
            self.lose_transaction(refusal)
        } else {
            Served::Refused(refusal)
        }
    }

    fn lose_transaction(&mut self, refusal: Refusal) -> Served {
        if let Some(connection) = &mut self.connection {
            connection.discard_on_drop();
        }
        self.connection = None;
        let ends_transaction =
            matches!(self.batch.class, StatementClass::Commit | StatementClass::Rollback);
        let next = if ends_transaction { Transaction::Idle } else { Transaction::Lost };
        self.client.transaction = next;
        self.client.is_pinned = false;
        Served::Refused(refusal)
    }
}

/// Completes once the primary of `term` has been replaced and no response from it is expected.
///
/// A write that a replaced primary still answers cannot be acknowledged, and a replaced primary
/// that is frozen or partitioned would block its clients until their deadlines.
async fn superseded(worker: &Rc<Worker>, service: ServiceId, term: Option<Term>) {
    let Some(term) = term else {
        return std::future::pending().await;
    };
    let mut revision = worker.context.control.snapshots.subscribe();
    loop {
        let snapshot = worker.context.control.snapshots.load();
        if snapshot.group(service).is_some_and(|group| group.term > term) {
            break;
        }
        if revision.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
    sleep(millis(REPLACED_PRIMARY_GRACE)).await;
}

/// Returns the access that a batch needs; a batch that is not known to be a read is a write.
fn access(batch: &Batch, replica_reads: bool) -> Access {
    if batch.hint.once {
        return Access::Write;
    }
    let is_read = match batch.class {
        StatementClass::Read => replica_reads,
        StatementClass::Begin { read_only } => read_only && replica_reads,
        _ => batch.hint.read,
    };
    if is_read { Access::Read } else { Access::Write }
}

fn majority_input(answer: QueryResult) -> Input {
    let Ok(rows) = answer else {
        return Input::MajorityNotReached;
    };
    let Some(row) = rows.first() else {
        return Input::MajorityNotReached;
    };
    if row.get(2).map(String::as_str) != Some("yes") {
        return Input::MajorityNotReached;
    }
    let number = |index: usize| row.get(index).and_then(|n| n.parse::<u64>().ok());
    match (number(0), number(1)) {
        (Some(term), Some(lsn)) => {
            Input::MajorityAcknowledged(Some(Position::new(Term(term), Lsn(lsn))))
        }
        _ => Input::MajorityAcknowledged(None),
    }
}
