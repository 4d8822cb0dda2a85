//! Receives signals: a handler sets the flag of its signal and writes a byte to a pipe, which wakes the task that waits for signals.
//!
//! The byte does not tell which signal it was. A lost byte (the pipe is full, or the write fails) causes only a short delay, since the
//! flags are polled as well.

use crate::socket;
use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the flags are polled if no byte wakes the task.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What the router does on a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: log the counters.
    LogCounters,
    /// SIGTERM or SIGINT: shut down gracefully.
    Shutdown,
}

/// The handled signals, in the order in which signals that are received together take effect.
const HANDLED_SIGNALS: [(SignalAction, &[i32]); 3] = [
    (SignalAction::Reload, &[SIGHUP]),
    (SignalAction::LogCounters, &[SIGUSR1]),
    (SignalAction::Shutdown, &[SIGTERM, SIGINT]),
];

/// The signal handlers of the process, and what they have received.
#[derive(Debug)]
pub struct Signals {
    flags: [Arc<AtomicBool>; HANDLED_SIGNALS.len()],
    wakes: Async<UnixStream>,
}

impl Signals {
    /// Installs the handlers; without them, each of the signals kills the process.
    ///
    /// # Errors
    /// If a handler can't be installed, or the pipe can't be created.
    pub fn listen() -> io::Result<Self> {
        let (wakes, wake) = UnixStream::pair()?;
        let flags: [Arc<AtomicBool>; HANDLED_SIGNALS.len()] = Default::default();
        for ((_, signals), flag_of) in HANDLED_SIGNALS.iter().zip(&flags) {
            for signal in *signals {
                // Handlers run in the order of registration: the flag is set before the byte is written.
                flag::register(*signal, Arc::clone(flag_of))?;
                low_level::pipe::register(*signal, wake.try_clone()?)?;
            }
        }
        Ok(Self { flags, wakes: Async::new(wakes)? })
    }

    /// The actions for the signals since the last call; several signals with the same action count once.
    fn take(&self) -> Vec<SignalAction> {
        let handled = HANDLED_SIGNALS.iter().zip(&self.flags);
        handled
            .filter(|(_, flag)| flag.swap(false, Ordering::SeqCst))
            .map(|((action, _), _)| *action)
            .collect()
    }

    /// Waits for signals; returns their actions.
    pub async fn next(&mut self) -> Vec<SignalAction> {
        let mut buffer = [0; 64];
        loop {
            let actions = self.take();
            if !actions.is_empty() {
                return actions;
            }
            let mut wakes = &self.wakes;
            let woken = async {
                if let Err(e) = socket::read(&mut wakes, &mut buffer).await {
                    log::debug!("signal pipe: read failed: {e}");
                    Timer::after(POLL_INTERVAL).await;
                }
            };
            let polled = async {
                Timer::after(POLL_INTERVAL).await;
            };
            future::or(woken, polled).await;
        }
    }
}
