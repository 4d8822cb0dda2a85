//! Random sequences of events: each request has one answer in time, each attempt ends once, answers don't mix versions,
//! and the engine's memory is bounded.

mod operations;

use basaltgw_scatter_gather::{
    Action, AttemptKind, AttemptNo, Defect, EndCause, EndedAttempt, Event, Evidence, GatherEngine, GatherNo,
    GatherRequest, GatherStrategy, MissingParts, PartNo, PartResponse, PartSpec, Purge, Settings, Site,
    UsedPart, Verdict,
};
use basaltgw_types::RouterId;
use operations::{build_request, operation, Operation};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A response's data, buffered by the caller.
#[derive(Clone, Debug, PartialEq)]
struct BufferedPart {
    origin_time_ms: u64,
    version: Arc<str>,
    complete: bool,
}

/// A sub-request that the engine sent.
struct SentAttempt {
    gather: GatherNo,
    attempt: AttemptNo,
    part: PartNo,
    kind: AttemptKind,
}

/// A request and the time of its arrival.
struct ArrivedRequest {
    at: f64,
    request: GatherRequest,
}

/// The caller's view of the engine, which checks each action.
#[derive(Default)]
struct Caller {
    requests: BTreeMap<GatherNo, ArrivedRequest>,
    ended: BTreeSet<GatherNo>,
    attempts: Vec<SentAttempt>,
    /// Attempts that are neither used, ended nor dropped, with their data if it was received.
    active: BTreeMap<(GatherNo, AttemptNo), Option<BufferedPart>>,
    /// The purges that each request must respect.
    purges: BTreeMap<GatherNo, Vec<Purge>>,
    received_purges: Vec<Purge>,
    timer: Option<f64>,
}

fn is_affected(spec: &PartSpec, purge: &Purge) -> bool {
    purge.group == spec.group && purge.object.is_none_or(|object| object == spec.object)
}

fn find_spec(request: &GatherRequest, part: PartNo) -> &PartSpec {
    request.parts.iter().find(|spec| spec.part == part).expect("a requested part")
}

impl Caller {
    fn perform(&mut self, now: f64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fetch { .. } => self.on_fetch(now, action),
                Action::DropAttempt(gather, attempt) => {
                    assert!(
                        self.active.remove(&(gather, attempt)).is_some(),
                        "dropped twice, or after its end: {gather:?} {attempt:?}"
                    );
                }
                Action::Answer(gather, verdict) => self.on_answer(now, gather, verdict),
                Action::SetTimer { at } => self.timer = Some(at),
                Action::PublishEvidence(evidence) => assert!(evidence.missed + evidence.answered > 0),
            }
        }
        // After a request's end, only its probes stay in flight.
        for (gather, attempt) in self.active.keys().filter(|(gather, _)| self.ended.contains(gather)) {
            let is_same = |sent: &&SentAttempt| (sent.gather, sent.attempt) == (*gather, *attempt);
            let sent = self.attempts.iter().find(is_same).expect("a sent attempt");
            assert_eq!(sent.kind, AttemptKind::Probe, "in flight after the request's end");
        }
    }

    fn on_fetch(&mut self, now: f64, action: Action) {
        let Action::Fetch { gather, attempt, part, kind, budget, site, newer_than_ms, .. } = action else {
            return;
        };
        let ArrivedRequest { at, request } = &self.requests[&gather];
        assert!(!self.ended.contains(&gather), "a sub-request of {gather:?} after its end");
        assert!(budget.deadline < at + request.budget.deadline - now);
        assert!(budget.latency_objective <= budget.deadline);
        assert!(kind != AttemptKind::Hedge || request.policy.hedging, "a hedge that the policy forbids");
        let spec = find_spec(request, part);
        assert!(spec.preferred_site == site || spec.alternate_sites.contains(&site));
        let purges = self.purges[&gather].iter().filter(|purge| is_affected(spec, purge));
        let last_purge = purges.map(|purge| purge.time).max();
        assert_eq!(newer_than_ms, last_purge.unwrap_or(0), "the fetched copy must be newer than all purges");
        assert!(self.active.insert((gather, attempt), None).is_none(), "an attempt number was used twice");
        self.attempts.push(SentAttempt { gather, attempt, part, kind });
    }

    fn on_answer(&mut self, now: f64, gather: GatherNo, verdict: Verdict) {
        let ArrivedRequest { at, request } = &self.requests[&gather];
        assert!(self.ended.insert(gather), "two answers to {gather:?}");
        assert!(now <= at + request.budget.deadline, "an answer after the deadline");
        let (used, missing) = match verdict {
            Verdict::Complete { used } => (used, vec![]),
            Verdict::Partial { used, missing, store_continuation, retry_after } => {
                assert!(!used.is_empty() && !missing.is_empty() && retry_after > 0.0);
                let is_continued = request.policy.missing_parts == MissingParts::Continuation;
                assert_eq!(store_continuation, is_continued);
                check_policy(request, &used, &missing);
                (used, missing)
            }
            Verdict::Rejected { retry_after } => return assert!(retry_after > 0.0 && retry_after < 60_000.0),
            Verdict::Failed => return,
            Verdict::Invalid(reason) => panic!("{reason}"),
        };
        let named: Vec<PartNo> = used.iter().map(|used| used.part).chain(missing).collect();
        let distinct: BTreeSet<_> = named.iter().collect();
        assert_eq!(distinct.len(), request.parts.len(), "each part once: {named:?}");
        let mut versions = BTreeMap::new();
        for used in &used {
            let spec = find_spec(request, used.part);
            let buffered = self.active.remove(&(gather, used.attempt)).flatten();
            let BufferedPart { origin_time_ms, version, complete } = buffered.expect("a received part");
            assert!(complete, "a partial response of a lower tier in an answer");
            assert_eq!(*versions.entry(spec.object).or_insert(version.clone()), version, "two versions");
            let is_purging = |purge: &&Purge| is_affected(spec, purge) && purge.time >= origin_time_ms;
            let purge = self.purges[&gather].iter().find(is_purging);
            assert!(purge.is_none(), "a copy of {origin_time_ms} in an answer after {purge:?}");
        }
    }
}

