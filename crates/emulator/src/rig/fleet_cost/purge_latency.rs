//! How long it takes until a purge that one router alone hears is heeded by all.

use super::{Figures, RouterFleet};
use crate::standin::Client;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Each router is asked so often: the figure's grain.
const LOOK: Duration = Duration::from_millis(10);
/// A purge that is not heeded by then counts as so late.
const LATEST: Duration = Duration::from_secs(10);

impl RouterFleet {
    /// Probes: each router but the first is asked for the object until it asks a cache for a copy of after the purge.
    pub(super) fn heeded(&self, probes: usize, one: &Mutex<()>) -> Result<Figures, String> {
        let mut all: Vec<f64> = Vec::new();
        let mut whole: Vec<f64> = Vec::new();
        for _ in 0..probes {
            let begun = Instant::now();
            let object = {
                let _one = one.lock();
                Self::purge(&[&self.logs[0]], &self.purges, self.seed)
            };
            let mut times: Vec<f64> = thread::scope(|s| {
                let asked: Vec<_> = self
                    .routers
                    .iter()
                    .skip(1)
                    .map(|r| s.spawn(move || until(r.address, object, begun)))
                    .collect();
                asked.into_iter().map(|t| t.join().unwrap_or(LATEST.as_secs_f64() * 1000.0)).collect()
            });
            times.sort_by(f64::total_cmp);
            whole.extend(times.last());
            all.extend(times);
        }
        all.sort_by(f64::total_cmp);
        whole.sort_by(f64::total_cmp);
        let middle = |of: &[f64]| of.get(of.len() / 2).copied();
        let named = [
            ("heeded_ms_median", middle(&all)),
            ("heeded_by_all_ms_median", middle(&whole)),
            ("heeded_by_all_ms_most", whole.last().copied()),
        ];
        Ok(named.into_iter().filter_map(|(name, ms)| Some((name.to_string(), ms?))).collect())
    }
}

/// When a router heeds it, in milliseconds since then.
fn until(at: std::net::SocketAddr, object: u64, begun: Instant) -> f64 {
    let latest = LATEST.as_secs_f64() * 1000.0;
    let Ok(socket) = TcpStream::connect(at) else { return latest };
    let mut client = Client::new(socket);
    let mut tag = 0;
    while begun.elapsed() < LATEST {
        tag += 1;
        client.send_request(tag, "pages", object, "", b"");
        let Some(got) = client.next() else { return latest };
        if got.status == "200" && got.body != b"any" {
            return begun.elapsed().as_secs_f64() * 1000.0;
        }
        thread::sleep(LOOK);
    }
    latest
}
