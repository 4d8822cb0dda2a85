//! Single decisions: which requests are valid, when they are answered, what peer evidence changes, and which time budget
//! and versions sub-requests have.

use basaltgw_scatter_gather::{
    Action, AttemptKind, AttemptNo, Event, Evidence, GatherEngine, GatherNo, GatherRequest, GatherStrategy,
    Idempotency, InvalidRequest, MissingParts, PartNo, PartResponse, PartSpec, Policy, Purge, Settings, Site,
    TimeBudget, Verdict,
};
use basaltgw_types::RouterId;

/// Time from a sub-request to the answer of its simulated site, in milliseconds.
const LATENCY_MS: f64 = 20.0;
/// The part of [`LATENCY_MS`] that is processing time, in milliseconds.
const PROCESSING_MS: f64 = 4.0;
/// Origin time of the simulated sites' parts, in Unix milliseconds.
const ORIGIN_TIME_MS: u64 = 5;

fn site(name: &str) -> Site {
    Site(name.into())
}

/// A request for one part of each site, all of one object.
fn request(number: u64, sites: &[&str]) -> GatherRequest {
    let part = |(i, name): (usize, &&str)| PartSpec {
        part: PartNo(i as u32),
        object: 1,
        group: 1,
        preferred_site: site(name),
        alternate_sites: vec![],
        priority_weight: 1.0,
        version: None,
    };
    let policy = Policy {
        required_parts: vec![],
        min_part_share: 0.0,
        min_weight_share: 0.0,
        max_wait: 1_000.0,
        missing_parts: MissingParts::Continuation,
        hedging: true,
    };
    GatherRequest {
        gather: GatherNo(number),
        policy: policy.into(),
        idempotency: Idempotency::Idempotent,
        parts: sites.iter().enumerate().map(part).collect(),
        budget: TimeBudget { latency_objective: 300.0, deadline: 1_000.0, late_weight_share: 0.2 },
        purges: vec![],
    }
}

/// A sub-request that the engine sends.
#[derive(Debug)]
struct Fetch {
    attempt: AttemptNo,
    site: Site,
    kind: AttemptKind,
    budget: TimeBudget,
}

fn fetches(actions: &[Action]) -> Vec<Fetch> {
    let fetch = |action: &Action| match action {
        Action::Fetch { attempt, site, kind, budget, .. } => {
            Some(Fetch { attempt: *attempt, site: site.clone(), kind: *kind, budget: *budget })
        }
        Action::DropAttempt(..)
        | Action::Answer(..)
        | Action::PublishEvidence(_)
        | Action::SetTimer { .. } => None,
    };
    actions.iter().filter_map(fetch).collect()
}

fn last_timer(actions: &[Action]) -> Option<f64> {
    let timer = |action: &Action| if let Action::SetTimer { at } = action { Some(*at) } else { None };
    actions.iter().rev().find_map(timer)
}

fn verdict(actions: Vec<Action>) -> Option<Verdict> {
    actions.into_iter().find_map(|action| match action {
        Action::Answer(_, verdict) => Some(verdict),
        Action::Fetch { .. }
        | Action::DropAttempt(..)
        | Action::PublishEvidence(_)
        | Action::SetTimer { .. } => None,
    })
}

/// An engine with a clock that the test advances.
struct Harness {
    engine: GatherEngine,
    now: f64,
    last_gather: u64,
}

impl Harness {
    fn new() -> Self {
        let engine = GatherEngine::new(Settings::default(), 1).expect("valid settings");
        Self { engine, now: 0.0, last_gather: 0 }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = vec![];
        self.engine.handle(self.now, event, &mut actions);
        actions
    }

    fn send_request(&mut self, sites: &[&str]) -> (GatherNo, Vec<Action>) {
        self.last_gather += 1;
        let actions = self.handle(Event::Request(request(self.last_gather, sites)));
        (GatherNo(self.last_gather), actions)
    }

    fn respond(&mut self, gather: GatherNo, attempt: AttemptNo) -> Vec<Action> {
        self.handle(Event::Response(PartResponse {
            gather,
            attempt,
            version: "v".into(),
            origin_time_ms: ORIGIN_TIME_MS,
            complete: true,
            size_bytes: 1,
            processing_time: PROCESSING_MS,
            purges: vec![],
        }))
    }

    /// Completes this many requests, each answered by all sites after [`LATENCY_MS`].
    fn complete_requests(&mut self, sites: &[&str], count: usize) {
        for _ in 0..count {
            let (gather, actions) = self.send_request(sites);
            self.now += LATENCY_MS;
            let last = fetches(&actions).into_iter().map(|fetch| self.respond(gather, fetch.attempt)).last();
            assert!(last.and_then(verdict).is_some());
            self.now += 30.0;
        }
    }

