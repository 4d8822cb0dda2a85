//! All routers of a fleet together around cold servers, in simulated time: what reaches one within the time that the settings
//! name, against the budget and chance, and how much of the budget is used.

mod common;
use basaltgw::api::*;
use basaltgw::hash::{mix, unit};
use common::*;
use std::collections::{BTreeMap, HashMap};

/// How long the routers see warm servers before the cold start, and how long is counted after it.
const WARM: Ms = 500.0;
const COUNTED: Ms = 3600.0;

/// A fleet and what happens to it.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    role: Role,
    routers: usize,
    /// The listed size of every server, in answers at full pace.
    size: f64,
    /// How many servers start cold at once.
    colds: usize,
    /// Traffic of the first router, as a multiple of the others'.
    first: f64,
    /// All routers start anew so long after the cold start, in windows: from and to, by seed.
    restart: Option<(f64, f64)>,
    /// It takes up to so long to open a connection to a server; what is sent there before arrives then.
    opening: Ms,
    /// What comes to each server's share, as a multiple of what a cold one may get at first.
    demand: f64,
    seeds: u64,
    /// What each request takes to send: the mean work.
    work: Ms,
}

const USUAL: Case = Case {
    name: "2 routers",
    role: Role::Edge,
    routers: 2,
    size: 2.0,
    colds: 1,
    first: 1.0,
    restart: None,
    opening: 0.0,
    demand: 5.0,
    seeds: 3,
    work: 100.0,
};
const TWENTY: Case = Case { routers: 20, size: 2.95, ..USUAL };
const THIRTY: Case = Case { routers: 30, size: 4.4, ..USUAL };
/// Hundreds, each with few requests.
const MANY: Case = Case { routers: 300, size: 22.0, demand: 2.0, seeds: 1, ..USUAL };

fn set(case: &Case) -> Settings {
    let mut set = settings();
    (set.zone_routers, set.routers, set.approximate_weights) = (case.routers, case.routers, false);
    set.edge_slow_start = SlowStartPolicy { share: 0.24, span: 17_000.0, multiple: 4.0, window: 1500.0 };
    set.parent_slow_start = SlowStartPolicy { share: 0.062, span: 21_000.0, multiple: 2.0, window: 1500.0 };
    set
}

/// Requests of mean work that the settings allow a cold server of that age for a window.
fn allowed(set: &Settings, case: &Case, age: Ms) -> f64 {
    let rule = set.slow_start(case.role);
    let share = rule.share + (1.0 - rule.share) * (age / rule.span).clamp(0.0, 1.0);
    rule.multiple * share * case.size * rule.window / case.work
}

/// With chance: what is beyond is the routers' doing.
fn bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

enum Due {
    Ask(usize),
    Told(usize),
    Restart,
    /// A router's attempt is on the wire, if that process still runs.
    Written(usize, u64, RequestId),
    /// The answer to a router's request, if that process still runs.
    Answer(usize, u64, Box<Outcome>),
}

/// What a play comes to: the largest share of the bound that was reached, and the share of all allowed that came.
struct Figures {
    most: f64,
    used: f64,
}

struct Play {
    case: Case,
    set: Settings,
    seed: u64,
    draws: u64,
    due: BTreeMap<(u64, u64), Due>,
    now: Ms,
    routers: Vec<Driver>,
    /// Processes started so far by router, and when the way to each server is open.
    lives: Vec<u64>,
    opened: HashMap<(usize, u64, ServerId), Ms>,
    fleet: Vec<Endpoint>,
    colds: Vec<ServerId>,
    /// When requests arrived at each cold server.
    reached: Vec<Vec<Ms>>,
}

