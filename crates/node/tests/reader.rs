//! The reader of a client's connection: chunks of any size, and pauses.

use async_executor::LocalExecutor;
use async_io::{block_on, Async, Timer};
use basaltgw_node::clients::{ClientId, ClientMessage, Tag};
use basaltgw_node::connection::{ClientLiveness, CloseReason};
use basaltgw_node::inbox::{read_messages, DecodedMessage};
use basaltgw_node::limits::{CLIENT_READ_LIMITS, READ_AHEAD_BYTES, READ_BYTES};
use basaltgw_node::outbox::{BufferMeter, BufferedBytes};
use basaltgw_node::resp::encode;
use basaltgw_node::{ConnectionContext, Input};
use futures_lite::{future, AsyncWriteExt};
use proptest::prelude::*;
use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const MEMORY_LIMIT_BYTES: usize = 1_000_000;

/// A connection and the parts of a router that read it.
struct ReaderHarness {
    near: Async<TcpStream>,
    far: Async<TcpStream>,
    context: ConnectionContext,
    inputs: async_channel::Receiver<Input>,
    liveness: Rc<ClientLiveness>,
    /// Bytes of the words that were decoded.
    decoded_bytes: Cell<usize>,
    paused: Cell<bool>,
}

impl ReaderHarness {
    fn new(queue_capacity: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let far = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        let near = listener.accept().expect("the connection").0;
        let (queue, inputs) = async_channel::bounded(queue_capacity);
        let context = ConnectionContext {
            executor: Rc::new(LocalExecutor::new()),
            queue,
            clock: basaltgw_node::clock::Clock::default(),
            meter: Rc::default(),
            invariants: Rc::default(),
            pause_detector: Rc::default(),
            buffer_limit_bytes: MEMORY_LIMIT_BYTES,
        };
        Self {
            near: Async::new(near).expect("a socket"),
            far: Async::new(far).expect("a socket"),
            context,
            inputs,
            liveness: Rc::default(),
            decoded_bytes: Cell::new(0),
            paused: Cell::new(false),
        }
    }

    async fn read(&self) -> CloseReason {
        let decode = |decoded: DecodedMessage| {
            let bytes = decoded.elements.iter().map(Vec::len).sum::<usize>();
            self.decoded_bytes.set(self.decoded_bytes.get() + bytes);
            let message = ClientMessage::decode(decoded.elements)?;
            self.liveness.observe(&message);
            Some(Input::ClientMessage { client: ClientId(1), message, received_at: decoded.received_at })
        };
        let paused = || self.paused.get();
        let reason = read_messages(&self.near, CLIENT_READ_LIMITS, &self.context, paused, decode, None).await;
        self.liveness.disconnect();
        reason
    }

    /// Reads until a condition holds.
    async fn until(&self, what: &str, holds: impl Fn() -> bool) -> Option<CloseReason> {
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

    /// Memory that other connections use.
    fn use_memory(&self, bytes: usize) -> BufferedBytes {
        let meter: &Rc<BufferMeter> = &self.context.meter;
        BufferedBytes::new(vec![0; bytes], &[meter])
    }
}

fn encode_message(verb: &str, tag: u64) -> Vec<u8> {
    encode(&[verb.as_bytes(), tag.to_string().as_bytes(), b""])
}

/// A message of a client, or malformed bytes.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let tag = 1..40u64;
    prop_oneof![
        4 => tag.clone().prop_map(|tag| encode_message("PING", tag)),
        4 => tag.clone().prop_map(|tag| encode_message("UNDO", tag)),
        4 => tag.prop_map(|tag| {
            let fields = format!("i={tag:016x},d=5000,o={tag:016x},nth=0,batch=17");
            encode(&[b"DO", tag.to_string().as_bytes(), b"pages", fields.as_bytes(), &vec![b'x'; tag as usize * 50]])
        }),
        1 => proptest::collection::vec(any::<u8>(), 0..40),
        1 => Just(b"*3\r\n$4\r\n".to_vec()),
    ]
}

