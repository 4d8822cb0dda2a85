//! Tests of `arrivals`.

use super::*;

#[test]
fn arrivals_are_reproducible_by_seed_and_differ_by_router() {
    let class = ClassSpec {
        name: "pages".into(),
        share: 1.0,
        objects: 100,
        zipf: 0.9,
        parts: 3,
        kb: [10.0, 100.0],
        aim_ms: 400.0,
        deadline_ms: 4000.0,
        worth: 1.0,
        late_worth: 0.2,
        effect: EffectSpec::Safe,
        fresh_ms: 0.0,
        grace_ms: 0.0,
    };
    let load = LoadSpec {
        per_router: 50.0,
        classes: vec![class],
        retries: 0,
        backoff_ms: 0.0,
        groups: 16,
        purges_per_s: 0.0,
    };
    let take = |router| Arrivals::new(&load, 5, router).take(2_000).collect::<Vec<_>>();
    assert_eq!(take(0), take(0));
    assert_ne!(take(0), take(1));
    let last = take(0).last().expect("one").at;
    assert!((30_000.0..50_000.0).contains(&last), "at 50 requests a second: {last}");
    let first = object_id(0, 0);
    let often = take(0).iter().filter(|a| a.object == first).count();
    assert!(often > 200, "the object of rank 0 is the most popular: {often}");
    assert!(take(0).iter().all(|a| (10.0..=100.0).contains(&a.size_kb) && a.part < 3 && a.group < 16));
}
