//! More updates than the budget allows: simulated, seeded.

mod net;

use basaltgw_overlay::{Event, Kind, Settings, Shape};
use net::{listed, Network};

/// Number of updates, each from another router, and their interval: about twice the budget.
const UPDATES: usize = 400;
const APART_MS: f64 = 25.0;
/// Time in which the fleet catches up.
const CAUGHT_UP_MS: f64 = 40_000.0;

#[test]
fn updates_beyond_the_budget_reach_all_once_the_load_ends() {
    let settings = Settings { budget_bytes_per_s: 7_000.0, burst_bytes: 16_384.0, ..Settings::default() };
    let mut net = Network::new(listed(3, 47, 9), Shape::default(), settings, 1);
    assert!(net.run_until(30_000.0, |n| n.all_caught_up(5000.0)), "catches up");
    let n = net.nodes.len();
    let update = |at: usize| format!("word/{:08x}", at * 7_919);
    let who = |at: usize| at * 61 % n;
    for at in 0..UPDATES {
        net.event(who(at), Event::Publish(Kind::Purge, update(at).into_bytes()));
        net.run(APART_MS);
    }
    let missing = |net: &Network| {
        let of = |at: usize| {
            let not =
                |i: &usize| *i != who(at) && !net.observed[*i].deliveries.contains_key(update(at).as_bytes());
            net.running().filter(not).count()
        };
        (0..UPDATES).map(of).sum::<usize>()
    };
    println!("missing when the last is published: {}", missing(&net));
    net.run(CAUGHT_UP_MS);
    assert_eq!(missing(&net), 0, "of {}", UPDATES * n);
    assert!(net.has_no_duplicates() && net.has_no_gaps());
}
