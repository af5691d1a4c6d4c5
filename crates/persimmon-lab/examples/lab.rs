//! `cargo lab`: fakes of the platform and of instances, a demo and benchmarks.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, ExitCode};
use std::time::Duration;

use gumdrop::Options;
use persimmon_lab::bench::{self, BenchArguments};
use persimmon_lab::instance::InstanceConfig;
use persimmon_lab::platform::{self, Platform};
use persimmon_lab::{Cluster, ClusterConfig, Deployment, instance};

/// Fakes of the platform and of instances, a demo and benchmarks for persimmonseam.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help and exit
    help: bool,
    #[options(command)]
    command: Option<Subcommand>,
}

#[derive(Debug, Options)]
enum Subcommand {
    /// start a complete deployment and keep it running
    Demo(DemoArguments),
    /// run a benchmark on real daemons
    Bench(BenchOptions),
    /// measure the control plane's cost for growing numbers of daemons and databases
    Slope(SlopeOptions),
    /// run the fake platform
    Platform(PlatformArguments),
    /// run one fake instance
    Instance(InstanceArguments),
}

#[derive(Debug, Options)]
struct DemoArguments {
    /// print this help and exit
    help: bool,
    /// blue-mahoe or association
    #[options(default = "blue-mahoe")]
    deployment: String,
    /// number of daemons
    #[options(default = "3")]
    daemons: usize,
    /// how long to run, such as 60s; without it, until interrupted
    #[options(no_short, long = "for")]
    duration: Option<String>,
}

#[derive(Debug, Options)]
struct BenchOptions {
    /// print this help and exit
    help: bool,
    /// steady, lag, roam, failover, overhead, table, crest, exports or idle
    #[options(no_short, default = "steady")]
    scenario: String,
    /// blue-mahoe or association
    #[options(no_short, default = "blue-mahoe")]
    deployment: String,
    /// power-of-two, least-outstanding or round-robin
    #[options(no_short, default = "power-of-two")]
    policy: String,
    /// number of daemons
    #[options(no_short, default = "3")]
    daemons: usize,
    /// number of services
    #[options(no_short, default = "1")]
    services: usize,
    /// seconds of load
    #[options(no_short, default = "10")]
    seconds: u64,
    /// number of runs, in scenarios that repeat
    #[options(no_short, default = "20")]
    runs: usize,
    /// seed of the arrival times
    #[options(no_short, default = "1")]
    seed: u64,
    /// print one JSON object on one line
    #[options(no_short)]
    json: bool,
}

#[derive(Debug, Options)]
struct SlopeOptions {
    /// print this help and exit
    help: bool,
    /// print JSON objects, one per line
    #[options(no_short)]
    json: bool,
}

#[derive(Debug, Options)]
struct PlatformArguments {
    /// print this help and exit
    help: bool,
    /// address to listen on
    #[options(default = "127.0.0.1:0")]
    listen: String,
}

#[derive(Debug, Options)]
struct InstanceArguments {
    /// print this help and exit
    help: bool,
    /// name in the table
    name: String,
    /// address to listen on
    #[options(no_short, default = "127.0.0.1:0")]
    listen: String,
    /// maximum number of connections
    #[options(no_short, default = "70")]
    connections: usize,
    /// maximum number of concurrent statements
    #[options(no_short, default = "5")]
    slots: usize,
    /// delay before a connection is accepted, in milliseconds
    #[options(no_short, default = "0")]
    connect_ms: u64,
    /// delay until a replica receives a log entry, in milliseconds
    #[options(no_short, default = "0")]
    ship_lag_ms: u64,
    /// delay until a replica applies a log entry, in milliseconds
    #[options(no_short, default = "0")]
    apply_lag_ms: u64,
    /// minimum execution time of a statement, in microseconds
    #[options(no_short, default = "0")]
    statement_us: u64,
    /// address of the primary to follow; without it, start as primary
    #[options(no_short)]
    follow: Option<SocketAddr>,
    /// directory for the instance's files
    #[options(no_short)]
    dir: PathBuf,
}

fn main() -> ExitCode {
    let args = Arguments::parse_args_default_or_exit();
    let result = match args.command {
        Some(Subcommand::Demo(args)) => demo(&args),
        Some(Subcommand::Bench(args)) => run_bench(&args),
        Some(Subcommand::Slope(_)) => run_slope(),
        Some(Subcommand::Platform(args)) => run_platform(&args),
        Some(Subcommand::Instance(args)) => run_instance(&args),
        None => {
            eprintln!("{}", Arguments::usage());
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("lab: {err}");
            ExitCode::FAILURE
        }
    }
}

