//! Dispatches the owner's inputs, exchanges events and actions with the decision module, and collects counters that other modules keep.

use super::attempts::{CancelResults, Delivery};
use super::timers::TimerKind;
use super::{request_id, request_no, Owner};
use crate::caches::{AttemptKey, PoolCounts};
use crate::clients::Reply;
use crate::connection::CloseCounts;
use crate::Input;
use basaltgw::api::{Action, Event};
use basaltgw_config::Hierarchy;

impl Owner {
    pub(super) fn handle_input(&mut self, input: Input) {
        match input {
            Input::ClientConnected(id, outbox, connection) => {
                self.on_client_connected(id, outbox, connection)
            }
            Input::ClientMessage { client, message, received_at, buffered } => {
                // From here the request's own accounting counts the body.
                drop(buffered);
                self.on_client_message(client, message, received_at)
            }
            Input::ClientReadStopped(id, reason) => self.on_client_stopped(id, reason),
            Input::ClientClosed(id) => self.on_client_closed(id),
            Input::SlotWanted => self.close_least_active_clients(),
            Input::ServerConnected(connection) => {
                self.upstream.caches.on_connected(self.time.now, connection)
            }
            Input::ServerAnswer(connection, answer) => self.on_answer(connection, *answer),
            Input::ServerDisconnected(connection, reason) => self.on_connection_closed(connection, reason),
            Input::WatchEvent(event) => self.on_watch_event(event),
            Input::ChangeLogLost => self.counters.log.connections_lost.increment(),
            Input::ChangeLogStandbyOpened(reason) => self.counters.log.count_standby(reason),
            Input::Reloaded(true) => self.counters.files.reloads.increment(),
            Input::Reloaded(false) => self.counters.files.reloads_rejected.increment(),
            Input::Plan(hierarchy) => self.offer_plan(&hierarchy),
            Input::PlacementRules { file, text } => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.propose_rules(file, text);
                }
            }
            Input::Fleet => self.on_fleet_wakeup(),
            Input::Shutdown => {
                log::info!("shutdown requested");
                self.shutdown.begin(self.time.now);
            }
            Input::LogCounters => self.log_counters(),
        }
    }

    /// Offers a plan of the cache tree to the module that changes the tree step by step.
    pub(super) fn offer_plan(&mut self, hierarchy: &Hierarchy) {
        let events = self.upstream.tree.offer(self.time.now, hierarchy);
        self.dispatch_all(events);
    }

    /// Tells the decision module which attempts were completely written since the last batch.
    pub(super) fn dispatch_written(&mut self) {
        for AttemptKey { request, attempt } in self.monitors.slow_start.take_written() {
            self.dispatch(Event::RequestWritten { request: request_id(request), attempt });
        }
    }

    pub(super) fn dispatch_all(&mut self, events: Vec<Event>) {
        events.into_iter().for_each(|event| self.dispatch(event));
    }

    /// Hands an event to the decision module and performs the resulting actions.
    pub(super) fn dispatch(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.time.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::StartAttempt(attempt) => self.start_attempt(attempt),
            Action::CancelAttempt { request, attempt } => {
                if let Some(number) = request_no(&request) {
                    let key = AttemptKey { request: number, attempt };
                    self.cancel_attempt(key, CancelResults::CANCELLED, Delivery::NextBatch);
                }
            }
            Action::Reject { request, retry_after } => {
                if let Some(number) = request_no(&request) {
                    self.answer(number, Reply::Rejected(retry_after));
                }
            }
            Action::Fail(request) => {
                if let Some(number) = request_no(&request) {
                    self.answer(number, Reply::Failed);
                }
            }
            Action::Timer { delay, token } => {
                self.schedule.timers.set(self.time.now + delay, TimerKind::Router(token));
            }
            // The change log is followed from the start of the process.
            Action::WatchEndpoints => {}
            Action::Log(text) => log::info!("{text}"),
        }
    }

    fn log_counters(&self) {
        self.collect_counters();
        log::info!("{}{}", self.counters, self.fleet_counters_text());
        self.upstream.tree.describe().iter().for_each(|line| log::info!("{line}"));
    }

    /// Updates the counters of connections, checkers and memory, which other modules keep.
    pub(super) fn collect_counters(&self) {
        let counters = &self.counters;
        let PoolCounts { connections, last_number: connections_opened } = self.upstream.caches.counts();
        counters.conns.open_now.set(connections);
        counters.conns.opened.set(connections_opened);
        counters.clients.connected_now.set(self.clients.len() as u64);
        let CloseCounts { crossed, unread, lingered, stalled } = self.clients.slots.counts();
        counters.clients.closes_crossed.set(crossed);
        counters.clients.closes_unread.set(unread);
        counters.clients.closes_lingered.set(lingered);
        counters.clients.closed_stalled.set(stalled);
        counters.clients.cancellations_without_effect.set(self.clients.slots.cancellations_without_effect());
        counters.log.servers_now.set(self.upstream.endpoints.len() as u64);
        counters.memory.buffered_bytes.set(self.memory.budgets.buffered_bytes() as u64);
        counters.memory.used_bytes.set(self.memory.budgets.used_bytes() as u64);
        let (clients, servers) = (&self.memory.client_read_pauses, self.upstream.caches.read_pauses());
        counters.memory.client_read_pauses.set(clients.count());
        counters.memory.longest_client_read_pause_ms.set(clients.longest_ms());
        counters.memory.server_read_pauses.set(servers.count());
        counters.memory.longest_server_read_pause_ms.set(servers.longest_ms());
        counters.tree.copy_from(&self.upstream.tree.counters);
        counters.violations.copy_from(&self.monitors.invariants);
        counters.violations.slow_start_highest_share.raise(self.monitors.slow_start.highest_share());
        counters.violations.pauses.set(self.monitors.pause_detector.count());
        counters.violations.log_dropped.set(crate::log_writer::dropped());
    }
}