/// The message of an input, without its time.
fn message(input: Input) -> ClientMessage {
    match input {
        Input::ClientMessage { message, .. } => message,
        _ => panic!("a client's message"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// All that is whole before the first fault is handed reason, in order, in whatever pieces it comes and however slowly it is taken.
    #[test]
    fn bytes_in_any_chunks_decode_as_in_one_read(
        parts in proptest::collection::vec(bytes(), 1..60),
        cuts in proptest::collection::vec(1..3_000usize, 1..8),
        queue_capacity in 1..20usize,
        memory_full in any::<bool>(),
    ) {
        let all: Vec<u8> = parts.concat();
        let mut decoder = basaltgw_node::resp::Decoder::new(CLIENT_READ_LIMITS.message_limits);
        decoder.feed(&all);
        let mut expected = Vec::new();
        let mut malformed = false;
        loop {
            match decoder.next_message() {
                Ok(Some(words)) => match ClientMessage::decode(words) {
                    Some(message) => expected.push(message),
                    None => { malformed = true; break }
                },
                Ok(None) => break,
                Err(_) => { malformed = true; break }
            }
        }
        let harness = ReaderHarness::new(queue_capacity);
        let memory = memory_full.then(|| harness.use_memory(MEMORY_LIMIT_BYTES + 1));
        let received = RefCell::new(Vec::new());
        let reason = block_on(future::or(async { Some(harness.read().await) }, async {
            let writes = async {
                let mut rest = &all[..];
                let mut cuts = cuts.iter().cycle();
                while !rest.is_empty() {
                    let n = rest.len().min(*cuts.next().expect("a cut"));
                    if (&harness.far).write_all(&rest[..n]).await.is_err() {
                        break;
                    }
                    rest = &rest[n..];
                    future::yield_now().await;
                }
                future::pending::<()>().await
            };
            let takes = async {
                drop(memory);
                while received.borrow().len() < expected.len() {
                    let Ok(input) = harness.inputs.recv().await else { break };
                    received.borrow_mut().push(message(input));
                    if received.borrow().len() % 3 == 0 {
                        future::yield_now().await;
                    }
                }
                if malformed {
                    future::pending::<()>().await;
                }
            };
            future::or(writes, takes).await;
            None
        }));
        while let Ok(input) = harness.inputs.try_recv() {
            received.borrow_mut().push(message(input));
        }
        prop_assert_eq!(&*received.borrow(), &expected);
        prop_assert_eq!(matches!(reason, Some(CloseReason::Malformed(_))), malformed, "{:?}", reason);
    }

    /// Messages that the owner does not take stay in the socket, except for one read and the read-ahead.
    #[test]
    fn paused_reader_buffers_at_most_one_read_and_the_read_ahead(queue_capacity in 1..300usize, memory_full in any::<bool>(), paused in any::<bool>()) {
        let harness = ReaderHarness::new(queue_capacity);
        let memory = memory_full.then(|| harness.use_memory(MEMORY_LIMIT_BYTES + 1));
        harness.paused.set(paused);
        block_on(async {
            let flood: Vec<u8> = (1..4_000).flat_map(|n| encode_message("PING", n)).collect();
            let writes = async {
                let _ = (&harness.far).write_all(&flood).await;
                future::pending::<()>().await;
            };
            let still = async {
                let start = Instant::now();
                while start.elapsed() < Duration::from_millis(60) {
                    Timer::after(Duration::from_millis(10)).await;
                }
            };
            let reads = async { let _ = harness.read().await; };
            future::or(reads, future::or(writes, still)).await;
        });
        // A PING's words have 8 bytes at the most, and its encoding 21 more.
        let queued = 29 * queue_capacity;
        let kept = if memory_full || paused { READ_AHEAD_BYTES } else { READ_BYTES + READ_AHEAD_BYTES + queued };
        prop_assert!(harness.decoded_bytes.get() <= kept, "{} bytes decoded", harness.decoded_bytes.get());
        drop(memory);
    }
}

#[test]
fn cancellation_behind_requests_takes_effect_while_the_queue_is_full() {
    let harness = ReaderHarness::new(1);
    let bytes: Vec<u8> = [
        encode_message("PING", 1),
        encode_message("PING", 2),
        encode_message("PING", 3),
        encode_message("UNDO", 9),
    ]
    .concat();
    block_on(async {
        (&harness.far).write_all(&bytes).await.expect("written");
        let reason = harness.until("it is seen", || !harness.liveness.is_waiting(Tag(9))).await;
        assert_eq!(reason, None);
    });
    assert!(harness.liveness.is_waiting(Tag(8)));
    harness.liveness.cancellation_handled(Tag(9));
    assert!(harness.liveness.is_waiting(Tag(9)));
}

#[test]
fn close_is_seen_while_the_queue_is_full_behind_more_than_is_read_ahead() {
    for many in [10, 4_000] {
        let harness = ReaderHarness::new(1);
        let bytes: Vec<u8> = (1..=many).flat_map(|n| encode_message("PING", n)).collect();
        block_on(async {
            (&harness.far).write_all(&bytes).await.expect("written");
            harness.far.get_ref().shutdown(std::net::Shutdown::Write).expect("closed");
            let reason = harness.until("it is seen", || !harness.liveness.is_waiting(Tag(9_999))).await;
            assert_eq!(reason, Some(CloseReason::PeerClosed));
        });
    }
}

#[test]
fn partial_message_times_out_under_memory_pressure_and_not_for_a_slow_peer() {
    for slow in [true, false] {
        let harness = ReaderHarness::new(8);
        let memory = (!slow).then(|| harness.use_memory(MEMORY_LIMIT_BYTES + 1));
        harness.paused.set(slow);
        let whole = encode_message("PING", 7);
        let (first, rest) = whole.split_at(9);
        let held_up = async {
            (&harness.far).write_all(first).await.expect("written");
            Timer::after(CLIENT_READ_LIMITS.message_timeout + Duration::from_millis(300)).await;
            harness.paused.set(false);
            (&harness.far).write_all(rest).await.expect("written");
            let input = harness.inputs.recv().await.expect("an input");
            assert_eq!(message(input), ClientMessage::Probe(Tag(7)));
            None
        };
        let reason = block_on(future::or(async { Some(harness.read().await) }, held_up));
        assert_eq!(reason, if slow { None } else { Some(CloseReason::IncompleteMessage) });
        drop(memory);
    }
}
