//! Carries one batch through its state machine.

use std::rc::Rc;
use std::time::Duration;

use ntex::time::{sleep, timeout};
use ntex::util::BytesMut;
use persimmon_request::{Access, Answer, Class, Env, Exchange, Input, Proof, Request, Step};
use persimmon_types::{Clock, InstanceId, Lsn, Position, Reason, Refusal, ServiceId, Term, Time};

use crate::backend::{Answer as QueryAnswer, BackendError};
use crate::counters::Counters;
use crate::traffic::Worker;
use crate::traffic::batch::Batch;
use crate::traffic::caller::{Caller, Transaction};
use crate::traffic::confirm::confirm;
use crate::traffic::greeting::{is_notable, running};
use crate::traffic::pool::{AcquireError, Lease, millis};
use crate::traffic::relay::{Relay, Relayed};

/// How long a replica may take to say what it has applied.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an answer of a replaced primary may still take.
const ANSWER_GRACE: Duration = Duration::from_millis(50);

/// How a batch ended.
#[derive(Debug)]
pub(crate) enum Served {
    /// The rest of the answer, the transaction status and the position of a write.
    Delivered {
        /// What the caller has not been given yet.
        kept: BytesMut,
        /// `I`, `T` or `E`.
        status: u8,
        /// The position of the write, if it was one.
        position: Option<Position>,
    },
    /// The batch was refused.
    Refused(Refusal),
    /// The caller left before the end.
    CallerGone,
}

/// One batch on its way.
struct Driver<'a> {
    caller: &'a mut Caller,
    batch: &'a Batch,
    relay: Relay<'a>,
    exchange: Exchange,
    request: Request,
    deadline: Time,
    lease: Option<Lease>,
    instance: Option<InstanceId>,
    relayed: Option<Relayed>,
    /// Whether the batch goes over a connection that the caller keeps.
    keeps_connection: bool,
    /// Whether a transaction was open before the batch.
    in_transaction: bool,
}

/// Serves a batch that an instance must see.
pub(crate) async fn serve(caller: &mut Caller, batch: &Batch) -> Served {
    let Some(service) = caller.resolve() else {
        return Served::Refused(Refusal::not_run(Reason::UnknownService));
    };
    let gone = caller.io.on_disconnect();
    let cancel = std::sync::Arc::clone(&caller.cancel);
    // The relay writes to the caller while the driver holds the rest of it.
    let io = caller.io.take();
    let served = {
        let mut driver = Driver::new(caller, batch, service, &io);
        tokio::select! {
            biased;
            served = driver.run() => served,
            () = gone => Served::CallerGone,
        }
    };
    caller.io = io;
    cancel.set_running(None);
    served
}

impl<'a> Driver<'a> {
    fn new(
        caller: &'a mut Caller,
        batch: &'a Batch,
        service: ServiceId,
        io: &'a ntex::io::Io,
    ) -> Self {
        let view = caller.worker.view();
        let now = Clock.now();
        let named = batch.hint.kind.as_deref().or(caller.settings.kind.as_deref());
        let kind = view.table.kind_row(view.table.kind(named.unwrap_or_default()));
        let row = view.table.service_row(service);
        let access = access(batch, row.replica_reads);
        let max_age = batch.hint.max_age.unwrap_or(row.staleness);
        let request = Request { service, access, max_age, wait_until: now + kind.wait };
        let mut request = request;
        let mut lease = None;
        let mut instance = None;
        let opened = std::mem::replace(&mut caller.transaction, Transaction::Idle);
        let keeps_connection = matches!(opened, Transaction::Open { .. });
        let in_transaction = matches!(opened, Transaction::Open { status, .. } if status != b'I');
        let exchange = match opened {
            Transaction::Open { lease: held, instance: on, access, .. } => {
                request.access = access;
                lease = Some(held);
                instance = Some(on);
                Exchange::with_connection(request, on)
            }
            _ => Exchange::new(request),
        };
        Self {
            relay: Relay::new(io, request.access == Access::Write),
            caller,
            batch,
            exchange,
            request,
            deadline: now + kind.deadline,
            lease,
            instance,
            relayed: None,
            keeps_connection,
            in_transaction,
        }
    }

