//! Repairs instances that missed a failover, and creates the first record of a group.

use std::sync::Arc;

use persimmon_kernel::{Action, Context, ControlCommand, InstanceStatus, Role};
use persimmon_table::Table;
use persimmon_types::{GroupRecord, ServiceId};

use crate::monitor::Monitor;

/// Sends a follow command to an instance that is not a replica in the active term. An instance
/// that is sealed in a later term is left as it is.
pub(crate) fn repair_instance(
    cx: &mut Context<'_>,
    table: &Table,
    record: &GroupRecord,
    instance: &Arc<str>,
    status: &InstanceStatus,
) {
    let follows = status.term >= record.term && status.sealed_term <= record.term;
    if *instance == record.primary || follows && status.role == Role::Replica {
        return;
    }
    if status.sealed_term > record.term {
        return;
    }
    send_follow(cx, table, record, instance);
}

/// Sends a follow command for the primary of the record.
pub(crate) fn send_follow(
    cx: &mut Context<'_>,
    table: &Table,
    record: &GroupRecord,
    instance: &Arc<str>,
) {
    let (Some(id), Some(primary)) = (table.instance(instance), table.instance(&record.primary))
    else {
        return;
    };
    let command = ControlCommand::Follow {
        term: record.term,
        primary: Arc::clone(&record.primary),
        address: table.instance_row(primary).address,
    };
    let address = table.instance_row(id).address;
    cx.act(Action::Command { instance: Arc::clone(instance), address, command });
}

/// The first record of a group, or `None` until a majority of its instances has answered and one of
/// them is primary.
pub(crate) fn first_record(
    table: &Table,
    service: ServiceId,
    monitor: &Monitor,
) -> Option<GroupRecord> {
    if monitor.statuses.len() < table.majority(service) {
        return None;
    }
    let primaries = monitor.statuses.iter().filter(|(_, s)| s.role == Role::Primary);
    let (name, status) = primaries.max_by_key(|(_, s)| s.term)?;
    let mut record = GroupRecord::new(&table.service_row(service).name, name);
    record.term = status.term;
    record.next_term = status.term.0 + 1;
    Some(record)
}
