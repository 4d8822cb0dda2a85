//! Standing links: which are wanted, tried, up, and left alone for a while; and the one by which words come at once.

use crate::link::{Link, Role, Stand};
use crate::list::{Place, RouterList};
use crate::overlay::Overlay;
use crate::place::choices;
use crate::wire::Part;
use crate::{Action, Kind, Side};
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A router that may be dialled, as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Step {
    /// It may be dialled when it is wanted.
    Idle,
    /// It was dialled then.
    Dialled(Ms),
    /// The link is up since then.
    Up(Ms),
    /// It is left alone until then.
    Off(Ms),
}

#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub router: RouterId,
    pub step: Step,
    /// Failures in a row.
    pub failed: u32,
}

/// Candidates of which so many links are to stand.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub need: usize,
    pub candidates: Vec<Candidate>,
}

impl Group {
    /// The best that are not left alone, as many as are needed.
    fn wanted(&self, more: usize) -> impl Iterator<Item = usize> + '_ {
        let tried = |c: &Candidate| match c.step {
            Step::Idle | Step::Dialled(_) | Step::Up(_) => true,
            Step::Off(_) => false,
        };
        (0..self.candidates.len()).filter(move |i| tried(&self.candidates[*i])).take(self.need + more)
    }
}

/// Links beyond the standing ones that are tried for words at once.
const MOST_MORE: usize = 8;

impl Overlay {
    pub(crate) fn set_list(&mut self, now: Ms, list: Arc<RouterList>, out: &mut Vec<Action>) {
        let mut before: BTreeMap<RouterId, Candidate> = BTreeMap::new();
        for candidate in self.groups.drain(..).flat_map(|g| g.candidates) {
            before.insert(candidate.router.clone(), candidate);
        }
        let fresh = |router: RouterId| Candidate { router, step: Step::Idle, failed: 0 };
        let kept = |r: RouterId| before.get(&r).cloned().unwrap_or_else(|| fresh(r));
        self.groups = choices(&list, &self.me)
            .into_iter()
            .map(|c| Group { need: c.need, candidates: c.routers.into_iter().map(kept).collect() })
            .collect();
        self.list = Some(list);
        for member in self.links.values().map(|l| l.member.clone()).collect::<Vec<_>>() {
            match self.stand(&member.router) {
                None => {
                    self.counters.not_listed += 1;
                    self.close(now, &member.router, out);
                }
                Some((role, stand, outside)) => {
                    if let Some(link) = self.links.get_mut(&member.router) {
                        (link.stand, link.outside) = (stand, outside);
                        // Whoever is a peer now, or no more, speaks by that rule from now on.
                        match (link.role == Role::Peer, role) {
                            (false, true) => (link.role, link.push) = (Role::Peer, true),
                            (true, false) => link.role = Role::Parent,
                            (true, true) | (false, false) => {}
                        }
                    }
                }
            }
        }
        self.upkeep(now, out);
    }

    /// Whether a router is a peer, where it stands, and whether that is outside; nothing if it isn't listed.
    fn stand(&self, router: &RouterId) -> Option<(bool, Stand, bool)> {
        let list = self.list.as_ref()?;
        let (mine, theirs) = (list.number(&self.me)?, list.number(router)?);
        let stand = match list.place(theirs) {
            Place::Control => Stand::Control,
            Place::Tier { tier: 0, .. } => Stand::Relay,
            Place::Tier { .. } => Stand::Tier,
        };
        let (mine, theirs) = (list.at(mine), list.at(theirs));
        (self.me != *router).then_some((
            mine.control && theirs.control,
            stand,
            theirs.control || mine.region != theirs.region,
        ))
    }

    /// Where this router stands; nothing while it isn't listed.
    pub(crate) fn my_stand(&self) -> Option<Stand> {
        let list = self.list.as_ref()?;
        Some(match list.place(list.number(&self.me)?) {
            Place::Control => Stand::Control,
            Place::Tier { tier: 0, .. } => Stand::Relay,
            Place::Tier { .. } => Stand::Tier,
        })
    }

    pub(crate) fn up(&mut self, now: Ms, member: Member, side: Side, out: &mut Vec<Action>) {
        let Some((peer, stand, outside)) = self.stand(&member.router) else {
            self.counters.not_listed += 1;
            out.push(Action::Close(member));
            return;
        };
        self.lose(now, &member.router);
        let role = match (peer, side) {
            (true, _) => Role::Peer,
            (false, Side::Local) => Role::Parent,
            (false, Side::Remote) => Role::Child,
        };
        let children = self.links.values().filter(|l| l.role == Role::Child).count();
        let most = match self.my_stand() {
            Some(Stand::Control) => self.settings.most_control_children,
            Some(Stand::Relay | Stand::Tier) | None => self.settings.most_children,
        };
        let mut room = role != Role::Child || children < most;
        if !room && self.rightful(&member.router) {
            let child = |l: &&Link| l.role == Role::Child && !self.rightful(&l.member.router);
            let other = self.links.values().find(child).map(|l| l.member.clone());
            if let Some(other) = other {
                self.turn_away(&other, out);
                self.lose(now, &other.router);
                room = true;
            }
        }
        if !room {
            self.turn_away(&member, out);
            return;
        }
        let router = member.router.clone();
        let mut link = Link::new(now, member, role, stand, outside);
        if role != Role::Parent {
            link.say(Part::Key(self.told.key));
        }
        self.links.insert(router.clone(), link);
        if side == Side::Local {
            self.step(&router, |c| c.step = Step::Up(now));
        }
        self.upkeep(now, out);
    }

