//! The fault matrix: every fault at every step of every flow, singly and in pairs.

use std::thread;

use persimmon_failover::Omission as FailoverOmission;
use persimmon_proofs::{FAULTS, Fault, Flow, Omissions, Report, Violation, World};
use persimmon_request::Omission;

const SEED: u64 = 11;

/// Seeds that one processor runs in turn.
const THREADS: usize = 4;

/// How many pairs of faults a flow is run with; they are spread evenly over all pairs.
const PAIRS_PER_FLOW: usize = 800;

/// Single faults are tried at every so many steps under an omission, to find one violation.
const MUTATION_STRIDE: usize = 3;

const FLOWS: [Flow; 5] =
    [Flow::Request, Flow::Failover, Flow::Freeze, Flow::Leaving, Flow::TableChange];

type Cell = (Flow, Vec<(usize, Fault)>);

fn run(cell: &Cell, omit: Omissions) -> Report {
    World::new(SEED, cell.0, &cell.1, omit).run()
}

/// Runs cells on a few threads and returns those that failed.
fn run_all(cells: &[Cell], omit: Omissions) -> Vec<(Cell, Vec<Violation>)> {
    let chunk = cells.len().div_ceil(THREADS).max(1);
    thread::scope(|scope| {
        let workers: Vec<_> = cells
            .chunks(chunk)
            .map(|part| {
                scope.spawn(move || {
                    let mut failed = Vec::new();
                    for cell in part {
                        let report = run(cell, omit);
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

/// Every fault at every step that the flow takes when nothing fails.
fn singles(flow: Flow, stride: usize) -> Vec<Cell> {
    let steps = run(&(flow, Vec::new()), Omissions::default()).steps;
    let mut cells = Vec::new();
    for step in (0..steps).step_by(stride) {
        for fault in FAULTS {
            cells.push((flow, vec![(step, fault)]));
        }
    }
    cells
}

fn pairs(flow: Flow) -> Vec<Cell> {
    let steps = run(&(flow, Vec::new()), Omissions::default()).steps;
    let total = steps * FAULTS.len() * FAULTS.len();
    let mut cells = Vec::new();
    for n in 0..PAIRS_PER_FLOW {
        // A stride that shares no factor with the total visits distinct pairs.
        let index = (n * 7_919) % total;
        let step = index % steps;
        let first = FAULTS[index / steps % FAULTS.len()];
        let second = FAULTS[index / steps / FAULTS.len()];
        let later = (step + 1 + index % 13).min(steps - 1);
        cells.push((flow, vec![(step, first), (later, second)]));
    }
    cells
}

/// One of some faults at every step, so that none that matters is skipped.
fn only(flow: Flow, faults: &[Fault]) -> Vec<Cell> {
    let mut cells = singles(flow, 1);
    cells.retain(|(_, injected)| faults.contains(&injected[0].1));
    cells
}

/// Two faults at every second step and at every third step behind it.
fn sequences(flow: Flow, first: Fault, second: Fault) -> Vec<Cell> {
    let steps = run(&(flow, Vec::new()), Omissions::default()).steps;
    let mut cells = Vec::new();
    for step in (0..steps).step_by(2) {
        for later in (step + 1..steps).step_by(3) {
            cells.push((flow, vec![(step, first), (later, second)]));
        }
    }
    cells
}

/// Runs a failed cell again and prints what its daemons recorded.
fn explain(failed: &[(Cell, Vec<Violation>)]) {
    let Some((cell, violations)) = failed.first() else {
        return;
    };
    println!("{cell:?}: {violations:?}");
    for (ms, daemon, kind) in run(cell, Omissions::default()).timeline {
        println!("  {ms} d{daemon} {kind:?}");
    }
}

#[test]
fn without_faults_every_flow_goes_on() {
    for flow in FLOWS {
        // Act
        let report = run(&(flow, Vec::new()), Omissions::default());

        // Assert
        assert!(report.violations.is_empty(), "{flow:?}: {:?}", report.violations);
        assert!(report.acknowledged > 50, "{flow:?}: {}", report.acknowledged);
        assert!(report.reads > 50, "{flow:?}: {}", report.reads);
        assert!(report.steps > 20, "{flow:?}: {}", report.steps);
    }
}

#[test]
fn every_fault_at_every_step_breaks_no_promise() {
    for flow in FLOWS {
        // Arrange
        let cells = singles(flow, 1);

        // Act
        let failed = run_all(&cells, Omissions::default());

        // Assert
        println!("{flow:?}: {} cells ran, {} failed", cells.len(), failed.len());
        explain(&failed);
        assert!(failed.is_empty(), "{:?}", &failed[..failed.len().min(5)]);
    }
}

#[test]
fn pairs_of_faults_break_no_promise() {
    for flow in FLOWS {
        // Arrange
        let cells = pairs(flow);

        // Act
        let failed = run_all(&cells, Omissions::default());

        // Assert
        println!("{flow:?}: {} pairs ran, {} failed", cells.len(), failed.len());
        explain(&failed);
        assert!(failed.is_empty(), "{:?}", &failed[..failed.len().min(5)]);
    }
}

#[test]
fn the_matrix_notices_each_mechanism_that_is_left_out() {
    // Arrange
    let failover = |failover| Omissions { failover, ..Omissions::default() };
    let request = |request| Omissions { request, ..Omissions::default() };
    let monotonic = Omissions { monotonic: true, ..Omissions::default() };
    let mixed = |flow| [singles(flow, MUTATION_STRIDE), pairs(flow)].concat();
    let behind = [Fault::ReplicaFarBehind, Fault::OtherReplicaFarBehind]
        .map(|fault| sequences(Flow::Request, fault, Fault::KillPrimary))
        .concat();
    let kills = only(Flow::Request, &[Fault::KillPrimary]);
    let cases = [
        ("seal", behind.clone(), failover(FailoverOmission::Seal)),
        ("highest position", behind, failover(FailoverOmission::Highest)),
        ("reserved term", mixed(Flow::Failover), failover(FailoverOmission::ReservedTerm)),
        ("floor", mixed(Flow::Request), request(Omission::Floor)),
        ("majority wait", mixed(Flow::Request), request(Omission::Hold)),
        ("send once", mixed(Flow::Request), request(Omission::SendOnce)),
        ("honest verdict", kills, request(Omission::HonestVerdict)),
        ("versions only rise", mixed(Flow::TableChange), monotonic),
    ];
    let mut unnoticed = Vec::new();
    for (name, cells, omit) in cases {
        // Act
        let complete = run_all(&cells, Omissions::default());
        let failed = run_all(&cells, omit);
        println!("{name} left out: {} of {} cells failed", failed.len(), cells.len());
        assert!(complete.is_empty(), "{name}: {:?}", complete.first());
        if failed.is_empty() {
            unnoticed.push(name);
        }
    }

    // Assert
    assert!(unnoticed.is_empty(), "nothing notices that these are left out: {unnoticed:?}");
}
