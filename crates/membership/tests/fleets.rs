//! Fleets in simulated time: lost and returning routers, partitions and evidence.

mod net;

use basaltgw_membership::{Event, Evidence, State};
use basaltgw_types::Ms;
use net::Net;

const PERIOD: Ms = 1000.0;

fn evidence(age: Ms) -> Evidence {
    Evidence { site: "east".into(), missed: 7, answered: 1, latency_ms: 12.5, age_ms: age }
}

/// Messages of an idle fleet, and the periods until all routers consider a lost one down.
struct Detection {
    periods: f64,
    messages_per_second: f64,
    bytes_per_second: f64,
}

fn detect_lost_router(routers: usize, seed: u64) -> Detection {
    let mut net = Net::with_routers(routers, seed);
    let lost = routers / 2;
    net.run(20.0 * PERIOD);
    assert!(net.all_alive(), "{routers} routers are not all alive");
    let (before, start) = (net.sent(), net.now);
    net.run(10.0 * PERIOD);
    let (after, secs) = (net.sent(), (net.now - start) / 1000.0 * routers as f64);
    let (messages, bytes) = ((after.0 - before.0) as f64, (after.1 - before.1) as f64);
    net.nodes[lost].suspended = true;
    let (member, start) = (net.member(lost), net.now);
    assert!(
        net.run_until(start + 12.0 * PERIOD, |n| n.all_consider(&member, State::Down, &[])),
        "{routers}: not down everywhere"
    );
    Detection {
        periods: (net.now - start) / PERIOD,
        messages_per_second: messages / secs,
        bytes_per_second: bytes / secs,
    }
}

/// Prints the detection's figures, and checks the number of messages.
fn check_detection(routers: usize, seed: u64) {
    let Detection { periods, messages_per_second: messages, bytes_per_second: bytes } =
        detect_lost_router(routers, seed);
    println!(
        "{routers} routers: down after {periods:.1} periods; quiet: {messages:.1} messages, {bytes:.0} bytes per router and second"
    );
    assert!(messages < 8.0, "{routers}: {messages} messages a second");
}

#[test]
fn a_lost_router_is_down_everywhere_within_twelve_periods() {
    for (routers, seed) in [(5, 1), (5, 2), (100, 3)] {
        check_detection(routers, seed);
    }
}

/// Slow without optimisation: `cargo test --release -p basaltgw-membership -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes without optimisation"]
fn a_lost_router_of_a_thousand_is_down_everywhere_within_twelve_periods() {
    for (routers, seed) in [(300, 4), (1000, 5)] {
        check_detection(routers, seed);
    }
}

#[test]
fn an_incarnation_with_another_disk_replaces_the_former_one_for_good() {
    // The new incarnation starts before the former one is suspected, and after it is considered down. The former process resumes in both cases.
    for (missing, seed) in [(0.5, 6), (15.0, 7)] {
        let mut net = Net::with_routers(12, seed);
        let former = net.member(3);
        net.nodes[3].suspended = true;
        net.run(missing * PERIOD);
        // The new incarnation has the lower number, so it doesn't replace the former one by the order of incarnations.
        let new = net.start(3, 0, 12);
        (0..12).filter(|i| *i != 3).for_each(|i| net.link(i, new));
        let current = net.member(new);
        let replaced = |n: &Net| {
            n.all_consider(&current, State::Alive, &[new]) && n.all_consider(&former, State::Down, &[new])
        };
        let end = net.now + 3.0 * PERIOD;
        assert!(net.run_until(end, replaced), "suspended for {missing} periods");
        net.resume(3);
        (0..3).for_each(|i| net.link(i, 3));
        assert!(
            net.run_until(net.now + 3.0 * PERIOD, |n| n.nodes[3].membership.has_left()),
            "the former incarnation does not leave"
        );
        assert_eq!(net.nodes[3].states.get(&former), Some(&State::Down), "it did not report its own state");
        net.nodes[3].suspended = true;
        net.run(20.0 * PERIOD);
        assert!(replaced(&net) && !net.nodes[new].membership.has_left());
    }
}

