//! One connection: the hello, and then reading and writing until something ends it.

use crate::codec::{BadFrame, Codec, Frame, Kind};
use crate::counts::{add, count};
use crate::hub::{Greeting, Hub, Link};
use crate::limits::{HELLO, OWN_PER_S, READ_PER_S, STUCK, WHOLE};
use crate::wants::Place;
use crate::LinkError;
use async_io::{Async, Timer};
use asynchronous_codec::{Encoder, FramedRead};
use basaltgw_types::{RouterId, TableHash, TableVersion};
use bytes::BytesMut;
use futures_lite::{future, AsyncRead, AsyncWriteExt, StreamExt};
use std::cell::Cell;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A connection's reading side; notes when something came.
struct Ear {
    stream: Rc<Async<TcpStream>>,
    heard: Rc<Cell<Instant>>,
}

impl AsyncRead for Ear {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut &*self.stream).poll_read(cx, to);
        if let Poll::Ready(Ok(1..)) = read {
            self.heard.set(Instant::now());
        }
        read
    }
}

type Frames = FramedRead<Ear, Codec>;

/// Why a connection never was a link.
enum NoLink {
    /// Nothing whole in time.
    Late,
    /// It broke, or the other side closed it: a second connection mostly.
    Broke,
    /// There is a link already.
    Second,
    /// A stranger, or garbled.
    Bad(LinkError, String),
}

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was a link for long enough to be a good one.
    Good,
    /// It was a link.
    Brief,
    /// It broke, or was closed by the other side, before it was a link.
    Unmet,
    /// There is a link already.
    Second,
    /// Nobody was there, or a stranger.
    Refused,
}

/// Carries on a connection to its end; a place among the dials is given back once it is a link, or none.
pub async fn connection(
    hub: &Rc<Hub>,
    stream: Async<TcpStream>,
    dialled: Option<&RouterId>,
    place: Option<Place>,
) -> End {
    // Frames are whole messages; holding them back gains nothing.
    let _ = stream.get_ref().set_nodelay(true);
    let stream = Rc::new(stream);
    let heard = Rc::new(Cell::new(Instant::now()));
    let ear = Ear { stream: stream.clone(), heard: heard.clone() };
    let mut frames = FramedRead::new(ear, Codec { most: 0 });
    let late = async {
        Timer::after(HELLO).await;
        Err(NoLink::Late)
    };
    let greeted = future::or(greet(hub, &stream, &mut frames, dialled), late).await;
    drop(place);
    if dialled.is_none() {
        hub.unknown.set(hub.unknown.get().saturating_sub(1));
    }
    let (link, first) = match greeted {
        Ok(greeted) => greeted,
        Err(NoLink::Late) => {
            hub.refuse(&hub.counts.peer_no_hello, "no whole hello in time");
            return End::Refused;
        }
        Err(NoLink::Broke) => {
            count(&hub.counts.peer_unmet);
            return End::Unmet;
        }
        Err(NoLink::Second) => {
            count(&hub.counts.peer_second);
            return End::Second;
        }
        Err(NoLink::Bad(LinkError::MalformedFrame, text)) => {
            hub.refuse(&hub.counts.peer_garbled, &text);
            return End::Refused;
        }
        Err(NoLink::Bad(_, text)) => {
            hub.refuse(&hub.counts.peer_stranger, &text);
            return End::Refused;
        }
    };
    // Whatever way this ends, a task that is dropped included, the link is told to be gone.
    let up = Up { hub: hub.clone(), link: link.clone(), why: Cell::new(LinkError::ConnectionLost) };
    let since = Instant::now();
    frames.decoder_mut().most = hub.limits.max_frame_bytes;
    heard.set(since);
    let closed = async {
        let listener = link.closed.listen();
        if !link.gone.get() {
            listener.await;
        }
        LinkError::ConnectionLost
    };
    let reader = reader(hub, &link, &mut frames, &heard);
    let writer = writer(hub, &link, &stream, first);
    let why = future::or(closed, future::or(reader, writer)).await;
    up.why.set(if link.closing.get() { LinkError::Idle } else { why });
    drop(up);
    if since.elapsed() >= crate::limits::GOOD {
        End::Good
    } else {
        End::Brief
    }
}

/// A link for as long as it is up.
struct Up {
    hub: Rc<Hub>,
    link: Rc<Link>,
    why: Cell<LinkError>,
}

