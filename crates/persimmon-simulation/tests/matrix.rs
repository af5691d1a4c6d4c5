//! The fault matrix: every fault at every step of every scenario, alone and in pairs.

use std::thread;

use persimmon_failover::DisabledSafeguard as FailoverSafeguard;
use persimmon_request::DisabledSafeguard;
use persimmon_simulation::{
    DisabledSafeguards, FAULTS, Fault, Report, Scenario, Simulation, Violation,
};

const SEED: u64 = 11;

/// Threads that share the cells of the matrix.
const THREADS: usize = 4;

/// How many pairs of faults are run for each scenario, spread evenly over all pairs.
const PAIRS_PER_SCENARIO: usize = 800;

/// With a safeguard disabled, single faults are injected at every third step only; one violation
/// is enough there.
const MUTATION_STRIDE: usize = 3;

const SCENARIOS: [Scenario; 5] = [
    Scenario::Request,
    Scenario::Failover,
    Scenario::Freeze,
    Scenario::Draining,
    Scenario::TableChange,
];

type Cell = (Scenario, Vec<(usize, Fault)>);

fn run(cell: &Cell, disabled: DisabledSafeguards) -> Report {
    Simulation::new(SEED, cell.0, &cell.1, disabled).run()
}

/// Runs cells on [`THREADS`] threads and returns those with violations.
fn run_all(cells: &[Cell], disabled: DisabledSafeguards) -> Vec<(Cell, Vec<Violation>)> {
    let chunk = cells.len().div_ceil(THREADS).max(1);
    thread::scope(|scope| {
        let workers: Vec<_> = cells
            .chunks(chunk)
            .map(|part| {
                scope.spawn(move || {
                    let mut failed = Vec::new();
                    for cell in part {
                        let report = run(cell, disabled);
                        if !report.violations.is_empty() {
                            failed.push((cell.clone(), report.violations));
                        }
                    }
                    failed
                })
            })
            .collect();
        workers.into_iter().flat_map(|w| w.join().unwrap()).collect()
    })
}

/// Every fault at every `stride`th step of the scenario without faults.
fn single_faults(scenario: Scenario, stride: usize) -> Vec<Cell> {
    let steps = run(&(scenario, Vec::new()), DisabledSafeguards::default()).steps;
    let mut cells = Vec::new();
    for step in (0..steps).step_by(stride) {
        for fault in FAULTS {
            cells.push((scenario, vec![(step, fault)]));
        }
    }
    cells
}

fn fault_pairs(scenario: Scenario) -> Vec<Cell> {
    let steps = run(&(scenario, Vec::new()), DisabledSafeguards::default()).steps;
    let total = steps * FAULTS.len() * FAULTS.len();
    let mut cells = Vec::new();
    for n in 0..PAIRS_PER_SCENARIO {
        // A stride without a common factor with the total visits distinct pairs.
        let index = (n * 7_919) % total;
        let step = index % steps;
        let first = FAULTS[index / steps % FAULTS.len()];
        let second = FAULTS[index / steps / FAULTS.len()];
        let later = (step + 1 + index % 13).min(steps - 1);
        cells.push((scenario, vec![(step, first), (later, second)]));
    }
    cells
}

/// Each of the given faults at every step, so that no step that matters is skipped.
fn single_faults_of(scenario: Scenario, faults: &[Fault]) -> Vec<Cell> {
    let mut cells = single_faults(scenario, 1);
    cells.retain(|(_, injected)| faults.contains(&injected[0].1));
    cells
}

/// The first fault at every second step, and the second fault at every third step after it.
fn fault_sequences(scenario: Scenario, first: Fault, second: Fault) -> Vec<Cell> {
    let steps = run(&(scenario, Vec::new()), DisabledSafeguards::default()).steps;
    let mut cells = Vec::new();
    for step in (0..steps).step_by(2) {
        for later in (step + 1..steps).step_by(3) {
            cells.push((scenario, vec![(step, first), (later, second)]));
        }
    }
    cells
}

