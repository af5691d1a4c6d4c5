//! The benchmark scenarios.

use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::bench::load::{LoadConfig, LoadGenerator, LoadResult};
use crate::bench::measure::{ControlCost, control_cost};
use crate::cluster::{Cluster, ClusterConfig, wait_until};
use crate::deployment::Deployment;
use crate::history::{ReportedOutcome, Violation};
use crate::http;
use crate::writers::{Writers, connect};

/// A benchmark scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Reads and writes with a replica lag of 50 ms.
    Steady,
    /// The same with a replica lag of two seconds.
    Lag,
    /// The same as [`Self::Steady`], with sessions that move between daemons.
    Roam,
    /// Repeated failures of the primary.
    Failover,
    /// Latency and throughput through a daemon, compared with a direct connection to the instance.
    Overhead,
    /// The time until an accepted table is active on every daemon.
    Table,
    /// Overload: an offered load of several times the capacity of the slots, and back.
    Crest,
    /// Short requests while long exports run.
    Exports,
    /// The control plane without client traffic.
    Idle,
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "steady" => Self::Steady,
            "lag" => Self::Lag,
            "roam" => Self::Roam,
            "failover" => Self::Failover,
            "overhead" => Self::Overhead,
            "table" => Self::Table,
            "crest" => Self::Crest,
            "exports" => Self::Exports,
            "idle" => Self::Idle,
            _ => return Err(format!("unknown scenario `{text}`")),
        })
    }
}

/// The parameters of a benchmark.
#[derive(Clone, Debug)]
pub struct BenchArguments {
    /// The scenario to run.
    pub scenario: Scenario,
    /// The deployment to imitate.
    pub deployment: Deployment,
    /// The policy that selects replicas: `power-of-two`, `least-outstanding` or `round-robin`.
    pub policy: String,
    /// The number of daemons.
    pub daemons: usize,
    /// The number of services.
    pub services: usize,
    /// How long the load lasts.
    pub duration: Duration,
    /// The number of runs, in scenarios that repeat.
    pub runs: usize,
    /// The seed of the arrival times.
    pub seed: u64,
}

/// The result of a benchmark, without the values that it did not measure.
#[derive(Debug, Default, Serialize)]
pub struct BenchReport {
    #[serde(skip_serializing_if = "Option::is_none")]
    replica_read_share: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    write_gap_ms: Option<Spread>,
    #[serde(skip_serializing_if = "Option::is_none")]
    table_in_force_ms: Option<Spread>,
    #[serde(skip_serializing_if = "Option::is_none")]
    goodput_ratio: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    short_wait_p99_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    short_wait_alone_p99_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    long_time_ratio: Option<f64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    details: Vec<String>,
    succeeded: u64,
    refused_not_run: u64,
    refused_may_have_run: u64,
    lost: usize,
    doubled: usize,
    ran_despite_refusal: usize,
    stale_reads: usize,
    checked_reads: u64,
    cap_violations: f64,
    #[serde(flatten)]
    control: ControlCost,
}

/// The distribution of a set of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
struct Spread {
    median: f64,
    p99: f64,
    worst: f64,
    runs: usize,
}

impl Spread {
    fn new(mut values: Vec<f64>) -> Option<Self> {
        values.sort_by(f64::total_cmp);
        let worst = *values.last()?;
        let at = |share: usize| values[(values.len() * share / 100).min(values.len() - 1)];
        Some(Self { median: at(50), p99: at(99), worst, runs: values.len() })
    }
}

/// Runs a benchmark.
///
/// # Errors
///
/// Returns an error if the deployment does not start or a request outside the load fails.
pub async fn run(args: &BenchArguments) -> io::Result<BenchReport> {
    match args.scenario {
        Scenario::Steady => mixed(args, Duration::from_millis(50), None).await,
        Scenario::Lag => mixed(args, Duration::from_secs(2), None).await,
        Scenario::Roam => {
            let every = args.duration / 10;
            mixed(args, Duration::from_millis(50), Some(every)).await
        }
        Scenario::Failover => failover(args).await,
        Scenario::Overhead => overhead(args).await,
        Scenario::Table => table(args).await,
        Scenario::Crest => crest(args).await,
        Scenario::Exports => exports(args).await,
        Scenario::Idle => idle(args).await,
    }
}

fn config(args: &BenchArguments) -> ClusterConfig {
    let settings = format!("traffic:\n  policy: {}", args.policy);
    ClusterConfig::new(args.deployment)
        .with_daemons(args.daemons)
        .with_services(args.services)
        .with_settings(&settings)
}

