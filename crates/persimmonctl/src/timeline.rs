//! The events of all daemons, merged into one timeline.

use ntex::client::Client as HttpClient;
use persimmon_store_client::StoreClient;
use persimmon_types::TimelineEvent;

use crate::Failure;
use crate::daemons::fetch_json;

/// Prints the events of all daemons that answer, ordered by their hybrid logical timestamps.
pub(crate) async fn print(store: &StoreClient, json: bool) -> Result<(), Failure> {
    let http = HttpClient::new().await;
    let mut events: Vec<TimelineEvent> = Vec::new();
    for host in store.hosts().await?.hosts {
        match fetch_json::<Vec<TimelineEvent>>(&http, host.admin, "/timeline").await {
            Ok(daemon_events) => events.extend(daemon_events),
            Err(reason) => eprintln!("persimmonctl: skipped {}: {reason}", host.name),
        }
    }
    events.sort_by(|a, b| (a.stamp, &a.daemon).cmp(&(b.stamp, &b.daemon)));
    for event in events {
        if json {
            println!("{}", serde_json::to_string(&event)?);
        } else {
            println!("{event}");
        }
    }
    Ok(())
}
