//! Changes of objects of one kind, kept for callers that received a part of them.
//!
//! Invariant: a caller that has everything up to a revision receives every later change, or all
//! objects. Changes of another era of the store than a caller's are not a continuation of what it
//! received, so that it receives all objects.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use persimmon_interfaces::{Change, Changes, Listing, Object, Revision};

/// Number of batches of changes that are kept by default; a caller that lacks an older one gets all
/// objects.
const DEFAULT_MAX_BATCHES: usize = 64;

#[derive(Debug)]
struct Batch {
    /// The revision up to which a caller must have received changes for this batch to be the next.
    after: Revision,
    revision: Revision,
    changes: Vec<Change>,
}

/// What a caller lacks.
#[derive(Debug)]
pub enum Since<'a> {
    /// Nothing.
    Nothing,
    /// These changes, oldest first.
    Changes(Vec<&'a Change>),
    /// Changes that are no longer kept, so that it needs all objects.
    All(Vec<&'a Object>),
}

/// The objects of one kind and their latest changes.
#[derive(Debug)]
pub struct ChangeFeed {
    revision: Revision,
    objects: BTreeMap<Arc<str>, Object>,
    batches: VecDeque<Batch>,
    max_batches: usize,
}

impl Default for ChangeFeed {
    fn default() -> Self {
        Self::new()
    }
}

impl ChangeFeed {
    /// Creates a feed without objects.
    #[must_use]
    pub fn new() -> Self {
        Self {
            revision: Revision::default(),
            objects: BTreeMap::new(),
            batches: VecDeque::new(),
            max_batches: DEFAULT_MAX_BATCHES,
        }
    }

    /// Sets how many batches of changes are kept: none where each change replaces everything, so
    /// that a batch is as large as all objects.
    #[must_use]
    pub fn with_max_batches(mut self, max_batches: usize) -> Self {
        self.max_batches = max_batches;
        self
    }

    /// The revision up to which changes were received; zero before the first listing.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Replaces all objects, unless the listing is older than what was received.
    pub fn apply_listing(&mut self, listing: &Listing) {
        if listing.revision < self.revision {
            return;
        }
        self.batches.clear();
        self.revision = listing.revision;
        let objects = listing.objects.iter().map(|o| (Arc::clone(&o.name), o.clone()));
        self.objects = objects.collect();
    }

    /// Applies what a watch returned, unless it is not newer than what was received or does not
    /// continue it.
    pub fn apply_changes(&mut self, changes: &Changes) {
        if changes.revision <= self.revision || changes.revision.era != self.revision.era {
            return;
        }
        for change in &changes.changes {
            match change {
                Change::Written(object) => {
                    self.objects.insert(Arc::clone(&object.name), object.clone());
                }
                Change::Removed(name) => {
                    self.objects.remove(name);
                }
            }
        }
        self.batches.push_back(Batch {
            after: self.revision,
            revision: changes.revision,
            changes: changes.changes.clone(),
        });
        self.revision = changes.revision;
        if self.batches.len() > self.max_batches {
            self.batches.pop_front();
        }
    }

    /// What a caller lacks that has everything up to `revision`.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Since<'_> {
        if self.revision <= revision {
            return Since::Nothing;
        }
        if self.revision.era != revision.era {
            return Since::All(self.objects.values().collect());
        }
        let newer = self.batches.iter().skip_while(|batch| batch.revision <= revision);
        let first_after = newer.clone().next().map_or(self.revision, |batch| batch.after);
        if first_after > revision {
            return Since::All(self.objects.values().collect());
        }
        Since::Changes(newer.flat_map(|batch| &batch.changes).collect())
    }
}
