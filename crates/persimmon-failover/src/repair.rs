//! Brings instances that missed a change of primary back to the term in force, and creates the
//! first record of a group.

use std::sync::Arc;

use persimmon_kernel::{Action, Context, Order, Role, Status};
use persimmon_table::Table;
use persimmon_types::{GroupRecord, ServiceId};

use crate::monitor::Monitor;

/// Orders an instance to follow the primary in force if it does not.
pub(crate) fn follow_if_stray(
    cx: &mut Context<'_>,
    table: &Table,
    record: &GroupRecord,
    instance: &Arc<str>,
    status: &Status,
) {
    let follows = status.term >= record.term && status.sealed <= record.term;
    if *instance == record.primary || follows && status.role == Role::Replica {
        return;
    }
    if status.sealed > record.term {
        return;
    }
    order_follow(cx, table, record, instance);
}

/// Orders an instance to follow the primary of the record.
pub(crate) fn order_follow(
    cx: &mut Context<'_>,
    table: &Table,
    record: &GroupRecord,
    instance: &Arc<str>,
) {
    let (Some(id), Some(primary)) = (table.instance(instance), table.instance(&record.primary))
    else {
        return;
    };
    let order = Order::Follow {
        term: record.term,
        primary: Arc::clone(&record.primary),
        address: table.instance_row(primary).address,
    };
    let address = table.instance_row(id).address;
    cx.act(Action::Order { instance: Arc::clone(instance), address, order });
}

/// The first record of a group, once a majority of its instances has answered and one of them is
/// primary.
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