/// Reruns the first failed cell and prints the timeline of its daemons.
fn explain(failed: &[(Cell, Vec<Violation>)]) {
    let Some((cell, violations)) = failed.first() else {
        return;
    };
    println!("{cell:?}: {violations:?}");
    for (ms, daemon, kind) in run(cell, DisabledSafeguards::default()).timeline {
        println!("  {ms} d{daemon} {kind:?}");
    }
}

#[test]
fn every_scenario_makes_progress_without_faults() {
    for scenario in SCENARIOS {
        // Act
        let report = run(&(scenario, Vec::new()), DisabledSafeguards::default());

        // Assert
        assert!(report.violations.is_empty(), "{scenario:?}: {:?}", report.violations);
        assert!(report.acknowledged > 50, "{scenario:?}: {}", report.acknowledged);
        assert!(report.reads > 50, "{scenario:?}: {}", report.reads);
        assert!(report.steps > 20, "{scenario:?}: {}", report.steps);
    }
}

#[test]
fn every_fault_at_every_step_keeps_the_guarantees() {
    for scenario in SCENARIOS {
        // Arrange
        let cells = single_faults(scenario, 1);

        // Act
        let failed = run_all(&cells, DisabledSafeguards::default());

        // Assert
        println!("{scenario:?}: {} cells ran, {} failed", cells.len(), failed.len());
        explain(&failed);
        assert!(failed.is_empty(), "{:?}", &failed[..failed.len().min(5)]);
    }
}

#[test]
fn fault_pairs_keep_the_guarantees() {
    for scenario in SCENARIOS {
        // Arrange
        let cells = fault_pairs(scenario);

        // Act
        let failed = run_all(&cells, DisabledSafeguards::default());

        // Assert
        println!("{scenario:?}: {} pairs ran, {} failed", cells.len(), failed.len());
        explain(&failed);
        assert!(failed.is_empty(), "{:?}", &failed[..failed.len().min(5)]);
    }
}

#[test]
fn the_matrix_detects_each_disabled_safeguard() {
    // Arrange
    let failover = |failover| DisabledSafeguards { failover, ..DisabledSafeguards::default() };
    let request = |request| DisabledSafeguards { request, ..DisabledSafeguards::default() };
    let monotonic =
        DisabledSafeguards { monotonic_versions: true, ..DisabledSafeguards::default() };
    let mixed =
        |scenario| [single_faults(scenario, MUTATION_STRIDE), fault_pairs(scenario)].concat();
    let lagging = [Fault::LagReplica, Fault::LagOtherReplica]
        .map(|fault| fault_sequences(Scenario::Request, fault, Fault::KillPrimary))
        .concat();
    let kills = single_faults_of(Scenario::Request, &[Fault::KillPrimary]);
    let cases = [
        ("seal", lagging.clone(), failover(FailoverSafeguard::MajoritySeal)),
        ("highest position", lagging, failover(FailoverSafeguard::HighestPosition)),
        ("reserved term", mixed(Scenario::Failover), failover(FailoverSafeguard::ReservedTerm)),
        ("minimum position", mixed(Scenario::Request), request(DisabledSafeguard::MinPosition)),
        (
            "majority wait",
            mixed(Scenario::Request),
            request(DisabledSafeguard::MajorityAcknowledgement),
        ),
        ("send once", mixed(Scenario::Request), request(DisabledSafeguard::SendOnce)),
        ("accurate verdict", kills, request(DisabledSafeguard::AccurateVerdict)),
        ("versions only rise", mixed(Scenario::TableChange), monotonic),
    ];
    let mut undetected = Vec::new();
    for (name, cells, disabled) in cases {
        // Act
        let complete = run_all(&cells, DisabledSafeguards::default());
        let failed = run_all(&cells, disabled);
        println!("{name} disabled: {} of {} cells failed", failed.len(), cells.len());
        assert!(complete.is_empty(), "{name}: {:?}", complete.first());
        if failed.is_empty() {
            undetected.push(name);
        }
    }

    // Assert
    assert!(
        undetected.is_empty(),
        "no violation found with these safeguards disabled: {undetected:?}"
    );
}
