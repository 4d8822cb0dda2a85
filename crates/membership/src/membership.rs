//! The membership of one router: events in, actions out. It drives the SWIM library, and reports the state changes that result.

use crate::evidence::EvidenceStore;
use crate::identity::RouterIdentity;
use crate::message::Message;
use crate::runtime::{timer_token, CollectedRequests, OutgoingMessage, StartedTimer};
use crate::{Action, Event, MembershipError, Presence, Settings, State};
use basaltgw_types::{Member, Ms, RouterId};
use foca::{Foca, NoCustomBroadcast, PostcardCodec, Timer};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The token of the evidence gossip's timer; those of the library's timers start at 1.
const EVIDENCE_TIMER: u64 = 0;

const MS_PER_SECOND: f64 = 1000.0;

/// Counters since the membership was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Messages received from listed routers.
    pub received: u64,
    /// Events rejected with a [`MembershipError`].
    pub rejected: u64,
    /// Messages of an identity that is not the current one of its name.
    pub not_current: u64,
    /// Updates removed from messages: on this router, or over the limit of members.
    pub updates_dropped: u64,
    /// Evidence dropped: its origin is not current, or a limit is reached.
    pub evidence_dropped: u64,
    /// Messages and timers that the SWIM library rejected.
    pub library_errors: u64,
    /// Times that this router returned after others considered it down.
    pub rejoins: u64,
    /// Events after this router has left, or was replaced by another incarnation.
    pub after_leaving: u64,
}

/// The current identity of a name, and its state.
pub(crate) struct KnownRouter {
    pub identity: RouterIdentity,
    pub state: State,
}

/// Another router, as this one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer<'a> {
    /// The router.
    pub presence: &'a Presence,
    /// Its state.
    pub state: State,
}

/// The SWIM library with its types.
pub(crate) type Swim = Foca<RouterIdentity, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// The library's timers, by token.
struct SwimTimers {
    by_token: BTreeMap<u64, Timer<RouterIdentity>>,
    next_token: u64,
}

/// Evidence, and whether the timer that gossips it is set.
pub(crate) struct EvidenceGossip {
    pub store: EvidenceStore,
    timer_is_set: bool,
}

/// The routers that exist, and the evidence on sites, as one router knows them.
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) swim: Swim,
    /// The current identities, by name.
    pub(crate) known: BTreeMap<RouterId, KnownRouter>,
    timers: SwimTimers,
    pub(crate) evidence: EvidenceGossip,
    pub(crate) has_left: bool,
    pub(crate) counters: Counters,
}

impl Membership {
    /// A membership without peers. `seed` is a random number of the process; the same events and seed give the same actions.
    ///
    /// # Errors
    /// If a setting is out of range, or the router's own name is invalid.
    pub fn new(me: Presence, settings: Settings, seed: u64) -> Result<Self, MembershipError> {
        settings.check()?;
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let start = rng.next_u64();
        let identity = RouterIdentity::new(me);
        if !identity.is_valid() {
            return Err(MembershipError::Setting { setting: "me", expected: "plain names" });
        }
        Ok(Self {
            swim: Foca::new(identity, settings.swim_config(), rng, PostcardCodec),
            settings,
            known: BTreeMap::new(),
            timers: SwimTimers { by_token: BTreeMap::new(), next_token: EVIDENCE_TIMER + 1 },
            evidence: EvidenceGossip { store: EvidenceStore::new(start), timer_is_set: false },
            has_left: false,
            counters: Counters::default(),
        })
    }

    /// This router.
    pub fn me(&self) -> &Presence {
        &self.swim.identity().presence
    }

    /// True if this router has left, or another incarnation has replaced it: it sends nothing more.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// The current identity of each other name, in the order of names.
    pub fn peers(&self) -> impl Iterator<Item = Peer<'_>> {
        self.known.values().map(|k| Peer { presence: &k.identity.presence, state: k.state })
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Handles an event at the time `now`, in monotonic milliseconds, and appends the resulting actions.
    ///
    /// # Errors
    /// If the event is invalid; then it has changed nothing, and no action was added.
    pub fn handle(
        &mut self,
        now: Ms,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), MembershipError> {
        if self.has_left {
            self.counters.after_leaving += 1;
            return Ok(());
        }
        let result = match event {
            Event::LinkUp(presence) => self.on_link_up(&presence, actions),
            Event::MessageReceived(from, bytes) => self.on_message(now, &from, &bytes, actions),
            Event::LocalEvidence(evidence) => {
                let me = self.me().member.clone();
                let added = self.evidence.store.add_local(now, &me, evidence, &self.settings);
                self.set_evidence_timer(actions);
                added
            }
            Event::Timer(EVIDENCE_TIMER) => {
                self.gossip_evidence(now, actions);
                Ok(())
            }
            Event::Timer(token) => {
                if let Some(timer) = self.timers.by_token.remove(&token) {
                    self.run_swim(now, actions, |swim, requests| swim.handle_timer(timer, requests));
                }
                Ok(())
            }
            Event::Leave => {
                self.run_swim(now, actions, |swim, requests| swim.leave_cluster(requests));
                self.has_left = true;
                Ok(())
            }
        };
        self.counters.rejected += u64::from(result.is_err());
        result
    }

