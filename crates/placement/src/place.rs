//! Which routers keep which shard: what the table before says stays where it may, and the least that must move is moved.
//!
//! Every router has a quota by its capacity ([`quotas`]). Empty places are filled first, by the highest random weight (Thaler and Ravishankar
//! 1998) among those that are below theirs; then shards are moved from whoever has too many to whoever has too few. Whole numbers only.

use crate::share::{quotas, Quota};
use basaltgw_structures::hash::mix;
use std::collections::{BTreeMap, VecDeque};

/// A router that may keep shards.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// A hash of its name.
    pub hash: u64,
    /// Its capacity, above 0.
    pub weight: u64,
    /// The domain that it is lost with, from 0.
    pub domain: usize,
    /// Of rules of what never goes together: by its number, which of its operands this is. Ascending.
    pub apart: Vec<(u16, u16)>,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted {
    pub shards: usize,
    pub copies: usize,
    /// Copies of one shard in one domain, at most.
    pub each: usize,
}

/// A placement under way.
struct Places<'a> {
    candidates: &'a [Candidate],
    wanted: Wanted,
    before: &'a [Vec<usize>],
    quotas: Vec<Quota>,
    load: Vec<u32>,
    shards: Vec<Vec<usize>>,
}

/// True if two routers may not keep the same shard.
fn clash(a: &Candidate, b: &Candidate) -> bool {
    let other = |rule: u16| b.apart.binary_search_by_key(&rule, |o| o.0).ok().map(|i| b.apart[i].1);
    a.apart.iter().any(|(rule, operand)| other(*rule).is_some_and(|o| o != *operand))
}

/// Who wins a place: the highest word first, the same at every router.
pub(crate) fn score(shard: usize, hash: u64) -> u64 {
    mix(mix(shard as u64, 0x7368_6172_6473), hash)
}

impl Places<'_> {
    /// True if a router may join those (but for the one in `without`).
    fn fits(&self, kept: &[usize], without: Option<usize>, new: usize) -> bool {
        let there = || kept.iter().copied().filter(|k| Some(*k) != without);
        let candidate = &self.candidates[new];
        let same = there().filter(|k| self.candidates[*k].domain == candidate.domain).count();
        same < self.wanted.each && there().all(|k| k != new && !clash(&self.candidates[k], candidate))
    }

    fn put(&mut self, shard: usize, new: usize) {
        self.shards[shard].push(new);
        self.load[new] += 1;
    }

    fn swap(&mut self, shard: usize, old: usize, new: usize) {
        if let Some(place) = self.shards[shard].iter_mut().find(|k| **k == old) {
            *place = new;
            self.load[old] -= 1;
            self.load[new] += 1;
        }
    }

    /// What the table before says, as far as it may stay.
    fn keep(&mut self) {
        for (shard, kept) in self.before.iter().enumerate().take(self.wanted.shards) {
            for &router in kept {
                if self.shards[shard].len() < self.wanted.copies
                    && self.fits(&self.shards[shard], None, router)
                {
                    self.put(shard, router);
                }
            }
        }
    }

    /// Fills empty places. False if there is one that nobody may take.
    fn fill(&mut self) -> bool {
        for shard in 0..self.wanted.shards {
            while self.shards[shard].len() < self.wanted.copies {
                let open = |r: &usize| self.load[*r] < self.quotas[*r].most;
                let short = |r: &usize| self.load[*r] < self.quotas[*r].least;
                let fits = |r: &usize| self.fits(&self.shards[shard], None, *r);
                let best = (0..self.candidates.len())
                    .filter(|r| open(r) && fits(r))
                    .max_by_key(|r| (short(r), score(shard, self.candidates[*r].hash)));
                match best {
                    Some(router) => self.put(shard, router),
                    None if self.hand_on(shard) || self.fill_around(shard) => {}
                    None => match self.overfull(shard) {
                        Some(router) => self.put(shard, router),
                        None if self.afresh(shard) => {}
                        None => return false,
                    },
                }
            }
        }
        true
    }

    /// True if a router came to a shard only now: moving it on costs no further move.
    fn fresh(&self, shard: usize, router: usize) -> bool {
        self.before.get(shard).is_none_or(|kept| !kept.contains(&router))
    }

    /// Fills a place by the shortest row of routers that each hand a shard they came to only now to the next, the last to one with room
    /// (an augmenting path, Berge 1957).
    fn hand_on(&mut self, shard: usize) -> bool {
        /// How a shard came to need a keeper: who left it, and for which shard.
        type Step = Option<(usize, usize)>;
        let mut steps: BTreeMap<usize, Step> = BTreeMap::from([(shard, None)]);
        let mut queue = VecDeque::from([shard]);
        while let Some(needs) = queue.pop_front() {
            let left = steps[&needs].map(|(router, _)| router);
            let fits = |r: &usize| self.fits(&self.shards[needs], left, *r);
            let takers: Vec<usize> = (0..self.candidates.len()).filter(fits).collect();
            if let Some(&last) = takers.iter().find(|r| self.load[**r] < self.quotas[**r].most) {
                let (mut at, mut taker) = (needs, last);
                while let Some((router, to)) = steps[&at] {
                    self.swap(at, router, taker);
                    (at, taker) = (to, router);
                }
                self.put(at, taker);
                return true;
            }
            for other in 0..self.wanted.shards {
                let kept = &self.shards[other];
                let handed = kept.iter().find(|k| takers.contains(k) && self.fresh(other, **k));
                if let (Some(&router), false) = (handed, steps.contains_key(&other)) {
                    steps.insert(other, Some((router, needs)));
                    queue.push_back(other);
                }
            }
        }
        false
    }

    /// Fills a place by one who is taken from another shard, where one with room may take over.
    fn fill_around(&mut self, shard: usize) -> bool {
        let roomy: Vec<usize> =
            (0..self.candidates.len()).filter(|r| self.load[*r] < self.quotas[*r].most).collect();
        let found = (0..self.wanted.shards).filter(|s| *s != shard).find_map(|other| {
            let here = self.shards[other].iter().copied();
            here.filter(|k| self.fits(&self.shards[shard], None, *k)).find_map(|keeper| {
                let heir = roomy.iter().find(|r| self.fits(&self.shards[other], Some(keeper), **r));
                heir.map(|heir| (other, keeper, *heir))
            })
        });
        if let Some((other, keeper, heir)) = found {
            self.swap(other, keeper, heir);
            self.put(shard, keeper);
        }
        found.is_some()
    }

    /// Who takes a place beyond its quota because nobody below may: the one least over it.
    fn overfull(&self, shard: usize) -> Option<usize> {
        let over = |r: &usize| i64::from(self.load[*r]) - i64::from(self.quotas[*r].most);
        (0..self.candidates.len())
            .filter(|r| self.fits(&self.shards[shard], None, *r))
            .min_by_key(|r| (over(r), std::cmp::Reverse(score(shard, self.candidates[*r].hash))))
    }

    /// Fills a shard anew, since nobody may join those who keep it.
    fn afresh(&mut self, shard: usize) -> bool {
        let mut order: Vec<usize> = (0..self.candidates.len()).collect();
        order.sort_by_key(|r| std::cmp::Reverse(score(shard, self.candidates[*r].hash)));
        let found = search(self.candidates, &order, self.wanted.copies, self.wanted.each);
        if let Some(found) = &found {
            let old = std::mem::take(&mut self.shards[shard]);
            old.into_iter().for_each(|k| self.load[k] -= 1);
            found.iter().for_each(|k| self.put(shard, *k));
        }
        found.is_some()
    }

    /// Moves one shard to `to` from whoever has more than its quota's `from`; the one that is worth least to it there. False if there is none.
    fn pull(&mut self, to: usize, from: impl Fn(&Quota) -> u32) -> bool {
        let mut best: Option<(u32, bool, u64, usize, usize)> = None;
        for (shard, kept) in self.shards.iter().enumerate() {
            for &keeper in kept {
                let limit = from(&self.quotas[keeper]);
                if self.load[keeper] > limit && self.fits(kept, Some(keeper), to) {
                    let over = self.load[keeper].saturating_sub(self.quotas[keeper].most);
                    let worth = score(shard, self.candidates[to].hash);
                    best = best.max(Some((over, self.fresh(shard, keeper), worth, shard, keeper)));
                }
            }
        }
        if let Some((_, _, _, shard, keeper)) = best {
            self.swap(shard, keeper, to);
        }
        best.is_some()
    }

    /// Brings all within their quotas where that is free, by the fewest moves.
    fn level(&mut self) {
        for to in 0..self.candidates.len() {
            while self.load[to] < self.quotas[to].least && self.pull(to, |q| q.least) {}
        }
        loop {
            let over = (0..self.candidates.len()).any(|r| self.load[r] > self.quotas[r].most);
            let open = (0..self.candidates.len()).filter(|r| self.load[*r] < self.quotas[*r].most);
            let open: Vec<usize> = open.collect();
            if !over || !open.into_iter().any(|to| self.pull(to, |q| q.most)) {
                break;
            }
        }
    }
}

