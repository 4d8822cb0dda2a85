//! Queues, timers and batches: what came in is told to the module together, no oftener than the tick.

use super::Owner;
use crate::caches::{Down, RequestNo};
use crate::clients::life::Quiet;
use crate::counters::Counters;
use crate::limits::{CLIENT_IDLE_MS, LEAVING_MS, QUEUE};
use crate::{Input, Inputs};
use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use basaltgw::api::{AttemptNo, Event, Ms};
use basaltgw::routing::snapshot::Snapshot;
use basaltgw_registers::RequestNumber;
use futures_lite::future;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// How often connections are tidied, and the longest that the owner sleeps.
const TIDY_MS: Ms = 100.0;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Module(u64),
    Attempt(RequestNo, AttemptNo),
    Begin(RequestNo, AttemptNo),
    Look(RequestNo),
    Promise(RequestNo, RequestNumber),
    Gather,
}

/// Timers, by their time and then in the order in which they were set.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(u64, u64, Due)>>,
    ever: u64,
}

impl Timers {
    pub(super) fn set(&mut self, at: Ms, what: Due) {
        self.ever += 1;
        self.heap.push(Reverse((micros(at), self.ever, what)));
    }

    /// When the first is due.
    fn next(&self) -> Option<Ms> {
        self.heap.peek().map(|Reverse((due, ..))| *due as f64 / 1000.0)
    }

    /// Takes out what is due.
    fn take(&mut self, now: Ms) -> Vec<Due> {
        let now = micros(now);
        let mut due = Vec::new();
        while let Some(Reverse((_, _, what))) = self.heap.peek().filter(|Reverse((at, ..))| *at <= now) {
            due.push(*what);
            self.heap.pop();
        }
        // Attempts whose time is out go before the module's own timers, in which it gives up what is left.
        due.sort_by_key(|what| matches!(what, Due::Module(_)));
        due
    }
}

pub(super) fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

/// What is left of an owner.
pub struct Ended {
    /// What was counted.
    pub counters: Counters,
    /// What was learnt, with Unix times.
    pub learnt: Snapshot,
    /// When, likewise.
    pub left_at: Ms,
    /// What the fleet counted, as words.
    pub fleet: String,
    /// Why it had to end, if it was not asked to.
    pub fault: Option<String>,
}

impl Owner {
    /// Takes inputs in batches until the router has ended. `listener` accepts clients, and ends once it is told to and nobody waits there.
    pub async fn run(mut self, from: Inputs, listener: Task<()>) -> Ended {
        let mut inputs = Vec::new();
        loop {
            // Something to do: an input, a timer, or what the last batch left.
            let rest = self.timers.next().map_or(TIDY_MS, |due| (due - self.clock.now()).min(TIDY_MS));
            if self.pending.is_empty() && rest > 0.0 {
                let wake = async {
                    Timer::after(Duration::from_secs_f64(rest / 1000.0)).await;
                    None
                };
                let first = |queue: Receiver<Input>| async move { queue.recv().await.ok() };
                let sockets = future::or(first(from.servers.clone()), first(from.clients.clone()));
                inputs.extend(future::or(first(from.urgent.clone()), future::or(sockets, wake)).await);
            }
            self.stalls.turn();
            // No oftener than the tick.
            let rest = self.now + self.tick - self.clock.now();
            if rest > 0.0 {
                Timer::after(Duration::from_secs_f64(rest / 1000.0)).await;
            }
            // What the last batch put in line is written before what this one adds, also where a batch takes a tick.
            future::yield_now().await;
            // Each kind has its share of a batch, so that no flood holds up the others.
            for queue in [&from.urgent, &from.servers, &from.clients] {
                inputs.extend(std::iter::from_fn(|| queue.try_recv().ok()).take(QUEUE));
            }
            self.batch(&mut inputs);
            self.stalls.turn();
            if !self.ending.accepts(self.now) {
                self.places.end();
                // A client is in the table until its connection is over, and has its place until the socket is closed.
                let open = !listener.is_finished() || self.clients.len() > 0 || self.places.taken() > 0;
                if self.ending.over(self.now, open) {
                    self.count();
                    // What was taken for clients that have left is given back before the threads end.
                    self.fleet_told();
                    let fault = self.fleet.as_mut().and_then(|f| f.fault.take().or(f.end()));
                    let fleet = self.fleet_words();
                    let (learnt, left_at) = self.learnt_elsewhere();
                    return Ended { counters: self.counters, learnt, left_at, fleet, fault };
                }
            }
        }
    }

    pub(super) fn batch(&mut self, inputs: &mut Vec<Input>) {
        let before = std::mem::replace(&mut self.now, self.clock.now());
        let begun = self.now;
        self.woken(begun - before);
        // Purges and drains go before all that came with them, and before what is decided again.
        let (news, others): (Vec<_>, Vec<_>) =
            inputs.drain(..).partition(|input| matches!(input, Input::News(..)));
        self.tell_written();
        let left_over = std::mem::take(&mut self.pending);
        news.into_iter().for_each(|input| self.input(input));
        let silent = self.now - LEAVING_MS;
        let unheeded = self.reap_aborted(|leaving| leaving.since < silent);
        self.counters.attempts.unheeded.more(unheeded);
        left_over.into_iter().for_each(|event| self.tell(event));
        others.into_iter().for_each(|input| self.input(input));
        for what in self.timers.take(self.now) {
            match what {
                Due::Module(token) => self.tell(Event::Timer(token)),
                Due::Attempt(no, n) => self.time_out((no, n)),
                Due::Begin(no, n) => self.begun_late((no, n)),
                Due::Look(no) => self.look(no),
                Due::Promise(no, ask) => self.stalled(no, ask),
                Due::Gather => self.gather_due(),
            }
        }
        if self.now >= self.tidied + TIDY_MS {
            self.tidied = self.now;
            self.tidy();
        }
        self.apply_memory_pressure();
        self.clients.release_closed();
        self.counters.batches.given.one();
        self.counters.batches.longest.raise(self.clock.now() - begun);
        self.counters.memory.held_most.raise(self.meter.held() as u64);
    }

    /// Closes what is no longer of use.
    fn tidy(&mut self) {
        self.caches.tidy(self.now);
        let events = self.tree.tick(self.now);
        self.fleet_told();
        self.gather_tidy();
        self.tell_all(events);
        // Nothing was written on them, so they count as never up.
        for at in self.caches.unproved(self.now) {
            self.input(Input::CacheDown(at, Down::NeverUp));
        }
        let ends = !self.ending.accepts(self.now);
        let (why, idle) = if ends { (Quiet::End, 0.0) } else { (Quiet::Idle, CLIENT_IDLE_MS) };
        self.clients.close_idle(self.now, idle, why);
    }
}
