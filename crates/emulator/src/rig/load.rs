//! A load generator: it sends checkouts and reads at a rate that does not depend on responses. A client that gets no response to a
//! checkout, or whose checkout is rejected, presents the same checkout again to another router.

use super::{ClientConnection, History, Outcome, RequestNumber, Rig};
use basaltgw_simulator::{draw, rng, Rng};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The time between two polls for responses.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The most attempts of one client at one checkout.
const MAX_ATTEMPTS: u32 = 4;
/// The longest time that a rejected client waits to retry, in milliseconds; if it may retry only later, it gives up.
const MAX_RETRY_AFTER_MS: u64 = 1_500;
/// The most open requests of one connection, which is the limit of the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// The most connections to one router. A request is not sent if all of them are full; it is counted in [`LoadStatistics::not_sent`].
const MAX_CONNECTIONS: usize = 16;
/// How long after its deadline a response is still waited for before the client retries, in milliseconds.
const RESPONSE_GRACE_MS: u64 = 500;
/// The random stream of the load.
const LOAD_STREAM: u64 = 9_002;
/// The first request id.
const FIRST_ID: u64 = 0xc1_u64 << 48;
/// The lowest rate of requests: a rate of 0 would have no time between requests.
const MIN_REQUESTS_PER_S: f64 = 0.001;

/// The requests of clients.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Checkouts per second.
    pub checkouts_per_s: f64,
    /// Reads per second.
    pub reads_per_s: f64,
    /// The number of objects that are read.
    pub objects: u64,
    /// How long clients wait, in milliseconds.
    #[serde(rename = "within_ms")]
    pub timeout_ms: u64,
    /// The share of checkouts that are presented to two routers at the same time.
    #[serde(rename = "twice")]
    pub concurrent_share: f64,
    /// The range of the archive's response delay to checkouts, in milliseconds; a new delay is drawn every second.
    pub effect_ms: [f64; 2],
}

/// What the load generator counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadStatistics {
    /// Checkouts presented again because there was no response.
    pub resent_without_response: u64,
    /// Checkouts presented again because they were rejected.
    pub resent_after_rejection: u64,
    /// Requests that were not sent because all connections were full.
    pub not_sent: u64,
    /// The longest time by which a request was sent later than planned, in milliseconds: a delay of the machine, not of the routers.
    pub max_delay_ms: u64,
}

/// A connection with its open requests.
struct Connection {
    client: ClientConnection,
    open: Vec<RequestNumber>,
}

/// A request whose client still waits for its end.
struct OpenRequest {
    number: RequestNumber,
    router: usize,
    due_ms: u64,
    /// The attempt at a checkout, which may be repeated; `None` for a read, which is not.
    attempt: Option<Attempt>,
}

/// An attempt at a checkout.
struct Attempt {
    id: String,
    /// 1 for the first attempt.
    number: u32,
    /// Whether the checkout is presented to another router at the same time.
    concurrent: bool,
}

/// A further attempt at a checkout, to be made at a later time.
struct Retry {
    at_ms: u64,
    router: usize,
    attempt: Attempt,
}

/// All clients of one run.
pub struct LoadGenerator {
    load: Load,
    addresses: Vec<SocketAddr>,
    history: History,
    checkout_delay_ms: Arc<AtomicU64>,
    /// The connections to each router.
    connections: Vec<Vec<Connection>>,
    open: Vec<OpenRequest>,
    retries: Vec<Retry>,
    rng: Rng,
    last_id: u64,
    statistics: LoadStatistics,
}

impl LoadGenerator {
    /// Creates a load generator for all routers of a rig.
    pub fn new(rig: &Rig, load: &Load) -> Self {
        Self {
            load: load.clone(),
            addresses: rig.routers.iter().map(|r| r.client_relay.address).collect(),
            history: rig.history.clone(),
            checkout_delay_ms: Arc::clone(&rig.archive.checkout_delay_ms),
            connections: rig.routers.iter().map(|_| Vec::new()).collect(),
            open: Vec::new(),
            retries: Vec::new(),
            rng: rng(rig.spec.seed, LOAD_STREAM),
            last_id: FIRST_ID,
            statistics: LoadStatistics::default(),
        }
    }

    /// Sends requests until `stop` is set, and then waits until none is open; returns the statistics.
    pub fn run(mut self, stop: &AtomicBool) -> LoadStatistics {
        let requests_per_s = self.load.checkouts_per_s + self.load.reads_per_s;
        let start_ms = self.history.now_ms();
        let (mut next_ms, mut next_second) = (0.0, 0);
        while !stop.load(Ordering::SeqCst) {
            let now_ms = self.history.now_ms() - start_ms;
            if now_ms / 1000 >= next_second {
                next_second += 1;
                self.draw_checkout_delay();
            }
            while next_ms <= now_ms as f64 {
                let delay_ms = now_ms - next_ms as u64;
                self.statistics.max_delay_ms = self.statistics.max_delay_ms.max(delay_ms);
                // Requests are a Poisson process: the times between them are distributed exponentially.
                next_ms -= (1.0 - draw(&mut self.rng)).ln() * 1000.0 / requests_per_s.max(MIN_REQUESTS_PER_S);
                self.send_new_request();
            }
            self.poll();
            std::thread::sleep(POLL_INTERVAL);
        }
        while !self.open.is_empty() || !self.retries.is_empty() {
            self.poll();
            std::thread::sleep(POLL_INTERVAL);
        }
        self.statistics
    }

