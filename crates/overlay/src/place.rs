//! Who links to whom, from the list alone. A router dials the routers above it and nobody else; all reckon alike.
//!
//! Above is: of lower rank, so that the links by which words go at once form no ring. Control machines stand above all; a region's relays below
//! them and above their region; relays among each other by one order for the whole fleet, so that without any control machine the relays
//! still hang together in one tree.

use crate::list::{within, Place, RouterList};
use basaltgw_structures::hash::{address, mix};
use basaltgw_types::RouterId;
use std::cmp::Reverse;

/// Routers of which some are to be linked with, the best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// How many links are to stand.
    pub need: usize,
    /// In which order they are tried.
    pub routers: Vec<RouterId>,
}

/// Links of a relay with control machines: those of one region have different ones, and each has links with other regions besides.
const CONTROL: usize = 1;
/// Standing links with routers above, for a router in a tier; for a relay, with relays of other regions.
const STANDING: usize = 2;
/// Candidates from the tier above: enough for two to be found while a zone is lost.
const MOST_ABOVE: usize = 8;
/// Candidates of each kind after those: whoever is still there when the tier above is lost.
const MOST_REST: usize = 3;
/// Other relays that a relay may try.
const MOST_RELAYS: usize = 20;

/// Whom a router dials; nobody if it isn't listed.
pub fn choices(list: &RouterList, me: &RouterId) -> Vec<Choice> {
    let Some(number) = list.number(me) else {
        return Vec::new();
    };
    let choices = match list.place(number) {
        // Each pair has one link; the one of the lower number dials.
        Place::Control => {
            let others: Vec<usize> = list.control().iter().copied().filter(|i| *i > number).collect();
            vec![(others.len(), others)]
        }
        Place::Tier { tier: 0, .. } => relay(list, number),
        Place::Tier { region, rank, tier } => vec![(STANDING, in_tier(list, number, region, rank, tier))],
    };
    let named = |(need, routers): (usize, Vec<usize>)| Choice {
        need,
        routers: routers.into_iter().map(|i| list.at(i).router.clone()).collect(),
    };
    choices.into_iter().filter(|(_, routers)| !routers.is_empty()).map(named).collect()
}

fn relay(list: &RouterList, number: usize) -> Vec<(usize, Vec<usize>)> {
    // Of one region each relay takes another control machine first.
    let mut control = by_key(list, address(&list.at(number).region), list.control());
    let turn = position(list, number) % control.len().max(1);
    control.rotate_left(turn);
    let elsewhere = |i: &usize| list.at(*i).region != list.at(number).region;
    let before = list.relays_before(number);
    let others: Vec<usize> = before.iter().copied().filter(elsewhere).collect();
    let mut others = apart(list, order(list, number, &others));
    others.truncate(MOST_RELAYS);
    // Last, the own region's: alone in the world it still hangs together.
    others.extend(before.iter().copied().filter(|i| !elsewhere(i)));
    // Control machines send at once to the first few. All others get words from those, and keep a link that tells what there is.
    match list.by_control(number) {
        true => vec![(CONTROL, control), (STANDING, others)],
        false => vec![(STANDING, others), (CONTROL, control)],
    }
}

fn in_tier(list: &RouterList, number: usize, region: usize, rank: usize, tier: usize) -> Vec<usize> {
    let mut found = apart(list, order(list, number, list.tier(region, tier - 1)));
    found.truncate(MOST_ABOVE);
    // When the tier above is lost its place is taken by the first of the own tier, which find nobody and go outside.
    let before = list.tier(region, tier).iter().copied().filter(|i| position(list, *i) < rank);
    found.extend(before.take(MOST_REST));
    let relays: Vec<usize> = list.tier(region, 0).to_vec();
    let rest = order(list, number, &relays);
    found.extend(rest.into_iter().filter(|i| tier > 1 && !list.tier(region, tier - 1).contains(i)));
    found.extend(order(list, number, list.control()).into_iter().take(MOST_REST));
    let outside = list.relays().iter().copied().filter(|i| list.at(*i).region != list.at(number).region);
    let outside: Vec<usize> = outside.collect();
    found.extend(order(list, number, &outside).into_iter().take(MOST_REST));
    found
}

fn position(list: &RouterList, number: usize) -> usize {
    match list.place(number) {
        Place::Tier { rank, .. } => rank,
        Place::Control => 0,
    }
}

/// By rendezvous, so that one more or less moves no others.
fn order(list: &RouterList, number: usize, of: &[usize]) -> Vec<usize> {
    by_key(list, list.hash(number), of)
}

fn by_key(list: &RouterList, key: u64, of: &[usize]) -> Vec<usize> {
    let mut order = of.to_vec();
    order.sort_by_key(|i| (Reverse(mix(key, list.hash(*i))), *i));
    order
}

/// Lets the second be one that isn't lost with the first: of another zone, else site, else rack.
fn apart(list: &RouterList, mut order: Vec<usize>) -> Vec<usize> {
    let Some(first) = order.first().copied() else {
        return order;
    };
    let other = |depth| {
        let differs = |i: &usize| within(list.at(*i), depth) != within(list.at(first), depth);
        order.iter().position(differs)
    };
    if let Some(at) = (0..=2).rev().find_map(other) {
        let second = order.remove(at);
        order.insert(1, second);
    }
    order
}