    fn feed(&mut self, input: Input) -> Step {
        let worker = Rc::clone(&self.caller.worker);
        let view = worker.view();
        let mut mind = worker.mind.borrow_mut();
        let mind = &mut *mind;
        let mut env = Env {
            now: Clock.now(),
            view: &view,
            knowledge: &mut mind.knowledge,
            policy: &mut *mind.policy,
            rng: &mut mind.rng,
            budget: &mut mind.budget,
        };
        self.exchange.handle(&mut env, &mut self.caller.session, input)
    }

    async fn run(&mut self) -> Served {
        self.caller.worker.mind.borrow_mut().budget.request();
        let kept = self.lease.as_mut().map(|lease| lease.backend().incarnation);
        let first = kept.map_or(Input::Start, Input::Connected);
        let mut step = self.feed(first);
        loop {
            let is_final = matches!(step, Step::Deliver(_) | Step::Refuse(_));
            if self.keeps_connection && !is_final && !matches!(step, Step::Send | Step::Hold) {
                // A statement of a transaction cannot go to another connection.
                return self.lose_transaction(Refusal::not_run(Reason::TermRefused));
            }
            let input = match step {
                Step::Confirm { primary, term } => self.confirm(primary, term).await,
                Step::Connect { instance, term } => self.connect(instance, term).await,
                Step::Check => self.check().await,
                Step::Send => self.send().await,
                Step::Hold => self.held().await,
                Step::Wait { until } => self.wait(until).await,
                Step::Deliver(position) => return self.deliver(position),
                Step::Refuse(refusal) => return self.refuse(refusal),
            };
            step = self.feed(input);
        }
    }

    async fn confirm(&mut self, primary: InstanceId, term: Term) -> Input {
        self.lease = None;
        let worker = Rc::clone(&self.caller.worker);
        let confirmed = tokio::select! {
            confirmed = confirm(&worker, primary, term, self.request.wait_until) => confirmed,
            () = superseded(&worker, self.request.service, Some(term)) => None,
        };
        match confirmed {
            Some(position) => Input::Confirmed(position),
            None => {
                worker.suspect(&worker.view(), self.request.service, term);
                Input::NotConfirmed
            }
        }
    }

    async fn connect(&mut self, instance: InstanceId, term: Option<Term>) -> Input {
        self.lease = None;
        let worker = Rc::clone(&self.caller.worker);
        let view = worker.view();
        if instance.index() >= view.table.instances.len() {
            // The table changed between the decision and now.
            return Input::ConnectFailed;
        }
        let cancel = std::sync::Arc::clone(&self.caller.cancel);
        let until = self.request.wait_until;
        let acquired = tokio::select! {
            acquired = worker.pools.acquire(&view.table, instance, term, until) => acquired,
            () = superseded(&worker, self.request.service, term) => return Input::ConnectFailed,
            () = cancel.wake.notified() => return Input::Cancelled,
        };
        match acquired {
            Ok(mut lease) => {
                let incarnation = lease.backend().incarnation;
                self.lease = Some(lease);
                self.instance = Some(instance);
                Input::Connected(incarnation)
            }
            Err(AcquireError::TimedOut) => Input::ConnectTimedOut,
            Err(AcquireError::QueueFull) => Input::QueueFull,
            Err(AcquireError::Term(seen)) => {
                worker.saw_term(&view, self.request.service, seen);
                Input::ConnectFailed
            }
            Err(AcquireError::Failed) => {
                if let Some(term) = term {
                    worker.suspect(&view, self.request.service, term);
                }
                Input::ConnectFailed
            }
        }
    }

