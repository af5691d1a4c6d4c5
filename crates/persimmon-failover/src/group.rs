//! The failover of one group on one daemon: its duties, its evidence and its record.

mod promotion;

use std::collections::BTreeSet;
use std::sync::Arc;

use persimmon_kernel::{Action, Context, PeerMessage, ProbeFailure, Role, Status};
use persimmon_table::{InstanceState, Table};
use persimmon_types::{DaemonId, GroupRecord, ServiceId, Term, Time, TimelineKind};

use crate::change::Phase;
use crate::monitor::Monitor;
use crate::repair::{first_record, follow_if_stray};
use crate::rules::Rules;
use crate::writer::Writer;

/// One group's monitor, change and record.
#[derive(Debug)]
pub(crate) struct Group {
    name: Arc<str>,
    monitor: Monitor,
    phase: Phase,
    writer: Writer,
    /// Terms under which this daemon has ordered a promotion.
    spent: BTreeSet<Term>,
    /// Whether this daemon has a duty for the group.
    holds: bool,
    /// The order in which this daemon acts among the holders.
    turn: u32,
    /// Changes given up in a row in the present term.
    abandoned: u32,
    /// Whether this daemon looks after all instances and the record of the group.
    keeps: bool,
}

impl Group {
    pub(crate) fn new(name: Arc<str>) -> Self {
        Self {
            name,
            monitor: Monitor::default(),
            phase: Phase::Idle,
            writer: Writer::default(),
            spent: BTreeSet::new(),
            holds: false,
            turn: 0,
            abandoned: 0,
            keeps: false,
        }
    }

    fn record(&self, cx: &Context<'_>) -> Option<GroupRecord> {
        cx.shared.groups.get(&self.name).map(|g| g.record.clone()).filter(|r| r.term > Term(0))
    }

    fn table(cx: &Context<'_>) -> Arc<Table> {
        Arc::clone(&cx.shared.in_force.table)
    }

    fn service(&self, table: &Table) -> Option<ServiceId> {
        table.service(&self.name)
    }

    /// Whether this daemon has a duty for the group.
    pub(crate) fn holds(&self) -> bool {
        self.holds
    }

    /// Whether this daemon looks after all instances of the group.
    pub(crate) fn keeps(&self) -> bool {
        self.keeps
    }

