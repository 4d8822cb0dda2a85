//! How a hold moves: forward only, by a pure function of what stands and what is to change.

use crate::{Change, Hold, Kind};

/// The change is none that follows from what stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("what stands does not allow the change")]
pub struct Refused;

/// What stands after a change, or a refusal that leaves what stands.
///
/// # Errors
/// If the change does not follow from what stands; reading is always "refused", so that what stands is told.
pub fn step(at: Option<&Hold>, change: &Change) -> Result<Hold, Refused> {
    let next = match change {
        Change::Take(by) => take(at).map(|turn| Hold::Out { owner: by.clone(), turn }),
        Change::Back(by, turn) => owned(at, by, *turn).then(|| Hold::Free { turn: turn.saturating_add(1) }),
        Change::Done(by, turn, outcome) => owned(at, by, *turn).then(|| Hold::Done(outcome.clone())),
        Change::Doubt(of) => matches!(at, Some(Hold::Out { turn, .. }) if turn == of).then_some(Hold::Doubt),
        Change::Purge { group, object, time } => purge(at, *group, *object, *time),
        Change::Name { server, by } => {
            at.is_none().then(|| Hold::Ticket { server: server.clone(), by: by.clone(), used: false })
        }
        Change::Use => match at {
            Some(Hold::Ticket { server, by, used: false }) => {
                Some(Hold::Ticket { server: server.clone(), by: by.clone(), used: true })
            }
            None | Some(_) => None,
        },
        Change::Owe { object, version, missing } => owes(at, *object, version, missing).then(|| Hold::Debt {
            object: *object,
            version: version.clone(),
            missing: missing.clone(),
        }),
        Change::SetTable { from, body } => {
            let serial = match at {
                None => Some(0),
                Some(Hold::Table { serial, .. }) => Some(*serial),
                Some(_) => None,
            };
            (serial == Some(*from))
                .then(|| Hold::Table { serial: from.saturating_add(1), body: body.clone() })
        }
        Change::Look => None,
        Change::End => at.filter(|at| ends(at)).map(|_| Hold::Ended),
    };
    next.ok_or(Refused)
}

/// True if a change is one for holds of that kind.
pub fn fits(kind: Kind, change: &Change) -> bool {
    match change {
        Change::Take(_) | Change::Back(..) | Change::Done(..) | Change::Doubt(_) => kind == Kind::Effect,
        Change::Purge { .. } => kind == Kind::Purge,
        Change::Name { .. } | Change::Use => kind == Kind::Ticket,
        Change::Owe { .. } => kind == Kind::Debt,
        Change::SetTable { .. } => kind == Kind::Table,
        Change::End => kind != Kind::Table,
        Change::Look => true,
    }
}

/// The turn in which an effect may be taken on.
fn take(at: Option<&Hold>) -> Option<u32> {
    match at {
        None => Some(0),
        Some(Hold::Free { turn }) => Some(*turn),
        Some(_) => None,
    }
}

/// True if it is out with that owner in that turn: nobody else's word counts.
fn owned(at: Option<&Hold>, by: &basaltgw_types::Member, of: u32) -> bool {
    matches!(at, Some(Hold::Out { owner, turn }) if owner == by && *turn == of)
}

/// A purge may be kept from nothing, anew after its end, and for a later cause; the same again stands already.
fn purge(at: Option<&Hold>, group: u64, object: Option<u64>, time: u64) -> Option<Hold> {
    let later = match at {
        None | Some(Hold::Ended) => true,
        Some(Hold::Purged { group: g, object: o, time: t }) => *g == group && *o == object && *t < time,
        Some(_) => false,
    };
    later.then_some(Hold::Purged { group, object, time })
}

/// A debt may begin, or shrink: of the same version of the same object, and with nothing missing that was not before.
fn owes(at: Option<&Hold>, object: u64, version: &str, missing: &[u64]) -> bool {
    match at {
        None => true,
        Some(Hold::Debt { object: o, version: v, missing: before }) => {
            *o == object
                && v.as_ref() == version
                && missing.len() < before.len()
                && missing.iter().all(|part| before.contains(part))
        }
        Some(_) => false,
    }
}

/// What may be cleared away. What is out may run yet, so it must be in doubt first; the table's register never ends.
fn ends(at: &Hold) -> bool {
    match at {
        Hold::Free { .. } | Hold::Done(_) | Hold::Doubt => true,
        Hold::Purged { .. } | Hold::Ticket { .. } | Hold::Debt { .. } => true,
        Hold::Out { .. } | Hold::Table { .. } | Hold::Ended => false,
    }
}

#[cfg(test)]
#[path = "step_tests.rs"]
mod tests;
