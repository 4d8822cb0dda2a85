use super::*;
use crate::Outcome;
use basaltgw_types::{Incarnation, Member, RouterId};
use std::sync::Arc;

fn member(n: u128) -> Member {
    Member { router: RouterId(Arc::from("r")), incarnation: Incarnation(n) }
}

fn holds() -> Vec<Record> {
    let out = |n, turn| Record::Leased { owner: member(n), term: turn };
    let debt = |missing: &[u64]| Record::Continuation {
        object: 1,
        version: Arc::from("v"),
        missing: missing.to_vec(),
    };
    let ticket = |used| Record::Ticket { server: Arc::from("s"), by: RouterId(Arc::from("r")), used };
    vec![
        out(1, 0),
        out(2, 0),
        out(1, 1),
        Record::Released { term: 1 },
        Record::Completed(Outcome::Failed),
        Record::OutcomeUnknown,
        Record::Purged { group: 1, object: None, time: 5 },
        ticket(false),
        ticket(true),
        debt(&[1, 2]),
        debt(&[2]),
        Record::Table { serial: 1, body: vec![1] },
        Record::Tombstone,
    ]
}

fn changes() -> Vec<Change> {
    let owe = |missing: &[u64]| Change::SetContinuation {
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
        owe(&[1, 2]),
        owe(&[2]),
        owe(&[1]),
        owe(&[3]),
        Change::SetTable { from: 0, body: vec![2] },
        Change::SetTable { from: 1, body: vec![2] },
        Change::Read,
        Change::Expire,
    ]
}

/// The whole table, a row for each hold: which changes it allows, by their place in [`changes`].
#[test]
fn each_change_follows_from_what_it_may_and_from_nothing_else() {
    let allowed = |at: Option<&Record>| -> Vec<usize> {
        let all = changes();
        (0..all.len()).filter(|i| step(at, &all[*i]).is_ok()).collect()
    };
    assert_eq!(allowed(None), [0, 1, 8, 9, 10, 12, 13, 14, 15, 16]);
    let rows: [&[usize]; 13] = [
        &[2, 4, 6],    // out with 1, turn 0
        &[3, 6],       // out with 2, turn 0
        &[5, 7],       // out with 1, turn 1
        &[0, 1, 19],   // free
        &[19],         // done
        &[19],         // in doubt
        &[9, 19],      // purged: for a later cause only
        &[11, 19],     // a ticket
        &[19],         // a used one
        &[13, 14, 19], // a debt: for fewer parts only
        &[19],         // a debt of one part
        &[17],         // the table at 1
        &[8, 9],       // ended: only a purge may begin again
    ];
    for (hold, row) in holds().iter().zip(rows) {
        assert_eq!(allowed(Some(hold)), row, "{hold:?}");
    }
}

#[test]
fn nothing_but_a_purge_comes_back_from_its_end() {
    // Whatever is done in whatever order, an effect ends as it ended, and turns only grow.
    let rank = |hold: &Record| match hold {
        Record::Leased { term: turn, .. } => 2 * u64::from(*turn),
        Record::Released { term: turn } => 2 * u64::from(*turn) - 1,
        Record::Completed(_) | Record::OutcomeUnknown => 1 << 40,
        Record::Purged { time, .. } => *time,
        Record::Ticket { used, .. } => u64::from(*used),
        Record::Continuation { missing, .. } => 10 - missing.len() as u64,
        Record::Table { serial, .. } => *serial,
        Record::Tombstone => 1 << 41,
    };
    for hold in holds() {
        for change in changes() {
            if let Ok(next) = step(Some(&hold), &change) {
                let again = hold == Record::Tombstone && matches!(next, Record::Purged { .. });
                assert!(again || rank(&next) > rank(&hold), "{hold:?} {change:?} {next:?}");
            }
        }
    }
}

#[test]
fn each_change_is_of_one_kind() {
    let kinds = [Kind::Execution, Kind::Purge, Kind::Ticket, Kind::Continuation, Kind::Table];
    for change in changes() {
        let fit = kinds.iter().filter(|kind| fits(**kind, &change)).count();
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
        assert_eq!(fit, expected, "{change:?}");
    }
}
