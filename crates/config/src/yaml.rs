//! YAML files validated against a schema; a fault names file, line and key.

use jsonschema::Validator;
use marked_yaml::{parse_yaml_with_options, LoaderOptions, Node};
use serde_json::{Map, Number, Value};
use serde_path_to_error::Segment;
use std::fmt;
use std::path::{Path, PathBuf};

/// The largest file, in bytes: ten times a plan with the most nodes.
const MAX_FILE_BYTES: u64 = 32 * 1024 * 1024;

/// A fault of a file and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadFile {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 for the whole file.
    pub line: usize,
    /// The key as a path; empty for the whole file.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for BadFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for BadFile {}

/// A parsed file with the lines of its keys.
pub struct Document {
    file: String,
    root: Node,
    /// Its content.
    pub value: Value,
}

impl Document {
    /// Reads a file and validates it.
    ///
    /// # Errors
    /// If it can't be read, is too large, is no YAML, or does not match the schema.
    pub fn read(path: &Path, schema: &Validator) -> Result<Self, BadFile> {
        let file = path.display().to_string();
        let whole = |what: String| BadFile { file: file.clone(), line: 0, key: String::new(), what };
        let size = std::fs::metadata(path).map_err(|e| whole(e.to_string()))?.len();
        if size > MAX_FILE_BYTES {
            return Err(whole(format!("expected at most {MAX_FILE_BYTES} bytes, found {size}")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| whole(e.to_string()))?;
        Self::parse(&file, &text, schema)
    }

    /// Parses a text and validates it; `file` is its name in faults.
    ///
    /// # Errors
    /// If it is no YAML or does not match the schema.
    pub fn parse(file: &str, text: &str, schema: &Validator) -> Result<Self, BadFile> {
        let options = LoaderOptions::default().error_on_duplicate_keys(true).prevent_coercion(true);
        let root = parse_yaml_with_options(0, text, options).map_err(|e| BadFile {
            file: file.to_string(),
            line: 0,
            key: String::new(),
            what: e.to_string(),
        })?;
        let value = value(&root);
        let document = Self { file: file.to_string(), root, value };
        let fault = schema.iter_errors(&document.value).next().map(|e| {
            let what = e.to_string();
            let what = if what.len() > 300 {
                format!("{}…", what.chars().take(300).collect::<String>())
            } else {
                what
            };
            (e.instance_path().to_string(), what)
        });
        match fault {
            Some((pointer, what)) => Err(document.fault(&pointer, what)),
            None => Ok(document),
        }
    }

    /// A fault at a JSON pointer (RFC 6901).
    pub fn fault(&self, pointer: &str, what: impl Into<String>) -> BadFile {
        let (mut node, mut line) = (Some(&self.root), line(&self.root));
        let steps = || pointer.split('/').skip(1).map(|s| s.replace("~1", "/").replace("~0", "~"));
        for step in steps() {
            node = match node {
                Some(Node::Mapping(map)) => {
                    let found = map.iter().find(|(k, _)| k.as_str() == step);
                    // The key's line, since the value may be on a later one.
                    if let Some(at) = found.and_then(|(k, _)| k.span().start()) {
                        line = at.line();
                    }
                    found.map(|(_, v)| v)
                }
                Some(Node::Sequence(list)) => {
                    let found = step.parse().ok().and_then(|i: usize| list.get(i));
                    if let Some(at) = found.and_then(|n| n.span().start()) {
                        line = at.line();
                    }
                    found
                }
                Some(Node::Scalar(_)) | None => None,
            };
        }
        let mut key = String::new();
        for step in steps() {
            match step.parse::<usize>() {
                Ok(i) => key.push_str(&format!("[{i}]")),
                Err(_) if key.is_empty() => key = step,
                Err(_) => key.push_str(&format!(".{step}")),
            }
        }
        BadFile { file: self.file.clone(), line, key, what: what.into() }
    }

    /// Deserializes the content.
    ///
    /// # Errors
    /// Where the type is stricter than the schema.
    pub fn typed<T: serde::de::DeserializeOwned>(&self) -> Result<T, BadFile> {
        serde_path_to_error::deserialize(&self.value).map_err(|e| {
            let step = |s: &Segment| match s {
                Segment::Seq { index } => format!("/{index}"),
                Segment::Map { key } => format!("/{key}"),
                Segment::Enum { .. } | Segment::Unknown => String::new(),
            };
            self.fault(&e.path().iter().map(step).collect::<String>(), e.inner().to_string())
        })
    }

    /// A file that the document names, relative to the document's folder.
    pub fn beside(&self, file: &Path) -> PathBuf {
        Path::new(&self.file).parent().unwrap_or(Path::new("")).join(file)
    }
}

fn line(node: &Node) -> usize {
    node.span().start().map_or(0, |m| m.line())
}

/// Converts YAML to JSON; plain scalars by the core schema of YAML 1.2.
fn value(node: &Node) -> Value {
    match node {
        Node::Scalar(word) => {
            let text = word.as_str();
            if !word.may_coerce() {
                return Value::from(text);
            }
            let float = || {
                text.parse().ok().filter(|_| {
                    text.starts_with(['-', '+', '.', '0', '1', '2', '3', '4', '5', '6', '7', '8', '9'])
                })
            };
            match text {
                "" | "~" | "null" => Value::Null,
                "true" => Value::from(true),
                "false" => Value::from(false),
                _ => match text.parse::<i64>() {
                    Ok(whole) => Value::from(whole),
                    Err(_) => {
                        float().and_then(Number::from_f64).map_or_else(|| Value::from(text), Value::Number)
                    }
                },
            }
        }
        Node::Sequence(list) => Value::Array(list.iter().map(value).collect()),
        Node::Mapping(map) => {
            Value::Object(map.iter().map(|(k, v)| (k.as_str().to_string(), value(v))).collect::<Map<_, _>>())
        }
    }
}

/// Compiles a schema.
///
/// # Panics
/// If the text is no schema: it is part of the program.
pub fn schema(text: &str) -> Validator {
    let schema: Value = serde_json::from_str(text).expect("a schema in JSON");
    jsonschema::validator_for(&schema).expect("a schema")
}

#[cfg(test)]
mod tests;
