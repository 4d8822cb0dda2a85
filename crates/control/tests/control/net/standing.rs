//! Links that come and go: dialled when they are wanted, closed by whoever dialled them when they are idle.

use super::{Disk, Net, SETTLES_FAR};
use basaltgw_control::{Event, StandingLinks};
use basaltgw_types::link::LinkError;
use basaltgw_types::{Ms, RouterId};
use std::collections::btree_map::{BTreeMap, Entry};
use std::collections::{BTreeSet, VecDeque};

/// A link that nobody wants goes after so long without a word.
pub const IDLE: Ms = 1_000.0;
/// What may wait for links.
pub const WAITS: StandingLinks =
    StandingLinks { wait: 400.0, words: 64, bytes: 1 << 20, all_words: 1_024, all_bytes: 8 << 20 };
/// A dial comes to something after so long.
const DIAL: Ms = 3.0;
/// The next after one that failed.
const AGAIN: Ms = 500.0;

/// Who is linked with whom, and wants whom.
#[derive(Default)]
pub struct Links {
    /// Routers that dial all others, as a mesh.
    pub mesh: BTreeSet<usize>,
    /// Links by their two ends, smaller first: who dialled it, and when a word last went.
    up: BTreeMap<(usize, usize), (usize, Ms)>,
    wants: BTreeSet<(usize, usize)>,
    dials: BTreeMap<(usize, usize), Ms>,
    away: BTreeSet<usize>,
    told: VecDeque<(usize, Event)>,
    /// Links closed for being idle.
    pub closed: usize,
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Net {
    /// A founded fleet whose routers keep standing links, but for those of a mesh.
    pub fn standing(of: usize, regions: usize, mesh: &[usize]) -> Self {
        let mut net = Self::with_overlay(0, Disk::Takes(1.0), regions);
        net.keep = 2.0 * SETTLES_FAR;
        net.links = Some(Links { mesh: mesh.iter().copied().collect(), ..Links::default() });
        net.fill(of, Disk::Takes(1.0));
        net.until(10_000.0, |net| (0..of).all(|n| net.version(n) > 0));
        net.pass(10_000.0);
        net
    }

    /// A process begins, and wants whom it wants.
    pub(super) fn begun(&mut self, n: usize) {
        let Some(links) = &mut self.links else { return };
        links.away.remove(&n);
        if links.mesh.contains(&n) {
            links.wants.extend((0..self.nodes.len().max(n)).filter(|o| *o != n).map(|o| (n, o)));
        }
        let mesh: Vec<usize> = links.mesh.iter().copied().filter(|m| *m != n).collect();
        links.wants.extend(mesh.into_iter().map(|m| (m, n)));
        let first = std::mem::take(&mut self.nodes[n].first);
        self.act(n, first);
    }

    /// Routers with which one is linked.
    pub fn links_of(&self, n: usize) -> Vec<usize> {
        let up = self.links.iter().flat_map(|l| l.up.keys());
        let mut all: Vec<usize> =
            up.filter_map(|(a, b)| (*a == n).then_some(*b).or((*b == n).then_some(*a))).collect();
        all.sort_unstable();
        all
    }

    pub(super) fn linked(&self, a: usize, b: usize) -> bool {
        self.links.as_ref().is_none_or(|l| l.up.contains_key(&pair(a, b)))
    }

    pub(super) fn used(&mut self, a: usize, b: usize) {
        let now = self.now;
        let link = self.links.as_mut().and_then(|l| l.up.get_mut(&pair(a, b)));
        link.into_iter().for_each(|(_, used)| *used = now);
    }

    pub(super) fn want(&mut self, n: usize, router: &RouterId, yes: bool) {
        // One that is not there yet at the start is found by its name.
        let to = router.0.strip_prefix('r').and_then(|no| no.parse::<usize>().ok()).expect("a router's name");
        let Some(links) = &mut self.links else { panic!("{router} is wanted in a mesh") };
        if !yes {
            links.wants.remove(&(n, to));
            return;
        }
        links.wants.insert((n, to));
        if links.up.contains_key(&pair(n, to)) {
            let hello = self.nodes[to].hello.clone();
            links.told.push_back((n, Event::LinkUp(hello)));
        }
    }

    /// What became of dials, and of links that nobody uses.
    pub(super) fn dial_and_close(&mut self) {
        let Some(links) = &mut self.links else { return };
        let now = self.now;
        let mut told = std::mem::take(&mut links.told);
        let Links { up, wants, dials, away, closed, .. } = links;
        for (from, to) in
            wants.iter().filter(|(from, to)| !up.contains_key(&pair(*from, *to)) && !away.contains(from))
        {
            dials.entry((*from, *to)).or_insert(now + DIAL);
        }
        dials.retain(|(from, to), _| wants.contains(&(*from, *to)) && !up.contains_key(&pair(*from, *to)));
        let due: Vec<(usize, usize)> =
            dials.iter().filter(|(_, at)| **at <= now).map(|(of, _)| *of).collect();
        let mut new = Vec::new();
        for (from, to) in due {
            let there = to < self.nodes.len() && !away.contains(&to) && !away.contains(&from);
            let whole = !self.severed.contains(&(from, to)) && !self.severed.contains(&(to, from));
            if there && whole {
                dials.remove(&(from, to));
                // The other may have dialled too, and been quicker.
                if let Entry::Vacant(place) = up.entry(pair(from, to)) {
                    place.insert((from, now));
                    new.push((from, to));
                }
            } else {
                dials.insert((from, to), now + AGAIN);
                let name = RouterId(super::text(&format!("r{to}")));
                told.push_back((from, Event::DialFailed(name)));
            }
        }
        let idle = |(a, b): (usize, usize), by: usize, used: Ms| {
            now >= used + IDLE && !wants.contains(&(by, if by == a { b } else { a }))
        };
        let gone: Vec<(usize, usize)> =
            up.iter().filter(|(of, (by, used))| idle(**of, *by, *used)).map(|(of, _)| *of).collect();
        for (a, b) in gone {
            up.remove(&(a, b));
            *closed += 1;
            let [of_a, of_b] = [a, b].map(|n| self.nodes[n].hello.member.clone());
            told.push_back((a, Event::LinkDown(of_b, LinkError::Idle)));
            told.push_back((b, Event::LinkDown(of_a, LinkError::Idle)));
        }
        for (a, b) in new {
            let [of_a, of_b] = [a, b].map(|n| self.nodes[n].hello.clone());
            told.extend([(a, Event::LinkUp(of_b)), (b, Event::LinkUp(of_a))]);
        }
        for (n, event) in told {
            self.event(n, event);
        }
    }

    fn breaks(&mut self, of: impl Fn(usize, usize) -> bool) {
        let Some(links) = &mut self.links else { return };
        let gone: Vec<(usize, usize)> = links.up.keys().copied().filter(|(a, b)| of(*a, *b)).collect();
        links.up.retain(|of, _| !gone.contains(of));
        self.wire.retain(|(_, from, to, ..)| !of(*from, *to));
        for (a, b) in gone {
            let [of_a, of_b] = [a, b].map(|n| self.nodes[n].hello.member.clone());
            self.event(a, Event::LinkDown(of_b, LinkError::ConnectionLost));
            self.event(b, Event::LinkDown(of_a, LinkError::ConnectionLost));
        }
    }

    /// A process is killed; its disk stays.
    pub fn kill(&mut self, n: usize) {
        let Some(links) = &mut self.links else { return };
        links.away.insert(n);
        links.wants.retain(|(from, _)| *from != n);
        links.dials.retain(|(from, _), _| *from != n);
        self.breaks(|a, b| a == n || b == n);
    }

    /// Nothing goes between routers of two sides any more.
    pub fn divide(&mut self, side: &[usize]) {
        let cut = |a: usize, b: usize| side.contains(&a) != side.contains(&b);
        let all = 0..self.nodes.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        self.severed.extend(pairs.filter(|(a, b)| cut(*a, *b)));
        self.breaks(cut);
    }

    /// All goes again.
    pub fn heal(&mut self) {
        self.severed.clear();
    }
}
