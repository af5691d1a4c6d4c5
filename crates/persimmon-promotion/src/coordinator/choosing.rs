//! The choice of the instance to promote, from what the instances report.

use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::Role;
use persimmon_types::Time;

use crate::candidate::{Asked, choose_candidate, choose_from_closed_log};
use crate::coordinator::{PromotionCoordinator, RETRY_DELAY, State};
use crate::input::{Action, PrimaryInfo, PromotionReason};

/// How long a planned promotion waits for a replica to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Rounds that wait for a late instance before a candidate is chosen without it.
const MAX_LATE_ROUNDS: u32 = 4;

impl PromotionCoordinator {
    pub(super) fn on_instances_queried(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        answers: &[Asked],
        actions: &mut Vec<Action>,
    ) {
        let State::QueryingInstances { reason, confirmed_at } = self.state else {
            return;
        };
        let old_primary = self.old_primary(info);
        if !self.may_choose(now, info, reason, old_primary.as_ref(), answers, actions) {
            return;
        }
        let may_wait = reason.is_planned() && now.since(confirmed_at) < CATCH_UP_TIMEOUT;
        if self.is_synchronous {
            let others = answers.iter().filter(|a| Some(&a.id) != old_primary.as_ref());
            let is_complete = others.clone().all(|a| a.status.is_some());
            let best = others.filter(|a| !a.is_draining).max_by_key(|a| a.received());
            let is_ready = is_complete && best.is_some_and(|b| has_caught_up(answers, &b.id));
            if may_wait && !is_ready {
                self.state = State::Confirmed { reason, confirmed_at, act_at: now + RETRY_DELAY };
                return;
            }
            let leads = |a: &&Asked| {
                Some(&a.id) == old_primary.as_ref()
                    && a.status.is_some_and(|s| s.role == Role::Primary)
            };
            match answers.iter().find(leads) {
                Some(primary) if self.fence_raised_at.is_none() || self.has_failed_request => {
                    let primary = Arc::clone(&primary.id);
                    self.raise_fence(now, reason, confirmed_at, primary, actions);
                }
                _ => self.close_log(reason, confirmed_at, actions),
            }
            return;
        }
        let Some(candidate) = choose_candidate(answers, old_primary.as_deref(), false) else {
            self.probe_again(now);
            return;
        };
        if may_wait && !has_caught_up(answers, &candidate) {
            self.state = State::Confirmed { reason, confirmed_at, act_at: now + RETRY_DELAY };
            return;
        }
        self.request_promotion(now, reason, old_primary, candidate, actions);
    }

    pub(super) fn on_log_closed(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        answers: &[Asked],
        actions: &mut Vec<Action>,
    ) {
        let State::ClosingLog { reason, .. } = self.state else {
            return;
        };
        let old_primary = self.old_primary(info);
        if !self.may_choose(now, info, reason, old_primary.as_ref(), answers, actions) {
            return;
        }
        let may_return = self.late_rounds >= MAX_LATE_ROUNDS;
        let preferred = self.outstanding.only_candidate().map(|id| &**id);
        let Some(candidate) =
            choose_from_closed_log(answers, old_primary.as_deref(), preferred, may_return)
        else {
            self.late_rounds += 1;
            self.probe_again(now);
            return;
        };
        self.request_promotion(now, reason, old_primary, candidate, actions);
    }

    fn old_primary(&self, info: &PrimaryInfo) -> Option<Arc<str>> {
        self.suspected_primary.clone().or_else(|| info.primary.clone())
    }

    /// Whether the answers allow the choice of a candidate. Where they do not, the coordinator leaves
    /// its state.
    fn may_choose(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        reason: PromotionReason,
        old_primary: Option<&Arc<str>>,
        answers: &[Asked],
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.fencing_token.is_none() {
            self.probe_again(now);
            return false;
        }
        let is_primary = |a: &&Asked| a.status.is_some_and(|s| s.role == Role::Primary);
        let newest_term = answers.iter().filter_map(|a| a.status.map(|s| s.term)).max();
        let found_primary =
            answers.iter().filter(is_primary).max_by_key(|a| a.status.map(|s| s.term));
        if let Some(found_primary) = found_primary {
            let is_current = found_primary.status.map(|s| s.term) == newest_term;
            let is_being_replaced = reason.is_planned() && Some(&found_primary.id) == old_primary;
            if is_current && !is_being_replaced {
                if Some(&found_primary.id) == old_primary {
                    self.give_up(now, Arc::clone(&found_primary.id), actions);
                } else {
                    self.reset();
                }
                return false;
            }
        }
        let is_unknown =
            |id: &Arc<str>| Some(id) != old_primary && !answers.iter().any(|a| a.id == *id);
        if info.primary.as_ref().is_some_and(is_unknown) {
            // It was listed after the query began, and may be well.
            self.probe_again(now);
            return false;
        }
        let is_any_late = answers.iter().any(|a| a.is_late && Some(&a.id) != old_primary);
        if is_any_late && self.late_rounds < MAX_LATE_ROUNDS {
            self.late_rounds += 1;
            self.probe_again(now);
            return false;
        }
        true
    }
}

/// Whether the candidate has received nearly as much of the log as the most advanced instance.
fn has_caught_up(answers: &[Asked], candidate: &Arc<str>) -> bool {
    /// Commits that may arrive while the query is in transit.
    const IN_TRANSIT_COMMITS: u64 = 20;
    let received_lsns = answers.iter().filter_map(|a| a.status.map(|s| s.received.lsn.0));
    let highest = received_lsns.max().unwrap_or(0);
    let candidate_status = answers.iter().find(|a| a.id == *candidate).and_then(|a| a.status);
    candidate_status.is_some_and(|s| s.received.lsn.0 + IN_TRANSIT_COMMITS >= highest)
}
