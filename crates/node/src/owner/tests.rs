//! What only the inside of an owner shows.

use super::attempts::Attempt;
use super::*;
use crate::caches::{Answer, AttemptKey, Down};
use crate::clients::life::{Life, Quiet, State};
use crate::clients::{ClientId, Do, FromClient, Tag, WireId};
use crate::inbox::Over;
use crate::limits::{CLIENT_IDLE_MS, LEAVING_MS, ROOM_IDLE_MS, ROOM_REST_MS, ROOM_SILENT_MS};
use crate::outbox::{outbox, OutgoingMessage};
use async_executor::LocalExecutor;
use basaltgw::api::{AttemptNo, Endpoint, EndpointState, GroupId, ObjectId, Part, Role, ZoneId};
use basaltgw_config::{parse, Environment, Member, News};
use serde_json::json;
use std::time::Duration;

mod crossing;

pub(super) const CLIENT: ClientId = ClientId(1);

/// An owner before two edge caches whose connections never come up, since nothing runs its executor.
pub(super) fn owner() -> (Owner, async_channel::Receiver<Rc<OutgoingMessage>>) {
    let member = |id: &str, port: u16, flavor: &str| {
        json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "locality": "here", "flavor": flavor,
               "phase": "SERVING"})
    };
    let config = json!({
        "listen": "127.0.0.1:1", "changelog": "127.0.0.1:2",
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"complete": true, "members": [
            member("s-0000000a", 3, "box"), member("s-0000000b", 4, "box"), member("s-0000000c", 5, "origin")]}}]},
        "settings": {"areas": ["here"], "my-zone": "here", "kinds": ["box", "origin"],
                     "family-info": {"shield-kind": -1, "store-kind": 1, "purge-settles": 6000.0},
                     "services": [{"name": "pages", "idempotency": "read_like", "deadline": 5000.0, "slo": 400.0},
                                  {"name": "loan", "idempotency": "non_idempotent", "deadline": 5000.0, "slo": 400.0},
                                  {"name": "renewal", "idempotency": "idempotency_key", "deadline": 5000.0,
                                   "slo": 400.0, "window": 5000.0}],
                     "limits": {"try-limit": 8, "cancel": true}}
    });
    let config = parse(&config, &Environment::default()).expect("a configuration");
    let shared = Shared {
        executor: Rc::new(LocalExecutor::new()),
        queue: async_channel::unbounded().0,
        clock: Clock::default(),
        meter: Rc::default(),
        invariants: Rc::default(),
        stalls: Rc::default(),
        held_limit: usize::MAX,
    };
    let (out, written) = outbox(&shared.meter, &Rc::default());
    let caches = Caches::new(shared.clone(), 100, config.transport);
    let mut owner = Owner::new(&config, &OwnSettings::default(), &shared, caches);
    let open = Input::ClientOpen(CLIENT, out, life(&owner));
    owner.batch(&mut vec![open]);
    (owner, written)
}

fn life(owner: &Owner) -> Rc<Life> {
    Rc::new(Life::new(&owner.places))
}

fn first_attempt(owner: &Owner) -> &Attempt {
    owner.requests.attempt((RequestNo(1), AttemptNo(0))).expect("an attempt")
}

/// The first attempt of request 1 has been written whole.
fn written(owner: &mut Owner) -> AttemptKey {
    let first = request(owner, 1);
    owner.batch(&mut vec![first]);
    let (conn, parcel) = first_attempt(owner).way.as_ref().expect("on its way");
    parcel.write();
    let up = Input::CacheUp(*conn);
    owner.batch(&mut vec![up]);
    (RequestNo(1), AttemptNo(0))
}

#[test]
fn what_was_given_up_is_out_until_its_server_knows() {
    for end in [AttemptResult::Cancelled, AttemptResult::TimedOut] {
        let (mut owner, _written) = owner();
        let key = written(&mut owner);
        owner.give_up(key, (end, AttemptResult::NotSent), true);
        owner.give_up(key, (AttemptResult::TimedOut, AttemptResult::NotSent), true);
        for _ in 0..3 {
            owner.batch(&mut Vec::new());
            let out: Vec<bool> = attempts(&owner, 1).iter().map(|a| a.1).collect();
            assert_eq!(out, [true], "no other may go out while the server may still have it");
        }
        let [AbortingAttempt { on, tag, .. }] = &owner.leaving[..] else { panic!("one that leaves") };
        let (on, words) = (*on, vec![tag.0.as_bytes().to_vec(), b"yes".to_vec()]);
        let yes = Answer::read(words, &[]).expect("an answer");
        owner.batch(&mut vec![Input::Cache(on, yes)]);
        let out: Vec<bool> = attempts(&owner, 1).iter().map(|a| a.1).collect();
        assert!(!out[0] && out.len() == 2 && owner.leaving.is_empty(), "over, and decided again: {out:?}");
    }
}

