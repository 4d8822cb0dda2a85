//! The registers of one router: events in, actions out. It routes each event to the acceptor, the proposer, the expiry scan or the replica
//! synchronisation, and delivers the responses.

use crate::acceptor::{Acceptor, AcceptorRules};
use crate::context::{CompletedRequest, Context};
use crate::expiry::{DueStep, ExpiryScan};
use crate::message::{Body, Envelope};
use crate::outbound::Outbound;
use crate::partition::{quorums_intersect, Partition};
use crate::proposer::Proposer;
use crate::replica_sync::{ReplicaSync, SyncParts};
use crate::request::{Origin, PendingRequest};
use crate::token::{EXPIRY_TIMER, SYNC_TIMER};
use crate::{Action, Counters, DiskRecord, Event, OpenError, Record, RecordKey, Response, Settings};
use basaltgw_types::{Member, Ms, ShardMap};
use std::sync::Arc;

/// The timeout of a request of the expiry scan, in retransmission intervals.
const EXPIRY_TIMEOUT_INTERVALS: f64 = 10.0;

/// The last [`Action::StaleEpoch`]. It is repeated after a retransmission interval, in case the map was not fetched.
#[derive(Clone, Copy, Debug)]
struct StaleNotice {
    epoch: u64,
    at: Ms,
}

/// The clock of this run.
#[derive(Clone, Copy, Debug)]
struct RunClock {
    /// Monotonic milliseconds of the last event.
    now: Ms,
    /// False before the first event.
    is_started: bool,
}

/// The registers of one router: proposer for its requests, replica of the shards that the map assigns to it.
#[derive(Clone, Debug)]
pub struct Registers {
    settings: Settings,
    acceptor: Acceptor,
    proposer: Proposer,
    expiry: ExpiryScan,
    sync: ReplicaSync,
    outbound: Outbound,
    clock: RunClock,
    stale_notice: StaleNotice,
}

impl Registers {
    /// Restores the registers from all records that were stored and not removed. `seed` determines the jitter.
    ///
    /// # Errors
    /// If a setting is out of range, or a record is malformed or belongs to another member.
    pub fn new<R: Into<DiskRecord>>(
        me: Member,
        settings: Settings,
        records: impl IntoIterator<Item = R>,
        seed: u64,
    ) -> Result<Self, OpenError> {
        settings.check()?;
        let acceptor = Acceptor::new(me.clone(), records)?;
        let proposer = Proposer::new(me, settings.clone(), acceptor.log.meta.run, seed);
        Ok(Self {
            settings,
            acceptor,
            proposer,
            expiry: ExpiryScan::default(),
            sync: ReplicaSync::default(),
            outbound: Outbound::default(),
            clock: RunClock { now: 0.0, is_started: false },
            stale_notice: StaleNotice { epoch: 0, at: f64::NEG_INFINITY },
        })
    }

    /// Injects a bug, for checkers that must detect it.
    #[cfg(any(test, feature = "broken"))]
    pub fn inject_bug(&mut self, bug: crate::InjectedBug) {
        self.proposer.injected_bug = bug;
    }

