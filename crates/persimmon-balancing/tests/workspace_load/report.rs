//! What a simulated scenario measures.

use super::{Operation, Scenario, WORKSPACES};

/// Windows in which the slot time of handshakes is counted.
const WINDOW_US: u64 = 500_000;

pub struct Report {
    warm_up_us: u64,
    pub arrivals: u64,
    pub opened: u64,
    pub refused: u64,
    /// Highest number of connections that an instance counted.
    pub most_open: usize,
    /// Arrivals, and operations that got no connection within their deadline, by workspace.
    pub arrivals_of: Vec<u64>,
    pub unserved_of: Vec<u64>,
    /// Operations that admission control refused, by workspace.
    pub throttled_of: Vec<u64>,
    /// Times for which operations waited for a connection, in ms, by workspace.
    waits_ms: Vec<Vec<f64>>,
    /// Times for which statements waited for a slot, in ms.
    slot_waits_ms: Vec<f64>,
    /// Operations answered within their objective.
    pub in_time: u64,
    /// When the last workspace got its first answer, in s.
    first_answer_s: Vec<Option<f64>>,
    handshakes: Vec<Vec<u64>>,
}

fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * q) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

impl Report {
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            warm_up_us: (scenario.warm_up_s * 1e6) as u64,
            arrivals: 0,
            opened: 0,
            refused: 0,
            most_open: 0,
            arrivals_of: vec![0; WORKSPACES],
            unserved_of: vec![0; WORKSPACES],
            throttled_of: vec![0; WORKSPACES],
            waits_ms: vec![Vec::new(); WORKSPACES],
            slot_waits_ms: Vec::new(),
            in_time: 0,
            first_answer_s: vec![None; WORKSPACES],
            handshakes: vec![Vec::new(); 3],
        }
    }

    pub fn record_arrival(&mut self, operation: &Operation) {
        if operation.is_counted {
            self.arrivals += 1;
            self.arrivals_of[operation.workspace] += 1;
        }
    }

    pub fn record_wait(&mut self, operation: &Operation, waited_us: u64) {
        if operation.is_counted {
            self.waits_ms[operation.workspace].push(waited_us as f64 / 1_000.0);
        }
    }

    pub fn record_unserved(&mut self, operation: &Operation) {
        if operation.is_counted {
            self.unserved_of[operation.workspace] += 1;
        }
    }

    pub fn record_throttled(&mut self, operation: &Operation) {
        if operation.is_counted {
            self.throttled_of[operation.workspace] += 1;
        }
    }

    pub fn record_opened(&mut self, now: u64) {
        self.opened += u64::from(now >= self.warm_up_us);
    }

    pub fn record_refused(&mut self, now: u64) {
        self.refused += u64::from(now >= self.warm_up_us);
    }

    pub fn record_open(&mut self, open: usize) {
        self.most_open = self.most_open.max(open);
    }

    pub fn record_handshake(&mut self, now: u64, instance: usize) {
        let window = (now / WINDOW_US) as usize;
        let counts = &mut self.handshakes[instance];
        counts.resize(counts.len().max(window + 1), 0);
        counts[window] += 1;
    }

    pub fn record_statement(&mut self, operation: &Operation, waited_ms: f64) {
        if operation.is_counted {
            self.slot_waits_ms.push(waited_ms);
        }
    }

    pub fn record_answered(&mut self, operation: &Operation, now: u64, objective_us: u64) {
        let first = &mut self.first_answer_s[operation.workspace];
        first.get_or_insert(now as f64 / 1e6);
        // Each statement of a transaction has the objective of its own; its pauses do not count.
        let is_in_time = operation.is_transaction || now - operation.arrived <= objective_us;
        self.in_time += u64::from(operation.is_counted && is_in_time);
    }

    /// New connections per arriving operation.
    pub fn opened_per_arrival(&self) -> f64 {
        self.opened as f64 / self.arrivals.max(1) as f64
    }

    /// Share of openings that were refused.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.opened.max(1) as f64
    }

    /// Share of operations answered within their objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.arrivals.max(1) as f64
    }

    /// Share of the admitted operations of the workspaces in `range` that got no connection.
    pub fn unserved_share(&self, range: std::ops::Range<usize>) -> f64 {
        let sum = |counts: &[u64]| counts[range.clone()].iter().sum::<u64>();
        let admitted = sum(&self.arrivals_of) - sum(&self.throttled_of);
        sum(&self.unserved_of) as f64 / admitted.max(1) as f64
    }

    /// Whether a workspace of `range` whose operations were admitted got a connection for less than
    /// half of them.
    pub fn starves(&self, range: std::ops::Range<usize>) -> bool {
        range.into_iter().any(|n| {
            let admitted = self.arrivals_of[n] - self.throttled_of[n];
            admitted >= 4 && self.unserved_of[n] * 2 > admitted
        })
    }

    /// Quantile of the waits for a connection of the workspaces in `range`, in ms.
    pub fn wait_ms(&self, range: std::ops::Range<usize>, q: f64) -> f64 {
        quantile(&self.waits_ms[range].concat(), q)
    }

    /// Quantile of the waits of statements for a slot, in ms.
    pub fn slot_wait_ms(&self, q: f64) -> f64 {
        quantile(&self.slot_waits_ms, q)
    }

    /// When the last workspace got its first answer, in s; `None` if one got none.
    pub fn all_served_s(&self) -> Option<f64> {
        self.first_answer_s.iter().copied().try_fold(0.0, |last, s| s.map(|s| f64::max(last, s)))
    }

    /// Highest share of an instance's slots that handshakes occupied in a window.
    pub fn handshake_slot_share(&self) -> f64 {
        let most = self.handshakes.iter().flatten().max().copied().unwrap_or(0);
        let slot_time = WINDOW_US as f64 * super::instance::SLOTS as f64;
        most as f64 * super::instance::HANDSHAKE_US as f64 / slot_time
    }

    pub fn line(&self, label: &str) -> String {
        format!(
            "{label}: throttled {}, starves {}, new {:.4} an arrival, refused {:.3}, unserved {:.4} (small {:.4}), in time \
             {:.4}, wait p50/p99 large {:.1}/{:.1} small {:.1}/{:.1} ms, slot wait p99 {:.1} ms, \
             most open {}, handshake share {:.2}, all served {:?} s",
            self.throttled_of.iter().sum::<u64>(),
            self.starves(0..WORKSPACES),
            self.opened_per_arrival(),
            self.refused_share(),
            self.unserved_share(0..WORKSPACES),
            self.unserved_share(27..WORKSPACES),
            self.in_time_share(),
            self.wait_ms(0..5, 0.5),
            self.wait_ms(0..5, 0.99),
            self.wait_ms(27..WORKSPACES, 0.5),
            self.wait_ms(27..WORKSPACES, 0.99),
            self.slot_wait_ms(0.99),
            self.most_open,
            self.handshake_slot_share(),
            self.all_served_s(),
        )
    }
}
