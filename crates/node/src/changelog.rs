//! The change log: a stream of numbered frames, followed from the last event that is known.

use crate::clock::late;
use crate::limits::{LOG_CONNECT, LOG_FRAME, LOG_REST, LOG_REST_MOST, LOG_SILENT, READ_BYTES};
use crate::Input;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use basaltgw::api::{GroupId, Listed, ObjectId, ServerEntry, ServerId};
use basaltgw_config::{Member, Names, News, Seq};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// Number and kind, which every frame has.
const HEAD: usize = 9;
const RECORD: usize = 27;

/// A frame that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFrame(&'static str);

impl fmt::Display for BadFrame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// A frame: the event's number and the event; none in an empty frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The number.
    pub seq: Seq,
    /// What it tells, if that can be read.
    pub news: Result<Option<News>, BadFrame>,
}

/// Reads big-endian numbers off a payload.
struct Bytes<'a>(&'a [u8]);

impl Bytes<'_> {
    fn number(&mut self, width: usize) -> Result<u64, BadFrame> {
        let (head, rest) = self.0.split_at_checked(width).ok_or(BadFrame("a payload that is too short"))?;
        self.0 = rest;
        Ok(head.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }
}

/// Takes bytes in any pieces and gives whole frames.
#[derive(Default)]
pub struct Decoder(Vec<u8>);

impl Decoder {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// The next whole frame, if there is one.
    pub fn frame(&mut self, names: &Names) -> Result<Option<Frame>, BadFrame> {
        let Some((length, rest)) = self.0.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if !(HEAD..=LOG_FRAME).contains(&length) {
            return Err(BadFrame("a length out of bounds"));
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        let mut body = Bytes(body);
        let frame = Frame { seq: Seq(body.number(8)?), news: news(body, names) };
        self.0.drain(..4 + length);
        Ok(Some(frame))
    }
}

fn news(mut b: Bytes<'_>, names: &Names) -> Result<Option<News>, BadFrame> {
    let news = match b.number(1)? {
        0 => None,
        kind @ (1 | 2) => {
            let mut members = Vec::with_capacity(b.0.len() / RECORD);
            while !b.0.is_empty() {
                members.push(record(&mut b, names)?);
            }
            Some(News::Servers { whole: kind == 1, members })
        }
        3 => {
            let object = Some(ObjectId(b.number(8)?));
            Some(News::Purge { object, group: GroupId(0), time: b.number(8)? as f64 })
        }
        4 => {
            let group = GroupId(b.number(2)?);
            Some(News::Purge { object: None, group, time: b.number(8)? as f64 })
        }
        _ => return Err(BadFrame("an unknown kind")),
    };
    if b.0.is_empty() {
        Ok(news)
    } else {
        Err(BadFrame("a payload that is too long"))
    }
}

fn record(b: &mut Bytes<'_>, names: &Names) -> Result<Member, BadFrame> {
    let id = ServerId(Arc::from(format!("s-{:08x}", b.number(4)?)));
    let ip = Ipv4Addr::from(b.number(4)? as u32);
    let address = SocketAddr::from((ip, b.number(2)? as u16));
    let listed = match b.number(1)? {
        0 => Listed::Up,
        1 => Listed::Draining,
        2 => Listed::Gone,
        _ => return Err(BadFrame("an unknown state")),
    };
    let zone = names.zone_at(b.number(1)? as usize).ok_or(BadFrame("an unknown zone"))?;
    let role = names.role_at(b.number(1)? as usize).ok_or(BadFrame("an unknown kind of server"))?;
    let cell = b.number(2)?;
    let weight = b.number(4)? as f64 / 1000.0;
    let started = Some(b.number(8)? as f64).filter(|t| *t > 0.0);
    Ok(Member { entry: ServerEntry { id, zone, role, cell, listed, weight, started }, address })
}

/// Which event comes next, and what a fault means for the connection.
#[derive(Debug)]
pub struct Follower {
    last: Seq,
    /// A gap or an unreadable event was met here. Met again on the next connection, the log has nothing better, and
    /// what follows must not wait for it.
    fault: Option<Seq>,
}

impl Follower {
    /// A follower that has events up to `last`.
    pub fn new(last: Seq) -> Self {
        Self { last, fault: None }
    }