/// Checks that the policy allows an answer with these parts.
fn check_policy(request: &GatherRequest, used: &[UsedPart], missing: &[PartNo]) {
    let policy = &request.policy;
    assert!(policy.missing_parts != MissingParts::NotAllowed);
    assert!(!missing.iter().any(|part| policy.required_parts.contains(part)));
    let part_share = used.len() as f64 / request.parts.len() as f64;
    assert!(part_share >= policy.min_part_share - 1e-6);
    let total: f64 = request.parts.iter().map(|spec| spec.priority_weight).sum();
    let answered = request.parts.iter().filter(|spec| !missing.contains(&spec.part));
    let answered: f64 = answered.map(|spec| spec.priority_weight).sum();
    assert!(answered >= total * policy.min_weight_share - 1e-6);
}

impl Caller {
    /// The event of an operation; `None` if it refers to attempts or requests and there are none yet.
    fn event(&mut self, now: f64, operation: Operation) -> Option<Event> {
        Some(match operation {
            Operation::Request(shape) => {
                let request = build_request(self.requests.len() as u64, &shape);
                let request = GatherRequest { purges: self.received_purges.clone(), ..request };
                self.purges.insert(request.gather, request.purges.clone());
                self.requests.insert(request.gather, ArrivedRequest { at: now, request: request.clone() });
                Event::Request(request)
            }
            Operation::Response { attempt, version, origin_time_ms, complete, purge_time } => {
                let version: Arc<str> = format!("v{version}").into();
                let part = BufferedPart { origin_time_ms, version, complete };
                self.response(attempt, part, purge_time)?
            }
            Operation::AttemptEnded { attempt, cause } => {
                let index = attempt.checked_rem(self.attempts.len())?;
                let SentAttempt { gather, attempt, .. } = self.attempts[index];
                if self.active.get(&(gather, attempt)) == Some(&None) {
                    self.active.remove(&(gather, attempt));
                }
                let rejected = EndCause::Rejected { retry_after: 40.0 };
                let cause = [rejected, EndCause::Failed, EndCause::Unreachable][usize::from(cause)];
                Event::AttemptEnded(EndedAttempt { gather, attempt, cause })
            }
            Operation::Purge { object, whole_group, time } => {
                let purge = Purge { group: 0, object: (!whole_group).then_some(object), time };
                self.received_purges.push(purge);
                self.purges.values_mut().for_each(|purges| purges.push(purge));
                Event::Purge(purge)
            }
            Operation::Cancel { request } => {
                let gather = GatherNo(request.checked_rem(self.requests.len())? as u64);
                self.ended.insert(gather);
                Event::Cancelled(gather)
            }
            Operation::PeerEvidence { site, from, is_missed } => {
                let (missed, answered) = if is_missed { (5, 0) } else { (0, 5) };
                let site = Site(format!("s{site}").into());
                let evidence = Evidence { site, missed, answered, latency_ms: 10.0, age_ms: 5.0 };
                Event::PeerEvidence { from: RouterId(format!("r{from}").into()), evidence }
            }
            Operation::Advance(_) => return None,
        })
    }

