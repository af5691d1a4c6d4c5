//! Finds the request that a cancel request means.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;

/// What can be cancelled for one caller.
#[derive(Debug, Default)]
pub struct CancelHandle {
    /// Wakes a request that still waits.
    pub wake: Notify,
    /// The instance and key of the connection that runs the request.
    pub running: Mutex<Option<(SocketAddr, (i32, i32))>>,
}

/// The callers of this daemon by their keys.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    handles: Mutex<HashMap<(i32, i32), Arc<CancelHandle>>>,
}

impl CancelRegistry {
    /// Registers a caller.
    pub fn register(&self, key: (i32, i32)) -> Arc<CancelHandle> {
        let handle = Arc::new(CancelHandle::default());
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.insert(key, Arc::clone(&handle));
        handle
    }

    /// Forgets a caller.
    pub fn forget(&self, key: (i32, i32)) {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
    }

    /// The caller with a key.
    pub fn find(&self, key: (i32, i32)) -> Option<Arc<CancelHandle>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).get(&key).cloned()
    }
}

impl CancelHandle {
    /// Notes which connection runs the caller's request.
    pub fn set_running(&self, running: Option<(SocketAddr, (i32, i32))>) {
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = running;
    }

    /// The connection that runs the caller's request.
    #[must_use]
    pub fn running(&self) -> Option<(SocketAddr, (i32, i32))> {
        *self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
