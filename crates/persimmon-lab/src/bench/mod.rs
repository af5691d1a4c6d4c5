//! Experiments on real daemons: a load with open-loop arrivals, and what it showed.

mod load;
mod measure;
mod scenario;
mod slope;

pub use load::{Load, LoadResult, Mix};
pub use measure::{ControlCost, control_cost};
pub use scenario::{BenchArguments, Scenario, run};
pub use slope::{SlopePoint, measure};
