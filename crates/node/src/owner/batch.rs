//! The owner's loop: handles inputs and timers in batches, at most one per batch interval.

use super::attempts::Attempt;
use super::snapshot::TimedSnapshot;
use super::timers::TimerKind;
use super::Owner;
use crate::caches::ConnectionFailure;
use crate::connection::IdleReason;
use crate::counters::Counters;
use crate::limits::{ABORT_CONFIRM_TIMEOUT_MS, CLIENT_IDLE_MS, INPUT_QUEUE_CAPACITY};
use crate::{Input, InputQueues};
use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use basaltgw::api::{Event, Ms};
use basaltgw::routing::snapshot::Snapshot;
use futures_lite::future;
use std::time::Duration;

/// How often maintenance runs, and the longest time for which the owner sleeps.
const MAINTENANCE_INTERVAL_MS: Ms = 100.0;

/// The result of [`Owner::run`], when the process ends.
pub struct ExitReport {
    /// The counters.
    pub counters: Counters,
    /// The decision module's snapshot for the next process; its times are Unix times in milliseconds.
    pub snapshot: Snapshot,
    /// When the snapshot was taken, in Unix milliseconds.
    pub snapshot_taken_at: Ms,
    /// The fleet's counters, as `name=value` pairs separated by spaces.
    pub fleet_counters: String,
    /// The fault for which the process ends, unless it was asked to shut down.
    pub fault: Option<String>,
}

impl Owner {
    /// Handles inputs until the process may exit. `listener` accepts clients, and finishes when accepting has ended and the backlog is
    /// empty.
    pub async fn run(mut self, queues: InputQueues, listener: Task<()>) -> ExitReport {
        let mut inputs = Vec::new();
        loop {
            inputs.extend(self.first_input(&queues).await);
            self.monitors.pause_detector.on_turn();
            self.wait_for_batch_interval().await;
            // Lets connections write the messages of the last batch before this one adds more, even if a batch takes the whole interval.
            future::yield_now().await;
            // Each queue contributes a limited number of inputs, so that a flood on one does not delay the others.
            for queue in [&queues.urgent, &queues.connections, &queues.servers, &queues.clients] {
                inputs.extend(std::iter::from_fn(|| queue.try_recv().ok()).take(INPUT_QUEUE_CAPACITY));
            }
            self.batch(&mut inputs);
            self.monitors.pause_detector.on_turn();
            if self.may_exit(&listener) {
                return self.exit();
            }
        }
    }

    /// Waits for an input, unless a timer is due or the last batch left events.
    async fn first_input(&self, queues: &InputQueues) -> Option<Input> {
        let until_timer = |due: Ms| (due - self.time.clock.now()).min(MAINTENANCE_INTERVAL_MS);
        let sleep = self.schedule.timers.next_due().map_or(MAINTENANCE_INTERVAL_MS, until_timer);
        if !self.schedule.next_batch.is_empty() || sleep <= 0.0 {
            return None;
        }
        let slept = async {
            Timer::after(Duration::from_secs_f64(sleep / 1000.0)).await;
            None
        };
        let receive = |queue: Receiver<Input>| async move { queue.recv().await.ok() };
        // A client's connection comes before its messages.
        let sockets = future::or(receive(queues.servers.clone()), receive(queues.clients.clone()));
        let connections = future::or(receive(queues.connections.clone()), sockets);
        future::or(receive(queues.urgent.clone()), future::or(connections, slept)).await
    }

    async fn wait_for_batch_interval(&self) {
        let rest = self.time.now + self.config.batch_interval - self.time.clock.now();
        if rest > 0.0 {
            Timer::after(Duration::from_secs_f64(rest / 1000.0)).await;
        }
    }

    /// Whether the process was asked to shut down and nothing is open any more.
    fn may_exit(&mut self, listener: &Task<()>) -> bool {
        if self.shutdown.accepts(self.time.now) {
            return false;
        }
        self.clients.slots.stop_accepting();
        // A client is in the table until its connection is closed; its slot is taken until the socket is closed, which may be later.
        let open = !listener.is_finished() || self.clients.len() > 0 || self.clients.slots.taken() > 0;
        self.shutdown.may_exit(self.time.now, open)
    }

    fn exit(mut self) -> ExitReport {
        self.collect_counters();
        // Leases of clients that have left are released before the threads end.
        self.on_fleet_wakeup();
        let fault = self.fleet.as_mut().and_then(|f| f.fault.take().or(f.shut_down()));
        let fleet_counters = self.fleet_counters_text();
        let TimedSnapshot { snapshot, taken_at: snapshot_taken_at } = self.take_snapshot();
        ExitReport { counters: self.counters, snapshot, snapshot_taken_at, fleet_counters, fault }
    }

