//! The plug-in that maintains the list of peers.

use std::collections::BTreeMap;
use std::time::Duration;

use linkme::distributed_slice;
use persimmon_kernel::{
    Context, Event, HostEntry, PLUGINS, Peer, PeerMessage, Plugin, PluginEntry,
};
use persimmon_types::{DaemonId, Time, TimelineKind};

use crate::watch::{update_isolation, update_watch};

#[distributed_slice(PLUGINS)]
static ENTRY: PluginEntry = PluginEntry { order: 10, build: || Box::new(Membership::new()) };

/// How often a daemon sends a heartbeat, to its peers in turn. On average every peer receives one
/// heartbeat in this interval, independent of the number of peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How often a daemon decides whether it watches the store and whether it is isolated.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// Number of consecutive failed deliveries after which a daemon reports a peer as unreachable.
const FAILED_DELIVERY_THRESHOLD: u32 = 2;

/// How long failure evidence of an observer counts.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(10);

/// Number of observers that must report a peer as unreachable before it is declared dead.
const REQUIRED_OBSERVERS: usize = 2;

/// How long after its last message a dead peer is kept if the platform no longer lists its host.
const DEAD_PEER_RETENTION: Duration = Duration::from_secs(60);

/// Failure evidence about one peer.
#[derive(Debug, Default)]
struct Evidence {
    /// Consecutive failed deliveries from this daemon.
    failed_deliveries: u32,
    /// The daemons that reported the peer as unreachable, and when.
    observers: BTreeMap<DaemonId, Time>,
}

/// The membership plug-in.
#[derive(Debug, Default)]
pub struct Membership {
    evidence: BTreeMap<DaemonId, Evidence>,
    /// The daemons on the platform's last list of hosts.
    listed: Vec<DaemonId>,
    next_heartbeat_at: Time,
    next_decision_at: Time,
    last_recipient_index: usize,
    is_watching: bool,
}

