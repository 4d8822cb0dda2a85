//! One connection to the change log.

use super::{Decoder, Frame};
use crate::clock::late;
use crate::limits::{LOG_CONNECT, LOG_DOUBT, LOG_SILENT, READ_BYTES};
use crate::socket as io_socket;
use async_io::Async;
use basaltgw_config::{Names, Seq};
use futures_lite::future;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::time::Instant;

type Socket = Async<TcpStream>;

enum Stage {
    /// It is coming up, and is then told the last event that is known.
    Coming(Pin<Box<dyn Future<Output = io::Result<Socket>>>>),
    /// It is read from.
    Up(Socket, Vec<u8>),
}

/// A connection to the change log. Dropped, it is closed.
pub struct Watch {
    stage: Stage,
    decoder: Decoder,
    /// When it was opened, or gave its last whole frame. Bytes without a whole frame are silence.
    sign: Instant,
    /// It is over if it gives nothing before this.
    until: Instant,
    heard: bool,
}

impl Watch {
    /// Opens one that goes on after this event.
    pub fn open(at: SocketAddr, last: Seq) -> Self {
        let coming = async move {
            let mut socket = Async::<TcpStream>::connect(at).await?;
            socket.get_ref().set_nodelay(true)?;
            io_socket::write_whole(&mut socket, &last.0.to_be_bytes()).await?;
            Ok(socket)
        };
        let sign = Instant::now();
        let stage = Stage::Coming(Box::pin(coming));
        Self { stage, decoder: Decoder::default(), sign, until: sign + LOG_CONNECT, heard: false }
    }

    /// True once it has given a whole frame.
    pub fn heard(&self) -> bool {
        self.heard
    }

    /// From when on another is tried beside it.
    pub fn doubtful(&self) -> Instant {
        self.sign + LOG_DOUBT
    }

    /// The next frame, or why there is none any more. Given up while it waits, it loses nothing.
    pub async fn frame(&mut self, names: &Names) -> io::Result<Frame> {
        loop {
            let bad = |e: super::BadFrame| io::Error::new(io::ErrorKind::InvalidData, e.to_string());
            if let Some(frame) = self.decoder.frame(names).map_err(bad)? {
                self.heard = true;
                self.sign = Instant::now();
                self.until = self.sign + LOG_SILENT;
                return Ok(frame);
            }
            let rest = self.until.saturating_duration_since(Instant::now());
            future::or(self.more(), late(rest)).await?;
        }
    }

    /// Comes up, or reads a piece.
    async fn more(&mut self) -> io::Result<()> {
        match &mut self.stage {
            Stage::Coming(coming) => {
                let socket = coming.await?;
                self.stage = Stage::Up(socket, vec![0; READ_BYTES]);
                self.until = Instant::now() + LOG_SILENT;
            }
            Stage::Up(socket, piece) => {
                let n = io_socket::read(socket, piece).await?;
                if n == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                self.decoder.feed(piece.get(..n).unwrap_or_default());
            }
        }
        Ok(())
    }
}
