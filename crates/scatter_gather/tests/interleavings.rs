//! Every interleaving of a small gather, by stateright: two parts at two sites, a purge after which each site has new copies in its own time, the
//! notice of it and all answers at any moment, late and twice, lower tiers' parts among them, and a client that may leave. The code is the one that
//! routers run.

use basaltgw_scatter_gather::{
    Action, Ask, AttemptNo, Broken, Came, Copy, Decide, Effect, Event, GatherNo, Gathers, Missing, PartNo,
    PartSpec, Policy, Purge, Settings, Site, Times, Verdict,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Milliseconds; few looks in between keep the number of states small.
const DEADLINE: f64 = 120.0;
/// When the archive gave out the copies before and after the purge, and the purge in between.
const BORN: [u64; 2] = [1, 3];
/// See [`BORN`].
const PURGED: u64 = 2;
const NO: GatherNo = GatherNo(7);

/// An attempt as its site and the caller know it.
#[derive(Clone, Debug)]
struct Try {
    attempt: AttemptNo,
    part: usize,
    /// The site's answer, once it gave one: old or new copy, all of the part or not.
    given: Option<(usize, bool)>,
    delivered: u8,
    probe: bool,
    /// Neither used nor dropped.
    owned: bool,
}

#[derive(Clone, Debug)]
struct State {
    gathers: Gathers,
    now: f64,
    timer: Option<f64>,
    /// Sites that have the new copies.
    renewed: [bool; 2],
    purged: bool,
    heard: bool,
    in_part: bool,
    tries: Vec<Try>,
    answers: u8,
    whole: bool,
    part: bool,
    left: bool,
    /// What must never be, and was.
    bad: Option<&'static str>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Purge,
    Renew(usize),
    Hear,
    /// A site answers, with all of the part or not.
    Give(usize, bool),
    Deliver(usize),
    Leave,
    Time,
}

struct Strip {
    /// 1: both parts are of one object. 2: of two objects of a group that is purged, and sites tell of the purge.
    objects: u64,
    broken: Option<Broken>,
}

impl Strip {
    fn ask(&self) -> Ask {
        let site = |i: u32| Site(Arc::from(["a", "b"][i as usize % 2]));
        let part = |i: u32| PartSpec {
            part: PartNo(i),
            object: u64::from(i) % self.objects,
            group: 0,
            site: site(i),
            alternates: vec![],
            worth: 1.0,
            version: None,
        };
        let policy = Policy {
            needed: vec![],
            least_count: 0.5,
            least_worth: 0.5,
            wait: DEADLINE,
            missing: Missing::Owed,
            second_copies: false,
        };
        let times = Times { aim: DEADLINE / 2.0, deadline: DEADLINE, late_worth: 0.5 };
        let parts = vec![part(0), part(1)];
        Ask { no: NO, policy: policy.into(), effect: Effect::Safe, parts, times, purges: vec![] }
    }

    fn version(&self, copy: usize) -> Arc<str> {
        Arc::from(if self.objects == 1 { ["old", "new"][copy] } else { "any" })
    }

    fn tell(&self, s: &mut State, event: Event) {
        let mut acts = vec![];
        s.gathers.handle(s.now, event, &mut acts);
        for act in acts {
            match act {
                Action::Fetch { attempt, part, copy, .. } => {
                    let probe = copy == Copy::Probe;
                    let part = part.0 as usize;
                    s.tries.push(Try { attempt, part, given: None, delivered: 0, probe, owned: true });
                    note(s, s.answers > 0 || s.left, "asked after the end");
                }
                Action::Drop(_, attempt) => {
                    let t = s.tries.iter_mut().find(|t| t.attempt == attempt && t.owned);
                    match t {
                        Some(t) => t.owned = false,
                        None => note(s, true, "dropped what it does not have"),
                    }
                }
                Action::Answer(_, verdict) => answer(s, &verdict),
                Action::Timer(at) => s.timer = Some(at),
                Action::Tell(_) => {}
            }
        }
        let ended = s.answers > 0 || s.left;
        note(s, ended && s.tries.iter().any(|t| t.owned && !t.probe), "not given up at once");
    }
}

fn note(s: &mut State, when: bool, what: &'static str) {
    if when {
        s.bad = s.bad.or(Some(what));
    }
}

fn answer(s: &mut State, verdict: &Verdict) {
    s.answers += 1;
    note(s, s.answers > 1, "two answers");
    note(s, s.left, "an answer after the client left");
    note(s, s.now > DEADLINE, "an answer after the deadline");
    let (used, missing) = match verdict {
        Verdict::Whole { used } => (used, 0),
        Verdict::Part { used, missing, .. } => (used, missing.len()),
        Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => return,
    };
    s.whole |= missing == 0;
    s.part |= missing > 0;
    note(s, used.len() + missing != 2, "a part answer as the whole");
    let mut copies = vec![];
    for u in used {
        let t = s.tries.iter_mut().find(|t| t.attempt == u.attempt && t.owned && t.delivered > 0);
        let Some(t) = t else { return note(s, true, "used what it does not have") };
        t.owned = false;
        let given = t.given;
        note(s, given.is_some_and(|(_, whole)| !whole), "a lower tier's part as whole");
        copies.extend(given.map(|(copy, _)| copy));
    }
    note(s, copies.windows(2).any(|c| c[0] != c[1]), "from both sides of the purge");
    note(s, s.heard && copies.contains(&0), "from before a purge that was heard");
}

impl Model for Strip {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let set = Settings {
            tries: 2,
            usual: 60.0,
            tick: 60.0,
            slack: 0.0,
            tell_every: 3_600_000.0,
            ..Settings::default()
        };
        let mut gathers = Gathers::new(set, 1).expect("settings");
        if let Some(broken) = self.broken {
            gathers = gathers.broken(broken);
        }
        let mut s = State {
            gathers,
            now: 0.0,
            timer: None,
            renewed: [false; 2],
            purged: false,
            heard: false,
            in_part: false,
            tries: vec![],
            answers: 0,
            whole: false,
            part: false,
            left: false,
            bad: None,
        };
        self.tell(&mut s, Event::Ask(self.ask()));
        vec![s]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        let ended = s.answers > 0 || s.left;
        if s.bad.is_some() {
            return;
        }
        steps.extend((!s.purged && !ended).then_some(Step::Purge));
        steps.extend((0..2).filter(|i| s.purged && !s.renewed[*i] && !ended).map(Step::Renew));
        steps.extend((s.purged && !s.heard && !ended).then_some(Step::Hear));
        steps.extend((!ended).then_some(Step::Leave));
        for (i, t) in s.tries.iter().enumerate() {
            if t.given.is_none() && t.owned && !ended {
                steps.push(Step::Give(i, true));
                steps.extend((!s.in_part && t.part == 0).then_some(Step::Give(i, false)));
            }
            // Once in time; the first also once more, and after the answer.
            if t.given.is_some() && t.delivered < 1 + u8::from(i == 0) {
                steps.push(Step::Deliver(i));
            }
        }
        steps.extend((!ended && s.timer.is_some()).then_some(Step::Time));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Purge => s.purged = true,
            Step::Renew(site) => s.renewed[site] = true,
            Step::Hear => {
                s.heard = true;
                self.tell(&mut s, Event::Purged(Purge { group: 0, object: None, time: PURGED }));
            }
            Step::Give(i, whole) => {
                s.in_part |= !whole;
                let copy = usize::from(s.renewed[s.tries[i].part % 2]);
                s.tries[i].given = Some((copy, whole));
            }
            Step::Deliver(i) => {
                s.tries[i].delivered += 1;
                let t = s.tries[i].clone();
                let (copy, whole) = t.given?;
                let mark = Purge { group: 0, object: None, time: PURGED };
                let purges = if copy == 1 && self.objects == 2 { vec![mark] } else { vec![] };
                let (no, attempt, version) = (NO, t.attempt, self.version(copy));
                let came = Came { no, attempt, version, born: BORN[copy], whole, len: 1, took: 0.0, purges };
                self.tell(&mut s, Event::Came(came));
            }
            Step::Leave => {
                s.left = true;
                self.tell(&mut s, Event::Left(NO));
            }
            Step::Time => {
                s.now = s.timer.take()?.max(s.now);
                self.tell(&mut s, Event::Timer);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing that must never be", |_, s: &State| s.bad.is_none()),
            Property::always("an answer by the deadline", |_, s: &State| {
                s.answers > 0 || s.left || s.now < DEADLINE
            }),
            Property::sometimes("all parts", |_, s: &State| s.whole),
            Property::sometimes("some parts", |_, s: &State| s.part),
            Property::sometimes("old copies void, new ones in time", |_, s: &State| {
                s.whole && s.tries.len() > 2 && s.heard
            }),
            Property::sometimes("a lower tier's part asked for again", |_, s: &State| {
                s.in_part && s.whole && s.tries.len() > 2
            }),
            Property::sometimes("the client left", |_, s: &State| s.left),
        ]
    }
}

#[test]
fn no_interleaving_mixes_versions_or_answers_twice() {
    for objects in [1, 2] {
        let checker = Strip { objects, broken: None }.checker().threads(2).spawn_bfs().join();
        checker.assert_properties();
        println!("{objects} objects: {} states", checker.unique_state_count());
    }
}

#[test]
fn each_injected_defect_violates_a_property() {
    let broken = [
        (1, Broken::PartAsWhole),
        (2, Broken::AcrossPurge),
        (1, Broken::TwoVersions),
        (1, Broken::TwoAnswers),
    ];
    for (objects, broken) in broken {
        let checker = Strip { objects, broken: Some(broken) }.checker();
        let checker = checker.threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found = checker.discovery("nothing that must never be").expect("it is found");
        println!("{broken:?}: {:?}", found.last_state().bad);
    }
}
