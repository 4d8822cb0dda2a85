//! Any sequence of events: one answer for each gather and in time, each attempt ends once, nothing mixed, nothing grows without bound.

use basaltgw_scatter_gather::{
    Action, Ask, AttemptNo, Broken, Came, Copy, Decide, Effect, Ended, Event, Evidence, GatherNo, Gathers,
    How, Missing, PartNo, PartSpec, Policy, Purge, Settings, Site, Times, Verdict,
};
use basaltgw_types::RouterId;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug)]
struct Shape {
    parts: usize,
    objects: u64,
    sites: u8,
    aim: f64,
    late: f64,
    policy: (f64, f64, f64, u8, bool),
    needed: bool,
}

#[derive(Clone, Debug)]
enum Op {
    Ask(Shape),
    /// The `usize` chooses among all attempts ever made, so that words come late and twice.
    Came(usize, u8, u64, bool, Option<u64>),
    Ended(usize, u8),
    Purge(u64, bool, u64),
    Left(usize),
    Heard(u8, u8, bool),
    Pass(f64),
}

fn shape() -> impl Strategy<Value = Shape> {
    let policy = (0.0..1.0f64, 0.0..1.0f64, 0.0..300.0f64, 0..3u8, any::<bool>());
    (1..6usize, 1..3u64, 1..5u8, 0.0..200.0f64, 0.0..400.0f64, policy, any::<bool>()).prop_map(
        |(parts, objects, sites, aim, late, policy, needed)| Shape {
            parts,
            objects,
            sites,
            aim,
            late,
            policy,
            needed,
        },
    )
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => shape().prop_map(Op::Ask),
        8 => (any::<usize>(), 0..2u8, 1..20u64, prop::bool::weighted(0.9), prop::option::weighted(0.1, 1..20u64))
            .prop_map(|(i, v, b, w, p)| Op::Came(i, v, b, w, p)),
        2 => (any::<usize>(), 0..3u8).prop_map(|(i, h)| Op::Ended(i, h)),
        1 => (0..3u64, any::<bool>(), 1..20u64).prop_map(|(o, g, t)| Op::Purge(o, g, t)),
        1 => any::<usize>().prop_map(Op::Left),
        1 => (0..6u8, 0..3u8, any::<bool>()).prop_map(|(s, f, m)| Op::Heard(s, f, m)),
        4 => (0.0..60.0f64).prop_map(Op::Pass),
    ]
}

/// Bytes that came: when born, which version, and whether all of the part.
type Copied = (u64, Arc<str>, bool);

/// What the caller knows.
#[derive(Default)]
struct Caller {
    asked: BTreeMap<GatherNo, (f64, Ask)>,
    ended: BTreeSet<GatherNo>,
    attempts: Vec<(GatherNo, AttemptNo, PartNo, Copy, f64)>,
    /// Neither used, ended nor dropped; what came of it, if it did.
    owned: BTreeMap<(GatherNo, AttemptNo), Option<Copied>>,
    purges: BTreeMap<GatherNo, Vec<Purge>>,
    heard: Vec<Purge>,
    timer: Option<f64>,
}

fn concerns(p: &Purge, spec: &PartSpec) -> bool {
    p.group == spec.group && p.object.is_none_or(|o| o == spec.object)
}

impl Caller {
    fn take(&mut self, now: f64, acts: Vec<Action>) {
        for act in acts {
            match act {
                Action::Fetch { no, attempt, part, copy, times, site, after, .. } => {
                    let (at, ask) = &self.asked[&no];
                    assert!(!self.ended.contains(&no), "{no:?} asks after its end");
                    assert!(times.deadline < at + ask.times.deadline - now && times.aim <= times.deadline);
                    assert!(copy != Copy::Second || ask.policy.second_copies, "a second copy");
                    let spec = ask.parts.iter().find(|p| p.part == part).expect("a part of it");
                    assert!(spec.site == site || spec.alternates.contains(&site));
                    let known = self.purges[&no].iter().filter(|p| concerns(p, spec)).map(|p| p.time).max();
                    assert_eq!(
                        after,
                        known.unwrap_or(0),
                        "what is fetched must be newer than the purges known"
                    );
                    assert!(self.owned.insert((no, attempt), None).is_none(), "an attempt's number twice");
                    self.attempts.push((no, attempt, part, copy, now));
                }
                Action::Drop(no, attempt) => {
                    assert!(
                        self.owned.remove(&(no, attempt)).is_some(),
                        "dropped twice, or ended: {no:?} {attempt:?}"
                    );
                }
                Action::Answer(no, verdict) => self.answered(now, no, verdict),
                Action::Timer(at) => self.timer = Some(at),
                Action::Tell(e) => assert!(e.missed + e.answered > 0),
            }
        }
        // What is still owned after an end is probes that are out.
        for (no, attempt) in self.owned.keys().filter(|(no, _)| self.ended.contains(no)) {
            let probe = self.attempts.iter().find(|a| (a.0, a.1) == (*no, *attempt)).expect("made");
            assert_eq!(probe.3, Copy::Probe, "left out after the end");
        }
    }

