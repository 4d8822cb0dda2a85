//! What nodes are asked and answer, and what the script does to them.

use super::*;

impl<'a> World<'a> {
    pub(super) fn asked(
        &mut self,
        now: Ms,
        (router, node, conn): (usize, NodeIndex, ConnId),
        out: Sender<Vec<u8>>,
        words: &[Vec<u8>],
    ) {
        let text = |i: usize| words.get(i).and_then(|w| std::str::from_utf8(w).ok()).unwrap_or_default();
        let wire = text(1).to_string();
        if text(0) == "abort" {
            if let Some(id) = self.by_wire.get(&(conn, wire)).copied() {
                self.gone(now, id);
            }
            return;
        }
        let fields = words.get(2).and_then(|w| Fields::parse(w));
        let request = u64::from_str_radix(&wire, 16).ok();
        if let Some(no) = request.filter(|_| text(0) == "fetch") {
            self.fetched(now, no, fields.as_ref().and_then(|f| f.decimal("w")));
        }
        let found = request.and_then(|no| self.requests.get_mut(&no).map(|r| (no, r)));
        let (Some((no, request)), Some(fields)) = (found, fields.filter(|_| text(0) == "fetch")) else {
            let _ = out.try_send(encode(&[wire.as_bytes(), b"error", b"-", b""]));
            return;
        };
        let attempt = request.attempts;
        request.attempts += 1;
        self.metrics.attempts += 1;
        let what = &request.member.what;
        let class = &self.setup.load.classes[what.class];
        let mode: Vec<&str> = fields.get("mode").unwrap_or_default().split('+').collect();
        let oldest = fields.decimal("oldest").filter(|o| *o > 0.0);
        let fresh = Some(class.fresh_ms).filter(|f| *f > 0.0);
        let source = fields.get("from").and_then(|id| self.fleet.node_by_id(&NodeId::new(id)));
        let id = NodeRequestId { router, number: no << 4 | (attempt as u64).min(15) };
        let ask = NodeRequest {
            id,
            key: FillKey { object: what.object, part: what.part },
            group: what.group,
            size_kb: what.size_kb,
            fill_source: source,
            rank: match fields.get("rank") {
                Some("1") => Rank::Low,
                Some("2") => Rank::Middle,
                Some("3") => Rank::Top,
                _ => Rank::None,
            },
            max_age: oldest.or(fresh),
            stale_for: if oldest.is_none() && mode.contains(&"swr") { class.grace_ms } else { 0.0 },
            join_fill: mode.contains(&"share"),
            cached_only: mode.contains(&"peek"),
            write: (class.effect == EffectSpec::Unsafe).then_some(no),
            timeout: fields.decimal("w").unwrap_or(class.deadline_ms),
        };
        self.checker.observe(
            now,
            Observation::AttemptStarted { request: (router, no), attempt, node, fill_source: source },
        );
        let zone = self.seats[router].zone;
        self.by_wire.insert((conn, wire.clone()), id);
        self.asks.insert(id, Waiting { conn, out, wire, request: no, attempt });
        self.fleet.send(now, zone, node, ask);
    }