    /// Fires timers until the request is answered; returns the time of the answer and the verdict.
    fn run_until_answer(&mut self, actions: Vec<Action>) -> (f64, Verdict) {
        let mut actions = actions;
        loop {
            let timer = last_timer(&actions);
            if let Some(verdict) = verdict(actions) {
                return (self.now, verdict);
            }
            self.now = timer.expect("a timer for a pending request");
            actions = self.handle(Event::Timer);
        }
    }

    fn receive_evidence(&mut self, router: usize, name: &str, missed: u32, answered: u32) {
        let evidence = Evidence { site: site(name), missed, answered, latency_ms: LATENCY_MS, age_ms: 0.0 };
        self.handle(Event::PeerEvidence { from: RouterId(format!("r{router}").into()), evidence });
    }
}

#[test]
fn non_idempotent_or_invalid_request_is_not_admitted() {
    let mut harness = Harness::new();
    let rejection = |gather: u64, reason| [Action::Answer(GatherNo(gather), Verdict::Invalid(reason))];
    for idempotency in [Idempotency::IdempotencyKey, Idempotency::NonIdempotent] {
        let request = GatherRequest { idempotency, ..request(1, &["a", "b"]) };
        let actions = harness.handle(Event::Request(request));
        assert_eq!(actions, rejection(1, InvalidRequest::NotIdempotent(idempotency)));
    }
    let mut duplicate = request(2, &["a", "b"]);
    duplicate.parts[1].part = PartNo(0);
    let actions = harness.handle(Event::Request(duplicate));
    assert_eq!(actions, rejection(2, InvalidRequest::DuplicatePart(PartNo(0))));
    let mut invalid_objective = request(3, &["a"]);
    invalid_objective.budget.latency_objective = f64::NAN;
    let Some(Verdict::Invalid(reason)) = verdict(harness.handle(Event::Request(invalid_objective))) else {
        panic!("a request with an invalid latency objective was admitted")
    };
    assert!(reason.to_string().starts_with("gather.aim: expected 0 to the deadline"), "{reason}");
    let counters = harness.engine.counters();
    assert_eq!((counters.first_attempts, counters.invalid), (0, 4));
    let settings = Settings { initial_ramp_share: 0.0, ..Settings::default() };
    let error = settings.check().expect_err("a share of 0");
    assert_eq!(error.to_string(), "gather.portion: expected above 0, at most 1, found 0");
}

#[test]
fn silent_site_is_awaited_for_shorter_times_and_then_excluded() {
    let mut harness = Harness::new();
    harness.complete_requests(&["a", "b"], 60);
    let mut waits = vec![];
    for _ in 0..6 {
        let (gather, actions) = harness.send_request(&["a", "b"]);
        let started_at = harness.now;
        harness.now += LATENCY_MS;
        let actions = harness.respond(gather, fetches(&actions)[0].attempt);
        let (at, verdict) = harness.run_until_answer(actions);
        let Verdict::Partial { missing, store_continuation, retry_after, .. } = verdict else {
            panic!("{verdict:?}")
        };
        assert!(missing == [PartNo(1)] && store_continuation && retry_after > 0.0);
        waits.push(at - started_at);
        harness.now += 30.0;
    }
    // The first request waits for the silent site, but not much past the latency objective; later ones hardly wait.
    assert!(waits[0] > 30.0 && waits.iter().all(|wait| *wait < 310.0), "{waits:?}");
    assert!(waits[5] < 25.0, "{waits:?}");
    let fetched = fetches(&harness.send_request(&["a", "b"]).1);
    let is_admitted = |fetch: &Fetch| fetch.site == site("a") || fetch.kind == AttemptKind::Probe;
    assert!(fetched.iter().all(is_admitted), "{fetched:?}");
    // A request for a part of the excluded site alone is rejected at once.
    let (_, actions) = harness.send_request(&["b"]);
    let started_at = harness.now;
    let (at, verdict) = harness.run_until_answer(actions);
    assert!(
        matches!(verdict, Verdict::Rejected { retry_after } if retry_after > 0.0) && at - started_at < 50.0,
        "{verdict:?}"
    );
}

