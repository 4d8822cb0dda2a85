//! Values of JSON, read with messages that name the field.

use serde_json::Value;
use std::fmt;

/// What is wrong with an input, and in which field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadInput {
    field: String,
    what: String,
    /// The file it was read from.
    file: Option<String>,
}

impl BadInput {
    /// A fault in that field.
    pub fn new(field: &str, what: impl Into<String>) -> Self {
        Self { field: field.into(), what: what.into(), file: None }
    }

    /// The same fault, seen from the value around it.
    pub fn within(self, outer: &str) -> Self {
        Self { field: format!("{outer}.{}", self.field), ..self }
    }
}

impl BadInput {
    /// The same fault, in that file.
    pub fn in_file(self, file: &str) -> Self {
        Self { file: Some(file.into()), ..self }
    }
}

impl fmt::Display for BadInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}: ")?;
        }
        write!(f, "field {}: {}", self.field, self.what)
    }
}

impl std::error::Error for BadInput {}

/// Reads a value unless it is absent or null.
pub fn or_null<T>(v: &Value, read: impl FnOnce() -> Result<T, BadInput>) -> Result<Option<T>, BadInput> {
    if v.is_null() {
        Ok(None)
    } else {
        read().map(Some)
    }
}

/// A whole number of 0 or more that must be there.
pub fn whole(v: &Value, field: &str) -> Result<u64, BadInput> {
    let float = || v.as_f64().filter(|f| f.fract() == 0.0 && *f >= 0.0 && *f < 9.0e15).map(|f| f as u64);
    v.as_u64()
        .or_else(float)
        .ok_or_else(|| BadInput::new(field, format!("expected a whole number, found {v}")))
}

/// A number that must be there.
pub fn number(v: &Value, field: &str) -> Result<f64, BadInput> {
    v.as_f64().ok_or_else(|| BadInput::new(field, format!("expected a number, found {v}")))
}

/// A string that must be there.
pub fn text<'a>(v: &'a Value, field: &str) -> Result<&'a str, BadInput> {
    v.as_str().ok_or_else(|| BadInput::new(field, format!("expected a string, found {v}")))
}

/// True or false, which must be there.
pub fn boolean(v: &Value, field: &str) -> Result<bool, BadInput> {
    v.as_bool().ok_or_else(|| BadInput::new(field, format!("expected true or false, found {v}")))
}
