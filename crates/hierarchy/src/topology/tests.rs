//! Topology changes of one router, by events and simulated time.

use super::*;
use crate::plan::test_plans::{node, spec, tree};
use crate::{PlanSpec, SlowStart};
use basaltgw_structures::hash::{fnv1a, mix, rendezvous_score, within_share};

struct Router {
    topology: TopologyManager,
    now: Ms,
    table: Arc<SourceTable>,
    entered: Vec<(ChangeState, Version)>,
    /// Rejected plans and rollbacks, and disabled pairs.
    errors: Vec<String>,
}

fn settings() -> Settings {
    let slow_start = SlowStart { initial_share: 0.1, ramp_duration: 10_000.0 };
    Settings { successes_per_step: 3, slow_start, ..Settings::default() }
}

fn listed(node: &str, up: bool, started: Option<Ms>) -> Event {
    Event::NodeListed { node: NodeId::new(node), up, started }
}

impl Router {
    /// A router with its first plan in use and all of its nodes up.
    fn new(first: PlanSpec) -> Self {
        let mut router = Self {
            topology: TopologyManager::new(settings()),
            now: 0.0,
            table: Arc::default(),
            entered: Vec::new(),
            errors: Vec::new(),
        };
        for n in &first.nodes {
            router.handle(listed(&n.id.0, true, None));
        }
        router.handle(Event::Offer(first));
        router.entered.clear();
        router
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.topology.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::UseSources(table) => self.table = table,
                Action::StateEntered { version, state, .. } => self.entered.push((state, version)),
                Action::Rejected(error) => self.errors.push(error.to_string()),
                Action::PairDisabled { requester, source } => {
                    self.errors.push(format!("{requester} {source}"))
                }
            }
        }
    }

    fn wait(&mut self, duration: Ms) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 50.0;
            self.handle(Event::Tick);
        }
    }

    fn share(&self, requester: &str, source: &str) -> f64 {
        let sources = self.table.sources.get(&NodeId::new(requester)).expect("a requester");
        sources.iter().find(|s| s.id == NodeId::new(source)).map_or(0.0, |s| s.share)
    }

    /// The version, the state, and whether the change is rolled back.
    fn status(&self) -> Option<(u64, ChangeState, bool)> {
        self.topology.change_status().map(|s| (s.version.0, s.state, s.rolling_back))
    }

    fn version(&self) -> Option<u64> {
        self.topology.plan().map(|p| p.version().0)
    }

    /// An attempt at the edge cache e1 ends.
    fn attempt_ended(&mut self, source: &str, object: u64, result: SourceResult) {
        let (requester, source) = (NodeId::new("e1"), NodeId::new(source));
        self.handle(Event::AttemptEnded { requester, source, object, result });
    }

    /// Each object is served by its first source in the table, as a router selects it.
    fn serve(&mut self, objects: std::ops::Range<u64>) {
        for object in objects {
            let sources = self.table.sources.get(&NodeId::new("e1")).expect("a requester").clone();
            let mut candidates: Vec<&PermittedSource> =
                sources.iter().filter(|s| within_share(object, fnv1a(&s.id.0), s.share)).collect();
            let score = |s: &PermittedSource| rendezvous_score(mix(object, 0), fnv1a(&s.id.0), s.weight);
            candidates.sort_by(|a, b| score(b).total_cmp(&score(a)));
            let id = candidates.first().expect("a source").id.0.to_string();
            self.now += 1.0;
            self.attempt_ended(&id, object, SourceResult::Filled);
        }
    }
}

/// Version 2, with d1, d2 and d3 as sources of the edge caches.
fn three_sources() -> PlanSpec {
    tree(2, &["h1"], &["d1", "d2", "d3"], &["e1", "e2"])
}

fn two_sources(version: u64) -> PlanSpec {
    tree(version, &["h1"], &["d1", "d2"], &["e1", "e2"])
}

/// A router that changes from two sources to three; the third is up.
fn with_newcomer() -> Router {
    let mut router = Router::new(two_sources(1));
    router.handle(listed("d3", true, None));
    router.handle(Event::Offer(three_sources()));
    router
}

