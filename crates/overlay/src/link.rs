//! State of one link, and what is known about the neighbor at its other end.

use crate::frame::{Part, StreamNames, MAX_HASHES};
use crate::update_log::StreamId;
use basaltgw_types::{Member, Ms};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Role of the neighbor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// This router dialed the neighbor.
    Parent,
    /// The neighbor dialed this router.
    Child,
    /// Both are control machines.
    Peer,
}

/// Level of a router in the dissemination tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Level {
    Control,
    Relay,
    /// A tier below the relays of a region.
    Tier,
}

/// Updates that the neighbor has requested.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchRequest {
    pub stream: StreamId,
    pub from: u64,
    pub to: u64,
    pub is_backfill: bool,
}

/// State of the neighbor at a time. Once all of its updates are known here, this router was as far as the neighbor at that time.
#[derive(Clone, Debug)]
pub(crate) struct SyncTarget {
    pub at: Ms,
    /// Milliseconds since the neighbor itself had caught up.
    pub age: Option<Ms>,
    pub recent: Vec<(StreamId, u64)>,
}

/// When this router was last as far as the neighbor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Synced {
    pub at: Ms,
    /// Milliseconds since the neighbor itself had caught up.
    pub age: Option<Ms>,
}

/// Queries of the neighbor that the next frame answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueryAnswers {
    /// Short hashes of updates that are not known here.
    unknown: Vec<[u8; 4]>,
    /// Full hashes of known updates.
    known: Vec<[u8; 8]>,
}

/// Link to a neighbor.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub member: Member,
    pub role: Role,
    pub level: Level,
    /// Whether the neighbor is in another region, or a control machine.
    pub is_outside: bool,
    pub established_at: Ms,
    pub last_received_at: Ms,
    /// Whether updates are pushed on the link.
    pub pushes: bool,
    /// Until when no push is requested from the neighbor.
    pub push_rejected_until: Ms,
    /// Last number of each stream that the neighbor has, or was sent.
    pub neighbor_last: BTreeMap<StreamId, u64>,
    /// Streams with updates to push or announce.
    pub dirty: BTreeSet<StreamId>,
    /// Parts of the next frame.
    pub parts: Vec<Part>,
    pub fetch_requests: VecDeque<FetchRequest>,
    pub names: StreamNames,
    /// The neighbor's key for the hashes of queried updates.
    pub hash_key: Option<u64>,
    pub answers: QueryAnswers,
    /// Earliest next push to a peer.
    pub next_push_at: Ms,
    pub next_announcement_at: Ms,
    pub next_digest_at: Ms,
    /// Consecutive digests that differed.
    pub differing_digests: u8,
    pub sync_target: Option<SyncTarget>,
    pub synced: Option<Synced>,
}

/// Largest number of spans that a neighbor may have requested, and of parts that wait for a frame.
const MAX_WAITING: usize = 128;

impl Link {
    pub fn new(now: Ms, member: Member, role: Role, level: Level, is_outside: bool) -> Self {
        Self {
            member,
            role,
            level,
            is_outside,
            established_at: now,
            last_received_at: now,
            pushes: role == Role::Peer,
            push_rejected_until: 0.0,
            neighbor_last: BTreeMap::new(),
            dirty: BTreeSet::new(),
            parts: Vec::new(),
            fetch_requests: VecDeque::new(),
            names: StreamNames::default(),
            hash_key: None,
            answers: QueryAnswers::default(),
            next_push_at: now,
            next_announcement_at: now,
            next_digest_at: now,
            differing_digests: 0,
            sync_target: None,
            synced: None,
        }
    }

    /// Adds a part to the next frame; false without capacity. A part that describes a whole state replaces an earlier one of its kind.
    pub fn enqueue(&mut self, part: Part) -> bool {
        let replaces_earlier = match &part {
            Part::Announcement(_) | Part::Digest(_) | Part::Buckets { .. } | Part::Vector(_) => true,
            Part::PushRequest { .. } | Part::PushRejected | Part::HashKey(_) | Part::LinkRejected => true,
            Part::Updates { .. } | Part::Fetch { .. } | Part::Unavailable { .. } => false,
            Part::Query(_) | Part::FullQuery(_) | Part::Unknown(_) | Part::Known(_) => false,
            Part::Escalation { .. } => false,
        };
        if replaces_earlier {
            self.parts.retain(|p| std::mem::discriminant(p) != std::mem::discriminant(&part));
        }
        let has_capacity = self.parts.len() < MAX_WAITING;
        if has_capacity {
            self.parts.push(part);
        }
        has_capacity
    }

    /// Moves the answers to queries into the next frame.
    pub fn enqueue_answers(&mut self) {
        let QueryAnswers { unknown, known } = std::mem::take(&mut self.answers);
        if !unknown.is_empty() {
            self.enqueue(Part::Unknown(unknown));
        }
        if !known.is_empty() {
            self.enqueue(Part::Known(known));
        }
    }

    /// Adds a request, which replaces an earlier one for the same stream; false without capacity.
    pub fn add_fetch_request(&mut self, request: FetchRequest) -> bool {
        self.fetch_requests.retain(|earlier| earlier.stream != request.stream);
        let has_capacity = self.fetch_requests.len() < MAX_WAITING;
        if has_capacity {
            self.fetch_requests.push_back(request);
        }
        has_capacity
    }

    /// Records that the neighbor has a stream up to a number, or was sent it.
    pub fn observe_last(&mut self, stream: StreamId, last: u64) {
        let neighbor_last = self.neighbor_last.entry(stream).or_insert(last);
        *neighbor_last = last.max(*neighbor_last);
    }
}

impl QueryAnswers {
    /// Adds unknown updates; false without capacity for all. The neighbor queries the others again.
    pub fn add_unknown(&mut self, hashes: &[[u8; 4]]) -> bool {
        extend(&mut self.unknown, hashes)
    }

    /// Adds known updates; false without capacity for all. The neighbor queries the others again.
    pub fn add_known(&mut self, hashes: &[[u8; 8]]) -> bool {
        extend(&mut self.known, hashes)
    }
}

fn extend<T: Copy>(hashes: &mut Vec<T>, more: &[T]) -> bool {
    let capacity = MAX_HASHES.saturating_sub(hashes.len());
    hashes.extend(more.iter().take(capacity));
    more.len() <= capacity
}
