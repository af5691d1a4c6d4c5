//! Selects the instance to promote.

use std::sync::Arc;

use persimmon_interfaces::{InstanceStatus, Role};
use persimmon_types::Position;

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

impl Asked {
    /// The position up to which it has received the log, if it has answered.
    pub(crate) fn received(&self) -> Option<Position> {
        self.status.map(|s| s.received)
    }
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
        if most_advanced.is_none_or(|b| b.received() < instance.received()) {
            most_advanced = Some(instance);
        }
        if instance.is_draining {
            continue;
        }
        if best.is_none_or(|b| b.received() < instance.received()) {
            best = Some(instance);
        }
    }
    let (best, most_advanced) = (best?, most_advanced?);
    if is_synchronous && best.received() < most_advanced.received() {
        // Only the draining instance has every acknowledged commit; it is primary until another
        // instance has caught up.
        return Some(Arc::clone(&most_advanced.id));
    }
    Some(Arc::clone(&best.id))
}

/// Chooses the instance to promote with synchronous replication, once `old_primary` acknowledges no
/// more commits.
///
/// The log of an old primary that was demoted contains every acknowledged commit. A replica that has
/// received as much is chosen whether or not the others answer; they include those that joined too
/// late to be listed. Where no replica has, every one must have answered, and the most advanced one
/// is chosen. With `may_return`, the demoted primary itself is chosen where they have not. Of equal
/// replicas, `preferred` is chosen: a request that names it may still take effect.
#[must_use]
pub fn choose_from_closed_log(
    instances: &[Asked],
    old_primary: Option<&str>,
    preferred: Option<&str>,
    may_return: bool,
) -> Option<Arc<str>> {
    let demoted = instances.iter().find(|a| Some(&*a.id) == old_primary);
    let demoted = demoted.filter(|a| a.status.is_some_and(|s| s.role == Role::Replica));
    let replicas = instances.iter().filter(|a| Some(&*a.id) != old_primary && !a.is_draining).rev();
    let best = replicas.max_by_key(|a| (a.received(), Some(&*a.id) == preferred));
    let candidate = choose_candidate(instances, old_primary, true);
    if let Some(best) = best
        && best.status.is_some()
    {
        let has_whole_log = demoted.is_some_and(|demoted| best.received() >= demoted.received());
        let is_as_good = |id: &Arc<str>| {
            instances.iter().any(|a| a.id == *id && a.received() <= best.received())
        };
        if has_whole_log || candidate.as_ref().is_some_and(is_as_good) {
            return Some(Arc::clone(&best.id));
        }
    }
    candidate.or_else(|| demoted.filter(|_| may_return).map(|a| Arc::clone(&a.id)))
}