fn print_line(value: &serde_json::Value) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{value}")?;
    out.flush()
}

fn run_platform(args: &PlatformArguments) -> io::Result<()> {
    let address = args.listen.parse().map_err(io::Error::other)?;
    let (listener, address) = platform::listen(address)?;
    print_line(&serde_json::json!({ "address": address }))?;
    let system = ntex::rt::System::new("platform", ntex::rt::DefaultRuntime);
    system.block_on(async move { platform::serve(listener, Platform::new())?.await })
}

fn run_instance(args: &InstanceArguments) -> io::Result<()> {
    let cfg = InstanceConfig {
        name: args.name.clone(),
        listen: args.listen.parse().map_err(io::Error::other)?,
        group_size: 3,
        follow: args.follow,
        max_connections: args.connections,
        slots: args.slots,
        connect_delay: Duration::from_millis(args.connect_ms),
        ship_lag: Duration::from_millis(args.ship_lag_ms),
        apply_lag: Duration::from_millis(args.apply_lag_ms),
        min_statement_time: Duration::from_micros(args.statement_us),
        dir: args.dir.clone(),
    };
    let (_instance, address) = instance::start(cfg)?;
    print_line(&serde_json::json!({ "address": address }))?;
    loop {
        std::thread::park();
    }
}

fn run_bench(options: &BenchOptions) -> io::Result<()> {
    build_daemon()?;
    let args = BenchArguments {
        scenario: options.scenario.parse().map_err(io::Error::other)?,
        deployment: options.deployment.parse().map_err(io::Error::other)?,
        policy: options.policy.clone(),
        daemons: options.daemons,
        services: options.services,
        duration: Duration::from_secs(options.seconds),
        runs: options.runs,
        seed: options.seed,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(bench::run(&args))?;
    if options.json {
        print_line(&serde_json::to_value(&report)?)
    } else {
        println!("{}", serde_json::to_string_pretty(&report)?);
        Ok(())
    }
}

/// The measured sizes (daemons, databases), up to the size that the users expect.
const SLOPE_SIZES: [(usize, usize); 7] =
    [(21, 100), (210, 100), (2_100, 100), (21, 1_000), (21, 10_000), (310, 2_000), (3_100, 20_000)];

fn run_slope() -> io::Result<()> {
    for (daemons, databases) in SLOPE_SIZES {
        print_line(&serde_json::to_value(bench::measure(daemons, databases))?)?;
    }
    Ok(())
}

/// Builds the daemon next to this program; the `cargo run` behind `cargo lab` does not build it.
fn build_daemon() -> io::Result<()> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--release", "--package", "persimmond"]);
    // Cargo's variables for this package would make build scripts of dependencies run again.
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("CARGO_PKG_")) {
        command.env_remove(name);
    }
    command.env_remove("CARGO_MANIFEST_DIR").env_remove("CARGO_MANIFEST_PATH");
    if command.status()?.success() {
        return Ok(());
    }
    Err(io::Error::other("persimmond does not build"))
}

fn demo(args: &DemoArguments) -> io::Result<()> {
    build_daemon()?;
    let deployment: Deployment = args.deployment.parse().map_err(io::Error::other)?;
    let config = ClusterConfig::new(deployment).with_services(3).with_daemons(args.daemons);
    let cluster = Cluster::start(config)?;
    let client_addresses: Vec<SocketAddr> =
        cluster.daemons.iter().map(|d| d.client_address).collect();
    let admin: Vec<SocketAddr> = cluster.daemons.iter().map(|d| d.admin).collect();
    print_line(&serde_json::json!({
        "callers": client_addresses,
        "admin": admin,
        "platform": format!("http://{}", cluster.platform),
    }))?;
    let seconds = args.duration.as_deref().map(|d| d.trim_end_matches('s').parse::<u64>());
    let limit = seconds.transpose().map_err(io::Error::other)?.map(Duration::from_secs);
    wait_for_interrupt(limit)
}

/// Waits for SIGINT or SIGTERM, at most for `limit`. It returns normally, so that dropping the
/// cluster ends its processes.
fn wait_for_interrupt(limit: Option<Duration>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        let time_limit = async {
            match limit {
                Some(limit) => tokio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
            () = time_limit => {}
        }
        Ok(())
    })
}
