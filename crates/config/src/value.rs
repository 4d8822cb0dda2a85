//! Readers of JSON values, and the error of an invalid one, which names the field and, if known, the file.

use serde_json::Value;
use std::fmt;

/// Whole numbers that are written as floats have to be smaller than this: from 2^53, about 9.007e15, a float can't represent every integer.
pub(crate) const MIN_INEXACT_FLOAT: f64 = 9.0e15;

/// An invalid field of a JSON document or of the environment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    field: String,
    message: String,
    file: Option<String>,
}

impl FieldError {
    /// An error of the field at this path.
    pub fn new(field: &str, message: impl Into<String>) -> Self {
        Self { field: field.into(), message: message.into(), file: None }
    }

    /// The same error with the path of the enclosing value `outer` before the field's path.
    pub fn within(self, outer: &str) -> Self {
        Self { field: format!("{outer}.{}", self.field), ..self }
    }

    /// The same error with the name of the file that contains the field.
    pub fn in_file(self, file: &str) -> Self {
        Self { file: Some(file.into()), ..self }
    }

    pub(crate) fn field(&self) -> &str {
        &self.field
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}: ")?;
        }
        write!(f, "field {}: {}", self.field, self.message)
    }
}

impl std::error::Error for FieldError {}

/// Reads a value unless it is absent or null.
///
/// # Errors
/// The error of `read`.
pub fn optional<T>(v: &Value, read: impl FnOnce() -> Result<T, FieldError>) -> Result<Option<T>, FieldError> {
    if v.is_null() {
        Ok(None)
    } else {
        read().map(Some)
    }
}

/// Reads an unsigned integer, also one that is written as `2.0`.
///
/// # Errors
/// If the value is not an unsigned integer.
pub fn unsigned_integer(v: &Value, field: &str) -> Result<u64, FieldError> {
    let is_integer = |f: &f64| f.fract() == 0.0 && *f >= 0.0 && *f < MIN_INEXACT_FLOAT;
    let from_float = || v.as_f64().filter(is_integer).map(|f| f as u64);
    v.as_u64()
        .or_else(from_float)
        .ok_or_else(|| FieldError::new(field, format!("expected a whole number, found {v}")))
}

/// Reads a number.
///
/// # Errors
/// If the value is not a number.
pub fn number(v: &Value, field: &str) -> Result<f64, FieldError> {
    v.as_f64().ok_or_else(|| FieldError::new(field, format!("expected a number, found {v}")))
}

/// Reads a string.
///
/// # Errors
/// If the value is not a string.
pub fn string<'a>(v: &'a Value, field: &str) -> Result<&'a str, FieldError> {
    v.as_str().ok_or_else(|| FieldError::new(field, format!("expected a string, found {v}")))
}

/// Reads a boolean.
///
/// # Errors
/// If the value is not a boolean.
pub fn boolean(v: &Value, field: &str) -> Result<bool, FieldError> {
    v.as_bool().ok_or_else(|| FieldError::new(field, format!("expected true or false, found {v}")))
}
