//! The connection to the change log that runs, and the one that is tried beside it.

use super::watch::Watch;
use super::{Follower, Frame};
use crate::limits::{LOG_ASK, LOG_ASK_MOST, LOG_REST, LOG_REST_MOST};
use crate::Input;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use basaltgw_config::{Names, Seq};
use futures_lite::future;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Why a second connection is tried beside the one that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Nothing whole has come for longer than frames are apart.
    Quiet,
    /// Its empty frames name events that it has not told.
    Behind,
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Quiet => "it was quiet",
            Self::Behind => "it named events that it did not tell",
        })
    }
}

/// What came first.
enum Next {
    Moved(SocketAddr),
    Running(io::Result<Frame>),
    Beside(io::Result<Frame>),
    /// A connection is due; with a doubt, beside the one that runs.
    Open(Option<Doubt>),
}

/// How soon a log is asked again that names what it does not tell: what it tells late needs no asking, so each time in vain doubles
/// the wait.
struct Pace {
    wait: Duration,
    at: Option<Instant>,
}

/// The connections, two at most.
struct Watches {
    at: SocketAddr,
    running: Option<Watch>,
    /// It takes over with its first whole frame.
    beside: Option<(Watch, Doubt)>,
    follower: Follower,
    /// The rest after the next connection that gives nothing.
    rest: Duration,
    /// None is opened before this.
    not_before: Instant,
    pace: Pace,
}

/// Follows the change log for good; `moves` tells where else it is from then on.
pub async fn follow(
    at: SocketAddr,
    moves: Receiver<SocketAddr>,
    from: Seq,
    names: Names,
    urgent: Sender<Input>,
) {
    let mut watches = Watches {
        at,
        running: None,
        beside: None,
        follower: Follower::new(from),
        rest: LOG_REST,
        not_before: Instant::now(),
        pace: Pace { wait: LOG_ASK, at: None },
    };
    loop {
        // Not given up for a new address: what is taken is told.
        for input in watches.step(&moves, &names).await {
            if urgent.send(input).await.is_err() {
                return;
            }
        }
    }
}

async fn frame(of: Option<&mut Watch>, names: &Names) -> io::Result<Frame> {
    match of {
        Some(watch) => watch.frame(names).await,
        None => future::pending().await,
    }
}

impl Watches {
    /// Waits for what comes next; gives what the owner is to hear of it.
    async fn step(&mut self, moves: &Receiver<SocketAddr>, names: &Names) -> Vec<Input> {
        match self.next(moves, names).await {
            Next::Moved(at) => {
                self.at = at;
                (self.rest, self.not_before) = (LOG_REST, Instant::now());
                self.beside = None;
                self.running = None;
                self.lost(&format!("it is at {at} now"))
            }
            Next::Open(doubt) => self.open(doubt),
            Next::Running(Ok(frame)) => self.take(frame, None),
            Next::Running(Err(e)) => self.over(&e.to_string()),
            Next::Beside(Ok(frame)) => {
                let doubt = self.beside.as_ref().map(|(_, doubt)| *doubt);
                self.take(frame, doubt)
            }
            Next::Beside(Err(e)) => self.beside_over(&e.to_string()),
        }
    }

    async fn next(&mut self, moves: &Receiver<SocketAddr>, names: &Names) -> Next {
        let due = self.due();
        let Self { at, running, beside, .. } = self;
        let moved = async {
            loop {
                match moves.recv().await {
                    Ok(to) if to == *at => {}
                    Ok(to) => return Next::Moved(to),
                    Err(_) => future::pending().await,
                }
            }
        };
        let running = async { Next::Running(frame(running.as_mut(), names).await) };
        let beside = async { Next::Beside(frame(beside.as_mut().map(|(w, _)| w), names).await) };
        let open = async {
            match due {
                Some((at, doubt)) => {
                    Timer::at(at).await;
                    Next::Open(doubt)
                }
                None => future::pending().await,
            }
        };
        future::or(moved, future::or(running, future::or(beside, open))).await
    }

    /// When a connection is to be opened, and for what doubt about the one that runs.
    fn due(&self) -> Option<(Instant, Option<Doubt>)> {
        if self.beside.is_some() {
            return None;
        }
        let due = match (&self.running, self.pace.at) {
            (None, _) => (self.not_before, None),
            (Some(watch), Some(at)) if at < watch.doubtful() => (at, Some(Doubt::Behind)),
            (Some(watch), _) => (watch.doubtful(), Some(Doubt::Quiet)),
        };
        Some((due.0.max(self.not_before), due.1))
    }

    fn open(&mut self, doubt: Option<Doubt>) -> Vec<Input> {
        let watch = Watch::open(self.at, self.follower.last());
        let Some(doubt) = doubt else {
            self.running = Some(watch);
            return Vec::new();
        };
        if doubt == Doubt::Behind {
            self.pace = Pace { wait: (self.pace.wait * 2).min(LOG_ASK_MOST), at: None };
        }
        self.beside = Some((watch, doubt));
        vec![Input::LogDoubted(doubt)]
    }

    /// Takes a frame of the running connection, or the first of the one beside it.
    fn take(&mut self, frame: Frame, first_beside: Option<Doubt>) -> Vec<Input> {
        let known = self.follower.last();
        let news = match self.follower.take(frame) {
            Ok(news) => news,
            Err(e) => {
                // It counts as met again only on a connection that asked for it since.
                self.beside = None;
                return self.over(&e.to_string());
            }
        };
        let mut inputs = Vec::new();
        if let Some((watch, doubt)) = self.beside.take_if(|_| first_beside.is_some()) {
            self.running = Some(watch);
            inputs = self.lost(&format!("{doubt}, and another connection took over"));
            if doubt == Doubt::Behind && self.follower.last() > known {
                self.pace.wait = LOG_ASK;
            }
        }
        self.pace.at = match self.pace.at {
            _ if !self.follower.behind() => None,
            None => Some(Instant::now() + self.pace.wait),
            at => at,
        };
        inputs.extend(news.map(Input::News));
        inputs
    }

    /// The running connection is over; the one beside it goes on in its place.
    fn over(&mut self, why: &str) -> Vec<Input> {
        let heard = self.running.take().is_some_and(|w| w.heard());
        self.running = self.beside.take().map(|(watch, _)| watch);
        self.tire(heard);
        self.lost(why)
    }

    fn beside_over(&mut self, why: &str) -> Vec<Input> {
        let heard = self.beside.take().is_some_and(|(w, _)| w.heard());
        self.tire(heard);
        self.lost(why)
    }

    /// After a connection that gave something the rest is short again.
    fn tire(&mut self, heard: bool) {
        if heard {
            self.rest = LOG_REST;
        }
        self.not_before = Instant::now() + self.rest;
        self.rest = (self.rest * 2).min(LOG_REST_MOST);
    }

    fn lost(&self, why: &str) -> Vec<Input> {
        log::info!("change log: {why}; resumed after event {}", self.follower.last().0);
        vec![Input::LogLost]
    }
}
