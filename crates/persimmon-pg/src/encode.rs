//! Builds messages; their types come from `pgwire`.

use std::collections::BTreeMap;

use bytes::{BufMut, BytesMut};
use pgwire::messages::Message;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup,
};

fn encode(message: &impl Message) -> BytesMut {
    let mut buf = BytesMut::with_capacity(message.message_length() + 1);
    // Encoding fails only for messages beyond the protocol's limits, which none of these reach.
    let encoded = message.encode(&mut buf);
    debug_assert!(encoded.is_ok());
    buf
}

/// A message without a body.
#[must_use]
pub fn tag(tag: u8) -> BytesMut {
    let mut buf = BytesMut::with_capacity(5);
    buf.put_u8(tag);
    buf.put_u32(4);
    buf
}

/// The first message of a session.
#[must_use]
pub fn startup(parameters: &[(&str, &str)]) -> BytesMut {
    let mut message = Startup::new();
    let pairs = parameters.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned()));
    message.parameters = pairs.collect::<BTreeMap<_, _>>();
    encode(&message)
}

/// A request to cancel what another connection runs.
#[must_use]
pub fn cancel_request(pid: i32, secret: i32) -> BytesMut {
    encode(&CancelRequest::new(pid, SecretKey::I32(secret)))
}

/// The end of authentication.
#[must_use]
pub fn authentication_ok() -> BytesMut {
    encode(&Authentication::Ok)
}

/// What the peer needs to cancel a request of this connection.
#[must_use]
pub fn backend_key(pid: i32, secret: i32) -> BytesMut {
    encode(&BackendKeyData::new(pid, SecretKey::I32(secret)))
}

/// A parameter's value.
#[must_use]
pub fn parameter_status(name: &str, value: &str) -> BytesMut {
    encode(&ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// The end of an answer; `status` is `I`, `T` or `E`.
#[must_use]
pub fn ready(status: u8) -> BytesMut {
    let status = match status {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    encode(&ReadyForQuery::new(status))
}

/// An error; `detail` is left out if empty.
#[must_use]
pub fn error_response(severity: &str, code: &str, message: &str, detail: &str) -> BytesMut {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', code.to_owned()),
        (b'M', message.to_owned()),
    ];
    if !detail.is_empty() {
        fields.push((b'D', detail.to_owned()));
    }
    encode(&ErrorResponse::new(fields))
}

/// The end of one statement.
#[must_use]
pub fn command_complete(text: &str) -> BytesMut {
    encode(&CommandComplete::new(text.to_owned()))
}

/// A simple query.
#[must_use]
pub fn query(sql: &str) -> BytesMut {
    encode(&Query::new(sql.to_owned()))
}

/// The end of a group of messages.
#[must_use]
pub fn sync() -> BytesMut {
    encode(&Sync::new())
}

/// The answer to a description of a statement without results.
#[must_use]
pub fn no_data() -> BytesMut {
    encode(&NoData::new())
}

/// The types of a statement's parameters.
#[must_use]
pub fn parameter_description(types: &[u32]) -> BytesMut {
    encode(&ParameterDescription::new(types.to_vec()))
}

/// The columns of a result: name, type and whether values are binary.
#[must_use]
pub fn row_description(columns: &[(String, u32, bool)]) -> BytesMut {
    let fields = columns.iter().map(|(name, type_id, binary)| {
        FieldDescription::new(name.clone(), 0, 0, *type_id, -1, -1, i16::from(*binary))
    });
    encode(&RowDescription::new(fields.collect()))
}

/// One row of a result.
#[must_use]
pub fn data_row(values: &[Option<Vec<u8>>]) -> BytesMut {
    let mut data = BytesMut::new();
    for value in values {
        match value {
            Some(bytes) => {
                data.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
                data.extend_from_slice(bytes);
            }
            None => data.put_i32(-1),
        }
    }
    encode(&DataRow::new(data, i16::try_from(values.len()).unwrap_or(i16::MAX)))
}
