//! Messages of other routers: which senders are accepted, which identity of a name is current, and what is passed to the SWIM library.
//!
//! A message is rejected if its sender is not listed, names another router, or is new while the limit of members is reached. A sender that
//! is not the current identity of its name gets a hello with the current one. Updates on this router are handled here: if another
//! incarnation has replaced it, it leaves; if others know it under an outdated identity or consider it down, it raises its generation.

use crate::evidence::{validate, EvidenceUpdate};
use crate::identity::RouterIdentity;
use crate::membership::{state_of, KnownRouter, Membership};
use crate::message::{Hello, KnownIdentity, Message, SwimMessage};
use crate::{Action, MembershipError, Presence, State};
use basaltgw_types::{Member, Ms, RouterId};

/// The result of checking the updates of a message.
#[derive(Default)]
struct UpdateScan {
    /// Updates on this router that differ from its identity.
    own: Vec<RouterIdentity>,
    /// Other routers whose identity or state differs from the known one.
    changed: Vec<RouterId>,
    /// Updates removed from the message.
    dropped: usize,
}

/// Whether the sender of a message is accepted as the current identity of its name. Otherwise the message's evidence is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    Current,
    NotCurrent,
}

impl Membership {
    pub(crate) fn on_link_up(
        &mut self,
        presence: &Presence,
        actions: &mut Vec<Action>,
    ) -> Result<(), MembershipError> {
        self.check_listed(&presence.member)?;
        self.send_hello(&presence.member, actions);
        Ok(())
    }

    pub(crate) fn on_message(
        &mut self,
        now: Ms,
        from: &Member,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), MembershipError> {
        self.check_listed(from)?;
        self.counters.received += 1;
        match Message::decode(bytes, self.settings.max_message_bytes())? {
            Message::Hello(hello) => self.on_hello(now, from, *hello, actions),
            Message::Swim { bytes, evidence } => {
                evidence.iter().try_for_each(|update| validate(&update.evidence))?;
                if self.on_swim(now, from, &bytes, actions)? == Sender::Current {
                    evidence.iter().for_each(|update| self.on_evidence(now, update, actions));
                    self.set_evidence_timer(actions);
                }
                Ok(())
            }
        }
    }

    fn check_listed(&self, member: &Member) -> Result<(), MembershipError> {
        if member.router == self.me().member.router {
            let claimed = self.me().member.clone();
            return Err(MembershipError::SenderMismatch { from: member.clone(), claimed });
        }
        match self.settings.listed_routers.contains(&member.router) {
            true => Ok(()),
            false => Err(MembershipError::NotListed(member.router.clone())),
        }
    }

    /// Checks that a sender is known, or that the limit of members allows one more.
    fn check_member_limit(&self, from: &Member) -> Result<(), MembershipError> {
        let max = self.settings.max_members;
        match self.known.contains_key(&from.router) || self.known.len() + 1 < max {
            true => Ok(()),
            false => Err(MembershipError::LimitReached { limited: "routers", limit: max }),
        }
    }

    /// Sends this router's identity, and what it knows of the recipient's name.
    fn send_hello(&mut self, to: &Member, actions: &mut Vec<Action>) {
        let known = self.known.get(&to.router).map(|known| KnownIdentity {
            identity: known.identity.clone(),
            is_down: known.state == State::Down,
        });
        let hello = Message::Hello(Box::new(Hello { me: self.swim.identity().clone(), known }));
        self.send(to.clone(), &hello, actions);
    }

    fn on_hello(
        &mut self,
        now: Ms,
        from: &Member,
        hello: Hello,
        actions: &mut Vec<Action>,
    ) -> Result<(), MembershipError> {
        let Hello { me: sender, known: own } = hello;
        self.check_hello(from, &sender, own.as_ref())?;
        self.check_member_limit(from)?;
        let known = self.known.get(&from.router);
        let is_current = known.is_none_or(|k| k.identity.member() == from || sender.replaces(&k.identity));
        let is_down = known.is_some_and(|k| k.identity == sender && k.state == State::Down);
        if let Some(KnownIdentity { identity, is_down }) = &own {
            self.on_own_name(now, identity, *is_down, actions);
            if self.has_left {
                return Ok(());
            }
        }
        let knows_outdated = own.is_some_and(|known| known.identity != *self.swim.identity());
        if is_current && !is_down {
            self.add_member(now, sender, actions);
        }
        if !is_current || is_down || knows_outdated {
            self.counters.not_current += u64::from(!is_current);
            self.send_hello(from, actions);
        }
        Ok(())
    }

    /// Checks that a hello names its sender, and that the identity that it knows has the name of this router.
    fn check_hello(
        &self,
        from: &Member,
        sender: &RouterIdentity,
        own: Option<&KnownIdentity>,
    ) -> Result<(), MembershipError> {
        let own_name = &self.me().member.router;
        let other = own.map(|known| &known.identity).filter(|identity| identity.router() != own_name);
        match Some(sender).filter(|sender| sender.member() != from).or(other) {
            Some(identity) => Err(MembershipError::SenderMismatch {
                from: from.clone(),
                claimed: identity.member().clone(),
            }),
            None => Ok(()),
        }
    }

