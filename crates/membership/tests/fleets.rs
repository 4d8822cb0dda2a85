//! Fleets of rosters in simulated time: losses, returns, cuts and evidence.

mod net;

use basaltgw_membership::{Event, Evidence, State};
use basaltgw_types::Ms;
use net::Net;

const PERIOD: Ms = 1000.0;

fn evidence(age: Ms) -> Evidence {
    Evidence { site: "east".into(), missed: 7, answered: 1, latency: 12.5, age }
}

/// All meet, one is lost; how many periods until all others hold it to be down, and what is sent in quiet times.
fn one_is_lost(many: usize, seed: u64) -> (f64, f64, f64) {
    let mut net = Net::of(many, seed);
    let lost = many / 2;
    net.run(20.0 * PERIOD);
    assert!(net.calm(), "{many} have not met");
    let (before, start) = (net.sent(), net.now);
    net.run(10.0 * PERIOD);
    let (after, secs) = (net.sent(), (net.now - start) / 1000.0 * many as f64);
    let quiet = ((after.0 - before.0) as f64 / secs, (after.1 - before.1) as f64 / secs);
    net.nodes[lost].stopped = true;
    let (gone, start) = (net.member(lost), net.now);
    assert!(
        net.until(start + 12.0 * PERIOD, |n| n.all_hold(&gone, State::Down, &[])),
        "{many}: not down at all"
    );
    ((net.now - start) / PERIOD, quiet.0, quiet.1)
}

#[test]
fn a_lost_one_is_down_everywhere_within_twelve_periods() {
    for (many, seed) in [(5, 1), (5, 2), (100, 3)] {
        let (periods, messages, bytes) = one_is_lost(many, seed);
        println!("{many} routers: down after {periods:.1} periods; quiet: {messages:.1} messages, {bytes:.0} bytes per router and second");
        assert!(messages < 8.0, "{many}: {messages} messages a second");
    }
}

/// Slow without optimisation: `cargo test --release -p basaltgw-membership -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes without optimisation"]
fn a_lost_one_of_a_thousand_is_down_everywhere_within_twelve_periods() {
    for (many, seed) in [(300, 4), (1000, 5)] {
        let (periods, messages, bytes) = one_is_lost(many, seed);
        println!("{many} routers: down after {periods:.1} periods; quiet: {messages:.1} messages, {bytes:.0} bytes per router and second");
        assert!(messages < 8.0, "{many}: {messages} messages a second");
    }
}

#[test]
fn a_machine_that_returns_with_another_disk_is_another_and_its_former_self_is_over() {
    // Before it is missed, and once it is held to be down; each time the former wakes up again.
    for (missing, seed) in [(0.5, 6), (15.0, 7)] {
        let mut net = Net::of(12, seed);
        let former = net.member(3);
        net.nodes[3].stopped = true;
        net.run(missing * PERIOD);
        // Its folder's random name is the lower one, so that it's no luck that it wins.
        let new = net.start(3, 0, 12);
        (0..12).filter(|i| *i != 3).for_each(|i| net.meet(i, new));
        let current = net.member(new);
        let seen =
            |n: &Net| n.all_hold(&current, State::Alive, &[new]) && n.all_hold(&former, State::Down, &[new]);
        let end = net.now + 3.0 * PERIOD;
        assert!(net.until(end, seen), "missing for {missing} periods");
        net.wake(3);
        (0..3).for_each(|i| net.meet(i, 3));
        assert!(net.until(net.now + 3.0 * PERIOD, |n| n.nodes[3].roster.ended()), "the former goes on");
        assert_eq!(net.nodes[3].states.get(&former), Some(&State::Down), "it is told of its own end");
        net.nodes[3].stopped = true;
        net.run(20.0 * PERIOD);
        assert!(seen(&net) && !net.nodes[new].roster.ended());
    }
}

#[test]
fn a_restart_with_the_same_folder_is_the_same_member_again() {
    let mut net = Net::of(8, 8);
    let who = net.member(2);
    for missing in [0.2, 15.0] {
        let old = net.nodes.len();
        net.nodes.iter_mut().filter(|n| n.roster.me().member == who).for_each(|n| n.stopped = true);
        net.run(missing * PERIOD);
        let again = net.start(2, 1, 8);
        assert_eq!(again, old);
        (0..8).filter(|i| *i != 2).for_each(|i| net.meet(i, again));
        let end = net.now + 3.0 * PERIOD;
        assert!(net.until(end, |n| n.all_hold(&who, State::Alive, &[again])));
        net.run(20.0 * PERIOD);
        assert!(net.all_hold(&who, State::Alive, &[again]) && net.nodes[again].roster.peers().count() == 7);
    }
}

#[test]
fn a_cut_heals_with_or_without_new_links() {
    for (relinked, seed) in [(true, 9), (false, 10)] {
        let mut net = Net::of(10, seed);
        (0..4).for_each(|i| net.cut[i] = true);
        let apart = |n: &Net| (0..4).all(|i| n.all_hold(&n.member(i), State::Down, &[0, 1, 2, 3]));
        let end = net.now + 30.0 * PERIOD;
        assert!(net.until(end, apart), "the cut is not seen");
        net.run(5.0 * PERIOD);
        net.cut.fill(false);
        if relinked {
            (0..4).for_each(|i| (4..10).for_each(|j| net.meet(i, j)));
        }
        let within = if relinked { 3.0 } else { 40.0 };
        let (start, end) = (net.now, net.now + within * PERIOD);
        assert!(net.until(end, Net::calm), "relinked: {relinked}");
        println!("a cut healed after {:.1} periods, new links: {relinked}", (net.now - start) / PERIOD);
    }
}

#[test]
fn a_tenth_of_all_messages_lost_takes_nobody_down_for_good() {
    let mut net = Net::of(30, 11);
    net.loss = 0.1;
    net.run(60.0 * PERIOD);
    net.loss = 0.0;
    assert!(net.until(net.now + 30.0 * PERIOD, Net::calm));
    assert!(net.nodes.iter().all(|n| !n.roster.ended()));
}

#[test]
fn evidence_reaches_all_grows_older_and_ends() {
    let mut net = Net::of(60, 12);
    let start = net.now;
    net.event(0, Event::LocalEvidence(evidence(100.0)));
    let all = |n: &Net| n.nodes.iter().skip(1).all(|n| !n.evidence.is_empty());
    assert!(net.until(start + 5.0 * PERIOD, all), "it does not reach all");
    println!("evidence reached 60 routers after {:.0} ms", net.now - start);
    net.run(5.0 * PERIOD);
    for node in &net.nodes[1..] {
        let [(at, origin, what)] = &node.evidence[..] else { panic!("told {} times", node.evidence.len()) };
        let (least, most) = (100.0, 100.0 + (at - start));
        assert!(*origin == net.member(0) && (least..=most).contains(&what.age), "{}", what.age);
        // Only the time on the wire isn't counted: at most 5 ms a hop.
        assert!(what.age >= most - 60.0, "{} of {most}", what.age);
        assert_eq!(Evidence { age: 100.0, ..what.clone() }, evidence(100.0));
    }
    // Newer news of the same site pass on, and nothing is left of either after its span.
    net.event(0, Event::LocalEvidence(evidence(0.0)));
    net.run(15.0 * PERIOD);
    assert!(net.nodes[1..].iter().all(|n| n.evidence.len() == 2));
    let late = net.start(60, 1, 60);
    net.meet(late, 1);
    net.run(10.0 * PERIOD);
    assert!(net.nodes[late].evidence.is_empty());
}
