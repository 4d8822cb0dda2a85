//! Tests of YAML files: types of scalars, and errors by file, line and key.

use super::*;

fn schema() -> Validator {
    compile_schema(
        r#"{"type": "object", "additionalProperties": false, "properties": {
            "name": {"type": "string"}, "list": {"type": "array", "items": {"type": "object",
            "properties": {"n": {"type": "number", "minimum": 1}}}}}}"#,
    )
}

/// The error message of an invalid text.
fn error(text: &str) -> String {
    Document::parse("f.yaml", text, &schema()).err().expect("an invalid document").to_string()
}

#[test]
fn plain_scalars_are_typed_and_quoted_ones_are_strings() {
    let text = "a: 1\nb: 1.5\nc: \"1\"\nd: yes\ne: ~\nf: [true, x, -3, 1e3, e5]\n";
    let doc = Document::parse("f.yaml", text, &compile_schema("{}")).expect("a valid document");
    let expected = serde_json::json!({"a": 1, "b": 1.5, "c": "1", "d": "yes", "e": null, "f": [true, "x", -3, 1000.0, "e5"]});
    assert_eq!(doc.value, expected);
}

#[test]
fn errors_name_file_line_and_key() {
    assert_eq!(
        error("name: x\nlist:\n  - n: 2\n  - n: 0\n"),
        "f.yaml:4: list[1].n: 0 is less than the minimum of 1"
    );
    assert!(error("name: x\nnane: y\n").contains("nane"));
    assert!(error("name: x\nname: y\n").to_lowercase().contains("duplicate"));
    assert!(error("name: [\n").starts_with("f.yaml"));
    assert!(error("- 1\n").starts_with("f.yaml: 1:1"), "{}", error("- 1\n"));
    assert!(Document::read(Path::new("/nonexistent/x.yaml"), &schema()).is_err());
}
