//! Admits a client's scatter-gather request and hands it to the engine.

use super::{engine_purge, OpenGather, RequestedPart, ScatterGather, Stage, MAX_OPEN_GATHERS};
use crate::clients::parts;
use crate::clients::RequestMessage;
use crate::owner::requester::ClientRequest;
use crate::owner::Owner;
use basaltgw::api::{Class, ClassId, Idempotency, Ms};
use basaltgw_scatter_gather as scatter_gather;
use basaltgw_scatter_gather::{
    Event, GatherNo, GatherRequest, MissingParts, PartNo, PartSpec, Policy, Site, TimeBudget,
};
use std::sync::Arc;

impl ScatterGather {
    /// The requested parts with their branches; `None` if they can't be decoded, or the fleet doesn't have one of the
    /// branches.
    fn decode_parts(&self, request: &RequestMessage) -> Option<Vec<RequestedPart>> {
        let config = &self.config;
        let requested = parts::parse_parts(request.parts.as_deref()?)?;
        let with_branch = |(part, branch): (u32, Option<Arc<str>>)| {
            let branch = branch.unwrap_or_else(|| Arc::clone(&config.branch));
            config.branches.contains(&branch).then_some((PartNo(part), Site(branch)))
        };
        requested.into_iter().map(with_branch).collect()
    }

    /// The policy on partial answers for a class and the requested parts.
    fn policy(&self, class: &str, parts: &[RequestedPart]) -> Arc<Policy> {
        let is_requested = |required: &PartNo| parts.iter().any(|(part, _)| part == required);
        match self.policies.get(class) {
            Some(policy) if policy.required_parts.iter().all(is_requested) => Arc::clone(policy),
            // A part that is not requested can't be required.
            Some(policy) => {
                let required_parts = policy.required_parts.iter().copied().filter(is_requested).collect();
                Arc::new(Policy { required_parts, ..Policy::clone(policy) })
            }
            None => Arc::new(complete_answers_only()),
        }
    }
}

/// The policy of a class for which no policy is configured.
fn complete_answers_only() -> Policy {
    Policy {
        required_parts: Vec::new(),
        min_part_share: 1.0,
        min_weight_share: 1.0,
        max_wait: 0.0,
        missing_parts: MissingParts::NotAllowed,
        hedging: false,
    }
}

fn idempotency(class: Option<&Class>) -> scatter_gather::Idempotency {
    match class.map(|class| class.idempotency) {
        Some(Idempotency::Idempotent) => scatter_gather::Idempotency::Idempotent,
        Some(Idempotency::IdempotencyKey) => scatter_gather::Idempotency::IdempotencyKey,
        Some(Idempotency::NonIdempotent) | None => scatter_gather::Idempotency::NonIdempotent,
    }
}

/// The time budget of a request with `time_left` milliseconds.
fn time_budget(class: Option<&Class>, time_left: Ms) -> TimeBudget {
    let objective = class.map_or(time_left, |class| class.latency_objective);
    let late_weight_share = class.map_or(0.0, |class| class.late_weight_share);
    TimeBudget {
        latency_objective: objective.clamp(0.0, time_left),
        deadline: time_left,
        late_weight_share: late_weight_share.clamp(0.0, 1.0),
    }
}

impl Owner {
    /// Admits a scatter-gather request of a client, or rejects it.
    pub(in crate::owner) fn on_scatter_gather_request(
        &mut self,
        client: ClientRequest,
        class: ClassId,
        request: Box<RequestMessage>,
        deadline: Ms,
    ) {
        let Some(state) = &mut self.scatter_gather else { return };
        let continuation = request.continuation.as_deref().map(parts::parse_continuation);
        let is_malformed = continuation == Some(None) || !request.body.is_empty();
        let Some(parts) = state.decode_parts(&request).filter(|_| !is_malformed) else {
            return self.on_invalid_request(client.id, client.tag);
        };
        self.counters.clients.requests.increment();
        state.counters.requests += 1;
        if state.open.len() >= MAX_OPEN_GATHERS || self.requests.is_full() || self.memory.is_exceeded() {
            state.counters.rejected += 1;
            self.counters.clients.rejected_at_capacity.increment();
            return self.clients.reject(client);
        }
        let number = self.requests.next_number();
        self.clients.register(client, number);
        let gather = GatherNo(number.0);
        let continuation = continuation.flatten().filter(|_| state.is_idempotent(class));
        let stage = Stage::ReadingContinuation;
        let open = OpenGather { client, class, request, parts, deadline, continuation: None, stage };
        state.open.insert(gather, open);
        match continuation {
            Some(name) => self.read_continuation(gather, name),
            None => self.start_gathering(gather),
        }
    }

    /// Hands a scatter-gather request to the engine.
    pub(super) fn start_gathering(&mut self, gather: GatherNo) {
        let Some(state) = &mut self.scatter_gather else { return };
        let Some(open) = state.open.get_mut(&gather) else { return };
        open.stage = Stage::Gathering;
        let Some(open) = state.open.get(&gather) else { return };
        let (object, group) = (open.request.object.0, open.request.group.0);
        let version = open.continuation.as_ref().map(|continuation| Arc::clone(&continuation.version));
        let spec = |(part, site): &RequestedPart| PartSpec {
            part: *part,
            object,
            group,
            preferred_site: site.clone(),
            alternate_sites: Vec::new(),
            priority_weight: 1.0,
            version: version.clone(),
        };
        let class = state.class(open.class);
        let request = GatherRequest {
            gather,
            policy: state.policy(&open.request.class, &open.parts),
            idempotency: idempotency(class),
            parts: open.parts.iter().map(spec).collect(),
            budget: time_budget(class, (open.deadline - self.time.now).max(0.0)),
            purges: state.purges_of(group, object).into_iter().map(engine_purge).collect(),
        };
        self.dispatch_scatter_gather(Event::Request(request));
    }
}
