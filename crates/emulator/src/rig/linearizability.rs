//! The answers on one checkout held against one register, by stateright's tester of linearizability.

use super::checker::{One, Spans};
use super::history::Outcome;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// A checkout as one register: it has not run, or it has, with one receipt.
#[derive(Clone, Debug)]
struct Checkout {
    receipt: Vec<u8>,
    ran: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Told {
    Served(Vec<u8>),
    Refused,
}

impl SequentialSpec for Checkout {
    type Op = ();
    type Ret = Told;

    fn invoke(&mut self, (): &()) -> Told {
        self.ran = true;
        Told::Served(self.receipt.clone())
    }

    fn is_valid_step(&mut self, (): &(), told: &Told) -> bool {
        match told {
            Told::Served(bytes) => {
                self.ran = true;
                *bytes == self.receipt
            }
            Told::Refused => !self.ran,
        }
    }
}

/// Presentations of one checkout that the tester weighs; of more, the first.
const MOST_WEIGHED: usize = 12;

/// Whether one register could have given these answers. What failed, or got none, may have taken effect at any time; refusals of routers
/// that were cut off are left out, since they tell of no register.
pub(super) fn is_linearizable(presented: &[&One<'_>], ran: Option<u64>, apart: &Spans) -> bool {
    let receipt = receipt(presented);
    let mut tester = LinearizabilityTester::new(Checkout { receipt: receipt.clone(), ran: false });
    let mut steps: Vec<(u64, usize, Option<Told>)> = Vec::new();
    for (i, one) in presented.iter().take(MOST_WEIGHED).enumerate() {
        let told = match one.end() {
            Some((at, Outcome::Served(bytes))) => Some((at, Told::Served(bytes.clone()))),
            Some((at, Outcome::Rejected { .. })) if apart.meet(one.router, one.asked, at) => continue,
            Some((at, Outcome::Rejected { .. })) => Some((at, Told::Refused)),
            Some((_, Outcome::Failed(_))) | None => None,
        };
        steps.push((one.asked, i, None));
        steps.extend(told.map(|(at, told)| (at, i, Some(told))));
    }
    // What ran at the archive had taken effect by then.
    if let Some(at) = ran {
        let own = presented.len();
        let first = presented.iter().map(|one| one.asked).min().unwrap_or(at);
        steps.push((first.min(at), own, None));
        steps.push((at, own, Some(Told::Served(receipt))));
    }
    // Of what falls in one millisecond, beginnings come first: the order within it is not known.
    steps.sort_by_key(|(at, i, told)| (*at, told.is_some(), *i));
    for (_, i, told) in steps {
        let step = match told {
            None => tester.on_invoke(i, ()).map(|_| ()),
            Some(told) => tester.on_return(i, told).map(|_| ()),
        };
        if step.is_err() {
            return false;
        }
    }
    tester.is_consistent()
}

/// The bytes that were served first.
fn receipt(presented: &[&One<'_>]) -> Vec<u8> {
    let served = presented.iter().find_map(|one| match one.end() {
        Some((_, Outcome::Served(bytes))) => Some(bytes.clone()),
        Some((_, Outcome::Rejected { .. } | Outcome::Failed(_))) | None => None,
    });
    served.unwrap_or_default()
}
