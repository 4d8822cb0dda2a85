//! A cache's side of the plan: whom it asks for what it lacks, what it has handed over, and when it refuses a loop.

use crate::{Looped, Ms, NodeId, Plan, Settings, Tier, Trail};
use indexmap::IndexMap;
use std::sync::Arc;

/// Objects that a node remembers to have handed over.
const MOST_HANDED: usize = 4_096;

/// Whom a node asks next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Next {
    /// Whom.
    pub to: NodeId,
    /// Only for what it holds or has under way.
    pub held_only: bool,
    /// It is the archive.
    pub archive: bool,
}

/// What one cache knows of the tree. It takes versions over when it hears of them, which may be later than others.
#[derive(Clone, Debug)]
pub struct CacheSide {
    me: NodeId,
    plan: Option<Arc<Plan>>,
    /// The version before, and until when its homes are asked.
    before: Option<(Arc<Plan>, Ms)>,
    /// Objects of which a new home has taken over the fills.
    handed: IndexMap<u64, NodeId>,
}

impl CacheSide {
    /// A cache without a plan.
    pub fn new(me: NodeId) -> Self {
        Self { me, plan: None, before: None, handed: IndexMap::new() }
    }

    /// The plan in use.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Takes a version over. One that is no later than the one in use changes nothing; false then.
    pub fn take(&mut self, now: Ms, plan: Arc<Plan>, set: &Settings) -> bool {
        if self.plan.as_ref().is_some_and(|p| p.version() >= plan.version()) {
            return false;
        }
        // What was handed over is home there by now, or will be asked for under the new plan.
        self.handed.clear();
        self.before = self.plan.replace(plan).map(|p| (p, now + set.handover));
        true
    }

    /// It has crashed and lost what it had in memory.
    pub fn forget(&mut self) {
        self.handed.clear();
        self.before = None;
    }

    /// A fill comes in: the trail that goes on from here, or why it is refused.
    pub fn passes(&self, trail: &Trail) -> Result<Trail, Looped> {
        trail.through(&self.me)
    }

    /// Somebody asked only for what is held, of which there was nothing: as the object's new home it now fetches it itself,
    /// so whoever still comes here is sent on to it.
    pub fn hand_over(&mut self, object: u64, to: &NodeId) {
        self.handed.insert(object, to.clone());
        if self.handed.len() > MOST_HANDED {
            self.handed.shift_remove_index(0);
        }
    }