fn client_addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.daemons.iter().map(|d| d.client_address).collect()
}

fn service(cluster: &Cluster) -> &'static str {
    cluster.config.deployment.services()[0]
}

async fn start_cluster(config: ClusterConfig) -> io::Result<Cluster> {
    let cluster = Cluster::start(config)?;
    let client = connect(cluster.daemons[0].client_address, service(&cluster)).await;
    let client = client.map_err(io::Error::other)?;
    let sql =
        "CREATE TABLE ledger (id TEXT, amount INTEGER); CREATE INDEX ledger_id ON ledger (id)";
    client.batch_execute(sql).await.map_err(io::Error::other)?;
    Ok(cluster)
}

fn load_config(args: &BenchArguments) -> LoadConfig {
    LoadConfig {
        rate: 400.0,
        write_ratio: 0.1,
        sessions: 60,
        duration: args.duration,
        roam_interval: None,
        replica_lag: Duration::ZERO,
        keeps_position_token: true,
        read_hint: String::new(),
        read_seconds: 0.0,
        seed: args.seed,
    }
}

fn load(cluster: &Cluster, config: LoadConfig) -> LoadGenerator {
    LoadGenerator {
        daemons: client_addresses(cluster),
        service: service(cluster).to_owned(),
        config,
    }
}

/// The identifiers of the writes that the primary stores.
fn stored_ids(cluster: &Cluster) -> io::Result<Vec<String>> {
    let (_, primary) = cluster.primary(0, service(cluster))?;
    let rows = cluster.connect_to_instance(primary)?.query("SELECT id FROM ledger")?;
    let rows = rows.map_err(|(code, message)| io::Error::other(format!("{code} {message}")))?;
    Ok(rows.into_iter().map(|row| row[0].clone()).collect())
}

fn sum_counter(cluster: &Cluster, counter: &str) -> io::Result<f64> {
    let mut total = 0.0;
    for daemon in &cluster.daemons {
        let status = http::get(daemon.admin, "/status")?;
        total += status["counters"][counter].as_f64().unwrap_or(0.0);
    }
    Ok(total)
}

/// The sum of a counter over all instances, as counted by the instances.
fn sum_instance_stat(cluster: &Cluster, stat: &str) -> f64 {
    let mut total = 0.0;
    for index in 0..cluster.instances.len() {
        let rows = cluster
            .connect_to_instance(index)
            .and_then(|mut c| c.query("SELECT persimmon_lab_stats()"));
        let Ok(Ok(rows)) = rows else {
            continue;
        };
        let stats: serde_json::Value = serde_json::from_str(&rows[0][0]).unwrap_or_default();
        total += stats[stat].as_f64().unwrap_or(0.0);
    }
    total
}

/// Adds the results that all loads have in common to the report.
fn add_results(
    report: &mut BenchReport,
    cluster: &Cluster,
    results: &[&LoadResult],
) -> io::Result<()> {
    let stored_ids = stored_ids(cluster)?;
    for result in results {
        report.succeeded += result.succeeded;
        report.refused_not_run += result.not_run;
        report.refused_may_have_run += result.failed;
        report.checked_reads += result.history.reads();
        for violation in result.history.check(&stored_ids) {
            count_violation(report, &violation);
        }
    }
    report.cap_violations = sum_instance_stat(cluster, "refused_connections");
    Ok(())
}

fn count_violation(report: &mut BenchReport, violation: &Violation) {
    match violation {
        Violation::Lost(_) => report.lost += 1,
        Violation::Doubled(_) => report.doubled += 1,
        Violation::RanDespiteRefusal(_) => report.ran_despite_refusal += 1,
        Violation::StaleRead(_) => report.stale_reads += 1,
        // Several loads of one run write to one table, so the writes of other loads are unknown.
        Violation::Unknown(_) => {}
    }
}

fn millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1_000.0
}

async fn mixed(
    args: &BenchArguments,
    lag: Duration,
    roam_interval: Option<Duration>,
) -> io::Result<BenchReport> {
    let cluster = start_cluster(config(args).with_apply_lag(lag)).await?;
    let load = load(&cluster, LoadConfig { roam_interval, replica_lag: lag, ..load_config(args) });
    let (result, control) = control_cost(&cluster, load.run()).await?;
    let mut report = BenchReport { control, ..BenchReport::default() };
    let by_replicas = sum_instance_stat(&cluster, "replica_reads");
    let share_of_allowed =
        by_replicas / f64::from(u32::try_from(result.allowed_reads).unwrap_or(u32::MAX));
    report.replica_read_share = Some(share_of_allowed.min(1.0));
    report.short_wait_p99_ms = Some(millis(result.latency.value_at_quantile(0.99)));
    report.details.push(format!(
        "lag {lag:?}; allowed reads {}; position checks {}, samples {}; p50 {:.2} ms",
        result.allowed_reads,
        sum_counter(&cluster, "position_checks")?,
        sum_counter(&cluster, "samples")?,
        millis(result.latency.value_at_quantile(0.5))
    ));
    add_results(&mut report, &cluster, &[&result])?;
    Ok(report)
}

