//! The five rules, by what was sent and answered alone: nothing here knows how a router decides.

use crate::fleet::NodeIx;
use crate::spec::Rules;
use crate::Ms;
use std::collections::{BTreeMap, HashMap};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// One final answer in time, and nothing after it.
    Lost,
    /// No effect happens twice.
    Twice,
    /// Nothing to a draining or gone node after the grace.
    Drain,
    /// No cold node is pushed over.
    Cold,
    /// No copy older than a purge that was told longer ago than the grace.
    Purge,
}

/// Whether an attempt that is over has run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ran {
    /// It provably did not.
    Never,
    /// It may have, or may still.
    Maybe,
    /// It did, and gave a copy that the archive gave out then (`None` for what is no copy).
    Served(Option<Ms>),
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// Served.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed: nothing is promised.
    Failed,
}

/// A request of a router.
pub type Key = (usize, u64);

/// What was sent, answered or told.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A router has taken a request: which, whether it must not run twice, object, group, and by when an answer is due.
    Taken(Key, bool, u64, u64, Ms),
    /// It sends an attempt, by its number, to a node, perhaps with a source.
    Sent(Key, usize, NodeIx, Option<NodeIx>),
    /// An attempt is over.
    Ended(Key, usize, Ran),
    /// The client got its answer.
    Answered(Key, Final),
    /// The client has left.
    Left(Key),
    /// A router was told that a node drains or is gone (true), or is up.
    Drained(usize, NodeIx, bool),
    /// A router was told that an object, or without one a group, was purged at a time.
    Purged(usize, Option<u64>, u64, Ms),
    /// A write ran.
    Effect(u64),
    /// A cold node was brought down.
    Fell(NodeIx),
}

struct Open {
    unsafe_: bool,
    object: u64,
    group: u64,
    due: Ms,
    answered: bool,
    /// When sent, and how it came out.
    attempts: Vec<(Ms, Option<Ran>)>,
}

/// Purges that a router was told of one object or group: when told, when purged. The last ones are enough.
type Told = Vec<(Ms, Ms)>;
const KEPT: usize = 8;

/// Watches a run.
pub struct Checker {
    rules: Rules,
    open: HashMap<Key, Open>,
    drained: HashMap<(usize, NodeIx), Ms>,
    objects: HashMap<(usize, u64), Told>,
    groups: HashMap<(usize, u64), Told>,
    effects: HashMap<u64, u32>,
    broken: BTreeMap<Rule, (u64, String)>,
}

impl Checker {
    /// A checker for rules with these figures.
    pub fn new(rules: &Rules) -> Self {
        Self {
            rules: rules.clone(),
            open: HashMap::new(),
            drained: HashMap::new(),
            objects: HashMap::new(),
            groups: HashMap::new(),
            effects: HashMap::new(),
            broken: BTreeMap::new(),
        }
    }

    fn broken(&mut self, rule: Rule, now: Ms, what: String) {
        self.broken.entry(rule).or_insert_with(|| (0, format!("at {now:.1} ms: {what}"))).0 += 1;
    }

    /// Takes in what happened, in order of time.
    pub fn see(&mut self, now: Ms, seen: Seen) {
        match seen {
            Seen::Taken(key, unsafe_, object, group, due) => {
                let open = Open { unsafe_, object, group, due, answered: false, attempts: Vec::new() };
                self.open.insert(key, open);
            }
            Seen::Sent(key, n, node, source) => self.sent(now, key, n, node, source),
            Seen::Ended(key, n, ran) => self.ended(now, key, n, ran),
            Seen::Answered(key, how) => self.answered(now, key, how),
            Seen::Left(key) => self.open.get_mut(&key).into_iter().for_each(|o| o.answered = true),
            Seen::Drained(router, node, true) => {
                self.drained.entry((router, node)).or_insert(now);
            }
            Seen::Drained(router, node, false) => {
                self.drained.remove(&(router, node));
            }
            Seen::Purged(router, object, group, at) => {
                let told = match object {
                    Some(object) => self.objects.entry((router, object)).or_default(),
                    None => self.groups.entry((router, group)).or_default(),
                };
                told.push((now, at));
                if told.len() > KEPT {
                    told.remove(0);
                }
            }
            Seen::Effect(effect) => {
                let count = self.effects.entry(effect).or_insert(0);
                *count += 1;
                if *count > 1 {
                    self.broken(Rule::Twice, now, format!("write {effect} ran again"));
                }
            }
            Seen::Fell(node) => self.broken(Rule::Cold, now, format!("node {} was pushed over", node.0)),
        }
    }