    async fn check(&mut self) -> Input {
        Counters::increment(&self.caller.worker.counters().position_checks);
        let Some(lease) = &mut self.lease else {
            return Input::Lost;
        };
        let at = Clock.now();
        let answer = lease.backend().ask("SELECT persimmon_applied()", CHECK_TIMEOUT).await;
        match answer.ok().and_then(|answer| proof(answer, at)) {
            Some(proof) => Input::Checked(proof),
            None => {
                lease.condemn();
                Input::Lost
            }
        }
    }

    async fn send(&mut self) -> Input {
        let worker = Rc::clone(&self.caller.worker);
        let held = self.held_question();
        let (Some(lease), Some(instance)) = (&mut self.lease, self.instance) else {
            return Input::Lost;
        };
        if self.relayed.take().is_some() || !self.relay.kept.is_empty() {
            Counters::increment(&worker.counters().retries);
            self.relay.reset();
        }
        self.caller.cancel.set_running(running(lease.backend()));
        worker.mind.borrow_mut().knowledge.began(instance);
        let left = self.deadline.since(Clock.now());
        let superseded = superseded(&worker, self.request.service, lease.backend().fence);
        let relay = self.relay.run(lease.backend(), &self.batch.body, held);
        let result = tokio::select! {
            result = timeout(millis(left), relay) => result.unwrap_or(Err(BackendError::TimedOut)),
            () = superseded => Err(BackendError::TimedOut),
        };
        worker.mind.borrow_mut().knowledge.ended(instance);
        self.caller.cancel.set_running(None);
        match result {
            Ok(relayed) => self.relayed(relayed),
            Err(err) => {
                if is_notable(&err) {
                    tracing::info!(error = %err, "a request was lost");
                }
                lease.condemn();
                self.lost()
            }
        }
    }

    /// How long the instance may wait for a majority, if the question goes along.
    fn held_question(&self) -> Option<u128> {
        let ends = !self.in_transaction || self.batch.class == Class::Commit;
        let begins = matches!(self.batch.class, Class::Begin { .. });
        let asks = self.request.access == Access::Write && ends && !begins;
        asks.then(|| self.caller.worker.shared.links.settings.held_timeout.as_millis())
    }

    fn relayed(&mut self, relayed: Relayed) -> Input {
        let answer = relayed.answer;
        if answer == Answer::TermRefused {
            let worker = Rc::clone(&self.caller.worker);
            let message = relayed.refusal.as_ref().map(|f| f.message.clone()).unwrap_or_default();
            let seen = crate::control::refused_term(&message);
            worker.saw_term(&worker.view(), self.request.service, seen);
            if let Some(lease) = &mut self.lease {
                lease.condemn();
            }
        }
        self.relayed = Some(relayed);
        Input::Answered(answer)
    }

    fn lost(&mut self) -> Input {
        let worker = Rc::clone(&self.caller.worker);
        let view = worker.view();
        if let Some((primary, term)) = view.primary(self.request.service)
            && Some(primary) == self.instance
        {
            worker.suspect(&view, self.request.service, term);
        }
        Input::Lost
    }

    /// The answer to the question whether a majority holds the write, asked now unless it went
    /// along with the batch.
    async fn held(&mut self) -> Input {
        if let Some(answer) = self.relayed.as_mut().and_then(|r| r.held.take()) {
            return held_input(answer);
        }
        let limit = self.caller.worker.shared.links.settings.held_timeout;
        let Some(lease) = &mut self.lease else {
            return Input::NotHeld;
        };
        let sql = format!("SELECT persimmon_held({})", limit.as_millis());
        match lease.backend().ask(&sql, limit * 2).await {
            Ok(answer) => held_input(answer),
            Err(_) => {
                lease.condemn();
                Input::NotHeld
            }
        }
    }

    async fn wait(&mut self, until: Time) -> Input {
        self.lease = None;
        let worker = Rc::clone(&self.caller.worker);
        let mut revision = worker.shared.links.snapshots.subscribe();
        let cancel = std::sync::Arc::clone(&self.caller.cancel);
        let left = until.since(Clock.now());
        tokio::select! {
            () = sleep(millis(left)) => Input::Woken,
            _ = revision.changed() => Input::Woken,
            () = cancel.wake.notified() => Input::Cancelled,
        }
    }

