//! Exchanges quota messages with the coordinator, and acts as one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_ownership::Member as Daemon;
use persimmon_types::{Clock, Time, rendezvous_weight};
use persimmon_workspace::quota::{Answer, Request};

use crate::metrics::Metrics;
use crate::peer_list::PeerList;
use crate::quota::{Quotas, WireQuotaAnswer, WireQuotaRequest, limit_of};
use crate::traffic::{ShutdownStage, Worker};

/// Longest time between two checks of whether something is due.
const TICK: Duration = Duration::from_millis(50);

/// The same while an operation waits for a token.
const WAITING_TICK: Duration = Duration::from_millis(10);

/// How long a coordinator may take to answer: several round trips between failure domains, and less
/// than half of the time of a lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a coordinator that did not answer is passed over; doubled with each failure in a row.
const PASS_OVER: Duration = Duration::from_secs(1);

/// The longest time for which it is passed over.
const MAX_PASS_OVER: Duration = Duration::from_secs(8);

/// The key by which daemons of equal capacity are ranked.
const RANK_KEY: &str = "quota coordinator";

/// How long a daemon is passed over that cannot coordinate because it is not registered or shuts
/// down. A daemon registers within about this time.
const UNABLE_PAUSE: Duration = Duration::from_millis(500);

/// How many daemons a choice considers; after them, a daemon uses its own share.
const CANDIDATES: usize = 16;

/// How often the metrics of workspaces are updated.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// How long the last message of a process may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Chooses the daemon that coordinates.
#[derive(Debug, Default)]
pub(super) struct CoordinatorChoice {
    /// The version of the peers from which the candidates were determined.
    version: Option<u64>,
    candidates: Vec<SocketAddr>,
    /// Number of failures in a row, and until when the daemon is passed over.
    failed: HashMap<SocketAddr, (u32, Time)>,
}

impl CoordinatorChoice {
    fn update(&mut self, peers: &PeerList) {
        let version = peers.version();
        if self.version == Some(version) {
            return;
        }
        self.version = Some(version);
        let rank = |m: &Daemon| {
            let weight = rendezvous_weight(RANK_KEY, &m.address.to_string());
            (m.capacity, weight, m.address)
        };
        let mut ranked: Vec<(u32, u64, SocketAddr)> = peers.members().iter().map(rank).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(CANDIDATES);
        self.candidates = ranked.into_iter().map(|(_, _, address)| address).collect();
        self.failed.retain(|address, _| self.candidates.contains(address));
    }

    /// The first candidate that is not passed over. This daemon is one if it is registered, as it
    /// could not grant otherwise, and may learn its index from another.
    fn choose(&mut self, now: Time, own: SocketAddr, is_registered: bool) -> SocketAddr {
        let is_usable = |address: &&SocketAddr| {
            if **address == own {
                return is_registered;
            }
            self.failed.get(*address).is_none_or(|(_, until)| *until <= now)
        };
        self.candidates.iter().find(is_usable).copied().unwrap_or(own)
    }

    fn record_failure(&mut self, now: Time, address: SocketAddr) {
        let (failures, until) = self.failed.entry(address).or_insert((0, now));
        let pause = PASS_OVER * 2_u32.saturating_pow((*failures).min(6));
        *failures += 1;
        *until = now + pause.min(MAX_PASS_OVER);
        tracing::info!(coordinator = %address, failures = *failures,
            "the quota coordinator does not answer and is passed over");
    }

    /// Records that a daemon answered that it cannot coordinate at present.
    fn record_unable(&mut self, now: Time, address: SocketAddr) {
        self.failed.insert(address, (0, now + UNABLE_PAUSE));
    }

    fn record_answer(&mut self, address: SocketAddr) {
        self.failed.remove(&address);
    }
}