/// The most steps of a search for keepers of one shard: beyond it there are none to be found that rules of any use would allow.
const MOST_STEPS: usize = 200_000;

/// Keepers of one shard that may be together, the first in `order` that will do; `None` if there are none.
pub(crate) fn search(
    candidates: &[Candidate],
    order: &[usize],
    copies: usize,
    each: usize,
) -> Option<Vec<usize>> {
    fn deeper(
        (candidates, order, copies, each): (&[Candidate], &[usize], usize, usize),
        (from, steps): (usize, &mut usize),
        kept: &mut Vec<usize>,
    ) -> bool {
        if kept.len() == copies {
            return true;
        }
        let mut alike: Vec<&Candidate> = Vec::new();
        for (i, &next) in order.iter().enumerate().skip(from) {
            *steps += 1;
            if *steps > MOST_STEPS {
                return false;
            }
            let new = &candidates[next];
            // One like another that led nowhere leads nowhere.
            if alike.iter().any(|a| a.domain == new.domain && a.apart == new.apart) {
                continue;
            }
            let same = kept.iter().filter(|k| candidates[**k].domain == new.domain).count();
            if same < each && kept.iter().all(|k| !clash(&candidates[*k], new)) {
                kept.push(next);
                if deeper((candidates, order, copies, each), (i + 1, steps), kept) {
                    return true;
                }
                kept.pop();
                alike.push(new);
            }
        }
        false
    }
    let mut kept = Vec::new();
    deeper((candidates, order, copies, each), (0, &mut 0), &mut kept).then_some(kept)
}

/// The keepers of each shard; `None` if some shard can't have so many.
pub(crate) fn place(
    candidates: &[Candidate],
    wanted: Wanted,
    before: &[Vec<usize>],
) -> Option<Vec<Vec<usize>>> {
    let domains = candidates.iter().map(|c| c.domain + 1).max().unwrap_or(0);
    let routers: Vec<(u64, usize)> = candidates.iter().map(|c| (c.weight, c.domain)).collect();
    let quotas = quotas(&routers, domains, wanted.shards, wanted.copies, wanted.each);
    let mut places = Places {
        candidates,
        wanted,
        before,
        quotas,
        load: vec![0; candidates.len()],
        shards: vec![Vec::new(); wanted.shards],
    };
    places.keep();
    if !places.fill() {
        return None;
    }
    places.level();
    Some(places.shards)
}
