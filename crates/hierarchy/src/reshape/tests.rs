//! Tests of `reshape`.

use super::*;
use crate::plan::tests::{node, spec, tree};
use crate::Cold;
use crate::PlanSpec;

struct Rig {
    reshape: Reshape,
    now: Ms,
    table: Arc<Table>,
    log: Vec<(State, Version)>,
    refused: Vec<String>,
}

fn set() -> Settings {
    Settings { proofs: 3, cold: Cold { share: 0.1, span: 10_000.0 }, ..Settings::default() }
}

impl Rig {
    fn new(first: PlanSpec) -> Self {
        let mut rig = Self {
            reshape: Reshape::new(set()),
            now: 0.0,
            table: Arc::default(),
            log: Vec::new(),
            refused: Vec::new(),
        };
        for n in &first.nodes {
            rig.tell(Event::Listed(n.id.clone(), true, None));
        }
        rig.tell(Event::Offer(first));
        rig.log.clear();
        rig
    }

    fn tell(&mut self, event: Event) {
        let mut acts = Vec::new();
        self.reshape.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                Act::Use(table) => self.table = table,
                Act::Entered(v, state, _) => self.log.push((state, v)),
                Act::Refused(r) => self.refused.push(r.to_string()),
                Act::SetAside(a, s) => self.refused.push(format!("{a} {s}")),
            }
        }
    }

    fn wait(&mut self, ms: Ms) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50.0;
            self.tell(Event::Tick);
        }
    }

    fn share(&self, asker: &str, source: &str) -> f64 {
        let of = self.table.of.get(&NodeId::new(asker)).expect("an asker");
        of.iter().find(|s| s.id == NodeId::new(source)).map_or(0.0, |s| s.share)
    }

    fn ended(&mut self, source: &str, object: u64, how: How) {
        let event = Event::Ended { asker: NodeId::new("e1"), source: NodeId::new(source), object, how };
        self.tell(event);
    }

    /// Answers from whoever has the object by the table, as a router would ask.
    fn traffic(&mut self, objects: std::ops::Range<u64>) {
        for object in objects {
            let of = self.table.of.get(&NodeId::new("e1")).expect("an asker").clone();
            let mut open: Vec<&Share> =
                of.iter().filter(|s| within_share(object, fnv1a(&s.id.0), s.share)).collect();
            let score = |s: &Share| {
                basaltgw_structures::hash::rendezvous_score(
                    basaltgw_structures::hash::mix(object, 0),
                    fnv1a(&s.id.0),
                    s.weight,
                )
            };
            open.sort_by(|a, b| score(b).total_cmp(&score(a)));
            let id = open.first().expect("a source").id.0.to_string();
            self.now += 1.0;
            self.ended(&id, object, How::Answered);
        }
    }
}

fn more() -> PlanSpec {
    tree(2, &["h1"], &["d1", "d2", "d3"], &["e1", "e2"])
}

fn few(version: u64) -> PlanSpec {
    tree(version, &["h1"], &["d1", "d2"], &["e1", "e2"])
}

#[test]
fn a_newcomer_takes_its_share_by_answers_and_not_by_time() {
    let mut rig = Rig::new(few(1));
    rig.tell(Event::Listed(NodeId::new("d3"), true, None));
    rig.tell(Event::Offer(more()));
    assert_eq!(rig.share("e1", "d3"), 1.0 / 16.0);
    // Not answered: it stays whatever time passes.
    rig.ended("d3", 1, How::Failed);
    rig.wait(60_000.0);
    assert_eq!(rig.share("e1", "d3"), 1.0 / 16.0);
    (0..3).for_each(|o| rig.ended("d3", o, How::Answered));
    assert_eq!(rig.share("e1", "d3"), 1.0 / 8.0);
    (0..4).for_each(|o| rig.ended("d3", o, How::Failed));
    assert_eq!(rig.share("e1", "d3"), 1.0 / 16.0, "a step back");
    (0..3).for_each(|o| rig.ended("d3", o, How::Answered));
    assert_eq!(rig.share("e1", "d3"), 1.0 / 16.0, "and a rest");
    rig.wait(1_500.0);
    assert_eq!(rig.share("e1", "d3"), 1.0 / 8.0);
    rig.traffic(0..2_000);
    rig.wait(10_000.0);
    let states: Vec<State> = rig.log.iter().map(|l| l.0).collect();
    assert_eq!(
        states,
        [State::Offered, State::Checked, State::Warming, State::Serving, State::Retiring, State::Gone]
    );
    assert_eq!((rig.reshape.under_way(), rig.share("e1", "d3")), (None, 1.0));
}

