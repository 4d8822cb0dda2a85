//! What is really put on the wire to servers that started lately, counted at the writer against the bound of slow start.
//!
//! The decisions keep an account of their own (`slow_start` of the module). This one shares no sum and no unit with it: it counts first bytes
//! as they are written, by server process, and learns what an answer takes from answers with bytes alone.

use basaltgw::api::{Endpoint, EndpointState, Ms, ObjectId, Role, ServerId, Settings, SlowStartPolicy};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Objects of which it is remembered what they take.
const MOST_OBJECTS: usize = 4_096;
/// Weight of an answer in its class's mean.
const MEAN_SHARE: f64 = 0.05;
/// Answers of objects that were answered before, until a class's mean tells anything.
const LEAST_ANSWERS: u32 = 20;
/// From so many requests in a window on, chance adds less to the bound.
const MANY_REQUESTS: f64 = 30.0;
/// Fetches that were written and not yet taken in by the owner: more than are ever open, so that none is lost.
const MOST_WRITTEN: usize = 100_000;

/// A start that is told again may be mapped to another moment by this, for rounding and for what passed since the batch began.
const SAME_START: Duration = Duration::from_millis(50);

/// The number of a request and of the attempt.
pub type FetchIds = (u64, usize);

/// A server process that started lately.
#[derive(Debug)]
struct Process {
    rule: SlowStartPolicy,
    /// The listed size, in answers at full pace.
    size: f64,
    started: Instant,
    /// First bytes that were written to it, or fills that it was named for: when, and the class.
    sent: VecDeque<(Instant, usize)>,
}

/// What answers of a class take.
#[derive(Clone, Copy, Debug, Default)]
struct ClassWork {
    mean: Ms,
    answers: u32,
}

/// A server had more than the bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Exceeded {
    /// Which.
    pub server: ServerId,
    /// Requests of mean work in the window, and the bound.
    pub sent: f64,
    /// See `sent`.
    pub bound: f64,
}

/// Counts at the writer.
#[derive(Debug)]
pub struct SlowStartWatch {
    rules: [(Role, SlowStartPolicy); 2],
    sizes_count: bool,
    processes: RefCell<BTreeMap<ServerId, Process>>,
    least: RefCell<HashMap<ObjectId, Ms>>,
    work: RefCell<Vec<ClassWork>>,
    written: RefCell<Vec<FetchIds>>,
    highest: Cell<f64>,
}

