//! Nodes: the fetches that routers send them, and the answers.

use super::*;

/// The low bits of a node request's number, which are those of the attempt; the others are the number of the client's request.
const ATTEMPT_BITS: u32 = 4;
/// The highest number of an attempt in these bits.
const MAX_ATTEMPT: u64 = (1 << ATTEMPT_BITS) - 1;

impl World<'_> {
    /// Processes an input that a socket's task reported.
    pub(super) fn process_input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::NodeMessage { router, node, conn, outgoing, elements } => {
                self.node_received(now, (router, node, conn), outgoing, &elements)
            }
            Input::NodeConnectionClosed(conn) => {
                let open: Vec<NodeRequestId> =
                    self.attempts.iter().filter(|(_, a)| a.conn == conn).map(|(id, _)| *id).collect();
                open.into_iter().for_each(|id| self.abandon_attempt(now, id));
            }
            Input::ClientAnswer { router, conn, elements } => {
                self.client_answered(now, router, conn, &elements)
            }
            Input::ClientConnectionClosed { router, conn } => {
                self.client_connection_closed(now, router, conn)
            }
        }
    }

    /// Processes a router's message to a node.
    fn node_received(
        &mut self,
        now: Ms,
        (router, node, conn): (usize, NodeIndex, ConnId),
        outgoing: Sender<Vec<u8>>,
        elements: &[Vec<u8>],
    ) {
        let text = |i: usize| elements.get(i).and_then(|e| std::str::from_utf8(e).ok()).unwrap_or_default();
        let wire_id = text(1).to_string();
        if text(0) == "abort" {
            if let Some(id) = self.attempts_by_wire_id.get(&(conn, wire_id)).copied() {
                self.abandon_attempt(now, id);
            }
            return;
        }
        let fields = elements.get(2).and_then(|e| Fields::parse(e));
        let number = u64::from_str_radix(&wire_id, 16).ok().filter(|_| text(0) == "fetch");
        if let Some(number) = number {
            self.check_fetch(now, number, fields.as_ref().and_then(|f| f.decimal("w")));
        }
        let known = number.filter(|number| self.requests.contains_key(number));
        let (Some(number), Some(fields)) = (known, fields.filter(|_| text(0) == "fetch")) else {
            let _ = outgoing.try_send(encode(&[wire_id.as_bytes(), b"error", b"-", b""]));
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        self.metrics.attempts += 1;
        let number_with_attempt = number << ATTEMPT_BITS | (attempt as u64).min(MAX_ATTEMPT);
        let id = NodeRequestId { router, number: number_with_attempt };
        let arrival = request.client.arrival.clone();
        let fill_source = fields.get("from").and_then(|id| self.fleet.node_by_id(&NodeId::new(id)));
        self.checker.observe(
            now,
            Observation::AttemptStarted { request: (router, number), attempt, node, fill_source },
        );
        let node_request = self.node_request(id, number, &arrival, &fields, fill_source);
        let zone = self.routers[router].zone;
        self.attempts_by_wire_id.insert((conn, wire_id.clone()), id);
        self.attempts.insert(id, OpenAttempt { conn, outgoing, wire_id, request: number, attempt });
        self.fleet.send(now, zone, node, node_request);
    }

    /// The request to a simulated node that corresponds to a fetch on the wire.
    fn node_request(
        &self,
        id: NodeRequestId,
        number: u64,
        arrival: &Arrival,
        fields: &Fields<'_>,
        fill_source: Option<NodeIndex>,
    ) -> NodeRequest {
        let class = &self.setup.load.classes[arrival.class];
        let modes: Vec<&str> = fields.get("mode").unwrap_or_default().split('+').collect();
        let oldest = fields.decimal("oldest").filter(|o| *o > 0.0);
        let fresh = Some(class.fresh_ms).filter(|f| *f > 0.0);
        NodeRequest {
            id,
            key: FillKey { object: arrival.object, part: arrival.part },
            group: arrival.group,
            size_kb: arrival.size_kb,
            fill_source,
            rank: match fields.get("rank") {
                Some("1") => Rank::Low,
                Some("2") => Rank::Middle,
                Some("3") => Rank::Top,
                _ => Rank::None,
            },
            max_age: oldest.or(fresh),
            stale_for: if oldest.is_none() && modes.contains(&"swr") { class.grace_ms } else { 0.0 },
            join_fill: modes.contains(&"share"),
            cached_only: modes.contains(&"peek"),
            write: (class.effect == EffectSpec::Unsafe).then_some(number),
            timeout: fields.decimal("w").unwrap_or(class.deadline_ms),
        }
    }

    /// Processes a node's response to an attempt.
    pub(super) fn node_responded(&mut self, now: Ms, id: NodeRequestId, response: NodeResponse) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.attempts_by_wire_id.remove(&(attempt.conn, attempt.wire_id.clone()));
        let arrival = self.requests.get(&attempt.request).map(|r| &r.client.arrival);
        let non_idempotent =
            arrival.is_some_and(|a| self.setup.load.classes[a.class].effect == EffectSpec::Unsafe);
        let key = arrival.map(|a| FillKey { object: a.object, part: a.part });
        self.checker.observe(
            now,
            Observation::AttemptEnded {
                request: (id.router, attempt.request),
                attempt: attempt.attempt,
                execution: execution(&response, non_idempotent),
            },
        );
        // Without a status the connection ends with the node's process, and nothing more is sent on it.
        let Some(status) = answer_status(response.result) else { return };
        let mut fields = FieldEncoder::default();
        if response.result == AttemptResult::Served {
            fields.add("ver", hex(response.origin_time.to_bits()));
            fields.add("born", (self.start_unix_ms + response.origin_time).max(0.0) as u64);
        }
        fill_note(response.fill_report).into_iter().for_each(|note| fields.add("note", note));
        fields.add("waited", format!("{:.2}", response.source_wait.max(0.0)));
        let has_body = response.result == AttemptResult::Served && !non_idempotent;
        let body = key.filter(|_| has_body).map(part_body).unwrap_or_default();
        let message = encode(&[attempt.wire_id.as_bytes(), status, fields.as_str().as_bytes(), &body]);
        self.send_answer(now, &attempt.outgoing, message);
    }

    /// Cancels an attempt whose outcome the router doesn't learn.
    fn abandon_attempt(&mut self, now: Ms, id: NodeRequestId) {
        self.fleet.cancel(now, id);
        if let Some(attempt) = self.attempts.remove(&id) {
            self.attempts_by_wire_id.remove(&(attempt.conn, attempt.wire_id));
            self.checker.observe(
                now,
                Observation::AttemptEnded {
                    request: (id.router, attempt.request),
                    attempt: attempt.attempt,
                    execution: Execution::Unknown,
                },
            );
        }
    }
}

