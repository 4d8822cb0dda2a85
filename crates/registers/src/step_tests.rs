use super::*;
use crate::Outcome;
use basaltgw_types::{Incarnation, Member, RouterId};
use std::sync::Arc;

fn member(n: u128) -> Member {
    Member { router: RouterId(Arc::from("r")), incarnation: Incarnation(n) }
}

fn holds() -> Vec<Hold> {
    let out = |n, turn| Hold::Out { owner: member(n), turn };
    let debt = |missing: &[u64]| Hold::Debt { object: 1, version: Arc::from("v"), missing: missing.to_vec() };
    let ticket = |used| Hold::Ticket { server: Arc::from("s"), by: RouterId(Arc::from("r")), used };
    vec![
        out(1, 0),
        out(2, 0),
        out(1, 1),
        Hold::Free { turn: 1 },
        Hold::Done(Outcome::Failed),
        Hold::Doubt,
        Hold::Purged { group: 1, object: None, time: 5 },
        ticket(false),
        ticket(true),
        debt(&[1, 2]),
        debt(&[2]),
        Hold::Table { serial: 1, body: vec![1] },
        Hold::Ended,
    ]
}

fn changes() -> Vec<Change> {
    let owe = |missing: &[u64]| Change::Owe { object: 1, version: Arc::from("v"), missing: missing.to_vec() };
    let purge = |time| Change::Purge { group: 1, object: None, time };
    vec![
        Change::Take(member(1)),
        Change::Take(member(2)),
        Change::Back(member(1), 0),
        Change::Back(member(2), 0),
        Change::Done(member(1), 0, Outcome::Failed),
        Change::Done(member(1), 1, Outcome::ServedUntold),
        Change::Doubt(0),
        Change::Doubt(1),
        purge(5),
        purge(6),
        Change::Name { server: Arc::from("s"), by: RouterId(Arc::from("r")) },
        Change::Use,
        owe(&[1, 2]),
        owe(&[2]),
        owe(&[1]),
        owe(&[3]),
        Change::SetTable { from: 0, body: vec![2] },
        Change::SetTable { from: 1, body: vec![2] },
        Change::Look,
        Change::End,
    ]
}

/// The whole table, a row for each hold: which changes it allows, by their place in [`changes`].
#[test]
fn each_change_follows_from_what_it_may_and_from_nothing_else() {
    let allowed = |at: Option<&Hold>| -> Vec<usize> {
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
    let rank = |hold: &Hold| match hold {
        Hold::Out { turn, .. } => 2 * u64::from(*turn),
        Hold::Free { turn } => 2 * u64::from(*turn) - 1,
        Hold::Done(_) | Hold::Doubt => 1 << 40,
        Hold::Purged { time, .. } => *time,
        Hold::Ticket { used, .. } => u64::from(*used),
        Hold::Debt { missing, .. } => 10 - missing.len() as u64,
        Hold::Table { serial, .. } => *serial,
        Hold::Ended => 1 << 41,
    };
    for hold in holds() {
        for change in changes() {
            if let Ok(next) = step(Some(&hold), &change) {
                let again = hold == Hold::Ended && matches!(next, Hold::Purged { .. });
                assert!(again || rank(&next) > rank(&hold), "{hold:?} {change:?} {next:?}");
            }
        }
    }
}

#[test]
fn each_change_is_of_one_kind() {
    let kinds = [Kind::Effect, Kind::Purge, Kind::Ticket, Kind::Debt, Kind::Table];
    for change in changes() {
        let fit = kinds.iter().filter(|kind| fits(**kind, &change)).count();
        let expected = match change {
            Change::Look => 5,
            Change::End => 4,
            Change::Take(_)
            | Change::Back(..)
            | Change::Done(..)
            | Change::Doubt(_)
            | Change::Purge { .. } => 1,
            Change::Name { .. } | Change::Use | Change::Owe { .. } | Change::SetTable { .. } => 1,
        };
        assert_eq!(fit, expected, "{change:?}");
    }
}