#[test]
fn what_was_given_up_is_over_after_a_time_at_a_server_that_says_nothing() {
    let (mut owner, _written) = owner();
    let key = written(&mut owner);
    owner.give_up(key, (AttemptResult::Cancelled, AttemptResult::NotSent), true);
    owner.leaving[0].since -= LEAVING_MS + 1.0;
    owner.batch(&mut Vec::new());
    assert!(!attempts(&owner, 1)[0].1 && owner.leaving.is_empty());
    assert_eq!(owner.counters.attempts.unheeded.get(), 1);
}

#[test]
fn a_write_of_which_nothing_was_sent_in_time_is_refused_and_not_failed() {
    let (mut owner, _written) = owner();
    let Input::Client(client, FromClient::Do(tag, mut write), at) = request(&owner, 1) else {
        panic!("a request")
    };
    (write.class, write.body, write.left) = ("loan".into(), b"borrow".to_vec(), 60.0);
    owner.batch(&mut vec![Input::Client(client, FromClient::Do(tag, write), at)]);
    assert_eq!(attempts(&owner, 1).len(), 1, "it waits for a connection");
    // One batch in which its attempt's time is out and the module's own sweep is due as well.
    let over = owner.now + 200.0;
    while owner.clock.now() < over {
        std::thread::sleep(Duration::from_millis(5));
    }
    owner.batch(&mut Vec::new());
    assert_eq!((owner.counters.clients.refused.get(), owner.counters.clients.failed.get()), (1, 0));
}

#[test]
fn what_was_given_up_is_over_with_its_connection() {
    let (mut owner, _written) = owner();
    let key = written(&mut owner);
    owner.give_up(key, (AttemptResult::Cancelled, AttemptResult::NotSent), true);
    let (conn, _) = first_attempt(&owner).way.as_ref().expect("still out");
    let down = Input::CacheDown(*conn, Down::Ended(Over::Ended));
    owner.batch(&mut vec![down]);
    assert!(!attempts(&owner, 1)[0].1 && owner.leaving.is_empty());
}

pub(super) fn request(owner: &Owner, tag: u64) -> Input {
    let request = Do {
        id: WireId(Arc::from(format!("{tag:016x}"))),
        class: "pages".into(),
        object: ObjectId(7),
        object_text: "0000000000000007".into(),
        part: Part(0),
        group: GroupId(17),
        size_kb: 0.0,
        left: 60_000.0,
        got: None,
        key: None,
        again: false,
        parts: None,
        debt: None,
        body: Vec::new(),
    };
    Input::Client(CLIENT, FromClient::Do(Tag(tag), Box::new(request)), owner.clock.now())
}

/// The servers of a request's attempts, and whether each is still out.
fn attempts(owner: &Owner, no: u64) -> Vec<(ServerId, bool)> {
    let open = owner.requests.get(RequestNo(no)).expect("an open request");
    open.attempts.iter().map(|a| (a.server.clone(), a.way.is_some())).collect()
}

fn draining(owner: &Owner, id: &ServerId) -> Input {
    let address = owner.servers.get(id).expect("a listed server").address;
    let entry = Endpoint {
        id: id.clone(),
        zone: ZoneId(0),
        role: Role::Edge,
        cell: 0,
        state: EndpointState::Draining,
        weight: 1.0,
        started: None,
    };
    Input::News(News::Servers { whole: false, members: vec![Member { entry, address }] })
}

#[test]
fn a_drain_goes_before_a_request_of_its_batch_and_recalls_what_waits() {
    let (mut owner, written) = owner();
    let first = request(&owner, 1);
    owner.batch(&mut vec![first]);
    let [(home, true)] = &attempts(&owner, 1)[..] else { panic!("one attempt that is out") };
    let home = home.clone();
    let (second, drain) = (request(&owner, 2), draining(&owner, &home));
    owner.batch(&mut vec![second, drain]);
    let other = attempts(&owner, 2);
    assert!(other.len() == 1 && other[0].0 != home, "decided after the news: {other:?}");
    assert_eq!(attempts(&owner, 1), [(home, false), (other[0].0.clone(), true)]);
    assert_eq!((owner.counters.attempts.made.get(), written.len()), (3, 0));
}