impl Membership {
    /// Creates the plug-in.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn update_hosts(&mut self, cx: &mut Context<'_>, hosts: &[HostEntry]) {
        self.listed.clear();
        for host in hosts {
            if host.daemon == cx.state.me {
                continue;
            }
            self.listed.push(host.daemon.clone());
            let now = cx.now;
            let peer = cx.state.peers.entry(host.daemon.clone()).or_insert_with(|| Peer {
                address: host.address,
                is_alive: true,
                is_draining: false,
                last_heard: now,
            });
            peer.is_draining = host.leaving;
        }
        let now = cx.now;
        let listed = &self.listed;
        cx.state.peers.retain(|id, peer| {
            peer.is_alive || listed.contains(id) || now.since(peer.last_heard) < DEAD_PEER_RETENTION
        });
    }

    fn send_heartbeat(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = cx.now + HEARTBEAT_INTERVAL;
        let peers: Vec<DaemonId> = cx.state.peers.keys().cloned().collect();
        let message = heartbeat_message(cx, true);
        if peers.is_empty() {
            return;
        }
        self.last_recipient_index = (self.last_recipient_index + 1) % peers.len();
        cx.send(&peers[self.last_recipient_index], message);
    }

    fn on_message(&mut self, cx: &mut Context<'_>, from: &DaemonId, message: &PeerMessage) {
        if let PeerMessage::Heartbeat { address, store_age_ms, wants_reply, .. } = message {
            let store_last_heard = cx.now - Duration::from_millis(*store_age_ms);
            cx.state.store_last_heard = cx.state.store_last_heard.max(store_last_heard);
            let now = cx.now;
            // A daemon that now has another name at the same address replaces the earlier entry.
            cx.state.peers.retain(|id, peer| id == from || peer.address != *address);
            let peer = cx.state.peers.entry(from.clone()).or_insert_with(|| Peer {
                address: *address,
                is_alive: true,
                is_draining: false,
                last_heard: now,
            });
            peer.address = *address;
            if *wants_reply {
                let reply = heartbeat_message(cx, false);
                cx.send(from, reply);
            }
        }
        self.evidence.remove(from);
        let Some(peer) = cx.state.peers.get_mut(from) else {
            return;
        };
        peer.last_heard = cx.now;
        if !peer.is_alive {
            peer.is_alive = true;
            cx.record(TimelineKind::PeerChanged { peer: from.clone(), alive: true });
        }
        if let PeerMessage::Unreachable { peer } = message
            && cx.state.peers.get(peer).is_some_and(|p| p.is_alive)
        {
            // Check the peer from here at once instead of at its next regular heartbeat.
            let message = heartbeat_message(cx, true);
            cx.send(peer, message);
            self.add_evidence(cx, from.clone(), peer);
        }
    }

    /// Handles a failed delivery to a peer. The first failure leads to another heartbeat; repeated
    /// ones are reported to all other peers.
    fn on_unreachable(&mut self, cx: &mut Context<'_>, peer: &DaemonId) {
        let evidence = self.evidence.entry(peer.clone()).or_default();
        evidence.failed_deliveries += 1;
        if evidence.failed_deliveries < FAILED_DELIVERY_THRESHOLD {
            let message = heartbeat_message(cx, true);
            cx.send(peer, message);
            return;
        }
        let me = cx.state.me.clone();
        let is_first_report = !evidence.observers.contains_key(&me);
        self.add_evidence(cx, me, peer);
        if is_first_report {
            let message = PeerMessage::Unreachable { peer: peer.clone() };
            let peers: Vec<DaemonId> = cx.state.peers.keys().cloned().collect();
            for other in peers.iter().filter(|id| *id != peer) {
                cx.send(other, message.clone());
            }
        }
    }

    /// Records that an observer cannot reach a peer, and declares the peer dead on enough evidence.
    fn add_evidence(&mut self, cx: &mut Context<'_>, observer: DaemonId, peer: &DaemonId) {
        let now = cx.now;
        let evidence = self.evidence.entry(peer.clone()).or_default();
        evidence.observers.insert(observer, now);
        evidence.observers.retain(|_, at| now.since(*at) < EVIDENCE_LIFETIME);
        let other_alive_peers =
            cx.state.peers.iter().filter(|(id, p)| *id != peer && p.is_alive).count();
        let required = REQUIRED_OBSERVERS.min(other_alive_peers + 1);
        if evidence.observers.len() < required {
            return;
        }
        let Some(entry) = cx.state.peers.get_mut(peer) else {
            return;
        };
        if !entry.is_alive {
            return;
        }
        entry.is_alive = false;
        cx.record(TimelineKind::PeerChanged { peer: peer.clone(), alive: false });
    }
}

fn heartbeat_message(cx: &Context<'_>, wants_reply: bool) -> PeerMessage {
    let store_age = cx.now.since(cx.state.store_last_heard).as_millis();
    PeerMessage::Heartbeat {
        address: cx.state.address,
        table: cx.state.active_table.version,
        terms: cx.state.term_sum(),
        store_age_ms: u64::try_from(store_age).unwrap_or(u64::MAX),
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
                self.send_heartbeat(cx);
                if cx.now >= self.next_decision_at {
                    self.next_decision_at = cx.now + DECISION_INTERVAL;
                    update_watch(cx, &mut self.is_watching);
                    update_isolation(cx);
                }
            }
            Event::Hosts(hosts) => self.update_hosts(cx, hosts),
            Event::StoreResponded => cx.state.store_last_heard = cx.now,
            Event::Peer { from, message } => self.on_message(cx, from, message),
            Event::PeerUnreachable(peer) => self.on_unreachable(cx, peer),
            Event::Drain => {
                cx.state.is_draining = true;
                cx.record(TimelineKind::Draining);
                cx.publish();
            }
            _ => {}
        }
    }
}
