//! What a daemon knows of its own registration.
//!
//! Invariant: the registration is valid only as long as nobody can have removed it. It is proved by a
//! coordinator that has a majority of the votes, without which no daemon is removed, or by a version
//! of the record that was current. Neither proof counts for a daemon that is retiring.

use std::sync::Arc;

use persimmon_types::Time;

use crate::quota::fleet::{Fleet, later_fleet};
use crate::quota::limit::REGISTRATION_TIME;
use crate::quota::message::Answer;

#[derive(Debug)]
pub(crate) struct Registration {
    started_at: Time,
    fleet: Arc<Fleet>,
    index: Option<u32>,
    /// A time at which the known version of the fleet was not outdated.
    current_at: Option<Time>,
    valid_until: Time,
}

impl Registration {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            started_at: now,
            fleet: Arc::default(),
            index: None,
            current_at: None,
            valid_until: now,
        }
    }

    pub(crate) fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    pub(crate) fn index(&self) -> Option<u32> {
        self.index
    }

    /// A time at which the known version of the fleet was not outdated.
    pub(crate) fn current_at(&self) -> Option<Time> {
        self.current_at
    }

    /// Whether the daemon counts among those that know of a change once a coordinator does: a process
    /// forgets with its end what it knew.
    pub(crate) fn is_voter(&self) -> bool {
        self.index.is_some() && self.current_at.is_some_and(|at| at >= self.started_at)
    }

    pub(crate) fn is_valid_until(&self, end: Time) -> bool {
        end <= self.valid_until
    }

    /// Takes over a version of the fleet and an index in it; returns whether the version was news.
    pub(crate) fn learn(&mut self, fleet: &Arc<Fleet>, index: Option<u32>) -> bool {
        let is_news = fleet.version > self.fleet.version;
        self.fleet = later_fleet(&self.fleet, fleet);
        let known = self.index.or(index);
        self.index = known.filter(|index| self.fleet.contains(*index));
        is_news
    }

    /// Records that the known version of the fleet was not outdated at `at`.
    pub(crate) fn record_current(&mut self, at: Time) {
        self.current_at = self.current_at.max(Some(at));
        if self.is_staying() {
            self.valid_until = self.valid_until.max(at + REGISTRATION_TIME);
        }
    }

    /// Takes over what the answer to a request that was sent at `sent_at` proves.
    pub(crate) fn record_answer(&mut self, sent_at: Time, answer: &Answer) {
        if answer.version > self.fleet.version {
            return;
        }
        if let Some(age) = answer.proof_age {
            // The answer was made after the request was sent.
            self.record_current(sent_at - age);
        }
        if answer.is_majority && self.is_staying() {
            self.valid_until = self.valid_until.max(sent_at + REGISTRATION_TIME);
        }
    }

    fn is_staying(&self) -> bool {
        self.index.is_some_and(|index| !self.fleet.is_retiring(index))
    }
}