impl Play {
    fn new(case: Case, seed: u64) -> Self {
        let set = set(&case);
        let sized = |e: Endpoint| Endpoint { weight: case.size, ..e };
        let fleet: Vec<Endpoint> = fleet().into_iter().map(sized).collect();
        let colds: Vec<ServerId> =
            fleet.iter().filter(|e| e.role == case.role).take(case.colds).map(|e| e.id.clone()).collect();
        let router = |k: usize| {
            let mut driver = Driver::at(1000.0, set.clone(), mix(seed, k as u64), fleet.clone());
            driver.router.report_writes();
            driver
        };
        Self {
            routers: (0..case.routers).map(router).collect(),
            lives: vec![0; case.routers],
            reached: vec![Vec::new(); colds.len()],
            opened: HashMap::new(),
            due: BTreeMap::new(),
            now: 1000.0,
            draws: 0,
            case,
            set,
            seed,
            fleet,
            colds,
        }
    }

    fn draw(&mut self) -> f64 {
        self.draws += 1;
        unit(mix(self.seed, self.draws + 1_000_000))
    }

    fn at(&mut self, at: Ms, due: Due) {
        self.draws += 1;
        self.due.insert(((at * 1000.0) as u64, self.draws), due);
    }

    /// The time to a router's next request.
    fn gap(&mut self, k: usize) -> Ms {
        let servers = self.fleet.iter().filter(|e| e.role == self.case.role).count() as f64;
        let all = self.case.demand * servers * allowed(&self.set, &self.case, 0.0)
            / self.set.slow_start(self.case.role).window;
        let parts = self.case.first + self.case.routers as f64 - 1.0;
        let own = all * if k == 0 { self.case.first } else { 1.0 } / parts;
        -self.draw().ln() / own
    }

    fn ask(&mut self, k: usize) {
        let gap = self.gap(k);
        self.at(self.now + gap, Due::Ask(k));
        self.draws += 1;
        let (n, object) = (self.draws as usize, (self.draw() * 500.0) as u64);
        let acts = self.routers[k].ask(n, SAFE, object);
        let Some(f) = fetch(&acts) else { return };
        let (case, life) = (self.case, self.lives[k]);
        let mut way = |to: &ServerId| {
            let drawn = self.now + self.draw() * case.opening;
            let way =
                (self.opened.entry((k, life, to.clone())).or_insert(drawn).to_owned() - self.now).max(0.0);
            let cold = self.colds.iter().position(|c| c == to);
            cold.into_iter().for_each(|c| self.reached[c].push(self.now + way));
            way
        };
        let (note, waited) = match case.role {
            Role::Edge => (FillReport::Hit, 0.0),
            _ => (FillReport::FilledBySource, 20.0 + way(&f.fill_source)),
        };
        let opening = way(&f.server);
        let delay = case.work + waited + opening;
        self.at(self.now + opening, Due::Written(k, life, rid(n)));
        let (end, last, load) = (AttemptResult::Served, true, LoadReport::default());
        let (request, attempt, server, source_wait) = (rid(n), AttemptNo(0), f.server, waited);
        let outcome = Outcome {
            request,
            attempt,
            server,
            result: end,
            latency: delay,
            completes_request: last,
            fill_report: note,
            source_wait,
            load,
            body_complete: true,
        };
        self.at(self.now + delay, Due::Answer(k, life, Box::new(outcome)));
    }

