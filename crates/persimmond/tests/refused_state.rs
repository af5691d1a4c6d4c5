//! Guards against a connection whose session state is believed although the instance has refused it.
//! The fake instances record each statement that runs with another session's values.

mod fleet;

use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::LineClient;

use crate::fleet::owners::{other_than, setup_with_owner};
use crate::fleet::{Setup, setup};

/// The verdicts of an instance on a statement.
const CODES: [&str; 5] = ["READONLY", "BUSY", "FAILED", "TIMEOUT", "LAGGING"];

fn set_refusal(setup: &Setup, word: &'static str, code: Option<&'static str>) {
    for (_, instances) in &setup.cluster.groups {
        for instance in instances {
            instance.server.set_refusal(word, code);
        }
    }
}

fn run(client: &mut LineClient, texts: &[&str]) {
    for text in texts {
        let answer = client.query(text).expect("a response");
        assert!(answer.result.is_ok(), "{text}: {answer:?}");
    }
}

/// Runs statements of which the instances refuse some.
fn run_refused(setup: &Setup, word: &'static str, code: &'static str, client: &mut LineClient) {
    set_refusal(setup, word, Some(code));
    for text in ["READ item", "EXECUTE s1 item"] {
        // Refused statements are answered too.
        client.query(text).expect("a response");
    }
    set_refusal(setup, word, None);
}

/// Guards against reads with the values of another session after an instance refused SET.
#[test]
fn statements_never_run_with_values_whose_change_was_refused() {
    let setup = setup("refused-set", 1);
    let mut first = setup.client(0, "r0", "first");
    run(&mut first, &["SET who first", "READ item"]);

    for (number, code) in CODES.into_iter().enumerate() {
        let name = format!("c{number}");
        let mut client = setup.client(0, "r0", &name);
        run(&mut client, &[&format!("SET who {name}")]);
        run_refused(&setup, "SET", code, &mut client);
        run(&mut client, &["READ item"]);
        run(&mut first, &["READ item"]);
    }

    setup.assert_no_violations();
}

/// Guards against the same where the transaction goes on to a rollback.
#[test]
fn statements_never_run_with_values_whose_change_was_refused_in_a_transaction() {
    let setup = setup("refused-set-in-transaction", 1);
    let mut first = setup.client(0, "r0", "first");
    run(&mut first, &["SET who first", "READ item"]);

    for (number, code) in CODES.into_iter().enumerate() {
        let name = format!("c{number}");
        let mut client = setup.client(0, "r0", &name);
        run(&mut client, &["BEGIN", "READ item", &format!("SET who {name}")]);
        run_refused(&setup, "SET", code, &mut client);
        run(&mut client, &["ROLLBACK", "READ item"]);
        run(&mut first, &["READ item"]);
    }

    setup.assert_no_violations();
}

/// Prepares statements in sessions of one daemon, while the instances refuse that.
fn run_refused_prepares(setup: &Setup, daemon: usize) {
    let mut first = setup.client(daemon, "r0", "first");
    run(&mut first, &["READ item"]);
    for (number, code) in CODES.into_iter().enumerate() {
        let mut client = setup.client(daemon, "r0", "c");
        run(&mut client, &[&format!("PREPARE s1 READ shape{number}")]);
        run_refused(setup, "PREPARE", code, &mut client);
        run(&mut client, &["EXECUTE s1 item"]);
    }
}

/// Guards against a prepared name that is unknown after an instance refused PREPARE.
#[test]
fn statements_find_a_prepared_statement_that_was_refused_before() {
    let setup = setup("refused-prepare", 1);

    run_refused_prepares(&setup, 0);

    setup.assert_no_violations();
}

/// Guards against the same at the daemon that runs the statements of others.
#[test]
fn statements_that_an_owner_runs_never_have_state_that_was_refused() {
    let (setup, owner) = setup_with_owner("refused-hop");

    run_refused_prepares(&setup, other_than(owner));
    for code in CODES {
        let mut first = setup.client(other_than(owner), "r0", "first");
        run(&mut first, &["SET who first", "READ item"]);
        for (word, texts) in [("SET", &["SET who second"][..]), ("RESET", &[])] {
            let mut client = setup.client(other_than(owner), "r0", "second");
            run(&mut client, texts);
            run_refused(&setup, word, code, &mut client);
            run(&mut client, &["READ item"]);
            run(&mut first, &["READ item"]);
        }
        let mut client = setup.client(other_than(owner), "r0", "third");
        run(&mut client, &["BEGIN", "READ item", "SET who third"]);
        run_refused(&setup, "SET", code, &mut client);
        run(&mut client, &["ROLLBACK", "READ item"]);
        run(&mut first, &["READ item"]);
    }

    setup.assert_no_violations();
}

/// Guards against the replacement of a primary that fails statements and still leads.
#[test]
fn primary_that_fails_to_begin_transactions_is_not_replaced() {
    let setup = setup("refused-begin", 3);
    let (group, instances) = &setup.cluster.groups[0];
    let term = group.term();
    let mut client = setup.client(0, "p0", "c");
    run(&mut client, &["WRITE item x"]);

    instances[0].server.set_refusal("BEGIN", Some("FAILED"));
    instances[0].server.set_response_loss(true);
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        // A lost answer makes the daemon suspect the primary.
        let _ = client.query("WRITE item x");
    }
    instances[0].server.set_refusal("BEGIN", None);
    instances[0].server.set_response_loss(false);

    assert_eq!(group.term(), term);
    run(&mut client, &["WRITE item y"]);
}

/// Guards against reads with the values of another session after an instance refused RESET.
#[test]
fn statements_never_run_with_values_whose_reset_was_refused() {
    let setup = setup("refused-reset", 1);

    for code in CODES {
        let mut first = setup.client(0, "r0", "first");
        run(&mut first, &["SET who first", "READ item"]);
        let mut plain = setup.client(0, "r0", "plain");
        run_refused(&setup, "RESET", code, &mut plain);
        run(&mut plain, &["READ item"]);
    }

    setup.assert_no_violations();
}
