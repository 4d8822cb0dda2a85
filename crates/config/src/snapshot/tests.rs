//! Parsing of snapshot files.

use super::*;

fn sample() -> Snapshot {
    let server = |id: &str, out| ServerSnapshot {
        id: ServerId(Arc::from(id)),
        listed_start: Some(5000.0),
        weight_penalty_log: -0.5,
        latency_ratio_log: Some(0.25),
        ejected: out,
        warmup_started: Some(9000.0),
    };
    Snapshot {
        servers: vec![
            server("s-1", true),
            ServerSnapshot { latency_ratio_log: None, warmup_started: None, ..server("s-2", false) },
        ],
        sending_times: vec![SendingTimeSnapshot { class: "pages".into(), mean: 310.0, samples: 20 }],
        purges: vec![
            PurgeSnapshot { target: PurgeTarget::Object(ObjectId(u64::MAX)), purged_at: 8000.0 },
            PurgeSnapshot { target: PurgeTarget::Group(GroupId(7)), purged_at: 7000.0 },
        ],
    }
}

#[test]
fn snapshot_reads_back_unchanged() {
    assert_eq!(read(&write(&sample(), 10_000.0), 12_000.0, 5000.0), Ok(sample()));
}

#[test]
fn truncated_or_altered_file_is_rejected() {
    let whole = write(&sample(), 10_000.0);
    for end in 0..whole.len() {
        assert!(read(&whole[..end], 10_000.0, 5000.0).is_err(), "cut at {end}");
    }
    for at in 0..whole.len() {
        let mut bytes = whole.clone().into_bytes();
        bytes[at] ^= 1;
        if let Ok(text) = String::from_utf8(bytes) {
            assert!(read(&text, 10_000.0, 5000.0).is_err(), "altered at {at}");
        }
    }
}

#[test]
fn rejected_file_is_reported_with_its_reason() {
    let whole = write(&sample(), 10_000.0);
    let fault = |text: &str, now| read(text, now, 5000.0).expect_err("a fault").to_string();
    assert!(fault(&whole, 15_001.0).contains("written 5001 ms ago, at most 5000"));
    assert!(fault(&whole, 9_999.0).contains("written -1 ms ago"));
    assert!(fault(&whole.replacen(" 1 ", " 2 ", 1), 10_000.0).contains("of version 2, not 1"));
    let signed = |rest: &str| format!("{FORMAT} {VERSION} {:016x}\n{rest}\n", fnv1a(rest));
    for (rest, field) in [
        (
            r#"{"written_ms": 9000, "servers": [{"id": "a", "cut": 0.5, "out": false}]}"#,
            "learnt.servers[0].cut",
        ),
        (
            r#"{"written_ms": 9000, "sending": [{"class": "a", "ms": -1, "answers": 1}]}"#,
            "learnt.sending[0].ms",
        ),
        (r#"{"written_ms": 9000, "purges": [{"age_ms": 1}]}"#, "learnt.purges[0].object"),
        (r#"{"servers": []}"#, "learnt.written_ms"),
    ] {
        assert!(fault(&signed(rest), 10_000.0).contains(field), "{}", fault(&signed(rest), 10_000.0));
    }
}
