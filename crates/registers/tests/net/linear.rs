//! What askers saw of one hold, and whether one order of the changes explains it (by stateright's tester).

use super::api::{step, Change, Record, Response};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// A hold that only one asker at a time uses.
#[derive(Clone, Debug, Default)]
pub struct Alone(Option<Record>);

impl SequentialSpec for Alone {
    type Op = Change;
    type Ret = Result<Record, Option<Record>>;

    fn invoke(&mut self, change: &Change) -> Self::Ret {
        match step(self.0.as_ref(), change) {
            Ok(next) => {
                self.0 = Some(next.clone());
                Ok(next)
            }
            Err(_) => Err(self.0.clone()),
        }
    }
}

/// A question and its answer, at their places in the order of what was seen.
#[derive(Clone, Debug)]
pub struct Seen {
    pub asked: usize,
    pub change: Change,
    pub answered: Option<(usize, Response)>,
}

/// True if one order explains all that was seen. What was provably never made must not be needed; what may have been made may be.
pub fn explained(seen: &[Seen]) -> bool {
    let mut order: Vec<(usize, usize, bool)> = Vec::new();
    for (thread, one) in seen.iter().enumerate() {
        match &one.answered {
            Some((_, Response::Unavailable { not_executed: true, .. })) => {}
            Some((_, Response::Unavailable { not_executed: false, .. })) | None => {
                order.push((one.asked, thread, false))
            }
            Some((at, Response::Committed(_) | Response::Conflict(_))) => {
                order.extend([(one.asked, thread, false), (*at, thread, true)]);
            }
        }
    }
    order.sort_unstable();
    let mut tester = LinearizabilityTester::new(Alone::default());
    for (_, thread, returns) in order {
        let told = match (returns, &seen[thread].answered) {
            (false, _) | (true, None) => {
                tester.on_invoke(thread, seen[thread].change.clone()).expect("one question for each thread");
                continue;
            }
            (true, Some((_, Response::Committed(hold)))) => Ok(hold.clone()),
            (true, Some((_, Response::Conflict(hold)))) => Err(hold.clone()),
            (true, Some((_, Response::Unavailable { .. }))) => continue,
        };
        tester.on_return(thread, told).expect("one answer for each question");
    }
    tester.is_consistent()
}
