//! Decoding and encoding of the simulator's protocol, and the process that serves it, with valid and invalid input.

use basaltgw::api::*;
use basaltgw_adapter::{decode_event, encode_action, parse_settings, Message, RouterHost, WireNames};
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Stdio};
use std::sync::Arc;

fn begin_settings() -> Value {
    json!({
        "areas": ["hub", "edge-1"], "my-zone": "edge-1", "kinds": ["box", "parent", "origin"], "peers-total": 3,
        "services": [
            {"name": "big", "idempotency": "read_like", "slo": 400.0, "deadline": 5000.0, "worth": 2.0,
             "aim-stretch": 2.0, "late-worth": 0.15, "key-scope": "all", "window": 5000.0, "stream": false},
            {"name": "loan", "idempotency": "non_idempotent", "slo": 700.0, "deadline": 3000.0}],
        "contract": {"cold": 17000.0, "cold-share": 0.24, "drain-grace": 250.0, "fall": 1500.0, "fall-multiple": 4.0},
        "family-info": {"shield-kind": 1, "store-kind": 2, "pass-through-ok": true, "purge-settles": 6000.0,
                        "heed-within": 300.0, "goes-through": [false, true], "lifetime-by-class": [0.0, 8000.0],
                        "count-by-zone": [0, 2], "zone-hub": [0, 0], "lateral": "any", "a-new-key": [1, 2]},
        "limits": {"cancel": true, "try-limit": 8, "parallel-tries": true, "retry-after": true, "max-retry-after": 500.0},
        "granularity": 2.0, "weight-kind": "rough", "something-unknown": {"x": 1}
    })
}

fn names() -> WireNames {
    parse_settings(&begin_settings()).expect("settings").0
}

fn decode(message: Value) -> Result<Option<Event>, String> {
    decode_event(&Message::new(&message).map_err(|e| e.to_string())?, &names()).map_err(|e| e.to_string())
}

fn request_id() -> RequestId {
    RequestId(Arc::from("5d3a91c4-b7d2-4fd7-a9d2-afa6fcacb40e"))
}

const REQUEST: &str = "5d3a91c4-b7d2-4fd7-a9d2-afa6fcacb40e";
const CACHE: &str = "10.18.74.7:9003";

fn cache_id() -> ServerId {
    ServerId(Arc::from(CACHE))
}

#[test]
fn settings_are_typed_and_unknown_keys_ignored() {
    let (_, s) = parse_settings(&begin_settings()).expect("settings");
    assert_eq!((s.zone, s.zone_routers, s.routers), (ZoneId(1), 2, 3));
    assert_eq!(s.classes[0].idempotency, Idempotency::Idempotent);
    assert_eq!((s.classes[1].idempotency, s.classes[1].uncacheable), (Idempotency::NonIdempotent, true));
    assert_eq!((s.classes[1].fresh_for, s.classes[1].latency_objective_stretch), (8000.0, 0.0));
    assert_eq!((s.edge_slow_start.initial_share, s.edge_slow_start.overload_window), (0.24, 1500.0));
    assert_eq!((s.peer_fill, s.direct_to_parents, s.fill_joining), (PeerFill::Any, true, false));
    assert!(!s.must_watch_endpoints && !s.dynamic_weights);
    let (_, defaults) = parse_settings(&json!({})).expect("settings of an empty object");
    assert_eq!((defaults.routers, defaults.max_attempts, defaults.hedging), (1, 1, false));
    let mut watching = begin_settings();
    watching["discovery"] = json!("subscribe");
    watching["weight-kind"] = json!("live");
    let (_, s) = parse_settings(&watching).expect("settings");
    assert!(s.must_watch_endpoints && s.dynamic_weights);
}

