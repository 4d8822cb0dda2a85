//! What the change log sends: lengths of its frames, and what they come to with a watcher for each router.

use super::{Expected, Sizes};
use crate::capacity::row::{Kind, Row};
use basaltgw_emulator::standin::{frame, record};
use std::net::SocketAddr;

/// Kinds of frames.
const BEAT: u8 = 0;
const WHOLE: u8 = 1;
const CHANGE: u8 = 2;
const PURGE_OBJECT: u8 = 3;
const PURGE_GROUP: u8 = 4;
/// What each event costs at most beside its frame, where it goes alone: IPv4 and TCP with time stamps, there and its acknowledgement back.
const HEADERS: f64 = 2.0 * 52.0;
/// Empty frames in a second; a watcher doubts a log that gives none for 1.25 s.
const BEATS_PER_S: f64 = 2.0;
/// Events for a machine that is restarted: it drains, is gone, is up.
const EVENTS_OF_A_RESTART: f64 = 3.0;
const SECONDS_OF_A_DAY: f64 = 86_400.0;

/// The frame with a list of so many servers.
fn list(kind: u8, servers: usize) -> f64 {
    let at = SocketAddr::from(([127, 0, 0, 1], 80));
    let records: Vec<u8> = (0..servers as u32).flat_map(|n| record(n, at, 0, 0)).collect();
    frame(1, kind, &records).len() as f64
}

/// All frames and streams.
pub fn rows(expected: &Expected, sizes: &Sizes) -> Vec<Row> {
    let purge = frame(1, PURGE_OBJECT, &[0; 16]).len() as f64;
    let one = ("events", 1.0);
    let mut rows = vec![
        Row::new(one, ("frame_empty", frame(1, BEAT, &[]).len() as f64, "bytes"), Kind::Measured),
        Row::new(one, ("frame_purge_object", purge, "bytes"), Kind::Measured),
        Row::new(
            one,
            ("frame_purge_group", frame(1, PURGE_GROUP, &[0; 10]).len() as f64, "bytes"),
            Kind::Measured,
        ),
        Row::new(one, ("frame_change", list(CHANGE, 1), "bytes"), Kind::Measured),
    ];
    for n in &sizes.servers {
        let at = ("servers listed", *n as f64);
        rows.push(Row::new(at, ("frame_list", list(WHOLE, *n), "bytes"), Kind::Measured));
    }
    let beats = BEATS_PER_S * (frame(1, BEAT, &[]).len() as f64 + HEADERS);
    let purges = expected.purges_per_s * (purge + HEADERS);
    let events = expected.restarts_per_day * EVENTS_OF_A_RESTART / SECONDS_OF_A_DAY;
    let changes = events * (list(CHANGE, 1) + HEADERS);
    let listed = expected.caches + expected.caches.div_ceil(expected.caches_per_parent) + 1;
    for routers in [300, 1_000, 2_000, expected.routers, 2 * expected.routers] {
        let (at, n) = (("routers", routers as f64), routers as f64);
        rows.extend([
            Row::new(at, ("log_purges_sent", n * expected.purges_per_s * purge, "bytes/s"), Kind::Reckoned),
            Row::new(at, ("log_purges_on_wire", n * purges, "bytes/s"), Kind::Reckoned),
            Row::new(at, ("log_changes_on_wire", n * changes, "bytes/s"), Kind::Reckoned),
            Row::new(at, ("log_beats_on_wire", n * beats, "bytes/s"), Kind::Reckoned),
            Row::new(at, ("log_lists_anew", n * list(WHOLE, listed), "bytes"), Kind::Reckoned),
        ]);
    }
    let at = ("purges a second", expected.purges_per_s);
    rows.push(Row::new(at, ("watcher_on_wire", purges + changes + beats, "bytes/s"), Kind::Reckoned));
    rows
}
