//! A connection: the handshake, then reading and writing until the link goes down.
//!
//! A link goes down if its peer is silent, sends malformed data or too many control frames, reads no bytes, or closes it; if it is idle and
//! not wanted; at shutdown. Inputs: the frames, the timeouts of the settings and of [`crate::limits`].

use crate::codec::{BadFrame, Codec, Frame, Kind};
use crate::connection_manager::{ConnectionManager, Link};
use crate::counters::{add, increment};
use crate::dialling::DialSlot;
use crate::frame_stream::{FrameStream, TimedReader};
use crate::handshake::{handshake, EstablishedLink, HandshakeError};
use crate::limits::{
    FRAME_TIMEOUT, HANDSHAKE_TIMEOUT, MAX_CONTROL_FRAMES_PER_SECOND, MAX_READ_BYTES_PER_SECOND,
    STABLE_LINK_AGE, WRITE_TIMEOUT,
};
use crate::{Lane, LinkError};
use async_io::{Async, Timer};
use asynchronous_codec::{Encoder, FramedRead};
use basaltgw_types::{RouterId, TableHash, TableVersion};
use bytes::BytesMut;
use futures_lite::{future, AsyncWriteExt, StreamExt};
use std::cell::Cell;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const ONE_SECOND: Duration = Duration::from_secs(1);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It was a link for at least [`STABLE_LINK_AGE`].
    Stable,
    /// It was a link for a shorter time.
    ShortLived,
    /// It was lost, or closed by the peer, during the handshake.
    ClosedInHandshake,
    /// A link to the router was up already.
    Duplicate,
    /// The connect failed, the handshake timed out, or the peer was rejected.
    Failed,
}

/// Runs a connection to its end; its dial slot is freed after the handshake.
pub async fn run_connection(
    manager: &Rc<ConnectionManager>,
    stream: Async<TcpStream>,
    dialled: Option<&RouterId>,
    slot: Option<DialSlot>,
) -> ConnectionEnd {
    // Disables Nagle's algorithm: frames are complete messages, and delaying them gains nothing.
    let _ = stream.get_ref().set_nodelay(true);
    let stream = Rc::new(stream);
    let last_received = Rc::new(Cell::new(Instant::now()));
    let reader = TimedReader::new(stream.clone(), last_received.clone());
    let mut frames = FramedRead::new(reader, Codec { max_body_bytes: 0 });
    let timeout = async {
        Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(HandshakeError::TimedOut)
    };
    let established = future::or(handshake(manager, &stream, &mut frames, dialled), timeout).await;
    drop(slot);
    if dialled.is_none() {
        manager.in_handshake.set(manager.in_handshake.get().saturating_sub(1));
    }
    match established {
        Ok(established) => run_link(manager, established, &stream, frames, &last_received).await,
        Err(error) => on_handshake_failed(manager, error),
    }
}

/// Counts and logs a failed handshake.
fn on_handshake_failed(manager: &ConnectionManager, error: HandshakeError) -> ConnectionEnd {
    match error {
        HandshakeError::TimedOut => {
            manager.reject(&manager.counters.peer_no_hello, "the handshake was not complete in time");
            ConnectionEnd::Failed
        }
        HandshakeError::ConnectionLost => {
            increment(&manager.counters.peer_unmet);
            ConnectionEnd::ClosedInHandshake
        }
        HandshakeError::Duplicate => {
            increment(&manager.counters.peer_second);
            ConnectionEnd::Duplicate
        }
        HandshakeError::Rejected(rejection) => {
            let counter = match rejection.error {
                LinkError::MalformedFrame => &manager.counters.peer_garbled,
                _ => &manager.counters.peer_stranger,
            };
            manager.reject(counter, &rejection.reason);
            ConnectionEnd::Failed
        }
    }
}

/// Reports a link as down when dropped, however its task ends.
struct LinkGuard {
    manager: Rc<ConnectionManager>,
    link: Rc<Link>,
    error: Cell<LinkError>,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.manager.link_down(&self.link, self.error.get());
    }
}

