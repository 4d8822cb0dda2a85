//! A cache's side of the plan: whom it asks for what it lacks, what it has handed over, and when it refuses a loop.

use crate::{Looped, Ms, NodeId, Plan, Settings, Tier, Trail};
use indexmap::IndexMap;
use std::sync::Arc;

/// Versions whose homes are still asked for what they hold.
const MOST_BEFORE: usize = 4;
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
    /// The versions before, the last one first, and until when their homes are asked.
    before: Vec<(Arc<Plan>, Ms)>,
    /// Until then it has not long been there, and others have stood in for it.
    anew: Ms,
    /// Objects of which a new home has taken over the fills.
    handed: IndexMap<u64, NodeId>,
}

impl CacheSide {
    /// A cache without a plan.
    pub fn new(me: NodeId) -> Self {
        Self { me, plan: None, before: Vec::new(), anew: f64::NEG_INFINITY, handed: IndexMap::new() }
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
        if let Some(old) = self.plan.replace(plan) {
            self.before.insert(0, (old, now + set.handover));
        }
        self.before.retain(|(_, until)| now < *until);
        self.before.truncate(MOST_BEFORE);
        true
    }

    /// It has started anew, without what it had in memory; who stood in for it meanwhile is asked first for what it holds.
    pub fn started(&mut self, now: Ms, set: &Settings) {
        self.anew = now + set.handover;
        self.handed.clear();
        self.before.clear();
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
        match plan.node(&self.me).map(|n| n.tier) {
            // Hubs, and those that the plan no longer names.
            Some(Tier(1)) | None => {
                for home in plan.homes(object) {
                    if *home == self.me {
                        return self.as_home(now, object, &open, plan);
                    }
                    // Whom it has lost, the next in order stands in for: all hubs meet there, and not at the archive.
                    if open(&home) {
                        return ask(home, false);
                    }
                }
                Some(plan.archive()).filter(open).and_then(|a| ask(a, false))
            }
            Some(_) => plan.sources(&self.me, object).find(open).and_then(|to| ask(to, false)),
        }
    }

    /// As an object's home: first the homes of versions before, which may hold it or be about to; then the archive.
    fn as_home(&self, now: Ms, object: u64, open: &impl Fn(&&NodeId) -> bool, plan: &Plan) -> Option<Next> {
        let before = self.before.iter().filter(|(_, until)| now < *until);
        let before = before.filter_map(|(p, _)| p.home(object));
        let stood_in = plan.homes(object).nth(1).filter(|_| now < self.anew);
        let was = before.chain(stood_in).find(|was| **was != self.me && open(was));
        if let Some(was) = was {
            return Some(Next { to: was.clone(), held_only: true, archive: false });
        }
        let archive = Some(plan.archive()).filter(open)?;
        Some(Next { to: archive.clone(), held_only: false, archive: true })
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
            // The home is dead: the second in order stands in for it, and there the third meets it.
            let order: Vec<&str> = p.homes(object).map(|n| &*n.0).collect();
            let of = |me: usize, tried: &[&str]| next(&side(order[me], &[&p]), object, &[order[me]], tried);
            assert_eq!(of(1, &order[..1]), Some(("archive".into(), false)));
            assert_eq!(of(2, &order[..1]), Some((order[1].to_string(), false)));
            assert_eq!(of(2, &order[..2]), Some(("archive".into(), false)));
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
        let newer = plan(3, &["h1", "h2", "h3", "h4"]);
        if newer.home(object) == Some(&NodeId::new("h3")) {
            let h3 = side("h3", &[&old, &new, &newer]);
            assert_eq!(
                next(&h3, object, &["d1", "h3"], &[]),
                Some(("h1".into(), true)),
                "also two versions on"
            );
        }
        assert_eq!(
            next(&h1, object, &["h3", "h1"], &[]),
            Some(("archive".into(), false)),
            "never back to whom it came from"
        );
        let late = h3.next(1.0e9, object, &Trail::default(), &[]).expect("somebody");
        assert!(late.archive, "the old home is not asked for ever");
    }

    #[test]
    fn a_home_that_has_just_started_asks_who_stood_in_for_it() {
        let p = plan(1, &["h1", "h2", "h3"]);
        let order: Vec<&str> = p.homes(7).map(|n| &*n.0).collect();
        let mut home = side(order[0], &[&p]);
        assert_eq!(next(&home, 7, &[order[0]], &[]), Some(("archive".into(), false)));
        home.started(5.0, &Settings::default());
        assert_eq!(next(&home, 7, &[order[0]], &[]), Some((order[1].to_string(), true)));
        assert_eq!(next(&home, 7, &[order[0]], &[order[1]]), Some(("archive".into(), false)));
        assert!(home.next(1.0e9, 7, &Trail::default(), &[]).expect("somebody").archive, "not for ever");
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