    pub(crate) fn send(&mut self, to: Member, message: &Message, actions: &mut Vec<Action>) {
        let bytes = message.encode();
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        actions.push(Action::Send(to, bytes));
    }

    pub(crate) fn set_evidence_timer(&mut self, actions: &mut Vec<Action>) {
        if !self.evidence.timer_is_set && self.evidence.store.has_pending() {
            self.evidence.timer_is_set = true;
            actions.push(Action::Timer { delay: self.settings.gossip_interval, token: EVIDENCE_TIMER });
        }
    }

    /// Sends a round of gossip if evidence is pending, which is attached to it.
    fn gossip_evidence(&mut self, now: Ms, actions: &mut Vec<Action>) {
        self.evidence.timer_is_set = false;
        if self.evidence.store.expire(now, &self.settings) {
            self.run_swim(now, actions, |swim, requests| swim.gossip(requests));
            self.set_evidence_timer(actions);
        }
    }

    /// Calls the SWIM library, and executes what it requests.
    pub(crate) fn run_swim(
        &mut self,
        now: Ms,
        actions: &mut Vec<Action>,
        call: impl FnOnce(&mut Swim, &mut CollectedRequests) -> Result<(), foca::Error>,
    ) {
        let mut requests = CollectedRequests::default();
        // The library rejects messages out of order and late timers, which SWIM tolerates.
        self.counters.library_errors += u64::from(call(&mut self.swim, &mut requests).is_err());
        self.counters.rejoins += u64::from(requests.has_rejoined);
        let own_name = self.me().member.router.clone();
        for OutgoingMessage { to, bytes } in requests.messages {
            if *to.router() != own_name {
                let evidence = self.evidence.store.take_for_message(now, &self.settings);
                self.send(to.member().clone(), &Message::Swim { bytes, evidence }, actions);
            }
        }
        requests.timers.into_iter().for_each(|started| self.start_timer(started, actions));
        if requests.changed_routers.is_empty() {
            return;
        }
        let changed = self.swim.iter_membership_state().filter(|m| {
            let router = m.id().router();
            requests.changed_routers.contains(router) && *router != own_name
        });
        let changed: Vec<KnownRouter> =
            changed.map(|m| KnownRouter { identity: m.id().clone(), state: state_of(m.state()) }).collect();
        changed.into_iter().for_each(|router| self.update_known(router, actions));
    }

    /// Starts a timer; those of an earlier run of the library are dropped.
    fn start_timer(&mut self, StartedTimer { timer, delay }: StartedTimer, actions: &mut Vec<Action>) {
        let run = timer_token(&timer);
        self.timers.by_token.retain(|_, t| timer_token(t) == run);
        let token = self.timers.next_token;
        self.timers.next_token += 1;
        self.timers.by_token.insert(token, timer);
        actions.push(Action::Timer { delay: delay.as_secs_f64() * MS_PER_SECOND, token });
    }

    /// Stores a router's identity and state, and reports what has changed.
    fn update_known(&mut self, router: KnownRouter, actions: &mut Vec<Action>) {
        let (identity, state) = (&router.identity, router.state);
        let known = self.known.get(identity.router());
        if let Some(former) = known.filter(|k| k.identity.member() != identity.member()) {
            let presence = &former.identity.presence;
            actions.push(Action::Log(format!("{}: replaced by {}", presence.member, identity.member())));
            if former.state != State::Down {
                actions.push(Action::StateChanged(presence.clone(), State::Down));
            }
        }
        if known.is_none_or(|k| k.identity.presence != identity.presence || k.state != state) {
            actions.push(Action::StateChanged(identity.presence.clone(), state));
        }
        self.known.insert(identity.router().clone(), router);
    }
}

/// The state of a member in the SWIM library.
pub(crate) fn state_of(state: foca::State) -> State {
    match state {
        foca::State::Alive => State::Alive,
        foca::State::Suspect => State::Suspect,
        foca::State::Down => State::Down,
    }
}
