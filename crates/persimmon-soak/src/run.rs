//! One run of the soak.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use persimmon_lab::seam::{LineClient, Seam, Work};

use crate::callers::{Caller, Tally};
use crate::fleet::Fleet;
use crate::plan::{Plan, Step};

/// How long the system may take to serve again once everything is healed.
const RECOVERY: Duration = Duration::from_secs(12);

/// How often instances write to the directory, and faults are looked at.
const BEAT: Duration = Duration::from_millis(200);

/// How often the run looks what is due.
const LOOK: Duration = Duration::from_millis(5);

/// What a run is like.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of its plan.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// Daemons.
    pub daemons: u16,
    /// Groups of three instances.
    pub groups: usize,
    /// Callers.
    pub callers: u64,
    /// Where the daemons' logs go.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// What was planned.
    pub plan: Plan,
    /// What must not be and was.
    pub violations: Vec<String>,
    /// What callers were told.
    pub tally: Arc<Tally>,
}

/// Runs one seed.
///
/// # Errors
///
/// Returns an error if a process or a stand-in cannot be started.
pub fn run(options: &Options) -> io::Result<Report> {
    let plan = Plan::new(options.seed, options.length);
    let seam = Seam::start(options.groups, 3, Work::default())?;
    let mut fleet = Fleet::start(seam, options.folder.clone(), options.daemons)?;
    let mut violations = Vec::new();
    if !wait(RECOVERY, || fleet.is_ready()) {
        violations.push("the daemons are not ready at the start".to_owned());
    }
    let tally = Arc::new(Tally::default());
    let stop = Arc::new(AtomicBool::new(false));
    let groups: Vec<_> = fleet.seam.groups.iter().map(|(group, _)| Arc::clone(group)).collect();
    let mut threads = Vec::new();
    for index in 0..options.callers {
        let fronts = Arc::clone(&fleet.fronts);
        let caller = Caller::new(index, options.seed, &groups, fronts, Arc::clone(&tally));
        let stop = Arc::clone(&stop);
        threads.push(std::thread::spawn(move || caller.run(&stop)));
    }
    play(&mut fleet, &plan, options.length)?;
    fleet.heal()?;
    let healed = Instant::now();
    if !wait(RECOVERY, || serves_everywhere(&mut fleet, options.groups)) {
        violations.push(format!("a daemon does not serve {:?} after healing", healed.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        if thread.join().is_err() {
            violations.push("a caller's thread panicked".to_owned());
        }
    }
    violations.extend(fleet.seam.violations());
    Ok(Report { plan, violations, tally })
}

fn wait(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() > until {
            return false;
        }
        std::thread::sleep(LOOK);
    }
    true
}

/// A fault that has begun, and the instance that it met.
type Begun = (Step, Option<(usize, usize)>);

fn play(fleet: &mut Fleet, plan: &Plan, length: Duration) -> io::Result<()> {
    let began = Instant::now();
    let mut due = plan.steps.iter().copied().peekable();
    let mut open: Vec<Begun> = Vec::new();
    let mut beat_at = Duration::ZERO;
    loop {
        let now = began.elapsed();
        while let Some(step) = due.next_if(|s| s.at <= now) {
            let met = fleet.begin(&step);
            open.push((step, met));
        }
        let (over, going): (Vec<Begun>, Vec<Begun>) =
            open.into_iter().partition(|(step, _)| step.at + step.lasts <= now);
        open = going;
        for (step, met) in over {
            fleet.end(&step, met)?;
        }
        if now >= beat_at {
            beat_at = now + BEAT;
            let is_draining =
                open.iter().any(|(step, _)| step.fault == crate::plan::Fault::DrainPrimary);
            if !is_draining {
                fleet.beat();
            }
        }
        if now >= length {
            return Ok(());
        }
        std::thread::sleep(LOOK);
    }
}

fn serves_everywhere(fleet: &mut Fleet, groups: usize) -> bool {
    fleet.beat();
    if !fleet.is_ready() {
        return false;
    }
    let fronts = fleet.fronts.lock().map(|f| f.clone()).unwrap_or_default();
    fronts.iter().all(|address| {
        (0..groups).all(|number| {
            let opened = LineClient::open(*address, &format!("p{number}"), "end");
            opened.and_then(|mut c| c.query("WRITE end x")).is_ok_and(|a| a.result.is_ok())
        })
    })
}
