//! What others say: who speaks for which name, which of its lives is current, and what is let through to the SWIM library.

use crate::evidence::{sound, Item};
use crate::life::Life;
use crate::roster::{state, Known, Membership};
use crate::wire::{Hello, Swim, Wire};
use crate::{Action, MembershipError, Presence, State};
use basaltgw_types::{Member, Ms, RouterId};

impl Membership {
    pub(crate) fn met(&mut self, who: Presence, out: &mut Vec<Action>) -> Result<(), MembershipError> {
        self.listed(&who.member)?;
        self.hello(&who.member, out);
        Ok(())
    }

    fn listed(&self, who: &Member) -> Result<(), MembershipError> {
        if who.router == self.me().member.router {
            return Err(MembershipError::SenderMismatch {
                from: who.clone(),
                says: self.me().member.clone(),
            });
        }
        let listed = self.settings.listed.contains(&who.router);
        listed.then_some(()).ok_or_else(|| MembershipError::NotListed(who.router.clone()))
    }

    /// Says who it is, and what it knows of the other's name.
    fn hello(&mut self, to: &Member, out: &mut Vec<Action>) {
        let known = self.known.get(&to.router).map(|k| (k.life.clone(), k.state == State::Down));
        let hello = Wire::Hello(Box::new(Hello { me: self.foca.identity().clone(), known }));
        self.send(to.clone(), &hello, out);
    }

    pub(crate) fn bytes(
        &mut self,
        now: Ms,
        from: &Member,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) -> Result<(), MembershipError> {
        self.listed(from)?;
        self.counters.got += 1;
        match Wire::read(bytes, self.settings.most_bytes())? {
            Wire::Hello(hello) => self.hello_of(now, from, *hello, out),
            Wire::Swim { bytes, evidence } => {
                evidence.iter().try_for_each(|item| sound(&item.evidence))?;
                if self.swim(now, from, &bytes, out)? {
                    evidence.iter().for_each(|item| self.told(now, item, out));
                    self.arm(out);
                }
                Ok(())
            }
        }
    }

    fn hello_of(
        &mut self,
        now: Ms,
        from: &Member,
        of: Hello,
        out: &mut Vec<Action>,
    ) -> Result<(), MembershipError> {
        let Hello { me: they, known: me } = of;
        let own = self.me().member.router.clone();
        let named = me.iter().find(|(l, _)| *l.router() != own).map(|(l, _)| l.member());
        if let Some(says) = Some(they.member()).filter(|m| *m != from).or(named) {
            return Err(MembershipError::SenderMismatch { from: from.clone(), says: says.clone() });
        }
        let room = self.room();
        let is = self.known.get(&from.router);
        if is.is_none() && !room {
            return Err(MembershipError::LimitReached("routers", self.settings.most_members));
        }
        // Whom another life has replaced, or who has not put itself after the one that is known, is told of it.
        let settled = is.is_none_or(|k| k.life.member() == from || they.replaces(&k.life));
        let down = is.is_some_and(|k| k.life == they && k.state == State::Down);
        if let Some((life, held_down)) = &me {
            self.own_name(now, life, *held_down, out);
            if self.has_left {
                return Ok(());
            }
        }
        let stale = me.is_some_and(|(life, _)| life != *self.foca.identity());
        if settled && !down {
            let first = self.foca.num_members() == 0;
            self.run(now, out, |foca, sink| {
                foca.apply_many(std::iter::once(foca::Member::alive(they.clone())), true, &mut *sink)?;
                // Whom it knows is asked once; the rest comes round.
                if first {
                    foca.announce(they, sink)?;
                }
                Ok(())
            });
        }
        if !settled || down || stale {
            self.counters.not_current += u64::from(!settled);
            self.hello(from, out);
        }
        Ok(())
    }

    /// Whether another name would be within the bound; the own counts.
    fn room(&self) -> bool {
        self.known.len() + 1 < self.settings.most_members
    }

