//! Assigns shards to routers: replicas of the previous table stay where they may, and as few shards as possible move.
//!
//! Every router has a quota by its capacity, a least and a largest number of shards ([`quotas`]). A shard that lacks a replica has a free place. Free
//! places go by the highest random weight (Thaler and Ravishankar 1998), first to routers below their quota; then shards move from routers above
//! their quota to routers below theirs. Whole numbers only, so that every machine computes the same assignment.

use crate::quotas::{quotas, Quota};
use basaltgw_structures::hash::mix;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// A router that may get shards. Candidates are referred to by index.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Hash of its name.
    pub name_hash: u64,
    /// Its capacity, above 0.
    pub weight: u64,
    /// Number of its failure domain, from 0.
    pub domain: usize,
    /// Its operands in the rules `never together`, ascending by rule.
    pub exclusions: Vec<ExcludedOperand>,
}

/// An operand of a rule `never together`: routers of different operands of the same rule exclude each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExcludedOperand {
    /// Number of the rule.
    pub rule: u16,
    /// Number of the operand in the rule.
    pub operand: u16,
}

/// The size of an assignment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaCounts {
    pub shards: usize,
    pub copies: usize,
    /// Largest number of copies of one shard in one domain.
    pub max_per_domain: usize,
}

/// An assignment in progress.
struct Assignment<'a> {
    candidates: &'a [Candidate],
    counts: ReplicaCounts,
    /// Candidates that are replicas of each shard in the previous table.
    previous: &'a [Vec<usize>],
    quotas: Vec<Quota>,
    /// Number of shards of each candidate.
    load: Vec<u32>,
    /// Replicas of each shard so far.
    shards: Vec<Vec<usize>>,
}

/// Whether a rule of `never together` forbids two routers to store the same shard.
fn are_exclusive(a: &Candidate, b: &Candidate) -> bool {
    let operand_of_b = |rule: u16| {
        b.exclusions.binary_search_by_key(&rule, |e| e.rule).ok().map(|i| b.exclusions[i].operand)
    };
    a.exclusions.iter().any(|e| operand_of_b(e.rule).is_some_and(|operand| operand != e.operand))
}

/// Makes the scores of routers for shards independent of other uses of [`mix`]: the ASCII text `shards`.
const SHARD_SALT: u64 = 0x7368_6172_6473;

/// Random weight of a router for a shard, the same on every machine. The highest wins.
pub(crate) fn score(shard: usize, name_hash: u64) -> u64 {
    mix(mix(shard as u64, SHARD_SALT), name_hash)
}

