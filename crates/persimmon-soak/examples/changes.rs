//! Command-line runner that measures how long changes of the table take to reach a fleet.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options as _;
use persimmon_soak::changes::{
    ChangeOptions, Disruption, Episode, Targets, episodes, measure_changes,
};

/// Disturbs a fleet of daemons and measures when each serves by a change of the table. The
/// environment variable PERSIMMON_LAB_DAEMON names another build of the daemon.
#[derive(Debug, gumdrop::Options)]
struct Arguments {
    /// print this help and exit
    help: bool,
    /// the seed of the episodes
    #[options(default = "1")]
    seed: u64,
    /// how many episodes
    #[options(default = "10")]
    episodes: usize,
    /// number of daemons
    #[options(default = "15")]
    daemons: u16,
    /// number of failure domains
    #[options(default = "3", short = "z")]
    domains: usize,
    /// routes of the table beside those that change
    #[options(default = "0")]
    routes: usize,
    /// disturb only in this way, such as StoreSilent
    only: Option<Disruption>,
    /// disturb only these daemons: One, Third, All or Watchers
    targets: Option<Targets>,
    /// let calls between daemons pass proxies, for PeersSilent (builds that know listen.peer_ip)
    peer_proxies: bool,
    /// keep the logs
    keep: bool,
}

/// The episodes that the arguments ask for.
fn plan(args: &Arguments) -> Vec<Episode> {
    let mut plan = episodes(args.seed, args.episodes);
    for episode in &mut plan {
        episode.disruption = args.only.unwrap_or(episode.disruption);
        episode.targets = args.targets.unwrap_or(episode.targets);
    }
    plan
}

fn main() -> ExitCode {
    let args = Arguments::parse_args_default_or_exit();
    let log_dir: PathBuf = std::env::temp_dir().join(format!("changes-{}", std::process::id()));
    let options = ChangeOptions {
        daemons: args.daemons,
        domains: args.domains,
        routes: args.routes,
        has_peer_proxies: args.peer_proxies,
        log_dir: log_dir.clone(),
    };
    let mut late = 0;
    let mut number = 0;
    let measured = measure_changes(&options, &plan(&args), |episode, all| {
        println!("episode {number}: {episode:?}");
        number += 1;
        for times in all {
            let (count, longest) = (times.applied.len(), times.longest());
            println!("  {:?}: {count} daemons, longest {longest:?}", times.moment);
            for applied in times.late() {
                late += 1;
                println!("    d{} {:?} {:?}", applied.daemon, applied.after, applied.difference);
            }
        }
    });
    if let Err(err) = measured {
        eprintln!("{err}; logs: {}", log_dir.display());
        return ExitCode::FAILURE;
    }
    println!("{late} late");
    if late > 0 {
        println!("logs: {}", log_dir.display());
        return ExitCode::FAILURE;
    }
    if args.keep {
        println!("logs: {}", log_dir.display());
        return ExitCode::SUCCESS;
    }
    // The logs of a run without late daemons are not needed; a failed removal does no harm.
    let _ = std::fs::remove_dir_all(&log_dir);
    ExitCode::SUCCESS
}