#[test]
fn peer_evidence_alone_does_not_exclude_a_site_that_answers_locally() {
    let mut harness = Harness::new();
    harness.complete_requests(&["a", "b"], 60);
    let first_attempts = |harness: &mut Harness| {
        let fetched = fetches(&harness.send_request(&["a", "b"]).1);
        fetched.iter().filter(|fetch| fetch.kind == AttemptKind::First).count()
    };
    (0..50).for_each(|router| harness.receive_evidence(router, "b", 100, 0));
    assert_eq!(first_attempts(&mut harness), 2, "a site that answered just now is excluded");
    // Without a recent answer here, the evidence of other routers counts.
    harness.now += 1_000.0;
    (0..50).for_each(|router| harness.receive_evidence(router, "b", 100, 0));
    assert_eq!(first_attempts(&mut harness), 1, "a site that all other routers miss is not excluded");
    assert!(harness.engine.site_count() == 2);
    // Evidence on sites without local requests must not evict the measured ones.
    (0..10_000).for_each(|i| harness.receive_evidence(1, &format!("x{i}"), 1, 0));
    assert!(harness.engine.site_count() <= Settings::default().max_sites / 2);
}

#[test]
fn request_is_answered_within_the_policy_wait_after_it_is_answerable() {
    let mut harness = Harness::new();
    harness.complete_requests(&["a", "b"], 60);
    let mut short_wait = request(1_000, &["a", "b"]);
    short_wait.policy = Policy { max_wait: 12.0, ..(*short_wait.policy).clone() }.into();
    harness.handle(Event::Request(short_wait));
    harness.now += 10.0;
    let answerable_at = harness.now;
    let actions = harness.respond(GatherNo(1_000), AttemptNo(0));
    let (at, verdict) = harness.run_until_answer(actions);
    assert!(
        matches!(verdict, Verdict::Partial { .. }) && at > answerable_at && at <= answerable_at + 12.0,
        "answered at {at}, answerable since {answerable_at}: {verdict:?}"
    );
}

#[test]
fn losing_attempt_of_a_hedged_pair_is_cancelled_immediately() {
    let mut harness = Harness::new();
    harness.complete_requests(&["a", "b", "c"], 60);
    let mut with_alternate = request(1_000, &["a", "c"]);
    with_alternate.parts[0].alternate_sites = vec![site("b")];
    let mut actions = harness.handle(Event::Request(with_alternate));
    let hedge = loop {
        let hedge = fetches(&actions).into_iter().find(|fetch| fetch.kind == AttemptKind::Hedge);
        if let Some(hedge) = hedge {
            break hedge;
        }
        harness.now = last_timer(&actions).expect("a hedged sub-request before the answer");
        actions = harness.handle(Event::Timer);
    };
    assert_eq!(hedge.site, site("b"));
    let actions = harness.respond(GatherNo(1_000), hedge.attempt);
    assert!(actions.contains(&Action::DropAttempt(GatherNo(1_000), AttemptNo(0))), "{actions:?}");
    assert!(harness.engine.pending_count() == 1 && verdict(actions).is_none());
}

#[test]
fn time_budget_of_a_sub_request_excludes_network_delay_and_assembly() {
    const ASSEMBLY_MS: f64 = 10.0;
    /// Default of `reserved_time_ms` in the settings.
    const RESERVED_MS: f64 = 1.0;
    let mut harness = Harness::new();
    harness.complete_requests(&["a"], 100);
    (0..100).for_each(|_| drop(harness.handle(Event::AnswerSent { assembly_time: ASSEMBLY_MS })));
    let budget = fetches(&harness.send_request(&["a"]).1)[0].budget;
    let excluded = (LATENCY_MS - PROCESSING_MS) + ASSEMBLY_MS + RESERVED_MS;
    assert!((budget.latency_objective - (300.0 - excluded)).abs() < 0.5, "{budget:?}");
    assert!((budget.deadline - (1_000.0 - excluded)).abs() < 0.5, "{budget:?}");
}

#[test]
fn continuation_accepts_only_the_answered_version_and_nothing_older_than_a_purge() {
    let mut harness = Harness::new();
    let mut continuation = request(1, &["a"]);
    continuation.parts[0].version = Some("w".into());
    harness.handle(Event::Request(continuation));
    assert_eq!(verdict(harness.respond(GatherNo(1), AttemptNo(0))), None);
    assert_eq!(harness.engine.counters().other_version_responses, 1);
    let purges = vec![Purge { group: 1, object: Some(1), time: ORIGIN_TIME_MS }];
    harness.handle(Event::Request(GatherRequest { purges, ..request(2, &["a"]) }));
    assert_eq!(verdict(harness.respond(GatherNo(2), AttemptNo(0))), None);
    assert_eq!(harness.engine.counters().purged_responses, 1);
}
