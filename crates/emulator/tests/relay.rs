//! The faults of relays, one at a time, in front of an echo server.

use basaltgw_emulator::rig::{ChunkFault, Link, LinkConditions, LinkStatistics, Relay, RelayThread};
use basaltgw_emulator::standin::{wait_until, WAIT_LIMIT};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Bytes that do not arrive within this time are held back. Bytes that have to arrive have [`WAIT_LIMIT`].
const SILENCE: Duration = Duration::from_millis(150);

/// Starts a server that sends everything back.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("the bound address");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut writer = socket.try_clone().expect("clone the socket");
                let _ = std::io::copy(&mut socket, &mut writer);
            });
        }
    });
    address
}

/// A relay in front of an echo server, and a connection through it.
struct EchoThroughRelay {
    relay: Relay,
    socket: TcpStream,
    _relays: RelayThread,
}

fn connect_through_relay() -> EchoThroughRelay {
    let relays = RelayThread::start().expect("start the relay thread");
    let target = Some(start_echo_server());
    let relay = relays.start_relay(Link::new(7, 1), Link::new(7, 2), target).expect("start a relay");
    let socket = TcpStream::connect(relay.address).expect("connect to the relay");
    socket.set_nodelay(true).expect("set TCP_NODELAY");
    EchoThroughRelay { relay, socket, _relays: relays }
}

impl EchoThroughRelay {
    fn reconnect(&mut self) {
        self.socket = TcpStream::connect(self.relay.address).expect("connect to the relay");
    }

    fn send(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).expect("write to the relay");
    }

    fn assert_receives(&mut self, text: &str) {
        self.socket.set_read_timeout(Some(WAIT_LIMIT)).expect("set a read time-out");
        let mut received = vec![0; text.len()];
        self.socket.read_exact(&mut received).expect("read from the relay");
        assert_eq!(String::from_utf8_lossy(&received), text);
    }

    fn assert_silent(&mut self) {
        self.socket.set_read_timeout(Some(SILENCE)).expect("set a read time-out");
        let received = self.socket.read(&mut [0; 64]);
        assert!(received.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)));
    }

    /// The statistics of the direction to the echo server.
    fn statistics_to_target(&self) -> LinkStatistics {
        self.relay.to_target.statistics()
    }
}

#[test]
fn cut_direction_delivers_its_bytes_after_it_heals_and_the_other_direction_is_unaffected() {
    let mut echo = connect_through_relay();
    echo.send("one");
    echo.assert_receives("one");
    echo.relay.to_target.set_cut(true);
    echo.send("two");
    echo.assert_silent();
    echo.relay.to_target.set_cut(false);
    echo.assert_receives("two");
    echo.relay.from_target.set_cut(true);
    echo.send("three");
    wait_until("the bytes are delivered to the target", || echo.statistics_to_target().delivered_bytes == 11);
    echo.assert_silent();
    echo.relay.from_target.set_cut(false);
    echo.assert_receives("three");
    // A connection opened through a cut is silent, and is established once the cut heals.
    echo.relay.to_target.set_cut(true);
    echo.reconnect();
    echo.send("four");
    echo.assert_silent();
    echo.relay.to_target.set_cut(false);
    echo.assert_receives("four");
    assert!(echo.statistics_to_target().delayed_by_cut > 0);
}

#[test]
fn black_hole_discards_bytes_and_chunk_faults_apply_once() {
    let mut echo = connect_through_relay();
    echo.send("come up");
    echo.assert_receives("come up");
    echo.relay.to_target.configure(|conditions| conditions.black_hole = true);
    echo.send("gone");
    wait_until("the bytes are dropped", || echo.statistics_to_target().dropped_bytes == 4);
    echo.relay.to_target.configure(|conditions| conditions.black_hole = false);
    echo.relay.to_target.inject(ChunkFault::Duplicate);
    echo.send("ab");
    echo.assert_receives("abab");
    echo.relay.to_target.inject(ChunkFault::Corrupt);
    echo.send("x");
    echo.assert_receives("h");
    echo.send("x");
    echo.assert_receives("x");
    let statistics = echo.statistics_to_target();
    assert_eq!((statistics.duplicated_chunks, statistics.corrupted_chunks), (1, 1));
}

#[test]
fn slow_link_delays_chunks_and_throttled_link_delivers_byte_by_byte() {
    let mut echo = connect_through_relay();
    echo.relay.to_target.configure(|conditions| conditions.delay_ms = (40.0, 60.0));
    let start = Instant::now();
    echo.send("late");
    echo.assert_receives("late");
    assert!(start.elapsed() >= Duration::from_millis(40));
    echo.relay.to_target.configure(|conditions| *conditions = LinkConditions::default());
    echo.relay.from_target.configure(|conditions| conditions.bytes_per_tick = Some(1));
    let start = Instant::now();
    echo.send("drop by drop");
    echo.assert_receives("drop by drop");
    assert!(start.elapsed() >= Duration::from_millis(10 * 11));
}

#[test]
fn reset_ends_open_connections_and_new_ones_reach_the_current_target() {
    let mut echo = connect_through_relay();
    echo.send("one");
    echo.assert_receives("one");
    echo.relay.from_target.reset_connections();
    echo.socket.set_read_timeout(Some(WAIT_LIMIT)).expect("set a read time-out");
    let end = echo.socket.read(&mut [0; 8]);
    assert!(end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    echo.relay.set_target(None);
    let mut without_target = TcpStream::connect(echo.relay.address).expect("connect to the relay");
    without_target.set_read_timeout(Some(WAIT_LIMIT)).expect("set a read time-out");
    assert!(without_target.read(&mut [0; 8]).is_err(), "not reset without a target");
    echo.relay.set_target(Some(start_echo_server()));
    echo.reconnect();
    echo.send("two");
    echo.assert_receives("two");
}
