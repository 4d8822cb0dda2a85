//! The stand-in for a client with one connection to a router.

use super::{MESSAGE_LIMITS, WAIT_LIMIT};
use basaltgw_resp::{encode, Decoder, Fields};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// The deadline of a request, in milliseconds, unless a test chooses one.
const DEADLINE_MS: u64 = 5000;
/// The tag of the `PING` that [`Client::answers_before_pong`] sends.
const PING_TAG: u64 = 999_999;

/// A router's answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAnswer {
    /// The tag of the request.
    pub tag: u64,
    /// The status, such as `200` or `503`.
    pub status: String,
    /// The encoded fields.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

impl ClientAnswer {
    /// The value of the field `name`.
    pub fn field(&self, name: &str) -> Option<String> {
        let fields = Fields::parse(self.fields.as_bytes()).expect("well-formed fields in the answer");
        fields.get(name).map(str::to_string)
    }
}

/// The number of the next request id.
static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A client with one connection.
pub struct Client {
    /// The socket of the connection.
    pub socket: TcpStream,
    decoder: Decoder,
}

impl Client {
    /// Creates a client on a connected socket.
    pub fn new(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(WAIT_LIMIT)).expect("set the read timeout");
        Self { socket, decoder: Decoder::new(MESSAGE_LIMITS) }
    }

    /// Writes bytes unchanged.
    pub fn write(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).expect("write to the router");
    }

    /// Sends a request with the usual deadline; returns its id. `more` is appended to the encoded fields.
    pub fn send_request(&mut self, tag: u64, class: &str, object: u64, more: &str, body: &[u8]) -> String {
        self.send_request_with_deadline(DEADLINE_MS, tag, class, object, more, body)
    }

    /// Sends a request with a deadline in milliseconds; returns its id.
    pub fn send_request_with_deadline(
        &mut self,
        deadline_ms: u64,
        tag: u64,
        class: &str,
        object: u64,
        more: &str,
        body: &[u8],
    ) -> String {
        let id = next_id();
        self.write(&encode_request(&id, deadline_ms, tag, class, object, more, body));
        id
    }

    /// Sends a request on a connection that the router may have closed; a failure to write is ignored.
    pub fn try_send_request(&mut self, tag: u64, class: &str, object: u64, more: &str) {
        let _ =
            self.socket.write_all(&encode_request(&next_id(), DEADLINE_MS, tag, class, object, more, b""));
    }

    /// Sends a write on a connection that the router may close; returns whether all of it was written.
    pub fn try_send_write(&mut self, deadline_ms: u64, tag: u64, class: &str, body: &[u8]) -> bool {
        let request = encode_request(&next_id(), deadline_ms, tag, class, tag, "", body);
        self.socket.write_all(&request).is_ok()
    }

    /// Another handle of the connection, for a thread of its own that only sends.
    pub fn sender(&self) -> Self {
        Self::new(self.socket.try_clone().expect("another handle of the socket"))
    }

    /// Sends a message of a name and a tag, such as `PING`.
    pub fn send_message(&mut self, name: &str, tag: u64) {
        self.write(&encode(&[name.as_bytes(), tag.to_string().as_bytes(), b""]));
    }

    /// Waits for the next answer; panics if the router closes the connection or doesn't answer in time.
    pub fn expect_answer(&mut self) -> ClientAnswer {
        self.next().expect("the router closed the connection without an answer")
    }

    /// Waits for the next answer until `due`; `None` if there is none by then, or the connection is closed.
    pub fn next_before(&mut self, due: Instant) -> Option<ClientAnswer> {
        loop {
            if let Some(elements) = self.decoder.next_message().expect("a well-formed answer") {
                return Some(decode_answer(&elements));
            }
            let left = Some(due.saturating_duration_since(Instant::now())).filter(|left| !left.is_zero())?;
            self.socket.set_read_timeout(Some(left)).expect("set the read timeout");
            let mut chunk = [0; 65536];
            match self.socket.read(&mut chunk) {
                Ok(n) if n > 0 => self.decoder.feed(&chunk[..n]),
                Ok(_) | Err(_) => return None,
            }
        }
    }

    /// Sends a `PING` and returns the answers that arrive before its own: all that the router had written until then.
    pub fn answers_before_pong(&mut self) -> Vec<ClientAnswer> {
        self.send_message("PING", PING_TAG);
        let mut answers = Vec::new();
        loop {
            let answer = self.expect_answer();
            if answer.tag == PING_TAG {
                return answers;
            }
            answers.push(answer);
        }
    }
}

impl Iterator for Client {
    type Item = ClientAnswer;

    /// Waits for the next answer; `None` once the connection is closed.
    fn next(&mut self) -> Option<ClientAnswer> {
        loop {
            if let Some(elements) = self.decoder.next_message().expect("a well-formed answer") {
                return Some(decode_answer(&elements));
            }
            let mut chunk = [0; 65536];
            match self.socket.read(&mut chunk) {
                Ok(0) => return None,
                Ok(n) => self.decoder.feed(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => {
                    return None
                }
                Err(e) => panic!("no answer from the router: {e}"),
            }
        }
    }
}

/// Appends the message of a request without a body, to be sent with others in one write; returns its id.
pub fn append_request(
    messages: &mut Vec<u8>,
    deadline_ms: u64,
    tag: u64,
    class: &str,
    object: u64,
) -> String {
    let id = next_id();
    messages.extend(encode_request(&id, deadline_ms, tag, class, object, "", b""));
    id
}

/// Appends a message of a name and a tag, such as `UNDO`, to be sent with others in one write.
pub fn append_message(messages: &mut Vec<u8>, name: &str, tag: u64) {
    messages.extend(encode(&[name.as_bytes(), tag.to_string().as_bytes(), b""]));
}

fn encode_request(
    id: &str,
    deadline_ms: u64,
    tag: u64,
    class: &str,
    object: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let fields = format!("i={id},d={deadline_ms},o={object:016x},nth=0,batch=17{more}");
    encode(&[b"DO", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body])
}

fn decode_answer(elements: &[Vec<u8>]) -> ClientAnswer {
    let element = |i: usize| elements.get(i).cloned().unwrap_or_default();
    let text = |i: usize| String::from_utf8(element(i)).expect("UTF-8 text in the answer");
    let tag = text(0).parse().expect("a decimal tag in the answer");
    ClientAnswer { tag, status: text(1), fields: text(2), body: element(3) }
}
