//! Measures how long it takes until a purge that only the first router receives is in effect at all routers.

use super::{Figures, RouterFleet};
use crate::standin::Client;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two reads through a router, which is the resolution of the figures.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A purge that is not in effect by then counts as this late.
const TIMEOUT: Duration = Duration::from_secs(10);

impl RouterFleet {
    /// Purges an object at the first router, and reads the object through all others until each of them requires a copy made after the
    /// purge from its cache; repeats this `probes` times.
    pub(super) fn measure_purge_latency(&self, probes: usize) -> Figures {
        let mut latencies_ms: Vec<f64> = Vec::new();
        let mut completions_ms: Vec<f64> = Vec::new();
        for _ in 0..probes {
            let latencies = self.probe_purge_latency();
            completions_ms.extend(latencies.iter().copied().max_by(f64::total_cmp));
            latencies_ms.extend(latencies);
        }
        latencies_ms.sort_by(f64::total_cmp);
        completions_ms.sort_by(f64::total_cmp);
        let median = |sorted: &[f64]| sorted.get(sorted.len() / 2).copied();
        let figures = [
            ("heeded_ms_median", median(&latencies_ms)),
            ("heeded_by_all_ms_median", median(&completions_ms)),
            ("heeded_by_all_ms_most", completions_ms.last().copied()),
        ];
        figures.into_iter().filter_map(|(name, ms)| Some((name.to_string(), ms?))).collect()
    }

    /// The latency of one purge at each router but the first, in milliseconds.
    fn probe_purge_latency(&self) -> Vec<f64> {
        let start = Instant::now();
        let object = self.purge_source.purge_at_first_router();
        thread::scope(|scope| {
            let wait = |address| scope.spawn(move || wait_for_purge(address, object, start));
            let threads: Vec<_> = self.routers.iter().skip(1).map(|router| wait(router.address)).collect();
            threads.into_iter().map(|thread| thread.join().unwrap_or(timeout_ms())).collect()
        })
    }
}

fn timeout_ms() -> f64 {
    TIMEOUT.as_secs_f64() * 1000.0
}

/// Reads the object until the purge is in effect at the router; returns the time since `start` in milliseconds.
fn wait_for_purge(address: SocketAddr, object: u64, start: Instant) -> f64 {
    let Ok(socket) = TcpStream::connect(address) else { return timeout_ms() };
    let mut client = Client::new(socket);
    let mut tag = 0;
    while start.elapsed() < TIMEOUT {
        tag += 1;
        client.send_request(tag, "pages", object, "", b"");
        let Some(response) = client.next() else { return timeout_ms() };
        // The body is the age limit of the fetch, which only a purge sets.
        if response.status == "200" && response.body != b"any" {
            return start.elapsed().as_secs_f64() * 1000.0;
        }
        thread::sleep(POLL_INTERVAL);
    }
    timeout_ms()
}
