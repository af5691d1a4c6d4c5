//! Connections to the daemons that own services, one for each daemon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmon_balancing::AttemptKind;
use persimmon_ownership::{HopFailure, LinkHealth};
use persimmon_types::{Clock, Time};
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::forwarding::frame::frame;
use crate::forwarding::service::{ForwardServiceClient, Refusal};
use crate::metrics::Metrics;
use crate::peer_json::MAX_CALL_TIME;
use crate::statement_job::StatementJob;

/// How long a daemon may take to accept a connection: several round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How often connections with outstanding requests are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a ping may take before the connection is closed.
const PING_LIMIT: Duration = Duration::from_secs(2);

/// Added to a statement's deadline for its answer to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// How long a bound of the difference of two clocks is kept; they may drift apart by a millisecond
/// within it.
const MAX_LEAD_AGE: Duration = Duration::from_secs(10);

/// Share of a read's remaining time after which another path is tried.
const READ_HOP_SHARE: f64 = 0.7;

/// How long an answer is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// Until the other daemon seems to have failed: the statement may run twice.
    WhileAnswering,
    /// Until the deadline, because the statement must not be started again.
    UntilDeadline,
}

impl Patience {
    /// The patience for a kind of attempt.
    pub(super) fn of(attempt: AttemptKind) -> Self {
        if attempt == AttemptKind::Read { Self::WhileAnswering } else { Self::UntilDeadline }
    }
}

/// The connection to one daemon, which is opened on first use and again after it failed.
pub(super) struct Link {
    /// The daemon's address for other daemons.
    peer: SocketAddr,
    /// Its address for forwarded statements.
    address: SocketAddr,
    metrics: Arc<Metrics>,
    health: Cell<LinkHealth>,
    client: RefCell<Option<ForwardServiceClient>>,
    is_connecting: Cell<bool>,
    was_silent: Cell<bool>,
    next_transaction: Cell<u64>,
    /// How far the daemon's clock is ahead of this one's at least, and when that was learned.
    clock_lead: Cell<Option<(i128, Time)>>,
    /// Notified when the connection was opened or failed, and when the daemon falls silent.
    changed: Notify,
}

impl Link {
    fn update(&self, f: impl FnOnce(&mut LinkHealth)) {
        let mut health = self.health.get();
        f(&mut health);
        self.health.set(health);
    }

    /// A number for a transaction, unique on this link.
    pub(super) fn next_transaction(&self) -> u64 {
        let number = self.next_transaction.get();
        self.next_transaction.set(number + 1);
        number
    }

    /// The client of the open connection.
    pub(super) fn open_client(&self) -> Option<ForwardServiceClient> {
        self.client.borrow().clone()
    }

    /// The client, after connecting if necessary.
    pub(super) async fn client(self: &Rc<Self>) -> Option<ForwardServiceClient> {
        if let Some(client) = self.open_client() {
            return Some(client);
        }
        let changed = self.changed.notified();
        if !self.is_connecting.replace(true) {
            ntex::rt::spawn(Rc::clone(self).connect());
        }
        // After a timeout, the statement takes another path.
        let _ = tokio::time::timeout(CONNECT_TIMEOUT, changed).await;
        self.open_client()
    }

    async fn connect(self: Rc<Self>) {
        Metrics::increment(&self.metrics.peer_connections);
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let transport = match connecting.await {
            Ok(Ok(stream)) => frame(stream, None).map_err(|err| err.to_string()),
            Ok(Err(err)) => Err(err.to_string()),
            Err(_) => Err("not accepted in time".to_owned()),
        };
        self.is_connecting.set(false);
        match transport {
            Ok(transport) => {
                let new = ForwardServiceClient::new(Config::default(), transport);
                *self.client.borrow_mut() = Some(new.client);
                self.changed.notify_waiters();
                tracing::info!(peer = %self.peer, "connected to an owner of services");
                let ended = new.dispatch.await;
                tracing::info!(peer = %self.peer, error = ended.err().map(|e| e.to_string()),
                    "the connection to an owner of services ended");
            }
            Err(problem) => {
                tracing::info!(peer = %self.peer, problem,
                    "connecting to an owner of services failed");
            }
        }
        self.close();
    }

    fn close(&self) {
        *self.client.borrow_mut() = None;
        self.clock_lead.set(None);
        self.update(|health| health.record_failure(Clock.now()));
        self.changed.notify_waiters();
    }

    /// The context of a call for a statement.
    pub(super) fn context(&self, job: &StatementJob<'_>) -> Context {
        self.update(|health| health.record_sent(Clock.now()));
        context_until(job.deadline.since(Clock.now()) + ANSWER_MARGIN)
    }

    /// The context of a call that is not for a statement.
    pub(super) fn short_context(&self, limit: Duration) -> Context {
        self.update(|health| health.record_sent(Clock.now()));
        context_until(limit)
    }

    /// Records a time of the daemon's clock, in microseconds, that has just been received.
    pub(super) fn record_clock(&self, clock_us: u64) {
        let now = Clock.now();
        let lead = i128::from(clock_us) - i128::from(now.as_micros());
        // The answer with the shortest delay gives the most precise bound.
        let is_better = |(best, at): (i128, Time)| lead >= best || now.since(at) > MAX_LEAD_AGE;
        if clock_us > 0 && self.clock_lead.get().is_none_or(is_better) {
            self.clock_lead.set(Some((lead, now)));
        }
    }