impl Assignment<'_> {
    /// Whether a router may join the replicas of a shard, leaving out the one in `without`.
    fn fits(&self, replicas: &[usize], without: Option<usize>, router: usize) -> bool {
        let others = || replicas.iter().copied().filter(|r| Some(*r) != without);
        let candidate = &self.candidates[router];
        let in_domain = others().filter(|r| self.candidates[*r].domain == candidate.domain).count();
        in_domain < self.counts.max_per_domain
            && others().all(|r| r != router && !are_exclusive(&self.candidates[r], candidate))
    }

    fn fits_shard(&self, shard: usize, router: usize) -> bool {
        self.fits(&self.shards[shard], None, router)
    }

    fn score(&self, shard: usize, router: usize) -> u64 {
        score(shard, self.candidates[router].name_hash)
    }

    fn is_below_max(&self, router: usize) -> bool {
        self.load[router] < self.quotas[router].max
    }

    fn add(&mut self, shard: usize, router: usize) {
        self.shards[shard].push(router);
        self.load[router] += 1;
    }

    fn replace(&mut self, shard: usize, old: usize, new: usize) {
        if let Some(replica) = self.shards[shard].iter_mut().find(|r| **r == old) {
            *replica = new;
            self.load[old] -= 1;
            self.load[new] += 1;
        }
    }

    /// Takes over the replicas of the previous table that are still permitted.
    fn take_over_previous(&mut self) {
        for (shard, replicas) in self.previous.iter().enumerate().take(self.counts.shards) {
            for &router in replicas {
                if self.shards[shard].len() < self.counts.copies && self.fits_shard(shard, router) {
                    self.add(shard, router);
                }
            }
        }
    }

    /// Fills all free places. False if no router may take one of them.
    fn fill_free_places(&mut self) -> bool {
        for shard in 0..self.counts.shards {
            while self.shards[shard].len() < self.counts.copies {
                let is_below_min = |r: &usize| self.load[*r] < self.quotas[*r].min;
                let best = (0..self.candidates.len())
                    .filter(|r| self.is_below_max(*r) && self.fits_shard(shard, *r))
                    .max_by_key(|r| (is_below_min(r), self.score(shard, *r)));
                match best {
                    Some(router) => self.add(shard, router),
                    None if self.fill_by_augmenting_path(shard) || self.fill_by_exchange(shard) => {}
                    None => match self.least_overloaded(shard) {
                        Some(router) => self.add(shard, router),
                        None if self.refill(shard) => {}
                        None => return false,
                    },
                }
            }
        }
        true
    }

    /// Whether a router is a replica only in this assignment: to move its shard on costs no further move.
    fn is_newly_assigned(&self, shard: usize, router: usize) -> bool {
        self.previous.get(shard).is_none_or(|replicas| !replicas.contains(&router))
    }

    /// Fills a place along the shortest chain of newly assigned routers, each of which hands a shard to the next one, the last to one below its
    /// quota (an augmenting path, Berge 1957).
    fn fill_by_augmenting_path(&mut self, shard: usize) -> bool {
        /// For a shard that needs a replica: the router that leaves it, and the shard to which that router goes.
        type Link = Option<(usize, usize)>;
        let mut links: BTreeMap<usize, Link> = BTreeMap::from([(shard, None)]);
        let mut queue = VecDeque::from([shard]);
        while let Some(needing) = queue.pop_front() {
            let leaving = links[&needing].map(|(router, _)| router);
            let fits = |r: &usize| self.fits(&self.shards[needing], leaving, *r);
            let fitting: Vec<usize> = (0..self.candidates.len()).filter(fits).collect();
            if let Some(&last) = fitting.iter().find(|r| self.is_below_max(**r)) {
                let (mut at, mut joining) = (needing, last);
                while let Some((router, to)) = links[&at] {
                    self.replace(at, router, joining);
                    (at, joining) = (to, router);
                }
                self.add(at, joining);
                return true;
            }
            for other in 0..self.counts.shards {
                let replicas = &self.shards[other];
                let movable =
                    replicas.iter().find(|r| fitting.contains(r) && self.is_newly_assigned(other, **r));
                if let (Some(&router), false) = (movable, links.contains_key(&other)) {
                    links.insert(other, Some((router, needing)));
                    queue.push_back(other);
                }
            }
        }
        false
    }

    /// Fills a place with a replica of another shard, where a router below its quota can replace it.
    fn fill_by_exchange(&mut self, shard: usize) -> bool {
        let below_max: Vec<usize> = (0..self.candidates.len()).filter(|r| self.is_below_max(*r)).collect();
        let found = (0..self.counts.shards).filter(|s| *s != shard).find_map(|other| {
            let replicas = self.shards[other].iter().copied();
            replicas.filter(|r| self.fits_shard(shard, *r)).find_map(|replica| {
                let substitute =
                    below_max.iter().find(|r| self.fits(&self.shards[other], Some(replica), **r));
                substitute.map(|substitute| (other, replica, *substitute))
            })
        });
        if let Some((other, replica, substitute)) = found {
            self.replace(other, replica, substitute);
            self.add(shard, replica);
        }
        found.is_some()
    }

    /// The router that takes a place beyond its quota if none below its quota may: the one that is least above it.
    fn least_overloaded(&self, shard: usize) -> Option<usize> {
        let excess = |r: &usize| i64::from(self.load[*r]) - i64::from(self.quotas[*r].max);
        (0..self.candidates.len())
            .filter(|r| self.fits_shard(shard, *r))
            .min_by_key(|r| (excess(r), Reverse(self.score(shard, *r))))
    }

    /// Chooses all replicas of a shard anew, since no router may join the present ones.
    fn refill(&mut self, shard: usize) -> bool {
        let mut order: Vec<usize> = (0..self.candidates.len()).collect();
        order.sort_by_key(|r| Reverse(self.score(shard, *r)));
        let found =
            find_replica_group(self.candidates, &order, self.counts.copies, self.counts.max_per_domain);
        if let Some(found) = &found {
            let old = std::mem::take(&mut self.shards[shard]);
            old.into_iter().for_each(|r| self.load[r] -= 1);
            found.iter().for_each(|r| self.add(shard, *r));
        }
        found.is_some()
    }

    /// Moves one shard to router `to` from a router whose load exceeds its `limit`: from the most overloaded one, preferring shards newly assigned to
    /// it, then the shard with the highest score for `to`. False if there is none.
    fn pull_shard(&mut self, to: usize, limit: impl Fn(&Quota) -> u32) -> bool {
        let mut best: Option<(u32, bool, u64, usize, usize)> = None;
        for (shard, replicas) in self.shards.iter().enumerate() {
            for &from in replicas {
                let quota = &self.quotas[from];
                if self.load[from] > limit(quota) && self.fits(replicas, Some(from), to) {
                    let excess = self.load[from].saturating_sub(quota.max);
                    let is_newly_assigned = self.is_newly_assigned(shard, from);
                    best = best.max(Some((excess, is_newly_assigned, self.score(shard, to), shard, from)));
                }
            }
        }
        if let Some((_, _, _, shard, from)) = best {
            self.replace(shard, from, to);
        }
        best.is_some()
    }

    /// Brings all routers within their quotas where rules permit, with the fewest moves.
    fn level(&mut self) {
        for to in 0..self.candidates.len() {
            while self.load[to] < self.quotas[to].min && self.pull_shard(to, |q| q.min) {}
        }
        loop {
            let is_any_above = (0..self.candidates.len()).any(|r| self.load[r] > self.quotas[r].max);
            let below: Vec<usize> = (0..self.candidates.len()).filter(|r| self.is_below_max(*r)).collect();
            if !is_any_above || !below.into_iter().any(|to| self.pull_shard(to, |q| q.max)) {
                break;
            }
        }
    }
}

