//! Single decisions: who may be a gather, when it is answered, what others' words do, what is handed down.

use basaltgw_scatter_gather::{
    Action, Ask, AttemptNo, Came, Copy, Decide, Effect, Event, Evidence, GatherNo, Gathers, Missing, PartNo,
    PartSpec, Policy, Purge, Settings, Site, Times, Unfit, Verdict,
};
use basaltgw_types::RouterId;

fn site(name: &str) -> Site {
    Site(name.into())
}

fn ask(no: u64, sites: &[&str]) -> Ask {
    let part = |(i, name): (usize, &&str)| PartSpec {
        part: PartNo(i as u32),
        object: 1,
        group: 1,
        site: site(name),
        alternates: vec![],
        worth: 1.0,
        version: None,
    };
    let policy = Policy {
        needed: vec![],
        least_count: 0.0,
        least_worth: 0.0,
        wait: 1_000.0,
        missing: Missing::Owed,
        second_copies: true,
    };
    let times = Times { aim: 300.0, deadline: 1_000.0, late_worth: 0.2 };
    let parts = sites.iter().enumerate().map(part).collect();
    Ask { no: GatherNo(no), policy: policy.into(), effect: Effect::Safe, parts, times, purges: vec![] }
}

struct Play {
    gathers: Gathers,
    now: f64,
    next: u64,
}

type Fetches = Vec<(AttemptNo, Site, Copy, Times)>;

impl Play {
    fn new() -> Self {
        Self { gathers: Gathers::new(Settings::default(), 1).expect("settings"), now: 0.0, next: 0 }
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut acts = vec![];
        self.gathers.handle(self.now, event, &mut acts);
        acts
    }

    fn ask(&mut self, sites: &[&str]) -> (GatherNo, Fetches, Vec<Action>) {
        self.next += 1;
        let acts = self.tell(Event::Ask(ask(self.next, sites)));
        let fetch = |a: &Action| match a {
            Action::Fetch { attempt, site, copy, times, .. } => Some((*attempt, site.clone(), *copy, *times)),
            Action::Drop(..) | Action::Answer(..) | Action::Tell(_) | Action::Timer(_) => None,
        };
        (GatherNo(self.next), acts.iter().filter_map(fetch).collect(), acts)
    }

    fn came(&mut self, no: GatherNo, attempt: AttemptNo) -> Vec<Action> {
        let (version, purges) = ("v".into(), vec![]);
        self.tell(Event::Came(Came { no, attempt, version, born: 5, whole: true, len: 1, took: 4.0, purges }))
    }

    /// Both sites answer so many requests after 20 ms, 4 of them at the site.
    fn answers(&mut self, sites: &[&str], times: usize) {
        for _ in 0..times {
            let (no, fetches, _) = self.ask(sites);
            self.now += 20.0;
            let last = fetches.into_iter().map(|f| self.came(no, f.0)).last();
            assert!(last.and_then(verdict).is_some());
            self.now += 30.0;
        }
    }

    /// The answer and when, as only the clock goes on.
    fn wait(&mut self, acts: Vec<Action>) -> (f64, Verdict) {
        let mut acts = acts;
        loop {
            let timer =
                acts.iter().rev().find_map(|a| if let Action::Timer(at) = a { Some(*at) } else { None });
            if let Some(v) = verdict(acts) {
                return (self.now, v);
            }
            self.now = timer.expect("a time to look again");
            acts = self.tell(Event::Timer);
        }
    }

    fn heard(&mut self, who: usize, name: &str, missed: u32, answered: u32) {
        let word = Evidence { site: site(name), missed, answered, latency: 20.0, age: 0.0 };
        self.tell(Event::Heard(RouterId(format!("r{who}").into()), word));
    }
}

fn verdict(acts: Vec<Action>) -> Option<Verdict> {
    acts.into_iter().find_map(|a| if let Action::Answer(_, v) = a { Some(v) } else { None })
}

#[test]
fn non_idempotent_or_invalid_request_is_not_admitted() {
    let mut play = Play::new();
    for effect in [Effect::Keyed, Effect::Unsafe] {
        let acts = play.tell(Event::Ask(Ask { effect, ..ask(1, &["a", "b"]) }));
        assert_eq!(acts, [Action::Answer(GatherNo(1), Verdict::Unfit(Unfit::Effect(effect)))]);
    }
    let mut twice = ask(2, &["a", "b"]);
    twice.parts[1].part = PartNo(0);
    let acts = play.tell(Event::Ask(twice));
    assert_eq!(acts, [Action::Answer(GatherNo(2), Verdict::Unfit(Unfit::Twice(PartNo(0))))]);
    let mut bad = ask(3, &["a"]);
    bad.times.aim = f64::NAN;
    let Some(Verdict::Unfit(fault)) = verdict(play.tell(Event::Ask(bad))) else {
        panic!("it was taken")
    };
    assert!(fault.to_string().starts_with("gather.aim: expected 0 to the deadline"), "{fault}");
    assert_eq!((play.gathers.counters().first, play.gathers.counters().unfit), (0, 4));
    let bad = Settings { portion: 0.0, ..Settings::default() }.check().expect_err("no portion");
    assert_eq!(bad.to_string(), "gather.portion: expected above 0, at most 1, found 0");
}

