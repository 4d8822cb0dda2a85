//! Tests of the snapshot file: it reads back unchanged, and a damaged one is rejected with the reason.

use super::*;

/// A snapshot with all kinds of entries, and with optional values that are present and absent.
fn sample() -> Snapshot {
    let server = |id: &str, ejected| ServerSnapshot {
        id: ServerId(Arc::from(id)),
        listed_start: Some(5000.0),
        weight_penalty_log: -0.5,
        latency_ratio_log: Some(0.25),
        ejected,
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
    let text = write(&sample(), 10_000.0);
    for end in 0..text.len() {
        assert!(read(&text[..end], 10_000.0, 5000.0).is_err(), "truncated at byte {end}");
    }
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] ^= 1;
        if let Ok(altered) = String::from_utf8(bytes) {
            assert!(read(&altered, 10_000.0, 5000.0).is_err(), "altered at byte {index}");
        }
    }
}

#[test]
fn rejected_file_is_reported_with_its_reason() {
    let text = write(&sample(), 10_000.0);
    let error = |text: &str, now| read(text, now, 5000.0).expect_err("an invalid snapshot").to_string();
    assert!(error(&text, 15_001.0).contains("written 5001 ms ago, at most 5000"));
    assert!(error(&text, 9_999.0).contains("written -1 ms ago"));
    assert!(error(&text.replacen(" 1 ", " 2 ", 1), 10_000.0).contains("of version 2, not 1"));
    let with_header = |body: &str| format!("{FORMAT} {VERSION} {:016x}\n{body}\n", fnv1a(body));
    for (body, field) in [
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
        let message = error(&with_header(body), 10_000.0);
        assert!(message.contains(field), "{message}");
    }
}
