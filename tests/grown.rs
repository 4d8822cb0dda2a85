//! Large fleets and little traffic: lists that drain in waves or make no sense, a cell that restarts at once.

mod common;
use basaltgw::api::*;
use common::*;

/// How often a request was answered finally by the router itself, and how often it was sent.
fn answers_and_sends(d: &Driver, n: usize) -> (usize, usize) {
    let answers = d.log.iter().filter(|(_, a)| {
        matches!(a, Action::Reject(r, _) if *r == rid(n)) || matches!(a, Action::Fail(r) if *r == rid(n))
    });
    let sends = d.log.iter().filter(|(_, a)| matches!(a, Action::StartAttempt(f) if f.request == rid(n)));
    (answers.count(), sends.count())
}

/// A third of a large fleet after another is listed as draining, then gone, the origin among them; an unsafe
/// request that was out there is neither sent again nor refused, and nothing new goes to what has left.
#[test]
fn a_list_that_drains_in_waves_gets_nothing_new_and_no_unsafe_request_twice() {
    let all = large_fleet();
    let mut d = Driver::new(settings(), all.clone());
    let first = fetch(&d.ask(0, WRITE, 1)).expect("a fetch");
    let mut left: Vec<ServerId> = Vec::new();
    for wave in 0..3 {
        for listed in [EndpointState::Draining, EndpointState::Removed] {
            let part = all.iter().enumerate().filter(|(n, _)| n % 3 == wave);
            let told: Vec<Endpoint> = part.map(|(_, e)| Endpoint { state: listed, ..e.clone() }).collect();
            left.extend(told.iter().map(|e| e.id.clone()));
            d.tell(Event::Endpoints(EndpointUpdate::Delta, told));
            for n in 0..40 {
                let n = 1 + wave * 200 + usize::from(listed == EndpointState::Removed) * 100 + n;
                let acts = d.ask(n, SAFE, n as u64);
                let Some(f) = fetch(&acts) else {
                    assert!(refused(&acts, n), "refused at once");
                    continue;
                };
                assert!(!left.contains(&f.server) && !left.contains(&f.fill_source), "wave {wave}");
                d.end(n, 0, &f.server, AttemptResult::Served, FillReport::Hit);
            }
            d.wait(300.0);
        }
    }
    assert!(refused(&d.ask(900, SAFE, 1), 900), "nobody is left");
    let acts = d.end(0, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported);
    assert!(failed(&acts, 0) && !refused(&acts, 0));
    assert_eq!(answers_and_sends(&d, 0), (1, 1));
}

/// Entries that repeat, contradict each other or carry no sensible weight, and a list that shrinks to nothing.
#[test]
fn a_list_that_makes_no_sense_gives_one_answer_each_and_no_panic() {
    let mut d = Driver::new(settings(), large_fleet());
    let odd = [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE];
    let mut told: Vec<Endpoint> = odd
        .iter()
        .enumerate()
        .map(|(n, weight)| Endpoint { weight: *weight, ..entry(&format!("edge-{}", n % 2), Role::Edge) })
        .collect();
    told.push(Endpoint { state: EndpointState::Removed, ..entry("never-heard-of", Role::Parent) });
    told.push(Endpoint { zone: ZoneId(99), ..entry("from-nowhere", Role::Edge) });
    told.push(Endpoint { started: Some(f64::INFINITY), ..entry("from-the-future", Role::Edge) });
    told.push(entry("origin", Role::Edge));
    let lists = [
        (EndpointUpdate::Delta, told.clone()),
        (EndpointUpdate::Complete, told),
        (EndpointUpdate::Failed, Vec::new()),
        (EndpointUpdate::Complete, Vec::new()),
    ];
    let mut n = 0;
    for (mode, list) in lists {
        d.tell(Event::Endpoints(mode, list));
        for class in [SAFE, SMALL, WRITE, KEYED] {
            for object in 0..10 {
                n += 1;
                d.ask(n, class, object);
                d.wait(10.0);
            }
        }
    }
    d.wait(10_000.0);
    for n in 1..=n {
        assert_eq!(answers_and_sends(&d, n).0, 1, "request {n}");
    }
}

/// Half of a location's caches restart at once: until one more is known of them they get their cold share, and the
/// other half goes on serving (stripbib-reader-later, big-2).
#[test]
fn a_cell_that_restarts_at_once_gets_its_cold_share_while_the_others_serve() {
    let mut d = Driver::new(settings(), fleet());
    for n in 0..600 {
        d.serve(n, SAFE, n as u64, FillReport::FilledBySource);
        d.wait(10.0);
    }
    let started = Some(d.now);
    let cell = ["edge-0", "edge-1"];
    let told = cell.iter().map(|name| Endpoint { started, ..entry(name, Role::Edge) });
    d.tell(Event::Endpoints(EndpointUpdate::Delta, told.collect()));
    let (mut cold, mut warm) = (0, 0);
    for n in 1000..1100 {
        let f = d.serve(n, SAFE, n as u64 * 13, FillReport::Hit);
        *if cell.iter().any(|name| f.server == id(name)) { &mut cold } else { &mut warm } += 1;
        d.wait(10.0);
    }
    // Four caches carried 100 answers of 80 ms in the second; two cold ones start with a fifth of that, and may get
    // twice as much.
    assert!((1..=20).contains(&cold), "{cold} went to the cell");
    assert!(warm >= 80, "{warm} were served by the others");
}

/// A router that sees a request every ten seconds answers each once, with servers that say nothing.
#[test]
fn a_router_with_hardly_any_traffic_answers_each_request_once() {
    let mut d = Driver::new(settings(), large_fleet());
    for n in 0..20 {
        assert!(fetch(&d.ask(n, [SAFE, SMALL, KEYED][n % 3], n as u64 % 3)).is_some(), "request {n} is sent");
        d.wait(10_000.0);
        assert_eq!(answers_and_sends(&d, n).0, 1, "request {n}");
    }
}
