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

/// Reads keys of an object; an absent key, or null, has the given meaning. The text is what stands before a key in
/// messages.
pub struct Keys<'a>(pub &'a Value, pub &'a str);

impl<'a> Keys<'a> {
    /// The key as messages name it.
    pub fn at(&self, key: &str) -> String {
        format!("{}{key}", self.1)
    }
    /// A number.
    pub fn number(&self, key: &str, absent: f64) -> Result<f64, BadInput> {
        Ok(or_null(&self.0[key], || number(&self.0[key], &self.at(key)))?.unwrap_or(absent))
    }
    /// A number of 0 or more: a time, a share, a multiple.
    pub fn amount(&self, key: &str, absent: f64) -> Result<f64, BadInput> {
        let n = self.number(key, absent)?;
        let fits = n.is_finite() && n >= 0.0;
        fits.then_some(n)
            .ok_or_else(|| BadInput::new(&self.at(key), format!("expected 0 or more, found {n}")))
    }
    /// An array of one entry for each of so many, or none at all.
    pub fn list_of(&self, key: &str, many: usize) -> Result<&'a [Value], BadInput> {
        let list = self.list(key)?;
        let fits = list.is_empty() || list.len() == many;
        let what = || BadInput::new(&self.at(key), format!("expected {many} entries, found {}", list.len()));
        fits.then_some(list).ok_or_else(what)
    }
    /// A whole number.
    pub fn whole(&self, key: &str, absent: u64) -> Result<u64, BadInput> {
        Ok(or_null(&self.0[key], || whole(&self.0[key], &self.at(key)))?.unwrap_or(absent))
    }
    /// True or false.
    pub fn boolean(&self, key: &str, absent: bool) -> Result<bool, BadInput> {
        Ok(or_null(&self.0[key], || boolean(&self.0[key], &self.at(key)))?.unwrap_or(absent))
    }
    /// A string.
    pub fn text(&self, key: &str, absent: &'a str) -> Result<&'a str, BadInput> {
        Ok(or_null(&self.0[key], || text(&self.0[key], &self.at(key)))?.unwrap_or(absent))
    }
    /// An array.
    pub fn list(&self, key: &str) -> Result<&'a [Value], BadInput> {
        let read = || {
            let array = self.0[key].as_array();
            array.map(Vec::as_slice).ok_or_else(|| BadInput::new(&self.at(key), "expected an array"))
        };
        Ok(or_null(&self.0[key], read)?.unwrap_or_default())
    }
    /// An array of strings.
    pub fn names(&self, key: &str) -> Result<Vec<String>, BadInput> {
        self.list(key)?.iter().map(|v| text(v, &self.at(key)).map(str::to_string)).collect()
    }
}
