//! Tests of the experiment's file: the built-in one loads, and errors in another name the key.

use super::{is_capacity, load, BUILT_IN};

#[test]
fn the_built_in_file_loads_and_an_invalid_one_is_rejected() {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    let path = file.path().display().to_string();
    for (from, to, key) in [
        ("routers: 4300", "routers: 0", "expected.routers"),
        ("purges_per_s: 100", "purges_per_s: -1", "expected.purges_per_s"),
        ("caches: [50, 100, 200, 400, 800, 1100]", "caches: [50, 100, 200, 400]", "sizes.quick.data.caches"),
        ("open: [10, 30, 100, 300, 1000]", "open: [10, 30, 30, 300, 1000]", "sizes.quick.data.open"),
        (
            "mesh_purges: [1, 10, 30, 60, 100]",
            "mesh_purges: [0, 10, 30, 60, 100]",
            "sizes.quick.control.mesh_purges",
        ),
        ("routers: [60, 100, 204, 400, 600]", "routers: [60, 100, 204, 600]", "sizes.quick.overlay.routers"),
        ("troubles: [relay_lost,", "troubles: [relay,", "relay"),
        ("overlay=600, at_most: 20000}", "overlay=600, run: still, at_most: 1}", "sizes.quick.must[0]"),
        ("losses: [1, 2, 3, 4, 6]", "losses: [1, 2, 3, 4]", "sizes.quick.overlay.losses"),
        ("regions: [9, 12, 15, 18, 21]", "regions: [9, 12, 15, 18]", "sizes.quick.overlay.places.regions"),
        ("mesh_changes: [4, 8, 12, 16, 20]", "mesh_changes: [4, 8]", "sizes.quick.control.mesh_changes"),
        ("requests: 2000", "requests: 2", "sizes.quick.data.requests"),
        ("budgets:", "budget:", "budget"),
        ("at_most: 32000000}\n  # A table", "run: still, at_most: 1}\n  # A table", "must[0]"),
    ] {
        assert!(BUILT_IN.1.contains(from), "the experiment does not contain {from:?}");
        std::fs::write(file.path(), BUILT_IN.1.replacen(from, to, 1)).expect("the file is written");
        let Err(error) = load(&path) else { panic!("the file with {to:?} is accepted") };
        let error = error.to_string();
        assert!(is_capacity(&path) && error.contains(key), "{to}: {error}");
    }
    assert!(load(BUILT_IN.0).is_ok() && is_capacity(BUILT_IN.0) && !is_capacity("holds"));
}
