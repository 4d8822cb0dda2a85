//! Routers that are wrong on purpose, one for each rule: the checker catches each, by what was sent and answered alone.

mod common;
use basaltgw::api::*;
use basaltgw::routing::Router;
use basaltgw_simulator::checker::Rule;
use basaltgw_simulator::sim::{run, Decide, Setup};
use basaltgw_simulator::spec::{Moment, What};
use common::*;
use std::collections::HashMap;

/// The module behind something that spoils its events or actions.
struct Wrong<F> {
    router: Router,
    spoil: F,
    held: HashMap<RequestId, AttemptSpec>,
}

impl<F> Decide for Wrong<F>
where
    F: FnMut(&mut Router, Ms, Event, &mut Vec<Action>, &mut HashMap<RequestId, AttemptSpec>),
{
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        (self.spoil)(&mut self.router, now, event, acts, &mut self.held);
    }
}

fn broken<F>(setup: &Setup, spoil: impl Fn() -> F) -> Vec<Rule>
where
    F: FnMut(&mut Router, Ms, Event, &mut Vec<Action>, &mut HashMap<RequestId, AttemptSpec>) + 'static,
{
    let wrong = |_, set, seed| {
        let router = Router::new(set, seed);
        Box::new(Wrong { router, spoil: spoil(), held: HashMap::new() }) as Box<dyn Decide>
    };
    let figures = run(setup, wrong).expect("a run");
    assert!(
        play(setup).broken.is_empty(),
        "the module itself keeps the rules on this day: {:?}",
        play(setup).broken
    );
    figures.broken.keys().copied().collect()
}

/// A day on which the archive hangs, so that there is something to give up.
fn rough() -> Setup {
    let mut s = setup(11);
    s.load.classes[0].objects = 5_000;
    s.script = vec![on("archive", Moment { for_ms: 5_000.0, ..moment(4_000.0, What::Hang) })];
    s
}

#[test]
fn one_that_does_not_say_when_it_gives_up() {
    let forgets = || {
        |r: &mut Router, now, event, acts: &mut Vec<Action>, _: &mut _| {
            r.handle(now, event, acts);
            acts.retain(|a| !matches!(a, Action::Reject { .. } | Action::Fail(_)));
        }
    };
    assert_eq!(broken(&rough(), forgets), [Rule::Lost]);
}

#[test]
fn one_that_sends_writes_again_though_they_may_have_run() {
    let mut s = rough();
    s.script
        .push(on("archive", Moment { for_ms: 8_000.0, factor: 0.5, ..moment(10_000.0, What::LoseAnswers) }));
    let again = || {
        |r: &mut Router,
         now,
         event: Event,
         acts: &mut Vec<Action>,
         held: &mut HashMap<RequestId, AttemptSpec>| {
            let late = match &event {
                Event::Outcome(o) if o.result == AttemptResult::TimedOut && !o.completes_request => {
                    Some(o.request.clone())
                }
                _ => None,
            };
            r.handle(now, event, acts);
            // A shorter time-out, so that there is time left for the second.
            for act in acts.iter_mut() {
                if let Action::StartAttempt(f) = act {
                    f.timeout = f.timeout.min(900.0);
                    held.entry(f.request.clone()).or_insert_with(|| f.clone());
                }
            }
            if let Some(fetch) = late.and_then(|id| held.remove(&id)).filter(|f| f.rank == Rank::None) {
                acts.retain(|a| !matches!(a, Action::Fail(id) if *id == fetch.request));
                acts.push(Action::StartAttempt(fetch));
            }
        }
    };
    assert!(broken(&s, again).contains(&Rule::Twice));
}

#[test]
fn one_that_does_not_hear_of_drains() {
    let mut s = setup(13);
    s.script =
        vec![on("edge-1-1", moment(5_000.0, What::Drain)), on("district-1", moment(8_000.0, What::Drain))];
    let deaf = || {
        |r: &mut Router, now, event: Event, acts: &mut Vec<Action>, _: &mut _| {
            if matches!(&event, Event::Endpoints { entries: e, .. } if e.iter().any(|e| e.state == EndpointState::Draining))
            {
                return;
            }
            r.handle(now, event, acts);
        }
    };
    assert_eq!(broken(&s, deaf), [Rule::Drain]);
}

#[test]
fn one_that_sends_all_to_the_cache_that_started_last() {
    let mut s = setup(17);
    s.load.per_router = 300.0;
    s.fleet.edge.slots = 2;
    s.fleet.rules.cold_edge.multiple = 0.8;
    s.load.classes[0].kb = [40.0, 120.0];
    s.script = vec![on("edge-1-1", Moment { for_ms: 3_000.0, ..moment(6_000.0, What::Crash) })];
    let hasty = || {
        let mut newest: Option<ServerId> = None;
        move |r: &mut Router, now, event: Event, acts: &mut Vec<Action>, _: &mut _| {
            if let Event::Endpoints { entries, .. } = &event {
                let cold = entries.iter().filter(|e| e.started.is_some() && e.role == Role::Edge);
                newest = cold.map(|e| e.id.clone()).next().or(newest.take());
            }
            r.handle(now, event, acts);
            for act in acts {
                if let (Action::StartAttempt(f), Some(cold)) = (act, &newest) {
                    f.server = if f.rank == Rank::None { f.server.clone() } else { cold.clone() };
                }
            }
        }
    };
    assert!(broken(&s, hasty).contains(&Rule::Cold));
}

#[test]
fn one_that_does_not_hear_of_purges() {
    let mut s = setup(19);
    s.fleet.news.cache_purge_ms = [2_000.0, 3_000.0];
    s.script = vec![Moment { factor: 0.8, ..moment(6_000.0, What::MassPurge) }];
    let deaf = || {
        |r: &mut Router, now, event: Event, acts: &mut Vec<Action>, _: &mut _| {
            if !matches!(event, Event::Purged { .. }) {
                r.handle(now, event, acts);
            }
        }
    };
    assert_eq!(broken(&s, deaf), [Rule::Purge]);
}