/// What the checker may conclude from a node's response.
fn execution(response: &NodeResponse, non_idempotent: bool) -> Execution {
    match response.result {
        AttemptResult::Served => {
            Execution::Served { origin_time: (!non_idempotent).then_some(response.origin_time) }
        }
        AttemptResult::Rejected | AttemptResult::CacheMiss | AttemptResult::NotSent => Execution::NotExecuted,
        AttemptResult::Error
        | AttemptResult::TimedOut
        | AttemptResult::ConnectionLost
        | AttemptResult::Cancelled
        | AttemptResult::NoConnection => Execution::Unknown,
    }
}

/// The status of an answer on the wire; `None` if the node can't answer.
fn answer_status(result: AttemptResult) -> Option<&'static [u8]> {
    match result {
        AttemptResult::Served => Some(b"ok"),
        AttemptResult::CacheMiss => Some(b"nothing"),
        AttemptResult::Rejected => Some(b"refused"),
        AttemptResult::NotSent => Some(b"stale"),
        AttemptResult::Error | AttemptResult::TimedOut | AttemptResult::Cancelled => Some(b"error"),
        AttemptResult::ConnectionLost | AttemptResult::NoConnection => None,
    }
}

/// The field `note` of an answer on the wire; `None` if the node reports nothing about the fill.
fn fill_note(report: FillReport) -> Option<&'static str> {
    match report {
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
    }
}
