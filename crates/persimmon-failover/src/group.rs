//! The failover of one group on one daemon: role, failure evidence and group record.

mod promotion;

use std::collections::BTreeSet;
use std::sync::Arc;

use persimmon_kernel::{Action, Context, InstanceStatus, PeerMessage, ProbeFailure, Role};
use persimmon_table::{InstanceState, Table};
use persimmon_types::{DaemonId, GroupRecord, ServiceId, Term, Time, TimelineKind};

use crate::config::FailoverConfig;
use crate::monitor::Monitor;
use crate::promotion_phase::PromotionPhase;
use crate::repair::{first_record, repair_instance};
use crate::writer::RecordWriter;

/// The failover state machine of one group.
#[derive(Debug)]
pub(crate) struct GroupFailover {
    name: Arc<str>,
    monitor: Monitor,
    phase: PromotionPhase,
    writer: RecordWriter,
    /// Terms in which this daemon has sent a promote command.
    used_terms: BTreeSet<Term>,
    /// Whether this daemon is a coordinator of the group.
    is_coordinator: bool,
    /// The order in which this daemon acts among the coordinators.
    rank: u32,
    /// Consecutive abandoned failovers in the current term.
    abandoned_count: u32,
    /// Whether this daemon is the first coordinator, which probes all instances of the group and
    /// maintains its record.
    is_first_coordinator: bool,
}

impl GroupFailover {
    pub(crate) fn new(name: Arc<str>) -> Self {
        Self {
            name,
            monitor: Monitor::default(),
            phase: PromotionPhase::Idle,
            writer: RecordWriter::default(),
            used_terms: BTreeSet::new(),
            is_coordinator: false,
            rank: 0,
            abandoned_count: 0,
            is_first_coordinator: false,
        }
    }

    fn group_record(&self, cx: &Context<'_>) -> Option<GroupRecord> {
        cx.state.groups.get(&self.name).map(|g| g.record.clone()).filter(|r| r.term > Term(0))
    }

    fn table(cx: &Context<'_>) -> Arc<Table> {
        Arc::clone(&cx.state.active_table.table)
    }

    fn service(&self, table: &Table) -> Option<ServiceId> {
        table.service(&self.name)
    }

    /// Whether this daemon is a coordinator of the group.
    pub(crate) fn is_coordinator(&self) -> bool {
        self.is_coordinator
    }

    /// Whether this daemon is the first coordinator of the group.
    pub(crate) fn is_first_coordinator(&self) -> bool {
        self.is_first_coordinator
    }

