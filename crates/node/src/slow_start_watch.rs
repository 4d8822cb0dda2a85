//! Checks slow start where attempts are written: compares the requests sent to each server that is warming up with the limit for all
//! routers.
//!
//! The decision module has its own count (`routing::slow_start`). This checker shares no state and no unit of cost with it: for each server
//! process it counts requests when their first byte is written, and estimates their cost from responses with bodies alone. Times are in
//! milliseconds.

#[cfg(test)]
mod tests;

use crate::caches::AttemptKey;
use basaltgw::api::{Endpoint, EndpointState, Ms, ObjectId, Role, ServerId, Settings, SlowStartPolicy};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The most objects whose shortest response time is stored; all are dropped before one more is stored.
const MAX_TRACKED_OBJECTS: usize = 4_096;
/// The least weight of a response in its class's mean cost, an exponential moving average.
const MIN_RESPONSE_WEIGHT: f64 = 0.05;
/// A class's mean cost is used after this many responses for objects that were served before.
const MIN_SAMPLES: u32 = 20;
/// A window that allows fewer requests than this has a wider tolerance, since random variation has more effect there.
const LARGE_WINDOW_REQUESTS: f64 = 30.0;
/// The most completely written attempts that are stored until the owner takes them; more than are ever open.
const MAX_WRITTEN_ATTEMPTS: usize = 100_000;
/// Two listed start times that differ by no more than this are the same start; differences come from rounding and from the time since the
/// batch began.
const SAME_START_TOLERANCE: Duration = Duration::from_millis(50);

/// Whether the endpoint list shows a new start of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStart {
    /// The start was not known before, and the server begins to warm up.
    New,
    /// The start was known before, or the server is not warming up.
    Unchanged,
}

/// A request whose first byte was written to a server, or that named the server as the fill source.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: Instant,
    /// The index of its class in the settings.
    class: usize,
}

/// A server process that is warming up.
#[derive(Debug)]
struct Process {
    policy: SlowStartPolicy,
    /// The listed capacity relative to other servers.
    weight: f64,
    started: Instant,
    /// The requests that it was sent within the last window.
    sent: VecDeque<SentRequest>,
}

/// The mean cost of a class's responses.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCost {
    mean: Ms,
    samples: u32,
}

/// A server was sent more requests than the limit allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Exceeded {
    /// The server.
    pub server: ServerId,
    /// The cost of the window's requests, in requests of mean cost.
    pub sent: f64,
    /// The limit on `sent`.
    pub bound: f64,
}

/// The slow-start checker.
#[derive(Debug)]
pub struct SlowStartWatch {
    policies: [(Role, SlowStartPolicy); 2],
    /// Whether listed weights are capacities; dynamic weights are not.
    uses_weights: bool,
    warming_up: RefCell<BTreeMap<ServerId, Process>>,
    /// The shortest response time of each object.
    shortest_responses: RefCell<HashMap<ObjectId, Ms>>,
    /// The mean cost of each class, by its index in the settings.
    costs: RefCell<Vec<ClassCost>>,
    /// Completely written attempts that the owner has not yet taken.
    written: RefCell<Vec<AttemptKey>>,
    highest_share: Cell<f64>,
}

