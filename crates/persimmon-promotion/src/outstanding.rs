//! Promotion requests that may still take effect.
//!
//! Invariants:
//!
//! - A request without an answer may be carried out at any later time, until the platform has
//!   answered a request of a higher token.
//! - A token is used for one instance only, as long as a request of it may be carried out.

use std::collections::HashMap;
use std::sync::Arc;

use crate::input::Request;

/// The requests of one daemon for one group that may still take effect.
#[derive(Debug, Default)]
pub(crate) struct OutstandingRequests {
    /// Requests whose answer is awaited.
    in_flight: Vec<Request>,
    /// The highest token of the requests without an answer, by the instance that they name.
    unanswered: HashMap<Arc<str>, u64>,
}

impl OutstandingRequests {
    pub(crate) fn record_sent(&mut self, req: Request) {
        self.in_flight.push(req);
    }

    /// Records that the platform carried the request out, and refuses lower tokens from now on.
    pub(crate) fn record_accepted(&mut self, req: &Request) {
        self.record_not_done(req);
        self.unanswered.retain(|_, token| *token >= req.fencing_token);
    }

    /// Records that the platform did not carry the request out, and will not.
    pub(crate) fn record_not_done(&mut self, req: &Request) {
        if let Some(at) = self.in_flight.iter().position(|r| r == req) {
            self.in_flight.swap_remove(at);
        }
    }

    /// Records that the request got no answer.
    pub(crate) fn record_unanswered(&mut self, req: &Request) {
        self.record_not_done(req);
        let token = self.unanswered.entry(Arc::clone(&req.candidate)).or_default();
        *token = (*token).max(req.fencing_token);
    }

    /// Whether a request of this token or a higher one may still take effect.
    pub(crate) fn has_from(&self, token: u64) -> bool {
        self.all().any(|(_, t)| t >= token)
    }

    /// Whether the token may be used to promote `candidate`.
    pub(crate) fn allow(&self, token: u64, candidate: &str) -> bool {
        self.all().all(|(c, t)| t < token || **c == *candidate)
    }

    /// The instance that every request names which may still take effect.
    pub(crate) fn only_candidate(&self) -> Option<&Arc<str>> {
        let (first, _) = self.all().next()?;
        self.all().all(|(c, _)| c == first).then_some(first)
    }

    fn all(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let in_flight = self.in_flight.iter().map(|r| (&r.candidate, r.fencing_token));
        in_flight.chain(self.unanswered.iter().map(|(c, t)| (c, *t)))
    }
}
