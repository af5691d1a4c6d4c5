//! The random episodes of a run: what is disturbed, for how long, and when the table changes.

use std::str::FromStr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, index};
use rand::{Rng, SeedableRng};

/// What is disturbed in an episode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// The store accepts the calls of the targets and never answers them.
    StoreSilent,
    /// The store handles the calls of the targets, and the answers are lost.
    StoreAnswersLost,
    /// The store refuses the connections of the targets.
    StoreRefuses,
    /// The store answers the targets late.
    StoreSlow,
    /// The targets accept the calls of other daemons and never answer them.
    PeersSilent,
    /// The targets handle the calls of other daemons, and the answers are lost.
    PeersAnswersLost,
    /// The targets answer other daemons late, a large answer later than a small one.
    PeersSlow,
    /// The targets are stopped with SIGSTOP.
    Freeze,
    /// The targets are killed, and restarted together.
    Kill,
    /// The targets are stopped with SIGTERM one after the other, and restarted.
    Stop,
    /// The store is replaced by a copy, and the operator writes the latest table again.
    Restore,
}

const DISRUPTIONS: [Disruption; 11] = [
    Disruption::StoreSilent,
    Disruption::StoreAnswersLost,
    Disruption::StoreRefuses,
    Disruption::StoreSlow,
    Disruption::Freeze,
    Disruption::Kill,
    Disruption::Stop,
    Disruption::Restore,
    Disruption::PeersSilent,
    Disruption::PeersAnswersLost,
    Disruption::PeersSlow,
];

/// A name that stands for nothing in a plan.
#[derive(Debug, thiserror::Error)]
#[error("`{0}` is not known; one of {1}")]
pub struct UnknownName(String, String);

/// Finds the value whose name in a printed plan is `text`.
fn parse<T: Copy + std::fmt::Debug>(text: &str, all: &[T]) -> Result<T, UnknownName> {
    let found = all.iter().copied().find(|value| format!("{value:?}") == text);
    found.ok_or_else(|| UnknownName(text.to_owned(), format!("{all:?}")))
}

impl FromStr for Disruption {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, UnknownName> {
        parse(text, &DISRUPTIONS)
    }
}

impl FromStr for Targets {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, UnknownName> {
        parse(text, &TARGETS)
    }
}

/// Which daemons an episode disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Targets {
    /// One daemon.
    One,
    /// A third of them.
    Third,
    /// All of them.
    All,
    /// Those that watch the store for the others; where there are none, one.
    Watchers,
}

const TARGETS: [Targets; 4] = [Targets::One, Targets::Third, Targets::All, Targets::Watchers];

/// One disruption, and the changes of the table around it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Episode {
    /// What is disturbed.
    pub disruption: Disruption,
    /// Which daemons are disturbed.
    pub targets: Targets,
    /// How long it lasts.
    pub lasts: Duration,
    /// Whether the table changes every few hundred milliseconds meanwhile.
    pub has_storm: bool,
    /// When during the disruption a change is written that the other daemons must apply in time.
    pub change_at: Duration,
    /// How late a slow store answers.
    pub delay: Duration,
    /// Selects the targets.
    pub draw: u64,
}

impl Episode {
    /// Creates an episode without a storm.
    #[must_use]
    pub fn new(disruption: Disruption, targets: Targets, lasts: Duration) -> Self {
        Self {
            disruption,
            targets,
            lasts,
            has_storm: false,
            change_at: lasts / 4,
            delay: Duration::from_millis(800),
            draw: 0,
        }
    }

    /// Sets whether the table changes in quick succession meanwhile.
    #[must_use]
    pub fn with_storm(mut self, has_storm: bool) -> Self {
        self.has_storm = has_storm;
        self
    }

    /// Sets when during the disruption the table changes.
    #[must_use]
    pub fn with_change_at(mut self, change_at: Duration) -> Self {
        self.change_at = change_at;
        self
    }

    /// Whether the calls between daemons are disturbed.
    #[must_use]
    pub fn disturbs_peers(&self) -> bool {
        matches!(
            self.disruption,
            Disruption::PeersSilent | Disruption::PeersAnswersLost | Disruption::PeersSlow
        )
    }

    /// Whether a change during the disruption must reach the daemons that are not disturbed in time:
    /// the store serves them as always.
    #[must_use]
    pub fn has_steady_store(&self) -> bool {
        matches!(
            self.disruption,
            Disruption::Freeze
                | Disruption::Kill
                | Disruption::Stop
                | Disruption::PeersSilent
                | Disruption::PeersAnswersLost
                | Disruption::PeersSlow
        )
    }

    /// The numbers of the disturbed daemons of `count`, of which `watchers` watch the store.
    #[must_use]
    pub fn choose(&self, count: usize, watchers: &[usize]) -> Vec<usize> {
        let mut rng = SmallRng::seed_from_u64(self.draw);
        let amount = match self.targets {
            Targets::Watchers if !watchers.is_empty() => return watchers.to_vec(),
            Targets::One | Targets::Watchers => 1,
            Targets::Third => count.div_ceil(3),
            Targets::All => count,
        };
        let mut chosen = index::sample(&mut rng, count, amount).into_vec();
        chosen.sort_unstable();
        chosen
    }
}

/// Creates the episodes of a seed.
#[must_use]
pub fn episodes(seed: u64, count: usize) -> Vec<Episode> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut drawn = Vec::new();
    for _ in 0..count {
        let disruption = *DISRUPTIONS.choose(&mut rng).unwrap_or(&Disruption::StoreSilent);
        let targets = *TARGETS.choose(&mut rng).unwrap_or(&Targets::One);
        let lasts = Duration::from_millis(rng.random_range(700..4_700));
        drawn.push(Episode {
            disruption,
            targets,
            lasts,
            has_storm: rng.random_bool(0.5),
            change_at: lasts.mul_f64(rng.random_range(0.0..0.6)),
            delay: Duration::from_millis(rng.random_range(400..2_900)),
            draw: rng.random(),
        });
    }
    drawn
}
