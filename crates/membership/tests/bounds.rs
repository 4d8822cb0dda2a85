//! Bytes from outside, and bounds: nothing panics, nothing grows, what is refused changes nothing.

#[allow(dead_code)] // The other tests use the rest.
mod net;

use basaltgw_membership::{Action, Event, Evidence, Membership, MembershipError, Presence, Settings, State};
use basaltgw_types::{Incarnation, RouterId};
use net::{listed, presence, Net};
use proptest::prelude::*;
use std::collections::VecDeque;

/// A roster that has met r1, and messages that r1 sent it; timers come due at once.
fn pair() -> (Membership, Vec<Vec<u8>>) {
    let mut both = [0, 1].map(|i| Membership::new(presence(i, 1), listed(3), i as u64).expect("a roster"));
    let heard = Evidence { site: "east".into(), missed: 1, answered: 2, latency: 3.0, age: 4.0 };
    let met = [0, 1].map(|i| (i, Event::LinkUp(presence(1 - i, 1))));
    let (mut events, mut sent) = (VecDeque::from(met), Vec::new());
    events.push_back((1, Event::LocalEvidence(heard)));
    for _ in 0..40 {
        let Some((at, event)) = events.pop_front() else { break };
        let mut out = Vec::new();
        both[at].handle(1.0, event, &mut out).expect("taken");
        for action in out {
            match action {
                Action::Send(_, bytes) => {
                    sent.extend((at == 1).then(|| bytes.clone()));
                    events.push_back((1 - at, Event::MessageReceived(presence(at, 1).member, bytes)));
                }
                Action::Timer(_, no) => events.push_back((at, Event::Timer(no))),
                Action::StateChanged(..) | Action::RemoteEvidence(..) | Action::Log(_) => {}
            }
        }
    }
    let [a, _] = both;
    assert!(a.peers().any(|(p, _)| p.member == presence(1, 1).member));
    assert!(sent.len() >= 3, "{}", sent.len());
    (a, sent)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_taken_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400), from in 0..5usize, no in 0..40u64) {
        let (mut roster, _) = pair();
        let mut out = Vec::new();
        let done = roster.handle(2.0, Event::MessageReceived(presence(from, 1).member, bytes), &mut out);
        prop_assert!(done.is_ok() || out.is_empty());
        roster.handle(3.0, Event::Timer(no), &mut out).expect("timers do no harm");
        prop_assert!(roster.peers().count() < listed(3).most_members);
    }

    #[test]
    fn a_broken_message_is_taken_or_refused(pick in any::<prop::sample::Index>(), at in any::<prop::sample::Index>(), to in any::<u8>(), cut in any::<bool>()) {
        let (mut roster, sent) = pair();
        let mut bytes = pick.get(&sent).clone();
        let at = at.index(bytes.len());
        if cut { bytes.truncate(at) } else { bytes[at] = to }
        let mut out = Vec::new();
        let done = roster.handle(2.0, Event::MessageReceived(presence(1, 1).member, bytes), &mut out);
        prop_assert!(done.is_ok() || out.is_empty(), "{done:?} {out:?}");
    }
}

#[test]
fn strangers_are_refused_by_name() {
    let (mut roster, sent) = pair();
    let mut out = Vec::new();
    let mut say = |event| roster.handle(2.0, event, &mut out).expect_err("refused").to_string();
    assert_eq!(say(Event::LinkUp(presence(9, 1))), "r9: expected a router that is listed");
    let own = say(Event::LinkUp(presence(0, 7)));
    assert!(own.contains("a message that speaks for r0"), "{own}");
    let other = say(Event::MessageReceived(presence(2, 1).member, sent[0].clone()));
    assert!(other.contains("r2/") && other.contains("speaks for r1/"), "{other}");
    let long = say(Event::MessageReceived(presence(1, 1).member, vec![0; 100_000]));
    assert!(long.contains("expected at most") && long.contains("100000"), "{long}");
    for (site, latency, age) in [("", 0.0, 0.0), ("a", f64::NAN, 0.0), ("a", 0.0, -1.0), ("a\nb", 0.0, 0.0)] {
        let heard = Evidence { site: site.into(), missed: 0, answered: 0, latency, age };
        assert!(say(Event::LocalEvidence(heard)).starts_with("evidence: "));
    }
    assert!(out.is_empty());
    assert_eq!(roster.counters().refused, 8);
}

#[test]
fn settings_and_names_that_can_not_be_are_named() {
    let bad = |settings| Membership::new(presence(0, 1), settings, 1).err().expect("a fault").to_string();
    assert_eq!(
        bad(Settings { rtt: 900.0, ..listed(3) }),
        "roster.rtt: expected more than 0 and less than half a period"
    );
    assert!(bad(Settings { period: f64::NAN, ..listed(3) }).starts_with("roster.period:"));
    assert!(bad(Settings { most_members: 4, ..listed(3) }).starts_with("roster.most_members:"));
    let mut me: Presence = presence(0, 1);
    me.member.router = RouterId("a b".into());
    assert_eq!(Membership::new(me, listed(3), 1).err(), Some(MembershipError::Setting("me", "plain names")));
}

#[test]
fn more_members_than_may_be_are_left_out_and_the_rest_goes_on() {
    let mut net = Net::of(8, 1);
    let small = net.start(8, 1, 8);
    let few =
        Settings { listed: [presence(0, 1).member.router].into(), most_members: 3, ..Settings::default() };
    net.nodes[small].roster = Membership::new(presence(8, 1), few, 2).expect("a roster");
    net.meet(0, small);
    let who = net.member(small);
    net.allow_refusals = true;
    let end = net.now + 20_000.0;
    assert!(net.until(end, |n| n.nodes[small].roster.counters().left_out > 0));
    net.run(20_000.0);
    assert!(net.nodes[small].roster.peers().count() <= 2);
    assert_eq!(net.nodes[0].states.get(&who), Some(&State::Alive));
}

#[test]
fn evidence_is_bounded_by_router_and_in_all() {
    let settings = Settings { most_sites: 4, most_evidence: 4, ..listed(3) };
    let mut roster = Membership::new(presence(0, 1), settings, 1).expect("a roster");
    let mut out = Vec::new();
    let mut hear = |i: usize| {
        let heard = Evidence { site: format!("s{i}").into(), missed: 1, answered: 0, latency: 1.0, age: 0.0 };
        roster.handle(1.0, Event::LocalEvidence(heard), &mut out)
    };
    assert!((0..4).all(|i| hear(i) == Ok(())));
    assert_eq!(hear(4), Err(MembershipError::LimitReached("sites of one router", 4)));
    assert_eq!(hear(3), Ok(()), "newer news of a known site has room");
    assert_eq!(presence(0, 1).member.incarnation, Incarnation(1));
}
