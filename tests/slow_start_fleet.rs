//! All routers of a fleet around servers that are warming up, in simulated time: what arrives at one within a window,
//! compared with its budget, and how much of the budget is used.

mod common;
use basaltgw::api::*;
use basaltgw::hash::{mix, unit};
use common::*;
use std::collections::{BTreeMap, HashMap};

/// Time with warm servers before the restart, and time after it that is counted.
const WARM_MS: Ms = 500.0;
const COUNTED_MS: Ms = 3600.0;

/// A fleet and its events.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    role: Role,
    routers: usize,
    /// The listed weight of every server, in responses at full rate.
    size: f64,
    /// Number of servers that restart at once.
    restarted: usize,
    /// Traffic of the first router relative to each other one's.
    first: f64,
    /// All routers restart this many windows after the servers: the earliest and the latest, by seed.
    restart: Option<(f64, f64)>,
    /// Longest time to open a connection; earlier sends arrive then.
    opening: Ms,
    /// Requests for each server, as a multiple of what a warming one may get at first.
    demand: f64,
    seeds: u64,
    /// Sending time of each response.
    sending_time: Ms,
}

const USUAL: Case = Case {
    name: "2 routers",
    role: Role::Edge,
    routers: 2,
    size: 2.0,
    restarted: 1,
    first: 1.0,
    restart: None,
    opening: 0.0,
    demand: 5.0,
    seeds: 3,
    sending_time: 100.0,
};
const TWENTY: Case = Case { routers: 20, size: 2.95, ..USUAL };
const THIRTY: Case = Case { routers: 30, size: 4.4, ..USUAL };
/// Hundreds of routers with few requests each.
const MANY: Case = Case { routers: 300, size: 22.0, demand: 2.0, seeds: 1, ..USUAL };

fn set(case: &Case) -> Settings {
    let mut settings = settings();
    (settings.zone_routers, settings.routers, settings.approximate_weights) =
        (case.routers, case.routers, false);
    settings.edge_slow_start = SlowStartPolicy { share: 0.24, span: 17_000.0, multiple: 4.0, window: 1500.0 };
    settings.parent_slow_start =
        SlowStartPolicy { share: 0.062, span: 21_000.0, multiple: 2.0, window: 1500.0 };
    settings
}

/// Requests per window that slow start allows a server of an age.
fn allowed(settings: &Settings, case: &Case, age: Ms) -> f64 {
    let rule = settings.slow_start(case.role);
    let share = rule.share + (1.0 - rule.share) * (age / rule.span).clamp(0.0, 1.0);
    rule.multiple * share * case.size * rule.window / case.sending_time
}

/// The same with an allowance for chance.
fn bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

enum Due {
    Request(usize),
    Listed(usize),
    Restart,
    /// A router's attempt is written, if that process still runs.
    Written(usize, u64, RequestId),
    /// The response to a router's request, if that process still runs.
    Response(usize, u64, Box<Outcome>),
}

/// The result of a run: the largest share of the bound that was reached, and the share of the budget that was used.
struct Figures {
    most: f64,
    used: f64,
}

struct Run {
    case: Case,
    settings: Settings,
    seed: u64,
    random_draws: u64,
    due: BTreeMap<(u64, u64), Due>,
    now: Ms,
    routers: Vec<Driver>,
    /// Incarnation of each router, and when its connection to each server opens.
    incarnations: Vec<u64>,
    opened: HashMap<(usize, u64, ServerId), Ms>,
    fleet: Vec<Endpoint>,
    restarted: Vec<ServerId>,
    /// When requests arrived at each restarted server.
    reached: Vec<Vec<Ms>>,
}

impl Run {
    fn new(case: Case, seed: u64) -> Self {
        let settings = set(&case);
        let sized = |e: Endpoint| Endpoint { weight: case.size, ..e };
        let fleet: Vec<Endpoint> = fleet().into_iter().map(sized).collect();
        let restarted: Vec<ServerId> =
            fleet.iter().filter(|e| e.role == case.role).take(case.restarted).map(|e| e.id.clone()).collect();
        let router = |k: usize| {
            let mut driver = Driver::at(1000.0, settings.clone(), mix(seed, k as u64), fleet.clone());
            driver.router.report_writes();
            driver
        };
        Self {
            routers: (0..case.routers).map(router).collect(),
            incarnations: vec![0; case.routers],
            reached: vec![Vec::new(); restarted.len()],
            opened: HashMap::new(),
            due: BTreeMap::new(),
            now: 1000.0,
            random_draws: 0,
            case,
            settings,
            seed,
            fleet,
            restarted,
        }
    }

