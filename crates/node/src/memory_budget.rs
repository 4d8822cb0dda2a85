//! Division of the configured memory, and budgets of the memory that messages use.
//!
//! The configured memory is the sum of what the process needs by itself, [`CLIENT_CONNECTION_BYTES`] and [`SERVER_CONNECTION_BYTES`] for each
//! connection that may be open, and the rest, which messages may use beyond that. Requests and responses have separate budgets, because
//! the memory of a request is freed only by its response: if requests could use up the memory in which responses are read, neither would
//! ever be freed.

use crate::limits::{
    CLIENT_CONNECTIONS_MEMORY_SHARE, CLIENT_CONNECTION_BYTES, MESSAGES_MEMORY_SHARE, MIN_CLIENT_CONNECTIONS,
    MIN_MESSAGE_BYTES, MIN_SERVER_CONNECTIONS, PARTIAL_REQUEST_MEMORY_SHARE, PROCESS_GROWTH_BYTES,
    REQUEST_DELAY_MEMORY_SHARE, REQUEST_SHED_MEMORY_SHARE, REQUEST_STOP_MEMORY_SHARE,
    RESPONSE_SHED_MEMORY_SHARE, RESPONSE_STOP_MEMORY_SHARE, SERVER_CONNECTIONS_MEMORY_SHARE,
    SERVER_CONNECTION_BYTES,
};
use crate::outbox::BufferMeter;
use basaltgw_config::Limits;
use std::rc::Rc;

/// How many connections may be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Clients' connections.
    pub clients: usize,
    /// Connections to servers.
    pub servers: usize,
}

/// How the configured memory is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// What the process needs without connections.
    pub process_bytes: usize,
    /// The connections that may be open.
    pub connections: ConnectionCounts,
    /// What messages may use beyond the memory of their connections.
    pub message_bytes: usize,
    /// Whether the parts exceed the configured memory, since it is too small for the process.
    pub exceeds_limit: bool,
}

fn share_of(bytes: usize, share: f64) -> usize {
    (bytes as f64 * share) as usize
}

impl MemoryPlan {
    /// Divides the configured memory. `resident_bytes` is what the process uses at its start, and `most` the connections for which there are
    /// descriptors.
    pub fn new(limits: &Limits, resident_bytes: usize, most: ConnectionCounts) -> Self {
        let configured_bytes = limits.share_of_memory(1.0);
        let process_bytes = resident_bytes + PROCESS_GROWTH_BYTES;
        let for_connections = configured_bytes.saturating_sub(process_bytes);
        let within = |share: f64, each: usize, min: usize| (share_of(for_connections, share) / each).max(min);
        let connections = ConnectionCounts {
            clients: most.clients.min(within(
                CLIENT_CONNECTIONS_MEMORY_SHARE,
                CLIENT_CONNECTION_BYTES,
                MIN_CLIENT_CONNECTIONS,
            )),
            servers: most.servers.min(within(
                SERVER_CONNECTIONS_MEMORY_SHARE,
                SERVER_CONNECTION_BYTES,
                MIN_SERVER_CONNECTIONS,
            )),
        };
        let connection_bytes =
            connections.clients * CLIENT_CONNECTION_BYTES + connections.servers * SERVER_CONNECTION_BYTES;
        let for_messages = share_of(for_connections.saturating_sub(connection_bytes), MESSAGES_MEMORY_SHARE);
        let message_bytes = for_messages.max(MIN_MESSAGE_BYTES.min(configured_bytes));
        let exceeds_limit = process_bytes + connection_bytes + message_bytes > configured_bytes;
        Self { process_bytes, connections, message_bytes, exceeds_limit }
    }
}

/// Limits on the memory that messages of one direction use.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// Above this, reading from clients is delayed, for a bounded time.
    pub delay_bytes: usize,
    /// Above this, load is shed.
    pub shed_bytes: usize,
    /// Above this, nothing further is accepted.
    pub stop_bytes: usize,
    /// The most that partial messages use.
    pub partial_bytes: usize,
}

