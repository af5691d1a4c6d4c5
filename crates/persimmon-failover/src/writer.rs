//! Writes a group's record to the store, with retries, until it is stored or superseded.
//!
//! Invariant: a record replaces only a version that this daemon knows, and never a later term.

use std::sync::Arc;

use persimmon_kernel::{Context, RequestId, StoreOutcome, VersionedGroupRecord};
use persimmon_types::{GroupRecord, Time};

use crate::config::FailoverConfig;
use crate::plugin::apply_group_record;

/// The store key of a group's record.
pub(crate) fn record_key(service: &str) -> String {
    format!("group/{service}")
}

/// Parses a record; an invalid value is treated as absent.
pub(crate) fn parse_record(text: &str) -> Option<GroupRecord> {
    serde_json::from_str(text).ok()
}

/// Writes the records of one group, one at a time.
#[derive(Debug, Default)]
pub(crate) struct RecordWriter {
    pending: Option<GroupRecord>,
    in_flight: Option<RequestId>,
    retry_at: Time,
    needs_read: bool,
}

impl RecordWriter {
    /// Whether a record is waiting to be stored.
    pub(crate) fn is_busy(&self) -> bool {
        self.pending.is_some()
    }

    /// Submits a record, which replaces any record that is waiting.
    pub(crate) fn submit(&mut self, cx: &mut Context<'_>, record: GroupRecord) {
        self.pending = Some(record);
        self.retry_at = cx.now;
        if self.in_flight.is_none() {
            self.advance(cx);
        }
    }

    /// Issues the next store call if one is due.
    pub(crate) fn advance(&mut self, cx: &mut Context<'_>) {
        if self.in_flight.is_some() || cx.now < self.retry_at {
            return;
        }
        let Some(record) = &self.pending else {
            return;
        };
        let key = record_key(&record.service);
        if self.needs_read {
            self.in_flight = Some(cx.store_read(&key));
            return;
        }
        let expect = cx.state.groups.get(&record.service).map_or(0, |g| g.stored_version);
        let Ok(value) = serde_json::to_string(record) else {
            return;
        };
        self.in_flight = Some(cx.store_write(&key, expect, Arc::from(value)));
    }

    /// Handles the outcome of a store call; returns whether the call was issued by this writer.
    pub(crate) fn on_store_outcome(
        &mut self,
        cx: &mut Context<'_>,
        config: &FailoverConfig,
        request: RequestId,
        outcome: &StoreOutcome,
    ) -> bool {
        if self.in_flight != Some(request) {
            return false;
        }
        self.in_flight = None;
        match outcome {
            StoreOutcome::Written(version) => self.on_written(cx, *version),
            StoreOutcome::Conflict(version, text) | StoreOutcome::Found(version, text) => {
                self.needs_read = false;
                self.merge_stored(cx, *version, text);
            }
            StoreOutcome::Missing => self.needs_read = false,
            StoreOutcome::Unavailable => {
                // The write may have taken effect, so the record is read before another write.
                self.needs_read = true;
                self.retry_at = cx.now + config.store_retry_delay;
            }
        }
        self.advance(cx);
        true
    }

    fn on_written(&mut self, cx: &mut Context<'_>, version: u64) {
        let Some(record) = self.pending.take() else {
            return;
        };
        apply_group_record(cx, &VersionedGroupRecord { version, record });
    }

    fn merge_stored(&mut self, cx: &mut Context<'_>, version: u64, text: &str) {
        let Some(stored) = parse_record(text) else {
            return;
        };
        let Some(pending) = &mut self.pending else {
            return;
        };
        // This also recognizes an own write whose answer was lost: it has the pending term.
        if stored.term >= pending.term {
            self.pending = None;
        } else {
            pending.next_term = pending.next_term.max(stored.next_term);
            for reservation in &stored.reserved {
                let is_usable = reservation.term > pending.term;
                if is_usable && !pending.reserved.contains(reservation) {
                    pending.reserved.push(reservation.clone());
                }
            }
            pending.reserved.sort_by_key(|r| r.term);
        }
        if cx.state.merge_group_record(&VersionedGroupRecord { version, record: stored }) {
            cx.publish();
        }
    }
}
