//! Measures how long changes of the table take to reach every daemon of a fleet, from what clients
//! see, around disruptions of the store and of the daemons.

mod fleet;
mod plan;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub use plan::{Disruption, Episode, Targets, episodes};

use crate::changes::fleet::{ChangeFleet, Written, find_difference};

/// The time within which a change must be active, as the daemons' settings say by default.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// How long after a disruption the limits hold again, with a margin for the writes of this program.
const STABLE_AFTER: Duration = Duration::from_millis(4_100);

/// How long a daemon that is late is watched.
const WATCH_LIMIT: Duration = Duration::from_secs(10);

/// Interval between heartbeats of the instances.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Interval between two versions of the table in a storm.
const STORM_INTERVAL: Duration = Duration::from_millis(300);

/// Pause between two probes of a daemon.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct ChangeOptions {
    /// The number of daemons.
    pub daemons: u16,
    /// The number of failure domains.
    pub domains: usize,
    /// Routes that each version of the table has beside those that change.
    pub routes: usize,
    /// Whether calls between daemons pass proxies, so that they can be disturbed too.
    pub has_peer_proxies: bool,
    /// The directory of the daemons' logs.
    pub log_dir: PathBuf,
}

/// The time that one daemon took to serve by a version of the table.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The daemon's number.
    pub daemon: usize,
    /// From the store's acknowledgement.
    pub after: Duration,
    /// How often it was asked.
    pub tries: u32,
    /// The difference that was seen last; `None` if it serves by that version.
    pub difference: Option<String>,
}

/// When a change was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// Before the disruption had ended; it has to be active once the limits hold again.
    Before,
    /// During a disruption that leaves the store steady.
    During,
    /// After the disruption.
    After,
}

/// The times of one change.
#[derive(Clone, Debug)]
pub struct ChangeTimes {
    /// When the change was written.
    pub moment: Moment,
    /// One for each daemon that must apply the change in time.
    pub applied: Vec<Applied>,
}

impl ChangeTimes {
    /// The longest time.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.applied.iter().map(|a| a.after).max().unwrap_or_default()
    }

    /// The daemons that were late.
    pub fn late(&self) -> impl Iterator<Item = &Applied> {
        self.applied.iter().filter(|a| a.difference.is_some() || a.after > APPLY_LIMIT)
    }
}

/// Runs episodes one after the other; returns the times of the changes of each.
///
/// # Errors
///
/// Returns an error if a process or a fake cannot be started.
pub fn measure_changes(
    options: &ChangeOptions,
    episodes: &[Episode],
    mut on_episode: impl FnMut(&Episode, &[ChangeTimes]),
) -> io::Result<()> {
    let mut fleet = ChangeFleet::start(options)?;
    let stop = Arc::new(AtomicBool::new(false));
    let heartbeats = {
        let (cluster, stop) = (Arc::clone(&fleet.cluster), Arc::clone(&stop));
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                cluster.beat();
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        })
    };
    for episode in episodes {
        let times = run_episode(&mut fleet, episode)?;
        on_episode(episode, &times);
    }
    stop.store(true, Ordering::Relaxed);
    heartbeats.join().map_err(|_| io::Error::other("the heartbeats panicked"))
}

fn run_episode(fleet: &mut ChangeFleet, episode: &Episode) -> io::Result<Vec<ChangeTimes>> {
    let mut times = Vec::new();
    let targets = episode.choose(fleet.len(), &fleet.watchers());
    let others: Vec<usize> = (0..fleet.len()).filter(|i| !targets.contains(i)).collect();
    let began = Instant::now();
    fleet.start_disruption(episode, &targets);
    let is_timed = episode.has_steady_store() && !others.is_empty();
    if episode.has_storm {
        let end = if is_timed { episode.change_at } else { episode.lasts };
        while began.elapsed() < end {
            fleet.change_table();
            std::thread::sleep(STORM_INTERVAL);
        }
    }
    if is_timed {
        std::thread::sleep(episode.change_at.saturating_sub(began.elapsed()));
        let written = fleet.change_table();
        let applied = time_change(fleet, &others, written);
        times.push(ChangeTimes { moment: Moment::During, applied });
    }
    std::thread::sleep(episode.lasts.saturating_sub(began.elapsed()));
    fleet.end_disruption(episode, &targets)?;
    std::thread::sleep(STABLE_AFTER);
    let all: Vec<usize> = (0..fleet.len()).collect();
    // The last change was accepted before the limits held again, so that it is overdue now: a daemon
    // that does not serve by it at the first try is late.
    let mut before = fleet.written();
    before.at = Instant::now().checked_sub(APPLY_LIMIT).unwrap_or(before.at);
    let applied = time_change(fleet, &all, before);
    let differing = applied.into_iter().filter(|a| a.tries > 1);
    times.push(ChangeTimes { moment: Moment::Before, applied: differing.collect() });
    let written = fleet.change_table();
    let applied = time_change(fleet, &all, written);
    times.push(ChangeTimes { moment: Moment::After, applied });
    Ok(times)
}

/// Probes daemons until each serves by a version of the table.
fn time_change(fleet: &ChangeFleet, daemons: &[usize], written: Written) -> Vec<Applied> {
    let mut probes = Vec::new();
    for index in daemons {
        let Some(daemon) = fleet.daemon(*index) else {
            continue;
        };
        let (index, address) = (*index, daemon.addresses.clients);
        probes.push(std::thread::spawn(move || {
            let mut tries = 0;
            loop {
                let difference = find_difference(address, written);
                let after = written.at.elapsed();
                tries += 1;
                if difference.is_none() || after > WATCH_LIMIT {
                    return Applied { daemon: index, after, tries, difference };
                }
                std::thread::sleep(PROBE_INTERVAL);
            }
        }));
    }
    probes.into_iter().filter_map(|probe| probe.join().ok()).collect()
}
