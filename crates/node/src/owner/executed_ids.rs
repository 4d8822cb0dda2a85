//! The ids of requests that a server may have executed, so that none runs twice when it comes again after its request has ended.
//!
//! Clients use a new id for each request; one that comes again is a fault of the client or of the network. Whether it may run is the rule for
//! retries ([`crate::permissions::may_run_again`]).

use crate::clients::WireId;
use crate::limits::MAX_EXECUTED_IDS;
use basaltgw::api::Ms;
use std::collections::{HashMap, VecDeque};

/// The ids of the last requests that may have been executed and must not run twice, at most [`MAX_EXECUTED_IDS`].
#[derive(Default)]
pub(super) struct ExecutedIds {
    /// When the first attempt of each was started that may have been executed.
    executed_since: HashMap<u64, Ms>,
    /// The ids, the oldest first.
    order: VecDeque<u64>,
}

/// The number of an id; `None` for the id of a request that is not a client's.
fn number(id: &WireId) -> Option<u64> {
    u64::from_str_radix(&id.0, 16).ok()
}

impl ExecutedIds {
    /// Records that a request may have been executed since a time.
    pub(super) fn record(&mut self, id: &WireId, since: Ms) {
        let Some(id) = number(id) else { return };
        if self.executed_since.contains_key(&id) {
            return;
        }
        self.executed_since.insert(id, since);
        self.order.push_back(id);
        if self.order.len() > MAX_EXECUTED_IDS {
            if let Some(oldest) = self.order.pop_front() {
                self.executed_since.remove(&oldest);
            }
        }
    }

    /// Since when a request with this id may have been executed.
    pub(super) fn executed_since(&self, id: &WireId) -> Option<Ms> {
        self.executed_since.get(&number(id)?).copied()
    }
}

#[cfg(test)]
mod tests;
