//! Signals: noted by flags, which nothing can lose, and a pipe that wakes whoever waits for them.
//!
//! The pipe carries one byte a signal, whatever the signal: what was asked for stands in the flags. A byte that is lost (the pipe is full, or the
//! call fails) costs no more than a short wait, since the flags are looked at regularly too.

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

/// How often the flags are looked at though nothing woke this.
const LOOK: Duration = Duration::from_millis(250);

/// What the process is asked for by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// SIGHUP: the configuration is read again.
    Reload,
    /// SIGUSR1: the counters are printed.
    Count,
    /// SIGTERM or SIGINT: the router ends.
    End,
}

/// Signals that are listened for, in the order in which those that came together are heeded.
const ORDERS: [(Order, &[i32]); 3] =
    [(Order::Reload, &[SIGHUP]), (Order::Count, &[SIGUSR1]), (Order::End, &[SIGTERM, SIGINT])];

/// The signals of this process.
#[derive(Debug)]
pub struct Signals {
    asked: [Arc<AtomicBool>; ORDERS.len()],
    wakes: Async<UnixStream>,
}

impl Signals {
    /// Listens for signals from now on; before this, each of them would kill the process.
    ///
    /// # Errors
    /// If a handler can't be set, or the pipe can't be made.
    pub fn listen() -> io::Result<Self> {
        let (wakes, wake) = UnixStream::pair()?;
        let asked: [Arc<AtomicBool>; ORDERS.len()] = Default::default();
        for ((_, signals), asked) in ORDERS.iter().zip(&asked) {
            for signal in *signals {
                // Handlers run in this order: who is woken finds the flag.
                flag::register(*signal, Arc::clone(asked))?;
                low_level::pipe::register(*signal, wake.try_clone()?)?;
            }
        }
        Ok(Self { asked, wakes: Async::new(wakes)? })
    }

    /// What was asked for since the last look; signals of one kind that came together are one.
    fn take(&self) -> Vec<Order> {
        let asked = ORDERS.iter().zip(&self.asked);
        asked.filter(|(_, asked)| asked.swap(false, Ordering::SeqCst)).map(|((order, _), _)| *order).collect()
    }

    /// Waits for signals; gives what they ask for.
    pub async fn next(&mut self) -> Vec<Order> {
        let mut piece = [0; 64];
        loop {
            let orders = self.take();
            if !orders.is_empty() {
                return orders;
            }
            let mut wakes = &self.wakes;
            let woken = async {
                if let Err(e) = socket::read(&mut wakes, &mut piece).await {
                    log::debug!("the signals' pipe: {e}");
                    Timer::after(LOOK).await;
                }
            };
            let looked = async {
                Timer::after(LOOK).await;
            };
            future::or(woken, looked).await;
        }
    }
}
