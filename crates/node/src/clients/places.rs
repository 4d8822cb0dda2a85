//! The places that clients' connections have, and the end of accepting.

use crate::clock::late;
use crate::limits::{
    CLIENT_STALLED, CLIENT_STALLED_AT_END, LINGER, LINGER_BYTES, LINGER_FOR_ROOM, READ_BYTES,
};
use crate::socket as io_socket;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use super::life::{Event, Life, Quiet, State};
use crate::inbox::Over;

/// The places of all clients' connections. One is taken until its socket is closed.
#[derive(Debug)]
pub struct Places {
    taken: Cell<usize>,
    /// Of these: our side is shut, and the socket is closed soon.
    lingering: Cell<usize>,
    /// Wishes to close that something crossed.
    crossed: Cell<u64>,
    /// Closes after which something came that was not read.
    unread: Cell<u64>,
    /// Closes that were not met by the client's own within the bound.
    lingered: Cell<u64>,
    /// Closes for want of any progress in writing.
    stalled: Cell<u64>,
    /// Closed once no more than the backlog is to be accepted.
    end: (Sender<()>, Receiver<()>),
}

impl Default for Places {
    fn default() -> Self {
        Self {
            taken: Cell::default(),
            lingering: Cell::default(),
            crossed: Cell::default(),
            unread: Cell::default(),
            lingered: Cell::default(),
            stalled: Cell::default(),
            end: async_channel::bounded(1),
        }
    }
}

fn up(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Places {
    /// Connections whose sockets are not closed.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Those of them that are closed within the bound of lingering.
    pub fn lingering(&self) -> usize {
        self.lingering.get()
    }

    /// Counts a wish to close that something crossed.
    pub fn crossed(&self) {
        up(&self.crossed);
    }

    /// Wishes that something crossed, closes with something unread behind them, closes that lingered to their bound, closes of clients
    /// that took no byte.
    pub fn counts(&self) -> [u64; 4] {
        [&self.crossed, &self.unread, &self.lingered, &self.stalled].map(Cell::get)
    }

    /// From now on only what is in the backlog is accepted.
    pub fn end(&self) {
        self.end.0.close();
    }

    /// Whether that is so.
    pub fn ending(&self) -> bool {
        self.end.0.is_closed()
    }

    /// Waits until it is so.
    pub async fn ended(&self) {
        // Nothing is ever sent.
        let _ = self.end.1.recv().await;
    }
}

/// A connection's place, free again when dropped.
pub(super) struct Place {
    places: Rc<Places>,
    lingers: Cell<bool>,
    /// For how long it may linger.
    bound: Cell<std::time::Duration>,
}

impl Place {
    pub(super) fn take(places: &Rc<Places>) -> Self {
        places.taken.set(places.taken.get() + 1);
        Self { places: Rc::clone(places), lingers: Cell::new(false), bound: Cell::new(LINGER) }
    }

    pub(super) fn of(&self) -> &Rc<Places> {
        &self.places
    }

    /// Waits until a client that takes no byte is taken for gone; at the end of the process that is sooner.
    pub(super) async fn stalled(&self) -> io::Result<usize> {
        let at_end = async {
            self.places.ended().await;
            late(CLIENT_STALLED_AT_END).await
        };
        let gone = future::or(late(CLIENT_STALLED), at_end).await;
        up(&self.places.stalled);
        gone
    }

    /// Shuts our side and waits for the client's end, which its reader sees; to a bound. A socket that is closed with bytes unread, or
    /// to which bytes come later, is reset, and what the client has not taken by then is lost.
    pub(super) async fn linger(&self, socket: &Async<TcpStream>, life: &Life) {
        if let Err(e) = socket.get_ref().shutdown(Shutdown::Write) {
            log::debug!("shut: {e}");
        }
        life.tell(Event::Shut);
        // To one that never sent a message nothing was written, and a reset takes nothing.
        if life.spoke() {
            self.lingers.set(true);
            self.places.lingering.set(self.places.lingering.get() + 1);
            Timer::after(self.bound.get()).await;
            up(&self.places.lingered);
        }
    }

    /// Reads what comes and keeps nothing of it, until the client's end or up to a bound, after which the writer's end decides.
    pub(super) async fn discard(&self, mut socket: &Async<TcpStream>, life: &Life, over: Over) {
        if over == Over::Quiet(Quiet::Room) {
            self.bound.set(LINGER_FOR_ROOM);
        }
        let mut piece = vec![0; READ_BYTES];
        let mut left = LINGER_BYTES;
        while left > 0 {
            match io_socket::read(&mut socket, &mut piece).await {
                Ok(n) if n > 0 => {
                    if left == LINGER_BYTES && matches!(over, Over::Quiet(_)) {
                        up(&self.places.unread);
                    }
                    left = left.saturating_sub(n);
                }
                Ok(_) | Err(_) => return,
            }
            future::yield_now().await;
        }
        if life.state() != State::HalfClosed {
            future::pending::<()>().await;
        }
        up(&self.places.lingered);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.taken.set(self.places.taken.get().saturating_sub(1));
        if self.lingers.get() {
            self.places.lingering.set(self.places.lingering.get().saturating_sub(1));
        }
    }
}