    /// Tells the other end that there is no room, and closes the link.
    fn turn_away(&mut self, member: &Member, out: &mut Vec<Action>) {
        self.counters.full_here += 1;
        let mut names = self.links.get(&member.router).map(|l| l.names.clone()).unwrap_or_default();
        out.push(Action::Send(member.clone(), Kind::Purge, names.write(vec![Part::Full])));
        out.push(Action::Close(member.clone()));
    }

    fn step(&mut self, router: &RouterId, change: impl FnOnce(&mut Candidate)) {
        let all = self.groups.iter_mut().flat_map(|g| g.candidates.iter_mut());
        if let Some(candidate) = all.into_iter().find(|c| c.router == *router) {
            change(candidate);
        }
    }

    pub(crate) fn down(&mut self, now: Ms, member: &Member, out: &mut Vec<Action>) {
        match self.links.get(&member.router).is_some_and(|l| l.member == *member) {
            true => {
                self.counters.lost += 1;
                self.lose(now, &member.router);
                self.upkeep(now, out);
            }
            false => self.counters.stray += 1,
        }
    }

    pub(crate) fn refused(&mut self, now: Ms, router: &RouterId, out: &mut Vec<Action>) {
        self.failed(now, router);
        self.upkeep(now, out);
    }

    /// A dial came to nothing, or not in time.
    fn failed(&mut self, now: Ms, router: &RouterId) {
        self.counters.dials_failed += 1;
        self.back_off(now, router, 0.0);
    }

    /// Leaves a router alone for a while, longer after each failure.
    fn back_off(&mut self, now: Ms, router: &RouterId, least: Ms) {
        let jitter = 1.0 + self.draw() * 0.5;
        let (base, most) = (self.settings.backoff_ms, self.settings.most_backoff_ms);
        self.step(router, |c| {
            let span = (base * 2f64.powi(c.failed.min(16) as i32)).min(most).max(least);
            c.failed = c.failed.saturating_add(1);
            c.step = Step::Off(now + span * jitter);
        });
    }

    /// Forgets a link, whoever ended it.
    fn lose(&mut self, now: Ms, router: &RouterId) {
        let Some(link) = self.links.remove(router) else {
            return;
        };
        self.missing.lost(router);
        if self.primary.as_ref() == Some(router) {
            self.primary = None;
        }
        if now - link.up_at >= self.settings.stable_ms {
            self.step(router, |c| c.failed = 0);
        }
        let ours = |c: &mut Candidate| match c.step {
            Step::Up(_) => true,
            Step::Idle | Step::Dialled(_) | Step::Off(_) => false,
        };
        let mut was_up = false;
        self.step(router, |c| was_up = ours(c));
        if was_up {
            self.back_off(now, router, 0.0);
        }
    }

    pub(crate) fn close(&mut self, now: Ms, router: &RouterId, out: &mut Vec<Action>) {
        if let Some(member) = self.links.get(router).map(|l| l.member.clone()) {
            self.lose(now, router);
            out.push(Action::Close(member));
        }
    }

    /// The other end has no room.
    pub(crate) fn full(&mut self, now: Ms, router: &RouterId, out: &mut Vec<Action>) {
        self.counters.full_there += 1;
        self.close(now, router, out);
        self.back_off(now, router, self.settings.refused_ms);
        self.upkeep(now, out);
    }

    /// Closes links on which nothing comes.
    pub(crate) fn close_silent(&mut self, now: Ms, out: &mut Vec<Action>) {
        let silent = |l: &&Link| now - l.heard > self.settings.silent_ms;
        for router in self.links.values().filter(silent).map(|l| l.member.router.clone()).collect::<Vec<_>>()
        {
            self.counters.silent += 1;
            self.close(now, &router, out);
        }
    }

