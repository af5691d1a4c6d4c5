//! The connections of one simulated daemon to one instance, as the pool of the proxy keeps them.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use persimmon_balancing::{
    AdmissionController, ConnectionCounts, ConnectionLimits, HandshakeLimiter,
    IdleConnectionPolicy, InstanceLoad, OpeningDecision, WorkspaceConnections, WorkspaceLimits,
    WorkspaceName,
};
use persimmon_types::Time;

use super::OWNERS;
use super::instance::{CAP, SLOTS};

const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
const VANISHED_PERIOD: Duration = Duration::from_secs(3);
const RECHECK: Duration = Duration::from_millis(40);
const FREQUENCY_HALF_LIFE_S: f64 = 15.0;

/// How the connection is chosen that is closed for another workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// As before there was a decision: the oldest idle one, limits that do not count idle ones.
    Placeholder,
    /// `WorkspaceConnections::decide`.
    MarginalValue,
    /// The same with the least recently used connection.
    LeastRecentlyUsed,
    /// The same with the least frequently used workspace, where older uses count for less.
    LeastFrequentlyUsed,
}

/// What a waiting operation finds.
pub enum Poll {
    Taken,
    GivenUp,
    Waiting,
    Opens { has_closed: bool },
}

pub struct Pool {
    policy: Policy,
    started: Time,
    /// The least recently used first.
    idle: Vec<(WorkspaceName, Time)>,
    counts: ConnectionCounts,
    idle_policy: IdleConnectionPolicy,
    connections: WorkspaceConnections,
    frequencies: HashMap<WorkspaceName, (f64, Time)>,
    waiting: VecDeque<(usize, WorkspaceName)>,
    refused_until: Time,
    next_poll: u64,
    pub load: InstanceLoad,
    pub admission: AdmissionController,
}

impl Pool {
    pub fn new(policy: Policy, started: Time) -> Self {
        let mut idle_policy = IdleConnectionPolicy::new();
        idle_policy.set_share(CAP, Some(OWNERS));
        let mut admission = AdmissionController::new();
        admission.set_share(SLOTS as u32, Some(OWNERS));
        Self {
            policy,
            started,
            idle: Vec::new(),
            counts: ConnectionCounts::default(),
            idle_policy,
            connections: WorkspaceConnections::new(),
            frequencies: HashMap::new(),
            waiting: VecDeque::new(),
            refused_until: Time::ZERO,
            next_poll: 0,
            load: InstanceLoad::new(),
            admission,
        }
    }

    fn limits(&self, now: Time) -> WorkspaceLimits {
        WorkspaceLimits::of_owner(CAP, SLOTS, OWNERS, self.started, now)
            .with_congestion(self.admission.is_throttling())
    }

    pub fn begin(&mut self, now: Time, operation: usize, name: &WorkspaceName) {
        let frequency = self.frequency(now, name) + 1.0;
        self.frequencies.insert(name.clone(), (frequency, now));
        self.connections.record_arrival(now, name);
        self.connections.begin_wait(now, name);
        self.waiting.push_back((operation, name.clone()));
    }

    fn frequency(&self, now: Time, name: &WorkspaceName) -> f64 {
        let Some((count, at)) = self.frequencies.get(name) else {
            return 0.0;
        };
        count * 0.5_f64.powf(now.since(*at).as_secs_f64() / FREQUENCY_HALF_LIFE_S)
    }

    pub fn waiting(&self, count: usize) -> Vec<usize> {
        self.waiting.iter().take(count).map(|(operation, _)| *operation).collect()
    }

    fn end_wait(&mut self, now: Time, operation: usize, is_served: bool) {
        let index = self.waiting.iter().position(|(other, _)| *other == operation);
        let (_, name) = self.waiting.remove(index.expect("it waits")).expect("it waits");
        self.connections.end_wait(now, &name, is_served);
    }

    pub fn poll(
        &mut self,
        now: Time,
        operation: usize,
        name: &WorkspaceName,
        is_late: bool,
    ) -> Poll {
        if let Some(index) = self.idle.iter().rposition(|(other, _)| other == name) {
            self.idle.remove(index);
            self.counts.checked_out += 1;
            self.connections.record_taken(name);
            self.end_wait(now, operation, true);
            return Poll::Taken;
        }
        if is_late {
            self.end_wait(now, operation, false);
            return Poll::GivenUp;
        }
        if now < self.refused_until {
            return Poll::Waiting;
        }
        if self.policy == Policy::Placeholder {
            return self.poll_placeholder(now, name);
        }
        self.connections.set_idle(self.idle.iter().map(|(name, _)| name));
        let mut limits = self.limits(now);
        if now < self.refused_until + VANISHED_PERIOD {
            limits = limits.without_growth();
        }
        let decision = self.connections.decide(now, name, &limits);
        let victim = match decision {
            OpeningDecision::Wait => return Poll::Waiting,
            OpeningDecision::Open => None,
            OpeningDecision::Replace(victim) => Some(self.victim(now, name, victim)),
        };
        if let Some(victim) = &victim {
            self.close_one(victim);
        }
        self.counts.opening += 1;
        self.connections.record_opening(now, name, &self.limits(now));
        Poll::Opens { has_closed: victim.is_some() }
    }

