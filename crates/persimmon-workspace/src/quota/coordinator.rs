//! The state of a daemon that grants tokens.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

use crate::quota::bucket::{Bucket, Supply};
use crate::quota::fleet::{Fleet, later_fleet};
use crate::quota::limit::{Bounds, LEASE_TIME, Limit, RECORD_TIME};
use crate::quota::message::{Answer, Claim, Grant, Request};
use crate::quota::record::RecordChange;
use crate::quota::retirement::Retirement;

/// How often leases take effect and end. Between two such times the fill is constant.
const BATCH: Duration = Duration::from_millis(100);

/// The least and the longest time after which a member requests tokens again.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));

/// How often the record is read without a majority of the votes; only the record proves then.
const MINORITY_READ_INTERVAL: Duration = Duration::from_millis(800);

/// How long a coordinator without a majority waits for members to lease to it before it reads the
/// record.
const ASSEMBLY_TIME: Duration = Duration::from_millis(1_000);

/// How often it is read while members have no vote.
const NON_VOTER_READ_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Lease {
    end: Time,
    /// Until when the share counts: while the member's registration is proved.
    valid_end: Time,
    is_voter: bool,
    credited_at: Option<Time>,
    /// The version of the fleet that the member knows.
    known_version: u64,
}

impl Lease {
    /// Whether the member's vote counts for the next [`BATCH`].
    fn has_vote(&self, now: Time) -> bool {
        self.is_voter && self.end >= now + BATCH
    }
}

/// What a coordinator holds.
#[derive(Debug)]
pub struct Coordinator {
    incarnation: u32,
    bounds: Bounds,
    fleet: Arc<Fleet>,
    /// A time at which that version of the fleet was not outdated.
    current_at: Option<Time>,
    /// Whether this daemon is registered; one that is not grants nothing.
    is_registered: bool,
    leases: HashMap<u32, Lease>,
    /// The number of leases that count, and of votes.
    active: usize,
    votes: usize,
    retirement: Retirement,
    batch_at: Time,
    accrued_at: Time,
    supply: Supply,
    buckets: HashMap<Arc<str>, Bucket>,
}

impl Coordinator {
    /// Creates a coordinator without leases. `incarnation` is a random number of the process.
    #[must_use]
    pub fn new(incarnation: u32, bounds: Bounds, now: Time) -> Self {
        Self {
            incarnation,
            bounds,
            fleet: Arc::default(),
            current_at: None,
            is_registered: false,
            leases: HashMap::new(),
            active: 0,
            votes: 0,
            retirement: Retirement::default(),
            batch_at: now,
            accrued_at: now,
            supply: Supply::new(now, bounds.grant_span()),
            buckets: HashMap::new(),
        }
    }

    /// Sets what this daemon knows of the fleet, and whether it is registered itself. `current_at` is a
    /// time at which that version was not outdated.
    pub fn set_fleet(
        &mut self,
        now: Time,
        fleet: &Arc<Fleet>,
        current_at: Option<Time>,
        is_registered: bool,
    ) {
        if fleet.version >= self.fleet.version {
            self.current_at = self.current_at.max(current_at);
        }
        if fleet.version > self.fleet.version || is_registered != self.is_registered {
            self.accrue(now);
            self.fleet = later_fleet(&self.fleet, fleet);
            self.is_registered = is_registered;
            self.retirement.record_fleet(now, &self.fleet);
            self.update_fill(now);
        }
    }

    /// The version of the fleet that it knows.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// A time at which that version was not outdated.
    #[must_use]
    pub fn current_at(&self) -> Option<Time> {
        self.current_at
    }

