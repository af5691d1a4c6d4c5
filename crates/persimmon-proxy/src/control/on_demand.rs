//! Checks of the table that sessions request which the active table would refuse.

use std::rc::Rc;
use std::sync::Arc;

use persimmon_interfaces::{ObjectKind, Revision};
use persimmon_types::Clock;

use crate::control::Control;
use crate::control::check::{self, Found};
use crate::control::follow::Follower;
use crate::relay::RelayedKind;
use crate::table_checks::{MIN_CHECK_INTERVAL, TableChecks, is_check_due};

/// Carries out the checks that are requested, until the process ends.
pub(super) async fn check_on_demand(control: Rc<Control>, checks: Arc<TableChecks>) {
    let mut requests = checks.requests();
    // The sender lives as long as this task.
    while requests.changed().await.is_ok() {
        let requested = *requests.borrow_and_update();
        let complete_until = control.relay.complete_until(RelayedKind::Table);
        let Some(revision) = control.relay.revision(RelayedKind::Table) else {
            continue;
        };
        let began = Clock.now();
        if !is_check_due(began, requested, complete_until) {
            checks.record_end();
            continue;
        }
        check_table(&control, revision).await;
        checks.record_end();
        let took = Clock.now().since(began);
        tracing::info!(%revision, version = control.table.borrow().version(), ?took,
            "the table was checked for a session that it refuses");
        tokio::time::sleep(MIN_CHECK_INTERVAL.saturating_sub(took)).await;
    }
}

/// Asks peers of the failure domain for a newer table, which costs no call to the store and no bytes
/// between failure domains; the store is asked where no peer is known.
async fn check_table(control: &Control, revision: Revision) {
    let peers = check::local_peers(control);
    if !peers.is_empty() {
        let found = check::ask_any_peer(control, &peers, RelayedKind::Table, revision).await;
        apply(control, revision, found);
        return;
    }
    match check::ask_store(control, ObjectKind::Table, revision).await {
        Ok(found) => apply(control, revision, found),
        Err(err) => {
            tracing::debug!(error = %err, "the store does not tell whether the table is current");
        }
    }
}

fn apply(control: &Control, revision: Revision, found: Option<Found>) {
    let Some(found) = found else {
        return;
    };
    let mut follower = Follower::new(control, ObjectKind::Table, std::time::Duration::ZERO);
    follower.resume_at(revision);
    follower.apply_found(&found);
}
