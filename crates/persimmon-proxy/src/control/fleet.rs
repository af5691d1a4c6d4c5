//! Reads and writes the record of the fleet, on which the shares of quotas rest.
//!
//! Invariant: the record is changed only by conditional writes, and used only as the store returned
//! it. A write without an answer is followed by another read.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{EncodedValue, ObjectKind, ReadResult, StoreError};
use persimmon_types::Clock;
use persimmon_workspace::quota::{FleetRecord, RecordChange};

use crate::control::Control;
use crate::control::backoff::Backoff;
use crate::quota::{FleetNeed, FleetView};

/// The longest wait for that; a fleet that starts more slowly grows the record afterwards.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(6);

/// The name of the record.
const NAME: &str = "fleet";

/// How long requests are collected, so that daemons that start together are registered together.
const COLLECT_TIME: Duration = Duration::from_millis(250);

/// How long the number of known daemons must not change before the first record is written. Shares
/// that are missing later cost the less, the larger that record is.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Keeps the record until the process ends.
pub(super) async fn keep_record(control: Rc<Control>, fleet: Arc<FleetView>) {
    let mut backoff = Backoff::new(ObjectKind::Fleet);
    loop {
        fleet.wait().await;
        tokio::time::sleep(COLLECT_TIME).await;
        let Some(need) = fleet.take_need() else {
            continue;
        };
        let read_at = Clock.now();
        match update(&control, &fleet, &need).await {
            Ok(record) => {
                let latest = record.fleet();
                tracing::info!(
                    version = latest.version,
                    registered = latest.registered(),
                    floor = latest.floor(),
                    retiring = ?latest.retiring(),
                    "the record of the fleet was read"
                );
                fleet.set(record, read_at);
                backoff = Backoff::new(ObjectKind::Fleet);
            }
            Err(err) => {
                tracing::info!(error = %err, "the record of the fleet is not up to date");
                for daemon in need.unregistered {
                    fleet.request(Some(daemon), RecordChange::default());
                }
                // The coordinator finds anew what is due: another one may have changed the record.
                fleet.request(None, RecordChange::default());
                backoff.pause().await;
            }
        }
    }
}

/// Reads the record, and writes it if it lacks something; returns it as the store has it.
async fn update(
    control: &Control,
    fleet: &FleetView,
    need: &FleetNeed,
) -> Result<FleetRecord, StoreError> {
    let store = &control.platform.store;
    let read = store.read(ObjectKind::Fleet, Arc::from(NAME)).await;
    control.record_store_call("read", read.as_ref().err());
    let ReadResult { era, object } = read?;
    control.record_era(era, "read");
    let stored = match &object {
        Some(object) => Some(parse(&object.value)?),
        None => None,
    };
    let newest = fleet.newest(stored.clone()).ok_or_else(|| {
        StoreError::Refused("the store has an older record than daemons know".to_owned())
    })?;
    let mut members = need.unregistered.clone();
    if newest.is_none() {
        members.extend(settled_members(control).await);
    }
    let updated = FleetRecord::updated(newest.as_ref(), members, &need.change);
    let is_stored = updated.is_none() && newest == stored;
    let record = updated.or(newest);
    let record = record.ok_or_else(|| StoreError::Refused("no daemon is known".to_owned()))?;
    if is_stored {
        return Ok(record);
    }
    let value = serde_json::to_value(&record)
        .map_err(|err| StoreError::Refused(format!("the record cannot be encoded: {err}")))?;
    let expect = object.map(|o| o.revision);
    let written = store.write(ObjectKind::Fleet, Arc::from(NAME), expect, value).await;
    let outage = written.as_ref().err().filter(|e| !matches!(e, StoreError::Conflict(_)));
    control.record_store_call("write", outage);
    let written = written?;
    if written.revision.era != era {
        // The store was restored between the two calls; the record may lack daemons.
        return Err(StoreError::Conflict(Some(written)));
    }
    Ok(record)
}

fn parse(value: &EncodedValue) -> Result<FleetRecord, StoreError> {
    let record = value.decode();
    // A record that cannot be read is not replaced, because daemons may rely on it.
    let record =
        record.map_err(|err| StoreError::Refused(format!("the record cannot be read: {err}")))?;
    Ok(record)
}

/// The known daemons, once their number has not changed for a while or enough time has passed.
async fn settled_members(control: &Control) -> Vec<Arc<str>> {
    let deadline = Clock.now() + MAX_SETTLE_TIME;
    let mut count = None;
    loop {
        let known = control.peers.daemon_count();
        if (known.is_some() && known == count) || Clock.now() >= deadline {
            let members = control.peers.members();
            return members.iter().map(|m| Arc::from(m.address.to_string())).collect();
        }
        count = known;
        tokio::time::sleep(SETTLE_TIME).await;
    }
}
