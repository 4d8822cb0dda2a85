//! What relays do to bytes, one fault at a time, before a stand-in that sends everything back.

use basaltgw_emulator::rig::{ChunkFault, Link, LinkStatistics, Relay, RelayThread};
use basaltgw_emulator::standin::{wait_until, WAIT_LIMIT};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Long enough that what does not come within it was held back; what has to come has [`WAIT_LIMIT`].
const QUIET: Duration = Duration::from_millis(150);

fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut back = socket.try_clone().expect("a socket");
                let _ = std::io::copy(&mut socket, &mut back);
            });
        }
    });
    at
}

struct Line {
    relay: Relay,
    socket: TcpStream,
    _relays: RelayThread,
}

fn line() -> Line {
    let relays = RelayThread::start().expect("a thread");
    let relay = relays.start_relay(Link::new(7, 1), Link::new(7, 2), Some(echo())).expect("a relay");
    let socket = TcpStream::connect(relay.address).expect("a connection");
    socket.set_nodelay(true).expect("an option");
    Line { relay, socket, _relays: relays }
}

impl Line {
    fn say(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).expect("written");
    }

    fn hears(&mut self, text: &str) {
        self.socket.set_read_timeout(Some(WAIT_LIMIT)).expect("a time-out");
        let mut got = vec![0; text.len()];
        self.socket.read_exact(&mut got).expect("bytes");
        assert_eq!(String::from_utf8_lossy(&got), text);
    }

    fn silent(&mut self) {
        self.socket.set_read_timeout(Some(QUIET)).expect("a time-out");
        let got = self.socket.read(&mut [0; 64]);
        assert!(got.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)));
    }

    fn forth(&self) -> LinkStatistics {
        self.relay.to_target.statistics()
    }
}

#[test]
fn a_cut_way_holds_what_was_sent_until_it_heals_and_the_other_way_goes_on() {
    let mut line = line();
    line.say("one");
    line.hears("one");
    line.relay.to_target.set_cut(true);
    line.say("two");
    line.silent();
    line.relay.to_target.set_cut(false);
    line.hears("two");
    line.relay.from_target.set_cut(true);
    line.say("three");
    wait_until("it arrives", || line.forth().delivered_bytes == 11);
    line.silent();
    line.relay.from_target.set_cut(false);
    line.hears("three");
    // A connection that is opened through a cut stays silent, and comes up once that heals.
    line.relay.to_target.set_cut(true);
    line.socket = TcpStream::connect(line.relay.address).expect("a connection");
    line.say("four");
    line.silent();
    line.relay.to_target.set_cut(false);
    line.hears("four");
    assert!(line.forth().delayed_by_cut > 0);
}

#[test]
fn a_hole_swallows_and_pieces_are_broken_or_repeated_once() {
    let mut line = line();
    line.say("come up");
    line.hears("come up");
    line.relay.to_target.configure(|s| s.black_hole = true);
    line.say("gone");
    wait_until("it vanished", || line.forth().dropped_bytes == 4);
    line.relay.to_target.configure(|s| s.black_hole = false);
    line.relay.to_target.inject(ChunkFault::Duplicate);
    line.say("ab");
    line.hears("abab");
    line.relay.to_target.inject(ChunkFault::Corrupt);
    line.say("x");
    line.hears("h");
    line.say("x");
    line.hears("x");
    assert_eq!((line.forth().duplicated_chunks, line.forth().corrupted_chunks), (1, 1));
}

#[test]
fn a_link_delays_and_drips() {
    let mut line = line();
    line.relay.to_target.configure(|s| s.delay_ms = (40.0, 60.0));
    let begun = Instant::now();
    line.say("late");
    line.hears("late");
    assert!(begun.elapsed() >= Duration::from_millis(40));
    line.relay.to_target.configure(|s| *s = Default::default());
    line.relay.from_target.configure(|s| s.bytes_per_tick = Some(1));
    let begun = Instant::now();
    line.say("drop by drop");
    line.hears("drop by drop");
    assert!(begun.elapsed() >= Duration::from_millis(10 * 11));
}

#[test]
fn a_reset_ends_what_is_open_and_new_connections_come_up_where_the_target_is_now() {
    let mut line = line();
    line.say("one");
    line.hears("one");
    line.relay.from_target.reset_connections();
    line.socket.set_read_timeout(Some(WAIT_LIMIT)).expect("a time-out");
    let over = line.socket.read(&mut [0; 8]);
    assert!(over.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    line.relay.set_target(None);
    let mut nowhere = TcpStream::connect(line.relay.address).expect("a connection");
    nowhere.set_read_timeout(Some(WAIT_LIMIT)).expect("a time-out");
    assert!(nowhere.read(&mut [0; 8]).is_err(), "reset at once");
    line.relay.set_target(Some(echo()));
    line.socket = TcpStream::connect(line.relay.address).expect("a connection");
    line.say("two");
    line.hears("two");
}
