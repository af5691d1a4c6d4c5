//! Parsing of messages from instances, limited to those that the proxy must interpret.

/// The fields of an `ErrorResponse` that the proxy uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ErrorFields {
    /// The SQLSTATE.
    pub code: String,
    /// The primary error message.
    pub message: String,
    /// The detail, empty if there is none.
    pub detail: String,
}

/// The rows of a result in text format; a null value is an empty string.
pub type Rows = Vec<Vec<String>>;

/// Parses the fields of an `ErrorResponse`, given with its header.
#[must_use]
pub fn parse_error_fields(frame: &[u8]) -> ErrorFields {
    let mut fields = ErrorFields::default();
    let body = frame.get(5..).unwrap_or_default();
    for field in body.split(|b| *b == 0) {
        let Some((tag, value)) = field.split_first() else {
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

/// Parses the values of a `DataRow`, given with its header; `None` if it is malformed.
#[must_use]
pub fn parse_text_row(frame: &[u8]) -> Option<Vec<String>> {
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

/// Returns the command tag of a `CommandComplete`, given with its header.
#[must_use]
pub fn command_tag(frame: &[u8]) -> &str {
    let body = frame.get(5..).unwrap_or_default();
    let text = body.strip_suffix(b"\0").unwrap_or(body);
    std::str::from_utf8(text).unwrap_or_default()
}
