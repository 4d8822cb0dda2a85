//! The end of a router: the signals, and when it is over.

use crate::limits::{END_ACCEPT_MS, END_QUIET_MS};
use crate::Input;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use basaltgw::api::Ms;
use futures_lite::StreamExt;
use std::io;

/// Listens for signals from now on; before this, each of them would kill the process.
pub fn listen() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1])
}

/// Passes signals on: TERM and INT end the router, USR1 asks for its counters.
pub async fn watch(mut signals: Signals, queue: Sender<Input>) {
    while let Some(signal) = signals.next().await {
        let input = match signal {
            Ok(Signal::Usr1) => Input::Count,
            Ok(_) => Input::End,
            Err(e) => {
                log::warn!("a signal was not read: {e}");
                continue;
            }
        };
        if queue.send(input).await.is_err() {
            return;
        }
    }
}

/// How far the end has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ending {
    asked: Option<Ms>,
    quiet: Option<Ms>,
}

impl Ending {
    /// The router is asked to end.
    pub fn ask(&mut self, now: Ms) {
        self.asked.get_or_insert(now);
    }

    /// It was asked to.
    pub fn asked(&self) -> bool {
        self.asked.is_some()
    }

    /// New clients are still taken.
    pub fn accepts(&self, now: Ms) -> bool {
        self.asked.is_none_or(|t| now < t + END_ACCEPT_MS)
    }

    /// True once the router may go: asked, no longer accepting, and nothing open for a while.
    pub fn over(&mut self, now: Ms, open: bool) -> bool {
        if self.accepts(now) || open {
            self.quiet = None;
            return false;
        }
        now >= *self.quiet.get_or_insert(now) + END_QUIET_MS
    }
}
