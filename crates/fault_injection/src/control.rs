//! The file of 64-bit numbers that the harness shares with the process: the value of each fault, then the hits of each fault.
//!
//! `basaltgw_emulator::faults` is the harness's side; both sides have the order of [`Fault`].

use std::ffi::CString;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// A kind of fault, whose number is its index in both halves of the shared file.
#[derive(Clone, Copy)]
pub enum Fault {
    /// The wall clock is stepped by the value, in milliseconds, forward or backward. Hits are readings of the stepped clock.
    WallClock,
    /// One of `value` calls to accept a connection fails; none if the value is 0. The same applies to all faults below.
    Accept,
    /// Calls to connect fail.
    Connect,
    /// Calls to create a socket fail.
    Socket,
    /// Calls to send or receive transfer a single byte.
    Short,
    /// Calls to send or receive fail as if interrupted by a signal (EINTR).
    Interrupted,
    /// Calls to receive fail as on a broken connection (ETIMEDOUT, EHOSTUNREACH).
    Broken,
    /// Calls to sync a file fail.
    Sync,
    /// Calls to write to a file fail.
    FileWrite,
}

/// The number of kinds of faults.
pub const FAULT_KINDS: usize = 9;

/// The mapping of the shared file; null before it is mapped, or without a file.
static MAPPING: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// 1 once mapping the file was attempted.
static MAPPING_ATTEMPTED: AtomicU64 = AtomicU64::new(0);
/// The number of calls so far that a fault may hit.
static CALLS: AtomicU64 = AtomicU64::new(0);

/// The numbers in the shared file; `None` without a file.
fn shared_numbers() -> Option<&'static [AtomicU64]> {
    if MAPPING_ATTEMPTED.swap(1, Ordering::SeqCst) == 0 {
        MAPPING.store(map_shared_file(), Ordering::SeqCst);
    }
    let start = MAPPING.load(Ordering::SeqCst);
    // SAFETY: the mapping has room for all numbers, is aligned to a page and lasts until the process ends.
    (!start.is_null()).then(|| unsafe { std::slice::from_raw_parts(start, 2 * FAULT_KINDS) })
}

/// Maps the file that `GW_FAULTS` names; null without a file or if that fails.
fn map_shared_file() -> *mut AtomicU64 {
    let null = std::ptr::null_mut();
    let Some(path) = std::env::var("GW_FAULTS").ok().and_then(|path| CString::new(path).ok()) else {
        return null;
    };
    // SAFETY: the path ends in NUL, and the result is checked.
    let file = unsafe { libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC) };
    if file < 0 {
        return null;
    }
    let bytes = 2 * FAULT_KINDS * std::mem::size_of::<u64>();
    // SAFETY: this is a new shared mapping of an open file, and the result is checked.
    let mapping = unsafe {
        libc::mmap(null.cast(), bytes, libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED, file, 0)
    };
    // SAFETY: this function owns the descriptor; the mapping remains valid without it.
    unsafe { libc::close(file) };
    if mapping == libc::MAP_FAILED {
        null
    } else {
        mapping.cast()
    }
}

/// The milliseconds by which the wall clock is stepped.
pub fn wall_clock_step_ms() -> i64 {
    let Some(numbers) = shared_numbers() else { return 0 };
    let step = numbers[Fault::WallClock as usize].load(Ordering::Relaxed) as i64;
    if step != 0 {
        count_hit(numbers, Fault::WallClock);
    }
    step
}

fn count_hit(numbers: &[AtomicU64], fault: Fault) {
    numbers[FAULT_KINDS + fault as usize].fetch_add(1, Ordering::Relaxed);
}

/// Whether the fault hits this call, by a hash of the call's number; if so, a pseudorandom number to choose the error by.
pub fn hits(fault: Fault) -> Option<usize> {
    let numbers = shared_numbers()?;
    let one_in = numbers[fault as usize].load(Ordering::Relaxed);
    if one_in == 0 {
        return None;
    }
    let hash = splitmix64(CALLS.fetch_add(1, Ordering::Relaxed));
    if !hash.is_multiple_of(one_in) {
        return None;
    }
    count_hit(numbers, fault);
    Some((hash >> 32) as usize)
}

/// The finalizer of splitmix64.
fn splitmix64(number: u64) -> u64 {
    let z = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Adds a step in milliseconds to a time.
pub fn add_step(time: libc::timespec, step_ms: i64) -> libc::timespec {
    const NANOS: i64 = 1_000_000_000;
    // An absolute time in nanoseconds fits 64 bits until the year 2262.
    let nanos = time.tv_sec * NANOS + time.tv_nsec + step_ms * 1_000_000;
    let mut stepped = time;
    stepped.tv_sec = nanos.div_euclid(NANOS);
    stepped.tv_nsec = nanos.rem_euclid(NANOS);
    stepped
}
