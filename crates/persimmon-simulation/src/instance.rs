//! A fake instance: a log, its term, its sealed term and its followers' acknowledgements.

use std::collections::BTreeMap;

use persimmon_kernel::{CommandFailure, CommandOutcome, InstanceStatus, Role};
use persimmon_types::{Lsn, Position, Term, Time};

/// One log entry: the term in which it was written, and the identifier of the write.
pub(crate) type Entry = (Term, u64);

/// An instance that keeps its log in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeInstance {
    pub(crate) is_up: bool,
    pub(crate) frozen_until: Time,
    pub(crate) lagging_until: Time,
    pub(crate) replication_cut_until: Time,
    pub(crate) term: Term,
    pub(crate) is_primary: bool,
    pub(crate) sealed_term: Term,
    sealed_by: String,
    inherited: Lsn,
    pub(crate) follows: Option<usize>,
    pub(crate) log: Vec<Entry>,
    /// The length of the log that each follower acknowledged in this term, and when.
    pub(crate) followers: BTreeMap<usize, (u64, Time)>,
}

impl FakeInstance {
    pub(crate) fn new(follows: Option<usize>) -> Self {
        Self {
            is_up: true,
            term: Term(1),
            sealed_term: Term(1),
            is_primary: follows.is_none(),
            follows,
            ..Self::default()
        }
    }

    pub(crate) fn log_end(&self) -> Position {
        let term = self.log.last().map(|(term, _)| *term).unwrap_or_default();
        Position::new(term, Lsn(self.log.len() as u64))
    }

    pub(crate) fn may_commit(&self) -> bool {
        self.is_primary && self.sealed_term <= self.term
    }

    pub(crate) fn status(&self, now: Time) -> InstanceStatus {
        let heard = self.followers.values().map(|(_, at)| *at).max().unwrap_or_default();
        let age = u64::try_from(now.since(heard).as_millis()).unwrap_or(u64::MAX);
        InstanceStatus {
            role: if self.is_primary { Role::Primary } else { Role::Replica },
            term: self.term,
            sealed_term: self.sealed_term,
            log_end: self.log_end(),
            majority_age_ms: age,
        }
    }

    pub(crate) fn seal(&mut self, term: Term, by: &str) -> CommandOutcome {
        if term < self.sealed_term || term == self.sealed_term && self.sealed_by != by {
            return Err(CommandFailure::Superseded(self.sealed_term));
        }
        self.sealed_term = term;
        by.clone_into(&mut self.sealed_by);
        Ok(self.log_end())
    }

    pub(crate) fn promote(&mut self, term: Term, by: &str) -> CommandOutcome {
        if self.sealed_term != term || self.sealed_by != by {
            return Err(CommandFailure::Superseded(self.sealed_term));
        }
        if self.is_primary && self.term == term {
            return Ok(Position::new(self.term, self.inherited));
        }
        let end = self.log_end();
        self.inherited = end.lsn;
        self.term = term;
        self.is_primary = true;
        self.follows = None;
        self.followers.clear();
        self.log.push((term, 0));
        Ok(end)
    }

    pub(crate) fn follow(&mut self, term: Term, primary: usize) {
        if term < self.sealed_term || self.is_primary && self.term == term {
            return;
        }
        self.sealed_term = term;
        self.term = term;
        self.is_primary = false;
        self.follows = Some(primary);
        self.followers.clear();
    }

    /// Whether this log is a prefix of the primary's. Comparing the last entry is enough, because
    /// within one term a log only grows.
    pub(crate) fn is_prefix_of(&self, primary: &Self) -> bool {
        let length = self.log.len();
        length == 0 || primary.log.get(length - 1) == self.log.last()
    }

    /// The follower's side of one replication call: makes this log equal to the primary's.
    pub(crate) fn copy_log(&mut self, primary: &Self) {
        let mut same = self.log.len();
        if !self.is_prefix_of(primary) {
            same = self.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
        }
        self.log.truncate(same);
        self.log.extend_from_slice(&primary.log[same..]);
    }

    /// Whether a majority of the three instances has the log up to `lsn`.
    pub(crate) fn has_majority_at(&self, lsn: u64) -> bool {
        self.followers.values().any(|(acknowledged, _)| *acknowledged >= lsn)
    }

    /// Whether the primary has heard from a majority of the three instances after `since`.
    pub(crate) fn heard_majority_since(&self, since: Time) -> bool {
        self.followers.values().any(|(_, at)| *at > since)
    }
}
