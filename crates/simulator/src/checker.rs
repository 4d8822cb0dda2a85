//! Checks the five routing rules from requests, responses and notifications alone, without knowledge of how a router decides.

use crate::fleet::NodeIndex;
use crate::spec::RuleLimits;
use crate::Ms;
use std::collections::{BTreeMap, HashMap};

/// A routing rule. Its `Debug` name is printed in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Every request gets one final answer in time, and no attempt starts after it.
    Lost,
    /// No write is executed twice.
    Twice,
    /// No attempt names a draining or removed node once the grace period is over.
    Drain,
    /// No node that has just started is overloaded.
    Cold,
    /// No copy is served that is older than a purge received longer ago than the grace period.
    Purge,
}

/// Whether the node executed an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Execution {
    /// The attempt was certainly not executed.
    NotExecuted,
    /// The attempt may have been executed, or may still be.
    Unknown,
    /// The attempt was executed and served.
    Served {
        /// When the origin served the copy; `None` if the response is no copy.
        origin_time: Option<Ms>,
    },
}

/// A router's final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// The request was served.
    Served,
    /// The request was rejected before execution; a retry is safe.
    Rejected,
    /// The request failed and may have been executed.
    Failed,
}

/// Identifies a client's request: the router's index and the request's number.
pub type RequestKey = (usize, u64);

/// An event of a run that the checker evaluates.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A router received a client's request.
    RequestAccepted {
        /// The request.
        request: RequestKey,
        /// The request must not be executed twice.
        non_idempotent: bool,
        /// The requested object.
        object: u64,
        /// The object's group.
        group: u64,
        /// When the answer is due.
        deadline: Ms,
    },
    /// A router started an attempt.
    AttemptStarted {
        /// The request.
        request: RequestKey,
        /// The number of the attempt, from 0.
        attempt: usize,
        /// The node that the attempt is sent to.
        node: NodeIndex,
        /// The source that the router named for a miss.
        fill_source: Option<NodeIndex>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestKey,
        /// The number of the attempt, from 0.
        attempt: usize,
        /// Whether the attempt was executed.
        execution: Execution,
    },
    /// A client received the final answer.
    ClientAnswered {
        /// The request.
        request: RequestKey,
        /// The answer.
        result: ClientResult,
    },
    /// A client gave up and expects no answer.
    ClientLeft {
        /// The request.
        request: RequestKey,
    },
    /// A router received a node's state in the endpoint list.
    NodeListed {
        /// The index of the router.
        router: usize,
        /// The node.
        node: NodeIndex,
        /// The node is up, neither draining nor removed.
        up: bool,
    },
    /// A router received the purge of an object, or of a group if `object` is `None`.
    PurgeReceived {
        /// The index of the router.
        router: usize,
        /// The purged object.
        object: Option<u64>,
        /// The purged group.
        group: u64,
        /// When the purge was issued.
        purged_at: Ms,
    },
    /// The origin executed a write.
    WriteExecuted {
        /// The number of the write.
        write: u64,
    },
    /// A node that had just started was overloaded and went down.
    ColdNodeOverloaded {
        /// The node.
        node: NodeIndex,
    },
}

/// A client's request that can still violate a rule.
struct OpenRequest {
    non_idempotent: bool,
    object: u64,
    group: u64,
    deadline: Ms,
    answered: bool,
    attempts: Vec<CheckedAttempt>,
}

impl OpenRequest {
    /// True if an attempt is still running or may have been executed.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| !matches!(a.execution, Some(Execution::NotExecuted)))
    }
}

/// An attempt of an open request.
#[derive(Clone)]
struct CheckedAttempt {
    started_at: Ms,
    /// `None` while the attempt is running.
    execution: Option<Execution>,
}

/// A purge as one router knows it.
struct ReceivedPurge {
    received_at: Ms,
    purged_at: Ms,
}

/// The most purges that are stored for each router and object or group; older ones are superseded by newer ones.
const MAX_PURGES: usize = 8;
/// How long an answered request is stored past its deadline: its earlier attempts may still end and report a copy's age.
const ANSWERED_REQUEST_RETENTION_MS: Ms = 2_000.0;

/// Checks a run against the routing rules.
pub struct Checker {
    limits: RuleLimits,
    requests: HashMap<RequestKey, OpenRequest>,
    /// When a router first received that a node is draining or removed.
    out_of_service: HashMap<(usize, NodeIndex), Ms>,
    object_purges: HashMap<(usize, u64), Vec<ReceivedPurge>>,
    group_purges: HashMap<(usize, u64), Vec<ReceivedPurge>>,
    write_executions: HashMap<u64, u32>,
    violations: BTreeMap<Rule, (u64, String)>,
}

impl Checker {
    /// Creates a checker with the given tolerances.
    pub fn new(limits: &RuleLimits) -> Self {
        Self {
            limits: limits.clone(),
            requests: HashMap::new(),
            out_of_service: HashMap::new(),
            object_purges: HashMap::new(),
            group_purges: HashMap::new(),
            write_executions: HashMap::new(),
            violations: BTreeMap::new(),
        }
    }

    fn record_violation(&mut self, rule: Rule, now: Ms, description: String) {
        let entry = self.violations.entry(rule);
        entry.or_insert_with(|| (0, format!("at {now:.1} ms: {description}"))).0 += 1;
    }

