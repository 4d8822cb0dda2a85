//! The file of 64-bit numbers that the harness shares with the process.
//!
//! The harness side is `basaltgw_emulator::faults`; both keep the order of [`Fault`].

use std::ffi::CString;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// The kinds of faults, by place in the file: the first half of the file has the setting of each, the second half its count of hits.
#[derive(Clone, Copy)]
pub enum Fault {
    /// Setting: milliseconds by which the wall clock is stepped, signed. Hits: readings of a stepped clock.
    WallClock,
    /// Setting: one accept in so many fails. 0 for none, as for all below.
    Accept,
    /// One connect in so many fails.
    Connect,
    /// One socket in so many is not made.
    Socket,
    /// One send or receive in so many moves a single byte.
    Short,
    /// One send or receive in so many is interrupted by a signal.
    Interrupted,
    /// One receive in so many finds its connection broken (ETIMEDOUT, EHOSTUNREACH).
    Broken,
    /// One sync of a file in so many fails.
    Sync,
    /// One write to a file in so many fails.
    FileWrite,
}

/// Kinds of faults.
pub const KINDS: usize = 9;

/// The shared file in memory; null until it is mapped, or if there is none.
static SHARED: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// Whether mapping was tried.
static TRIED: AtomicU64 = AtomicU64::new(0);
/// Numbers the calls that may fail.
static CALLS: AtomicU64 = AtomicU64::new(0);

/// The shared numbers, if the harness gave a file.
fn shared() -> Option<&'static [AtomicU64]> {
    if TRIED.swap(1, Ordering::SeqCst) == 0 {
        SHARED.store(map(), Ordering::SeqCst);
    }
    let start = SHARED.load(Ordering::SeqCst);
    // SAFETY: the mapping has room for all numbers, is aligned to a page and lasts until the process ends.
    (!start.is_null()).then(|| unsafe { std::slice::from_raw_parts(start, 2 * KINDS) })
}

/// Maps the file that `GW_FAULTS` names; null if there is none.
fn map() -> *mut AtomicU64 {
    let nothing = std::ptr::null_mut();
    let Some(path) = std::env::var("GW_FAULTS").ok().and_then(|path| CString::new(path).ok()) else {
        return nothing;
    };
    // SAFETY: a path that ends in NUL; the result is checked.
    let file = unsafe { libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC) };
    if file < 0 {
        return nothing;
    }
    let bytes = 2 * KINDS * std::mem::size_of::<u64>();
    // SAFETY: a new shared mapping of an open file; the result is checked.
    let at = unsafe {
        libc::mmap(nothing.cast(), bytes, libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED, file, 0)
    };
    // SAFETY: the descriptor is this function's own; the mapping stays without it.
    unsafe { libc::close(file) };
    if at == libc::MAP_FAILED {
        nothing
    } else {
        at.cast()
    }
}

/// Milliseconds by which the wall clock is stepped now.
pub fn wall_step_ms() -> i64 {
    let Some(shared) = shared() else { return 0 };
    let step = shared[Fault::WallClock as usize].load(Ordering::Relaxed) as i64;
    if step != 0 {
        count(shared, Fault::WallClock);
    }
    step
}

fn count(shared: &[AtomicU64], fault: Fault) {
    shared[KINDS + fault as usize].fetch_add(1, Ordering::Relaxed);
}

/// Whether this call fails: one in so many does, spread by a hash of its number. Gives a number to choose the error by.
pub fn strikes(fault: Fault) -> Option<usize> {
    let shared = shared()?;
    let one_in = shared[fault as usize].load(Ordering::Relaxed);
    if one_in == 0 {
        return None;
    }
    let drawn = scramble(CALLS.fetch_add(1, Ordering::Relaxed));
    if !drawn.is_multiple_of(one_in) {
        return None;
    }
    count(shared, fault);
    Some((drawn >> 32) as usize)
}

/// The finalizer of splitmix64.
fn scramble(number: u64) -> u64 {
    let z = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Adds milliseconds to a time of the system.
pub fn stepped(time: libc::timespec, step_ms: i64) -> libc::timespec {
    const NANOS: i64 = 1_000_000_000;
    // An absolute time in nanoseconds fits 64 bits until the year 2262.
    let nanos = time.tv_sec * NANOS + time.tv_nsec + step_ms * 1_000_000;
    let mut stepped = time;
    stepped.tv_sec = nanos.div_euclid(NANOS);
    stepped.tv_nsec = nanos.rem_euclid(NANOS);
    stepped
}
