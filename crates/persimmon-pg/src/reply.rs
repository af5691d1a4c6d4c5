//! Messages from instances, decoded only where this project must understand them.

/// The fields of an error that matter here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ErrorFields {
    /// The SQLSTATE.
    pub code: String,
    /// The text.
    pub message: String,
    /// The detail, empty if there is none.
    pub detail: String,
}

/// The rows of a result as text, each value empty if it is null.
pub type Rows = Vec<Vec<String>>;

/// The fields of an `ErrorResponse` with its header.
#[must_use]
pub fn error_fields(frame: &[u8]) -> ErrorFields {
    let mut fields = ErrorFields::default();
    let body = frame.get(5..).unwrap_or_default();
    for part in body.split(|b| *b == 0) {
        let Some((tag, value)) = part.split_first() else {
            continue;
        };
        let value = String::from_utf8_lossy(value).into_owned();
        match tag {
            b'C' => fields.code = value,
            b'M' => fields.message = value,
            b'D' => fields.detail = value,
            _ => {}
        }
    }
    fields
}

/// The values of a `DataRow` with its header, or nothing if it is malformed.
#[must_use]
pub fn text_row(frame: &[u8]) -> Option<Vec<String>> {
    let mut rest = frame.get(5..)?;
    let count = u16::from_be_bytes([*rest.first()?, *rest.get(1)?]);
    rest = &rest[2..];
    let mut values = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let length =
            i32::from_be_bytes([*rest.first()?, *rest.get(1)?, *rest.get(2)?, *rest.get(3)?]);
        rest = &rest[4..];
        let length = usize::try_from(length).unwrap_or(0);
        let value = rest.get(..length)?;
        values.push(String::from_utf8_lossy(value).into_owned());
        rest = &rest[length..];
    }
    Some(values)
}

/// The text of a `CommandComplete` with its header.
#[must_use]
pub fn command_tag(frame: &[u8]) -> &str {
    let body = frame.get(5..).unwrap_or_default();
    let text = body.strip_suffix(b"\0").unwrap_or(body);
    std::str::from_utf8(text).unwrap_or_default()
}
