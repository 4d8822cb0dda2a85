//! The loop that reads a client's connection: whatever comes in whatever pieces, and however it is held up.

use async_executor::LocalExecutor;
use async_io::{block_on, Async, Timer};
use basaltgw_node::clients::presence::Presence;
use basaltgw_node::clients::{ClientId, FromClient, Tag};
use basaltgw_node::inbox::{read_all, Over};
use basaltgw_node::limits::{AHEAD_BYTES, FROM_CLIENT, READ_BYTES};
use basaltgw_node::outbox::{Counted, Meter};
use basaltgw_node::resp::encode;
use basaltgw_node::{Input, Shared};
use futures_lite::{future, AsyncWriteExt};
use proptest::prelude::*;
use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const LIMIT: usize = 1_000_000;

/// A connection and the parts of a router that read it.
struct Rig {
    near: Async<TcpStream>,
    far: Async<TcpStream>,
    shared: Shared,
    inputs: async_channel::Receiver<Input>,
    presence: Rc<Presence>,
    /// Bytes of words that were decoded.
    decoded: Cell<usize>,
    full: Cell<bool>,
}

impl Rig {
    fn new(room: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let far = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        let near = listener.accept().expect("the connection").0;
        let (queue, inputs) = async_channel::bounded(room);
        let shared = Shared {
            executor: Rc::new(LocalExecutor::new()),
            queue,
            clock: basaltgw_node::clock::Clock::default(),
            meter: Rc::default(),
            invariants: Rc::default(),
            stalls: Rc::default(),
            held_limit: LIMIT,
        };
        Self {
            near: Async::new(near).expect("a socket"),
            far: Async::new(far).expect("a socket"),
            shared,
            inputs,
            presence: Rc::default(),
            decoded: Cell::new(0),
            full: Cell::new(false),
        }
    }

    async fn read(&self) -> Over {
        let typed = |words: Vec<Vec<u8>>, at, _| {
            self.decoded.set(self.decoded.get() + words.iter().map(Vec::len).sum::<usize>());
            let message = FromClient::read(words)?;
            self.presence.read(&message);
            Some(Input::Client(ClientId(1), message, at))
        };
        let over = read_all(&self.near, FROM_CLIENT, &self.shared, || self.full.get(), typed, None).await;
        self.presence.leave();
        over
    }

    /// Reads until something holds.
    async fn until(&self, what: &str, holds: impl Fn() -> bool) -> Option<Over> {
        let seen = async {
            let start = Instant::now();
            while !holds() {
                assert!(start.elapsed() < Duration::from_secs(20), "never: {what}");
                Timer::after(Duration::from_millis(1)).await;
            }
            None
        };
        future::or(async { Some(self.read().await) }, seen).await
    }

    /// Memory that others hold.
    fn hold(&self, bytes: usize) -> Counted {
        let meter: &Rc<Meter> = &self.shared.meter;
        Counted::new(vec![0; bytes], &[meter])
    }
}

fn say(verb: &str, tag: u64) -> Vec<u8> {
    encode(&[verb.as_bytes(), tag.to_string().as_bytes(), b""])
}

/// A message of a client, or bytes that are none.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let tag = 1..40u64;
    prop_oneof![
        4 => tag.clone().prop_map(|tag| say("PING", tag)),
        4 => tag.clone().prop_map(|tag| say("UNDO", tag)),
        4 => tag.prop_map(|tag| {
            let fields = format!("i={tag:016x},d=5000,o={tag:016x},nth=0,batch=17");
            encode(&[b"DO", tag.to_string().as_bytes(), b"pages", fields.as_bytes(), &vec![b'x'; tag as usize * 50]])
        }),
        1 => proptest::collection::vec(any::<u8>(), 0..40),
        1 => Just(b"*3\r\n$4\r\n".to_vec()),
    ]
}

