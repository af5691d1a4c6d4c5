//! Which instance is to lead next.

use std::sync::Arc;

use persimmon_ports::{InstanceStatus, Role};

/// One instance of the service, and what it answered.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The instance.
    pub id: Arc<str>,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Whether its host accepts connections and the answer did not come in time.
    pub is_late: bool,
    /// Its answer, if one came.
    pub status: Option<InstanceStatus>,
}

/// Chooses the replica that has received most.
///
/// With synchronous replication an acknowledged commit is in the log of at least one replica, so
/// none is chosen unless every replica but the failed primary has answered.
#[must_use]
pub fn choose_candidate(
    asked: &[Asked],
    failed: Option<&str>,
    is_synchronous: bool,
) -> Option<Arc<str>> {
    let others = asked.iter().filter(|a| Some(&*a.id) != failed);
    let mut best: Option<&Asked> = None;
    let mut best_ahead: Option<&Asked> = None;
    for instance in others {
        let Some(status) = instance.status else {
            if is_synchronous {
                return None;
            }
            continue;
        };
        if status.role == Role::Primary && failed.is_none() {
            continue;
        }
        if best_ahead.is_none_or(|b| received(b) < received(instance)) {
            best_ahead = Some(instance);
        }
        if instance.is_draining {
            continue;
        }
        if best.is_none_or(|b| received(b) < received(instance)) {
            best = Some(instance);
        }
    }
    let (best, ahead) = (best?, best_ahead?);
    if is_synchronous && received(best) < received(ahead) {
        // Only the leaving instance holds everything; it leads until another has caught up.
        return Some(Arc::clone(&ahead.id));
    }
    Some(Arc::clone(&best.id))
}

fn received(asked: &Asked) -> Option<persimmon_types::Position> {
    asked.status.map(|s| s.received)
}
