//! The registered daemons of a fleet according to one version of its record.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A daemon that is about to lose its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retiring {
    /// Its index.
    pub index: u32,
    /// The version of the record that first named it here.
    pub since: u64,
    /// Whether daemons with most of the votes know that. It can't stay registered then.
    pub is_known: bool,
}

/// The registered daemons according to one version of the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The version; later ones are higher. Zero if none is known.
    pub version: u64,
    /// The indices of the registered daemons, ascending, as ranges of a first and a last one. An index
    /// is never given out again.
    ranges: Vec<(u32, u32)>,
    /// Registered daemons that are about to be removed.
    retiring: Vec<Retiring>,
    /// The least number of registered daemons on which a coordinator may still rely.
    floor: u32,
    /// The part of a start credit that one lease brings is that of a fleet of this size, in which
    /// daemons that were removed lately are included.
    credit_base: u32,
}

impl Fleet {
    /// Creates a version with the ascending `indices`.
    #[must_use]
    pub fn new(version: u64, indices: impl IntoIterator<Item = u32>, floor: u32) -> Self {
        let mut fleet = Self { version, floor, ..Self::default() };
        fleet.set_indices(indices);
        fleet.floor = floor.min(fleet.registered());
        fleet.credit_base = fleet.registered();
        fleet
    }

    pub(crate) fn with_retiring(mut self, retiring: Vec<Retiring>) -> Self {
        self.retiring = retiring;
        self
    }

    pub(crate) fn with_credit_base(mut self, credit_base: u32) -> Self {
        self.credit_base = self.credit_base.max(credit_base);
        self
    }

    fn set_indices(&mut self, indices: impl IntoIterator<Item = u32>) {
        for index in indices {
            match self.ranges.last_mut() {
                Some((_, last)) if last.checked_add(1) == Some(index) => *last = index,
                _ => self.ranges.push((index, index)),
            }
        }
    }

    /// Whether any version is known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.version > 0
    }

    /// The number of registered daemons.
    #[must_use]
    pub fn registered(&self) -> u32 {
        let sizes = self.ranges.iter().map(|(first, last)| last.saturating_sub(*first) + 1);
        sizes.fold(0, u32::saturating_add)
    }

    /// The least number of registered daemons on which a coordinator may still rely.
    #[must_use]
    pub fn floor(&self) -> u32 {
        self.floor
    }

    /// See the field.
    #[must_use]
    pub(crate) fn credit_base(&self) -> u32 {
        self.credit_base.max(1)
    }

    /// Whether a daemon is registered.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        let at = self.ranges.partition_point(|(_, last)| *last < index);
        self.ranges.get(at).is_some_and(|(first, _)| *first <= index)
    }

    /// The indices of the registered daemons.
    pub fn indices(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(first, last)| *first..=*last)
    }

    /// The daemons that are about to be removed.
    #[must_use]
    pub fn retiring(&self) -> &[Retiring] {
        &self.retiring
    }

    /// Whether a daemon is about to be removed.
    #[must_use]
    pub fn is_retiring(&self, index: u32) -> bool {
        self.retiring.iter().any(|r| r.index == index)
    }

    /// The part of every quota that a coordinator with `leases` valid leases may grant. A share that is
    /// not leased to it counts as the largest that another coordinator may take it for.
    #[must_use]
    pub fn fill(&self, leases: usize) -> f64 {
        part(self.registered(), self.floor, leases)
    }

    /// Whether no other coordinator can have a majority of the votes while one has `votes`.
    #[must_use]
    pub fn is_majority(&self, votes: usize) -> bool {
        let known = self.retiring.iter().filter(|r| r.is_known).count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        part(self.registered().saturating_sub(known), self.floor, votes) > 0.5
    }
}

fn part(registered: u32, floor: u32, leases: usize) -> f64 {
    if registered == 0 || floor == 0 {
        return 0.0;
    }
    let leases = u32::try_from(leases).unwrap_or(u32::MAX).min(registered);
    let missing = f64::from(registered) - f64::from(leases);
    (1.0 - missing / f64::from(floor)).clamp(0.0, 1.0)
}

/// The later one of two versions.
#[must_use]
pub fn later_fleet(a: &Arc<Fleet>, b: &Arc<Fleet>) -> Arc<Fleet> {
    Arc::clone(if b.version > a.version { b } else { a })
}
