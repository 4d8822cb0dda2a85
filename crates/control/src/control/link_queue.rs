//! Messages that wait for a link, bounded for each router and in total.

use basaltgw_types::link::Lane;
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::{BTreeMap, VecDeque};

/// Limits of messages that wait for links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkQueueLimits {
    /// Longest wait of a message, in milliseconds.
    pub timeout: Ms,
    /// Messages that wait for one router.
    pub messages_per_router: usize,
    /// Bytes of the messages that wait for one router.
    pub bytes_per_router: usize,
    /// Messages that wait for all routers together.
    pub total_messages: usize,
    /// Bytes of the messages that wait for all routers together.
    pub total_bytes: usize,
}

/// Message that waits for a link to `to`.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    pub expires_at: Ms,
    pub number: u64,
    pub to: Member,
    pub lane: Lane,
    pub body: Vec<u8>,
}

/// Messages by router, in the order in which they were sent.
#[derive(Debug)]
pub(super) struct LinkQueue {
    limits: LinkQueueLimits,
    by_router: BTreeMap<RouterId, VecDeque<QueuedMessage>>,
    messages: usize,
    bytes: usize,
}

impl LinkQueue {
    pub fn new(limits: LinkQueueLimits) -> Self {
        Self { limits, by_router: BTreeMap::new(), messages: 0, bytes: 0 }
    }

    /// Longest wait of a message, in milliseconds.
    pub fn timeout(&self) -> Ms {
        self.limits.timeout
    }

    /// Whether a message of this size fits into the limits.
    pub fn has_capacity(&self, router: &RouterId, bytes: usize) -> bool {
        let queue = self.by_router.get(router);
        let (queued_messages, queued_bytes) = queue.map_or((0, 0), |q| (q.len(), total_bytes(q)));
        queued_messages < self.limits.messages_per_router
            && queued_bytes + bytes <= self.limits.bytes_per_router
            && self.messages < self.limits.total_messages
            && self.bytes + bytes <= self.limits.total_bytes
    }

    pub fn push(&mut self, message: QueuedMessage) {
        self.messages += 1;
        self.bytes += message.body.len();
        self.by_router.entry(message.to.router.clone()).or_default().push_back(message);
    }

    /// Removes all messages for a router.
    pub fn take(&mut self, router: &RouterId) -> VecDeque<QueuedMessage> {
        let messages = self.by_router.remove(router).unwrap_or_default();
        self.messages -= messages.len();
        self.bytes -= total_bytes(&messages);
        messages
    }

    /// Removes the messages that have waited too long. Messages for one router expire in their order.
    pub fn take_expired(&mut self, now: Ms) -> Vec<QueuedMessage> {
        let has_expired =
            |queue: &VecDeque<QueuedMessage>| queue.front().is_some_and(|first| first.expires_at <= now);
        let routers: Vec<RouterId> = self
            .by_router
            .iter()
            .filter(|(_, queue)| has_expired(queue))
            .map(|(router, _)| router.clone())
            .collect();
        let mut expired = Vec::new();
        for router in routers {
            for message in self.take(&router) {
                match message.expires_at <= now {
                    true => expired.push(message),
                    false => self.push(message),
                }
            }
        }
        expired
    }

    /// When the next message expires.
    pub fn next_expiry(&self) -> Ms {
        let first = self.by_router.values().filter_map(VecDeque::front);
        first.map(|message| message.expires_at).fold(Ms::INFINITY, Ms::min)
    }

    pub fn contains(&self, router: &RouterId) -> bool {
        self.by_router.contains_key(router)
    }

    pub fn len(&self) -> usize {
        self.messages
    }
}

fn total_bytes(messages: &VecDeque<QueuedMessage>) -> usize {
    messages.iter().map(|message| message.body.len()).sum()
}
