//! Model check with stateright of the engine that routers run: every interleaving of a request for two parts at two sites,
//! a purge after which each site gets new copies at its own time, the notice of the purge, responses that come late, twice
//! or marked as partial by a lower tier, and a client that may cancel.

use basaltgw_scatter_gather::{
    Action, AttemptKind, AttemptNo, Defect, Event, GatherEngine, GatherNo, GatherRequest, GatherStrategy,
    Idempotency, MissingParts, PartNo, PartResponse, PartSpec, Policy, Purge, Settings, Site, TimeBudget,
    Verdict,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Deadline of the request in milliseconds; with few evaluations until then, the number of states is small.
const DEADLINE_MS: f64 = 120.0;
/// When the origin served the old and the new copies, in Unix milliseconds.
const ORIGIN_TIMES_MS: [u64; 2] = [1, 3];
/// Time of the purge, between the two, in Unix milliseconds.
const PURGE_TIME_MS: u64 = 2;
const GATHER: GatherNo = GatherNo(7);

/// Which copy of an object a site has.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ObjectCopy {
    Old,
    New,
}

/// A site's response, which may be delivered later and more than once.
#[derive(Clone, Copy, Debug)]
struct SiteResponse {
    copy: ObjectCopy,
    /// False if a lower tier marks it as partial.
    complete: bool,
}

/// A sub-request, as its site and the caller know it.
#[derive(Clone, Debug)]
struct SentAttempt {
    attempt: AttemptNo,
    part: usize,
    response: Option<SiteResponse>,
    /// How often the response was delivered.
    deliveries: u8,
    is_probe: bool,
    /// Neither used nor dropped.
    is_active: bool,
}

#[derive(Clone, Debug)]
struct State {
    engine: GatherEngine,
    now: f64,
    timer: Option<f64>,
    /// Sites that have the new copies.
    has_new_copies: [bool; 2],
    purged: bool,
    purge_received: bool,
    /// A site has given a response that a lower tier marks as partial.
    partial_response_given: bool,
    attempts: Vec<SentAttempt>,
    answers: u8,
    answered_completely: bool,
    answered_partially: bool,
    cancelled: bool,
    /// The first violation of an invariant.
    violation: Option<&'static str>,
}

impl State {
    fn has_ended(&self) -> bool {
        self.answers > 0 || self.cancelled
    }

    fn record_violation(&mut self, is_violated: bool, description: &'static str) {
        if is_violated {
            self.violation = self.violation.or(Some(description));
        }
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

/// A transition. Attempts are named by their index among the sub-requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Purge,
    /// A site gets the new copies.
    RenewCopies {
        site: usize,
    },
    ReceivePurge,
    /// A site responds, with a complete part or not.
    Respond {
        attempt: usize,
        complete: bool,
    },
    DeliverResponse {
        attempt: usize,
    },
    Cancel,
    FireTimer,
}

/// The two parts of the request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Objects {
    /// Of one object, whose old and new copies have different versions.
    One,
    /// Of two objects of a group that is purged; responses list the purge, and versions don't differ.
    TwoOfOneGroup,
}

struct GatherModel {
    objects: Objects,
    defect: Option<Defect>,
}

impl GatherModel {
    fn request(&self) -> GatherRequest {
        let site = |i: u32| Site(Arc::from(["a", "b"][i as usize % 2]));
        let object = |i: u32| match self.objects {
            Objects::One => 0,
            Objects::TwoOfOneGroup => u64::from(i),
        };
        let part = |i: u32| PartSpec {
            part: PartNo(i),
            object: object(i),
            group: 0,
            preferred_site: site(i),
            alternate_sites: vec![],
            priority_weight: 1.0,
            version: None,
        };
        let policy = Policy {
            required_parts: vec![],
            min_part_share: 0.5,
            min_weight_share: 0.5,
            max_wait: DEADLINE_MS,
            missing_parts: MissingParts::Continuation,
            hedging: false,
        };
        let budget = TimeBudget {
            latency_objective: DEADLINE_MS / 2.0,
            deadline: DEADLINE_MS,
            late_weight_share: 0.5,
        };
        GatherRequest {
            gather: GATHER,
            policy: policy.into(),
            idempotency: Idempotency::Idempotent,
            parts: vec![part(0), part(1)],
            budget,
            purges: vec![],
        }
    }

