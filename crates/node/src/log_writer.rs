//! Writes log lines to standard error without blocking.
//!
//! A write to a full pipe would block the thread that serves requests. A line is therefore written only while standard error takes it;
//! otherwise it is dropped and counted, and the next line that is written is preceded by the number of dropped ones.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that a writable pipe takes without blocking (PIPE_BUF).
const CHUNK_BYTES: usize = 4_096;

/// Lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Those of them that no line has reported yet.
static UNREPORTED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Standard error; each write is one line.
#[derive(Debug, Default)]
pub struct LogWriter;

/// Whether standard error takes bytes without blocking; true where that can't be polled.
fn is_writable() -> bool {
    let stderr = io::stderr();
    let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
    match poll(&mut fds, Some(&Timespec::default())) {
        Ok(_) => fds.iter().any(|fd| !fd.revents().is_empty()),
        Err(_) => true,
    }
}

impl LogWriter {
    /// Writes a line, or as much of it as can be written without blocking; whether it is complete.
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
