//! Leases on executions: those that this process holds, and when the outcome of another one becomes unknown.
//!
//! Inputs: register responses, lease queries, reachability, time in milliseconds. Only the owner of a lease may execute its request. A lease
//! whose owner is lost is marked as "outcome unknown", so that no other router executes the request again. An owner counts as lost
//! [`OWNER_LOST_AFTER_MS`] after it became unreachable; marking too early costs a response but never causes a second execution.

use super::background::Operation;
use super::requests::Requester;
use super::Control;
use crate::message::Message;
use basaltgw_registers::{Change, Record, RecordKey, RequestNumber, Response};
use basaltgw_types::{Member, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Time from which the lease of an unreachable owner is marked as "outcome unknown".
const OWNER_LOST_AFTER_MS: Ms = 500.0;
/// Time limit of one request that marks an outcome as unknown.
const MARK_UNKNOWN_TIMEOUT_MS: Ms = 250.0;

/// Lease held by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lease {
    term: u32,
    /// The owner's request that acquired it.
    acquired_by: RequestNumber,
}

/// Leases held by this process, and pending marks of other leases.
#[derive(Debug, Default)]
pub(super) struct Leases {
    held: BTreeMap<RecordKey, Lease>,
    /// Leases whose outcome is being marked as unknown.
    unknown_outcomes: BTreeSet<RecordKey>,
}

impl Leases {
    fn add(&mut self, key: RecordKey, term: u32, acquired_by: RequestNumber) {
        self.held.insert(key, Lease { term, acquired_by });
    }

    fn remove(&mut self, key: &RecordKey) {
        self.held.remove(key);
    }

    /// Removes a lease unless it was acquired in another term since.
    pub fn remove_term(&mut self, key: &RecordKey, term: u32) {
        if self.has_term(key, term) {
            self.held.remove(key);
        }
    }

    fn contains(&self, key: &RecordKey) -> bool {
        self.held.contains_key(key)
    }

    fn has_term(&self, key: &RecordKey, term: u32) -> bool {
        self.held.get(key).is_some_and(|lease| lease.term == term)
    }

    fn has_term_since(&self, key: &RecordKey, term: u32) -> bool {
        self.held.get(key).is_some_and(|lease| lease.term >= term)
    }

    /// Keys and terms of the leases acquired by these requests, given in ascending order.
    pub fn acquired_by(&self, requests: &[RequestNumber]) -> Vec<(RecordKey, u32)> {
        let acquired =
            self.held.iter().filter(|(_, lease)| requests.binary_search(&lease.acquired_by).is_ok());
        acquired.map(|(key, lease)| (*key, lease.term)).collect()
    }

    /// Records that a request to mark an outcome as unknown has a response.
    pub fn finish_marking(&mut self, key: &RecordKey) {
        self.unknown_outcomes.remove(key);
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }
}

impl Control {
    /// Handles the response to the owner's request to acquire a lease. A lease that may have been acquired although the response says
    /// unavailable is released in the background, and so is one acquired during a shutdown.
    pub(super) fn on_acquire_response(
        &mut self,
        now: Ms,
        number: RequestNumber,
        key: RecordKey,
        response: &Response,
    ) {
        match response {
            Response::Committed(Record::Leased { owner, term }) if *owner == self.parts.me => {
                self.leases.add(key, *term, number);
                // The request may be executed from now on: an unreported earlier acquisition must not release this one.
                self.background.cancel_unreported_release(&key);
                if self.shutdown.is_requested() {
                    let release = Change::Release(owner.clone(), *term);
                    self.start_background_change(now, key, Operation::Apply(release));
                }
            }
            Response::Unavailable { not_executed: false, .. } if !self.leases.contains(&key) => {
                self.start_background_change(now, key, Operation::ReleaseUnreported);
            }
            Response::Unavailable { .. } => {}
            Response::Committed(record) => self.observe_record(now, key, Some(record)),
            Response::Conflict(record) => self.observe_record(now, key, record.as_ref()),
        }
    }

    /// Handles the response to the owner's request to record an outcome; an unavailable change continues in the background.
    pub(super) fn on_complete_response(
        &mut self,
        now: Ms,
        key: RecordKey,
        change: Change,
        response: &Response,
    ) {
        match response {
            Response::Unavailable { .. } => {
                self.start_background_change(now, key, Operation::Apply(change));
            }
            Response::Committed(record) => self.observe_record(now, key, Some(record)),
            Response::Conflict(record) => self.observe_record(now, key, record.as_ref()),
        }
    }

    /// Compares an agreed record with the held leases, and checks the owner of a lease.
    fn observe_record(&mut self, now: Ms, key: RecordKey, record: Option<&Record>) {
        match record {
            Some(Record::Leased { owner, term }) => self.check_owner(now, key, owner, *term),
            // A delayed response may report the release of a term before the present one.
            Some(Record::Released { term }) if self.leases.has_term_since(&key, *term) => {}
            _ => self.leases.remove(&key),
        }
    }

    /// Checks whether the owner of a lease still holds it; if not, marks the outcome as unknown.
    fn check_owner(&mut self, now: Ms, key: RecordKey, owner: &Member, term: u32) {
        if *owner == self.parts.me {
            // An earlier run of this process held it, unless it is being released.
            if !self.leases.contains(&key) && !self.background.is_changing(&key) {
                self.mark_outcome_unknown(now, key, term);
            }
            return;
        }
        let query = Message::LeaseQuery { key, term };
        if self.reachability.is_connected(owner) {
            return self.send_message(owner, &query);
        }
        match self.reachability.unreachable_since(&owner.router) {
            Some(since) if now >= since + OWNER_LOST_AFTER_MS => self.mark_outcome_unknown(now, key, term),
            Some(_) => self.keep_dialing(&owner.router),
            // With persistent links an owner without a link is queried, and becomes unreachable if dialing it fails.
            None if self.persistent_links.is_some() && !self.reachability.has_link(&owner.router) => {
                self.send_message(owner, &query);
            }
            None => self.mark_outcome_unknown(now, key, term),
        }
    }

    /// Answers a peer's query for a lease of this router: if it is no longer held, its outcome is marked as unknown.
    pub(super) fn on_lease_query(&mut self, now: Ms, key: RecordKey, term: u32) {
        if !self.leases.has_term(&key, term) && !self.background.is_changing(&key) {
            self.mark_outcome_unknown(now, key, term);
        }
    }

    /// Marks the outcome of a lease as unknown, with one request at a time for each lease.
    fn mark_outcome_unknown(&mut self, now: Ms, key: RecordKey, term: u32) {
        if self.leases.unknown_outcomes.insert(key) {
            let change = Change::MarkOutcomeUnknown(term);
            self.request_change(now, Requester::MarkOutcomeUnknown, key, change, MARK_UNKNOWN_TIMEOUT_MS);
        }
    }
}
