//! docs/rule-coverage.md names functions and tests that exist, and its two tables agree.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// What stands in a cell instead of keys.
const NO_KEYS: [&str; 3] = ["-", "open", "soak"];
/// Invariants and rules that the soak judges, by their names there.
const SOAK: [&str; 2] = ["crates/emulator/src/world/soak.rs", "crates/simulator/src/checker.rs"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The cells of each line of a page's tables, but for the lines below their heads.
fn rows(page: &str) -> Vec<Vec<String>> {
    let lines = page.lines().filter(|l| l.starts_with("| ") && !l.starts_with("| ---"));
    lines.map(|l| l.trim_matches('|').split('|').map(|c| c.trim().to_string()).collect()).collect()
}

/// All Rust sources below a folder.
fn sources(folder: &Path, into: &mut String) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() && !path.ends_with("target") {
            sources(&path, into);
        } else if path.extension().is_some_and(|e| e == "rs") {
            into.push_str(&read(&path));
        }
    }
}

fn has_function(text: &str, name: &str) -> bool {
    let ends = |c: char| !c.is_alphanumeric() && c != '_';
    text.match_indices(&format!("fn {name}")).any(|(at, found)| text[at + found.len()..].starts_with(ends))
}

#[test]
fn every_function_and_test_that_the_page_names_exists_and_every_key_is_used() {
    let page = read(&root().join("docs/rule-coverage.md"));
    let rows = rows(&page);
    let legend_head = rows.iter().position(|r| r[0] == "key").expect("the table of keys");
    let (matrix, legend) = rows.split_at(legend_head);
    let legend: BTreeMap<&str, (&str, &str)> = legend[1..]
        .iter()
        .map(|r| (r[0].as_str(), (r[1].trim_matches('`'), r[2].trim_matches('`'))))
        .collect();
    let mut all = String::new();
    sources(&root().join("crates"), &mut all);
    for (key, (function, test)) in &legend {
        let (file, name) = function.split_once("::").expect("file::function");
        assert!(has_function(&read(&root().join(file)), name), "{key}: no function {function}");
        match test.strip_prefix("soak: ") {
            Some(invariant) => {
                let judged =
                    SOAK.iter().any(|f| read(&root().join(f)).contains(&format!("    {invariant},")));
                assert!(judged, "{key}: the soak judges no {invariant}");
            }
            None => assert!(has_function(&all, test), "{key}: no test {test}"),
        }
    }
    let columns = matrix[0].len();
    let mut used = BTreeSet::new();
    for row in &matrix[1..] {
        assert_eq!(row.len(), columns, "{}", row[0]);
        for cell in row[1..].iter().filter(|c| !NO_KEYS.contains(&c.as_str())) {
            for key in cell.split(' ') {
                assert!(legend.contains_key(key), "{}: unknown key {key}", row[0]);
                used.insert(key);
            }
        }
    }
    let unused: Vec<_> = legend.keys().filter(|k| !used.contains(*k)).collect();
    assert!(unused.is_empty(), "keys of no cell: {unused:?}");
}
