//! Routers that get few answers: what one of them, or the lack of one, says of links, parents and the origin.

mod common;
use basaltgw::api::*;
use common::*;

/// A router of so many in its zone, with one fill out at a time, whose fills turn slow; counts its looks since.
fn looks_after_slow_fills(zone_routers: usize) -> usize {
    let mut s = settings();
    s.zone_routers = zone_routers;
    let mut d = Driver::new(s, fleet());
    for n in 0..300 {
        d.serve(n, SAFE, n as u64 % 60, FillReport::FilledBySource);
        d.wait(100.0);
    }
    let mut looks = 0;
    for n in 1000..1060 {
        let Some(f) = fetch(&d.ask(n, SAFE, n as u64 % 60)) else { continue };
        d.wait(600.0);
        if f.fill_source == f.server {
            looks += 1;
            d.end(n, 0, &f.server, AttemptResult::CacheMiss, FillReport::NotReported);
        } else {
            d.outcome(n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource, 600.0);
        }
    }
    looks
}

/// A router with little traffic never has many fills out, yet all of its zone's together fill the link
/// (norte-recogida-later, big-1 and big-2): it reckons with as many out at each peer. Alone, it does not.
#[test]
fn a_full_link_is_seen_by_a_router_with_little_traffic() {
    let many = looks_after_slow_fills(20);
    assert!(many > 10, "{many} looks as one of twenty");
    assert_eq!(looks_after_slow_fills(1), 0, "one fill at a time cannot fill a link that nobody else uses");
}

/// Asks every so often for something that no cache holds and has each fill take so long; counts the looks, of which
/// each finds its copy.
fn looks_while_fills_take(d: &mut Driver, asks: std::ops::Range<usize>, every: Ms, delay: Ms) -> usize {
    let (mut looks, mut out) = (0, std::collections::VecDeque::new());
    for n in asks {
        if let Some(f) = fetch(&d.ask(n, SAFE, n as u64 % 60)) {
            if f.fill_source == f.server {
                looks += 1;
                d.outcome(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 400.0);
            } else {
                out.push_back((d.now + delay, n, f.server));
            }
        }
        d.wait(every);
        while out.front().is_some_and(|(due, ..)| *due <= d.now) {
            let (_, n, server) = out.pop_front().expect("just seen");
            d.outcome(n, 0, &server, AttemptResult::Served, FillReport::FilledBySource, delay);
        }
    }
    d.wait(delay);
    for (_, n, server) in out {
        d.outcome(n, 0, &server, AttemptResult::Served, FillReport::FilledBySource, delay);
    }
    looks
}

/// What a router with little traffic met on a full link is old news seconds later, though hardly any answer has come
/// since (stripbib-reader, zone+mass): the link's gate opens with the first answers that are quick again.
#[test]
fn a_link_that_is_free_again_is_soon_used_by_a_router_with_little_traffic() {
    let mut s = settings();
    s.zone_routers = 20;
    let mut d = Driver::new(s, fleet());
    assert_eq!(looks_while_fills_take(&mut d, 0..300, 400.0, 400.0), 0, "nothing is full yet");
    let full = looks_while_fills_take(&mut d, 1000..1060, 2000.0, 4000.0);
    assert!(full > 10, "{full} looks while the link is full");
    let after = looks_while_fills_take(&mut d, 2000..2040, 400.0, 400.0);
    assert!(after < 5, "{after} looks of 40 after the link was free again");
}

/// A cache that loses one answer and gives the next is not silent (norte-recogida-later, big-1); one that gives
/// none any more is.
#[test]
fn a_lost_answer_is_not_silence() {
    let lose = |every: usize| {
        let mut d = Driver::new(settings(), fleet());
        for n in 0..100 {
            let f = fetch(&d.ask(n, SAFE, n as u64 % 60)).expect("a fetch");
            d.outcome(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 300.0);
            d.wait(10.0);
        }
        let (mut acts, mut met) = (Vec::new(), 0);
        for n in 1000..1400 {
            let asked = d.ask(n, SAFE, n as u64 % 60);
            if let Some(f) = fetch(&asked) {
                met += usize::from(f.server == id("edge-2"));
                if f.server == id("edge-2") && met % every == 0 {
                    // Its client waits well over the usual time and leaves.
                    acts.extend(d.wait(400.0));
                    d.tell(Event::ClientDisconnected(rid(n)));
                    d.end(n, 0, &f.server, AttemptResult::Cancelled, FillReport::NotReported);
                } else {
                    d.outcome(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 300.0);
                }
            }
            acts.extend(d.wait(50.0));
        }
        (met, reports(&acts, "edge-2 out for"))
    };
    let (met, out) = lose(4);
    assert!(met > 40 && out == 0, "{met} met it, out {out} times");
    assert!(lose(1).1 > 0, "one that answers nothing is taken out");
}

/// One router of a hundred, after two hundred fills of that kind, fifty milliseconds apart.
fn one_of_a_hundred(note: FillReport) -> Driver {
    let mut s = settings();
    s.routers = 100;
    let mut d = Driver::new(s, fleet());
    for n in 0..200 {
        d.serve(n, SAFE, n as u64 % 60, note);
        d.wait(50.0);
    }
    d
}

/// Parents that wait for a slow origin fail their fills one by one, and no router has many of them out
/// (dala-depot-cache-later, rough-1): what goes to the origin through them counts at its gate, which closes; then
/// parents give only what they hold.
#[test]
fn an_origin_that_fails_behind_parents_is_spared_by_routers_with_little_traffic() {
    let mut d = one_of_a_hundred(FillReport::FilledByOrigin);
    let mut spared = 0;
    for n in 1000..1100 {
        let Some(f) = fetch(&d.ask(n, SAFE, n as u64)) else { continue };
        d.wait(150.0);
        if f.fill_source == f.server {
            if let Some(f) = fetch(&d.end(n, 0, &f.server, AttemptResult::CacheMiss, FillReport::NotReported))
            {
                spared += usize::from(f.cached_only);
            }
        } else {
            spared += usize::from(f.cached_only);
            let end = if f.cached_only { FillReport::SourceMiss } else { FillReport::OriginFailed };
            d.outcome(n, 0, &f.server, AttemptResult::Rejected, end, 150.0);
        }
    }
    assert!(spared > 30, "{spared} asked of parents alone");
}

/// A parent that fails a share of its fills quickly is not full: its gate stays open, and what it failed is filled by
/// the next one (norte-recogida, big-1).
#[test]
fn a_parent_that_fails_fills_quickly_is_not_taken_for_full() {
    let mut d = one_of_a_hundred(FillReport::FilledBySource);
    let mut failed = 0;
    for n in 1000..1200 {
        let f = fetch(&d.ask(n, SAFE, n as u64)).expect("a fetch");
        assert_ne!(f.fill_source, f.server, "a look: a gate is closed");
        d.wait(50.0);
        if f.fill_source == id("parent-1") {
            failed += 1;
            let next =
                fetch(&d.outcome(n, 0, &f.server, AttemptResult::Error, FillReport::SourceFailed, 50.0))
                    .expect("another");
            assert_ne!(next.fill_source, id("parent-1"));
            d.end(n, 1, &next.server, AttemptResult::Served, FillReport::FilledBySource);
        } else {
            d.end(n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource);
        }
    }
    assert!(failed > 60, "{failed} failed");
}
