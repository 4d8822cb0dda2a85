//! Replica synchronisation: how a replica obtains the records of the partitions that it replicates.
//!
//! A new replica copies them from the previous group; one that was down catches up with the others of its group. Each batch has two steps: a quorum of
//! the older group lists its registers, then each listed register is read through the proposer, which stores it at a quorum of every group
//! and at this replica.
//!
//! While a partition moves, only members that use the joint epoch may list: from then on they reject the messages of earlier epochs, and a
//! quorum of them intersects every quorum that such messages could have reached. So no committed record is missing from the lists.
//!
//! Inputs: the shard map, the list replies, `sync_batch` registers at a time, `sync_pause_ms` between two steps.

use crate::acceptor::Acceptor;
use crate::ballot::Ballot;
use crate::context::Context;
use crate::message::{Body, Envelope, ListReply, RegisterSummary};
use crate::outbound::Outbound;
use crate::partition::{is_replica, Partition};
use crate::proposer::Proposer;
use crate::request::{Origin, PendingRequest};
use crate::token::SYNC_TIMER;
use crate::{Action, Change, RecordKey, Response, Settings};
use basaltgw_types::{Member, Ms, ShardMap};
use std::collections::{BTreeMap, VecDeque};

/// In retransmission intervals: the timeout of a read, and the time to wait for lists before another partition is tried.
const TIMEOUT_INTERVALS: f64 = 10.0;

/// A task of the synchronisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    /// Copies a partition that this member newly replicates.
    Copy(Partition),
    /// Reports that all copies are complete.
    Report,
    /// Catches up with a partition that this member has replicated before.
    CatchUp(Partition),
}

/// The registers that a batch covers.
#[derive(Clone, Copy, Debug)]
struct BatchScope {
    task: Task,
    partition: Partition,
    /// Only keys after this one.
    after: Option<RecordKey>,
}

/// The phase in which the replica waits for the lists of others.
#[derive(Clone, Debug)]
struct Listing {
    sources: Vec<Member>,
    /// Replies needed; the local replica's registers count as one more.
    required: usize,
    replies: BTreeMap<Member, ListReply>,
    started_at: Ms,
    sent_at: Ms,
}

/// The phase in which the listed registers are read.
#[derive(Clone, Debug)]
struct Reading {
    /// The last key that the lists cover; `None`: all of the partition.
    up_to: Option<RecordKey>,
    /// The highest ballot that was listed for each register.
    queued: BTreeMap<RecordKey, Ballot>,
    in_flight: BTreeMap<RecordKey, Ballot>,
    /// No reads before this time, because one has failed.
    resume_at: Ms,
}

/// The phase of a batch.
#[derive(Clone, Debug)]
enum BatchPhase {
    Listing(Listing),
    Reading(Reading),
}

/// A batch of registers that is synchronised.
#[derive(Clone, Debug)]
struct SyncBatch {
    scope: BatchScope,
    phase: BatchPhase,
}

/// The state of the synchronisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaSync {
    tasks: VecDeque<Task>,
    batch: Option<SyncBatch>,
    timer_is_set: bool,
}

/// The parts of the replica that the synchronisation uses.
pub(crate) struct SyncParts<'a> {
    pub acceptor: &'a Acceptor,
    pub proposer: &'a mut Proposer,
    pub outbound: &'a mut Outbound,
    pub settings: &'a Settings,
}

