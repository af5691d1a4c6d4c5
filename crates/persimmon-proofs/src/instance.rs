//! A fake instance: a log, a term, a seal and what its followers confirmed.

use std::collections::BTreeMap;

use persimmon_kernel::{OrderFailure, OrderOutcome, Role, Status};
use persimmon_types::{Lsn, Position, Term, Time};

/// One log entry: the term it was written in and the write's identity.
pub(crate) type Entry = (Term, u64);

/// A fake instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeInstance {
    pub(crate) up: bool,
    pub(crate) frozen_until: Time,
    pub(crate) behind_until: Time,
    pub(crate) cut_until: Time,
    pub(crate) term: Term,
    pub(crate) primary: bool,
    pub(crate) sealed: Term,
    sealed_by: String,
    inherited: Lsn,
    pub(crate) follows: Option<usize>,
    pub(crate) log: Vec<Entry>,
    /// What each follower confirmed in this term, and when.
    pub(crate) followers: BTreeMap<usize, (u64, Time)>,
}

impl FakeInstance {
    pub(crate) fn new(follows: Option<usize>) -> Self {
        Self {
            up: true,
            term: Term(1),
            sealed: Term(1),
            primary: follows.is_none(),
            follows,
            ..Self::default()
        }
    }

    pub(crate) fn end(&self) -> Position {
        let term = self.log.last().map(|(term, _)| *term).unwrap_or_default();
        Position::new(term, Lsn(self.log.len() as u64))
    }

    pub(crate) fn may_commit(&self) -> bool {
        self.primary && self.sealed <= self.term
    }

    pub(crate) fn status(&self, now: Time) -> Status {
        let heard = self.followers.values().map(|(_, at)| *at).max().unwrap_or_default();
        let age = u64::try_from(now.since(heard).as_millis()).unwrap_or(u64::MAX);
        Status {
            role: if self.primary { Role::Primary } else { Role::Replica },
            term: self.term,
            sealed: self.sealed,
            end: self.end(),
            majority_age_ms: age,
        }
    }

    pub(crate) fn seal(&mut self, term: Term, by: &str) -> OrderOutcome {
        if term < self.sealed || term == self.sealed && self.sealed_by != by {
            return Err(OrderFailure::Superseded(self.sealed));
        }
        self.sealed = term;
        by.clone_into(&mut self.sealed_by);
        Ok(self.end())
    }

    pub(crate) fn promote(&mut self, term: Term, by: &str) -> OrderOutcome {
        if self.sealed != term || self.sealed_by != by {
            return Err(OrderFailure::Superseded(self.sealed));
        }
        if self.primary && self.term == term {
            return Ok(Position::new(self.term, self.inherited));
        }
        let end = self.end();
        self.inherited = end.lsn;
        self.term = term;
        self.primary = true;
        self.follows = None;
        self.followers.clear();
        self.log.push((term, 0));
        Ok(end)
    }

    pub(crate) fn follow(&mut self, term: Term, primary: usize) {
        if term < self.sealed || self.primary && self.term == term {
            return;
        }
        self.sealed = term;
        self.term = term;
        self.primary = false;
        self.follows = Some(primary);
        self.followers.clear();
    }

    /// Whether this log is the beginning of the primary's: terms and numbers of the last entry
    /// decide, because within one term a log only grows.
    pub(crate) fn is_prefix_of(&self, primary: &Self) -> bool {
        let length = self.log.len();
        length == 0 || primary.log.get(length - 1) == self.log.last()
    }

    /// The follower's side of one replication call: takes over the primary's log.
    pub(crate) fn take_log(&mut self, primary: &Self) {
        let mut same = self.log.len();
        if !self.is_prefix_of(primary) {
            same = self.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
        }
        self.log.truncate(same);
        self.log.extend_from_slice(&primary.log[same..]);
    }

    /// Whether a majority of three holds the log up to `lsn`.
    pub(crate) fn is_held(&self, lsn: u64) -> bool {
        self.followers.values().any(|(held, _)| *held >= lsn)
    }

    /// Whether a majority of three was heard after `since`.
    pub(crate) fn is_confirmed(&self, since: Time) -> bool {
        self.followers.values().any(|(_, at)| *at > since)
    }
}
