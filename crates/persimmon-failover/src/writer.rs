//! Writes a group's record to the store until it is there or overtaken.
//!
//! Invariant: a record is written only over a version that was seen, and never over a later term.

use std::sync::Arc;

use persimmon_kernel::{Context, GroupSeen, RequestId, StoreOutcome};
use persimmon_types::{GroupRecord, Time};

use crate::plugin::learn;
use crate::rules::Rules;

/// The key of a group's record.
pub(crate) fn key(service: &str) -> String {
    format!("group/{service}")
}

/// Parses a record; a value that does not parse is treated as absent.
pub(crate) fn parse(text: &str) -> Option<GroupRecord> {
    serde_json::from_str(text).ok()
}

/// Keeps one record that the store is to hold.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    wanted: Option<GroupRecord>,
    request: Option<RequestId>,
    retry_at: Time,
    needs_read: bool,
}

impl Writer {
    /// Whether a record waits to be written.
    pub(crate) fn is_busy(&self) -> bool {
        self.wanted.is_some()
    }

    /// Asks for a record to be written, in place of any that waits.
    pub(crate) fn want(&mut self, cx: &mut Context<'_>, record: GroupRecord) {
        self.wanted = Some(record);
        self.retry_at = cx.now;
        if self.request.is_none() {
            self.advance(cx);
        }
    }

    /// Sends the next call if one is due.
    pub(crate) fn advance(&mut self, cx: &mut Context<'_>) {
        if self.request.is_some() || cx.now < self.retry_at {
            return;
        }
        let Some(record) = &self.wanted else {
            return;
        };
        let key = key(&record.service);
        if self.needs_read {
            self.request = Some(cx.store_read(&key));
            return;
        }
        let expect = cx.shared.groups.get(&record.service).map_or(0, |g| g.version);
        let Ok(value) = serde_json::to_string(record) else {
            return;
        };
        self.request = Some(cx.store_write(&key, expect, Arc::from(value)));
    }

    /// Takes in the outcome of a call; says whether it was this writer's.
    pub(crate) fn take_in(
        &mut self,
        cx: &mut Context<'_>,
        rules: &Rules,
        request: RequestId,
        outcome: &StoreOutcome,
    ) -> bool {
        if self.request != Some(request) {
            return false;
        }
        self.request = None;
        match outcome {
            StoreOutcome::Written(version) => self.finish(cx, *version),
            StoreOutcome::Conflict(version, text) | StoreOutcome::Found(version, text) => {
                self.needs_read = false;
                self.reconcile(cx, *version, text);
            }
            StoreOutcome::Missing => self.needs_read = false,
            StoreOutcome::Unavailable => {
                // The write may have taken effect; read before writing again.
                self.needs_read = true;
                self.retry_at = cx.now + rules.store_retry;
            }
        }
        self.advance(cx);
        true
    }

    fn finish(&mut self, cx: &mut Context<'_>, version: u64) {
        let Some(record) = self.wanted.take() else {
            return;
        };
        learn(cx, &GroupSeen { version, record });
    }

    fn reconcile(&mut self, cx: &mut Context<'_>, version: u64, text: &str) {
        let Some(theirs) = parse(text) else {
            return;
        };
        let Some(wanted) = &mut self.wanted else {
            return;
        };
        // This also recognises one's own write after a lost answer: it has the wanted term.
        if theirs.term >= wanted.term {
            self.wanted = None;
        } else {
            wanted.next_term = wanted.next_term.max(theirs.next_term);
            for reservation in &theirs.reserved {
                let is_usable = reservation.term > wanted.term;
                if is_usable && !wanted.reserved.contains(reservation) {
                    wanted.reserved.push(reservation.clone());
                }
            }
            wanted.reserved.sort_by_key(|r| r.term);
        }
        if cx.shared.learn(&GroupSeen { version, record: theirs }) {
            cx.publish();
        }
    }
}
