//! What happens where there is more to say than the budget has room for: simulated, from seeds.

mod net;

use basaltgw_overlay::{Event, Kind, Settings, Shape};
use net::{listed, Net};

/// So many words, each said by another router, so far apart: some twice what there is room for.
const WORDS: usize = 400;
const APART_MS: f64 = 25.0;
/// Within this the fleet has caught up.
const CAUGHT_UP_MS: f64 = 40_000.0;

#[test]
fn words_of_many_routers_that_were_too_many_get_round_once_there_is_room() {
    let settings = Settings { budget_bytes_per_s: 7_000.0, burst_bytes: 16_384.0, ..Settings::default() };
    let mut net = Net::new(listed(3, 47, 9), Shape::default(), settings, 1);
    assert!(net.until(30_000.0, |n| n.settled(5000.0)), "settles");
    let n = net.nodes.len();
    let word = |at: usize| format!("word/{:08x}", at * 7_919);
    let who = |at: usize| at * 61 % n;
    for at in 0..WORDS {
        net.event(who(at), Event::Publish(Kind::Purge, word(at).into_bytes()));
        net.run(APART_MS);
    }
    let missing = |net: &Net| {
        let of = |at: usize| {
            let not = |i: &usize| *i != who(at) && !net.seen[*i].new.contains_key(word(at).as_bytes());
            net.live().filter(not).count()
        };
        (0..WORDS).map(of).sum::<usize>()
    };
    println!("missing as the last is said: {}", missing(&net));
    net.run(CAUGHT_UP_MS);
    assert_eq!(missing(&net), 0, "of {}", WORDS * n);
    assert!(net.nobody_twice() && net.nobody_missed());
}
