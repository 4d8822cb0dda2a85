//! A client's connection from its start to its end. What its reader, its writer and the owner tell of it meets here; what comes of two
//! that cross is one arm of one match.

use super::places::Places;
use super::presence::Presence;
use crate::breaks::{broken, Break};
use crate::inbox::Over;
use crate::invariants::Invariants;
use crate::limits::HALF_AT_END;
use crate::permissions::{may_close, CloseState};
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Why a connection on which nothing is open is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quiet {
    /// It has been idle for long.
    Idle,
    /// Others wait for its place.
    Room,
    /// The process ends.
    End,
}

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Messages are read and handed to the owner.
    Open {
        /// Those that the owner has not taken yet.
        on_way: u32,
        /// The owner wants it closed, unless something crosses that.
        asked: Option<Quiet>,
    },
    /// Nothing more is read as a message. What is open is answered unless the owner gave it up, and what is in line is written.
    Closing,
    /// Our side is shut (FIN). What comes is discarded, up to a bound in time and bytes.
    HalfClosed,
    /// Over.
    Closed,
}

/// What is told of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The reader hands a message to the owner.
    Handed,
    /// The reader, asked to close, finds nothing in the socket and no message begun.
    Resting,
    /// The reader, asked to close, is in mid-message.
    Busy,
    /// The reader reads no more messages: what came can't be read, or not in time.
    Stopped,
    /// The owner takes a message.
    Taken,
    /// The owner wants it closed.
    Asked(Quiet),
    /// The owner drops the client, with all that is open.
    Dropped,
    /// The writer has written all that there will be, and shut our side.
    Shut,
    /// The peer is gone, or the bound of a half-closed connection is reached.
    Over,
}

impl State {
    /// What comes of it.
    pub fn after(self, event: Event) -> Self {
        use Event::{Asked, Busy, Dropped, Handed, Over, Resting, Shut, Stopped, Taken};
        use State::{Closed, Closing, HalfClosed, Open};
        match (self, event) {
            (Open { on_way, asked }, Handed) => Open { on_way: on_way.saturating_add(1), asked },
            // What crossed the wish is answered, and the wish is over.
            (Open { on_way, .. }, Taken) => Open { on_way: on_way.saturating_sub(1), asked: None },
            (Open { on_way, asked }, Asked(why)) => Open { on_way, asked: asked.or(Some(why)) },
            (Open { on_way, asked }, Resting) => {
                let may = may_close(&CloseState { wanted: asked.is_some(), on_way });
                if may.is_ok() || broken(Break::CloseOverRequest) {
                    Closing
                } else {
                    Open { on_way, asked: None }
                }
            }
            (Open { on_way, .. }, Busy) => Open { on_way, asked: None },
            (Open { .. }, Stopped | Dropped) => Closing,
            // The owner let go of the outbox without a word: there is nobody left to hand anything to.
            (Open { .. } | Closing, Shut) => HalfClosed,
            // Messages that were handed on before the reader stopped are taken; wishes come too late.
            (Closing, Handed | Resting | Busy | Stopped | Taken | Asked(_) | Dropped) => Closing,
            (HalfClosed, Handed | Resting | Busy | Stopped | Taken | Asked(_) | Dropped | Shut) => HalfClosed,
            (Open { .. } | Closing | HalfClosed, Over) => Closed,
            (Closed, _) => Closed,
        }
    }

    /// Messages are still read.
    pub fn reads(self) -> bool {
        matches!(self, Self::Open { .. })
    }
}

/// A connection's state, where its task and the owner meet.
#[derive(Debug)]
pub struct Life {
    state: Cell<State>,
    /// A message was handed on, so that something may have been written too.
    spoke: Cell<bool>,
    wishes: (Sender<()>, Receiver<()>),
    places: Rc<Places>,
    presence: Rc<Presence>,
    invariants: Rc<Invariants>,
}

impl Life {
    /// A connection that has just come in.
    pub fn new(places: &Rc<Places>) -> Self {
        Self {
            state: Cell::new(State::Open { on_way: 0, asked: None }),
            spoke: Cell::new(false),
            wishes: async_channel::bounded(1),
            places: Rc::clone(places),
            presence: Rc::default(),
            invariants: Rc::default(),
        }
    }

    /// The same, watched by this checker.
    pub fn watched(places: &Rc<Places>, invariants: &Rc<Invariants>) -> Self {
        Self { invariants: Rc::clone(invariants), ..Self::new(places) }
    }

    /// Watches that the rules are kept.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Whether its client still waits.
    pub fn presence(&self) -> &Rc<Presence> {
        &self.presence
    }

    /// How far it is.
    pub fn state(&self) -> State {
        self.state.get()
    }

    /// Tells something of it; gives how far it is then.
    pub fn tell(&self, event: Event) -> State {
        let (before, after) = (self.state.get(), self.state.get().after(event));
        self.state.set(after);
        if let (State::Open { asked: Some(_), .. }, State::Open { asked: None, .. }) = (before, after) {
            self.places.crossed();
        }
        if matches!(event, Event::Asked(_) | Event::Dropped) {
            // One that is already in line wakes the reader as well.
            let _ = self.wishes.0.try_send(());
        }
        after
    }

    /// The owner wants it closed and has not been told how that ends.
    pub fn asked(&self) -> Option<Quiet> {
        match self.state() {
            State::Open { asked, .. } => asked,
            State::Closing | State::HalfClosed | State::Closed => None,
        }
    }

    /// Waits until the owner wants something of the reader.
    pub async fn wanted(&self) {
        while let State::Open { asked: None, .. } = self.state() {
            if self.wishes.1.recv().await.is_err() {
                return;
            }
        }
    }

    /// The reader was wanted and has found nothing in the socket; a message has been under way for so long. Why it reads no more;
    /// `None` if it goes on.
    pub fn stops(&self, under_way: Option<Duration>) -> Option<Over> {
        let asked = self.asked();
        // The end waits for half a message no longer than a whole one takes from a client in service.
        let busy = under_way.is_some_and(|t| asked != Some(Quiet::End) || t < HALF_AT_END);
        let event = if busy { Event::Busy } else { Event::Resting };
        (!self.tell(event).reads()).then_some(asked.map_or(Over::Dropped, Over::Quiet))
    }

    /// The reader has decoded a message that it will hand to the owner; false if it may not any more.
    pub fn hands(&self) -> bool {
        let open = self.tell(Event::Handed).reads();
        self.spoke.set(self.spoke.get() || open);
        open
    }

    /// It has sent a whole message.
    pub fn spoke(&self) -> bool {
        self.spoke.get()
    }
}
