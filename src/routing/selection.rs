//! The choice of target and source.

use super::Router;
use crate::api::*;
use crate::hash::{mix, within_share};
use crate::state::{Found, Open, Server};

/// A cache with over this multiple of its zone's mean work, and one request more, out passes parts on.
const SPILL: f64 = 1.25;

/// A target, if any can serve now; the source of a miss; and whether that gives only what it holds.
type Way = (Option<usize>, Option<usize>, bool);

impl Router {
    /// The ordinary way: an edge cache and a source; less of it while one of them has no room.
    pub(super) fn pick_way(&self, at: usize) -> Way {
        let open = &self.open[at];
        let (mean, ease, origin) = (self.mean_time(open.class), self.ease(open.class), self.origin());
        let edge = self.pick_edge(at, mean);
        let source = self.pick_source(at, edge);
        let place = |i: usize| self.servers[i].gate.lets(self.now, self.fills_out(Some(i)), ease);
        let lets = source.is_some_and(place) && self.link.lets(self.now, self.fills_out(None), ease);
        // An origin that is late for all is asked for one thing at a time, since none tells of it while out.
        let one = |i: usize| self.servers[i].gate.limit >= 1.0 || !self.open.values().any(Open::may_fill);
        let whole = origin.is_none_or(|i| place(i) && one(i));
        let none_warm = || !self.up[Role::Edge as usize].iter().any(|i| self.warm(i));
        match (edge, open.found) {
            (Some(_), Found::FillUnderWay) => (edge, source, false),
            (Some(_), Found::Beyond) if lets && whole => (edge, source, false),
            // While the origin is full, only what the parent holds.
            (Some(_), Found::Unknown | Found::Nothing) if lets => (edge, source, !whole && source != origin),
            // While the link or the source is full, a look: only what the cache lacks needs it.
            (Some(_), Found::Unknown) => (edge, None, false),
            // No warm cache of the zone can serve: the parent itself, with the origin behind it.
            (None, _) if lets && self.set.direct_to_parents && none_warm() => {
                (source, origin.filter(|o| whole && source != Some(*o)), false)
            }
            _ => (None, None, false),
        }
    }

    /// The edge cache: the first in hash order that is usable and has room; its parts go on if it is hot.
    fn pick_edge(&self, at: usize, weight: f64) -> Option<usize> {
        let key = self.open[at].req.object.0;
        let edges = &self.order[Role::Edge as usize];
        let (mut order, ease) = (edges.sorted(key), self.ease(self.open[at].class));
        let lets = |s: &Server| s.gate.lets(self.now, s.out as f64, ease);
        order.retain(|i| self.usable(*i) && !self.open[at].blames(*i));
        let attempt = self.attempt_weight(self.open[at].class);
        order.retain(|i| lets(&self.servers[*i]) && self.has_room(*i, attempt));
        let size = |i: &usize| self.servers[*i].size();
        let load = |i: &usize| self.servers[*i].work / size(i);
        let all = order.iter().map(size).sum::<f64>();
        let mean = order.iter().map(|i| self.servers[*i].work).sum::<f64>() / all;
        let bound = SPILL * (mean + weight * order.len() as f64 / all);
        let home = order.first().copied()?;
        if load(&home) <= bound {
            return Some(home);
        }
        let place = mix(key, self.open[at].req.part.0 + 1);
        let mut spread = edges.order(place).filter(|i| order.contains(i));
        spread.find(|i| load(i) <= bound).or(Some(home))
    }

    /// The source for a miss at an edge cache: the object's home among all listed parents, or among those
    /// that the plan gives the cache for it, else the next in hash order, else the origin if it may.
    fn pick_source(&self, at: usize, edge: Option<usize>) -> Option<usize> {
        let object = self.open[at].req.object.0;
        let weight = self.fill_weight(&self.open[at].req, self.open[at].class);
        let ready = |i: &usize| self.usable(*i) && !self.open[at].blames(*i) && self.has_room(*i, weight);
        let edge = edge.or(self.up[Role::Edge as usize].first().copied());
        let planned = edge.and_then(|i| self.planned.get(&i));
        let parents = planned.map_or(&self.order[Role::Parent as usize], |p| &p.order);
        let share = |i: &usize| planned.map_or(1.0, |p| p.share[i]);
        let takes = |i: &usize| within_share(object, self.servers[*i].hash, share(i)) && ready(i);
        let parent = parents.order(mix(object, 0)).find(takes);
        // Where nobody else is left, one that is still to take more is better than none.
        let parent = parent.or_else(|| planned.and_then(|p| p.order.order(mix(object, 0)).find(ready)));
        let origin = self.origin().filter(|_| planned.is_none_or(|p| p.origin));
        parent.or_else(|| origin.filter(|i| self.usable(*i)))
    }

    /// Where a request that runs at the origin goes: straight there, else by a parent or an edge cache.
    pub(super) fn pick_through(&self, at: usize) -> Way {
        let key = self.open[at].req.object.0;
        let fresh = |i: &usize| !self.open[at].tries.iter().any(|t| t.server == *i);
        let origin = self.origin();
        let straight = origin.filter(|i| self.set.direct_to_parents && fresh(i));
        let role = if self.set.direct_to_parents { Role::Parent } else { Role::Edge };
        let mut way = self.order[role as usize].order(mix(key, 0));
        match straight.filter(|i| self.usable(*i)) {
            Some(_) => (straight, None, false),
            None => (way.find(|i| self.warm(i) && fresh(i)).or(straight), origin, false),
        }
    }
}
