//! Topology: which routers a router dials, from the router list alone. All routers compute the same topology.
//!
//! A router dials its parents and no others. A parent has a lower rank, so that the links over which updates are pushed form no cycle. The
//! order of ranks is: control machines; relays, in one order of the whole fleet, so that they form one tree even without a control machine;
//! and the tiers of each region below its relays.

use crate::router_list::{failure_domain, Place, RouterList};
use basaltgw_structures::hash::{fnv1a, mix};
use basaltgw_types::RouterId;
use std::cmp::Reverse;

/// Routers of which some are to be linked, the best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Number of links to establish.
    pub need: usize,
    /// Routers in the order in which they are tried.
    pub routers: Vec<RouterId>,
}

/// Indices of routers in the list, as in [`Choice`].
struct Candidates {
    need: usize,
    routers: Vec<usize>,
}

/// Links of a relay to control machines: the relays of one region use different ones, and have links to other regions besides.
const CONTROL_LINKS: usize = 1;
/// Links of a router of a tier to parents, and of a relay to relays of other regions.
const PARENT_LINKS: usize = 2;
/// Candidates from the tier above: enough to find two during the loss of a zone.
const MAX_PARENT_CANDIDATES: usize = 8;
/// Further candidates of each kind, for the loss of the whole tier above.
const MAX_FALLBACK_CANDIDATES: usize = 3;
/// Relays of other regions that a relay may dial.
const MAX_RELAY_CANDIDATES: usize = 20;

/// The routers that `me` dials; none if it isn't listed.
pub fn choices(list: &RouterList, me: &RouterId) -> Vec<Choice> {
    let Some(index) = list.index(me) else { return Vec::new() };
    let candidates = match list.place(index) {
        // Each pair of control machines has one link, dialed by the one with the lower index.
        Place::Control => {
            let others: Vec<usize> = list.control().iter().copied().filter(|i| *i > index).collect();
            vec![Candidates { need: others.len(), routers: others }]
        }
        Place::Tier { tier: 0, .. } => relay_candidates(list, index),
        Place::Tier { region, rank, tier } => {
            vec![Candidates { need: PARENT_LINKS, routers: tier_candidates(list, index, region, rank, tier) }]
        }
    };
    let choice = |candidates: Candidates| Choice {
        need: candidates.need,
        routers: candidates.routers.into_iter().map(|i| list.at(i).router.clone()).collect(),
    };
    candidates.into_iter().filter(|c| !c.routers.is_empty()).map(choice).collect()
}

/// Candidates of a relay: control machines, relays of other regions, and at last relays of its own region.
fn relay_candidates(list: &RouterList, index: usize) -> Vec<Candidates> {
    let region = &list.at(index).region;
    // Each relay of a region tries another control machine first.
    let mut control = by_rendezvous(list, fnv1a(region), list.control());
    let offset = rank(list, index) % control.len().max(1);
    control.rotate_left(offset);
    let is_other_region = |i: &usize| list.at(*i).region != *region;
    let earlier = list.relays_before(index);
    let other_regions: Vec<usize> = earlier.iter().copied().filter(is_other_region).collect();
    let mut relays = separate_first_two(list, ordered_for(list, index, &other_regions));
    relays.truncate(MAX_RELAY_CANDIDATES);
    // The own region's relays come last: they connect a region that is partitioned from all others.
    relays.extend(earlier.iter().copied().filter(|i| !is_other_region(i)));
    let control = Candidates { need: CONTROL_LINKS, routers: control };
    let relays = Candidates { need: PARENT_LINKS, routers: relays };
    // Control machines push to the first few relays, which push to the others.
    match list.is_pushed_by_control(index) {
        true => vec![control, relays],
        false => vec![relays, control],
    }
}

/// Candidates of a router of a tier below the relays, the tier above first.
fn tier_candidates(
    list: &RouterList,
    index: usize,
    region: usize,
    own_rank: usize,
    tier: usize,
) -> Vec<usize> {
    let above = list.tier(region, tier - 1);
    let mut found = separate_first_two(list, ordered_for(list, index, above));
    found.truncate(MAX_PARENT_CANDIDATES);
    // If the tier above is lost, the first routers of this tier take its place, and find their parents outside.
    let earlier = list.tier(region, tier).iter().copied().filter(|i| rank(list, *i) < own_rank);
    found.extend(earlier.take(MAX_FALLBACK_CANDIDATES));
    let relays = ordered_for(list, index, list.tier(region, 0));
    found.extend(relays.into_iter().filter(|i| tier > 1 && !above.contains(i)));
    found.extend(ordered_for(list, index, list.control()).into_iter().take(MAX_FALLBACK_CANDIDATES));
    let is_other_region = |i: &usize| list.at(*i).region != list.at(index).region;
    let outside: Vec<usize> = list.relays().iter().copied().filter(is_other_region).collect();
    found.extend(ordered_for(list, index, &outside).into_iter().take(MAX_FALLBACK_CANDIDATES));
    found
}

/// Rank of a router within its region; 0 for a control machine.
fn rank(list: &RouterList, index: usize) -> usize {
    match list.place(index) {
        Place::Tier { rank, .. } => rank,
        Place::Control => 0,
    }
}

/// Rendezvous order for one router: a change of the list moves no other routers.
fn ordered_for(list: &RouterList, index: usize, routers: &[usize]) -> Vec<usize> {
    by_rendezvous(list, list.hash(index), routers)
}

/// Rendezvous order of routers for a key.
fn by_rendezvous(list: &RouterList, key: u64, routers: &[usize]) -> Vec<usize> {
    let mut order = routers.to_vec();
    order.sort_by_key(|i| (Reverse(mix(key, list.hash(*i))), *i));
    order
}

/// Moves to the second place the first router that shares no zone with the first one, or else no site, or else no rack.
fn separate_first_two(list: &RouterList, mut order: Vec<usize>) -> Vec<usize> {
    let Some(first) = order.first().copied() else { return order };
    let find_separate = |depth| {
        let is_separate =
            |i: &usize| failure_domain(list.at(*i), depth) != failure_domain(list.at(first), depth);
        order.iter().position(is_separate)
    };
    if let Some(at) = (0..=2).rev().find_map(find_separate) {
        let second = order.remove(at);
        order.insert(1, second);
    }
    order
}
