//! Handles the events of the change log, endpoint lists and purges, and recalls unsent attempts that were decided before them.

use super::requests::PendingRequest;
use super::Owner;
use crate::breaks::{broken, Break};
use crate::caches::ConnId;
use crate::fleet::purges;
use crate::slow_start_watch::ListedStart;
use basaltgw::api::{Endpoint, EndpointState, EndpointUpdate, Event, GroupId, Ms, ObjectId, ServerId};
use basaltgw_config::{ListedServer, WatchEvent};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

/// A purge of an object or a group.
#[derive(Clone, Copy)]
pub(super) struct Purged {
    /// The object; `None` for the whole group.
    pub(super) object: Option<ObjectId>,
    /// The group that is purged if `object` is `None`.
    pub(super) group: GroupId,
    /// The time of the purge, in Unix milliseconds.
    pub(super) time: Ms,
}

impl Purged {
    fn concerns(&self, pending: &PendingRequest) -> bool {
        match self.object {
            Some(object) => pending.request.object == object,
            None => pending.request.group == self.group,
        }
    }
}

/// Servers and connections that an endpoint list takes out of service.
#[derive(Default)]
struct Withdrawn {
    /// Servers that are draining, removed, or missing in a complete list.
    servers: Vec<ServerId>,
    /// Of these, the servers that are missing in a complete list.
    unlisted: Vec<ServerId>,
    /// Connections to a former address or process of a server.
    connections: Vec<ConnId>,
}

impl Owner {
    /// Handles the events of the change log that the configuration contains, oldest first.
    pub(super) fn handle_known_events(&mut self, known: &[WatchEvent]) {
        // All times are observed first, since the latest one gives the best bound on the current time.
        for event in known {
            match event {
                WatchEvent::EndpointList { servers, .. } => self.observe_starts(servers),
                WatchEvent::Purge { purged_at, .. } => {
                    let shift = self.time.observe_purge(*purged_at);
                    self.on_clock_corrected(shift);
                    self.time.platform.record_known_purge(*purged_at);
                }
            }
        }
        for event in known.iter().cloned() {
            match event {
                WatchEvent::EndpointList { complete, servers } => {
                    self.counters.log.lists.increment();
                    self.on_endpoint_list(complete, servers);
                }
                WatchEvent::Purge { object, group, purged_at: time } => {
                    let age = self.time.platform.age(self.time.now, time);
                    self.on_logged_purge(Purged { object, group, time }, age);
                }
            }
        }
    }

