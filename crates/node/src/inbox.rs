//! Messages on their way from a socket: the one loop that reads, decodes and hands them to the owner.

use crate::clients::life::{Life, Quiet};
use crate::clients::FromClient;
use crate::limits::{AHEAD_BYTES, AHEAD_MESSAGES, READ_BYTES, WAIT};
use crate::outbox::Holding;
use crate::resp::{Bounds, Decoder, Malformed};
use crate::{socket, Input, Shared};
use async_channel::TrySendError;
use async_io::{Async, Timer};
use basaltgw::api::Ms;
use futures_lite::future;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::VecDeque;
use std::future::Future;
use std::net::TcpStream;
use std::pin::pin;
use std::time::{Duration, Instant};

/// What may be read on a connection, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// What a message may hold.
    pub bounds: Bounds,
    /// The first message has to be whole after this; `None` where it may take any time to begin.
    pub first: Option<Duration>,
    /// A message has to be whole this long after its first byte.
    pub whole: Duration,
    /// A message that has begun goes on after no more than this.
    pub gap: Duration,
    /// While the reading is held up, the peer is watched: its end counts at once, whatever of it is not handed over or not read,
    /// and a little is read ahead for what it takes back.
    pub watched: bool,
}

/// Why no more is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// The connection ended.
    Ended,
    /// It sent what can't be read.
    Unreadable(Malformed),
    /// It never said anything.
    Silent,
    /// It stopped in mid-message.
    Unfinished,
    /// The owner wanted it closed, and nothing crossed that.
    Quiet(Quiet),
    /// The owner has dropped it.
    Dropped,
}

/// What a reader waits for.
enum Next {
    Read(std::io::Result<usize>),
    Late,
    Wanted,
}

/// A connection that waited for no longer was accepted as it came.
const ACCEPTED_AT_ONCE: Duration = Duration::from_millis(10);

/// Why reading is held up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldUp {
    /// Messages of all connections hold too much.
    Memory,
    /// Too much waits for this peer, which reads slowly.
    Unsent,
    /// The owner's queue has no room.
    Queue,
}

/// Runs a connection's two sides until one is over. What is written ends when its outbox is dropped, or the peer takes no more.
pub async fn either(read: impl Future<Output = Over>, write: impl Future<Output = bool>) -> Over {
    let written = async {
        write.await;
        Over::Ended
    };
    future::or(read, written).await
}

/// Reads messages until the connection ends, sends what can't be read, or takes too long. `full` holds the reading up;
/// `typed` makes an input of a message whose last byte was read at that time and behind which something came with it that can't be read,
/// or not; `None` if it makes no sense at all. It sees all messages of a piece before the first of them is handed over. Where the
/// connection is a client's, it has a state, by which the owner may want it closed, and may have waited to be accepted since that time.
pub async fn read_all(
    socket: &Async<TcpStream>,
    terms: Terms,
    shared: &Shared,
    full: impl Fn() -> bool,
    typed: impl Fn(Vec<Vec<u8>>, Ms, bool) -> Option<Input>,
    client: Option<(&Life, Instant)>,
) -> Over {
    let (life, accepted) = client.unzip();
    // What is there at once came while the connection waited to be accepted.
    let waited = accepted.filter(|since| since.elapsed() > ACCEPTED_AT_ONCE && socket::readable(socket));
    let mut reader = Reader {
        socket,
        terms,
        shared,
        typed,
        life,
        decoder: Decoder::new(terms.bounds),
        piece: vec![0; READ_BYTES],
        kept: VecDeque::new(),
        kept_bytes: 0,
        fault: None,
        first: terms.first.map(|t| Instant::now() + t),
        begun: None,
        empty_since: waited.unwrap_or_else(Instant::now),
        lain: waited.is_some(),
        holding: Holding::new(&shared.meter),
    };
    loop {
        if let Err(over) = reader.next(&full).await {
            return over;
        }
        // A peer at full speed leaves the thread to the others after each piece.
        future::yield_now().await;
    }
}

