//! Typed, dense row indices of the operators' table, and daemon names.
//!
//! Invariant: an index is valid only for the table version that produced it; across versions, rows
//! are identified by name.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! entity {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(u32);

        impl $name {
            /// Creates the id of the row at `index`.
            #[must_use]
            pub fn new(index: usize) -> Self {
                debug_assert!(index < u32::MAX as usize);
                Self(u32::try_from(index).unwrap_or(u32::MAX))
            }

            /// The zero-based index of the row within its section of the table.
            #[must_use]
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

entity!(
    /// A service: one database group, which clients address by database name.
    ServiceId,
    "service"
);
entity!(
    /// A backend server: one instance of a database group.
    InstanceId,
    "instance"
);
entity!(
    /// A failure domain.
    FailureDomainId,
    "place"
);
entity!(
    /// A request class, which has its own wait limits.
    RequestClassId,
    "kind"
);

/// The name of a daemon, unique for the lifetime of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DaemonId(Arc<str>);

impl DaemonId {
    /// Creates the id of the daemon called `name`.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// The daemon's name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for DaemonId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