impl Drop for Up {
    fn drop(&mut self) {
        self.hub.down(&self.link, self.why.get());
    }
}

/// The hello, both ways. The router with the smaller name then says by `Go` that this connection is the link; it says so on one only.
async fn greet(
    hub: &Rc<Hub>,
    stream: &Async<TcpStream>,
    frames: &mut Frames,
    dialled: Option<&RouterId>,
) -> Result<(Rc<Link>, BytesMut), NoLink> {
    let own = |kinds: &[Kind]| {
        let me = hub.me.borrow();
        let hello =
            postcard::to_stdvec(&*me).map_err(|e| NoLink::Bad(LinkError::MalformedFrame, e.to_string()))?;
        let mut bytes = BytesMut::new();
        for kind in kinds {
            let body = if *kind == Kind::Hello { &hello[..] } else { &[] };
            let done = Codec { most: 0 }.encode((*kind, body), &mut bytes);
            done.map_err(|e| NoLink::Bad(LinkError::MalformedFrame, e.to_string()))?;
        }
        Ok(bytes)
    };
    let write = async |bytes: BytesMut| (&*stream).write_all(&bytes).await.map_err(|_| NoLink::Broke);
    if dialled.is_some() {
        write(own(&[Kind::Hello])?).await?;
    }
    // Whoever is connected to says nothing to one that it does not know.
    let greeting = hub.judge(&own_frame(frames, Kind::Hello).await?);
    let greeting: Greeting = greeting.map_err(|(why, text)| NoLink::Bad(why, text))?;
    let router = &greeting.hello.member.router;
    if let Some(expected) = dialled.filter(|d| *d != router) {
        return Err(NoLink::Bad(LinkError::PeerMismatch, format!("dialled {expected}, found {router}")));
    }
    if hub.chooses(router) {
        if hub.has(&greeting) {
            return Err(NoLink::Second);
        }
        // Up at once, before anything is waited for: no second connection is chosen meanwhile.
        let first = own(if dialled.is_some() { &[Kind::Go] } else { &[Kind::Hello, Kind::Go] })?;
        return Ok((hub.up(greeting, dialled.is_some()), first));
    }
    if dialled.is_none() {
        write(own(&[Kind::Hello])?).await?;
    }
    own_frame(frames, Kind::Go).await?;
    Ok((hub.up(greeting, dialled.is_some()), BytesMut::new()))
}

/// The next frame, which must be of one kind.
async fn own_frame(frames: &mut Frames, kind: Kind) -> Result<Vec<u8>, NoLink> {
    match frames.next().await {
        Some(Ok(frame)) if frame.kind == kind => Ok(frame.body),
        Some(Ok(frame)) => {
            let text = format!("expected {kind:?}, found {:?} of {} bytes", frame.kind, frame.body.len());
            Err(NoLink::Bad(LinkError::MalformedFrame, text))
        }
        Some(Err(BadFrame::Io(_))) | None => Err(NoLink::Broke),
        Some(Err(bad)) => Err(NoLink::Bad(LinkError::MalformedFrame, bad.to_string())),
    }
}

/// Reads until something ends the link.
async fn reader(hub: &Rc<Hub>, link: &Rc<Link>, frames: &mut Frames, heard: &Cell<Instant>) -> LinkError {
    let (mut second, mut bytes, mut own) = (Instant::now(), 0, 0);
    let silent = hub.settings.peer_timeout;
    loop {
        let silence = async {
            let begun = Instant::now();
            loop {
                let end = (heard.get() + silent).min(begun + WHOLE.max(silent));
                if Instant::now() >= end {
                    return Err(LinkError::PeerTimeout);
                }
                Timer::at(end).await;
            }
        };
        // Reading comes first: after this process was stopped, what is there already counts.
        let frame = future::or(async { Ok(frames.next().await) }, silence).await;
        let Frame { kind, body } = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(None | Some(Err(BadFrame::Io(_)))) => return LinkError::ConnectionLost,
            Ok(Some(Err(bad))) => {
                log::warn!("peers: {} sent {bad}", link.member());
                return LinkError::MalformedFrame;
            }
            Err(why) => return why,
        };
        if second.elapsed() >= Duration::from_secs(1) {
            (second, bytes, own) = (Instant::now(), 0, 0);
        }
        bytes += body.len();
        match kind {
            Kind::Lane(lane) => {
                count(&hub.counts.peer_frames_in);
                add(&hub.counts.peer_bytes_in, body.len());
                tell(hub, link, lane, &body).await;
                heard.set(Instant::now());
                link.used.set(Instant::now());
            }
            Kind::Alive | Kind::Table => {
                own += 1;
                if own > OWN_PER_S {
                    return LinkError::RateExceeded;
                }
                if kind == Kind::Table && !new_table(hub, link, &body) {
                    return LinkError::MalformedFrame;
                }
            }
            Kind::Close => return LinkError::Idle,
            Kind::Hello | Kind::Go => return LinkError::MalformedFrame,
        }
        if bytes > READ_PER_S {
            count(&hub.counts.peer_paced);
            Timer::at(second + Duration::from_secs(1)).await;
            heard.set(Instant::now());
        }
    }
}

