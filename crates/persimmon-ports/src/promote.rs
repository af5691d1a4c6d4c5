//! The authority that makes an instance primary.

use std::fmt::Debug;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use thiserror::Error;

/// Asks that one instance lead its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The service.
    pub service: Arc<str>,
    /// The instance that is to lead.
    pub instance: Arc<str>,
    /// The name of the daemon that gives the order.
    pub holder: Arc<str>,
    /// The fencing token, which rises whenever the holder changes.
    pub token: u64,
}

/// Why an order was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PromoteError {
    /// A higher token has been seen, or the instance does not run; nothing was done.
    #[error("the order was refused")]
    Refused,
    /// The rate is exceeded; nothing was done.
    #[error("too many orders")]
    Limited,
    /// No proper answer came; the order may be carried out later.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// Promotes instances.
pub trait PromotionAuthority: Debug {
    /// Gives an order.
    fn promote(&self, order: PromotionOrder) -> LocalBoxFuture<'_, Result<(), PromoteError>>;
}
