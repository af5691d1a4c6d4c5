//! The plug-in that runs the failover of every group for which this daemon has a duty.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use linkme::distributed_slice;
use persimmon_kernel::{
    Action, Context, Event, GroupSeen, OrderFailure, OrderOutcome, PLUGINS, PeerMessage, Plugin,
    PluginEntry, ProbeFailure, RequestId, Status, StoreOutcome,
};
use persimmon_types::{DaemonId, Term, Time, TimelineKind};

use crate::duty::{Duties, DutyChange};
use crate::group::Group;
use crate::rules::Rules;

#[distributed_slice(PLUGINS)]
static ENTRY: PluginEntry = PluginEntry { order: 30, build: || Box::new(Failover::new()) };

/// How often duties are compared with the live daemons.
const DUTY_INTERVAL: Duration = Duration::from_millis(200);

/// How often all groups are searched for reservations of this daemon; each search costs time in
/// proportion to the number of groups.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// How many instances a group has as a rule, to pace probes.
const INSTANCES_PER_GROUP: usize = 3;

/// Runs the failover of groups.
#[derive(Debug)]
pub struct Failover {
    rules: Rules,
    /// The groups for which this daemon may have to act.
    groups: BTreeMap<Arc<str>, Group>,
    duties: Duties,
    /// When this daemon's own traffic last raised a suspicion.
    suspected: BTreeMap<Arc<str>, Time>,
    next_duties: Time,
    next_scan: Time,
    settled_at: Time,
}

impl Default for Failover {
    fn default() -> Self {
        Self::new()
    }
}

impl Failover {
    /// Creates the plug-in with the timing in use.
    #[must_use]
    pub fn new() -> Self {
        Self::with_rules(Rules::new())
    }

    /// Creates the plug-in with other timing.
    #[must_use]
    pub fn with_rules(rules: Rules) -> Self {
        Self {
            rules,
            groups: BTreeMap::new(),
            duties: Duties::default(),
            suspected: BTreeMap::new(),
            next_duties: Time::ZERO,
            next_scan: Time::ZERO,
            settled_at: Time::ZERO,
        }
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now >= self.next_duties {
            self.next_duties = cx.now + DUTY_INTERVAL;
            self.update_duties(cx);
        }
        let is_settled = cx.now >= self.settled_at;
        let held = self.groups.values().filter(|g| g.holds()).count();
        let kept = self.groups.values().filter(|g| g.keeps()).count();
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let paced = self.rules.with_duties(number(held), number(kept * INSTANCES_PER_GROUP));
        for (name, group) in &mut self.groups {
            let holders = self.duties.holders(name);
            group.tick(cx, &self.rules, &paced, holders, is_settled);
        }
    }

    /// Keeps a machine for each group for which this daemon may have to act.
    fn update_duties(&mut self, cx: &mut Context<'_>) {
        let table = Arc::clone(&cx.shared.in_force.table);
        let version = cx.shared.in_force.version;
        let change = self.duties.update(cx.shared.members(), version, &table);
        if change == DutyChange::Members {
            self.settled_at = cx.now + self.rules.settle;
        }
        if change == DutyChange::None && cx.now < self.next_scan {
            return;
        }
        self.next_scan = cx.now + SCAN_INTERVAL;
        for row in &table.services {
            let name = &row.name;
            let is_holder = self.duties.holders(name).contains(&cx.shared.me);
            let record = cx.shared.groups.get(name).map(|g| &g.record);
            let is_reserved = record.is_some_and(|r| r.reservation(&cx.shared.me).is_some());
            if is_holder || is_reserved {
                let group = Group::new(Arc::clone(name));
                self.groups.entry(Arc::clone(name)).or_insert(group);
            } else if self.groups.get(name).is_some_and(Group::is_idle) {
                self.groups.remove(name);
            }
        }
        self.groups.retain(|name, _| table.service(name).is_some());
    }

    /// Has a primary probed at once, here or by the holders of its group.
    fn suspect(&mut self, cx: &mut Context<'_>, service: &Arc<str>, term: Term) {
        let last = self.suspected.entry(Arc::clone(service)).or_default();
        if cx.now < *last + self.rules.probe_interval {
            return;
        }
        *last = cx.now;
        if let Some(group) = self.groups.get_mut(service) {
            group.hurry(cx, term);
            return;
        }
        for holder in self.duties.holders(service) {
            let service = Arc::clone(service);
            cx.send(holder, PeerMessage::AskSuspicion { service, term });
        }
    }

