//! Carries one statement, or the opening of a transaction with its first statement, to an instance
//! that may serve it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_place::{Admission, Attempt, Candidate, Failure, Next, after_failure, choose};
use persimmon_ports::{Code, Freshness, Instance, TxStatus};
use persimmon_types::{Clock, Time};
use rand::Rng;

use crate::exchange::InFlight;
use crate::job::{Carried, Job, Mode};
use crate::link::{Answer, Wanted};
use crate::metrics::Metrics;
use crate::pool::Lease;
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

/// The share of a read's time after which a silent instance is given up for another.
const READ_PATIENCE: f64 = 0.6;

impl Worker {
    /// Carries a statement to an instance that may serve it, as often as its time allows.
    pub(crate) async fn carry(self: &Rc<Self>, job: &Job<'_>, mode: Mode) -> Carried {
        let mut carried = Carried::new(mode);
        let mut tried: Vec<Arc<str>> = Vec::new();
        loop {
            let chosen = self.place(job, &mut carried, &tried).await;
            let Some(instance) = chosen else {
                carried.failure = Some(Failure::NotSent);
                return carried.refused(Code::Busy);
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
                return carried.refused(Code::Busy);
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
            carried.was_lost |= failure == Failure::Lost;
            carried.failure = Some(failure);
            match next {
                Next::Refuse(code) => return carried.refused(code),
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
}

async fn pause(attempts: u32, until: Time) {
    let longest = FIRST_PAUSE * 2_u32.saturating_pow(attempts.min(6));
    let pause = longest.min(LONGEST_PAUSE).mul_f64(rand::rng().random_range(0.5..1.0));
    let left = until.since(Clock.now());
    tokio::time::sleep(pause.min(left)).await;
}
