//! All routers of a fleet around servers that are warming up, in simulated time: what arrives at one within a window,
//! compared with its budget, and how much of the budget is used.

#[path = "../common/mod.rs"]
mod common;
mod run;

use basaltgw::api::*;
use common::*;
use run::*;

/// Checks all seeds of each case: the bound, and the least share of the budget that is used.
fn check(cases: &[(Case, f64)]) {
    let mut wrong = Vec::new();
    for (case, least) in cases {
        let runs: Vec<Figures> = (0..case.seeds).map(|seed| Run::new(*case, seed).run()).collect();
        let most = runs.iter().map(|f| f.most).fold(0.0, f64::max);
        let used = runs.iter().map(|f| f.used).sum::<f64>() / runs.len() as f64;
        let n = allowed(&settings_of(case), case, 0.0);
        let line = format!("{}: N {n:.1}, {most:.2} of the bound, {used:.2} of N used", case.name);
        println!("{line}");
        wrong.extend(Some(line).filter(|_| most > 1.0 || used < *least));
    }
    assert_eq!(wrong, Vec::<String>::new());
}

#[test]
fn routers_use_the_slow_start_budget_and_stay_within_it() {
    check(&[
        (USUAL, 0.8),
        (Case { name: "20 routers", ..TWENTY }, 0.6),
        (Case { name: "30 routers", ..THIRTY }, 0.6),
        (Case { name: "300 routers", ..MANY }, 0.4),
    ]);
}

#[test]
fn routers_take_turns_where_a_share_is_below_one_request() {
    check(&[
        (Case { name: "20 routers, 0.72 each", size: 1.0, ..TWENTY }, 0.5),
        (Case { name: "30 routers, 0.48 each", size: 1.0, ..THIRTY }, 0.5),
        (Case { name: "300 routers, 0.096 each", size: 2.0, demand: 20.0, ..MANY }, 0.7),
    ]);
}

#[test]
fn budget_holds_where_one_router_has_ten_times_the_traffic() {
    check(&[
        (Case { name: "2 routers, one with 10x", first: 10.0, ..USUAL }, 0.65),
        (Case { name: "20 routers, one with 10x", first: 10.0, ..TWENTY }, 0.55),
        (Case { name: "30 routers, one with 10x", first: 10.0, ..THIRTY }, 0.55),
    ]);
}

#[test]
fn budget_holds_where_all_routers_restart_within_the_window() {
    let restart = Some((0.3, 0.8));
    check(&[
        (Case { name: "2 routers restart", restart, ..USUAL }, 0.5),
        (Case { name: "20 routers restart", restart, ..TWENTY }, 0.45),
        (Case { name: "20 routers, 0.72 each, restart", size: 1.0, restart, ..TWENTY }, 0.4),
        (Case { name: "30 routers restart", restart, ..THIRTY }, 0.45),
        (Case { name: "300 routers restart", restart, ..MANY }, 0.3),
        (Case { name: "300 routers, 0.096 each, restart", size: 2.0, demand: 20.0, restart, ..MANY }, 0.4),
    ]);
}

#[test]
fn budget_holds_where_new_routers_know_no_costs() {
    let long = Case { restart: Some((-0.1, -0.1)), sending_time: 1000.0, ..USUAL };
    check(&[
        (Case { name: "2 new routers, work of 2.5 aims", size: 20.0, ..long }, 0.5),
        (Case { name: "20 new routers, work of 2.5 aims", routers: 20, size: 29.5, ..long }, 0.4),
    ]);
}

/// A list of a clock that is ahead shows a start in the future; sends until then count all the same.
#[test]
fn listed_start_in_the_future_counts_as_a_start_now() {
    for known in [true, false] {
        let list = |ahead: Ms| {
            let mut all = fleet();
            all[if known { 2 } else { 4 }].started = Some(1000.0 + WARM_MS + ahead);
            all
        };
        let mut driver =
            Driver::new(settings_of(&USUAL), if known { fleet() } else { fleet()[..2].to_vec() });
        for n in 0..10 {
            driver.serve(n, IDEMPOTENT, n as u64, FillReport::Hit);
            driver.advance(WARM_MS / 10.0);
        }
        driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: list(1000.0) });
        let restarted = list(0.0).into_iter().find(|e| e.started.is_some()).expect("one").id;
        let sent = (10..510).filter(|n| {
            let f = driver.serve(*n, IDEMPOTENT, *n as u64, FillReport::FilledBySource);
            f.server == restarted || f.fill_source == restarted
        });
        let (sent, case) = (
            sent.count() as f64,
            Case { role: if known { Role::Edge } else { Role::Parent }, size: 1.0, ..USUAL },
        );
        let may = allowed(&settings_of(&case), &case, 0.0);
        assert!(sent <= may, "{sent} of {may} at once");
    }
}

#[test]
fn budget_holds_for_two_warming_servers_at_once() {
    check(&[
        (Case { name: "20 routers, two cold", restarted: 2, ..TWENTY }, 0.6),
        (Case { name: "30 routers, two cold", restarted: 2, ..THIRTY }, 0.6),
    ]);
}

#[test]
fn budget_holds_where_connections_open_slowly() {
    let late = Case { opening: 400.0, demand: 20.0, seeds: 2, ..USUAL };
    check(&[
        (Case { name: "2 routers, connections opened", ..late }, 0.6),
        (Case { name: "20 routers, connections opened", routers: 20, size: 2.95, ..late }, 0.55),
        (Case { name: "30 routers, connections opened", routers: 30, size: 4.4, ..late }, 0.55),
        (Case { name: "1 router alone, opened", routers: 1, size: 4.0, ..late }, 0.5),
        (
            Case {
                name: "1 router alone, opened late",
                routers: 1,
                size: 4.0,
                opening: 1500.0,
                demand: 5.0,
                ..late
            },
            0.2,
        ),
    ]);
}

#[test]
fn warming_parent_gets_fills_within_its_budget() {
    let (role, size) = (Role::Parent, 15.0);
    check(&[
        (Case { name: "parent, 2 routers", role, size, ..USUAL }, 0.6),
        (Case { name: "parent, 20 routers", role, size, ..TWENTY }, 0.4),
        (Case { name: "parent, 30 routers", role, size, ..THIRTY }, 0.35),
        (Case { name: "parent, 20 restart", role, size, restart: Some((0.3, 0.8)), ..TWENTY }, 0.35),
    ]);
}
