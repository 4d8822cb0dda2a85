//! Links that are dialed when they are wanted, and closed by the router that dialed them when they are idle.

use super::{Disk, Network, LONG_CONVERGENCE_MS};
use basaltgw_control::{Event, LinkQueueLimits};
use basaltgw_types::link::LinkError;
use basaltgw_types::{Ms, RouterId};
use std::collections::btree_map::{BTreeMap, Entry};
use std::collections::{BTreeSet, VecDeque};

/// An unwanted link is closed after this time without a message.
pub const IDLE_TIMEOUT_MS: Ms = 1_000.0;
/// Limits of the messages that wait for links.
pub const QUEUE_LIMITS: LinkQueueLimits = LinkQueueLimits {
    timeout: 400.0,
    messages_per_router: 64,
    bytes_per_router: 1 << 20,
    total_messages: 1_024,
    total_bytes: 8 << 20,
};
const DIAL_DURATION_MS: Ms = 3.0;
const REDIAL_DELAY_MS: Ms = 500.0;

/// Router that dials, and the router that it dials.
type Dial = (usize, usize);
/// Routers at both ends of a link, the smaller number first.
type LinkEnds = (usize, usize);

struct Link {
    dialed_by: usize,
    last_used: Ms,
}

/// Links, and which routers want them.
#[derive(Default)]
pub struct Links {
    /// Routers that want a link to each other router.
    pub mesh: BTreeSet<usize>,
    established: BTreeMap<LinkEnds, Link>,
    wanted: BTreeSet<Dial>,
    /// Pending dials, and the time at which each succeeds or fails.
    dials: BTreeMap<Dial, Ms>,
    stopped: BTreeSet<usize>,
    pending_events: VecDeque<(usize, Event)>,
    /// Number of links that were closed because they were idle.
    pub closed: usize,
}

fn ends(a: usize, b: usize) -> LinkEnds {
    (a.min(b), a.max(b))
}

impl Network {
    /// A bootstrapped fleet with persistent links, except for the routers of `mesh`.
    pub fn with_persistent_links(count: usize, regions: usize, mesh: &[usize]) -> Self {
        let mut net = Self::with_overlay(0, Disk::Commits(1.0), regions);
        net.retention = 2.0 * LONG_CONVERGENCE_MS;
        net.links = Some(Links { mesh: mesh.iter().copied().collect(), ..Links::default() });
        net.add_routers(count, Disk::Commits(1.0));
        net.run_until(10_000.0, |net| (0..count).all(|n| net.table_version(n) > 0));
        net.run_for(10_000.0);
        net
    }

    /// Handles the start of a process, which requests its links.
    pub(super) fn on_process_start(&mut self, n: usize) {
        let Some(links) = &mut self.links else { return };
        links.stopped.remove(&n);
        if links.mesh.contains(&n) {
            let others = (0..self.nodes.len().max(n)).filter(|other| *other != n);
            links.wanted.extend(others.map(|other| (n, other)));
        }
        let mesh: Vec<usize> = links.mesh.iter().copied().filter(|m| *m != n).collect();
        links.wanted.extend(mesh.into_iter().map(|m| (m, n)));
        let actions = std::mem::take(&mut self.nodes[n].initial_actions);
        self.execute(n, actions);
    }

    /// Routers with a link to router `n`.
    pub fn linked_with(&self, n: usize) -> Vec<usize> {
        let established = self.links.iter().flat_map(|l| l.established.keys());
        let mut linked: Vec<usize> =
            established.filter_map(|(a, b)| (*a == n).then_some(*b).or((*b == n).then_some(*a))).collect();
        linked.sort_unstable();
        linked
    }

    pub(super) fn has_link(&self, a: usize, b: usize) -> bool {
        self.links.as_ref().is_none_or(|l| l.established.contains_key(&ends(a, b)))
    }

    pub(super) fn record_use(&mut self, a: usize, b: usize) {
        let now = self.now;
        let link = self.links.as_mut().and_then(|l| l.established.get_mut(&ends(a, b)));
        link.into_iter().for_each(|link| link.last_used = now);
    }

    pub(super) fn set_link_wanted(&mut self, n: usize, router: &RouterId, wanted: bool) {
        // A router that has not started yet has no node, so its number is parsed from its name.
        let number = router.0.strip_prefix('r').and_then(|number| number.parse::<usize>().ok());
        let to = number.expect("router names are r<number>");
        let Some(links) = &mut self.links else { panic!("link to {router} requested in a full mesh") };
        if !wanted {
            links.wanted.remove(&(n, to));
            return;
        }
        links.wanted.insert((n, to));
        if links.established.contains_key(&ends(n, to)) {
            let hello = self.nodes[to].hello.clone();
            links.pending_events.push_back((n, Event::LinkUp(hello)));
        }
    }