    fn sent(&mut self, now: Ms, key: Key, n: usize, node: NodeIx, source: Option<NodeIx>) {
        let grace = self.rules.drain_grace_ms;
        for to in [Some(node), source].into_iter().flatten() {
            if self.drained.get(&(key.0, to)).is_some_and(|told| now > told + grace) {
                self.broken(Rule::Drain, now, format!("router {} names node {} that drains", key.0, to.0));
            }
        }
        let Some(open) = self.open.get_mut(&key) else { return };
        let not_proved = open.attempts.iter().any(|(_, ran)| !matches!(ran, Some(Ran::Never)));
        let (after, twice) = (open.answered, open.unsafe_ && not_proved);
        if open.attempts.len() <= n {
            open.attempts.resize(n + 1, (now, None));
        }
        if after {
            self.broken(Rule::Lost, now, format!("request {key:?} is sent on after its answer"));
        }
        if twice {
            self.broken(Rule::Twice, now, format!("request {key:?} is sent again though it may have run"));
        }
    }

    fn ended(&mut self, now: Ms, key: Key, n: usize, ran: Ran) {
        let Some(open) = self.open.get_mut(&key) else { return };
        let Some(attempt) = open.attempts.get_mut(n) else { return };
        attempt.1 = Some(ran);
        let (sent, object, group) = (attempt.0, open.object, open.group);
        let Ran::Served(Some(born)) = ran else { return };
        let grace = self.rules.purge_grace_ms;
        let told = [self.objects.get(&(key.0, object)), self.groups.get(&(key.0, group))];
        let old = told.into_iter().flatten().flatten().any(|(told, at)| sent > told + grace && born < *at);
        if old {
            self.broken(Rule::Purge, now, format!("request {key:?} is answered from a copy of {born:.1}"));
        }
    }

    fn answered(&mut self, now: Ms, key: Key, how: Final) {
        let Some(open) = self.open.get_mut(&key) else {
            return self.broken(Rule::Lost, now, format!("an answer to {key:?}, which nobody asked"));
        };
        let (again, late) = (open.answered, now > open.due + self.rules.slack_ms);
        let not_proved = open.attempts.iter().any(|(_, ran)| !matches!(ran, Some(Ran::Never)));
        let refused = how == Final::Refused && open.unsafe_ && not_proved;
        open.answered = true;
        if again {
            self.broken(Rule::Lost, now, format!("a second answer to {key:?}"));
        }
        if late {
            self.broken(Rule::Lost, now, format!("the answer to {key:?} comes too late"));
        }
        if refused {
            self.broken(Rule::Twice, now, format!("{key:?} is refused though it may have run"));
        }
    }

    /// Requests that are done and whose time is over need not be watched any more; those unanswered are broken.
    pub fn tidy(&mut self, now: Ms) {
        let slack = self.rules.slack_ms;
        let lost: Vec<Key> =
            self.open.iter().filter(|(_, o)| !o.answered && now > o.due + slack).map(|(k, _)| *k).collect();
        for key in lost {
            self.broken(Rule::Lost, now, format!("no answer to {key:?}"));
            self.open.remove(&key);
        }
        // What was sent before may still end, and tell how old its copy was.
        self.open.retain(|_, o| !o.answered || now < o.due + 2_000.0);
    }