/// What a queue was given, without the times.
fn told(input: Input) -> FromClient {
    match input {
        Input::Client(_, message, _) => message,
        _ => panic!("a client's message"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// All that is whole before the first fault is handed over, in order, in whatever pieces it comes and however slowly it is taken.
    #[test]
    fn any_bytes_in_any_pieces_are_read_as_they_would_be_at_once(
        parts in proptest::collection::vec(bytes(), 1..60),
        cuts in proptest::collection::vec(1..3_000usize, 1..8),
        room in 1..20usize,
        held in any::<bool>(),
    ) {
        let all: Vec<u8> = parts.concat();
        let mut decoder = basaltgw_node::resp::Decoder::new(FROM_CLIENT.bounds);
        decoder.feed(&all);
        let mut wanted = Vec::new();
        let mut spoilt = false;
        loop {
            match decoder.message() {
                Ok(Some(words)) => match FromClient::read(words) {
                    Some(message) => wanted.push(message),
                    None => { spoilt = true; break }
                },
                Ok(None) => break,
                Err(_) => { spoilt = true; break }
            }
        }
        let rig = Rig::new(room);
        let memory = held.then(|| rig.hold(LIMIT + 1));
        let got = RefCell::new(Vec::new());
        let over = block_on(future::or(async { Some(rig.read().await) }, async {
            let writes = async {
                let mut rest = &all[..];
                let mut cuts = cuts.iter().cycle();
                while !rest.is_empty() {
                    let n = rest.len().min(*cuts.next().expect("a cut"));
                    if (&rig.far).write_all(&rest[..n]).await.is_err() {
                        break;
                    }
                    rest = &rest[n..];
                    future::yield_now().await;
                }
                future::pending::<()>().await
            };
            let takes = async {
                drop(memory);
                while got.borrow().len() < wanted.len() {
                    let Ok(input) = rig.inputs.recv().await else { break };
                    got.borrow_mut().push(told(input));
                    if got.borrow().len() % 3 == 0 {
                        future::yield_now().await;
                    }
                }
                if spoilt {
                    future::pending::<()>().await;
                }
            };
            future::or(writes, takes).await;
            None
        }));
        while let Ok(input) = rig.inputs.try_recv() {
            got.borrow_mut().push(told(input));
        }
        prop_assert_eq!(&*got.borrow(), &wanted);
        prop_assert_eq!(matches!(over, Some(Over::Unreadable(_))), spoilt, "{:?}", over);
    }

    /// What nobody takes is left in the socket, but for one piece and a little ahead.
    #[test]
    fn no_more_is_kept_than_a_piece_and_a_little(room in 1..300usize, held in any::<bool>(), full in any::<bool>()) {
        let rig = Rig::new(room);
        let memory = held.then(|| rig.hold(LIMIT + 1));
        rig.full.set(full);
        block_on(async {
            let flood: Vec<u8> = (1..4_000).flat_map(|n| say("PING", n)).collect();
            let writes = async {
                let _ = (&rig.far).write_all(&flood).await;
                future::pending::<()>().await;
            };
            let still = async {
                let start = Instant::now();
                while start.elapsed() < Duration::from_millis(60) {
                    Timer::after(Duration::from_millis(10)).await;
                }
            };
            let reads = async { let _ = rig.read().await; };
            future::or(reads, future::or(writes, still)).await;
        });
        // A PING's words have 8 bytes at the most, and its encoding 21 more.
        let queued = 29 * room;
        let kept = if held || full { AHEAD_BYTES } else { READ_BYTES + AHEAD_BYTES + queued };
        prop_assert!(rig.decoded.get() <= kept, "{} decoded", rig.decoded.get());
        drop(memory);
    }
}

#[test]
fn what_takes_back_is_seen_behind_requests_and_before_the_queue_has_room() {
    let rig = Rig::new(1);
    let bytes: Vec<u8> = [say("PING", 1), say("PING", 2), say("PING", 3), say("UNDO", 9)].concat();
    block_on(async {
        (&rig.far).write_all(&bytes).await.expect("written");
        let over = rig.until("it is seen", || !rig.presence.wants(Tag(9))).await;
        assert_eq!(over, None);
    });
    assert!(rig.presence.wants(Tag(8)));
    rig.presence.heeded(Tag(9));
    assert!(rig.presence.wants(Tag(9)));
}

#[test]
fn an_end_is_seen_before_the_queue_has_room_and_behind_more_than_is_read_ahead() {
    for many in [10, 4_000] {
        let rig = Rig::new(1);
        let bytes: Vec<u8> = (1..=many).flat_map(|n| say("PING", n)).collect();
        block_on(async {
            (&rig.far).write_all(&bytes).await.expect("written");
            rig.far.get_ref().shutdown(std::net::Shutdown::Write).expect("closed");
            let over = rig.until("it is seen", || !rig.presence.wants(Tag(9_999))).await;
            assert_eq!(over, Some(Over::Ended));
        });
    }
}

#[test]
fn half_a_message_waits_for_a_slow_reader_and_not_for_memory() {
    for slow in [true, false] {
        let rig = Rig::new(8);
        let memory = (!slow).then(|| rig.hold(LIMIT + 1));
        rig.full.set(slow);
        let whole = say("PING", 7);
        let (first, rest) = whole.split_at(9);
        let held_up = async {
            (&rig.far).write_all(first).await.expect("written");
            Timer::after(FROM_CLIENT.whole + Duration::from_millis(300)).await;
            rig.full.set(false);
            (&rig.far).write_all(rest).await.expect("written");
            let input = rig.inputs.recv().await.expect("an input");
            assert_eq!(told(input), FromClient::Ping(Tag(7)));
            None
        };
        let over = block_on(future::or(async { Some(rig.read().await) }, held_up));
        assert_eq!(over, if slow { None } else { Some(Over::Unfinished) });
        drop(memory);
    }
}
