//! Framing, parsing and encoding of messages of the PostgreSQL protocol, version 3.
//!
//! Invariants:
//!
//! - No function of this crate panics on any input; malformed input is a [`FrameError`].
//! - Result rows pass through as bytes and are decoded only for the proxy's own queries.

mod encode;
mod frame;
mod reply;
mod request;
pub mod sqlstate;
mod startup;

pub use encode::{
    authentication_ok, backend_key_data, cancel_request, command_complete, data_row, empty_message,
    error_response, no_data, parameter_description, parameter_status, query, ready_for_query,
    row_description, startup_message, sync,
};
pub use frame::{FrameError, MAX_FRAME_BYTES, frame_length, startup_length};
pub use reply::{ErrorFields, Rows, command_tag, parse_error_fields, parse_text_row};
pub use request::{FrontendMessage, rename_statement};
pub use startup::{StartupPacket, parse_startup_packet};
