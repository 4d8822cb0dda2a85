//! Model check by stateright of all sequences of a loss and of stalled links in a small fleet: in the end each update was delivered once. A router's
//! decisions follow from its events alone, so a state is known by what was chosen on the way to it.

mod net;

use basaltgw_overlay::{Event, InjectedBug, Kind, Overlay, Settings, Shape};
use net::{listed, Network};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::fmt::{Debug, Formatter};
use std::hash::{Hash, Hasher};

/// Time between two choices, ms: a batch.
const STEP: f64 = 250.0;
/// Number of steps with a choice, and of all steps: enough to find missing updates by comparison.
const CHOOSE: usize = 6;
const END: usize = 40;
/// Delay of frames on a stalled link, ms: longer than the time until late updates are fetched.
const STALL: f64 = 1200.0;
/// The router that alone knows an update without the overlay.
const ALONE: usize = 3;

#[derive(Clone)]
struct State {
    net: Network,
    chosen: Vec<Step>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Go,
    Break(usize),
    Stall(usize),
}

impl Debug for State {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.chosen)
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.chosen.hash(state);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.chosen == other.chosen
    }
}

struct Fleet {
    adapt: fn(Overlay) -> Overlay,
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let shape = Shape { relays: 1, ..Shape::default() };
        // Queries are sent and answered while choices remain.
        let settings = Settings { query_delay_ms: 500.0, ..Settings::default() };
        let mut net = Network::adapted(listed(2, 3, 1), shape, settings, 3, self.adapt);
        assert!(!net.list.is_relay(&net.listed[ALONE].router), "in the lowest tier");
        net.run(8000.0);
        net.publish(2, Kind::Purge, "word");
        net.publish(4, Kind::Purge, "other");
        net.event(ALONE, Event::AlreadyKnown(Kind::Purge, b"alone".to_vec()));
        vec![State { net, chosen: Vec::new() }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let at = state.chosen.len();
        if at >= END {
            return;
        }
        actions.push(Step::Go);
        if at < CHOOSE {
            let links = 0..state.net.link_count();
            let broken = state.chosen.iter().any(|s| matches!(s, Step::Break(_)));
            let stalled = state.chosen.iter().any(|s| matches!(s, Step::Stall(_)));
            actions.extend(links.clone().filter(|_| !broken).map(Step::Break));
            actions.extend(links.filter(|_| !stalled).map(Step::Stall));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut next = last.clone();
        match step {
            Step::Go => {}
            Step::Break(at) => next.net.break_link(at),
            Step::Stall(at) => next.net.stall(at, STALL),
        }
        next.net.run(STEP);
        next.chosen.push(step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody twice", |_, s: &State| s.net.has_no_duplicates()),
            Property::always("nobody is told of words that are gone", |_, s: &State| s.net.has_no_gaps()),
            Property::always("all told at the end", |_, s: &State| {
                let delivered = |(update, but): &(&str, usize)| s.net.all_received(update, *but);
                s.chosen.len() < END || [("word", 2), ("other", 4), ("alone", ALONE)].iter().all(delivered)
            }),
            Property::sometimes("all told soon", |_, s: &State| {
                s.chosen.len() < CHOOSE && s.net.all_received("word", 2)
            }),
        ]
    }
}

#[test]
fn each_update_reaches_all_once_in_every_interleaving_of_losses_and_stalls() {
    let checker = Fleet { adapt: |o| o }.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn dropped_forwarding_is_detected() {
    let fleet = Fleet { adapt: |o| o.with_injected_bug(InjectedBug::DropsForwarding) };
    let checker = fleet.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let found = checker.discoveries();
    assert!(found.keys().any(|name| *name != "all told soon"), "{:?}", found.keys());
}

#[test]
fn bugs_of_queries_are_detected() {
    let broken: [fn(Overlay) -> Overlay; 2] = [
        |o| o.with_injected_bug(InjectedBug::ClaimsToKnowAll),
        |o| o.with_injected_bug(InjectedBug::DropsQueriedUpdates),
    ];
    for adapt in broken {
        let fleet = Fleet { adapt };
        let checker = fleet.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
        let found = checker.discoveries();
        assert!(found.contains_key("all told at the end"), "{:?}", found.keys());
    }
}
