//! Purges limit the age of copies until they have converged.

mod common;
use basaltgw::api::*;
use common::*;

#[test]
fn purge_limits_the_age_of_copies_until_it_has_converged() {
    for by_group in [false, true] {
        let mut driver = Driver::new(settings(), fleet());
        let object = (!by_group).then_some(ObjectId(5));
        assert_eq!(driver.serve(0, IDEMPOTENT, 5, FillReport::Hit).max_age, None);
        driver.handle(Event::Purged { group: GroupId(5), object, age: 80.0 });
        for n in 1..70 {
            let since_purge = driver.now - 1000.0 + 80.0;
            let spec = first_attempt(&driver.request(n, IDEMPOTENT, 5)).expect("an attempt");
            let max_age = spec.max_age.expect("an age limit");
            let limit = since_purge.max(1.0);
            assert!(max_age > 0.0 && max_age <= limit, "age limit {max_age}, purged {since_purge} ms ago");
            let actions = driver.finish(n, 0, &spec.server, AttemptResult::Rejected, FillReport::NotReported);
            assert!(first_attempt(&actions).expect("another attempt").max_age.is_some());
            driver.handle(Event::ClientDisconnected(request_id(n)));
            driver.advance(85.0);
        }
        // A slow fill that began before the purge may leave an old copy behind long after the convergence time.
        driver.advance(20_000.0);
        assert!(driver.serve(100, IDEMPOTENT, 5, FillReport::Hit).max_age.is_some_and(|age| age > 20_000.0));
        driver.advance(60_000.0);
        assert_eq!(driver.serve(101, IDEMPOTENT, 5, FillReport::Hit).max_age, None, "converged");
    }
}

#[test]
fn purge_never_extends_the_freshness_lifetime_and_spares_other_objects() {
    let mut driver = Driver::new(settings(), fleet());
    driver.handle(Event::Purged { group: GroupId(5), object: Some(ObjectId(5)), age: 80.0 });
    assert_eq!(driver.serve(1, IDEMPOTENT, 13, FillReport::Hit).max_age, None, "same group, another object");
    driver.advance(3000.0);
    let max_age = driver.serve(2, EXPIRING, 5, FillReport::Hit).max_age.expect("an age limit");
    assert!(max_age <= 3080.0, "{max_age}");
}
