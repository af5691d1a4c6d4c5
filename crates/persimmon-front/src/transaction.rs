//! Carries one statement, or the opening of a transaction with its first statement, to an instance.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_place::{
    Admission, Attempt, Candidate, Failure, Next, Typical, after_failure, choose,
};
use persimmon_ports::{
    Access, Code, Command, Freshness, Instance, Query, Route, Statement, TxStatus,
};
use persimmon_types::{Clock, Position, Time};
use rand::Rng;

use crate::link::{Answer, Begin, LinkError, Shape, Wanted};
use crate::metrics::Metrics;
use crate::pool::Lease;
use crate::primaries::Guarded;
use crate::traffic::Worker;

/// An attempt that begins later than this before the statement's limit cannot end in time.
const LEAST_TIME: Duration = Duration::from_millis(15);

/// The first pause before a statement is sent again; it doubles, and is randomised.
const FIRST_PAUSE: Duration = Duration::from_millis(8);

/// The longest pause before a statement is sent again.
const LONGEST_PAUSE: Duration = Duration::from_millis(80);

/// New work waits here once, no longer than this, for room at an instance; a caller that is told to
/// come back may reach another daemon.
const LONGEST_HOLD: Duration = Duration::from_millis(80);

/// When a caller may come back whose statement could not be carried.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The share of a read's time after which a silent instance is given up for another.
const READ_PATIENCE: f64 = 0.6;

/// How a statement is carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// A read on any instance whose log contains a position.
    Copy,
    /// A read inside a transaction of the proxy's own, which only a primary opens.
    Guarded,
    /// A write, which only a primary runs.
    Write,
    /// The first statement of a transaction that any instance may serve.
    CopyTransaction,
    /// The first statement of a transaction that only a primary may serve.
    PrimaryTransaction,
}

impl Mode {
    fn needs_primary(self) -> bool {
        matches!(self, Self::Guarded | Self::Write | Self::PrimaryTransaction)
    }

    fn at_primary(self) -> Self {
        match self {
            Self::Copy => Self::Guarded,
            Self::CopyTransaction => Self::PrimaryTransaction,
            other => other,
        }
    }

    fn attempt(self) -> Attempt {
        match self {
            Self::Copy | Self::Guarded => Attempt::Read,
            Self::Write => Attempt::Write,
            Self::CopyTransaction | Self::PrimaryTransaction => Attempt::First,
        }
    }
}

/// A statement on its way.
#[derive(Clone, Debug)]
pub(crate) struct Job<'a> {
    pub(crate) query: &'a Query,
    pub(crate) route: Arc<Route>,
    /// What the session's prepared statement is, if it runs one.
    pub(crate) shape: Option<&'a Shape>,
    /// The session's values.
    pub(crate) values: &'a BTreeMap<Arc<str>, Arc<str>>,
    /// The position of the session's last commit.
    pub(crate) own_floor: Option<Position>,
    /// When a commit of the session was acknowledged whose position is not known.
    pub(crate) own_since: Time,
    /// When the first byte of the read, or of its transaction, arrived.
    pub(crate) fresh_at: Time,
    /// When it must be answered.
    pub(crate) until: Time,
}

/// What became of a statement, with what explains it.
#[derive(Debug)]
pub(crate) struct Carried {
    /// The instance's answer, or the code with which the statement is refused.
    pub(crate) result: Result<Answer, Code>,
    /// The connection, if a transaction is open on it.
    pub(crate) lease: Option<Lease>,
    /// The instance that was asked last.
    pub(crate) instance: Option<Arc<Instance>>,
    /// How it was carried at last.
    pub(crate) mode: Mode,
    /// How often it was tried.
    pub(crate) attempts: u32,
    /// The position that the log had to contain.
    pub(crate) after: Option<Position>,
    /// The last failure.
    pub(crate) failure: Option<Failure>,
    /// How long statements waited lately at the instance that was held to have no room, in
    /// milliseconds.
    pub(crate) congestion_ms: Option<f64>,
    /// Whether it has waited for room.
    was_held: bool,
    /// When the caller may come back, if the statement was held back.
    pub(crate) retry_after: Duration,
    /// How long it waited for a position that proves a copy fresh.
    pub(crate) floor_wait: Duration,
    /// How long it waited for connections.
    pub(crate) connection_wait: Duration,
}

impl Carried {
    /// A statement that has not been sent.
    pub(crate) fn new(mode: Mode) -> Self {
        Self {
            result: Err(Code::Busy),
            lease: None,
            instance: None,
            mode,
            attempts: 0,
            after: None,
            failure: None,
            congestion_ms: None,
            was_held: false,
            retry_after: RETRY_AFTER,
            floor_wait: Duration::ZERO,
            connection_wait: Duration::ZERO,
        }
    }
}