impl ReplicaSync {
    /// Plans the copies that a new shard map needs, and the partitions that a restart may have missed.
    pub fn on_map_change(
        &mut self,
        me: &Member,
        before: Option<&ShardMap>,
        map: &ShardMap,
        settings: &Settings,
        context: &mut Context<'_>,
    ) {
        let (mut copies, mut catch_ups) = (Vec::new(), Vec::new());
        for placed in Partition::all(map) {
            let groups = &placed.replicas.groups;
            let in_newer_group = groups.iter().skip(1).any(|g| g.members.contains(me));
            let in_older_group = groups.first().is_some_and(|g| g.members.contains(me));
            let was_replica =
                before.and_then(|m| placed.partition.replicas(m)).is_some_and(|r| is_replica(r, me));
            match (in_older_group, in_newer_group) {
                // A previous replica may lack what a majority of the others has, and counts towards the newer group too.
                (_, true) => copies.push(Task::Copy(placed.partition)),
                (true, false) if !was_replica => catch_ups.push(Task::CatchUp(placed.partition)),
                (true, false) | (false, false) => {}
            }
        }
        self.batch = None;
        let still_replicated = |p: Partition| p.replicas(map).is_some_and(|r| is_replica(r, me));
        let open = std::mem::take(&mut self.tasks).into_iter().filter(|task| match task {
            Task::CatchUp(partition) => still_replicated(*partition) && !catch_ups.contains(task),
            Task::Copy(_) | Task::Report => false,
        });
        let open: Vec<Task> = open.collect();
        self.tasks.extend(copies.into_iter().chain([Task::Report]).chain(catch_ups).chain(open));
        self.set_timer(settings, context);
    }

    /// Plans to catch up with a member that has become reachable: its group may have continued without this replica.
    pub fn on_reachable(
        &mut self,
        member: &Member,
        me: &Member,
        map: &ShardMap,
        settings: &Settings,
        context: &mut Context<'_>,
    ) {
        for placed in Partition::all(map) {
            let task = Task::CatchUp(placed.partition);
            let group = placed.replicas.groups.first();
            let is_shared = group.is_some_and(|g| [member, me].iter().all(|m| g.members.contains(m)));
            if is_shared && !self.tasks.contains(&task) {
                self.tasks.push_back(task);
            }
        }
        self.set_timer(settings, context);
    }

    /// Runs the next step of the present batch, or starts the next task.
    pub fn on_timer(&mut self, parts: &mut SyncParts<'_>, context: &mut Context<'_>) {
        self.timer_is_set = false;
        match self.batch.take() {
            None => self.start_next_task(parts, context),
            Some(SyncBatch { scope, phase: BatchPhase::Listing(listing) }) => {
                self.continue_listing(scope, listing, parts, context);
            }
            Some(SyncBatch { scope, phase: BatchPhase::Reading(reading) }) => {
                self.continue_reading(scope, reading, parts, context);
            }
        }
        self.set_timer(parts.settings, context);
    }

    /// Handles a replica's list.
    pub fn on_list_reply(&mut self, from: &Member, epoch: u64, reply: ListReply, parts: &mut SyncParts<'_>) {
        let Some(SyncBatch { scope, phase: BatchPhase::Listing(listing) }) = &mut self.batch else {
            return;
        };
        let is_current = scope.partition == reply.partition
            && scope.after == reply.after
            && epoch == parts.acceptor.epoch()
            && listing.sources.contains(from);
        // An empty list with more to come would never advance.
        if is_current && (!reply.has_more || !reply.registers.is_empty()) {
            listing.replies.insert(from.clone(), reply);
            self.start_reading_if_listed(parts.proposer);
        }
    }

    /// Handles the response to a read of the synchronisation; a failed read is repeated after a pause.
    pub fn on_response(&mut self, key: &RecordKey, response: &Response, now: Ms, parts: &mut SyncParts<'_>) {
        let Some(SyncBatch { phase: BatchPhase::Reading(reading), .. }) = &mut self.batch else { return };
        let Some(ballot) = reading.in_flight.remove(key) else { return };
        match response {
            Response::Committed(_) | Response::Conflict(_) => parts.proposer.counters.synced += 1,
            Response::Unavailable { .. } => {
                reading.queued.insert(*key, ballot);
                reading.resume_at = now + parts.settings.retransmit_interval_ms;
            }
        }
    }

