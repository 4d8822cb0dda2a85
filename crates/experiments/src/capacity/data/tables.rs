//! What a router holds: the list of servers, purges, and what it has seen of objects.

use super::decisions::WARM;
use super::world::{fleet, servers, usual, zones, Drive};
use super::{Expected, Sizes};
use crate::capacity::meter::{least, taken, timed, Taken};
use crate::capacity::row::{Kind, Row};
use basaltgw::api::*;
use basaltgw::routing::{Router, SHADOW_ENTRIES};
use basaltgw_simulator::{draw, rng};

/// Repetitions of which the least counts.
const TIMES: usize = 7;
/// Groups whose purges are told beside those of objects: one purge in so many.
const GROUP_PURGES: u64 = 10;
/// From so many objects on every list of what was seen is full, and the sums of what was sent cover the time that they keep.
const FULL: usize = 4 * SHADOW_ENTRIES;
/// Requests by which a look among purges is timed.
const LOOKS: usize = 4000;

/// A router that knows nothing yet, and what it holds.
fn fresh(expected: &Expected) -> Router {
    let mut router = Router::new(usual(expected), 7);
    router.handle(
        0.0,
        Event::Endpoints { update: EndpointUpdate::Complete, entries: Vec::new() },
        &mut Vec::new(),
    );
    router
}

/// What a first list holds and takes.
fn first(expected: &Expected, list: &[Endpoint]) -> Taken {
    let mut router = fresh(expected);
    // The names are the list's and stay with it, so they are made anew and counted.
    let own =
        || list.iter().map(|e| Endpoint { id: ServerId(e.id.0.as_ref().into()), ..e.clone() }).collect();
    taken(|| {
        router.handle(
            1.0,
            Event::Endpoints { update: EndpointUpdate::Complete, entries: own() },
            &mut Vec::new(),
        )
    })
    .1
}

/// Bytes held for the list, and what a whole one or one change takes.
pub fn list(expected: &Expected, sizes: &Sizes) -> Vec<Row> {
    let mut rows = Vec::new();
    for n in &sizes.servers {
        let list = servers(expected, *n);
        let counted = first(expected, &list);
        let anew = least(TIMES, || {
            let (mut router, event) = (
                fresh(expected),
                Event::Endpoints { update: EndpointUpdate::Complete, entries: list.clone() },
            );
            timed(|| router.handle(1.0, event, &mut Vec::new())).1
        });
        let mut router = fresh(expected);
        let mut told = |mode: EndpointUpdate, entries: &[Endpoint]| {
            let event = Event::Endpoints { update: mode, entries: entries.to_vec() };
            timed(|| router.handle(3.0, event, &mut Vec::new())).1
        };
        told(EndpointUpdate::Complete, &list);
        let again = least(TIMES, || told(EndpointUpdate::Complete, &list));
        let change = least(TIMES, || told(EndpointUpdate::Delta, &list[..1]));
        let at = ("servers listed", list.len() as f64);
        rows.extend([
            Row::new(at, ("list_held", counted.held, "bytes"), Kind::Measured),
            Row::new(at, ("list_allocated", counted.bytes, "bytes"), Kind::Measured),
            Row::new(at, ("list_first_us", anew, "us"), Kind::Measured),
            Row::new(at, ("list_again_us", again, "us"), Kind::Measured),
            Row::new(at, ("list_change_us", change, "us"), Kind::Measured),
        ]);
    }
    let list = fleet(expected.caches, zones(expected, expected.caches), expected.caches_per_parent);
    let (at, held) = (("caches", expected.caches as f64), first(expected, &list).held);
    rows.push(Row::new(at, ("list_expected_held", held, "bytes"), Kind::Measured));
    rows
}

fn purge(n: u64, age: Ms) -> Event {
    let group = GroupId(n);
    let object = (!n.is_multiple_of(GROUP_PURGES)).then_some(ObjectId(n));
    Event::Purged { group, object, age }
}

/// Purges that are known: what they hold, what taking one in takes, and a look among them. And how many are known at a rate.
pub fn purges(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for known in &sizes.purges {
        let mut drive = Drive::usual(expected);
        let ((), spent) = timed(|| (0..*known as u64).for_each(|n| drive.tell(purge(n, 0.0))));
        let mut counts = Drive::usual(expected);
        let ((), counted) = taken(|| (0..*known as u64).for_each(|n| counts.tell(purge(n, 0.0))));
        let mut rng = rng(seed, *known as u64);
        drive.draw(WARM, expected.objects_asked, &mut rng);
        let look =
            least(TIMES, || timed(|| drive.draw(LOOKS, expected.objects_asked, &mut rng)).1 / LOOKS as f64);
        let at = ("purges known", *known as f64);
        rows.extend([
            Row::new(at, ("purges_held", counted.held, "bytes"), Kind::Measured),
            Row::new(at, ("purge_us", spent / *known as f64, "us"), Kind::Measured),
            Row::new(at, ("decision_with_purges_us", look, "us"), Kind::Measured),
        ]);
    }
    for rate in [10.0, 25.0, 50.0, 100.0, 200.0] {
        let rate = rate * expected.purges_per_s / 100.0;
        let mut drive = Drive::usual(expected);
        let mut most = 0;
        // Three times as long as one is heeded.
        for n in 0..(rate * 220.0) as u64 {
            drive.pass(1000.0 / rate);
            drive.tell(purge(n, 0.0));
            if n % 100 == 0 {
                most = most.max(drive.router.snapshot().purges.len());
            }
        }
        rows.push(Row::new(
            ("purges a second", rate),
            ("purges_known", most as f64, "purges"),
            Kind::Simulated,
        ));
    }
    rows
}

/// What is held of objects as more and more of them are seen.
pub fn objects(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut rng = rng(seed, 1);
    let (mut held, mut seen, mut rows) = (0.0, 0, Vec::new());
    let mut drive = Drive::usual(expected);
    for objects in &sizes.objects {
        let ((), counted) = taken(|| {
            while seen < *objects {
                // One in ten is asked for again at once, so that what is learnt of an object is held as well.
                if draw(&mut rng) < 0.1 {
                    drive.ask(seen as u64);
                }
                seen += 1;
                drive.ask(seen as u64);
            }
            // What is out is answered, so that only what is kept counts.
            drive.pass(1000.0);
        });
        held += counted.held;
        let at = ("objects seen", *objects as f64);
        rows.push(Row::new(at, ("objects_held", held, "bytes"), Kind::Measured));
        if *objects >= FULL {
            rows.push(Row::new(at, ("objects_held_full", held, "bytes"), Kind::Measured));
        }
    }
    let empty = taken(|| Router::new(usual(expected), 7));
    let x = expected.objects;
    rows.push(Row::new(("objects", x), ("shadow_lists_held", empty.1.held, "bytes"), Kind::Measured));
    rows.push(Row::new(("objects", x), ("objects_held", held, "bytes"), Kind::Measured));
    rows
}