/// Most routers tried in the search for the replicas of one shard, repeated tries included. Rules that need a longer search are of no practical use.
const MAX_SEARCH_STEPS: usize = 200_000;

/// The first replicas of one shard, in the order of `order`, that rules permit together; `None` if there are none.
pub(crate) fn find_replica_group(
    candidates: &[Candidate],
    order: &[usize],
    copies: usize,
    max_per_domain: usize,
) -> Option<Vec<usize>> {
    let mut search = GroupSearch { candidates, order, copies, max_per_domain, steps: 0 };
    let mut group = Vec::new();
    search.extend(0, &mut group).then_some(group)
}

/// Depth-first search of [`find_replica_group`].
struct GroupSearch<'a> {
    candidates: &'a [Candidate],
    order: &'a [usize],
    copies: usize,
    max_per_domain: usize,
    steps: usize,
}

impl GroupSearch<'_> {
    /// Completes `group` with routers from index `start` of the order on. False if there is no way.
    fn extend(&mut self, start: usize, group: &mut Vec<usize>) -> bool {
        if group.len() == self.copies {
            return true;
        }
        let (candidates, order) = (self.candidates, self.order);
        let mut failed: Vec<&Candidate> = Vec::new();
        for (i, &router) in order.iter().enumerate().skip(start) {
            self.steps += 1;
            if self.steps > MAX_SEARCH_STEPS {
                return false;
            }
            let new = &candidates[router];
            // A router with the same domain and exclusions as one that failed here fails as well.
            if failed.iter().any(|f| f.domain == new.domain && f.exclusions == new.exclusions) {
                continue;
            }
            let in_domain = group.iter().filter(|r| candidates[**r].domain == new.domain).count();
            if in_domain < self.max_per_domain && group.iter().all(|r| !are_exclusive(&candidates[*r], new)) {
                group.push(router);
                if self.extend(i + 1, group) {
                    return true;
                }
                group.pop();
                failed.push(new);
            }
        }
        false
    }
}

/// The replicas of each shard; `None` if some shard can't have enough.
pub(crate) fn assign_replicas(
    candidates: &[Candidate],
    counts: ReplicaCounts,
    previous: &[Vec<usize>],
) -> Option<Vec<Vec<usize>>> {
    let domains = candidates.iter().map(|c| c.domain + 1).max().unwrap_or(0);
    let routers: Vec<(u64, usize)> = candidates.iter().map(|c| (c.weight, c.domain)).collect();
    let quotas = quotas(&routers, domains, counts.shards, counts.copies, counts.max_per_domain);
    let mut assignment = Assignment {
        candidates,
        counts,
        previous,
        quotas,
        load: vec![0; candidates.len()],
        shards: vec![Vec::new(); counts.shards],
    };
    assignment.take_over_previous();
    if !assignment.fill_free_places() {
        return None;
    }
    assignment.level();
    Some(assignment.shards)
}
