//! Benchmarks of real daemons under an open-loop load.

mod load;
mod measure;
mod scenario;
mod slope;

pub use load::{LoadConfig, LoadGenerator, LoadResult};
pub use measure::{ControlCost, control_cost};
pub use scenario::{BenchArguments, Scenario, run};
pub use slope::{SlopePoint, measure};
