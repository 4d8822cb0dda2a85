//! One connection to the change log.
//!
//! A connection that the change log has not closed may still bring every event, however late its bytes arrive, so silence alone never ends the
//! active connection. Only a standby has time limits, until its first frame: another one may be answered sooner.

use super::{Decoder, Frame};
use crate::clock::timed_out_after;
use crate::limits::{CHANGELOG_CONNECT_TIMEOUT, CHANGELOG_HEDGE_AFTER, READ_BYTES};
use crate::socket as io_socket;
use async_io::Async;
use basaltgw_config::{Seq, WireNames};
use futures_lite::future;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::time::{Duration, Instant};

type Socket = Async<TcpStream>;

enum State {
    /// Connecting, then requesting the events after the last known one.
    Connecting(Pin<Box<dyn Future<Output = io::Result<Socket>>>>),
    /// Open, with the buffer of its reads.
    Open(Socket, Vec<u8>),
}

/// A connection to the change log. Dropping it closes the connection.
pub struct Watch {
    state: State,
    decoder: Decoder,
    /// When the connection was opened or received its last complete frame; partial frames don't count.
    last_frame: Instant,
    /// How long after it is established the first frame of a standby must be complete; `None` for the active connection.
    first_frame_timeout: Option<Duration>,
    /// When a standby fails unless it is established, or its first frame is complete, before.
    timeout_at: Option<Instant>,
    has_received: bool,
}

impl Watch {
    /// Connects and requests the events after `last`. `first_frame_timeout` is given for a standby.
    pub fn open(address: SocketAddr, last: Seq, first_frame_timeout: Option<Duration>) -> Self {
        let connecting = async move {
            let mut socket = Async::<TcpStream>::connect(address).await?;
            socket.get_ref().set_nodelay(true)?;
            io_socket::write_all(&mut socket, &last.0.to_be_bytes()).await?;
            Ok(socket)
        };
        let last_frame = Instant::now();
        let state = State::Connecting(Box::pin(connecting));
        let timeout_at = first_frame_timeout.map(|_| last_frame + CHANGELOG_CONNECT_TIMEOUT);
        let decoder = Decoder::default();
        Self { state, decoder, last_frame, first_frame_timeout, timeout_at, has_received: false }
    }

    /// Ends the time limits of a standby, since it becomes the active connection.
    pub fn activate(&mut self) {
        (self.first_frame_timeout, self.timeout_at) = (None, None);
    }

    /// Whether the connection is established.
    pub fn is_established(&self) -> bool {
        matches!(self.state, State::Open(..))
    }

    /// Whether a complete frame was received on the connection.
    pub fn has_received(&self) -> bool {
        self.has_received
    }

    /// When a standby connection is opened unless a frame is received before.
    pub fn suspect_at(&self) -> Instant {
        self.last_frame + CHANGELOG_HEDGE_AFTER
    }

    /// Waits for the next frame. Cancel safe: no frame is lost if the future is dropped.
    ///
    /// # Errors
    /// If the connection is closed, times out, or sends a frame that can't be decoded.
    pub async fn next_frame(&mut self, names: &WireNames) -> io::Result<Frame> {
        loop {
            let invalid = |e: super::FrameError| io::Error::new(io::ErrorKind::InvalidData, e.to_string());
            if let Some(frame) = self.decoder.next_frame(names).map_err(invalid)? {
                self.has_received = true;
                self.last_frame = Instant::now();
                self.activate();
                return Ok(frame);
            }
            match self.timeout_at.map(|at| at.saturating_duration_since(Instant::now())) {
                Some(left) => future::or(self.advance(), timed_out_after(left)).await?,
                None => self.advance().await?,
            }
        }
    }

    /// Completes the connect, or reads once.
    async fn advance(&mut self) -> io::Result<()> {
        match &mut self.state {
            State::Connecting(connecting) => {
                let socket = connecting.await?;
                self.state = State::Open(socket, vec![0; READ_BYTES]);
                self.timeout_at = self.first_frame_timeout.map(|timeout| Instant::now() + timeout);
            }
            State::Open(socket, chunk) => {
                let n = io_socket::read(socket, chunk).await?;
                if n == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                self.decoder.feed(chunk.get(..n).unwrap_or_default());
            }
        }
        Ok(())
    }
}