    /// Whom to ask for an object next: nobody that the fill has passed, nor that was `tried`. `trail` is the one that goes on
    /// from here. `None` without a plan, or with nobody left.
    pub fn next(&self, now: Ms, object: u64, trail: &Trail, tried: &[NodeId]) -> Option<Next> {
        let plan = self.plan.as_ref()?;
        let open = |n: &&NodeId| !tried.contains(n) && !trail.holds(n);
        let ask =
            |to: &NodeId, held_only| Some(Next { to: to.clone(), held_only, archive: to == plan.archive() });
        if let Some(to) = self.handed.get(&object).filter(open) {
            return ask(to, false);
        }
        let home = plan.home(object);
        match plan.node(&self.me).map(|n| n.tier) {
            Some(Tier(1)) if home == Some(&self.me) => {
                // Its home of the version before may hold it, or be about to.
                let before = self.before.as_ref().filter(|(_, until)| now < *until);
                let was =
                    before.and_then(|(p, _)| p.home(object)).filter(|was| **was != self.me).filter(open);
                match was {
                    Some(was) => ask(was, true),
                    None => Some(plan.archive()).filter(open).and_then(|a| ask(a, false)),
                }
            }
            // A hub that is not the home, or one that the plan no longer names.
            Some(Tier(1)) | None => {
                home.filter(open).or_else(|| Some(plan.archive()).filter(open)).and_then(|to| ask(to, false))
            }
            Some(_) => plan.sources(&self.me, object).find(open).and_then(|to| ask(to, false)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::tests::tree;

    fn plan(version: u64, hubs: &[&str]) -> Arc<Plan> {
        Arc::new(Plan::check(tree(version, hubs, &["d1", "d2"], &["e1"])).expect("a plan"))
    }

    fn side(me: &str, plans: &[&Arc<Plan>]) -> CacheSide {
        let mut side = CacheSide::new(NodeId::new(me));
        for p in plans {
            assert!(side.take(0.0, Arc::clone(p), &Settings::default()));
        }
        side
    }

    fn next(side: &CacheSide, object: u64, passed: &[&str], tried: &[&str]) -> Option<(String, bool)> {
        let trail =
            passed.iter().try_fold(Trail::default(), |t, n| t.through(&NodeId::new(n))).expect("a trail");
        let tried: Vec<NodeId> = tried.iter().map(|n| NodeId::new(n)).collect();
        side.next(10.0, object, &trail, &tried).map(|n| (n.to.0.to_string(), n.held_only))
    }

    /// An object whose home is one of the hubs in the first plan and another in the second.
    fn moved(old: &Plan, new: &Plan, from: &str, to: &str) -> u64 {
        (0..)
            .find(|o| old.home(*o) == Some(&NodeId::new(from)) && new.home(*o) == Some(&NodeId::new(to)))
            .expect("one")
    }

    #[test]
    fn a_hub_that_is_not_the_home_asks_the_home_and_only_the_home_asks_the_archive() {
        let p = plan(1, &["h1", "h2", "h3"]);
        for object in 0..50 {
            let home = p.home(object).expect("a home").0.to_string();
            for hub in ["h1", "h2", "h3"] {
                let expected = if hub == home { "archive".to_string() } else { home.clone() };
                assert_eq!(next(&side(hub, &[&p]), object, &[hub], &[]), Some((expected, false)));
            }
            // The home is dead: then the archive, rather than nothing.
            let other = if home == "h1" { "h2" } else { "h1" };
            assert_eq!(
                next(&side(other, &[&p]), object, &[other], &[&home]),
                Some(("archive".into(), false))
            );
        }
    }

    #[test]
    fn a_new_home_asks_the_old_one_for_what_it_holds_and_the_old_one_sends_on_what_it_handed_over() {
        let (old, new) = (plan(1, &["h1", "h2"]), plan(2, &["h1", "h2", "h3"]));
        let object = moved(&old, &new, "h1", "h3");
        let h3 = side("h3", &[&old, &new]);
        assert_eq!(next(&h3, object, &["d1", "h3"], &[]), Some(("h1".into(), true)));
        assert_eq!(next(&h3, object, &["d1", "h3"], &["h1"]), Some(("archive".into(), false)));
        assert_eq!(
            next(&h3, object, &["d1", "h1", "h3"], &[]),
            Some(("archive".into(), false)),
            "h1 itself sent it"
        );
        let mut h1 = side("h1", &[&old]);
        assert_eq!(next(&h1, object, &["d2", "h1"], &[]), Some(("archive".into(), false)), "still its home");
        h1.hand_over(object, &NodeId::new("h3"));
        assert_eq!(next(&h1, object, &["d2", "h1"], &[]), Some(("h3".into(), false)));
        assert_eq!(next(&h1, object, &["d2", "h1"], &["h3"]), Some(("archive".into(), false)), "h3 is lost");
        assert_eq!(
            next(&h1, object, &["h3", "h1"], &[]),
            Some(("archive".into(), false)),
            "never back to whom it came from"
        );
        let late = h3.next(1.0e9, object, &Trail::default(), &[]).expect("somebody");
        assert!(late.archive, "the old home is not asked for ever");
    }

    #[test]
    fn versions_are_taken_in_order_only() {
        let (old, new) = (plan(1, &["h1"]), plan(2, &["h1", "h2"]));
        let mut s = side("h1", &[&new]);
        assert!(!s.take(0.0, Arc::clone(&old), &Settings::default()));
        assert!(!s.take(0.0, Arc::clone(&new), &Settings::default()));
        assert_eq!(s.plan().map(|p| p.version()), Some(new.version()));
        assert_eq!(
            next(&CacheSide::new(NodeId::new("d1")), 1, &[], &[]),
            None,
            "without a plan nothing is said"
        );
    }

    #[test]
    fn what_is_handed_over_is_bounded() {
        let p = plan(1, &["h1", "h2"]);
        let mut s = side("h1", &[&p]);
        (0..10_000).for_each(|o| s.hand_over(o, &NodeId::new("h2")));
        assert_eq!(s.handed.len(), MOST_HANDED);
    }
}