    /// Evaluates an event. Events must be passed in order of time.
    pub fn observe(&mut self, now: Ms, observation: Observation) {
        match observation {
            Observation::RequestAccepted { request, non_idempotent, object, group, deadline } => {
                let attempts = Vec::new();
                let open = OpenRequest { non_idempotent, object, group, deadline, answered: false, attempts };
                self.requests.insert(request, open);
            }
            Observation::AttemptStarted { request, attempt, node, fill_source } => {
                self.attempt_started(now, request, attempt, node, fill_source)
            }
            Observation::AttemptEnded { request, attempt, execution } => {
                self.attempt_ended(now, request, attempt, execution)
            }
            Observation::ClientAnswered { request, result } => self.client_answered(now, request, result),
            Observation::ClientLeft { request } => {
                self.requests.get_mut(&request).into_iter().for_each(|r| r.answered = true)
            }
            Observation::NodeListed { router, node, up: false } => {
                self.out_of_service.entry((router, node)).or_insert(now);
            }
            Observation::NodeListed { router, node, up: true } => {
                self.out_of_service.remove(&(router, node));
            }
            Observation::PurgeReceived { router, object, group, purged_at } => {
                let purges = match object {
                    Some(object) => self.object_purges.entry((router, object)).or_default(),
                    None => self.group_purges.entry((router, group)).or_default(),
                };
                purges.push(ReceivedPurge { received_at: now, purged_at });
                if purges.len() > MAX_PURGES {
                    purges.remove(0);
                }
            }
            Observation::WriteExecuted { write } => {
                let count = self.write_executions.entry(write).or_insert(0);
                *count += 1;
                if *count > 1 {
                    self.record_violation(Rule::Twice, now, format!("write {write} was executed again"));
                }
            }
            Observation::ColdNodeOverloaded { node } => {
                let description = format!("node {} was overloaded while it was cold", node.0);
                self.record_violation(Rule::Cold, now, description)
            }
        }
    }

    fn attempt_started(
        &mut self,
        now: Ms,
        request: RequestKey,
        attempt: usize,
        node: NodeIndex,
        fill_source: Option<NodeIndex>,
    ) {
        let grace = self.limits.drain_grace_ms;
        for named in [Some(node), fill_source].into_iter().flatten() {
            let since = self.out_of_service.get(&(request.0, named));
            if since.is_some_and(|received_at| now > received_at + grace) {
                let description = format!("router {} uses node {}, which is not up", request.0, named.0);
                self.record_violation(Rule::Drain, now, description);
            }
        }
        let Some(open) = self.requests.get_mut(&request) else { return };
        let (answered, repeated) = (open.answered, open.non_idempotent && open.may_have_run());
        if open.attempts.len() <= attempt {
            open.attempts.resize(attempt + 1, CheckedAttempt { started_at: now, execution: None });
        }
        if answered {
            let description = format!("request {request:?} starts an attempt after its answer");
            self.record_violation(Rule::Lost, now, description);
        }
        if repeated {
            let description = format!("request {request:?} is sent again though it may have been executed");
            self.record_violation(Rule::Twice, now, description);
        }
    }

    fn attempt_ended(&mut self, now: Ms, request: RequestKey, attempt: usize, execution: Execution) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(attempt) = open.attempts.get_mut(attempt) else { return };
        attempt.execution = Some(execution);
        let (started_at, object, group) = (attempt.started_at, open.object, open.group);
        let Execution::Served { origin_time: Some(origin_time) } = execution else { return };
        let grace = self.limits.purge_grace_ms;
        let purges =
            [self.object_purges.get(&(request.0, object)), self.group_purges.get(&(request.0, group))];
        let outdated = purges
            .into_iter()
            .flatten()
            .flatten()
            .any(|p| started_at > p.received_at + grace && origin_time < p.purged_at);
        if outdated {
            let description = format!("request {request:?} is served a purged copy from {origin_time:.1} ms");
            self.record_violation(Rule::Purge, now, description);
        }
    }

    fn client_answered(&mut self, now: Ms, request: RequestKey, result: ClientResult) {
        let Some(open) = self.requests.get_mut(&request) else {
            let description = format!("an answer to the unknown request {request:?}");
            return self.record_violation(Rule::Lost, now, description);
        };
        let (repeated, late) = (open.answered, now > open.deadline + self.limits.slack_ms);
        let wrongly_rejected = result == ClientResult::Rejected && open.non_idempotent && open.may_have_run();
        open.answered = true;
        if repeated {
            self.record_violation(Rule::Lost, now, format!("a second answer to request {request:?}"));
        }
        if late {
            self.record_violation(Rule::Lost, now, format!("the answer to request {request:?} is too late"));
        }
        if wrongly_rejected {
            let description = format!("request {request:?} is rejected though it may have been executed");
            self.record_violation(Rule::Twice, now, description);
        }
    }

    /// Drops finished requests whose deadline is over, and reports unanswered ones as violations.
    pub fn expire(&mut self, now: Ms) {
        let slack = self.limits.slack_ms;
        let expired = |r: &OpenRequest| !r.answered && now > r.deadline + slack;
        let unanswered: Vec<RequestKey> =
            self.requests.iter().filter(|(_, r)| expired(r)).map(|(key, _)| *key).collect();
        for request in unanswered {
            self.record_violation(Rule::Lost, now, format!("no answer to request {request:?}"));
            self.requests.remove(&request);
        }
        self.requests.retain(|_, r| !r.answered || now < r.deadline + ANSWERED_REQUEST_RETENTION_MS);
    }

    /// Violations by rule: their number, and a description of the first.
    pub fn violations(&self) -> &BTreeMap<Rule, (u64, String)> {
        &self.violations
    }
}

#[cfg(test)]
pub(crate) mod tests;
