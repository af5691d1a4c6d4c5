//! The interface between the kernel and its plug-ins.

use std::sync::Arc;

use linkme::distributed_slice;
use persimmon_types::{DaemonId, Time, TimelineKind};
use rand::rngs::SmallRng;

use crate::action::{Action, RequestId};
use crate::control_state::ControlState;
use crate::event::Event;
use crate::message::PeerMessage;

/// The state and operations available to a plug-in while it handles an event.
pub struct Context<'a> {
    /// The current time on the host's boot-time clock.
    pub now: Time,
    /// The state that plug-ins share.
    pub state: &'a mut ControlState,
    /// The kernel's seeded random number generator.
    pub rng: &'a mut SmallRng,
    pub(crate) actions: &'a mut Vec<Action>,
    pub(crate) next_request: &'a mut u64,
}

impl Context<'_> {
    /// Requests an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Records a timeline event.
    pub fn record(&mut self, kind: TimelineKind) {
        self.act(Action::Record(kind));
    }

    /// Requests a new routing snapshot for the traffic threads, unless the last action already
    /// does.
    pub fn publish(&mut self) {
        if self.actions.last() != Some(&Action::Publish) {
            self.act(Action::Publish);
        }
    }

    /// Sends a message to a peer; does nothing if the peer is unknown.
    pub fn send(&mut self, to: &DaemonId, message: PeerMessage) {
        let Some(peer) = self.state.peers.get(to) else {
            return;
        };
        let address = peer.address;
        self.act(Action::Send { to: to.clone(), address, message });
    }

    /// Writes an object if it still has version `expect`.
    pub fn store_write(&mut self, key: &str, expect: u64, value: Arc<str>) -> RequestId {
        let request = self.next_request_id();
        self.act(Action::StoreWrite { request, key: Arc::from(key), expect, value });
        request
    }

    /// Reads an object.
    pub fn store_read(&mut self, key: &str) -> RequestId {
        let request = self.next_request_id();
        self.act(Action::StoreRead { request, key: Arc::from(key) });
        request
    }

    fn next_request_id(&mut self) -> RequestId {
        *self.next_request += 1;
        RequestId(*self.next_request)
    }
}

/// A sans-I/O state machine that makes the decisions of one area.
pub trait Plugin: Send {
    /// The plug-in's name, for logs.
    fn name(&self) -> &'static str;

    /// Handles an event; resulting actions are requested through `cx`.
    fn handle(&mut self, cx: &mut Context<'_>, event: &Event);
}

/// The registration of a plug-in.
pub struct PluginEntry {
    /// The position in the dispatch order; plug-ins with lower numbers see an event first.
    pub order: u8,
    /// Creates the plug-in.
    pub build: fn() -> Box<dyn Plugin>,
}

/// All plug-ins linked into the program.
#[distributed_slice]
pub static PLUGINS: [PluginEntry];
