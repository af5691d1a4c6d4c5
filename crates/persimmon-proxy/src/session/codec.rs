//! Receives a client's messages, and counts what they occupy.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use ntex::codec::Decoder;
use ntex::util::BytesMut;
use persimmon_interfaces::{ClientMessage, ClientProtocol, ProtocolError, Query};

use crate::client_limits::Phase;
use crate::memory_budget::MemoryShare;
use crate::session::registry::Entry;
use crate::traffic::Worker;

/// Decodes the messages of one client.
#[derive(Debug)]
pub(super) struct ClientCodec {
    pub(super) protocol: Arc<dyn ClientProtocol>,
    pub(super) entry: Rc<Entry>,
    share: MemoryShare,
    /// Bytes of the incomplete message that were decoded before.
    seen: Cell<usize>,
}

impl ClientCodec {
    /// Creates the codec of a session.
    pub(super) fn new(worker: &Worker, entry: Rc<Entry>) -> Self {
        Self {
            protocol: Arc::clone(&worker.client_protocol),
            entry,
            share: MemoryShare::new(Rc::clone(&worker.message_budget)),
            seen: Cell::new(0),
        }
    }

    /// Counts a request as held until [`Self::release`]; returns whether there is room for it.
    pub(super) fn holds(&self, query: &Query) -> bool {
        self.share.record(query.text.len())
    }

    /// Counts nothing as held.
    pub(super) fn release(&self) {
        self.share.record(0);
    }

    /// The bytes that the messages of all sessions occupy.
    pub(super) fn total(&self) -> usize {
        self.share.total()
    }
}

impl Decoder for ClientCodec {
    type Item = ClientMessage;
    type Error = ProtocolError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<ClientMessage>, ProtocolError> {
        let seen = self.seen.replace(src.len());
        let may_decode = seen == 0 || self.protocol.is_complete(src, seen);
        let decoded = if may_decode { self.protocol.decode(src)? } else { None };
        if decoded.is_some() {
            self.seen.set(0);
            return Ok(decoded);
        }
        // A session with an open transaction stays busy; its idle limit bounds the wait.
        if !src.is_empty() && matches!(self.entry.phase(), Phase::Unused | Phase::Idle) {
            self.entry.set_phase(Phase::HalfMessage);
        }
        if self.share.record(src.len()) { Ok(None) } else { Err(ProtocolError::NoRoom) }
    }
}
