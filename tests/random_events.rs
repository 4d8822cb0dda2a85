//! The guarantees under random sequences of events, without a model of servers.

mod common;
use basaltgw::api::*;
use common::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        object: u64,
        part: u64,
        budget: f64,
        known: bool,
    },
    End {
        pick: usize,
        end: u8,
        fill_report: u8,
        delay: f64,
    },
    Leave {
        pick: usize,
    },
    List {
        server: usize,
        listed: u8,
        restart: bool,
    },
    Whole {
        keep: u8,
    },
    Purge {
        object: Option<u64>,
        group: u64,
        age: f64,
    },
    /// A fill plan of some parents with shares, with or without the origin; or none.
    Plan {
        shares: Vec<u8>,
        origin: bool,
    },
    Wait {
        span: f64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..4, 0u64..6, 0u64..3, -10.0..3000.0f64, prop::bool::weighted(0.95))
            .prop_map(|(class, object, part, budget, known)| Step::Request { class, object, part, budget, known }),
        8 => (any::<usize>(), 0u8..9, 0u8..FILL_REPORTS.len() as u8, 0.0..2000.0f64)
            .prop_map(|(pick, end, fill_report, delay)| Step::End { pick, end, fill_report, delay }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        1 => (0usize..7, 0u8..3, any::<bool>())
            .prop_map(|(server, listed, restart)| Step::List { server, listed, restart }),
        1 => any::<u8>().prop_map(|keep| Step::Whole { keep }),
        1 => (prop::option::of(0u64..6), 0u64..6, 0.0..500.0f64)
            .prop_map(|(object, group, age)| Step::Purge { object, group, age }),
        1 => (proptest::collection::vec(0u8..6, 0..4), any::<bool>())
            .prop_map(|(shares, origin)| Step::Plan { shares, origin }),
        4 => (0.0..400.0f64).prop_map(|span| Step::Wait { span }),
    ]
}