    /// Others speak of the own name: is it a former life, this one as it was, or one that took its place?
    fn own_name(&mut self, now: Ms, life: &Life, held_down: bool, out: &mut Vec<Action>) {
        let me = self.foca.identity();
        let (same, after) = (life.member() == me.member(), life.generation >= me.generation);
        if life.replaces(me) {
            out.push(Action::Log(format!(
                "{}: another life, {}, has taken the place of this one",
                me.member(),
                life.member()
            )));
            out.push(Action::StateChanged(me.presence.clone(), State::Down));
            self.has_left = true;
            return;
        }
        let above = match same {
            true => (life != me && after) || (life == me && held_down),
            false => !me.replaces(life),
        };
        if !above {
            return;
        }
        match me.above(life) {
            Some(next) => {
                if !same {
                    out.push(Action::Log(format!("{}: comes in place of {}", next.member(), life.member())));
                }
                self.counters.returns += u64::from(same);
                self.run(now, out, |foca, sink| foca.change_identity(next, sink));
            }
            None => {
                out.push(Action::Log(format!("{}: no number is left above {}", me.member(), life.generation)))
            }
        }
    }

    /// A message of the library; whether its sender is current.
    fn swim(
        &mut self,
        now: Ms,
        from: &Member,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) -> Result<bool, MembershipError> {
        let mut swim = Swim::read(bytes)?;
        if swim.header.src.member() != from {
            let says = swim.header.src.member().clone();
            return Err(MembershipError::SenderMismatch { from: from.clone(), says });
        }
        let is = self.known.get(&from.router);
        if is.is_none() && !self.room() {
            return Err(MembershipError::LimitReached("routers", self.settings.most_members));
        }
        if is.is_some_and(|k| k.life.member() != from && !swim.header.src.replaces(&k.life)) {
            self.counters.not_current += 1;
            self.hello(from, out);
            return Ok(false);
        }
        let own = self.me().member.router.clone();
        let mut touched: Vec<RouterId> = Vec::new();
        let mut room =
            self.settings.most_members.saturating_sub(self.known.len() + 1 + usize::from(is.is_none()));
        let (mut of_me, mut strangers) = (Vec::new(), Vec::new());
        let (me, known) = (self.foca.identity().clone(), &self.known);
        let before = swim.updates.len();
        swim.updates.retain(|u| {
            let router = u.id().router();
            if *router == own {
                let is_me = *u.id() == me;
                of_me.extend((!is_me).then(|| u.id().clone()));
                return is_me;
            }
            let state = state(u.state());
            let same = known.get(router).map(|k| k.life == *u.id() && k.state == state);
            let new = same.is_none() && router != &from.router && !strangers.contains(router);
            if new && room == 0 {
                return false;
            }
            if new {
                room -= 1;
                strangers.push(router.clone());
            }
            touched.extend((same != Some(true)).then(|| router.clone()));
            true
        });
        let left_out = before - swim.updates.len();
        self.counters.left_out += left_out as u64;
        for life in of_me {
            self.own_name(now, &life, false, out);
            if self.has_left {
                return Ok(false);
            }
        }
        if is_news(self.known.get(&from.router), &swim) {
            touched.push(from.router.clone());
        }
        let again = if left_out > 0 { Some(swim.write()?) } else { None };
        let bytes = again.as_deref().unwrap_or(bytes);
        self.run(now, out, |foca, sink| {
            sink.touched.extend(touched);
            foca.handle_data(bytes, sink)
        });
        Ok(true)
    }

    fn told(&mut self, now: Ms, item: &Item, out: &mut Vec<Action>) {
        if item.origin == self.me().member {
            return;
        }
        let current = self.known.get(&item.origin.router).is_some_and(|k| *k.life.member() == item.origin);
        let news = match current {
            true => self.evidence.told(now, item, &self.settings),
            false => Ok(false),
        };
        match news {
            Ok(true) => out.push(Action::RemoteEvidence(item.origin.clone(), item.evidence.clone())),
            Ok(false) => self.counters.evidence_out += u64::from(!current),
            Err(_) => self.counters.evidence_out += 1,
        }
    }
}

