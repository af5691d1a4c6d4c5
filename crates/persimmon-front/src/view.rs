//! What traffic decides by.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_ports::{Instance, Role, Table};

/// An instance as the directory knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The latest valid entry.
    pub instance: Arc<Instance>,
    /// The store's revision of that entry.
    pub revision: u64,
    /// How long the entry has been missing while the store answered.
    pub missing_for: Option<Duration>,
}

impl Listed {
    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        !self.instance.is_draining && self.missing_for.is_none()
    }
}

/// An immutable picture of the table and the directory.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The table in force, once one is known.
    pub table: Option<Arc<Table>>,
    /// Whether the directory has been read.
    pub has_directory: bool,
    /// Instances by service.
    pub services: HashMap<Arc<str>, Vec<Listed>>,
}

impl View {
    /// The instances of a service.
    #[must_use]
    pub fn instances(&self, service: &str) -> &[Listed] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The instance that calls itself primary; of several the one that said so last, since one that
    /// died with the lead cannot take its word back.
    #[must_use]
    pub fn self_declared_primary(&self, service: &str) -> Option<&Listed> {
        let primaries = self.instances(service).iter().filter(|l| l.instance.role == Role::Primary);
        primaries.max_by_key(|l| (l.missing_for.is_none(), l.revision))
    }

    /// One instance of a service.
    #[must_use]
    pub fn instance(&self, service: &str, id: &str) -> Option<&Listed> {
        self.instances(service).iter().find(|l| &*l.instance.id == id)
    }
}
