//! Follows the table and the directory in the store: one listing, then watches from its revision.

use std::rc::Rc;
use std::time::Duration;

use persimmon_interfaces::{Change, ObjectKind, StoreError};
use rand::Rng;

use crate::control::Control;
use crate::directory::max_directory_delay;

/// How long a watch waits at the store, just below the thirty seconds that a store allows: a
/// shorter wait costs more calls, and a watch whose revision has left the history also costs a
/// listing. A store that goes silent is detected by the connection itself.
const WATCH_WAIT: Duration = Duration::from_secs(29);

/// Pause after a change of the directory, so that changes in quick succession cost one call.
const DIRECTORY_PACE: Duration = Duration::from_millis(2_500);

/// Pause after a change of the table: a fraction of the time within which a change must become
/// active, so that a burst of changes costs about one call per second.
const TABLE_PACE: Duration = Duration::from_millis(700);

/// Initial retry delay after a failed call; it doubles with each failure and is jittered.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum retry delay for the table: half of the time within which a change must become active
/// after a store outage.
const TABLE_MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum retry delay for the directory: entries that expired during a store outage return two
/// seconds after it.
const DIRECTORY_MAX_RETRY_DELAY: Duration = Duration::from_millis(2_500);

struct Backoff {
    max_pause: Duration,
    failures: u32,
}

impl Backoff {
    fn new(kind: ObjectKind) -> Self {
        let max_pause = if kind == ObjectKind::Table {
            TABLE_MAX_RETRY_DELAY
        } else {
            DIRECTORY_MAX_RETRY_DELAY
        };
        Self { max_pause, failures: 0 }
    }

    async fn pause(&mut self) {
        let max_pause = INITIAL_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(6));
        let max_pause = max_pause.min(self.max_pause);
        self.failures += 1;
        let pause = max_pause.mul_f64(rand::rng().random_range(0.6..1.0));
        tokio::time::sleep(pause).await;
    }
}

/// Follows the table of the operators.
pub(crate) async fn follow_table(control: Rc<Control>) {
    follow(control, ObjectKind::Table, TABLE_PACE).await;
}

/// Follows the instance directory.
pub(crate) async fn follow_directory(control: Rc<Control>) {
    let pace = DIRECTORY_PACE.min(max_directory_delay(control.settings.instance_drain_limit));
    follow(control, ObjectKind::Instances, pace).await;
}

async fn follow(control: Rc<Control>, kind: ObjectKind, pace: Duration) {
    let mut backoff = Backoff::new(kind);
    // The watch that follows delivers what a stale listing misses, unless the history is gone.
    let mut may_be_stale = true;
    loop {
        let err = match list(&control, kind, may_be_stale).await {
            Ok(revision) => {
                backoff = Backoff::new(kind);
                watch(&control, kind, revision, pace).await
            }
            Err(err) => err,
        };
        control.record_store_call("follow", Some(&err));
        if err == StoreError::HistoryGone {
            may_be_stale = false;
            tracing::info!(
                ?kind,
                "the watched revision is no longer in the store's history; listing again"
            );
            continue;
        }
        backoff.pause().await;
    }
}

async fn list(control: &Control, kind: ObjectKind, may_be_stale: bool) -> Result<u64, StoreError> {
    let listing = control.platform.store.list(kind, may_be_stale).await?;
    control.record_store_call::<StoreError>("list", None);
    if kind == ObjectKind::Table {
        for object in &listing.objects {
            apply_table(control, object);
        }
        return Ok(listing.revision);
    }
    let changed = control.directory.borrow_mut().apply_listing(&*control.object_decoder, &listing);
    let is_first = !control.has_directory.replace(true);
    if changed || is_first {
        control.publish();
    }
    Ok(listing.revision)
}

/// Watches, retrying failed calls, until the revision has left the store's history; returns that
/// error.
async fn watch(
    control: &Control,
    kind: ObjectKind,
    mut revision: u64,
    pace: Duration,
) -> StoreError {
    let mut failures = Backoff::new(kind);
    loop {
        match control.platform.store.watch(kind, revision, WATCH_WAIT).await {
            Ok(changes) => {
                control.record_store_call::<StoreError>("watch", None);
                failures = Backoff::new(kind);
                revision = revision.max(changes.revision);
                let has_changes = !changes.changes.is_empty();
                apply_changes(control, kind, &changes.changes);
                if has_changes {
                    tokio::time::sleep(pace).await;
                }
            }
            Err(StoreError::HistoryGone) => return StoreError::HistoryGone,
            // A watch may be interrupted at any time; missed changes are in the history.
            Err(err) => {
                control.record_store_call("watch", Some(&err));
                failures.pause().await;
            }
        }
    }
}

fn apply_changes(control: &Control, kind: ObjectKind, changes: &[Change]) {
    let mut changed = false;
    for change in changes {
        match (kind, change) {
            (ObjectKind::Table, Change::Written(object)) => apply_table(control, object),
            (ObjectKind::Instances, change) => {
                let object_decoder = &*control.object_decoder;
                changed |= control.directory.borrow_mut().apply_change(object_decoder, change);
            }
            _ => {}
        }
    }
    if changed {
        control.publish();
    }
}

fn apply_table(control: &Control, object: &persimmon_interfaces::Object) {
    if !control.object_decoder.is_table(object) {
        return;
    }
    match control.object_decoder.decode_table(object) {
        Ok(table) => control.activate_table(table, "store"),
        Err(err) => {
            tracing::error!(revision = object.revision, problem = %err,
                "the table in the store is invalid and ignored");
        }
    }
}
