//! Command-line runner of the soak test.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gumdrop::Options as _;
use persimmon_soak::{Options, run};

/// Runs the fault-injection soak test over consecutive seeds; keeps the logs of those that fail.
#[derive(Debug, gumdrop::Options)]
struct Arguments {
    /// print this help and exit
    help: bool,
    /// the first seed
    #[options(default = "1")]
    seed: u64,
    /// how many seeds
    #[options(default = "1")]
    runs: u64,
    /// how long faults are injected in each run, in seconds
    #[options(default = "12")]
    length: u64,
    /// number of daemons
    #[options(default = "4")]
    daemons: u16,
    /// number of groups of three instances
    #[options(default = "2")]
    groups: usize,
    /// connection limit of an instance in the table; below twice the daemons they use owners
    #[options(default = "60")]
    connections: usize,
    /// number of clients
    #[options(default = "16")]
    callers: u64,
    /// also restore the store from copies
    restores: bool,
    /// also let another writer store entries that no daemon can read
    odd_entries: bool,
    /// also accept calls and never answer them, and refuse session state
    unanswered: bool,
    /// also let clients need keys, some of which come and go
    keys: bool,
    /// let commits wait for one replica, and also replace instances and hosts
    synchronous: bool,
    /// also give hosts room for few sessions, and let these end for all reasons that daemons have
    ends: bool,
    /// leave out the faults that every seed has
    only_added: bool,
    /// print the plan of each run
    plan: bool,
}

fn main() -> ExitCode {
    let args = Arguments::parse_args_default_or_exit();
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.runs {
        let log_dir: PathBuf = std::env::temp_dir().join(format!("soak-{seed}"));
        let options = Options {
            seed,
            length: Duration::from_secs(args.length),
            daemons: args.daemons,
            groups: args.groups,
            max_connections: args.connections,
            has_restores: args.restores,
            has_odd_entries: args.odd_entries,
            has_unanswered_calls: args.unanswered,
            has_key_changes: args.keys,
            has_synchronous_groups: args.synchronous,
            has_session_ends: args.ends,
            has_only_added: args.only_added,
            clients: args.callers,
            log_dir: log_dir.clone(),
        };
        let report = match run(&options) {
            Ok(report) => report,
            Err(err) => {
                eprintln!("seed {seed}: {err}");
                return ExitCode::FAILURE;
            }
        };
        let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        println!(
            "seed {seed}: {} faults, served {}, not run {}, in doubt {}, sessions broken {}, \
             violations {}",
            report.plan.steps.len(),
            count(&report.counters.served),
            count(&report.counters.not_run),
            count(&report.counters.may_have_run),
            count(&report.counters.broken_sessions),
            report.violations.len(),
        );
        if let Some(ends) = &report.ends {
            println!(
                "  sessions: answered {}, ended without a request {}, exempt {:?}, logged {:?}, \
                 violations {}",
                ends.answered,
                ends.ended_unasked,
                ends.exempt,
                ends.logged,
                ends.violations.len(),
            );
        }
        let ends = report.ends.unwrap_or_default();
        for crossed in &ends.crossed {
            println!("  crossed: {crossed}");
        }
        if args.plan {
            for step in &report.plan.steps {
                println!("  {step:?}");
            }
        }
        if report.violations.is_empty() {
            // The logs of a run without violations are not needed; a failed removal does no harm.
            let _ = std::fs::remove_dir_all(&log_dir);
            continue;
        }
        for violation in report.violations.iter().take(10) {
            println!("  {violation}");
        }
        let list = log_dir.join("violations.txt");
        if let Err(err) = std::fs::write(&list, report.violations.join("\n")) {
            eprintln!("{}: {err}", list.display());
        }
        println!("  logs: {}", log_dir.display());
        failed.push(seed);
    }
    println!("{} passed, {} failed", args.runs - failed.len() as u64, failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
