//! What a platform adapter provides.

use std::rc::Rc;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use persimmon_interfaces::{
    ClientProtocol, InstanceProtocol, ObjectDecoder, ObjectStore, PromotionAuthority,
};

use crate::settings::Settings;

/// The platform clients of the control thread.
#[derive(Clone, Debug)]
pub struct PlatformClients {
    /// The object store.
    pub store: Rc<dyn ObjectStore>,
    /// The authority that promotes instances.
    pub authority: Rc<dyn PromotionAuthority>,
}

/// Creates the platform clients on the thread that uses them.
pub type Connect = Box<dyn FnOnce() -> LocalBoxFuture<'static, PlatformClients> + Send>;

/// Reloads the settings.
pub type Reload = Box<dyn Fn() -> Result<Settings, String> + Send>;

/// Everything that an adapter provides.
pub struct Adapter {
    /// The protocol spoken with clients.
    pub client_protocol: Arc<dyn ClientProtocol>,
    /// The protocol spoken with instances.
    pub instance_protocol: Arc<dyn InstanceProtocol>,
    /// Decodes the store's objects.
    pub object_decoder: Arc<dyn ObjectDecoder>,
    /// Creates the platform clients.
    pub connect: Connect,
    /// Reloads the settings.
    pub reload: Reload,
}
