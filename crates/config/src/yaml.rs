//! YAML files read against a schema; what is wrong is named by file, line and key.

use jsonschema::Validator;
use marked_yaml::{parse_yaml_with_options, LoaderOptions, Node};
use serde_json::{Map, Number, Value};
use serde_path_to_error::Segment;
use std::fmt;
use std::path::{Path, PathBuf};

/// The longest file that is read, in bytes: a plan of the most nodes is a tenth of it.
const MOST_BYTES: u64 = 32 * 1024 * 1024;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadFile {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 where it concerns the file as a whole.
    pub line: usize,
    /// The key, as a path; empty for the whole.
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

/// A file as it was read, with the lines of its keys.
pub struct Document {
    file: String,
    root: Node,
    /// Its content.
    pub value: Value,
}

impl Document {
    /// Reads a file and holds it against a schema.
    pub fn read(path: &Path, schema: &Validator) -> Result<Self, BadFile> {
        let file = path.display().to_string();
        let whole = |what: String| BadFile { file: file.clone(), line: 0, key: String::new(), what };
        let size = std::fs::metadata(path).map_err(|e| whole(e.to_string()))?.len();
        if size > MOST_BYTES {
            return Err(whole(format!("expected at most {MOST_BYTES} bytes, found {size}")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| whole(e.to_string()))?;
        Self::parse(&file, &text, schema)
    }

    /// The same of a text.
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

    /// A fault at a place, written as a JSON pointer (RFC 6901).
    pub fn fault(&self, pointer: &str, what: impl Into<String>) -> BadFile {
        let (mut node, mut line) = (Some(&self.root), line(&self.root));
        let steps = || pointer.split('/').skip(1).map(|s| s.replace("~1", "/").replace("~0", "~"));
        for step in steps() {
            node = match node {
                Some(Node::Mapping(map)) => {
                    let found = map.iter().find(|(k, _)| k.as_str() == step);
                    // The key's line: its value may stand below.
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

    /// The content as a type. What the schema lets through and the type does not is a fault all the same.
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

    /// A file that the document names, seen from where the document lies.
    pub fn beside(&self, file: &Path) -> PathBuf {
        Path::new(&self.file).parent().unwrap_or(Path::new("")).join(file)
    }
}

fn line(node: &Node) -> usize {
    node.span().start().map_or(0, |m| m.line())
}

/// YAML's plain words as JSON has them (YAML 1.2, core schema).
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

/// A schema of this project.
///
/// # Panics
/// If the text is none: it is part of the program.
pub fn schema(text: &str) -> Validator {
    let schema: Value = serde_json::from_str(text).expect("a schema in JSON");
    jsonschema::validator_for(&schema).expect("a schema")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn small() -> Validator {
        schema(
            r#"{"type": "object", "additionalProperties": false, "properties": {
                "name": {"type": "string"}, "list": {"type": "array", "items": {"type": "object",
                "properties": {"n": {"type": "number", "minimum": 1}}}}}}"#,
        )
    }

    fn fault(text: &str) -> String {
        Document::parse("f.yaml", text, &small()).err().expect("a fault").to_string()
    }

    #[test]
    fn words_are_what_they_look_like_unless_quoted() {
        let text = "a: 1\nb: 1.5\nc: \"1\"\nd: yes\ne: ~\nf: [true, x, -3, 1e3, e5]\n";
        let doc = Document::parse("f.yaml", text, &schema("{}")).expect("a document");
        let expected = serde_json::json!({"a": 1, "b": 1.5, "c": "1", "d": "yes", "e": null, "f": [true, "x", -3, 1000.0, "e5"]});
        assert_eq!(doc.value, expected);
    }

    #[test]
    fn faults_name_file_line_and_key() {
        assert_eq!(
            fault("name: x\nlist:\n  - n: 2\n  - n: 0\n"),
            "f.yaml:4: list[1].n: 0 is less than the minimum of 1"
        );
        assert!(fault("name: x\nnane: y\n").contains("nane"));
        assert!(fault("name: x\nname: y\n").to_lowercase().contains("duplicate"));
        assert!(fault("name: [\n").starts_with("f.yaml"));
        assert!(fault("- 1\n").starts_with("f.yaml: 1:1"), "{}", fault("- 1\n"));
        assert!(Document::read(Path::new("/nonexistent/x.yaml"), &small()).is_err());
    }
}