async fn failover(args: &BenchArguments) -> io::Result<BenchReport> {
    let mut report = BenchReport::default();
    let mut gaps = Vec::new();
    for run in 0..args.runs {
        let mut cluster = start_cluster(config(args)).await?;
        let writers = Writers::start(&client_addresses(&cluster), service(&cluster), 6);
        let history = writers.history.clone();
        let warm_up_writes = 100 + run % 7 * 20;
        let limit = Duration::from_secs(30);
        wait_until(limit, "acknowledged writes", || {
            history.count(ReportedOutcome::Acknowledged) > warm_up_writes
        })?;
        let (_, primary) = cluster.primary(0, service(&cluster))?;
        let failed_at = Instant::now();
        // Every other run freezes the primary instead, so that no connection is closed.
        if run % 2 == 0 {
            cluster.instances[primary].process.kill();
        } else {
            cluster.instances[primary].process.signal(rustix::process::Signal::STOP);
        }
        let before = history.count(ReportedOutcome::Acknowledged);
        wait_until(limit, "acknowledged writes", || {
            history.count(ReportedOutcome::Acknowledged) > before + 200
        })?;
        let history = writers.stop().await;
        if let Some(gap) = history.longest_gap_after(failed_at) {
            gaps.push(gap.as_secs_f64() * 1_000.0);
        }
        report.refused_not_run += history.count(ReportedOutcome::NotRun) as u64;
        report.refused_may_have_run += history.count(ReportedOutcome::MayHaveRun) as u64;
        report.succeeded += history.count(ReportedOutcome::Acknowledged) as u64;
        report.checked_reads += history.reads();
        for violation in history.check(&stored_ids(&cluster)?) {
            count_violation(&mut report, &violation);
        }
    }
    report.details.push(format!("gaps in ms, killed and frozen in turn: {gaps:.0?}"));
    report.write_gap_ms = Spread::new(gaps);
    Ok(report)
}

async fn overhead(args: &BenchArguments) -> io::Result<BenchReport> {
    let cluster = start_cluster(config(args)).await?;
    let (_, primary) = cluster.primary(0, service(&cluster))?;
    let direct = cluster.instances[primary].direct_address;
    let proxied = cluster.daemons[0].client_address;
    let mut report = BenchReport::default();
    for (name, sql) in [
        ("read", "/* persimmon: max_age=0s */ SELECT id FROM ledger WHERE id = 'x'"),
        ("write", "INSERT INTO ledger VALUES ('x', 1)"),
    ] {
        for (how, address) in [("straight", direct), ("through a daemon", proxied)] {
            let summary = closed_loop(address, service(&cluster), sql, 4, args.duration).await?;
            report.details.push(format!("{name} {how}: {summary}"));
        }
    }
    report.cap_violations = sum_instance_stat(&cluster, "refused_connections");
    Ok(report)
}

