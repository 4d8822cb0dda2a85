//! What the handling of one event produces.

use crate::request::Origin;
use crate::{Action, RecordKey, Response};
use basaltgw_types::Ms;

/// The response to a request, for its origin.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompletedRequest {
    pub origin: Origin,
    pub key: RecordKey,
    pub response: Response,
}

/// The event's time and its output.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    /// Monotonic milliseconds.
    pub now: Ms,
    pub actions: &'a mut Vec<Action>,
    /// Requests that were completed; delivered once the event is handled.
    pub completed: Vec<CompletedRequest>,
}

impl Context<'_> {
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }
}
