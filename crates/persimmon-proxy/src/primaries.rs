//! The primary of each service, and samples of its log position.
//!
//! Invariants:
//!
//! - The directory and earlier answers are only hints; an instance is primary if it opens a
//!   read-write transaction.
//! - The time of a position sample is the time at which its request was sent.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use persimmon_balancing::{PositionSample, PositionSamples};
use persimmon_interfaces::{ErrorCode, Instance};
use persimmon_types::{Clock, Position, Time};
use tokio::sync::Notify;

use crate::connection::{Begin, ConnectionError, DesiredState};
use crate::metrics::Metrics;
use crate::pool::{PooledConnection, Unavailable};
use crate::snapshot::DirectoryEntry;
use crate::traffic::Worker;

/// How long one instance may take to answer whether it is primary.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause between two rounds of probing while no primary is found.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(60);

/// How long the directory's claim that an instance is primary is ignored after the instance turned
/// out not to be.
const DIRECTORY_DISTRUST: Duration = Duration::from_millis(1_000);

/// How long a request waits for a search or sample started by another request before it checks
/// again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What the traffic thread knows about the primary of one service.
#[derive(Debug, Default)]
pub(crate) struct PrimaryState {
    primary: Option<Arc<str>>,
    distrusted: HashMap<Arc<str>, Time>,
    is_searching: bool,
    is_sampling: bool,
    changed: Rc<Notify>,
    pub(crate) samples: PositionSamples,
}

impl PrimaryState {
    /// Whether the directory's claim that an instance is primary is ignored.
    fn is_distrusted(&self, id: &str, now: Time) -> bool {
        self.distrusted.get(id).is_some_and(|expiry| now < *expiry)
    }
}

