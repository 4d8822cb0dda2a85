//! Tests of the arrivals of requests: reproducibility by seed, rate, popularity of objects, and sizes.

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
    let arrivals = |router| Arrivals::new(&load, 5, router).take(2_000).collect::<Vec<_>>();
    assert_eq!(arrivals(0), arrivals(0));
    assert_ne!(arrivals(0), arrivals(1));
    let last = arrivals(0).last().expect("2,000 arrivals").at;
    assert!((30_000.0..50_000.0).contains(&last), "2,000 requests at 50 per second end at {last} ms");
    let most_popular = object_id(0, 0);
    let count = arrivals(0).iter().filter(|a| a.object == most_popular).count();
    assert!(count > 200, "only {count} requests of the most popular object");
    assert!(arrivals(0).iter().all(|a| (10.0..=100.0).contains(&a.size_kb) && a.part < 3 && a.group < 16));
}