#[test]
fn silent_site_is_awaited_for_shorter_times_and_then_excluded() {
    let mut play = Play::new();
    play.answers(&["a", "b"], 60);
    let mut waits = vec![];
    for _ in 0..6 {
        let (no, fetches, _) = play.ask(&["a", "b"]);
        let begun = play.now;
        play.now += 20.0;
        let acts = play.came(no, fetches[0].0);
        let (at, verdict) = play.wait(acts);
        let Verdict::Part { missing, owed, come_back, .. } = verdict else { panic!("{verdict:?}") };
        assert!(missing == [PartNo(1)] && owed && come_back > 0.0);
        waits.push(at - begun);
        play.now += 30.0;
    }
    // The first waits, but not to the aim for a hope that is gone; soon nobody waits.
    assert!(waits[0] > 30.0 && waits.iter().all(|w| *w < 310.0), "{waits:?}");
    assert!(waits[5] < 25.0, "{waits:?}");
    let (_, fetches, _) = play.ask(&["a", "b"]);
    assert!(fetches.iter().all(|f| f.1 == site("a") || f.2 == Copy::Probe), "{fetches:?}");
    // With nothing else asked for it is turned away at once.
    let (_, _, acts) = play.ask(&["b"]);
    let now = play.now;
    let (at, verdict) = play.wait(acts);
    assert!(
        matches!(verdict, Verdict::Refused { come_back } if come_back > 0.0) && at - now < 50.0,
        "{verdict:?}"
    );
}

#[test]
fn peer_evidence_alone_does_not_exclude_a_site_that_answers_locally() {
    let mut play = Play::new();
    play.answers(&["a", "b"], 60);
    let asks = |p: &mut Play| p.ask(&["a", "b"]).1.iter().filter(|f| f.2 == Copy::First).count();
    (0..50).for_each(|r| play.heard(r, "b", 100, 0));
    assert_eq!(asks(&mut play), 2, "left out though it answered just now");
    // Not seen for a while: the others' word counts.
    play.now += 1_000.0;
    (0..50).for_each(|r| play.heard(r, "b", 100, 0));
    assert_eq!(asks(&mut play), 1, "asked though all others lost it");
    assert!(play.gathers.measured().0 == 2);
    // What nobody here has asked does not crowd out what is known.
    (0..10_000).for_each(|i| play.heard(1, &format!("x{i}"), 1, 0));
    assert!(play.gathers.measured().0 <= Settings::default().sites / 2);
}

#[test]
fn request_is_answered_within_the_policy_wait_after_it_is_answerable() {
    let mut play = Play::new();
    play.answers(&["a", "b"], 60);
    let mut short = ask(1_000, &["a", "b"]);
    short.policy = Policy { wait: 12.0, ..(*short.policy).clone() }.into();
    play.tell(Event::Ask(short));
    play.now += 10.0;
    let could = play.now;
    let acts = play.came(GatherNo(1_000), AttemptNo(0));
    let (at, verdict) = play.wait(acts);
    assert!(
        matches!(verdict, Verdict::Part { .. }) && at > could && at <= could + 12.0,
        "{at} after {could}: {verdict:?}"
    );
}

#[test]
fn losing_attempt_of_a_hedged_pair_is_cancelled_immediately() {
    let mut play = Play::new();
    play.answers(&["a", "b", "c"], 60);
    let mut two = ask(1_000, &["a", "c"]);
    two.parts[0].alternates = vec![site("b")];
    let mut acts = play.tell(Event::Ask(two));
    let second = loop {
        let second = |a: &Action| match a {
            Action::Fetch { attempt, site, copy: Copy::Second, .. } => Some((*attempt, site.clone())),
            Action::Fetch { .. }
            | Action::Drop(..)
            | Action::Answer(..)
            | Action::Tell(_)
            | Action::Timer(_) => None,
        };
        if let Some(second) = acts.iter().find_map(second) {
            break second;
        }
        let timer = acts.iter().rev().find_map(|a| if let Action::Timer(at) = a { Some(*at) } else { None });
        play.now = timer.expect("a second copy before the end");
        acts = play.tell(Event::Timer);
    };
    assert_eq!(second.1, site("b"));
    let acts = play.came(GatherNo(1_000), second.0);
    assert!(acts.contains(&Action::Drop(GatherNo(1_000), AttemptNo(0))), "{acts:?}");
    assert!(play.gathers.open() == 1 && verdict(acts).is_none());
}

#[test]
fn time_budget_of_a_sub_request_excludes_network_delay_and_assembly() {
    let mut play = Play::new();
    play.answers(&["a"], 100);
    (0..100).for_each(|_| drop(play.tell(Event::Merged(10.0))));
    let (_, fetches, _) = play.ask(&["a"]);
    // 20 ms, of which 4 at the site; 10 to put it together; 1 kept back.
    let left = fetches[0].3;
    assert!((left.aim - (300.0 - 16.0 - 10.0 - 1.0)).abs() < 0.5, "{left:?}");
    assert!((left.deadline - (1_000.0 - 16.0 - 10.0 - 1.0)).abs() < 0.5, "{left:?}");
}

#[test]
fn continuation_accepts_only_the_answered_version_and_nothing_older_than_a_purge() {
    let mut play = Play::new();
    let mut debt = ask(1, &["a"]);
    debt.parts[0].version = Some("w".into());
    let no = debt.no;
    play.tell(Event::Ask(debt));
    assert_eq!(verdict(play.came(no, AttemptNo(0))), None);
    assert_eq!(play.gathers.counters().other_version, 1);
    let purges = vec![Purge { group: 1, object: Some(1), time: 5 }];
    play.tell(Event::Ask(Ask { purges, ..ask(2, &["a"]) }));
    assert_eq!(verdict(play.came(GatherNo(2), AttemptNo(0))), None);
    assert_eq!(play.gathers.counters().voided, 1);
}
