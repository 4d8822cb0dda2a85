//! Clients that close or cancel while their requests wait.

use crate::common::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What waits for a command.
#[derive(Clone, Default)]
struct Gate(Arc<AtomicBool>);

impl Gate {
    fn open(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    fn pass(&self) {
        while !self.is_open() {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Closes,
    TakesBack,
}

const WAYS: [Way; 2] = [Way::Closes, Way::TakesBack];

impl Way {
    /// The client is kept if it is still connected.
    fn go(self, mut client: Client, tag: u64) -> Option<Client> {
        match self {
            Self::Closes => None,
            Self::TakesBack => {
                client.say("UNDO", tag);
                Some(client)
            }
        }
    }
}

/// A router before these, and before a log that says nothing.
struct Rig {
    router: Process,
    edge: Cache,
    others: [Cache; 3],
    _log: ChangeLog,
}

impl Rig {
    fn start(edge: Cache, change: impl FnOnce(&mut Value)) -> Self {
        Self::before([edge, Cache::full(), Cache::full(), Cache::full()], false, change)
    }

    /// With a second edge cache, where a read goes that failed at the first. All servers do the same.
    fn alike(act: impl Fn(&Seen) -> Do + Clone + Send + Sync + 'static) -> Self {
        let little = |c: &mut Value| c["limits"]["memory_mb"] = json!(1);
        Self::before([0; 4].map(|_| Cache::start(act.clone())), true, little)
    }

    fn before(all: [Cache; 4], two: bool, change: impl FnOnce(&mut Value)) -> Self {
        let ([edge, second, parent, origin], log) = (all, ChangeLog::start());
        let mut config = configuration(&three(&edge, &parent, &origin), log.address);
        config["settings"]["limits"]["connect-timeout"] = json!(15_000.0);
        if two {
            with_second(&mut config, &second);
        }
        change(&mut config);
        Self { router: router(&config), edge, others: [second, parent, origin], _log: log }
    }

    /// A client whose words leave at once, each.
    fn client(&self) -> Client {
        let client = self.router.client();
        client.socket.set_nodelay(true).expect("a socket");
        client
    }

    /// Ids of all fetches that came anywhere.
    fn fetched(&self) -> Vec<String> {
        self.others.iter().chain([&self.edge]).flat_map(Cache::all).map(|s| s.id).collect()
    }

    /// Another client's requests are served until the edge cache has had one: on the one connection to it, what waited before that
    /// would have been written first.
    fn edge_serves(&self) {
        let mut other = self.client();
        let (mut tag, mut ids) = (0, Vec::new());
        until_asked("the edge cache is asked", || {
            tag += 1;
            ids.push(other.ask_for(30_000, tag, "pages", 100 + tag, "", b""));
            assert_eq!(other.must().word, "200");
            self.edge.all().iter().any(|s| ids.contains(&s.id))
        });
        assert_eq!(other.settle(), []);
    }
}

/// Each way, where attempts may not be called off and where they may.
const WAYS_AND_RIGHTS: [(Way, bool); 4] =
    [(Way::Closes, false), (Way::TakesBack, false), (Way::Closes, true), (Way::TakesBack, true)];

/// An edge cache that takes no connection, and answers nothing, before the command.
fn proved_by(gate: &Gate) -> Cache {
    let held = gate.clone();
    let waits = move |_| {
        held.pass();
        Proof::Yes
    };
    Cache::start_as(waits, |s| Do::Ok(content(s)))
}

/// Fills a listener's backlog, until no connection comes up any more.
fn fill(at: SocketAddr) -> Vec<TcpStream> {
    let mut all = Vec::new();
    while let Ok(socket) = TcpStream::connect_timeout(&at, Duration::from_millis(300)) {
        all.push(socket);
        assert!(all.len() < 10_000, "the backlog has an end");
    }
    all
}

/// Its client leaves while a request waits for a connection, which then comes up; `busy`: only then is one taken at all.
fn leaves_before_it_is_sent(busy: bool) {
    for (way, may) in WAYS_AND_RIGHTS {
        let gate = Gate::default();
        let edge = proved_by(&gate);
        let fillers = if busy { fill(edge.address) } else { Vec::new() };
        let rig = Rig::start(edge, |c| c["settings"]["limits"]["cancel"] = json!(may));
        let (mut clients, ids) = clients_with_one(&rig, 1);
        let kept = clients.pop().and_then(|client| way.go(client, 1));
        until("it has left", || rig.router.counter("left") == 1);
        drop(fillers);
        gate.open();
        rig.edge_serves();
        assert!(!rig.fetched().contains(&ids[0]), "{way:?}, cancelling allowed: {may}");
        kept.into_iter().for_each(|mut c| assert_eq!(c.settle(), []));
        assert_eq!(
            rig.edge.aborted.lock().expect("lock").len(),
            0,
            "nothing is called off that was never sent"
        );
    }
}

#[test]
fn what_waits_for_a_connection_is_not_sent_once_its_client_has_left() {
    leaves_before_it_is_sent(true);
}

#[test]
fn what_waits_for_a_proof_is_not_sent_once_its_client_has_left() {
    leaves_before_it_is_sent(false);
}

/// Bytes that wait in each socket at that port, or with a peer at that: to be acknowledged, and to be read.
fn waiting(own: Option<u16>, peer: Option<u16>) -> Vec<(u64, u64)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of sockets");
    let port = |word: &str| u16::from_str_radix(word.rsplit(':').next().expect("a port"), 16).expect("hex");
    let of_row = |row: &str| {
        let words: Vec<&str> = row.split_whitespace().collect();
        let (here, there, open) = (port(words[1]), port(words[2]), words[3] == "01" || words[3] == "08");
        let meant = open && own.is_none_or(|p| p == here) && peer.is_none_or(|p| p == there);
        let bytes = |hex| u64::from_str_radix(hex, 16).expect("hex");
        let (sent, come) = words[4].split_once(':').expect("two queues");
        meant.then(|| (bytes(sent), bytes(come)))
    };
    table.lines().skip(1).filter_map(of_row).collect()
}

fn unread(own: Option<u16>, peer: Option<u16>) -> Vec<u64> {
    waiting(own, peer).into_iter().map(|(_, come)| come).collect()
}

fn message(verb: &str, tag: u64) -> Vec<u8> {
    let tag = tag.to_string();
    format!("*3\r\n${}\r\n{verb}\r\n${}\r\n{tag}\r\n$0\r\n\r\n", verb.len(), tag.len()).into_bytes()
}

/// Clients leave behind more than the owner's queue holds, and `meanwhile` happens; the router sees all of it in one turn.
fn leave_at_once(rig: &Rig, clients: Vec<Client>, way: Way, meanwhile: impl FnOnce()) -> Vec<Client> {
    rig.router.signal("STOP");
    let leave = |mut client: Client| {
        client.write(&(0..300).flat_map(|n| message("PING", 1_000 + n)).collect::<Vec<u8>>());
        way.go(client, 1)
    };
    let left = clients.into_iter().filter_map(leave).collect();
    meanwhile();
    rig.router.signal("CONT");
    left
}

/// Clients with one request each, which is at the edge cache or waits there.
fn clients_with_one(rig: &Rig, many: u64) -> (Vec<Client>, Vec<String>) {
    let one = |n: u64| {
        let mut client = rig.client();
        let id = client.ask_for(60_000, 1, "pages", 1 + n, "", b"");
        (client, id)
    };
    let all = (0..many).map(one).unzip();
    until("an attempt is made for each", || rig.router.counter("attempts") == many);
    all
}

#[test]
fn a_proof_that_comes_while_clients_leave_behind_a_full_queue_sends_nothing() {
    for way in WAYS {
        let gate = Gate::default();
        let rig = Rig::start(proved_by(&gate), |_| {});
        let edge = rig.edge.address.port();
        let (clients, ids) = clients_with_one(&rig, 8);
        until("the edge cache is asked whether its connections work", || {
            let asked = unread(Some(edge), None);
            !asked.is_empty() && asked.iter().all(|n| *n > 0)
        });
        let kept = leave_at_once(&rig, clients, way, || {
            gate.open();
            until("its answers are there", || unread(None, Some(edge)).iter().all(|n| *n > 0));
        });
        until("all have left", || rig.router.counter("left") == 8);
        rig.edge_serves();
        let sent: Vec<String> = rig.fetched().into_iter().filter(|id| ids.contains(id)).collect();
        assert_eq!(sent, [""; 0], "{way:?}");
        drop(kept);
    }
}

/// All attempts that were made are over.
fn attempts_over(router: &Process) -> bool {
    let all = router.counters(PATIENCE).expect("counters");
    let ends =
        ["served", "error", "full", "late", "no_connection", "broken", "cancelled", "not_sent", "miss"];
    ends.iter().map(|end| all[&format!("attempts_{end}")]).sum::<f64>() == all["attempts"]
}

#[test]
fn an_attempt_that_fails_once_its_client_has_left_is_not_followed_by_another() {
    let fails: [fn() -> Do; 2] = [|| Do::Word("nothing", "note=src_lacks"), || Do::Half];
    for (fails, crowd) in [(fails[0], false), (fails[1], false), (fails[0], true), (fails[1], true)] {
        for way in WAYS {
            let gate = Gate::default();
            let (held, came) = (gate.clone(), Gate::default());
            let seen = came.clone();
            let act = move |s: &Seen| {
                if held.is_open() {
                    return Do::Ok(content(s));
                }
                seen.open();
                held.pass();
                fails()
            };
            let rig = Rig::alike(act);
            let ports = [rig.edge.address.port(), rig.others[0].address.port()];
            let (mut clients, ids) = clients_with_one(&rig, 1);
            until("a cache has it", || came.is_open());
            let kept = if crowd {
                leave_at_once(&rig, clients, way, || {
                    gate.open();
                    let answers = || ports.iter().flat_map(|at| unread(None, Some(*at))).any(|n| n > 0);
                    until("its answer is there", answers);
                })
            } else {
                let kept = clients.pop().and_then(|c| way.go(c, 1)).into_iter().collect();
                until("it has left", || rig.router.counter("left") == 1);
                gate.open();
                kept
            };
            until("it has left", || rig.router.counter("left") == 1);
            until("its attempt is over", || attempts_over(&rig.router));
            rig.edge_serves();
            let fetched = rig.fetched().iter().filter(|id| **id == ids[0]).count();
            assert_eq!(fetched, 1, "{way:?}, behind a crowd: {crowd}");
            drop(kept);
        }
    }
}

#[test]
fn requests_with_what_takes_them_back_behind_them_are_not_taken_in() {
    for way in WAYS {
        let rig = Rig::start(Cache::full(), |_| {});
        let mut clients: Vec<Client> = (0..20).map(|_| rig.client()).collect();
        until("all are connected", || rig.router.counter("clients") == 20);
        rig.edge_serves();
        rig.router.signal("STOP");
        for (n, client) in clients.iter_mut().enumerate() {
            let ask = |tag: u64| {
                let id = 0x0f00_0000 + 100 * n as u64 + tag;
                let fields = format!("i={id:016x},d=60000,o={tag:016x},nth=0,batch=17");
                let (tag, long) = (tag.to_string(), fields.len());
                let head = format!("*5\r\n$2\r\nDO\r\n${}\r\n{tag}\r\n$5\r\npages\r\n", tag.len());
                format!("{head}${long}\r\n{fields}\r\n$0\r\n\r\n").into_bytes()
            };
            let mut bytes: Vec<u8> = (1..=30).flat_map(ask).collect();
            if way == Way::TakesBack {
                bytes.extend((1..=30).flat_map(|tag| message("UNDO", tag)));
            }
            client.write(&bytes);
        }
        let kept: Vec<Client> = clients.into_iter().filter(|_| way == Way::TakesBack).collect();
        rig.router.signal("CONT");
        match way {
            Way::TakesBack => until("all of it is heard", || rig.router.counter("left_early") == 600),
            Way::Closes => until("all have left", || rig.router.counter("clients_now") == 0),
        }
        rig.edge_serves();
        let sent = rig.fetched().into_iter().filter(|id| id.starts_with("000000000f0")).count();
        assert_eq!((sent, rig.router.counter("unreadable")), (0, 0), "{way:?}");
        kept.into_iter().for_each(|mut client| assert_eq!(client.settle(), []));
    }
}

/// A router whose servers keep writes until a command, and refuse object 1 on another.
fn holding(writes: &Gate, refuses: &Gate, came: &Gate) -> Rig {
    let (writes, refuses, came) = (writes.clone(), refuses.clone(), came.clone());
    Rig::alike(move |s| {
        if s.field("c") == Some("loan") {
            writes.pass();
        } else if s.field("k") == Some("0000000000000001") && !refuses.is_open() {
            came.open();
            refuses.pass();
            return Do::Word("nothing", "note=src_lacks");
        }
        Do::Ok(content(s))
    })
}

/// Writes until a router with 1 MB holds more than half of that, and reads nothing more; few enough that no connection is taken for silent.
/// Each is whole in the router before the next is sent: one half read when the memory is full would have to end.
fn fill_memory(rig: &Rig) -> Vec<Client> {
    let mut all: Vec<Client> = (0..2).map(|_| rig.client()).collect();
    let before = rig.router.counter("requests");
    let sizes = [48_000; 10].into_iter().chain([15_000, 3_000, 3_000]);
    let mut held = 0;
    for (n, size) in (1..).zip(sizes) {
        held += size as u64;
        all[n as usize % 2].ask_for(60_000, n, "loan", 500 + n, "", &vec![b'x'; size]);
        // The body stays until it is answered, and no second copy of it.
        until("it is taken in", || {
            rig.router.counter("requests") == before + n && rig.router.counter("held") == held
        });
    }
    assert!(held > 500_000);
    all
}

#[test]
fn clients_that_leave_while_reading_is_held_up_for_memory_are_heard() {
    for way in WAYS {
        let (writes, refuses, came) = (Gate::default(), Gate::default(), Gate::default());
        let rig = holding(&writes, &refuses, &came);
        let (mut clients, ids) = clients_with_one(&rig, 1);
        until("a cache has it", || came.is_open());
        let slow = fill_memory(&rig);
        assert_eq!(clients[0].settle(), []);
        let kept = clients.pop().and_then(|c| way.go(c, 1));
        until("it has left", || rig.router.counter("left") == 1);
        assert!(rig.router.counter("held") > 500_000, "nothing was released for that");
        refuses.open();
        writes.open();
        until("all attempts are over", || attempts_over(&rig.router));
        rig.edge_serves();
        assert_eq!(rig.fetched().iter().filter(|id| **id == ids[0]).count(), 1, "{way:?}");
        kept.into_iter().for_each(|mut c| assert_eq!(c.settle(), []));
        drop(slow);
    }
}

#[test]
fn what_is_taken_back_behind_requests_while_reading_is_held_up_for_memory_is_not_sent() {
    let writes = Gate::default();
    let rig = holding(&writes, &Gate::default(), &Gate::default());
    let mut client = rig.client();
    assert_eq!(client.settle(), []);
    let slow = fill_memory(&rig);
    assert_eq!(client.settle(), []);
    let ids: Vec<String> = (2..=4).map(|tag| client.ask_for(60_000, tag, "pages", tag, "", b"")).collect();
    [2, 4].into_iter().for_each(|tag| client.say("UNDO", tag));
    let (own, port) = (rig.router.address.port(), client.socket.local_addr().expect("an address").port());
    let read = || waiting(Some(port), Some(own)) == [(0, 0)] && unread(Some(own), Some(port)) == [0];
    until("all of it has come and is read", read);
    assert!(rig.router.counter("held") > 500_000, "nothing was released for that");
    writes.open();
    assert_eq!((client.must().tag, client.settle()), (3, vec![]));
    assert_eq!(rig.router.counter("left_early"), 2);
    let fetched = rig.fetched();
    assert!(fetched.contains(&ids[1]) && !fetched.contains(&ids[0]) && !fetched.contains(&ids[2]));
    drop(slow);
}
