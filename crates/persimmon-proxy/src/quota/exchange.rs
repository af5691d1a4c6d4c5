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

/// How many daemons a choice considers; after them, a daemon uses its own share.
const CANDIDATES: usize = 16;

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
    current: Option<SocketAddr>,
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

    /// The first candidate that is not passed over.
    fn choose(&mut self, now: Time, own: SocketAddr) -> SocketAddr {
        let is_usable = |address: &&SocketAddr| {
            **address == own || self.failed.get(*address).is_none_or(|(_, until)| *until <= now)
        };
        let chosen = self.candidates.iter().find(is_usable).copied().unwrap_or(own);
        if self.current != Some(chosen) {
            tracing::info!(coordinator = %chosen, before = self.current.map(|a| a.to_string()),
                "the quota coordinator of this daemon changed");
            self.current = Some(chosen);
        }
        chosen
    }

    fn record_failure(&mut self, now: Time, address: SocketAddr) {
        let (failures, until) = self.failed.entry(address).or_insert((0, now));
        let pause = PASS_OVER * 2_u32.saturating_pow((*failures).min(6));
        *failures += 1;
        *until = now + pause.min(MAX_PASS_OVER);
        tracing::info!(coordinator = %address, failures = *failures,
            "the quota coordinator does not answer and is passed over");
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
        if let Some(before) = before.filter(|_| leased_to != before) {
            tracing::info!(coordinator = %before,
                next = leased_to.map(|a| a.to_string()), "the lease of this daemon's share ended");
        }
    }
}

impl Worker {
    /// Answers a quota message of a daemon, as its coordinator. `None` if this daemon does not.
    pub(crate) fn answer_quota(&self, request: WireQuotaRequest) -> Option<WireQuotaAnswer> {
        if *self.stage.borrow() >= ShutdownStage::NotReady {
            return None;
        }
        let (request, member) = request.received();
        Some(self.coordinate(&request, member)?.into())
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
            choice.choose(now, own)
        } else {
            own
        };
        let Some(request) = quotas.member.borrow_mut().next_request(now, to) else {
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
        let worker = Rc::clone(self);
        ntex::rt::spawn(async move {
            let wire = WireQuotaRequest::new(&request, own);
            let answer = worker.call_quota(to, wire, CALL_TIMEOUT).await;
            let Some(quotas) = &worker.quotas else {
                return;
            };
            quotas.is_calling.set(false);
            match answer {
                Some(answer) => {
                    quotas.choice.borrow_mut().record_answer(to);
                    worker.receive_quota(quotas, now, to, &request, &answer.into());
                }
                None => quotas.choice.borrow_mut().record_failure(Clock.now(), to),
            }
            quotas.due.notify_one();
        });
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
        let member = quotas.member.borrow();
        let leased_to = member.leased_to(Clock.now()).filter(|a| *a != self.settings.peers);
        let wire = WireQuotaRequest::new(&member.leave(), self.settings.peers);
        drop(member);
        if let Some(coordinator) = leased_to {
            let answer = self.call_quota(coordinator, wire, LEAVE_TIMEOUT).await;
            tracing::info!(%coordinator, is_answered = answer.is_some(),
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
        let member = quotas.member.borrow();
        worker.metrics.quotas.update_tokens(|name| {
            let state = member.workspace(name)?;
            let age = state.granted_at.map(|at| now.since(at).as_millis());
            Some((state.held, age.and_then(|ms| u64::try_from(ms).ok())))
        });
    }
}
