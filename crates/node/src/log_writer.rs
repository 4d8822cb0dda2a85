//! Writes log lines to standard error without blocking.
//!
//! A write to a full pipe would block the thread that serves requests. A line is therefore written only if standard error accepts it at
//! once; otherwise it is dropped and counted, and the number of dropped lines is written before the next line.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that a writable pipe accepts without blocking (PIPE_BUF).
const CHUNK_BYTES: usize = 4_096;

/// Lines dropped since the start of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Dropped lines that have not been reported yet.
static UNREPORTED: AtomicU64 = AtomicU64::new(0);

/// The number of log lines dropped since the start of the process.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes log lines to standard error; each write is one line.
#[derive(Debug, Default)]
pub struct LogWriter;

/// Whether standard error accepts bytes without blocking; true if polling fails.
fn is_writable() -> bool {
    let stderr = io::stderr();
    let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
    match poll(&mut fds, Some(&Timespec::default())) {
        Ok(_) => fds.iter().any(|fd| !fd.revents().is_empty()),
        Err(_) => true,
    }
}

impl LogWriter {
    /// Writes a line, or as much of it as can be written without blocking; returns whether all of it was written.
    fn write_line(line: &[u8]) -> bool {
        for chunk in line.chunks(CHUNK_BYTES) {
            if !is_writable() || io::stderr().write_all(chunk).is_err() {
                return false;
            }
        }
        true
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let unreported = UNREPORTED.swap(0, Ordering::Relaxed);
        let reported =
            unreported == 0 || Self::write_line(format!("{unreported} lines were not logged\n").as_bytes());
        if !reported || !Self::write_line(line) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            UNREPORTED.fetch_add(if reported { 1 } else { unreported + 1 }, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
