//! Chooses the instance for one read.

use std::time::Duration;

use persimmon_table::InstanceState;
use persimmon_types::{InstanceId, ServiceId};

use crate::exchange::Env;
use crate::session::Session;

/// Where a read goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To a replica that is proven to suit.
    Replica(InstanceId),
    /// To a replica that must first prove that it suits.
    Ask(InstanceId),
    /// To the primary.
    Primary,
}

/// What a read needs of its instance.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: ServiceId,
    /// How old the data may be; zero means the primary.
    pub max_age: Duration,
    /// The session whose writes must show.
    pub session: &'a Session,
}

/// Chooses the instance for a read.
pub fn route(env: &mut Env<'_>, wanted: &Wanted<'_>) -> Route {
    let Wanted { service, max_age, session } = *wanted;
    let (view, now) = (env.view, env.now);
    let knowledge = &*env.knowledge;
    let Some(group) = view.group(service) else {
        return Route::Primary;
    };
    if max_age.is_zero() {
        return Route::Primary;
    }
    let floor = session.floor();
    let mut proven: Vec<InstanceId> = Vec::new();
    let mut askable: Vec<InstanceId> = Vec::new();
    for id in view.table.members(service) {
        let row = view.table.instance_row(*id);
        let is_usable = row.state == InstanceState::Serving
            && row.read_weight > 0
            && Some(*id) != group.primary
            && !knowledge.is_avoided(*id, now);
        if !is_usable {
            continue;
        }
        if knowledge.is_proven(*id, now, &group.starts, floor, max_age) {
            proven.push(*id);
        } else if knowledge.is_worth_asking(*id, now, floor, session.floor_at()) {
            askable.push(*id);
        }
    }
    if !proven.is_empty() {
        return Route::Replica(env.policy.choose(&view.table, knowledge, env.rng, &proven));
    }
    if !askable.is_empty() {
        return Route::Ask(env.policy.choose(&view.table, knowledge, env.rng, &askable));
    }
    Route::Primary
}
