//! Messages on their way from a socket: the one loop that reads, decodes and hands them to the owner.

use crate::clients::life::{Life, Quiet};
use crate::limits::{READ_BYTES, WAIT};
use crate::outbox::Holding;
use crate::resp::{Bounds, Decoder, Malformed};
use crate::{Input, Shared};
use async_io::{Async, Timer};
use basaltgw::api::Ms;
use futures_lite::{future, AsyncReadExt};
use std::future::Future;
use std::net::TcpStream;
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
/// or not; `None` if it makes no sense at all. Where the connection has a `life`, the owner may want it closed.
pub async fn read_all(
    mut socket: &Async<TcpStream>,
    terms: Terms,
    shared: &Shared,
    full: impl Fn() -> bool,
    typed: impl Fn(Vec<Vec<u8>>, Ms, bool) -> Option<Input>,
    life: Option<&Life>,
) -> Over {
    let mut decoder = Decoder::new(terms.bounds);
    let mut piece = vec![0; READ_BYTES];
    let mut first = terms.first.map(|t| Instant::now() + t);
    // Since when a message has been under way.
    let mut begun: Option<Instant> = None;
    let mut holding = Holding::new(&shared.meter);
    loop {
        while shared.meter.held() > shared.held_limit || full() {
            Timer::after(WAIT).await;
            // Half messages that fill the memory must come to their end by themselves.
            if begun.is_some_and(|t| t.elapsed() > terms.whole) {
                return Over::Unfinished;
            }
        }
        let end = begun.map(|t| (t + terms.whole).min(Instant::now() + terms.gap));
        let end = end.into_iter().chain(first).min();
        let late = async {
            match end {
                Some(end) => Timer::at(end).await,
                None => future::pending().await,
            };
            Next::Late
        };
        let wanted = async {
            match life {
                Some(life) => life.wanted().await,
                None => future::pending().await,
            }
            Next::Wanted
        };
        // What has come is read before it is called late, and before the connection is said to rest.
        let read = async { Next::Read(socket.read(&mut piece).await) };
        let n = match future::or(read, future::or(late, wanted)).await {
            Next::Read(Ok(n)) if n > 0 => n,
            Next::Read(Ok(_) | Err(_)) => return Over::Ended,
            Next::Late if begun.is_none() => return Over::Silent,
            Next::Late => return Over::Unfinished,
            Next::Wanted => match life.and_then(|l| l.stops(begun.map(|t| t.elapsed()))) {
                Some(over) => return over,
                None => continue,
            },
        };
        decoder.feed(piece.get(..n).unwrap_or_default());
        let now = shared.clock.now();
        let mut next = decoder.message();
        loop {
            let words = match next {
                Ok(Some(words)) => words,
                Ok(None) => break,
                Err(e) => return Over::Unreadable(e),
            };
            // Where what follows can't be read, so is where this one ends.
            next = decoder.message();
            (begun, first) = (None, None);
            let Some(input) = typed(words, now, next.is_err()) else {
                return Over::Unreadable(Malformed::SENSELESS);
            };
            if !life.is_none_or(Life::hands) {
                return Over::Dropped;
            }
            if shared.queue.send(input).await.is_err() {
                return Over::Ended;
            }
        }
        holding.set(decoder.held());
        if decoder.mid_message() {
            begun.get_or_insert_with(Instant::now);
        }
        // A peer at full speed leaves the thread to the others after each piece.
        future::yield_now().await;
    }
}