    fn run(mut self) -> Figures {
        let started = 1000.0 + WARM;
        for k in 0..self.case.routers {
            let gap = self.gap(k);
            self.at(1000.0 + gap, Due::Ask(k));
            let late = 10.0 * self.draw();
            self.at(started + late, Due::Told(k));
        }
        for e in self.fleet.iter_mut().filter(|e| self.colds.contains(&e.id)) {
            e.started = Some(started);
        }
        if let Some((from, to)) = self.case.restart {
            let windows = from + (to - from) * self.draw();
            self.at(started + windows * self.set.slow_start(self.case.role).window, Due::Restart);
        }
        while let Some(((at, _), due)) = self.due.pop_first() {
            self.now = at as f64 / 1000.0;
            if self.now > started + COUNTED {
                break;
            }
            match due {
                Due::Restart => {
                    let mut list = self.fleet.clone();
                    list.iter_mut().for_each(|e| e.started = e.started.filter(|at| *at <= self.now));
                    for k in 0..self.case.routers {
                        self.lives[k] += 1;
                        let seed = mix(self.seed, (k as u64) << (8 * self.lives[k]));
                        self.routers[k] = Driver::at(self.now, self.set.clone(), seed, list.clone());
                        self.routers[k].router.report_writes();
                    }
                    continue;
                }
                Due::Ask(k) | Due::Told(k) | Due::Written(k, ..) | Due::Answer(k, ..) => {
                    let d = &mut self.routers[k];
                    d.wait(self.now - d.now);
                    d.log.clear();
                }
            }
            match due {
                Due::Ask(k) => self.ask(k),
                Due::Told(k) => {
                    let all = self.fleet.clone();
                    self.opened.retain(|(of, _, to), _| *of != k || !self.colds.contains(to));
                    self.routers[k].tell(Event::Endpoints(EndpointUpdate::Complete, all));
                }
                Due::Answer(k, life, o) if life == self.lives[k] => {
                    self.routers[k].tell(Event::Outcome(*o));
                }
                Due::Written(k, life, request) if life == self.lives[k] => {
                    self.routers[k].tell(Event::RequestWritten(request, AttemptNo(0)));
                }
                Due::Written(..) | Due::Answer(..) | Due::Restart => {}
            }
        }
        self.figures(started)
    }

    /// Every window that ends with an arrival; of several cold servers the one that got most, and the one that got least.
    fn figures(mut self, started: Ms) -> Figures {
        let window = self.set.slow_start(self.case.role).window;
        let (mut most, mut used) = (0f64, f64::INFINITY);
        for all in &mut self.reached {
            all.retain(|at| *at >= started);
            all.sort_by(f64::total_cmp);
            let mut first = 0;
            for (n, at) in all.iter().enumerate() {
                while all[first] <= at - window {
                    first += 1;
                }
                let allowed = allowed(&self.set, &self.case, at - started);
                most = most.max((n + 1 - first) as f64 / bound(allowed));
            }
            let steps = (0..(COUNTED as usize)).step_by(100);
            let may: f64 = steps.map(|t| allowed(&self.set, &self.case, t as f64) * 100.0 / window).sum();
            used = used.min(all.len() as f64 / may);
        }
        Figures { most, used }
    }
}

/// All seeds of each case: within the bound, and at least that share of what the settings allow is used.
fn hold(cases: &[(Case, f64)]) {
    let mut wrong = Vec::new();
    for (case, least) in cases {
        let plays: Vec<Figures> = (0..case.seeds).map(|seed| Play::new(*case, seed).run()).collect();
        let most = plays.iter().map(|f| f.most).fold(0.0, f64::max);
        let used = plays.iter().map(|f| f.used).sum::<f64>() / plays.len() as f64;
        let n = allowed(&set(case), case, 0.0);
        let line = format!("{}: N {n:.1}, {most:.2} of the bound, {used:.2} of N used", case.name);
        println!("{line}");
        wrong.extend(Some(line).filter(|_| most > 1.0 || used < *least));
    }
    assert_eq!(wrong, Vec::<String>::new());
}

#[test]
fn routers_use_a_cold_caches_budget_and_keep_to_it() {
    hold(&[
        (USUAL, 0.8),
        (Case { name: "20 routers", ..TWENTY }, 0.6),
        (Case { name: "30 routers", ..THIRTY }, 0.6),
        (Case { name: "300 routers", ..MANY }, 0.4),
    ]);
}

