//! The replaced functions of the C library. Each fails with an error of its manual page, or makes the system call.

use crate::control::{add_step, hits, wall_clock_step_ms, Fault};
use libc::{c_int, c_long, c_void, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

/// Errors of accept: the connection was already closed, or the system lacks resources.
const ACCEPT_ERRORS: [c_int; 4] = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// Errors of connect: the system lacks local addresses or memory, or there is no route.
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
/// Errors of socket: the system lacks resources.
const SOCKET_ERRORS: [c_int; 3] = [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// Errors of a receive on a broken connection.
const BROKEN_CONNECTION_ERRORS: [c_int; 2] = [libc::ETIMEDOUT, libc::EHOSTUNREACH];
/// Errors of a full or faulty disk.
const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// Sets `errno` and returns the result of a failed call.
fn fail(error: c_int) -> ssize_t {
    // SAFETY: the address of this thread's errno is always valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// One of these errors if the fault hits this call.
fn injected_error(fault: Fault, errors: &[c_int]) -> Option<c_int> {
    hits(fault).map(|number| errors[number % errors.len()])
}

/// Reads a clock, with the step added to the wall clock.
///
/// # Safety
/// As for `clock_gettime` of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock as c_long, time) as c_int;
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        *time = add_step(*time, wall_clock_step_ms());
    }
    result
}

/// Accepts a connection unless [`Fault::Accept`] hits.
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
    if let Some(error) = injected_error(Fault::Accept, &ACCEPT_ERRORS) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_accept4, socket as c_long, address, length, flags as c_long) as c_int
}

/// Connects a socket unless [`Fault::Connect`] hits.
///
/// # Safety
/// As for `connect` of the C library.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(error) = injected_error(Fault::Connect, &CONNECT_ERRORS) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_connect, socket as c_long, address, length as c_long) as c_int
}

/// Creates a socket unless [`Fault::Socket`] hits.
///
/// # Safety
/// As for `socket` of the C library.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = injected_error(Fault::Socket, &SOCKET_ERRORS) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_socket, domain as c_long, kind as c_long, protocol as c_long) as c_int
}

/// The bytes to transfer: a single one if [`Fault::Short`] hits.
fn transfer_length(requested: size_t) -> size_t {
    if requested > 1 && hits(Fault::Short).is_some() {
        1
    } else {
        requested
    }
}

/// Receives from a socket unless [`Fault::Interrupted`] or [`Fault::Broken`] hits.
///
/// # Safety
/// As for `recv` of the C library.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if let Some(error) = injected_error(Fault::Interrupted, &[libc::EINTR]) {
        return fail(error);
    }
    if let Some(error) = injected_error(Fault::Broken, &BROKEN_CONNECTION_ERRORS) {
        return fail(error);
    }
    let (no_address, length) = (0 as c_long, transfer_length(length));
    libc::syscall(
        libc::SYS_recvfrom,
        socket as c_long,
        buffer,
        length,
        flags as c_long,
        no_address,
        no_address,
    ) as ssize_t
}

/// Sends to a socket unless [`Fault::Interrupted`] hits.
///
/// # Safety
/// As for `send` of the C library.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if let Some(error) = injected_error(Fault::Interrupted, &[libc::EINTR]) {
        return fail(error);
    }
    let (no_address, length) = (0 as c_long, transfer_length(length));
    libc::syscall(libc::SYS_sendto, socket as c_long, buffer, length, flags as c_long, no_address, no_address)
        as ssize_t
}

/// Syncs a file's data and metadata unless [`Fault::Sync`] hits.
///
/// # Safety
/// As for `fsync` of the C library.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(error) = injected_error(Fault::Sync, &DISK_ERRORS) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_fsync, file as c_long) as c_int
}

/// Syncs a file's data unless [`Fault::Sync`] hits.
///
/// # Safety
/// As for `fdatasync` of the C library.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(error) = injected_error(Fault::Sync, &DISK_ERRORS) {
        return fail(error) as c_int;
    }
    libc::syscall(libc::SYS_fdatasync, file as c_long) as c_int
}

/// Writes to a file at an offset unless [`Fault::FileWrite`] hits.
///
/// # Safety
/// As for `pwrite64` of the C library.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    buffer: *const c_void,
    length: size_t,
    offset: off64_t,
) -> ssize_t {
    if let Some(error) = injected_error(Fault::FileWrite, &DISK_ERRORS) {
        return fail(error);
    }
    libc::syscall(libc::SYS_pwrite64, file as c_long, buffer, length, offset) as ssize_t
}
