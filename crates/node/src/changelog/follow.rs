//! Follows the change log over an active connection and, where that one is suspect, a standby beside it.
//!
//! Inputs: frames, connection errors, a new address, and the time since the last frame. A standby is opened when the active connection sent
//! no complete frame for [`crate::limits::CHANGELOG_HEDGE_AFTER`], or when empty frames name events that were not sent; it takes over with
//! its first frame. Failed connections are retried with exponential backoff.

use super::watch::Watch;
use super::{Follower, Frame, ReconnectReason};
use crate::limits::{
    CHANGELOG_BACKOFF_MAX, CHANGELOG_BACKOFF_MIN, CHANGELOG_RECHECK_MAX, CHANGELOG_RECHECK_MIN,
};
use crate::messages::Input;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use basaltgw_config::{Names, Seq};
use futures_lite::future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What the follower waits for.
enum Next {
    AddressChanged(SocketAddr),
    Active(io::Result<Frame>),
    Standby(io::Result<Frame>),
    /// A connection is due: a standby with its reason, else the active one.
    Connect(Option<ReconnectReason>),
}

/// When missing events are asked for on another connection. An event may just be late, so each recheck in vain doubles the interval.
struct RecheckTimer {
    interval: Duration,
    due: Option<Instant>,
}

/// A connection that replaces the active one with its first complete frame.
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
    /// The backoff after the next connection that sends nothing.
    backoff: Duration,
    /// No connection is opened before this.
    not_before: Instant,
    recheck: RecheckTimer,
}

/// Follows the change log from the event after `from` until the owner is gone; `moves` sends a new address.
pub async fn follow(
    address: SocketAddr,
    moves: Receiver<SocketAddr>,
    from: Seq,
    names: Names,
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
    };
    loop {
        // A new address doesn't interrupt this: an event that was taken reaches the owner.
        for input in watches.step(&moves, &names).await {
            if urgent.send(input).await.is_err() {
                return;
            }
        }
    }
}

async fn frame(watch: Option<&mut Watch>, names: &Names) -> io::Result<Frame> {
    match watch {
        Some(watch) => watch.frame(names).await,
        None => future::pending().await,
    }
}

impl Watches {
    /// Waits for what comes next; returns the owner's inputs.
    async fn step(&mut self, moves: &Receiver<SocketAddr>, names: &Names) -> Vec<Input> {
        match self.next(moves, names).await {
            Next::AddressChanged(address) => self.move_to(address),
            Next::Connect(reason) => self.connect(reason),
            Next::Active(Ok(frame)) => self.take(frame, None),
            Next::Active(Err(e)) => self.active_failed(&e.to_string()),
            Next::Standby(Ok(frame)) => {
                let reason = self.standby.as_ref().map(|standby| standby.reason);
                self.take(frame, reason)
            }
            Next::Standby(Err(e)) => self.standby_failed(&e.to_string()),
        }
    }

    async fn next(&mut self, moves: &Receiver<SocketAddr>, names: &Names) -> Next {
        let due = self.next_connection();
        let Self { address, active, standby, .. } = self;
        let moved = async {
            loop {
                match moves.recv().await {
                    Ok(to) if to == *address => {}
                    Ok(to) => return Next::AddressChanged(to),
                    Err(_) => future::pending().await,
                }
            }
        };
        let active = async { Next::Active(frame(active.as_mut(), names).await) };
        let standby = async { Next::Standby(frame(standby.as_mut().map(|s| &mut s.watch), names).await) };
        let connect = async {
            match due {
                Some((at, reason)) => {
                    Timer::at(at).await;
                    Next::Connect(reason)
                }
                None => future::pending().await,
            }
        };
        future::or(moved, future::or(active, future::or(standby, connect))).await
    }

    /// When the next connection is opened, with the reason of a standby; `None` while there are two.
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

    fn move_to(&mut self, address: SocketAddr) -> Vec<Input> {
        self.address = address;
        (self.backoff, self.not_before) = (CHANGELOG_BACKOFF_MIN, Instant::now());
        self.standby = None;
        self.active = None;
        self.lost(&format!("address changed to {address}"))
    }

    fn connect(&mut self, reason: Option<ReconnectReason>) -> Vec<Input> {
        let watch = Watch::open(self.address, self.follower.last());
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

    /// Takes a frame of the active connection, or the first frame of the standby with its reason.
    fn take(&mut self, frame: Frame, standby: Option<ReconnectReason>) -> Vec<Input> {
        let known = self.follower.last();
        let event = match self.follower.take(frame) {
            Ok(event) => event,
            Err(e) => {
                // The fault counts as repeated only on a connection that requested the event since.
                self.standby = None;
                return self.active_failed(&e.to_string());
            }
        };
        let mut inputs = Vec::new();
        if let Some(Standby { watch, reason }) = self.standby.take_if(|_| standby.is_some()) {
            self.active = Some(watch);
            inputs = self.lost(&format!("{reason}, replaced by a standby connection"));
            if reason == ReconnectReason::MissingEvents && self.follower.last() > known {
                self.recheck.interval = CHANGELOG_RECHECK_MIN;
            }
        }
        self.recheck.due = match self.recheck.due {
            _ if !self.follower.behind() => None,
            None => Some(Instant::now() + self.recheck.interval),
            due => due,
        };
        inputs.extend(event.map(Input::WatchEvent));
        inputs
    }

    /// The active connection failed; the standby, if there is one, replaces it.
    fn active_failed(&mut self, why: &str) -> Vec<Input> {
        let received = self.active.take().is_some_and(|watch| watch.has_received());
        self.active = self.standby.take().map(|standby| standby.watch);
        self.back_off(received);
        self.lost(why)
    }

    fn standby_failed(&mut self, why: &str) -> Vec<Input> {
        let received = self.standby.take().is_some_and(|standby| standby.watch.has_received());
        self.back_off(received);
        self.lost(why)
    }

    /// Delays the next connection; a connection that sent a frame resets the backoff.
    fn back_off(&mut self, received: bool) {
        if received {
            self.backoff = CHANGELOG_BACKOFF_MIN;
        }
        self.not_before = Instant::now() + self.backoff;
        self.backoff = (self.backoff * 2).min(CHANGELOG_BACKOFF_MAX);
    }

    fn lost(&self, why: &str) -> Vec<Input> {
        log::info!("change log: connection lost ({why}), resuming after event {}", self.follower.last().0);
        vec![Input::ChangeLogLost]
    }
}
