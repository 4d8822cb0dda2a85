//! How far apart watchers of the stand-in's change log hear the same purge, and how many they hear at once: what hollow routers' log goes by.

use super::{Figures, RouterFleet};
use crate::standin::ChangeLog;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A watcher looks up from reading this often.
const LOOK: Duration = Duration::from_millis(200);
/// The last purge is waited for so long.
const LATEST: Duration = Duration::from_secs(5);
/// Frames heard within this are heard at once.
const AT_ONCE: Duration = Duration::from_millis(1);
/// Bytes of a frame before its payload: length, number, kind. A purge's kind.
const HEAD: usize = 13;
const PURGE: u8 = 3;

/// When a watcher heard each purge, by the purge's number.
pub(super) type Heard = BTreeMap<u64, Instant>;

/// So many watchers of one change log, with purges at that rate for so long.
///
/// # Errors
/// If a watcher can't connect, or did not hear all.
pub fn measure_change_log_delivery(watchers: usize, rate: f64, window: Duration) -> Result<Figures, String> {
    let (log, told) = (ChangeLog::start(), AtomicU64::new(0));
    let purges = (rate * window.as_secs_f64()).max(1.0) as u64;
    let mut threads = Vec::new();
    for _ in 0..watchers {
        let mut socket = TcpStream::connect(log.address).map_err(|e| format!("the change log: {e}"))?;
        socket.set_read_timeout(Some(LOOK)).map_err(|e| format!("the change log: {e}"))?;
        socket.write_all(&0u64.to_be_bytes()).map_err(|e| format!("the change log: {e}"))?;
        threads.push(thread::spawn(move || watch(socket, purges, Instant::now() + window + LATEST)));
    }
    let begun = Instant::now();
    for n in 0..purges {
        let due = begun + Duration::from_secs_f64(n as f64 / rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        RouterFleet::purge(&[&log], &told, 1);
    }
    let all: Vec<Heard> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
    log.down.store(true, Ordering::SeqCst);
    figures(&all, purges as usize).ok_or_else(|| "a watcher did not hear all purges".to_string())
}

fn watch(mut socket: TcpStream, purges: u64, latest: Instant) -> Heard {
    let (mut heard, mut bytes, mut piece) = (Heard::new(), Vec::new(), [0; 4_096]);
    while (heard.len() as u64) < purges && Instant::now() < latest {
        match socket.read(&mut piece) {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        }
        let now = Instant::now();
        while let Some(frame) = whole(&mut bytes) {
            if let Some((number, PURGE)) = head(&frame) {
                heard.entry(number).or_insert(now);
            }
        }
    }
    heard
}

/// Takes a whole frame from the front.
fn whole(bytes: &mut Vec<u8>) -> Option<Vec<u8>> {
    let length = u32::from_be_bytes(bytes.first_chunk().copied()?) as usize;
    (bytes.len() >= 4 + length).then(|| bytes.drain(..4 + length).collect())
}

/// A frame's number and kind.
fn head(frame: &[u8]) -> Option<(u64, u8)> {
    let head = frame.get(4..HEAD)?;
    Some((u64::from_be_bytes(head.first_chunk().copied()?), *head.last()?))
}

pub(super) fn figures(all: &[Heard], purges: usize) -> Option<Figures> {
    let mut apart: Vec<f64> = Vec::new();
    for number in all.first()?.keys() {
        let times: Vec<Instant> = all.iter().filter_map(|h| h.get(number).copied()).collect();
        let (first, last) = (times.iter().min()?, times.iter().max()?);
        apart.push((*last - *first).as_secs_f64() * 1_000.0);
    }
    if all.iter().any(|h| h.len() < purges) {
        return None;
    }
    apart.sort_by(f64::total_cmp);
    // Times of a watcher, each piece of news once.
    let news = |h: &Heard| {
        let times: Vec<Instant> = h.values().copied().collect();
        1 + times.windows(2).filter(|w| w[1] - w[0] > AT_ONCE).count()
    };
    let many: usize = all.iter().map(news).sum();
    let named = [
        ("watchers", all.len() as f64),
        ("apart_ms_median", apart.get(apart.len() / 2).copied()?),
        ("apart_ms_most", apart.last().copied()?),
        ("heard_at_once", (purges * all.len()) as f64 / many as f64),
    ];
    Some(named.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
}
