//! Parsing and validation of YAML.

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
fn plain_scalars_are_typed_and_quoted_ones_are_strings() {
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