impl Quotas {
    /// Takes over what the control thread has read of the fleet.
    fn sync_fleet(&self, now: Time, own: &str) {
        let (size, index) = self.fleet.find(own);
        let mut member = self.member.borrow_mut();
        let is_news = member.learn(size, index);
        let (size, is_registered) = (member.size(), member.index().is_some());
        drop(member);
        self.coordinator.borrow_mut().set_fleet(now, size, is_registered);
        if is_news {
            tracing::info!(
                registered = size.registered,
                floor = size.floor,
                source = "store",
                "the size of the fleet is known"
            );
        }
    }

    fn log_lease(&self, now: Time) {
        let leased_to = self.member.borrow().leased_to(now);
        let before = self.logged_lease.replace(leased_to);
        if leased_to == before {
            return;
        }
        if let Some(coordinator) = leased_to {
            tracing::info!(%coordinator, "the quota coordinator of this daemon changed");
        } else if let Some(before) = before {
            tracing::info!(coordinator = %before, "the lease of this daemon's share ended");
        }
    }
}

impl Worker {
    /// Answers a quota message of a daemon, as its coordinator. `None` if this daemon does not.
    pub(crate) fn answer_quota(&self, request: WireQuotaRequest) -> Option<WireQuotaAnswer> {
        let (request, member) = request.received();
        // While this daemon shuts down, members may take their leases back.
        if *self.stage.borrow() >= ShutdownStage::NotReady && !request.is_leaving {
            return None;
        }
        let answer = self.coordinate(&request, member)?;
        let is_registered = self.quotas.as_ref()?.member.borrow().index().is_some();
        // A daemon that cannot grant is passed over.
        is_registered.then(|| answer.into())
    }

    fn coordinate(&self, request: &Request, member: Option<SocketAddr>) -> Option<Answer> {
        let quotas = self.quotas.as_ref()?;
        let now = Clock.now();
        let own: Arc<str> = Arc::from(self.settings.peers.to_string());
        quotas.sync_fleet(now, &own);
        let member: Option<Arc<str>> = member.map(|m| Arc::from(m.to_string()));
        let found = member.as_ref().and_then(|m| quotas.fleet.find(m).1);
        let index = request.index.or(found);
        let snapshot = self.snapshot();
        let limit = |name: &str| limit_of(&snapshot, name, &quotas.bounds);
        let mut coordinator = quotas.coordinator.borrow_mut();
        let answer = coordinator.handle(now, request, index, limit);
        let confirmed = coordinator.may_raise_floor().then_some(answer.size.registered);
        drop(coordinator);
        let mut own_state = quotas.member.borrow_mut();
        if own_state.learn(answer.size, None) {
            tracing::info!(
                registered = answer.size.registered,
                floor = answer.size.floor,
                source = "member",
                "the size of the fleet is known"
            );
        }
        if own_state.index().is_none() {
            quotas.fleet.request(Some(own), None);
        }
        if index.is_none() || confirmed.is_some() {
            quotas.fleet.request(member.filter(|_| index.is_none()), confirmed);
        }
        Some(answer)
    }

    /// Sends the message that is due, if one is.
    fn exchange_quota(self: &Rc<Self>, quotas: &Quotas) {
        let (now, own) = (Clock.now(), self.settings.peers);
        if quotas.is_calling.get() {
            return;
        }
        let to = if self.settings.forwarding.is_some() {
            let mut choice = quotas.choice.borrow_mut();
            choice.update(&self.peers);
            let is_registered = quotas.member.borrow().index().is_some();
            choice.choose(now, own, is_registered)
        } else {
            own
        };
        let mut member = quotas.member.borrow_mut();
        let release = member.next_release(now, to);
        let due = release.or_else(|| member.next_request(now, to).map(|request| (to, request)));
        drop(member);
        let Some((to, request)) = due else {
            return;
        };
        if to == own {
            let member = request.index.is_none().then_some(own);
            if let Some(answer) = self.coordinate(&request, member) {
                self.receive_quota(quotas, now, to, &request, &answer);
            }
            return;
        }
        quotas.is_calling.set(true);
        Metrics::increment(&self.metrics.quota_messages);
        ntex::rt::spawn(Rc::clone(self).call_coordinator(to, request, now));
    }

