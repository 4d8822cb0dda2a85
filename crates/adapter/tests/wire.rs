//! The wire, both ways, and bad input.

use basaltgw::api::*;
use basaltgw_adapter::{action, event, settings, Host, Message, Names};
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Stdio};
use std::sync::Arc;

fn start() -> Value {
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

fn names() -> Names {
    settings(&start()).expect("settings").0
}

fn read(v: Value) -> Result<Option<Event>, String> {
    event(&Message::new(&v).map_err(|e| e.to_string())?, &names()).map_err(|e| e.to_string())
}

fn rid() -> RequestId {
    RequestId(Arc::from("5d3a91c4-b7d2-4fd7-a9d2-afa6fcacb40e"))
}

const R: &str = "5d3a91c4-b7d2-4fd7-a9d2-afa6fcacb40e";
const C: &str = "10.18.74.7:9003";

fn cache() -> ServerId {
    ServerId(Arc::from(C))
}

#[test]
fn settings_are_typed_and_unknown_keys_ignored() {
    let (_, s) = settings(&start()).expect("settings");
    assert_eq!((s.zone, s.zone_routers, s.routers), (ZoneId(1), 2, 3));
    assert_eq!(s.classes[0].idempotency, Idempotency::Idempotent);
    assert_eq!((s.classes[1].idempotency, s.classes[1].uncacheable), (Idempotency::NonIdempotent, true));
    assert_eq!((s.classes[1].fresh_for, s.classes[1].latency_objective_stretch), (8000.0, 0.0));
    assert_eq!((s.edge_slow_start.initial_share, s.edge_slow_start.overload_window), (0.24, 1500.0));
    assert_eq!((s.peer_fill, s.direct_to_parents, s.fill_joining), (PeerFill::Any, true, false));
    assert!(!s.must_watch_endpoints && !s.dynamic_weights);
    let (_, bare) = settings(&json!({})).expect("an empty object");
    assert_eq!((bare.routers, bare.max_attempts, bare.hedging), (1, 1, false));
    let mut watching = start();
    watching["discovery"] = json!("subscribe");
    watching["weight-kind"] = json!("live");
    let (_, s) = settings(&watching).expect("settings");
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
            [C, "edge-1", "box", 2, "up", 1.5, null],
            ["p:1", "hub", "parent", 0, "draining", 1, 6100.0],
            ["o:1", "hub", "origin", 0, "removed", 1, 0]
        ]
    ]);
    let Ok(Some(Event::Endpoints { update: EndpointUpdate::Complete, entries })) = read(list) else {
        panic!("a list")
    };
    assert_eq!((entries[0].id.clone(), entries[0].role, entries[0].cell), (cache(), Role::Edge, 2));
    assert_eq!(
        (entries[1].role, entries[1].state, entries[1].started),
        (Role::Parent, EndpointState::Draining, Some(6100.0))
    );
    assert_eq!(
        (entries[2].role, entries[2].state, entries[2].started),
        (Role::Origin, EndpointState::Removed, None)
    );
    let patch = read(json!(["TARGETS", 3, 42, "patch", []]));
    assert_eq!(patch, Ok(Some(Event::Endpoints { update: EndpointUpdate::Delta, entries: vec![] })));
    assert_eq!(
        read(json!(["TARGETS", 3, 42, "broken"])),
        Ok(Some(Event::Endpoints { update: EndpointUpdate::Failed, entries: vec![] }))
    );
    let query = read(json!(["QUERY", 3, R, null, 640, 5, 240.0, 11, 4569004829183723u64, 3, "big"]));
    let expected = Request {
        id: rid(),
        class: Some(ClassId(0)),
        object: ObjectId(4569004829183723),
        part: Part(3),
        group: GroupId(11),
        size_kb: 640.0,
        write: true,
        budget: 240.0,
    };
    assert_eq!(query, Ok(Some(Event::Request(expected))));
    let Ok(Some(Event::Request(r))) = read(json!(["QUERY", 3, R, null, null, 0, 9, null, null, null, "new"]))
    else {
        panic!("a request of an unknown class")
    };
    assert_eq!((r.class, r.size_kb, r.object), (None, 0.0, ObjectId(0)));
    assert_eq!(
        read(json!(["FLOWING", 3, R, 1, C, 9.25])),
        Ok(Some(Event::ResponseStarted { request: rid(), attempt: AttemptNo(1) }))
    );
    let done = json!(["FINISHED", 3, R, 2, C, "GOOD", 18.5, true, 2, 9.4, {"busy": 0.62, "rif": 7, "x0": 0.4, "x1": 2}]);
    let expected = Outcome {
        request: rid(),
        attempt: AttemptNo(2),
        server: cache(),
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
    assert_eq!(read(done), Ok(Some(Event::Outcome(expected))));
    assert_eq!(read(json!(["EXPIRED", 3, R])), Ok(Some(Event::ClientDisconnected(rid()))));
    assert_eq!(read(json!(["TICK_DUE", 3, 77])), Ok(Some(Event::Timer(77))));
    let purge = |o| Ok(Some(Event::Purged { group: GroupId(11), object: o, age: 85.0 }));
    assert_eq!(read(json!(["VOIDED", 3, 11, 85.0, 534015773185u64])), purge(Some(ObjectId(534015773185))));
    assert_eq!(read(json!(["VOIDED", 3, 11, 85.0])), purge(None));
    assert_eq!(read(json!(["VOIDED", 3, 11, 85.0, 0])), purge(None));
    assert_eq!(read(json!(["MEMO", 3, 2, "hi"])), Ok(None));
}