/// What the test knows about a request, from events and actions only.
struct Seen {
    class: usize,
    object: u64,
    due: f64,
    answers: usize,
    ended: bool,
    attempts: Vec<(ServerId, bool)>,
    may_have_been_executed: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn guarantees_hold_for_any_sequence_of_events(
        steps in prop::collection::vec(step(), 1..160), copies in any::<bool>(), direct in any::<bool>(),
        large in any::<bool>(),
    ) {
        let mut s = settings();
        (s.hedging, s.direct_to_parents) = (copies, direct);
        let (settles, grace) = (s.purge_convergence_time, s.purge_grace);
        let effects: Vec<Idempotency> = s.classes.iter().map(|c| c.idempotency).collect();
        let servers = if large { large_fleet() } else { fleet() };
        let mut driver = Driver::new(s, servers.clone());
        let mut seen: BTreeMap<RequestId, Seen> = BTreeMap::new();
        let mut banned: BTreeMap<ServerId, f64> = BTreeMap::new();
        let mut purges: Vec<(Option<u64>, u64, f64, f64)> = Vec::new();
        let (mut read, mut count) = (0, 0);
        for step in steps {
            match step {
                Step::Request { class, object, part, budget, known } => {
                    count += 1;
                    let mut r = request(count, ClassId(class), object, budget);
                    r.part = Part(part);
                    if !known {
                        r.class = None;
                    }
                    seen.insert(r.id.clone(), Seen {
                        class, object, due: driver.now + budget.max(0.0), answers: 0, ended: false, attempts: Vec::new(),
                        may_have_been_executed: false,
                    });
                    driver.handle(Event::Request(r));
                }
                Step::End { pick, end, fill_report, delay } => {
                    let mut open: Vec<(RequestId, usize)> = Vec::new();
                    for (id, r) in &seen {
                        open.extend(r.attempts.iter().enumerate().filter(|(_, t)| !t.1).map(|(n, _)| (id.clone(), n)));
                    }
                    if open.is_empty() {
                        continue;
                    }
                    let (id, n) = open[pick % open.len()].clone();
                    let r = seen.get_mut(&id).expect("seen");
                    r.attempts[n].1 = true;
                    let end = AttemptResult::ALL[end as usize];
                    let proved = proves_no_pending_execution(end);
                    r.may_have_been_executed |= !proved;
                    if end == AttemptResult::Served && !r.ended {
                        r.ended = true;
                        r.answers += 1;
                    }
                    let (server, last) = (r.attempts[n].0.clone(), r.ended);
                    driver.handle(Event::Outcome(Outcome {
                        request: id, attempt: AttemptNo(n), server, result: end, latency: delay, completes_request: last, fill_report: FILL_REPORTS[fill_report as usize],
                        source_wait: delay / 3.0, load: LoadReport::default(), body_complete: true,
                    }));
                }
                Step::Leave { pick } => {
                    let open: Vec<RequestId> =
                        seen.iter().filter(|(_, r)| !r.ended).map(|(id, _)| id.clone()).collect();
                    if !open.is_empty() {
                        let id = open[pick % open.len()].clone();
                        let r = seen.get_mut(&id).expect("seen");
                        (r.ended, r.answers) = (true, 1);
                        driver.handle(Event::ClientDisconnected(id));
                    }
                }
                Step::Plan { shares, origin } => {
                    let one = |(n, share): (usize, &u8)| SourceShare {
                        id: server_id(&format!("parent-{n}")), weight: 1.0, share: f64::from(*share) / 4.0,
                    };
                    let of = std::sync::Arc::new(shares.iter().enumerate().map(one).collect::<Vec<_>>());
                    let edges = ["edge-0", "edge-2", "edge-3"].map(server_id);
                    let table = FillPlan {
                        sources: edges.iter().map(|e| (e.clone(), std::sync::Arc::clone(&of))).collect(),
                        origin_allowed: edges.into_iter().filter(|_| origin).collect(),
                    };
                    driver.handle(Event::FillPlan((!shares.is_empty()).then(|| std::sync::Arc::new(table))));
                }
                Step::List { server, listed, restart } => {
                    let mut e = servers[server * servers.len() / 7].clone();
                    e.state = [EndpointState::Up, EndpointState::Draining, EndpointState::Removed][listed as usize];
                    e.started = restart.then_some(driver.now);
                    if e.state == EndpointState::Up {
                        banned.remove(&e.id);
                    } else {
                        banned.insert(e.id.clone(), driver.now);
                    }
                    driver.handle(Event::Endpoints(EndpointUpdate::Delta, vec![e]));
                }
                Step::Whole { keep } => {
                    let kept: Vec<Endpoint> =
                        servers.iter().enumerate().filter(|(n, _)| keep >> (n % 8) & 1 == 1).map(|(_, e)| e.clone()).collect();
                    banned = servers.iter().map(|e| (e.id.clone(), driver.now)).collect();
                    kept.iter().for_each(|e| { banned.remove(&e.id); });
                    driver.handle(Event::Endpoints(EndpointUpdate::Complete, kept));
                }
                Step::Purge { object, group, age } => {
                    purges.push((object, group, driver.now - age, driver.now));
                    driver.handle(Event::Purged(GroupId(group), object.map(ObjectId), age));
                }
                Step::Wait { span } => {
                    driver.advance(span);
                }
            }
            for (at, action) in &driver.log[read..] {
                match action {
                    Action::StartAttempt(f) => {
                        let r = seen.get_mut(&f.request).expect("a known request");
                        prop_assert!(!r.ended, "started after the final answer");
                        let in_flight = r.attempts.iter().filter(|t| !t.1).count();
                        prop_assert!(in_flight == 0 || (copies && in_flight == 1 && effects[r.class] == Idempotency::Idempotent));
                        prop_assert!(effects[r.class] != Idempotency::NonIdempotent || !r.may_have_been_executed, "executed twice");
                        for name in [&f.server, &f.fill_source] {
                            prop_assert!(!banned.contains_key(name), "{name:?} is draining or removed");
                        }
                        for (object, group, purged, notified) in &purges {
                            let named = object.map_or(*group == r.object % 8, |o| o == r.object);
                            if named && *at > notified + grace && *at < purged + settles {
                                let age = f.max_age.expect("an age bound");
                                prop_assert!(age > 0.0 && age <= at - purged);
                            }
                        }
                        r.attempts.push((f.server.clone(), false));
                    }
                    Action::Reject(id, _) | Action::Fail(id) => {
                        let r = seen.get_mut(id).expect("a known request");
                        prop_assert!(!r.ended, "answered twice");
                        prop_assert!(*at <= r.due, "answered late");
                        let untouched = !r.may_have_been_executed && r.attempts.iter().all(|t| t.1);
                        if matches!(action, Action::Reject(..)) && effects[r.class] == Idempotency::NonIdempotent {
                            prop_assert!(untouched, "rejected though it may have been executed");
                        }
                        (r.ended, r.answers) = (true, r.answers + 1);
                    }
                    Action::CancelAttempt(id, n) => prop_assert!(n.0 < seen[id].attempts.len()),
                    Action::Timer(..) | Action::WatchEndpoints | Action::Log(_) => {}
                }
            }
            read = driver.log.len();
        }
        driver.advance(5000.0);
        for (at, action) in &driver.log[read..] {
            if let Action::Reject(id, _) | Action::Fail(id) = action {
                let r = seen.get_mut(id).expect("a known request");
                prop_assert!(!r.ended && *at <= r.due);
                (r.ended, r.answers) = (true, r.answers + 1);
            }
        }
        for (id, r) in &seen {
            prop_assert_eq!(r.answers, 1, "{:?}", id);
        }
    }
}