    /// Whether no failover and no record update is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.phase == PromotionPhase::Idle && !self.writer.is_busy()
    }

    /// Advances the state machine to the current time. `paced` is `config` with the probe intervals
    /// extended for the number of groups that this daemon coordinates.
    pub(crate) fn tick(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        paced: &FailoverConfig,
        coordinators: &[DaemonId],
        is_settled: bool,
    ) {
        let coordinator_rank = coordinators.iter().position(|d| *d == cx.state.me);
        self.is_first_coordinator = coordinator_rank == Some(0);
        self.writer.advance(cx);
        let Some(record) = self.group_record(cx) else {
            self.is_coordinator = self.is_first_coordinator;
            self.rank = 0;
            self.create_record(cx, config, coordinators);
            return;
        };
        let reserved = record.reserved.iter().filter(|r| r.term > record.term);
        let reserved_rank = reserved.clone().position(|r| r.holder == cx.state.me);
        self.is_coordinator = coordinator_rank.is_some() || reserved_rank.is_some();
        self.rank = u32::try_from(reserved_rank.or(coordinator_rank).unwrap_or_default())
            .unwrap_or_default();
        if !self.is_coordinator {
            self.phase = PromotionPhase::Idle;
            return;
        }
        if self.monitor.observe_term(cx.now, record.term) {
            self.abandoned_count = 0;
        }
        let probe_config = if self.monitor.last_probe_failed() { config } else { paced };
        self.probe_if_due(cx, probe_config, &record);
        if self.is_first_coordinator && is_settled {
            self.update_record(cx, &record, coordinators);
        }
        self.advance(cx, config, &record);
    }

    /// Creates the first record of the group.
    fn create_record(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        coordinators: &[DaemonId],
    ) {
        if !self.is_coordinator {
            return;
        }
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        if cx.now >= self.monitor.next_full_probe_at {
            self.monitor.next_full_probe_at = cx.now + config.probe_interval;
            self.probe_all(cx, &table, service);
        }
        if self.writer.is_busy() {
            return;
        }
        let Some(mut record) = first_record(&table, service, &self.monitor) else {
            return;
        };
        record.reserve_terms(coordinators);
        record.writer = Some(cx.state.me.clone());
        self.writer.submit(cx, record);
    }

    fn probe_all(&self, cx: &mut Context<'_>, table: &Table, service: ServiceId) {
        for id in table.instances_of(service) {
            let row = table.instance_row(*id);
            cx.act(Action::Probe { instance: Arc::clone(&row.name), address: row.address });
        }
    }

    fn probe_if_due(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        record: &GroupRecord,
    ) {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return;
        };
        if self.is_first_coordinator && cx.now >= self.monitor.next_full_probe_at {
            self.monitor.next_full_probe_at = cx.now + config.full_probe_interval;
            self.probe_all(cx, &table, service);
        }
        if cx.now < self.monitor.next_probe_at {
            return;
        }
        self.monitor.next_probe_at = cx.now + config.probe_interval;
        let Some(id) = table.instance(&record.primary) else {
            return;
        };
        let row = table.instance_row(id);
        cx.act(Action::Probe { instance: Arc::clone(&row.name), address: row.address });
    }

    /// Writes the record if the store does not have this term, or if the reserved terms do not
    /// belong to the current coordinators.
    fn update_record(
        &mut self,
        cx: &mut Context<'_>,
        record: &GroupRecord,
        coordinators: &[DaemonId],
    ) {
        if self.writer.is_busy() || self.phase != PromotionPhase::Idle {
            return;
        }
        let stored = cx.state.groups.get(&self.name).map(|g| g.stored_term).unwrap_or_default();
        if stored >= record.term && record.is_reserved_for(coordinators) {
            return;
        }
        let mut next = record.clone();
        next.reserve_terms(coordinators);
        next.writer = Some(cx.state.me.clone());
        next.nonce += 1;
        self.writer.submit(cx, next);
    }

    /// Handles the outcome of a probe.
    pub(crate) fn on_probe(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        instance: &Arc<str>,
        outcome: &Result<InstanceStatus, ProbeFailure>,
    ) {
        match outcome {
            Ok(status) => self.monitor.statuses.insert(Arc::clone(instance), *status),
            Err(_) => self.monitor.statuses.remove(instance),
        };
        let Some(record) = self.group_record(cx) else {
            return;
        };
        let table = Self::table(cx);
        if *instance == record.primary {
            self.monitor.record_probe(cx.now, config, outcome);
            self.answer_polls(cx, record.term);
        } else if let Ok(status) = outcome
            && self.is_first_coordinator
            && self.phase == PromotionPhase::Idle
        {
            repair_instance(cx, &table, &record, instance, status);
        }
    }

    /// Answers the pending polls with the result of the last probe.
    fn answer_polls(&mut self, cx: &mut Context<'_>, term: Term) {
        let agrees = self.monitor.last_probe_failed();
        for peer in std::mem::take(&mut self.monitor.pending_polls) {
            let service = Arc::clone(&self.name);
            cx.send(&peer, PeerMessage::Suspicion { service, term, agrees });
        }
    }

    /// Handles the poll of a peer that suspects the primary.
    pub(crate) fn on_poll(&mut self, cx: &mut Context<'_>, from: &DaemonId, term: Term) {
        let known = cx.state.term(&self.name);
        if known > term {
            let service = Arc::clone(&self.name);
            cx.send(from, PeerMessage::Suspicion { service, term, agrees: false });
            return;
        }
        self.monitor.pending_polls.push(from.clone());
        if self.monitor.last_probe_failed() {
            self.answer_polls(cx, term);
            return;
        }
        self.probe_primary_now(cx, term);
    }

    /// Probes the primary immediately, whether or not this daemon is a coordinator of the group.
    pub(crate) fn probe_primary_now(&mut self, cx: &mut Context<'_>, term: Term) {
        let Some(record) = self.group_record(cx).filter(|r| r.term == term) else {
            return;
        };
        let table = Self::table(cx);
        let Some(id) = table.instance(&record.primary) else {
            return;
        };
        let row = table.instance_row(id);
        cx.act(Action::Probe { instance: Arc::clone(&row.name), address: row.address });
    }

    /// Counts the vote of a peer.
    pub(crate) fn on_vote(&mut self, cx: &mut Context<'_>, term: Term, agrees: bool) {
        if term != cx.state.term(&self.name) {
            return;
        }
        let PromotionPhase::PollingPeers { agree, disagree, .. } = &mut self.phase else {
            return;
        };
        if agrees {
            *agree += 1;
        } else {
            *disagree += 1;
        }
    }

    /// Performs the transitions that depend only on time.
    fn advance(&mut self, cx: &mut Context<'_>, config: &FailoverConfig, record: &GroupRecord) {
        match &self.phase {
            PromotionPhase::Idle => self.check_primary(cx, config, record),
            PromotionPhase::PollingPeers { since, agree, disagree } => {
                let (since, agree, disagree) = (*since, *agree, *disagree);
                self.evaluate_votes(cx, config, record, since, agree, disagree);
            }
            PromotionPhase::ReservingTerm { since, .. } => {
                if cx.now.since(*since) > config.phase_timeout {
                    self.abandon(cx, config, Term(record.next_term), "the store does not answer");
                }
            }
            PromotionPhase::Sealing(_) => self.advance_seal(cx, config),
            PromotionPhase::Promoting { .. } => self.advance_promotion(cx, config),
            PromotionPhase::Backoff { until } => {
                if cx.now >= *until {
                    self.phase = PromotionPhase::Idle;
                }
            }
        }
    }

    /// Whether the table marks the primary as draining, so that it has to be replaced.
    fn is_primary_draining(&self, cx: &Context<'_>, record: &GroupRecord) -> bool {
        let table = Self::table(cx);
        let row = table.instance(&record.primary).map(|id| table.instance_row(id));
        row.is_some_and(|row| row.state == InstanceState::Draining)
    }

    /// Whether a majority of the group follows the primary, so that it can be replaced without
    /// being sealed first.
    fn has_majority_of_followers(&self, cx: &Context<'_>, record: &GroupRecord) -> bool {
        let table = Self::table(cx);
        let Some(service) = self.service(&table) else {
            return false;
        };
        let statuses = self.monitor.statuses.iter();
        let followers = statuses.filter(|(name, status)| {
            **name != record.primary
                && status.role == Role::Replica
                && status.term == record.term
                && status.sealed_term <= record.term
        });
        followers.count() >= table.majority(service)
    }

    /// Suspects a failed primary and polls the other coordinators; replaces a draining primary.
    fn check_primary(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        record: &GroupRecord,
    ) {
        let Some(reason) = self.monitor.suspicion_reason(config) else {
            if self.is_first_coordinator
                && self.is_primary_draining(cx, record)
                && self.has_majority_of_followers(cx, record)
            {
                self.start_failover(cx, config, record);
            }
            return;
        };
        self.phase = PromotionPhase::PollingPeers { since: cx.now, agree: 0, disagree: 0 };
        cx.record(TimelineKind::PrimarySuspected {
            service: Arc::clone(&self.name),
            term: record.term,
            reason: Arc::from(reason),
        });
        for reservation in &record.reserved {
            if reservation.holder == cx.state.me {
                continue;
            }
            let service = Arc::clone(&self.name);
            let poll = PeerMessage::AskSuspicion { service, term: record.term };
            cx.send(&reservation.holder, poll);
        }
    }

    /// Starts the failover, or backs off if only votes against it arrived. Coordinators start in
    /// the order of their rank.
    fn evaluate_votes(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        record: &GroupRecord,
        since: Time,
        agree: u32,
        disagree: u32,
    ) {
        let elapsed = cx.now.since(since);
        if self.monitor.suspicion_reason(config).is_none() {
            self.phase = PromotionPhase::Idle;
            return;
        }
        let is_poll_over = agree > 0 || elapsed >= config.vote_timeout;
        if !is_poll_over || elapsed < config.coordinator_stagger * self.rank {
            return;
        }
        if agree == 0 && disagree > 0 {
            self.phase = PromotionPhase::Backoff { until: cx.now + config.min_backoff };
            return;
        }
        self.start_failover(cx, config, record);
    }
}