    /// The last event it has.
    pub fn last(&self) -> Seq {
        self.last
    }

    /// What a frame tells if it is the next event. An event that is known already is passed over. After an error the
    /// connection is of no more use.
    pub fn take(&mut self, frame: Frame) -> Result<Option<News>, BadFrame> {
        let known = frame.seq <= self.last;
        let news = match frame.news {
            Ok(None) => return Ok(None),
            Ok(Some(_)) if known => return Ok(None),
            Err(e) if known => return Err(e),
            news => news,
        };
        let again = self.fault.replace(frame.seq) == Some(frame.seq);
        if frame.seq.0 > self.last.0 + 1 && !again {
            return Err(BadFrame("a gap"));
        }
        let news = match news {
            Err(e) if !again => return Err(e),
            Err(e) => {
                log::warn!("change log: event {} is passed over: {e}", frame.seq.0);
                None
            }
            Ok(news) => news,
        };
        (self.last, self.fault) = (frame.seq, None);
        Ok(news)
    }
}

/// Where the change log is: at an address, until another is told.
struct Source {
    at: SocketAddr,
    moves: Receiver<SocketAddr>,
}

impl Source {
    /// Waits for something, but no longer than the address holds.
    async fn here<T>(&mut self, what: impl Future<Output = io::Result<T>>) -> io::Result<T> {
        let moved = async {
            loop {
                match self.moves.recv().await {
                    Ok(at) if at == self.at => {}
                    Ok(at) => {
                        self.at = at;
                        return Err(io::Error::other(format!("it is at {at} now")));
                    }
                    Err(_) => return future::pending().await,
                }
            }
        };
        future::or(moved, what).await
    }
}

/// Follows the change log for good; `moves` tells where else it is from then on.
pub async fn follow(
    at: SocketAddr,
    moves: Receiver<SocketAddr>,
    from: Seq,
    names: Names,
    urgent: Sender<Input>,
) {
    let mut source = Source { at, moves };
    let mut follower = Follower::new(from);
    let mut rest = LOG_REST;
    loop {
        let mut heard = false;
        let at = source.at;
        let why = match connection(&mut source, &mut follower, &names, &urgent, &mut heard).await {
            Ok(()) => return,
            Err(e) => e,
        };
        log::info!("change log: {why}; resumed after event {}", follower.last.0);
        if urgent.send(Input::LogLost).await.is_err() {
            return;
        }
        if heard {
            rest = LOG_REST;
        }
        let timer = Timer::after(rest);
        let rested = async {
            timer.await;
            Ok(())
        };
        // At a new address it is asked at once.
        if source.at != at || source.here(rested).await.is_err() {
            rest = LOG_REST;
            continue;
        }
        rest = (rest * 2).min(LOG_REST_MOST);
    }
}

/// One connection; returns without an error only when nobody listens to the news any more.
async fn connection(
    source: &mut Source,
    follower: &mut Follower,
    names: &Names,
    urgent: &Sender<Input>,
    heard: &mut bool,
) -> io::Result<()> {
    let at = source.at;
    let connect = async { Async::<TcpStream>::connect(at).await };
    let mut socket = source.here(future::or(connect, late(LOG_CONNECT))).await?;
    socket.get_ref().set_nodelay(true)?;
    socket.write_all(&follower.last.0.to_be_bytes()).await?;
    let mut decoder = Decoder::default();
    let mut piece = vec![0; READ_BYTES];
    let bad = |e: BadFrame| io::Error::new(io::ErrorKind::InvalidData, e.to_string());
    // Bytes without a whole frame are silence too.
    let mut until = Instant::now() + LOG_SILENT;
    loop {
        let rest = until.saturating_duration_since(Instant::now());
        let n = source.here(future::or(socket.read(&mut piece), late(rest))).await?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        decoder.feed(piece.get(..n).unwrap_or_default());
        while let Some(frame) = decoder.frame(names).map_err(bad)? {
            *heard = true;
            until = Instant::now() + LOG_SILENT;
            if let Some(news) = follower.take(frame).map_err(bad)? {
                // Not given up for a new address: what is taken is told.
                if urgent.send(Input::News(news)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}
