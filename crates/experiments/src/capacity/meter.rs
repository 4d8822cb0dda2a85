//! What a piece of work takes: bytes by the allocator, and processor time of its thread.

use rustix::time::{clock_gettime, ClockId};

/// What was taken from the allocator. It counts each thread for itself, so that runs may go side by side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Taken {
    /// Bytes that are still held: taken less given back.
    pub held: f64,
    /// Pieces taken; one that grows is taken anew.
    pub pieces: f64,
    /// Bytes taken in all.
    pub bytes: f64,
}

impl Taken {
    /// This and more.
    pub fn add(&mut self, more: Self) {
        let Self { held, pieces, bytes } = more;
        (self.held, self.pieces, self.bytes) = (self.held + held, self.pieces + pieces, self.bytes + bytes);
    }
}

/// Does something; gives by how many bytes more are held after it.
pub fn grown(work: &mut dyn FnMut()) -> i64 {
    allocation_counter::measure(work).bytes_current
}

/// Does something; gives what came of it and what it took from the allocator.
pub fn taken<T>(work: impl FnOnce() -> T) -> (T, Taken) {
    let mut done = None;
    let c = allocation_counter::measure(|| done = Some(work()));
    let (held, pieces, bytes) = (c.bytes_current as f64, c.count_total as f64, c.bytes_total as f64);
    (done.expect("what is measured is done"), Taken { held, pieces, bytes })
}

/// Processor time of this thread so far, in microseconds.
pub fn processor_us() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as f64 * 1e6 + t.tv_nsec as f64 / 1e3
}

/// Does something; gives what came of it and its processor time in microseconds.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let begun = processor_us();
    let done = work();
    (done, processor_us() - begun)
}

/// The processor time in microseconds that something takes, done so many times: the least, since others on the machine only add to it.
pub fn least(times: usize, mut work: impl FnMut() -> f64) -> f64 {
    (0..times).map(|_| work()).fold(f64::INFINITY, f64::min)
}