/// Counts a statement as in flight at an instance, also while it waits for a connection: others
/// should not join it there while another instance is free.
pub(crate) struct InFlight<'a> {
    worker: &'a Worker,
    instance: &'a Arc<str>,
}

impl<'a> InFlight<'a> {
    pub(crate) fn new(worker: &'a Worker, instance: &'a Arc<str>) -> Self {
        worker.pool.load(instance, |l| l.in_flight += 1);
        Self { worker, instance }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.worker.pool.load(self.instance, |l| l.in_flight = l.in_flight.saturating_sub(1));
    }
}

impl Worker {
    /// Carries a statement to an instance that may serve it, as often as its time allows.
    pub(crate) async fn carry(self: &Rc<Self>, job: &Job<'_>, mode: Mode) -> Carried {
        let mut carried = Carried::new(mode);
        let mut tried: Vec<Arc<str>> = Vec::new();
        loop {
            let chosen = self.place(job, &mut carried, &tried).await;
            let Some(instance) = chosen else {
                carried.failure = Some(Failure::NotSent);
                carried.result = Err(Code::Busy);
                return carried;
            };
            if let Admission::After(retry_after) = self.admit(job, &instance, &mut carried) {
                tried.push(Arc::clone(&instance.id));
                if !carried.mode.needs_primary() {
                    continue;
                }
                carried.instance = Some(instance);
                carried.retry_after = retry_after;
                if self.hold(job, &mut carried).await {
                    tried.clear();
                    continue;
                }
                Metrics::add(&self.metrics.held_back);
                carried.result = Err(Code::Busy);
                return carried;
            }
            carried.attempts += 1;
            carried.instance = Some(Arc::clone(&instance));
            let failure = match self.attempt(job, &mut carried, &instance).await {
                Ok((lease, answer)) => match answer.code() {
                    Some(code) if code.is_not_run() => {
                        self.end_failed(lease).await;
                        Failure::Answered(code.clone())
                    }
                    _ => {
                        let is_open = answer.status != TxStatus::Idle;
                        carried.result = Ok(answer);
                        carried.lease = is_open.then_some(lease);
                        return carried;
                    }
                },
                Err(failure) => failure,
            };
            self.note_failure(&instance, &failure);
            // A statement that has waited for a connection as long as its whole operation should take
            // is refused while its caller can still try elsewhere.
            let has_patience =
                failure != Failure::NotSent || carried.connection_wait < job.route.target;
            let has_time = has_patience && Clock.now() + LEAST_TIME < job.until;
            let next = after_failure(carried.mode.attempt(), &failure, has_time);
            carried.failure = Some(failure);
            match next {
                Next::Refuse(code) => {
                    carried.result = Err(code);
                    return carried;
                }
                Next::FindPrimary => {
                    self.not_leading(&job.route.service, &instance.id, "it refused a write");
                }
                Next::Retry | Next::Deliver => {}
            }
            Metrics::add(&self.metrics.retries);
            tried.push(Arc::clone(&instance.id));
            let instances = self.view().instances(&job.route.service).len();
            if carried.mode.needs_primary() || tried.len() >= instances {
                tried.clear();
                pause(carried.attempts, job.until).await;
            }
        }
    }

    /// Whether new work may be sent to an instance.
    fn admit(&self, job: &Job<'_>, instance: &Instance, carried: &mut Carried) -> Admission {
        let draw = rand::rng().random_range(0.0..1.0);
        let daemons = self.peers.daemons();
        let usual_ms = self.typical(job).ms();
        self.pool.gate(&instance.id, |gate| {
            gate.set_share(instance.slots, daemons);
            let admission = gate.admit(Clock.now(), usual_ms, job.route.priority, draw);
            if admission != Admission::Now {
                carried.congestion_ms = Some(gate.wait_ms());
            }
            admission
        })
    }

