//! Promotion requests, and what follows from their answers.

use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

use crate::coordinator::{PROBE_INTERVAL, PROMOTION_TIMEOUT, PromotionCoordinator, State};
use crate::input::{Action, PromotionReason, Request};

/// How long after a request without an answer the instances are queried again.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(1_000);

impl PromotionCoordinator {
    pub(super) fn request_promotion(
        &mut self,
        now: Time,
        reason: PromotionReason,
        old_primary: Option<Arc<str>>,
        candidate: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        if !self.send_request(&candidate, actions) {
            self.probe_again(now);
            return;
        }
        self.state = State::Promoting {
            reason,
            old_primary,
            candidate,
            check_at: now + PROBE_INTERVAL,
            repeat_at: now + PROMOTION_TIMEOUT,
            refused: 0,
            is_accepted: false,
        };
    }

    /// Lets the authority refuse earlier requests, of any daemon, before the primary is demoted. After
    /// a failed request this also shows that the authority answers again.
    pub(super) fn raise_fence(
        &mut self,
        now: Time,
        reason: PromotionReason,
        confirmed_at: Time,
        primary: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        if !self.send_request(&primary, actions) {
            self.probe_again(now);
            return;
        }
        self.state = State::RaisingFence { reason, confirmed_at };
    }

    pub(super) fn close_log(
        &mut self,
        reason: PromotionReason,
        confirmed_at: Time,
        actions: &mut Vec<Action>,
    ) {
        self.may_have_paused_replicas = true;
        self.state = State::ClosingLog { reason, confirmed_at };
        actions.push(Action::CloseLog);
    }

    /// Requests a promotion, if the token may be used for that instance.
    pub(super) fn send_request(&mut self, candidate: &Arc<str>, actions: &mut Vec<Action>) -> bool {
        let Some(fencing_token) = self.fencing_token else {
            return false;
        };
        if !self.outstanding.allow(fencing_token, candidate) {
            return false;
        }
        let req = Request { candidate: Arc::clone(candidate), fencing_token };
        self.outstanding.record_sent(req.clone());
        actions.push(Action::RequestPromotion(req));
        true
    }

    pub(super) fn on_accepted(&mut self, now: Time, req: &Request, actions: &mut Vec<Action>) {
        self.outstanding.record_accepted(req);
        self.has_failed_request = false;
        if Some(req.fencing_token) == self.fencing_token {
            self.fence_raised_at.get_or_insert(now);
        }
        let is_synchronous = self.is_synchronous;
        match &mut self.state {
            State::RaisingFence { reason, confirmed_at } => {
                let (reason, confirmed_at) = (*reason, *confirmed_at);
                self.close_log(reason, confirmed_at, actions);
            }
            State::Promoting { reason, candidate, is_accepted, .. }
                if *candidate == req.candidate =>
            {
                *is_accepted = true;
                if is_synchronous && !reason.is_planned() {
                    actions.push(Action::DemoteOldPrimary);
                }
            }
            State::Resuming { .. } => self.proceed_with_resuming(now),
            _ => {}
        }
    }

    /// A request had no effect yet. It is repeated from the state of the instances then.
    pub(super) fn on_not_done(&mut self, now: Time) {
        self.has_failed_request = true;
        match &mut self.state {
            State::Promoting { repeat_at, .. } => {
                *repeat_at = (now + UNANSWERED_TIMEOUT).min(*repeat_at);
            }
            State::RaisingFence { reason, confirmed_at } => {
                let (reason, confirmed_at) = (*reason, *confirmed_at);
                let act_at = now + UNANSWERED_TIMEOUT;
                self.state = State::Confirmed { reason, confirmed_at, act_at };
            }
            _ => {}
        }
    }
}
