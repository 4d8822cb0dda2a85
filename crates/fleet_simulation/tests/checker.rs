//! The checker catches broken parties: one that swallows, one that tells twice, one that is late; and lets a sound one pass.

use basaltgw_control::Purge;
use basaltgw_fleet_simulation::check::Findings;
use basaltgw_fleet_simulation::party::{Party, PartyAction, PartyEvent, Start, Word};
use basaltgw_fleet_simulation::run::{run_with, Setup};
use basaltgw_fleet_simulation::world::Log;
use basaltgw_types::link::Lane;
use basaltgw_types::{Member, Ms};
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// Every seventh word is not told.
    Swallows,
    /// Every seventh word is told twice.
    Twice,
    /// What it hears from others it tells this much later.
    Late(Ms),
}

/// Passes on what it hears from the log to all that it is linked to, and no further.
struct Gossip {
    how: Broken,
    links: BTreeSet<Member>,
    heard: BTreeSet<Purge>,
    waits: Vec<(Ms, Purge)>,
}

impl Gossip {
    fn hears(&mut self, now: Ms, purge: Purge, out: &mut Vec<PartyAction>) {
        if !self.heard.insert(purge) {
            return;
        }
        let seventh = purge.object.is_some_and(|o| o % 7 == 0);
        match self.how {
            Broken::Swallows if seventh => {}
            Broken::Twice if seventh => {
                out.extend([0, 0].map(|_| PartyAction::Told(Word::Purge(purge))));
            }
            Broken::Late(by) => self.waits.push((now + by, purge)),
            Broken::Nothing | Broken::Swallows | Broken::Twice => {
                out.push(PartyAction::Told(Word::Purge(purge)));
            }
        }
    }
}

impl Party for Gossip {
    fn handle(&mut self, now: Ms, event: PartyEvent, out: &mut Vec<PartyAction>) {
        match event {
            PartyEvent::Up(hello) => _ = self.links.insert(hello.member),
            PartyEvent::Down(member, _) => _ = self.links.remove(&member),
            PartyEvent::Heard(purge) => {
                self.heard.insert(purge);
                for to in self.links.iter().cloned() {
                    let body = postcard::to_stdvec(&purge).expect("bytes");
                    out.push(PartyAction::Send { no: 0, to, lane: Lane::Table, body });
                }
            }
            PartyEvent::Got { body, .. } => {
                let purge = postcard::from_bytes(&body).expect("a purge");
                self.hears(now, purge, out);
            }
            PartyEvent::Due => {
                let (due, left): (Vec<_>, Vec<_>) = self.waits.drain(..).partition(|(at, _)| *at <= now);
                self.waits = left;
                out.extend(due.into_iter().map(|(_, purge)| PartyAction::Told(Word::Purge(purge))));
            }
            PartyEvent::Unsent(_) | PartyEvent::Settle | PartyEvent::Stored(..) => {}
        }
    }

    fn due(&self) -> Ms {
        self.waits.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min)
    }
}

fn findings(how: Broken) -> Findings {
    let mut setup = Setup::mesh(12, 5);
    (setup.settle, setup.seconds, setup.purges, setup.log.0) = (3.0, 5.0, 20.0, Log::One);
    setup.rest = 20.0;
    let start = move |start: &Start, out: &mut Vec<PartyAction>| {
        let others = start.fleet.seats.iter().filter(|s| s.router != start.me.router);
        out.extend(others.map(|s| PartyAction::Dial(s.router.clone())));
        let (links, heard) = (BTreeSet::new(), BTreeSet::new());
        Ok((Box::new(Gossip { how, links, heard, waits: Vec::new() }) as Box<dyn Party>, None))
    };
    run_with(&setup, &start).expect("a run").1
}

#[test]
fn a_sound_party_passes() {
    let found = findings(Broken::Nothing);
    assert_eq!((found.words, found.everywhere.len(), found.twice, found.late), (100, 100, 0, 0));
    assert!(found.lost.is_empty() && found.unknown == 0, "{found:?}");
}

#[test]
fn a_party_that_swallows_is_caught() {
    let found = findings(Broken::Swallows);
    // Fifteen of a hundred words, at all but the one that heard of it.
    assert_eq!((found.lost.len(), found.twice, found.late), (15 * 11, 0, 0));
    assert!(found.lost.iter().all(|(word, _)| word % 7 == 0));
}

#[test]
fn a_party_that_tells_twice_is_caught() {
    let found = findings(Broken::Twice);
    assert_eq!((found.lost.len(), found.twice, found.late), (0, 15 * 11, 0));
}

#[test]
fn a_party_that_is_late_is_caught() {
    let found = findings(Broken::Late(6_200.0));
    assert_eq!((found.lost.len(), found.twice, found.late), (0, 0, 100 * 11));
    assert!(found.everywhere.iter().all(|ms| *ms > 6_100.0));
    let found = findings(Broken::Late(5_000.0));
    assert_eq!((found.lost.len(), found.late), (0, 0), "in time");
}
