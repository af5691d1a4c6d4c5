//! One exchange with an instance: a connection that holds what the session wants, the statement, its
//! answer, and what the answer tells of the instance.

use std::sync::Arc;
use std::time::Duration;

use persimmon_place::{Failure, Typical};
use persimmon_ports::{Code, Command, Instance, TxStatus};
use persimmon_types::{Clock, Position};

use crate::job::{Carried, Job, Mode};
use crate::link::{Answer, Begin, LinkError, Wanted};
use crate::pool::Lease;
use crate::primaries::Guarded;
use crate::traffic::Worker;

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
    /// Borrows a connection that is ready for the statement, in a transaction if it needs one.
    pub(crate) async fn connection(
        &self,
        job: &Job<'_>,
        carried: &Carried,
        instance: &Arc<Instance>,
        wanted: Wanted<'_>,
    ) -> Result<Lease, Failure> {
        match carried.mode {
            Mode::Guarded | Mode::PrimaryTransaction => {
                let until = job.connected_by(Clock.now());
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
        let until = job.connected_by(Clock.now());
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

    pub(crate) fn typical(&self, job: &Job<'_>) -> Typical {
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
