//! Follows the change log over an active connection and, while that one is suspect, a second connection as a standby.
//!
//! A standby is opened when the active connection has sent no complete frame for [`crate::limits::CHANGELOG_HEDGE_AFTER`], or when empty
//! frames name events that were not sent; with its first frame it becomes the active connection. Failed connections are retried with
//! exponential backoff.
//!
//! The active connection stays until it is closed or replaced, since a slow change log may still speak on it. A standby without a frame is
//! replaced by another one, each given more time than the last, so that neither a connection that is never answered nor a change log that
//! answers late keeps events from the router.

use super::watch::Watch;
use super::{Follower, Frame, ReconnectReason};
use crate::limits::{
    CHANGELOG_BACKOFF_MAX, CHANGELOG_BACKOFF_MIN, CHANGELOG_FIRST_FRAME_TIMEOUT_GROWTH,
    CHANGELOG_FIRST_FRAME_TIMEOUT_MAX, CHANGELOG_FIRST_FRAME_TIMEOUT_MIN, CHANGELOG_RECHECK_MAX,
    CHANGELOG_RECHECK_MIN,
};
use crate::messages::Input;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use basaltgw_config::{Seq, WireNames};
use futures_lite::future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What ends the follower's wait.
enum Wakeup {
    AddressChanged(SocketAddr),
    Active(io::Result<Frame>),
    Standby(io::Result<Frame>),
    /// A connection is to be opened: a standby for this reason, or without one the active connection.
    Connect(Option<ReconnectReason>),
}

/// When missing events are requested on another connection. An event may only be late, so each unsuccessful recheck doubles the interval.
struct RecheckTimer {
    interval: Duration,
    due: Option<Instant>,
}

/// A second connection, which replaces the active one with its first complete frame.
struct Standby {
    watch: Watch,
    reason: ReconnectReason,
}

/// The connections to the change log, at most two.
struct Watches {
    address: SocketAddr,
    active: Option<Watch>,
    standby: Option<Standby>,
    follower: Follower,
    /// The delay after the next connection that fails without a frame.
    backoff: Duration,
    /// The earliest time at which a connection may be opened.
    not_before: Instant,
    recheck: RecheckTimer,
    /// How long the next standby is given for its first frame.
    first_frame_timeout: Duration,
}

/// Follows the change log from the event after `from` until the owner ends; each address received from `addresses` replaces the last one.
pub async fn follow(
    address: SocketAddr,
    addresses: Receiver<SocketAddr>,
    from: Seq,
    names: WireNames,
    urgent: Sender<Input>,
) {
    let mut watches = Watches {
        address,
        active: None,
        standby: None,
        follower: Follower::new(from),
        backoff: CHANGELOG_BACKOFF_MIN,
        not_before: Instant::now(),
        recheck: RecheckTimer { interval: CHANGELOG_RECHECK_MIN, due: None },
        first_frame_timeout: CHANGELOG_FIRST_FRAME_TIMEOUT_MIN,
    };
    loop {
        // A new address doesn't interrupt this loop, so that every event that was taken reaches the owner.
        for input in watches.step(&addresses, &names).await {
            if urgent.send(input).await.is_err() {
                return;
            }
        }
    }
}

async fn next_frame(watch: Option<&mut Watch>, names: &WireNames) -> io::Result<Frame> {
    match watch {
        Some(watch) => watch.next_frame(names).await,
        None => future::pending().await,
    }
}

impl Watches {
    /// Waits for one event of the connections and handles it; returns the owner's inputs.
    async fn step(&mut self, addresses: &Receiver<SocketAddr>, names: &WireNames) -> Vec<Input> {
        match self.wait(addresses, names).await {
            Wakeup::AddressChanged(address) => self.change_address(address),
            Wakeup::Connect(reason) => self.connect(reason),
            Wakeup::Active(Ok(frame)) => self.on_frame(frame, None),
            Wakeup::Active(Err(e)) => self.active_failed(&e.to_string()),
            Wakeup::Standby(Ok(frame)) => {
                let reason = self.standby.as_ref().map(|standby| standby.reason);
                self.on_frame(frame, reason)
            }
            Wakeup::Standby(Err(e)) => self.standby_failed(&e),
        }
    }

    async fn wait(&mut self, addresses: &Receiver<SocketAddr>, names: &WireNames) -> Wakeup {
        let due = self.next_connection();
        let Self { address, active, standby, .. } = self;
        let address_changed = async {
            loop {
                match addresses.recv().await {
                    Ok(to) if to == *address => {}
                    Ok(to) => return Wakeup::AddressChanged(to),
                    Err(_) => future::pending().await,
                }
            }
        };
        let active = async { Wakeup::Active(next_frame(active.as_mut(), names).await) };
        let standby =
            async { Wakeup::Standby(next_frame(standby.as_mut().map(|s| &mut s.watch), names).await) };
        let connect = async {
            match due {
                Some((at, reason)) => {
                    Timer::at(at).await;
                    Wakeup::Connect(reason)
                }
                None => future::pending().await,
            }
        };
        future::or(address_changed, future::or(active, future::or(standby, connect))).await
    }