#[test]
fn every_event_is_decoded_with_its_ids_unchanged() {
    let list = json!([
        "TARGETS",
        3,
        41,
        "stale_copy",
        [
            [CACHE, "edge-1", "box", 2, "up", 1.5, null],
            ["p:1", "hub", "parent", 0, "draining", 1, 6100.0],
            ["o:1", "hub", "origin", 0, "removed", 1, 0]
        ]
    ]);
    let Ok(Some(Event::Endpoints { update: EndpointUpdate::Complete, entries })) = decode(list) else {
        panic!("no endpoint list")
    };
    assert_eq!((entries[0].id.clone(), entries[0].role, entries[0].cell), (cache_id(), Role::Edge, 2));
    assert_eq!(
        (entries[1].role, entries[1].state, entries[1].started),
        (Role::Parent, EndpointState::Draining, Some(6100.0))
    );
    assert_eq!(
        (entries[2].role, entries[2].state, entries[2].started),
        (Role::Origin, EndpointState::Removed, None)
    );
    let patch = decode(json!(["TARGETS", 3, 42, "patch", []]));
    assert_eq!(patch, Ok(Some(Event::Endpoints { update: EndpointUpdate::Delta, entries: vec![] })));
    assert_eq!(
        decode(json!(["TARGETS", 3, 42, "broken"])),
        Ok(Some(Event::Endpoints { update: EndpointUpdate::Failed, entries: vec![] }))
    );
    let query = decode(json!(["QUERY", 3, REQUEST, null, 640, 5, 240.0, 11, 4569004829183723u64, 3, "big"]));
    let expected = Request {
        id: request_id(),
        class: Some(ClassId(0)),
        object: ObjectId(4569004829183723),
        part: Part(3),
        group: GroupId(11),
        size_kb: 640.0,
        write: true,
        budget: 240.0,
    };
    assert_eq!(query, Ok(Some(Event::Request(expected))));
    let Ok(Some(Event::Request(r))) =
        decode(json!(["QUERY", 3, REQUEST, null, null, 0, 9, null, null, null, "new"]))
    else {
        panic!("no request of an unknown class")
    };
    assert_eq!((r.class, r.size_kb, r.object), (None, 0.0, ObjectId(0)));
    assert_eq!(
        decode(json!(["FLOWING", 3, REQUEST, 1, CACHE, 9.25])),
        Ok(Some(Event::ResponseStarted { request: request_id(), attempt: AttemptNo(1) }))
    );
    let finished = json!(["FINISHED", 3, REQUEST, 2, CACHE, "GOOD", 18.5, true, 2, 9.4, {"busy": 0.62, "rif": 7, "x0": 0.4, "x1": 2}]);
    let expected = Outcome {
        request: request_id(),
        attempt: AttemptNo(2),
        server: cache_id(),
        result: AttemptResult::Served,
        latency: 18.5,
        completes_request: true,
        fill_report: FillReport::FilledBySource,
        source_wait: 9.4,
        load: LoadReport {
            in_flight: Some(7.0),
            cpu_utilization: Some(0.62),
            hit_ratio: Some(0.4),
            fill_load: Some(2.0),
        },
        body_complete: true,
    };
    assert_eq!(decode(finished), Ok(Some(Event::Outcome(expected))));
    assert_eq!(decode(json!(["EXPIRED", 3, REQUEST])), Ok(Some(Event::ClientDisconnected(request_id()))));
    assert_eq!(decode(json!(["TICK_DUE", 3, 77])), Ok(Some(Event::Timer(77))));
    let purge = |object| Ok(Some(Event::Purged { group: GroupId(11), object, age: 85.0 }));
    assert_eq!(decode(json!(["VOIDED", 3, 11, 85.0, 534015773185u64])), purge(Some(ObjectId(534015773185))));
    assert_eq!(decode(json!(["VOIDED", 3, 11, 85.0])), purge(None));
    assert_eq!(decode(json!(["VOIDED", 3, 11, 85.0, 0])), purge(None));
    assert_eq!(decode(json!(["MEMO", 3, 2, "hi"])), Ok(None));
}

#[test]
fn every_result_and_fill_report_is_decoded() {
    let codes = ["GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP", "MISS"];
    let mut decoded = Vec::new();
    for (n, code) in codes.iter().enumerate() {
        let message = json!(["FINISHED", 3, REQUEST, 0, CACHE, code, 1.0, false, n, 0.0, null]);
        let Ok(Some(Event::Outcome(outcome))) = decode(message) else { panic!("{code}: no outcome") };
        let pair = (outcome.result, outcome.fill_report);
        assert!(!decoded.contains(&pair), "{code}, {n}: decoded as {pair:?} before");
        decoded.push(pair);
    }
    assert!(decode(json!(["FINISHED", 3, REQUEST, 0, CACHE, "WHAT", 1.0, false])).is_err());
    assert!(decode(json!(["FINISHED", 3, REQUEST, 0, CACHE, "BAD", 1.0, false, 11])).is_err());
}

#[test]
fn every_action_is_encoded_with_its_ids_unchanged() {
    let attempt = |join_fill, cached_only, revalidate| AttemptSpec {
        start_before: f64::INFINITY,
        request: request_id(),
        server: cache_id(),
        timeout: 900.0,
        fill_source: ServerId(Arc::from("p:1")),
        rank: Rank::Top,
        max_age: Some(1500.0),
        join_fill,
        cached_only,
        revalidate,
    };
    let encoded = encode_action(3, Action::StartAttempt(attempt(true, false, true)));
    assert_eq!(encoded, json!(["DELIVER_VIA", 3, REQUEST, CACHE, 900.0, "p:1", 3, 1500.0, 9]));
    let without_age_limit = AttemptSpec { max_age: None, rank: Rank::Low, ..attempt(false, true, false) };
    assert_eq!(
        encode_action(3, Action::StartAttempt(without_age_limit)),
        json!(["DELIVER_VIA", 3, REQUEST, CACHE, 900.0, "p:1", 1, 0.0, 2])
    );
    assert_eq!(
        encode_action(3, Action::CancelAttempt { request: request_id(), attempt: AttemptNo(4) }),
        json!(["DROP_ATTEMPT", 3, REQUEST, 4])
    );
    assert_eq!(
        encode_action(3, Action::Reject { request: request_id(), retry_after: 250.0 }),
        json!(["PUSH_BACK", 3, REQUEST, 250.0])
    );
    assert_eq!(encode_action(3, Action::Fail(request_id())), json!(["ERROR", 3, REQUEST]));
    assert_eq!(encode_action(3, Action::Timer { delay: 500.0, token: 77 }), json!(["DEFER", 3, 500.0, 77]));
    assert_eq!(encode_action(3, Action::WatchEndpoints), json!(["SUBSCRIBE", 3, true]));
    assert_eq!(encode_action(3, Action::Log("x".into())), json!(["JOURNAL_LINE", 3, "x"]));
}

