//! Link selection: which routers are dialed, which links are closed, and which parent pushes updates.
//!
//! Inputs: the candidates of the topology, links, time in milliseconds. In each group the best candidates that are not backing off are dialed,
//! as many as the group needs, and more while every parent rejects the push request. A worse link closes once the better ones have been up for
//! `late_ms`. The primary parent is the first one in the order of candidates that accepts to push updates; it changes only to a parent that
//! has been linked for `stable_ms`.

use crate::candidates::{Candidate, CandidateState, Group};
use crate::frame::Part;
use crate::link::{Level, Link, Role};
use crate::overlay::Overlay;
use crate::router_list::{Place, RouterList};
use crate::topology::{choices, Choice};
use crate::{Action, Kind, Side};
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Place of a neighbor, as seen from this router.
struct Position {
    is_peer: bool,
    level: Level,
    is_outside: bool,
}

/// Largest number of links beyond the needed ones that are tried while every parent rejects the push request.
const MAX_EXTRA_LINKS: usize = 8;
/// Random part of a backoff, relative to it.
const BACKOFF_JITTER: f64 = 0.5;
/// Bounds the exponent of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

impl Overlay {
    /// Takes over a changed list: computes the groups of candidates anew, and closes the links to routers that are not listed.
    pub(crate) fn set_list(&mut self, now: Ms, list: Arc<RouterList>, actions: &mut Vec<Action>) {
        let mut before: BTreeMap<RouterId, Candidate> = BTreeMap::new();
        for candidate in self.groups.drain(..).flat_map(|g| g.candidates) {
            before.insert(candidate.router.clone(), candidate);
        }
        let new =
            |router: RouterId| Candidate { router, state: CandidateState::Idle, consecutive_failures: 0 };
        let candidate = |router: RouterId| before.get(&router).cloned().unwrap_or_else(|| new(router));
        let group = |choice: Choice| Group {
            need: choice.need,
            candidates: choice.routers.into_iter().map(candidate).collect(),
        };
        self.groups = choices(&list, &self.me).into_iter().map(group).collect();
        self.list = Some(list);
        for router in self.links.keys().cloned().collect::<Vec<_>>() {
            match self.position_of(&router) {
                None => {
                    self.counters.not_listed += 1;
                    self.close(now, &router, actions);
                }
                Some(position) => {
                    if let Some(link) = self.links.get_mut(&router) {
                        link.set_position(&position);
                    }
                }
            }
        }
        self.select_links(now, actions);
    }

    /// Position of another router; `None` unless both are listed.
    fn position_of(&self, router: &RouterId) -> Option<Position> {
        let list = self.list.as_ref()?;
        let (own_index, index) = (list.index(&self.me)?, list.index(router)?);
        let (own, other) = (list.at(own_index), list.at(index));
        (self.me != *router).then_some(Position {
            is_peer: own.control && other.control,
            level: level(list.place(index)),
            is_outside: other.control || own.region != other.region,
        })
    }

    /// Level of this router; `None` while it isn't listed.
    pub(crate) fn own_level(&self) -> Option<Level> {
        let list = self.list.as_ref()?;
        Some(level(list.place(list.index(&self.me)?)))
    }

    /// A link is established.
    pub(crate) fn on_link_up(&mut self, now: Ms, member: Member, side: Side, actions: &mut Vec<Action>) {
        let Some(position) = self.position_of(&member.router) else {
            self.counters.not_listed += 1;
            actions.push(Action::Close(member));
            return;
        };
        self.remove_link(now, &member.router);
        let role = match (position.is_peer, side) {
            (true, _) => Role::Peer,
            (false, Side::Local) => Role::Parent,
            (false, Side::Remote) => Role::Child,
        };
        if role == Role::Child && !self.accepts_child(now, &member.router, actions) {
            return self.reject_link(&member, actions);
        }
        let router = member.router.clone();
        let mut link = Link::new(now, member, role, position.level, position.is_outside);
        if role != Role::Parent {
            link.enqueue(Part::HashKey(self.deduplication.hash_key));
        }
        self.links.insert(router.clone(), link);
        if side == Side::Local {
            self.update_candidate(&router, |c| c.state = CandidateState::Up(now));
        }
        self.select_links(now, actions);
    }

