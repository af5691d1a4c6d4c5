//! The promotion lock of a service, a record in the platform's store.

use std::rc::Rc;
use std::sync::Arc;

use persimmon_interfaces::{Object, ObjectKind, ReadResult, StoreError};
use persimmon_promotion::{Input, PromotionLockRecord};
use persimmon_types::Clock;

use crate::control::Control;
use crate::control::promotion::RunningCoordinator;

/// How long the promotion lock is not taken over after another daemon acquired it or requested a
/// promotion, so that its request can take effect.
const PROMOTION_GRACE_MS: u64 = 2_500;

/// The record of an object that was read in the store's era `era`; `None` if no daemon can have
/// written it.
fn parse_lock_record(object: &Object, era: u64) -> Option<PromotionLockRecord> {
    let record: PromotionLockRecord = object
        .value
        .decode()
        .inspect_err(|err| tracing::warn!(name = %object.name, error = %err, "bad lock record"))
        .ok()?;
    if record.era() > era {
        tracing::warn!(name = %object.name, token = record.token, era,
            "the fencing token of a promotion lock is of a later era and ignored");
        return None;
    }
    Some(record)
}

/// Acquires the promotion lock of a service by a conditional write. With `is_renewal`, the lock is
/// left to a daemon that has acquired it in the store's present era.
pub(super) async fn acquire_lock(
    control: &Control,
    running: &RunningCoordinator,
    is_renewal: bool,
) -> Input {
    let service = &running.service;
    let store = &control.platform.store;
    let read = store.read(ObjectKind::Duties, Arc::clone(service)).await;
    control.record_store_call("read", read.as_ref().err());
    let ReadResult { era, object } = match read {
        Ok(read) => read,
        Err(err) => {
            tracing::info!(%service, error = %err, "the promotion lock could not be read");
            return Input::LockUnavailable;
        }
    };
    control.record_era(era, "read");
    let before = object.as_ref().and_then(|object| parse_lock_record(object, era));
    let now = Clock.wall_ms();
    let is_taken = |r: &PromotionLockRecord| {
        r.era() == era && !r.is_held_by(&control.settings.name, control.incarnation)
    };
    if let Some(before) = before.as_ref().filter(|r| is_renewal && is_taken(r)) {
        tracing::info!(%service, holder = %before.holder, token = before.token, era,
            "another daemon acquired the promotion lock after the store was restored");
        running.lock_era.set(era);
        return Input::LockLost;
    }
    if let Some(before) = &before
        && before.incarnation != control.incarnation
        && now.abs_diff(before.ordered_ms) < PROMOTION_GRACE_MS
    {
        tracing::info!(%service, holder = %before.holder, token = before.token,
            "another daemon recently acquired the promotion lock or requested a promotion");
        return Input::LockLost;
    }
    let name = &control.settings.name;
    let record =
        PromotionLockRecord::acquired(before.as_ref(), era, name, control.incarnation, now);
    let fencing_token = record.token;
    // A store that was restored may have lost the record of an earlier holder.
    let is_first = object.is_none() && era == 0;
    let Ok(value) = serde_json::to_value(&record) else {
        return Input::NotClaimed;
    };
    let expect = object.map(|o| o.revision);
    let written = store.write(ObjectKind::Duties, Arc::clone(service), expect, value).await;
    control.record_store_call("write", written.as_ref().err().filter(|e| is_outage(e)));
    match written {
        Ok(object) if object.revision.era != era => {
            // The store was restored between the two calls, and may have forgotten an acquisition
            // with the same token.
            tracing::info!(%service, token = fencing_token, era, written_in = object.revision.era,
                "the promotion lock was acquired across a restore of the store and is not used");
            Input::NotClaimed
        }
        Ok(_) => {
            running.lock_era.set(era);
            tracing::info!(%service, token = fencing_token, era, "this daemon holds the duty");
            Input::Claimed { token: fencing_token, is_first }
        }
        Err(StoreError::Unavailable(why)) => {
            let input = verify_lock(control, service, fencing_token, era, &why).await;
            if matches!(input, Input::Claimed { .. }) {
                running.lock_era.set(era);
            }
            input
        }
        Err(err) => {
            tracing::info!(%service, token = fencing_token, error = %err,
                "the promotion lock was not acquired");
            Input::NotClaimed
        }
    }
}

fn is_outage(err: &StoreError) -> bool {
    matches!(err, StoreError::Unavailable(_) | StoreError::Refused(_))
}

/// Reads the promotion lock back after an unanswered write, to see whether the write took effect.
async fn verify_lock(
    control: &Control,
    service: &Arc<str>,
    fencing_token: u64,
    era: u64,
    why: &str,
) -> Input {
    let read = control.platform.store.read(ObjectKind::Duties, Arc::clone(service)).await;
    control.record_store_call("read", read.as_ref().err());
    // A record that is read in a later era may be that of a write which the store has forgotten, or
    // which took effect after the restore.
    let read = read.ok().filter(|read| read.era == era);
    let record = read.and_then(|read| read.object);
    let record = record.as_ref().and_then(|object| parse_lock_record(object, era));
    let is_own = record.as_ref().is_some_and(|r| {
        r.is_held_by(&control.settings.name, control.incarnation) && r.token == fencing_token
    });
    tracing::info!(%service, token = fencing_token, why, is_own,
        "the promotion lock write got no answer; the record was read back");
    if is_own {
        Input::Claimed { token: fencing_token, is_first: false }
    } else {
        Input::NotClaimed
    }
}

/// Records in the lock record that a promotion was requested, for other daemons; the request does
/// not wait for this.
pub(super) fn announce_promotion(control: &Rc<Control>, service: &Arc<str>, fencing_token: u64) {
    let (control, service) = (Rc::clone(control), Arc::clone(service));
    ntex::rt::spawn(async move {
        if confirm_lock(&control, &service, fencing_token).await == LockState::Unknown {
            tracing::info!(%service, token = fencing_token,
                "the promotion request could not be recorded in the promotion lock");
        }
    });
}

/// Whether this daemon holds a promotion lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LockState {
    /// It does. Others do not acquire it for some time.
    Held,
    /// Another daemon has acquired it.
    Lost,
    /// The store did not answer.
    Unknown,
}

/// Confirms by a conditional write that this daemon holds the promotion lock with this token.
pub(super) async fn confirm_lock(
    control: &Control,
    service: &Arc<str>,
    fencing_token: u64,
) -> LockState {
    let store = &control.platform.store;
    let read = store.read(ObjectKind::Duties, Arc::clone(service)).await;
    let Ok(ReadResult { era, object: Some(object) }) = read else {
        return LockState::Unknown;
    };
    let Some(record) = parse_lock_record(&object, era) else {
        return LockState::Unknown;
    };
    if record.token != fencing_token || record.incarnation != control.incarnation {
        return LockState::Lost;
    }
    let record = PromotionLockRecord { ordered_ms: Clock.wall_ms(), ..record };
    let Ok(value) = serde_json::to_value(&record) else {
        return LockState::Unknown;
    };
    let expect = Some(object.revision);
    match store.write(ObjectKind::Duties, Arc::clone(service), expect, value).await {
        Ok(_) => LockState::Held,
        Err(err) => {
            tracing::info!(%service, token = fencing_token, error = %err,
                "the promotion lock could not be confirmed");
            LockState::Unknown
        }
    }
}
