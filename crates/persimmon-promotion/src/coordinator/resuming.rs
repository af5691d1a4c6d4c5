//! Lets replicas receive again that were stopped for a promotion which nobody needs any more.
//!
//! Invariant: replicas are resumed only once no request to promote can take effect that was made while
//! they were stopped, or only the replica that all such requests name.

use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

use crate::coordinator::{PromotionCoordinator, State};
use crate::input::{Action, PrimaryInfo, ProbeFinding, PromotionReason};

/// The longest time from the acceptance of a request until the promotion takes effect.
const EFFECT_TIME: Duration = Duration::from_millis(2_500);

/// Pause before a step that did not succeed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest interval between two attempts to raise the fence while no promotion is under way.
const FENCE_INTERVAL: Duration = Duration::from_secs(5);

impl PromotionCoordinator {
    /// Gives a promotion up because `primary`, which was to be replaced, leads and may stay.
    pub(super) fn give_up(&mut self, now: Time, primary: Arc<str>, actions: &mut Vec<Action>) {
        if !self.may_have_paused_replicas {
            self.reset();
            return;
        }
        if let Some(only) = self.outstanding.only_candidate().filter(|id| **id != primary) {
            // Whatever is acknowledged meanwhile is in the log of the only instance that may still be
            // promoted.
            let only = Some(Arc::clone(only));
            actions.push(Action::ResumeReplication { primary: Arc::clone(&primary), only });
        }
        self.state = State::Resuming { primary, act_at: now };
    }

    /// A replica receives nothing although the primary has more. The process that has stopped it may
    /// be gone. Statements that wait for the replica cause suspicions of the primary meanwhile.
    pub(super) fn on_standstill(&mut self, now: Time, info: &PrimaryInfo, primary: &Arc<str>) {
        let may_stay = info.primary.as_ref() == Some(primary) && !info.is_planned();
        if self.may_be_at_rest() && self.is_synchronous && may_stay {
            self.may_have_paused_replicas = true;
            self.state = State::Resuming { primary: Arc::clone(primary), act_at: now };
        }
    }

    /// Whether no promotion has begun, though the primary may be suspected.
    #[must_use]
    pub fn may_be_at_rest(&self) -> bool {
        matches!(
            self.state,
            State::Idle
                | State::WaitingForHolder { reason: PromotionReason::Suspected, .. }
                | State::Probing { reason: PromotionReason::Suspected, .. }
        )
    }

    /// The primary is suspected or probed while replicas are to be resumed. If it has failed, it is
    /// replaced first.
    pub(super) fn on_probed_while_resuming(
        &mut self,
        now: Time,
        findings: &[(Arc<str>, ProbeFinding)],
        actions: &mut Vec<Action>,
    ) {
        let State::Resuming { primary, .. } = &self.state else {
            return;
        };
        let finding = findings.iter().find(|(id, _)| id == primary).map(|(_, finding)| *finding);
        if matches!(finding, None | Some(ProbeFinding::Refused | ProbeFinding::Silent)) {
            self.consider_replacement(now, PromotionReason::Suspected, actions);
        }
    }

    pub(super) fn tick_resuming(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        actions: &mut Vec<Action>,
    ) {
        let State::Resuming { primary, act_at } = &mut self.state else {
            return;
        };
        if let Some(reason) = Self::current_reason(info) {
            self.consider_replacement(now, reason, actions);
            return;
        }
        if now < *act_at {
            return;
        }
        *act_at = now + RETRY_INTERVAL;
        let primary = Arc::clone(primary);
        if !self.has_usable_token() {
            actions.push(Action::AcquireLock);
            return;
        }
        let Some(raised_at) = self.fence_raised_at else {
            self.send_request(&primary, actions);
            return;
        };
        let safe_at = raised_at + EFFECT_TIME;
        if now < safe_at {
            self.proceed_with_resuming(safe_at);
            return;
        }
        actions.push(Action::ResumeReplication { primary, only: None });
    }

    /// Takes the next step at `at`, if replicas are to be resumed.
    pub(super) fn proceed_with_resuming(&mut self, at: Time) {
        if let State::Resuming { act_at, .. } = &mut self.state {
            *act_at = at;
        }
    }

    pub(super) fn on_resumed(&mut self, only: Option<&Arc<str>>, is_complete: bool) {
        if is_complete && only.is_none() && matches!(self.state, State::Resuming { .. }) {
            self.reset();
        }
    }

    /// Raises the fence while no promotion is under way, so that it need not be raised when time
    /// matters.
    pub(super) fn tick_fence(&mut self, now: Time, info: &PrimaryInfo, actions: &mut Vec<Action>) {
        let is_raised = self.fence_raised_at.is_some() && self.has_usable_token();
        let Some(primary) = info.primary.as_ref().filter(|_| !info.is_planned()) else {
            return;
        };
        if is_raised || !self.is_synchronous || self.fencing_token.is_none() || now < self.fence_at
        {
            return;
        }
        self.fence_at = now + FENCE_INTERVAL;
        if self.has_usable_token() {
            self.send_request(primary, actions);
        } else {
            actions.push(Action::AcquireLock);
        }
    }

    /// Whether this daemon has a token of which no request may still take effect.
    pub(super) fn has_usable_token(&self) -> bool {
        self.fencing_token.is_some_and(|token| !self.outstanding.has_from(token))
    }
}