/// A connection's reading side.
struct Reader<'a, T> {
    socket: &'a Async<TcpStream>,
    terms: Terms,
    shared: &'a Shared,
    typed: T,
    life: Option<&'a Life>,
    decoder: Decoder,
    piece: Vec<u8>,
    /// Whole messages that are not handed over: those of one piece, and what was read ahead.
    kept: VecDeque<Input>,
    kept_bytes: usize,
    /// What ends the connection once they are.
    fault: Option<Over>,
    /// When the first message has to be whole.
    first: Option<Instant>,
    /// Since when a message has been under way.
    begun: Option<Instant>,
    /// When the socket was last known to hold nothing more.
    empty_since: Instant,
    /// What is read first came while the connection waited to be accepted, since then.
    lain: bool,
    holding: Holding,
}

impl<T: Fn(Vec<Vec<u8>>, Ms, bool) -> Option<Input>> Reader<'_, T> {
    /// Reads a piece and hands over what is whole.
    async fn next(&mut self, full: &impl Fn() -> bool) -> Result<(), Over> {
        while let Some(why) = self.held_up(full) {
            // What takes requests back holds nothing and frees what they hold.
            while self.kept.front().is_some_and(takes_back) && !self.shared.queue.is_full() {
                self.hand_over(1).await?;
            }
            self.look(why).await?;
        }
        // What was read ahead comes first.
        if self.kept.is_empty() && self.fault.is_none() {
            let n = self.read().await?;
            self.take(n);
        }
        self.hand_over(self.kept.len()).await?;
        match self.fault.filter(|_| self.kept.is_empty()) {
            Some(fault) => Err(fault),
            None => Ok(()),
        }
    }

    fn held_up(&self, full: &impl Fn() -> bool) -> Option<HeldUp> {
        if self.shared.meter.held() > self.shared.held_limit {
            return Some(HeldUp::Memory);
        }
        full().then_some(HeldUp::Unsent)
    }

    /// Reads what has come, in its time.
    async fn read(&mut self) -> Result<usize, Over> {
        let end = self.begun.map(|t| (t + self.terms.whole).min(Instant::now() + self.terms.gap));
        let end = end.into_iter().chain(self.first).min();
        let late = async {
            match end {
                Some(end) => Timer::at(end).await,
                None => future::pending().await,
            };
            Next::Late
        };
        let wanted = async {
            match self.life {
                Some(life) => life.wanted().await,
                None => future::pending().await,
            }
            Next::Wanted
        };
        let (mut socket, piece) = (self.socket, &mut self.piece);
        // What has come is read before it is called late, and before the connection is said to rest.
        let empty_since = &mut self.empty_since;
        let read = async {
            let mut reading = pin!(socket::read(&mut socket, piece));
            let noted = future::poll_fn(|cx| {
                let polled = reading.as_mut().poll(cx);
                // A short read proves nothing: only one that has to wait found the socket empty.
                if polled.is_pending() {
                    *empty_since = Instant::now();
                }
                polled
            });
            Next::Read(noted.await)
        };
        match future::or(read, future::or(late, wanted)).await {
            Next::Read(Ok(n)) if n > 0 => Ok(n),
            Next::Read(Ok(_) | Err(_)) => Err(Over::Ended),
            Next::Late if self.begun.is_none() => Err(Over::Silent),
            Next::Late => Err(Over::Unfinished),
            Next::Wanted => match self.life.and_then(|l| l.stops(self.begun.map(|t| t.elapsed()))) {
                Some(over) => Err(over),
                None => Ok(0),
            },
        }
    }

    /// Decodes the piece's first bytes.
    fn take(&mut self, n: usize) {
        self.decoder.feed(self.piece.get(..n).unwrap_or_default());
        // What lay in the socket during a stop of the process came at some time of it, at its beginning for all that is known.
        let waited = match std::mem::take(&mut self.lain) {
            true => self.empty_since.elapsed(),
            false => self.shared.stalls.waited(self.empty_since),
        };
        let now = self.shared.clock.now() - waited.as_secs_f64() * 1000.0;
        let mut next = self.decoder.message();
        while self.fault.is_none() {
            let words = match next {
                Ok(Some(words)) => words,
                Ok(None) => break,
                Err(e) => {
                    self.fault = Some(Over::Unreadable(e));
                    break;
                }
            };
            // Where what follows can't be read, so is where this one ends.
            next = self.decoder.message();
            (self.begun, self.first) = (None, None);
            self.kept_bytes += words.iter().map(Vec::len).sum::<usize>();
            match (self.typed)(words, now, next.is_err()) {
                Some(input) if self.life.is_none_or(Life::hands) => self.kept.push_back(input),
                Some(_) => self.fault = Some(Over::Dropped),
                None => self.fault = Some(Over::Unreadable(Malformed::SENSELESS)),
            }
        }
        self.holding.set(self.decoder.held());
        if self.decoder.mid_message() {
            self.begun.get_or_insert_with(Instant::now);
        }
    }

    /// Hands over the first of what is kept, waiting for room.
    async fn hand_over(&mut self, many: usize) -> Result<(), Over> {
        for _ in 0..many {
            let Some(input) = self.kept.pop_front() else { break };
            if self.life.is_some_and(|l| !l.state().reads()) {
                return Err(Over::Dropped);
            }
            match self.shared.queue.try_send(input) {
                Ok(()) => {}
                Err(TrySendError::Closed(_)) => return Err(Over::Ended),
                Err(TrySendError::Full(input)) => {
                    let queue = &self.shared.queue;
                    let mut send = pin!(queue.send(input));
                    let sent = loop {
                        let sent = async { Some(send.as_mut().await.map_err(|_| Over::Ended)) };
                        let look = async { self.look(HeldUp::Queue).await.err().map(Err) };
                        if let Some(sent) = future::or(sent, look).await {
                            break sent;
                        }
                    };
                    sent?;
                }
            }
        }
        if self.kept.is_empty() {
            self.kept_bytes = 0;
        }
        Ok(())
    }

    /// Waits a little while the reading is held up. A peer that is watched may end meanwhile, and a little of what it sends is read.
    async fn look(&mut self, why: HeldUp) -> Result<(), Over> {
        let since = Instant::now();
        let room = AHEAD_BYTES.saturating_sub(self.kept_bytes + self.decoder.held());
        let ahead =
            self.terms.watched && self.fault.is_none() && self.kept.len() < AHEAD_MESSAGES && room > 0;
        if ahead {
            let (mut socket, piece) = (self.socket, self.piece.get_mut(..room).unwrap_or_default());
            let waited = async {
                Timer::after(WAIT).await;
                None
            };
            match future::or(async { Some(socket::read(&mut socket, piece).await) }, waited).await {
                Some(Ok(n)) if n > 0 => self.take(n),
                Some(Ok(_) | Err(_)) => return Err(Over::Ended),
                None => {}
            }
        } else if self.terms.watched && ended(self.socket) {
            return Err(Over::Ended);
        } else {
            Timer::after(WAIT).await;
        }
        match why {
            // Half messages that fill the memory must come to their end by themselves.
            HeldUp::Memory if self.begun.is_some_and(|t| t.elapsed() > self.terms.whole) => {
                Err(Over::Unfinished)
            }
            HeldUp::Memory => Ok(()),
            // That it can't go on is not the message's fault.
            HeldUp::Unsent | HeldUp::Queue => {
                self.begun = self.begun.map(|t| t + since.elapsed());
                Ok(())
            }
        }
    }
}

/// It takes a request back.
fn takes_back(input: &Input) -> bool {
    matches!(input, Input::Client(_, FromClient::Undo(_), _))
}

/// The peer has closed its side or all of it, whatever of what it sent before is not read. Where that can't be asked, it is seen when the
/// reading goes on.
fn ended(socket: &Async<TcpStream>) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let polled = poll(&mut fds, Some(&Timespec::default()));
    let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    polled.is_ok() && fds.iter().any(|fd| fd.revents().intersects(over))
}
