//! Fixtures for tests that run daemons and instances as processes.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::net::SocketAddr;
use std::time::Duration;

use persimmon_lab::{Cluster, ClusterConfig, Deployment};
use tokio_postgres::{Client, Config, NoTls};

/// Starts a deployment with one service.
pub fn cluster(configure: impl FnOnce(ClusterConfig) -> ClusterConfig) -> Cluster {
    let config = configure(ClusterConfig::new(Deployment::BlueMahoe));
    Cluster::start(config).expect("the deployment starts")
}

/// The name of the service of [`cluster`].
pub const SERVICE: &str = "bookings";

/// Connects with a PostgreSQL driver.
pub async fn connect(address: SocketAddr) -> Client {
    connect_with(address, "").await
}

/// Connects with a PostgreSQL driver and startup options.
pub async fn connect_with(address: SocketAddr, options: &str) -> Client {
    try_connect(address, options).await.expect("the daemon accepts the connection")
}

/// Connects with a PostgreSQL driver, or returns the driver's error.
pub async fn try_connect(
    address: SocketAddr,
    options: &str,
) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("check")
        .dbname(SERVICE)
        .connect_timeout(Duration::from_secs(5));
    if !options.is_empty() {
        config.options(options);
    }
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(async move {
        // The client reports the end of the connection.
        let _ = connection.await;
    });
    Ok(client)
}

/// Creates the table that the tests write to.
pub async fn create_ledger(client: &Client) {
    let sql = "CREATE TABLE ledger (id TEXT, amount INTEGER)";
    client.batch_execute(sql).await.expect("the table is created");
}

/// Returns the SQLSTATE of an error, or an empty string if it has none.
pub fn code(err: &tokio_postgres::Error) -> String {
    err.code().map(|c| c.code().to_owned()).unwrap_or_default()
}

/// Runs an asynchronous test body.
pub fn block_on<F: Future>(body: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(body)
}