#[test]
fn every_result_and_fill_report_is_decoded() {
    let ends = ["GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP", "MISS"];
    let mut decoded = Vec::new();
    for (n, code) in ends.iter().enumerate() {
        let v = json!(["FINISHED", 3, R, 0, C, code, 1.0, false, n, 0.0, null]);
        let Ok(Some(Event::Outcome(o))) = read(v) else { panic!("{code}") };
        assert!(!decoded.contains(&(o.result, o.fill_report)));
        decoded.push((o.result, o.fill_report));
    }
    assert!(read(json!(["FINISHED", 3, R, 0, C, "WHAT", 1.0, false])).is_err());
    assert!(read(json!(["FINISHED", 3, R, 0, C, "BAD", 1.0, false, 11])).is_err());
}

#[test]
fn every_action_is_encoded_with_its_ids_unchanged() {
    let attempt = |join_fill, cached_only, revalidate| AttemptSpec {
        start_before: f64::INFINITY,
        request: rid(),
        server: cache(),
        timeout: 900.0,
        fill_source: ServerId(Arc::from("p:1")),
        rank: Rank::Top,
        max_age: Some(1500.0),
        join_fill,
        cached_only,
        revalidate,
    };
    let written = action(3, Action::StartAttempt(attempt(true, false, true)));
    assert_eq!(written, json!(["DELIVER_VIA", 3, R, C, 900.0, "p:1", 3, 1500.0, 9]));
    let plain = AttemptSpec { max_age: None, rank: Rank::Low, ..attempt(false, true, false) };
    assert_eq!(
        action(3, Action::StartAttempt(plain)),
        json!(["DELIVER_VIA", 3, R, C, 900.0, "p:1", 1, 0.0, 2])
    );
    assert_eq!(
        action(3, Action::CancelAttempt { request: rid(), attempt: AttemptNo(4) }),
        json!(["DROP_ATTEMPT", 3, R, 4])
    );
    assert_eq!(
        action(3, Action::Reject { request: rid(), retry_after: 250.0 }),
        json!(["PUSH_BACK", 3, R, 250.0])
    );
    assert_eq!(action(3, Action::Fail(rid())), json!(["ERROR", 3, R]));
    assert_eq!(action(3, Action::Timer { delay: 500.0, token: 77 }), json!(["DEFER", 3, 500.0, 77]));
    assert_eq!(action(3, Action::WatchEndpoints), json!(["SUBSCRIBE", 3, true]));
    assert_eq!(action(3, Action::Log("x".into())), json!(["JOURNAL_LINE", 3, "x"]));
}

#[test]
fn instances_are_independent_and_end_with_retire() {
    let mut host = Host::default();
    let begin = |i: u64| json!(["BEGIN", i, 9, start()]);
    let list = |i: u64| json!(["TARGETS", i, 1, "whole", [[C, "edge-1", "box", 0, "up", 1, null]]]);
    let batch = json!({"now": 5.0, "events": [begin(0), list(0), begin(1),
        ["QUERY", 0, R, null, null, 0, 900.0, 1, 2, 0, "big"], ["QUERY", 1, R, null, null, 0, 900.0, 1, 2, 0, "big"]]});
    let reply: Value = serde_json::from_str(&host.batch(&batch.to_string()).expect("a reply")).expect("JSON");
    let of = |name: &str, i: u64| {
        let all = reply["decisions"].as_array().expect("decisions");
        all.iter().filter(|d| d[0] == name && d[1] == i && d[2] == R).count()
    };
    assert_eq!((of("DELIVER_VIA", 0), of("PUSH_BACK", 0)), (1, 0));
    assert_eq!((of("DELIVER_VIA", 1), of("PUSH_BACK", 1)), (0, 1), "instance 1 knows no server");
    assert_eq!(host.batch(r#"{"now":6,"events":[["RETIRE",0]]}"#).expect("a reply"), r#"{"decisions":[]}"#);
    assert!(host.batch(r#"{"now":7,"events":[["EXPIRED",0,"x"]]}"#).is_err(), "never begun again");
}

fn run(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_basaltgw-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter");
    // It may have ended already on bad input; then the rest of the input is not wanted.
    let _ = child.stdin.take().expect("stdin").write_all(input.as_bytes());
    let out = child.wait_with_output().expect("its end");
    let text = |b: Vec<u8>| String::from_utf8(b).expect("UTF-8");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

#[test]
fn process_answers_each_line_and_exits_with_success() {
    let (code, out, err) = run("{\"now\":8412.25,\"events\":[]}\n{\"now\":8412.25,\"events\":[]}\n");
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert_eq!(out, "{\"decisions\":[]}\n{\"decisions\":[]}\n");
    assert_eq!(run("").0, Some(0));
}

#[test]
fn bad_input_is_one_error_with_line_and_field() {
    let begin = json!({"now": 1.0, "events": [["BEGIN", 0, 9, start()]]}).to_string();
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
    for (bad, field) in cases {
        let (code, out, err) = run(&format!("{begin}\n{bad}\n"));
        assert_eq!(code, Some(1), "{bad}");
        assert_eq!(out.lines().count(), 1, "{bad}: only the reply to the first line");
        assert!(err.contains("line 2") && err.contains(field) && err.lines().count() == 1, "{bad}: {err}");
        assert!(!err.contains("panicked"));
    }
}
