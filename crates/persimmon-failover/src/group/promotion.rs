//! The acts of one change of primary: taking a term, sealing, promoting and publishing.

use std::collections::BTreeSet;
use std::sync::Arc;

use persimmon_kernel::{
    Action, Context, GroupSeen, Order, OrderFailure, OrderOutcome, RequestId, StoreOutcome,
};
use persimmon_table::{InstanceState, Table};
use persimmon_types::{GroupRecord, Position, Reservation, Term, TermStart, TimelineKind};
use rand::Rng;

use super::Group;
use crate::change::{Phase, Sealing};
use crate::plugin::{is_superseded, learn};
use crate::repair::order_follow;
use crate::rules::{Omission, Rules};
use crate::writer::{key, parse};

impl Group {
    /// Takes a term and begins to seal it.
    pub(super) fn begin(&mut self, cx: &mut Context<'_>, rules: &Rules, record: &GroupRecord) {
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

    pub(super) fn advance_seal(&mut self, cx: &mut Context<'_>, rules: &Rules) {
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

    pub(super) fn advance_promotion(&mut self, cx: &mut Context<'_>, rules: &Rules) {
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

    pub(super) fn abandon(
        &mut self,
        cx: &mut Context<'_>,
        rules: &Rules,
        term: Term,
        reason: &str,
    ) {
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