/// What a window may have at most, of requests of mean work, where the settings allow so many.
fn bound(allowed: f64) -> f64 {
    let (roots, more) = if allowed < MANY_REQUESTS { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + roots * allowed.sqrt() + more
}

fn span(ms: Ms) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

impl SlowStartWatch {
    /// Nothing was sent yet.
    pub fn new(set: &Settings) -> Self {
        Self {
            rules: [Role::Edge, Role::Parent].map(|role| (role, set.slow_start(role))),
            sizes_count: !set.dynamic_weights,
            processes: RefCell::default(),
            least: RefCell::default(),
            work: RefCell::new(vec![ClassWork::default(); set.classes.len()]),
            written: RefCell::default(),
            highest: Cell::default(),
        }
    }

    /// The list tells of a server whose process started so long ago; true if that is a start that was not known.
    pub fn listed(&self, now: Instant, entry: &Endpoint, age: Option<Ms>) -> bool {
        let mut processes = self.processes.borrow_mut();
        let rule = self.rules.iter().find(|(role, _)| *role == entry.role).map(|(_, rule)| *rule);
        let cold = age.zip(rule).filter(|(age, rule)| *age < rule.span && rule.multiple * rule.window > 0.0);
        let (Some((age, rule)), EndpointState::Up | EndpointState::Draining) = (cold, entry.state) else {
            processes.remove(&entry.id);
            return false;
        };
        let Some(started) = now.checked_sub(span(age)) else { return false };
        let size = if self.sizes_count && entry.weight > 0.0 { entry.weight } else { 1.0 };
        let Some(process) = processes.get_mut(&entry.id) else {
            processes.insert(entry.id.clone(), Process { rule, size, started, sent: VecDeque::new() });
            return true;
        };
        process.size = size;
        let anew = started > process.started + SAME_START;
        if anew {
            process.started = started;
            process.sent.retain(|(at, _)| *at >= started);
        }
        anew
    }

    /// All starts lie further in the past by this than was reckoned.
    pub fn older_by(&self, more: Ms) {
        for process in self.processes.borrow_mut().values_mut() {
            process.started = process.started.checked_sub(span(more)).unwrap_or(process.started);
        }
    }

    /// An answer with bytes of an object took so long to be sent.
    pub fn answered(&self, class: usize, object: ObjectId, took: Ms) {
        let mut all = self.least.borrow_mut();
        let Some(least) = all.get_mut(&object) else {
            if all.len() >= MOST_OBJECTS {
                all.clear();
            }
            all.insert(object, took);
            return;
        };
        *least = least.min(took);
        if let Some(work) = self.work.borrow_mut().get_mut(class) {
            work.answers = work.answers.saturating_add(1);
            work.mean += MEAN_SHARE.max(1.0 / f64::from(work.answers)) * (*least - work.mean);
        }
    }

    /// The first byte of a fetch is written to a server, which may fill a miss from a source.
    pub fn begun(&self, now: Instant, class: usize, to: [Option<&ServerId>; 2]) -> Option<Exceeded> {
        let over = to.into_iter().flatten().map(|server| self.sent(now, server, class));
        over.fold(None, |found, over| found.or(over))
    }

    /// The last byte of a fetch is written.
    pub fn written(&self, ids: FetchIds) {
        let mut written = self.written.borrow_mut();
        if written.len() < MOST_WRITTEN {
            written.push(ids);
        }
    }

    /// Takes in that a server is sent something; gives by how much that is beyond the bound.
    fn sent(&self, now: Instant, server: &ServerId, class: usize) -> Option<Exceeded> {
        let mut processes = self.processes.borrow_mut();
        let process = processes.get_mut(server)?;
        let age = now.saturating_duration_since(process.started).as_secs_f64() * 1000.0;
        if age >= process.rule.span {
            processes.remove(server);
            return None;
        }
        process.sent.push_back((now, class));
        let window = span(process.rule.window);
        while process.sent.front().is_some_and(|(at, _)| now.saturating_duration_since(*at) > window) {
            process.sent.pop_front();
        }
        let work = self.work.borrow();
        let known = |class: usize| work.get(class).filter(|w| w.answers >= LEAST_ANSWERS).map(|w| w.mean);
        let mean = (0..work.len()).filter_map(known).fold(0.0, f64::max);
        if mean <= 0.0 {
            return None;
        }
        let share =
            process.rule.share + (1.0 - process.rule.share) * (age / process.rule.span).clamp(0.0, 1.0);
        let allowed = process.rule.multiple * share * process.size * process.rule.window / mean;
        let sum: f64 = process.sent.iter().map(|(_, class)| known(*class).unwrap_or(mean)).sum();
        let (sent, bound) = (sum / mean, bound(allowed));
        self.highest.set(self.highest.get().max(sent / bound));
        (sent > bound).then(|| Exceeded { server: server.clone(), sent, bound })
    }

    /// Fetches that were written since this was last asked.
    pub fn take_written(&self) -> Vec<FetchIds> {
        self.written.take()
    }

    /// The highest share of the bound that any server had from this router since the start.
    pub fn highest_share(&self) -> f64 {
        self.highest.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use basaltgw::api::ZoneId;
    use std::sync::Arc;

    const WINDOW_MS: Ms = 1_000.0;

    fn watch() -> SlowStartWatch {
        let rule = SlowStartPolicy { share: 0.5, span: 10_000.0, multiple: 2.0, window: WINDOW_MS };
        let watch = SlowStartWatch {
            rules: [(Role::Edge, rule), (Role::Parent, rule)],
            sizes_count: true,
            processes: RefCell::default(),
            least: RefCell::default(),
            work: RefCell::new(vec![ClassWork::default(); 2]),
            written: RefCell::default(),
            highest: Cell::default(),
        };
        (0..40).for_each(|n| watch.answered(0, ObjectId(n % 4), 10.0));
        watch
    }

    fn entry() -> Endpoint {
        let id = ServerId(Arc::from("s-1"));
        let (zone, role, listed) = (ZoneId(0), Role::Edge, EndpointState::Up);
        Endpoint { id, zone, role, cell: 0, state: listed, weight: 1.0, started: None }
    }

    /// So many fetches, a millisecond apart; how many were over.
    fn send(watch: &SlowStartWatch, from: Instant, count: u64) -> usize {
        let id = entry().id;
        let at = |n: u64| from + Duration::from_millis(n);
        (0..count).filter(|n| watch.begun(at(*n), 0, [Some(&id), None]).is_some()).count()
    }

    #[test]
    fn writes_beyond_the_bound_are_told_with_the_share_of_it() {
        let (watch, now) = (watch(), Instant::now());
        watch.listed(now, &entry(), Some(0.0));
        assert_eq!(send(&watch, now, 122), 0, "100 are allowed, and chance adds 22");
        assert!((0.95..=1.0).contains(&watch.highest_share()));
        assert!(send(&watch, now + Duration::from_millis(200), 10) > 0);
        watch.written((7, 0));
        assert_eq!((watch.take_written(), watch.take_written()), (vec![(7, 0)], Vec::new()));
    }

    #[test]
    fn windows_processes_and_warm_servers_are_told_apart() {
        let (watch, now) = (watch(), Instant::now());
        assert_eq!(send(&watch, now, 500), 0, "not listed as cold");
        watch.listed(now, &entry(), Some(0.0));
        assert_eq!(send(&watch, now, 120), 0);
        assert_eq!(send(&watch, now + Duration::from_millis(1_200), 120), 0, "another window");
        let later = now + Duration::from_millis(1_400);
        watch.listed(later, &entry(), Some(0.0));
        assert_eq!(send(&watch, later, 100), 0, "another process");
        watch.listed(later, &entry(), Some(20_000.0));
        assert_eq!(send(&watch, later, 500), 0, "warm");
    }
}
