use super::*;
use crate::{Event, Evidence, Settings};
use basaltgw_types::{Domain, Incarnation};
use foca::{Header, Message as SwimKind};

fn presence(name: &str, incarnation: u128) -> Presence {
    let member = Member { router: RouterId(name.into()), incarnation: Incarnation(incarnation) };
    let domain = Domain { branch: "b".into(), machine: name.into() };
    Presence { member, address: ([127, 0, 0, 1], 7101).into(), domain }
}

/// Passes a message from an identity of r1 to r0, which knows the first incarnation of r1.
fn receive(
    identity: &RouterIdentity,
    evidence: Vec<EvidenceUpdate>,
) -> (Membership, Result<(), MembershipError>, Vec<Action>) {
    let settings = Settings { listed_routers: [RouterId("r1".into())].into(), ..Settings::default() };
    let mut membership = Membership::new(presence("r0", 1), settings, 1).expect("valid settings");
    let (first, mut actions) = (RouterIdentity::new(presence("r1", 1)), Vec::new());
    let hello = Message::Hello(Box::new(Hello { me: first.clone(), known: None })).encode();
    membership
        .handle(0.0, Event::MessageReceived(first.member().clone(), hello), &mut actions)
        .expect("a hello is accepted");
    let (dst, message) = (RouterIdentity::new(presence("r0", 1)), SwimKind::Ping(1));
    let header = Header { src: identity.clone(), src_incarnation: 0, dst, message };
    let bytes = SwimMessage { header, updates: Vec::new(), has_update_count: false }
        .encode()
        .expect("valid values are encoded");
    actions.clear();
    let event = Event::MessageReceived(identity.member().clone(), Message::Swim { bytes, evidence }.encode());
    let result = membership.handle(1.0, event, &mut actions);
    (membership, result, actions)
}

#[test]
fn an_identity_that_does_not_list_the_known_one_gets_a_hello_and_is_ignored() {
    let known_incarnations =
        |r: &Membership| r.peers().map(|p| p.presence.member.incarnation.0).collect::<Vec<_>>();
    let new = RouterIdentity { generation: 9, ..RouterIdentity::new(presence("r1", 7)) };
    let (membership, result, actions) = receive(&new, Vec::new());
    assert_eq!(
        (result, known_incarnations(&membership), membership.counters().not_current),
        (Ok(()), vec![1], 1)
    );
    let [Action::Send(to, bytes)] = &actions[..] else { panic!("{actions:?}") };
    let Ok(Message::Hello(hello)) = Message::decode(bytes, 1000) else {
        panic!("expected a hello, found {bytes:?}")
    };
    let known = hello.known.map(|k| (k.identity.member().incarnation.0, k.is_down));
    assert_eq!((to, known), (new.member(), Some((1, false))));
    let raised = new
        .raised_above(&RouterIdentity::new(presence("r1", 1)))
        .expect("the generation is below its maximum");
    let (membership, result, _) = receive(&raised, Vec::new());
    assert_eq!(
        (result, known_incarnations(&membership), membership.counters().not_current),
        (Ok(()), vec![7], 0)
    );
}

#[test]
fn invalid_evidence_rejects_the_whole_message() {
    let sender = RouterIdentity::new(presence("r1", 1));
    let update = |latency| {
        let evidence =
            Evidence { site: "east".into(), missed: 1, answered: 0, latency_ms: latency, age_ms: 0.0 };
        EvidenceUpdate { origin: sender.member().clone(), start: 1, serial: 1, evidence }
    };
    let (_, result, actions) = receive(&sender, vec![update(1.0)]);
    assert!(result.is_ok() && actions.iter().any(|a| matches!(a, Action::RemoteEvidence(..))), "{actions:?}");
    let (_, result, actions) = receive(&sender, vec![update(1.0), update(f64::NAN)]);
    assert!(
        matches!(result, Err(MembershipError::InvalidEvidence { field: "latency", .. }))
            && actions.is_empty(),
        "{result:?} {actions:?}"
    );
}
