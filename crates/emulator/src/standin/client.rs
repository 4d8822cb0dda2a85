//! A client on one connection.

use super::{PATIENCE, WIDE};
use basaltgw_resp::{encode, Decoder, Fields};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

/// An answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    /// The request's tag.
    pub tag: u64,
    /// `200`, `503` or another.
    pub word: String,
    /// Its fields, as they came.
    pub fields: String,
    /// Its bytes.
    pub body: Vec<u8>,
}

impl Got {
    /// A field by name.
    pub fn field(&self, name: &str) -> Option<String> {
        Fields::parse(self.fields.as_bytes()).expect("fields").get(name).map(str::to_string)
    }
}

static IDS: AtomicUsize = AtomicUsize::new(1);

/// A client's connection.
pub struct Client {
    /// Its socket.
    pub socket: TcpStream,
    decoder: Decoder,
}

impl Client {
    /// A client on this connection.
    pub fn new(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Self { socket, decoder: Decoder::new(WIDE) }
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).expect("written");
    }

    /// Sends a request; gives its id.
    pub fn ask(&mut self, tag: u64, class: &str, object: u64, more: &str, body: &[u8]) -> String {
        self.ask_for(5000, tag, class, object, more, body)
    }

    /// The same, for a client that waits so many milliseconds.
    pub fn ask_for(
        &mut self,
        wait: u64,
        tag: u64,
        class: &str,
        object: u64,
        more: &str,
        body: &[u8],
    ) -> String {
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        let fields = format!("i={id},d={wait},o={object:016x},nth=0,batch=17{more}");
        let tag = tag.to_string();
        self.write(&encode(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), body]));
        id
    }

    /// Sends a request on a connection that the router may have closed.
    pub fn try_ask(&mut self, tag: u64, class: &str, object: u64, more: &str) {
        let (id, tag) = (format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst)), tag.to_string());
        let fields = format!("i={id},d=5000,o={object:016x},nth=0,batch=17{more}");
        let bytes = encode(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), b""]);
        let _ = self.socket.write_all(&bytes);
    }

    /// Sends a word without a request.
    pub fn say(&mut self, verb: &str, tag: u64) {
        self.write(&encode(&[verb.as_bytes(), tag.to_string().as_bytes(), b""]));
    }

    /// The next answer, which has to come.
    pub fn must(&mut self) -> Got {
        self.next().expect("an answer")
    }

    /// All answers up to the one to a `PING`, which is sent now: what is not among them never came.
    pub fn settle(&mut self) -> Vec<Got> {
        self.say("PING", 999_999);
        let mut all = Vec::new();
        loop {
            let got = self.must();
            if got.tag == 999_999 {
                return all;
            }
            all.push(got);
        }
    }
}

impl Iterator for Client {
    type Item = Got;

    /// The next answer; `None` once the connection is over.
    fn next(&mut self) -> Option<Got> {
        loop {
            if let Some(words) = self.decoder.next_message().expect("an answer that can be read") {
                let word = |i: usize| words.get(i).cloned().unwrap_or_default();
                let text = |i: usize| String::from_utf8(word(i)).expect("text");
                let tag = text(0).parse().expect("a tag");
                return Some(Got { tag, word: text(1), fields: text(2), body: word(3) });
            }
            let mut piece = [0; 65536];
            match self.socket.read(&mut piece) {
                Ok(0) => return None,
                Ok(n) => self.decoder.feed(&piece[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => {
                    return None
                }
                Err(e) => panic!("no answer: {e}"),
            }
        }
    }
}
