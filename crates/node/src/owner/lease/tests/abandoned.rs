//! A leased request whose client has left while its attempt goes on, as where attempts may not be cancelled.

use super::*;

/// Guards against an outcome that can't be replayed: the body, which the fingerprint covers, is dropped when the client leaves.
#[test]
fn outcome_of_a_request_whose_body_is_dropped_names_the_request() {
    let mut scenario = Scenario::new();
    let pending = scenario.owner.requests.get(NO).expect("a request");
    let body = pending.body.as_ref().expect("a body").bytes();
    let request = request_fingerprint(&pending.request, body);
    scenario.steps(&[Step::Committed]);
    scenario.steps(&[Step::Written]);
    assert!(scenario.owner.abandon(NO));
    scenario.steps(&[Step::Ok]);
    scenario.steps(&[Step::Committed]);
    let outcome = Outcome::ServedRequest { request, body: b"receipt".to_vec() };
    assert_eq!(scenario.replicas.record, Some(Record::Completed(outcome)));
}