    /// Partitions that are not synchronised yet.
    pub fn pending_partitions(&self) -> usize {
        let queued = self.tasks.iter().filter(|t| **t != Task::Report).count();
        queued + usize::from(self.batch.is_some())
    }

    /// True if a batch is in progress.
    #[cfg(test)]
    pub fn is_active(&self) -> bool {
        self.batch.is_some()
    }

    fn set_timer(&mut self, settings: &Settings, context: &mut Context<'_>) {
        let is_idle = self.tasks.is_empty() && self.batch.is_none();
        if !is_idle && !std::mem::replace(&mut self.timer_is_set, true) {
            context.act(Action::Timer(settings.sync_pause_ms, SYNC_TIMER));
        }
    }

    fn start_next_task(&mut self, parts: &mut SyncParts<'_>, context: &mut Context<'_>) {
        match self.tasks.pop_front() {
            None => {}
            Some(Task::Report) => context.act(Action::ShardSynced(parts.acceptor.epoch(), None)),
            Some(task @ (Task::Copy(partition) | Task::CatchUp(partition))) => {
                self.start_batch(BatchScope { task, partition, after: None }, parts, context);
            }
        }
    }

    /// Starts a batch: requests the lists.
    fn start_batch(&mut self, scope: BatchScope, parts: &mut SyncParts<'_>, context: &mut Context<'_>) {
        let map = parts.acceptor.map.as_deref();
        let group = map.and_then(|m| scope.partition.replicas(m)).and_then(|r| r.groups.first());
        let Some(group) = group else { return };
        let sources: Vec<Member> =
            group.members.iter().filter(|m| **m != parts.acceptor.me).cloned().collect();
        let has_own_list = sources.len() < group.members.len();
        let required = group.quorum - usize::from(has_own_list).min(group.quorum);
        let now = context.now;
        let listing = Listing { sources, required, replies: BTreeMap::new(), started_at: now, sent_at: now };
        request_lists(&scope, &listing, parts, context);
        self.batch = Some(SyncBatch { scope, phase: BatchPhase::Listing(listing) });
        self.start_reading_if_listed(parts.proposer);
    }

    /// Retransmits the list requests; after a timeout the task is queued again after the others.
    fn continue_listing(
        &mut self,
        scope: BatchScope,
        mut listing: Listing,
        parts: &mut SyncParts<'_>,
        context: &mut Context<'_>,
    ) {
        let interval = parts.settings.retransmit_interval_ms;
        if context.now < listing.started_at + TIMEOUT_INTERVALS * interval {
            if context.now >= listing.sent_at + interval {
                listing.sent_at = context.now;
                request_lists(&scope, &listing, parts, context);
            }
            self.batch = Some(SyncBatch { scope, phase: BatchPhase::Listing(listing) });
            return;
        }
        let report = self.tasks.iter().position(|t| *t == Task::Report);
        match (scope.task, report) {
            // The report waits for all copies.
            (Task::Copy(_), Some(at)) => self.tasks.insert(at, scope.task),
            (Task::Copy(_) | Task::CatchUp(_) | Task::Report, _) => self.tasks.push_back(scope.task),
        }
        self.start_next_task(parts, context);
    }

    /// Starts further reads, or after the last one the next batch or task.
    fn continue_reading(
        &mut self,
        scope: BatchScope,
        mut reading: Reading,
        parts: &mut SyncParts<'_>,
        context: &mut Context<'_>,
    ) {
        let is_paused = context.now < reading.resume_at;
        if !is_paused {
            start_reads(&scope, &mut reading, parts, context);
        }
        if is_paused || !reading.in_flight.is_empty() || !reading.queued.is_empty() {
            self.batch = Some(SyncBatch { scope, phase: BatchPhase::Reading(reading) });
            return;
        }
        if reading.up_to.is_some() {
            return self.start_batch(BatchScope { after: reading.up_to, ..scope }, parts, context);
        }
        if let (Task::Copy(_), Partition::Shard(shard)) = (scope.task, scope.partition) {
            context.act(Action::ShardSynced(parts.acceptor.epoch(), Some(shard)));
        }
        self.start_next_task(parts, context);
    }

