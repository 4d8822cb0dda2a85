use super::*;
use crate::Outcome;
use basaltgw_types::{Incarnation, Member, RouterId};
use std::sync::Arc;

fn member(n: u128) -> Member {
    Member { router: RouterId(Arc::from("r")), incarnation: Incarnation(n) }
}

fn records() -> Vec<Record> {
    let leased = |n, term| Record::Leased { owner: member(n), term };
    let continuation = |missing: &[u64]| Record::Continuation {
        object: 1,
        version: Arc::from("v"),
        missing: missing.to_vec(),
    };
    let ticket = |used| Record::Ticket { server: Arc::from("s"), by: RouterId(Arc::from("r")), used };
    vec![
        leased(1, 0),
        leased(2, 0),
        leased(1, 1),
        Record::Released { term: 1 },
        Record::Completed(Outcome::Failed),
        Record::OutcomeUnknown,
        Record::Purged { group: 1, object: None, time: 5 },
        ticket(false),
        ticket(true),
        continuation(&[1, 2]),
        continuation(&[2]),
        Record::Table { serial: 1, body: vec![1] },
        Record::Tombstone,
    ]
}

fn changes() -> Vec<Change> {
    let set_continuation = |missing: &[u64]| Change::SetContinuation {
        object: 1,
        version: Arc::from("v"),
        missing: missing.to_vec(),
    };
    let purge = |time| Change::Purge { group: 1, object: None, time };
    vec![
        Change::Acquire(member(1)),
        Change::Acquire(member(2)),
        Change::Release(member(1), 0),
        Change::Release(member(2), 0),
        Change::Complete(member(1), 0, Outcome::Failed),
        Change::Complete(member(1), 1, Outcome::ServedBodyOmitted),
        Change::MarkOutcomeUnknown(0),
        Change::MarkOutcomeUnknown(1),
        purge(5),
        purge(6),
        Change::IssueTicket { server: Arc::from("s"), by: RouterId(Arc::from("r")) },
        Change::UseTicket,
        set_continuation(&[1, 2]),
        set_continuation(&[2]),
        set_continuation(&[1]),
        set_continuation(&[3]),
        Change::SetTable { from: 0, body: vec![2] },
        Change::SetTable { from: 1, body: vec![2] },
        Change::Read,
        Change::Expire,
    ]
}

/// The whole transition table: for each record, the indexes in [`changes`] of the changes that apply.
#[test]
fn each_record_allows_exactly_the_listed_changes() {
    let allowed = |current: Option<&Record>| -> Vec<usize> {
        let all = changes();
        (0..all.len()).filter(|i| transition(current, &all[*i]).is_ok()).collect()
    };
    assert_eq!(allowed(None), [0, 1, 8, 9, 10, 12, 13, 14, 15, 16]);
    let rows: [&[usize]; 13] = [
        &[2, 4, 6],    // leased by 1, term 0
        &[3, 6],       // leased by 2, term 0
        &[5, 7],       // leased by 1, term 1
        &[0, 1, 19],   // released
        &[19],         // completed
        &[19],         // outcome unknown
        &[9, 19],      // purged: at a later time only
        &[11, 19],     // a ticket
        &[19],         // a used ticket
        &[13, 14, 19], // a continuation: fewer parts only
        &[19],         // a continuation of one part
        &[17],         // the table at serial 1
        &[8, 9],       // a tombstone: only a purge may replace it
    ];
    for (record, row) in records().iter().zip(rows) {
        assert_eq!(allowed(Some(record)), row, "{record:?}");
    }
}

#[test]
fn records_only_move_forward_except_a_purge_after_its_tombstone() {
    // Outcomes are final, and terms only grow.
    let progress = |record: &Record| match record {
        Record::Leased { term, .. } => 2 * u64::from(*term),
        Record::Released { term } => 2 * u64::from(*term) - 1,
        Record::Completed(_) | Record::OutcomeUnknown => 1 << 40,
        Record::Purged { time, .. } => *time,
        Record::Ticket { used, .. } => u64::from(*used),
        Record::Continuation { missing, .. } => 10 - missing.len() as u64,
        Record::Table { serial, .. } => *serial,
        Record::Tombstone => 1 << 41,
    };
    for record in records() {
        for change in changes() {
            if let Ok(next) = transition(Some(&record), &change) {
                let replaces_tombstone = record == Record::Tombstone && matches!(next, Record::Purged { .. });
                assert!(
                    replaces_tombstone || progress(&next) > progress(&record),
                    "{record:?} {change:?} {next:?}"
                );
            }
        }
    }
}

#[test]
fn each_change_applies_to_one_kind_except_read_and_expire() {
    let kinds = [Kind::Execution, Kind::Purge, Kind::Ticket, Kind::Continuation, Kind::Table];
    for change in changes() {
        let applicable = kinds.iter().filter(|kind| applies_to(**kind, &change)).count();
        let expected = match change {
            Change::Read => 5,
            Change::Expire => 4,
            Change::Acquire(_)
            | Change::Release(..)
            | Change::Complete(..)
            | Change::MarkOutcomeUnknown(_)
            | Change::Purge { .. } => 1,
            Change::IssueTicket { .. }
            | Change::UseTicket
            | Change::SetContinuation { .. }
            | Change::SetTable { .. } => 1,
        };
        assert_eq!(applicable, expected, "{change:?}");
    }
}
