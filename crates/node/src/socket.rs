//! Reads and writes sockets. An interrupted call is repeated at once; a call that failed because the machine lacks memory is retried after
//! a pause; any other error ends the connection.

use crate::limits::READ_BYTES;
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::fd::AsFd;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// Pause before a call is retried that failed because the machine lacks memory.
const SHORTAGE_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The most retries of such a call.
const MAX_SHORTAGE_RETRIES: u32 = 50;
/// Linux error numbers whose cause is this machine alone: ENOMEM, ENFILE, EMFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, ENETDOWN.
const LOCAL_ERRORS: [i32; 7] = [12, 23, 24, 105, 99, 101, 100];
/// Those of [`LOCAL_ERRORS`] that a read or write of an open connection may return: ENOMEM, ENOBUFS.
const SHORTAGES: [i32; 2] = [12, 105];

/// Whether the cause of an error is this machine alone (a missing resource or route), so that it says nothing about the peer.
pub fn is_local(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&code))
}

/// The buffer into which all connections read. Its bytes are consumed before another task runs, so that a connection that waits for bytes
/// needs no buffer of its own.
#[derive(Debug)]
pub struct ReadBuffer(RefCell<Vec<u8>>);

impl Default for ReadBuffer {
    fn default() -> Self {
        Self(RefCell::new(vec![0; READ_BYTES]))
    }
}

impl ReadBuffer {
    fn poll_read(
        &self,
        mut socket: &Async<TcpStream>,
        max_bytes: &impl Fn() -> usize,
        consume: &mut impl FnMut(&[u8]),
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let mut buffer = self.0.borrow_mut();
        let max_bytes = max_bytes().min(buffer.len());
        let chunk = buffer.get_mut(..max_bytes).unwrap_or_default();
        let bytes = ready!(Pin::new(&mut socket).poll_read(cx, chunk))?;
        consume(chunk.get(..bytes).unwrap_or_default());
        Poll::Ready(Ok(bytes))
    }

    /// Reads what a socket has received and passes it to `consume`; returns the number of bytes, 0 if the peer has closed. `max_bytes` limits
    /// them at the time at which they are read, which may be long after the call.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn read(
        &self,
        socket: &Async<TcpStream>,
        max_bytes: impl Fn() -> usize,
        mut consume: impl FnMut(&[u8]),
    ) -> io::Result<usize> {
        retried(async || poll_fn(|cx| self.poll_read(socket, &max_bytes, &mut consume, cx)).await).await
    }
}

/// Whether the peer has closed its side or the connection is broken, even if bytes before that are unread. False if polling fails: the next
/// read detects the close then.
pub fn peer_closed(socket: &impl AsFd) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let polled = poll(&mut fds, Some(&Timespec::default()));
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    polled.is_ok() && fds.iter().any(|fd| fd.revents().intersects(closed))
}

/// Whether a socket has bytes to read or a connection to accept; true if polling fails.
pub fn readable(socket: &impl AsFd) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::IN)];
    match poll(&mut fds, Some(&Timespec::default())) {
        Ok(_) => fds.iter().any(|fd| !fd.revents().is_empty()),
        Err(_) => true,
    }
}

/// What to do after a system call.
enum NextStep {
    Done(io::Result<usize>),
    Repeat,
    RetryLater,
}

fn next_step(result: io::Result<usize>) -> NextStep {
    match result {
        Err(e) if e.kind() == ErrorKind::Interrupted => NextStep::Repeat,
        Err(e) if e.raw_os_error().is_some_and(|code| SHORTAGES.contains(&code)) => NextStep::RetryLater,
        result => NextStep::Done(result),
    }
}

/// Repeats a call that was interrupted, and retries one that failed because the machine lacks memory.
async fn retried(mut call: impl AsyncFnMut() -> io::Result<usize>) -> io::Result<usize> {
    let mut retries = 0;
    loop {
        match next_step(call().await) {
            NextStep::Done(result) => return result,
            NextStep::RetryLater if retries < MAX_SHORTAGE_RETRIES => {
                retries += 1;
                Timer::after(SHORTAGE_RETRY_INTERVAL).await;
            }
            NextStep::RetryLater => return Err(ErrorKind::OutOfMemory.into()),
            NextStep::Repeat => {}
        }
    }
}

/// Reads what was received; 0 bytes mean that the peer has closed.
///
/// # Errors
/// If the connection is broken.
pub async fn read(socket: &mut (impl AsyncRead + Unpin), buffer: &mut [u8]) -> io::Result<usize> {
    retried(async || socket.read(buffer).await).await
}

/// Writes some of the bytes; returns how many.
///
/// # Errors
/// If the connection is broken.
pub async fn write(socket: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<usize> {
    retried(async || socket.write(bytes).await).await
}

/// Writes all bytes.
///
/// # Errors
/// If the connection is broken, or accepts no more bytes.
pub async fn write_all(socket: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let written = write(socket, rest).await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        rest = rest.get(written..).unwrap_or_default();
    }
    Ok(())
}
