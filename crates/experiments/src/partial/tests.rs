//! Tests of `partial`.

use super::*;

#[test]
fn the_programs_own_is_sound_and_a_wrong_file_is_refused() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let path = file.path().display().to_string();
    for (from, to) in [
        ("clients: 2", "clients: 0"),
        ("rest_ms", "rests_ms"),
        ("{figure: part, at_least: 20}", "{figure: part}"),
    ] {
        std::fs::write(file.path(), OWN.1.replacen(from, to, 1)).expect("a file");
        assert!(is(&path) && find(&path).is_err(), "{to}");
    }
    assert!(find(OWN.0).is_ok() && is(OWN.0) && !is("holds"));
}
