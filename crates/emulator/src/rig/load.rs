//! LoadGenerator of the rig: checkouts and reads at a rate, whatever comes back; who gets no word, or is turned away, presents the same checkout
//! again through another router.

use super::{ClientConnection, History, Outcome, RequestKind, RequestNumber, Rig};
use basaltgw_simulator::{draw, rng, Rng};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often clients look for answers.
const LOOK: Duration = Duration::from_millis(2);
/// Presentations of one checkout by one client.
const MOST_TRIES: u32 = 4;
/// A client that is turned away with a longer time to stay away gives up.
const MOST_STAY_MS: u64 = 1_500;
/// Requests open on one connection, as the protocol has it.
const OPEN: usize = 32;
/// Connections to one router; what finds all of them full is not asked, and counted.
const MOST_CONNS: usize = 16;
/// Past its time, a client waits so much longer before it looks elsewhere.
const PAST_MS: u64 = 500;
const DRAWS: u64 = 9_002;

/// What clients ask.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Checkouts a second.
    pub checkouts_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
    /// Objects that are read.
    pub objects: u64,
    /// How long clients wait, in milliseconds.
    #[serde(rename = "within_ms")]
    pub timeout_ms: u64,
    /// The share of checkouts that are presented to two routers at once.
    #[serde(rename = "twice")]
    pub concurrent_share: f64,
    /// How long an effect takes at the archive, in milliseconds; each second another, drawn from this range.
    pub effect_ms: [f64; 2],
}

/// What the load counted by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadStatistics {
    /// Checkouts presented again, since no word came.
    pub again_unheard: u64,
    /// The same, since they were turned away.
    pub again_refused: u64,
    /// Not asked, since every connection was full.
    pub not_asked: u64,
    /// The most milliseconds by which a request went out late: the machine's, not the routers'.
    pub late_most: u64,
}

struct Open {
    ask: RequestNumber,
    router: usize,
    due: u64,
    /// The checkout's id, and how often it was presented; none for a read.
    again: Option<(String, u32)>,
}

/// The clients of one run.
pub struct LoadGenerator {
    load: Load,
    addresses: Vec<SocketAddr>,
    history: History,
    effect_ms: Arc<AtomicU64>,
    callers: Vec<Vec<(ClientConnection, Vec<RequestNumber>)>>,
    open: Vec<Open>,
    later: Vec<(u64, usize, String, u32)>,
    rng: Rng,
    ids: u64,
    told: LoadStatistics,
}

impl LoadGenerator {
    /// LoadGenerator of all routers of a rig.
    pub fn new(rig: &Rig, load: &Load) -> Self {
        Self {
            load: load.clone(),
            addresses: rig.routers.iter().map(|r| r.client_relay.address).collect(),
            history: rig.history.clone(),
            effect_ms: Arc::clone(&rig.archive.effect_duration_ms),
            callers: rig.routers.iter().map(|_| Vec::new()).collect(),
            open: Vec::new(),
            later: Vec::new(),
            rng: rng(rig.spec.seed, DRAWS),
            ids: 0xc1_u64 << 48,
            told: LoadStatistics::default(),
        }
    }

    fn pick(&mut self, of: usize) -> usize {
        ((draw(&mut self.rng) * of as f64) as usize).min(of.saturating_sub(1))
    }

    fn caller(&mut self, router: usize) -> Option<usize> {
        let history = &self.history;
        let all = &mut self.callers[router];
        all.retain_mut(|(caller, asks)| {
            asks.retain(|ask| history.wait_for_outcome(*ask, Duration::ZERO).is_none());
            !caller.is_closed()
        });
        if let Some(at) = all.iter().position(|(_, asks)| asks.len() < OPEN) {
            return Some(at);
        }
        if all.len() == MOST_CONNS {
            return None;
        }
        let caller = ClientConnection::connect(router, self.addresses[router], history).ok()?;
        all.push((caller, Vec::new()));
        Some(all.len() - 1)
    }

