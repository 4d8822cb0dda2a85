//! Budgets of the memory that messages buffer.
//!
//! Requests and responses have separate budgets, because the memory of a request is freed only by its response: if requests could use up the
//! memory in which responses are read, neither would ever be freed.

use crate::limits::{
    REQUEST_DELAY_MEMORY_SHARE, REQUEST_SHED_MEMORY_SHARE, REQUEST_STOP_MEMORY_SHARE,
    RESPONSE_SHED_MEMORY_SHARE, RESPONSE_STOP_MEMORY_SHARE,
};
use crate::outbox::BufferMeter;
use basaltgw_config::Limits;
use std::rc::Rc;

/// Limits on the bytes that messages of one direction buffer.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// Above this, reading from clients is delayed, for a bounded time.
    pub delay_bytes: usize,
    /// Above this, load is shed.
    pub shed_bytes: usize,
    /// Above this, no further message is begun to be read.
    pub stop_bytes: usize,
}

impl MemoryLimits {
    /// One limit for all purposes.
    pub fn uniform(bytes: usize) -> Self {
        Self { delay_bytes: bytes, shed_bytes: bytes, stop_bytes: bytes }
    }
}

/// The bytes that messages of one direction buffer, and their limits.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// Counts the bytes.
    pub meter: Rc<BufferMeter>,
    limits: MemoryLimits,
}

impl MemoryBudget {
    /// A budget of which nothing is used.
    pub fn new(limits: MemoryLimits) -> Self {
        Self { meter: Rc::default(), limits }
    }

    /// Whether reading from clients is delayed.
    pub fn delays_reading(&self) -> bool {
        self.meter.bytes() > self.limits.delay_bytes
    }

    /// Whether load must be shed.
    pub fn must_shed(&self) -> bool {
        self.meter.bytes() > self.limits.shed_bytes
    }

    /// Whether no further message may be begun to be read.
    pub fn stops_reading(&self) -> bool {
        self.meter.bytes() > self.limits.stop_bytes
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
    /// The budgets within the configured memory.
    pub fn new(limits: &Limits) -> Self {
        let requests = MemoryLimits {
            delay_bytes: limits.share_of_memory(REQUEST_DELAY_MEMORY_SHARE),
            shed_bytes: limits.share_of_memory(REQUEST_SHED_MEMORY_SHARE),
            stop_bytes: limits.share_of_memory(REQUEST_STOP_MEMORY_SHARE),
        };
        let responses = MemoryLimits {
            delay_bytes: limits.share_of_memory(RESPONSE_STOP_MEMORY_SHARE),
            shed_bytes: limits.share_of_memory(RESPONSE_SHED_MEMORY_SHARE),
            stop_bytes: limits.share_of_memory(RESPONSE_STOP_MEMORY_SHARE),
        };
        Self { requests: MemoryBudget::new(requests), responses: MemoryBudget::new(responses) }
    }

    /// The bytes buffered in both directions.
    pub fn buffered_bytes(&self) -> usize {
        self.requests.meter.bytes() + self.responses.meter.bytes()
    }
}
