//! The reading side of a connection, as frames.

use crate::codec::Codec;
use async_io::Async;
use asynchronous_codec::FramedRead;
use futures_lite::AsyncRead;
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// Frames read from a connection.
pub type FrameStream = FramedRead<TimedReader, Codec>;

/// A connection's reading side, which records when bytes were last received.
pub struct TimedReader {
    stream: Rc<Async<TcpStream>>,
    last_received: Rc<Cell<Instant>>,
}

impl TimedReader {
    pub fn new(stream: Rc<Async<TcpStream>>, last_received: Rc<Cell<Instant>>) -> Self {
        Self { stream, last_received }
    }
}

impl AsyncRead for TimedReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut &*self.stream).poll_read(cx, to);
        if let Poll::Ready(Ok(1..)) = read {
            self.last_received.set(Instant::now());
        }
        read
    }
}
