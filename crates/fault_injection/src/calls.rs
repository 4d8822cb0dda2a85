//! The calls of the C library that are replaced. Each fails as its manual page says, or goes on to the kernel.

use crate::control::{stepped, strikes, wall_step_ms, Fault};
use libc::{c_int, c_long, c_void, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

/// What accept fails with: a connection that is gone already, and what the machine is short of.
const ACCEPT: [c_int; 4] = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// What connect fails with for want of local means, or of a way.
const CONNECT: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
/// What socket fails with.
const SOCKET: [c_int; 3] = [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// What a broken connection gives.
const BROKEN: [c_int; 2] = [libc::ETIMEDOUT, libc::EHOSTUNREACH];
/// What a disk gives.
const DISK: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// Fails a call.
fn fail(error: c_int) -> ssize_t {
    // SAFETY: the address of this thread's errno is always good.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The error of a fault that strikes now, out of these.
fn error_of(fault: Fault, errors: &[c_int]) -> Option<c_int> {
    strikes(fault).map(|drawn| errors[drawn % errors.len()])
}

/// Reads a clock; the wall clock is stepped.
///
/// # Safety
/// As for `clock_gettime` of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let done = libc::syscall(libc::SYS_clock_gettime, clock as c_long, time) as c_int;
    if done == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        *time = stepped(*time, wall_step_ms());
    }
    done
}

/// Accepts a connection, or fails.
///
/// # Safety
/// As for `accept4` of the C library.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = error_of(Fault::Accept, &ACCEPT) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_accept4, socket as c_long, address, length, flags as c_long) as c_int
}

/// Connects, or fails.
///
/// # Safety
/// As for `connect` of the C library.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(error) = error_of(Fault::Connect, &CONNECT) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_connect, socket as c_long, address, length as c_long) as c_int
}

/// Makes a socket, or fails.
///
/// # Safety
/// As for `socket` of the C library.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = error_of(Fault::Socket, &SOCKET) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_socket, domain as c_long, kind as c_long, protocol as c_long) as c_int
}

/// How many bytes are moved: one where a short transfer strikes.
fn length_moved(wanted: size_t) -> size_t {
    if wanted > 1 && strikes(Fault::Short).is_some() {
        1
    } else {
        wanted
    }
}

/// Receives, in part, or fails.
///
/// # Safety
/// As for `recv` of the C library.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if let Some(error) = error_of(Fault::Interrupted, &[libc::EINTR]) {
        return fail(error);
    }
    if let Some(error) = error_of(Fault::Broken, &BROKEN) {
        return fail(error);
    }
    let (nowhere, length) = (0 as c_long, length_moved(length));
    libc::syscall(libc::SYS_recvfrom, socket as c_long, buffer, length, flags as c_long, nowhere, nowhere)
        as ssize_t
}

/// Sends, in part, or fails.
///
/// # Safety
/// As for `send` of the C library.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if let Some(error) = error_of(Fault::Interrupted, &[libc::EINTR]) {
        return fail(error);
    }
    let (nowhere, length) = (0 as c_long, length_moved(length));
    libc::syscall(libc::SYS_sendto, socket as c_long, buffer, length, flags as c_long, nowhere, nowhere)
        as ssize_t
}

/// Syncs a file, or fails.
///
/// # Safety
/// As for `fsync` of the C library.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(error) = error_of(Fault::Sync, &DISK) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_fsync, file as c_long) as c_int
}

/// Syncs a file's bytes, or fails.
///
/// # Safety
/// As for `fdatasync` of the C library.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(error) = error_of(Fault::Sync, &DISK) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_fdatasync, file as c_long) as c_int
}

/// Writes to a file at a place, or fails.
///
/// # Safety
/// As for `pwrite64` of the C library.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    buffer: *const c_void,
    length: size_t,
    at: off64_t,
) -> ssize_t {
    if let Some(error) = error_of(Fault::FileWrite, &DISK) {
        return fail(error);
    }
    libc::syscall(libc::SYS_pwrite64, file as c_long, buffer, length, at) as ssize_t
}