impl Worker {
    fn primary_state<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut PrimaryState) -> T) -> T {
        f(self.primary_states.borrow_mut().entry(Arc::clone(service)).or_default())
    }

    /// Records a position that the primary reported; returns whether it covers every commit
    /// acknowledged before the request was sent.
    pub(crate) fn add_sample(
        &self,
        service: &Arc<str>,
        position: Option<Position>,
        requested_at: Time,
    ) -> bool {
        let Some(position) = position else {
            return false;
        };
        let sample = PositionSample { position, requested_at };
        let is_covering =
            self.primary_state(service, |state| state.samples.add(Clock.now(), sample));
        if is_covering {
            self.samples.add(service, sample);
        }
        is_covering
    }

    /// The position that the primary reported for a commit, if it bounds reads: every read at or
    /// above it sees the commit.
    pub(crate) fn covering_position(
        &self,
        service: &Arc<str>,
        position: Option<Position>,
        requested_at: Time,
    ) -> Option<Position> {
        position.filter(|_| self.add_sample(service, position, requested_at))
    }

    /// Records a position sample that a peer took and validated.
    pub(crate) fn add_peer_sample(&self, service: &Arc<str>, sample: PositionSample) {
        self.primary_state(service, |state| state.samples.add_verified(sample));
    }

    /// The instance that is believed to be primary, without probing.
    pub(crate) fn believed_primary(&self, service: &Arc<str>) -> Option<Arc<Instance>> {
        self.primary_where(service, |_| true)
    }

    /// The instance that is believed to be primary, unless its drain deadline has passed.
    fn available_primary(&self, service: &Arc<str>) -> Option<Arc<Instance>> {
        let now = Clock.now();
        self.primary_where(service, |entry| !entry.is_past_drain_deadline(now))
    }

    /// The primary that statements have shown, or else the one that declares itself, if it is
    /// eligible.
    fn primary_where(
        &self,
        service: &Arc<str>,
        is_eligible: impl Fn(&DirectoryEntry) -> bool,
    ) -> Option<Arc<Instance>> {
        let snapshot = self.snapshot();
        let now = Clock.now();
        let known = self.primary_state(service, |state| state.primary.clone());
        let known = known.and_then(|id| snapshot.instance(service, &id));
        if let Some(entry) = known.filter(|entry| is_eligible(entry)) {
            return Some(Arc::clone(&entry.instance));
        }
        let declared =
            snapshot.self_declared_primary(service).filter(|entry| is_eligible(entry))?;
        let id = &declared.instance.id;
        let is_distrusted = self.primary_state(service, |state| state.is_distrusted(id, now));
        (!is_distrusted).then(|| Arc::clone(&declared.instance))
    }

    /// Whether an instance's drain deadline has passed.
    pub(crate) fn is_past_drain_deadline(&self, instance: &Instance) -> bool {
        let snapshot = self.snapshot();
        let entry = snapshot.instance(&instance.service, &instance.id);
        entry.is_some_and(|entry| entry.is_past_drain_deadline(Clock.now()))
    }

    /// Records that an instance is not primary, or cannot be reached.
    pub(crate) fn record_not_primary(&self, service: &Arc<str>, instance: &Arc<str>, why: &str) {
        let now = Clock.now();
        let was_primary = self.primary_state(service, |state| {
            state.distrusted.insert(Arc::clone(instance), now + DIRECTORY_DISTRUST);
            let was_primary = state.primary.as_ref() == Some(instance);
            if was_primary {
                state.primary = None;
            }
            was_primary
        });
        if was_primary {
            tracing::info!(%service, %instance, why,
                "the instance is no longer believed to be primary");
        }
        self.suspect(service, instance);
    }

    /// Records that an instance is primary.
    pub(crate) fn record_primary(&self, service: &Arc<str>, instance: &Arc<str>) {
        let is_new = self.primary_state(service, |state| {
            state.distrusted.remove(instance);
            let is_new = state.primary.as_ref() != Some(instance);
            if is_new {
                state.primary = Some(Arc::clone(instance));
            }
            is_new
        });
        if is_new {
            tracing::info!(%service, %instance, "found the primary");
        }
    }

    /// The primary that new work may go to; probes all instances if none is known.
    pub(crate) async fn find_primary(
        &self,
        service: &Arc<str>,
        deadline: Time,
    ) -> Option<Arc<Instance>> {
        loop {
            if let Some(instance) = self.available_primary(service) {
                return Some(instance);
            }
            if Clock.now() >= deadline {
                return None;
            }
            let changed = self.primary_state(service, |state| {
                if state.is_searching {
                    return Some(Rc::clone(&state.changed));
                }
                state.is_searching = true;
                None
            });
            let Some(changed) = changed else {
                let searching = self.searching(service);
                self.probe_all(service).await;
                drop(searching);
                if self.available_primary(service).is_none() {
                    tokio::time::sleep(SEARCH_RETRY_DELAY.min(deadline.since(Clock.now()))).await;
                }
                continue;
            };
            // A timeout only makes the loop check again.
            let _ = tokio::time::timeout(RECHECK_INTERVAL, changed.notified()).await;
        }
    }

    async fn probe_all(&self, service: &Arc<str>) {
        let snapshot = self.snapshot();
        let now = Clock.now();
        let listed =
            snapshot.instances(service).iter().filter(|entry| !entry.is_past_drain_deadline(now));
        join_all(listed.map(|entry| self.probe_one(&entry.instance))).await;
    }

    async fn probe_one(&self, instance: &Arc<Instance>) {
        let deadline = Clock.now() + PROBE_TIMEOUT;
        // `open_primary_transaction` records the result.
        if let Ok(mut connection) =
            self.open_primary_transaction(instance, &DesiredState::default(), deadline).await
        {
            self.rollback(&mut connection).await;
        }
    }

    /// Opens a read-write transaction, which only a primary accepts, and records the result.
    pub(crate) async fn open_primary_transaction(
        &self,
        instance: &Arc<Instance>,
        desired: &DesiredState<'_>,
        deadline: Time,
    ) -> Result<PooledConnection, PrimaryTransactionError> {
        let service = &instance.service;
        let max_connections = self.max_connections(service);
        let mut connection =
            match self.pool.acquire(instance, desired, max_connections, deadline).await {
                Ok(connection) => connection,
                Err(why) => {
                    if why.is_unreachable() {
                        self.reachability.record_failure(&instance.id, Clock.now());
                        self.record_not_primary(
                            service,
                            &instance.id,
                            "the connection could not be opened",
                        );
                    }
                    return Err(PrimaryTransactionError::Unavailable(why));
                }
            };
        let desired = DesiredState {
            begin: Some(Begin { is_read_only: false, after: None }),
            ..desired.clone()
        };
        let requested_at = Clock.now();
        // None of these statements occupies a slot, so a missing answer indicates a failure.
        let left = deadline.since(requested_at).min(PROBE_TIMEOUT).max(Duration::from_millis(1));
        match connection.backend().apply_state(&desired, left).await {
            Ok(Some(answer)) => match answer.code() {
                None => {
                    self.record_primary(service, &instance.id);
                    self.reachability.record_answer(&instance.id, Clock.now());
                    self.add_sample(service, answer.position, requested_at);
                    Ok(connection)
                }
                Some(ErrorCode::ReadOnly) => {
                    self.record_not_primary(
                        service,
                        &instance.id,
                        "the instance follows another primary",
                    );
                    Err(PrimaryTransactionError::NotLeading)
                }
                Some(_) => Err(PrimaryTransactionError::Unavailable(Unavailable::Waited)),
            },
            Ok(None) => Err(PrimaryTransactionError::Lost),
            Err(ConnectionError::Refused(..)) => {
                Err(PrimaryTransactionError::Unavailable(Unavailable::Waited))
            }
            Err(err) => {
                self.record_connection_error(instance, &err);
                Err(PrimaryTransactionError::Lost)
            }
        }
    }

    /// Records that a connection failed while an answer was outstanding.
    pub(crate) fn record_connection_error(&self, instance: &Arc<Instance>, err: &ConnectionError) {
        Metrics::increment(&self.metrics.connections_lost);
        self.pool.load(&instance.id, |load| load.record_unreachable(Clock.now()));
        if err.is_broken() {
            self.reachability.record_failure(&instance.id, Clock.now());
        }
        let service = &instance.service;
        let is_primary = self.believed_primary(service).is_some_and(|p| p.id == instance.id);
        tracing::info!(%service, instance = %instance.id, error = %err,
            is_leader = is_primary, "a connection to an instance is lost");
        if is_primary {
            self.suspect(service, &instance.id);
        }
    }

    /// Rolls back a transaction, so that its connection can be used again.
    pub(crate) async fn rollback(&self, connection: &mut PooledConnection) {
        /// A rollback occupies no slot; an instance that takes longer is unhealthy.
        const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);
        let backend = connection.backend();
        let ended = match backend.send(&[persimmon_interfaces::Command::Rollback]) {
            Ok(()) => backend.answer(ROLLBACK_TIMEOUT).await.map(|_| ()),
            Err(err) => Err(err),
        };
        if let Err(err) = ended {
            // The connection is closed, which also rolls the transaction back.
            tracing::debug!(instance = %connection.instance.id, error = %err,
                "rollback got no answer");
        }
    }

    /// The lowest known position that covers every commit acknowledged before `since`; takes a new
    /// sample if none is known.
    pub(crate) async fn min_position(
        &self,
        service: &Arc<str>,
        since: Time,
        max_age: Duration,
        deadline: Time,
    ) -> Option<Position> {
        loop {
            let found = self.primary_state(service, |state| state.samples.min_position(since));
            if found.is_some() {
                return found;
            }
            if Clock.now() >= deadline {
                return None;
            }
            let changed = self.primary_state(service, |state| {
                if state.is_sampling {
                    return Some(Rc::clone(&state.changed));
                }
                state.is_sampling = true;
                None
            });
            if let Some(changed) = changed {
                // A timeout only makes the loop check again.
                let _ = tokio::time::timeout(RECHECK_INTERVAL, changed.notified()).await;
                continue;
            }
            self.sample(service, max_age, deadline).await;
        }
    }

    /// Samples the primary for a peer, unless a sample is already being taken.
    pub(crate) fn sample_for_peers(self: &Rc<Self>, service: &Arc<str>) {
        if self.primary_state(service, |state| std::mem::replace(&mut state.is_sampling, true)) {
            return;
        }
        let (worker, service) = (Rc::clone(self), Arc::clone(service));
        ntex::rt::spawn(async move {
            let sampling = worker.sampling(&service);
            worker.sample_directly(&service, Clock.now() + PROBE_TIMEOUT).await;
            drop(sampling);
        });
    }

    /// Gets a sample of the primary's position; the caller must have set `is_sampling`.
    async fn sample(&self, service: &Arc<str>, max_age: Duration, deadline: Time) {
        let sampling = self.sampling(service);
        let is_scarce = self.believed_primary(service).is_some_and(|primary| {
            self.pool.is_scarce(&primary.id, Clock.now()) && !self.pool.has_idle(&primary.id)
        });
        // In a fleet that has just started, the sampling peers are as busy as this daemon, so they
        // are asked only if the primary accepts no more connections.
        let asks_peers_first = is_scarce && self.peers.daemon_count().is_some();
        if !asks_peers_first || !self.request_peer_sample(service, max_age).await {
            let is_taken =
                self.sample_directly(service, deadline.min(Clock.now() + PROBE_TIMEOUT * 2)).await;
            if !is_taken && is_scarce && !asks_peers_first {
                self.request_peer_sample(service, max_age).await;
            }
        }
        drop(sampling);
    }

    /// Samples the primary's position; returns whether the primary answered.
    async fn sample_directly(&self, service: &Arc<str>, deadline: Time) -> bool {
        Metrics::increment(&self.metrics.samples);
        // A sample is no new work, so that it may come from a primary that leaves.
        let primary = match self.believed_primary(service) {
            Some(primary) => Some(primary),
            None => self.find_primary(service, deadline).await,
        };
        let Some(primary) = primary else {
            return false;
        };
        match self.open_primary_transaction(&primary, &DesiredState::default(), deadline).await {
            Ok(mut connection) => {
                self.rollback(&mut connection).await;
                true
            }
            Err(why) => {
                tracing::debug!(%service, instance = %primary.id, ?why,
                    "sampling the primary's position failed");
                tokio::time::sleep(Duration::from_millis(5)).await;
                false
            }
        }
    }

    /// Samples the primary's position in the background if later reads will need it and a
    /// connection is idle; a read that finds no usable sample takes one itself.
    pub(crate) fn refresh_sample(self: &Rc<Self>, service: &Arc<str>, max_age: Duration) {
        let now = Clock.now();
        let primary = self.believed_primary(service);
        let has_idle = primary.is_some_and(|p| self.pool.has_idle(&p.id));
        let is_due = self.primary_state(service, |state| {
            let is_due = has_idle && !state.is_sampling && state.samples.is_due(now, max_age);
            state.is_sampling |= is_due;
            is_due
        });
        if !is_due {
            return;
        }
        let (worker, service) = (Rc::clone(self), Arc::clone(service));
        ntex::rt::spawn(async move { worker.sample(&service, max_age, now + max_age).await });
    }
}

/// Why a transaction could not be opened on the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PrimaryTransactionError {
    /// No connection was available.
    Unavailable(Unavailable),
    /// The instance is not primary.
    NotLeading,
    /// The connection failed; the transaction had no statement yet and is rolled back with it.
    Lost,
}

/// Marks a search or sample as finished and wakes all waiters, even if the request that runs it is
/// dropped.
struct InProgressGuard<'a> {
    worker: &'a Worker,
    service: &'a Arc<str>,
    end: fn(&mut PrimaryState),
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.worker.primary_state(self.service, |state| {
            (self.end)(state);
            state.changed.notify_waiters();
        });
    }
}

impl Worker {
    fn searching<'a>(&'a self, service: &'a Arc<str>) -> InProgressGuard<'a> {
        InProgressGuard { worker: self, service, end: |state| state.is_searching = false }
    }

    fn sampling<'a>(&'a self, service: &'a Arc<str>) -> InProgressGuard<'a> {
        InProgressGuard { worker: self, service, end: |state| state.is_sampling = false }
    }
}
