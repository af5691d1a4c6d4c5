//! Encodes messages, using the message types of `pgwire`.

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
    // Encoding fails only for messages that exceed the protocol's limits, which none of these do.
    let encoded = message.encode(&mut buf);
    debug_assert!(encoded.is_ok());
    buf
}

/// Encodes a message of type `tag` without a body.
#[must_use]
pub fn empty_message(tag: u8) -> BytesMut {
    let mut buf = BytesMut::with_capacity(5);
    buf.put_u8(tag);
    buf.put_u32(4);
    buf
}

/// Encodes the `StartupMessage`, the first message of a session.
#[must_use]
pub fn startup_message(parameters: &[(&str, &str)]) -> BytesMut {
    let mut message = Startup::new();
    let owned = parameters.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned()));
    message.parameters = owned.collect::<BTreeMap<_, _>>();
    encode(&message)
}

/// Encodes a `CancelRequest`, which cancels the query that another connection is running.
#[must_use]
pub fn cancel_request(pid: i32, secret: i32) -> BytesMut {
    encode(&CancelRequest::new(pid, SecretKey::I32(secret)))
}

/// Encodes an `AuthenticationOk`, which ends authentication.
#[must_use]
pub fn authentication_ok() -> BytesMut {
    encode(&Authentication::Ok)
}

/// Encodes a `BackendKeyData`, with which the peer can cancel a query of this connection.
#[must_use]
pub fn backend_key_data(pid: i32, secret: i32) -> BytesMut {
    encode(&BackendKeyData::new(pid, SecretKey::I32(secret)))
}

/// Encodes a `ParameterStatus`, which reports the value of a run-time parameter.
#[must_use]
pub fn parameter_status(name: &str, value: &str) -> BytesMut {
    encode(&ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// Encodes a `ReadyForQuery`, which ends a response; `status` is `I`, `T` or `E`.
#[must_use]
pub fn ready_for_query(status: u8) -> BytesMut {
    let status = match status {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    encode(&ReadyForQuery::new(status))
}

/// Encodes an `ErrorResponse`; an empty `detail` is omitted.
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

/// Encodes a `CommandComplete`, which ends the response to one statement.
#[must_use]
pub fn command_complete(text: &str) -> BytesMut {
    encode(&CommandComplete::new(text.to_owned()))
}

/// Encodes a simple `Query`.
#[must_use]
pub fn query(sql: &str) -> BytesMut {
    encode(&Query::new(sql.to_owned()))
}

/// Encodes a `Sync`, which ends a series of extended-protocol messages.
#[must_use]
pub fn sync() -> BytesMut {
    encode(&Sync::new())
}

/// Encodes a `NoData`, the response to a `Describe` of a statement without results.
#[must_use]
pub fn no_data() -> BytesMut {
    encode(&NoData::new())
}

/// Encodes a `ParameterDescription`: the type OIDs of a statement's parameters.
#[must_use]
pub fn parameter_description(types: &[u32]) -> BytesMut {
    encode(&ParameterDescription::new(types.to_vec()))
}

/// Encodes a `RowDescription` of columns, each given by its name, its type OID and whether its
/// values are in binary format.
#[must_use]
pub fn row_description(columns: &[(String, u32, bool)]) -> BytesMut {
    let fields = columns.iter().map(|(name, type_oid, is_binary)| {
        FieldDescription::new(name.clone(), 0, 0, *type_oid, -1, -1, i16::from(*is_binary))
    });
    encode(&RowDescription::new(fields.collect()))
}

/// Encodes a `DataRow`; `None` is a null value.
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
