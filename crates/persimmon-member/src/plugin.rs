//! The plug-in that keeps the list of peers.

use std::collections::BTreeMap;
use std::time::Duration;

use linkme::distributed_slice;
use persimmon_kernel::{Context, Event, HostSeen, PLUGINS, Peer, PeerMessage, Plugin, PluginEntry};
use persimmon_types::{DaemonId, Time, TimelineKind};

use crate::watch::{decide_cut_off, decide_watch};

#[distributed_slice(PLUGINS)]
static ENTRY: PluginEntry = PluginEntry { order: 10, build: || Box::new(Membership::new()) };

/// How often a daemon sends a heartbeat, each time to the next of its peers; every peer then hears
/// one such heartbeat in this time on average, whatever their number.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How often a daemon weighs whether it watches the store and whether it is cut off.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// How many deliveries in a row must fail before a daemon gives evidence against a peer.
const FAILED_DELIVERIES: u32 = 2;

/// How long evidence against a peer counts.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(10);

/// How many observers must give evidence before a peer is found dead.
const OBSERVERS: usize = 2;

/// How long a dead peer that the platform no longer lists is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Evidence against one peer.
#[derive(Debug, Default)]
struct Evidence {
    failed: u32,
    observers: BTreeMap<DaemonId, Time>,
}

/// Keeps the list of peers.
#[derive(Debug, Default)]
pub struct Membership {
    evidence: BTreeMap<DaemonId, Evidence>,
    listed: Vec<DaemonId>,
    next_heartbeat: Time,
    next_decision: Time,
    cursor: usize,
    watching: bool,
}

impl Membership {
    /// Creates the plug-in.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn take_in_hosts(&mut self, cx: &mut Context<'_>, hosts: &[HostSeen]) {
        self.listed.clear();
        for host in hosts {
            if host.daemon == cx.shared.me {
                continue;
            }
            self.listed.push(host.daemon.clone());
            let now = cx.now;
            let peer = cx.shared.peers.entry(host.daemon.clone()).or_insert_with(|| Peer {
                address: host.address,
                alive: true,
                leaving: false,
                heard: now,
            });
            peer.leaving = host.leaving;
        }
        let now = cx.now;
        let listed = &self.listed;
        cx.shared.peers.retain(|id, peer| {
            peer.alive || listed.contains(id) || now.since(peer.heard) < FORGET_AFTER
        });
    }

    fn beat(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = cx.now + HEARTBEAT_INTERVAL;
        let peers: Vec<DaemonId> = cx.shared.peers.keys().cloned().collect();
        let message = heartbeat(cx, true);
        if peers.is_empty() {
            return;
        }
        self.cursor = (self.cursor + 1) % peers.len();
        cx.send(&peers[self.cursor], message);
    }

    fn hear(&mut self, cx: &mut Context<'_>, from: &DaemonId, message: &PeerMessage) {
        if let PeerMessage::Heartbeat { address, store_age_ms, wants_reply, .. } = message {
            let heard = cx.now - Duration::from_millis(*store_age_ms);
            cx.shared.store_heard = cx.shared.store_heard.max(heard);
            let now = cx.now;
            // Whoever answers under another name than before replaces the earlier entry.
            cx.shared.peers.retain(|id, peer| id == from || peer.address != *address);
            let peer = cx.shared.peers.entry(from.clone()).or_insert_with(|| Peer {
                address: *address,
                alive: true,
                leaving: false,
                heard: now,
            });
            peer.address = *address;
            if *wants_reply {
                let reply = heartbeat(cx, false);
                cx.send(from, reply);
            }
        }
        self.evidence.remove(from);
        let Some(peer) = cx.shared.peers.get_mut(from) else {
            return;
        };
        peer.heard = cx.now;
        if !peer.alive {
            peer.alive = true;
            cx.record(TimelineKind::PeerChanged { peer: from.clone(), alive: true });
        }
        if let PeerMessage::Unreachable { peer } = message
            && cx.shared.peers.get(peer).is_some_and(|p| p.alive)
        {
            // See for oneself at once instead of at the peer's next turn.
            let question = heartbeat(cx, true);
            cx.send(peer, question);
            self.testify(cx, from.clone(), peer);
        }
    }

    fn lose(&mut self, cx: &mut Context<'_>, peer: &DaemonId) {
        let evidence = self.evidence.entry(peer.clone()).or_default();
        evidence.failed += 1;
        if evidence.failed < FAILED_DELIVERIES {
            let message = heartbeat(cx, true);
            cx.send(peer, message);
            return;
        }
        let me = cx.shared.me.clone();
        let is_news = !evidence.observers.contains_key(&me);
        self.testify(cx, me, peer);
        if is_news {
            let message = PeerMessage::Unreachable { peer: peer.clone() };
            let witnesses: Vec<DaemonId> = cx.shared.peers.keys().cloned().collect();
            for witness in witnesses.iter().filter(|w| *w != peer) {
                cx.send(witness, message.clone());
            }
        }
    }

    fn testify(&mut self, cx: &mut Context<'_>, observer: DaemonId, peer: &DaemonId) {
        let now = cx.now;
        let evidence = self.evidence.entry(peer.clone()).or_default();
        evidence.observers.insert(observer, now);
        evidence.observers.retain(|_, at| now.since(*at) < EVIDENCE_LIFETIME);
        let others_alive = cx.shared.peers.iter().filter(|(id, p)| *id != peer && p.alive).count();
        let needed = OBSERVERS.min(others_alive + 1);
        if evidence.observers.len() < needed {
            return;
        }
        let Some(state) = cx.shared.peers.get_mut(peer) else {
            return;
        };
        if !state.alive {
            return;
        }
        state.alive = false;
        cx.record(TimelineKind::PeerChanged { peer: peer.clone(), alive: false });
    }
}

fn heartbeat(cx: &Context<'_>, wants_reply: bool) -> PeerMessage {
    let age = cx.now.since(cx.shared.store_heard).as_millis();
    PeerMessage::Heartbeat {
        address: cx.shared.address,
        table: cx.shared.in_force.version,
        terms: cx.shared.term_sum(),
        store_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        wants_reply,
    }
}

impl Plugin for Membership {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => {
                self.beat(cx);
                if cx.now >= self.next_decision {
                    self.next_decision = cx.now + DECISION_INTERVAL;
                    decide_watch(cx, &mut self.watching);
                    decide_cut_off(cx);
                }
            }
            Event::Hosts(hosts) => self.take_in_hosts(cx, hosts),
            Event::StoreHeard => cx.shared.store_heard = cx.now,
            Event::Peer { from, message } => self.hear(cx, from, message),
            Event::PeerLost(peer) => self.lose(cx, peer),
            Event::Drain => {
                cx.shared.draining = true;
                cx.record(TimelineKind::Draining);
                cx.publish();
            }
            _ => {}
        }
    }
}
