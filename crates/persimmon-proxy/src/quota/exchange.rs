//! Exchanges quota messages with the coordinator, and acts as one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_ownership::Member as Daemon;
use persimmon_types::{Clock, Time, rendezvous_weight};
use persimmon_workspace::quota::{Answer, Fleet, RecordChange, Request};

use crate::metrics::Metrics;
use crate::peer_list::PeerList;
use crate::quota::{Quotas, WireQuotaAnswer, WireQuotaRequest, limit_of};
use crate::traffic::{ShutdownStage, Worker};

/// Longest time between two checks of whether something is due.
const TICK: Duration = Duration::from_millis(50);

/// The same while an operation waits for a token.
const WAITING_TICK: Duration = Duration::from_millis(10);

/// How often a coordinator checks whether the record is to be read or changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
    health: HashMap<SocketAddr, Health>,
}

/// What is known of a candidate.
#[derive(Clone, Copy, Debug)]
struct Health {
    /// Whether it answered the last message.
    has_answered: bool,
    /// Failures in a row.
    failures: u32,
    /// When it is asked again, if it did not answer.
    probe_at: Time,
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
        self.health.retain(|address, _| self.candidates.contains(address));
    }

    /// The first candidate that answers. One that was never asked is tried where nothing is lost by
    /// it. This daemon is one if it is registered, as it could not grant otherwise, and may learn its
    /// index from another.
    fn choose(&self, own: SocketAddr, is_registered: bool, has_lease: bool) -> SocketAddr {
        let is_usable = |address: &&SocketAddr| {
            if **address == own {
                return is_registered;
            }
            self.health.get(*address).map_or(!has_lease, |health| health.has_answered)
        };
        self.candidates.iter().find(is_usable).copied().unwrap_or(own)
    }

    /// A candidate before `chosen` that should be asked whether it answers.
    fn due_probe(&mut self, now: Time, own: SocketAddr, chosen: SocketAddr) -> Option<SocketAddr> {
        let before = self.candidates.iter().take_while(|address| **address != chosen);
        let is_due = |address: &&SocketAddr| {
            let health = self.health.get(*address);
            **address != own && health.is_none_or(|h| !h.has_answered && h.probe_at <= now)
        };
        let address = before.copied().find(|address| is_due(&address))?;
        let health = self.health.entry(address).or_insert(Health {
            has_answered: false,
            failures: 0,
            probe_at: now,
        });
        health.probe_at = now + PASS_OVER;
        Some(address)
    }

    fn record_failure(&mut self, now: Time, address: SocketAddr) {
        let failures = self.health.get(&address).map_or(0, |h| h.failures);
        let pause = PASS_OVER * 2_u32.saturating_pow(failures.min(6));
        let probe_at = now + pause.min(MAX_PASS_OVER);
        let health = Health { has_answered: false, failures: failures + 1, probe_at };
        self.health.insert(address, health);
        tracing::info!(coordinator = %address, failures = health.failures,
            "the quota coordinator does not answer and is passed over");
    }

    /// Records that a daemon answered that it cannot coordinate at present.
    fn record_unable(&mut self, now: Time, address: SocketAddr) {
        let probe_at = now + UNABLE_PAUSE;
        self.health.insert(address, Health { has_answered: false, failures: 0, probe_at });
    }

    fn record_answer(&mut self, now: Time, address: SocketAddr) {
        self.health.insert(address, Health { has_answered: true, failures: 0, probe_at: now });
    }
}

impl Quotas {
    /// Takes over what the control thread has read of the fleet, and lets member and coordinator know
    /// what the other one does.
    fn sync_fleet(&self, now: Time, own: &str) {
        let mut member = self.member.borrow_mut();
        let mut coordinator = self.coordinator.borrow_mut();
        let reads = self.fleet.reads();
        let is_same = member.fleet().version == coordinator.fleet().version
            && member.current_at() == coordinator.current_at()
            && member.index().is_some() == coordinator.is_registered();
        if is_same && self.synced.replace(reads) == reads {
            return;
        }
        let mut source = "member";
        let mut is_news = member.learn(coordinator.fleet(), None, coordinator.current_at());
        if let Some((fleet, read_at)) = self.fleet.read() {
            let is_read = member.learn(&fleet, self.fleet.index(own), Some(read_at));
            is_news |= is_read;
            source = if is_read { "store" } else { source };
        }
        self.fleet.learn(member.fleet());
        let is_registered = member.index().is_some();
        coordinator.set_fleet(now, member.fleet(), member.current_at(), is_registered);
        if is_news {
            log_fleet(member.fleet(), source);
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

fn log_fleet(fleet: &Fleet, source: &str) {
    tracing::info!(
        version = fleet.version,
        registered = fleet.registered(),
        floor = fleet.floor(),
        retiring = ?fleet.retiring(),
        source,
        "the size of the fleet is known"
    );
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
        let found = member.as_ref().and_then(|m| quotas.fleet.index(m));
        let index = request.index.or(found);
        let snapshot = self.snapshot();
        let limit = |name: &str| limit_of(&snapshot, name, &quotas.bounds);
        let mut coordinator = quotas.coordinator.borrow_mut();
        let answer = coordinator.handle(now, request, index, limit);
        let mut change = RecordChange::default();
        let mut needs_record = false;
        if now >= quotas.check_at.get() {
            quotas.check_at.set(now + CHECK_INTERVAL);
            change = coordinator.due_change(now);
            needs_record = coordinator.needs_record(now) || !change.is_empty(coordinator.fleet());
        }
        drop(coordinator);
        quotas.sync_fleet(now, &own);
        if quotas.member.borrow().index().is_none() {
            quotas.fleet.request(Some(own), RecordChange::default());
        }
        let unregistered = member.filter(|_| index.is_none());
        if unregistered.is_some() || needs_record {
            quotas.fleet.request(unregistered, change);
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
            let member = quotas.member.borrow();
            let (is_registered, has_lease) =
                (member.index().is_some(), member.leased_to(now).is_some());
            drop(member);
            let mut choice = quotas.choice.borrow_mut();
            choice.update(&self.peers);
            let chosen = choice.choose(own, is_registered, has_lease);
            if let Some(peer) = choice.due_probe(now, own, chosen) {
                ntex::rt::spawn(Rc::clone(self).probe_coordinator(peer));
            }
            chosen
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

    /// Asks a daemon whether it would coordinate, so that the share moves only to one that does.
    async fn probe_coordinator(self: Rc<Self>, peer: SocketAddr) {
        let Some(quotas) = &self.quotas else {
            return;
        };
        let request = quotas.member.borrow().probe(Clock.now());
        let wire = WireQuotaRequest::new(&request, self.settings.peers);
        Metrics::increment(&self.metrics.quota_messages);
        let answer = self.call_quota(peer, wire, CALL_TIMEOUT).await;
        let (now, mut choice) = (Clock.now(), quotas.choice.borrow_mut());
        match answer {
            Ok(Some(_)) => choice.record_answer(now, peer),
            Ok(None) => choice.record_unable(now, peer),
            Err(_) => choice.record_failure(now, peer),
        }
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
                quotas.choice.borrow_mut().record_answer(now, to);
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
            log_fleet(member.fleet(), "coordinator");
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
        let wire = WireQuotaRequest::new(&quotas.member.borrow().leave(Clock.now()), own);
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
