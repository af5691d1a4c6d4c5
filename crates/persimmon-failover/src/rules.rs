//! The timing of detection and change, and what tests may leave out.

use std::time::Duration;

/// A mechanism that a test leaves out to show that the proofs notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Omission {
    /// Nothing is left out.
    #[default]
    Nothing,
    /// Promote without sealing a majority first.
    Seal,
    /// Promote any sealed instance, not the highest.
    Highest,
    /// Promote a second instance under the same term if the first does not answer.
    OneTargetPerTerm,
    /// Act under the next number without having been given it.
    ReservedTerm,
}

/// The timing of one daemon's failover decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// How often a group's holders probe its primary.
    pub probe_interval: Duration,
    /// How many probes a second a daemon sends at most while nothing fails; the intervals stretch
    /// with the number of groups for which it has a duty.
    pub probes_per_second: u32,
    /// How often the first holder looks at all instances of a group.
    pub survey_interval: Duration,
    /// How many refused probes in a row raise a suspicion.
    pub refused_probes: u32,
    /// How many unanswered probes in a row raise a suspicion.
    pub silent_probes: u32,
    /// How long a primary may be without a majority of its replicas.
    pub majority_silence: Duration,
    /// How long to wait for other holders to say what they see.
    pub opinion_wait: Duration,
    /// How long each later holder waits for the ones before it.
    pub stagger: Duration,
    /// How long to wait for the remaining instances once a majority is sealed.
    pub seal_grace: Duration,
    /// How often the pause after a change that was given up doubles.
    pub backoff_doublings: u32,
    /// How long to wait before an order is sent again.
    pub resend_after: Duration,
    /// How long one phase of a change may take before it is given up.
    pub phase_limit: Duration,
    /// How long to wait after a change was first given up, at the least.
    pub backoff: Duration,
    /// How long to wait after the store did not answer.
    pub store_retry: Duration,
    /// How long the set of live daemons must be unchanged before reservations move.
    pub settle: Duration,
    /// What a test leaves out.
    pub omit: Omission,
}

impl Rules {
    /// The timing in use.
    #[must_use]
    pub fn new() -> Self {
        Self {
            probe_interval: Duration::from_millis(200),
            probes_per_second: 4,
            survey_interval: Duration::from_millis(1_000),
            refused_probes: 2,
            silent_probes: 3,
            majority_silence: Duration::from_millis(1_000),
            opinion_wait: Duration::from_millis(250),
            stagger: Duration::from_millis(600),
            seal_grace: Duration::from_millis(100),
            resend_after: Duration::from_millis(200),
            phase_limit: Duration::from_millis(1_500),
            backoff: Duration::from_millis(300),
            backoff_doublings: 3,
            store_retry: Duration::from_millis(500),
            settle: Duration::from_millis(2_000),
            omit: Omission::Nothing,
        }
    }

    /// The same timing for a daemon that has a duty for so many groups.
    ///
    /// Half of the probes are for primaries, the other half for the instances of kept groups. A
    /// probe that failed is repeated at the original interval.
    #[must_use]
    pub fn with_duties(mut self, held: u32, kept_instances: u32) -> Self {
        let budget = Duration::from_secs(2) / self.probes_per_second;
        self.probe_interval = self.probe_interval.max(budget * held / 2);
        self.survey_interval = self.survey_interval.max(budget * kept_instances);
        self
    }

    /// The same timing with one mechanism left out.
    #[must_use]
    pub fn with_omission(mut self, omit: Omission) -> Self {
        self.omit = omit;
        self
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self::new()
    }
}