    /// `beside`: it is presented to another router at once.
    fn ask(&mut self, router: usize, id: String, about: &RequestKind, (tries, beside): (u32, bool)) {
        let Some(at) = self.caller(router) else {
            self.told.not_asked += 1;
            return;
        };
        let (caller, asks) = &mut self.callers[router][at];
        let within = self.load.timeout_ms;
        let ask = match about {
            RequestKind::Checkout if beside => caller.checkout_concurrently(&id, within),
            RequestKind::Checkout => caller.checkout(&id, within),
            RequestKind::Read { object } => caller.read(&id, *object, within),
        };
        asks.push(ask);
        let due = self.history.now_ms() + within + PAST_MS;
        let again = (*about == RequestKind::Checkout).then_some((id, tries));
        self.open.push(Open { ask, router, due, again });
    }

    /// Looks at what came back.
    fn look(&mut self) {
        let now = self.history.now_ms();
        let routers = self.addresses.len();
        let mut again = Vec::new();
        let history = &self.history;
        let told = &mut self.told;
        self.open.retain(|o| {
            let end = history.wait_for_outcome(o.ask, Duration::ZERO);
            let stay = match &end {
                None if now < o.due => return true,
                Some(Some(Outcome::Served(_) | Outcome::Failed(_))) => return false,
                Some(Some(Outcome::Rejected { retry_after_ms: wait })) => wait.unwrap_or(0),
                None | Some(None) => 0,
            };
            if let Some((id, tries)) =
                o.again.as_ref().filter(|(_, t)| *t < MOST_TRIES && stay <= MOST_STAY_MS)
            {
                match end {
                    Some(Some(_)) => told.again_refused += 1,
                    None | Some(None) => told.again_unheard += 1,
                }
                again.push((now + stay, (o.router + 1) % routers, id.clone(), tries + 1));
            }
            false
        });
        self.later.extend(again);
        let due: Vec<_> = self.later.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, router, id, tries) in due {
            self.ask(router, id, &RequestKind::Checkout, (tries, false));
        }
    }

    /// Asks until told to stop, and then until nothing is open.
    pub fn run(mut self, stop: &AtomicBool) -> LoadStatistics {
        let rate = self.load.checkouts_per_s + self.load.reads_per_s;
        let start = self.history.now_ms();
        let (mut next, mut second) = (0.0, 0);
        while !stop.load(Ordering::SeqCst) {
            let now = self.history.now_ms() - start;
            if now / 1000 >= second {
                second += 1;
                let [least, most] = self.load.effect_ms;
                let ms = least + (most - least).max(0.0) * draw(&mut self.rng);
                self.effect_ms.store(ms as u64, Ordering::SeqCst);
            }
            while next <= now as f64 {
                self.told.late_most = self.told.late_most.max(now - next as u64);
                next -= (1.0 - draw(&mut self.rng)).ln() * 1000.0 / rate.max(0.001);
                self.arrive();
            }
            self.look();
            std::thread::sleep(LOOK);
        }
        while !self.open.is_empty() || !self.later.is_empty() {
            self.look();
            std::thread::sleep(LOOK);
        }
        self.told
    }

    fn arrive(&mut self) {
        self.ids += 1;
        let id = format!("{:016x}", self.ids);
        let routers = self.addresses.len();
        let router = self.pick(routers);
        let total = self.load.checkouts_per_s + self.load.reads_per_s;
        if draw(&mut self.rng) * total < self.load.checkouts_per_s {
            let twice = draw(&mut self.rng) < self.load.concurrent_share;
            self.ask(router, id.clone(), &RequestKind::Checkout, (1, twice));
            if twice {
                let other = (router + 1 + self.pick(routers - 1)) % routers;
                // The second presentation is another client's, which presents it no further.
                self.ask(other, id, &RequestKind::Checkout, (MOST_TRIES, true));
            }
        } else {
            let object = 1 + self.pick(self.load.objects.max(1) as usize) as u64;
            self.ask(router, id, &RequestKind::Read { object }, (1, false));
        }
    }
}
