//! Scatter-gather requests, if the router's settings enable them. The engine of `crates/scatter_gather` decides; its fetches become
//! sub-requests here.
//!
//! A sub-request for a part of this router's branch is admitted like a client's request, under an id of its own; a part of another branch is
//! requested from a router of that branch. A partial answer may leave a continuation: a replicated record of the missing parts, under
//! which the client requests them at any router. A scatter-gather request has a number of the request table, so that its client's
//! connection and the fleet's responses refer to it like to any request.
//!
//! - `admission`: admits a request and hands it to the engine; `dispatch`: events, actions and timers of the engine;
//! - `sub_requests`: the attempts at parts; `peers` and `peer_messages`: parts requested from other routers, and by them;
//! - `answers` and `continuations`: how a request ends.

mod admission;
mod answers;
mod continuations;
mod counters;
mod dispatch;
mod peer_messages;
mod peers;
mod sub_requests;

use super::requester::ClientRequest;
use crate::caches::RequestNo;
use crate::clients::parts::{self, PartsAnswer};
use crate::clients::RequestMessage;
use crate::fleet::purges::{Purge, Purges};
use crate::fleet::{Policies, ScatterGatherConfig};
use crate::outbox::BufferedBytes;
use basaltgw::api::{Class, ClassId, Idempotency, Ms};
use basaltgw_scatter_gather as scatter_gather;
use basaltgw_scatter_gather::{
    AttemptNo, Event, GatherEngine, GatherNo, InvalidSetting, PartNo, Settings, Site, UsedPart,
};
use continuations::Continuation;
use counters::ScatterGatherCounters;
use peers::Peers;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Scatter-gather requests open at once: as many requests as some hundred clients may have open.
const MAX_OPEN_GATHERS: usize = 1024;

/// An attempt at a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SubRequestKey {
    pub(super) gather: GatherNo,
    pub(super) attempt: AttemptNo,
}

/// The progress of a scatter-gather request.
enum Stage {
    /// The continuation that the client names is being read.
    ReadingContinuation,
    /// The parts are being gathered.
    Gathering,
    /// The answer waits until the continuation of the missing parts is stored.
    StoringContinuation(Box<PartialAnswer>),
}

/// A partial answer before it is sent.
struct PartialAnswer {
    continuation: Continuation,
    response: PartsAnswer,
    bodies: Vec<BufferedBytes>,
    /// The time of the engine's verdict.
    decided_at: Ms,
}

/// A requested part, and the branch that has it.
type RequestedPart = (PartNo, Site);

/// A client's scatter-gather request.
struct OpenGather {
    client: ClientRequest,
    class: ClassId,
    request: Box<RequestMessage>,
    parts: Vec<RequestedPart>,
    deadline: Ms,
    /// The continuation that the client names, if any.
    continuation: Option<Continuation>,
    stage: Stage,
}

/// Where an attempt at a part is executed.
enum Location {
    /// Nowhere: the attempt is not admitted yet, or has ended.
    None,
    /// A request to this router's caches.
    Local(RequestNo),
    /// A part request to another router.
    Remote {
        /// The number that this router gave the part request.
        number: u64,
    },
}

/// An attempt at a part that is in flight, or whose bytes are buffered.
struct SubRequest {
    location: Location,
    started_at: Ms,
    body: Option<BufferedBytes>,
}

/// The engine's events, queued because they can arise while another event is handled.
#[derive(Default)]
struct EventQueue {
    queue: VecDeque<Event>,
    is_dispatching: bool,
}

/// The time at which the engine wants an event, and the time of the owner's timer.
#[derive(Default)]
struct Wakeup {
    requested_at: Option<Ms>,
    timer_at: Option<Ms>,
}

/// The scatter-gather requests of this router's clients, and the parts that other routers request.
pub(super) struct ScatterGather {
    config: ScatterGatherConfig,
    engine: GatherEngine,
    pub(super) policies: Arc<Policies>,
    purges: Purges,
    open: BTreeMap<GatherNo, OpenGather>,
    sub_requests: BTreeMap<SubRequestKey, SubRequest>,
    peers: Peers,
    events: EventQueue,
    wakeup: Wakeup,
    /// The id of the last sub-request.
    last_id: u64,
    counters: ScatterGatherCounters,
}

impl ScatterGather {
    pub(super) fn new(config: ScatterGatherConfig) -> Result<Self, InvalidSetting> {
        let settings = Settings {
            max_pending_requests: MAX_OPEN_GATHERS,
            max_parts: parts::MAX_PARTS,
            ..Settings::default()
        };
        let seed = config.seed as u64;
        Ok(Self {
            engine: GatherEngine::new(settings, seed)?,
            policies: Arc::default(),
            purges: Purges::default(),
            open: BTreeMap::new(),
            sub_requests: BTreeMap::new(),
            peers: Peers::new(seed),
            events: EventQueue::default(),
            wakeup: Wakeup::default(),
            last_id: (config.seed >> 64) as u64,
            counters: ScatterGatherCounters::default(),
            config,
        })
    }

    /// Counts a request whose client cancelled it before the owner took it.
    pub(super) fn count_early_cancel(&mut self) {
        self.counters.requests += 1;
        self.counters.cancelled += 1;
    }

    fn class(&self, class: ClassId) -> Option<&Class> {
        self.config.classes.get(class.0)
    }

    fn is_idempotent(&self, class: ClassId) -> bool {
        self.class(class).is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// The known purges of an object or its group that have not converged.
    fn purges_of(&self, group: u64, object: u64) -> Vec<Purge> {
        let is_relevant =
            |purge: &Purge| purge.group == group && purge.object.is_none_or(|purged| purged == object);
        self.purges.all().filter(is_relevant).collect()
    }

    /// Removes the bodies of an answer's parts from the sub-requests; `None` if one is missing.
    fn take_bodies(&mut self, gather: GatherNo, used: &[UsedPart]) -> Option<Vec<(PartNo, BufferedBytes)>> {
        let take = |used: &UsedPart| {
            let key = SubRequestKey { gather, attempt: used.attempt };
            Some((used.part, self.sub_requests.remove(&key)?.body?))
        };
        used.iter().map(take).collect()
    }
}

/// Converts a purge to the engine's type.
fn engine_purge(purge: Purge) -> scatter_gather::Purge {
    scatter_gather::Purge { group: purge.group, object: purge.object, time: purge.time }
}