    /// The workspace whose connection is closed.
    fn victim(&self, now: Time, own: &WorkspaceName, decided: WorkspaceName) -> WorkspaceName {
        let is_awaited = |name: &WorkspaceName| self.waiting.iter().any(|(_, n)| n == name);
        let mut others = self.idle.iter().filter(|(n, _)| n != own && !is_awaited(n));
        let frequency = |name: &WorkspaceName| self.frequency(now, name);
        let chosen = match self.policy {
            Policy::LeastRecentlyUsed => others.min_by_key(|(_, used_at)| *used_at),
            Policy::LeastFrequentlyUsed => {
                others.min_by(|(a, _), (b, _)| frequency(a).total_cmp(&frequency(b)))
            }
            Policy::MarginalValue | Policy::Placeholder => {
                others.find(|(name, _)| *name == decided)
            }
        };
        chosen.map_or(decided, |(name, _)| name.clone())
    }

    fn close_one(&mut self, name: &WorkspaceName) {
        let index = self.idle.iter().position(|(other, _)| other == name);
        self.idle.remove(index.expect("an idle connection of the workspace is present"));
    }

    fn poll_placeholder(&mut self, now: Time, name: &WorkspaceName) -> Poll {
        let limits = ConnectionLimits { max_connections: CAP, slots: SLOTS, sharers: OWNERS };
        if !self.counts.may_open(limits, self.admission.is_throttling()) {
            return Poll::Waiting;
        }
        self.counts.opening += 1;
        let is_full = self.idle.len() >= self.idle_policy.max_idle(now).max(1);
        let oldest = self.idle.iter().position(|(other, _)| other != name).filter(|_| is_full);
        if let Some(index) = oldest {
            self.idle.remove(index);
        }
        Poll::Opens { has_closed: oldest.is_some() }
    }

    pub fn pin(&mut self, name: &WorkspaceName) {
        self.counts.pinned += 1;
        self.connections.record_pinned(name);
    }

    pub fn release(&mut self, now: Time, name: &WorkspaceName, was_pinned: bool, held: Duration) {
        self.counts.checked_out -= 1;
        self.counts.pinned -= usize::from(was_pinned);
        self.connections.record_returned(name, was_pinned, held);
        self.idle.push((name.clone(), now));
    }

    pub fn opened(&mut self, now: Time, name: &WorkspaceName, wait_ms: f64) {
        self.admission.record_wait(now, wait_ms);
        self.counts.opening -= 1;
        self.connections.record_opened(name);
        self.idle.push((name.clone(), now));
    }

    pub fn refused(&mut self, now: Time, name: &WorkspaceName) {
        self.counts.opening -= 1;
        self.connections.record_opened(name);
        self.idle_policy.record_refusal(now);
        self.refused_until = now + REFUSAL_BACKOFF;
    }

    /// Whether a statement of the workspace need not wait for a handshake.
    pub fn is_connected(&self, name: &WorkspaceName) -> bool {
        let is_idle = self.idle.iter().any(|(other, _)| other == name);
        is_idle || self.policy != Policy::Placeholder && self.connections.is_soon_free(name)
    }

    /// Time until waiting operations check again; `None` if none waits.
    pub fn time_to_poll(&self, now: Time) -> Option<Duration> {
        if self.waiting.is_empty() {
            return None;
        }
        let opening = self.connections.time_to_opening(now);
        let is_paced = self.policy != Policy::Placeholder && !opening.is_zero();
        Some(if is_paced { opening.min(RECHECK) } else { RECHECK })
    }

    /// Whether a check at `time` is not planned yet.
    pub fn plan_poll(&mut self, time: u64) -> bool {
        let is_new = self.next_poll < time && self.next_poll + 1_000 < time;
        if is_new {
            self.next_poll = time;
        }
        is_new
    }

    /// Closes what is idle for too long or too much; returns the number of connections closed.
    pub fn sweep(&mut self, now: Time) -> usize {
        let before = self.idle.len();
        if self.policy == Policy::Placeholder {
            let surplus = before.saturating_sub(self.idle_policy.max_idle(now));
            let timeout = self.idle_policy.idle_timeout(now);
            let mut index = 0;
            self.idle.retain(|(_, used_at)| {
                let idle_for = now.since(*used_at);
                let is_surplus = index < surplus && idle_for > timeout;
                index += 1;
                !is_surplus && idle_for < Duration::from_secs(25)
            });
            return before - self.idle.len();
        }
        self.idle.retain(|(_, used_at)| now.since(*used_at) < Duration::from_secs(45));
        self.connections.set_idle(self.idle.iter().map(|(name, _)| name));
        if let Some(name) = self.connections.surplus(now, &self.limits(now)) {
            self.close_one(&name);
        }
        before - self.idle.len()
    }
}

/// The limit of concurrent handshakes of one daemon with all instances, which applies where there
/// are no workspaces.
pub struct HandshakeQueue {
    pub waiting: VecDeque<(usize, usize)>,
    running: Vec<u32>,
    limiter: HandshakeLimiter,
}

impl HandshakeQueue {
    pub fn new() -> Self {
        Self { waiting: VecDeque::new(), running: Vec::new(), limiter: HandshakeLimiter::new() }
    }

    pub fn next(&mut self) -> Option<(usize, usize)> {
        let most = HandshakeLimiter::max_concurrent();
        let permits = most / self.limiter.concurrency();
        if self.running.iter().sum::<u32>() + permits > most {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running.push(permits);
        Some(next)
    }

    pub fn end(&mut self) {
        self.running.pop();
    }

    /// Records a finished handshake; returns for how long it waited for a slot, in ms.
    pub fn record(&mut self, took_us: u64, has_capacity: bool) -> f64 {
        self.end();
        self.limiter.record_handshake(took_us as f64 / 1_000.0, has_capacity)
    }
}