    /// Once enough replicas have replied, starts reading up to the first key at which a list is truncated.
    fn start_reading_if_listed(&mut self, proposer: &mut Proposer) {
        let Some(SyncBatch { phase, .. }) = &mut self.batch else { return };
        let BatchPhase::Listing(listing) = &*phase else { return };
        if listing.replies.len() < listing.required {
            return;
        }
        let replies = || listing.replies.values();
        let listed = || replies().flat_map(|reply| &reply.registers);
        // The ballot promised along with a listed value is one above that of the value; the reads start above both.
        let counters = listed().filter_map(|r| r.accepted.as_ref()).map(|b| b.counter.saturating_add(1));
        proposer.observe_ballot(counters.max().unwrap_or(0));
        let truncated = replies().filter(|reply| reply.has_more);
        let up_to = truncated.filter_map(|reply| reply.registers.last()).map(|last| last.key).min();
        let covered = listed().filter(|r| up_to.is_none_or(|u| r.key <= u));
        let queued = highest_ballots(covered);
        let resume_at = listing.started_at;
        *phase = BatchPhase::Reading(Reading { up_to, queued, in_flight: BTreeMap::new(), resume_at });
    }
}

/// The highest accepted ballot of each register.
fn highest_ballots<'a>(registers: impl Iterator<Item = &'a RegisterSummary>) -> BTreeMap<RecordKey, Ballot> {
    let mut highest: BTreeMap<RecordKey, Ballot> = BTreeMap::new();
    for RegisterSummary { key, accepted } in registers {
        let Some(ballot) = accepted else { continue };
        if highest.get(key).is_none_or(|known| known < ballot) {
            highest.insert(*key, ballot.clone());
        }
    }
    highest
}

/// Requests the lists of the reachable sources that have not replied.
fn request_lists(
    scope: &BatchScope,
    listing: &Listing,
    parts: &mut SyncParts<'_>,
    context: &mut Context<'_>,
) {
    let limit = u32::try_from(parts.settings.sync_batch).unwrap_or(u32::MAX);
    let body = Body::ListRequest { partition: scope.partition, after: scope.after, limit };
    let epoch = parts.acceptor.epoch();
    for to in listing.sources.iter().filter(|m| !listing.replies.contains_key(*m)) {
        if parts.proposer.can_reach(to) {
            let envelope = Envelope { to: to.clone(), epoch, request_id: 0, body: body.clone() };
            parts.outbound.send(envelope, &mut parts.proposer.counters, context);
        }
    }
}

/// Reads queued registers, up to `sync_batch` at a time.
fn start_reads(
    scope: &BatchScope,
    reading: &mut Reading,
    parts: &mut SyncParts<'_>,
    context: &mut Context<'_>,
) {
    while reading.in_flight.len() < parts.settings.sync_batch {
        let Some((key, ballot)) = reading.queued.pop_first() else { break };
        // A message that was merely delayed has arrived by now.
        if matches!(scope.task, Task::CatchUp(_)) && !is_behind(parts.acceptor, &key, &ballot) {
            continue;
        }
        reading.in_flight.insert(key, ballot);
        let timeout = TIMEOUT_INTERVALS * parts.settings.retransmit_interval_ms;
        let read = PendingRequest::new(Origin::ReplicaSync, key, Change::Read, context.now, timeout);
        parts.proposer.start(read, context);
    }
}

/// True if the local replica's value is older than that ballot.
fn is_behind(acceptor: &Acceptor, key: &RecordKey, ballot: &Ballot) -> bool {
    let accepted = acceptor.registers().get(key).and_then(|stored| stored.register.accepted.as_ref());
    accepted.is_none_or(|accepted| accepted.ballot < *ballot)
}
