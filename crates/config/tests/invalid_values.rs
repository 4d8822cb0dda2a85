//! Tests of configurations with one invalid value: each is rejected by that value's key, or the value has no effect on the router. They
//! guard against a value such as 1e300 or -1 that passes the checks and makes a duration or a share negative or infinite later.

use basaltgw::api::*;
use basaltgw::routing::Router;
use basaltgw_config::{parse_config, Environment, RouterConfig, WatchEvent};
use serde_json::{json, Value};
use std::time::Duration;

/// A configuration with every key that is read, each with a valid value.
fn configuration() -> Value {
    let member = |id: &str, port: u16, flavor: &str, area: &str| {
        json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "locality": area, "flavor": flavor, "cell": 2,
               "phase": "SERVING", "size": 2.0, "up_since_ms": 999_000.0})
    };
    json!({
        "name": "n3", "listen": "127.0.0.4:10080", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 8, "sockets": 64},
        "changelog": "127.2.0.1:4222",
        "known": {"seq": 2, "results": [
            {"seq": 1, "fleet": {"revision": 7, "complete": true, "members": [
                member("s-00000001", 1, "std", "east"), member("s-00000002", 2, "std", "east"),
                member("s-00000003", 3, "parent", "hub"), member("s-00000004", 4, "origin", "hub")]}},
            {"seq": 2, "invalidate": {"bucket": 1, "time": 999_990.0}}]},
        "settings": {
            "areas": ["hub", "east"], "my-zone": "east", "kinds": ["std", "parent", "origin"],
            "peers-total": 3, "discovery": "automatic", "weight-kind": "nominal", "granularity": 2.0,
            "services": [
                {"name": "a", "idempotency": "read_like", "key-scope": "all", "slo": 400.0, "aim-stretch": 2.0,
                 "deadline": 5000.0, "window": 100.0, "worth": 1.0, "late-worth": 0.2},
                {"name": "b", "idempotency": "idempotency_key", "key-scope": "all", "slo": 100.0,
                 "aim-stretch": 2.0, "deadline": 90.0, "window": 1000.0, "worth": 1.0, "late-worth": 0.2}],
            "contract": {"cold": 17000.0, "cold-share": 0.24, "drain-grace": 250.0, "fall": 1500.0,
                         "fall-multiple": 4.0},
            "family-info": {"shield-kind": 1, "store-kind": 2, "pass-through-ok": true, "purge-settles": 6000.0,
                            "heed-within": 300.0, "goes-through": [false, false],
                            "lifetime-by-class": [0.0, 8000.0], "class-grace": [0.0, 500.0],
                            "count-by-zone": [0, 3], "zone-hub": [0, 0], "parent-cold-from": 0.1,
                            "upper-cold": 22000.0, "parent-fall-multiple": 2.0, "collapses": true,
                            "lateral": "any", "pace-kb-per-s": 7600.0},
            "limits": {"cancel": true, "try-limit": 8, "parallel-tries": false, "retry-after": true,
                       "max-retry-after": 500.0, "conn-idle": 500.0, "connect-timeout": 20.0,
                       "max-streams": 1, "most-held": 20}
        }
    })
}

/// Collects the JSON pointers of all values in a value, with those of arrays and objects.
fn pointers(v: &Value, outer: &str, all: &mut Vec<String>) {
    let inner: Vec<(String, &Value)> = match v {
        Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(n, v)| (n.to_string(), v)).collect(),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => Vec::new(),
    };
    for (key, v) in inner {
        let pointer = format!("{outer}/{key}");
        all.push(pointer.clone());
        pointers(v, &pointer, all);
    }
}

/// Values of which no key accepts all: out of range, of another type, or empty.
fn unusual_values() -> Vec<Value> {
    let numbers = [-1.0, -0.5, -1e300, 0.0, 1e-300, 0.5, 61.0, 1e13, 1e300, f64::MAX];
    let mut all: Vec<Value> = numbers.iter().map(|n| json!(n)).collect();
    all.extend([
        json!(u64::MAX),
        json!(i64::MIN),
        json!("NaN"),
        json!("inf"),
        json!(""),
        json!(null),
        json!(true),
    ]);
    all.extend([json!([]), json!({}), json!([null]), json!([-1]), json!({"x": 1})]);
    all
}

