//! News of the change log: lists of servers and purges, and what waits that they overtake.

use super::attempts::Attempt;
use super::requests::Open;
use super::Owner;
use crate::breaks::{broken, Break};
use crate::fleet::purges::purge;
use basaltgw::api::{
    AttemptResult, Endpoint, EndpointState, EndpointUpdate, Event, GroupId, Ms, ObjectId, ServerId,
};
use basaltgw_config::{Member, News};
use std::time::Instant;

/// What a purge names.
#[derive(Clone, Copy)]
pub(super) struct Purged {
    /// The object; `None` for the whole group.
    pub object: Option<ObjectId>,
    /// The group.
    pub group: GroupId,
    /// When, in Unix time.
    pub time: Ms,
}

impl Owner {
    /// What the change log had told before this start, oldest first.
    pub(super) fn known(&mut self, known: &[News]) {
        // All times first: the latest says most of what the time is now.
        for news in known {
            match news {
                News::Servers { members, .. } => self.observe_starts(members),
                News::Purge { time, .. } => {
                    let grown = self.platform.observe_purge(self.now, *time);
                    self.grown_older(grown);
                    self.platform.purge_known(*time);
                }
            }
        }
        for news in known.iter().cloned() {
            match news {
                News::Servers { whole, members } => {
                    self.counters.log.lists.one();
                    self.list(whole, members);
                }
                News::Purge { object, group, time } => {
                    let age = self.platform.age(self.now, time);
                    self.purged(Purged { object, group, time }, age);
                }
            }
        }
    }

    /// An event of the change log.
    pub(super) fn news(&mut self, news: News) {
        match news {
            News::Servers { whole, members } => {
                self.counters.log.lists.one();
                self.observe_starts(&members);
                self.list(whole, members);
            }
            News::Purge { object, group, time } => {
                let grown = self.platform.observe_purge(self.now, time);
                self.grown_older(grown);
                let age = self.platform.age_in_order(self.now, time);
                self.purged(Purged { object, group, time }, age);
            }
        }
    }

    /// What the platform told before is older than was reckoned.
    pub(super) fn grown_older(&mut self, grown: Option<Ms>) {
        if let Some(grown) = grown {
            self.slow_start.older_by(grown);
            self.tell(Event::ClockCorrected(grown));
        }
    }

    /// Servers that are up have started before now.
    fn observe_starts(&mut self, members: &[Member]) {
        let up = members.iter().filter(|m| m.entry.state == EndpointState::Up);
        for started in up.filter_map(|m| m.entry.started) {
            let grown = self.platform.observe(self.now, started);
            self.grown_older(grown);
        }
    }

    /// A purge of the change log, that old.
    fn purged(&mut self, purged: Purged, age: Ms) {
        let heard = purge(purged.group, purged.object, purged.time);
        self.fleet.iter_mut().for_each(|f| f.purged(heard));
        self.heed(purged, age);
    }

    /// A purge of which another router tells.
    pub(super) fn purged_elsewhere(&mut self, purged: Purged) {
        let grown = self.platform.observe_purge(self.now, purged.time);
        self.grown_older(grown);
        let age = self.platform.age(self.now, purged.time);
        self.heed(purged, age);
    }

    fn heed(&mut self, purged: Purged, age: Ms) {
        let Purged { object, group, time } = purged;
        self.counters.log.purges.one();
        if broken(Break::PurgeIgnored) {
            return;
        }
        self.gather_purged(object, group, time);
        self.tell(Event::Purged(group, object, age));
        let named = |o: &Open| match object {
            Some(object) => o.request.object == object,
            None => o.request.group == group,
        };
        self.recall(|o, _| named(o));
    }

    fn list(&mut self, whole: bool, mut members: Vec<Member>) {
        if broken(Break::DrainIgnored) {
            members.retain(|m| m.entry.state == EndpointState::Up);
        }
        self.list_in = true;
        let (mut leaving, mut left_out, mut left) = (Vec::new(), Vec::new(), Vec::new());
        if whole {
            let told = |id: &ServerId| members.iter().any(|m| m.entry.id == *id);
            leaving.extend(self.servers.keys().filter(|id| !told(id)).cloned());
            for id in &leaving {
                left.extend(self.caches.moved(id, None));
                self.servers.remove(id);
            }
            left_out.clone_from(&leaving);
        }
        for member in &members {
            let id = &member.entry.id;
            let up = member.entry.state == EndpointState::Up;
            left.extend(self.caches.moved(id, up.then(|| member.place())));
            if !up {
                leaving.push(id.clone());
            }
            if member.entry.state == EndpointState::Removed {
                self.servers.remove(id);
            } else {
                self.servers.insert(id.clone(), member.place());
            }
        }
        let planned = self.tree.listed(self.now, &members, &left_out);
        let mode = if whole { EndpointUpdate::Complete } else { EndpointUpdate::Delta };
        let mut entries: Vec<_> = members.into_iter().map(|m| m.entry).collect();
        for entry in &mut entries {
            self.map_start(entry);
        }
        self.tell(Event::Endpoints(mode, entries));
        self.tell_all(planned);
        // Also what waits for a server that stays, on a connection to where it was.
        self.recall(|_, a| {
            leaving.contains(&a.server)
                || a.source.as_ref().is_some_and(|s| leaving.contains(s))
                || a.way.as_ref().is_some_and(|(conn, _)| left.contains(conn))
        });
    }

    /// Maps the start that the list tells to the router's clock, and watches what is sent to a server that started lately.
    fn map_start(&mut self, entry: &mut Endpoint) {
        let Some(unix) = entry.started else {
            self.slow_start.listed(Instant::now(), entry, None);
            return;
        };
        let started = self.platform.local(self.now, unix);
        let age = (self.now - started).max(0.0);
        if self.slow_start.listed(Instant::now(), entry, Some(age)) {
            let (id, size) = (&entry.id.0, entry.weight);
            log::info!("{id}: the list tells of its start {age:.0} ms ago, at {unix:.0}, size {size}");
        }
        entry.started = Some(started);
    }

    /// Takes back what waits to be written and was decided before the news.
    pub(super) fn recall(&mut self, overtaken: impl Fn(&Open, &Attempt) -> bool) {
        let keys = self.requests.waiting(overtaken);
        keys.into_iter()
            .for_each(|key| self.give_up(key, (AttemptResult::Cancelled, AttemptResult::NotSent), false));
    }
}
