//! Checks that the responses to one checkout are linearizable as those of a single register, with stateright's tester.

use super::observations::{Intervals, ObservedRequest};
use crate::rig::history::Outcome;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// The most requests of one checkout that the tester considers; later ones are ignored.
const MAX_REQUESTS: usize = 12;

/// A checkout as a register: not executed, or executed with one receipt.
#[derive(Clone, Debug)]
struct CheckoutRegister {
    receipt: Vec<u8>,
    executed: bool,
}

/// The register's response to a request.
#[derive(Clone, Debug, PartialEq)]
enum Response {
    Served(Vec<u8>),
    Rejected,
}

impl SequentialSpec for CheckoutRegister {
    type Op = ();
    type Ret = Response;

    fn invoke(&mut self, (): &()) -> Response {
        self.executed = true;
        Response::Served(self.receipt.clone())
    }

    fn is_valid_step(&mut self, (): &(), response: &Response) -> bool {
        match response {
            Response::Served(body) => {
                self.executed = true;
                *body == self.receipt
            }
            Response::Rejected => !self.executed,
        }
    }
}

/// The start or the end of an operation on the register.
struct Step {
    at_ms: u64,
    operation: usize,
    /// The response at the operation's end; `None` at its start.
    response: Option<Response>,
}

/// Whether a single register could have given these responses. A request that failed or got no response may have taken effect at any time.
/// Rejections by isolated routers are left out, since such a router does not know the register.
pub(super) fn is_linearizable(
    requests: &[&ObservedRequest<'_>],
    executed_at_ms: Option<u64>,
    isolated: &Intervals,
) -> bool {
    let receipt = first_served_body(requests);
    let register = CheckoutRegister { receipt: receipt.clone(), executed: false };
    let mut tester = LinearizabilityTester::new(register);
    for Step { operation, response, .. } in steps(requests, executed_at_ms, isolated, receipt) {
        let accepted = match response {
            None => tester.on_invoke(operation, ()).is_ok(),
            Some(response) => tester.on_return(operation, response).is_ok(),
        };
        if !accepted {
            return false;
        }
    }
    tester.is_consistent()
}

/// The operations of the requests and of the execution, in order of time.
fn steps(
    requests: &[&ObservedRequest<'_>],
    executed_at_ms: Option<u64>,
    isolated: &Intervals,
    receipt: Vec<u8>,
) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    for (operation, request) in requests.iter().take(MAX_REQUESTS).enumerate() {
        let response = match request.outcome() {
            Some((at_ms, Outcome::Served(body))) => Some((at_ms, Response::Served(body.clone()))),
            Some((at_ms, Outcome::Rejected { .. })) => {
                if isolated.overlaps(request.router, request.sent_at_ms, at_ms) {
                    continue;
                }
                Some((at_ms, Response::Rejected))
            }
            Some((_, Outcome::Failed(_))) | None => None,
        };
        steps.push(Step { at_ms: request.sent_at_ms, operation, response: None });
        let end = response.map(|(at_ms, response)| Step { at_ms, operation, response: Some(response) });
        steps.extend(end);
    }
    // The checkout had taken effect by the time at which the archive executed it.
    if let Some(at_ms) = executed_at_ms {
        let operation = requests.len();
        let first_sent = requests.iter().map(|r| r.sent_at_ms).min().unwrap_or(at_ms);
        steps.push(Step { at_ms: first_sent.min(at_ms), operation, response: None });
        steps.push(Step { at_ms, operation, response: Some(Response::Served(receipt)) });
    }
    // The order within a millisecond is unknown: starts are sorted before ends, so that the operations overlap.
    steps.sort_by_key(|step| (step.at_ms, step.response.is_some(), step.operation));
    steps
}

/// The body of the first request that was served.
fn first_served_body(requests: &[&ObservedRequest<'_>]) -> Vec<u8> {
    let served = requests.iter().find_map(|request| match request.outcome() {
        Some((_, Outcome::Served(body))) => Some(body.clone()),
        Some((_, Outcome::Rejected { .. } | Outcome::Failed(_))) | None => None,
    });
    served.unwrap_or_default()
}
