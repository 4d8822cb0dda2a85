//! A router's side of a change: from one plan to the next by portions, each entered by what this router observed.
//!
//! While a change is under way an edge cache may name the sources of both plans. A source that only the new one permits is a newcomer
//! there, one that only the old one permits a leaver; each has a share of its objects (see
//! [`within_share`](basaltgw_structures::hash::within_share)) that grows or falls by steps.

use crate::plan::{NodeId, Plan, PlanSpec, Refusal, Version};
use crate::{steps, Ms, Settings};
use basaltgw_structures::hash::{address, within_share};
use indexmap::IndexMap;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Shares, smallest first. Doubled, since what a step shows is worth no more than twice what it tried.
const SHARES: [f64; 6] = [0.0, 1.0 / 16.0, 1.0 / 8.0, 1.0 / 4.0, 1.0 / 2.0, 1.0];
const NONE: usize = 0;
const FIRST: usize = 1;
const WHOLE: usize = SHARES.len() - 1;
/// Pairs of which loops are counted.
const MOST_PAIRS: usize = 1_024;

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It came in.
    Offered,
    /// It passed every check, and its steps are known.
    Checked,
    /// Newcomers take growing shares.
    Warming,
    /// Newcomers have all that is theirs.
    Serving,
    /// Leavers give up their shares.
    Retiring,
    /// Nothing is asked of leavers; the new plan is the one in use.
    Gone,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Offered => "offered",
            Self::Checked => "checked",
            Self::Warming => "warming",
            Self::Serving => "serving",
            Self::Retiring => "retiring",
            Self::Gone => "gone",
        })
    }
}

/// How an attempt that named a source ended, as far as the source is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It gave what was asked.
    Answered,
    /// It said no.
    Refused,
    /// It was not reached, broke off or was too slow.
    Failed,
    /// The fill met itself.
    Looped,
}

/// What a router tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A plan came in.
    Offer(PlanSpec),
    /// What is under way is to be taken back.
    TakeBack,
    /// The list tells of a node: whether it is up, and when it started, if lately.
    Listed(NodeId, bool, Option<Ms>),
    /// An attempt that named a source is over.
    Ended {
        /// The edge cache.
        asker: NodeId,
        /// The source.
        source: NodeId,
        /// For which object.
        object: u64,
        /// How it ended.
        how: How,
    },
    /// Time has passed.
    Tick,
}

/// What comes of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Sources are named by this table from now on.
    Use(Arc<Table>),
    /// A state was entered, and why.
    Entered(Version, State, String),
    /// A plan, or taking one back, was refused; nothing has changed.
    Refused(Refusal),
    /// A pair loops; the asker names this source no more until the plan changes.
    SetAside(NodeId, NodeId),
}

/// A source, and the share of its objects that it may be asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Which node.
    pub id: NodeId,
    /// Its weight beside the others.
    pub weight: f64,
    /// 0 to 1.
    pub share: f64,
}

/// What each edge cache may name as a source now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// By edge cache: its sources, but the archive. Caches with the same sources share them.
    pub of: HashMap<NodeId, Arc<Vec<Share>>>,
    /// Edge caches that may name the archive when they have nobody else.
    pub archive: Vec<NodeId>,
}

/// A newcomer or leaver.
#[derive(Clone, Debug)]
struct Moving {
    node: NodeId,
    step: usize,
    since: Ms,
    proofs: u32,
    bad: u32,
    last: Ms,
}

impl Moving {
    fn new(node: NodeId, step: usize, now: Ms) -> Self {
        Self { node, step, since: now, proofs: 0, bad: 0, last: now }
    }

    fn go(&mut self, step: usize, now: Ms) {
        (self.step, self.since, self.proofs, self.bad) = (step, now, 0, 0);
    }

    /// This step has shown enough: so many answers, or for some time nothing but answers, however few (with none at all, nothing
    /// here is touched by it).
    fn shown(&self, now: Ms, set: &Settings) -> bool {
        self.proofs >= set.proofs || (self.bad == 0 && now - self.since >= set.idle)
    }
}

#[derive(Clone, Debug)]
struct Change {
    next: Arc<Plan>,
    /// What follows it.
    then: VecDeque<Arc<Plan>>,
    /// Plans passed since the offer, the first one first: the way back.
    passed: Vec<Arc<Plan>>,
    state: State,
    come: Vec<Moving>,
    go: Vec<Moving>,
    back: bool,
}

