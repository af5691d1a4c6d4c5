//! The plug-in that runs the failover of every group for which this daemon has a duty.

use std::collections::BTreeMap;
use std::sync::Arc;

use linkme::distributed_slice;
use persimmon_kernel::{
    Action, Context, Event, GroupSeen, OrderFailure, OrderOutcome, PLUGINS, PeerMessage, Plugin,
    PluginEntry, ProbeFailure, RequestId, Status, StoreOutcome,
};
use persimmon_types::{DaemonId, Term, Time, TimelineKind};

use crate::group::Group;
use crate::rules::Rules;

#[distributed_slice(PLUGINS)]
static ENTRY: PluginEntry = PluginEntry { order: 30, build: || Box::new(Failover::new()) };

/// Runs the failover of groups.
#[derive(Debug)]
pub struct Failover {
    rules: Rules,
    groups: BTreeMap<Arc<str>, Group>,
    members: Vec<DaemonId>,
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
        Self { rules, groups: BTreeMap::new(), members: Vec::new(), settled_at: Time::ZERO }
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        let members = cx.shared.members();
        if members != self.members {
            self.members = members;
            self.settled_at = cx.now + self.rules.settle;
        }
        let is_settled = cx.now >= self.settled_at;
        let table = Arc::clone(&cx.shared.in_force.table);
        for row in &table.services {
            let name = &row.name;
            let group =
                self.groups.entry(Arc::clone(name)).or_insert_with(|| Group::new(Arc::clone(name)));
            group.tick(cx, &self.rules, &self.members, is_settled);
        }
        self.groups.retain(|name, _| table.service(name).is_some());
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
            Event::TrafficSuspects { service, term } => {
                if let Some(group) = self.groups.get_mut(service) {
                    group.hurry(cx, *term);
                }
            }
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
