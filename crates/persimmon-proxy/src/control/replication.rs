//! Queries the instances of a service, and stops replication before a promotion.

use persimmon_interfaces::Role;
use persimmon_promotion::{Asked, Input};
use persimmon_types::Term;

use crate::control::Control;
use crate::control::promotion::{RunningCoordinator, primary_info};
use crate::control::view;
use crate::snapshot::DirectoryEntry;

/// Queries the state of every instance. With synchronous replication, replicas are first paused, so
/// that the old primary acknowledges no commit that the next one lacks. They are never resumed
/// explicitly, since that could undo a command of a daemon with a higher fencing token; the
/// promotion that follows lets them receive again.
pub(super) async fn query_instances(control: &Control, running: &RunningCoordinator) -> Input {
    if !view::prove_view(control).await {
        tracing::info!(service = %running.service,
            "no primary is replaced, because neither the store nor a majority of the peers proves \
             that the directory is complete");
        return Input::NotClaimed;
    }
    let mut answers = query_listed_instances(control, running).await;
    // Notices may have arrived while the instances were queried.
    let snapshot = control.snapshot();
    for answer in &mut answers {
        let listed = snapshot.instance(&running.service, &answer.id);
        answer.is_draining = listed.is_none_or(|entry| !entry.accepts_work());
    }
    Input::Asked(answers)
}

async fn query_listed_instances(control: &Control, running: &RunningCoordinator) -> Vec<Asked> {
    let snapshot = control.snapshot();
    let listed = snapshot.instances(&running.service);
    // Waiting for a primary that has just failed would only delay the result.
    let is_planned = primary_info(control, &running.service).is_planned();
    let failed = running.coordinator.borrow().suspected_primary().cloned();
    let is_queried = |e: &&DirectoryEntry| is_planned || Some(&e.instance.id) != failed.as_ref();
    let listed: Vec<DirectoryEntry> = listed.iter().filter(is_queried).cloned().collect();
    let reports = running.probes.query_status(control, &listed, None).await;
    let newest = reports.iter().filter_map(|a| a.status.map(|s| s.term)).max();
    let is_newest_primary =
        |a: &Asked| a.status.is_some_and(|s| s.role == Role::Primary && Some(s.term) == newest);
    let has_primary = !is_planned && reports.iter().any(is_newest_primary);
    if has_primary || !running.coordinator.borrow().is_synchronous() {
        return reports;
    }
    let term = next_term(&reports);
    let is_replica = |e: &&DirectoryEntry| {
        let status = reports.iter().find(|a| a.id == e.instance.id).and_then(|a| a.status);
        status.is_none_or(|s| s.role == Role::Replica)
    };
    let replicas: Vec<DirectoryEntry> = listed.iter().filter(is_replica).cloned().collect();
    let mut paused = running.probes.query_status(control, &replicas, Some(term)).await;
    let is_not_replica = |a: &Asked| !replicas.iter().any(|e| e.instance.id == a.id);
    paused.extend(reports.into_iter().filter(is_not_replica));
    paused
}

/// The term under which replicas are paused before a promotion, above every reported term.
fn next_term(reports: &[Asked]) -> Term {
    let newest = reports.iter().filter_map(|a| a.status.map(|s| s.term.0)).max().unwrap_or(0);
    Term(newest + 1)
}