/// Runs a router with a configuration and checks that its durations, shares and actions are in range.
fn check_router(c: &RouterConfig) -> Result<(), String> {
    let t = &c.transport;
    for (what, ms) in
        [("tick", c.settings.tick), ("connect", t.connect_timeout), ("idle", t.connection_idle_timeout)]
    {
        Duration::try_from_secs_f64(ms / 1000.0).map_err(|e| format!("{what} {ms}: {e}"))?;
    }
    let timeouts_in_range = c.settings.tick <= 1000.0 && (1.0..=60_000.0).contains(&t.connect_timeout);
    let limits_in_range = t.max_streams > 0 && t.max_open_requests > 0 && c.limits.share_of_memory(0.4) > 0;
    if !(timeouts_in_range && limits_in_range) {
        return Err(format!("{t:?} {:?}, tick {}", c.limits, c.settings.tick));
    }
    let mut router = Router::new(c.settings.clone(), c.seed);
    let mut now = 1_000_000.0;
    let mut actions = Vec::new();
    for watch_event in &c.known_events {
        let event = match watch_event {
            WatchEvent::EndpointList { complete, servers } => {
                let update = if *complete { EndpointUpdate::Complete } else { EndpointUpdate::Delta };
                Event::Endpoints { update, entries: servers.iter().map(|s| s.endpoint.clone()).collect() }
            }
            WatchEvent::Purge { object, group, purged_at: time } => {
                Event::Purged { group: *group, object: *object, age: (now - time).max(0.0) }
            }
        };
        router.handle(now, event, &mut actions);
    }
    // Each result with each fill report in turn, with time in between.
    let results = [
        AttemptResult::Served,
        AttemptResult::TimedOut,
        AttemptResult::Rejected,
        AttemptResult::Error,
        AttemptResult::CacheMiss,
        AttemptResult::NoConnection,
    ];
    let fill_reports = [
        FillReport::NotReported,
        FillReport::Hit,
        FillReport::FilledBySource,
        FillReport::SourceRejected,
        FillReport::SourceFailed,
        FillReport::OriginFailed,
    ];
    for n in 0..90usize {
        now += [0.5, 30.0, 300.0][n % 3];
        router.handle(now, Event::Timer(1), &mut actions);
        let id = RequestId(n.to_string().into());
        let object = ObjectId(n as u64 % 5);
        let request = Request {
            id: id.clone(),
            class: Some(ClassId(n % 2)),
            object,
            part: Part(0),
            group: GroupId(1),
            size_kb: [0.0, 90.0, 1e7][n % 3],
            write: n % 7 == 0,
            budget: 4000.0,
        };
        let mut sent = actions.len();
        router.handle(now, Event::Request(request), &mut actions);
        for attempt in 0..6 {
            let started = actions[sent..].iter().find_map(|a| match a {
                Action::StartAttempt(start) => Some(start.clone()),
                _ => None,
            });
            let Some(started) = started else { break };
            sent = actions.len();
            now += 11.0;
            let result = results[(n + attempt) % 6];
            let outcome = Outcome {
                request: id.clone(),
                attempt: AttemptNo(attempt),
                server: started.server,
                result,
                latency: 11.0,
                completes_request: result == AttemptResult::Served,
                fill_report: fill_reports[(n / 2 + attempt) % 6],
                source_wait: 3.0,
                load: LoadReport::default(),
                body_complete: true,
            };
            router.handle(now, Event::Outcome(outcome), &mut actions);
        }
    }
    for action in &actions {
        let in_range = match action {
            Action::StartAttempt(f) => {
                f.timeout > 0.0 && f.timeout <= 4000.0 && f.max_age.is_none_or(|a| a > 0.0)
            }
            Action::Reject { retry_after: ms, .. } => *ms >= 0.0 && *ms <= c.settings.max_retry_after,
            Action::Timer { delay: ms, .. } => *ms > 0.0 && ms.is_finite(),
            Action::CancelAttempt { .. } | Action::Fail(_) | Action::WatchEndpoints | Action::Log(_) => true,
        };
        if !in_range {
            return Err(format!("{action:?}"));
        }
    }
    let snapshot = router.snapshot();
    let finite = |s: &basaltgw::routing::snapshot::ServerSnapshot| {
        s.weight_penalty_log.is_finite() && s.latency_ratio_log.is_none_or(f64::is_finite)
    };
    let sending_finite = snapshot.sending_times.iter().all(|s| s.mean.is_finite());
    match snapshot.servers.iter().find(|s| !finite(s)) {
        Some(s) => Err(format!("{s:?}")),
        None if !sending_finite => Err(format!("{:?}", snapshot.sending_times)),
        None => Ok(()),
    }
}

/// Whether a message names the key at a pointer or a key within it; indexes of arrays are not compared.
fn names_key(message: &str, pointer: &str) -> bool {
    let keys: Vec<&str> =
        pointer.split('/').filter(|k| !k.is_empty() && k.parse::<usize>().is_err()).collect();
    let field = message.strip_prefix("field ").and_then(|m| m.split_once(": ")).map_or("", |m| m.0);
    let named: Vec<&str> = field.split('.').map(|k| k.split('[').next().unwrap_or_default()).collect();
    named.starts_with(&keys)
}

