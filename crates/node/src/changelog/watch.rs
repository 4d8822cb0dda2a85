//! One connection to the change log.

use super::{Decoder, Frame};
use crate::clock::timed_out_after;
use crate::limits::{CHANGELOG_CONNECT_TIMEOUT, CHANGELOG_HEDGE_AFTER, CHANGELOG_READ_TIMEOUT, READ_BYTES};
use crate::socket as io_socket;
use async_io::Async;
use basaltgw_config::{Seq, WireNames};
use futures_lite::future;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::time::Instant;

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
    /// When the connection fails unless it is established, or a frame is complete, before.
    timeout_at: Instant,
    has_received: bool,
}

impl Watch {
    /// Connects and requests the events after `last`.
    pub fn open(address: SocketAddr, last: Seq) -> Self {
        let connecting = async move {
            let mut socket = Async::<TcpStream>::connect(address).await?;
            socket.get_ref().set_nodelay(true)?;
            io_socket::write_all(&mut socket, &last.0.to_be_bytes()).await?;
            Ok(socket)
        };
        let last_frame = Instant::now();
        let state = State::Connecting(Box::pin(connecting));
        let timeout_at = last_frame + CHANGELOG_CONNECT_TIMEOUT;
        Self { state, decoder: Decoder::default(), last_frame, timeout_at, has_received: false }
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
                self.timeout_at = self.last_frame + CHANGELOG_READ_TIMEOUT;
                return Ok(frame);
            }
            let left = self.timeout_at.saturating_duration_since(Instant::now());
            future::or(self.advance(), timed_out_after(left)).await?;
        }
    }

    /// Completes the connect, or reads once.
    async fn advance(&mut self) -> io::Result<()> {
        match &mut self.state {
            State::Connecting(connecting) => {
                let socket = connecting.await?;
                self.state = State::Open(socket, vec![0; READ_BYTES]);
                self.timeout_at = Instant::now() + CHANGELOG_READ_TIMEOUT;
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
