//! Requests in a run, from a client to its answer.

use super::*;

impl Sim<'_> {
    pub(super) fn list(&mut self, r: usize, mode: EndpointUpdate, entries: Vec<Endpoint>) {
        for e in &entries {
            let node = self.by_id[&e.id];
            self.checker.see(self.now, Seen::Drained(r, node, e.state != EndpointState::Up));
            let id = self.nodes[node.0].id.clone();
            self.reshape(
                r,
                tree::Event::NodeListed { node: id, up: e.state == EndpointState::Up, started: e.started },
            );
        }
        self.decide(r, Event::Endpoints { update: mode, entries });
    }

    pub(super) fn reshape(&mut self, r: usize, event: tree::Event) {
        let mut acts = Vec::new();
        self.seats[r].reshape.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                tree::Action::UseSources(of) => self.decide(r, Event::FillPlan(Some(Arc::new(table(&of))))),
                tree::Action::StateEntered { version, state, .. } => {
                    self.figures.states.push((r, self.now, version.0, state));
                }
                tree::Action::Rejected(why) => self.figures.refusals.push(why.to_string()),
                tree::Action::PairDisabled { .. } => {}
            }
        }
    }

    pub(super) fn take(&mut self, r: usize, client: Client) {
        self.requests_ever += 1;
        let no = self.requests_ever;
        let class = &self.setup.load.classes[client.what.class];
        let what = &client.what;
        let due = what.at + class.deadline_ms;
        let unsafe_ = class.effect == EffectSpec::Unsafe;
        self.checker.see(self.now, Seen::Taken((r, no), unsafe_, what.object, what.group, due));
        let request = Request {
            id: RequestId(Arc::from(no.to_string())),
            class: Some(ClassId(what.class)),
            object: ObjectId(what.object),
            part: Part(what.part),
            group: GroupId(what.group),
            size_kb: what.kb,
            write: unsafe_,
            budget: due - self.now,
        };
        self.seats[r].open.insert(no, Open { client, due, answered: false, attempts: Vec::new() });
        self.decide(r, Event::Request(request));
    }

    pub(super) fn decide(&mut self, r: usize, event: Event) {
        let mut acts = Vec::new();
        self.figures.decisions += 1;
        self.seats[r].decider.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                Action::StartAttempt(fetch) => self.fetch(r, fetch),
                Action::CancelAttempt { request, attempt: n } => {
                    let Some(no) = number(&request) else { continue };
                    let out =
                        self.seats[r].open.get(&no).and_then(|o| o.attempts.get(n.0)).is_some_and(|a| a.out);
                    if out {
                        self.fleet.abort(self.now, ask_id(r, no, n.0));
                        let called_off = Reply {
                            end: AttemptResult::Cancelled,
                            note: FillReport::NotReported,
                            born: 0.0,
                            waited: 0.0,
                        };
                        self.ended(r, no, n.0, called_off, true);
                    }
                }
                Action::Reject { request, retry_after: stay } => {
                    self.answer(r, &request, Final::Refused, stay)
                }
                Action::Fail(request) => self.answer(r, &request, Final::Failed, 0.0),
                Action::Timer { delay: after, token } => self.at(self.now + after, Ev::Timer(r, token)),
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    pub(super) fn fetch(&mut self, r: usize, fetch: AttemptSpec) {
        let Some(no) = number(&fetch.request) else { return };
        let (node, source) =
            (self.by_id.get(&fetch.server).copied(), self.by_id.get(&fetch.fill_source).copied());
        let Some(open) = self.seats[r].open.get_mut(&no) else { return };
        let n = open.attempts.len();
        let Some(node) = node else { return };
        let source = source.filter(|s| *s != node);
        let what = &open.client.what;
        let class = &self.setup.load.classes[what.class];
        let until = if fetch.timeout > 0.0 { (self.now + fetch.timeout).min(open.due) } else { open.due };
        let fresh = Some(class.fresh_ms).filter(|f| *f > 0.0);
        let grace = if fetch.max_age.is_none() && fetch.revalidate { class.grace_ms } else { 0.0 };
        let ask = Ask {
            id: ask_id(r, no, n),
            key: FillKey { object: what.object, part: what.part },
            group: what.group,
            kb: what.kb,
            from: source,
            rank: fetch.rank,
            max_age: fetch.max_age.or(fresh),
            grace,
            join: fetch.join_fill,
            held_only: fetch.cached_only,
            effect: (class.effect == EffectSpec::Unsafe).then_some(no),
            wait: until - self.now,
        };
        open.attempts.push(Attempt { node, source, sent: self.now, out: true });
        self.figures.attempts += 1;
        self.checker.see(self.now, Seen::Sent((r, no), n, node, source));
        let zone = self.seats[r].zone;
        self.fleet.ask(self.now, zone, node, ask);
        self.at(until, Ev::Late(r, no, n));
    }

    pub(super) fn replied(&mut self, id: AskId, reply: Reply) {
        let (no, n) = (id.number >> 4, (id.number & 15) as usize);
        self.ended(id.router, no, n, reply, false);
    }

    /// An attempt is over: the client gets what was served, and the module is told.
    pub(super) fn ended(&mut self, r: usize, no: u64, n: usize, reply: Reply, later: bool) {
        let Some(open) = self.seats[r].open.get_mut(&no) else { return };
        let Some(attempt) = open.attempts.get_mut(n).filter(|a| a.out) else { return };
        attempt.out = false;
        let (node, source, sent) = (attempt.node, attempt.source, attempt.sent);
        let object = open.client.what.object;
        let unsafe_ = self.setup.load.classes[open.client.what.class].effect == EffectSpec::Unsafe;
        let first = !open.answered;
        let ran = match reply.end {
            AttemptResult::Served => Ran::Served((!unsafe_).then_some(reply.born)),
            AttemptResult::Rejected
            | AttemptResult::NoConnection
            | AttemptResult::NotSent
            | AttemptResult::CacheMiss => Ran::Never,
            AttemptResult::Error
            | AttemptResult::TimedOut
            | AttemptResult::ConnectionLost
            | AttemptResult::Cancelled => Ran::Maybe,
        };
        self.checker.see(self.now, Seen::Ended((r, no), n, ran));
        if reply.end == AttemptResult::Served && first {
            self.served(r, no);
        }
        if let Some(source) = source {
            let result = match (reply.end, reply.note) {
                (AttemptResult::Served, FillReport::FilledBySource | FillReport::FilledByOrigin) => {
                    Some(tree::SourceResult::Filled)
                }
                (_, FillReport::SourceRejected) => Some(tree::SourceResult::Rejected),
                (_, FillReport::SourceFailed) => Some(tree::SourceResult::Failed),
                (_, FillReport::LoopDetected) => Some(tree::SourceResult::LoopDetected),
                // Whose fault it is is not known; a newcomer gets no more while answers are late.
                (AttemptResult::TimedOut, _) => Some(tree::SourceResult::Failed),
                _ => None,
            };
            let id = |ix: NodeIx| self.nodes[ix.0].id.clone();
            if let Some(result) = result.filter(|_| source != ARCHIVE) {
                self.reshape(
                    r,
                    tree::Event::AttemptEnded { requester: id(node), source: id(source), object, result },
                );
            }
        }
        let outcome = Outcome {
            request: RequestId(Arc::from(no.to_string())),
            attempt: AttemptNo(n),
            server: self.entries[node.0].id.clone(),
            result: reply.end,
            latency: self.now - sent,
            completes_request: !first || reply.end == AttemptResult::Served,
            fill_report: reply.note,
            source_wait: reply.waited,
            load: LoadReport::default(),
            body_complete: true,
        };
        if later {
            self.at(self.now, Ev::Outcome(r, outcome));
        } else {
            self.decide(r, Event::Outcome(outcome));
        }
        self.forget(r, no);
    }

    pub(super) fn forget(&mut self, r: usize, no: u64) {
        let over = |o: &Open| o.answered && o.attempts.iter().all(|a| !a.out);
        if self.seats[r].open.get(&no).is_some_and(over) {
            self.seats[r].open.swap_remove(&no);
        }
    }

    pub(super) fn served(&mut self, r: usize, no: u64) {
        let Some(open) = self.seats[r].open.get_mut(&no) else { return };
        open.answered = true;
        let what = &open.client.what;
        let class = &self.setup.load.classes[what.class];
        let took = self.now - what.at;
        let aim = class.aim_ms + AIM_STRETCH * what.kb / self.setup.fleet.net.pace_kb_per_ms;
        let figures = &mut self.figures.classes[what.class];
        figures.answered_kb.push(what.kb);
        if took <= aim {
            figures.in_time += 1;
            self.figures.seconds[(what.at / 1000.0) as usize].1 += class.worth;
        } else {
            figures.late += 1;
        }
        self.figures.served += 1;
        self.waits.saturating_record(micros(took).max(1));
        self.checker.see(self.now, Seen::Answered((r, no), Final::Served));
    }

    pub(super) fn answer(&mut self, r: usize, request: &RequestId, how: Final, stay: Ms) {
        let Some(no) = number(request) else { return };
        self.checker.see(self.now, Seen::Answered((r, no), how));
        let Some(open) = self.seats[r].open.get_mut(&no).filter(|o| !o.answered) else { return };
        open.answered = true;
        match how {
            Final::Refused => self.figures.refused += 1,
            Final::Served | Final::Failed => self.figures.failed += 1,
        }
        let mut client = open.client.clone();
        let class = &self.setup.load.classes[client.what.class];
        let again = self.now + self.setup.load.backoff_ms.max(stay);
        let may = class.effect == EffectSpec::Safe || how == Final::Refused;
        if may && client.tries < self.setup.load.retries && again < client.what.at + class.deadline_ms {
            client.tries += 1;
            self.at(again, Ev::Again(r, client));
        }
        self.forget(r, no);
    }
}