    fn random(&mut self) -> f64 {
        self.random_draws += 1;
        unit(mix(self.seed, self.random_draws + 1_000_000))
    }

    fn schedule(&mut self, at: Ms, due: Due) {
        self.random_draws += 1;
        self.due.insert(((at * 1000.0) as u64, self.random_draws), due);
    }

    /// The time until a router's next request.
    fn gap(&mut self, k: usize) -> Ms {
        let servers = self.fleet.iter().filter(|e| e.role == self.case.role).count() as f64;
        let all = self.case.demand * servers * allowed(&self.settings, &self.case, 0.0)
            / self.settings.slow_start(self.case.role).window;
        let parts = self.case.first + self.case.routers as f64 - 1.0;
        let own = all * if k == 0 { self.case.first } else { 1.0 } / parts;
        -self.random().ln() / own
    }

    fn request(&mut self, k: usize) {
        let gap = self.gap(k);
        self.schedule(self.now + gap, Due::Request(k));
        self.random_draws += 1;
        let (n, object) = (self.random_draws as usize, (self.random() * 500.0) as u64);
        let actions = self.routers[k].request(n, IDEMPOTENT, object);
        let Some(f) = first_attempt(&actions) else { return };
        let (case, incarnation) = (self.case, self.incarnations[k]);
        let mut connect = |to: &ServerId| {
            let drawn = self.now + self.random() * case.opening;
            let delay = (self.opened.entry((k, incarnation, to.clone())).or_insert(drawn).to_owned()
                - self.now)
                .max(0.0);
            let restarted = self.restarted.iter().position(|c| c == to);
            restarted.into_iter().for_each(|c| self.reached[c].push(self.now + delay));
            delay
        };
        let (fill_report, waited) = match case.role {
            Role::Edge => (FillReport::Hit, 0.0),
            _ => (FillReport::FilledBySource, 20.0 + connect(&f.fill_source)),
        };
        let opening = connect(&f.server);
        let delay = case.sending_time + waited + opening;
        self.schedule(self.now + opening, Due::Written(k, incarnation, request_id(n)));
        let (end, last, load) = (AttemptResult::Served, true, LoadReport::default());
        let (request, attempt, server, source_wait) = (request_id(n), AttemptNo(0), f.server, waited);
        let outcome = Outcome {
            request,
            attempt,
            server,
            result: end,
            latency: delay,
            completes_request: last,
            fill_report,
            source_wait,
            load,
            body_complete: true,
        };
        self.schedule(self.now + delay, Due::Response(k, incarnation, Box::new(outcome)));
    }

    fn run(mut self) -> Figures {
        let started = 1000.0 + WARM_MS;
        for k in 0..self.case.routers {
            let gap = self.gap(k);
            self.schedule(1000.0 + gap, Due::Request(k));
            let late = 10.0 * self.random();
            self.schedule(started + late, Due::Listed(k));
        }
        for e in self.fleet.iter_mut().filter(|e| self.restarted.contains(&e.id)) {
            e.started = Some(started);
        }
        if let Some((from, to)) = self.case.restart {
            let windows = from + (to - from) * self.random();
            self.schedule(started + windows * self.settings.slow_start(self.case.role).window, Due::Restart);
        }
        while let Some(((at, _), due)) = self.due.pop_first() {
            self.now = at as f64 / 1000.0;
            if self.now > started + COUNTED_MS {
                break;
            }
            match due {
                Due::Restart => {
                    let mut list = self.fleet.clone();
                    list.iter_mut().for_each(|e| e.started = e.started.filter(|at| *at <= self.now));
                    for k in 0..self.case.routers {
                        self.incarnations[k] += 1;
                        let seed = mix(self.seed, (k as u64) << (8 * self.incarnations[k]));
                        self.routers[k] = Driver::at(self.now, self.settings.clone(), seed, list.clone());
                        self.routers[k].router.report_writes();
                    }
                    continue;
                }
                Due::Request(k) | Due::Listed(k) | Due::Written(k, ..) | Due::Response(k, ..) => {
                    let driver = &mut self.routers[k];
                    driver.advance(self.now - driver.now);
                    driver.log.clear();
                }
            }
            match due {
                Due::Request(k) => self.request(k),
                Due::Listed(k) => {
                    let all = self.fleet.clone();
                    self.opened.retain(|(of, _, to), _| *of != k || !self.restarted.contains(to));
                    self.routers[k].handle(Event::Endpoints(EndpointUpdate::Complete, all));
                }
                Due::Response(k, incarnation, o) if incarnation == self.incarnations[k] => {
                    self.routers[k].handle(Event::Outcome(*o));
                }
                Due::Written(k, incarnation, request) if incarnation == self.incarnations[k] => {
                    self.routers[k].handle(Event::RequestWritten(request, AttemptNo(0)));
                }
                Due::Written(..) | Due::Response(..) | Due::Restart => {}
            }
        }
        self.figures(started)
    }

