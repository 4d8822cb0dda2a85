//! Accounting of the bytes that messages buffer.

use std::cell::Cell;
use std::rc::Rc;

/// The memory that the messages of one connection, or of all connections, use.
#[derive(Debug, Default)]
pub struct BufferMeter {
    bytes: Cell<usize>,
    overhead_bytes: Cell<usize>,
}

impl BufferMeter {
    /// Bytes of messages buffered now.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// The memory used now: the buffered bytes, and what the process needs beside them to keep the messages.
    pub fn total_bytes(&self) -> usize {
        self.bytes.get() + self.overhead_bytes.get()
    }

    fn add(&self, size: MessageSize) {
        self.bytes.set(self.bytes.get() + size.bytes);
        self.overhead_bytes.set(self.overhead_bytes.get() + size.overhead_bytes);
    }

    fn subtract(&self, size: MessageSize) {
        self.bytes.set(self.bytes.get().saturating_sub(size.bytes));
        self.overhead_bytes.set(self.overhead_bytes.get().saturating_sub(size.overhead_bytes));
    }
}

/// The memory that a message uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageSize {
    /// Its bytes.
    pub bytes: usize,
    /// What the process needs beside them to keep it.
    pub overhead_bytes: usize,
}

/// Bytes that are counted at meters until they are dropped.
#[derive(Debug)]
pub struct BufferedBytes {
    bytes: Vec<u8>,
    overhead_bytes: usize,
    meters: Vec<Rc<BufferMeter>>,
}

impl BufferedBytes {
    /// Counts bytes at these meters until they are dropped.
    pub fn new(bytes: Vec<u8>, meters: &[&Rc<BufferMeter>]) -> Self {
        Self::with_overhead(bytes, 0, meters)
    }

    /// Counts bytes, and the memory that is needed beside them, at these meters until they are dropped.
    pub fn with_overhead(bytes: Vec<u8>, overhead_bytes: usize, meters: &[&Rc<BufferMeter>]) -> Self {
        let buffered = Self { bytes, overhead_bytes, meters: meters.iter().map(|m| Rc::clone(m)).collect() };
        buffered.meters.iter().for_each(|m| m.add(buffered.size()));
        buffered
    }

    fn size(&self) -> MessageSize {
        MessageSize { bytes: self.bytes.len(), overhead_bytes: self.overhead_bytes }
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Other bytes in place of these, counted at the same meters.
    pub(super) fn replaced(&self, bytes: Vec<u8>) -> Self {
        let meters: Vec<&Rc<BufferMeter>> = self.meters.iter().collect();
        Self::with_overhead(bytes, self.overhead_bytes, &meters)
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.meters.iter().for_each(|m| m.subtract(self.size()));
    }
}

/// Memory counted at a meter, such as that of a partial message; subtracted when dropped.
#[derive(Debug)]
pub struct BufferReservation {
    meter: Rc<BufferMeter>,
    size: MessageSize,
}

impl BufferReservation {
    /// A reservation of no memory.
    pub fn new(meter: &Rc<BufferMeter>) -> Self {
        Self::of(meter, MessageSize::default())
    }

    /// A reservation of this much memory.
    pub fn of(meter: &Rc<BufferMeter>, size: MessageSize) -> Self {
        meter.add(size);
        Self { meter: Rc::clone(meter), size }
    }

    /// The reserved bytes of messages.
    pub fn bytes(&self) -> usize {
        self.size.bytes
    }

    /// Changes the bytes of messages.
    pub fn set(&mut self, bytes: usize) {
        self.resize(MessageSize { bytes, ..self.size });
    }

    /// Changes what is needed beside the bytes of messages.
    pub fn set_overhead(&mut self, overhead_bytes: usize) {
        self.resize(MessageSize { overhead_bytes, ..self.size });
    }

    fn resize(&mut self, size: MessageSize) {
        self.meter.subtract(self.size);
        self.meter.add(size);
        self.size = size;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.meter.subtract(self.size);
    }
}
