//! The roster: the SWIM library's user, who decides which life of a name is the current one.

use crate::evidence::Store;
use crate::life::Life;
use crate::sink::{token, Sink};
use crate::wire::Wire;
use crate::{Action, Event, MembershipError, Presence, Settings, State};
use basaltgw_types::{Member, Ms, RouterId};
use foca::{Foca, NoCustomBroadcast, PostcardCodec, Timer};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The timer by which evidence goes round; the library's start at 1.
const EVIDENCE: u64 = 0;

/// What was counted, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages that came.
    pub got: u64,
    /// Events that were refused ([`Bad`]).
    pub refused: u64,
    /// Messages of a life that is not known as the current one of its name.
    pub not_current: u64,
    /// Updates left out of messages, since they were of the own name or there was no room.
    pub left_out: u64,
    /// Evidence left out, since its origin is not known as current, or there was no room.
    pub evidence_out: u64,
    /// Messages and timers that the library could not use.
    pub unused: u64,
    /// Returns of the own life after others held it to be down.
    pub returns: u64,
    /// Events after the end.
    pub after_end: u64,
}

pub(crate) struct Known {
    pub life: Life,
    pub state: State,
}

/// Who is there and what is heard of them, as one router knows it.
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) foca: Foca<Life, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>,
    /// What the library knows, by name.
    pub(crate) known: BTreeMap<RouterId, Known>,
    timers: BTreeMap<u64, Timer<Life>>,
    next_timer: u64,
    pub(crate) evidence: Store,
    /// The evidence's timer runs.
    armed: bool,
    pub(crate) has_left: bool,
    pub(crate) counters: Counters,
}

impl Membership {
    /// A roster that knows nobody yet. The same events and seed give the same actions.
    ///
    /// # Errors
    /// If a setting can't be.
    pub fn new(me: Presence, settings: Settings, seed: u64) -> Result<Self, MembershipError> {
        settings.fault()?;
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let start = rng.next_u64();
        let life = Life::new(me);
        if !life.plausible() {
            return Err(MembershipError::Setting("me", "plain names"));
        }
        Ok(Self {
            foca: Foca::new(life, settings.config(), rng, PostcardCodec),
            settings,
            known: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_timer: EVIDENCE + 1,
            evidence: Store::new(start),
            armed: false,
            has_left: false,
            counters: Counters::default(),
        })
    }

    /// Itself.
    pub fn me(&self) -> &Presence {
        &self.foca.identity().presence
    }

    /// Whether it left, or another life took its place: it says no more.
    pub fn ended(&self) -> bool {
        self.has_left
    }

    /// The current life of each other name, in the order of names.
    pub fn peers(&self) -> impl Iterator<Item = (&Presence, State)> {
        self.known.values().map(|k| (&k.life.presence, k.state))
    }

    /// See [`Counters`].
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Handles one event at `now`.
    ///
    /// # Errors
    /// If the event can't be right; it changed nothing then, and the actions are as they were.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) -> Result<(), MembershipError> {
        if self.has_left {
            self.counters.after_end += 1;
            return Ok(());
        }
        let done = match event {
            Event::LinkUp(presence) => self.met(presence, out),
            Event::MessageReceived(from, bytes) => self.bytes(now, &from, &bytes, out),
            Event::LocalEvidence(evidence) => {
                let me = self.me().member.clone();
                let heard = self.evidence.heard(now, &me, evidence, &self.settings);
                self.arm(out);
                heard
            }
            Event::Timer(EVIDENCE) => {
                self.armed = false;
                if self.evidence.tidy(now, &self.settings) {
                    self.run(now, out, |foca, sink| foca.gossip(sink));
                    self.arm(out);
                }
                Ok(())
            }
            Event::Timer(no) => {
                if let Some(timer) = self.timers.remove(&no) {
                    self.run(now, out, |foca, sink| foca.handle_timer(timer, sink));
                }
                Ok(())
            }
            Event::Leave => {
                self.run(now, out, |foca, sink| foca.leave_cluster(sink));
                self.has_left = true;
                Ok(())
            }
        };
        self.counters.refused += u64::from(done.is_err());
        done
    }

    pub(crate) fn send(&mut self, to: Member, wire: &Wire, out: &mut Vec<Action>) {
        let bytes = wire.write();
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Action::Send(to, bytes));
    }

    pub(crate) fn arm(&mut self, out: &mut Vec<Action>) {
        if !self.armed && self.evidence.waits() {
            self.armed = true;
            out.push(Action::Timer(self.settings.gossip, EVIDENCE));
        }
    }

    /// Lets the library work, and does what it asks for.
    pub(crate) fn run<F>(&mut self, now: Ms, out: &mut Vec<Action>, work: F)
    where
        F: FnOnce(
            &mut Foca<Life, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>,
            &mut Sink,
        ) -> Result<(), foca::Error>,
    {
        let mut sink = Sink::default();
        // What the library can't use is a message out of its turn or a timer that comes late: SWIM bears both.
        self.counters.unused += u64::from(work(&mut self.foca, &mut sink).is_err());
        if sink.back {
            self.counters.returns += 1;
        }
        let own = self.me().member.router.clone();
        for (to, bytes) in sink.sent {
            if *to.router() != own {
                let evidence = self.evidence.take(now, &self.settings);
                self.send(to.member().clone(), &Wire::Swim { bytes, evidence }, out);
            }
        }
        for (timer, after) in sink.timers {
            // Timers of an earlier run of the library would do nothing any more.
            let run = token(&timer);
            self.timers.retain(|_, t| token(t) == run);
            self.timers.insert(self.next_timer, timer);
            out.push(Action::Timer(after.as_secs_f64() * 1000.0, self.next_timer));
            self.next_timer += 1;
        }
        if !sink.touched.is_empty() {
            let of = self.foca.iter_membership_state().filter(|m| sink.touched.contains(m.id().router()));
            let now_known: Vec<(Life, State)> = of.map(|m| (m.id().clone(), state(m.state()))).collect();
            for (life, state) in now_known.into_iter().filter(|(l, _)| *l.router() != own) {
                self.changed(life, state, out);
            }
        }
    }

    /// Tells what has changed of a name.
    fn changed(&mut self, life: Life, state: State, out: &mut Vec<Action>) {
        let is = self.known.get(life.router());
        if let Some(former) = is.filter(|k| k.life.member() != life.member()) {
            let (was, is) = (&former.life.presence, life.member());
            out.push(Action::Log(format!("{}: {is} has taken its place", was.member)));
            if former.state != State::Down {
                out.push(Action::StateChanged(was.clone(), State::Down));
            }
        }
        if is.is_none_or(|k| k.life.presence != life.presence || k.state != state) {
            out.push(Action::StateChanged(life.presence.clone(), state));
        }
        self.known.insert(life.router().clone(), Known { life, state });
    }
}

pub(crate) fn state(of: foca::State) -> State {
    match of {
        foca::State::Alive => State::Alive,
        foca::State::Suspect => State::Suspect,
        foca::State::Down => State::Down,
    }
}