#[test]
fn a_share_under_one_request_goes_in_turn() {
    hold(&[
        (Case { name: "20 routers, 0.72 each", size: 1.0, ..TWENTY }, 0.5),
        (Case { name: "30 routers, 0.48 each", size: 1.0, ..THIRTY }, 0.5),
        (Case { name: "300 routers, 0.096 each", size: 2.0, demand: 20.0, ..MANY }, 0.7),
    ]);
}

#[test]
fn one_router_may_have_ten_times_the_traffic() {
    hold(&[
        (Case { name: "2 routers, one with 10x", first: 10.0, ..USUAL }, 0.65),
        (Case { name: "20 routers, one with 10x", first: 10.0, ..TWENTY }, 0.55),
        (Case { name: "30 routers, one with 10x", first: 10.0, ..THIRTY }, 0.55),
    ]);
}

#[test]
fn routers_that_all_restart_in_the_window_send_no_second_budget() {
    let restart = Some((0.3, 0.8));
    hold(&[
        (Case { name: "2 routers restart", restart, ..USUAL }, 0.5),
        (Case { name: "20 routers restart", restart, ..TWENTY }, 0.45),
        (Case { name: "20 routers, 0.72 each, restart", size: 1.0, restart, ..TWENTY }, 0.4),
        (Case { name: "30 routers restart", restart, ..THIRTY }, 0.45),
        (Case { name: "300 routers restart", restart, ..MANY }, 0.3),
        (Case { name: "300 routers, 0.096 each, restart", size: 2.0, demand: 20.0, restart, ..MANY }, 0.4),
    ]);
}

#[test]
fn routers_that_know_no_work_yet_send_no_more_than_others() {
    let long = Case { restart: Some((-0.1, -0.1)), work: 1000.0, ..USUAL };
    hold(&[
        (Case { name: "2 new routers, work of 2.5 aims", size: 20.0, ..long }, 0.5),
        (Case { name: "20 new routers, work of 2.5 aims", routers: 20, size: 29.5, ..long }, 0.4),
    ]);
}

/// A list whose clock is ahead tells of a start that is still to come: what is sent until then counts all the same.
#[test]
fn a_start_by_a_clock_that_is_ahead_is_one_now() {
    for known in [true, false] {
        let list = |ahead: Ms| {
            let mut all = fleet();
            all[if known { 2 } else { 4 }].started = Some(1000.0 + WARM + ahead);
            all
        };
        let mut d = Driver::new(set(&USUAL), if known { fleet() } else { fleet()[..2].to_vec() });
        for n in 0..10 {
            d.serve(n, SAFE, n as u64, FillReport::Hit);
            d.wait(WARM / 10.0);
        }
        d.tell(Event::Endpoints(EndpointUpdate::Complete, list(1000.0)));
        let cold = list(0.0).into_iter().find(|e| e.started.is_some()).expect("one").id;
        let sent = (10..510).filter(|n| {
            let f = d.serve(*n, SAFE, *n as u64, FillReport::FilledBySource);
            f.server == cold || f.fill_source == cold
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
fn two_cold_at_once() {
    hold(&[
        (Case { name: "20 routers, two cold", colds: 2, ..TWENTY }, 0.6),
        (Case { name: "30 routers, two cold", colds: 2, ..THIRTY }, 0.6),
    ]);
}

#[test]
fn connections_that_open_slowly_bring_no_two_windows_together() {
    let late = Case { opening: 400.0, demand: 20.0, seeds: 2, ..USUAL };
    hold(&[
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
fn a_cold_parent_gets_fills_within_its_budget() {
    let (role, size) = (Role::Parent, 15.0);
    hold(&[
        (Case { name: "parent, 2 routers", role, size, ..USUAL }, 0.6),
        (Case { name: "parent, 20 routers", role, size, ..TWENTY }, 0.4),
        (Case { name: "parent, 30 routers", role, size, ..THIRTY }, 0.35),
        (Case { name: "parent, 20 restart", role, size, restart: Some((0.3, 0.8)), ..TWENTY }, 0.35),
    ]);
}
