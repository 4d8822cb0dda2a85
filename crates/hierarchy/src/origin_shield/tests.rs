//! Joined, failed and rejected fills.

use super::*;

const KEY: FillKey = FillKey { object: 7, part: 0 };

fn settings() -> Settings {
    Settings { max_fills: 3, max_waiters_per_fill: 3, failed_fill_ttl: 100.0, ..Settings::default() }
}

fn fill_request(waiter: u64, path: &VisitedPath) -> FillRequest<'_> {
    static ME: std::sync::OnceLock<NodeId> = std::sync::OnceLock::new();
    let me = ME.get_or_init(|| NodeId::new("m"));
    let waiter = WaiterId(waiter);
    FillRequest { me, waiter, deadline: 1000.0, min_origin_time: 0.0, path, cached_only: false }
}

fn request(shield: &mut OriginShield, now: Ms, waiter: u64) -> Admission {
    shield.request(now, KEY, fill_request(waiter, &VisitedPath::default()), &settings())
}

fn completed(served: &[u64], outdated: &[u64]) -> CompletedFill {
    let ids = |numbers: &[u64]| numbers.iter().map(|n| WaiterId(*n)).collect();
    CompletedFill { served: ids(served), outdated: ids(outdated) }
}

#[test]
fn requests_join_one_fill_and_fills_and_waiters_are_limited() {
    let mut shield = OriginShield::default();
    assert_eq!(request(&mut shield, 0.0, 1), Admission::StartFill);
    assert_eq!(request(&mut shield, 1.0, 2), Admission::Joined);
    assert_eq!(request(&mut shield, 1.0, 3), Admission::Joined);
    assert_eq!(request(&mut shield, 1.0, 4), Admission::LimitReached);
    assert_eq!(shield.complete(KEY, 1.0), completed(&[1, 2, 3], &[]));
    assert!(shield.is_empty());
    for part in 0..3 {
        let key = FillKey { part, ..KEY };
        let admission = shield.request(2.0, key, fill_request(9, &VisitedPath::default()), &settings());
        assert_eq!(admission, Admission::StartFill);
    }
    let key = FillKey { part: 3, ..KEY };
    let admission = shield.request(2.0, key, fill_request(9, &VisitedPath::default()), &settings());
    assert_eq!(admission, Admission::LimitReached);
}

#[test]
fn failed_fill_is_retried_once_then_reported_to_all_and_remembered_for_a_short_time() {
    let mut shield = OriginShield::default();
    request(&mut shield, 0.0, 1);
    request(&mut shield, 0.0, 2);
    assert_eq!(shield.fail(10.0, KEY, true, &settings()), AfterFailure::Retry);
    assert_eq!(request(&mut shield, 11.0, 3), Admission::Joined, "the same fill");
    let waiters = vec![WaiterId(1), WaiterId(2), WaiterId(3)];
    assert_eq!(shield.fail(20.0, KEY, true, &settings()), AfterFailure::Notify(waiters));
    assert_eq!(request(&mut shield, 30.0, 4), Admission::FailedRecently);
    shield.forget_failures(7);
    assert_eq!(
        request(&mut shield, 31.0, 4),
        Admission::StartFill,
        "a failure before a purge says nothing about a fill after it"
    );
    shield.fail(32.0, KEY, false, &settings());
    assert_eq!(request(&mut shield, 133.0, 5), Admission::StartFill, "the failure has expired");
}

#[test]
fn copy_from_before_a_purge_serves_only_requests_that_accept_it() {
    let mut shield = OriginShield::default();
    request(&mut shield, 0.0, 1);
    let path = VisitedPath::default();
    let after_purge = FillRequest { min_origin_time: 5.0, ..fill_request(2, &path) };
    assert_eq!(
        shield.request(6.0, KEY, after_purge, &settings()),
        Admission::Joined,
        "the copy may yet be new enough"
    );
    assert_eq!(shield.complete(KEY, 4.0), completed(&[1], &[2]));
    assert_eq!(shield.request(7.0, KEY, after_purge, &settings()), Admission::StartFill);
    assert_eq!(shield.complete(KEY, 5.0), completed(&[2], &[]));
}

#[test]
fn request_does_not_wait_for_a_fill_that_waits_for_its_requester() {
    let (n, path) = (NodeId::new("n"), VisitedPath::default());
    let path_from_n = path.visit(&n).expect("a path");
    let mut shield = OriginShield::default();
    request(&mut shield, 0.0, 1);
    shield.set_source(KEY, &n, false);
    assert_eq!(
        shield.request(1.0, KEY, fill_request(2, &path_from_n), &settings()),
        Admission::Miss,
        "the fill waits for n, and n sends the request"
    );
    let cached_only = FillRequest { cached_only: true, ..fill_request(3, &path) };
    assert_eq!(shield.request(1.0, KEY, cached_only, &settings()), Admission::Miss);
    shield.set_source(KEY, &n, true);
    assert_eq!(
        shield.request(1.0, KEY, fill_request(4, &path_from_n), &settings()),
        Admission::Joined,
        "n got a request for a cached copy only"
    );
    shield.clear_source(KEY);
    shield.set_source(KEY, &NodeId::new("origin"), true);
    let cached_only = FillRequest { cached_only: true, ..fill_request(3, &path_from_n) };
    assert_eq!(
        shield.request(2.0, KEY, cached_only, &settings()),
        Admission::Joined,
        "the origin waits for no node"
    );
}

#[test]
fn of_two_nodes_that_request_from_each_other_at_once_one_rejects_and_the_other_waits() {
    for (other, expected) in [("a", Admission::Joined), ("z", Admission::Miss)] {
        let other = NodeId::new(other);
        let path = VisitedPath::default().visit(&NodeId::new("d")).and_then(|p| p.visit(&other));
        let path = path.expect("a path");
        let mut shield = OriginShield::default();
        request(&mut shield, 0.0, 1);
        shield.set_source(KEY, &other, false);
        assert_eq!(shield.request(1.0, KEY, fill_request(2, &path), &settings()), expected);
        let waiting: Vec<_> = shield.waiting_nodes(KEY).cloned().collect();
        assert_eq!(waiting, if expected == Admission::Joined { vec![other] } else { vec![] });
    }
}

#[test]
fn fill_goes_on_after_its_waiters_have_expired() {
    let mut shield = OriginShield::default();
    let path = VisitedPath::default();
    shield.request(0.0, KEY, FillRequest { deadline: 50.0, ..fill_request(1, &path) }, &settings());
    request(&mut shield, 0.0, 2);
    assert_eq!(shield.remove_expired(60.0), vec![WaiterId(1)]);
    shield.remove_waiter(KEY, WaiterId(2));
    assert_eq!(shield.len(), 1);
    let after = shield.fail(61.0, KEY, true, &settings());
    assert_eq!(after, AfterFailure::Notify(vec![]), "without a waiter the fill is not retried");
}
