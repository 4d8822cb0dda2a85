//! Whether the responses to the requests for one record are linearizable (by stateright's tester).

use super::api::{transition, Change, Record, Response};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// The sequential specification: a record that one requester at a time uses.
#[derive(Clone, Debug, Default)]
pub struct SequentialRecord(Option<Record>);

impl SequentialSpec for SequentialRecord {
    type Op = Change;
    type Ret = Result<Record, Option<Record>>;

    fn invoke(&mut self, change: &Change) -> Self::Ret {
        match transition(self.0.as_ref(), change) {
            Ok(next) => {
                self.0 = Some(next.clone());
                Ok(next)
            }
            Err(_) => Err(self.0.clone()),
        }
    }
}

/// A response, at its position in the history.
#[derive(Clone, Debug)]
pub struct Completion {
    pub at: usize,
    pub response: Response,
}

/// A request, at its position in the history, with its response.
#[derive(Clone, Debug)]
pub struct Operation {
    pub invoked: usize,
    pub change: Change,
    pub completed: Option<Completion>,
}

impl Operation {
    pub fn response(&self) -> Option<&Response> {
        self.completed.as_ref().map(|completion| &completion.response)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HistoryEvent {
    Invoke,
    Return,
}

/// True if some order of the changes explains all responses. Changes that were provably not executed are left out; those that may have been
/// executed may take effect or not.
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let mut history: Vec<(usize, usize, HistoryEvent)> = Vec::new();
    for (thread, operation) in operations.iter().enumerate() {
        let invoked = (operation.invoked, thread, HistoryEvent::Invoke);
        match &operation.completed {
            Some(Completion { response: Response::Unavailable { not_executed: true, .. }, .. }) => {}
            Some(Completion { response: Response::Unavailable { not_executed: false, .. }, .. }) | None => {
                history.push(invoked);
            }
            Some(Completion { at, response: Response::Committed(_) | Response::Conflict(_) }) => {
                history.extend([invoked, (*at, thread, HistoryEvent::Return)]);
            }
        }
    }
    history.sort_unstable();
    let mut tester = LinearizabilityTester::new(SequentialRecord::default());
    for (_, thread, event) in history {
        let operation = &operations[thread];
        let returned = match (event, operation.response()) {
            (HistoryEvent::Invoke, _) | (HistoryEvent::Return, None) => {
                tester.on_invoke(thread, operation.change.clone()).expect("each thread makes one request");
                continue;
            }
            (HistoryEvent::Return, Some(Response::Committed(record))) => Ok(record.clone()),
            (HistoryEvent::Return, Some(Response::Conflict(record))) => Err(record.clone()),
            (HistoryEvent::Return, Some(Response::Unavailable { .. })) => continue,
        };
        tester.on_return(thread, returned).expect("each request gets one response");
    }
    tester.is_consistent()
}