    /// Lets new work wait for room, once; returns whether it may ask again.
    async fn hold(&self, job: &Job<'_>, carried: &mut Carried) -> bool {
        let patience = LONGEST_HOLD.min(job.route.target / 4);
        let has_time = Clock.now() + patience + LEAST_TIME < job.until;
        if !has_time || std::mem::replace(&mut carried.was_held, true) {
            return false;
        }
        // Statements that were held back together do not come back together.
        tokio::time::sleep(patience.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        true
    }

    fn note_failure(&self, instance: &Arc<Instance>, failure: &Failure) {
        let now = Clock.now();
        self.pool.load(&instance.id, |l| match failure {
            Failure::Answered(Code::Behind) => l.was_behind(now),
            Failure::Answered(Code::Busy) => l.answered(now, 3.0, true),
            _ => {}
        });
        if *failure == Failure::Answered(Code::Busy) {
            self.pool.gate(&instance.id, |gate| gate.refused(now));
        }
    }

    async fn end_failed(&self, mut lease: Lease) {
        if lease.link().has_transaction {
            self.rollback(&mut lease).await;
        }
    }

    /// Chooses an instance, and the position that its log must contain.
    async fn place(
        self: &Rc<Self>,
        job: &Job<'_>,
        carried: &mut Carried,
        tried: &[Arc<str>],
    ) -> Option<Arc<Instance>> {
        let service = &job.route.service;
        let max_age = job.route.freshness.max_age();
        if !carried.mode.needs_primary() && job.route.freshness == Freshness::Latest {
            carried.mode = carried.mode.at_primary();
        }
        if carried.mode.needs_primary() {
            carried.after = None;
            return self.leader(service, job.until).await;
        }
        let since = (job.fresh_at - max_age).max(job.own_since);
        let asked_at = Clock.now();
        let floor = self.floor(service, since, max_age, job.until).await;
        carried.floor_wait += Clock.now().since(asked_at);
        let floor = floor?;
        self.refresh(service, max_age);
        let floor = job.own_floor.map_or(floor, |own| own.max(floor));
        let view = self.view();
        let leader = self.believed_leader(service).map(|l| Arc::clone(&l.id));
        let listed = view.instances(service);
        let standings: Vec<_> = listed.iter().map(|l| self.pool.standing(&l.instance.id)).collect();
        let mut candidates = Vec::with_capacity(listed.len());
        for (index, (l, (load, is_connected))) in listed.iter().zip(&standings).enumerate() {
            let is_primary = leader.as_ref() == Some(&l.instance.id);
            if !l.takes_work() && !is_primary {
                continue;
            }
            candidates.push(Candidate {
                index,
                load,
                is_primary,
                is_near: l.instance.domain == self.settings.domain,
                was_tried: tried.contains(&l.instance.id),
                is_connected: *is_connected,
            });
        }
        let start = rand::rng().random_range(0..candidates.len().max(1));
        if let Some(index) = choose(Clock.now(), floor, &candidates, start) {
            carried.after = Some(floor);
            return Some(Arc::clone(&listed[index].instance));
        }
        // No copy is known to be fresh enough; the primary always is.
        carried.mode = carried.mode.at_primary();
        carried.after = None;
        self.leader(service, job.until).await
    }

    async fn attempt(
        self: &Rc<Self>,
        job: &Job<'_>,
        carried: &mut Carried,
        instance: &Arc<Instance>,
    ) -> Result<(Lease, Answer), Failure> {
        let _in_flight = InFlight::new(self, &instance.id);
        let wanted = Wanted { values: Some(job.values), shape: job.shape, begin: None };
        let began = Clock.now();
        let opened = self.connection(job, carried, instance, wanted).await;
        carried.connection_wait += Clock.now().since(began);
        let mut lease = opened?;
        let after = if carried.mode == Mode::Copy { carried.after } else { None };
        let ends = carried.mode == Mode::Guarded;
        let mut limit = job.until.since(Clock.now()).max(Duration::from_millis(1));
        if carried.mode.attempt() == Attempt::Read {
            limit = limit.mul_f64(READ_PATIENCE);
        }
        let asked_at = Clock.now();
        let answer = self.forward(&mut lease, job, after, ends, limit).await?;
        if carried.mode == Mode::Guarded && answer.result.is_ok() {
            // An instance that has lost the lead runs no statement of such a transaction.
            self.add_sample(&instance.service, answer.position, asked_at);
        }
        Ok((lease, answer))
    }

    /// Borrows a connection that is ready for the statement, in a transaction if it needs one.
    async fn connection(
        &self,
        job: &Job<'_>,
        carried: &Carried,
        instance: &Arc<Instance>,
        wanted: Wanted<'_>,
    ) -> Result<Lease, Failure> {
        match carried.mode {
            Mode::Guarded | Mode::PrimaryTransaction => {
                let until = job.until.min(Clock.now() + job.route.target);
                let opened = self.open_guarded(instance, &wanted, until).await;
                opened.map_err(|why| match why {
                    Guarded::NotLeading => Failure::Answered(Code::ReadOnly),
                    Guarded::Unavailable(_) | Guarded::Lost => Failure::NotSent,
                })
            }
            Mode::Write | Mode::Copy => self.aligned(job, instance, &wanted).await,
            Mode::CopyTransaction => {
                let begin = Begin { is_read_only: true, after: carried.after };
                self.aligned(job, instance, &Wanted { begin: Some(begin), ..wanted }).await
            }
        }
    }

    /// Borrows a connection that holds what the session wants.
    async fn aligned(
        &self,
        job: &Job<'_>,
        instance: &Arc<Instance>,
        wanted: &Wanted<'_>,
    ) -> Result<Lease, Failure> {
        let service = &instance.service;
        let until = job.until.min(Clock.now() + job.route.target);
        let acquired = self.pool.acquire(instance, wanted.values, self.cap(service), until).await;
        let mut lease = match acquired {
            Ok(lease) => lease,
            Err(why) => {
                let is_leader = self.believed_leader(service).is_some_and(|l| l.id == instance.id);
                if why.is_dead() {
                    self.reach.failed(&instance.id, Clock.now());
                }
                if is_leader && why.is_dead() {
                    self.not_leading(service, &instance.id, "no connection");
                }
                return Err(Failure::NotSent);
            }
        };
        let left = job.until.since(Clock.now()).max(Duration::from_millis(1));
        match lease.link().align(wanted, left).await {
            Ok(None) => Ok(lease),
            Ok(Some(answer)) => match answer.code() {
                None => Ok(lease),
                Some(code) => Err(Failure::Answered(code.clone())),
            },
            // The statement itself has not been sent.
            Err(LinkError::Refused(..)) => Err(Failure::NotSent),
            Err(err) => {
                self.broke(instance, &err);
                Err(Failure::NotSent)
            }
        }
    }

    /// Sends a caller's statement on a connection that is ready for it, and `ends` the proxy's own
    /// transaction behind it.
    pub(crate) async fn forward(
        &self,
        lease: &mut Lease,
        job: &Job<'_>,
        after: Option<Position>,
        ends: bool,
        limit: Duration,
    ) -> Result<Answer, Failure> {
        let instance = Arc::clone(&lease.instance);
        let link = lease.link();
        let prepared = job.shape.and_then(|shape| link.prepared_name(shape));
        let forward = Command::Forward { query: job.query, prepared: prepared.as_deref(), after };
        let sent_at = Clock.now();
        let usual_ms = self.typical(job).ms();
        self.pool.gate(&instance.id, |gate| gate.sent(sent_at, usual_ms));
        let sent =
            if ends { link.send(&[forward, Command::Rollback]) } else { link.send(&[forward]) };
        let answered = match sent {
            Ok(()) => link.answer(limit).await,
            Err(err) => Err(err),
        };
        let answer = match answered {
            Ok(answer) => answer,
            Err(err) => {
                self.broke(&instance, &err);
                return Err(Failure::Lost);
            }
        };
        self.note_answer(job, &instance, &answer, Clock.now().since(sent_at));
        self.reach.answered(&instance.id, Clock.now());
        if !ends {
            return Ok(answer);
        }
        // The rollback of the proxy's own transaction; without it the connection is not reused.
        let ended = link.answer(limit).await;
        let status = ended.as_ref().map_or(TxStatus::Idle, |a| a.status);
        Ok(Answer { status, ..answer })
    }

    fn typical(&self, job: &Job<'_>) -> Typical {
        self.typical.borrow().get(&job.route.database).copied().unwrap_or_default()
    }

    fn note_answer(
        &self,
        job: &Job<'_>,
        instance: &Arc<Instance>,
        answer: &Answer,
        took: Duration,
    ) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let usual_ms = self.typical(job).ms();
        let relative = took_ms / usual_ms.max(1.0);
        let has_failed = matches!(answer.code(), Some(Code::Failed | Code::TimedOut));
        let has_run = answer.code().is_none_or(|code| !code.is_not_run());
        let has_room = self.pool.gate(&instance.id, |gate| {
            if has_run {
                gate.answered(Clock.now(), took_ms - usual_ms);
            }
            !gate.is_closed()
        });
        if answer.code().is_none() {
            let mut typical = self.typical.borrow_mut();
            let usual = typical.entry(Arc::clone(&job.route.database)).or_default();
            usual.observe(took_ms, has_room);
        }
        self.pool.load(&instance.id, |load| {
            if has_run {
                load.answered(Clock.now(), relative, has_failed);
            }
            if let Some(position) = answer.position {
                load.has_applied(position);
            }
        });
    }
}

/// How a statement outside a transaction is carried.
pub(crate) fn lone_mode(access: Access) -> Mode {
    match access {
        Access::Read => Mode::Copy,
        Access::Write => Mode::Write,
    }
}

/// Whether a statement may change data.
pub(crate) fn access(statement: &Statement, shape: Option<&Shape>) -> Access {
    match (statement, shape) {
        (Statement::Data(access), _) | (_, Some((access, _))) => *access,
        _ => Access::Read,
    }
}

async fn pause(attempts: u32, until: Time) {
    let longest = FIRST_PAUSE * 2_u32.saturating_pow(attempts.min(6));
    let pause = longest.min(LONGEST_PAUSE).mul_f64(rand::rng().random_range(0.5..1.0));
    let left = until.since(Clock.now());
    tokio::time::sleep(pause.min(left)).await;
}
