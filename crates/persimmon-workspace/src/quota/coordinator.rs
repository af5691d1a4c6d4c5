//! The state of a daemon that grants tokens.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

use crate::quota::bucket::{Bucket, Supply};
use crate::quota::fleet::FleetSize;
use crate::quota::limit::{Bounds, LEASE_TIME, Limit};
use crate::quota::message::{Answer, Claim, Grant, Request};

/// How often leases take effect and end. Between two such times the fill is constant.
const BATCH: Duration = Duration::from_millis(100);

/// The least and the longest time after which a member requests tokens again.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));

#[derive(Clone, Copy, Debug)]
struct Lease {
    end: Time,
    is_active: bool,
    credited_at: Option<Time>,
    /// The number of registered daemons that the member knows.
    known_size: u32,
}

/// What a coordinator holds.
#[derive(Debug)]
pub struct Coordinator {
    incarnation: u32,
    bounds: Bounds,
    size: FleetSize,
    /// Whether this daemon is registered; one that is not grants nothing.
    is_registered: bool,
    leases: HashMap<u32, Lease>,
    active: usize,
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
            size: FleetSize::default(),
            is_registered: false,
            leases: HashMap::new(),
            active: 0,
            batch_at: now,
            accrued_at: now,
            supply: Supply::new(now, bounds.grant_span()),
            buckets: HashMap::new(),
        }
    }

    /// Sets what this daemon knows of the fleet, and whether it is registered itself.
    pub fn set_fleet(&mut self, now: Time, size: FleetSize, is_registered: bool) {
        let mut merged = self.size;
        let is_news = merged.merge(size) || is_registered != self.is_registered;
        if is_news {
            self.accrue(now);
            self.size = merged;
            self.is_registered = is_registered;
            self.update_fill(now);
        }
    }

    /// The size of the fleet that it knows.
    #[must_use]
    pub fn size(&self) -> FleetSize {
        self.size
    }

    /// The number of leases that count at present.
    #[must_use]
    pub fn leases(&self) -> usize {
        self.active
    }

    /// Number of workspaces for which it keeps a bucket.
    #[must_use]
    pub fn workspaces(&self) -> usize {
        self.buckets.len()
    }

    /// Whether every registered daemon leases to this one and knows the current size, so that no
    /// coordinator relies on an older one.
    #[must_use]
    pub fn may_raise_floor(&self) -> bool {
        let registered = self.size.registered;
        self.size.floor < registered
            && self.active == usize::try_from(registered).unwrap_or(usize::MAX)
            && self.leases.values().all(|l| l.is_active && l.known_size >= registered)
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
        let (mut active, mut started) = (0, 0_u32);
        for (index, lease) in &mut self.leases {
            lease.is_active = lease.end >= now + BATCH && *index < self.size.registered;
            if !lease.is_active {
                continue;
            }
            active += 1;
            if lease.credited_at.is_none_or(|at| now.since(at) >= credit_interval) {
                started += 1;
            }
            lease.credited_at = Some(now);
        }
        self.active = active;
        let fill = if self.is_registered { self.size.fill(active) } else { 0.0 };
        if fill.total_cmp(&self.supply.fill()).is_eq() && started == 0 {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.settle(&self.supply);
        }
        let part = f64::from(started) / f64::from(self.size.registered.max(1));
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
        let size = request.size;
        self.set_fleet(now, size, self.is_registered);
        if let (Some(index), Some(claim)) = (index, request.claim) {
            self.lease(now, index, claim, size.registered);
        }
        if let (Some(index), true) = (index, request.is_leaving) {
            self.end_lease(now, index);
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
        Answer {
            incarnation: self.incarnation,
            stamp: now.as_micros(),
            size: self.size,
            index: index.filter(|_| request.index.is_none()),
            grants,
        }
    }

    fn lease(&mut self, now: Time, index: u32, claim: Claim, known_size: u32) {
        let stamp = Time::from_micros(claim.stamp);
        if claim.incarnation != self.incarnation || stamp > now || stamp + LEASE_TIME <= now {
            return;
        }
        let end = stamp + LEASE_TIME;
        let new = Lease { end, is_active: false, credited_at: None, known_size };
        let lease = self.leases.entry(index).or_insert(new);
        lease.end = lease.end.max(end);
        lease.known_size = known_size;
    }

    /// Ends a lease before its time, at the wish of its member.
    fn end_lease(&mut self, now: Time, index: u32) {
        if let Some(lease) = self.leases.get_mut(&index) {
            lease.end = lease.end.min(now);
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
