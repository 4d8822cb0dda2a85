//! YAML files validated against a JSON schema; an error names file, line and key.

use jsonschema::Validator;
use marked_yaml::{parse_yaml_with_options, LoaderOptions, Node};
use serde_json::{Map, Number, Value};
use serde_path_to_error::Segment;
use std::fmt;
use std::path::{Path, PathBuf};

/// The largest file, in bytes: ten times the size of a plan with the most nodes.
const MAX_FILE_BYTES: u64 = 32 * 1024 * 1024;
/// Longer messages of schema errors are shortened to this many characters: they contain the invalid value, which may be a whole section.
const MAX_MESSAGE_CHARS: usize = 300;

/// An error of a YAML file, and the position of the error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct YamlError {
    /// The file's name.
    pub file: String,
    /// The line, from 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// The path of the key; empty if the error concerns the whole file.
    pub key: String,
    /// What was expected, and what was found.
    pub message: String,
}

impl YamlError {
    /// An error that concerns the whole file.
    fn of_file(file: &str, message: String) -> Self {
        Self { file: file.to_string(), line: 0, key: String::new(), message }
    }
}

impl fmt::Display for YamlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for YamlError {}

/// A parsed file with the lines of its keys.
pub struct Document {
    file: String,
    root: Node,
    /// The file's content.
    pub value: Value,
}

impl Document {
    /// Reads a file and validates it.
    ///
    /// # Errors
    /// If the file can't be read, is too large, is not YAML, or does not match the schema.
    pub fn read(path: &Path, schema: &Validator) -> Result<Self, YamlError> {
        let file = path.display().to_string();
        let io_error = |e: std::io::Error| YamlError::of_file(&file, e.to_string());
        let size = std::fs::metadata(path).map_err(io_error)?.len();
        if size > MAX_FILE_BYTES {
            let message = format!("expected at most {MAX_FILE_BYTES} bytes, found {size}");
            return Err(YamlError::of_file(&file, message));
        }
        let text = std::fs::read_to_string(path).map_err(io_error)?;
        Self::parse(&file, &text, schema)
    }

    /// Parses a text and validates it; `file` is its name in errors.
    ///
    /// # Errors
    /// If the text is not YAML or does not match the schema.
    pub fn parse(file: &str, text: &str, schema: &Validator) -> Result<Self, YamlError> {
        let options = LoaderOptions::default().error_on_duplicate_keys(true).prevent_coercion(true);
        let root =
            parse_yaml_with_options(0, text, options).map_err(|e| YamlError::of_file(file, e.to_string()))?;
        let value = to_json(&root);
        let document = Self { file: file.to_string(), root, value };
        let error = schema.iter_errors(&document.value).next();
        let error = error.map(|e| document.error_at(&e.instance_path().to_string(), shorten(&e.to_string())));
        error.map_or(Ok(document), Err)
    }

    /// An error at a JSON pointer (RFC 6901).
    pub fn error_at(&self, pointer: &str, message: impl Into<String>) -> YamlError {
        let steps: Vec<String> =
            pointer.split('/').skip(1).map(|s| s.replace("~1", "/").replace("~0", "~")).collect();
        YamlError {
            file: self.file.clone(),
            line: self.line_of(&steps),
            key: key_path(&steps),
            message: message.into(),
        }
    }

    /// The line of the key at a path; if the document lacks the key, the line of the innermost key around it.
    fn line_of(&self, steps: &[String]) -> usize {
        let mut node = Some(&self.root);
        let mut line = start_line(&self.root).unwrap_or(0);
        for step in steps {
            node = match node {
                Some(Node::Mapping(map)) => {
                    let entry = map.iter().find(|(key, _)| key.as_str() == step);
                    // The key's line, since the value may be on a later one.
                    let key_start = entry.and_then(|(key, _)| key.span().start());
                    line = key_start.map_or(line, |start| start.line());
                    entry.map(|(_, value)| value)
                }
                Some(Node::Sequence(list)) => {
                    let item = step.parse().ok().and_then(|index: usize| list.get(index));
                    line = item.and_then(start_line).unwrap_or(line);
                    item
                }
                Some(Node::Scalar(_)) | None => None,
            };
        }
        line
    }

    /// Deserializes the content.
    ///
    /// # Errors
    /// If a value does not match the type `T`, which may be stricter than the schema.
    pub fn deserialize<T: serde::de::DeserializeOwned>(&self) -> Result<T, YamlError> {
        serde_path_to_error::deserialize(&self.value).map_err(|e| {
            let step = |s: &Segment| match s {
                Segment::Seq { index } => format!("/{index}"),
                Segment::Map { key } => format!("/{key}"),
                Segment::Enum { .. } | Segment::Unknown => String::new(),
            };
            self.error_at(&e.path().iter().map(step).collect::<String>(), e.inner().to_string())
        })
    }

    /// Resolves the path of a file that the document names, which is relative to the document's folder.
    pub fn resolve_path(&self, file: &Path) -> PathBuf {
        Path::new(&self.file).parent().unwrap_or(Path::new("")).join(file)
    }
}

fn shorten(message: &str) -> String {
    if message.len() > MAX_MESSAGE_CHARS {
        format!("{}…", message.chars().take(MAX_MESSAGE_CHARS).collect::<String>())
    } else {
        message.to_string()
    }
}

/// The path of a key in errors, such as `fleet.peers[0].name`.
fn key_path(steps: &[String]) -> String {
    let mut path = String::new();
    for step in steps {
        match step.parse::<usize>() {
            Ok(index) => path.push_str(&format!("[{index}]")),
            Err(_) if path.is_empty() => path.push_str(step),
            Err(_) => path.push_str(&format!(".{step}")),
        }
    }
    path
}

/// The line on which a node starts, from 1.
fn start_line(node: &Node) -> Option<usize> {
    node.span().start().map(|start| start.line())
}

/// Converts a YAML node to JSON; scalars without quotes are typed.
fn to_json(node: &Node) -> Value {
    match node {
        Node::Scalar(scalar) if scalar.may_coerce() => plain_scalar(scalar.as_str()),
        Node::Scalar(scalar) => Value::from(scalar.as_str()),
        Node::Sequence(list) => Value::Array(list.iter().map(to_json).collect()),
        Node::Mapping(map) => {
            let entries = map.iter().map(|(key, value)| (key.as_str().to_string(), to_json(value)));
            Value::Object(entries.collect::<Map<_, _>>())
        }
    }
}

/// The value of a plain scalar by the core schema of YAML 1.2.
fn plain_scalar(text: &str) -> Value {
    match text {
        "" | "~" | "null" => return Value::Null,
        "true" => return Value::from(true),
        "false" => return Value::from(false),
        _ => {}
    }
    if let Ok(integer) = text.parse::<i64>() {
        return Value::from(integer);
    }
    // Rust also parses words such as `inf` and `nan` as floats; here they are strings.
    let is_numeric = text.starts_with(['-', '+', '.', '0', '1', '2', '3', '4', '5', '6', '7', '8', '9']);
    let float = text.parse().ok().filter(|_| is_numeric).and_then(Number::from_f64);
    float.map_or_else(|| Value::from(text), Value::Number)
}

/// Compiles a JSON schema that is part of the program.
///
/// # Panics
/// If the text is not a JSON schema.
pub fn compile_schema(text: &str) -> Validator {
    let schema: Value = serde_json::from_str(text).expect("the built-in schema is JSON");
    jsonschema::validator_for(&schema).expect("the built-in schema is a JSON schema")
}

#[cfg(test)]
mod tests;
