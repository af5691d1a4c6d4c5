//! Instance selection for reads.

use std::time::Duration;

use persimmon_table::InstanceState;
use persimmon_types::{InstanceId, ServiceId};

use crate::machine::RequestContext;
use crate::session::Session;

/// The target of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadTarget {
    /// A replica whose last position report is fresh enough.
    Replica(InstanceId),
    /// A replica whose position must be checked before the read is sent.
    CheckReplica(InstanceId),
    /// The primary.
    Primary,
}

/// The requirements of a read on its instance.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequirements<'a> {
    /// The service.
    pub service: ServiceId,
    /// The maximum staleness of the data; zero requires the primary.
    pub max_age: Duration,
    /// The session whose minimum position the instance must have applied.
    pub session: &'a Session,
}

/// Selects the target of a read: a fresh replica, else a replica worth checking, else the primary.
pub fn select_read_target(
    cx: &mut RequestContext<'_>,
    requirements: &ReadRequirements<'_>,
) -> ReadTarget {
    let ReadRequirements { service, max_age, session } = *requirements;
    let (snapshot, now) = (cx.snapshot, cx.now);
    let tracker = &*cx.tracker;
    let Some(group) = snapshot.group(service) else {
        return ReadTarget::Primary;
    };
    if max_age.is_zero() {
        return ReadTarget::Primary;
    }
    let min_position = session.min_position();
    let mut fresh: Vec<InstanceId> = Vec::new();
    let mut checkable: Vec<InstanceId> = Vec::new();
    for id in snapshot.table.instances_of(service) {
        let row = snapshot.table.instance_row(*id);
        let is_usable = row.state == InstanceState::Serving
            && row.read_weight > 0
            && Some(*id) != group.primary
            && !tracker.is_avoided(*id, now);
        if !is_usable {
            continue;
        }
        if tracker.is_fresh_enough(*id, now, &group.term_history, min_position, max_age) {
            fresh.push(*id);
        } else if tracker.is_worth_checking(*id, now, min_position, session.min_position_since()) {
            checkable.push(*id);
        }
    }
    if !fresh.is_empty() {
        return ReadTarget::Replica(cx.policy.choose(&snapshot.table, tracker, cx.rng, &fresh));
    }
    if !checkable.is_empty() {
        return ReadTarget::CheckReplica(cx.policy.choose(
            &snapshot.table,
            tracker,
            cx.rng,
            &checkable,
        ));
    }
    ReadTarget::Primary
}
