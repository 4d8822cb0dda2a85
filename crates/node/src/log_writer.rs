//! Where log lines go: standard error, which never holds the router up.
//!
//! A pipe that nobody reads fills, and a write to it would stop the thread that serves requests. So a line is written only while there is
//! room for it; else it is dropped and counted, and the next line that is written says how many were.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};

/// A pipe that is ready for writing takes so many bytes without waiting (PIPE_BUF).
const WRITTEN_AT_ONCE: usize = 4_096;

/// Lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Those of them that no line has told of yet.
static NO_REPORT: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Standard error; a line is a write.
#[derive(Debug, Default)]
pub struct LogWriter;

/// Whether standard error takes bytes without waiting. Where that can't be asked, it is written to.
fn ready() -> bool {
    let stderr = io::stderr();
    let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
    match poll(&mut fds, Some(&Timespec::default())) {
        Ok(_) => fds.iter().any(|fd| !fd.revents().is_empty()),
        Err(_) => true,
    }
}

impl LogWriter {
    /// Writes all of it, or as much as there is room for; whether that was all.
    fn write_line(line: &[u8]) -> bool {
        for piece in line.chunks(WRITTEN_AT_ONCE) {
            if !ready() || io::stderr().write_all(piece).is_err() {
                return false;
            }
        }
        true
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let untold = NO_REPORT.swap(0, Ordering::Relaxed);
        let told = untold == 0 || Self::write_line(format!("{untold} lines were not logged\n").as_bytes());
        if !told || !Self::write_line(line) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            NO_REPORT.fetch_add(if told { 1 } else { untold + 1 }, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
