//! The failover of one group on one daemon.

use std::collections::BTreeSet;
use std::sync::Arc;

use persimmon_kernel::{
    Action, Context, GroupSeen, Order, OrderFailure, OrderOutcome, PeerMessage, ProbeFailure,
    RequestId, Role, Status, StoreOutcome,
};
use persimmon_table::{InstanceState, Table};
use persimmon_types::{
    DaemonId, GroupRecord, Position, Reservation, ServiceId, Term, TermStart, Time, TimelineKind,
};
use rand::Rng;

use crate::change::{Phase, Sealing};
use crate::monitor::Monitor;
use crate::plugin::{is_superseded, learn};
use crate::repair::{first_record, follow_if_stray, order_follow};
use crate::rules::{Omission, Rules};
use crate::writer::{Writer, key, parse};

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
        if self.monitor.observe_term(record.term) {
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
            self.monitor.take_in(rules, outcome);
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

    /// Takes a term and begins to seal it.
    fn begin(&mut self, cx: &mut Context<'_>, rules: &Rules, record: &GroupRecord) {
        if rules.omit == Omission::ReservedTerm {
            self.seal(cx, rules, Term(record.term.0 + 1));
            return;
        }
        let reservation =
            record.reservation(&cx.shared.me).filter(|r| !self.spent.contains(&r.term));
        match reservation {
            Some(reservation) => self.seal(cx, rules, reservation.term),
            None => self.claim(cx, record),
        }
    }

    fn claim(&mut self, cx: &mut Context<'_>, record: &GroupRecord) {
        let mut next = record.clone();
        let holder = cx.shared.me.clone();
        next.reserved.retain(|r| r.holder != holder);
        next.reserved.push(Reservation { term: Term(next.next_term), holder: holder.clone() });
        next.next_term += 1;
        next.writer = Some(holder);
        next.nonce += 1;
        let expect = cx.shared.groups.get(&self.name).map_or(0, |g| g.version);
        let Ok(value) = serde_json::to_string(&next) else {
            return;
        };
        let request = cx.store_write(&key(&self.name), expect, Arc::from(value));
        self.phase = Phase::Claiming { request, since: cx.now };
    }

    fn seal(&mut self, cx: &mut Context<'_>, rules: &Rules, term: Term) {
        let record = self.record(cx);
        // A primary that lives goes on serving until its replicas are sealed; had it been sealed
        // too, it would hold the highest position and be chosen again.
        let lives = self.monitor.suspicion(rules).is_none();
        let spared = record.filter(|r| lives && self.is_leaving(cx, r)).map(|r| r.primary);
        let except: BTreeSet<Arc<str>> = spared.iter().cloned().collect();
        self.phase = Phase::Sealing(Sealing::new(term, cx.now, spared));
        cx.record(TimelineKind::FailoverBegan { service: Arc::clone(&self.name), term });
        self.send_seals(cx, term, &except);
    }

    fn send_seals(&self, cx: &mut Context<'_>, term: Term, except: &BTreeSet<Arc<str>>) {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        for id in table.members(service) {
            let row = table.instance_row(*id);
            if except.contains(&row.name) {
                continue;
            }
            let order = Order::Seal { term, decider: cx.shared.me.clone() };
            cx.act(Action::Order { instance: Arc::clone(&row.name), address: row.address, order });
        }
    }

    fn advance_seal(&mut self, cx: &mut Context<'_>, rules: &Rules) {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        let Phase::Sealing(sealing) = &mut self.phase else {
            return;
        };
        let members = table.members(service).len();
        if sealing.is_ready(rules, cx.now, members, table.majority(service)) {
            self.promote(cx, rules, &table);
            return;
        }
        let term = sealing.term;
        let is_over = cx.now.since(sealing.since) > rules.phase_limit;
        if is_over && sealing.spared.take().is_some() {
            // A replica failed meanwhile. Those sealed follow no older term, so the change must go
            // on, with the primary that was to be replaced.
            sealing.since = cx.now;
        } else if is_over {
            self.abandon(cx, rules, term, "no majority could be sealed");
            return;
        }
        if cx.now.since(sealing.sent) < rules.resend_after {
            return;
        }
        sealing.sent = cx.now;
        sealing.failed.clear();
        let mut done: BTreeSet<Arc<str>> = sealing.sealed.keys().cloned().collect();
        done.extend(sealing.spared.clone());
        self.send_seals(cx, term, &done);
    }

    /// Takes in the answer to a seal.
    pub(crate) fn sealed(
        &mut self,
        cx: &mut Context<'_>,
        rules: &Rules,
        instance: &Arc<str>,
        term: Term,
        outcome: OrderOutcome,
    ) {
        let Phase::Sealing(sealing) = &mut self.phase else {
            return;
        };
        let is_mine = Self::table(cx).instance(instance).is_some_and(|id| {
            *Self::table(cx).service_row(Self::table(cx).instance_row(id).service).name
                == *self.name
        });
        if sealing.term != term || !is_mine {
            return;
        }
        if is_superseded(&outcome) {
            self.abandon(cx, rules, term, "an instance refuses the term");
            cx.store_read(&key(&self.name));
            return;
        }
        match outcome {
            Ok(end) => {
                sealing.failed.remove(instance);
                sealing.sealed.insert(Arc::clone(instance), end);
            }
            Err(_) => {
                sealing.failed.insert(Arc::clone(instance));
            }
        }
        self.advance_seal(cx, rules);
    }

    fn promote(&mut self, cx: &mut Context<'_>, rules: &Rules, table: &Table) {
        let Phase::Sealing(sealing) = &self.phase else {
            return;
        };
        let is_serving = |name: &str| {
            let row = table.instance(name).map(|id| table.instance_row(id));
            row.is_some_and(|row| row.state == InstanceState::Serving)
        };
        let Some(target) = sealing.choose(rules, is_serving) else {
            return;
        };
        let term = sealing.term;
        self.spent.insert(term);
        cx.record(TimelineKind::TermSealed { service: Arc::clone(&self.name), term });
        self.phase =
            Phase::Promoting { term, target: Arc::clone(&target), since: cx.now, sent: cx.now };
        self.send_promotion(cx, term, &target);
    }

    fn send_promotion(&self, cx: &mut Context<'_>, term: Term, target: &Arc<str>) {
        let table = Self::table(cx);
        let Some(id) = table.instance(target) else {
            return;
        };
        let order = Order::Promote { term, decider: cx.shared.me.clone() };
        let address = table.instance_row(id).address;
        cx.act(Action::Order { instance: Arc::clone(target), address, order });
    }

    fn advance_promotion(&mut self, cx: &mut Context<'_>, rules: &Rules) {
        let now = cx.now;
        let Phase::Promoting { term, target, since, sent } = &mut self.phase else {
            return;
        };
        let (term, target) = (*term, Arc::clone(target));
        if now.since(*since) > rules.phase_limit {
            if rules.omit == Omission::OneTargetPerTerm {
                self.seal(cx, rules, term);
                return;
            }
            // The order may have taken effect, so nothing else may be promoted under this term.
            self.abandon(cx, rules, term, "the promotion was not confirmed");
            return;
        }
        if now.since(*sent) < rules.resend_after {
            return;
        }
        *sent = now;
        self.send_promotion(cx, term, &target);
    }

    /// Takes in the answer to a promotion.
    pub(crate) fn promoted(
        &mut self,
        cx: &mut Context<'_>,
        rules: &Rules,
        instance: &Arc<str>,
        term: Term,
        outcome: OrderOutcome,
    ) {
        let Phase::Promoting { term: wanted, target, .. } = &self.phase else {
            return;
        };
        if *wanted != term || target != instance {
            return;
        }
        match outcome {
            Ok(inherited) => self.finish(cx, instance, term, inherited),
            Err(OrderFailure::Superseded(_)) => {
                self.abandon(cx, rules, term, "the chosen instance refuses the term");
                cx.store_read(&key(&self.name));
            }
            Err(_) => {}
        }
    }

    fn finish(
        &mut self,
        cx: &mut Context<'_>,
        primary: &Arc<str>,
        term: Term,
        inherited: Position,
    ) {
        let Some(mut record) = self.record(cx) else {
            return;
        };
        self.phase = Phase::Idle;
        if record.term >= term {
            return;
        }
        record.term = term;
        record.primary = Arc::clone(primary);
        record.starts.push(TermStart { term, inherited: inherited.lsn });
        record.next_term = record.next_term.max(term.0 + 1);
        record.reserved.retain(|r| r.term > term);
        record.writer = Some(cx.shared.me.clone());
        record.nonce += 1;
        let service = Arc::clone(&self.name);
        cx.record(TimelineKind::Promoted { service, term, primary: Arc::clone(primary) });
        let seen = GroupSeen { version: 0, record: record.clone() };
        learn(cx, &seen);
        self.order_all(cx, &record);
        self.writer.want(cx, record);
    }

    fn order_all(&self, cx: &mut Context<'_>, record: &GroupRecord) {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        for id in table.members(service) {
            let name = Arc::clone(&table.instance_row(*id).name);
            if name != record.primary {
                order_follow(cx, &table, record, &name);
            }
        }
    }

    fn abandon(&mut self, cx: &mut Context<'_>, rules: &Rules, term: Term, reason: &str) {
        // Randomised, growing pauses keep deciders from superseding each other for ever.
        let growth = 1_u32 << self.abandoned.min(rules.backoff_doublings);
        let jitter = cx.rng.random_range(1.0..2.0);
        self.abandoned += 1;
        self.phase = Phase::Backoff { until: cx.now + (rules.backoff * growth).mul_f64(jitter) };
        cx.record(TimelineKind::FailoverAbandoned {
            service: Arc::clone(&self.name),
            term,
            reason: Arc::from(reason),
        });
    }

    /// Takes in the outcome of a store call; says whether it was this group's.
    pub(crate) fn stored(
        &mut self,
        cx: &mut Context<'_>,
        rules: &Rules,
        request: RequestId,
        outcome: &StoreOutcome,
    ) -> bool {
        if self.writer.take_in(cx, rules, request, outcome) {
            return true;
        }
        if let StoreOutcome::Found(version, text) = outcome {
            self.see(cx, *version, text);
        }
        let Phase::Claiming { request: claim, since } = &self.phase else {
            return false;
        };
        if *claim != request {
            return false;
        }
        let since = *since;
        match outcome {
            StoreOutcome::Conflict(version, text) => self.see(cx, *version, text),
            StoreOutcome::Unavailable => {
                // The claim may have taken effect; the record tells.
                let request = cx.store_read(&key(&self.name));
                self.phase = Phase::Claiming { request, since };
                return true;
            }
            _ => {}
        }
        if let StoreOutcome::Written(_) = outcome {
            let request = cx.store_read(&key(&self.name));
            self.phase = Phase::Claiming { request, since };
            return true;
        }
        let Some(record) = self.record(cx) else {
            return true;
        };
        if self.monitor.suspicion(rules).is_none() && !self.is_leaving(cx, &record) {
            self.phase = Phase::Idle;
            return true;
        }
        self.begin(cx, rules, &record);
        true
    }

    fn see(&mut self, cx: &mut Context<'_>, version: u64, text: &str) {
        let Some(record) = parse(text).filter(|r| r.service == self.name) else {
            return;
        };
        learn(cx, &GroupSeen { version, record });
    }
}