#[test]
fn a_cold_newcomer_gets_no_more_than_its_age_allows() {
    let mut rig = Rig::new(few(1));
    rig.now = 1_000.0;
    rig.tell(Event::Listed(NodeId::new("d3"), true, Some(1_000.0)));
    rig.tell(Event::Offer(more()));
    rig.traffic(0..3_000);
    assert!(rig.now < 4_100.0);
    assert_eq!(rig.share("e1", "d3"), 0.25, "a third of its warm-up: a quarter, however well it does");
    rig.wait(8_000.0);
    rig.traffic(0..3_000);
    assert_eq!(rig.share("e1", "d3"), 1.0);
}

#[test]
fn a_hub_lost_while_it_warms_gives_its_share_back_and_begins_anew() {
    let mut rig = Rig::new(few(1));
    rig.tell(Event::Listed(NodeId::new("d3"), true, None));
    rig.tell(Event::Offer(more()));
    rig.traffic(0..400);
    assert!(rig.share("e1", "d3") > 1.0 / 16.0);
    rig.tell(Event::Listed(NodeId::new("d3"), false, None));
    assert_eq!(rig.share("e1", "d3"), 0.0);
    rig.wait(30_000.0);
    assert_eq!(rig.reshape.under_way(), Some((Version(2), State::Warming, false)), "it waits");
    let start = rig.now;
    rig.tell(Event::Listed(NodeId::new("d3"), true, Some(start)));
    assert_eq!(rig.share("e1", "d3"), 1.0 / 16.0);
    // Lost again after all others were served by it: leavers wait as well.
    rig.wait(20_000.0);
    rig.traffic(0..2_000);
    rig.wait(5_000.0);
    assert_eq!(rig.reshape.under_way(), None);
}

#[test]
fn a_leaver_gives_up_by_portions_and_is_gone_only_when_quiet() {
    let mut rig = Rig::new(tree(1, &["h1"], &["d1", "d2", "d3"], &["e1", "e2"]));
    rig.tell(Event::Offer(few(2)));
    rig.wait(100.0);
    assert_eq!(rig.reshape.under_way(), Some((Version(2), State::Retiring, false)), "nobody comes");
    assert_eq!(rig.share("e1", "d3"), 0.5);
    rig.traffic(0..400);
    assert_eq!(rig.share("e1", "d3"), 0.0);
    assert!(rig.reshape.under_way().is_some(), "an attempt may still be out");
    rig.wait(2_100.0);
    assert_eq!(rig.reshape.under_way(), None);
    assert_eq!(rig.reshape.plan().map(|p| p.version()), Some(Version(2)));
}

#[test]
fn a_plan_is_taken_back_half_way_and_what_comes_after_it_has_a_higher_version() {
    let mut rig = Rig::new(few(1));
    rig.tell(Event::Listed(NodeId::new("d3"), true, None));
    // d3 takes d2's place.
    rig.tell(Event::Offer(tree(2, &["h1"], &["d1", "d3"], &["e1", "e2"])));
    rig.traffic(0..150);
    let half = rig.share("e1", "d3");
    assert!(half > 0.0 && half < 1.0 && rig.share("e1", "d2") == 1.0, "{half}");
    rig.tell(Event::Offer(more()));
    assert!(rig.refused.pop().expect("a refusal").contains("is under way"));
    rig.tell(Event::TakeBack);
    assert_eq!(rig.share("e1", "d3"), half, "from where it is");
    rig.wait(100.0);
    assert_eq!(rig.reshape.under_way(), Some((Version(1), State::Retiring, true)));
    rig.traffic(0..2_000);
    rig.wait(8_000.0);
    assert_eq!((rig.reshape.under_way(), rig.share("e1", "d3"), rig.share("e1", "d2")), (None, 0.0, 1.0));
    assert_eq!(rig.reshape.plan().map(|p| p.version()), Some(Version(1)));
    rig.tell(Event::TakeBack);
    assert!(rig.refused.pop().expect("a refusal").contains("nothing is under way"));
    rig.tell(Event::Offer(more()));
    assert!(rig.refused.pop().expect("a refusal").contains("version 2 is no later than 2"));
    rig.tell(Event::Offer(PlanSpec { version: Version(3), ..more() }));
    assert_eq!(rig.reshape.under_way(), Some((Version(3), State::Warming, false)), "{:?}", rig.refused);
}