    /// What was broken: how often, and the first time in words.
    pub fn report(&self) -> &BTreeMap<Rule, (u64, String)> {
        &self.broken
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::spec::ColdSpec;

    pub fn rules() -> Rules {
        let cold = ColdSpec { share: 0.25, span_ms: 10_000.0, multiple: 2.0, window_ms: 1_500.0 };
        Rules {
            slack_ms: 50.0,
            drain_grace_ms: 250.0,
            purge_grace_ms: 300.0,
            purge_settles_ms: 3_000.0,
            cold_edge: cold,
            cold_parent: cold,
        }
    }

    const KEY: Key = (0, 1);

    /// Plays what was seen, at times, and gives the rules broken.
    fn play(seen: Vec<(Ms, Seen)>) -> Vec<Rule> {
        let mut c = Checker::new(&rules());
        let mut last = 0.0;
        for (at, what) in seen {
            c.see(at, what);
            last = at;
        }
        c.tidy(last);
        c.report().keys().copied().collect()
    }

    fn taken(unsafe_: bool) -> (Ms, Seen) {
        (0.0, Seen::Taken(KEY, unsafe_, 7, 3, 1_000.0))
    }

    fn sent(at: Ms, n: usize) -> (Ms, Seen) {
        (at, Seen::Sent(KEY, n, NodeIx(4), Some(NodeIx(2))))
    }

    fn answered(at: Ms, how: Final) -> (Ms, Seen) {
        (at, Seen::Answered(KEY, how))
    }

    #[test]
    fn one_answer_in_time_and_nothing_after() {
        let served = (20.0, Seen::Ended(KEY, 0, Ran::Served(Some(1.0))));
        assert_eq!(play(vec![taken(false), sent(1.0, 0), served, answered(20.0, Final::Served)]), []);
        assert_eq!(
            play(vec![taken(false), answered(5.0, Final::Refused), answered(6.0, Final::Failed)]),
            [Rule::Lost]
        );
        assert_eq!(play(vec![taken(false), answered(1_060.0, Final::Failed)]), [Rule::Lost]);
        assert_eq!(play(vec![taken(false), answered(9.0, Final::Failed), sent(10.0, 0)]), [Rule::Lost]);
        assert_eq!(play(vec![taken(false), (2_000.0, Seen::Effect(9))]), [Rule::Lost]);
        assert_eq!(play(vec![taken(false), (900.0, Seen::Left(KEY)), (2_000.0, Seen::Effect(9))]), []);
    }

    #[test]
    fn what_may_have_run_is_neither_sent_again_nor_refused() {
        let over = |ran| (5.0, Seen::Ended(KEY, 0, ran));
        assert_eq!(play(vec![taken(true), sent(1.0, 0), over(Ran::Never), sent(6.0, 1)]), []);
        assert_eq!(play(vec![taken(true), sent(1.0, 0), over(Ran::Maybe), sent(6.0, 1)]), [Rule::Twice]);
        assert_eq!(play(vec![taken(true), sent(1.0, 0), sent(6.0, 1)]), [Rule::Twice]);
        assert_eq!(
            play(vec![taken(true), sent(1.0, 0), over(Ran::Maybe), answered(9.0, Final::Refused)]),
            [Rule::Twice]
        );
        assert_eq!(play(vec![taken(true), sent(1.0, 0), over(Ran::Maybe), answered(9.0, Final::Failed)]), []);
        assert_eq!(
            play(vec![
                taken(false),
                sent(1.0, 0),
                over(Ran::Maybe),
                sent(6.0, 1),
                answered(7.0, Final::Refused)
            ]),
            []
        );
        assert_eq!(play(vec![(1.0, Seen::Effect(3)), (2.0, Seen::Effect(3))]), [Rule::Twice]);
    }

    #[test]
    fn drains_are_kept_for_targets_and_sources_after_the_grace() {
        let drained = |node| (0.0, Seen::Drained(0, NodeIx(node), true));
        let end = answered(900.0, Final::Failed);
        assert_eq!(play(vec![drained(4), taken(false), sent(240.0, 0), end.clone()]), []);
        assert_eq!(play(vec![drained(4), taken(false), sent(260.0, 0), end.clone()]), [Rule::Drain]);
        assert_eq!(play(vec![drained(2), taken(false), sent(260.0, 0), end.clone()]), [Rule::Drain]);
        let back = (100.0, Seen::Drained(0, NodeIx(2), false));
        assert_eq!(play(vec![drained(2), back, taken(false), sent(260.0, 0), end]), []);
    }

    #[test]
    fn copies_are_as_new_as_the_purges_that_were_known_when_sent() {
        let purged = |at| (50.0, Seen::Purged(0, Some(7), 0, at));
        let group = |at| (50.0, Seen::Purged(0, None, 3, at));
        let served = |born| (500.0, Seen::Ended(KEY, 0, Ran::Served(Some(born))));
        let end = answered(500.0, Final::Served);
        let play = |purge, at, born| play(vec![purge, taken(false), sent(at, 0), served(born), end.clone()]);
        assert_eq!(play(purged(40.0), 360.0, 39.0), [Rule::Purge]);
        assert_eq!(play(group(40.0), 360.0, 39.0), [Rule::Purge]);
        assert_eq!(play(purged(40.0), 360.0, 41.0), []);
        assert_eq!(play(purged(40.0), 340.0, 39.0), [], "within the grace");
        assert_eq!(play((50.0, Seen::Purged(0, Some(8), 0, 40.0)), 360.0, 39.0), [], "another object");
        assert_eq!(play((50.0, Seen::Purged(1, Some(7), 0, 40.0)), 360.0, 39.0), [], "another router");
    }

    #[test]
    fn a_cold_node_that_is_pushed_over_is_a_break() {
        assert_eq!(play(vec![(1.0, Seen::Fell(NodeIx(3)))]), [Rule::Cold]);
    }
}
