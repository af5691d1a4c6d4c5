//! The plug-in that runs the failover of every group that this daemon coordinates.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use linkme::distributed_slice;
use persimmon_kernel::{
    Action, CommandFailure, CommandOutcome, Context, Event, InstanceStatus, PLUGINS, PeerMessage,
    Plugin, PluginEntry, ProbeFailure, RequestId, StoreOutcome, VersionedGroupRecord,
};
use persimmon_types::{DaemonId, Term, Time, TimelineKind};

use crate::assignment::{AssignmentChange, Assignments};
use crate::config::FailoverConfig;
use crate::group::GroupFailover;

#[distributed_slice(PLUGINS)]
static ENTRY: PluginEntry = PluginEntry { order: 30, build: || Box::new(Failover::new()) };

/// How often the coordinator assignments are updated.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(200);

/// How often all groups are searched for terms reserved for this daemon. The cost of a search is
/// proportional to the number of groups.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Usual number of instances of a group, to limit the probe rate.
const TYPICAL_GROUP_SIZE: usize = 3;

/// The failover plug-in.
#[derive(Debug)]
pub struct Failover {
    config: FailoverConfig,
    /// The groups that this daemon coordinates or has a reserved term for.
    groups: BTreeMap<Arc<str>, GroupFailover>,
    assignments: Assignments,
    /// When a failed connection of this daemon's traffic last led to a probe, by service.
    suspected_at: BTreeMap<Arc<str>, Time>,
    next_assignment_at: Time,
    next_scan_at: Time,
    /// When the set of live daemons counts as settled, so that reserved terms may be reassigned.
    settled_at: Time,
}

impl Default for Failover {
    fn default() -> Self {
        Self::new()
    }
}

impl Failover {
    /// Creates the plug-in with the production configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::with_config(FailoverConfig::new())
    }

    /// Creates the plug-in with a given configuration.
    #[must_use]
    pub fn with_config(config: FailoverConfig) -> Self {
        Self {
            config,
            groups: BTreeMap::new(),
            assignments: Assignments::default(),
            suspected_at: BTreeMap::new(),
            next_assignment_at: Time::ZERO,
            next_scan_at: Time::ZERO,
            settled_at: Time::ZERO,
        }
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now >= self.next_assignment_at {
            self.next_assignment_at = cx.now + ASSIGNMENT_INTERVAL;
            self.update_assignments(cx);
        }
        let is_settled = cx.now >= self.settled_at;
        let coordinated = self.groups.values().filter(|g| g.is_coordinator()).count();
        let first = self.groups.values().filter(|g| g.is_first_coordinator()).count();
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let paced = self.config.with_load(to_u32(coordinated), to_u32(first * TYPICAL_GROUP_SIZE));
        for (name, group) in &mut self.groups {
            let coordinators = self.assignments.coordinators(name);
            group.tick(cx, &self.config, &paced, coordinators, is_settled);
        }
    }

    /// Maintains a state machine for each group that this daemon coordinates or has a reserved term
    /// for.
    fn update_assignments(&mut self, cx: &mut Context<'_>) {
        let table = Arc::clone(&cx.state.active_table.table);
        let version = cx.state.active_table.version;
        let change = self.assignments.update(cx.state.eligible_daemons(), version, &table);
        if change == AssignmentChange::Daemons {
            self.settled_at = cx.now + self.config.settle_time;
        }
        if change == AssignmentChange::None && cx.now < self.next_scan_at {
            return;
        }
        self.next_scan_at = cx.now + SCAN_INTERVAL;
        for row in &table.services {
            let name = &row.name;
            let is_coordinator = self.assignments.coordinators(name).contains(&cx.state.me);
            let record = cx.state.groups.get(name).map(|g| &g.record);
            let is_reserved = record.is_some_and(|r| r.reservation(&cx.state.me).is_some());
            if is_coordinator || is_reserved {
                let group = GroupFailover::new(Arc::clone(name));
                self.groups.entry(Arc::clone(name)).or_insert(group);
            } else if self.groups.get(name).is_some_and(GroupFailover::is_idle) {
                self.groups.remove(name);
            }
        }
        self.groups.retain(|name, _| table.service(name).is_some());
    }

    /// Has a primary probed immediately, by this daemon or by the coordinators of its group.
    fn on_suspicion(&mut self, cx: &mut Context<'_>, service: &Arc<str>, term: Term) {
        let last = self.suspected_at.entry(Arc::clone(service)).or_default();
        if cx.now < *last + self.config.probe_interval {
            return;
        }
        *last = cx.now;
        if let Some(group) = self.groups.get_mut(service) {
            group.probe_primary_now(cx, term);
            return;
        }
        for coordinator in self.assignments.coordinators(service) {
            let service = Arc::clone(service);
            cx.send(coordinator, PeerMessage::AskSuspicion { service, term });
        }
    }

    fn on_probe(
        &mut self,
        cx: &mut Context<'_>,
        instance: &Arc<str>,
        outcome: &Result<InstanceStatus, ProbeFailure>,
    ) {
        let table = Arc::clone(&cx.state.active_table.table);
        let Some(id) = table.instance(instance) else {
            return;
        };
        let service = &table.service_row(table.instance_row(id).service).name;
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        group.on_probe(cx, &self.config, instance, outcome);
    }

    fn on_command_outcome(
        &mut self,
        cx: &mut Context<'_>,
        instance: &Arc<str>,
        term: Term,
        outcome: CommandOutcome,
        is_promotion: bool,
    ) {
        for group in self.groups.values_mut() {
            if is_promotion {
                group.on_promoted(cx, &self.config, instance, term, outcome);
            } else {
                group.on_sealed(cx, &self.config, instance, term, outcome);
            }
        }
    }

    fn on_store_outcome(
        &mut self,
        cx: &mut Context<'_>,
        request: RequestId,
        outcome: &StoreOutcome,
    ) {
        for group in self.groups.values_mut() {
            if group.on_store_outcome(cx, &self.config, request, outcome) {
                return;
            }
        }
    }

    fn on_peer_message(&mut self, cx: &mut Context<'_>, from: &DaemonId, message: &PeerMessage) {
        match message {
            PeerMessage::Group(versioned) => apply_group_record(cx, versioned),
            PeerMessage::Heartbeat { terms, .. } if *terms != cx.state.term_sum() => {
                let known = cx.state.groups.iter().map(|(n, g)| (Arc::clone(n), g.record.term));
                let message = PeerMessage::AskGroups { known: known.collect() };
                cx.send(from, message);
            }
            PeerMessage::AskGroups { known } => send_newer_records(cx, from, known),
            PeerMessage::AskSuspicion { service, term } => {
                if let Some(group) = self.groups.get_mut(service) {
                    group.on_poll(cx, from, *term);
                }
            }
            PeerMessage::Suspicion { service, term, agrees } => {
                if let Some(group) = self.groups.get_mut(service) {
                    group.on_vote(cx, *term, *agrees);
                }
            }
            _ => {}
        }
    }
}