    /// Compares every window that ends with an arrival; of several servers the highest and the least used count.
    fn figures(mut self, started: Ms) -> Figures {
        let window = self.settings.slow_start(self.case.role).window;
        let (mut most, mut used) = (0f64, f64::INFINITY);
        for all in &mut self.reached {
            all.retain(|at| *at >= started);
            all.sort_by(f64::total_cmp);
            let mut first = 0;
            for (n, at) in all.iter().enumerate() {
                while all[first] <= at - window {
                    first += 1;
                }
                let allowed = allowed(&self.settings, &self.case, at - started);
                most = most.max((n + 1 - first) as f64 / bound(allowed));
            }
            let steps = (0..(COUNTED_MS as usize)).step_by(100);
            let may: f64 =
                steps.map(|t| allowed(&self.settings, &self.case, t as f64) * 100.0 / window).sum();
            used = used.min(all.len() as f64 / may);
        }
        Figures { most, used }
    }
}

/// Checks all seeds of each case: the bound, and the least share of the budget that is used.
fn check(cases: &[(Case, f64)]) {
    let mut wrong = Vec::new();
    for (case, least) in cases {
        let runs: Vec<Figures> = (0..case.seeds).map(|seed| Run::new(*case, seed).run()).collect();
        let most = runs.iter().map(|f| f.most).fold(0.0, f64::max);
        let used = runs.iter().map(|f| f.used).sum::<f64>() / runs.len() as f64;
        let n = allowed(&set(case), case, 0.0);
        let line = format!("{}: N {n:.1}, {most:.2} of the bound, {used:.2} of N used", case.name);
        println!("{line}");
        wrong.extend(Some(line).filter(|_| most > 1.0 || used < *least));
    }
    assert_eq!(wrong, Vec::<String>::new());
}

#[test]
fn routers_use_the_slow_start_budget_and_stay_within_it() {
    check(&[
        (USUAL, 0.8),
        (Case { name: "20 routers", ..TWENTY }, 0.6),
        (Case { name: "30 routers", ..THIRTY }, 0.6),
        (Case { name: "300 routers", ..MANY }, 0.4),
    ]);
}

#[test]
fn routers_take_turns_where_a_share_is_below_one_request() {
    check(&[
        (Case { name: "20 routers, 0.72 each", size: 1.0, ..TWENTY }, 0.5),
        (Case { name: "30 routers, 0.48 each", size: 1.0, ..THIRTY }, 0.5),
        (Case { name: "300 routers, 0.096 each", size: 2.0, demand: 20.0, ..MANY }, 0.7),
    ]);
}

#[test]
fn budget_holds_where_one_router_has_ten_times_the_traffic() {
    check(&[
        (Case { name: "2 routers, one with 10x", first: 10.0, ..USUAL }, 0.65),
        (Case { name: "20 routers, one with 10x", first: 10.0, ..TWENTY }, 0.55),
        (Case { name: "30 routers, one with 10x", first: 10.0, ..THIRTY }, 0.55),
    ]);
}

