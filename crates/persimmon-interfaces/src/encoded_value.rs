//! JSON values in their encoded form.

use std::fmt;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::{RawValue, to_raw_value};

/// A JSON value in its encoded form, which its copies share.
///
/// Two are equal if their texts are.
#[derive(Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EncodedValue(Arc<RawValue>);

impl EncodedValue {
    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not of the form of `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(self.0.get())
    }

    /// Whether the value is null.
    #[must_use]
    pub fn is_null(&self) -> bool {
        self.0.get() == RawValue::NULL.get()
    }
}

impl From<&Value> for EncodedValue {
    fn from(value: &Value) -> Self {
        // Every value has an encoded form.
        Self(to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned()).into())
    }
}

impl From<Value> for EncodedValue {
    fn from(value: Value) -> Self {
        Self::from(&value)
    }
}

impl PartialEq for EncodedValue {
    fn eq(&self, other: &Self) -> bool {
        self.0.get() == other.0.get()
    }
}

impl fmt::Debug for EncodedValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.get())
    }
}

impl fmt::Display for EncodedValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.get())
    }
}
