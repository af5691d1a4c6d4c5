//! Who leads each service, and samples of its log.
//!
//! Invariants:
//!
//! - The directory and memory only say where to ask; an instance leads if it opens a transaction
//!   that may write.
//! - A sample's time is that at which the question was sent.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use persimmon_place::{Sample, Samples};
use persimmon_ports::{Code, Instance};
use persimmon_types::{Clock, Position, Time};
use tokio::sync::Notify;

use crate::link::{Begin, LinkError, Wanted};
use crate::metrics::Metrics;
use crate::pool::{Lease, Unavailable};
use crate::traffic::Worker;

/// How long one instance may take to say whether it leads.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Pause between two rounds of asking while no instance leads.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// How long an instance that did not lead is not taken at the directory's word.
const DISBELIEF: Duration = Duration::from_millis(1_000);

/// How long a request waits for a finding that another request has begun.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// What traffic knows of one service.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    leader: Option<Arc<str>>,
    disbelieved: HashMap<Arc<str>, Time>,
    is_finding: bool,
    is_sampling: bool,
    changed: Rc<Notify>,
    pub(crate) samples: Samples,
}

impl Worker {
    fn leadership<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut Leadership) -> T) -> T {
        f(self.leaderships.borrow_mut().entry(Arc::clone(service)).or_default())
    }

    /// Takes in a position that came with an answer of an instance that led; returns whether it
    /// covers every commit acknowledged before the question.
    pub(crate) fn add_sample(
        &self,
        service: &Arc<str>,
        position: Option<Position>,
        asked_at: Time,
    ) -> bool {
        let Some(position) = position else {
            return false;
        };
        let sample = Sample { position, asked_at };
        let proves = self.leadership(service, |l| l.samples.add(Clock.now(), sample));
        if proves {
            self.samples.add(service, sample);
        }
        proves
    }

    /// Takes in a sample that a peer has proven.
    pub(crate) fn add_proven(&self, service: &Arc<str>, sample: Sample) {
        self.leadership(service, |l| l.samples.add_proven(sample));
    }

    /// The instance that is believed to lead, without asking.
    pub(crate) fn believed_leader(&self, service: &Arc<str>) -> Option<Arc<Instance>> {
        let view = self.view();
        let now = Clock.now();
        let known = self.leadership(service, |l| l.leader.clone());
        if let Some(listed) = known.and_then(|id| view.instance(service, &id).cloned()) {
            return Some(listed.instance);
        }
        let declared = view.self_declared_primary(service)?;
        let id = &declared.instance.id;
        let is_disbelieved =
            self.leadership(service, |l| l.disbelieved.get(id).is_some_and(|until| now < *until));
        (!is_disbelieved).then(|| Arc::clone(&declared.instance))
    }

    /// Takes in that an instance does not lead, or cannot be reached.
    pub(crate) fn not_leading(&self, service: &Arc<str>, instance: &Arc<str>, why: &str) {
        let now = Clock.now();
        let was_leader = self.leadership(service, |l| {
            l.disbelieved.insert(Arc::clone(instance), now + DISBELIEF);
            let was_leader = l.leader.as_ref() == Some(instance);
            if was_leader {
                l.leader = None;
            }
            was_leader
        });
        if was_leader {
            tracing::info!(%service, %instance, why, "the primary is no longer believed to lead");
        }
        self.suspect(service, instance);
    }

    /// Takes in that an instance leads.
    pub(crate) fn leads(&self, service: &Arc<str>, instance: &Arc<str>) {
        let is_new = self.leadership(service, |l| {
            l.disbelieved.remove(instance);
            let is_new = l.leader.as_ref() != Some(instance);
            if is_new {
                l.leader = Some(Arc::clone(instance));
            }
            is_new
        });
        if is_new {
            tracing::info!(%service, %instance, "a primary is known");
        }
    }

    /// The instance that leads, as far as is known; asks all instances if nothing is known.
    pub(crate) async fn leader(&self, service: &Arc<str>, until: Time) -> Option<Arc<Instance>> {
        loop {
            if let Some(instance) = self.believed_leader(service) {
                return Some(instance);
            }
            if Clock.now() >= until {
                return None;
            }
            let changed = self.leadership(service, |l| {
                if l.is_finding {
                    return Some(Rc::clone(&l.changed));
                }
                l.is_finding = true;
                None
            });
            let Some(changed) = changed else {
                let finding = self.finding(service);
                self.find_once(service).await;
                drop(finding);
                if self.believed_leader(service).is_none() {
                    tokio::time::sleep(ROUND_PAUSE.min(until.since(Clock.now()))).await;
                }
                continue;
            };
            // Running out of time here only means to look again.
            let _ = tokio::time::timeout(LOOK_AGAIN, changed.notified()).await;
        }
    }

    async fn find_once(&self, service: &Arc<str>) {
        let view = self.view();
        let asked = view.instances(service).iter().map(|l| self.asks_to_lead(&l.instance));
        join_all(asked).await;
    }

    async fn asks_to_lead(&self, instance: &Arc<Instance>) {
        let until = Clock.now() + ASK_LIMIT;
        // What was found is noted by the opening itself.
        if let Ok(mut lease) = self.open_guarded(instance, &Wanted::default(), until).await {
            self.rollback(&mut lease).await;
        }
    }

    /// Opens a transaction that only a primary opens, and notes what that proves.
    pub(crate) async fn open_guarded(
        &self,
        instance: &Arc<Instance>,
        wanted: &Wanted<'_>,
        until: Time,
    ) -> Result<Lease, Guarded> {
        let service = &instance.service;
        let cap = self.cap(service);
        let mut lease = match self.pool.acquire(instance, wanted.values, cap, until).await {
            Ok(lease) => lease,
            Err(why) => {
                if why.is_dead() {
                    self.reach.failed(&instance.id, Clock.now());
                    self.not_leading(service, &instance.id, "no connection");
                }
                return Err(Guarded::Unavailable(why));
            }
        };
        let wanted =
            Wanted { begin: Some(Begin { is_read_only: false, after: None }), ..wanted.clone() };
        let asked_at = Clock.now();
        // None of these statements occupies a slot, so that silence is a sign of trouble.
        let left = until.since(asked_at).min(ASK_LIMIT).max(Duration::from_millis(1));
        match lease.link().align(&wanted, left).await {
            Ok(Some(answer)) => match answer.code() {
                None => {
                    self.leads(service, &instance.id);
                    self.reach.answered(&instance.id, Clock.now());
                    self.add_sample(service, answer.position, asked_at);
                    Ok(lease)
                }
                Some(Code::ReadOnly) => {
                    self.not_leading(service, &instance.id, "it follows another primary");
                    Err(Guarded::NotLeading)
                }
                Some(_) => Err(Guarded::Unavailable(Unavailable::Waited)),
            },
            Ok(None) => Err(Guarded::Lost),
            Err(LinkError::Refused(..)) => Err(Guarded::Unavailable(Unavailable::Waited)),
            Err(err) => {
                self.broke(instance, &err);
                Err(Guarded::Lost)
            }
        }
    }

    /// Takes in that a connection broke while an answer was due.
    pub(crate) fn broke(&self, instance: &Arc<Instance>, err: &LinkError) {
        Metrics::add(&self.metrics.connections_lost);
        self.pool.load(&instance.id, |l| l.unreachable(Clock.now()));
        if err.is_broken() {
            self.reach.failed(&instance.id, Clock.now());
        }
        let service = &instance.service;
        let is_leader = self.believed_leader(service).is_some_and(|l| l.id == instance.id);
        tracing::info!(%service, instance = %instance.id, error = %err, is_leader,
            "a connection to an instance is lost");
        if is_leader {
            self.suspect(service, &instance.id);
        }
    }

    /// Ends a transaction that kept nothing, so that its connection can be used again.
    pub(crate) async fn rollback(&self, lease: &mut Lease) {
        /// A rollback occupies no slot; an instance that takes longer is not well.
        const ROLLBACK_LIMIT: Duration = Duration::from_millis(500);
        let link = lease.link();
        let ended = match link.send(&[persimmon_ports::Command::Rollback]) {
            Ok(()) => link.answer(ROLLBACK_LIMIT).await.map(|_| ()),
            Err(err) => Err(err),
        };
        if let Err(err) = ended {
            // The connection is closed, which rolls the transaction back as well.
            tracing::debug!(instance = %lease.instance.id, error = %err, "no answer to a rollback");
        }
    }

    /// The lowest position that covers every commit acknowledged before `since`, from a new sample
    /// if none is known.
    pub(crate) async fn floor(
        &self,
        service: &Arc<str>,
        since: Time,
        max_age: Duration,
        until: Time,
    ) -> Option<Position> {
        loop {
            let found = self.leadership(service, |l| l.samples.floor(since));
            if found.is_some() {
                return found;
            }
            if Clock.now() >= until {
                return None;
            }
            let changed = self.leadership(service, |l| {
                if l.is_sampling {
                    return Some(Rc::clone(&l.changed));
                }
                l.is_sampling = true;
                None
            });
            if let Some(changed) = changed {
                // Running out of time here only means to look again.
                let _ = tokio::time::timeout(LOOK_AGAIN, changed.notified()).await;
                continue;
            }
            self.sample(service, max_age, until).await;
        }
    }

    /// Samples a primary for a peer, unless a sample is being taken.
    pub(crate) fn sample_for_peers(self: &Rc<Self>, service: &Arc<str>) {
        if self.leadership(service, |l| std::mem::replace(&mut l.is_sampling, true)) {
            return;
        }
        let (worker, service) = (Rc::clone(self), Arc::clone(service));
        ntex::rt::spawn(async move {
            let sampling = worker.sampling(&service);
            worker.sample_here(&service, Clock.now() + ASK_LIMIT).await;
            drop(sampling);
        });
    }

    /// Gets a sample of the primary's log; the caller has set `is_sampling`.
    async fn sample(&self, service: &Arc<str>, max_age: Duration, until: Time) {
        let sampling = self.sampling(service);
        let is_scarce = self.believed_leader(service).is_some_and(|leader| {
            self.pool.is_scarce(&leader.id, Clock.now()) && !self.pool.has_idle(&leader.id)
        });
        // In a fleet that has just started, the peers that sample are as busy as this daemon, and
        // they are asked only if the primary takes no more connections.
        let asks_first = is_scarce && self.peers.daemons().is_some();
        if !asks_first || !self.borrow_sample(service, max_age).await {
            let is_taken = self.sample_here(service, until.min(Clock.now() + ASK_LIMIT * 2)).await;
            if !is_taken && is_scarce && !asks_first {
                self.borrow_sample(service, max_age).await;
            }
        }
        drop(sampling);
    }

    /// Samples the primary's log; returns whether the primary answered.
    async fn sample_here(&self, service: &Arc<str>, until: Time) -> bool {
        Metrics::add(&self.metrics.samples);
        let Some(leader) = self.leader(service, until).await else {
            return false;
        };
        match self.open_guarded(&leader, &Wanted::default(), until).await {
            Ok(mut lease) => {
                self.rollback(&mut lease).await;
                true
            }
            Err(why) => {
                tracing::debug!(%service, instance = %leader.id, ?why, "no sample");
                tokio::time::sleep(Duration::from_millis(5)).await;
                false
            }
        }
    }

    /// Samples the primary's log in the background if later reads will need it and a connection
    /// is idle; a read without a sample takes one itself.
    pub(crate) fn refresh(self: &Rc<Self>, service: &Arc<str>, max_age: Duration) {
        let now = Clock.now();
        let leader = self.believed_leader(service);
        let has_idle = leader.is_some_and(|l| self.pool.has_idle(&l.id));
        let is_due = self.leadership(service, |l| {
            let is_due = has_idle && !l.is_sampling && l.samples.is_due(now, max_age);
            l.is_sampling |= is_due;
            is_due
        });
        if !is_due {
            return;
        }
        let (worker, service) = (Rc::clone(self), Arc::clone(service));
        ntex::rt::spawn(async move { worker.sample(&service, max_age, now + max_age).await });
    }
}

/// Why a guarded transaction could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Guarded {
    /// No connection could be had.
    Unavailable(Unavailable),
    /// The instance follows another.
    NotLeading,
    /// The connection broke; a transaction without a statement is lost with it.
    Lost,
}

/// Ends what one request does for all that wait, also if the request itself is dropped.
struct Flight<'a> {
    worker: &'a Worker,
    service: &'a Arc<str>,
    end: fn(&mut Leadership),
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.worker.leadership(self.service, |l| {
            (self.end)(l);
            l.changed.notify_waiters();
        });
    }
}

impl Worker {
    fn finding<'a>(&'a self, service: &'a Arc<str>) -> Flight<'a> {
        Flight { worker: self, service, end: |l| l.is_finding = false }
    }

    fn sampling<'a>(&'a self, service: &'a Arc<str>) -> Flight<'a> {
        Flight { worker: self, service, end: |l| l.is_sampling = false }
    }
}
