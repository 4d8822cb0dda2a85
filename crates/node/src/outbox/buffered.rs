//! Accounting of the bytes that messages buffer.

use std::cell::Cell;
use std::rc::Rc;

/// The number of bytes that the messages of one connection, or of all connections, buffer.
#[derive(Debug, Default)]
pub struct BufferMeter(Cell<usize>);

impl BufferMeter {
    /// Bytes buffered now.
    pub fn bytes(&self) -> usize {
        self.0.get()
    }

    fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }

    fn subtract(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }
}

/// Bytes that are counted at meters until they are dropped.
#[derive(Debug)]
pub struct BufferedBytes {
    bytes: Vec<u8>,
    meters: Vec<Rc<BufferMeter>>,
}

impl BufferedBytes {
    /// Counts bytes at these meters until they are dropped.
    pub fn new(bytes: Vec<u8>, meters: &[&Rc<BufferMeter>]) -> Self {
        meters.iter().for_each(|m| m.add(bytes.len()));
        Self { bytes, meters: meters.iter().map(|m| Rc::clone(m)).collect() }
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Other bytes in place of these, counted at the same meters.
    pub(super) fn replaced(&self, bytes: Vec<u8>) -> Self {
        let meters: Vec<&Rc<BufferMeter>> = self.meters.iter().collect();
        Self::new(bytes, &meters)
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.meters.iter().for_each(|m| m.subtract(self.bytes.len()));
    }
}

/// A variable number of bytes counted at a meter, such as a partial message; subtracted when dropped.
#[derive(Debug)]
pub struct BufferReservation {
    meter: Rc<BufferMeter>,
    bytes: usize,
}

impl BufferReservation {
    /// A reservation of no bytes.
    pub fn new(meter: &Rc<BufferMeter>) -> Self {
        Self { meter: Rc::clone(meter), bytes: 0 }
    }

    /// Changes the number of bytes.
    pub fn set(&mut self, bytes: usize) {
        self.meter.subtract(self.bytes);
        self.meter.add(bytes);
        self.bytes = bytes;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