    /// Whether one more child may be linked. A designated child displaces one that is not.
    fn accepts_child(&mut self, now: Ms, router: &RouterId, actions: &mut Vec<Action>) -> bool {
        let children = self.links.values().filter(|link| link.role == Role::Child).count();
        let max_children = match self.own_level() {
            Some(Level::Control) => self.settings.max_control_children,
            Some(Level::Relay | Level::Tier) | None => self.settings.max_children,
        };
        if children < max_children {
            return true;
        }
        if !self.is_designated_child(router) {
            return false;
        }
        let is_displaceable =
            |link: &&Link| link.role == Role::Child && !self.is_designated_child(&link.member.router);
        let displaced = self.links.values().find(is_displaceable).map(|link| link.member.clone());
        let Some(displaced) = displaced else { return false };
        self.reject_link(&displaced, actions);
        self.remove_link(now, &displaced.router);
        true
    }

    /// Sends a rejection to the neighbor, and closes the link.
    fn reject_link(&mut self, member: &Member, actions: &mut Vec<Action>) {
        self.counters.links_rejected += 1;
        let mut names = self.links.get(&member.router).map(|link| link.names.clone()).unwrap_or_default();
        let frame = names.encode(vec![Part::LinkRejected]);
        actions.push(Action::Send(member.clone(), Kind::Purge, frame));
        actions.push(Action::Close(member.clone()));
    }

    fn update_candidate(&mut self, router: &RouterId, change: impl FnOnce(&mut Candidate)) {
        let mut candidates = self.groups.iter_mut().flat_map(|group| group.candidates.iter_mut());
        if let Some(candidate) = candidates.find(|candidate| candidate.router == *router) {
            change(candidate);
        }
    }

    /// A link is closed.
    pub(crate) fn on_link_down(&mut self, now: Ms, member: &Member, actions: &mut Vec<Action>) {
        match self.links.get(&member.router).is_some_and(|link| link.member == *member) {
            true => {
                self.counters.lost_links += 1;
                self.remove_link(now, &member.router);
                self.select_links(now, actions);
            }
            false => self.counters.stray_events += 1,
        }
    }

    pub(crate) fn on_dial_failed(&mut self, now: Ms, router: &RouterId, actions: &mut Vec<Action>) {
        self.fail_dial(now, router);
        self.select_links(now, actions);
    }

    /// A dial failed or timed out.
    fn fail_dial(&mut self, now: Ms, router: &RouterId) {
        self.counters.dials_failed += 1;
        self.back_off(now, router, 0.0);
    }