/// Reads and writes until the link is down.
async fn run_link(
    manager: &Rc<ConnectionManager>,
    established: EstablishedLink,
    stream: &Async<TcpStream>,
    mut frames: FrameStream,
    last_received: &Cell<Instant>,
) -> ConnectionEnd {
    let EstablishedLink { link, unwritten } = established;
    let error = Cell::new(LinkError::ConnectionLost);
    let guard = LinkGuard { manager: manager.clone(), link: link.clone(), error };
    let established_at = Instant::now();
    frames.decoder_mut().max_body_bytes = manager.limits.max_frame_bytes;
    last_received.set(established_at);
    let replaced = async {
        let listener = link.went_down.listen();
        if !link.is_down.get() {
            listener.await;
        }
        LinkError::ConnectionLost
    };
    let reading = read_frames(manager, &link, &mut frames, last_received);
    let writing = write_frames(manager, &link, stream, unwritten);
    let error = future::or(replaced, future::or(reading, writing)).await;
    guard.error.set(if link.is_closing.get() { LinkError::Idle } else { error });
    drop(guard);
    match established_at.elapsed() >= STABLE_LINK_AGE {
        true => ConnectionEnd::Stable,
        false => ConnectionEnd::ShortLived,
    }
}

/// Bytes and control frames read from a link in the present second.
struct ReadRate {
    started_at: Instant,
    bytes: usize,
    control_frames: u32,
}

impl ReadRate {
    fn start() -> Self {
        Self { started_at: Instant::now(), bytes: 0, control_frames: 0 }
    }
}

/// Reads until the link ends.
async fn read_frames(
    manager: &Rc<ConnectionManager>,
    link: &Rc<Link>,
    frames: &mut FrameStream,
    last_received: &Cell<Instant>,
) -> LinkError {
    let mut rate = ReadRate::start();
    loop {
        let frame = match next_frame(manager, link, frames, last_received).await {
            Ok(frame) => frame,
            Err(error) => return error,
        };
        if rate.started_at.elapsed() >= ONE_SECOND {
            rate = ReadRate::start();
        }
        rate.bytes += frame.body.len();
        let handled = match frame.kind {
            Kind::Lane(lane) => {
                deliver(manager, link, lane, &frame.body).await;
                last_received.set(Instant::now());
                link.last_used.set(Instant::now());
                Ok(())
            }
            Kind::Alive | Kind::Table => on_control_frame(manager, link, &frame, &mut rate),
            Kind::Close => Err(LinkError::Idle),
            Kind::Hello | Kind::Go => Err(LinkError::MalformedFrame),
        };
        if let Err(error) = handled {
            return error;
        }
        if rate.bytes > MAX_READ_BYTES_PER_SECOND {
            increment(&manager.counters.peer_paced);
            Timer::at(rate.started_at + ONE_SECOND).await;
            last_received.set(Instant::now());
        }
    }
}

/// The next frame, or why the link ends.
async fn next_frame(
    manager: &ConnectionManager,
    link: &Link,
    frames: &mut FrameStream,
    last_received: &Cell<Instant>,
) -> Result<Frame, LinkError> {
    let silence = async {
        wait_for_silence(last_received, manager.settings.peer_timeout).await;
        Err(LinkError::PeerTimeout)
    };
    // Reading is polled first: after this process was suspended, bytes that are already there count.
    match future::or(async { Ok(frames.next().await) }, silence).await? {
        Some(Ok(frame)) => Ok(frame),
        None | Some(Err(BadFrame::Io(_))) => Err(LinkError::ConnectionLost),
        Some(Err(error)) => {
            log::warn!("peers: {} sent {error}", link.member());
            Err(LinkError::MalformedFrame)
        }
    }
}

/// Returns once no byte was received for `timeout`, or the frame that is being read is not complete in time.
async fn wait_for_silence(last_received: &Cell<Instant>, timeout: Duration) {
    let started_at = Instant::now();
    loop {
        let end = (last_received.get() + timeout).min(started_at + FRAME_TIMEOUT.max(timeout));
        if Instant::now() >= end {
            return;
        }
        Timer::at(end).await;
    }
}

/// Counts a control frame, and updates the peer's table.
fn on_control_frame(
    manager: &ConnectionManager,
    link: &Link,
    frame: &Frame,
    rate: &mut ReadRate,
) -> Result<(), LinkError> {
    rate.control_frames += 1;
    if rate.control_frames > MAX_CONTROL_FRAMES_PER_SECOND {
        return Err(LinkError::RateExceeded);
    }
    if frame.kind == Kind::Table {
        let decoded = postcard::take_from_bytes::<(TableVersion, TableHash)>(&frame.body);
        let Ok((table, [])) = decoded else { return Err(LinkError::MalformedFrame) };
        link.session.borrow_mut().hello.table = table;
        let hello = link.session.borrow().hello.clone();
        manager.report_link_up(&hello);
    }
    Ok(())
}

