//! What the daemons say of themselves.

use std::net::SocketAddr;

use ntex::client::Client as HttpClient;
use ntex::time::Millis;
use persimmon_platform::{Client, TableObject};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::Failure;

/// How long a daemon may take to answer.
const TIMEOUT: Millis = Millis(2_000);

/// The largest answer of a daemon, in bytes.
const ANSWER_LIMIT: usize = 32 << 20;

/// Reads a JSON document of a daemon.
pub(crate) async fn get<T: DeserializeOwned>(
    http: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<T, String> {
    let req = http.get(format!("http://{address}{path}")).timeout(TIMEOUT);
    let res = req.send().await.map_err(|err| err.to_string())?;
    let body = res.body().limit(ANSWER_LIMIT).await.map_err(|err| err.to_string())?;
    serde_json::from_slice(&body).map_err(|err| err.to_string())
}

/// Prints which version is in force on each daemon.
pub(crate) async fn print_status(platform: &Client) -> Result<(), Failure> {
    let newest = platform.read(TableObject::KEY).await?.map_or(0, |object| object.version);
    let http = HttpClient::new().await;
    let mut behind = 0;
    println!("newest accepted version: {newest}");
    println!("{:<20} {:>8}  {:<10} services", "daemon", "version", "state");
    for host in platform.hosts().await?.hosts {
        let status: Result<Value, String> = get(&http, host.admin, "/status").await;
        let Ok(status) = status else {
            behind += 1;
            println!("{:<20} {:>8}  {:<10}", host.name, "?", "no answer");
            continue;
        };
        let version = status["table"].as_u64().unwrap_or_default();
        behind += usize::from(version != newest);
        println!("{:<20} {version:>8}  {:<10} {}", host.name, state(&status), services(&status));
    }
    if behind > 0 {
        return Err(Failure::Other(format!("{behind} daemons are not known to serve by {newest}")));
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
    let mut words = Vec::new();
    for (service, group) in status["groups"].as_object().into_iter().flatten() {
        let primary = group["primary"].as_str().unwrap_or("none");
        words.push(format!("{service}={primary}@{}", group["term"]));
    }
    words.join(" ")
}