    fn response(&self, attempt: AttemptNo, response: SiteResponse) -> PartResponse {
        let SiteResponse { copy, complete } = response;
        let version = match (self.objects, copy) {
            (Objects::One, ObjectCopy::Old) => "old",
            (Objects::One, ObjectCopy::New) => "new",
            (Objects::TwoOfOneGroup, _) => "any",
        };
        let purge = Purge { group: 0, object: None, time: PURGE_TIME_MS };
        let lists_purge = copy == ObjectCopy::New && self.objects == Objects::TwoOfOneGroup;
        PartResponse {
            gather: GATHER,
            attempt,
            version: Arc::from(version),
            origin_time_ms: ORIGIN_TIMES_MS[copy as usize],
            complete,
            size_bytes: 1,
            processing_time: 0.0,
            purges: if lists_purge { vec![purge] } else { vec![] },
        }
    }
}

/// Hands the engine an event and checks its actions.
fn handle(state: &mut State, event: Event) {
    let mut actions = vec![];
    state.engine.handle(state.now, event, &mut actions);
    for action in actions {
        match action {
            Action::Fetch { attempt, part, kind, .. } => {
                let (part, is_probe) = (part.0 as usize, kind == AttemptKind::Probe);
                let sent =
                    SentAttempt { attempt, part, response: None, deliveries: 0, is_probe, is_active: true };
                state.attempts.push(sent);
                state.record_violation(state.has_ended(), "a sub-request after the end");
            }
            Action::DropAttempt(_, attempt) => {
                let is_dropped = |sent: &&mut SentAttempt| sent.attempt == attempt && sent.is_active;
                let dropped = state.attempts.iter_mut().find(is_dropped);
                match dropped {
                    Some(sent) => sent.is_active = false,
                    None => state.record_violation(true, "an inactive attempt was dropped"),
                }
            }
            Action::Answer(_, verdict) => check_answer(state, &verdict),
            Action::SetTimer { at } => state.timer = Some(at),
            Action::PublishEvidence(_) => {}
        }
    }
    let is_request_active = state.attempts.iter().any(|sent| sent.is_active && !sent.is_probe);
    state.record_violation(state.has_ended() && is_request_active, "attempts in flight after the end");
}

fn check_answer(state: &mut State, verdict: &Verdict) {
    state.answers += 1;
    state.record_violation(state.answers > 1, "two answers");
    state.record_violation(state.cancelled, "an answer after the client cancelled");
    state.record_violation(state.now > DEADLINE_MS, "an answer after the deadline");
    let (used, missing) = match verdict {
        Verdict::Complete { used } => (used, 0),
        Verdict::Partial { used, missing, .. } => (used, missing.len()),
        Verdict::Rejected { .. } | Verdict::Failed | Verdict::Invalid(_) => return,
    };
    state.answered_completely |= missing == 0;
    state.answered_partially |= missing > 0;
    state.record_violation(used.len() + missing != 2, "a partial answer as a complete one");
    let mut copies = vec![];
    for used in used {
        let is_used =
            |sent: &&mut SentAttempt| sent.attempt == used.attempt && sent.is_active && sent.deliveries > 0;
        let Some(sent) = state.attempts.iter_mut().find(is_used) else {
            return state.record_violation(true, "an answer with a part that was not received");
        };
        sent.is_active = false;
        let response = sent.response;
        let is_partial = response.is_some_and(|response| !response.complete);
        state.record_violation(is_partial, "a partial response as a complete part");
        copies.extend(response.map(|response| response.copy));
    }
    let is_mixed = copies.windows(2).any(|pair| pair[0] != pair[1]);
    state.record_violation(is_mixed, "copies from before and after the purge");
    let has_purged_copy = state.purge_received && copies.contains(&ObjectCopy::Old);
    state.record_violation(has_purged_copy, "a copy from before a purge that was received");
}

const NO_VIOLATION: &str = "no invariant is violated";