    async fn call_coordinator(self: Rc<Self>, to: SocketAddr, request: Request, sent_at: Time) {
        let wire = WireQuotaRequest::new(&request, self.settings.peers);
        let answer = self.call_quota(to, wire, CALL_TIMEOUT).await;
        let Some(quotas) = &self.quotas else {
            return;
        };
        quotas.is_calling.set(false);
        let now = Clock.now();
        match answer {
            Ok(Some(answer)) => {
                quotas.choice.borrow_mut().record_answer(to);
                self.receive_quota(quotas, sent_at, to, &request, &answer.into());
            }
            Ok(None) => {
                quotas.choice.borrow_mut().record_unable(now, to);
                if request.is_leaving {
                    quotas.member.borrow_mut().record_lost();
                }
            }
            Err(_) => {
                quotas.choice.borrow_mut().record_failure(now, to);
                quotas.member.borrow_mut().record_lost();
            }
        }
        quotas.due.notify_one();
    }

    fn receive_quota(
        &self,
        quotas: &Quotas,
        sent_at: Time,
        from: SocketAddr,
        request: &Request,
        answer: &Answer,
    ) {
        let now = Clock.now();
        let mut member = quotas.member.borrow_mut();
        if member.receive(now, sent_at, from, request, answer) {
            let size = member.size();
            tracing::info!(
                registered = size.registered,
                floor = size.floor,
                source = "coordinator",
                "the size of the fleet is known"
            );
        }
        drop(member);
        quotas.deliver();
    }

    /// Ends the lease of this daemon's share before the process ends.
    pub(crate) async fn hand_back_share(&self) {
        let Some(quotas) = &self.quotas else {
            return;
        };
        let own = self.settings.peers;
        let leased_to = quotas.member.borrow().leased_to(Clock.now()).filter(|a| *a != own);
        let wire = WireQuotaRequest::new(&quotas.member.borrow().leave(), own);
        if let Some(coordinator) = leased_to {
            let answer = self.call_quota(coordinator, wire, LEAVE_TIMEOUT).await;
            tracing::info!(%coordinator, is_answered = answer.is_ok(),
                "the lease of this daemon's share was handed back");
        }
    }
}

/// Exchanges messages with the coordinator until the process ends.
pub(crate) async fn run(worker: Rc<Worker>) {
    let Some(quotas) = &worker.quotas else {
        return;
    };
    let own: Arc<str> = Arc::from(worker.settings.peers.to_string());
    let mut published_at = Time::ZERO;
    loop {
        let is_waiting = !quotas.waiting.borrow().is_empty();
        let tick = if is_waiting { WAITING_TICK } else { TICK };
        // The timeout is the usual case.
        let _ = tokio::time::timeout(tick, quotas.due.notified()).await;
        let now = Clock.now();
        quotas.sync_fleet(now, &own);
        quotas.coordinator.borrow_mut().tick(now);
        quotas.member.borrow_mut().tick(now);
        quotas.deliver();
        quotas.log_lease(now);
        // Without workspaces in the table there is nothing to coordinate.
        let has_workspaces =
            worker.snapshot().table.as_ref().is_some_and(|t| t.workspaces.is_some());
        if has_workspaces {
            worker.exchange_quota(quotas);
        }
        if now.since(published_at) < PUBLISH_INTERVAL {
            continue;
        }
        published_at = now;
        let member = quotas.member.borrow();
        worker.metrics.quotas.update_tokens(|name| {
            let state = member.workspace(name)?;
            let age = state.granted_at.map(|at| now.since(at).as_millis());
            Some((state.held, age.and_then(|ms| u64::try_from(ms).ok())))
        });
    }
}
