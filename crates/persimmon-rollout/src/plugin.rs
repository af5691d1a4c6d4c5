//! The plug-in that decides which version of the table is active.

use std::sync::Arc;

use linkme::distributed_slice;
use persimmon_kernel::{
    ActiveTable, Context, Event, PLUGINS, PeerMessage, Plugin, PluginEntry, TableDelta,
    VersionedTable,
};
use persimmon_table::Table;
use persimmon_types::{DaemonId, TimelineKind};

use crate::delta::{apply_delta, compute_delta};

#[distributed_slice(PLUGINS)]
static ENTRY: PluginEntry = PluginEntry { order: 20, build: || Box::new(Rollout::new()) };

/// The rollout plug-in, which maintains the active table.
#[derive(Debug, Default)]
pub struct Rollout {
    /// The latest refused version, so that each refusal is recorded once.
    refused_version: u64,
    /// Whether a test has disabled the check that versions only rise.
    allows_older_versions: bool,
}

impl Rollout {
    /// Creates the plug-in.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Disables the check that versions only rise, to verify that the simulation detects its
    /// absence.
    #[must_use]
    pub fn with_older_versions_allowed(mut self) -> Self {
        self.allows_older_versions = true;
        self
    }

    fn apply_version(&mut self, cx: &mut Context<'_>, versioned: &VersionedTable) {
        let version = versioned.version;
        let is_old = version <= cx.state.active_table.version || version <= self.refused_version;
        if is_old && !self.allows_older_versions {
            return;
        }
        let table = match Table::parse(&versioned.text) {
            Ok(table) => table,
            Err(problems) => {
                self.refused_version = version;
                let problem = problems.0.first().map(ToString::to_string).unwrap_or_default();
                cx.record(TimelineKind::TableRefused { version, problem: Arc::from(problem) });
                return;
            }
        };
        let next =
            ActiveTable { version, text: Arc::clone(&versioned.text), table: Arc::new(table) };
        let previous = std::mem::replace(&mut cx.state.active_table, next);
        cx.record(TimelineKind::TableInForce { version });
        cx.publish();
        relay(cx, &previous);
    }

    fn on_delta(&mut self, cx: &mut Context<'_>, from: &DaemonId, delta: &TableDelta) {
        let have = cx.state.active_table.version;
        if delta.to <= have {
            return;
        }
        // A delta from version zero only announces a new version.
        let fits = delta.from == have && have != 0;
        let text = if fits { apply_delta(&cx.state.active_table.text, delta) } else { None };
        let Some(text) = text else {
            cx.send(from, PeerMessage::AskTable { have });
            return;
        };
        self.apply_version(cx, &VersionedTable { version: delta.to, text: Arc::from(text) });
    }

    fn on_peer_message(&mut self, cx: &mut Context<'_>, from: &DaemonId, message: &PeerMessage) {
        match message {
            PeerMessage::Table { version, text } => {
                self.apply_version(
                    cx,
                    &VersionedTable { version: *version, text: Arc::clone(text) },
                );
            }
            PeerMessage::TableChange(delta) => self.on_delta(cx, from, delta),
            PeerMessage::AskTable { have } => {
                let active = &cx.state.active_table;
                if *have >= active.version {
                    return;
                }
                let text = Arc::clone(&active.text);
                let version = active.version;
                cx.send(from, PeerMessage::Table { version, text });
            }
            PeerMessage::Heartbeat { table, .. } if *table > cx.state.active_table.version => {
                let have = cx.state.active_table.version;
                cx.send(from, PeerMessage::AskTable { have });
            }
            _ => {}
        }
    }
}

/// Sends the active version to this daemon's targets in the relay tree.
fn relay(cx: &mut Context<'_>, previous: &ActiveTable) {
    let active = &cx.state.active_table;
    let version = active.version;
    let message = if previous.version == 0 {
        // Only the version is announced, so that a complete table is never sent unrequested; peers
        // with an earlier version request it.
        let at = 0;
        PeerMessage::TableChange(TableDelta { from: 0, to: version, at, removed: 0, added: vec![] })
    } else {
        let delta = compute_delta(previous.version, &previous.text, version, &active.text);
        PeerMessage::TableChange(delta)
    };
    for target in cx.state.relay_targets(&format!("table-{version}")) {
        cx.send(&target, message.clone());
    }
}

impl Plugin for Rollout {
    fn name(&self) -> &'static str {
        "rollout"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Table(versioned) => self.apply_version(cx, versioned),
            Event::Peer { from, message } => self.on_peer_message(cx, from, message),
            _ => {}
        }
    }
}
