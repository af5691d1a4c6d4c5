//! The kernel, which dispatches events to plug-ins.

use std::net::SocketAddr;

use persimmon_types::{DaemonId, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::action::Action;
use crate::control_state::ControlState;
use crate::event::Event;
use crate::plugin::{Context, PLUGINS, Plugin};

/// The decision logic of a daemon's control thread: its plug-ins and their shared state.
pub struct Kernel {
    state: ControlState,
    plugins: Vec<Box<dyn Plugin>>,
    rng: SmallRng,
    next_request: u64,
    now: Time,
}

impl Kernel {
    /// Creates a kernel with all registered plug-ins.
    #[must_use]
    pub fn new(me: DaemonId, address: SocketAddr, seed: u64) -> Self {
        let mut entries: Vec<_> = PLUGINS.iter().collect();
        entries.sort_by_key(|entry| entry.order);
        let plugins = entries.into_iter().map(|entry| (entry.build)()).collect();
        Self::with_plugins(me, address, seed, plugins)
    }

    /// Creates a kernel with only the given plug-ins, which see events in this order.
    #[must_use]
    pub fn with_plugins(
        me: DaemonId,
        address: SocketAddr,
        seed: u64,
        plugins: Vec<Box<dyn Plugin>>,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            state: ControlState::new(me, address),
            plugins,
            rng,
            next_request: 0,
            now: Time::ZERO,
        }
    }

    /// Handles an event at time `now` and appends the resulting actions to `actions`.
    ///
    /// The kernel's time never goes backwards: if `now` is less than in an earlier call, the
    /// latest time so far is used.
    pub fn handle(&mut self, now: Time, event: &Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for plugin in &mut self.plugins {
            let mut cx = Context {
                now: self.now,
                state: &mut self.state,
                rng: &mut self.rng,
                actions,
                next_request: &mut self.next_request,
            };
            plugin.handle(&mut cx, event);
        }
    }

    /// The state that the plug-ins share.
    #[must_use]
    pub fn state(&self) -> &ControlState {
        &self.state
    }
}
