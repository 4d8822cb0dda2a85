//! What becomes of a round that is lost: another one, or a refusal at once.

use crate::message::{Ballot, Why, MOST_COUNTER};
use crate::proposer::{Ended, Primed, Proposer, LOW_BITS};
use crate::round::{Ask, Phase};
use crate::{Action, RecordKey, Response, UnavailableReason};
use basaltgw_structures::hash::{mix, unit};
use basaltgw_types::Ms;

/// Doublings of the back-off, at most.
const MOST_DOUBLINGS: i32 = 6;

impl Proposer {
    /// A group can't come to enough votes. Where others were quicker or a map is on its way there is another round; else the answer is due.
    pub(crate) fn lost(&mut self, now: Ms, id: u64, mut ask: Ask, acts: &mut Vec<Action>) -> Option<Ended> {
        let soft = ask.refusals().any(|why| matches!(why, Why::Outvoted(_)));
        let table = ask.refusals().any(|why| matches!(why, Why::OldTable | Why::NotYet));
        let hard = ask.refusals().find_map(|why| match why {
            Why::NoDisk => Some(UnavailableReason::StorageFailed),
            Why::Full => Some(UnavailableReason::ResourceExhausted),
            Why::NoKeeper => Some(UnavailableReason::StalePlacement),
            Why::Outvoted(_) | Why::OldTable | Why::NotYet => None,
        });
        if !soft && !table {
            return Some(self.unkept(ask, hard.unwrap_or(UnavailableReason::NoQuorum)));
        }
        ask.last = if soft { UnavailableReason::Contended } else { UnavailableReason::StalePlacement };
        if ask.tries >= self.set.max_attempts {
            let why = ask.last;
            return Some(self.unkept(ask, why));
        }
        // A ballot that was merely too low is put right at once; who meets others again makes room for them.
        let doublings = i32::try_from(ask.tries).unwrap_or(MOST_DOUBLINGS).min(MOST_DOUBLINGS);
        let wait = match soft && ask.tries == 1 {
            true => 0.0,
            false => self.set.min_backoff_ms * 2f64.powi(doublings) * (0.5 + 0.5 * self.roll()),
        };
        ask.turn(Phase::Waiting);
        self.arm(now, id, &mut ask, wait, acts);
        self.asks.insert(id, ask);
        None
    }

    /// The refusal of a question.
    pub(crate) fn unkept(&mut self, ask: Ask, why: UnavailableReason) -> Ended {
        *self.counters.unkept.entry(why).or_default() += 1;
        let never = ask.never();
        let rounds = match why {
            UnavailableReason::DeadlineExceeded
            | UnavailableReason::Contended
            | UnavailableReason::ResourceExhausted => 4.0,
            UnavailableReason::NoPlacement
            | UnavailableReason::NoQuorum
            | UnavailableReason::StorageFailed
            | UnavailableReason::StalePlacement => 16.0,
            UnavailableReason::NotCaughtUp | UnavailableReason::InvalidTransition => 16.0,
        };
        let (least, most) = (self.set.min_retry_after_ms, self.set.max_retry_after_ms);
        // Drawn, so that those turned away together do not come back together.
        let stay_away = (self.round_ms.max(least) * rounds * (0.5 + 0.5 * self.roll())).clamp(least, most);
        (
            ask.origin,
            ask.key,
            Response::Unavailable { not_executed: never, reason: why, retry_after: stay_away },
        )
    }

    /// Wakes a question after a while, or when its time is up; the timer before is void.
    pub(crate) fn arm(&mut self, now: Ms, id: u64, ask: &mut Ask, wait: Ms, acts: &mut Vec<Action>) {
        ask.timer = (ask.timer + 1) & ((1 << LOW_BITS) - 1);
        let wait = wait.min(ask.until - now).max(0.0);
        acts.push(Action::Timer(wait, (id << LOW_BITS) | u64::from(ask.timer)));
    }

    /// A ballot above all that it has seen.
    pub(crate) fn ballot(&mut self) -> Ballot {
        self.counter = (self.counter + 1).min(MOST_COUNTER - 1);
        Ballot { counter: self.counter, by: self.me.clone(), run: self.run }
    }

    /// Remembers what the next change of a hold needs; the oldest is forgotten for it.
    pub(crate) fn prime(&mut self, key: RecordKey, primed: Primed) {
        if self.set.max_prepared == 0 {
            return;
        }
        if self.primed.insert(key, primed).is_none() {
            self.primed_order.push_back(key);
        }
        while self.primed_order.len() > self.set.max_prepared {
            let oldest = self.primed_order.pop_front();
            oldest.and_then(|key| self.primed.remove(&key));
        }
    }

    /// A vote that no round waits for.
    pub(crate) fn late(&mut self) -> Option<Ended> {
        self.counters.late_votes += 1;
        None
    }

    /// A number between 0 and 1.
    fn roll(&mut self) -> f64 {
        self.rolls += 1;
        unit(mix(self.seed, self.rolls))
    }
}