impl MemoryLimits {
    /// One limit for all purposes.
    pub fn uniform(bytes: usize) -> Self {
        Self { delay_bytes: bytes, shed_bytes: bytes, stop_bytes: bytes, partial_bytes: bytes }
    }
}

/// The memory that messages of one direction use, and its limits.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// Counts complete messages.
    pub meter: Rc<BufferMeter>,
    /// Counts partial messages.
    pub partial: Rc<BufferMeter>,
    limits: MemoryLimits,
}

impl MemoryBudget {
    /// A budget of which nothing is used.
    pub fn new(limits: MemoryLimits) -> Self {
        Self { meter: Rc::default(), partial: Rc::default(), limits }
    }

    /// The memory that is used.
    pub fn used_bytes(&self) -> usize {
        self.meter.total_bytes() + self.partial.total_bytes()
    }

    /// Whether reading from clients is delayed. Partial messages don't count, since nothing that the router does completes them.
    pub fn delays_reading(&self) -> bool {
        self.meter.total_bytes() > self.limits.delay_bytes
    }

    /// Whether load must be shed.
    pub fn must_shed(&self) -> bool {
        self.used_bytes() > self.limits.shed_bytes
    }

    /// Whether nothing further may be accepted.
    pub fn is_exhausted(&self) -> bool {
        self.used_bytes() > self.limits.stop_bytes
    }

    /// Whether a partial message may use this much more memory.
    pub fn admits_partial(&self, bytes: usize) -> bool {
        self.partial.total_bytes() + bytes <= self.limits.partial_bytes
            && self.used_bytes() + bytes <= self.limits.shed_bytes
    }

    /// Whether a server's answer of this many further bytes may be begun. One always may, so that answers are read at all.
    pub fn admits_answer(&self, bytes: usize) -> bool {
        self.partial.bytes() == 0 || self.used_bytes() + bytes <= self.limits.shed_bytes
    }

    /// Whether partial messages use so much memory that slow ones have to give way.
    pub fn lacks_partial_memory(&self) -> bool {
        self.partial.total_bytes() > self.limits.partial_bytes / 2
    }
}

/// The budgets of a router.
#[derive(Clone, Debug)]
pub struct MemoryBudgets {
    /// From the first byte read from a client to the last byte written to a server.
    pub requests: MemoryBudget,
    /// From the first byte read from a server to the last byte written to a client.
    pub responses: MemoryBudget,
}

impl MemoryBudgets {
    /// The budgets within the memory for messages.
    pub fn new(message_bytes: usize) -> Self {
        let share = |share: f64| share_of(message_bytes, share);
        let requests = MemoryLimits {
            delay_bytes: share(REQUEST_DELAY_MEMORY_SHARE),
            shed_bytes: share(REQUEST_SHED_MEMORY_SHARE),
            stop_bytes: share(REQUEST_STOP_MEMORY_SHARE),
            partial_bytes: share(PARTIAL_REQUEST_MEMORY_SHARE),
        };
        let responses = MemoryLimits {
            delay_bytes: share(RESPONSE_STOP_MEMORY_SHARE),
            shed_bytes: share(RESPONSE_SHED_MEMORY_SHARE),
            stop_bytes: share(RESPONSE_STOP_MEMORY_SHARE),
            partial_bytes: share(RESPONSE_STOP_MEMORY_SHARE),
        };
        Self { requests: MemoryBudget::new(requests), responses: MemoryBudget::new(responses) }
    }

    /// The bytes of messages buffered in both directions.
    pub fn buffered_bytes(&self) -> usize {
        self.meters().map(|meter| meter.bytes()).sum()
    }

    /// The memory that messages use in both directions.
    pub fn used_bytes(&self) -> usize {
        self.meters().map(|meter| meter.total_bytes()).sum()
    }

    fn meters(&self) -> impl Iterator<Item = &BufferMeter> {
        [&self.requests, &self.responses].into_iter().flat_map(|budget| [&*budget.meter, &*budget.partial])
    }
}
