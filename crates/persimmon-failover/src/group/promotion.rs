//! The steps of one failover: reserving a term, sealing, promoting and publishing.

use std::collections::BTreeSet;
use std::sync::Arc;

use persimmon_kernel::{
    Action, CommandFailure, CommandOutcome, Context, ControlCommand, RequestId, StoreOutcome,
    VersionedGroupRecord,
};
use persimmon_table::{InstanceState, Table};
use persimmon_types::{GroupRecord, Position, Term, TermReservation, TermStart, TimelineKind};
use rand::Rng;

use super::GroupFailover;
use crate::config::{DisabledSafeguard, FailoverConfig};
use crate::plugin::{apply_group_record, is_superseded};
use crate::promotion_phase::{PromotionPhase, SealProgress};
use crate::repair::send_follow;
use crate::writer::{parse_record, record_key};

impl GroupFailover {
    /// Starts to seal in a reserved term; without an unused one, reserves a term first.
    pub(super) fn start_failover(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        record: &GroupRecord,
    ) {
        if config.disabled == DisabledSafeguard::ReservedTerm {
            self.seal(cx, config, Term(record.term.0 + 1));
            return;
        }
        let reservation =
            record.reservation(&cx.state.me).filter(|r| !self.used_terms.contains(&r.term));
        match reservation {
            Some(reservation) => self.seal(cx, config, reservation.term),
            None => self.reserve_term(cx, record),
        }
    }

    /// Reserves the next free term for this daemon.
    fn reserve_term(&mut self, cx: &mut Context<'_>, record: &GroupRecord) {
        let mut next = record.clone();
        let me = cx.state.me.clone();
        next.reserved.retain(|r| r.holder != me);
        next.reserved.push(TermReservation { term: Term(next.next_term), holder: me.clone() });
        next.next_term += 1;
        next.writer = Some(me);
        next.nonce += 1;
        let expect = cx.state.groups.get(&self.name).map_or(0, |g| g.stored_version);
        let Ok(value) = serde_json::to_string(&next) else {
            return;
        };
        let request = cx.store_write(&record_key(&self.name), expect, Arc::from(value));
        self.phase = PromotionPhase::ReservingTerm { request, since: cx.now };
    }

    fn seal(&mut self, cx: &mut Context<'_>, config: &FailoverConfig, term: Term) {
        let record = self.group_record(cx);
        // A healthy draining primary continues to serve until its replicas are sealed. If it were
        // sealed too, it would have the highest position and be selected again.
        let is_healthy = self.monitor.suspicion_reason(config).is_none();
        let draining_primary =
            record.filter(|r| is_healthy && self.is_primary_draining(cx, r)).map(|r| r.primary);
        let skipped: BTreeSet<Arc<str>> = draining_primary.iter().cloned().collect();
        self.phase = PromotionPhase::Sealing(SealProgress::new(term, cx.now, draining_primary));
        cx.record(TimelineKind::FailoverBegan { service: Arc::clone(&self.name), term });
        self.send_seals(cx, term, &skipped);
    }

