//! Clients' requests in a run, from the arrival to the final answer, and the events and actions of the routers.

use super::*;

impl Sim<'_> {
    /// Delivers an endpoint list or a change of it to a router.
    pub(super) fn update_endpoints(&mut self, r: usize, update: EndpointUpdate, entries: Vec<Endpoint>) {
        for e in &entries {
            let node = self.node_indices[&e.id];
            self.checker.observe(
                self.now,
                Observation::NodeListed { router: r, node, up: e.state == EndpointState::Up },
            );
            let id = self.nodes[node.0].id.clone();
            self.topology_event(
                r,
                topology::Event::NodeListed {
                    node: id,
                    up: e.state == EndpointState::Up,
                    started: e.started,
                },
            );
        }
        self.handle_event(r, Event::Endpoints { update, entries });
    }

    /// Delivers an event to a router's topology manager and carries out its actions.
    pub(super) fn topology_event(&mut self, r: usize, event: topology::Event) {
        let mut actions = Vec::new();
        self.routers[r].topology.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                topology::Action::UseSources(sources) => {
                    self.handle_event(r, Event::FillPlan(Some(Arc::new(fill_plan(&sources)))))
                }
                topology::Action::StateEntered { version, state, .. } => {
                    let entry = ChangeStateEntry { router: r, at: self.now, version: version.0, state };
                    self.metrics.change_states.push(entry);
                }
                topology::Action::Rejected(reason) => self.metrics.rejected_plans.push(reason.to_string()),
                topology::Action::PairDisabled { .. } => {}
            }
        }
    }

    /// Accepts a client's request at a router.
    pub(super) fn accept(&mut self, r: usize, client: Client) {
        self.last_request_number += 1;
        let number = self.last_request_number;
        let class = &self.setup.load.classes[client.arrival.class];
        let arrival = &client.arrival;
        let deadline = arrival.at + class.deadline_ms;
        let non_idempotent = class.effect == EffectSpec::Unsafe;
        self.checker.observe(
            self.now,
            Observation::RequestAccepted {
                request: (r, number),
                non_idempotent,
                object: arrival.object,
                group: arrival.group,
                deadline,
            },
        );
        let request = Request {
            id: RequestId(Arc::from(number.to_string())),
            class: Some(ClassId(arrival.class)),
            object: ObjectId(arrival.object),
            part: Part(arrival.part),
            group: GroupId(arrival.group),
            size_kb: arrival.size_kb,
            write: non_idempotent,
            budget: deadline - self.now,
        };
        self.routers[r]
            .open_requests
            .insert(number, OpenRequest { client, deadline, answered: false, attempts: Vec::new() });
        self.handle_event(r, Event::Request(request));
    }

    /// Delivers an event to a router's decision module and carries out its actions.
    pub(super) fn handle_event(&mut self, r: usize, event: Event) {
        let mut actions = Vec::new();
        self.metrics.decisions += 1;
        self.routers[r].decision_module.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt(spec) => self.start_attempt(r, spec),
                Action::CancelAttempt { request, attempt: n } => {
                    let Some(number) = request_number(&request) else { continue };
                    if self.is_running(r, number, n.0) {
                        self.fleet.cancel(self.now, node_request_id(r, number, n.0));
                        let cancelled =
                            NodeResponse::without_copy(AttemptResult::Cancelled, FillReport::NotReported);
                        self.attempt_ended(r, number, n.0, cancelled, true);
                    }
                }
                Action::Reject { request, retry_after } => {
                    self.answer_client(r, &request, ClientResult::Rejected, retry_after)
                }
                Action::Fail(request) => self.answer_client(r, &request, ClientResult::Failed, 0.0),
                Action::Timer { delay, token } => {
                    self.schedule(self.now + delay, SimEvent::Timer { router: r, token })
                }
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    /// True if the attempt was started and has not ended.
    pub(super) fn is_running(&self, r: usize, number: u64, attempt: usize) -> bool {
        let open = self.routers[r].open_requests.get(&number);
        open.and_then(|o| o.attempts.get(attempt)).is_some_and(|a| a.running)
    }

    /// Sends an attempt to its node.
    pub(super) fn start_attempt(&mut self, r: usize, spec: AttemptSpec) {
        let Some(number) = request_number(&spec.request) else { return };
        let (node, fill_source) =
            (self.node_indices.get(&spec.server).copied(), self.node_indices.get(&spec.fill_source).copied());
        let Some(open) = self.routers[r].open_requests.get_mut(&number) else { return };
        let n = open.attempts.len();
        let Some(node) = node else { return };
        let fill_source = fill_source.filter(|s| *s != node);
        let arrival = &open.client.arrival;
        let class = &self.setup.load.classes[arrival.class];
        let until =
            if spec.timeout > 0.0 { (self.now + spec.timeout).min(open.deadline) } else { open.deadline };
        let fresh_for = Some(class.fresh_ms).filter(|f| *f > 0.0);
        let stale_for = if spec.max_age.is_none() && spec.revalidate { class.grace_ms } else { 0.0 };
        let request = NodeRequest {
            id: node_request_id(r, number, n),
            key: FillKey { object: arrival.object, part: arrival.part },
            group: arrival.group,
            size_kb: arrival.size_kb,
            fill_source,
            rank: spec.rank,
            max_age: spec.max_age.or(fresh_for),
            stale_for,
            join_fill: spec.join_fill,
            cached_only: spec.cached_only,
            write: (class.effect == EffectSpec::Unsafe).then_some(number),
            timeout: until - self.now,
        };
        open.attempts.push(Attempt { node, fill_source, started_at: self.now, running: true });
        self.metrics.attempts += 1;
        self.checker.observe(
            self.now,
            Observation::AttemptStarted { request: (r, number), attempt: n, node, fill_source },
        );
        let zone = self.routers[r].zone;
        self.fleet.send(self.now, zone, node, request);
        self.schedule(until, SimEvent::AttemptTimeout { router: r, number, attempt: n });
    }

    /// Handles a node's response to an attempt.
    pub(super) fn response_arrived(&mut self, id: NodeRequestId, response: NodeResponse) {
        let (number, n) = request_and_attempt(id);
        self.attempt_ended(id.router, number, n, response, false);
    }

    /// Ends an attempt: a served copy goes to the client, and the decision module receives the outcome. The outcome is scheduled as an
    /// event if `deferred`, for an attempt that the module itself cancels.
    pub(super) fn attempt_ended(
        &mut self,
        r: usize,
        number: u64,
        n: usize,
        response: NodeResponse,
        deferred: bool,
    ) {
        let Some(open) = self.routers[r].open_requests.get_mut(&number) else { return };
        let Some(attempt) = open.attempts.get_mut(n).filter(|a| a.running) else { return };
        attempt.running = false;
        let (node, fill_source, started_at) = (attempt.node, attempt.fill_source, attempt.started_at);
        let object = open.client.arrival.object;
        let non_idempotent = self.setup.load.classes[open.client.arrival.class].effect == EffectSpec::Unsafe;
        let first_answer = !open.answered;
        let execution = match response.result {
            AttemptResult::Served => {
                Execution::Served { origin_time: (!non_idempotent).then_some(response.origin_time) }
            }
            AttemptResult::Rejected
            | AttemptResult::NoConnection
            | AttemptResult::NotSent
            | AttemptResult::CacheMiss => Execution::NotExecuted,
            AttemptResult::Error
            | AttemptResult::TimedOut
            | AttemptResult::ConnectionLost
            | AttemptResult::Cancelled => Execution::Unknown,
        };
        self.checker
            .observe(self.now, Observation::AttemptEnded { request: (r, number), attempt: n, execution });
        if response.result == AttemptResult::Served && first_answer {
            self.record_served(r, number);
        }
        if let Some(source) = fill_source {
            self.report_source_result(r, (node, source), object, &response);
        }
        let outcome = Outcome {
            request: RequestId(Arc::from(number.to_string())),
            attempt: AttemptNo(n),
            server: self.endpoints[node.0].id.clone(),
            result: response.result,
            latency: self.now - started_at,
            completes_request: !first_answer || response.result == AttemptResult::Served,
            fill_report: response.fill_report,
            source_wait: response.source_wait,
            load: LoadReport::default(),
            body_complete: true,
        };
        if deferred {
            self.schedule(self.now, SimEvent::Outcome { router: r, outcome });
        } else {
            self.handle_event(r, Event::Outcome(outcome));
        }
        self.drop_if_finished(r, number);
    }

    /// Reports to the router's topology manager how an attempt's fill source behaved.
    fn report_source_result(
        &mut self,
        r: usize,
        (node, source): (NodeIndex, NodeIndex),
        object: u64,
        response: &NodeResponse,
    ) {
        let result = match (response.result, response.fill_report) {
            (AttemptResult::Served, FillReport::FilledBySource | FillReport::FilledByOrigin) => {
                Some(topology::SourceResult::Filled)
            }
            (_, FillReport::SourceRejected) => Some(topology::SourceResult::Rejected),
            (_, FillReport::SourceFailed) => Some(topology::SourceResult::Failed),
            (_, FillReport::LoopDetected) => Some(topology::SourceResult::LoopDetected),
            // The timeout may be due to the node or its source. It counts against the source, so that a new source gets no more load
            // while responses are late.
            (AttemptResult::TimedOut, _) => Some(topology::SourceResult::Failed),
            _ => None,
        };
        let id = |node: NodeIndex| self.nodes[node.0].id.clone();
        if let Some(result) = result.filter(|_| source != ORIGIN) {
            let (requester, source) = (id(node), id(source));
            self.topology_event(r, topology::Event::AttemptEnded { requester, source, object, result });
        }
    }

    /// Drops an answered request once all its attempts have ended.
    pub(super) fn drop_if_finished(&mut self, r: usize, number: u64) {
        let finished = |o: &OpenRequest| o.answered && o.attempts.iter().all(|a| !a.running);
        if self.routers[r].open_requests.get(&number).is_some_and(finished) {
            self.routers[r].open_requests.swap_remove(&number);
        }
    }

    /// Records that a client was served.
    pub(super) fn record_served(&mut self, r: usize, number: u64) {
        let Some(open) = self.routers[r].open_requests.get_mut(&number) else { return };
        open.answered = true;
        let arrival = &open.client.arrival;
        let class = &self.setup.load.classes[arrival.class];
        let latency = self.now - arrival.at;
        let objective =
            class.aim_ms + LATENCY_OBJECTIVE_STRETCH * arrival.size_kb / self.setup.fleet.net.pace_kb_per_ms;
        let metrics = &mut self.metrics.classes[arrival.class];
        metrics.served_kb.push(arrival.size_kb);
        if latency <= objective {
            metrics.in_time += 1;
            self.metrics.seconds[(arrival.at / 1000.0) as usize].in_time_weight += class.worth;
        } else {
            metrics.late += 1;
        }
        self.metrics.served += 1;
        self.latencies.saturating_record(micros(latency).max(1));
        self.checker.observe(
            self.now,
            Observation::ClientAnswered { request: (r, number), result: ClientResult::Served },
        );
    }

    /// Answers a client that was not served; the client may retry.
    pub(super) fn answer_client(
        &mut self,
        r: usize,
        request: &RequestId,
        result: ClientResult,
        retry_after: Ms,
    ) {
        let Some(number) = request_number(request) else { return };
        self.checker.observe(self.now, Observation::ClientAnswered { request: (r, number), result });
        let Some(open) = self.routers[r].open_requests.get_mut(&number).filter(|o| !o.answered) else {
            return;
        };
        open.answered = true;
        match result {
            ClientResult::Rejected => self.metrics.rejected += 1,
            ClientResult::Served | ClientResult::Failed => self.metrics.failed += 1,
        }
        let mut client = open.client.clone();
        let class = &self.setup.load.classes[client.arrival.class];
        let retry_at = self.now + self.setup.load.backoff_ms.max(retry_after);
        let may_retry = class.effect == EffectSpec::Safe || result == ClientResult::Rejected;
        if may_retry
            && client.retries < self.setup.load.retries
            && retry_at < client.arrival.at + class.deadline_ms
        {
            client.retries += 1;
            self.schedule(retry_at, SimEvent::Retry { router: r, client });
        }
        self.drop_if_finished(r, number);
    }
}