    /// A time on the daemon's clock, in microseconds, that is not after `time`; `None` if the
    /// daemon does not tell its clock.
    pub(super) async fn peer_time(&self, client: &ForwardServiceClient, time: Time) -> Option<u64> {
        if self.clock_lead.get().is_none() {
            let limit = CONNECT_TIMEOUT;
            let calling = client.clock(self.short_context(limit));
            let deadline = Clock.now() + limit;
            let answer = self.wait(calling, deadline, Patience::UntilDeadline).await;
            self.record_clock(answer.ok()?);
        }
        let (lead, _) = self.clock_lead.get()?;
        u64::try_from(i128::from(time.as_micros()) + lead).ok()
    }

    /// Waits for the answer to a call whose context is from [`Self::context`].
    pub(super) async fn wait<T>(
        &self,
        calling: impl Future<Output = Result<T, RpcError>>,
        deadline: Time,
        patience: Patience,
    ) -> Result<T, HopFailure> {
        let outstanding = OutstandingGuard { link: self, was_answered: Cell::new(false) };
        let left = deadline.since(Clock.now());
        let limit = match patience {
            Patience::WhileAnswering => left.mul_f64(READ_HOP_SHARE),
            Patience::UntilDeadline => left + ANSWER_MARGIN,
        };
        tokio::pin!(calling);
        let timeout = tokio::time::sleep(limit);
        tokio::pin!(timeout);
        loop {
            let changed = self.changed.notified();
            tokio::select! {
                biased;
                answer = &mut calling => {
                    outstanding.was_answered.set(answer.is_ok());
                    return answer.map_err(|err| hop_failure(&err));
                }
                () = &mut timeout => return Err(HopFailure::Unanswered),
                () = changed, if patience == Patience::WhileAnswering => {
                    if self.health.get().is_silent(Clock.now()) {
                        return Err(HopFailure::Unanswered);
                    }
                }
            }
        }
    }

    /// Records that the daemon refused to run a statement.
    pub(super) fn record_refusal(&self, refusal: Refusal) {
        if refusal == Refusal::Draining {
            self.update(|health| health.record_draining(Clock.now()));
        }
        tracing::info!(peer = %self.peer, ?refusal, "an owner of services refused a statement");
    }

    /// Rolls a transaction back in the background.
    pub(super) fn rollback(&self, transaction: u64) {
        let Some(client) = self.open_client() else {
            return;
        };
        let peer = self.peer;
        ntex::rt::spawn(async move {
            if let Err(err) = client.rollback(context_until(PING_LIMIT), transaction).await {
                // The daemon also rolls it back when the connection ends.
                tracing::debug!(%peer, transaction, error = %err, "rollback got no answer");
            }
        });
    }

    /// Sends a ping if one is due, and wakes waiting reads if the daemon has fallen silent.
    fn check(self: &Rc<Self>, now: Time) {
        let health = self.health.get();
        let is_silent = health.is_silent(now);
        if is_silent && !self.was_silent.replace(true) {
            tracing::info!(peer = %self.peer, "an owner of services does not answer");
            self.changed.notify_waiters();
        }
        if !is_silent {
            self.was_silent.set(false);
        }
        if !health.needs_ping(now) {
            return;
        }
        let Some(client) = self.open_client() else {
            return;
        };
        self.update(|health| health.record_ping(now));
        let link = Rc::clone(self);
        ntex::rt::spawn(async move {
            match client.ping(context_until(PING_LIMIT)).await {
                Ok(()) => link.update(|health| health.record_pong(Clock.now())),
                Err(err) => {
                    tracing::info!(peer = %link.peer, error = %err, "a ping got no answer");
                    // A daemon that was silent for this long may have lost the connection.
                    link.close();
                }
            }
        });
    }
}

fn context_until(left: Duration) -> Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + left.min(MAX_CALL_TIME);
    cx
}

fn hop_failure(err: &RpcError) -> HopFailure {
    match err {
        // The daemon had too many requests of this one, and did not start it.
        RpcError::Server(err) if err.kind == std::io::ErrorKind::WouldBlock => {
            HopFailure::NotForwarded
        }
        _ => HopFailure::Unanswered,
    }
}

/// Counts a request as outstanding until dropped.
struct OutstandingGuard<'a> {
    link: &'a Link,
    was_answered: Cell<bool>,
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        let now = Clock.now();
        if self.was_answered.get() {
            self.link.update(|health| health.record_answer(now));
        } else {
            self.link.update(LinkHealth::record_abandoned);
        }
    }
}

/// The links of the traffic thread.
pub(crate) struct Links {
    metrics: Arc<Metrics>,
    by_peer: RefCell<HashMap<SocketAddr, Rc<Link>>>,
}

impl Links {
    /// Creates an empty set of links.
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self { metrics, by_peer: RefCell::default() }
    }

    /// Whether statements may be forwarded to a daemon.
    pub(super) fn is_usable(&self, peer: SocketAddr, now: Time) -> bool {
        self.by_peer.borrow().get(&peer).is_none_or(|link| link.health.get().is_usable(now))
    }

    /// The link to a daemon that accepts forwarded statements at `address`.
    pub(super) fn link(&self, peer: SocketAddr, address: SocketAddr) -> Rc<Link> {
        let mut by_peer = self.by_peer.borrow_mut();
        let link = by_peer.entry(peer).or_insert_with(|| {
            Rc::new(Link {
                peer,
                address,
                metrics: Arc::clone(&self.metrics),
                health: Cell::new(LinkHealth::new(Clock.now())),
                client: RefCell::default(),
                is_connecting: Cell::new(false),
                was_silent: Cell::new(false),
                next_transaction: Cell::new(0),
                clock_lead: Cell::default(),
                changed: Notify::new(),
            })
        });
        Rc::clone(link)
    }

    /// Checks the links until the process ends.
    pub(super) async fn check(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = Clock.now();
            let links: Vec<Rc<Link>> = self.by_peer.borrow().values().cloned().collect();
            for link in links {
                link.check(now);
            }
        }
    }
}
