//! Samples of primaries' positions, shared between daemons.
//!
//! Where an instance allows fewer connections than there are daemons, two daemons sample each
//! primary for all. The receiving daemon subtracts a sample's age from the time at which it sent
//! its own request, so network delay makes the sample appear older, never younger.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use persimmon_balancing::PositionSample;
use persimmon_types::Clock;
use tarpc::context;
use tokio::sync::{Notify, mpsc};

use crate::peer_service::{PeerError, PeerServiceClient, SharedSample, connect};
use crate::traffic::Worker;

/// How long a daemon waits for a sample that a peer requested.
const SAMPLE_WAIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of the call: the same, plus a round trip between failure domains.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of daemons that sample one service for all others.
const SAMPLERS: usize = 2;

/// The newest sample of each service, for requests of peers.
#[derive(Debug)]
pub(crate) struct LatestSamples {
    newest: Mutex<HashMap<Arc<str>, PositionSample>>,
    added: Notify,
    requests: mpsc::Sender<Arc<str>>,
}

impl LatestSamples {
    /// Creates an empty set; services that need a new sample are sent to `requests`.
    pub(crate) fn new(requests: mpsc::Sender<Arc<str>>) -> Self {
        Self { newest: Mutex::default(), added: Notify::new(), requests }
    }

    /// Publishes a sample as the newest of its service.
    pub(crate) fn add(&self, service: &Arc<str>, sample: PositionSample) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.insert(Arc::clone(service), sample);
        self.added.notify_waiters();
    }

    fn newest(&self, service: &Arc<str>, max_age: Duration) -> Option<SharedSample> {
        let newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let sample = newest.get(service)?;
        let age = Clock.now().since(sample.requested_at);
        let age_us = u64::try_from(age.as_micros()).ok()?;
        (age <= max_age).then_some(SharedSample { position: sample.position, age_us })
    }

    /// The newest sample if it is recent enough, or else one that is taken now.
    pub(crate) async fn wait(&self, service: &Arc<str>, max_age: Duration) -> Option<SharedSample> {
        let deadline = Clock.now() + SAMPLE_WAIT_TIMEOUT;
        loop {
            let added = self.added.notified();
            if let Some(sample) = self.newest(service, max_age) {
                return Some(sample);
            }
            let left = deadline.since(Clock.now());
            if left.is_zero() {
                return None;
            }
            // A full channel holds other requests, each of which adds a sample when it is served.
            let _ = self.requests.try_send(Arc::clone(service));
            // A timeout only makes the loop check again.
            let _ = tokio::time::timeout(left, added).await;
        }
    }
}

/// Connections to the peers that sample for this daemon.
#[derive(Default)]
pub(crate) struct SamplerClients(RefCell<HashMap<SocketAddr, PeerServiceClient>>);

impl Worker {
    /// Requests a sample from a daemon that samples the service for others; returns whether it got
    /// one.
    pub(crate) async fn request_peer_sample(&self, service: &Arc<str>, max_age: Duration) -> bool {
        let samplers = self.peers.top(service, SAMPLERS);
        if samplers.contains(&self.settings.peers) {
            return false;
        }
        for sampler in samplers {
            let requested_at = Clock.now();
            let calling = self.call_sampler(sampler, service, max_age / 2);
            let answer = tokio::time::timeout(CALL_TIMEOUT, calling).await;
            match answer.unwrap_or(Err(PeerError::TimedOut)) {
                Ok(Some(sample)) => {
                    let requested_at = requested_at - Duration::from_micros(sample.age_us);
                    let sample = PositionSample { position: sample.position, requested_at };
                    self.add_peer_sample(service, sample);
                    return true;
                }
                Ok(None) => {}
                Err(err) => {
                    tracing::info!(%service, peer = %sampler, error = %err,
                        "a peer provided no position sample");
                    self.samplers.0.borrow_mut().remove(&sampler);
                }
            }
        }
        false
    }

    async fn call_sampler(
        &self,
        peer: SocketAddr,
        service: &Arc<str>,
        max_age: Duration,
    ) -> Result<Option<SharedSample>, PeerError> {
        let known = self.samplers.0.borrow().get(&peer).cloned();
        let client = match known {
            Some(client) => client,
            None => {
                let client = connect(&self.metrics, peer).await?;
                self.samplers.0.borrow_mut().insert(peer, client.clone());
                client
            }
        };
        let max_age_us = u64::try_from(max_age.as_micros()).unwrap_or(u64::MAX);
        Ok(client.sample(context::current(), Arc::clone(service), max_age_us).await?)
    }
}