    /// Handles an event of the change log.
    pub(super) fn on_watch_event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::EndpointList { complete, servers } => {
                self.counters.log.lists.increment();
                self.observe_starts(&servers);
                self.on_endpoint_list(complete, servers);
            }
            WatchEvent::Purge { object, group, purged_at: time } => {
                let shift = self.time.observe_purge(time);
                self.on_clock_corrected(shift);
                let age = self.time.platform.age_of_next_purge(self.time.now, time);
                self.on_logged_purge(Purged { object, group, time }, age);
            }
        }
    }

    /// Handles a correction of the platform's clock: events listed before are `shift` milliseconds older than estimated.
    pub(super) fn on_clock_corrected(&mut self, shift: Option<Ms>) {
        if let Some(shift) = shift {
            self.monitors.slow_start.shift_starts(shift);
            self.dispatch(Event::ClockCorrected { shift });
        }
    }

    /// Observes the starts of servers that are up, which are in the past.
    fn observe_starts(&mut self, servers: &[ListedServer]) {
        let up = servers.iter().filter(|server| server.endpoint.state == EndpointState::Up);
        for started in up.filter_map(|server| server.endpoint.started) {
            let shift = self.time.observe(started);
            self.on_clock_corrected(shift);
        }
    }

    /// Handles a purge from the change log, `age` milliseconds old.
    fn on_logged_purge(&mut self, purged: Purged, age: Ms) {
        if let Some(fleet) = &mut self.fleet {
            fleet.replicate_purge(purges::from_change_log(purged.group, purged.object, purged.time));
        }
        self.purge(purged, age);
    }

    /// Handles a purge that another router has replicated.
    pub(super) fn on_replicated_purge(&mut self, purged: Purged) {
        let shift = self.time.observe_purge(purged.time);
        self.on_clock_corrected(shift);
        let age = self.time.platform.age(self.time.now, purged.time);
        self.purge(purged, age);
    }

    fn purge(&mut self, purged: Purged, age: Ms) {
        let Purged { object, group, time } = purged;
        self.counters.log.purges.increment();
        if broken(Break::PurgeIgnored) {
            return;
        }
        self.purge_parts(object, group, time);
        self.dispatch(Event::Purged { group, object, age });
        self.recall(|pending, _| purged.concerns(pending));
    }

    fn on_endpoint_list(&mut self, complete: bool, mut servers: Vec<ListedServer>) {
        if broken(Break::DrainIgnored) {
            servers.retain(|server| server.endpoint.state == EndpointState::Up);
        }
        self.upstream.list_received = true;
        let replaced = self.replaced_servers(&servers);
        self.counters.log.addresses_taken.add(replaced.len() as u64);
        servers.extend(replaced);
        let mut withdrawn = Withdrawn::default();
        if complete {
            self.withdraw_unlisted(&servers, &mut withdrawn);
        }
        self.update_endpoints(&servers, &mut withdrawn);
        let tree_events = self.upstream.tree.on_endpoint_list(self.time.now, &servers, &withdrawn.unlisted);
        let update = if complete { EndpointUpdate::Complete } else { EndpointUpdate::Delta };
        let mut endpoints: Vec<_> = servers.into_iter().map(|server| server.endpoint).collect();
        endpoints.iter_mut().for_each(|endpoint| self.map_start(endpoint));
        self.dispatch(Event::Endpoints { update, entries: endpoints });
        self.dispatch_all(tree_events);
        // Attempts on a connection to a server's former address or process are recalled too.
        self.recall(|_, attempt| {
            withdrawn.servers.contains(&attempt.server)
                || attempt.fill_source.as_ref().is_some_and(|source| withdrawn.servers.contains(source))
                || withdrawn.connections.iter().any(|connection| attempt.is_on(*connection))
        });
    }

    /// Removals of servers whose address another one has, which is new there: an address is used again only once its server has gone, and the
    /// list may tell of that later. Otherwise requests that are meant for the old server would be sent to the new one.
    fn replaced_servers(&self, servers: &[ListedServer]) -> Vec<ListedServer> {
        let endpoints = &self.upstream.endpoints;
        let is_new = |server: &&ListedServer| {
            let known = endpoints.get(&server.endpoint.id);
            server.endpoint.state == EndpointState::Up
                && known.is_none_or(|known| known.address != server.address)
        };
        let taken: BTreeSet<SocketAddr> =
            servers.iter().filter(is_new).map(|server| server.address).collect();
        if taken.is_empty() {
            return Vec::new();
        }
        let listed: BTreeSet<&ServerId> = servers.iter().map(|server| &server.endpoint.id).collect();
        let replaced =
            endpoints.iter().filter(|(id, old)| !listed.contains(id) && taken.contains(&old.address));
        let removal = |old: &ListedServer| {
            let mut removal = old.clone();
            removal.endpoint.state = EndpointState::Removed;
            removal
        };
        replaced.map(|(_, old)| removal(old)).collect()
    }

    /// Removes the servers that are missing in a complete list.
    fn withdraw_unlisted(&mut self, servers: &[ListedServer], withdrawn: &mut Withdrawn) {
        let is_listed = |id: &ServerId| servers.iter().any(|server| server.endpoint.id == *id);
        let unlisted: Vec<_> = self.upstream.endpoints.keys().filter(|id| !is_listed(id)).cloned().collect();
        for id in &unlisted {
            withdrawn.connections.extend(self.upstream.caches.retire_moved(id, None));
            self.upstream.endpoints.remove(id);
        }
        withdrawn.servers.clone_from(&unlisted);
        withdrawn.unlisted = unlisted;
    }

    fn update_endpoints(&mut self, servers: &[ListedServer], withdrawn: &mut Withdrawn) {
        let upstream = &mut self.upstream;
        for server in servers {
            let id = &server.endpoint.id;
            let up = server.endpoint.state == EndpointState::Up;
            withdrawn.connections.extend(upstream.caches.retire_moved(id, up.then(|| server.process())));
            if !up {
                withdrawn.servers.push(id.clone());
            }
            if server.endpoint.state == EndpointState::Removed {
                upstream.endpoints.remove(id);
            } else {
                upstream.endpoints.insert(id.clone(), server.clone());
            }
        }
    }

    /// Maps an endpoint's listed start to the router's clock, and passes it to the slow-start watch.
    fn map_start(&mut self, endpoint: &mut Endpoint) {
        let Some(unix) = endpoint.started else {
            self.monitors.slow_start.observe_endpoint(Instant::now(), endpoint, None);
            return;
        };
        let started = self.time.platform.local(self.time.now, unix);
        let age = (self.time.now - started).max(0.0);
        let start = self.monitors.slow_start.observe_endpoint(Instant::now(), endpoint, Some(age));
        if start == ListedStart::New {
            let (id, weight) = (&endpoint.id.0, endpoint.weight);
            log::info!("endpoint {id} started {age:.0} ms ago, at {unix:.0}: slow start, weight {weight}");
        }
        endpoint.started = Some(started);
    }
}
