//! Interface to the platform's promotion authority, which makes an instance the primary.

use std::fmt::Debug;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use thiserror::Error;

/// A request to make one instance the primary of its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionRequest {
    /// The service.
    pub service: Arc<str>,
    /// The instance to promote.
    pub instance: Arc<str>,
    /// The name of the daemon that holds the promotion lock and sends the request.
    pub coordinator: Arc<str>,
    /// The fencing token, which rises whenever the lock's holder changes.
    pub fencing_token: u64,
}

/// Why a promotion request was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PromoteError {
    /// The authority has seen a higher token, or the instance is not running; nothing was done.
    #[error("the promotion request was refused")]
    Refused,
    /// The request rate was exceeded; nothing was done.
    #[error("too many promotion requests")]
    Limited,
    /// The authority could not be reached, or is unavailable; nothing was done.
    #[error("the promotion authority is unavailable: {0}")]
    Unavailable(String),
    /// No valid answer came; the promotion may have happened or may still happen.
    #[error("no answer to the promotion request: {0}")]
    Unanswered(String),
}

/// A client of the promotion authority.
pub trait PromotionAuthority: Debug {
    /// Requests a promotion. `Ok` means that the request was accepted, not that the instance is the
    /// primary already.
    ///
    /// # Errors
    ///
    /// Returns why the request was not accepted; after [`PromoteError::Unanswered`] the outcome is
    /// unknown.
    fn promote(&self, request: PromotionRequest) -> LocalBoxFuture<'_, Result<(), PromoteError>>;
}
