//! The checker detects routers that violate a rule on purpose, from requests and responses alone.

mod common;
use basaltgw::api::*;
use basaltgw::routing::Router;
use basaltgw_simulator::checker::Rule;
use basaltgw_simulator::sim::{run, DecisionModule, Setup};
use basaltgw_simulator::spec::{ScriptAction, ScriptEvent};
use common::*;
use std::collections::HashMap;

/// A decision module whose events or actions are manipulated.
struct FaultyModule<F> {
    router: Router,
    manipulate: F,
    /// The first attempt of each request, for a manipulation that repeats it.
    first_attempts: HashMap<RequestId, AttemptSpec>,
}

impl<F> DecisionModule for FaultyModule<F>
where
    F: FnMut(&mut Router, Ms, Event, &mut Vec<Action>, &mut HashMap<RequestId, AttemptSpec>),
{
    fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        (self.manipulate)(&mut self.router, now, event, actions, &mut self.first_attempts);
    }
}

/// The rules that routers with manipulated decision modules violate; with unmanipulated ones the setup violates none.
fn violated_rules<F>(setup: &Setup, manipulate: impl Fn() -> F) -> Vec<Rule>
where
    F: FnMut(&mut Router, Ms, Event, &mut Vec<Action>, &mut HashMap<RequestId, AttemptSpec>) + 'static,
{
    let faulty = |_, settings, seed| {
        let router = Router::new(settings, seed);
        Box::new(FaultyModule { router, manipulate: manipulate(), first_attempts: HashMap::new() })
            as Box<dyn DecisionModule>
    };
    let metrics = run(setup, faulty).expect("a valid setup");
    assert!(
        run_setup(setup).violations.is_empty(),
        "the unmanipulated module violates no rule in this setup: {:?}",
        run_setup(setup).violations
    );
    metrics.violations.keys().copied().collect()
}

/// A setup in which the origin hangs, so that routers have to reject or fail requests.
fn setup_with_hung_origin() -> Setup {
    let mut setup = setup(11);
    setup.load.classes[0].objects = 5_000;
    setup.script =
        vec![at_node("archive", ScriptEvent { for_ms: 5_000.0, ..event(4_000.0, ScriptAction::Hang) })];
    setup
}

#[test]
fn a_router_that_drops_rejections_and_failures_loses_requests() {
    let drops_responses = || {
        |r: &mut Router, now, event, actions: &mut Vec<Action>, _: &mut _| {
            r.handle(now, event, actions);
            actions.retain(|a| !matches!(a, Action::Reject { .. } | Action::Fail(_)));
        }
    };
    assert_eq!(violated_rules(&setup_with_hung_origin(), drops_responses), [Rule::Lost]);
}

#[test]
fn a_router_that_resends_writes_that_may_have_run_executes_them_twice() {
    let mut setup = setup_with_hung_origin();
    setup.script.push(at_node(
        "archive",
        ScriptEvent { for_ms: 8_000.0, factor: 0.5, ..event(10_000.0, ScriptAction::LoseAnswers) },
    ));
    let resends = || {
        |r: &mut Router,
         now,
         event: Event,
         actions: &mut Vec<Action>,
         first_attempts: &mut HashMap<RequestId, AttemptSpec>| {
            let timed_out = match &event {
                Event::Outcome(o) if o.result == AttemptResult::TimedOut && !o.completes_request => {
                    Some(o.request.clone())
                }
                _ => None,
            };
            r.handle(now, event, actions);
            // A shorter timeout leaves time for the second attempt.
            for action in actions.iter_mut() {
                if let Action::StartAttempt(attempt) = action {
                    attempt.timeout = attempt.timeout.min(900.0);
                    first_attempts.entry(attempt.request.clone()).or_insert_with(|| attempt.clone());
                }
            }
            if let Some(attempt) = timed_out
                .and_then(|id| first_attempts.remove(&id))
                .filter(|attempt| attempt.rank == Rank::None)
            {
                actions.retain(|a| !matches!(a, Action::Fail(id) if *id == attempt.request));
                actions.push(Action::StartAttempt(attempt));
            }
        }
    };
    assert!(violated_rules(&setup, resends).contains(&Rule::Twice));
}

#[test]
fn a_router_that_ignores_drains_uses_draining_nodes() {
    let mut setup = setup(13);
    setup.script = vec![
        at_node("edge-1-1", event(5_000.0, ScriptAction::Drain)),
        at_node("district-1", event(8_000.0, ScriptAction::Drain)),
    ];
    let ignores = || {
        |r: &mut Router, now, event: Event, actions: &mut Vec<Action>, _: &mut _| {
            if matches!(&event, Event::Endpoints { entries, .. } if entries.iter().any(|e| e.state == EndpointState::Draining))
            {
                return;
            }
            r.handle(now, event, actions);
        }
    };
    assert_eq!(violated_rules(&setup, ignores), [Rule::Drain]);
}

#[test]
fn a_router_that_sends_everything_to_the_newest_cache_overloads_it() {
    let mut setup = setup(17);
    setup.load.per_router = 300.0;
    setup.fleet.edge.slots = 2;
    setup.fleet.rules.cold_edge.multiple = 0.8;
    setup.load.classes[0].kb = [40.0, 120.0];
    setup.script =
        vec![at_node("edge-1-1", ScriptEvent { for_ms: 3_000.0, ..event(6_000.0, ScriptAction::Crash) })];
    let prefers_newest = || {
        let mut newest: Option<ServerId> = None;
        move |r: &mut Router, now, event: Event, actions: &mut Vec<Action>, _: &mut _| {
            if let Event::Endpoints { entries, .. } = &event {
                let cold = entries.iter().filter(|e| e.started.is_some() && e.role == Role::Edge);
                newest = cold.map(|e| e.id.clone()).next().or(newest.take());
            }
            r.handle(now, event, actions);
            for action in actions {
                if let (Action::StartAttempt(attempt), Some(cold)) = (action, &newest) {
                    let keeps_server = attempt.rank == Rank::None;
                    attempt.server = if keeps_server { attempt.server.clone() } else { cold.clone() };
                }
            }
        }
    };
    assert!(violated_rules(&setup, prefers_newest).contains(&Rule::Cold));
}

#[test]
fn a_router_that_ignores_purges_serves_purged_copies() {
    let mut setup = setup(19);
    setup.fleet.news.cache_purge_ms = [2_000.0, 3_000.0];
    setup.script = vec![ScriptEvent { factor: 0.8, ..event(6_000.0, ScriptAction::MassPurge) }];
    let ignores = || {
        |r: &mut Router, now, event: Event, actions: &mut Vec<Action>, _: &mut _| {
            if !matches!(event, Event::Purged { .. }) {
                r.handle(now, event, actions);
            }
        }
    };
    assert_eq!(violated_rules(&setup, ignores), [Rule::Purge]);
}
