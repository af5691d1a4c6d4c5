//! The timing of failure detection and failover, and the safeguards that tests can disable.

use std::time::Duration;

/// A safeguard that a test disables to verify that the simulation detects its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DisabledSafeguard {
    /// All safeguards are active.
    #[default]
    None,
    /// Instances are promoted without sealing a majority first.
    MajoritySeal,
    /// Any sealed instance is promoted, not the one with the highest position.
    HighestPosition,
    /// A second instance is promoted in the same term if the first does not answer.
    OneTargetPerTerm,
    /// The next term is used without reserving it.
    ReservedTerm,
}

/// The failover configuration of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverConfig {
    /// How often each coordinator of a group probes its primary.
    pub probe_interval: Duration,
    /// Maximum probe rate of a daemon while nothing fails, in probes per second. The probe
    /// intervals grow with the number of groups that the daemon coordinates.
    pub max_probes_per_second: u32,
    /// How often the first coordinator of a group probes all its instances.
    pub full_probe_interval: Duration,
    /// Number of refused probes, without a healthy answer between them, after which the primary is
    /// suspected. Also applies to answers of a primary that cannot acknowledge writes.
    pub refused_probes: u32,
    /// Number of unanswered probes, without a healthy answer between them, after which the primary
    /// is suspected. Also applies to failed probes of all kinds together.
    pub timed_out_probes: u32,
    /// Maximum time that a primary may be without contact to a majority.
    pub max_majority_silence: Duration,
    /// How long to wait for the votes of other coordinators.
    pub vote_timeout: Duration,
    /// Delay between the start of a failover by one coordinator and by the next in order.
    pub coordinator_stagger: Duration,
    /// How long to wait for the remaining instances after a majority is sealed.
    pub seal_grace: Duration,
    /// Maximum number of times that the delay after abandoned failovers doubles.
    pub max_backoff_doublings: u32,
    /// Delay before an unanswered control command is sent again.
    pub resend_interval: Duration,
    /// Maximum duration of one phase before the failover is abandoned.
    pub phase_timeout: Duration,
    /// Minimum delay after the first abandoned failover.
    pub min_backoff: Duration,
    /// Delay before a retry when the store did not answer.
    pub store_retry_delay: Duration,
    /// How long the set of live daemons must be unchanged before reserved terms are reassigned.
    pub settle_time: Duration,
    /// The safeguard that a test disables.
    pub disabled: DisabledSafeguard,
}

impl FailoverConfig {
    /// Creates the production configuration.
    #[must_use]
    pub fn new() -> Self {
        Self {
            probe_interval: Duration::from_millis(200),
            max_probes_per_second: 4,
            full_probe_interval: Duration::from_millis(1_000),
            refused_probes: 2,
            timed_out_probes: 3,
            max_majority_silence: Duration::from_millis(1_000),
            vote_timeout: Duration::from_millis(250),
            coordinator_stagger: Duration::from_millis(600),
            seal_grace: Duration::from_millis(100),
            resend_interval: Duration::from_millis(200),
            phase_timeout: Duration::from_millis(1_500),
            min_backoff: Duration::from_millis(300),
            max_backoff_doublings: 3,
            store_retry_delay: Duration::from_millis(500),
            settle_time: Duration::from_millis(2_000),
            disabled: DisabledSafeguard::None,
        }
    }

    /// Extends the probe intervals for a daemon that coordinates `groups` groups and probes
    /// `instances` instances as the first coordinator of their groups.
    ///
    /// Half of the probes go to primaries, the other half to the instances. A probe that failed is
    /// repeated at the original interval.
    #[must_use]
    pub fn with_load(mut self, groups: u32, instances: u32) -> Self {
        let half_rate_interval = Duration::from_secs(2) / self.max_probes_per_second;
        self.probe_interval = self.probe_interval.max(half_rate_interval * groups / 2);
        self.full_probe_interval = self.full_probe_interval.max(half_rate_interval * instances);
        self
    }

    /// Disables one safeguard, for tests.
    #[must_use]
    pub fn with_disabled_safeguard(mut self, disabled: DisabledSafeguard) -> Self {
        self.disabled = disabled;
        self
    }
}

impl Default for FailoverConfig {
    fn default() -> Self {
        Self::new()
    }
}
