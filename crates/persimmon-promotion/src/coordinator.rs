//! The state machine that coordinates promotions of one database group on one daemon.

mod choosing;
mod probing;
mod requesting;
mod resuming;

use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;

use crate::input::{Action, Input, PrimaryInfo, PromotionReason};
use crate::outstanding::OutstandingRequests;

/// Pause between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Rounds of refused connections after which the primary's process counts as ended.
const REFUSED_ROUNDS: u32 = 2;

/// How long the primary's entry must be missing from a reachable store. Entries that expired while
/// the store was unavailable are back within two seconds.
const MISSING_ENTRY_LIMIT: Duration = Duration::from_millis(2_500);

/// How long other daemons wait for the holder of the promotion lock to act before they probe.
const HOLDER_GRACE: Duration = Duration::from_millis(500);

/// How long a promotion may take before the instances are queried again and a new request is sent.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Pause before a failed step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// The holder of the promotion lock gets time to act first.
    WaitingForHolder {
        reason: PromotionReason,
        probe_at: Time,
    },
    Probing {
        reason: PromotionReason,
        refused: u32,
        silent: u32,
        probe_at: Time,
    },
    Confirmed {
        reason: PromotionReason,
        confirmed_at: Time,
        act_at: Time,
    },
    AcquiringLock {
        reason: PromotionReason,
        confirmed_at: Time,
    },
    QueryingInstances {
        reason: PromotionReason,
        confirmed_at: Time,
    },
    /// The primary leaves; the authority is asked to refuse earlier requests before it is demoted.
    RaisingFence {
        reason: PromotionReason,
        confirmed_at: Time,
    },
    ClosingLog {
        reason: PromotionReason,
        confirmed_at: Time,
    },
    Promoting {
        reason: PromotionReason,
        old_primary: Option<Arc<str>>,
        candidate: Arc<str>,
        check_at: Time,
        repeat_at: Time,
        /// Rounds in which the candidate's host refused connections.
        refused: u32,
        /// Whether the request was accepted.
        is_accepted: bool,
    },
    /// The promotion was given up, and replicas are to receive again.
    Resuming {
        primary: Arc<str>,
        act_at: Time,
    },
}

/// Coordinates promotions of one database group on one daemon.
///
/// A coordinator probes a suspected primary, polls peers, acquires the promotion lock, queries the
/// instances and requests the promotion of the best replica. It does no I/O: its driver passes an
/// [`Input`] to [`PromotionCoordinator::handle`] and carries out the returned [`Action`]s.
#[derive(Debug)]
pub struct PromotionCoordinator {
    state: State,
    fencing_token: Option<u64>,
    /// Added to [`HOLDER_GRACE`], so that few daemons acquire the lock at the same time.
    stagger: Duration,
    /// How long a new holder of the promotion lock waits before it acts, where the platform grants
    /// leases; zero elsewhere.
    lock_lease: Duration,
    may_act_at: Time,
    outstanding: OutstandingRequests,
    /// When the authority was first known to refuse lower tokens.
    fence_raised_at: Option<Time>,
    /// When the fence may next be raised while no promotion is under way.
    fence_at: Time,
    /// Whether the authority did not carry out the latest request.
    has_failed_request: bool,
    is_synchronous: bool,
    /// Whether replicas may have been told to stop receiving; only a promotion lets them resume.
    may_have_paused_replicas: bool,
    /// Rounds in which an instance was late that may have received more of the log.
    late_rounds: u32,
    /// The last primary that the directory named.
    primary: Option<Arc<str>>,
    /// The primary that is to be replaced; the directory may name another one by now.
    suspected_primary: Option<Arc<str>>,
}

impl PromotionCoordinator {
    /// Creates the coordinator of a group. The daemon waits `stagger` in addition to the grace time
    /// of the lock's holder, so that daemons do not all act at the same time.
    #[must_use]
    pub fn new(stagger: Duration) -> Self {
        Self {
            state: State::Idle,
            fencing_token: None,
            stagger,
            lock_lease: Duration::ZERO,
            may_act_at: Time::ZERO,
            outstanding: OutstandingRequests::default(),
            fence_raised_at: None,
            fence_at: Time::ZERO,
            has_failed_request: false,
            is_synchronous: false,
            may_have_paused_replicas: false,
            late_rounds: 0,
            primary: None,
            suspected_primary: None,
        }
    }

    /// Sets how long this daemon waits after it acquired the promotion lock, until the lease of the
    /// previous holder has ended.
    #[must_use]
    pub fn with_lock_lease(mut self, lease: Duration) -> Self {
        self.lock_lease = lease;
        self
    }

    /// Sets whether the group acknowledges a commit only once a replica has received it.
    pub fn set_synchronous(&mut self, is_synchronous: bool) {
        self.is_synchronous = is_synchronous;
    }

    /// Whether the group acknowledges a commit only once a replica has received it.
    #[must_use]
    pub fn is_synchronous(&self) -> bool {
        self.is_synchronous
    }

