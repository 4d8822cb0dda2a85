//! Clients: their requests, the answers they get, and their retries.

use super::*;

impl World<'_> {
    /// Opens a client's connection to a router.
    pub(super) async fn open_connection(&mut self, r: usize) {
        let address = self.routers[r].process.address;
        if let Some((id, outgoing)) = connect_client(self.net.clone(), r, address).await {
            self.routers[r].connections.push(ClientConnection {
                id,
                outgoing,
                open: BTreeMap::new(),
                last_tag: 0,
                answered_tags: BTreeSet::new(),
            });
        }
    }

    /// The connection with the fewest open requests, unless all are full.
    fn least_used_connection(&self, r: usize) -> Option<usize> {
        let connections = &self.routers[r].connections;
        (0..connections.len())
            .filter(|c| connections[*c].open.len() < MAX_OPEN_REQUESTS)
            .min_by_key(|c| connections[*c].open.len())
    }

    /// Sends a client's request to a router, if the router accepts requests and a connection is free.
    pub(super) async fn send_request(&mut self, now: Ms, r: usize, client: ClientRequest) {
        if !self.accepts_requests(now, r) {
            return;
        }
        if self.least_used_connection(r).is_none() && self.routers[r].connections.len() < MAX_CONNECTIONS {
            self.open_connection(r).await;
        }
        let Some(c) = self.least_used_connection(r) else { return };
        self.last_request_number += 1;
        let number = self.last_request_number;
        let arrival = &client.arrival;
        let class = &self.setup.load.classes[arrival.class];
        let deadline = arrival.at + class.deadline_ms;
        if self.soak.is_some() && now >= deadline {
            return;
        }
        let non_idempotent = class.effect == EffectSpec::Unsafe;
        let connection = &mut self.routers[r].connections[c];
        connection.last_tag += 1;
        let (conn, tag) = (connection.id, connection.last_tag);
        connection.open.insert(tag, number);
        let mut fields = FieldEncoder::default();
        fields.add("i", hex(number));
        fields.add("d", (deadline - now).max(1.0) as u64);
        fields.add("o", hex(arrival.object));
        fields.add("nth", arrival.part);
        fields.add("batch", arrival.group);
        fields.add("m", format!("{:.2}", arrival.size_kb));
        let body: &[u8] = if non_idempotent { b"a loan" } else { b"" };
        let _ = connection.outgoing.try_send(encode(&[
            b"DO",
            tag.to_string().as_bytes(),
            class.name.as_bytes(),
            fields.as_str().as_bytes(),
            body,
        ]));
        self.checker.observe(
            now,
            Observation::RequestAccepted {
                request: (r, number),
                non_idempotent,
                object: arrival.object,
                group: arrival.group,
                deadline,
            },
        );
        let request =
            OpenRequest { router: r, client, answered: false, attempts: 0, conn, tag, sent_at: now };
        self.requests.insert(number, request);
        // A soak run judges every missing answer, with the slack of sockets.
        let slack = if self.soak.is_some() { SOCKET_SLACK_MS } else { 0.0 };
        self.schedule(deadline + slack, WorldEvent::Deadline { request: number });
        if self.soak.is_some() && self.draw_between([0.0, CANCEL_ONE_IN]) < 1.0 {
            let delay = self.draw_between(CANCEL_DELAY_MS);
            self.schedule(now + delay, WorldEvent::Cancel { request: number });
        }
    }

    /// Ends a request at its deadline: if it is unanswered, its client cancels it and needs no answer any more.
    pub(super) fn deadline_passed(&mut self, now: Ms, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if !std::mem::replace(&mut request.answered, true) {
            let (router, conn, tag, sent_at) = (request.router, request.conn, request.tag, request.sent_at);
            if let Some(soak) = &mut self.soak {
                soak.request_unanswered(now, router, number, sent_at);
                soak.client_left(now, number);
            }
            if let Some(connection) = self.routers[router].connections.iter_mut().find(|c| c.id == conn) {
                connection.open.remove(&tag);
                let _ = connection.outgoing.try_send(encode(&[b"UNDO", tag.to_string().as_bytes(), b""]));
            }
        }
        // Attempts that cross the cancellation are no violation.
        self.schedule(now + LEAVE_CROSSING_MS, WorldEvent::ClientLeft { request: number });
    }

    /// Processes a router's answer to a client.
    pub(super) fn client_answered(&mut self, now: Ms, router: usize, conn: ConnId, elements: &[Vec<u8>]) {
        let text = |i: usize| elements.get(i).and_then(|e| std::str::from_utf8(e).ok()).unwrap_or_default();
        let Ok(tag) = text(0).parse::<u64>() else { return };
        let connections = &mut self.routers[router].connections;
        let Some(connection) = connections.iter_mut().find(|c| c.id == conn) else { return };
        if let Some(soak) = self.soak.as_mut().filter(|_| !connection.answered_tags.insert(tag)) {
            let details = format!("router {router}, tag {tag}: second answer");
            soak.violated(now, Invariant::SecondAnswer, details);
        }
        let Some(number) = connection.open.remove(&tag) else { return };
        let Some(request) = self.requests.get_mut(&number).filter(|r| !r.answered) else { return };
        request.answered = true;
        let client = request.client.clone();
        let result = match text(1) {
            "200" => ClientResult::Served,
            "503" => ClientResult::Rejected,
            _ => ClientResult::Failed,
        };
        self.checker.observe(now, Observation::ClientAnswered { request: (router, number), result });
        match result {
            ClientResult::Served => {
                let body = elements.get(3).map_or(&[][..], Vec::as_slice);
                self.request_served(now, &client.arrival, body);
            }
            ClientResult::Rejected => self.metrics.rejected += 1,
            ClientResult::Failed => self.metrics.failed += 1,
        }
        let fields = Fields::parse(elements.get(2).map_or(&[][..], Vec::as_slice));
        let retry_after = fields.and_then(|f| f.decimal("w")).unwrap_or(0.0);
        self.retry_if_allowed(now, router, client, result, retry_after);
    }

    /// Records the metrics of a served request.
    fn request_served(&mut self, now: Ms, arrival: &Arrival, body: &[u8]) {
        let class = &self.setup.load.classes[arrival.class];
        let latency = now - arrival.at;
        self.metrics.served += 1;
        let expected = part_body(FillKey { object: arrival.object, part: arrival.part });
        let correct = class.effect == EffectSpec::Unsafe || body == expected;
        self.metrics.wrong_bodies += u64::from(!correct);
        self.latencies.saturating_record((latency.max(0.0) * 1000.0) as u64 + 1);
        let sending = arrival.size_kb / self.setup.fleet.net.pace_kb_per_ms;
        let in_time = latency <= class.aim_ms + LATENCY_OBJECTIVE_STRETCH * sending;
        let share = if in_time { 1.0 } else { class.late_worth };
        self.metrics.weighted_answered_share += class.worth * share;
        if in_time {
            self.metrics.seconds[(arrival.at / 1000.0) as usize].in_time_weight += class.worth;
        }
    }

    /// Schedules a retry of a request that was rejected, or that failed and is idempotent, if the deadline allows it.
    fn retry_if_allowed(
        &mut self,
        now: Ms,
        router: usize,
        client: ClientRequest,
        result: ClientResult,
        retry_after: Ms,
    ) {
        let class = &self.setup.load.classes[client.arrival.class];
        let retry_at = now + self.setup.load.backoff_ms.max(retry_after);
        let repeatable = result != ClientResult::Served
            && (class.effect == EffectSpec::Safe || result == ClientResult::Rejected);
        let in_time = retry_at < client.arrival.at + class.deadline_ms;
        if repeatable && client.retries < self.setup.load.retries && in_time {
            let retries = client.retries + 1;
            let client = ClientRequest { retries, ..client };
            self.schedule(retry_at, WorldEvent::Retry { router, client });
        }
    }

    /// Removes a client's connection that its router closed, and ends the requests on it.
    pub(super) fn client_connection_closed(&mut self, now: Ms, router: usize, conn: ConnId) {
        let connections = &mut self.routers[router].connections;
        let Some(index) = connections.iter().position(|c| c.id == conn) else { return };
        let closed = connections.swap_remove(index);
        let open: Vec<(u64, Ms)> = closed
            .open
            .values()
            .filter_map(|number| Some((*number, self.requests.get(number)?.sent_at)))
            .collect();
        if let Some(soak) = &mut self.soak {
            soak.connection_closed(now, router, &open);
            open.iter().for_each(|(number, _)| soak.client_left(now, *number));
        }
        for number in closed.open.into_values() {
            log::debug!("router {router} closed a client's connection with request {number} open");
            self.requests.get_mut(&number).into_iter().for_each(|r| r.answered = true);
            self.schedule(now + LEAVE_CROSSING_MS, WorldEvent::ClientLeft { request: number });
        }
    }
}