    /// Establishes or fails due dials, and closes idle links.
    pub(super) fn dial_and_close(&mut self) {
        let Some(links) = &mut self.links else { return };
        let mut events = std::mem::take(&mut links.pending_events);
        links.start_dials(self.now);
        let established = self.finish_dials(&mut events);
        self.close_idle_links(&mut events);
        for (a, b) in established {
            let [hello_a, hello_b] = [a, b].map(|n| self.nodes[n].hello.clone());
            events.extend([(a, Event::LinkUp(hello_b)), (b, Event::LinkUp(hello_a))]);
        }
        for (n, event) in events {
            self.deliver(n, event);
        }
    }

    /// Returns the dials that established a link.
    fn finish_dials(&mut self, events: &mut VecDeque<(usize, Event)>) -> Vec<Dial> {
        let (now, count) = (self.now, self.nodes.len());
        let Some(links) = &mut self.links else { return Vec::new() };
        let due: Vec<Dial> =
            links.dials.iter().filter(|(_, at)| **at <= now).map(|(dial, _)| *dial).collect();
        let mut established = Vec::new();
        for (from, to) in due {
            let both_run = to < count && !links.stopped.contains(&to) && !links.stopped.contains(&from);
            let is_severed = self.severed.contains(&(from, to)) || self.severed.contains(&(to, from));
            if both_run && !is_severed {
                links.dials.remove(&(from, to));
                // The other router may have dialed as well, and its dial may have succeeded first.
                if let Entry::Vacant(entry) = links.established.entry(ends(from, to)) {
                    entry.insert(Link { dialed_by: from, last_used: now });
                    established.push((from, to));
                }
            } else {
                links.dials.insert((from, to), now + REDIAL_DELAY_MS);
                let router = RouterId(super::text(&format!("r{to}")));
                events.push_back((from, Event::DialFailed(router)));
            }
        }
        established
    }

    fn close_idle_links(&mut self, events: &mut VecDeque<(usize, Event)>) {
        let now = self.now;
        let Some(links) = &mut self.links else { return };
        let is_idle = |(a, b): LinkEnds, link: &Link| {
            let other = if link.dialed_by == a { b } else { a };
            now >= link.last_used + IDLE_TIMEOUT_MS && !links.wanted.contains(&(link.dialed_by, other))
        };
        let idle: Vec<LinkEnds> =
            links.established.iter().filter(|(ends, link)| is_idle(**ends, link)).map(|(e, _)| *e).collect();
        for (a, b) in idle {
            links.established.remove(&(a, b));
            links.closed += 1;
            let [member_a, member_b] = [a, b].map(|n| self.nodes[n].hello.member.clone());
            events.push_back((a, Event::LinkDown(member_b, LinkError::Idle)));
            events.push_back((b, Event::LinkDown(member_a, LinkError::Idle)));
        }
    }

    fn break_links(&mut self, is_broken: impl Fn(usize, usize) -> bool) {
        let Some(links) = &mut self.links else { return };
        let broken: Vec<LinkEnds> =
            links.established.keys().copied().filter(|(a, b)| is_broken(*a, *b)).collect();
        links.established.retain(|ends, _| !broken.contains(ends));
        self.in_transit.retain(|message| !is_broken(message.from, message.to));
        for (a, b) in broken {
            let [member_a, member_b] = [a, b].map(|n| self.nodes[n].hello.member.clone());
            self.deliver(a, Event::LinkDown(member_b, LinkError::ConnectionLost));
            self.deliver(b, Event::LinkDown(member_a, LinkError::ConnectionLost));
        }
    }

    /// Kills a process; its store remains.
    pub fn kill(&mut self, n: usize) {
        let Some(links) = &mut self.links else { return };
        links.stopped.insert(n);
        links.wanted.retain(|(from, _)| *from != n);
        links.dials.retain(|(from, _), _| *from != n);
        self.break_links(|a, b| a == n || b == n);
    }

    /// Cuts all links between the routers of `side` and the others.
    pub fn partition(&mut self, side: &[usize]) {
        let is_cut = |a: usize, b: usize| side.contains(&a) != side.contains(&b);
        let all = 0..self.nodes.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        self.severed.extend(pairs.filter(|(a, b)| is_cut(*a, *b)));
        self.break_links(is_cut);
    }

    /// Ends a partition.
    pub fn heal(&mut self) {
        self.severed.clear();
    }
}

impl Links {
    /// Starts the dials of wanted links, and cancels those that are not needed any more.
    fn start_dials(&mut self, now: Ms) {
        let Self { established, wanted, dials, stopped, .. } = self;
        let is_needed =
            |(from, to): &Dial| !established.contains_key(&ends(*from, *to)) && !stopped.contains(from);
        for dial in wanted.iter().filter(|dial| is_needed(dial)) {
            dials.entry(*dial).or_insert(now + DIAL_DURATION_MS);
        }
        dials.retain(|(from, to), _| {
            wanted.contains(&(*from, *to)) && !established.contains_key(&ends(*from, *to))
        });
    }
}
