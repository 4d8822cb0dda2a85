//! The kernel's table of TCP sockets, which shows what has arrived at a stopped process.

/// The states of a socket in the table: established, and closed by the peer.
const ESTABLISHED: &str = "01";
const CLOSE_WAIT: &str = "08";

/// The bytes in the queues of a socket.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct QueuedBytes {
    /// Sent, and not yet acknowledged by the peer's kernel.
    pub(super) unacknowledged: u64,
    /// Received, and not yet read by the process.
    pub(super) unread: u64,
}

/// An open socket, as listed in the kernel's table.
pub(super) struct SocketRow {
    pub(super) peer_closed: bool,
    pub(super) queued: QueuedBytes,
}

/// The open sockets with this local port and this port of the peer, as far as they are given.
pub(super) fn open_sockets(own: Option<u16>, peer: Option<u16>) -> Vec<SocketRow> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of sockets");
    let port = |address: &str| {
        u16::from_str_radix(address.rsplit(':').next().expect("a port"), 16).expect("a hexadecimal number")
    };
    // On a busy machine the table has ten thousand rows, most of them of closed connections: only the matching ones are parsed.
    let has_ports = |row: &&str| own.into_iter().chain(peer).all(|p| row.contains(&format!(":{p:04X} ")));
    let parse_row = |row: &str| {
        let columns: Vec<&str> = row.split_whitespace().collect();
        let (local, remote, open) =
            (port(columns[1]), port(columns[2]), [ESTABLISHED, CLOSE_WAIT].contains(&columns[3]));
        let matches = open && own.is_none_or(|p| p == local) && peer.is_none_or(|p| p == remote);
        let bytes = |hex| u64::from_str_radix(hex, 16).expect("a hexadecimal number");
        let (unacknowledged, unread) = columns[4].split_once(':').expect("the sizes of two queues");
        matches.then(|| SocketRow {
            peer_closed: columns[3] == CLOSE_WAIT,
            queued: QueuedBytes { unacknowledged: bytes(unacknowledged), unread: bytes(unread) },
        })
    };
    table.lines().skip(1).filter(has_ports).filter_map(parse_row).collect()
}

/// The queued bytes of these sockets.
pub(super) fn queued_bytes(own: Option<u16>, peer: Option<u16>) -> Vec<QueuedBytes> {
    open_sockets(own, peer).iter().map(|row| row.queued).collect()
}

/// The unread bytes of these sockets.
pub(super) fn unread_bytes(own: Option<u16>, peer: Option<u16>) -> Vec<u64> {
    queued_bytes(own, peer).into_iter().map(|bytes| bytes.unread).collect()
}
