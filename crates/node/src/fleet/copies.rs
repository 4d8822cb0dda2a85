//! The copies' thread: it carries the control part (`crates/control`), owns the disk, and is the only one that waits for it.
//!
//! Each turn hands the control part what peers and the owner said and what has come due, puts all that has to last into one commit, and only
//! then tells the owner.

use super::{ControlNotification, ControlRequest, FleetCounts};
use crate::clock::Clock;
use async_channel::Sender;
use basaltgw_control as control;
use basaltgw_control::{Action, Control, Event, MAINTENANCE_INTERVAL_MS};
use basaltgw_storage::{Store, Write};
use basaltgw_transport as peers;
use basaltgw_transport::{Counts, LinkCommand, Port};
use basaltgw_types::{Ms, RouterId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Taken from each ring in one turn, so that neither holds up the other.
const TURN: usize = 256;
/// The longest that the thread sleeps: a ring that was filled between a look and the sleep wakes it anyway.
const REST: Duration = Duration::from_millis(50);
/// Told words that wait for the owner's ring, at the most: as many as questions may be open, and purges besides.
const MOST_WAITING: usize = 131_072;

/// What the thread is handed.
pub struct Parts {
    /// Of the control part.
    pub control: control::ControlParts,
    /// The disk.
    pub store: Store,
    /// To other routers.
    pub port: Port,
    /// From the owner.
    pub questions: rtrb::Consumer<ControlRequest>,
    /// To the owner.
    pub told: rtrb::Producer<ControlNotification>,
    /// Wakes it.
    pub bell: Sender<()>,
    /// The last counts, for the owner to print.
    pub shown: Arc<Mutex<FleetCounts>>,
    /// What the links count.
    pub counts: Arc<Counts>,
    /// The process's clock.
    pub clock: Clock,
}

/// All that the thread owns.
pub struct Copies {
    control: Control,
    store: Store,
    port: Port,
    questions: rtrb::Consumer<ControlRequest>,
    told: rtrb::Producer<ControlNotification>,
    bell: Sender<()>,
    shown: Arc<Mutex<FleetCounts>>,
    counts: Arc<Counts>,
    clock: Clock,
    /// When counts were last shown: as often as the control part looks things over.
    shown_at: Ms,
    /// What the control part wants done; empty between its events.
    out: Vec<Action>,
    /// Numbers of what the port did not take in this turn.
    refused: Vec<u64>,
    /// What the owner's ring had no room for yet.
    waiting: VecDeque<ControlNotification>,
    /// What the port had no room for yet: the latest of each router.
    wants: BTreeMap<RouterId, bool>,
}

impl Copies {
    /// The thread's state before its first turn.
    pub fn new(parts: Parts) -> Self {
        let Parts { control, store, port, questions, told, bell, shown, counts, clock } = parts;
        let mut out = Vec::new();
        let control = Control::new(clock.now(), control, &mut out);
        Self {
            control,
            store,
            port,
            questions,
            told,
            bell,
            shown,
            counts,
            clock,
            shown_at: 0.0,
            out,
            refused: Vec::new(),
            waiting: VecDeque::new(),
            wants: BTreeMap::new(),
        }
    }

    /// Turns until it is asked to end.
    pub fn run(mut self) -> Result<(), String> {
        let now = self.clock.now();
        self.act(now);
        while !self.control.is_finished(self.clock.now()) {
            let busy = self.turn()?;
            if !busy {
                let rest =
                    (self.control.next_timer() - self.clock.now()).clamp(0.0, REST.as_secs_f64() * 1000.0);
                std::thread::park_timeout(Duration::from_secs_f64(rest / 1000.0));
            }
        }
        let left = self.control.pending_changes();
        if left > 0 {
            log::warn!(
                "{left} changes were not put down before the end: what they are about will be in doubt"
            );
        }
        self.heed_refused(self.clock.now());
        self.control.refresh_counts();
        self.show(left as u64);
        let _ = self.port.send(LinkCommand::Shutdown);
        Ok(())
    }

    /// One turn; true if there was something to do.
    fn turn(&mut self) -> Result<bool, String> {
        let now = self.clock.now();
        let mut busy = self.control.next_timer() <= now;
        self.want();
        for _ in 0..TURN {
            let Some(told) = self.port.next() else { break };
            busy = true;
            self.handle(now, heard(told));
        }
        for _ in 0..TURN {
            let Ok(question) = self.questions.pop() else { break };
            busy = true;
            self.handle(now, Event::Request(question));
        }
        self.handle(now, Event::TimersDue);
        if now >= self.shown_at + MAINTENANCE_INTERVAL_MS {
            self.shown_at = now;
            self.show(0);
        }
        self.heed_refused(now);
        busy |= self.handle(now, Event::Flush);
        self.flush()?;
        Ok(busy)
    }

    /// Lets the control part decide, and does what it wants; true if something was put on the disk.
    fn handle(&mut self, now: Ms, event: Event) -> bool {
        self.control.handle(now, event, &mut self.out);
        self.act(now)
    }

    fn act(&mut self, now: Ms) -> bool {
        let mut out = std::mem::take(&mut self.out);
        let mut stored = Vec::new();
        for action in out.drain(..) {
            match action {
                Action::Send { number: no, to, lane, body } => {
                    if self.port.send(LinkCommand::Send { number: no, to, lane, body }).is_err() {
                        self.refused.push(no);
                    }
                }
                Action::SetLinkWanted(router, yes) => {
                    self.wants.insert(router, yes);
                    self.want();
                }
                Action::AdvertiseTable(version, hash) => {
                    let _ = self.port.send(LinkCommand::AdvertiseTable(version, hash));
                }
                Action::Commit(no, writes) => stored.push((no, self.commit(&writes))),
                Action::Notify(told) => self.waiting.push_back(told),
            }
        }
        self.out = out;
        let done = stored.iter().any(|(_, ok)| *ok);
        for (no, ok) in stored {
            self.handle(now, Event::CommitFinished(no, ok));
        }
        done
    }

    /// Tells the links who is wanted, as far as there is room.
    fn want(&mut self) {
        while let Some((router, yes)) = self.wants.pop_first() {
            if self.port.send(LinkCommand::SetWanted(router.clone(), yes)).is_err() {
                self.wants.insert(router, yes);
                return;
            }
        }
    }

    fn commit(&mut self, writes: &[Write]) -> bool {
        let done = self.store.commit(writes);
        if let Err(e) = &done {
            log::error!("nothing new is promised, the disk takes nothing: {e}");
        }
        done.is_ok()
    }

    /// What the port had no room for is told once all of the turn has been done.
    fn heed_refused(&mut self, now: Ms) {
        for no in std::mem::take(&mut self.refused) {
            self.handle(now, Event::SendFailed(no));
        }
    }

    fn flush(&mut self) -> Result<(), String> {
        let before = self.waiting.len();
        while let Some(told) = self.waiting.pop_front() {
            if let Err(rtrb::PushError::Full(told)) = self.told.push(told) {
                self.waiting.push_front(told);
                break;
            }
        }
        if self.waiting.len() < before {
            // One bell that rings is enough.
            let _ = self.bell.try_send(());
        }
        match self.waiting.len() <= MOST_WAITING {
            true => Ok(()),
            false => Err(format!("the owner has taken nothing of {MOST_WAITING} answers")),
        }
    }

    /// Shows the owner what was counted; `left` changes were not put down before the end.
    fn show(&mut self, left: u64) {
        // Read by the owner when it prints its own; a reader that holds it now has the last ones.
        if let Ok(mut shared) = self.shown.try_lock() {
            shared.control.clone_from(self.control.counts());
            shared.control.pursuits_dropped += left;
            shared.links = self.counts.to_string();
        }
    }
}

/// What the links tell, as the control part hears it.
fn heard(told: peers::LinkEvent) -> Event {
    match told {
        peers::LinkEvent::LinkUp(hello) => Event::LinkUp(hello),
        peers::LinkEvent::LinkDown(member, why) => Event::LinkDown(member, why),
        peers::LinkEvent::MessageReceived { from, lane, body } => Event::MessageReceived { from, lane, body },
        peers::LinkEvent::DialFailed(router) => Event::DialFailed(router),
        peers::LinkEvent::SendFailed { number: no, .. } => Event::SendFailed(no),
    }
}
