//! All routers of a fleet and servers that are warming up, in simulated time: compares the requests that arrive at a
//! server within a window with the server's budget, and measures how much of the budget is used.

#[path = "../common/mod.rs"]
mod common;
mod run;

use basaltgw::api::*;
use common::*;
use run::*;

/// Checks with all seeds of each case that no window exceeds the bound, and that the given share of the budget is used.
fn check(cases: &[(Case, f64)]) {
    let mut failures = Vec::new();
    for (case, min_budget_used) in cases {
        let runs: Vec<Figures> = (0..case.seeds).map(|seed| Run::new(*case, seed).run()).collect();
        let bound_share = runs.iter().map(|run| run.max_bound_share).fold(0.0, f64::max);
        let budget_used = runs.iter().map(|run| run.budget_used).sum::<f64>() / runs.len() as f64;
        let budget = allowed_requests(&settings_for(case), case, 0.0);
        let line = format!(
            "{}: budget {budget:.1}, {bound_share:.2} of the bound, {budget_used:.2} of the budget used",
            case.name
        );
        println!("{line}");
        failures.extend(Some(line).filter(|_| bound_share > 1.0 || budget_used < *min_budget_used));
    }
    assert_eq!(failures, Vec::<String>::new());
}

#[test]
fn routers_use_the_slow_start_budget_and_stay_within_it() {
    check(&[
        (TWO_ROUTERS, 0.8),
        (Case { name: "20 routers", ..TWENTY_ROUTERS }, 0.6),
        (Case { name: "30 routers", ..THIRTY_ROUTERS }, 0.6),
        (Case { name: "300 routers", ..THREE_HUNDRED_ROUTERS }, 0.4),
    ]);
}

#[test]
fn routers_take_turns_where_a_share_is_below_one_request() {
    check(&[
        (Case { name: "20 routers, 0.72 each", listed_weight: 1.0, ..TWENTY_ROUTERS }, 0.5),
        (Case { name: "30 routers, 0.48 each", listed_weight: 1.0, ..THIRTY_ROUTERS }, 0.5),
        (
            Case {
                name: "300 routers, 0.096 each",
                listed_weight: 2.0,
                demand: 20.0,
                ..THREE_HUNDRED_ROUTERS
            },
            0.7,
        ),
    ]);
}

#[test]
fn budget_holds_where_one_router_has_ten_times_the_traffic() {
    check(&[
        (Case { name: "2 routers, one with 10x", first_router_traffic: 10.0, ..TWO_ROUTERS }, 0.65),
        (Case { name: "20 routers, one with 10x", first_router_traffic: 10.0, ..TWENTY_ROUTERS }, 0.55),
        (Case { name: "30 routers, one with 10x", first_router_traffic: 10.0, ..THIRTY_ROUTERS }, 0.55),
    ]);
}

#[test]
fn budget_holds_where_all_routers_restart_within_the_window() {
    let router_restart = Some((0.3, 0.8));
    check(&[
        (Case { name: "2 routers restart", router_restart, ..TWO_ROUTERS }, 0.5),
        (Case { name: "20 routers restart", router_restart, ..TWENTY_ROUTERS }, 0.45),
        (
            Case {
                name: "20 routers, 0.72 each, restart",
                listed_weight: 1.0,
                router_restart,
                ..TWENTY_ROUTERS
            },
            0.4,
        ),
        (Case { name: "30 routers restart", router_restart, ..THIRTY_ROUTERS }, 0.45),
        (Case { name: "300 routers restart", router_restart, ..THREE_HUNDRED_ROUTERS }, 0.3),
        (
            Case {
                name: "300 routers, 0.096 each, restart",
                listed_weight: 2.0,
                demand: 20.0,
                router_restart,
                ..THREE_HUNDRED_ROUTERS
            },
            0.4,
        ),
    ]);
}