    /// Handles the inputs, the timers that are due, and the events that the last batch left.
    pub(super) fn batch(&mut self, inputs: &mut Vec<Input>) {
        let last_batch = std::mem::replace(&mut self.time.now, self.time.clock.now());
        let batch_start = self.time.now;
        self.on_batch_gap(batch_start - last_batch);
        // Endpoint lists and purges are handled before all other inputs, and before requests are routed again.
        let (watch_events, others): (Vec<_>, Vec<_>) =
            inputs.drain(..).partition(|input| matches!(input, Input::WatchEvent(..)));
        self.dispatch_written();
        let left_by_last_batch = std::mem::take(&mut self.schedule.next_batch);
        watch_events.into_iter().for_each(|input| self.handle_input(input));
        self.reap_unconfirmed();
        left_by_last_batch.into_iter().for_each(|event| self.dispatch(event));
        others.into_iter().for_each(|input| self.handle_input(input));
        for kind in self.schedule.timers.take_due(self.time.now) {
            self.on_timer(kind);
        }
        if self.time.now >= self.schedule.maintained_at + MAINTENANCE_INTERVAL_MS {
            self.schedule.maintained_at = self.time.now;
            self.maintain();
        }
        self.apply_memory_pressure();
        self.clients.release_closed();
        self.prune_timers();
        self.counters.batches.count.increment();
        self.counters.batches.longest_ms.raise(self.time.clock.now() - batch_start);
        self.counters.memory.max_buffered_bytes.raise(self.memory.budgets.buffered_bytes() as u64);
        self.counters.memory.max_used_bytes.raise(self.memory.budgets.used_bytes() as u64);
    }

    /// Ends cancelled attempts whose server has not confirmed the abort in time.
    fn reap_unconfirmed(&mut self) {
        let cancelled_before = self.time.now - ABORT_CONFIRM_TIMEOUT_MS;
        let unconfirmed = self.reap_aborted(|aborting| aborting.since < cancelled_before);
        self.counters.attempts.abort_unconfirmed.add(unconfirmed);
    }

    /// Removes the timers of requests and attempts that have ended.
    fn prune_timers(&mut self) {
        let requests = &self.requests;
        self.schedule.timers.prune(|kind| match kind {
            TimerKind::AttemptTimeout(key) | TimerKind::AttemptStart(key) => {
                requests.attempt(*key).is_some_and(Attempt::is_in_flight)
            }
            TimerKind::LeasePoll(request) | TimerKind::LeaseTimeout { request, .. } => {
                requests.get(*request).is_some()
            }
            TimerKind::Router(_) | TimerKind::ScatterGather => true,
        });
    }

    fn on_timer(&mut self, kind: TimerKind) {
        match kind {
            TimerKind::Router(token) => self.dispatch(Event::Timer(token)),
            TimerKind::AttemptTimeout(key) => self.on_attempt_timeout(key),
            TimerKind::AttemptStart(key) => self.on_start_window_closed(key),
            TimerKind::LeasePoll(number) => self.poll_lease(number),
            TimerKind::LeaseTimeout { request, change } => self.on_lease_timeout(request, change),
            TimerKind::ScatterGather => self.on_scatter_gather_timer(),
        }
    }

    /// Periodic work: closes unused connections, advances the cache tree, handles the fleet's notifications, drops converged purges.
    fn maintain(&mut self) {
        self.upstream.caches.close_unused(self.time.now);
        let events = self.upstream.tree.tick(self.time.now);
        self.on_fleet_wakeup();
        self.expire_scatter_gather_purges();
        self.dispatch_all(events);
        // No attempt was written on a connection that failed its health probe, so it counts as not established.
        for connection in self.upstream.caches.failed_probes(self.time.now) {
            self.handle_input(Input::ServerDisconnected(connection, ConnectionFailure::ConnectFailed));
        }
        let shutting_down = !self.shutdown.accepts(self.time.now);
        let (reason, idle) = if shutting_down {
            (IdleReason::Shutdown, 0.0)
        } else {
            (IdleReason::IdleTimeout, CLIENT_IDLE_MS)
        };
        self.clients.close_idle(self.time.now, idle, reason);
        self.clients.close_throttled(self.time.now);
        if self.shutdown.is_overdue(self.time.now) {
            self.disconnect_clients_without_requests();
        }
    }
}