/// A router's plan, and the change that is under way.
#[derive(Clone, Debug)]
pub struct Reshape {
    set: Settings,
    plan: Option<Arc<Plan>>,
    change: Option<Change>,
    /// The highest version that was ever offered.
    highest: Option<Version>,
    /// Nodes that the list has named: up, and when started.
    listed: HashMap<NodeId, (bool, Option<Ms>)>,
    /// Loops by asker and source.
    loops: IndexMap<(NodeId, NodeId), u32>,
}

impl Reshape {
    /// A router without a plan: everything is as without this package.
    pub fn new(set: Settings) -> Self {
        Self { set, plan: None, change: None, highest: None, listed: HashMap::new(), loops: IndexMap::new() }
    }

    /// How reshapes go from now on; a step under way is judged by it too.
    pub fn set(&mut self, set: Settings) {
        self.set = set;
    }

    /// The plan in use.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// The plan that taking back leads to: the one in use before all steps of the change under way; without one, the plan in use.
    pub fn came_from(&self) -> Option<&Arc<Plan>> {
        self.change.as_ref().and_then(|c| c.passed.first()).or(self.plan.as_ref())
    }

    /// What is under way: the version, its state, and whether it is being taken back.
    pub fn under_way(&self) -> Option<(Version, State, bool)> {
        self.change.as_ref().map(|c| (c.next.version(), c.state, c.back))
    }

    /// For people: the plan, the change, and each newcomer's and leaver's share, one in each line.
    pub fn describe(&self) -> Vec<String> {
        let mut lines = vec![match &self.plan {
            None => "no plan: every listed parent is a source".to_string(),
            Some(plan) => format!("plan {}: {} nodes in use", plan.version(), plan.nodes().len()),
        }];
        if let Some(c) = &self.change {
            let back = if c.back { ", being taken back" } else { "" };
            lines.push(format!(
                "change to {}: {}{back}, {} steps after it",
                c.next.version(),
                c.state,
                c.then.len()
            ));
            let of = |m: &Moving, what: &str| {
                let up = if self.up(&m.node) { "" } else { ", not up" };
                format!("{what} {}: share {}, {} answers in this step{up}", m.node, SHARES[m.step], m.proofs)
            };
            lines
                .extend(c.come.iter().map(|m| of(m, "newcomer")).chain(c.go.iter().map(|m| of(m, "leaver"))));
        }
        let aside = self.loops.iter().filter(|(_, n)| **n >= self.set.loops);
        lines.extend(
            aside.map(|((asker, source), n)| {
                format!("set aside: {asker} no longer names {source}, {n} loops")
            }),
        );
        lines
    }