#[test]
fn a_whole_list_recalls_what_waits_for_servers_it_leaves_out() {
    let (mut owner, _written) = owner();
    let first = request(&owner, 1);
    owner.batch(&mut vec![first]);
    owner.batch(&mut vec![Input::News(News::Servers { whole: true, members: Vec::new() })]);
    // There is nowhere left to go, so it is answered; and nothing of it is out.
    assert!(owner.requests.is_empty());
    assert_eq!((owner.counters.clients.refused.get(), owner.counters.attempts.made.get()), (1, 1));
}

/// Room is wanted, and those that are asked for theirs find nothing that crosses it.
fn make_room(owner: &mut Owner) {
    owner.make_room();
    owner.make_room();
    let asked = owner.clients.0.iter().filter_map(|(id, c)| Some((*id, c.life.asked().map(|_| &c.life)?)));
    let over: Vec<_> = asked.filter_map(|(id, life)| Some((id, life.stops(None)?))).collect();
    over.into_iter().for_each(|(id, over)| owner.client_stopped(id, over));
    owner.clients.release_closed();
}

#[test]
fn what_is_on_its_way_from_a_client_goes_before_its_close() {
    for room in [true, false] {
        let (mut owner, _written) = owner();
        owner.clients.0.iter_mut().for_each(|(_, c)| c.active -= CLIENT_IDLE_MS);
        let life = Rc::clone(&owner.clients.0.get(&CLIENT).expect("a client").life);
        // The owner finds it at rest while its reader has a request for it in hand.
        assert!(life.hands());
        if room {
            owner.batch(&mut vec![Input::RoomWanted]);
        } else {
            owner.tidied = 0.0;
            owner.batch(&mut Vec::new());
        }
        let why = if room { Quiet::Room } else { Quiet::Idle };
        assert_eq!(life.asked(), Some(why));
        assert_eq!(life.stops(None), None);
        let first = request(&owner, 1);
        owner.batch(&mut vec![first]);
        assert_eq!(owner.counters.clients.requests.get(), 1);
        assert_eq!((life.state(), attempts(&owner, 1).len()), (State::Open { on_way: 0, asked: None }, 1));
        owner.batch(&mut vec![Input::RoomWanted]);
        assert_eq!(life.asked(), None, "something is open");
    }
}

#[test]
fn room_is_made_for_a_crowd_by_those_that_are_missed_least() {
    let (mut owner, _written) = owner();
    let first = request(&owner, 1);
    owner.batch(&mut vec![first]);
    let mut outs = Vec::new();
    for id in 2..=17 {
        let (out, written) = outbox(&owner.meter, &Rc::default());
        outs.push(written);
        let open = Input::ClientOpen(ClientId(id), out, life(&owner));
        owner.batch(&mut vec![open]);
    }
    let now = owner.now;
    for (id, client) in &mut owner.clients.0 {
        // Two have long been idle; of the others some have said nothing yet.
        client.spoke = id.0 > 5;
        client.active = if [8, 9].contains(&id.0) { now - ROOM_IDLE_MS } else { now };
    }
    let left = |owner: &Owner| owner.clients.0.keys().map(|id| id.0).collect::<Vec<_>>();
    make_room(&mut owner);
    assert!(!left(&owner).contains(&8) && !left(&owner).contains(&9), "{:?}", left(&owner));
    assert_eq!(left(&owner).len(), 15, "the others were active just now");
    owner.now = now + ROOM_REST_MS;
    make_room(&mut owner);
    let rested: Vec<u64> = left(&owner).into_iter().filter(|n| *n > 5).collect();
    assert_eq!(rested, [10, 11, 12, 13, 14, 15, 16, 17], "two of those that had their answers");
    owner.now = now + ROOM_SILENT_MS;
    (0..20).for_each(|_| make_room(&mut owner));
    assert_eq!(left(&owner), [1], "one with something open stays");
}

#[test]
fn a_purge_recalls_what_waits_with_an_older_age_limit() {
    let (mut owner, _written) = owner();
    let first = request(&owner, 1);
    owner.batch(&mut vec![first]);
    let purge = |group| News::Purge { object: None, group: GroupId(group), time: owner.clock.now() };
    let (elsewhere, here) = (Input::News(purge(16)), Input::News(purge(17)));
    owner.batch(&mut vec![elsewhere]);
    assert_eq!(attempts(&owner, 1).len(), 1, "another group's purge is no reason");
    owner.batch(&mut vec![here]);
    let out: Vec<bool> = attempts(&owner, 1).iter().map(|a| a.1).collect();
    assert_eq!(out, [false, true], "decided again");
}
