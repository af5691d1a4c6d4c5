//! Who goes first when there is too little room, simulated without a network.

mod load;

use load::{Class, Load, Report, Rule, play, summary, zipf};

fn class(name: &'static str, priority: u8, per_s: f64, work_ms: f64) -> Class {
    Class {
        name,
        priority,
        per_s,
        work_ms,
        objective_ms: 150,
        deadline_ms: 800,
        transactions: 0.0,
        value: 1.0,
        late_value: 0.1,
    }
}

/// The request classes of the customer with workspaces.
fn tangaroa() -> Vec<Class> {
    vec![
        Class {
            transactions: 0.4,
            value: 3.5,
            late_value: 0.14,
            ..class("calibration-log", 0, 126.0, 4.5)
        },
        Class {
            objective_ms: 800,
            deadline_ms: 2_500,
            transactions: 0.1,
            value: 0.47,
            late_value: 0.07,
            ..class("swell-lookup", 2, 219.0, 22.0)
        },
        Class {
            objective_ms: 250,
            transactions: 0.12,
            value: 1.9,
            late_value: 0.093,
            ..class("reading-ingest", 1, 591.0, 14.0)
        },
    ]
}

/// The request classes of the customer without workspaces.
fn shikongo() -> Vec<Class> {
    vec![
        Class {
            deadline_ms: 1_500,
            transactions: 0.4,
            value: 2.0,
            late_value: 0.6,
            ..class("callout-orders", 1, 257.0, 5.1)
        },
        Class {
            objective_ms: 500,
            deadline_ms: 5_000,
            transactions: 0.1,
            value: 1.0,
            late_value: 0.3,
            ..class("unit-status", 2, 257.0, 26.0)
        },
        Class {
            objective_ms: 250,
            deadline_ms: 1_500,
            transactions: 0.12,
            value: 2.0,
            late_value: 0.3,
            ..class("inspection-logs", 2, 1_201.0, 15.0)
        },
    ]
}

fn load(classes: Vec<Class>, utilization: f64) -> Load {
    let factors = vec![1.0; classes.len()];
    Load {
        classes,
        workspaces: vec![(1.0, 1.0)],
        utilization,
        factors,
        seconds: 20,
        returning: 0,
        owners: 3,
    }
}

fn compare(name: &str, load: &Load) -> (Report, Report) {
    let before = play(load, Rule::WaitOnce, 11);
    let after = play(load, Rule::Queue, 11);
    println!("{name}: value {:.3} before, {:.3} after", before.value(), after.value());
    println!("  before {:#?}", summary(&before, &load.classes));
    println!("  after {:#?}", summary(&after, &load.classes));
    (before, after)
}

#[test]
fn explore() {
    for (name, classes) in [("tangaroa", tangaroa()), ("shikongo", shikongo())] {
        compare(&format!("{name} calm"), &load(classes.clone(), 0.6));
        compare(&format!("{name} 1.4"), &load(classes.clone(), 1.4));
        compare(&format!("{name} one owner"), &Load { owners: 1, ..load(classes.clone(), 1.0) });
        for index in 0..3 {
            let mut burst = load(classes.clone(), 0.8);
            burst.factors[index] = 2.5;
            compare(&format!("{name} burst {index}"), &burst);
        }
        let mut back = load(classes.clone(), 0.7);
        back.returning = 250;
        back.seconds = 3;
        compare(&format!("{name} back"), &back);
    }
    let mut hot = load(tangaroa(), 0.8);
    hot.workspaces = zipf(81);
    hot.workspaces[1].1 = 7.5;
    let (before, after) = compare("hot", &hot);
    println!(
        "others {:.3} -> {:.3}",
        before.others(1).share_in_objective(),
        after.others(1).share_in_objective()
    );
    let close =
        after.waits.iter().filter(|(p, a)| *a <= p * 3.0 + 30.0 && *p <= a * 3.0 + 30.0).count();
    println!("waits {} of {}", close, after.waits.len());
    let now = after.refusal_ms.iter().filter(|ms| **ms < 1.0).count();
    println!("at once {} of {}", now, after.refusal_ms.len());
}