    /// Takes an event in and appends what comes of it.
    pub fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Act>) {
        match event {
            Event::Offer(spec) => self.offer(now, spec, acts),
            Event::TakeBack => self.take_back(now, acts),
            Event::Listed(node, up, started) => self.listed(now, node, up, started, acts),
            Event::Ended { asker, source, object, how } => {
                self.ended(now, &asker, &source, object, how, acts)
            }
            Event::Tick => self.advance(now, acts),
        }
    }

    fn up(&self, node: &NodeId) -> bool {
        self.listed.get(node).is_some_and(|(up, _)| *up)
    }

    // ---- Offers ----

    fn offer(&mut self, now: Ms, spec: PlanSpec, acts: &mut Vec<Act>) {
        let offered = spec.version;
        match self.steps_to(spec) {
            Err(refusal) => acts.push(Act::Refused(refusal)),
            Ok(mut steps) => {
                self.highest = Some(offered);
                let entered = |state, why: String| Act::Entered(offered, state, why);
                acts.push(entered(State::Offered, "a later version came in".into()));
                acts.push(entered(State::Checked, format!("no fault found; {} steps", steps.len())));
                if self.plan.is_none() {
                    self.plan = steps.pop_back();
                    acts.push(entered(State::Gone, "the first plan acts whole".into()));
                    acts.push(Act::Use(self.table()));
                    return;
                }
                self.begin(now, steps, Vec::new(), acts);
            }
        }
    }

    /// The checked steps to a plan.
    fn steps_to(&self, spec: PlanSpec) -> Result<VecDeque<Arc<Plan>>, Refusal> {
        if let Some(c) = &self.change {
            return Err(Refusal::Busy(c.next.version()));
        }
        if let Some(has) = self.highest.filter(|has| *has >= spec.version) {
            return Err(Refusal::Version { offered: spec.version, has });
        }
        let plan = Plan::check(spec)?;
        match &self.plan {
            None => Ok(VecDeque::from([Arc::new(plan)])),
            Some(old) => Ok(steps(old, &plan, self.set.behind)?.into_iter().map(Arc::new).collect()),
        }
    }

    /// Begins the next step, if there is one.
    fn begin(&mut self, now: Ms, mut then: VecDeque<Arc<Plan>>, passed: Vec<Arc<Plan>>, acts: &mut Vec<Act>) {
        let (Some(old), Some(next)) = (self.plan.clone(), then.pop_front()) else { return };
        let (come, go) = (gained(&old, &next), gained(&next, &old));
        let come = come.into_iter().map(|n| {
            let step = if self.up(&n) { FIRST } else { NONE };
            Moving::new(n, step, now)
        });
        let come = come.collect();
        let go = go.into_iter().map(|n| Moving::new(n, WHOLE, now)).collect();
        self.loops.clear();
        self.change = Some(Change { next, then, passed, state: State::Checked, come, go, back: false });
        self.enter(State::Warming, "newcomers take their first share".into(), acts);
        acts.push(Act::Use(self.table()));
    }

    fn enter(&mut self, state: State, why: String, acts: &mut Vec<Act>) {
        if let Some(c) = &mut self.change {
            c.state = state;
            acts.push(Act::Entered(c.next.version(), state, why));
        }
    }

    /// Turns the change round: who came leaves again, who left comes back, from the shares that they have now.
    fn take_back(&mut self, now: Ms, acts: &mut Vec<Act>) {
        let Some((c, plan)) = self.change.take().zip(self.plan.clone()) else {
            acts.push(Act::Refused(Refusal::Nothing));
            return;
        };
        let turned = |moving: Vec<Moving>| -> Vec<Moving> {
            moving.into_iter().map(|m| Moving { last: m.last, ..Moving::new(m.node, m.step, now) }).collect()
        };
        let mut back: VecDeque<Arc<Plan>> = c.passed.into_iter().rev().collect();
        if c.back {
            // Taken back once more: forward again, as far as this step goes.
            back.clear();
        }
        let (mut come, go) = (turned(c.go), turned(c.come));
        // Who had given up everything begins again with its first share, if it is there.
        for m in come.iter_mut().filter(|m| m.step == NONE && self.up(&m.node)) {
            m.step = FIRST;
        }
        self.plan = Some(c.next);
        self.loops.clear();
        self.change = Some(Change {
            next: plan,
            then: back,
            passed: Vec::new(),
            state: State::Warming,
            come,
            go,
            back: !c.back,
        });
        self.enter(State::Warming, "taken back: leavers take their shares again".into(), acts);
        acts.push(Act::Use(self.table()));
    }

    // ---- What is observed ----

    fn listed(&mut self, now: Ms, node: NodeId, up: bool, started: Option<Ms>, acts: &mut Vec<Act>) {
        let before = self.listed.insert(node.clone(), (up, started));
        if before.is_none() && up && self.plan.as_ref().is_some_and(|p| p.node(&node).is_some()) {
            acts.push(Act::Use(self.table()));
        }
        // Nodes that no plan names and that are gone need not be known.
        let next = self.change.as_ref().map(|c| &c.next);
        if !up && self.plan.iter().chain(next).all(|p| p.node(&node).is_none()) {
            self.listed.remove(&node);
            return;
        }
        let Some(c) = &mut self.change else { return };
        let anew = before.is_some_and(|(_, was)| started > was);
        let Some(m) = c.come.iter_mut().find(|m| m.node == node) else { return };
        let step = match (up, m.step) {
            (false, NONE) => return,
            (false, _) => NONE,
            (true, NONE) => FIRST,
            (true, _) if anew => FIRST,
            (true, _) => return,
        };
        m.go(step, now);
        let why = if up {
            format!("{node} is there, and starts with its first share")
        } else {
            format!("{node} is lost")
        };
        self.enter(State::Warming, why, acts);
        acts.push(Act::Use(self.table()));
    }

    fn ended(
        &mut self,
        now: Ms,
        asker: &NodeId,
        source: &NodeId,
        object: u64,
        how: How,
        acts: &mut Vec<Act>,
    ) {
        if how == How::Looped {
            let pair = (asker.clone(), source.clone());
            if self.loops.len() >= MOST_PAIRS && !self.loops.contains_key(&pair) {
                self.loops.shift_remove_index(0);
            }
            let count = self.loops.entry(pair).or_insert(0);
            *count += 1;
            if *count == self.set.loops {
                acts.push(Act::SetAside(asker.clone(), source.clone()));
                acts.push(Act::Use(self.table()));
            }
            return;
        }
        let (Some(c), Some(plan)) = (&mut self.change, &self.plan) else { return };
        // A node may come for one cache, leave another, and be an old source of a third.
        let has = |p: &Plan| p.node(asker).is_some_and(|n| n.sources.contains(source));
        let (old, new) = (has(plan), has(&c.next));
        if let Some(m) = c.come.iter_mut().find(|m| m.node == *source).filter(|_| new && !old) {
            m.last = now;
            match how {
                How::Answered => m.proofs += 1,
                How::Refused | How::Failed | How::Looped => m.bad += 1,
            }
        }
        if let Some(m) = c.go.iter_mut().find(|m| m.node == *source).filter(|_| old && !new) {
            m.last = now;
        }
        if c.state == State::Retiring && !c.go.is_empty() {
            // What a leaver gave up and another now gave.
            let first = plan.sources(asker, object).next();
            let given_up = |m: &&mut Moving| {
                first == Some(&m.node) && !within_share(object, address(&m.node.0), SHARES[m.step])
            };
            if let Some(m) = c.go.iter_mut().find(given_up).filter(|m| m.node != *source) {
                match how {
                    How::Answered => m.proofs += 1,
                    How::Refused | How::Failed | How::Looped => m.bad += 1,
                }
            }
        }
        self.advance(now, acts);
    }

    // ---- Steps ----

    /// The largest step that a node's age allows: no larger share of its load than it can do of its work.
    fn allowed(&self, now: Ms, node: &NodeId) -> usize {
        let cold = self.set.cold;
        let started = self.listed.get(node).and_then(|(_, started)| *started);
        let age = started.map_or(f64::INFINITY, |t| now - t);
        let can =
            if age >= cold.span { 1.0 } else { cold.share + (1.0 - cold.share) * (age / cold.span).max(0.0) };
        SHARES.iter().rposition(|s| *s <= can).unwrap_or(NONE).max(FIRST)
    }

    fn advance(&mut self, now: Ms, acts: &mut Vec<Act>) {
        let Some(c) = &self.change else { return };
        let set = self.set;
        match c.state {
            State::Offered | State::Checked | State::Gone => {}
            State::Warming => {
                let allowed: Vec<usize> = c.come.iter().map(|m| self.allowed(now, &m.node)).collect();
                let Some(c) = &mut self.change else { return };
                let mut moved = false;
                for (m, most) in c.come.iter_mut().zip(allowed) {
                    moved |= grow(m, most, now, &set);
                }
                if c.come.iter().all(|m| m.step == WHOLE) {
                    self.enter(State::Serving, "every newcomer has its whole share".into(), acts);
                }
                if moved {
                    acts.push(Act::Use(self.table()));
                }
            }
            State::Serving => {
                let Some(c) = &mut self.change else { return };
                // Nothing of the first portion is tried elsewhere before it is given up.
                c.go.iter_mut().for_each(|m| m.go(m.step.saturating_sub(1), now));
                self.enter(State::Retiring, "leavers give up their shares".into(), acts);
                acts.push(Act::Use(self.table()));
            }
            State::Retiring => {
                let down: Vec<bool> = c.go.iter().map(|m| !self.up(&m.node)).collect();
                let Some(c) = &mut self.change else { return };
                let mut moved = false;
                for (m, down) in c.go.iter_mut().zip(down) {
                    moved |= shrink(m, down, now, &set);
                }
                let quiet = c.go.iter().all(|m| m.step == NONE && now - m.last >= set.quiet);
                if moved {
                    acts.push(Act::Use(self.table()));
                }
                if quiet {
                    self.finish(now, acts);
                }
            }
        }
    }

    fn finish(&mut self, now: Ms, acts: &mut Vec<Act>) {
        self.enter(State::Gone, "nothing is asked of leavers any more".into(), acts);
        let Some(c) = self.change.take() else { return };
        let old = self.plan.replace(c.next);
        let mut passed = c.passed;
        passed.extend(old);
        self.loops.clear();
        let plan = self.plan.clone();
        let named = |n: &NodeId| plan.iter().chain(&c.then).any(|p| p.node(n).is_some());
        self.listed.retain(|n, (up, _)| *up || named(n));
        acts.push(Act::Use(self.table()));
        self.begin(now, c.then, passed, acts);
        if let Some(change) = &mut self.change {
            change.back = c.back;
        }
    }

    // ---- The table ----

    fn share(&self, node: &NodeId, old: bool, new: bool) -> f64 {
        let of = |moving: &[Moving]| moving.iter().find(|m| m.node == *node).map_or(1.0, |m| SHARES[m.step]);
        match (&self.change, old, new) {
            (Some(c), false, true) => of(&c.come),
            (Some(c), true, false) => of(&c.go),
            _ => 1.0,
        }
    }

    fn table(&self) -> Arc<Table> {
        let mut table = Table::default();
        let Some(plan) = &self.plan else { return Arc::new(table) };
        let next = self.change.as_ref().map_or(plan, |c| &c.next);
        let mut same: HashMap<Vec<(NodeId, u64)>, Arc<Vec<Share>>> = HashMap::new();
        for asker in leaves(plan).chain(leaves(next)) {
            // Caches that the list does not name here are others' to ask.
            if table.of.contains_key(asker) || !self.listed.contains_key(asker) {
                continue;
            }
            let of =
                |p: &Plan| -> Vec<NodeId> { p.node(asker).map(|n| n.sources.clone()).unwrap_or_default() };
            let (old, new) = (of(plan), of(next));
            let mut shares: Vec<Share> = Vec::with_capacity(old.len() + 1);
            for id in old.iter().chain(new.iter().filter(|n| !old.contains(n))) {
                if id == plan.archive() {
                    table.archive.push(asker.clone());
                    continue;
                }
                // An asker that only one of the plans names has all that this one gives it.
                let (in_old, in_new) =
                    (old.contains(id) || old.is_empty(), new.contains(id) || new.is_empty());
                let share = self.share(id, in_old, in_new);
                let aside =
                    self.loops.get(&(asker.clone(), id.clone())).is_some_and(|n| *n >= self.set.loops);
                let weight = next.node(id).or_else(|| plan.node(id)).map_or(1.0, |n| n.weight);
                if share > 0.0 && !aside {
                    shares.push(Share { id: id.clone(), weight, share });
                }
            }
            let key = shares.iter().map(|s| (s.id.clone(), s.share.to_bits())).collect();
            let shares = same.entry(key).or_insert_with(|| Arc::new(shares));
            table.of.insert(asker.clone(), Arc::clone(shares));
        }
        Arc::new(table)
    }
}

