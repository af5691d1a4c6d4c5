//! The state of a daemon that leases its share and spends tokens.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

use crate::quota::account::{Account, Decision, Token};
use crate::quota::fleet::Fleet;
use crate::quota::limit::{LEASE_TIME, Limit};
use crate::quota::message::{Answer, Claim, Request, Want};
use crate::quota::registration::Registration;

/// How often a lease is renewed: twice within its time, so that one lost message does not end it.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How old a stamp may be to rest a lease on it.
const MAX_STAMP_AGE: Duration = Duration::from_millis(600);

/// Shortest interval between two messages that only fill up the balance.
const TOP_UP_INTERVAL: Duration = Duration::from_millis(50);

/// How long a workspace without operations is remembered.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Workspaces in one message; the rest follows in the next one.
const MAX_WANTS: usize = 500;

/// One process that coordinates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    address: SocketAddr,
    incarnation: u32,
}

/// The latest answer of a coordinator.
#[derive(Clone, Copy, Debug)]
struct Contact {
    holder: Holder,
    stamp: u64,
    received_at: Time,
    /// The version of the fleet that it knows.
    version: u64,
    /// Whether it has a majority of the votes, and so knows that its version is not outdated.
    is_majority: bool,
}

/// What a member has of one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceState {
    /// Usable tokens.
    pub held: u32,
    /// When tokens were last granted.
    pub granted_at: Option<Time>,
}

/// What a member holds.
#[derive(Debug)]
pub struct Member {
    started_at: Time,
    registration: Registration,
    /// The process to which the share is leased, or was leased last.
    holder: Option<Holder>,
    lease_end: Time,
    lease_began: Option<Time>,
    /// Until when a message that got no answer may still extend the lease at its coordinator.
    lost_until: Time,
    /// Whether the coordinator was asked to end the lease, and no other message was sent since.
    is_releasing: bool,
    contact: Option<Contact>,
    accounts: HashMap<Arc<str>, Account>,
    /// Workspaces with operations that wait or that have arrived since the last message.
    active: Vec<Arc<str>>,
    next_id: u64,
    decided: Vec<(u64, Decision)>,
    renew_at: Time,
    top_up_at: Time,
}

