//! Samples of primaries' logs that daemons share.
//!
//! Where connections are fewer than daemons, two daemons sample each primary for all. The age of a
//! sample is counted from before the question of the daemon that asks for it, so that the time on
//! the way makes it older, never younger.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use persimmon_place::Sample;
use persimmon_types::Clock;
use tarpc::context;
use tokio::sync::{Notify, mpsc};

use crate::peer_service::{PeerError, PeerServiceClient, SharedSample, connect};
use crate::traffic::Worker;

/// How long a daemon waits for a sample that another one asked it for.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// How long the answer may take: the same, and the way there and back between failure domains.
const ASK_LIMIT: Duration = Duration::from_millis(300);

/// Daemons that sample one service for all.
const SAMPLERS: usize = 2;

/// The newest sample of each service, for peers that ask.
#[derive(Debug)]
pub(crate) struct SampleBoard {
    newest: Mutex<HashMap<Arc<str>, Sample>>,
    added: Notify,
    wanted: mpsc::Sender<Arc<str>>,
}

impl SampleBoard {
    /// Creates a board; the services of which a sample is wanted go to `wanted`.
    pub(crate) fn new(wanted: mpsc::Sender<Arc<str>>) -> Self {
        Self { newest: Mutex::default(), added: Notify::new(), wanted }
    }

    /// Lays out a sample.
    pub(crate) fn add(&self, service: &Arc<str>, sample: Sample) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.insert(Arc::clone(service), sample);
        self.added.notify_waiters();
    }

    fn newest(&self, service: &Arc<str>, max_age: Duration) -> Option<SharedSample> {
        let newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let sample = newest.get(service)?;
        let age = Clock.now().since(sample.asked_at);
        let age_us = u64::try_from(age.as_micros()).ok()?;
        (age <= max_age).then_some(SharedSample { position: sample.position, age_us })
    }

    /// The newest sample if it is young enough, or one that is taken now.
    pub(crate) async fn wait(&self, service: &Arc<str>, max_age: Duration) -> Option<SharedSample> {
        let until = Clock.now() + ANSWER_LIMIT;
        loop {
            let added = self.added.notified();
            if let Some(sample) = self.newest(service, max_age) {
                return Some(sample);
            }
            let left = until.since(Clock.now());
            if left.is_zero() {
                return None;
            }
            // A full channel holds requests that will add samples as well.
            let _ = self.wanted.try_send(Arc::clone(service));
            // Running out of time here only means to look again.
            let _ = tokio::time::timeout(left, added).await;
        }
    }
}

/// Connections to the peers that sample for this daemon.
#[derive(Default)]
pub(crate) struct SamplerClients(RefCell<HashMap<SocketAddr, PeerServiceClient>>);

impl Worker {
    /// Gets a sample from a daemon that samples the service for others; returns whether one came.
    pub(crate) async fn borrow_sample(&self, service: &Arc<str>, max_age: Duration) -> bool {
        let samplers = self.peers.samplers(service, SAMPLERS);
        if samplers.contains(&self.settings.peers) {
            return false;
        }
        for sampler in samplers {
            let asked_at = Clock.now();
            let asking = self.ask_sampler(sampler, service, max_age / 2);
            let answer = tokio::time::timeout(ASK_LIMIT, asking).await;
            match answer.unwrap_or(Err(PeerError::TimedOut)) {
                Ok(Some(sample)) => {
                    let asked_at = asked_at - Duration::from_micros(sample.age_us);
                    let sample = Sample { position: sample.position, asked_at };
                    self.add_proven(service, sample);
                    return true;
                }
                Ok(None) => {}
                Err(err) => {
                    tracing::info!(%service, peer = %sampler, error = %err, "no sample of a peer");
                    self.samplers.0.borrow_mut().remove(&sampler);
                }
            }
        }
        false
    }

    async fn ask_sampler(
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