/// Takes a newcomer's step up or down; true if its share changed.
fn grow(m: &mut Moving, most: usize, now: Ms, set: &Settings) -> bool {
    if m.step == NONE || m.step == WHOLE {
        return false;
    }
    if m.bad >= set.setbacks {
        let back = m.step > FIRST;
        m.go(m.step.saturating_sub(1).max(FIRST), now + set.rest);
        return back;
    }
    if now < m.since || m.step + 1 > most || !m.shown(now, set) {
        return false;
    }
    m.go(m.step + 1, now);
    true
}

/// Takes a leaver's step down; true if its share changed.
fn shrink(m: &mut Moving, down: bool, now: Ms, set: &Settings) -> bool {
    if m.step == NONE {
        return false;
    }
    if down {
        m.go(NONE, now);
        return true;
    }
    if m.bad >= set.setbacks {
        // The others are not ready for more; what was given up stays so.
        m.go(m.step, now + set.rest);
        return false;
    }
    if now < m.since || !m.shown(now, set) {
        return false;
    }
    m.go(m.step - 1, now);
    true
}

/// Nodes that nobody asks: edge caches.
fn leaves(plan: &Plan) -> impl Iterator<Item = &NodeId> + '_ {
    let mut asked = vec![false; plan.nodes().len()];
    plan.edges().iter().flatten().for_each(|s| asked[*s] = true);
    plan.nodes().iter().enumerate().filter(move |(i, n)| !asked[*i] && n.tier.0 > 0).map(|(_, n)| &n.id)
}

/// Sources that an edge cache has in the second plan and not in the first.
fn gained(old: &Plan, new: &Plan) -> Vec<NodeId> {
    let mut all = Vec::new();
    for asker in leaves(new) {
        let (Some(was), Some(is)) = (old.node(asker), new.node(asker)) else { continue };
        for source in is.sources.iter().filter(|s| !was.sources.contains(s) && *s != new.archive()) {
            if !all.contains(source) {
                all.push(source.clone());
            }
        }
    }
    all
}

#[cfg(test)]
mod tests;
