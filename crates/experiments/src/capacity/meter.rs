//! Meters of a piece of work: memory from the allocator, and processor time of the thread.

use rustix::time::{clock_gettime, ClockId};

/// Memory that a piece of work took from the allocator. Only the current thread counts, so that runs may share the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allocations {
    /// Allocated bytes less freed bytes.
    pub retained_bytes: f64,
    /// The number of allocations; each reallocation counts as one.
    pub count: f64,
    /// Allocated bytes in total.
    pub total_bytes: f64,
}

impl Allocations {
    /// Adds the allocations of further work.
    pub fn add(&mut self, other: Self) {
        self.retained_bytes += other.retained_bytes;
        self.count += other.count;
        self.total_bytes += other.total_bytes;
    }
}

/// Runs `work` and returns by how many bytes the memory in use has grown.
pub fn retained_bytes(work: &mut dyn FnMut()) -> i64 {
    allocation_counter::measure(work).bytes_current
}

/// Runs `work` and returns its result and its allocations.
pub fn count_allocations<T>(work: impl FnOnce() -> T) -> (T, Allocations) {
    let mut result = None;
    let counted = allocation_counter::measure(|| result = Some(work()));
    let allocations = Allocations {
        retained_bytes: counted.bytes_current as f64,
        count: counted.count_total as f64,
        total_bytes: counted.bytes_total as f64,
    };
    (result.expect("the allocation counter runs the measured closure"), allocations)
}

/// Returns the processor time of this thread in microseconds.
fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Runs `work` and returns its result and its processor time in microseconds.
pub fn measure_cpu_us<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = thread_cpu_us();
    let result = work();
    (result, thread_cpu_us() - start)
}

/// Returns the minimum of repeated measurements, since other processes on the machine can only add to a processor time.
pub fn minimum(repetitions: usize, mut measure: impl FnMut() -> f64) -> f64 {
    (0..repetitions).map(|_| measure()).fold(f64::INFINITY, f64::min)
}
