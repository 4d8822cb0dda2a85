//! Receives signals: handlers set a flag for each signal, and write a byte to a pipe that wakes the task that waits for them.
//!
//! The byte doesn't say which signal it was. A lost byte (the pipe is full, or the write fails) costs a short delay only, since the flags
//! are polled as well.

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

/// How often the flags are polled without a wake-up.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: log the counters.
    Count,
    /// SIGTERM or SIGINT: shut down gracefully.
    End,
}

/// The signals that are handled, in the order in which those that came together take effect.
const ORDERS: [(Order, &[i32]); 3] =
    [(Order::Reload, &[SIGHUP]), (Order::Count, &[SIGUSR1]), (Order::End, &[SIGTERM, SIGINT])];

/// The signals of this process.
#[derive(Debug)]
pub struct Signals {
    flags: [Arc<AtomicBool>; ORDERS.len()],
    wakes: Async<UnixStream>,
}

impl Signals {
    /// Installs the handlers; before this, each of the signals kills the process.
    ///
    /// # Errors
    /// If a handler can't be set, or the pipe can't be made.
    pub fn listen() -> io::Result<Self> {
        let (wakes, wake) = UnixStream::pair()?;
        let flags: [Arc<AtomicBool>; ORDERS.len()] = Default::default();
        for ((_, signals), flag_of) in ORDERS.iter().zip(&flags) {
            for signal in *signals {
                // Handlers run in this order: the flag is set before the wake-up.
                flag::register(*signal, Arc::clone(flag_of))?;
                low_level::pipe::register(*signal, wake.try_clone()?)?;
            }
        }
        Ok(Self { flags, wakes: Async::new(wakes)? })
    }

    /// What was asked for since the last call; signals of one kind that came together count once.
    fn take(&self) -> Vec<Order> {
        let orders = ORDERS.iter().zip(&self.flags);
        orders.filter(|(_, flag)| flag.swap(false, Ordering::SeqCst)).map(|((order, _), _)| *order).collect()
    }

    /// Waits for signals; returns what they ask for.
    pub async fn next(&mut self) -> Vec<Order> {
        let mut buffer = [0; 64];
        loop {
            let orders = self.take();
            if !orders.is_empty() {
                return orders;
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