    /// Whether this daemon is registered.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.is_registered
    }

    /// The number of leases that count at present.
    #[must_use]
    pub fn leases(&self) -> usize {
        self.active
    }

    /// The part of every quota that it grants at `now`.
    #[must_use]
    pub fn fill(&self, now: Time) -> f64 {
        if now < self.batch_at + BATCH { self.supply.fill() } else { 0.0 }
    }

    /// Number of workspaces for which it keeps a bucket.
    #[must_use]
    pub fn workspaces(&self) -> usize {
        self.buckets.len()
    }

    /// Whether it has a majority of the votes, and knows from the record that this is still the fleet.
    #[must_use]
    pub fn is_majority(&self, now: Time) -> bool {
        let is_recent = self.current_at.is_some_and(|at| now.since(at) < RECORD_TIME);
        is_recent && self.is_registered && self.fleet.is_majority(self.votes)
    }

    /// Whether the record is to be read: members can't vote, or registrations can't be proved, without.
    #[must_use]
    pub fn needs_record(&self, now: Time) -> bool {
        if !self.is_registered || self.leases.is_empty() {
            return false;
        }
        let age = self.current_at.map_or(Duration::MAX, |at| now.since(at));
        let has_non_voter = self.leases.values().any(|l| l.end >= now + BATCH && !l.is_voter);
        if has_non_voter && age >= NON_VOTER_READ_INTERVAL {
            return true;
        }
        if self.fleet.is_majority(self.votes) {
            return age >= RECORD_TIME / 3;
        }
        age >= MINORITY_READ_INTERVAL && self.retirement.has_coordinated_for(now, ASSEMBLY_TIME)
    }

    /// The change of the record that is due.
    #[must_use]
    pub fn due_change(&self, now: Time) -> RecordChange {
        if !self.is_registered {
            return RecordChange::default();
        }
        let voters: Vec<u64> = self
            .leases
            .iter()
            .filter(|(index, lease)| self.is_counted(**index) && lease.has_vote(now))
            .map(|(_, lease)| lease.known_version)
            .collect();
        let is_majority = self.is_majority(now);
        let change = self.retirement.due_change(now, &self.fleet, is_majority, &voters);
        RecordChange { confirmed: self.confirmed_version(now), ..change }
    }

    /// The version that every registered daemon knows and leases to this one with, if the floor may be
    /// raised to it: no coordinator relies on an earlier one.
    fn confirmed_version(&self, now: Time) -> Option<u64> {
        let version = self.fleet.version;
        let knows = |index: u32| {
            let lease = self.leases.get(&index);
            lease.is_some_and(|l| l.has_vote(now) && l.known_version >= version)
        };
        let is_raised = self.fleet.floor() >= self.fleet.registered();
        let may_raise = !is_raised && self.fleet.retiring().is_empty();
        (may_raise && self.fleet.indices().all(knows)).then_some(version)
    }

    fn is_counted(&self, index: u32) -> bool {
        self.fleet.contains(index) && !self.fleet.is_retiring(index)
    }

    /// Lets leases begin and end. To be called at least every 100 ms while there are leases; later
    /// calls lose tokens.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.batch_at) < BATCH {
            return;
        }
        self.accrue(now);
        self.update_fill(now);
        let keep = self.bounds.grant_span() + LEASE_TIME;
        self.leases.retain(|_, lease| lease.end + keep > now);
        self.buckets.retain(|_, bucket| now.since(bucket.used_at) < keep);
    }

    /// Adds the inflow until `now`. Leases are known to hold only for [`BATCH`] after they were last
    /// checked.
    fn accrue(&mut self, now: Time) {
        let until = now.min(self.batch_at + BATCH);
        self.supply.accrue(until.since(self.accrued_at).as_secs_f64());
        self.accrued_at = now.max(self.accrued_at);
    }

    /// Determines the active leases and the fill for the next [`BATCH`].
    fn update_fill(&mut self, now: Time) {
        self.batch_at = now;
        let credit_interval = self.bounds.grant_span();
        let (mut active, mut votes, mut started) = (0, 0, 0_u32);
        for (index, lease) in &mut self.leases {
            let is_counted = self.fleet.contains(*index) && !self.fleet.is_retiring(*index);
            votes += usize::from(is_counted && lease.has_vote(now));
            if !is_counted || lease.valid_end < now + BATCH {
                continue;
            }
            active += 1;
            if lease.credited_at.is_none_or(|at| now.since(at) >= credit_interval) {
                started += 1;
            }
            lease.credited_at = Some(now);
        }
        self.active = active;
        self.votes = votes;
        self.retirement.record_leases(now, votes);
        let fill = if self.is_registered { self.fleet.fill(active) } else { 0.0 };
        if fill.total_cmp(&self.supply.fill()).is_eq() && started == 0 {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.settle(&self.supply);
        }
        let part = f64::from(started) / f64::from(self.fleet.credit_base());
        self.supply.set_fill(now, fill, part);
        for bucket in self.buckets.values_mut() {
            bucket.settle(&self.supply);
        }
    }

    /// Handles a member's message. `index` is the member's, from its message or from the record;
    /// `limit` returns the limit of a workspace, `None` if it has no quota in the active table.
    pub fn handle(
        &mut self,
        now: Time,
        request: &Request,
        index: Option<u32>,
        limit: impl Fn(&str) -> Option<Limit>,
    ) -> Answer {
        self.learn(now, request);
        // Without the version that the member knows, its share or vote may count here for a fleet that
        // is no longer.
        let index = index.filter(|_| request.version <= self.fleet.version);
        let index = index.filter(|index| self.fleet.contains(*index));
        if let Some(index) = index {
            self.retirement.record_heard(now, index);
            if let Some(claim) = request.claim {
                self.lease(now, index, claim, request.version);
            }
            if request.is_leaving {
                self.end_lease(now, index);
            }
        }
        self.tick(now);
        self.accrue(now);
        let mut grants = Vec::with_capacity(request.wants.len());
        for want in &request.wants {
            let grant = match limit(&want.workspace) {
                Some(limit) => self.grant(now, &want.workspace, limit, want.tokens),
                None => Grant { tokens: 0, retry_after: RETRY_RANGE.1 },
            };
            grants.push(grant);
        }
        let is_majority = self.is_majority(now);
        // Most answers need none.
        let needs_proof = !is_majority || !request.claim.is_some_and(|c| c.is_voter);
        Answer {
            incarnation: self.incarnation,
            stamp: now.as_micros(),
            version: self.fleet.version,
            fleet: (request.version < self.fleet.version).then(|| Arc::clone(&self.fleet)),
            proof_age: self.current_at.map(|at| now.since(at)).filter(|_| needs_proof),
            is_majority,
            index: index.filter(|_| request.index.is_none()),
            grants,
        }
    }

    /// Takes over what a member knows of the fleet. The member had received the stamp of its claim
    /// before it sent the message.
    fn learn(&mut self, now: Time, request: &Request) {
        let fleet = request.fleet.clone().unwrap_or_else(|| Arc::clone(&self.fleet));
        let claim = request.claim.filter(|c| c.incarnation == self.incarnation);
        let stamp = claim.map(|c| Time::from_micros(c.stamp)).filter(|stamp| *stamp <= now);
        let current_at = stamp.zip(request.proof_age).map(|(stamp, age)| stamp - age);
        let knows = request.version <= fleet.version;
        let is_registered = self.is_registered;
        self.set_fleet(now, &fleet, current_at.filter(|_| knows), is_registered);
    }

    fn lease(&mut self, now: Time, index: u32, claim: Claim, known_version: u64) {
        let stamp = Time::from_micros(claim.stamp);
        if claim.incarnation != self.incarnation || stamp > now || stamp + LEASE_TIME <= now {
            return;
        }
        let end = stamp + LEASE_TIME;
        let new = Lease {
            end,
            valid_end: Time::ZERO,
            is_voter: claim.is_voter,
            credited_at: None,
            known_version,
        };
        let lease = self.leases.entry(index).or_insert(new);
        lease.end = lease.end.max(end);
        if claim.is_valid {
            lease.valid_end = lease.valid_end.max(end);
        }
        lease.is_voter = claim.is_voter;
        lease.known_version = known_version;
    }

    /// Ends a lease before its time, at the wish of its member.
    fn end_lease(&mut self, now: Time, index: u32) {
        if let Some(lease) = self.leases.get_mut(&index) {
            lease.end = lease.end.min(now);
            lease.valid_end = lease.valid_end.min(now);
            self.accrue(now);
            self.update_fill(now);
        }
    }

    fn grant(&mut self, now: Time, name: &Arc<str>, limit: Limit, wanted: u32) -> Grant {
        if !self.buckets.contains_key(name) {
            let bucket = Bucket::new(limit, &self.supply, now);
            self.buckets.insert(Arc::clone(name), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(name) else {
            return Grant::default();
        };
        bucket.set_limit(limit, &self.supply);
        let tokens = bucket.take(wanted, &self.supply, now);
        if tokens == wanted {
            return Grant { tokens, retry_after: Duration::ZERO };
        }
        let (least, most) = RETRY_RANGE;
        let seconds = bucket.seconds_to_meet(&self.supply);
        let retry_after = seconds.clamp(least.as_secs_f64(), most.as_secs_f64());
        Grant { tokens, retry_after: Duration::from_secs_f64(retry_after) }
    }
}