    fn send_seals(&self, cx: &mut Context<'_>, term: Term, skipped: &BTreeSet<Arc<str>>) {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        for id in table.instances_of(service) {
            let row = table.instance_row(*id);
            if skipped.contains(&row.name) {
                continue;
            }
            let command = ControlCommand::Seal { term, coordinator: cx.state.me.clone() };
            cx.act(Action::Command {
                instance: Arc::clone(&row.name),
                address: row.address,
                command,
            });
        }
    }

    pub(super) fn advance_seal(&mut self, cx: &mut Context<'_>, config: &FailoverConfig) {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        let PromotionPhase::Sealing(sealing) = &mut self.phase else {
            return;
        };
        let instances = table.instances_of(service).len();
        if sealing.is_ready(config, cx.now, instances, table.majority(service)) {
            self.promote(cx, config, &table);
            return;
        }
        let term = sealing.term;
        let is_timed_out = cx.now.since(sealing.since) > config.phase_timeout;
        if is_timed_out && sealing.draining_primary.take().is_some() {
            // A replica failed meanwhile. Sealed replicas no longer follow the old term, so the
            // failover has to continue; the draining primary is now sealed too.
            sealing.since = cx.now;
        } else if is_timed_out {
            self.abandon(cx, config, term, "no majority could be sealed");
            return;
        }
        if cx.now.since(sealing.last_sent) < config.resend_interval {
            return;
        }
        sealing.last_sent = cx.now;
        sealing.failed.clear();
        let mut skipped: BTreeSet<Arc<str>> = sealing.sealed_ends.keys().cloned().collect();
        skipped.extend(sealing.draining_primary.clone());
        self.send_seals(cx, term, &skipped);
    }

    /// Handles the outcome of a seal command.
    pub(crate) fn on_sealed(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        instance: &Arc<str>,
        term: Term,
        outcome: CommandOutcome,
    ) {
        let PromotionPhase::Sealing(sealing) = &mut self.phase else {
            return;
        };
        let is_in_group = Self::table(cx).instance(instance).is_some_and(|id| {
            *Self::table(cx).service_row(Self::table(cx).instance_row(id).service).name
                == *self.name
        });
        if sealing.term != term || !is_in_group {
            return;
        }
        if is_superseded(&outcome) {
            self.abandon(cx, config, term, "an instance refuses the term");
            cx.store_read(&record_key(&self.name));
            return;
        }
        match outcome {
            Ok(end) => {
                sealing.failed.remove(instance);
                sealing.sealed_ends.insert(Arc::clone(instance), end);
            }
            Err(_) => {
                sealing.failed.insert(Arc::clone(instance));
            }
        }
        self.advance_seal(cx, config);
    }

    fn promote(&mut self, cx: &mut Context<'_>, config: &FailoverConfig, table: &Table) {
        let PromotionPhase::Sealing(sealing) = &self.phase else {
            return;
        };
        let is_serving = |name: &str| {
            let row = table.instance(name).map(|id| table.instance_row(id));
            row.is_some_and(|row| row.state == InstanceState::Serving)
        };
        let Some(target) = sealing.select_target(config, is_serving) else {
            return;
        };
        let term = sealing.term;
        self.used_terms.insert(term);
        cx.record(TimelineKind::TermSealed { service: Arc::clone(&self.name), term });
        self.phase = PromotionPhase::Promoting {
            term,
            target: Arc::clone(&target),
            since: cx.now,
            last_sent: cx.now,
        };
        self.send_promotion(cx, term, &target);
    }

    fn send_promotion(&self, cx: &mut Context<'_>, term: Term, target: &Arc<str>) {
        let table = Self::table(cx);
        let Some(id) = table.instance(target) else {
            return;
        };
        let command = ControlCommand::Promote { term, coordinator: cx.state.me.clone() };
        let address = table.instance_row(id).address;
        cx.act(Action::Command { instance: Arc::clone(target), address, command });
    }

    pub(super) fn advance_promotion(&mut self, cx: &mut Context<'_>, config: &FailoverConfig) {
        let now = cx.now;
        let PromotionPhase::Promoting { term, target, since, last_sent } = &mut self.phase else {
            return;
        };
        let (term, target) = (*term, Arc::clone(target));
        if now.since(*since) > config.phase_timeout {
            if config.disabled == DisabledSafeguard::OneTargetPerTerm {
                self.seal(cx, config, term);
                return;
            }
            // The command may have taken effect, so no other instance may be promoted in this term.
            self.abandon(cx, config, term, "the promotion was not confirmed");
            return;
        }
        if now.since(*last_sent) < config.resend_interval {
            return;
        }
        *last_sent = now;
        self.send_promotion(cx, term, &target);
    }

    /// Handles the outcome of a promote command.
    pub(crate) fn on_promoted(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        instance: &Arc<str>,
        term: Term,
        outcome: CommandOutcome,
    ) {
        let PromotionPhase::Promoting { term: expected, target, .. } = &self.phase else {
            return;
        };
        if *expected != term || target != instance {
            return;
        }
        match outcome {
            Ok(inherited) => self.finish(cx, instance, term, inherited),
            Err(CommandFailure::Superseded(_)) => {
                self.abandon(cx, config, term, "the chosen instance refuses the term");
                cx.store_read(&record_key(&self.name));
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
        let Some(mut record) = self.group_record(cx) else {
            return;
        };
        self.phase = PromotionPhase::Idle;
        if record.term >= term {
            return;
        }
        record.term = term;
        record.primary = Arc::clone(primary);
        record.starts.push(TermStart { term, inherited: inherited.lsn });
        record.next_term = record.next_term.max(term.0 + 1);
        record.reserved.retain(|r| r.term > term);
        record.writer = Some(cx.state.me.clone());
        record.nonce += 1;
        let service = Arc::clone(&self.name);
        cx.record(TimelineKind::Promoted { service, term, primary: Arc::clone(primary) });
        let versioned = VersionedGroupRecord { version: 0, record: record.clone() };
        apply_group_record(cx, &versioned);
        self.send_follow_to_all(cx, &record);
        self.writer.submit(cx, record);
    }

    fn send_follow_to_all(&self, cx: &mut Context<'_>, record: &GroupRecord) {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        for id in table.instances_of(service) {
            let name = Arc::clone(&table.instance_row(*id).name);
            if name != record.primary {
                send_follow(cx, &table, record, &name);
            }
        }
    }

    pub(super) fn abandon(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        term: Term,
        reason: &str,
    ) {
        // Random exponential backoff keeps coordinators from superseding each other repeatedly.
        let growth = 1_u32 << self.abandoned_count.min(config.max_backoff_doublings);
        let jitter = cx.rng.random_range(1.0..2.0);
        self.abandoned_count += 1;
        self.phase = PromotionPhase::Backoff {
            until: cx.now + (config.min_backoff * growth).mul_f64(jitter),
        };
        cx.record(TimelineKind::FailoverAbandoned {
            service: Arc::clone(&self.name),
            term,
            reason: Arc::from(reason),
        });
    }

    /// Handles the outcome of a store call; returns whether the call was issued by this group.
    pub(crate) fn on_store_outcome(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        request: RequestId,
        outcome: &StoreOutcome,
    ) -> bool {
        if self.writer.on_store_outcome(cx, config, request, outcome) {
            return true;
        }
        if let StoreOutcome::Found(version, text) = outcome {
            self.apply_stored_record(cx, *version, text);
        }
        let PromotionPhase::ReservingTerm { request: expected, since } = &self.phase else {
            return false;
        };
        if *expected != request {
            return false;
        }
        let since = *since;
        match outcome {
            StoreOutcome::Conflict(version, text) => self.apply_stored_record(cx, *version, text),
            StoreOutcome::Unavailable => {
                // The reservation may have taken effect, so the record is read again.
                let request = cx.store_read(&record_key(&self.name));
                self.phase = PromotionPhase::ReservingTerm { request, since };
                return true;
            }
            _ => {}
        }
        if let StoreOutcome::Written(_) = outcome {
            let request = cx.store_read(&record_key(&self.name));
            self.phase = PromotionPhase::ReservingTerm { request, since };
            return true;
        }
        let Some(record) = self.group_record(cx) else {
            return true;
        };
        if self.monitor.suspicion_reason(config).is_none() && !self.is_primary_draining(cx, &record)
        {
            self.phase = PromotionPhase::Idle;
            return true;
        }
        self.start_failover(cx, config, &record);
        true
    }

    fn apply_stored_record(&mut self, cx: &mut Context<'_>, version: u64, text: &str) {
        let Some(record) = parse_record(text).filter(|r| r.service == self.name) else {
            return;
        };
        apply_group_record(cx, &VersionedGroupRecord { version, record });
    }
}