/// Tells a frame to the users of its lane. Until there is room, the link is not read from: the peer waits, nobody else does.
async fn tell(hub: &Hub, link: &Link, lane: crate::Lane, body: &[u8]) {
    let from = link.member();
    let mut open = [true; 2];
    while !hub.got(&from, lane, body, &mut open) {
        count(&hub.counts.peer_ring_waits);
        let listener = hub.room.listen();
        if !hub.got(&from, lane, body, &mut open) {
            listener.await;
        }
    }
    // One frame in turn, where several links wait.
    future::yield_now().await;
}

/// Takes in the peer's table; whether it could be read.
fn new_table(hub: &Hub, link: &Link, body: &[u8]) -> bool {
    let Ok((table, [])) = postcard::take_from_bytes::<(TableVersion, TableHash)>(body) else {
        return false;
    };
    link.greeting.borrow_mut().hello.table = table;
    let hello = link.greeting.borrow().hello.clone();
    hub.tell_up(hello);
    true
}

/// Writes what waits, a sign of life when nothing does, until something ends the link.
async fn writer(hub: &Rc<Hub>, link: &Rc<Link>, stream: &Async<TcpStream>, mut bytes: BytesMut) -> LinkError {
    let mut codec = Codec { most: hub.limits.max_frame_bytes };
    loop {
        let mut out = &bytes[..];
        while !out.is_empty() {
            let stuck = async {
                Timer::after(STUCK.max(2 * hub.settings.peer_timeout)).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            match future::or((&*stream).write(out), stuck).await {
                Ok(n @ 1..) => out = out.get(n..).unwrap_or_default(),
                Err(e) if e.kind() == io::ErrorKind::TimedOut => return LinkError::PeerTimeout,
                Ok(0) | Err(_) => return LinkError::ConnectionLost,
            }
        }
        if let Some(frame) = link.writing.take() {
            count(&hub.counts.peer_frames_out);
            add(&hub.counts.peer_bytes_out, frame.body.len());
            link.used.set(Instant::now());
        }
        if link.closing.get() {
            return closed(stream).await;
        }
        bytes.clear();
        let listener = link.wake.listen();
        let table = link.table.take();
        let next = if table { None } else { link.lanes.borrow_mut().pop() };
        let encoded = if let Some(frame) = next {
            let done = codec.encode((Kind::Lane(frame.lane), &frame.body), &mut bytes).is_ok();
            *link.writing.borrow_mut() = Some(frame);
            done
        } else if table {
            let table = hub.me.borrow().hello.table;
            postcard::to_stdvec(&table).map(|body| codec.encode((Kind::Table, &body), &mut bytes)).is_ok()
        } else if hub.ending.get() {
            return LinkError::ConnectionLost;
        } else {
            let idle = async {
                Timer::after(hub.settings.keepalive_interval).await;
                true
            };
            let woken = async {
                listener.await;
                false
            };
            let alone = future::or(woken, idle).await;
            // Nothing was taken since: what waits is written first.
            link.closing.set(alone && hub.idle(link));
            let kind = if link.closing.get() { Kind::Close } else { Kind::Alive };
            alone && codec.encode((kind, &[]), &mut bytes).is_ok()
        };
        if !encoded && link.writing.borrow().is_some() {
            return LinkError::ConnectionLost;
        }
    }
}

/// Ends the writing in order. What the peer has written is still read; it closes when it reads that, and else is not waited for long.
async fn closed(stream: &Async<TcpStream>) -> LinkError {
    if stream.get_ref().shutdown(Shutdown::Write).is_ok() {
        Timer::after(HELLO).await;
    }
    LinkError::Idle
}
