//! Untrusted messages and limits: no event causes a panic or exceeds a limit, and a rejected event changes nothing.

#[allow(dead_code)] // Other test programs use the remaining items.
mod net;

use basaltgw_membership::{Action, Event, Evidence, Membership, MembershipError, Presence, Settings, State};
use basaltgw_types::{Incarnation, RouterId};
use net::{listed, presence, Net};
use proptest::prelude::*;
use std::collections::VecDeque;

/// Returns the membership of r0, which has a link to r1, and the messages that r1 has sent. Timers expire at once.
fn pair() -> (Membership, Vec<Vec<u8>>) {
    let mut memberships =
        [0, 1].map(|i| Membership::new(presence(i, 1), listed(3), i as u64).expect("valid settings"));
    let evidence = Evidence { site: "east".into(), missed: 1, answered: 2, latency_ms: 3.0, age_ms: 4.0 };
    let links = [0, 1].map(|i| (i, Event::LinkUp(presence(1 - i, 1))));
    let (mut events, mut sent) = (VecDeque::from(links), Vec::new());
    events.push_back((1, Event::LocalEvidence(evidence)));
    for _ in 0..40 {
        let Some((at, event)) = events.pop_front() else { break };
        let mut out = Vec::new();
        memberships[at].handle(1.0, event, &mut out).expect("a valid event is accepted");
        for action in out {
            match action {
                Action::Send(_, bytes) => {
                    sent.extend((at == 1).then(|| bytes.clone()));
                    events.push_back((1 - at, Event::MessageReceived(presence(at, 1).member, bytes)));
                }
                Action::Timer { token, .. } => events.push_back((at, Event::Timer(token))),
                Action::StateChanged(..) | Action::RemoteEvidence(..) | Action::Log(_) => {}
            }
        }
    }
    let [a, _] = memberships;
    assert!(a.peers().any(|p| p.presence.member == presence(1, 1).member));
    assert!(sent.len() >= 3, "{}", sent.len());
    (a, sent)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_handled_or_rejected_without_actions(bytes in prop::collection::vec(any::<u8>(), 0..400), from in 0..5usize, number in 0..40u64) {
        let (mut membership, _) = pair();
        let mut out = Vec::new();
        let result = membership.handle(2.0, Event::MessageReceived(presence(from, 1).member, bytes), &mut out);
        prop_assert!(result.is_ok() || out.is_empty());
        membership.handle(3.0, Event::Timer(number), &mut out).expect("any timer is accepted");
        prop_assert!(membership.peers().count() < listed(3).max_members);
    }

    #[test]
    fn a_corrupted_message_is_handled_or_rejected_without_actions(message in any::<prop::sample::Index>(), at in any::<prop::sample::Index>(), to in any::<u8>(), truncate in any::<bool>()) {
        let (mut membership, sent) = pair();
        let mut bytes = message.get(&sent).clone();
        let at = at.index(bytes.len());
        if truncate { bytes.truncate(at) } else { bytes[at] = to }
        let mut out = Vec::new();
        let result = membership.handle(2.0, Event::MessageReceived(presence(1, 1).member, bytes), &mut out);
        prop_assert!(result.is_ok() || out.is_empty(), "{result:?} {out:?}");
    }
}

#[test]
fn events_of_unlisted_or_mismatched_routers_are_rejected_by_name() {
    let (mut membership, sent) = pair();
    let mut out = Vec::new();
    let mut rejection =
        |event| membership.handle(2.0, event, &mut out).expect_err("the event is rejected").to_string();
    assert_eq!(rejection(Event::LinkUp(presence(9, 1))), "r9 is not a listed router");
    let own = rejection(Event::LinkUp(presence(0, 7)));
    assert!(own.contains("a message in the name of r0"), "{own}");
    let other = rejection(Event::MessageReceived(presence(2, 1).member, sent[0].clone()));
    assert!(other.contains("r2/") && other.contains("in the name of r1/"), "{other}");
    let long = rejection(Event::MessageReceived(presence(1, 1).member, vec![0; 100_000]));
    assert!(long.contains("expected at most") && long.contains("100000"), "{long}");
    for (site, latency, age) in [("", 0.0, 0.0), ("a", f64::NAN, 0.0), ("a", 0.0, -1.0), ("a\nb", 0.0, 0.0)] {
        let evidence =
            Evidence { site: site.into(), missed: 0, answered: 0, latency_ms: latency, age_ms: age };
        assert!(rejection(Event::LocalEvidence(evidence)).starts_with("evidence: "));
    }
    assert!(out.is_empty());
    assert_eq!(membership.counters().rejected, 8);
}

#[test]
fn settings_and_names_out_of_range_are_named_in_the_error() {
    let error = |settings| {
        Membership::new(presence(0, 1), settings, 1).err().expect("invalid settings are rejected").to_string()
    };
    assert_eq!(
        error(Settings { probe_timeout: 900.0, ..listed(3) }),
        "roster.rtt: expected more than 0 and less than half a period"
    );
    assert!(error(Settings { probe_period: f64::NAN, ..listed(3) }).starts_with("roster.period:"));
    assert!(error(Settings { max_members: 4, ..listed(3) }).starts_with("roster.most_members:"));
    let mut me: Presence = presence(0, 1);
    me.member.router = RouterId("a b".into());
    let expected = MembershipError::Setting { setting: "me", expected: "plain names" };
    assert_eq!(Membership::new(me, listed(3), 1).err(), Some(expected));
}

#[test]
fn members_over_the_limit_are_dropped_and_the_others_stay() {
    let mut net = Net::with_routers(8, 1);
    let small = net.start(8, 1, 8);
    let few = Settings {
        listed_routers: [presence(0, 1).member.router].into(),
        max_members: 3,
        ..Settings::default()
    };
    net.nodes[small].membership = Membership::new(presence(8, 1), few, 2).expect("valid settings");
    net.link(0, small);
    let member = net.member(small);
    net.allow_rejections = true;
    let end = net.now + 20_000.0;
    assert!(net.run_until(end, |n| n.nodes[small].membership.counters().updates_dropped > 0));
    net.run(20_000.0);
    assert!(net.nodes[small].membership.peers().count() <= 2);
    assert_eq!(net.nodes[0].states.get(&member), Some(&State::Alive));
}

#[test]
fn evidence_is_limited_for_each_router_and_in_total() {
    let settings = Settings { max_sites_per_router: 4, max_evidence: 4, ..listed(3) };
    let mut membership = Membership::new(presence(0, 1), settings, 1).expect("valid settings");
    let mut out = Vec::new();
    let mut observe = |i: usize| {
        let evidence =
            Evidence { site: format!("s{i}").into(), missed: 1, answered: 0, latency_ms: 1.0, age_ms: 0.0 };
        membership.handle(1.0, Event::LocalEvidence(evidence), &mut out)
    };
    assert!((0..4).all(|i| observe(i) == Ok(())));
    assert_eq!(observe(4), Err(MembershipError::LimitReached { limited: "sites of one router", limit: 4 }));
    assert_eq!(observe(3), Ok(()), "newer evidence on a known site is accepted");
    assert_eq!(presence(0, 1).member.incarnation, Incarnation(1));
}
