//! Chooses the instance for one read.

use std::time::Duration;

use persimmon_table::InstanceState;
use persimmon_types::{InstanceId, ServiceId, Time};
use rand::rngs::SmallRng;

use crate::knowledge::Knowledge;
use crate::policy::Policy;
use crate::session::Session;
use crate::view::View;

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

/// Chooses the instance for a read that may be `max_age` old; zero means the primary.
pub fn route(
    view: &View,
    knowledge: &Knowledge,
    policy: &mut dyn Policy,
    rng: &mut SmallRng,
    now: Time,
    service: ServiceId,
    session: &Session,
    max_age: Duration,
) -> Route {
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
        } else if knowledge.is_worth_asking(*id, now, session.floor_at()) {
            askable.push(*id);
        }
    }
    if !proven.is_empty() {
        return Route::Replica(policy.choose(&view.table, knowledge, rng, &proven));
    }
    if !askable.is_empty() {
        return Route::Ask(policy.choose(&view.table, knowledge, rng, &askable));
    }
    Route::Primary
}
