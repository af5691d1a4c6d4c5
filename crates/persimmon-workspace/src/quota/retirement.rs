//! Which registered daemons a coordinator wants removed from the record.
//!
//! A daemon that is gone for good leaves its share behind. It is removed in steps, each a change of the
//! record: it is named as retiring; most votes know that, so that no coordinator without that
//! knowledge can prove its registration; it is removed once every proof has ended.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use persimmon_types::Time;

use crate::quota::fleet::{Fleet, Retiring};
use crate::quota::limit::{RECORD_TIME, REGISTRATION_TIME};
use crate::quota::record::RecordChange;

/// How long a daemon must not have been heard of by a coordinator with a majority of the votes.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_000);

/// The same by a coordinator without a majority, which may be the one that is cut off.
const MINORITY_SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// How lately a retiring daemon must have been heard of to stay registered.
const RETURN_LIMIT: Duration = Duration::from_millis(1_000);

/// How long other coordinators have to object to a retirement: those without a majority read the record
/// more often.
const OBJECTION_TIME: Duration = Duration::from_millis(1_500);

/// What clocks of two hosts may differ by in the waits below.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);

/// What a coordinator knows of silent and retiring daemons.
#[derive(Debug, Default)]
pub(crate) struct Retirement {
    /// When each daemon was heard of last.
    heard: HashMap<u32, Time>,
    /// The daemons that retire by the version that it knows.
    retiring: HashSet<u32>,
    /// Since when it has had leases without a pause.
    coordinates_since: Option<Time>,
    /// When each retirement was first seen, and whether most votes knew of it then.
    seen: HashMap<(u32, u64, bool), Time>,
}

impl Retirement {
    pub(crate) fn record_heard(&mut self, now: Time, index: u32) {
        self.heard.insert(index, now);
    }

    /// Records how many leases are active. A coordinator without any knows nothing of silence.
    pub(crate) fn record_leases(&mut self, now: Time, leases: usize) {
        if leases == 0 {
            self.coordinates_since = None;
        } else {
            self.coordinates_since.get_or_insert(now);
        }
    }

    /// Whether it has had leases for `time` without a pause.
    pub(crate) fn has_coordinated_for(&self, now: Time, time: Duration) -> bool {
        self.coordinates_since.is_some_and(|since| now.since(since) >= time)
    }

    /// Takes over a version of the fleet.
    pub(crate) fn record_fleet(&mut self, now: Time, fleet: &Fleet) {
        let key = |r: &Retiring| (r.index, r.since, r.is_known);
        self.seen.retain(|seen, _| fleet.retiring().iter().any(|r| key(r) == *seen));
        for r in fleet.retiring() {
            self.seen.entry(key(r)).or_insert(now);
        }
        self.heard.retain(|index, _| fleet.contains(*index));
        // Another coordinator has heard of a daemon that was just registered, or retires no more.
        for index in fleet.indices() {
            if fleet.is_retiring(index) {
                continue;
            }
            if self.retiring.contains(&index) {
                self.heard.insert(index, now);
            }
            self.heard.entry(index).or_insert(now);
        }
        self.retiring = fleet.retiring().iter().map(|r| r.index).collect();
    }

    /// The change that is due. `voters` has the version that each daemon with a vote knows.
    pub(crate) fn due_change(
        &self,
        now: Time,
        fleet: &Fleet,
        is_majority: bool,
        voters: &[u64],
    ) -> RecordChange {
        let mut change = RecordChange::default();
        let Some(since) = self.coordinates_since else {
            return change;
        };
        let limit = if is_majority { SILENCE_LIMIT } else { MINORITY_SILENCE_LIMIT };
        let heard_at = |index: u32| self.heard.get(&index).copied();
        let is_active = |(_, at): &(&u32, &Time)| now.since(**at) < RETURN_LIMIT;
        change.active = self.heard.iter().filter(is_active).map(|(index, _)| *index).collect();
        for index in fleet.indices() {
            let silent_since = heard_at(index).map_or(since, |at| at.max(since));
            if now.since(silent_since) >= limit && !fleet.is_retiring(index) {
                change.silent.push(index);
            }
        }
        for r in fleet.retiring() {
            let id = (r.index, r.since);
            if !r.is_known && change.active.contains(&r.index) {
                continue;
            }
            let seen_at = self.seen.get(&(r.index, r.since, r.is_known)).copied();
            let has_waited = |wait| seen_at.is_some_and(|at| now.since(at) >= wait);
            let knowing = voters.iter().filter(|version| **version >= r.since).count();
            if !r.is_known && has_waited(OBJECTION_TIME) && fleet.is_majority(knowing) {
                change.known.push(id);
                continue;
            }
            let wait = if r.is_known { Duration::ZERO } else { RECORD_TIME };
            if has_waited(wait + REGISTRATION_TIME + CLOCK_MARGIN) {
                change.ended.push(id);
            }
        }
        change
    }
}
