//! How a hold moves: forward only, by a pure function of what stands and what is to change.

use crate::{Change, Kind, Record};

/// The change is none that follows from what stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("what stands does not allow the change")]
pub struct Refused;

/// What stands after a change, or a refusal that leaves what stands.
///
/// # Errors
/// If the change does not follow from what stands; reading is always "refused", so that what stands is told.
pub fn step(at: Option<&Record>, change: &Change) -> Result<Record, Refused> {
    let next = match change {
        Change::Acquire(by) => take(at).map(|turn| Record::Leased { owner: by.clone(), term: turn }),
        Change::Release(by, turn) => {
            owned(at, by, *turn).then(|| Record::Released { term: turn.saturating_add(1) })
        }
        Change::Complete(by, turn, outcome) => {
            owned(at, by, *turn).then(|| Record::Completed(outcome.clone()))
        }
        Change::MarkOutcomeUnknown(of) => matches!(at, Some(Record::Leased { term: turn, .. }) if turn == of)
            .then_some(Record::OutcomeUnknown),
        Change::Purge { group, object, time } => purge(at, *group, *object, *time),
        Change::IssueTicket { server, by } => {
            at.is_none().then(|| Record::Ticket { server: server.clone(), by: by.clone(), used: false })
        }
        Change::UseTicket => match at {
            Some(Record::Ticket { server, by, used: false }) => {
                Some(Record::Ticket { server: server.clone(), by: by.clone(), used: true })
            }
            None | Some(_) => None,
        },
        Change::SetContinuation { object, version, missing } => {
            owes(at, *object, version, missing).then(|| Record::Continuation {
                object: *object,
                version: version.clone(),
                missing: missing.clone(),
            })
        }
        Change::SetTable { from, body } => {
            let serial = match at {
                None => Some(0),
                Some(Record::Table { serial, .. }) => Some(*serial),
                Some(_) => None,
            };
            (serial == Some(*from))
                .then(|| Record::Table { serial: from.saturating_add(1), body: body.clone() })
        }
        Change::Read => None,
        Change::Expire => at.filter(|at| ends(at)).map(|_| Record::Tombstone),
    };
    next.ok_or(Refused)
}

/// True if a change is one for holds of that kind.
pub fn fits(kind: Kind, change: &Change) -> bool {
    match change {
        Change::Acquire(_) | Change::Release(..) | Change::Complete(..) | Change::MarkOutcomeUnknown(_) => {
            kind == Kind::Execution
        }
        Change::Purge { .. } => kind == Kind::Purge,
        Change::IssueTicket { .. } | Change::UseTicket => kind == Kind::Ticket,
        Change::SetContinuation { .. } => kind == Kind::Continuation,
        Change::SetTable { .. } => kind == Kind::Table,
        Change::Expire => kind != Kind::Table,
        Change::Read => true,
    }
}

/// The turn in which an effect may be taken on.
fn take(at: Option<&Record>) -> Option<u32> {
    match at {
        None => Some(0),
        Some(Record::Released { term: turn }) => Some(*turn),
        Some(_) => None,
    }
}

/// True if it is out with that owner in that turn: nobody else's word counts.
fn owned(at: Option<&Record>, by: &basaltgw_types::Member, of: u32) -> bool {
    matches!(at, Some(Record::Leased { owner, term: turn }) if owner == by && *turn == of)
}

/// A purge may be kept from nothing, anew after its end, and for a later cause; the same again stands already.
fn purge(at: Option<&Record>, group: u64, object: Option<u64>, time: u64) -> Option<Record> {
    let later = match at {
        None | Some(Record::Tombstone) => true,
        Some(Record::Purged { group: g, object: o, time: t }) => *g == group && *o == object && *t < time,
        Some(_) => false,
    };
    later.then_some(Record::Purged { group, object, time })
}

/// A debt may begin, or shrink: of the same version of the same object, and with nothing missing that was not before.
fn owes(at: Option<&Record>, object: u64, version: &str, missing: &[u64]) -> bool {
    match at {
        None => true,
        Some(Record::Continuation { object: o, version: v, missing: before }) => {
            *o == object
                && v.as_ref() == version
                && missing.len() < before.len()
                && missing.iter().all(|part| before.contains(part))
        }
        Some(_) => false,
    }
}

/// What may be cleared away. What is out may run yet, so it must be in doubt first; the table's register never ends.
fn ends(at: &Record) -> bool {
    match at {
        Record::Released { .. } | Record::Completed(_) | Record::OutcomeUnknown => true,
        Record::Purged { .. } | Record::Ticket { .. } | Record::Continuation { .. } => true,
        Record::Leased { .. } | Record::Table { .. } | Record::Tombstone => false,
    }
}

#[cfg(test)]
#[path = "step_tests.rs"]
mod tests;