    /// Handles an event. `now` is in monotonic milliseconds; a time before that of the last event is replaced by that.
    pub fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        self.clock.now = self.clock.now.max(now);
        let mut context = Context { now: self.clock.now, actions, completed: Vec::new() };
        self.start_run(&mut context);
        self.dispatch(event, &mut context);
        while let Some(request) = self.proposer.local_requests.pop_front() {
            let me = self.acceptor.me.clone();
            self.on_envelope(&me, request, &mut context);
        }
        for completed in std::mem::take(&mut context.completed) {
            self.deliver(completed, &mut context);
        }
        self.acceptor.flush(context.actions);
    }

    /// The record that this replica has accepted. It may be outdated: other replicas may have a later one.
    pub fn local_record(&self, key: &RecordKey) -> Option<&Record> {
        self.acceptor.record(key)
    }

    /// The purges that this replica stores, with their age in milliseconds since the start of this run at the earliest.
    pub fn purges(&self) -> impl Iterator<Item = (&RecordKey, &Record, Ms)> {
        let registers = self.acceptor.registers().iter();
        registers.filter_map(|(key, stored)| match stored.record() {
            Some(purge @ Record::Purged { .. }) => Some((key, purge, self.clock.now - stored.record_since)),
            Some(_) | None => None,
        })
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.proposer.counters
    }

    /// The number of registers stored here, and their estimated memory in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.acceptor.registers().len(), self.acceptor.bytes())
    }

    /// The numbers of batches and of records written so far.
    pub fn write_counts(&self) -> (u64, u64) {
        (self.acceptor.log.batch_count(), self.acceptor.log.record_count())
    }

    /// The epoch of the shard map; 0 before the first map.
    pub fn epoch(&self) -> u64 {
        self.acceptor.epoch()
    }

    /// Partitions that this replica has not synchronised yet.
    pub fn pending_partitions(&self) -> usize {
        self.sync.pending_partitions()
    }

    /// All state that influences later behaviour, without counters: for model checks.
    #[cfg(test)]
    pub(crate) fn digest(&self) -> String {
        let (registers, log, epoch) =
            (self.acceptor.registers(), self.acceptor.log.digest(), self.acceptor.epoch());
        format!("{registers:?} {log} {epoch} {} {:?}", self.proposer.digest(), self.sync)
    }

    /// True if a reply could have an effect.
    #[cfg(test)]
    pub(crate) fn awaits_replies(&self) -> bool {
        self.proposer.has_requests() || self.sync.is_active()
    }

    /// True if the request waits for its timer.
    #[cfg(test)]
    pub(crate) fn awaits_timer(&self, request_id: u64) -> bool {
        self.proposer.is_between_rounds(request_id)
    }

    /// Starts the run's clocks and the expiry scan at the first event.
    fn start_run(&mut self, context: &mut Context<'_>) {
        if !std::mem::replace(&mut self.clock.is_started, true) {
            self.acceptor.start(context.now);
            context.act(Action::Timer(self.settings.expiry_interval_ms, EXPIRY_TIMER));
        }
    }

    fn dispatch(&mut self, event: Event, context: &mut Context<'_>) {
        match event {
            Event::Request { number, key, change, timeout } => {
                self.proposer.counters.requests += 1;
                self.acceptor.log.allow_retry();
                let origin = Origin::Router(number);
                let request = PendingRequest::new(origin, key, change, context.now, timeout);
                self.proposer.start(request, context);
            }
            Event::MessageReceived(from, bytes) => self.on_message(&from, &bytes, context),
            Event::SendFailed(number) => self.proposer.on_send_failed(number, context),
            Event::PeerReachable(member, true) => self.on_reachable(&member, context),
            Event::PeerReachable(member, false) => self.proposer.on_unreachable(&member, context),
            Event::ShardMap(map) => self.on_shard_map(map, context),
            Event::BatchStored(number, durable) => self.on_batch_stored(number, durable, context),
            Event::Timer(EXPIRY_TIMER) => self.expire(context),
            Event::Timer(SYNC_TIMER) => {
                let (sync, mut parts) = self.sync_parts();
                sync.on_timer(&mut parts, context);
            }
            Event::Timer(token) => self.proposer.on_timer(token, context),
        }
    }

    fn sync_parts(&mut self) -> (&mut ReplicaSync, SyncParts<'_>) {
        let parts = SyncParts {
            acceptor: &self.acceptor,
            proposer: &mut self.proposer,
            outbound: &mut self.outbound,
            settings: &self.settings,
        };
        (&mut self.sync, parts)
    }

    fn on_message(&mut self, from: &Member, bytes: &[u8], context: &mut Context<'_>) {
        let envelope = (bytes.len() <= self.settings.max_message_bytes).then(|| Envelope::decode(bytes));
        match envelope {
            Some(Ok(envelope)) if envelope.to == self.acceptor.me => {
                self.on_envelope(from, envelope, context)
            }
            Some(Ok(_)) => self.proposer.counters.misaddressed_messages += 1,
            Some(Err(_)) | None => self.proposer.counters.malformed_messages += 1,
        }
    }

    fn on_envelope(&mut self, from: &Member, envelope: Envelope, context: &mut Context<'_>) {
        self.notice_later_epoch(envelope.epoch, from, context);
        match envelope.body {
            Body::Prepare { .. } | Body::Accept { .. } | Body::ListRequest { .. } => {
                let injected_bug = self.proposer.injected_bug;
                let rules = AcceptorRules { settings: &self.settings, injected_bug };
                if let Some(rejection) = self.acceptor.handle(context.now, from, envelope, rules) {
                    self.send_reply(rejection, context);
                }
            }
            Body::Promised { .. } | Body::Accepted { .. } | Body::Rejected { .. } => {
                self.proposer.on_reply(from, envelope, context);
            }
            Body::ListReply(reply) => {
                let (sync, mut parts) = self.sync_parts();
                sync.on_list_reply(from, envelope.epoch, reply, &mut parts);
            }
        }
    }

    /// Reports that another member uses a later shard map, unless that was reported recently.
    fn notice_later_epoch(&mut self, epoch: u64, from: &Member, context: &mut Context<'_>) {
        let last = self.stale_notice;
        let is_recent = last.epoch >= epoch && context.now < last.at + self.settings.retransmit_interval_ms;
        if epoch > self.acceptor.epoch() && !is_recent {
            self.stale_notice = StaleNotice { epoch, at: context.now };
            context.act(Action::StaleEpoch(epoch, from.clone()));
        }
    }

    /// Sends a reply; one to this member is delivered at once.
    fn send_reply(&mut self, reply: Envelope, context: &mut Context<'_>) {
        if reply.to == self.acceptor.me {
            let me = reply.to.clone();
            return self.on_envelope(&me, reply, context);
        }
        self.outbound.send(reply, &mut self.proposer.counters, context);
    }

    fn on_reachable(&mut self, member: &Member, context: &mut Context<'_>) {
        let was_reachable = self.proposer.can_reach(member);
        self.proposer.on_reachable(member);
        if was_reachable {
            return;
        }
        if let Some(map) = self.acceptor.map.as_deref() {
            self.sync.on_reachable(member, &self.acceptor.me, map, &self.settings, context);
        }
    }

    fn on_batch_stored(&mut self, number: u64, durable: bool, context: &mut Context<'_>) {
        let Some(batch) = self.acceptor.log.finish_batch(number, durable) else { return };
        self.proposer.counters.failed_batches += u64::from(!durable);
        for reply in batch.replies {
            self.send_reply(reply, context);
        }
        if batch.has_meta {
            self.proposer.on_run_stored(durable, context);
        }
    }

    fn on_shard_map(&mut self, map: Arc<ShardMap>, context: &mut Context<'_>) {
        let is_valid = map.shards.len() <= usize::from(u16::MAX)
            && Partition::all(&map).all(|p| quorums_intersect(p.replicas));
        if !is_valid {
            self.proposer.counters.invalid_maps += 1;
            context.act(Action::Log(format!(
                "registers: shard map of epoch {} dropped: two quorums of a replica group need not intersect",
                map.epoch
            )));
            return;
        }
        if map.epoch < self.acceptor.log.meta.epoch.max(1) || map.epoch == self.acceptor.epoch() {
            self.proposer.counters.stale_maps += 1;
            return;
        }
        self.acceptor.log.raise_epoch(map.epoch);
        let before = self.acceptor.map.replace(map.clone());
        self.proposer.set_map(&map, context);
        self.sync.on_map_change(&self.acceptor.me, before.as_deref(), &map, &self.settings, context);
    }

    /// Runs one step of the expiry scan.
    fn expire(&mut self, context: &mut Context<'_>) {
        context.act(Action::Timer(self.settings.expiry_interval_ms, EXPIRY_TIMER));
        self.acceptor.log.allow_retry();
        for due in self.expiry.scan(context.now, &self.acceptor, &self.settings) {
            match due.step {
                DueStep::Remove => {
                    self.acceptor.remove(&due.key);
                    self.proposer.counters.removed += 1;
                }
                DueStep::Request(change) => {
                    let timeout = EXPIRY_TIMEOUT_INTERVALS * self.settings.retransmit_interval_ms;
                    let request = PendingRequest::new(Origin::Expiry, due.key, change, context.now, timeout);
                    self.proposer.start(request, context);
                }
            }
        }
    }

    /// Delivers a response to the request's origin.
    fn deliver(&mut self, completed: CompletedRequest, context: &mut Context<'_>) {
        let CompletedRequest { origin, key, response } = completed;
        let counters = &mut self.proposer.counters;
        match origin {
            Origin::Router(number) => {
                match &response {
                    Response::Committed(_) => counters.committed += 1,
                    Response::Conflict(_) => counters.conflicts += 1,
                    Response::Unavailable { .. } => {}
                }
                context.act(Action::Respond(number, key, response));
            }
            Origin::Expiry => {
                match &response {
                    Response::Committed(Record::OutcomeUnknown) => counters.outcomes_unknown += 1,
                    Response::Committed(_) => counters.expired += 1,
                    Response::Conflict(_) | Response::Unavailable { .. } => {}
                }
                self.expiry.on_response(&key);
            }
            Origin::ReplicaSync => {
                let (sync, mut parts) = self.sync_parts();
                sync.on_response(&key, &response, context.now, &mut parts);
            }
        }
    }
}