impl Model for GatherModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let settings = Settings {
            max_attempts: 2,
            default_latency_ms: 60.0,
            min_evaluation_interval_ms: 60.0,
            reserved_time_ms: 0.0,
            min_publish_interval_ms: 3_600_000.0,
            ..Settings::default()
        };
        let mut engine = GatherEngine::new(settings, 1).expect("valid settings");
        if let Some(defect) = self.defect {
            engine = engine.with_defect(defect);
        }
        let mut state = State {
            engine,
            now: 0.0,
            timer: None,
            has_new_copies: [false; 2],
            purged: false,
            purge_received: false,
            partial_response_given: false,
            attempts: vec![],
            answers: 0,
            answered_completely: false,
            answered_partially: false,
            cancelled: false,
            violation: None,
        };
        handle(&mut state, Event::Request(self.request()));
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let ended = state.has_ended();
        if state.violation.is_some() {
            return;
        }
        steps.extend((!state.purged && !ended).then_some(Step::Purge));
        let may_renew = |site: &usize| state.purged && !state.has_new_copies[*site] && !ended;
        steps.extend((0..2).filter(may_renew).map(|site| Step::RenewCopies { site }));
        let may_receive = state.purged && !state.purge_received && !ended;
        steps.extend(may_receive.then_some(Step::ReceivePurge));
        steps.extend((!ended).then_some(Step::Cancel));
        for (attempt, sent) in state.attempts.iter().enumerate() {
            if sent.response.is_none() && sent.is_active && !ended {
                steps.push(Step::Respond { attempt, complete: true });
                let may_be_partial = !state.partial_response_given && sent.part == 0;
                steps.extend(may_be_partial.then_some(Step::Respond { attempt, complete: false }));
            }
            // Each response is delivered once; the first also a second time and after the answer.
            if sent.response.is_some() && sent.deliveries < 1 + u8::from(attempt == 0) {
                steps.push(Step::DeliverResponse { attempt });
            }
        }
        steps.extend((!ended && state.timer.is_some()).then_some(Step::FireTimer));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Purge => state.purged = true,
            Step::RenewCopies { site } => state.has_new_copies[site] = true,
            Step::ReceivePurge => {
                state.purge_received = true;
                let purge = Purge { group: 0, object: None, time: PURGE_TIME_MS };
                handle(&mut state, Event::Purge(purge));
            }
            Step::Respond { attempt, complete } => {
                state.partial_response_given |= !complete;
                let is_new = state.has_new_copies[state.attempts[attempt].part % 2];
                let copy = if is_new { ObjectCopy::New } else { ObjectCopy::Old };
                state.attempts[attempt].response = Some(SiteResponse { copy, complete });
            }
            Step::DeliverResponse { attempt } => {
                let sent = &mut state.attempts[attempt];
                sent.deliveries += 1;
                let response = self.response(sent.attempt, sent.response?);
                handle(&mut state, Event::Response(response));
            }
            Step::Cancel => {
                state.cancelled = true;
                handle(&mut state, Event::Cancelled(GATHER));
            }
            Step::FireTimer => {
                state.now = state.timer.take()?.max(state.now);
                handle(&mut state, Event::Timer);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_VIOLATION, |_, state: &State| state.violation.is_none()),
            Property::always("an answer by the deadline", |_, state: &State| {
                state.has_ended() || state.now < DEADLINE_MS
            }),
            Property::sometimes("a complete answer", |_, state: &State| state.answered_completely),
            Property::sometimes("a partial answer", |_, state: &State| state.answered_partially),
            Property::sometimes("purged copies are fetched again in time", |_, state: &State| {
                state.answered_completely && state.attempts.len() > 2 && state.purge_received
            }),
            Property::sometimes("a part is fetched again after a partial response", |_, state: &State| {
                state.partial_response_given && state.answered_completely && state.attempts.len() > 2
            }),
            Property::sometimes("the client cancels", |_, state: &State| state.cancelled),
        ]
    }
}

#[test]
fn no_interleaving_mixes_versions_or_answers_twice() {
    for objects in [Objects::One, Objects::TwoOfOneGroup] {
        let checker = GatherModel { objects, defect: None }.checker().threads(2).spawn_bfs().join();
        checker.assert_properties();
        println!("{objects:?}: {} states", checker.unique_state_count());
    }
}

#[test]
fn each_injected_defect_violates_a_property() {
    let defects = [
        (Objects::One, Defect::PartialAsComplete),
        (Objects::TwoOfOneGroup, Defect::PurgesIgnored),
        (Objects::One, Defect::VersionsIgnored),
        (Objects::One, Defect::AnsweredTwice),
    ];
    for (objects, defect) in defects {
        let checker = GatherModel { objects, defect: Some(defect) }.checker();
        let checker = checker.threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let path = checker.discovery(NO_VIOLATION).expect("a violation is found");
        println!("{defect:?}: {:?}", path.last_state().violation);
    }
}
