//! The status that daemons report over their administration API.

use std::net::SocketAddr;

use ntex::client::Client as HttpClient;
use ntex::time::Millis;
use persimmon_store_client::{StoreClient, TableObject};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::Failure;

/// How long a daemon may take to answer.
const DAEMON_TIMEOUT: Millis = Millis(2_000);

/// The maximum size of a response body accepted from a daemon, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Fetches a JSON document from a daemon's administration API.
pub(crate) async fn fetch_json<T: DeserializeOwned>(
    http: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<T, String> {
    let req = http.get(format!("http://{address}{path}")).timeout(DAEMON_TIMEOUT);
    let res = req.send().await.map_err(|err| err.to_string())?;
    let body = res.body().limit(MAX_BODY_BYTES).await.map_err(|err| err.to_string())?;
    serde_json::from_slice(&body).map_err(|err| err.to_string())
}

/// Prints which version of the table is active on each daemon.
pub(crate) async fn print_status(store: &StoreClient) -> Result<(), Failure> {
    let latest = store.read(TableObject::KEY).await?.map_or(0, |object| object.version);
    let http = HttpClient::new().await;
    let mut unconfirmed = 0;
    println!("newest accepted version: {latest}");
    println!("{:<20} {:>8}  {:<10} services", "daemon", "version", "state");
    for host in store.hosts().await?.hosts {
        let status: Result<Value, String> = fetch_json(&http, host.admin, "/status").await;
        let Ok(status) = status else {
            unconfirmed += 1;
            println!("{:<20} {:>8}  {:<10}", host.name, "?", "no answer");
            continue;
        };
        let version = status["table"].as_u64().unwrap_or_default();
        unconfirmed += usize::from(version != latest);
        println!("{:<20} {version:>8}  {:<10} {}", host.name, state(&status), services(&status));
    }
    if unconfirmed > 0 {
        return Err(Failure::Other(format!(
            "{unconfirmed} daemons do not report version {latest} as active"
        )));
    }
    Ok(())
}

fn state(status: &Value) -> &'static str {
    if status["draining"] == true {
        "draining"
    } else if status["cut_off"] == true {
        "cut off"
    } else if status["ready"] == true {
        "ready"
    } else {
        "not ready"
    }
}

fn services(status: &Value) -> String {
    let mut parts = Vec::new();
    for (service, group) in status["groups"].as_object().into_iter().flatten() {
        let primary = group["primary"].as_str().unwrap_or("none");
        parts.push(format!("{service}={primary}@{}", group["term"]));
    }
    parts.join(" ")
}