    fn probed(
        &mut self,
        cx: &mut Context<'_>,
        instance: &Arc<str>,
        outcome: &Result<Status, ProbeFailure>,
    ) {
        let table = Arc::clone(&cx.shared.in_force.table);
        let Some(id) = table.instance(instance) else {
            return;
        };
        let service = &table.service_row(table.instance_row(id).service).name;
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        group.probed(cx, &self.rules, instance, outcome);
    }

    fn ordered(
        &mut self,
        cx: &mut Context<'_>,
        instance: &Arc<str>,
        term: Term,
        outcome: OrderOutcome,
        is_promotion: bool,
    ) {
        for group in self.groups.values_mut() {
            if is_promotion {
                group.promoted(cx, &self.rules, instance, term, outcome);
            } else {
                group.sealed(cx, &self.rules, instance, term, outcome);
            }
        }
    }

    fn stored(&mut self, cx: &mut Context<'_>, request: RequestId, outcome: &StoreOutcome) {
        for group in self.groups.values_mut() {
            if group.stored(cx, &self.rules, request, outcome) {
                return;
            }
        }
    }

    fn peer(&mut self, cx: &mut Context<'_>, from: &DaemonId, message: &PeerMessage) {
        match message {
            PeerMessage::Group(seen) => learn(cx, seen),
            PeerMessage::Heartbeat { terms, .. } if *terms != cx.shared.term_sum() => {
                let known = cx.shared.groups.iter().map(|(n, g)| (Arc::clone(n), g.record.term));
                let message = PeerMessage::AskGroups { known: known.collect() };
                cx.send(from, message);
            }
            PeerMessage::AskGroups { known } => tell_newer(cx, from, known),
            PeerMessage::AskSuspicion { service, term } => {
                if let Some(group) = self.groups.get_mut(service) {
                    group.asked(cx, from, *term);
                }
            }
            PeerMessage::Suspicion { service, term, agrees } => {
                if let Some(group) = self.groups.get_mut(service) {
                    group.opinion(cx, *term, *agrees);
                }
            }
            _ => {}
        }
    }
}

fn tell_newer(cx: &mut Context<'_>, to: &DaemonId, known: &[(Arc<str>, Term)]) {
    let known: BTreeMap<&Arc<str>, Term> = known.iter().map(|(n, t)| (n, *t)).collect();
    let newer: Vec<GroupSeen> = cx
        .shared
        .groups
        .iter()
        .filter(|(name, group)| known.get(name).is_none_or(|term| *term < group.record.term))
        .map(|(_, group)| GroupSeen { version: group.version, record: group.record.clone() })
        .collect();
    for seen in newer {
        cx.send(to, PeerMessage::Group(seen));
    }
}

/// Takes in a group's record; a new term is put in force, recorded and passed on to peers.
pub(crate) fn learn(cx: &mut Context<'_>, seen: &GroupSeen) {
    let is_change = cx.shared.term(&seen.record.service) > Term(0);
    if !cx.shared.learn(seen) {
        return;
    }
    let record = &seen.record;
    cx.record(TimelineKind::TermInForce {
        service: Arc::clone(&record.service),
        term: record.term,
        primary: Arc::clone(&record.primary),
    });
    cx.publish();
    if !is_change {
        // A daemon that starts learns every group; its peers know them already.
        return;
    }
    let key = format!("group-{}-{}", record.service, record.term);
    for target in cx.shared.relay_targets(&key) {
        cx.send(&target, PeerMessage::Group(seen.clone()));
    }
}

impl Plugin for Failover {
    fn name(&self) -> &'static str {
        "failover"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Group(seen) => learn(cx, seen),
            Event::Store { request, outcome } => self.stored(cx, *request, outcome),
            Event::Probed { instance, outcome, .. } => self.probed(cx, instance, outcome),
            Event::Sealed { instance, term, outcome } => {
                self.ordered(cx, instance, *term, *outcome, false);
            }
            Event::Promoted { instance, term, outcome } => {
                self.ordered(cx, instance, *term, *outcome, true);
            }
            Event::Peer { from, message } => self.peer(cx, from, message),
            Event::TrafficSuspects { service, term } => self.suspect(cx, service, *term),
            Event::TermSeen { service, term } if *term > cx.shared.term(service) => {
                cx.act(Action::StoreRead {
                    request: RequestId(0),
                    key: Arc::from(crate::writer::key(service)),
                });
            }
            _ => {}
        }
    }
}

/// Whether an order's failure means that another decider has gone further.
pub(crate) fn is_superseded(outcome: &OrderOutcome) -> bool {
    matches!(outcome, Err(OrderFailure::Superseded(_)))
}