    fn deliver(&mut self, position: Option<Position>) -> Served {
        let status = self.relayed.as_ref().map_or(b'I', |r| r.status);
        self.count_read();
        let lease = self.lease.take();
        if self.batch.class == Class::Pin {
            self.caller.pinned = true;
        }
        let keeps = status != b'I' || self.caller.pinned;
        if let (true, Some(mut lease), Some(instance)) = (keeps, lease, self.instance) {
            if self.caller.pinned {
                lease.condemn();
            }
            let access = self.request.access;
            self.caller.transaction = Transaction::Open { lease, instance, access, status };
        }
        Served::Delivered { kept: std::mem::take(&mut self.relay.kept), status, position }
    }

    fn count_read(&self) {
        let row_allows = self.request.access == Access::Read && !self.request.max_age.is_zero();
        if !row_allows || self.in_transaction {
            return;
        }
        let view = self.caller.worker.view();
        let primary = view.primary(self.request.service).map(|(primary, _)| primary);
        let counters = self.caller.worker.counters();
        Counters::increment(if primary == self.instance {
            &counters.primary_reads
        } else {
            &counters.replica_reads
        });
    }

    fn refuse(&mut self, refusal: Refusal) -> Served {
        self.lease = None;
        if self.keeps_connection {
            return self.lose_transaction(refusal);
        }
        Served::Refused(refusal)
    }

    fn lose_transaction(&mut self, refusal: Refusal) -> Served {
        if let Some(lease) = &mut self.lease {
            lease.condemn();
        }
        self.lease = None;
        let ends = matches!(self.batch.class, Class::Commit | Class::Rollback);
        let next = if ends { Transaction::Idle } else { Transaction::Lost };
        self.caller.transaction = next;
        self.caller.pinned = false;
        Served::Refused(refusal)
    }
}

/// Completes once a primary of `term` has been replaced and its answer is not to be expected.
///
/// Nothing that a replaced primary still answers to a write can be acknowledged, and one that is
/// frozen or cut off would hold its callers until their deadlines.
async fn superseded(worker: &Rc<Worker>, service: ServiceId, term: Option<Term>) {
    let Some(term) = term else {
        return std::future::pending().await;
    };
    let mut revision = worker.shared.links.snapshots.subscribe();
    loop {
        let view = worker.shared.links.snapshots.load();
        if view.group(service).is_some_and(|group| group.term > term) {
            break;
        }
        if revision.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
    sleep(millis(ANSWER_GRACE)).await;
}

/// What a batch may do, as far as it is known.
fn access(batch: &Batch, replica_reads: bool) -> Access {
    if batch.hint.once {
        return Access::Write;
    }
    let reads = match batch.class {
        Class::Read => replica_reads,
        Class::Begin { read_only } => read_only && replica_reads,
        _ => batch.hint.read,
    };
    if reads { Access::Read } else { Access::Write }
}

fn held_input(answer: QueryAnswer) -> Input {
    let Ok(rows) = answer else {
        return Input::NotHeld;
    };
    let Some(row) = rows.first() else {
        return Input::NotHeld;
    };
    if row.get(2).map(String::as_str) != Some("yes") {
        return Input::NotHeld;
    }
    let number = |index: usize| row.get(index).and_then(|n| n.parse::<u64>().ok());
    match (number(0), number(1)) {
        (Some(term), Some(lsn)) => Input::Held(Some(Position::new(Term(term), Lsn(lsn)))),
        _ => Input::Held(None),
    }
}

fn proof(answer: QueryAnswer, at: Time) -> Option<Proof> {
    let rows = answer.ok()?;
    let row = rows.first()?;
    let number = |index: usize| row.get(index)?.parse::<u64>().ok();
    Some(Proof {
        incarnation: number(0)?,
        applied: Position::new(Term(number(1)?), Lsn(number(2)?)),
        age: Duration::from_millis(number(3)?),
        at,
    })
}
