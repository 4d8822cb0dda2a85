//! Reads and writes of sockets: what a call may end with besides bytes, and what comes of it.
//!
//! An interrupted call is made again. What the machine is short of for a moment is tried again after a rest. All else ends the connection.

use async_io::Timer;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::fd::AsFd;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Between two tries of a call for which the machine was short of something.
const SHORTAGE_REST: Duration = Duration::from_millis(10);
/// Tries of such a call.
const SHORTAGE_TRIES: u32 = 50;
/// Linux's numbers of the errors that tell of this machine alone: ENOMEM, ENFILE, EMFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, ENETDOWN.
const LOCAL_ERRORS: [i32; 7] = [12, 23, 24, 105, 99, 101, 100];
/// Of these, what a read or write of an open connection may end with: ENOMEM, ENOBUFS.
const SHORTAGES: [i32; 2] = [12, 105];

/// Whether an error of a call says nothing of the peer: the machine is short of something, or has no way for the moment.
pub fn is_local(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&code))
}

/// Whether a socket has something to be read, or a connection to be accepted. Where that can't be asked, it may have.
pub fn readable(socket: &impl AsFd) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::IN)];
    match poll(&mut fds, Some(&Timespec::default())) {
        Ok(_) => fds.iter().any(|fd| !fd.revents().is_empty()),
        Err(_) => true,
    }
}

/// What a call is to be followed by.
enum Then {
    Done(io::Result<usize>),
    Again,
    AgainAfterRest,
}

fn then(result: io::Result<usize>) -> Then {
    match result {
        Err(e) if e.kind() == ErrorKind::Interrupted => Then::Again,
        Err(e) if e.raw_os_error().is_some_and(|code| SHORTAGES.contains(&code)) => Then::AgainAfterRest,
        result => Then::Done(result),
    }
}

/// Reads what has come; 0 bytes are the end.
///
/// # Errors
/// If the connection is broken.
pub async fn read(socket: &mut (impl AsyncRead + Unpin), piece: &mut [u8]) -> io::Result<usize> {
    let mut tries = 0;
    loop {
        match then(socket.read(piece).await) {
            Then::Done(result) => return result,
            Then::AgainAfterRest if tries < SHORTAGE_TRIES => {
                tries += 1;
                Timer::after(SHORTAGE_REST).await;
            }
            Then::AgainAfterRest => return Err(ErrorKind::OutOfMemory.into()),
            Then::Again => {}
        }
    }
}

/// Writes some bytes.
///
/// # Errors
/// If the connection is broken.
pub async fn write(socket: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<usize> {
    let mut tries = 0;
    loop {
        match then(socket.write(bytes).await) {
            Then::Done(result) => return result,
            Then::AgainAfterRest if tries < SHORTAGE_TRIES => {
                tries += 1;
                Timer::after(SHORTAGE_REST).await;
            }
            Then::AgainAfterRest => return Err(ErrorKind::OutOfMemory.into()),
            Then::Again => {}
        }
    }
}

/// Writes all bytes.
///
/// # Errors
/// If the connection is broken, or takes nothing more.
pub async fn write_whole(socket: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
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
