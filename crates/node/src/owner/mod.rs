//! The owner of the module. One task holds all of it; its jobs are apart:
//!
//! - `batch`: queues, timers and batches;
//! - `clients`: clients and their places; `asker`: what a front gives, and how it is answered;
//! - `requests` and `attempts`: from the time that a request is taken in to its answer; `news`: what overtakes them;
//! - `promise`: requests that may run once only, where a fleet keeps them;
//! - `gather`: requests for several parts, where the own settings take them;
//! - `relief`: when memory is short.

mod asker;
mod attempts;
mod batch;
mod clients;
mod gather;
mod learnt;
mod news;
mod promise;
#[cfg(test)]
mod promise_tests;
mod relief;
mod requests;
#[cfg(test)]
mod tests;

use crate::caches::{Caches, RequestNo};
use crate::clients::places::Places;
use crate::clients::Reply;
use crate::clock::{wall_now, Clock};
use crate::counters::Counters;
use crate::fleet::Fleet;
use crate::invariants::Invariants;
use crate::limits::{HELD_SHARE, SOCKET_SLACK_MS};
use crate::outbox::Meter;
use crate::platform_time::PlatformTime;
use crate::shutdown::Ending;
use crate::slow_start_watch::SlowStartWatch;
use crate::stalls::Stalls;
use crate::tree::Tree;
use crate::{Input, Shared};
use attempts::AbortingAttempt;
use basaltgw::api::{Action, AttemptNo, AttemptResult, Class, Event, Ms, RequestId, ServerId};
use basaltgw::routing::snapshot::Snapshot;
use basaltgw::routing::Router;
use basaltgw_config::{Names, NodeConfig, OwnSettings, Place};
pub use batch::Ended;
use batch::{Due, Timers};
use clients::Clients;
use gather::Gathering;
use requests::Requests;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// The one holder of the module.
pub struct Owner {
    router: Router,
    names: Names,
    tick: Ms,
    max_attempts: usize,
    /// The classes of requests.
    classes: Vec<Class>,
    /// Sends to a server are no fault for so long after the news that it drains.
    drain_grace: Ms,
    most_held: usize,
    invariants: Rc<Invariants>,
    stalls: Rc<Stalls>,
    /// What is put on the wire to servers that started lately.
    slow_start: Rc<SlowStartWatch>,
    clock: Clock,
    /// Unix times of the platform in terms of that clock.
    platform: PlatformTime,
    meter: Rc<Meter>,
    caches: Caches,
    now: Ms,
    clients: Clients,
    /// Their connections, until the sockets are closed.
    places: Rc<Places>,
    requests: Requests,
    /// Attempts that were given up and are out still.
    leaving: Vec<AbortingAttempt>,
    /// Where each server that is listed is reached.
    servers: BTreeMap<ServerId, Place>,
    list_in: bool,
    timers: Timers,
    /// What came of the module's own actions; told in the next batch.
    pending: VecDeque<Event>,
    /// The plan of the tree, where there is one.
    tree: Tree,
    /// Other routers, where the own settings name some.
    fleet: Option<Fleet>,
    /// Requests for several parts, where they are taken.
    gathering: Option<Gathering>,
    ending: Ending,
    tidied: Ms,
    counters: Counters,
}

fn name(no: RequestNo) -> RequestId {
    RequestId(Arc::from(no.0.to_string()))
}

fn number(id: &RequestId) -> Option<RequestNo> {
    id.0.parse().ok().map(RequestNo)
}

impl Owner {
    /// An owner with a fresh module that has heard what is known.
    pub fn new(config: &NodeConfig, own: &OwnSettings, shared: &Shared, caches: Caches) -> Self {
        let mut owner = Self {
            router: Router::new(config.settings.clone(), config.seed),
            names: config.names.clone(),
            tick: config.settings.tick,
            max_attempts: config.settings.max_attempts,
            classes: config.settings.classes.clone(),
            drain_grace: config.settings.drain_grace + SOCKET_SLACK_MS,
            invariants: Rc::clone(&shared.invariants),
            stalls: Rc::clone(&shared.stalls),
            slow_start: Rc::new(SlowStartWatch::new(&config.settings)),
            most_held: config.limits.share_of_memory(HELD_SHARE),
            now: shared.clock.now(),
            clock: shared.clock,
            platform: PlatformTime::new(shared.clock.now(), wall_now()),
            meter: Rc::clone(&shared.meter),
            caches,
            clients: Clients::default(),
            places: Rc::default(),
            requests: Requests::new(config.transport.most_open),
            leaving: Vec::new(),
            servers: BTreeMap::new(),
            list_in: false,
            timers: Timers::default(),
            pending: VecDeque::new(),
            tree: Tree::new(own.hierarchy.as_ref()),
            fleet: None,
            gathering: None,
            ending: Ending::default(),
            tidied: 0.0,
            counters: Counters::default(),
        };
        owner.router.report_writes();
        owner.known(&config.known);
        if let Some(hierarchy) = &own.hierarchy {
            let events = owner.tree.offer(owner.now, hierarchy);
            owner.tell_all(events);
        }
        owner
    }