#[test]
fn instances_are_independent_and_end_with_retire() {
    let mut host = RouterHost::default();
    let begin = |instance: u64| json!(["BEGIN", instance, 9, begin_settings()]);
    let list = |instance: u64| {
        json!(["TARGETS", instance, 1, "whole", [[CACHE, "edge-1", "box", 0, "up", 1, null]]])
    };
    let batch = json!({"now": 5.0, "events": [begin(0), list(0), begin(1),
        ["QUERY", 0, REQUEST, null, null, 0, 900.0, 1, 2, 0, "big"], ["QUERY", 1, REQUEST, null, null, 0, 900.0, 1, 2, 0, "big"]]});
    let reply: Value =
        serde_json::from_str(&host.handle_batch(&batch.to_string()).expect("a reply")).expect("JSON");
    let count = |name: &str, instance: u64| {
        let messages = reply["decisions"].as_array().expect("decisions");
        messages.iter().filter(|m| m[0] == name && m[1] == instance && m[2] == REQUEST).count()
    };
    assert_eq!((count("DELIVER_VIA", 0), count("PUSH_BACK", 0)), (1, 0));
    assert_eq!((count("DELIVER_VIA", 1), count("PUSH_BACK", 1)), (0, 1), "instance 1 has no list");
    assert_eq!(
        host.handle_batch(r#"{"now":6,"events":[["RETIRE",0]]}"#).expect("a reply"),
        r#"{"decisions":[]}"#
    );
    assert!(host.handle_batch(r#"{"now":7,"events":[["EXPIRED",0,"x"]]}"#).is_err(), "instance 0 has ended");
}

/// Runs the adapter with an input; returns its exit code, standard output and standard error.
fn run_adapter(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_basaltgw-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("spawns the adapter");
    // On bad input the adapter may have ended already; writing the rest of the input fails then.
    let _ = child.stdin.take().expect("stdin").write_all(input.as_bytes());
    let out = child.wait_with_output().expect("the adapter's output");
    let text = |b: Vec<u8>| String::from_utf8(b).expect("UTF-8");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

#[test]
fn process_answers_each_line_and_exits_with_success() {
    let (code, output, errors) =
        run_adapter("{\"now\":8412.25,\"events\":[]}\n{\"now\":8412.25,\"events\":[]}\n");
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    assert_eq!(output, "{\"decisions\":[]}\n{\"decisions\":[]}\n");
    assert_eq!(run_adapter("").0, Some(0));
}

#[test]
fn bad_input_is_one_error_with_line_and_field() {
    let begin = json!({"now": 1.0, "events": [["BEGIN", 0, 9, begin_settings()]]}).to_string();
    let cases = [
        ("{\"now\":", "batch"),
        ("[]", "now"),
        ("", "empty line"),
        (r#"{"now":"x","events":[]}"#, "now"),
        (r#"{"now":2,"events":3}"#, "events"),
        (r#"{"now":2,"events":[["NOVEL",0]]}"#, "unknown event"),
        (r#"{"now":2,"events":[["TICK_DUE","x",1]]}"#, "events[0].i"),
        (r#"{"now":2,"events":[["TICK_DUE",0,"x"]]}"#, "events[0].cookie"),
        (r#"{"now":2,"events":[["QUERY",0,"a",null,0,0,"soon",1,2,0,"big"]]}"#, "events[0].budget"),
        (
            r#"{"now":2,"events":[["TARGETS",0,1,"whole",[["a","nowhere","box",0,"up",1,null]]]]}"#,
            "items[0].area",
        ),
        (r#"{"now":2,"events":[["TICK_DUE",8,1]]}"#, "never begun"),
        (r#"{"now":2,"events":[[]]}"#, "name"),
    ];
    for (bad, expected) in cases {
        let (code, output, errors) = run_adapter(&format!("{begin}\n{bad}\n"));
        assert_eq!(code, Some(1), "{bad}");
        assert_eq!(output.lines().count(), 1, "{bad}: only the reply to the first line");
        let is_one_line = errors.lines().count() == 1;
        assert!(errors.contains("line 2") && errors.contains(expected) && is_one_line, "{bad}: {errors}");
        assert!(!errors.contains("panicked"), "{bad}: {errors}");
    }
}