#[test]
fn newcomers_share_grows_with_successes_and_not_with_time() {
    let mut router = with_newcomer();
    assert_eq!(router.share("e1", "d3"), 1.0 / 16.0);
    // After a failure without a success the share stays, however much time passes.
    router.attempt_ended("d3", 1, SourceResult::Failed);
    router.wait(60_000.0);
    assert_eq!(router.share("e1", "d3"), 1.0 / 16.0);
    (0..3).for_each(|o| router.attempt_ended("d3", o, SourceResult::Filled));
    assert_eq!(router.share("e1", "d3"), 1.0 / 8.0);
    (0..4).for_each(|o| router.attempt_ended("d3", o, SourceResult::Failed));
    assert_eq!(router.share("e1", "d3"), 1.0 / 16.0, "a step back");
    (0..3).for_each(|o| router.attempt_ended("d3", o, SourceResult::Filled));
    assert_eq!(router.share("e1", "d3"), 1.0 / 16.0, "the pause after a step back");
    router.wait(1_500.0);
    assert_eq!(router.share("e1", "d3"), 1.0 / 8.0);
    router.serve(0..2_000);
    router.wait(10_000.0);
    let states: Vec<ChangeState> = router.entered.iter().map(|(state, _)| *state).collect();
    assert_eq!(
        states,
        [
            ChangeState::Offered,
            ChangeState::Checked,
            ChangeState::Warming,
            ChangeState::Serving,
            ChangeState::Retiring,
            ChangeState::Completed
        ]
    );
    assert_eq!((router.status(), router.share("e1", "d3")), (None, 1.0));
}

#[test]
fn newcomer_in_slow_start_gets_no_larger_share_than_its_age_allows() {
    let mut router = Router::new(two_sources(1));
    router.now = 1_000.0;
    router.handle(listed("d3", true, Some(1_000.0)));
    router.handle(Event::Offer(three_sources()));
    router.serve(0..3_000);
    assert!(router.now < 4_100.0);
    assert_eq!(
        router.share("e1", "d3"),
        0.25,
        "a third of its slow start allows a quarter, however many successes"
    );
    router.wait(8_000.0);
    router.serve(0..3_000);
    assert_eq!(router.share("e1", "d3"), 1.0);
}

#[test]
fn newcomer_that_goes_down_loses_its_share_and_starts_again_with_the_first() {
    let mut router = with_newcomer();
    router.serve(0..400);
    assert!(router.share("e1", "d3") > 1.0 / 16.0);
    router.handle(listed("d3", false, None));
    assert_eq!(router.share("e1", "d3"), 0.0);
    router.wait(30_000.0);
    assert_eq!(router.status(), Some((2, ChangeState::Warming, false)), "the change waits for d3");
    let start = router.now;
    router.handle(listed("d3", true, Some(start)));
    assert_eq!(router.share("e1", "d3"), 1.0 / 16.0);
    router.wait(20_000.0);
    router.serve(0..2_000);
    router.wait(5_000.0);
    assert_eq!(router.status(), None);
}

#[test]
fn leavers_share_shrinks_in_steps_and_the_change_ends_after_a_quiet_period() {
    let mut router = Router::new(tree(1, &["h1"], &["d1", "d2", "d3"], &["e1", "e2"]));
    router.handle(Event::Offer(two_sources(2)));
    router.wait(100.0);
    assert_eq!(router.status(), Some((2, ChangeState::Retiring, false)), "there is no newcomer");
    assert_eq!(router.share("e1", "d3"), 0.5);
    router.serve(0..400);
    assert_eq!(router.share("e1", "d3"), 0.0);
    assert!(router.status().is_some(), "an attempt may still be in progress");
    router.wait(2_100.0);
    assert_eq!(router.status(), None);
    assert_eq!(router.version(), Some(2));
}

#[test]
fn change_is_rolled_back_from_the_middle_and_the_next_plan_needs_a_higher_version() {
    let mut router = Router::new(two_sources(1));
    router.handle(listed("d3", true, None));
    // d3 replaces d2.
    router.handle(Event::Offer(tree(2, &["h1"], &["d1", "d3"], &["e1", "e2"])));
    router.serve(0..150);
    let share = router.share("e1", "d3");
    assert!(share > 0.0 && share < 1.0 && router.share("e1", "d2") == 1.0, "{share}");
    router.handle(Event::Offer(three_sources()));
    assert!(router.errors.pop().expect("an error").contains("is in progress"));
    router.handle(Event::RollBack);
    assert_eq!(router.share("e1", "d3"), share, "a rollback begins with the current share");
    router.wait(100.0);
    assert_eq!(router.status(), Some((1, ChangeState::Retiring, true)));
    router.serve(0..2_000);
    router.wait(8_000.0);
    let shares = (router.share("e1", "d3"), router.share("e1", "d2"));
    assert_eq!((router.status(), shares), (None, (0.0, 1.0)));
    assert_eq!(router.version(), Some(1));
    router.handle(Event::RollBack);
    assert!(router.errors.pop().expect("an error").contains("no change is in progress"));
    router.handle(Event::Offer(three_sources()));
    let error = router.errors.pop().expect("an error");
    assert!(error.contains("expected a version above 2") && error.contains("found 2"), "{error}");
    router.handle(Event::Offer(PlanSpec { version: Version(3), ..three_sources() }));
    assert_eq!(router.status(), Some((3, ChangeState::Warming, false)), "{:?}", router.errors);
}

