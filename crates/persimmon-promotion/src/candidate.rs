//! Selects the instance to promote.

use std::sync::Arc;

use persimmon_interfaces::{InstanceStatus, Role};

/// One instance of the group and its answer to a status query. The names of the type and its fields
/// appear in log lines and stay the same.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The instance.
    pub id: Arc<str>,
    /// Whether the instance is draining.
    pub is_draining: bool,
    /// Whether its host accepts connections but the answer did not come in time.
    pub is_late: bool,
    /// Its answer; `None` if no answer came.
    pub status: Option<InstanceStatus>,
}

/// Chooses the replica that has received most of the log. `failed_primary` is never chosen; if no
/// primary has failed (`None`), instances that report to be the primary are skipped as well.
/// Returns `None` if no instance qualifies, or all that do are draining.
///
/// A draining replica is chosen only with synchronous replication, if no other one has received as
/// much. In that mode an acknowledged commit is in the log of at least one replica, so no instance
/// is chosen unless every instance but `failed_primary` has answered.
#[must_use]
pub fn choose_candidate(
    instances: &[Asked],
    failed_primary: Option<&str>,
    is_synchronous: bool,
) -> Option<Arc<str>> {
    let others = instances.iter().filter(|a| Some(&*a.id) != failed_primary);
    let mut best: Option<&Asked> = None;
    let mut most_advanced: Option<&Asked> = None;
    for instance in others {
        let Some(status) = instance.status else {
            if is_synchronous {
                return None;
            }
            continue;
        };
        if status.role == Role::Primary && failed_primary.is_none() {
            continue;
        }
        if most_advanced.is_none_or(|b| received_position(b) < received_position(instance)) {
            most_advanced = Some(instance);
        }
        if instance.is_draining {
            continue;
        }
        if best.is_none_or(|b| received_position(b) < received_position(instance)) {
            best = Some(instance);
        }
    }
    let (best, most_advanced) = (best?, most_advanced?);
    if is_synchronous && received_position(best) < received_position(most_advanced) {
        // Only the draining instance has every acknowledged commit; it is primary until another
        // instance has caught up.
        return Some(Arc::clone(&most_advanced.id));
    }
    Some(Arc::clone(&best.id))
}

fn received_position(instance: &Asked) -> Option<persimmon_types::Position> {
    instance.status.map(|s| s.received)
}
