//! What comes due, and what clients ask and get.

use super::*;

impl<'a> World<'a> {
    pub(super) fn advance(&mut self, told: &mut Vec<FleetEvent>) {
        let now = self.now();
        self.fleet.advance(now, told);
        for t in told.drain(..) {
            match t {
                FleetEvent::Response { request, response } => self.replied(now, request, response),
                FleetEvent::WriteExecuted { write: effect } => {
                    self.checker.observe(now, Observation::WriteExecuted { write: effect })
                }
                FleetEvent::ColdNodeOverloaded { node } => {
                    self.down(node);
                    self.checker.observe(now, Observation::ColdNodeOverloaded { node });
                }
            }
        }
    }

    pub(super) async fn events(&mut self) -> Result<(), String> {
        let now = self.now();
        while let Some(Reverse((_, no))) =
            self.due.peek().copied().filter(|Reverse((at, _))| *at <= (now * 1000.0) as u64)
        {
            let Some(Reverse((at, _))) = self.due.pop() else { break };
            if let Some(soak) = &mut self.soak {
                soak.harness_late(now, now - at as f64 / 1000.0);
            }
            let Some(ev) = self.evs.remove(&no) else { continue };
            match ev {
                Ev::Arrive(r) => {
                    if let Some(what) = self.seats[r].next.take() {
                        let worth = self.setup.load.classes[what.class].worth;
                        self.metrics.requests += 1;
                        self.metrics.seconds[(what.at / 1000.0) as usize].requested_weight += worth;
                        self.lags.saturating_record(((now - what.at).max(0.0) * 1000.0) as u64 + 1);
                        self.take(now, r, Member { what, tries: 0 }).await;
                    }
                    self.draw(r);
                }
                Ev::Again(r, member) => self.take(now, r, member).await,
                Ev::Due(no) => self.time_up(now, no),
                Ev::Left(no) => {
                    if let Some(r) = self.requests.remove(&no) {
                        self.checker.observe(now, Observation::ClientLeft { request: (r.router, no) });
                    }
                }
                Ev::Script(i) => self.moment(now, i)?,
                Ev::Tell(r, generation, kind, payload, seen) => {
                    // What a process was to be told is known to the next one from its start.
                    if generation != self.generation(r) {
                        seen.into_iter().for_each(|seen| self.checker.observe(now, seen));
                        continue;
                    }
                    self.seats[r].told += 1;
                    let number = self.seats[r].told;
                    self.seats[r].frames.borrow_mut().push((number, frame(number, kind, &payload)));
                    match (seen, self.deaf_until(now, r)) {
                        (Some(seen), Some(until))
                            if !matches!(seen, Observation::NodeListed { up: true, .. }) =>
                        {
                            self.at(until, Ev::Told(seen));
                        }
                        (seen, _) => seen.into_iter().for_each(|seen| self.checker.observe(now, seen)),
                    }
                }
                Ev::Told(seen) => self.checker.observe(now, seen),
                Ev::Cancel(no) => self.cancel(now, no),
                Ev::Fault(i) => self.fault(now, i).await,
                Ev::FaultOver(i) => self.fault_over(now, i),
                Ev::Seat(r) => self.look_at_seat(now, r).await,
                Ev::Hup(r, text) => self.seats[r].process.reload_settings(&text)?,
                Ev::Start(node) => self.started(now, node),
                Ev::Talk(node) => self.statuses[node.0].talks.set(true),
                Ev::Purges => {
                    let class = (self.between([0.0, self.setup.load.classes.len() as f64]) as usize)
                        .min(self.setup.load.classes.len() - 1);
                    let most = self.setup.load.classes[class].objects.clamp(1, 200);
                    let rank = self.between([0.0, most as f64]) as u64;
                    self.purge(now, Some(object_id(class, rank)), 0);
                    let gap = self.between([0.5, 1.5]) * 1000.0 / self.setup.load.purges_per_s;
                    if now + gap < self.setup.length_ms {
                        self.at(now + gap, Ev::Purges);
                    }
                }
                Ev::Tidy => {
                    self.checker.expire(now);
                    self.look_at_all(now);
                    self.at(now + 1_000.0, Ev::Tidy);
                }
            }
        }
        Ok(())
    }