    /// Dials what is wanted, closes what better ones stand in for, and picks the link by which words come at once.
    pub(crate) fn upkeep(&mut self, now: Ms, out: &mut Vec<Action>) {
        let mut late = Vec::new();
        for candidate in self.groups.iter_mut().flat_map(|g| g.candidates.iter_mut()) {
            match candidate.step {
                Step::Dialled(since) if now - since >= self.settings.dial_ms => {
                    late.push(candidate.router.clone());
                }
                Step::Off(until) if until <= now => candidate.step = Step::Idle,
                Step::Idle | Step::Dialled(_) | Step::Up(_) | Step::Off(_) => {}
            }
        }
        late.iter().for_each(|router| self.failed(now, router));
        let mut spare = Vec::new();
        let more = self.refusals(now);
        for group in &mut self.groups {
            let wanted: Vec<usize> = group.wanted(more).collect();
            for i in &wanted {
                let candidate = &mut group.candidates[*i];
                if candidate.step == Step::Idle {
                    candidate.step = Step::Dialled(now);
                    self.counters.dials += 1;
                    out.push(Action::Dial(candidate.router.clone()));
                }
            }
            // Spare ones go once the better ones have stood for a while.
            let stands = |c: &Candidate| match c.step {
                Step::Up(since) => now - since >= self.settings.late_ms,
                Step::Idle | Step::Dialled(_) | Step::Off(_) => false,
            };
            if wanted.len() >= group.need && wanted.iter().all(|i| stands(&group.candidates[*i])) {
                let last = wanted.last().map_or(0, |i| i + 1);
                for candidate in group.candidates.iter_mut().skip(last).filter(|c| stands(c)) {
                    if self.primary.as_ref() == Some(&candidate.router) {
                        continue;
                    }
                    candidate.step = Step::Idle;
                    spare.push(candidate.router.clone());
                }
            }
        }
        self.spare_unlisted(now, &mut spare);
        for router in spare {
            self.counters.spare += 1;
            self.close(now, &router, out);
        }
        self.choose_primary(now);
    }

    /// How many more links are wanted, since nobody above has room to send words at once.
    fn refusals(&self, now: Ms) -> usize {
        let refused = |l: &&Link| l.role == Role::Parent && l.not_eager_until > now;
        match self.primary {
            Some(_) => 0,
            None => self.links.values().filter(refused).count().min(MOST_MORE),
        }
    }

    /// Links that we dialled by an older list; they go once those of the newer one stand.
    fn spare_unlisted(&self, now: Ms, spare: &mut Vec<RouterId>) {
        let candidates = || self.groups.iter().flat_map(|g| g.candidates.iter());
        let ours = |l: &&Link| l.role == Role::Parent && !candidates().any(|c| c.router == l.member.router);
        let stale: Vec<RouterId> =
            self.links.values().filter(ours).map(|l| l.member.router.clone()).collect();
        let stands = |g: &Group| {
            let up = g.candidates.iter().filter(|c| match c.step {
                Step::Up(since) => now - since >= self.settings.late_ms,
                Step::Idle | Step::Dialled(_) | Step::Off(_) => false,
            });
            up.count() >= g.need.min(g.candidates.len())
        };
        if !stale.is_empty() && self.groups.iter().all(stands) {
            spare.extend(stale);
        }
    }

    /// The first link above by which words may come at once. One that stands is kept until a better one has stood for a while.
    pub(crate) fn choose_primary(&mut self, now: Ms) {
        let order = self.groups.iter().flat_map(|g| g.candidates.iter().map(|c| &c.router));
        let usable = |r: &&RouterId| {
            self.links.get(*r).is_some_and(|l| l.role == Role::Parent && l.not_eager_until <= now)
        };
        let able: Vec<&RouterId> = order.filter(usable).collect();
        let stable =
            |r: &RouterId| self.links.get(r).is_some_and(|l| now - l.up_at >= self.settings.stable_ms);
        let current = self.primary.as_ref().filter(|p| able.contains(p));
        let best = match current {
            Some(p) => able.iter().take_while(|r| **r != p).find(|r| stable(r)).copied().unwrap_or(p),
            None => match able.first() {
                Some(first) => first,
                None => return self.set_primary(now, None),
            },
        };
        let best = best.clone();
        self.set_primary(now, Some(best));
    }

    fn set_primary(&mut self, now: Ms, to: Option<RouterId>) {
        if self.primary == to {
            return;
        }
        self.counters.primary_changes += 1;
        self.strikes = 0;
        if let Some(link) = self.primary.take().and_then(|old| self.links.get_mut(&old)) {
            link.push = false;
            link.say(Part::Want { eager: false, has: Vec::new() });
        }
        let hot = self.streams.hot(now, self.settings.hot_ms, self.settings.most_hot);
        if let Some(link) = to.as_ref().and_then(|new| self.links.get_mut(new)) {
            link.push = true;
            let behind = |(s, upto): &&(_, u64)| link.knows.get(s).is_some_and(|had| had < upto);
            let dirty: Vec<_> = hot.iter().filter(behind).map(|(s, _)| *s).collect();
            link.dirty.extend(dirty);
            link.say(Part::Want { eager: true, has: hot });
        }
        self.primary = to;
    }
}