    /// Passes a router to the SWIM library as alive, and requests the members that it knows if it is the first one.
    fn add_member(&mut self, now: Ms, identity: RouterIdentity, actions: &mut Vec<Action>) {
        let is_first = self.swim.num_members() == 0;
        self.run_swim(now, actions, |swim, requests| {
            let alive = foca::Member::alive(identity.clone());
            swim.apply_many(std::iter::once(alive), true, &mut *requests)?;
            if is_first {
                swim.announce(identity, requests)?;
            }
            Ok(())
        });
    }

    /// Handles the identity under which another router knows this one's name: the present or an outdated one of this router, or that of
    /// another incarnation.
    fn on_own_name(
        &mut self,
        now: Ms,
        identity: &RouterIdentity,
        considered_down: bool,
        actions: &mut Vec<Action>,
    ) {
        let me = self.swim.identity();
        if identity.replaces(me) {
            let (own, other) = (me.member(), identity.member());
            actions.push(Action::Log(format!("{own}: replaced by another incarnation, {other}")));
            actions.push(Action::StateChanged(me.presence.clone(), State::Down));
            self.has_left = true;
            return;
        }
        let same_member = identity.member() == me.member();
        let must_raise = match same_member {
            true if identity == me => considered_down,
            true => identity.generation >= me.generation,
            false => !me.replaces(identity),
        };
        if !must_raise {
            return;
        }
        let Some(raised) = me.raised_above(identity) else {
            let (own, generation) = (me.member(), identity.generation);
            actions.push(Action::Log(format!("{own}: no generation is left above {generation}")));
            return;
        };
        if !same_member {
            let (own, other) = (raised.member(), identity.member());
            actions.push(Action::Log(format!("{own}: replaces the incarnation {other}")));
        }
        self.counters.rejoins += u64::from(same_member);
        self.run_swim(now, actions, |swim, requests| swim.change_identity(raised, requests));
    }

    /// Checks a message of the SWIM library, and passes it to the library.
    fn on_swim(
        &mut self,
        now: Ms,
        from: &Member,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<Sender, MembershipError> {
        let mut message = SwimMessage::decode(bytes)?;
        let sender = &message.header.src;
        if sender.member() != from {
            let claimed = sender.member().clone();
            return Err(MembershipError::SenderMismatch { from: from.clone(), claimed });
        }
        self.check_member_limit(from)?;
        let known = self.known.get(&from.router);
        if known.is_some_and(|k| k.identity.member() != from && !sender.replaces(&k.identity)) {
            self.counters.not_current += 1;
            self.send_hello(from, actions);
            return Ok(Sender::NotCurrent);
        }
        let UpdateScan { own, mut changed, dropped } = self.scan_updates(from, &mut message);
        self.counters.updates_dropped += dropped as u64;
        for identity in own {
            self.on_own_name(now, &identity, false, actions);
            if self.has_left {
                return Ok(Sender::NotCurrent);
            }
        }
        if changes_sender(self.known.get(&from.router), &message) {
            changed.push(from.router.clone());
        }
        let filtered = if dropped > 0 { Some(message.encode()?) } else { None };
        let bytes = filtered.as_deref().unwrap_or(bytes);
        self.run_swim(now, actions, |swim, requests| {
            requests.changed_routers.extend(changed);
            swim.handle_data(bytes, requests)
        });
        Ok(Sender::Current)
    }

    /// Removes the updates on this router that differ from its identity, and those on new routers over the limit of members.
    fn scan_updates(&self, from: &Member, message: &mut SwimMessage) -> UpdateScan {
        let me = self.swim.identity();
        let sender_is_new = !self.known.contains_key(&from.router);
        let members = self.known.len() + 1 + usize::from(sender_is_new);
        let mut capacity = self.settings.max_members.saturating_sub(members);
        let mut new_routers: Vec<RouterId> = Vec::new();
        let mut scan = UpdateScan::default();
        let before = message.updates.len();
        message.updates.retain(|update| {
            let identity = update.id();
            let router = identity.router();
            if router == me.router() {
                let is_me = identity == me;
                scan.own.extend((!is_me).then(|| identity.clone()));
                return is_me;
            }
            let state = state_of(update.state());
            let known = self.known.get(router);
            if known.is_none() && *router != from.router && !new_routers.contains(router) {
                if capacity == 0 {
                    return false;
                }
                capacity -= 1;
                new_routers.push(router.clone());
            }
            let is_same = known.is_some_and(|k| k.identity == *identity && k.state == state);
            scan.changed.extend((!is_same).then(|| router.clone()));
            true
        });
        scan.dropped = before - message.updates.len();
        scan
    }

    fn on_evidence(&mut self, now: Ms, update: &EvidenceUpdate, actions: &mut Vec<Action>) {
        if update.origin == self.me().member {
            return;
        }
        let known = self.known.get(&update.origin.router);
        if known.is_none_or(|k| *k.identity.member() != update.origin) {
            self.counters.evidence_dropped += 1;
            return;
        }
        match self.evidence.store.add_remote(now, update, &self.settings) {
            Ok(true) => {
                actions.push(Action::RemoteEvidence(update.origin.clone(), update.evidence.clone()));
            }
            Ok(false) => {}
            Err(_) => self.counters.evidence_dropped += 1,
        }
    }
}

/// True if a message changes what is known of its sender: it shows that the sender is alive, under the identity in the header.
fn changes_sender(known: Option<&KnownRouter>, message: &SwimMessage) -> bool {
    known.is_none_or(|k| k.identity != message.header.src || k.state != State::Alive)
}

#[cfg(test)]
mod tests;
