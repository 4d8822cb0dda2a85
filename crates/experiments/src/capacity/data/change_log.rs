//! Traffic of the change log: lengths of its frames, and the total with one watcher per router.

use super::{Expected, Sizes};
use crate::capacity::row::{Kind, Row};
use basaltgw_emulator::standin::frame_kind::{
    COMPLETE_LIST, HEARTBEAT, LIST_UPDATE, PURGE_GROUP, PURGE_OBJECT,
};
use basaltgw_emulator::standin::{frame, record, EndpointState, EDGE_KIND};
use std::net::SocketAddr;

/// Bytes of a purge of an object, without its frame.
const PURGE_OBJECT_BYTES: usize = 16;
/// Bytes of a purge of a group, without its frame.
const PURGE_GROUP_BYTES: usize = 10;
/// The maximum overhead of an event beside its frame, if it is sent alone: IPv4 and TCP headers with time stamps, of the segment and of its
/// acknowledgement.
const HEADER_BYTES: f64 = 2.0 * 52.0;
/// Empty frames per second. A watcher considers a log lost that sends none for 1.25 s.
const HEARTBEATS_PER_S: f64 = 2.0;
/// Events of a machine that restarts: it drains, is removed, is up.
const EVENTS_PER_RESTART: f64 = 3.0;
/// Sizes of smaller fleets, for comparison with the expected one and one of twice its size.
const SMALLER_FLEETS: [usize; 3] = [300, 1_000, 2_000];
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Returns the bytes of a frame with this payload.
fn frame_bytes(kind: u8, payload: &[u8]) -> f64 {
    frame(1, kind, payload).len() as f64
}

/// Returns the bytes of a frame that lists servers.
fn list_bytes(kind: u8, servers: usize) -> f64 {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let records: Vec<u8> =
        (0..servers as u32).flat_map(|n| record(n, address, EndpointState::Up, EDGE_KIND)).collect();
    frame_bytes(kind, &records)
}

/// Returns the rows of all frames and streams.
pub fn rows(expected: &Expected, sizes: &Sizes) -> Vec<Row> {
    let heartbeat = frame_bytes(HEARTBEAT, &[]);
    let purge = frame_bytes(PURGE_OBJECT, &[0; PURGE_OBJECT_BYTES]);
    let group_purge = frame_bytes(PURGE_GROUP, &[0; PURGE_GROUP_BYTES]);
    let one_event = ("events", 1.0);
    let mut rows = vec![
        Row::new(one_event, ("frame_empty", heartbeat, "bytes"), Kind::Measured),
        Row::new(one_event, ("frame_purge_object", purge, "bytes"), Kind::Measured),
        Row::new(one_event, ("frame_purge_group", group_purge, "bytes"), Kind::Measured),
        Row::new(one_event, ("frame_change", list_bytes(LIST_UPDATE, 1), "bytes"), Kind::Measured),
    ];
    for n in &sizes.servers {
        let point = ("servers listed", *n as f64);
        rows.push(Row::new(point, ("frame_list", list_bytes(COMPLETE_LIST, *n), "bytes"), Kind::Measured));
    }
    let heartbeats_per_s = HEARTBEATS_PER_S * (heartbeat + HEADER_BYTES);
    let purges_per_s = expected.purges_per_s * (purge + HEADER_BYTES);
    let events_per_s = expected.restarts_per_day * EVENTS_PER_RESTART / SECONDS_PER_DAY;
    let changes_per_s = events_per_s * (list_bytes(LIST_UPDATE, 1) + HEADER_BYTES);
    let servers = expected.caches + expected.caches.div_ceil(expected.caches_per_parent) + 1;
    for routers in SMALLER_FLEETS.into_iter().chain([expected.routers, 2 * expected.routers]) {
        let n = routers as f64;
        let row = |name, bytes, unit| Row::new(("routers", n), (name, bytes, unit), Kind::Computed);
        rows.extend([
            row("log_purges_sent", n * expected.purges_per_s * purge, "bytes/s"),
            row("log_purges_on_wire", n * purges_per_s, "bytes/s"),
            row("log_changes_on_wire", n * changes_per_s, "bytes/s"),
            row("log_beats_on_wire", n * heartbeats_per_s, "bytes/s"),
            row("log_lists_anew", n * list_bytes(COMPLETE_LIST, servers), "bytes"),
        ]);
    }
    let point = ("purges a second", expected.purges_per_s);
    let watcher = purges_per_s + changes_per_s + heartbeats_per_s;
    rows.push(Row::new(point, ("watcher_on_wire", watcher, "bytes/s"), Kind::Computed));
    rows
}
