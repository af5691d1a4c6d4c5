//! What probes of the instances and polls of peers say about the primary.

use std::sync::Arc;

use persimmon_types::Time;

use crate::coordinator::{PROBE_INTERVAL, PromotionCoordinator, REFUSED_ROUNDS, State};
use crate::input::{Action, PrimaryInfo, ProbeFinding, PromotionReason};

/// Refused rounds after which a primary counts as failed although no peer could be polled. Missing
/// answers are no evidence in that case, because this daemon itself may be isolated.
const REFUSED_ROUNDS_WITHOUT_PEERS: u32 = 10;

/// Rounds without any answer from the primary before peers are polled.
const SILENT_ROUNDS: u32 = 1;

impl PromotionCoordinator {
    pub(super) fn on_probed(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        findings: &[(Arc<str>, ProbeFinding)],
        actions: &mut Vec<Action>,
    ) {
        let found_primary =
            findings.iter().find(|(_, f)| *f == ProbeFinding::Leads).map(|(id, _)| id);
        match &self.state {
            State::Promoting { old_primary, .. }
                if found_primary.is_some() && found_primary != old_primary.as_ref() =>
            {
                self.reset();
            }
            State::Promoting {
                reason, old_primary: Some(old_primary), is_accepted: false, ..
            } if found_primary == Some(old_primary) && !reason.is_planned() => {
                let old_primary = Arc::clone(old_primary);
                self.give_up(now, old_primary, actions);
            }
            State::Promoting { .. } => self.on_candidate_probed(findings, actions),
            State::Probing { reason, .. } => {
                let reason = *reason;
                if let Some(found_primary) = found_primary {
                    self.on_primary_found(now, info, reason, found_primary, actions);
                    return;
                }
                self.on_no_primary_found(now, info, findings, actions);
            }
            State::Resuming { .. } => self.on_probed_while_resuming(now, findings, actions),
            _ => {}
        }
    }

    /// A candidate may crash before anybody has seen it as the primary.
    fn on_candidate_probed(
        &mut self,
        findings: &[(Arc<str>, ProbeFinding)],
        actions: &mut Vec<Action>,
    ) {
        let State::Promoting { candidate, refused, .. } = &mut self.state else {
            return;
        };
        let is_refused =
            findings.iter().any(|(id, f)| id == candidate && *f == ProbeFinding::Refused);
        *refused = if is_refused { *refused + 1 } else { 0 };
        if *refused >= REFUSED_ROUNDS {
            *refused = 0;
            self.suspected_primary = Some(Arc::clone(candidate));
            actions.push(Action::PollPeers);
        }
    }

    fn on_primary_found(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        reason: PromotionReason,
        found_primary: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let is_directory_primary = info.primary.as_ref() == Some(found_primary);
        if is_directory_primary && reason.is_planned() && Self::current_reason(info).is_some() {
            self.confirm(now, reason);
        } else if self.primary.as_ref() == Some(found_primary) {
            self.give_up(now, Arc::clone(found_primary), actions);
        } else {
            self.reset();
        }
    }

    fn on_no_primary_found(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        findings: &[(Arc<str>, ProbeFinding)],
        actions: &mut Vec<Action>,
    ) {
        let primary = self.primary.clone();
        let finding_of = |id: &Arc<str>| findings.iter().find(|(i, _)| i == id).map(|(_, f)| *f);
        let finding = primary.as_ref().and_then(finding_of).unwrap_or(ProbeFinding::Silent);
        // A late instance may be the primary, or have received more than those that answer.
        let is_any_late = findings.iter().any(|(_, f)| *f == ProbeFinding::Busy);
        let is_entry_missing = Self::current_reason(info) == Some(PromotionReason::Missing);
        let has_replicas = findings
            .iter()
            .any(|(id, f)| Some(id) != primary.as_ref() && *f == ProbeFinding::Follows);
        let State::Probing { reason, refused, silent, probe_at } = &mut self.state else {
            return;
        };
        *probe_at = now + PROBE_INTERVAL;
        match finding {
            ProbeFinding::Refused => *refused += 1,
            ProbeFinding::Silent => *silent += 1,
            ProbeFinding::Busy => {
                *refused = 0;
                *silent = 0;
                *probe_at = now + PROBE_INTERVAL * 3;
            }
            ProbeFinding::Follows | ProbeFinding::Leads => *refused = 0,
        }
        let reason = *reason;
        let is_suspect = *refused >= REFUSED_ROUNDS || *silent >= SILENT_ROUNDS;
        if !has_replicas || is_any_late {
            return;
        }
        // No instance is primary, and the previous primary says so itself or is gone from the
        // directory.
        let has_no_primary = finding == ProbeFinding::Follows || info.primary.is_none();
        if has_no_primary || (reason == PromotionReason::Missing && is_entry_missing) {
            self.confirm(now, reason);
        } else if is_suspect {
            actions.push(Action::PollPeers);
        }
    }

    /// At least half of the peers that answer must agree that the primary fails: one that is
    /// unreachable only from this daemon has not failed.
    pub(super) fn on_peers_polled(&mut self, now: Time, failing: usize, answered: usize) {
        if let State::Promoting { reason, old_primary, .. } = &self.state {
            if failing > answered {
                self.confirm(now, *reason);
            } else {
                self.suspected_primary.clone_from(old_primary);
            }
            return;
        }
        let State::Probing { reason, refused, silent, probe_at } = &mut self.state else {
            return;
        };
        let reason = *reason;
        let is_without_answers = failing + answered == 0;
        if is_without_answers && *refused < REFUSED_ROUNDS_WITHOUT_PEERS {
            return;
        }
        if failing >= answered {
            self.confirm(now, reason);
            return;
        }
        *silent = 0;
        *refused = 0;
        *probe_at = now + PROBE_INTERVAL * 3;
    }
}