    /// Backs off from a router for at least `min_ms`, exponentially in its consecutive failures.
    fn back_off(&mut self, now: Ms, router: &RouterId, min_ms: Ms) {
        let jitter = 1.0 + self.random() * BACKOFF_JITTER;
        let (initial_ms, max_ms) = (self.settings.backoff_ms, self.settings.max_backoff_ms);
        self.update_candidate(router, |candidate| {
            let doublings = candidate.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS) as i32;
            let backoff = (initial_ms * 2f64.powi(doublings)).min(max_ms).max(min_ms);
            candidate.consecutive_failures = candidate.consecutive_failures.saturating_add(1);
            candidate.state = CandidateState::BackingOff(now + backoff * jitter);
        });
    }

    /// Removes a link, whichever end closed it.
    fn remove_link(&mut self, now: Ms, router: &RouterId) {
        let Some(link) = self.links.remove(router) else { return };
        self.repairs.on_link_lost(router);
        if self.primary.as_ref() == Some(router) {
            self.primary = None;
        }
        if now - link.established_at >= self.settings.stable_ms {
            self.update_candidate(router, |candidate| candidate.consecutive_failures = 0);
        }
        let mut was_up = false;
        self.update_candidate(router, |c| was_up = matches!(c.state, CandidateState::Up(_)));
        if was_up {
            self.back_off(now, router, 0.0);
        }
    }

    /// Closes a link.
    pub(crate) fn close(&mut self, now: Ms, router: &RouterId, actions: &mut Vec<Action>) {
        if let Some(member) = self.links.get(router).map(|link| link.member.clone()) {
            self.remove_link(now, router);
            actions.push(Action::Close(member));
        }
    }

    /// The neighbor rejects the link.
    pub(crate) fn on_link_rejected(&mut self, now: Ms, router: &RouterId, actions: &mut Vec<Action>) {
        self.counters.links_rejected_by_neighbor += 1;
        self.close(now, router, actions);
        self.back_off(now, router, self.settings.link_rejected_backoff_ms);
        self.select_links(now, actions);
    }

    /// Closes links without a message for `silent_ms`.
    pub(crate) fn close_silent(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let is_silent = |link: &&Link| now - link.last_received_at > self.settings.silent_ms;
        let silent: Vec<RouterId> =
            self.links.values().filter(is_silent).map(|link| link.member.router.clone()).collect();
        for router in silent {
            self.counters.silent_links += 1;
            self.close(now, &router, actions);
        }
    }

    /// Dials the wanted candidates, closes surplus links, and chooses the primary parent.
    pub(crate) fn select_links(&mut self, now: Ms, actions: &mut Vec<Action>) {
        self.expire_candidate_states(now);
        let extra = self.extra_links(now);
        let mut surplus = Vec::new();
        for index in 0..self.groups.len() {
            let wanted = self.groups[index].wanted(extra);
            self.dial_wanted(now, index, &wanted, actions);
            self.release_surplus(now, index, &wanted, &mut surplus);
        }
        surplus.extend(self.surplus_unlisted(now));
        for router in surplus {
            self.counters.surplus_links += 1;
            self.close(now, &router, actions);
        }
        self.choose_primary(now);
    }

    /// Fails dials that timed out, and ends backoffs.
    fn expire_candidate_states(&mut self, now: Ms) {
        let mut timed_out = Vec::new();
        for candidate in self.groups.iter_mut().flat_map(|group| group.candidates.iter_mut()) {
            match candidate.state {
                CandidateState::Dialed(since) if now - since >= self.settings.dial_ms => {
                    timed_out.push(candidate.router.clone());
                }
                CandidateState::BackingOff(until) if until <= now => candidate.state = CandidateState::Idle,
                CandidateState::Idle | CandidateState::Dialed(_) => {}
                CandidateState::Up(_) | CandidateState::BackingOff(_) => {}
            }
        }
        timed_out.iter().for_each(|router| self.fail_dial(now, router));
    }

    fn dial_wanted(&mut self, now: Ms, group: usize, wanted: &[usize], actions: &mut Vec<Action>) {
        for i in wanted {
            let candidate = &mut self.groups[group].candidates[*i];
            if candidate.state == CandidateState::Idle {
                candidate.state = CandidateState::Dialed(now);
                self.counters.dials += 1;
                actions.push(Action::Dial(candidate.router.clone()));
            }
        }
    }

    /// Releases links to worse candidates once the wanted ones have been up for a while.
    fn release_surplus(&mut self, now: Ms, group: usize, wanted: &[usize], surplus: &mut Vec<RouterId>) {
        let late_ms = self.settings.late_ms;
        let group = &mut self.groups[group];
        let is_established = |candidate: &Candidate| candidate.is_up_for(late_ms, now);
        if wanted.len() < group.need || !wanted.iter().all(|i| is_established(&group.candidates[*i])) {
            return;
        }
        let first_worse = wanted.last().map_or(0, |i| i + 1);
        for candidate in group.candidates.iter_mut().skip(first_worse).filter(|c| is_established(c)) {
            if self.primary.as_ref() != Some(&candidate.router) {
                candidate.state = CandidateState::Idle;
                surplus.push(candidate.router.clone());
            }
        }
    }

    /// Number of links beyond the needed ones: one for each parent that rejects the push request, while there is no primary parent.
    fn extra_links(&self, now: Ms) -> usize {
        let rejects = |link: &&Link| link.role == Role::Parent && link.push_rejected_until > now;
        match self.primary {
            Some(_) => 0,
            None => self.links.values().filter(rejects).count().min(MAX_EXTRA_LINKS),
        }
    }

    /// Parents that were candidates of an earlier list, once the links of the present one are established.
    fn surplus_unlisted(&self, now: Ms) -> Vec<RouterId> {
        let is_candidate = |router: &RouterId| {
            self.groups.iter().flat_map(|group| &group.candidates).any(|c| c.router == *router)
        };
        let is_unlisted = |link: &&Link| link.role == Role::Parent && !is_candidate(&link.member.router);
        let unlisted: Vec<RouterId> =
            self.links.values().filter(is_unlisted).map(|link| link.member.router.clone()).collect();
        let is_established = |group: &Group| {
            let up = group.candidates.iter().filter(|c| c.is_up_for(self.settings.late_ms, now));
            up.count() >= group.need.min(group.candidates.len())
        };
        match self.groups.iter().all(is_established) {
            true => unlisted,
            false => Vec::new(),
        }
    }

    /// Chooses the parent that pushes updates: the first one that accepts. The present one is replaced only by a better one that is stable.
    pub(crate) fn choose_primary(&mut self, now: Ms) {
        let order = self.groups.iter().flat_map(|group| group.candidates.iter().map(|c| &c.router));
        let accepts = |router: &&RouterId| {
            let link = self.links.get(*router);
            link.is_some_and(|link| link.role == Role::Parent && link.push_rejected_until <= now)
        };
        let accepting: Vec<&RouterId> = order.filter(accepts).collect();
        let is_stable = |router: &RouterId| {
            let link = self.links.get(router);
            link.is_some_and(|link| now - link.established_at >= self.settings.stable_ms)
        };
        let best = match self.primary.as_ref().filter(|primary| accepting.contains(primary)) {
            Some(primary) => {
                let mut better = accepting.iter().take_while(|router| **router != primary);
                Some(better.find(|router| is_stable(router)).copied().unwrap_or(primary))
            }
            None => accepting.first().copied(),
        };
        let best = best.cloned();
        self.set_primary(now, best);
    }

    fn set_primary(&mut self, now: Ms, primary: Option<RouterId>) {
        if self.primary == primary {
            return;
        }
        self.counters.primary_changes += 1;
        self.primary_lags = 0;
        if let Some(link) = self.primary.take().and_then(|former| self.links.get_mut(&former)) {
            link.pushes = false;
            link.enqueue(Part::PushRequest { enabled: false, known: Vec::new() });
        }
        let recent = self.log.recent(now, self.settings.recent_ms, self.settings.max_recent);
        if let Some(link) = primary.as_ref().and_then(|router| self.links.get_mut(router)) {
            link.pushes = true;
            let lacks = |(stream, last): &&(_, u64)| {
                link.neighbor_last.get(stream).is_some_and(|neighbor_last| neighbor_last < last)
            };
            let dirty: Vec<_> = recent.iter().filter(lacks).map(|(stream, _)| *stream).collect();
            link.dirty.extend(dirty);
            link.enqueue(Part::PushRequest { enabled: true, known: recent });
        }
        self.primary = primary;
    }
}

impl Link {
    /// Takes over the position of the neighbor in a changed list.
    fn set_position(&mut self, position: &Position) {
        (self.level, self.is_outside) = (position.level, position.is_outside);
        match (self.role == Role::Peer, position.is_peer) {
            (false, true) => (self.role, self.pushes) = (Role::Peer, true),
            (true, false) => self.role = Role::Parent,
            (true, true) | (false, false) => {}
        }
    }
}

fn level(place: Place) -> Level {
    match place {
        Place::Control => Level::Control,
        Place::Tier { tier: 0, .. } => Level::Relay,
        Place::Tier { .. } => Level::Tier,
    }
}