/// The limit on a window's requests of mean cost if the settings allow this many. A few standard deviations are added for random variation.
fn with_tolerance(allowed: f64) -> f64 {
    let (deviations, extra) = if allowed < LARGE_WINDOW_REQUESTS { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + extra
}

fn to_duration(ms: Ms) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

impl Process {
    /// The number of requests of mean cost that all routers together may send in a window, at this age of the process.
    fn allowed(&self, age: Ms, mean_cost: Ms) -> f64 {
        let policy = &self.policy;
        let share = policy.initial_share
            + (1.0 - policy.initial_share) * (age / policy.ramp_duration).clamp(0.0, 1.0);
        policy.overload_factor * share * self.weight * policy.overload_window / mean_cost
    }

    fn drop_before_window(&mut self, now: Instant) {
        let window = to_duration(self.policy.overload_window);
        while self.sent.front().is_some_and(|sent| now.saturating_duration_since(sent.at) > window) {
            self.sent.pop_front();
        }
    }
}

impl SlowStartWatch {
    /// A checker that has observed nothing.
    pub fn new(settings: &Settings) -> Self {
        Self {
            policies: [Role::Edge, Role::Parent].map(|role| (role, settings.slow_start(role))),
            uses_weights: !settings.dynamic_weights,
            warming_up: RefCell::default(),
            shortest_responses: RefCell::default(),
            costs: RefCell::new(vec![ClassCost::default(); settings.classes.len()]),
            written: RefCell::default(),
            highest_share: Cell::default(),
        }
    }

    /// Observes a listed server, whose process started `age` milliseconds ago; `None` if the list has no start.
    pub fn observe_endpoint(&self, now: Instant, endpoint: &Endpoint, age: Option<Ms>) -> ListedStart {
        let mut warming_up = self.warming_up.borrow_mut();
        let policy = self.policies.iter().find(|(role, _)| *role == endpoint.role).map(|(_, policy)| *policy);
        let slow_start = age.zip(policy).filter(|(age, policy)| {
            *age < policy.ramp_duration && policy.overload_factor * policy.overload_window > 0.0
        });
        let (Some((age, policy)), EndpointState::Up | EndpointState::Draining) = (slow_start, endpoint.state)
        else {
            warming_up.remove(&endpoint.id);
            return ListedStart::Unchanged;
        };
        let Some(started) = now.checked_sub(to_duration(age)) else { return ListedStart::Unchanged };
        let weight = if self.uses_weights && endpoint.weight > 0.0 { endpoint.weight } else { 1.0 };
        let Some(process) = warming_up.get_mut(&endpoint.id) else {
            let process = Process { policy, weight, started, sent: VecDeque::new() };
            warming_up.insert(endpoint.id.clone(), process);
            return ListedStart::New;
        };
        process.weight = weight;
        if started <= process.started + SAME_START_TOLERANCE {
            return ListedStart::Unchanged;
        }
        process.started = started;
        process.sent.retain(|sent| sent.at >= started);
        ListedStart::New
    }

    /// Moves all starts into the past by this many milliseconds, after the platform's clock was found to be ahead of the estimate.
    pub fn shift_starts(&self, by: Ms) {
        for process in self.warming_up.borrow_mut().values_mut() {
            process.started = process.started.checked_sub(to_duration(by)).unwrap_or(process.started);
        }
    }

    /// Observes a response with an object's bytes, which took `elapsed` milliseconds.
    pub fn observe_response(&self, class: usize, object: ObjectId, elapsed: Ms) {
        let mut shortest_responses = self.shortest_responses.borrow_mut();
        let Some(shortest) = shortest_responses.get_mut(&object) else {
            if shortest_responses.len() >= MAX_TRACKED_OBJECTS {
                shortest_responses.clear();
            }
            shortest_responses.insert(object, elapsed);
            return;
        };
        *shortest = shortest.min(elapsed);
        if let Some(cost) = self.costs.borrow_mut().get_mut(class) {
            cost.samples = cost.samples.saturating_add(1);
            cost.mean += MIN_RESPONSE_WEIGHT.max(1.0 / f64::from(cost.samples)) * (*shortest - cost.mean);
        }
    }

    /// Counts an attempt whose first byte is written, for its server and for its fill source; returns the first of the two whose limit is
    /// exceeded.
    pub fn count_attempt(
        &self,
        now: Instant,
        class: usize,
        server: Option<&ServerId>,
        fill_source: Option<&ServerId>,
    ) -> Option<Exceeded> {
        let servers = server.into_iter().chain(fill_source);
        let exceeded = servers.map(|server| self.count_request(now, server, class));
        exceeded.fold(None, |first, next| first.or(next))
    }

    /// Records an attempt whose last byte is written, for [`Self::take_written`].
    pub fn record_written(&self, attempt: AttemptKey) {
        let mut written = self.written.borrow_mut();
        if written.len() < MAX_WRITTEN_ATTEMPTS {
            written.push(attempt);
        }
    }

    /// Counts a request to a server, and compares the server's window with the limit.
    fn count_request(&self, now: Instant, server: &ServerId, class: usize) -> Option<Exceeded> {
        let mut warming_up = self.warming_up.borrow_mut();
        let process = warming_up.get_mut(server)?;
        let age = now.saturating_duration_since(process.started).as_secs_f64() * 1000.0;
        if age >= process.policy.ramp_duration {
            warming_up.remove(server);
            return None;
        }
        process.sent.push_back(SentRequest { at: now, class });
        process.drop_before_window(now);
        let mean_cost = self.highest_mean_cost()?;
        let cost = |sent: &SentRequest| self.mean_cost(sent.class).unwrap_or(mean_cost);
        let total_cost: f64 = process.sent.iter().map(cost).sum();
        let (sent, bound) = (total_cost / mean_cost, with_tolerance(process.allowed(age, mean_cost)));
        self.highest_share.set(self.highest_share.get().max(sent / bound));
        (sent > bound).then(|| Exceeded { server: server.clone(), sent, bound })
    }

    /// A class's mean cost; `None` before there are enough samples.
    fn mean_cost(&self, class: usize) -> Option<Ms> {
        self.costs.borrow().get(class).filter(|cost| cost.samples >= MIN_SAMPLES).map(|cost| cost.mean)
    }

    /// The highest mean cost of all classes; `None` before any is known.
    fn highest_mean_cost(&self) -> Option<Ms> {
        let classes = self.costs.borrow().len();
        let highest = (0..classes).filter_map(|class| self.mean_cost(class)).fold(0.0, f64::max);
        (highest > 0.0).then_some(highest)
    }

    /// Takes the attempts that were completely written since the last call.
    pub fn take_written(&self) -> Vec<AttemptKey> {
        self.written.take()
    }

    /// The highest share of its limit that any server was sent by this router since the start of the process.
    pub fn highest_share(&self) -> f64 {
        self.highest_share.get()
    }
}