    fn draw_checkout_delay(&mut self) {
        let [min, max] = self.load.effect_ms;
        let duration_ms = min + (max - min).max(0.0) * draw(&mut self.rng);
        self.checkout_delay_ms.store(duration_ms as u64, Ordering::SeqCst);
    }

    fn send_new_request(&mut self) {
        self.last_id += 1;
        let id = format!("{:016x}", self.last_id);
        let routers = self.addresses.len();
        let router = self.draw_index(routers);
        let requests_per_s = self.load.checkouts_per_s + self.load.reads_per_s;
        if draw(&mut self.rng) * requests_per_s < self.load.checkouts_per_s {
            let concurrent = draw(&mut self.rng) < self.load.concurrent_share;
            self.send_checkout(router, Attempt { id: id.clone(), number: 1, concurrent });
            if concurrent {
                let other = (router + 1 + self.draw_index(routers - 1)) % routers;
                // This attempt is another client's. It counts as the last one, so that it is not repeated.
                self.send_checkout(other, Attempt { id, number: MAX_ATTEMPTS, concurrent });
            }
        } else {
            let object = 1 + self.draw_index(self.load.objects.max(1) as usize) as u64;
            self.send_read(router, &id, object);
        }
    }

    /// A random index below `count`.
    fn draw_index(&mut self, count: usize) -> usize {
        ((draw(&mut self.rng) * count as f64) as usize).min(count.saturating_sub(1))
    }

    fn send_checkout(&mut self, router: usize, attempt: Attempt) {
        let timeout_ms = self.load.timeout_ms;
        let Some(connection) = self.connection(router) else {
            self.statistics.not_sent += 1;
            return;
        };
        let number = if attempt.concurrent {
            connection.client.checkout_concurrently(&attempt.id, timeout_ms)
        } else {
            connection.client.checkout(&attempt.id, timeout_ms)
        };
        connection.open.push(number);
        self.add_open_request(number, router, Some(attempt));
    }

    fn send_read(&mut self, router: usize, id: &str, object: u64) {
        let timeout_ms = self.load.timeout_ms;
        let Some(connection) = self.connection(router) else {
            self.statistics.not_sent += 1;
            return;
        };
        let number = connection.client.read(id, object, timeout_ms);
        connection.open.push(number);
        self.add_open_request(number, router, None);
    }

    fn add_open_request(&mut self, number: RequestNumber, router: usize, attempt: Option<Attempt>) {
        let due_ms = self.history.now_ms() + self.load.timeout_ms + RESPONSE_GRACE_MS;
        self.open.push(OpenRequest { number, router, due_ms, attempt });
    }

    /// A connection to the router that is not full; `None` if there is none and no other can be opened.
    fn connection(&mut self, router: usize) -> Option<&mut Connection> {
        let history = &self.history;
        let connections = &mut self.connections[router];
        connections.retain_mut(|connection| {
            connection.open.retain(|request| history.wait_for_outcome(*request, Duration::ZERO).is_none());
            !connection.client.is_closed()
        });
        let index = match connections.iter().position(|c| c.open.len() < MAX_OPEN_REQUESTS) {
            Some(index) => index,
            None if connections.len() == MAX_CONNECTIONS => return None,
            None => {
                let client = ClientConnection::connect(router, self.addresses[router], history).ok()?;
                connections.push(Connection { client, open: Vec::new() });
                connections.len() - 1
            }
        };
        connections.get_mut(index)
    }

    /// Removes requests that have ended, and makes the retries that are due.
    fn poll(&mut self) {
        let now_ms = self.history.now_ms();
        let routers = self.addresses.len();
        let (history, statistics, retries) = (&self.history, &mut self.statistics, &mut self.retries);
        self.open.retain_mut(|request| {
            let outcome = history.wait_for_outcome(request.number, Duration::ZERO);
            let retry_after_ms = match &outcome {
                None if now_ms < request.due_ms => return true,
                Some(Some(Outcome::Served(_) | Outcome::Failed(_))) => return false,
                Some(Some(Outcome::Rejected { retry_after_ms })) => retry_after_ms.unwrap_or(0),
                None | Some(None) => 0,
            };
            let may_retry = |a: &mut Attempt| a.number < MAX_ATTEMPTS && retry_after_ms <= MAX_RETRY_AFTER_MS;
            if let Some(attempt) = request.attempt.take_if(may_retry) {
                match outcome {
                    Some(Some(_)) => statistics.resent_after_rejection += 1,
                    None | Some(None) => statistics.resent_without_response += 1,
                }
                retries.push(Retry {
                    at_ms: now_ms + retry_after_ms,
                    router: (request.router + 1) % routers,
                    attempt: Attempt { number: attempt.number + 1, concurrent: false, ..attempt },
                });
            }
            false
        });
        let due: Vec<Retry> = self.retries.extract_if(.., |retry| retry.at_ms <= now_ms).collect();
        for retry in due {
            self.send_checkout(retry.router, retry.attempt);
        }
    }
}
