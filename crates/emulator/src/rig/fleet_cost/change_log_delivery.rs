//! Measures how the stand-in's change log delivers purges: how far apart in time its watchers receive the same purge, and how many purges a
//! watcher receives at once. The change log of the fleet simulation is modelled after these figures.

use super::{announce_purge, Figures};
use crate::net::frame_kind::PURGE_OBJECT;
use crate::standin::ChangeLog;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that a watcher waits for bytes before it checks its deadline.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the last purges are waited for after the window.
const LAST_PURGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Purges received within this time count as one delivery.
const SAME_DELIVERY: Duration = Duration::from_millis(1);
/// The size of a frame's length field in bytes. The length does not include the field itself.
const LENGTH_BYTES: usize = 4;
/// The size of a frame's header in bytes: length, sequence number and kind.
const HEADER_BYTES: usize = 13;

/// When a watcher received each purge, by sequence number.
pub(super) type Receipts = BTreeMap<u64, Instant>;

/// Measures the delivery of purges at a rate to a number of watchers.
///
/// # Errors
/// If a watcher can't connect, or does not receive all purges.
pub fn measure_change_log_delivery(
    watchers: usize,
    purges_per_s: f64,
    window: Duration,
) -> Result<Figures, String> {
    let (log, announced) = (ChangeLog::start(), AtomicU64::new(0));
    let purges = (purges_per_s * window.as_secs_f64()).max(1.0) as u64;
    let mut threads = Vec::new();
    for _ in 0..watchers {
        let socket = subscribe(&log).map_err(|e| format!("subscribing to the change log: {e}"))?;
        let deadline = Instant::now() + window + LAST_PURGE_TIMEOUT;
        threads.push(thread::spawn(move || watch(socket, purges, deadline)));
    }
    let start = Instant::now();
    for n in 0..purges {
        let due = start + Duration::from_secs_f64(n as f64 / purges_per_s);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        announce_purge(&[&log], &announced, 1);
    }
    let receipts: Vec<Receipts> = threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    log.down.store(true, Ordering::SeqCst);
    delivery_figures(&receipts, purges as usize)
        .ok_or_else(|| format!("not all of {watchers} watchers received all of {purges} purges"))
}

fn subscribe(log: &ChangeLog) -> std::io::Result<TcpStream> {
    let mut socket = TcpStream::connect(log.address)?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    let from_the_beginning = 0u64;
    socket.write_all(&from_the_beginning.to_be_bytes())?;
    Ok(socket)
}

/// Reads until all purges are received, the deadline has passed, or the change log has closed the connection.
fn watch(mut socket: TcpStream, purges: u64, deadline: Instant) -> Receipts {
    let (mut receipts, mut unread, mut buffer) = (Receipts::new(), Vec::new(), [0; 4_096]);
    while (receipts.len() as u64) < purges && Instant::now() < deadline {
        match socket.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => unread.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        }
        let now = Instant::now();
        while let Some(frame) = take_frame(&mut unread) {
            if let Some((sequence_number, PURGE_OBJECT)) = parse_header(&frame) {
                receipts.entry(sequence_number).or_insert(now);
            }
        }
    }
    receipts
}

/// Removes the first frame, if it is complete, from the bytes.
fn take_frame(bytes: &mut Vec<u8>) -> Option<Vec<u8>> {
    let length = u32::from_be_bytes(bytes.first_chunk().copied()?) as usize;
    (bytes.len() >= LENGTH_BYTES + length).then(|| bytes.drain(..LENGTH_BYTES + length).collect())
}

/// A frame's sequence number and kind.
fn parse_header(frame: &[u8]) -> Option<(u64, u8)> {
    let header = frame.get(LENGTH_BYTES..HEADER_BYTES)?;
    Some((u64::from_be_bytes(header.first_chunk().copied()?), *header.last()?))
}

/// The figures of the delivery; `None` if a watcher did not receive all purges, or there is no watcher.
pub(super) fn delivery_figures(receipts: &[Receipts], purges: usize) -> Option<Figures> {
    // The time between the first and the last receipt of each purge.
    let mut spreads_ms: Vec<f64> = Vec::new();
    for sequence_number in receipts.first()?.keys() {
        let times: Vec<Instant> = receipts.iter().filter_map(|r| r.get(sequence_number).copied()).collect();
        let (first, last) = (times.iter().min()?, times.iter().max()?);
        spreads_ms.push((*last - *first).as_secs_f64() * 1_000.0);
    }
    if receipts.iter().any(|r| r.len() < purges) {
        return None;
    }
    spreads_ms.sort_by(f64::total_cmp);
    let deliveries: usize = receipts.iter().map(count_deliveries).sum();
    let figures = [
        ("watchers", receipts.len() as f64),
        ("apart_ms_median", spreads_ms.get(spreads_ms.len() / 2).copied()?),
        ("apart_ms_most", spreads_ms.last().copied()?),
        ("heard_at_once", (purges * receipts.len()) as f64 / deliveries as f64),
    ];
    Some(figures.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
}

/// The number of deliveries to a watcher: purges that it received at the same time are one delivery.
fn count_deliveries(receipts: &Receipts) -> usize {
    let times: Vec<Instant> = receipts.values().copied().collect();
    1 + times.windows(2).filter(|pair| pair[1] - pair[0] > SAME_DELIVERY).count()
}