fn send_newer_records(cx: &mut Context<'_>, to: &DaemonId, known: &[(Arc<str>, Term)]) {
    let known: BTreeMap<&Arc<str>, Term> = known.iter().map(|(n, t)| (n, *t)).collect();
    let newer: Vec<VersionedGroupRecord> = cx
        .state
        .groups
        .iter()
        .filter(|(name, group)| known.get(name).is_none_or(|term| *term < group.record.term))
        .map(|(_, group)| VersionedGroupRecord {
            version: group.stored_version,
            record: group.record.clone(),
        })
        .collect();
    for versioned in newer {
        cx.send(to, PeerMessage::Group(versioned));
    }
}

/// Merges a group record. A new term becomes active, is recorded on the timeline and relayed to
/// peers.
pub(crate) fn apply_group_record(cx: &mut Context<'_>, versioned: &VersionedGroupRecord) {
    let was_known = cx.state.term(&versioned.record.service) > Term(0);
    if !cx.state.merge_group_record(versioned) {
        return;
    }
    let record = &versioned.record;
    cx.record(TimelineKind::TermInForce {
        service: Arc::clone(&record.service),
        term: record.term,
        primary: Arc::clone(&record.primary),
    });
    cx.publish();
    if !was_known {
        // After a start every group is new to this daemon, but its peers already know them.
        return;
    }
    let key = format!("group-{}-{}", record.service, record.term);
    for target in cx.state.relay_targets(&key) {
        cx.send(&target, PeerMessage::Group(versioned.clone()));
    }
}

impl Plugin for Failover {
    fn name(&self) -> &'static str {
        "failover"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Group(versioned) => apply_group_record(cx, versioned),
            Event::Store { request, outcome } => self.on_store_outcome(cx, *request, outcome),
            Event::Probed { instance, outcome, .. } => self.on_probe(cx, instance, outcome),
            Event::Sealed { instance, term, outcome } => {
                self.on_command_outcome(cx, instance, *term, *outcome, false);
            }
            Event::Promoted { instance, term, outcome } => {
                self.on_command_outcome(cx, instance, *term, *outcome, true);
            }
            Event::Peer { from, message } => self.on_peer_message(cx, from, message),
            Event::PrimaryConnectionFailed { service, term } => {
                self.on_suspicion(cx, service, *term);
            }
            Event::NewerTermReported { service, term } if *term > cx.state.term(service) => {
                cx.act(Action::StoreRead {
                    request: RequestId(0),
                    key: Arc::from(crate::writer::record_key(service)),
                });
            }
            _ => {}
        }
    }
}

/// Whether a control command failed because the instance has seen a newer term, or another
/// coordinator in the same term.
pub(crate) fn is_superseded(outcome: &CommandOutcome) -> bool {
    matches!(outcome, Err(CommandFailure::Superseded(_)))
}