/// Delivers a frame to the users of its lane. The link is not read while a user's ring is full, so that only its peer waits.
async fn deliver(manager: &ConnectionManager, link: &Link, lane: Lane, body: &[u8]) {
    increment(&manager.counters.peer_frames_in);
    add(&manager.counters.peer_bytes_in, body.len());
    let from = link.member();
    let mut pending_users = [true; 2];
    while !manager.deliver(&from, lane, body, &mut pending_users) {
        increment(&manager.counters.peer_ring_waits);
        let listener = manager.capacity_freed.listen();
        if !manager.deliver(&from, lane, body, &mut pending_users) {
            listener.await;
        }
    }
    // Links that wait take turns, a frame each.
    future::yield_now().await;
}

/// Writes queued frames, and keepalives in between, until the link ends.
async fn write_frames(
    manager: &Rc<ConnectionManager>,
    link: &Rc<Link>,
    stream: &Async<TcpStream>,
    mut bytes: BytesMut,
) -> LinkError {
    let mut codec = Codec { max_body_bytes: manager.limits.max_frame_bytes };
    loop {
        if let Err(error) = write_bytes(manager, stream, &bytes).await {
            return error;
        }
        if let Some(frame) = link.in_progress.take() {
            increment(&manager.counters.peer_frames_out);
            add(&manager.counters.peer_bytes_out, frame.body.len());
            link.last_used.set(Instant::now());
        }
        if link.is_closing.get() {
            return half_close(stream).await;
        }
        bytes.clear();
        if let Err(error) = encode_next(manager, link, &mut codec, &mut bytes).await {
            return error;
        }
    }
}

/// Writes all bytes; fails if the peer takes none of them for too long.
async fn write_bytes(
    manager: &ConnectionManager,
    mut stream: &Async<TcpStream>,
    mut bytes: &[u8],
) -> Result<(), LinkError> {
    let timeout = WRITE_TIMEOUT.max(2 * manager.settings.peer_timeout);
    while !bytes.is_empty() {
        let no_progress = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match future::or(stream.write(bytes), no_progress).await {
            Ok(written @ 1..) => bytes = bytes.get(written..).unwrap_or_default(),
            Err(e) if e.kind() == io::ErrorKind::TimedOut => return Err(LinkError::PeerTimeout),
            Ok(0) | Err(_) => return Err(LinkError::ConnectionLost),
        }
    }
    Ok(())
}

/// Encodes what is written next: the table if it has changed, a queued frame, or after an interval without one a keepalive or a close.
async fn encode_next(
    manager: &ConnectionManager,
    link: &Link,
    codec: &mut Codec,
    bytes: &mut BytesMut,
) -> Result<(), LinkError> {
    let listener = link.work_available.listen();
    if link.table_changed.take() {
        let table = manager.me.borrow().hello.table;
        if let Ok(body) = postcard::to_stdvec(&table) {
            let _ = codec.encode((Kind::Table, &body), bytes);
        }
        return Ok(());
    }
    let next = link.queues.borrow_mut().pop();
    if let Some(frame) = next {
        let encoded = codec.encode((Kind::Lane(frame.lane), &frame.body), bytes);
        *link.in_progress.borrow_mut() = Some(frame);
        return encoded.map_err(|_| LinkError::ConnectionLost);
    }
    if manager.is_shutting_down.get() {
        return Err(LinkError::ConnectionLost);
    }
    let has_work = async {
        listener.await;
        true
    };
    let interval_elapsed = async {
        Timer::after(manager.settings.keepalive_interval).await;
        false
    };
    if !future::or(has_work, interval_elapsed).await {
        // No frame was queued during the interval, so a close loses nothing.
        link.is_closing.set(manager.is_idle(link));
        let kind = if link.is_closing.get() { Kind::Close } else { Kind::Alive };
        let _ = codec.encode((kind, &[]), bytes);
    }
    Ok(())
}

/// Closes the writing side, and waits while [`read_frames`] reads what the peer still writes. The peer closes when it reads the close frame;
/// otherwise the link ends after a timeout.
async fn half_close(stream: &Async<TcpStream>) -> LinkError {
    if stream.get_ref().shutdown(Shutdown::Write).is_ok() {
        Timer::after(HANDSHAKE_TIMEOUT).await;
    }
    LinkError::Idle
}