#[test]
fn invalid_value_is_rejected_by_key_or_has_no_effect() {
    let valid = configuration();
    let parsed = parse_config(&valid, &Environment::default()).expect("a valid configuration");
    assert_eq!(check_router(&parsed), Ok(()));
    assert!(parsed.undecodable_events.is_empty());
    let mut all = Vec::new();
    pointers(&valid, "", &mut all);
    let (mut tried, mut rejected, mut violations) = (0, 0, Vec::new());
    for pointer in &all {
        let mut changed: Vec<(String, Value)> = unusual_values()
            .into_iter()
            .map(|value| {
                let mut config = valid.clone();
                *config.pointer_mut(pointer).expect("a key") = value.clone();
                (value.to_string(), config)
            })
            .collect();
        let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
        let mut without = valid.clone();
        if let Some(Value::Object(map)) = without.pointer_mut(parent) {
            map.remove(key);
            changed.push(("nothing".into(), without));
        }
        for (value, config) in changed {
            tried += 1;
            let message = match parse_config(&config, &Environment::default()) {
                Ok(c) if c.undecodable_events.is_empty() => {
                    if let Err(violation) = check_router(&c) {
                        violations.push(format!(
                            "{pointer} = {value} is accepted, and the router has: {violation}"
                        ));
                    }
                    continue;
                }
                // An event that can't be decoded is left out, and its error is reported.
                Ok(c) => c.undecodable_events[0].to_string(),
                Err(e) => e.to_string(),
            };
            rejected += 1;
            // If a list of names changes, the error may be at a key that uses one of them. An event without `fleet` and `invalidate` is
            // rejected with an error at `fleet`.
            let name_lists = ["/settings/areas", "/settings/kinds", "/settings/services"];
            let used_elsewhere =
                pointer == "/settings" || name_lists.iter().any(|list| pointer.starts_with(list));
            let no_kind = message.ends_with("expected `fleet` or `invalidate`");
            if !names_key(&message, pointer) && !used_elsewhere && !no_kind {
                violations.push(format!("{pointer} = {value}: {message}"));
            }
        }
    }
    assert!(violations.is_empty(), "{} of {tried}:\n{}", violations.len(), violations.join("\n"));
    assert!(rejected > 500 && tried - rejected > 200, "{rejected} of {tried} rejected");
}

#[test]
fn invalid_value_is_rejected_with_what_was_expected() {
    for (pointer, value, expected) in [
        ("/settings/granularity", json!(1e300), "granularity: expected 0 to 1000, found 1e300"),
        (
            "/settings/my-zone",
            json!("eats"),
            "settings.my-zone: expected one of settings.areas, found \"eats\"",
        ),
        (
            "/settings/family-info/shield-kind",
            json!(7),
            "shield-kind: expected -1 or an index of the 3 settings.kinds, found 7",
        ),
        (
            "/settings/family-info/store-kind",
            json!(1.5),
            "store-kind: expected -1 or an index of the 3 settings.kinds, found 1.5",
        ),
        (
            "/settings/family-info/zone-hub",
            json!([0, 2]),
            "zone-hub: expected indexes of settings.areas, found 2",
        ),
        ("/settings/family-info/pace-kb-per-s", json!(1e-300), "pace-kb-per-s: expected 1 to"),
        ("/settings/family-info/upper-cold", json!(1e15), "upper-cold: expected 1000000000000 or less"),
        (
            "/settings/limits/connect-timeout",
            json!(-5.0),
            "limits.connect-timeout: expected 1 to 60000, found -5",
        ),
        (
            "/settings/limits/connect-timeout",
            json!(0),
            "limits.connect-timeout: expected 1 to 60000, found 0",
        ),
        ("/settings/limits/conn-idle", json!(-1.0), "limits.conn-idle: expected 0 or more, found -1"),
        ("/limits/memory_mb", json!(0), "limits.memory_mb: expected 1 or more, found 0"),
    ] {
        let mut config = configuration();
        *config.pointer_mut(pointer).expect("a key") = value;
        let message = parse_config(&config, &Environment::default()).expect_err(pointer).to_string();
        assert!(message.contains(expected), "{message}");
    }
    // A class without a deadline, or with a deadline of 0, has the longest deadline.
    for deadline in [json!(null), json!(0)] {
        let mut config = configuration();
        config["settings"]["services"][0]["deadline"] = deadline;
        let parsed = parse_config(&config, &Environment::default()).expect("a configuration");
        assert_eq!(parsed.settings.classes[0].deadline, 600_000.0);
    }
}
