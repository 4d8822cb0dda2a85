//! The owner's end of the fleet's rings and threads.

use super::config::{FleetSettings, ScatterGatherConfig};
use super::counters::{FleetCounts, LeaseCounters};
use super::message::PartMessage;
use super::purges::Purge;
use super::replication_thread::ReplicationError;
use super::{ControlNotification, ControlRequest};
use crate::caches::RequestNo;
use async_channel::Receiver;
use basaltgw_membership as membership;
use basaltgw_registers::{Change, Outcome, RecordKey, RequestFingerprint, RequestNumber};
use basaltgw_scatter_gather::Evidence;
use basaltgw_transport::{CommandError, Lane, LinkCommand, LinkEvent, Port, TransportHandle};
use basaltgw_types::{Member, Ms};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// The most changes and purges that wait for capacity in the ring. They are no more than the leased requests, since no request is leased
/// while one of them waits.
const MAX_BACKLOG: usize = 65_536;
/// How often the ring is polled for capacity during shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A requested change of a record, whose response is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingChange {
    /// The request that waits for the response.
    pub request: RequestNo,
    /// The key of the request's record.
    pub key: RecordKey,
}

/// The owner's ends of the rings to and from the replication thread.
pub(super) struct OwnerRings {
    pub(super) requests: rtrb::Producer<ControlRequest>,
    pub(super) notifications: rtrb::Consumer<ControlNotification>,
    /// Receives after a notification was pushed or a message was received.
    pub(super) wakeup: Receiver<()>,
}

/// The fleet's threads.
pub(super) struct FleetThreads {
    pub(super) replication: JoinHandle<Result<(), ReplicationError>>,
    pub(super) transport: TransportHandle,
}

/// What is passed to the owner when the fleet has started.
pub(super) struct FleetParts {
    pub(super) me: Member,
    pub(super) settings: FleetSettings,
    pub(super) rings: OwnerRings,
    pub(super) threads: Option<FleetThreads>,
    pub(super) port: Port,
    pub(super) scatter_gather: Option<ScatterGatherConfig>,
    pub(super) published_counts: Arc<Mutex<FleetCounts>>,
}

/// The queue of requests to the replication thread.
struct RequestQueue {
    ring: rtrb::Producer<ControlRequest>,
    /// Requests that must not be lost and wait for capacity in the ring, in order.
    backlog: VecDeque<ControlRequest>,
}

impl RequestQueue {
    /// Pushes the backlog as far as the ring has capacity; true if it is empty.
    fn flush(&mut self) -> bool {
        while let Some(request) = self.backlog.pop_front() {
            if let Err(rtrb::PushError::Full(request)) = self.ring.push(request) {
                self.backlog.push_front(request);
                return false;
            }
        }
        true
    }

    /// Pushes a request after the backlog; false if the ring is full.
    fn push(&mut self, request: ControlRequest) -> bool {
        self.flush() && self.ring.push(request).is_ok()
    }
}

/// The fleet as the owner sees it.
pub struct Fleet {
    /// This router, with the incarnation of its data folder.
    pub me: Member,
    /// Settings of leases and purges.
    pub settings: FleetSettings,
    /// Changes whose response is awaited.
    pub pending: BTreeMap<RequestNumber, PendingChange>,
    /// The counters of leases.
    pub counters: LeaseCounters,
    /// Whether purges from before this start of the process are known, or everything was purged instead.
    pub purges_known: bool,
    /// The fault for which the process has to end.
    pub fault: Option<String>,
    /// Until when input may be stale after a pause of the process, in milliseconds of the router's clock.
    pub stale_input_until: Ms,
    /// Whether the threads were asked to end.
    pub shutting_down: bool,
    /// The configuration of scatter-gather requests, until the owner takes it.
    pub scatter_gather: Option<ScatterGatherConfig>,
    /// Receives after a notification was pushed or a message was received.
    pub wakeup: Receiver<()>,
    last_number: u64,
    requests: RequestQueue,
    notifications: rtrb::Consumer<ControlNotification>,
    /// `None` once the threads have ended.
    pub(super) threads: Option<FleetThreads>,
    /// The links to other routers' owners.
    port: Port,
    handles_scatter_gather: bool,
    published_counts: Arc<Mutex<FleetCounts>>,
}

impl Fleet {
    pub(super) fn new(parts: FleetParts) -> Self {
        let FleetParts { me, settings, rings, threads, port, scatter_gather, published_counts } = parts;
        Self {
            me,
            settings,
            pending: BTreeMap::new(),
            counters: LeaseCounters::default(),
            purges_known: false,
            fault: None,
            stale_input_until: 0.0,
            shutting_down: false,
            handles_scatter_gather: scatter_gather.is_some(),
            scatter_gather,
            wakeup: rings.wakeup,
            last_number: 0,
            requests: RequestQueue { ring: rings.requests, backlog: VecDeque::new() },
            notifications: rings.notifications,
            threads,
            port,
            published_counts,
        }
    }

    /// Pushes a request after the backlog; false if the ring is full.
    fn push(&mut self, request: ControlRequest) -> bool {
        let pushed = self.requests.push(request);
        self.counters.ring_full += u64::from(!pushed);
        self.wake_replication_thread();
        pushed
    }

    /// Pushes a request that must not be lost, or queues it until the ring has capacity.
    fn push_or_queue(&mut self, request: ControlRequest) {
        if self.requests.backlog.len() >= MAX_BACKLOG {
            self.counters.backlog_dropped += 1;
            return;
        }
        self.requests.backlog.push_back(request);
        let pushed = self.requests.flush();
        self.counters.ring_full += u64::from(!pushed);
        self.wake_replication_thread();
    }

