//! The plug-in that decides which version of the table is in force.

use std::sync::Arc;

use linkme::distributed_slice;
use persimmon_kernel::{
    Context, Event, InForce, PLUGINS, PeerMessage, Plugin, PluginEntry, TableDelta, TableSeen,
};
use persimmon_table::Table;
use persimmon_types::{DaemonId, TimelineKind};

use crate::delta::{apply, between};

#[distributed_slice(PLUGINS)]
static ENTRY: PluginEntry = PluginEntry { order: 20, build: || Box::new(Rollout::new()) };

/// Keeps the table in force.
#[derive(Debug, Default)]
pub struct Rollout {
    /// The newest version that was refused, to record each refusal once.
    refused: u64,
    /// Whether a test leaves out that versions only rise.
    goes_back: bool,
}

impl Rollout {
    /// Creates the plug-in.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Leaves out that versions only rise, to show that the proofs notice.
    #[must_use]
    pub fn with_versions_that_go_back(mut self) -> Self {
        self.goes_back = true;
        self
    }

    fn take_in(&mut self, cx: &mut Context<'_>, seen: &TableSeen) {
        let version = seen.version;
        let is_old = version <= cx.shared.in_force.version || version <= self.refused;
        if is_old && !self.goes_back {
            return;
        }
        let table = match Table::parse(&seen.text) {
            Ok(table) => table,
            Err(problems) => {
                self.refused = version;
                let problem = problems.0.first().map(ToString::to_string).unwrap_or_default();
                cx.record(TimelineKind::TableRefused { version, problem: Arc::from(problem) });
                return;
            }
        };
        let next = InForce { version, text: Arc::clone(&seen.text), table: Arc::new(table) };
        let previous = std::mem::replace(&mut cx.shared.in_force, next);
        cx.record(TimelineKind::TableInForce { version });
        cx.publish();
        relay(cx, &previous);
    }

    fn take_in_change(&mut self, cx: &mut Context<'_>, from: &DaemonId, delta: &TableDelta) {
        let have = cx.shared.in_force.version;
        if delta.to <= have {
            return;
        }
        // A delta from version zero only announces a version.
        let fits = delta.from == have && have != 0;
        let text = if fits { apply(&cx.shared.in_force.text, delta) } else { None };
        let Some(text) = text else {
            cx.send(from, PeerMessage::AskTable { have });
            return;
        };
        self.take_in(cx, &TableSeen { version: delta.to, text: Arc::from(text) });
    }

    fn handle_peer(&mut self, cx: &mut Context<'_>, from: &DaemonId, message: &PeerMessage) {
        match message {
            PeerMessage::Table { version, text } => {
                self.take_in(cx, &TableSeen { version: *version, text: Arc::clone(text) });
            }
            PeerMessage::TableChange(delta) => self.take_in_change(cx, from, delta),
            PeerMessage::AskTable { have } => {
                let in_force = &cx.shared.in_force;
                if *have >= in_force.version {
                    return;
                }
                let text = Arc::clone(&in_force.text);
                let version = in_force.version;
                cx.send(from, PeerMessage::Table { version, text });
            }
            PeerMessage::Heartbeat { table, .. } if *table > cx.shared.in_force.version => {
                let have = cx.shared.in_force.version;
                cx.send(from, PeerMessage::AskTable { have });
            }
            _ => {}
        }
    }
}

/// Passes the version in force on to this daemon's part of the relay tree.
fn relay(cx: &mut Context<'_>, previous: &InForce) {
    let in_force = &cx.shared.in_force;
    let version = in_force.version;
    let message = if previous.version == 0 {
        // Peers that hold an earlier version ask; a whole table is not pushed unasked.
        let at = 0;
        PeerMessage::TableChange(TableDelta { from: 0, to: version, at, removed: 0, added: vec![] })
    } else {
        let delta = between(previous.version, &previous.text, version, &in_force.text);
        PeerMessage::TableChange(delta)
    };
    for target in cx.shared.relay_targets(&format!("table-{version}")) {
        cx.send(&target, message.clone());
    }
}

impl Plugin for Rollout {
    fn name(&self) -> &'static str {
        "rollout"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Table(seen) => self.take_in(cx, seen),
            Event::Peer { from, message } => self.handle_peer(cx, from, message),
            _ => {}
        }
    }
}
