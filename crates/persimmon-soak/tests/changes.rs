//! Guards against changes of the table that reach daemons late, with fleets of real processes as
//! their clients see them.

use std::time::Duration;

use persimmon_soak::changes::{
    ChangeOptions, ChangeTimes, Disruption, Episode, Moment, Targets, measure_changes,
};

/// Largest fleet without watchers, and a few daemons more.
const FLEET_WITH_WATCHERS: u16 = 36;

/// Longer than a daemon pauses between two watches of the table, so that each daemon sends one.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Runs one episode; returns the times of the changes in it.
fn measure(name: &str, daemons: u16, domains: usize, episode: Episode) -> Vec<ChangeTimes> {
    let log_dir = std::env::temp_dir().join(format!("changes-{}-{name}", std::process::id()));
    let options = ChangeOptions {
        daemons,
        domains,
        routes: 0,
        has_peer_proxies: episode.disturbs_peers(),
        log_dir: log_dir.clone(),
    };
    let mut measured = Vec::new();

    measure_changes(&options, &[episode], |_, times| measured.extend_from_slice(times))
        .expect("the fleet starts");

    let late: Vec<_> = measured.iter().flat_map(ChangeTimes::late).collect();
    assert!(late.is_empty(), "{late:?}; logs in {}", log_dir.display());
    std::fs::remove_dir_all(&log_dir).expect("the logs of a passed run are removed");
    measured
}

/// Guards against daemons that keep an old table after a silence of the store.
#[test]
fn a_change_reaches_a_small_fleet_after_calls_that_the_store_never_answers() {
    let episode = Episode::new(Disruption::StoreSilent, Targets::All, SILENCE).with_storm(true);

    let measured = measure("small", 6, 3, episode);

    assert_eq!(measured[1].applied.len(), 6);
}

/// Guards against the same where few daemons watch the store for the others.
#[test]
fn a_change_reaches_a_fleet_with_watchers_after_calls_that_the_store_never_answers() {
    let episode = Episode::new(Disruption::StoreSilent, Targets::All, SILENCE).with_storm(true);

    let measured = measure("watchers", FLEET_WITH_WATCHERS, 3, episode);

    assert_eq!(measured[1].applied.len(), usize::from(FLEET_WITH_WATCHERS));
}

/// Guards against followers that ask one frozen watcher after the other before the store.
#[test]
fn a_change_reaches_the_followers_of_watchers_that_are_frozen() {
    let lasts = Duration::from_secs(7);
    let episode = Episode::new(Disruption::Freeze, Targets::Watchers, lasts)
        .with_change_at(Duration::from_millis(2_500));

    let measured = measure("frozen", FLEET_WITH_WATCHERS, 1, episode);

    assert_eq!(measured[0].moment, Moment::During);
}