    /// Whether nothing is under way for the group.
    pub(crate) fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && !self.writer.is_busy()
    }

    /// Lets time pass; `paced` are the rules with intervals stretched to this daemon's duties.
    pub(crate) fn tick(
        &mut self,
        cx: &mut Context<'_>,
        rules: &Rules,
        paced: &Rules,
        holders: &[DaemonId],
        is_settled: bool,
    ) {
        let turn = holders.iter().position(|h| *h == cx.shared.me);
        self.keeps = turn == Some(0);
        self.writer.advance(cx);
        let Some(record) = self.record(cx) else {
            self.holds = self.keeps;
            self.turn = 0;
            self.found(cx, rules, holders);
            return;
        };
        let reserved = record.reserved.iter().filter(|r| r.term > record.term);
        let reserved_turn = reserved.clone().position(|r| r.holder == cx.shared.me);
        self.holds = turn.is_some() || reserved_turn.is_some();
        self.turn = u32::try_from(reserved_turn.or(turn).unwrap_or_default()).unwrap_or_default();
        if !self.holds {
            self.phase = Phase::Idle;
            return;
        }
        if self.monitor.observe_term(cx.now, record.term) {
            self.abandoned = 0;
        }
        let pace = if self.monitor.last_failed() { rules } else { paced };
        self.probe(cx, pace, &record);
        if self.keeps && is_settled {
            self.keep_record(cx, &record, holders);
        }
        self.advance(cx, rules, &record);
    }

    /// Creates the group's first record.
    fn found(&mut self, cx: &mut Context<'_>, rules: &Rules, holders: &[DaemonId]) {
        if !self.holds {
            return;
        }
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        if cx.now >= self.monitor.next_survey {
            self.monitor.next_survey = cx.now + rules.probe_interval;
            self.survey(cx, &table, service);
        }
        if self.writer.is_busy() {
            return;
        }
        let Some(mut record) = first_record(&table, service, &self.monitor) else {
            return;
        };
        record.reserve(holders);
        record.writer = Some(cx.shared.me.clone());
        self.writer.want(cx, record);
    }

    fn survey(&self, cx: &mut Context<'_>, table: &Table, service: ServiceId) {
        for id in table.members(service) {
            let row = table.instance_row(*id);
            cx.act(Action::Probe { instance: Arc::clone(&row.name), address: row.address });
        }
    }

    fn probe(&mut self, cx: &mut Context<'_>, rules: &Rules, record: &GroupRecord) {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        if self.keeps && cx.now >= self.monitor.next_survey {
            self.monitor.next_survey = cx.now + rules.survey_interval;
            self.survey(cx, &table, service);
        }
        if cx.now < self.monitor.next_probe {
            return;
        }
        self.monitor.next_probe = cx.now + rules.probe_interval;
        let Some(id) = table.instance(&record.primary) else {
            return;
        };
        let row = table.instance_row(id);
        cx.act(Action::Probe { instance: Arc::clone(&row.name), address: row.address });
    }

    /// Writes the record if the store lacks this term, or its reservations are not for the
    /// daemons that should hold them.
    fn keep_record(&mut self, cx: &mut Context<'_>, record: &GroupRecord, holders: &[DaemonId]) {
        if self.writer.is_busy() || self.phase != Phase::Idle {
            return;
        }
        let stored = cx.shared.groups.get(&self.name).map(|g| g.stored_term).unwrap_or_default();
        if stored >= record.term && record.is_reserved_for(holders) {
            return;
        }
        let mut next = record.clone();
        next.reserve(holders);
        next.writer = Some(cx.shared.me.clone());
        next.nonce += 1;
        self.writer.want(cx, next);
    }

    /// Takes in a probe.
    pub(crate) fn probed(
        &mut self,
        cx: &mut Context<'_>,
        rules: &Rules,
        instance: &Arc<str>,
        outcome: &Result<Status, ProbeFailure>,
    ) {
        match outcome {
            Ok(status) => self.monitor.statuses.insert(Arc::clone(instance), *status),
            Err(_) => self.monitor.statuses.remove(instance),
        };
        let Some(record) = self.record(cx) else {
            return;
        };
        let table = Self::table(cx);
        if *instance == record.primary {
            self.monitor.take_in(cx.now, rules, outcome);
            self.answer_askers(cx, record.term);
        } else if let Ok(status) = outcome
            && self.keeps
            && self.phase == Phase::Idle
        {
            follow_if_stray(cx, &table, &record, instance, status);
        }
    }

    fn answer_askers(&mut self, cx: &mut Context<'_>, term: Term) {
        let agrees = self.monitor.last_failed();
        for asker in std::mem::take(&mut self.monitor.asked_by) {
            let service = Arc::clone(&self.name);
            cx.send(&asker, PeerMessage::Suspicion { service, term, agrees });
        }
    }

    /// A peer asks what this daemon sees of the primary.
    pub(crate) fn asked(&mut self, cx: &mut Context<'_>, from: &DaemonId, term: Term) {
        let known = cx.shared.term(&self.name);
        if known > term {
            let service = Arc::clone(&self.name);
            cx.send(from, PeerMessage::Suspicion { service, term, agrees: false });
            return;
        }
        self.monitor.asked_by.push(from.clone());
        if self.monitor.last_failed() {
            self.answer_askers(cx, term);
            return;
        }
        self.hurry(cx, term);
    }

    /// Probes the primary at once, whether or not this daemon has a duty for the group.
    pub(crate) fn hurry(&mut self, cx: &mut Context<'_>, term: Term) {
        let Some(record) = self.record(cx).filter(|r| r.term == term) else {
            return;
        };
        let table = Self::table(cx);
        let Some(id) = table.instance(&record.primary) else {
            return;
        };
        let row = table.instance_row(id);
        cx.act(Action::Probe { instance: Arc::clone(&row.name), address: row.address });
    }

    /// A holder says what it sees.
    pub(crate) fn opinion(&mut self, cx: &mut Context<'_>, term: Term, agrees: bool) {
        if term != cx.shared.term(&self.name) {
            return;
        }
        let Phase::Asking { agree, disagree, .. } = &mut self.phase else {
            return;
        };
        if agrees {
            *agree += 1;
        } else {
            *disagree += 1;
        }
    }

    /// Moves the change forward as far as time alone allows.
    fn advance(&mut self, cx: &mut Context<'_>, rules: &Rules, record: &GroupRecord) {
        match &self.phase {
            Phase::Idle => self.consider(cx, rules, record),
            Phase::Asking { since, agree, disagree } => {
                let (since, agree, disagree) = (*since, *agree, *disagree);
                self.weigh(cx, rules, record, since, agree, disagree);
            }
            Phase::Claiming { since, .. } => {
                if cx.now.since(*since) > rules.phase_limit {
                    self.abandon(cx, rules, Term(record.next_term), "the store does not answer");
                }
            }
            Phase::Sealing(_) => self.advance_seal(cx, rules),
            Phase::Promoting { .. } => self.advance_promotion(cx, rules),
            Phase::Backoff { until } => {
                if cx.now >= *until {
                    self.phase = Phase::Idle;
                }
            }
        }
    }

    /// Whether the primary lives but is to receive no more work.
    fn is_leaving(&self, cx: &Context<'_>, record: &GroupRecord) -> bool {
        let table = Self::table(cx);
        let row = table.instance(&record.primary).map(|id| table.instance_row(id));
        row.is_some_and(|row| row.state == InstanceState::Leaving)
    }

    /// Whether a majority of the group follows the primary, so that it can be replaced without
    /// being sealed first.
    fn can_do_without(&self, cx: &Context<'_>, record: &GroupRecord) -> bool {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return false;
        };
        let statuses = self.monitor.statuses.iter();
        let followers = statuses.filter(|(name, status)| {
            **name != record.primary
                && status.role == Role::Replica
                && status.term == record.term
                && status.sealed <= record.term
        });
        followers.count() >= table.majority(service)
    }

    fn consider(&mut self, cx: &mut Context<'_>, rules: &Rules, record: &GroupRecord) {
        let Some(reason) = self.monitor.suspicion(rules) else {
            if self.keeps && self.is_leaving(cx, record) && self.can_do_without(cx, record) {
                self.begin(cx, rules, record);
            }
            return;
        };
        self.phase = Phase::Asking { since: cx.now, agree: 0, disagree: 0 };
        cx.record(TimelineKind::PrimarySuspected {
            service: Arc::clone(&self.name),
            term: record.term,
            reason: Arc::from(reason),
        });
        for reservation in &record.reserved {
            if reservation.holder == cx.shared.me {
                continue;
            }
            let service = Arc::clone(&self.name);
            let message = PeerMessage::AskSuspicion { service, term: record.term };
            cx.send(&reservation.holder, message);
        }
    }

    fn weigh(
        &mut self,
        cx: &mut Context<'_>,
        rules: &Rules,
        record: &GroupRecord,
        since: Time,
        agree: u32,
        disagree: u32,
    ) {
        let waited = cx.now.since(since);
        if self.monitor.suspicion(rules).is_none() {
            self.phase = Phase::Idle;
            return;
        }
        let opinions_are_in = agree > 0 || waited >= rules.opinion_wait;
        if !opinions_are_in || waited < rules.stagger * self.turn {
            return;
        }
        if agree == 0 && disagree > 0 {
            self.phase = Phase::Backoff { until: cx.now + rules.backoff };
            return;
        }
        self.begin(cx, rules, record);
    }
}