#[test]
fn a_restart_with_the_same_disk_is_the_same_member() {
    let mut net = Net::with_routers(8, 8);
    let member = net.member(2);
    for missing in [0.2, 15.0] {
        let old = net.nodes.len();
        net.nodes.iter_mut().filter(|n| n.membership.me().member == member).for_each(|n| n.suspended = true);
        net.run(missing * PERIOD);
        let restarted = net.start(2, 1, 8);
        assert_eq!(restarted, old);
        (0..8).filter(|i| *i != 2).for_each(|i| net.link(i, restarted));
        let end = net.now + 3.0 * PERIOD;
        assert!(net.run_until(end, |n| n.all_consider(&member, State::Alive, &[restarted])));
        net.run(20.0 * PERIOD);
        assert!(
            net.all_consider(&member, State::Alive, &[restarted])
                && net.nodes[restarted].membership.peers().count() == 7
        );
    }
}

#[test]
fn a_partition_heals_with_or_without_new_links() {
    for (relinked, seed) in [(true, 9), (false, 10)] {
        let mut net = Net::with_routers(10, seed);
        (0..4).for_each(|i| net.partitioned[i] = true);
        let is_detected = |n: &Net| (0..4).all(|i| n.all_consider(&n.member(i), State::Down, &[0, 1, 2, 3]));
        let end = net.now + 30.0 * PERIOD;
        assert!(net.run_until(end, is_detected), "the partition is not detected");
        net.run(5.0 * PERIOD);
        net.partitioned.fill(false);
        if relinked {
            (0..4).for_each(|i| (4..10).for_each(|j| net.link(i, j)));
        }
        let within = if relinked { 3.0 } else { 40.0 };
        let (start, end) = (net.now, net.now + within * PERIOD);
        assert!(net.run_until(end, Net::all_alive), "relinked: {relinked}");
        println!(
            "the partition healed after {:.1} periods, new links: {relinked}",
            (net.now - start) / PERIOD
        );
    }
}

#[test]
fn a_loss_of_a_tenth_of_all_messages_takes_no_router_down_for_good() {
    let mut net = Net::with_routers(30, 11);
    net.loss = 0.1;
    net.run(60.0 * PERIOD);
    net.loss = 0.0;
    assert!(net.run_until(net.now + 30.0 * PERIOD, Net::all_alive));
    assert!(net.nodes.iter().all(|n| !n.membership.has_left()));
}

#[test]
fn evidence_reaches_all_routers_ages_and_expires() {
    let mut net = Net::with_routers(60, 12);
    let start = net.now;
    net.handle(0, Event::LocalEvidence(evidence(100.0)));
    let has_reached_all = |n: &Net| n.nodes.iter().skip(1).all(|n| !n.evidence.is_empty());
    assert!(net.run_until(start + 5.0 * PERIOD, has_reached_all), "evidence does not reach all routers");
    println!("evidence reached 60 routers after {:.0} ms", net.now - start);
    net.run(5.0 * PERIOD);
    for node in &net.nodes[1..] {
        let [(reported_at, origin, reported)] = &node.evidence[..] else {
            panic!("evidence was reported {} times", node.evidence.len())
        };
        let (least, most) = (100.0, 100.0 + (reported_at - start));
        assert!(*origin == net.member(0) && (least..=most).contains(&reported.age_ms), "{}", reported.age_ms);
        // The age leaves out the time in transit only, which is at most 5 ms a hop.
        assert!(reported.age_ms >= most - 60.0, "{} of {most}", reported.age_ms);
        assert_eq!(Evidence { age_ms: 100.0, ..reported.clone() }, evidence(100.0));
    }
    // Newer evidence on the same site is gossiped as well, and both have expired once their retention is over.
    net.handle(0, Event::LocalEvidence(evidence(0.0)));
    net.run(15.0 * PERIOD);
    assert!(net.nodes[1..].iter().all(|n| n.evidence.len() == 2));
    let late = net.start(60, 1, 60);
    net.link(late, 1);
    net.run(10.0 * PERIOD);
    assert!(net.nodes[late].evidence.is_empty());
}