    /// The fencing token while this daemon holds the promotion lock, `None` otherwise.
    #[must_use]
    pub fn fencing_token(&self) -> Option<u64> {
        self.fencing_token
    }

    /// The primary that is suspected to have failed or is to be replaced; `None` if there is none.
    ///
    /// Every other instance has to be queried before a candidate is chosen, whatever role the
    /// directory gives it: it may be the primary by now, or have commits that no other instance
    /// has.
    #[must_use]
    pub fn suspected_primary(&self) -> Option<&Arc<str>> {
        self.suspected_primary.as_ref().filter(|_| !self.is_idle())
    }

    /// Whether a primary that leaves is being replaced, which may still answer.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        match &self.state {
            State::Idle | State::Resuming { .. } => false,
            State::WaitingForHolder { reason, .. }
            | State::Probing { reason, .. }
            | State::Confirmed { reason, .. }
            | State::AcquiringLock { reason, .. }
            | State::QueryingInstances { reason, .. }
            | State::RaisingFence { reason, .. }
            | State::ClosingLog { reason, .. }
            | State::Promoting { reason, .. } => reason.is_planned(),
        }
    }

    /// Whether there is no reason to replace the primary.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }

    /// The name of the state in log lines, whose readers rely on these texts.
    #[must_use]
    pub fn state_name(&self) -> &'static str {
        match self.state {
            State::Idle => "calm",
            State::WaitingForHolder { .. } => "waiting",
            State::Probing { .. } => "doubting",
            State::Confirmed { .. } => "confirmed",
            State::AcquiringLock { .. } => "claiming",
            State::QueryingInstances { .. } => "asking",
            State::RaisingFence { .. } => "fencing",
            State::ClosingLog { .. } => "closing",
            State::Promoting { .. } => "ordered",
            State::Resuming { .. } => "resuming",
        }
    }

    /// Handles one input and appends the resulting actions to `actions`. `info` is the current
    /// directory entry of the primary.
    pub fn handle(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        input: Input,
        actions: &mut Vec<Action>,
    ) {
        if info.primary.is_some() {
            self.primary.clone_from(&info.primary);
        }
        match input {
            Input::Tick => self.tick(now, info, actions),
            Input::Suspected(id) => self.on_suspected(now, info, &id, actions),
            Input::Probed(findings) => self.on_probed(now, info, &findings, actions),
            Input::Canvassed { failing, answered } => self.on_peers_polled(now, failing, answered),
            Input::Asked(answers) => self.on_instances_queried(now, info, &answers, actions),
            Input::Closed(answers) => self.on_log_closed(now, info, &answers, actions),
            Input::Standstill(id) => self.on_standstill(now, info, &id),
            Input::Resumed { only, is_complete } => self.on_resumed(only.as_ref(), is_complete),
            Input::Claimed { token, is_first } => {
                self.fence_raised_at = is_first.then_some(Time::ZERO);
                self.on_lock_acquired(now, token, actions);
            }
            Input::NotClaimed => self.probe_again(now),
            Input::LockUnavailable => self.on_lock_unavailable(now, actions),
            Input::LockLost => self.on_lock_lost(now),
            Input::Accepted(req) => self.on_accepted(now, &req, actions),
            Input::Refused(req) => {
                self.outstanding.record_not_done(&req);
                self.on_lock_lost(now);
            }
            Input::NotDone(req) => {
                self.outstanding.record_not_done(&req);
                self.on_not_done(now);
            }
            Input::Unanswered(req) => {
                self.outstanding.record_unanswered(&req);
                self.on_not_done(now);
            }
        }
    }

    fn current_reason(info: &PrimaryInfo) -> Option<PromotionReason> {
        if info.primary.is_none() {
            return Some(PromotionReason::NoPrimary);
        }
        if info.is_draining {
            return Some(PromotionReason::Draining);
        }
        info.missing_for.filter(|d| *d >= MISSING_ENTRY_LIMIT).map(|_| PromotionReason::Missing)
    }

    fn tick(&mut self, now: Time, info: &PrimaryInfo, actions: &mut Vec<Action>) {
        match &mut self.state {
            State::Idle => match Self::current_reason(info) {
                Some(reason) => self.consider_replacement(now, reason, actions),
                None => self.tick_fence(now, info, actions),
            },
            State::WaitingForHolder { reason, probe_at } => {
                let (reason, probe_at) = (*reason, *probe_at);
                let is_obsolete = match reason {
                    PromotionReason::Suspected => false,
                    _ => Self::current_reason(info).is_none(),
                };
                if is_obsolete {
                    self.state = State::Idle;
                } else if now >= probe_at {
                    self.start_probing(now, reason, actions);
                }
            }
            State::Probing { probe_at, .. } => {
                if now >= *probe_at {
                    *probe_at = now + PROBE_INTERVAL * 10;
                    actions.push(Action::Probe);
                }
            }
            State::Confirmed { reason, confirmed_at, act_at } => {
                if now < *act_at || now < self.may_act_at {
                    return;
                }
                let (reason, confirmed_at) = (*reason, *confirmed_at);
                // Only a higher token keeps a request without an answer from taking effect.
                if self.has_usable_token() {
                    self.query_instances(reason, confirmed_at, actions);
                } else {
                    self.state = State::AcquiringLock { reason, confirmed_at };
                    actions.push(Action::AcquireLock);
                }
            }
            State::Resuming { .. } => self.tick_resuming(now, info, actions),
            State::AcquiringLock { .. }
            | State::QueryingInstances { .. }
            | State::RaisingFence { .. }
            | State::ClosingLog { .. } => {}
            State::Promoting { reason, candidate, check_at, repeat_at, .. } => {
                if info.primary.as_ref() == Some(candidate) {
                    // The candidate has announced that it is the primary. Whether it still runs is
                    // decided separately, after a new suspicion.
                    self.reset();
                    return;
                }
                if now >= *repeat_at {
                    let reason = *reason;
                    self.state = State::Confirmed { reason, confirmed_at: now, act_at: now };
                    return;
                }
                if now >= *check_at {
                    *check_at = now + PROBE_INTERVAL;
                    actions.push(Action::Probe);
                }
            }
        }
    }

    fn on_suspected(
        &mut self,
        now: Time,
        info: &PrimaryInfo,
        id: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        if info.primary.as_ref() != Some(id) {
            return;
        }
        match self.state {
            State::Idle => self.consider_replacement(now, PromotionReason::Suspected, actions),
            State::Resuming { .. } => actions.push(Action::Probe),
            _ => {}
        }
    }

    /// The holder of the promotion lock probes at once. Other daemons give it time first, so that
    /// few of them probe and acquire the lock.
    fn consider_replacement(
        &mut self,
        now: Time,
        reason: PromotionReason,
        actions: &mut Vec<Action>,
    ) {
        self.suspected_primary.clone_from(&self.primary);
        if self.fencing_token.is_some() {
            self.start_probing(now, reason, actions);
            return;
        }
        let grace = if reason.is_planned() { HOLDER_GRACE * 3 } else { HOLDER_GRACE };
        self.state = State::WaitingForHolder { reason, probe_at: now + grace + self.stagger };
    }

    fn start_probing(&mut self, now: Time, reason: PromotionReason, actions: &mut Vec<Action>) {
        self.state =
            State::Probing { reason, refused: 0, silent: 0, probe_at: now + PROBE_INTERVAL * 10 };
        actions.push(Action::Probe);
    }

    fn reset(&mut self) {
        self.state = State::Idle;
        self.may_have_paused_replicas = false;
        self.late_rounds = 0;
    }

    fn confirm(&mut self, now: Time, reason: PromotionReason) {
        self.state = State::Confirmed { reason, confirmed_at: now, act_at: now };
    }

    fn on_lock_acquired(&mut self, now: Time, fencing_token: u64, actions: &mut Vec<Action>) {
        self.fencing_token = Some(fencing_token);
        self.may_act_at = now + self.lock_lease;
        self.proceed_with_resuming(self.may_act_at);
        if let State::WaitingForHolder { probe_at, .. } = &mut self.state {
            *probe_at = now;
        }
        if let State::AcquiringLock { reason, confirmed_at } = self.state {
            if self.lock_lease.is_zero() {
                self.query_instances(reason, confirmed_at, actions);
            } else {
                self.state = State::Confirmed { reason, confirmed_at, act_at: self.may_act_at };
            }
        }
    }

    fn query_instances(
        &mut self,
        reason: PromotionReason,
        confirmed_at: Time,
        actions: &mut Vec<Action>,
    ) {
        self.state = State::QueryingInstances { reason, confirmed_at };
        actions.push(Action::QueryInstances);
    }

    /// Goes on with the token that this daemon has: it may still be used for the instance that was
    /// named before.
    fn on_lock_unavailable(&mut self, now: Time, actions: &mut Vec<Action>) {
        match self.state {
            State::AcquiringLock { reason, confirmed_at } if self.fencing_token.is_some() => {
                self.query_instances(reason, confirmed_at, actions);
            }
            _ => self.probe_again(now),
        }
    }

    fn on_lock_lost(&mut self, now: Time) {
        self.fencing_token = None;
        self.fence_raised_at = None;
        if matches!(self.state, State::Resuming { .. }) {
            // The replicas are the new holder's now.
            self.reset();
        }
        self.probe_again(now);
    }

    /// Returns to probing after a step that did not succeed.
    fn probe_again(&mut self, now: Time) {
        let reason = match self.state {
            State::AcquiringLock { reason, .. }
            | State::QueryingInstances { reason, .. }
            | State::RaisingFence { reason, .. }
            | State::ClosingLog { reason, .. }
            | State::Confirmed { reason, .. }
            | State::Promoting { reason, .. } => reason,
            State::Idle
            | State::WaitingForHolder { .. }
            | State::Probing { .. }
            | State::Resuming { .. } => return,
        };
        let probe_at = now + RETRY_DELAY;
        self.state = State::Probing { reason, refused: REFUSED_ROUNDS, silent: 0, probe_at };
    }
}
