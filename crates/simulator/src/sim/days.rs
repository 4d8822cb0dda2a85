//! What happens in a run: arrivals, moments, lists and purges.

use super::*;

impl Sim<'_> {
    pub(super) fn begin(&mut self) -> Result<(), String> {
        let first = self.setup.plans.first().map(|shape| plan(shape, 1, &self.nodes));
        if let Some(spec) = &first {
            self.version = 1;
            let checked = Plan::from_spec(spec.clone()).map_err(|e| e.to_string())?;
            self.fleet.plan(0.0, &Arc::new(checked), [0.0, 0.0]);
        }
        for r in 0..self.seats.len() {
            let zone = self.seats[r].zone;
            let all: Vec<Endpoint> = (0..self.entries.len())
                .filter(|i| self.told_of(zone, *i))
                .map(|i| self.entries[i].clone())
                .filter(|e| e.state != EndpointState::Removed)
                .collect();
            self.list(r, EndpointUpdate::Complete, all);
            if let Some(spec) = &first {
                self.reshape(r, tree::Event::Offer(spec.clone()));
            }
            self.draw(r);
            self.at(TICK_MS, Ev::Tick(r));
        }
        self.figures.states.clear();
        for i in 0..self.setup.script.len() {
            let at = self.setup.script[i].at_ms;
            self.at(at, Ev::Script(i));
        }
        if self.setup.load.purges_per_s > 0.0 {
            self.at(0.0, Ev::Purges);
        }
        self.at(1_000.0, Ev::Tidy);
        Ok(())
    }

    pub(super) fn draw(&mut self, r: usize) {
        let next = self.seats[r].arrivals.next().filter(|a| a.at < self.setup.length_ms);
        if let Some(at) = next.as_ref().map(|a| a.at) {
            self.at(at, Ev::Arrive(r));
        }
        self.seats[r].next = next;
    }

    pub(super) fn play(&mut self, end: Ms) -> Result<(), String> {
        let mut told = Vec::new();
        loop {
            let own = self.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let fleet = self.fleet.next_due();
            let next = own.into_iter().chain(fleet).fold(f64::INFINITY, f64::min);
            if next > end {
                return Ok(());
            }
            self.now = self.now.max(next);
            if fleet.is_some_and(|t| t <= next) {
                self.fleet.advance(next, &mut told);
                for t in told.drain(..) {
                    match t {
                        Told::Answer(id, reply) => self.replied(id, reply),
                        Told::Effect(effect) => self.checker.see(self.now, Seen::Effect(effect)),
                        Told::Fell(node) => self.checker.see(self.now, Seen::Fell(node)),
                    }
                }
                continue;
            }
            let Some(Reverse((_, no))) = self.due.pop() else { return Ok(()) };
            if let Some(ev) = self.evs.remove(&no) {
                self.event(ev)?;
            }
        }
    }

    pub(super) fn event(&mut self, ev: Ev) -> Result<(), String> {
        match ev {
            Ev::Arrive(r) => {
                if let Some(what) = self.seats[r].next.take() {
                    let class = &self.setup.load.classes[what.class];
                    let second = (what.at / 1000.0) as usize;
                    self.figures.classes[what.class].asked += 1;
                    self.figures.classes[what.class].asked_kb.push(what.kb);
                    self.figures.seconds[second].0 += class.worth;
                    self.take(r, Client { what, tries: 0 });
                }
                self.draw(r);
            }
            Ev::Again(r, client) => self.take(r, client),
            Ev::Timer(r, token) => self.decide(r, Event::Timer(token)),
            Ev::Late(r, no, n) => {
                let out = self.seats[r].open.get(&no).and_then(|o| o.attempts.get(n)).is_some_and(|a| a.out);
                if out {
                    self.fleet.abort(self.now, ask_id(r, no, n));
                    self.ended(
                        r,
                        no,
                        n,
                        Reply {
                            end: AttemptResult::TimedOut,
                            note: FillReport::NotReported,
                            born: 0.0,
                            waited: 0.0,
                        },
                        false,
                    );
                }
            }
            Ev::Outcome(r, outcome) => self.decide(r, Event::Outcome(outcome)),
            Ev::List(r, entries) => {
                let until = self.seats[r].list_from;
                if self.now < until {
                    self.at(until, Ev::List(r, entries));
                } else {
                    self.list(r, EndpointUpdate::Delta, entries);
                }
            }
            Ev::Purge(r, object, group, at) => {
                self.checker.see(self.now, Seen::Purged(r, object, group, at));
                self.decide(
                    r,
                    Event::Purged { group: GroupId(group), object: object.map(ObjectId), age: self.now - at },
                );
            }
            Ev::Offer(r, spec) => {
                if !self.setup.staged {
                    self.seats[r].reshape = TopologyManager::new(self.setup.tree);
                }
                self.reshape(r, tree::Event::Offer(spec));
            }
            Ev::TakeBack(r) => self.reshape(r, tree::Event::RollBack),
            Ev::Tick(r) => {
                self.reshape(r, tree::Event::Tick);
                self.at(self.now + TICK_MS, Ev::Tick(r));
            }
            Ev::Script(i) => self.moment(i)?,
            Ev::Start(node) => self.started(node),
            Ev::Purges => {
                let class = self.rng.random_range(0..self.setup.load.classes.len());
                let of = &self.setup.load.classes[class];
                let rank = self.rng.random_range(0..of.objects.clamp(1, 200));
                self.purge(Some(crate::arrivals::object(class, rank)), 0);
                let gap: f64 = self.rng.random();
                let next = self.now - (1.0 - gap).ln() * 1000.0 / self.setup.load.purges_per_s;
                if next < self.setup.length_ms {
                    self.at(next, Ev::Purges);
                }
            }
            Ev::Tidy => {
                self.checker.tidy(self.now);
                self.at(self.now + 1_000.0, Ev::Tidy);
            }
        }
        Ok(())
    }

    // ---- The script ----

    pub(super) fn moment(&mut self, i: usize) -> Result<(), String> {
        let m = self.setup.script[i].clone();
        let find = |name: &Option<String>, fleet: &Fleet| {
            let name = name.as_deref().ok_or_else(|| format!("script[{i}]: expected a node"))?;
            fleet.named(name).ok_or_else(|| format!("script[{i}]: unknown node {name}"))
        };
        let (now, until) = (self.now, self.now + m.for_ms);
        match m.what {
            What::MassPurge => {
                let groups = (m.factor * self.setup.load.groups as f64).round() as u64;
                (0..groups).for_each(|g| self.purge(None, g));
            }
            What::StaleList => self.seats.iter_mut().for_each(|s| s.list_from = until),
            What::Plan => {
                let name = m.plan.as_deref().unwrap_or_default();
                let found = self.setup.plans.iter().position(|p| p.name == name);
                let at = found.ok_or_else(|| format!("script[{i}]: unknown plan {name:?}"))?;
                (self.before, self.current) = (self.current, at);
                self.version += 1;
                let spec = plan(&self.setup.plans[at], self.version, &self.nodes);
                self.tell_caches(&spec)?;
                for r in 0..self.seats.len() {
                    let after = self.between(self.setup.fleet.news.plan_ms);
                    self.at(now + after, Ev::Offer(r, spec.clone()));
                }
            }
            What::TakeBack => {
                std::mem::swap(&mut self.before, &mut self.current);
                self.version += 1;
                let spec = plan(&self.setup.plans[self.current], self.version, &self.nodes);
                self.tell_caches(&spec)?;
                for r in 0..self.seats.len() {
                    let after = self.between(self.setup.fleet.news.plan_ms);
                    let ev = if self.setup.staged { Ev::TakeBack(r) } else { Ev::Offer(r, spec.clone()) };
                    self.at(now + after, ev);
                }
            }
            What::Crash | What::Vanish => {
                let node = find(&m.node, &self.fleet)?;
                let trouble = if m.what == What::Crash { Trouble::Crash } else { Trouble::Vanish };
                self.fleet.trouble(now, node, trouble);
                match m.for_ms > 0.0 {
                    true => self.at(until, Ev::Start(node)),
                    false => self.listed(node, EndpointState::Removed, None),
                }
            }
            What::Start => {
                let node = find(&m.node, &self.fleet)?;
                self.started(node);
            }
            What::Drain => {
                let node = find(&m.node, &self.fleet)?;
                self.listed(node, EndpointState::Draining, None);
            }
            What::Stop => {
                let node = find(&m.node, &self.fleet)?;
                self.listed(node, EndpointState::Removed, None);
                self.fleet.trouble(now, node, Trouble::Crash);
            }
            What::Hang => self.fleet.trouble(now, find(&m.node, &self.fleet)?, Trouble::Hang(until)),
            What::Slow => {
                self.fleet.trouble(now, find(&m.node, &self.fleet)?, Trouble::Slow(m.factor, until))
            }
            What::RefuseFills => {
                self.fleet.trouble(now, find(&m.node, &self.fleet)?, Trouble::RefuseFills(until))
            }
            What::LoseAnswers => {
                self.fleet.trouble(now, find(&m.node, &self.fleet)?, Trouble::LoseAnswers(m.factor, until));
            }
            What::WrongSource => {
                let (node, to) = (find(&m.node, &self.fleet)?, find(&m.to, &self.fleet)?);
                self.fleet.trouble(now, node, Trouble::WrongSource(to, until));
            }
        }
        Ok(())
    }

    pub(super) fn tell_caches(&mut self, spec: &PlanSpec) -> Result<(), String> {
        let checked = Arc::new(Plan::from_spec(spec.clone()).map_err(|e| e.to_string())?);
        self.fleet.plan(self.now, &checked, self.setup.fleet.news.plan_ms);
        Ok(())
    }

    pub(super) fn started(&mut self, node: NodeIx) {
        self.fleet.start(self.now, node);
        self.listed(node, EndpointState::Up, Some(self.now));
    }

    /// The list changes; routers hear of it each at their own moment.
    pub(super) fn listed(&mut self, node: NodeIx, listed: EndpointState, started: Option<Ms>) {
        let entry = entry(&self.nodes[node.0], listed, started);
        self.entries[node.0] = entry.clone();
        for r in 0..self.seats.len() {
            if self.told_of(self.seats[r].zone, node.0) {
                let after = self.between(self.setup.fleet.news.list_ms);
                self.at(self.now + after, Ev::List(r, vec![entry.clone()]));
            }
        }
    }

    pub(super) fn purge(&mut self, object: Option<u64>, group: u64) {
        self.fleet.purge(self.now, object, group);
        for r in 0..self.seats.len() {
            let after = self.between(self.setup.fleet.news.purge_ms);
            self.at(self.now + after, Ev::Purge(r, object, group, self.now));
        }
    }

    // ---- Routers ----
}
