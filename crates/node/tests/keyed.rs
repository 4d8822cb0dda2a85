//! Classes whose requests carry an idempotency key: the key is sent unchanged to the server with every attempt.

#[path = "common/mod.rs"]
mod common;

use basaltgw_node::resp::encode;
use common::*;
use serde_json::json;

const KEY: &str = "ab1f80480fe3d5fd62066f008a1b3633";

#[test]
fn idempotency_key_is_passed_on_with_each_attempt_and_never_invented() {
    // The origin answers with an error, so that the request is retried at the parent within the window of its key.
    let (parent, origin) = (
        Cache::with_all_objects(),
        Cache::start(|_| FetchBehaviour::Answer { status: "error", fields: "-" }),
    );
    let log = ChangeLog::start();
    let mut config =
        configuration(&edge_parent_origin(&Cache::with_all_objects(), &parent, &origin), log.address);
    config["settings"]["services"][1]["idempotency"] = json!("idempotency_key");
    config["settings"]["services"][1]["key-scope"] = json!("all");
    config["settings"]["services"][1]["window"] = json!(60_000.0);
    let router = router(&config);
    let mut client = router.client();
    client.send_request(1, "loan", 1, &format!(",k={KEY}"), b"borrow");
    assert_eq!(client.expect_answer().status, "200");
    client.send_request(2, "loan", 2, "", b"borrow");
    assert_eq!(client.expect_answer().status, "200");
    let keys = |cache: &Cache| {
        cache.fetches().iter().map(|fetch| fetch.field("i").map(str::to_string)).collect::<Vec<_>>()
    };
    assert_eq!(keys(&origin), [Some(KEY.to_string()), None]);
    assert_eq!(keys(&parent), [Some(KEY.to_string()), None]);
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn idempotency_key_that_could_end_a_field_fails_and_reaches_no_server() {
    let (origin, log) = (Cache::with_all_objects(), ChangeLog::start());
    let router = router(&configuration(
        &edge_parent_origin(&Cache::with_all_objects(), &Cache::with_all_objects(), &origin),
        log.address,
    ));
    let mut client = router.client();
    for (tag, key) in ["", "a=b", "a b", "é", &"x".repeat(65)].into_iter().enumerate() {
        let fields = format!("i=9b1f03aa5c7e2d41,d=1500,o=7f3a9c21e0b4d655,nth=0,batch=17,k={key}");
        let tag = (tag + 1).to_string();
        client.write(&encode(&[b"DO", tag.as_bytes(), b"loan", fields.as_bytes(), b"borrow"]));
        assert_eq!(client.expect_answer().status, "500", "{key:?}");
    }
    assert_eq!((origin.fetch_count(), router.counter("unreadable")), (0, 5));
    assert_eq!(client.answers_before_pong(), []);
}