    /// When the next connection is opened, with the reason if it is a standby; `None` while there are two connections.
    fn next_connection(&self) -> Option<(Instant, Option<ReconnectReason>)> {
        if self.standby.is_some() {
            return None;
        }
        let (at, reason) = match (&self.active, self.recheck.due) {
            (None, _) => (self.not_before, None),
            (Some(watch), Some(at)) if at < watch.suspect_at() => (at, Some(ReconnectReason::MissingEvents)),
            (Some(watch), _) => (watch.suspect_at(), Some(ReconnectReason::Silent)),
        };
        Some((at.max(self.not_before), reason))
    }

    fn change_address(&mut self, address: SocketAddr) -> Vec<Input> {
        self.address = address;
        (self.backoff, self.not_before) = (CHANGELOG_BACKOFF_MIN, Instant::now());
        self.first_frame_timeout = CHANGELOG_FIRST_FRAME_TIMEOUT_MIN;
        self.standby = None;
        self.active = None;
        self.connection_lost(&format!("address changed to {address}"))
    }

    fn connect(&mut self, reason: Option<ReconnectReason>) -> Vec<Input> {
        let timeout = reason.map(|_| self.first_frame_timeout);
        let watch = Watch::open(self.address, self.follower.last(), timeout);
        let Some(reason) = reason else {
            self.active = Some(watch);
            return Vec::new();
        };
        if reason == ReconnectReason::MissingEvents {
            let interval = (self.recheck.interval * 2).min(CHANGELOG_RECHECK_MAX);
            self.recheck = RecheckTimer { interval, due: None };
        }
        self.standby = Some(Standby { watch, reason });
        vec![Input::ChangeLogStandbyOpened(reason)]
    }

    /// Handles a frame of the active connection, or, with the reason for the standby, the first frame of the standby.
    fn on_frame(&mut self, frame: Frame, standby: Option<ReconnectReason>) -> Vec<Input> {
        let last_before = self.follower.last();
        self.first_frame_timeout = CHANGELOG_FIRST_FRAME_TIMEOUT_MIN;
        let event = match self.follower.on_frame(frame) {
            Ok(event) => event,
            Err(e) => {
                // A fault may count as repeated only on a connection that requested the event after it, so the standby is dropped.
                self.standby = None;
                return self.active_failed(&e.to_string());
            }
        };
        let mut inputs = Vec::new();
        if let Some(Standby { watch, reason }) = self.standby.take_if(|_| standby.is_some()) {
            self.active = Some(watch);
            inputs = self.connection_lost(&format!("{reason}, replaced by a standby connection"));
            if reason == ReconnectReason::MissingEvents && self.follower.last() > last_before {
                self.recheck.interval = CHANGELOG_RECHECK_MIN;
            }
        }
        self.recheck.due = match self.recheck.due {
            _ if !self.follower.is_behind() => None,
            None => Some(Instant::now() + self.recheck.interval),
            due => due,
        };
        inputs.extend(event.map(Input::WatchEvent));
        inputs
    }

    /// Handles a failure of the active connection; the standby, if there is one, replaces it.
    fn active_failed(&mut self, cause: &str) -> Vec<Input> {
        let received = self.active.take().is_some_and(|watch| watch.has_received());
        self.active = self.standby.take().map(|standby| standby.watch);
        self.active.iter_mut().for_each(Watch::activate);
        self.back_off(received);
        self.connection_lost(cause)
    }

    /// Handles a failure of the standby. If it was established, the change log may be slow, and the next one is given more time.
    fn standby_failed(&mut self, error: &io::Error) -> Vec<Input> {
        let watch = self.standby.take().map(|standby| standby.watch);
        let is_silent = error.kind() == io::ErrorKind::TimedOut;
        if is_silent && watch.as_ref().is_some_and(Watch::is_established) {
            let longer = self.first_frame_timeout * CHANGELOG_FIRST_FRAME_TIMEOUT_GROWTH;
            self.first_frame_timeout = longer.min(CHANGELOG_FIRST_FRAME_TIMEOUT_MAX);
        }
        self.back_off(watch.is_some_and(|watch| watch.has_received()));
        self.connection_lost(&format!("standby: {error}"))
    }

    /// Delays the next connection; a connection that sent a frame resets the backoff.
    fn back_off(&mut self, received: bool) {
        if received {
            self.backoff = CHANGELOG_BACKOFF_MIN;
        }
        self.not_before = Instant::now() + self.backoff;
        self.backoff = (self.backoff * 2).min(CHANGELOG_BACKOFF_MAX);
    }

    fn connection_lost(&self, cause: &str) -> Vec<Input> {
        log::info!("change log: connection lost ({cause}), resuming after event {}", self.follower.last().0);
        vec![Input::ChangeLogLost]
    }
}
