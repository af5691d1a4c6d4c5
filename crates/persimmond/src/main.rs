//! `persimmond`, a database proxy with session consistency.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use persimmond::settings::Settings;
use persimmond::{logging, runtime};

/// A database proxy with session consistency.
///
/// The daemon serves clients over the PostgreSQL protocol, routes their statements to the backend
/// servers of the operators' table, and stores nothing on its host.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help and exit
    help: bool,
    /// print the version and exit
    version: bool,
    /// the YAML settings file
    #[options(meta = "FILE")]
    config: Option<PathBuf>,
    /// run on the users' platform, with the settings that the platform places on the host
    #[options(no_short)]
    platform: bool,
    /// check the settings, print every problem and exit
    #[options(no_short)]
    check_config: bool,
}

fn main() -> ExitCode {
    let args = Arguments::parse_args_default_or_exit();
    if args.version {
        println!("persimmond {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if args.platform {
        return run_on_platform(args.check_config);
    }
    let Some(path) = args.config else {
        eprintln!("persimmond: --config FILE or --platform is required; see --help");
        return ExitCode::from(2);
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(problems) => {
            eprint!("persimmond: {}:\n{problems}", path.display());
            return ExitCode::from(2);
        }
    };
    if args.check_config {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    logging::start(settings.log_format, &settings.log_level);
    match runtime::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            tracing::error!(error = %err, "the daemon failed");
            ExitCode::FAILURE
        }
    }
}

fn run_on_platform(check_only: bool) -> ExitCode {
    let settings = match platform_adapter::load() {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("persimmond: {err}");
            return ExitCode::from(2);
        }
    };
    if check_only {
        println!("settings of {}: ok", settings.name);
        return ExitCode::SUCCESS;
    }
    match platform_adapter::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("persimmond: {err}");
            ExitCode::FAILURE
        }
    }
}
