//! Maps the keys of cancel requests to the clients whose requests they cancel.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;

/// Cancels the request of one client.
#[derive(Debug, Default)]
pub struct CancelHandle {
    /// Wakes a request that waits in this daemon.
    pub wake: Notify,
    /// The instance's address and the key of the connection that runs the request; `None` while no
    /// instance runs one.
    pub running: Mutex<Option<(SocketAddr, (i32, i32))>>,
}

/// The clients of this daemon, by their cancel keys: process ID and secret.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    handles: Mutex<HashMap<(i32, i32), Arc<CancelHandle>>>,
}

impl CancelRegistry {
    /// Registers a client.
    pub fn register(&self, key: (i32, i32)) -> Arc<CancelHandle> {
        let handle = Arc::new(CancelHandle::default());
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.insert(key, Arc::clone(&handle));
        handle
    }

    /// Removes a client.
    pub fn forget(&self, key: (i32, i32)) {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
    }

    /// Returns the client with a key.
    pub fn find(&self, key: (i32, i32)) -> Option<Arc<CancelHandle>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).get(&key).cloned()
    }
}

impl CancelHandle {
    /// Records which connection runs the client's request.
    pub fn set_running(&self, running: Option<(SocketAddr, (i32, i32))>) {
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = running;
    }

    /// Returns the connection that runs the client's request.
    #[must_use]
    pub fn running(&self) -> Option<(SocketAddr, (i32, i32))> {
        *self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