impl Member {
    /// Creates the state of a process that starts at `now`. An earlier process of the same daemon
    /// may have leased the share until then.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            started_at: now,
            registration: Registration::new(now),
            holder: None,
            lease_end: now,
            lease_began: None,
            lost_until: now,
            is_releasing: false,
            contact: None,
            accounts: HashMap::new(),
            active: Vec::new(),
            next_id: 0,
            decided: Vec::new(),
            renew_at: now,
            top_up_at: now,
        }
    }

    /// The version of the fleet that it knows.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        self.registration.fleet()
    }

    /// Its index in the record of the fleet.
    #[must_use]
    pub fn index(&self) -> Option<u32> {
        self.registration.index()
    }

    /// A time at which the version of the fleet that it knows was not outdated.
    #[must_use]
    pub fn current_at(&self) -> Option<Time> {
        self.registration.current_at()
    }

    /// Takes over what is known of the fleet; returns whether the version was news. `current_at` is a
    /// time at which that version was not outdated.
    pub fn learn(
        &mut self,
        fleet: &Arc<Fleet>,
        index: Option<u32>,
        current_at: Option<Time>,
    ) -> bool {
        let is_news = self.registration.learn(fleet, index);
        if let Some(at) = current_at {
            self.registration.record_current(at);
        }
        is_news
    }

    /// The coordinator to which the share is leased at `now`.
    #[must_use]
    pub fn leased_to(&self, now: Time) -> Option<SocketAddr> {
        self.holder.filter(|_| now < self.lease_end).map(|h| h.address)
    }

    /// Whether the share has been leased and the lease has ended without another.
    #[must_use]
    pub fn has_lost_lease(&self, now: Time) -> bool {
        self.holder.is_some() && now >= self.lease_end
    }

    /// Number of workspaces that are remembered.
    #[must_use]
    pub fn workspaces(&self) -> usize {
        self.accounts.len()
    }

    /// What it has of a workspace.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<WorkspaceState> {
        let account = self.accounts.get(name)?;
        Some(WorkspaceState { held: account.held(), granted_at: account.granted_at })
    }

    /// Decides on an operation. Lower values of `priority` come first. While `Waiting`, the decision
    /// is among those of [`Self::take_decided`] after at most `patience`.
    pub fn ask(
        &mut self,
        now: Time,
        name: &Arc<str>,
        limit: Limit,
        priority: u8,
        patience: Duration,
    ) -> Decision {
        let id = self.next_id;
        self.next_id += 1;
        if !self.accounts.contains_key(name) {
            self.accounts.insert(Arc::clone(name), Account::new(limit, now));
        }
        let Some(account) = self.accounts.get_mut(name) else {
            return Decision::Refused(patience);
        };
        let decision = account.ask(now, limit, priority, patience, id, &mut self.decided);
        if !account.is_listed {
            account.is_listed = true;
            self.active.push(Arc::clone(name));
        }
        decision
    }

    /// Takes back the token of an operation that was not sent to an instance.
    pub fn give_back(&mut self, now: Time, name: &str, token: Token) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.give_back(now, token, &mut self.decided);
        }
    }

    /// Refuses operations that have waited too long, and forgets unused workspaces.
    pub fn tick(&mut self, now: Time) {
        for name in &self.active {
            if let Some(account) = self.accounts.get_mut(name) {
                account.expire(now, &mut self.decided);
            }
        }
        if now >= self.renew_at {
            self.accounts.retain(|_, a| a.is_waited_for() || now.since(a.used_at) < IDLE_LIMIT);
        }
    }

    /// The decisions made since the last call, on operations that waited.
    pub fn take_decided(&mut self) -> Vec<(u64, Decision)> {
        std::mem::take(&mut self.decided)
    }

    /// The message to send to a coordinator at `now`; `None` if none is due. The lease that it may
    /// contain counts from this call on.
    pub fn next_request(&mut self, now: Time, coordinator: SocketAddr) -> Option<Request> {
        let is_renewal = now >= self.renew_at;
        if !is_renewal && self.active.is_empty() {
            return None;
        }
        let (wants, is_urgent) = self.wants(now);
        if !is_renewal && !is_urgent {
            return None;
        }
        self.renew_at = now + RENEWAL_INTERVAL;
        self.top_up_at = now + TOP_UP_INTERVAL;
        let claim = self.claim(now, coordinator);
        let request = self.request(now, coordinator);
        Some(Request { claim, wants, ..request })
    }

    /// The message that ends the lease at its coordinator before the share is leased to another one,
    /// `coordinator`; `None` if the lease must end by itself or has ended.
    pub fn next_release(
        &mut self,
        now: Time,
        coordinator: SocketAddr,
    ) -> Option<(SocketAddr, Request)> {
        let holder = self.leased_to(now).filter(|holder| *holder != coordinator)?;
        if now < self.lost_until || self.is_releasing {
            return None;
        }
        self.is_releasing = true;
        Some((holder, self.leave(now)))
    }

    /// Records that a request got no answer. It may still arrive.
    pub fn record_lost(&mut self) {
        self.is_releasing = false;
        self.lost_until = self.lease_end;
    }

    /// The message by which a daemon that shuts down ends its lease.
    #[must_use]
    pub fn leave(&self, now: Time) -> Request {
        Request { is_leaving: true, ..self.probe(now) }
    }

    /// A message that leases and requests nothing.
    #[must_use]
    pub fn probe(&self, now: Time) -> Request {
        let proof_age = self.registration.current_at().map(|at| now.since(at));
        let (index, version) = (self.index(), self.fleet().version);
        Request { index, version, proof_age, ..Request::default() }
    }

    fn request(&self, now: Time, coordinator: SocketAddr) -> Request {
        let contact = self.contact.filter(|c| c.holder.address == coordinator);
        let is_news = contact.is_some_and(|c| c.version < self.fleet().version);
        let fleet = is_news.then(|| Arc::clone(self.fleet()));
        let request = self.probe(now);
        let needs_proof = contact.is_none_or(|c| !c.is_majority);
        let proof_age = request.proof_age.filter(|_| needs_proof);
        Request { fleet, proof_age, ..request }
    }

    fn wants(&mut self, now: Time) -> (Vec<Want>, bool) {
        let may_top_up = now >= self.top_up_at;
        let (mut wants, mut is_urgent) = (Vec::new(), false);
        for name in &self.active {
            let Some(account) = self.accounts.get_mut(name) else {
                continue;
            };
            if wants.len() >= MAX_WANTS {
                break;
            }
            let (tokens, is_low) = account.wanted(now);
            if tokens > 0 {
                is_urgent |= account.is_waited_for() || (is_low && may_top_up);
                wants.push(Want { workspace: Arc::clone(name), tokens });
            }
        }
        let accounts = &mut self.accounts;
        self.active.retain(|name| {
            let Some(account) = accounts.get_mut(name) else {
                return false;
            };
            account.is_listed =
                account.is_waited_for() || now.since(account.used_at) < RENEWAL_INTERVAL;
            account.is_listed
        });
        (wants, is_urgent)
    }

    /// Leases the share to a coordinator, if it may be leased to it.
    fn claim(&mut self, now: Time, coordinator: SocketAddr) -> Option<Claim> {
        let contact = self.contact.filter(|c| c.holder.address == coordinator)?;
        self.index()?;
        if now.since(contact.received_at) > MAX_STAMP_AGE {
            return None;
        }
        if self.holder != Some(contact.holder) || now >= self.lease_end {
            // Each start of a lease adds the start credit at a coordinator.
            let had_pause = self.lease_began.is_none_or(|began| now >= began + LEASE_TIME);
            if now < self.lease_end || now < self.started_at + LEASE_TIME || !had_pause {
                return None;
            }
            self.holder = Some(contact.holder);
            self.lease_began = Some(now);
        }
        self.is_releasing = false;
        // The coordinator made the stamp before this daemon received it.
        self.lease_end = self.lease_end.max(contact.received_at + LEASE_TIME);
        Some(Claim {
            incarnation: contact.holder.incarnation,
            stamp: contact.stamp,
            is_valid: self.registration.is_valid_until(contact.received_at + LEASE_TIME),
            is_voter: self.registration.is_voter(),
        })
    }

    /// Handles the answer to a request that was sent at `sent_at`; at most one request has neither an
    /// answer nor been recorded as lost. Returns whether it
    /// tells a later version of the fleet.
    pub fn receive(
        &mut self,
        now: Time,
        sent_at: Time,
        coordinator: SocketAddr,
        request: &Request,
        answer: &Answer,
    ) -> bool {
        let holder = Holder { address: coordinator, incarnation: answer.incarnation };
        let is_newer = self.contact.is_none_or(|c| c.holder != holder || c.stamp < answer.stamp);
        if is_newer {
            let (stamp, version, is_majority) = (answer.stamp, answer.version, answer.is_majority);
            let contact = Contact { holder, stamp, received_at: now, version, is_majority };
            self.contact = Some(contact);
        }
        let was_valid = self.registration.is_valid_until(now + LEASE_TIME);
        let learned = answer.fleet.clone().unwrap_or_else(|| Arc::clone(self.fleet()));
        let is_news = self.registration.learn(&learned, answer.index);
        self.registration.record_answer(sent_at, answer);
        let is_valid = self.registration.is_valid_until(now + LEASE_TIME);
        if is_news || answer.version < self.fleet().version || (is_valid && !was_valid) {
            // The coordinator waits for what this daemon knows, and for its share.
            self.renew_at = now;
        }
        if request.is_leaving && self.is_releasing && self.holder == Some(holder) {
            // No message of this daemon is on its way that could extend the lease again.
            self.is_releasing = false;
            self.lease_end = self.lease_end.min(now);
            self.renew_at = now;
        }
        // A first answer has the stamp on which a lease can rest.
        let is_free = now >= self.lease_end && now >= self.started_at + LEASE_TIME;
        if request.claim.is_none() && self.index().is_some() && is_free {
            self.renew_at = now;
        }
        for (want, grant) in request.wants.iter().zip(&answer.grants) {
            if let Some(account) = self.accounts.get_mut(&want.workspace) {
                let tokens = grant.tokens.min(want.tokens);
                let decided = &mut self.decided;
                account.receive(now, sent_at, tokens, grant.retry_after, decided);
            }
        }
        is_news
    }

    /// The next time at which [`Self::next_request`] or [`Self::tick`] may have something to do for
    /// operations that wait.
    #[must_use]
    pub fn asks_at(&self) -> Option<Time> {
        let waiting = self.active.iter().filter_map(|name| self.accounts.get(name)?.asks_at());
        waiting.min()
    }
}