    fn answered(&mut self, now: f64, no: GatherNo, verdict: Verdict) {
        let (at, ask) = &self.asked[&no];
        assert!(self.ended.insert(no), "two answers to {no:?}");
        assert!(now <= at + ask.times.deadline, "after the deadline");
        let (used, missing) = match verdict {
            Verdict::Whole { used } => (used, vec![]),
            Verdict::Part { used, missing, owed, come_back } => {
                assert!(!used.is_empty() && !missing.is_empty() && come_back > 0.0);
                assert_eq!(owed, ask.policy.missing == Missing::Owed);
                assert!(
                    ask.policy.missing != Missing::Refused
                        && !missing.iter().any(|m| ask.policy.needed.contains(m))
                );
                let share = used.len() as f64 / ask.parts.len() as f64;
                assert!(share >= ask.policy.least_count - 1e-6);
                let worth = |p: &PartSpec| if missing.contains(&p.part) { 0.0 } else { p.worth };
                let (all, has) = ask.parts.iter().fold((0.0, 0.0), |s, p| (s.0 + p.worth, s.1 + worth(p)));
                assert!(has >= all * ask.policy.least_worth - 1e-6);
                (used, missing)
            }
            Verdict::Refused { come_back } => return assert!(come_back > 0.0 && come_back < 60_000.0),
            Verdict::Failed => return,
            Verdict::Unfit(fault) => panic!("{fault}"),
        };
        let named: Vec<PartNo> = used.iter().map(|u| u.part).chain(missing).collect();
        assert_eq!(named.iter().collect::<BTreeSet<_>>().len(), ask.parts.len(), "each part once: {named:?}");
        let mut versions = BTreeMap::new();
        for u in &used {
            let spec = ask.parts.iter().find(|p| p.part == u.part).expect("a part of it");
            let (born, version, whole) = self.owned.remove(&(no, u.attempt)).flatten().expect("it came");
            assert!(whole, "a lower tier's part as whole");
            assert_eq!(*versions.entry(spec.object).or_insert(version.clone()), version, "two versions");
            let purged = self.purges[&no].iter().find(|p| concerns(p, spec) && p.time >= born);
            assert!(purged.is_none(), "from before {purged:?}: {born}");
        }
    }
}

fn ask(no: u64, s: &Shape) -> Ask {
    let site = |i: usize| Site(format!("s{}", i % usize::from(s.sites)).into());
    let part = |i: usize| PartSpec {
        part: PartNo(i as u32),
        object: i as u64 % s.objects,
        group: 0,
        site: site(i),
        alternates: vec![site(i + 1), site(i + 2)],
        worth: 1.0 + i as f64,
        version: None,
    };
    let (least_count, least_worth, wait, missing, second_copies) = s.policy;
    let missing = [Missing::Owed, Missing::Dropped, Missing::Refused][usize::from(missing)];
    let needed = if s.needed { vec![PartNo(0)] } else { vec![] };
    let policy = Policy { needed, least_count, least_worth, wait, missing, second_copies };
    let times = Times { aim: s.aim, deadline: s.aim + s.late, late_worth: 0.3 };
    let parts = (0..s.parts).map(part).collect();
    Ask { no: GatherNo(no), policy: policy.into(), effect: Effect::Safe, parts, times, purges: vec![] }
}