    pub(super) fn replied(&mut self, now: Ms, id: NodeRequestId, reply: NodeResponse) {
        let Some(w) = self.asks.remove(&id) else { return };
        self.by_wire.remove(&(w.conn, w.wire.clone()));
        let request = self.requests.get(&w.request);
        let key = request.map(|r| FillKey { object: r.member.what.object, part: r.member.what.part });
        let unsafe_ = request
            .is_some_and(|r| self.setup.load.classes[r.member.what.class].effect == EffectSpec::Unsafe);
        let ran = match reply.result {
            AttemptResult::Served => {
                Execution::Served { origin_time: (!unsafe_).then_some(reply.origin_time) }
            }
            AttemptResult::Rejected | AttemptResult::CacheMiss | AttemptResult::NotSent => {
                Execution::NotExecuted
            }
            AttemptResult::Error
            | AttemptResult::TimedOut
            | AttemptResult::ConnectionLost
            | AttemptResult::Cancelled
            | AttemptResult::NoConnection => Execution::Unknown,
        };
        self.checker.observe(
            now,
            Observation::AttemptEnded { request: (id.router, w.request), attempt: w.attempt, execution: ran },
        );
        let note = match reply.fill_report {
            FillReport::NotReported => None,
            FillReport::Hit => Some("hit"),
            FillReport::FilledBySource => Some("filled"),
            FillReport::FilledByOrigin => Some("via_origin"),
            FillReport::Joined => Some("joined"),
            FillReport::Stale => Some("stale"),
            FillReport::SourceRejected => Some("src_refused"),
            FillReport::SourceFailed => Some("src_broke"),
            FillReport::SourceMiss => Some("src_lacks"),
            FillReport::FillLimitReached => Some("no_slot"),
            FillReport::OriginFailed => Some("origin_failed"),
            FillReport::LoopDetected => Some("src_looped"),
        };
        let word: &[u8] = match reply.result {
            AttemptResult::Served => b"ok",
            AttemptResult::CacheMiss => b"nothing",
            AttemptResult::Rejected => b"refused",
            AttemptResult::NotSent => b"stale",
            AttemptResult::Error | AttemptResult::TimedOut | AttemptResult::Cancelled => b"error",
            // The connection ends with its node; it says nothing more.
            AttemptResult::ConnectionLost | AttemptResult::NoConnection => return,
        };
        let mut fields = FieldEncoder::default();
        if reply.result == AttemptResult::Served {
            fields.add("ver", hex(reply.origin_time.to_bits()));
            fields.add("born", (self.unix + reply.origin_time).max(0.0) as u64);
        }
        note.into_iter().for_each(|n| fields.add("note", n));
        fields.add("waited", format!("{:.2}", reply.source_wait.max(0.0)));
        let bytes = match key.filter(|_| reply.result == AttemptResult::Served && !unsafe_) {
            Some(key) => body(key),
            None => Vec::new(),
        };
        let message = encode(&[w.wire.as_bytes(), word, fields.as_str().as_bytes(), &bytes]);
        self.send_answer(now, &w.out, message);
    }

    // ---- The script ----

    pub(super) fn down(&mut self, node: NodeIndex) {
        let status = &self.statuses[node.0];
        status.up.set(false);
        status.life.set(status.life.get() + 1);
    }

    pub(super) fn started(&mut self, now: Ms, node: NodeIndex) {
        self.fleet.start(now, node);
        let status = &self.statuses[node.0];
        status.life.set(status.life.get() + 1);
        status.up.set(true);
        status.talks.set(true);
        self.listed(now, node, EndpointState::Up, Some(now));
    }

    pub(super) fn listed(&mut self, now: Ms, node: NodeIndex, listed: EndpointState, started: Option<Ms>) {
        let started = started.map_or(0, |t| (self.unix + t) as u64);
        if let Some(soak) = &mut self.soak {
            soak.listing[node.0] = (listed, started);
        }
        for r in 0..self.seats.len() {
            let info = &self.nodes[node.0];
            if info.zone != 0 && info.zone != self.seats[r].zone {
                continue;
            }
            let payload = record(info, self.seats[r].addresses[node.0], listed, started);
            let seen = Observation::NodeListed { router: r, node, up: listed == EndpointState::Up };
            let after = self.between(self.setup.fleet.news.list_ms);
            let generation = self.generation(r);
            self.at(now + after, Ev::Tell(r, generation, 2, payload, Some(seen)));
        }
    }

    pub(super) fn purge(&mut self, now: Ms, object: Option<u64>, group: u64) {
        self.fleet.purge(now, object, group);
        let time = (self.unix + now) as u64;
        self.soak.iter_mut().for_each(|soak| soak.purges.push((object, group, time)));
        let time = time.to_be_bytes();
        let (kind, payload) = match object {
            Some(object) => (3, [&object.to_be_bytes()[..], &time].concat()),
            None => (4, [&(group as u16).to_be_bytes()[..], &time].concat()),
        };
        for r in 0..self.seats.len() {
            let seen = Observation::PurgeReceived { router: r, object, group, purged_at: now };
            let after = self.between(self.setup.fleet.news.purge_ms);
            let generation = self.generation(r);
            self.at(now + after, Ev::Tell(r, generation, kind, payload.clone(), Some(seen)));
        }
    }