#[test]
fn one_taken_back_at_the_very_end_gets_its_leaver_back() {
    let mut rig = Rig::new(tree(1, &["h1"], &["d1", "d2", "d3"], &["e1", "e2"]));
    rig.tell(Event::Offer(few(2)));
    rig.traffic(0..400);
    assert_eq!((rig.share("e1", "d3"), rig.reshape.under_way().is_some()), (0.0, true));
    rig.tell(Event::TakeBack);
    assert_eq!(rig.share("e1", "d3"), 1.0 / 16.0);
    rig.traffic(0..2_000);
    rig.wait(5_000.0);
    assert_eq!((rig.share("e1", "d3"), rig.reshape.under_way()), (1.0, None));
}

#[test]
fn a_change_in_several_steps_is_taken_back_step_by_step() {
    let pair = |version, a: &[&str], b: &[&str]| {
        spec(
            version,
            vec![
                node("archive", 0, &[]),
                node("h", 1, &["archive"]),
                node("a", 2, a),
                node("b", 2, b),
                node("e1", 3, &["a", "b"]),
            ],
        )
    };
    let mut rig = Rig::new(pair(1, &["h", "b"], &["h", "archive"]));
    rig.tell(Event::Offer(pair(2, &["h", "archive"], &["h", "a"])));
    // The first step is through, and a later one under way.
    while !rig.log.iter().any(|l| l.0 == State::Gone) {
        rig.wait(50.0);
    }
    assert!(rig.reshape.under_way().is_some_and(|(_, _, back)| !back));
    assert_eq!(rig.reshape.came_from().map(|p| p.version()), Some(Version(1)));
    rig.tell(Event::TakeBack);
    rig.wait(60_000.0);
    let sources = |rig: &Rig, n| {
        let node = rig.reshape.plan().and_then(|p| p.node(&NodeId::new(n)).cloned()).expect("a node");
        node.sources.iter().map(|s| s.0.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(rig.reshape.under_way(), None);
    assert_eq!(
        (sources(&rig, "a"), sources(&rig, "b")),
        (vec!["h".into(), "b".into()], vec!["h".into(), "archive".into()])
    );
}

#[test]
fn servers_that_come_and_go_amid_a_change_are_forgotten() {
    let mut rig = Rig::new(few(1));
    rig.tell(Event::Listed(NodeId::new("d3"), true, None));
    rig.tell(Event::Offer(more()));
    let known = rig.reshape.listed.len();
    for n in 0..500 {
        let id = NodeId::new(&format!("x{n}"));
        rig.tell(Event::Listed(id.clone(), true, None));
        rig.tell(Event::Listed(id, false, None));
    }
    assert!(rig.reshape.under_way().is_some() && rig.reshape.listed.len() == known);
}

#[test]
fn what_is_refused_leaves_all_as_it_was() {
    let mut rig = Rig::new(few(1));
    let before = rig.table.clone();
    let mut bad = more();
    bad.nodes[1].sources = vec![NodeId::new("nowhere")];
    rig.tell(Event::Offer(bad));
    rig.tell(Event::Offer(few(1)));
    assert_eq!(
        rig.refused,
        ["node h1: unknown source nowhere", "version 1 is no later than 1, which is in use"]
    );
    assert_eq!((rig.table.clone(), rig.reshape.under_way(), rig.log.len()), (before, None, 0));
    rig.tell(Event::Listed(NodeId::new("d3"), true, None));
    rig.tell(Event::Offer(more()));
    assert!(rig.reshape.under_way().is_some(), "a refused version may be offered again, mended");
}

#[test]
fn a_pair_that_loops_is_set_aside_until_the_plan_changes() {
    let mut rig = Rig::new(few(1));
    rig.ended("d1", 1, How::Looped);
    assert_eq!(rig.share("e1", "d1"), 1.0, "once may be the moment of a change");
    rig.ended("d1", 2, How::Looped);
    assert_eq!((rig.share("e1", "d1"), rig.share("e2", "d1")), (0.0, 1.0));
    assert_eq!(rig.refused, ["e1 d1"]);
    assert!(rig.reshape.describe().iter().any(|l| l.contains("set aside: e1 no longer names d1")));
    (0..5_000).for_each(|n| {
        let asker = NodeId::new(&format!("x{n}"));
        rig.tell(Event::Ended { asker, source: NodeId::new("d1"), object: 1, how: How::Looped });
    });
    assert_eq!(rig.reshape.loops.len(), MOST_PAIRS);
    rig.tell(Event::Listed(NodeId::new("d3"), true, None));
    rig.tell(Event::Offer(more()));
    assert_eq!(rig.share("e1", "d1"), 1.0);
}