    /// The places of clients' connections, for those that accept them.
    pub fn places(&self) -> Rc<Places> {
        Rc::clone(&self.places)
    }

    /// Takes over what an earlier process has learnt; its times are Unix times.
    pub fn adopt(&mut self, learnt: Snapshot) {
        let learnt = self.learnt_here(learnt);
        let (servers, purges) = (learnt.servers.len(), learnt.purges.len());
        let known = self.router.restore(self.now, learnt);
        self.counters.files.carried.reached(known as u64);
        log::info!("took over what was learnt of {known} of {servers} servers, and {purges} purges");
    }

    /// Has other routers to keep what it takes on.
    pub fn join(&mut self, mut fleet: Fleet) {
        let gathering = fleet.gather.take().map(Gathering::new);
        self.gathering =
            gathering.and_then(|g| g.map_err(|e| log::error!("gathers are not taken: {e}")).ok());
        self.fleet = Some(fleet);
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::ClientOpen(id, outbox, life) => self.connect(id, outbox, life),
            Input::Client(id, message, at) => self.message(id, message, at),
            Input::ClientStopped(id, over) => self.client_stopped(id, over),
            Input::ClientClosed(id) => self.client_over(id),
            Input::RoomWanted => self.make_room(),
            Input::CacheUp(at) => self.caches.up(self.now, at),
            Input::Cache(at, answer) => self.outcome(at, answer),
            Input::CacheDown(at, down) => self.conn_down(at, down),
            Input::News(news) => self.news(news),
            Input::LogLost => self.counters.log.lost.one(),
            Input::LogDoubted(doubt) => self.counters.log.doubted(doubt),
            Input::Reloaded(true) => self.counters.files.reloads.one(),
            Input::Reloaded(false) => self.counters.files.reloads_refused.one(),
            Input::Plan(hierarchy) => {
                let events = self.tree.offer(self.now, &hierarchy);
                self.tell_all(events);
            }
            Input::Rules(name, text) => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.rules(name, text);
                }
            }
            Input::Fleet => self.fleet_told(),
            Input::End => {
                log::info!("asked to end");
                self.ending.ask(self.now);
            }
            Input::Count => {
                self.count();
                log::info!("{}{}", self.counters, self.fleet_words());
                self.tree.describe().iter().for_each(|line| log::info!("{line}"));
            }
        }
    }

    fn count(&self) {
        let (conns_now, conns) = self.caches.counts();
        self.counters.conns.now.set(conns_now);
        self.counters.conns.opened.reached(conns);
        self.counters.clients.now.set(self.clients.len() as u64);
        let [crossed, unread, lingered, stalled] = self.places.counts();
        self.counters.clients.closes_crossed.reached(crossed);
        self.counters.clients.closes_unread.reached(unread);
        self.counters.clients.closes_lingered.reached(lingered);
        self.counters.clients.closed_stalled.reached(stalled);
        self.counters.log.servers_now.set(self.servers.len() as u64);
        self.counters.memory.held.set(self.meter.held() as u64);
        self.counters.tree.reached(&self.tree.counters);
        self.counters.violations.reached(&self.invariants);
        self.counters.violations.slow_start_highest.raise(self.slow_start.highest_share());
        self.counters.violations.stops.reached(self.stalls.count());
        self.counters.violations.log_dropped.reached(crate::log_writer::dropped());
    }

    /// Tells the module which attempts were put on the wire since the last batch.
    fn tell_written(&mut self) {
        for (request, attempt) in self.slow_start.take_written() {
            self.tell(Event::RequestWritten(name(RequestNo(request)), AttemptNo(attempt)));
        }
    }

    fn tell_all(&mut self, events: Vec<Event>) {
        events.into_iter().for_each(|event| self.tell(event));
    }

    /// Tells the module an event and does what it wants done.
    fn tell(&mut self, event: Event) {
        let mut acts = Vec::new();
        self.router.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                Action::StartAttempt(fetch) => self.begin(fetch),
                Action::CancelAttempt(request, n) => {
                    number(&request).into_iter().for_each(|no| {
                        self.give_up((no, n), (AttemptResult::Cancelled, AttemptResult::NotSent), true)
                    });
                }
                Action::Reject(request, stay_away) => {
                    number(&request).into_iter().for_each(|no| self.answer(no, Reply::Refused(stay_away)));
                }
                Action::Fail(request) => {
                    number(&request).into_iter().for_each(|no| self.answer(no, Reply::Failed));
                }
                Action::Timer(after, token) => self.timers.set(self.now + after, Due::Module(token)),
                // The change log is followed from the start.
                Action::WatchEndpoints => {}
                Action::Log(text) => log::info!("{text}"),
            }
        }
    }
}
