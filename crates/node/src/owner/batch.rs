//! The owner's loop: inputs and timers are handled in batches, no more often than the batch interval.

use super::snapshot::TimedSnapshot;
use super::timers::TimerKind;
use super::Owner;
use crate::caches::ConnectionFailure;
use crate::connection::IdleReason;
use crate::counters::Counters;
use crate::limits::{ABORT_CONFIRM_TIMEOUT_MS, CLIENT_IDLE_MS, INPUT_QUEUE_CAPACITY};
use crate::{Input, Inputs};
use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use basaltgw::api::{Event, Ms};
use basaltgw::routing::snapshot::Snapshot;
use futures_lite::future;
use std::time::Duration;

/// How often maintenance runs, and the longest that the owner sleeps.
const MAINTENANCE_INTERVAL_MS: Ms = 100.0;

/// What an owner leaves when the process ends.
pub struct ExitReport {
    /// The counters.
    pub counters: Counters,
    /// What the next process takes over; its times are Unix times in milliseconds.
    pub snapshot: Snapshot,
    /// When that was taken, in Unix milliseconds.
    pub snapshot_taken_at: Ms,
    /// The fleet's counters as `name=value` words.
    pub fleet_counters: String,
    /// Why the process ends, if it was not asked to.
    pub fault: Option<String>,
}

impl Owner {
    /// Handles inputs until the process may end. `listener` accepts clients, and finishes once the backlog is empty after
    /// accepting has ended.
    pub async fn run(mut self, from: Inputs, listener: Task<()>) -> ExitReport {
        let mut inputs = Vec::new();
        loop {
            inputs.extend(self.first_input(&from).await);
            self.monitors.stalls.turn();
            self.wait_for_batch_interval().await;
            // What the last batch queued is written before what this one adds, even if a batch takes the whole interval.
            future::yield_now().await;
            // Each queue has a share of the batch, so that a flood on one does not delay the others.
            for queue in [&from.urgent, &from.servers, &from.clients] {
                inputs.extend(std::iter::from_fn(|| queue.try_recv().ok()).take(INPUT_QUEUE_CAPACITY));
            }
            self.batch(&mut inputs);
            self.monitors.stalls.turn();
            if self.may_exit(&listener) {
                return self.exit();
            }
        }
    }

    /// Waits for an input, unless a timer is due or the last batch left events.
    async fn first_input(&self, from: &Inputs) -> Option<Input> {
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
        let sockets = future::or(receive(from.servers.clone()), receive(from.clients.clone()));
        future::or(receive(from.urgent.clone()), future::or(sockets, slept)).await
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
        // A client is in the table until its connection is closed, and has its slot until the socket is.
        let open = !listener.is_finished() || self.clients.len() > 0 || self.clients.slots.taken() > 0;
        self.shutdown.may_exit(self.time.now, open)
    }

    fn exit(mut self) -> ExitReport {
        self.collect_counters();
        // Leases of clients that have left are released before the threads end.
        self.on_fleet_wakeup();
        let fault = self.fleet.as_mut().and_then(|f| f.fault.take().or(f.shut_down()));
        let fleet = self.fleet_counters_text();
        let TimedSnapshot { snapshot: learnt, taken_at: left_at } = self.take_snapshot();
        ExitReport {
            counters: self.counters,
            snapshot: learnt,
            snapshot_taken_at: left_at,
            fleet_counters: fleet,
            fault,
        }
    }

    /// Handles the inputs, the timers that are due, and what the last batch left.
    pub(super) fn batch(&mut self, inputs: &mut Vec<Input>) {
        let last_batch = std::mem::replace(&mut self.time.now, self.time.clock.now());
        let begun = self.time.now;
        self.on_pause(begun - last_batch);
        // Endpoint lists and purges go before all other inputs, and before what is routed again.
        let (watch_events, others): (Vec<_>, Vec<_>) =
            inputs.drain(..).partition(|input| matches!(input, Input::WatchEvent(..)));
        self.dispatch_written();
        let left_over = std::mem::take(&mut self.schedule.next_batch);
        watch_events.into_iter().for_each(|input| self.handle_input(input));
        self.reap_unconfirmed();
        left_over.into_iter().for_each(|event| self.dispatch(event));
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
        self.counters.batches.given.increment();
        self.counters.batches.longest.raise(self.time.clock.now() - begun);
        self.counters.memory.held_most.raise(self.memory.meter.bytes() as u64);
    }

    /// Ends cancelled attempts whose server has not confirmed that in time.
    fn reap_unconfirmed(&mut self) {
        let cancelled_before = self.time.now - ABORT_CONFIRM_TIMEOUT_MS;
        let unconfirmed = self.reap_aborted(|aborting| aborting.since < cancelled_before);
        self.counters.attempts.unheeded.add(unconfirmed);
    }

    fn on_timer(&mut self, kind: TimerKind) {
        match kind {
            TimerKind::Router(token) => self.dispatch(Event::Timer(token)),
            TimerKind::AttemptTimeout(key) => self.on_attempt_timeout(key),
            TimerKind::AttemptStart(key) => self.on_start_window_closed(key),
            TimerKind::LeasePoll(number) => self.poll_lease(number),
            TimerKind::LeaseTimeout(number, change_number) => self.on_lease_timeout(number, change_number),
            TimerKind::ScatterGather => self.on_scatter_gather_timer(),
        }
    }

    /// Periodic work: closes idle connections, advances the cache tree, handles the fleet, drops converged purges.
    fn maintain(&mut self) {
        self.upstream.caches.tidy(self.time.now);
        let events = self.upstream.tree.tick(self.time.now);
        self.on_fleet_wakeup();
        self.expire_scatter_gather_purges();
        self.dispatch_all(events);
        // Nothing was written on connections that failed their health check, so they count as never established.
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
    }
}