    /// A plan comes out: caches and routers hear of it each at their own moment.
    pub(super) fn plan_out(&mut self, now: Ms, spec: &PlanSpec, text: &str) -> Result<(), String> {
        let checked = Plan::from_spec(spec.clone()).map_err(|e| e.to_string())?;
        self.fleet.distribute_plan(now, &Arc::new(checked), self.setup.fleet.news.plan_ms);
        for r in 0..self.seats.len() {
            let after = self.between(self.setup.fleet.news.plan_ms);
            self.at(now + after, Ev::Hup(r, text.to_string()));
        }
        Ok(())
    }

    pub(super) fn moment(&mut self, now: Ms, i: usize) -> Result<(), String> {
        let m = self.setup.script[i].clone();
        let until = now + m.for_ms;
        let find = |name: &Option<String>| {
            let name = name.as_deref().ok_or_else(|| format!("script[{i}]: expected a node"))?;
            self.fleet.node_by_name(name).ok_or_else(|| format!("script[{i}]: unknown node {name}"))
        };
        match m.what {
            ScriptAction::MassPurge => {
                let groups = (m.factor * self.setup.load.groups as f64).round() as u64;
                (0..groups).for_each(|g| self.purge(now, None, g));
            }
            ScriptAction::StaleList => {
                return Err(format!("script[{i}]: stale_list is not played on sockets"))
            }
            ScriptAction::Plan => {
                let name = m.plan.as_deref().unwrap_or_default();
                let found = self.setup.plans.iter().position(|p| p.name == name);
                let shape = found.ok_or_else(|| format!("script[{i}]: unknown plan {name:?}"))?;
                self.version += 1;
                let spec = plan_spec(&self.setup.plans[shape], self.version, &self.nodes);
                let text = plan_file(&spec, &self.setup.tree);
                (self.shapes, self.texts) = ([shape, self.shapes[0]], [text.clone(), self.texts[0].clone()]);
                self.plan_out(now, &spec, &text)?;
            }
            ScriptAction::TakeBack => {
                // Routers get the old file again; caches the old tree under a new number.
                self.shapes.swap(0, 1);
                self.texts.swap(0, 1);
                self.version += 1;
                let spec = plan_spec(&self.setup.plans[self.shapes[0]], self.version, &self.nodes);
                let text = self.texts[0].clone();
                self.plan_out(now, &spec, &text)?;
            }
            ScriptAction::Crash => {
                let node = find(&m.node)?;
                self.fleet.inject_fault(now, node, NodeFault::Crash);
                self.down(node);
                match m.for_ms > 0.0 {
                    true => self.at(until, Ev::Start(node)),
                    false => self.listed(now, node, EndpointState::Removed, None),
                }
            }
            ScriptAction::Vanish => {
                let node = find(&m.node)?;
                self.fleet.inject_fault(now, node, NodeFault::Vanish);
                self.statuses[node.0].talks.set(false);
                self.at(until, Ev::Start(node));
            }
            ScriptAction::Hang => {
                let node = find(&m.node)?;
                self.fleet.inject_fault(now, node, NodeFault::Hang { until });
                self.statuses[node.0].talks.set(false);
                self.at(until, Ev::Talk(node));
            }
            ScriptAction::Start => self.started(now, find(&m.node)?),
            ScriptAction::Drain => {
                let node = find(&m.node)?;
                self.listed(now, node, EndpointState::Draining, None);
            }
            ScriptAction::Stop => {
                let node = find(&m.node)?;
                self.listed(now, node, EndpointState::Removed, None);
                self.fleet.inject_fault(now, node, NodeFault::Crash);
                self.down(node);
            }
            ScriptAction::Slow => {
                self.fleet.inject_fault(now, find(&m.node)?, NodeFault::Slow { factor: m.factor, until })
            }
            ScriptAction::RefuseFills => {
                self.fleet.inject_fault(now, find(&m.node)?, NodeFault::RefuseFills { until })
            }
            ScriptAction::LoseAnswers => self.fleet.inject_fault(
                now,
                find(&m.node)?,
                NodeFault::LoseAnswers { share: m.factor, until },
            ),
            ScriptAction::WrongSource => {
                let (node, to) = (find(&m.node)?, find(&m.to)?);
                self.fleet.inject_fault(now, node, NodeFault::WrongSource { source: to, until });
            }
        }
        Ok(())
    }
}