#[test]
fn budget_holds_where_new_routers_know_no_costs() {
    let long_responses = Case { router_restart: Some((-0.1, -0.1)), sending_time: 1000.0, ..TWO_ROUTERS };
    check(&[
        (
            Case {
                name: "2 new routers, sending time of 2.5 objectives",
                listed_weight: 20.0,
                ..long_responses
            },
            0.5,
        ),
        (
            Case {
                name: "20 new routers, sending time of 2.5 objectives",
                routers: 20,
                listed_weight: 29.5,
                ..long_responses
            },
            0.4,
        ),
    ]);
}

/// A list by a clock that is ahead shows a start in the future; sends until that start count against the budget.
#[test]
fn listed_start_in_the_future_counts_as_a_start_now() {
    for listed_before in [true, false] {
        let list = |clock_ahead: Ms| {
            let mut servers = fleet();
            servers[if listed_before { 2 } else { 4 }].started = Some(1000.0 + WARM_MS + clock_ahead);
            servers
        };
        let mut driver = Driver::new(
            settings_for(&TWO_ROUTERS),
            if listed_before { fleet() } else { fleet()[..2].to_vec() },
        );
        for n in 0..10 {
            driver.serve(n, IDEMPOTENT, n as u64, FillReport::Hit);
            driver.advance(WARM_MS / 10.0);
        }
        driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: list(1000.0) });
        let restarted =
            list(0.0).into_iter().find(|server| server.started.is_some()).expect("the restarted server").id;
        let sent = (10..510).filter(|n| {
            let spec = driver.serve(*n, IDEMPOTENT, *n as u64, FillReport::FilledBySource);
            spec.server == restarted || spec.fill_source == restarted
        });
        let (sent, case) = (
            sent.count() as f64,
            Case {
                role: if listed_before { Role::Edge } else { Role::Parent },
                listed_weight: 1.0,
                ..TWO_ROUTERS
            },
        );
        let budget = allowed_requests(&settings_for(&case), &case, 0.0);
        assert!(sent <= budget, "{sent} sent at once, budget {budget}");
    }
}

#[test]
fn budget_holds_for_two_warming_servers_at_once() {
    check(&[
        (Case { name: "20 routers, two warming", restarted: 2, ..TWENTY_ROUTERS }, 0.6),
        (Case { name: "30 routers, two warming", restarted: 2, ..THIRTY_ROUTERS }, 0.6),
    ]);
}

#[test]
fn budget_holds_where_connections_open_slowly() {
    let slow_connections = Case { max_connect_time: 400.0, demand: 20.0, seeds: 2, ..TWO_ROUTERS };
    check(&[
        (Case { name: "2 routers, slow connections", ..slow_connections }, 0.6),
        (
            Case {
                name: "20 routers, slow connections",
                routers: 20,
                listed_weight: 2.95,
                ..slow_connections
            },
            0.55,
        ),
        (
            Case {
                name: "30 routers, slow connections",
                routers: 30,
                listed_weight: 4.4,
                ..slow_connections
            },
            0.55,
        ),
        (
            Case { name: "1 router, slow connections", routers: 1, listed_weight: 4.0, ..slow_connections },
            0.5,
        ),
        (
            Case {
                name: "1 router, very slow connections",
                routers: 1,
                listed_weight: 4.0,
                max_connect_time: 1500.0,
                demand: 5.0,
                ..slow_connections
            },
            0.2,
        ),
    ]);
}

#[test]
fn warming_parent_gets_fills_within_its_budget() {
    let (role, listed_weight) = (Role::Parent, 15.0);
    check(&[
        (Case { name: "parent, 2 routers", role, listed_weight, ..TWO_ROUTERS }, 0.6),
        (Case { name: "parent, 20 routers", role, listed_weight, ..TWENTY_ROUTERS }, 0.4),
        (Case { name: "parent, 30 routers", role, listed_weight, ..THIRTY_ROUTERS }, 0.35),
        (
            Case {
                name: "parent, 20 restart",
                role,
                listed_weight,
                router_restart: Some((0.3, 0.8)),
                ..TWENTY_ROUTERS
            },
            0.35,
        ),
    ]);
}
