//! The state machine of records: which change applies to which record, and the record that results.
//!
//! A pure function of the present record and the change. Records only move forward: an execution that is completed, or whose outcome is
//! unknown, remains so; terms, serials and purge times only grow; missing parts only shrink. A tombstone is final, except that a purge may be stored anew.

use crate::{Change, Kind, Record};
use basaltgw_types::Member;

/// The change does not apply to the present record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the present record does not allow the change")]
pub struct InvalidTransition;

/// The record after a change of the present one (`None`: there is no record).
///
/// # Errors
/// If the change does not apply. [`Change::Read`] never applies, so that a reader gets the present record.
pub fn transition(current: Option<&Record>, change: &Change) -> Result<Record, InvalidTransition> {
    let next = match change {
        Change::Acquire(owner) => {
            next_term(current).map(|term| Record::Leased { owner: owner.clone(), term })
        }
        Change::Release(owner, term) => {
            is_leased_by(current, owner, *term).then(|| Record::Released { term: term.saturating_add(1) })
        }
        Change::Complete(owner, term, outcome) => {
            is_leased_by(current, owner, *term).then(|| Record::Completed(outcome.clone()))
        }
        Change::MarkOutcomeUnknown(of) => matches!(current, Some(Record::Leased { term, .. }) if term == of)
            .then_some(Record::OutcomeUnknown),
        Change::Purge { group, object, time } => purge(current, *group, *object, *time),
        Change::IssueTicket { server, by } => {
            current.is_none().then(|| Record::Ticket { server: server.clone(), by: by.clone(), used: false })
        }
        Change::UseTicket => use_ticket(current),
        Change::SetContinuation { object, version, missing } => {
            may_set_continuation(current, *object, version, missing).then(|| Record::Continuation {
                object: *object,
                version: version.clone(),
                missing: missing.clone(),
            })
        }
        Change::SetTable { from, body } => (table_serial(current) == Some(*from))
            .then(|| Record::Table { serial: from.saturating_add(1), body: body.clone() }),
        Change::Read => None,
        Change::Expire => current.filter(|record| may_expire(record)).map(|_| Record::Tombstone),
    };
    next.ok_or(InvalidTransition)
}

/// True if a change is one for records of that kind.
pub fn applies_to(kind: Kind, change: &Change) -> bool {
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

/// The term of the next lease, if the execution may be acquired.
fn next_term(current: Option<&Record>) -> Option<u32> {
    match current {
        None => Some(0),
        Some(Record::Released { term }) => Some(*term),
        Some(_) => None,
    }
}

/// True if the execution is leased by that owner in that term.
fn is_leased_by(current: Option<&Record>, by: &Member, of: u32) -> bool {
    matches!(current, Some(Record::Leased { owner, term }) if owner == by && *term == of)
}

/// A purge is stored if there is none, after its expiry, and at a later time; the same purge again does not apply.
fn purge(current: Option<&Record>, group: u64, object: Option<u64>, time: u64) -> Option<Record> {
    let is_later = match current {
        None | Some(Record::Tombstone) => true,
        Some(Record::Purged { group: g, object: o, time: t }) => *g == group && *o == object && *t < time,
        Some(_) => false,
    };
    is_later.then_some(Record::Purged { group, object, time })
}

fn use_ticket(current: Option<&Record>) -> Option<Record> {
    match current {
        Some(Record::Ticket { server, by, used: false }) => {
            Some(Record::Ticket { server: server.clone(), by: by.clone(), used: true })
        }
        None | Some(_) => None,
    }
}

/// A continuation may be created, or reduced: same object, same version, and no part missing that was not missing before.
fn may_set_continuation(current: Option<&Record>, object: u64, version: &str, missing: &[u64]) -> bool {
    match current {
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

/// The serial of the table's register; 0 before the first table.
fn table_serial(current: Option<&Record>) -> Option<u64> {
    match current {
        None => Some(0),
        Some(Record::Table { serial, .. }) => Some(*serial),
        Some(_) => None,
    }
}

/// A leased execution may be running, so its outcome must be marked unknown first; the table never expires.
fn may_expire(record: &Record) -> bool {
    match record {
        Record::Released { .. } | Record::Completed(_) | Record::OutcomeUnknown => true,
        Record::Purged { .. } | Record::Ticket { .. } | Record::Continuation { .. } => true,
        Record::Leased { .. } | Record::Table { .. } | Record::Tombstone => false,
    }
}

#[cfg(test)]
mod tests;
