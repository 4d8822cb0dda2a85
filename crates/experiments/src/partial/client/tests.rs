//! Tests of the check of answers.

use super::*;

const DEADLINE_MS: u64 = 100;

fn record(status: &str, fields: &str, body: &str) -> RequestRecord {
    let answer =
        Answer { at_ms: 5, status: status.into(), fields: fields.into(), body: body.as_bytes().to_vec() };
    RequestRecord {
        router: 0,
        object: 1,
        parts: vec![0, 1],
        continuation: None,
        sent_ms: 0,
        answers: vec![answer],
        lost_ms: None,
    }
}

fn violations(record: &RequestRecord, downtimes: &[Downtime]) -> Vec<String> {
    find_violations(std::slice::from_ref(record), downtimes, DEADLINE_MS)
}

#[test]
fn the_check_finds_each_invalid_answer() {
    let part = |part: u64, version: u64| format!("{:016x}/{part}@{version}", 1);
    let n = part(0, 7).len();
    let both = format!("parts=0:{n}+1:{n}");
    let complete = record("200", &both, &(part(0, 7) + &part(1, 7)));
    let partial = record("206", &format!("parts=0:{n},missing=1,w=5,debt=ab"), &part(0, 7));
    assert_eq!(find_violations(&[complete.clone(), partial.clone()], &[], DEADLINE_MS), Vec::<String>::new());
    let continuation = partial.offered_continuation().map(|c| (c.name, c.missing));
    assert_eq!(continuation, Some(("ab".into(), BTreeSet::from([1]))));
    let answers = [complete.answers.clone(), complete.answers.clone()].concat();
    let twice = RequestRecord { answers, ..complete.clone() };
    let unanswered = RequestRecord { answers: vec![], ..complete.clone() };
    assert!(violations(&unanswered, &[Downtime { router: 0, from_ms: 0, to_ms: 9 }]).is_empty());
    let other_version = Continuation { name: "ab".into(), missing: BTreeSet::from([0, 1]), version: 8 };
    for invalid in [
        twice,
        unanswered,
        RequestRecord { continuation: Some(other_version), ..complete.clone() },
        record("200", &both, &(part(0, 7) + &part(1, 8))),
        record("206", &both, &(part(0, 7) + &part(1, 7))),
        record("200", &format!("parts=0:{n}"), &part(0, 7)),
        record("206", &format!("parts=1:{n},missing=0"), &part(1, 7)),
        record("206", &format!("parts=0:{n},missing=2"), &part(0, 7)),
        record("200", &both, &part(0, 7)),
    ] {
        assert_eq!(violations(&invalid, &[]).len(), 1, "{invalid:?}");
    }
}