/// Whether a message's sender is otherwise than it was known: each message says that it is alive.
fn is_news(known: Option<&Known>, of: &Swim) -> bool {
    known.is_none_or(|k| k.life != of.header.src || k.state != State::Alive)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Event, Evidence, Settings};
    use basaltgw_types::{Domain, Incarnation};
    use foca::{Header, Message};

    fn presence(name: &str, incarnation: u128) -> Presence {
        let member = Member { router: RouterId(name.into()), incarnation: Incarnation(incarnation) };
        let domain = Domain { branch: "b".into(), machine: name.into() };
        Presence { member, address: ([127, 0, 0, 1], 7101).into(), domain }
    }

    /// What r0, which knows the first life of r1, makes of a message of some life of it.
    fn said(life: &Life, evidence: Vec<Item>) -> (Membership, Result<(), MembershipError>, Vec<Action>) {
        let settings = Settings { listed: [RouterId("r1".into())].into(), ..Settings::default() };
        let mut roster = Membership::new(presence("r0", 1), settings, 1).expect("a roster");
        let (first, mut out) = (Life::new(presence("r1", 1)), Vec::new());
        let hello = Wire::Hello(Box::new(Hello { me: first.clone(), known: None })).write();
        roster.handle(0.0, Event::MessageReceived(first.member().clone(), hello), &mut out).expect("met");
        let (dst, message) = (Life::new(presence("r0", 1)), Message::Ping(1));
        let header = Header { src: life.clone(), src_incarnation: 0, dst, message };
        let bytes = Swim { header, updates: Vec::new(), counted: false }.write().expect("a message");
        out.clear();
        let event = Event::MessageReceived(life.member().clone(), Wire::Swim { bytes, evidence }.write());
        let done = roster.handle(1.0, event, &mut out);
        (roster, done, out)
    }

    #[test]
    fn a_life_that_does_not_put_itself_after_the_known_one_is_told_of_it_and_not_heard() {
        let known = |r: &Membership| r.peers().map(|(p, _)| p.member.incarnation.0).collect::<Vec<_>>();
        let new = Life { generation: 9, ..Life::new(presence("r1", 7)) };
        let (roster, done, out) = said(&new, Vec::new());
        assert_eq!((done, known(&roster), roster.counters().not_current), (Ok(()), vec![1], 1));
        let [Action::Send(to, bytes)] = &out[..] else { panic!("{out:?}") };
        let Ok(Wire::Hello(hello)) = Wire::read(bytes, 1000) else { panic!("no hello") };
        let told = hello.known.map(|(life, down)| (life.member().incarnation.0, down));
        assert_eq!((to, told), (new.member(), Some((1, false))));
        let after = new.above(&Life::new(presence("r1", 1))).expect("above");
        let (roster, done, _) = said(&after, Vec::new());
        assert_eq!((done, known(&roster), roster.counters().not_current), (Ok(()), vec![7], 0));
    }

    #[test]
    fn evidence_that_can_not_be_refuses_the_message_as_a_whole() {
        let sender = Life::new(presence("r1", 1));
        let item = |latency| {
            let evidence = Evidence { site: "east".into(), missed: 1, answered: 0, latency, age: 0.0 };
            Item { origin: sender.member().clone(), start: 1, serial: 1, evidence }
        };
        let (_, done, out) = said(&sender, vec![item(1.0)]);
        assert!(done.is_ok() && out.iter().any(|a| matches!(a, Action::RemoteEvidence(..))), "{out:?}");
        let (_, done, out) = said(&sender, vec![item(1.0), item(f64::NAN)]);
        assert!(
            matches!(done, Err(MembershipError::Evidence("latency", _))) && out.is_empty(),
            "{done:?} {out:?}"
        );
    }
}
