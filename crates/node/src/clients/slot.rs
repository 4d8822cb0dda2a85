//! The slot of a client's connection, and the lingering close at its end.

use crate::clock::timed_out_after;
use crate::connection::{
    CloseReason, ConnectionEvent, ConnectionPhase, ConnectionSlots, ConnectionState, IdleReason,
};
use crate::limits::{
    CLIENT_WRITE_TIMEOUT, CLIENT_WRITE_TIMEOUT_AT_SHUTDOWN, LINGER_MAX_BYTES, LINGER_TIMEOUT,
    LINGER_TIMEOUT_WHEN_FULL, READ_BYTES,
};
use crate::socket::ReadBuffer;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The slot of one connection; dropping it frees the slot.
pub(super) struct ConnectionSlot {
    slots: Rc<ConnectionSlots>,
    lingering: Cell<bool>,
    linger_timeout: Cell<Duration>,
}

impl ConnectionSlot {
    pub(super) fn take(slots: &Rc<ConnectionSlots>) -> Self {
        slots.take();
        Self {
            slots: Rc::clone(slots),
            lingering: Cell::new(false),
            linger_timeout: Cell::new(LINGER_TIMEOUT),
        }
    }

    pub(super) fn slots(&self) -> &Rc<ConnectionSlots> {
        &self.slots
    }

    /// Completes, with an error, after the time in which a client must take at least one byte; shorter during shutdown.
    pub(super) async fn write_timeout(&self) -> io::Result<usize> {
        let at_shutdown = async {
            self.slots.accepting_stopped().await;
            timed_out_after(CLIENT_WRITE_TIMEOUT_AT_SHUTDOWN).await
        };
        let timed_out = future::or(timed_out_after(CLIENT_WRITE_TIMEOUT), at_shutdown).await;
        self.slots.count_stalled();
        timed_out
    }

    /// Shuts down the router's side and waits, up to the linger timeout, for the client's close, which the reader detects. Closing a socket
    /// with unread bytes, or bytes that arrive later, resets the connection, and answers that the client has not read are lost.
    pub(super) async fn linger(&self, socket: &Async<TcpStream>, state: &ConnectionState) {
        if let Err(e) = socket.get_ref().shutdown(Shutdown::Write) {
            log::debug!("shutdown of a client's socket failed: {e}");
        }
        state.apply(ConnectionEvent::WriteShutdown);
        // A client that sent no message has no answer that a reset could lose.
        if state.has_received() {
            self.lingering.set(true);
            self.slots.start_lingering();
            Timer::after(self.linger_timeout.get()).await;
            self.slots.count_lingered();
        }
    }

    /// Reads and discards until the client closes or [`LINGER_MAX_BYTES`] are discarded. After that, the connection ends when the writer
    /// does; if the writer has already shut down the router's side, it ends at once.
    pub(super) async fn discard(
        &self,
        socket: &Async<TcpStream>,
        buffer: &ReadBuffer,
        state: &ConnectionState,
        reason: CloseReason,
    ) {
        if reason == CloseReason::IdleClose(IdleReason::SlotNeeded) {
            self.linger_timeout.set(LINGER_TIMEOUT_WHEN_FULL);
        }
        let mut left = LINGER_MAX_BYTES;
        while left > 0 {
            match buffer.read(socket, || READ_BYTES, |_| {}).await {
                Ok(n) if n > 0 => {
                    if left == LINGER_MAX_BYTES && matches!(reason, CloseReason::IdleClose(_)) {
                        self.slots.count_unread();
                    }
                    left = left.saturating_sub(n);
                }
                Ok(_) | Err(_) => return,
            }
            future::yield_now().await;
        }
        if state.phase() != ConnectionPhase::HalfClosed {
            future::pending::<()>().await;
        }
        self.slots.count_lingered();
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.release();
        if self.lingering.get() {
            self.slots.stop_lingering();
        }
    }
}
