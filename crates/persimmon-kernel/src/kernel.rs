//! The dispatcher.

use std::net::SocketAddr;

use persimmon_types::{DaemonId, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::action::Action;
use crate::event::Event;
use crate::plugin::{Context, PLUGINS, Plugin};
use crate::shared::Shared;

/// All decisions of one daemon's control thread.
pub struct Kernel {
    shared: Shared,
    plugins: Vec<Box<dyn Plugin>>,
    rng: SmallRng,
    next_request: u64,
    now: Time,
}

impl Kernel {
    /// Creates a kernel with every registered plug-in.
    #[must_use]
    pub fn new(me: DaemonId, address: SocketAddr, seed: u64) -> Self {
        let mut entries: Vec<_> = PLUGINS.iter().collect();
        entries.sort_by_key(|entry| entry.order);
        let plugins = entries.into_iter().map(|entry| (entry.build)()).collect();
        Self::with_plugins(me, address, seed, plugins)
    }

    /// Creates a kernel with the given plug-ins only.
    #[must_use]
    pub fn with_plugins(
        me: DaemonId,
        address: SocketAddr,
        seed: u64,
        plugins: Vec<Box<dyn Plugin>>,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { shared: Shared::new(me, address), plugins, rng, next_request: 0, now: Time::ZERO }
    }

    /// Handles one event at time `now` and appends what is to be done to `actions`.
    ///
    /// Time never runs backwards: an earlier `now` than before counts as the earlier one.
    pub fn handle(&mut self, now: Time, event: &Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for plugin in &mut self.plugins {
            let mut cx = Context {
                now: self.now,
                shared: &mut self.shared,
                rng: &mut self.rng,
                actions,
                next_request: &mut self.next_request,
            };
            plugin.handle(&mut cx, event);
        }
    }

    /// The shared state.
    #[must_use]
    pub fn shared(&self) -> &Shared {
        &self.shared
    }
}