    /// A response with these data to one of the attempts made so far; `None` if there are none.
    fn response(&mut self, attempt: usize, data: BufferedPart, purge_time: Option<u64>) -> Option<Event> {
        let index = attempt.checked_rem(self.attempts.len())?;
        let SentAttempt { gather, attempt, part, .. } = self.attempts[index];
        let object = Some(u64::from(part.0) % 2);
        let purge = purge_time.map(|time| Purge { group: 0, object, time });
        let purges: Vec<Purge> = purge.into_iter().collect();
        if let Some(buffered @ None) = self.active.get_mut(&(gather, attempt)) {
            *buffered = Some(data.clone());
            self.purges.get_mut(&gather).expect("a request").extend(&purges);
        }
        let BufferedPart { origin_time_ms, version, complete } = data;
        Some(Event::Response(PartResponse {
            gather,
            attempt,
            version,
            origin_time_ms,
            complete,
            size_bytes: 10,
            processing_time: f64::NAN,
            purges,
        }))
    }
}

fn run_operations(operations: Vec<Operation>, seed: u64, defect: Option<Defect>) {
    let settings = Settings { max_sites: 3, max_pending_requests: 4, ..Settings::default() };
    let mut engine = GatherEngine::new(settings.clone(), seed).expect("valid settings");
    if let Some(defect) = defect {
        engine = engine.with_defect(defect);
    }
    let (mut caller, mut now, mut actions) = (Caller::default(), 0.0f64, vec![]);
    // Long enough for all deadlines and probe timeouts.
    let until_all_ended = [Operation::Advance(5_000.0), Operation::Advance(5_000.0)];
    for operation in operations.into_iter().chain(until_all_ended) {
        if let Operation::Advance(duration) = operation {
            let until = now + duration;
            while let Some(at) = caller.timer.take_if(|at| *at <= until) {
                assert!(at >= now, "a timer in the past");
                now = at;
                engine.handle(now, Event::Timer, &mut actions);
                caller.perform(now, std::mem::take(&mut actions));
            }
            now = until;
            continue;
        }
        let Some(event) = caller.event(now, operation) else { continue };
        engine.handle(now, event, &mut actions);
        caller.perform(now, std::mem::take(&mut actions));
        assert!(engine.pending_count() <= settings.max_pending_requests);
        assert!(engine.site_count() <= settings.max_sites);
        assert!(engine.probe_count() <= caller.attempts.len());
    }
    let unanswered: Vec<_> = caller.requests.keys().filter(|gather| !caller.ended.contains(gather)).collect();
    assert!(unanswered.is_empty(), "never answered: {unanswered:?}");
    assert!(caller.active.is_empty(), "never used, ended or dropped: {:?}", caller.active);
    assert_eq!((engine.pending_count(), engine.probe_count()), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn random_sequence_yields_one_answer_in_time_without_mixed_versions(operations in prop::collection::vec(operation(), 1..80), seed in any::<u64>()) {
        run_operations(operations, seed, None);
    }
}

/// The checks must detect each injected defect.
#[test]
fn injected_defects_are_detected_on_random_sequences() {
    let defects =
        [Defect::PartialAsComplete, Defect::PurgesIgnored, Defect::VersionsIgnored, Defect::AnsweredTwice];
    for defect in defects {
        let config =
            ProptestConfig { max_shrink_iters: 0, failure_persistence: None, ..ProptestConfig::default() };
        let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
        let result = runner.run(&prop::collection::vec(operation(), 1..80), |operations| {
            run_operations(operations, 1, Some(defect));
            Ok(())
        });
        assert!(result.is_err(), "{defect:?} was not detected");
    }
}
