//! Stand-ins for a review: the platform's store, instances, clients, and daemons as processes.
//! Standard library only.

pub mod client;
pub mod cluster;
pub mod daemon;
pub mod instance;
pub mod json;
pub mod proxy;
pub mod record;
pub mod store;
