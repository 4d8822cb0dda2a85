//! Tests of the experiment's file.

use super::*;

#[test]
fn the_built_in_file_loads_and_an_invalid_one_is_rejected() {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    let path = file.path().display().to_string();
    for (from, to) in [
        ("clients: 2", "clients: 0"),
        ("rest_ms", "rests_ms"),
        ("{figure: part, at_least: 20}", "{figure: part}"),
    ] {
        std::fs::write(file.path(), BUILT_IN.1.replacen(from, to, 1)).expect("the file is written");
        assert!(is_partial(&path) && load(&path).is_err(), "{to}");
    }
    assert!(load(BUILT_IN.0).is_ok() && is_partial(BUILT_IN.0) && !is_partial("holds"));
}