    // ---- Clients ----

    pub(super) async fn take(&mut self, now: Ms, r: usize, member: Member) {
        if !self.takes(now, r) {
            return;
        }
        let free = |s: &Seat| {
            (0..s.clients.len())
                .filter(|c| s.clients[*c].open.len() < OPEN)
                .min_by_key(|c| s.clients[*c].open.len())
        };
        if free(&self.seats[r]).is_none() && self.seats[r].clients.len() < MOST_CONNS {
            self.connect(r).await;
        }
        let Some(c) = free(&self.seats[r]) else { return };
        self.requests_ever += 1;
        let no = self.requests_ever;
        let what = &member.what;
        let class = &self.setup.load.classes[what.class];
        let due = what.at + class.deadline_ms;
        if self.soak.is_some() && now >= due {
            return;
        }
        let unsafe_ = class.effect == EffectSpec::Unsafe;
        let client = &mut self.seats[r].clients[c];
        client.tag += 1;
        let (conn, tag) = (client.conn, client.tag);
        client.open.insert(tag, no);
        let mut fields = FieldEncoder::default();
        fields.add("i", hex(no));
        fields.add("d", (due - now).max(1.0) as u64);
        fields.add("o", hex(what.object));
        fields.add("nth", what.part);
        fields.add("batch", what.group);
        fields.add("m", format!("{:.2}", what.size_kb));
        let body: &[u8] = if unsafe_ { b"a loan" } else { b"" };
        let words =
            [&b"DO"[..], tag.to_string().as_bytes(), class.name.as_bytes(), fields.as_str().as_bytes(), body]
                .map(<[u8]>::to_vec);
        let words: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
        let _ = client.out.try_send(encode(&words));
        self.checker.observe(
            now,
            Observation::RequestAccepted {
                request: (r, no),
                non_idempotent: unsafe_,
                object: what.object,
                group: what.group,
                deadline: due,
            },
        );
        let request = Request { router: r, member, answered: false, attempts: 0, conn, tag, sent: now };
        self.requests.insert(no, request);
        // Under faults each answer is judged, with the slack that sockets have.
        let slack = if self.soak.is_some() { SLACK_MS } else { 0.0 };
        self.at(due + slack, Ev::Due(no));
        if self.soak.is_some() && self.between([0.0, IMPATIENT_ONE_IN]) < 1.0 {
            let after = self.between(PATIENCE_MS);
            self.at(now + after, Ev::Cancel(no));
        }
    }

    /// The client's time is up: it leaves, and nothing is owed to it.
    pub(super) fn time_up(&mut self, now: Ms, no: u64) {
        let Some(r) = self.requests.get_mut(&no) else { return };
        if !std::mem::replace(&mut r.answered, true) {
            let (router, conn, tag, sent) = (r.router, r.conn, r.tag, r.sent);
            if let Some(soak) = &mut self.soak {
                soak.unanswered(now, router, no, sent);
                soak.client_left(now, no);
            }
            if let Some(c) = self.seats[router].clients.iter_mut().find(|c| c.conn == conn) {
                c.open.remove(&tag);
                let _ = c.out.try_send(encode(&[b"UNDO", tag.to_string().as_bytes(), b""]));
            }
        }
        // What is on its way then is no fault.
        self.at(now + CROSSING_MS, Ev::Left(no));
    }