#[test]
fn budget_holds_where_all_routers_restart_within_the_window() {
    let restart = Some((0.3, 0.8));
    check(&[
        (Case { name: "2 routers restart", restart, ..USUAL }, 0.5),
        (Case { name: "20 routers restart", restart, ..TWENTY }, 0.45),
        (Case { name: "20 routers, 0.72 each, restart", size: 1.0, restart, ..TWENTY }, 0.4),
        (Case { name: "30 routers restart", restart, ..THIRTY }, 0.45),
        (Case { name: "300 routers restart", restart, ..MANY }, 0.3),
        (Case { name: "300 routers, 0.096 each, restart", size: 2.0, demand: 20.0, restart, ..MANY }, 0.4),
    ]);
}

#[test]
fn budget_holds_where_new_routers_know_no_costs() {
    let long = Case { restart: Some((-0.1, -0.1)), sending_time: 1000.0, ..USUAL };
    check(&[
        (Case { name: "2 new routers, work of 2.5 aims", size: 20.0, ..long }, 0.5),
        (Case { name: "20 new routers, work of 2.5 aims", routers: 20, size: 29.5, ..long }, 0.4),
    ]);
}

/// A list of a clock that is ahead shows a start in the future; sends until then count all the same.
#[test]
fn listed_start_in_the_future_counts_as_a_start_now() {
    for known in [true, false] {
        let list = |ahead: Ms| {
            let mut all = fleet();
            all[if known { 2 } else { 4 }].started = Some(1000.0 + WARM_MS + ahead);
            all
        };
        let mut driver = Driver::new(set(&USUAL), if known { fleet() } else { fleet()[..2].to_vec() });
        for n in 0..10 {
            driver.serve(n, IDEMPOTENT, n as u64, FillReport::Hit);
            driver.advance(WARM_MS / 10.0);
        }
        driver.handle(Event::Endpoints(EndpointUpdate::Complete, list(1000.0)));
        let restarted = list(0.0).into_iter().find(|e| e.started.is_some()).expect("one").id;
        let sent = (10..510).filter(|n| {
            let f = driver.serve(*n, IDEMPOTENT, *n as u64, FillReport::FilledBySource);
            f.server == restarted || f.fill_source == restarted
        });
        let (sent, case) = (
            sent.count() as f64,
            Case { role: if known { Role::Edge } else { Role::Parent }, size: 1.0, ..USUAL },
        );
        let may = allowed(&set(&case), &case, 0.0);
        assert!(sent <= may, "{sent} of {may} at once");
    }
}

#[test]
fn budget_holds_for_two_warming_servers_at_once() {
    check(&[
        (Case { name: "20 routers, two cold", restarted: 2, ..TWENTY }, 0.6),
        (Case { name: "30 routers, two cold", restarted: 2, ..THIRTY }, 0.6),
    ]);
}

#[test]
fn budget_holds_where_connections_open_slowly() {
    let late = Case { opening: 400.0, demand: 20.0, seeds: 2, ..USUAL };
    check(&[
        (Case { name: "2 routers, connections opened", ..late }, 0.6),
        (Case { name: "20 routers, connections opened", routers: 20, size: 2.95, ..late }, 0.55),
        (Case { name: "30 routers, connections opened", routers: 30, size: 4.4, ..late }, 0.55),
        (Case { name: "1 router alone, opened", routers: 1, size: 4.0, ..late }, 0.5),
        (
            Case {
                name: "1 router alone, opened late",
                routers: 1,
                size: 4.0,
                opening: 1500.0,
                demand: 5.0,
                ..late
            },
            0.2,
        ),
    ]);
}

#[test]
fn warming_parent_gets_fills_within_its_budget() {
    let (role, size) = (Role::Parent, 15.0);
    check(&[
        (Case { name: "parent, 2 routers", role, size, ..USUAL }, 0.6),
        (Case { name: "parent, 20 routers", role, size, ..TWENTY }, 0.4),
        (Case { name: "parent, 30 routers", role, size, ..THIRTY }, 0.35),
        (Case { name: "parent, 20 restart", role, size, restart: Some((0.3, 0.8)), ..TWENTY }, 0.35),
    ]);
}