/// Latency and throughput of a statement from clients that wait for each response.
async fn closed_loop(
    address: SocketAddr,
    service: &str,
    sql: &str,
    clients: usize,
    duration: Duration,
) -> io::Result<String> {
    let began = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..clients {
        let client = connect(address, service).await.map_err(io::Error::other)?;
        let sql = sql.to_owned();
        tasks.push(tokio::spawn(async move {
            let mut latencies = Vec::new();
            while began.elapsed() < duration {
                let sent = Instant::now();
                client.simple_query(&sql).await?;
                latencies.push(sent.elapsed().as_secs_f64() * 1_000.0);
            }
            Ok::<_, tokio_postgres::Error>(latencies)
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.map_err(io::Error::other)?.map_err(io::Error::other)?);
    }
    let seconds = began.elapsed().as_secs_f64();
    let rate = f64::from(u32::try_from(all.len()).unwrap_or(u32::MAX)) / seconds;
    let spread = Spread::new(all).ok_or_else(|| io::Error::other("no responses"))?;
    Ok(format!("p50 {:.3} ms, p99 {:.3} ms, {rate:.0} a second", spread.median, spread.p99))
}

async fn table(args: &BenchArguments) -> io::Result<BenchReport> {
    let cluster = start_cluster(config(args)).await?;
    let mut times = Vec::new();
    let changes = async {
        for run in 0..args.runs {
            let text = cluster.table().replace("10000,30000", &format!("10000,{}", 30_001 + run));
            let object = http::get(cluster.platform, "/v1/objects/table")?;
            let version = object["version"].as_u64().unwrap_or(0);
            let began = Instant::now();
            cluster.put_table(version, &text)?;
            let version = http::get(cluster.platform, "/v1/objects/table")?["version"].clone();
            wait_until(Duration::from_secs(10), "the table is active on every daemon", || {
                cluster.daemons.iter().all(|d| {
                    http::get(d.admin, "/status").is_ok_and(|status| status["table"] == version)
                })
            })?;
            times.push(began.elapsed().as_secs_f64() * 1_000.0);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok::<_, io::Error>(())
    };
    let (result, control) = control_cost(&cluster, changes).await?;
    result?;
    let table_in_force_ms = Spread::new(times);
    Ok(BenchReport { table_in_force_ms, control, ..BenchReport::default() })
}

async fn idle(args: &BenchArguments) -> io::Result<BenchReport> {
    let cluster = start_cluster(config(args)).await?;
    // Reserved terms still change until all daemons have known each other for a while.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (_, control) = control_cost(&cluster, tokio::time::sleep(args.duration)).await?;
    Ok(BenchReport { control, ..BenchReport::default() })
}

/// Execution time of a statement in the crest scenario; a fifth of it in the exports scenario.
const STATEMENT_TIME: Duration = Duration::from_millis(10);

async fn crest(args: &BenchArguments) -> io::Result<BenchReport> {
    let cluster = start_cluster(config(args).with_statement_time(STATEMENT_TIME)).await?;
    // Writes go to the primary only; its five slots limit their rate.
    let slots = f64::from(u32::try_from(args.deployment.slots()).unwrap_or(u32::MAX));
    let capacity = slots / STATEMENT_TIME.as_secs_f64();
    let mut report = BenchReport::default();
    let mut goodputs = Vec::new();
    let mut results = Vec::new();
    for factor in [0.5, 1.0, 3.0, 5.0, 0.5] {
        let rate = capacity * factor;
        let config = LoadConfig { rate, write_ratio: 1.0, sessions: 400, ..load_config(args) };
        let result = load(&cluster, config).run().await;
        let span = Duration::from_millis(result.answered_ms.last().copied().unwrap_or(1));
        let succeeded = f64::from(u32::try_from(result.succeeded).unwrap_or(u32::MAX));
        let goodput = succeeded / span.max(args.duration).as_secs_f64();
        report.details.push(format!(
            "{factor} x {capacity:.0}/s: goodput {goodput:.0}/s, p99 {:.0} ms, not run {}, may {}",
            millis(result.latency.value_at_quantile(0.99)),
            result.not_run,
            result.failed
        ));
        goodputs.push(goodput);
        results.push(result);
    }
    let peak = goodputs.iter().copied().fold(0.0, f64::max);
    report.goodput_ratio = Some(goodputs[2].min(goodputs[3]) / peak);
    let results: Vec<&LoadResult> = results.iter().collect();
    add_results(&mut report, &cluster, &results)?;
    Ok(report)
}

async fn exports(args: &BenchArguments) -> io::Result<BenchReport> {
    let cluster = start_cluster(config(args).with_statement_time(STATEMENT_TIME / 5)).await?;
    let short = load(&cluster, LoadConfig { rate: 150.0, ..load_config(args) });
    let alone = short.run().await;
    let export = LoadConfig {
        rate: 12.0,
        write_ratio: 0.0,
        sessions: 30,
        read_hint: "kind=export".to_owned(),
        read_seconds: 1.0,
        ..load_config(args)
    };
    let exports = load(&cluster, export);
    let (with_exports, long) = tokio::join!(short.run(), exports.run());
    let p99 = |result: &LoadResult| millis(result.latency.value_at_quantile(0.99));
    let mut report = BenchReport {
        short_wait_alone_p99_ms: Some(p99(&alone)),
        short_wait_p99_ms: Some(p99(&with_exports)),
        long_time_ratio: Some(millis(long.latency.value_at_quantile(0.5)) / 1_000.0),
        ..BenchReport::default()
    };
    add_results(&mut report, &cluster, &[&alone, &with_exports, &long])?;
    Ok(report)
}