    pub(super) fn answer(&mut self, now: Ms, router: usize, conn: ConnId, words: &[Vec<u8>]) {
        let text = |i: usize| words.get(i).and_then(|w| std::str::from_utf8(w).ok()).unwrap_or_default();
        let Ok(tag) = text(0).parse::<u64>() else { return };
        let Some(c) = self.seats[router].clients.iter_mut().find(|c| c.conn == conn) else { return };
        if let Some(soak) = self.soak.as_mut().filter(|_| !c.answered.insert(tag)) {
            let what = format!("router {router}, tag {tag}: answered again");
            soak.violated(now, Invariant::SecondAnswer, what);
        }
        let Some(no) = c.open.remove(&tag) else { return };
        let Some(request) = self.requests.get_mut(&no).filter(|r| !r.answered) else { return };
        request.answered = true;
        let member = request.member.clone();
        let what = &member.what;
        let class = &self.setup.load.classes[what.class];
        let how = match text(1) {
            "200" => ClientResult::Served,
            "503" => ClientResult::Rejected,
            _ => ClientResult::Failed,
        };
        self.checker.observe(now, Observation::ClientAnswered { request: (router, no), result: how });
        let took = now - what.at;
        match how {
            ClientResult::Served => {
                self.metrics.served += 1;
                let whole = class.effect == EffectSpec::Unsafe
                    || words
                        .get(3)
                        .is_some_and(|b| *b == body(FillKey { object: what.object, part: what.part }));
                self.metrics.wrong_bodies += u64::from(!whole);
                self.waits.saturating_record((took.max(0.0) * 1000.0) as u64 + 1);
                let aim = class.aim_ms
                    + LATENCY_OBJECTIVE_STRETCH * what.size_kb / self.setup.fleet.net.pace_kb_per_ms;
                let worth = class.worth * if took <= aim { 1.0 } else { class.late_worth };
                self.metrics.weighted_answered_share += worth;
                if took <= aim {
                    self.metrics.seconds[(what.at / 1000.0) as usize].in_time_weight += class.worth;
                }
            }
            ClientResult::Rejected => self.metrics.rejected += 1,
            ClientResult::Failed => self.metrics.failed += 1,
        }
        let stay = Fields::parse(words.get(2).map_or(&[][..], Vec::as_slice))
            .and_then(|f| f.decimal("w"))
            .unwrap_or(0.0);
        let again = now + self.setup.load.backoff_ms.max(stay);
        let may = how != ClientResult::Served
            && (class.effect == EffectSpec::Safe || how == ClientResult::Rejected);
        if may && member.tries < self.setup.load.retries && again < what.at + class.deadline_ms {
            let tries = member.tries + 1;
            self.at(again, Ev::Again(router, Member { tries, ..member }));
        }
    }

    // ---- Nodes ----

    pub(super) fn input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Asked { router, node, conn, out, words } => {
                self.asked(now, (router, node, conn), out, &words)
            }
            Input::Closed(conn) => {
                let lost: Vec<NodeRequestId> =
                    self.asks.iter().filter(|(_, w)| w.conn == conn).map(|(id, _)| *id).collect();
                lost.into_iter().for_each(|id| self.gone(now, id));
            }
            Input::Answer { router, conn, words } => self.answer(now, router, conn, &words),
            Input::ClientOver { router, conn } => {
                let Some(at) = self.seats[router].clients.iter().position(|c| c.conn == conn) else { return };
                let over = self.seats[router].clients.swap_remove(at);
                let open: Vec<(u64, Ms)> =
                    over.open.values().filter_map(|no| Some((*no, self.requests.get(no)?.sent))).collect();
                if let Some(soak) = &mut self.soak {
                    soak.closed(now, router, &open);
                    open.iter().for_each(|(no, _)| soak.client_left(now, *no));
                }
                for no in over.open.into_values() {
                    log::debug!("a client's connection to router {router} ended with request {no} open");
                    self.requests.get_mut(&no).into_iter().for_each(|r| r.answered = true);
                    self.at(now + CROSSING_MS, Ev::Left(no));
                }
            }
        }
    }

    /// An attempt whose end nobody hears.
    pub(super) fn gone(&mut self, now: Ms, id: NodeRequestId) {
        self.fleet.cancel(now, id);
        if let Some(w) = self.asks.remove(&id) {
            self.by_wire.remove(&(w.conn, w.wire));
            self.checker.observe(
                now,
                Observation::AttemptEnded {
                    request: (id.router, w.request),
                    attempt: w.attempt,
                    execution: Execution::Unknown,
                },
            );
        }
    }
}