#[test]
fn rollback_after_the_last_step_gives_the_leaver_its_share_back() {
    let mut router = Router::new(tree(1, &["h1"], &["d1", "d2", "d3"], &["e1", "e2"]));
    router.handle(Event::Offer(two_sources(2)));
    router.serve(0..400);
    assert_eq!((router.share("e1", "d3"), router.status().is_some()), (0.0, true));
    router.handle(Event::RollBack);
    assert_eq!(router.share("e1", "d3"), 1.0 / 16.0);
    router.serve(0..2_000);
    router.wait(5_000.0);
    assert_eq!((router.share("e1", "d3"), router.status()), (1.0, None));
}

#[test]
fn change_in_several_steps_is_rolled_back_step_by_step() {
    let pair = |version, a: &[&str], b: &[&str]| {
        spec(
            version,
            vec![
                node("origin", 0, &[]),
                node("h", 1, &["origin"]),
                node("a", 2, a),
                node("b", 2, b),
                node("e1", 3, &["a", "b"]),
            ],
        )
    };
    let mut router = Router::new(pair(1, &["h", "b"], &["h", "origin"]));
    router.handle(Event::Offer(pair(2, &["h", "origin"], &["h", "a"])));
    // The first step is complete, and a later one in progress.
    while !router.entered.iter().any(|(state, _)| *state == ChangeState::Completed) {
        router.wait(50.0);
    }
    assert!(router.status().is_some_and(|(_, _, rolling_back)| !rolling_back));
    assert_eq!(router.topology.rollback_plan().map(|p| p.version()), Some(Version(1)));
    router.handle(Event::RollBack);
    router.wait(60_000.0);
    let sources = |router: &Router, n| {
        let node = router.topology.plan().and_then(|p| p.node(&NodeId::new(n)).cloned()).expect("a node");
        node.sources.iter().map(|s| s.0.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(router.status(), None);
    assert_eq!(
        (sources(&router, "a"), sources(&router, "b")),
        (vec!["h".into(), "b".into()], vec!["h".into(), "origin".into()])
    );
}

#[test]
fn nodes_that_are_in_no_plan_are_forgotten_once_down() {
    let mut router = with_newcomer();
    let known = router.topology.listed.len();
    for n in 0..500 {
        let id = format!("x{n}");
        router.handle(listed(&id, true, None));
        router.handle(listed(&id, false, None));
    }
    assert!(router.status().is_some() && router.topology.listed.len() == known);
}

#[test]
fn rejected_plan_changes_nothing() {
    let mut router = Router::new(two_sources(1));
    let before = router.table.clone();
    let mut invalid = three_sources();
    invalid.nodes[1].sources = vec![NodeId::new("nowhere")];
    router.handle(Event::Offer(invalid));
    router.handle(Event::Offer(two_sources(1)));
    assert_eq!(
        router.errors,
        [
            "node h1: unknown source nowhere",
            "expected a version above 1, the highest offered so far, found 1"
        ]
    );
    assert_eq!((router.table.clone(), router.status(), router.entered.len()), (before, None, 0));
    router.handle(listed("d3", true, None));
    router.handle(Event::Offer(three_sources()));
    assert!(router.status().is_some(), "a corrected plan may have the version of a rejected one");
}

#[test]
fn looping_pair_is_disabled_until_the_plan_changes() {
    let mut router = Router::new(two_sources(1));
    router.attempt_ended("d1", 1, SourceResult::LoopDetected);
    assert_eq!(router.share("e1", "d1"), 1.0, "one loop may be due to a change in progress");
    router.attempt_ended("d1", 2, SourceResult::LoopDetected);
    assert_eq!((router.share("e1", "d1"), router.share("e2", "d1")), (0.0, 1.0));
    assert_eq!(router.errors, ["e1 d1"]);
    let description = router.topology.describe();
    assert!(description.iter().any(|l| l.contains("pair disabled: e1 no longer names d1")));
    (0..5_000).for_each(|n| {
        let (requester, source) = (NodeId::new(&format!("x{n}")), NodeId::new("d1"));
        let result = SourceResult::LoopDetected;
        router.handle(Event::AttemptEnded { requester, source, object: 1, result });
    });
    assert_eq!(router.topology.loops.len(), MAX_LOOP_PAIRS);
    router.handle(listed("d3", true, None));
    router.handle(Event::Offer(three_sources()));
    assert_eq!(router.share("e1", "d1"), 1.0);
}