fn play(ops: Vec<Op>, seed: u64, broken: Option<Broken>) {
    let set = Settings { sites: 3, open: 4, ..Settings::default() };
    let mut gathers = Gathers::new(set.clone(), seed).expect("settings");
    if let Some(broken) = broken {
        gathers = gathers.broken(broken);
    }
    let (mut caller, mut now, mut acts) = (Caller::default(), 0.0f64, vec![]);
    let rest = [Op::Pass(5_000.0), Op::Pass(5_000.0)];
    for op in ops.into_iter().chain(rest) {
        let event = match op {
            Op::Ask(shape) => {
                let ask = Ask { purges: caller.heard.clone(), ..ask(caller.asked.len() as u64, &shape) };
                caller.purges.insert(ask.no, ask.purges.clone());
                caller.asked.insert(ask.no, (now, ask.clone()));
                Event::Ask(ask)
            }
            Op::Came(i, version, born, whole, purged) if !caller.attempts.is_empty() => {
                let (no, attempt, part, _, _) = caller.attempts[i % caller.attempts.len()];
                let purges: Vec<Purge> = purged
                    .iter()
                    .map(|t| Purge { group: 0, object: Some(u64::from(part.0) % 2), time: *t })
                    .collect();
                let version: Arc<str> = format!("v{version}").into();
                if let Some(bytes @ None) = caller.owned.get_mut(&(no, attempt)) {
                    *bytes = Some((born, version.clone(), whole));
                    caller.purges.get_mut(&no).expect("asked").extend(&purges);
                }
                Event::Came(Came { no, attempt, version, born, whole, len: 10, took: f64::NAN, purges })
            }
            Op::Ended(i, how) if !caller.attempts.is_empty() => {
                let (no, attempt, ..) = caller.attempts[i % caller.attempts.len()];
                if caller.owned.get(&(no, attempt)) == Some(&None) {
                    caller.owned.remove(&(no, attempt));
                }
                let how = [How::Refused(40.0), How::Failed, How::Unreached][usize::from(how)];
                Event::Ended(Ended { no, attempt, how })
            }
            Op::Purge(object, all, time) => {
                let purge = Purge { group: 0, object: (!all).then_some(object), time };
                caller.heard.push(purge);
                caller.purges.values_mut().for_each(|p| p.push(purge));
                Event::Purged(purge)
            }
            Op::Left(i) if !caller.asked.is_empty() => {
                let no = GatherNo((i % caller.asked.len()) as u64);
                caller.ended.insert(no);
                Event::Left(no)
            }
            Op::Heard(site, from, missed) => {
                let (missed, answered) = if missed { (5, 0) } else { (0, 5) };
                let site = Site(format!("s{site}").into());
                let word = Evidence { site, missed, answered, latency: 10.0, age: 5.0 };
                Event::Heard(RouterId(format!("r{from}").into()), word)
            }
            Op::Pass(span) => {
                let until = now + span;
                while let Some(at) = caller.timer.take_if(|t| *t <= until) {
                    assert!(at >= now, "a timer that was due");
                    now = at;
                    gathers.handle(now, Event::Timer, &mut acts);
                    caller.take(now, std::mem::take(&mut acts));
                }
                now = until;
                continue;
            }
            Op::Came(..) | Op::Ended(..) | Op::Left(_) => continue,
        };
        gathers.handle(now, event, &mut acts);
        caller.take(now, std::mem::take(&mut acts));
        let (sites, probes) = gathers.measured();
        assert!(gathers.open() <= set.open && sites <= set.sites);
        assert!(probes <= caller.attempts.len());
    }
    let open: Vec<_> = caller.asked.keys().filter(|no| !caller.ended.contains(no)).collect();
    assert!(open.is_empty(), "never answered: {open:?}");
    assert!(caller.owned.is_empty(), "never given back: {:?}", caller.owned);
    assert_eq!((gathers.open(), gathers.measured().1), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn random_sequence_yields_one_answer_in_time_without_mixed_versions(ops in prop::collection::vec(op(), 1..80), seed in any::<u64>()) {
        play(ops, seed, None);
    }
}

/// Each of the decisions broken on purpose is noticed.
#[test]
fn injected_defects_are_detected_on_random_sequences() {
    for broken in [Broken::PartAsWhole, Broken::AcrossPurge, Broken::TwoVersions, Broken::TwoAnswers] {
        let config =
            ProptestConfig { max_shrink_iters: 0, failure_persistence: None, ..ProptestConfig::default() };
        let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
        let noticed = runner.run(&prop::collection::vec(op(), 1..80), |ops| {
            play(ops, 1, Some(broken));
            Ok(())
        });
        assert!(noticed.is_err(), "{broken:?} was not noticed");
    }
}