    fn wake_replication_thread(&self) {
        if let Some(threads) = &self.threads {
            threads.replication.thread().unpark();
        }
    }

    /// Pushes the backlog as far as the ring has capacity; true if it is empty.
    pub fn flush(&mut self) -> bool {
        self.requests.flush()
    }

    /// Requests a change of a request's record within `timeout` milliseconds; `None` if the ring is full.
    pub fn change_record(
        &mut self,
        request: RequestNo,
        key: RecordKey,
        change: Change,
        timeout: Ms,
    ) -> Option<RequestNumber> {
        self.last_number += 1;
        let number = RequestNumber(self.last_number);
        if !self.push(ControlRequest::ChangeRecord { number, key, change, timeout }) {
            return None;
        }
        self.pending.insert(number, PendingChange { request, key });
        Some(number)
    }

    /// Requests a change of a record without a time limit; nobody waits for its response.
    pub fn change_in_background(&mut self, key: RecordKey, change: Change) {
        self.push_or_queue(ControlRequest::ChangeInBackground(key, change));
    }

    /// Stores the outcome of a leased request in the background.
    pub fn complete(&mut self, key: RecordKey, term: u32, outcome: Outcome) {
        self.change_in_background(key, Change::Complete(self.me.clone(), term, outcome));
    }

    /// Releases the lease of a request that was not executed, in the background. The term identifies the lease, since the request may have
    /// been leased again since.
    pub fn release(&mut self, key: RecordKey, term: u32) {
        self.change_in_background(key, Change::Release(self.me.clone(), term));
    }

    /// Replicates a purge of the change log.
    pub fn replicate_purge(&mut self, purge: Purge) {
        if self.settings.replicate_purges {
            self.push_or_queue(ControlRequest::Purge(purge));
        }
    }

    /// Proposes placement rules, by file name and text.
    pub fn propose_rules(&mut self, file: String, text: String) {
        self.push_or_queue(ControlRequest::Rules { file_name: file, text });
    }

    /// Reports a site's health to other routers. The report is advisory and is dropped if the ring is full.
    pub fn report_evidence(&mut self, evidence: Evidence) {
        let Evidence { site, missed, answered, latency_ms, age_ms } = evidence;
        let evidence = membership::Evidence { site: site.0, missed, answered, latency_ms, age_ms };
        self.push(ControlRequest::ReportEvidence(evidence));
    }

    /// The outcome to store for a served request: without the body if that is too long, or if nothing tells whose it is.
    pub fn stored_outcome(&self, request: Option<RequestFingerprint>, body: &[u8]) -> Outcome {
        match request {
            Some(request) if body.len() <= self.settings.max_outcome_bytes => {
                Outcome::ServedRequest { request, body: body.to_vec() }
            }
            Some(_) | None => Outcome::ServedBodyOmitted,
        }
    }

    /// The next notification of the replication thread.
    pub fn next_notification(&mut self) -> Option<ControlNotification> {
        if !self.handles_scatter_gather {
            self.drop_unsolicited_messages();
        }
        self.notifications.pop().ok()
    }

    fn drop_unsolicited_messages(&mut self) {
        for event in self.port.by_ref() {
            self.counters.unsolicited += u64::from(matches!(event, LinkEvent::MessageReceived { .. }));
        }
    }

    /// Sends a message to another router's owner. If the link fails to write it, [`LinkEvent::SendFailed`] has this `number`; 0 for no such
    /// event.
    ///
    /// # Errors
    /// If the ring is full or the message too long for a frame.
    pub fn send(&mut self, number: u64, to: &Member, message: &PartMessage) -> Result<(), CommandError> {
        let (to, body) = (to.clone(), message.encode());
        self.port.send(LinkCommand::Send { number, to, lane: Lane::ScatterGather, body })
    }

    /// The next event of the links to other routers' owners.
    pub fn next_link_event(&mut self) -> Option<LinkEvent> {
        self.port.next()
    }

    /// The cause, if a thread of the fleet has ended unexpectedly; the other threads are then ended too.
    pub fn unexpected_end(&mut self) -> Option<String> {
        let ended =
            |threads: &FleetThreads| threads.replication.is_finished() || threads.transport.has_ended();
        if self.shutting_down || !self.threads.as_ref().is_some_and(ended) {
            return None;
        }
        Some(self.shut_down().unwrap_or_else(|| "a thread of the fleet has ended unexpectedly".to_string()))
    }

    /// Ends the threads in order, after they have handled all earlier requests; returns the cause if one ended unexpectedly.
    pub fn shut_down(&mut self) -> Option<String> {
        self.shutting_down = true;
        let unanswered = self.pending.keys().copied().collect();
        self.requests.backlog.push_back(ControlRequest::Shutdown(unanswered));
        let FleetThreads { replication, transport } = self.threads.take()?;
        // The thread ends only when it receives the shutdown request.
        while !self.flush() && !replication.is_finished() {
            replication.thread().unpark();
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        replication.thread().unpark();
        let replication = match replication.join() {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some("the replication thread ended in a panic".to_string()),
        };
        // The transport thread ends when the replication thread drops its port.
        let transport = transport.join().err().map(|e| e.to_string());
        transport.or(replication)
    }

    /// The counters, as `name=value` pairs separated by spaces.
    pub fn counters_text(&self) -> String {
        let mut text = self.counters.to_string();
        if let Ok(counts) = self.published_counts.lock() {
            text.push_str(&counts.to_string());
        }
        text
    }
}
