//! The border between the kernel and the areas that decide.

use std::sync::Arc;

use linkme::distributed_slice;
use persimmon_types::{DaemonId, Time, TimelineKind};
use rand::rngs::SmallRng;

use crate::action::{Action, RequestId};
use crate::event::Event;
use crate::message::PeerMessage;
use crate::shared::Shared;

/// What a plug-in may read and ask for while it handles one event.
pub struct Context<'a> {
    /// The present time on the host's boot-time clock.
    pub now: Time,
    /// State that plug-ins share.
    pub shared: &'a mut Shared,
    /// The seeded generator.
    pub rng: &'a mut SmallRng,
    pub(crate) actions: &'a mut Vec<Action>,
    pub(crate) next_request: &'a mut u64,
}

impl Context<'_> {
    /// Asks for an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Records an event of the time line.
    pub fn record(&mut self, kind: TimelineKind) {
        self.act(Action::Record(kind));
    }

    /// Asks for a new snapshot for the traffic threads.
    pub fn publish(&mut self) {
        if self.actions.last() != Some(&Action::Publish) {
            self.act(Action::Publish);
        }
    }

    /// Sends a message to a peer if its address is known.
    pub fn send(&mut self, to: &DaemonId, message: PeerMessage) {
        let Some(peer) = self.shared.peers.get(to) else {
            return;
        };
        let address = peer.address;
        self.act(Action::Send { to: to.clone(), address, message });
    }

    /// Writes an object if it still has the expected version.
    pub fn store_write(&mut self, key: &str, expect: u64, value: Arc<str>) -> RequestId {
        let request = self.request();
        self.act(Action::StoreWrite { request, key: Arc::from(key), expect, value });
        request
    }

    /// Reads an object.
    pub fn store_read(&mut self, key: &str) -> RequestId {
        let request = self.request();
        self.act(Action::StoreRead { request, key: Arc::from(key) });
        request
    }

    fn request(&mut self) -> RequestId {
        *self.next_request += 1;
        RequestId(*self.next_request)
    }
}

/// One area of decisions: a state machine without I/O.
pub trait Plugin: Send {
    /// The area's name, for logs.
    fn name(&self) -> &'static str;

    /// Handles one event; what is to be done goes into the context.
    fn handle(&mut self, cx: &mut Context<'_>, event: &Event);
}

/// How a plug-in registers itself.
pub struct PluginEntry {
    /// Plug-ins with lower numbers see an event first.
    pub order: u8,
    /// Creates the plug-in.
    pub build: fn() -> Box<dyn Plugin>,
}

/// Every plug-in linked into the program.
#[distributed_slice]
pub static PLUGINS: [PluginEntry];
