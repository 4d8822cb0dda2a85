//! RelayThread: every directed link goes through one, which carries its bytes as its state says at that moment.
//!
//! A [`Link`] is the way of bytes from one party to another, whoever opened the connection: a relay before B that A connects to carries
//! A's bytes by the flow from A to B, and B's by the flow from B to A. So a cut of one way cuts it on all connections between the two.
//! All relays run on one thread; what waits in one is bounded, and a full one reads no more.

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use basaltgw_simulator::{draw, rng, Rng};
use event_listener::Event;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rustix::net::sockopt::set_socket_linger;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Bytes carried in one piece at most.
const PIECE: usize = 8 * 1024;
/// Pieces on their way in one direction of a connection; a relay that holds as many reads no more.
const UNDER_WAY: usize = 64;
/// How often a link that drips lets some bytes through.
const TICK: Duration = Duration::from_millis(10);
/// Connections of one relay; further ones are closed at once.
const MOST_CONNS: usize = 512;

/// How a flow carries bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Milliseconds that each piece takes, drawn from this range; order is kept.
    pub delay_ms: (f64, f64),
    /// Nothing moves, as through a cut cable: what was sent arrives once it heals, and new connections stay silent.
    pub cut: bool,
    /// Bytes vanish: those sent meanwhile never arrive.
    pub black_hole: bool,
    /// Bytes for each tick of 10 ms; as they come if `None`.
    pub bytes_per_tick: Option<usize>,
}

/// What a flow does once to one of the next pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkFault {
    /// Carries it twice.
    Duplicate,
    /// Changes one byte of it.
    Corrupt,
}

/// What a flow did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkStatistics {
    /// Bytes that were sent into it.
    pub received_bytes: u64,
    /// Bytes written on.
    pub delivered_bytes: u64,
    /// Bytes that vanished.
    pub dropped_bytes: u64,
    /// Pieces carried twice.
    pub duplicated_chunks: u64,
    /// Pieces with a byte changed.
    pub corrupted_chunks: u64,
    /// Connections reset.
    pub resets: u64,
    /// Pieces, and connections that were to come up, that waited for a cut to heal.
    pub delayed_by_cut: u64,
}

struct State {
    conditions: LinkConditions,
    once: Vec<ChunkFault>,
    resets: u64,
    carried: LinkStatistics,
    rng: Rng,
}

/// The way of bytes from one party to another; switched at any time, by any thread.
#[derive(Clone)]
pub struct Link(Arc<(Mutex<State>, Event)>);

impl Link {
    /// A flow that carries at once; what it draws comes from the seed and its number.
    pub fn new(seed: u64, number: u64) -> Self {
        let state = State {
            conditions: LinkConditions::default(),
            once: Vec::new(),
            resets: 0,
            carried: LinkStatistics::default(),
            rng: rng(seed, number),
        };
        Self(Arc::new((Mutex::new(state), Event::new())))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes how it carries from now on.
    pub fn configure(&self, change: impl FnOnce(&mut LinkConditions)) {
        change(&mut self.state().conditions);
        self.0 .1.notify(usize::MAX);
    }

    /// How it carries now.
    pub fn conditions(&self) -> LinkConditions {
        self.state().conditions
    }

    /// Cut, or healed.
    pub fn set_cut(&self, cut: bool) {
        self.configure(|s| s.cut = cut);
    }

    /// Does this to the next piece.
    pub fn inject(&self, fault: ChunkFault) {
        self.state().once.push(fault);
    }

    /// Resets all connections that it is on.
    pub fn reset_connections(&self) {
        self.state().resets += 1;
        self.0 .1.notify(usize::MAX);
    }

    /// What it did so far.
    pub fn statistics(&self) -> LinkStatistics {
        self.state().carried
    }

    /// Waits until that holds of its state.
    async fn until<T>(&self, look: impl Fn(&mut State) -> Option<T>) -> T {
        loop {
            let changed = self.0 .1.listen();
            if let Some(seen) = look(&mut self.state()) {
                return seen;
            }
            changed.await;
        }
    }

    /// Takes a piece in: when it may go on, or `None` if it vanishes.
    fn takes(&self, piece: &mut Vec<u8>) -> Option<Instant> {
        let mut state = self.state();
        let s = &mut *state;
        s.carried.received_bytes += piece.len() as u64;
        if s.conditions.black_hole {
            s.carried.dropped_bytes += piece.len() as u64;
            return None;
        }
        match s.once.pop() {
            Some(ChunkFault::Duplicate) => {
                piece.extend_from_within(..);
                s.carried.duplicated_chunks += 1;
            }
            Some(ChunkFault::Corrupt) => {
                let at = (draw(&mut s.rng) * piece.len() as f64) as usize;
                if let Some(byte) = piece.get_mut(at) {
                    *byte ^= 0x10;
                }
                s.carried.corrupted_chunks += 1;
            }
            None => {}
        }
        let (least, most) = s.conditions.delay_ms;
        let ms = least + (most - least).max(0.0) * draw(&mut s.rng);
        Some(Instant::now() + Duration::from_secs_f64(ms.max(0.0) / 1000.0))
    }

    /// Carries bytes one way until their source ends.
    async fn carry(&self, mut from: &Async<TcpStream>, mut to: &Async<TcpStream>) {
        let (pieces, due) = async_channel::bounded::<(Vec<u8>, Instant)>(UNDER_WAY);
        let reads = async move {
            let mut room = vec![0; PIECE];
            while let Ok(n @ 1..) = from.read(&mut room).await {
                let mut piece = room[..n].to_vec();
                if let Some(at) = self.takes(&mut piece) {
                    if pieces.send((piece, at)).await.is_err() {
                        return;
                    }
                }
            }
        };
        // It owns its end of the queue: once it has failed, reading ends too.
        let writes = async move {
            while let Ok((piece, at)) = due.recv().await {
                Timer::at(at).await;
                let mut left = &piece[..];
                while !left.is_empty() {
                    if self.conditions().cut {
                        self.state().carried.delayed_by_cut += 1;
                    }
                    let drip =
                        self.until(|s| (!s.conditions.cut).then_some(s.conditions.bytes_per_tick)).await;
                    let n = drip.unwrap_or(left.len()).clamp(1, left.len());
                    if to.write_all(&left[..n]).await.is_err() {
                        return;
                    }
                    self.state().carried.delivered_bytes += n as u64;
                    left = &left[n..];
                    if drip.is_some() {
                        Timer::after(TICK).await;
                    }
                }
            }
            // The end of a stream is news as well: a cut link does not carry it.
            self.until(|s| (!s.conditions.cut && !s.conditions.black_hole).then_some(())).await;
            let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
        };
        future::zip(reads, writes).await;
    }

    async fn is_reset(&self, from: u64) {
        self.until(|s| (s.resets != from).then_some(())).await;
        self.state().carried.resets += 1;
    }

    fn resets(&self) -> u64 {
        self.state().resets
    }
}

/// One relay: who connects to its address reaches the target.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// The way of the bytes of whoever connects.
    pub to_target: Link,
    /// The way of the answers.
    pub from_target: Link,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    /// Where it leads from now on; nowhere if `None`: connections are then reset.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = target;
    }

    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn run(self, executor: Rc<LocalExecutor<'static>>, listener: TcpListener) {
        let Ok(listener) = Async::new(listener) else { return };
        let open = Rc::new(());
        while let Ok((socket, _)) = listener.accept().await {
            if Rc::strong_count(&open) > MOST_CONNS {
                continue;
            }
            let (relay, one) = (self.clone(), Rc::clone(&open));
            let task = async move {
                relay.connection(&socket).await;
                drop(one);
            };
            executor.spawn(task).detach();
        }
    }

    async fn connection(&self, near: &Async<TcpStream>) {
        let marks = (self.to_target.resets(), self.from_target.resets());
        let _ = near.get_ref().set_nodelay(true);
        let carried = async {
            // A first message through a cut never comes: the connection stays silent.
            if self.to_target.conditions().cut {
                self.to_target.state().carried.delayed_by_cut += 1;
            }
            self.to_target.until(|s| (!s.conditions.cut && !s.conditions.black_hole).then_some(())).await;
            let Some(target) = self.target() else { return true };
            let Ok(far) = Async::<TcpStream>::connect(target).await else { return true };
            let _ = far.get_ref().set_nodelay(true);
            future::zip(self.to_target.carry(near, &far), self.from_target.carry(&far, near)).await;
            false
        };
        let reset = async {
            future::or(self.to_target.is_reset(marks.0), self.from_target.is_reset(marks.1)).await;
            true
        };
        if future::or(carried, reset).await {
            // With nothing to linger for, the close is a reset.
            let _ = set_socket_linger(near.get_ref(), Some(Duration::ZERO));
        }
    }
}

/// The thread that all relays run on; it ends when this is dropped.
pub struct RelayThread {
    new: Sender<(Relay, TcpListener)>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl RelayThread {
    /// Starts the thread.
    pub fn start() -> Result<Self, String> {
        let (new, relays) = async_channel::unbounded::<(Relay, TcpListener)>();
        let thread = std::thread::Builder::new().name("relays".into()).spawn(move || run(&relays));
        Ok(Self { new, thread: Some(thread.map_err(|e| e.to_string())?) })
    }

    /// A new relay on a port of its own.
    pub fn start_relay(
        &self,
        to_target: Link,
        from_target: Link,
        target: Option<SocketAddr>,
    ) -> Result<Relay, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("a relay's port: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let relay = Relay { address, to_target, from_target, target: Arc::new(Mutex::new(target)) };
        self.new.try_send((relay.clone(), listener)).map_err(|e| e.to_string())?;
        Ok(relay)
    }
}

fn run(relays: &Receiver<(Relay, TcpListener)>) {
    let executor = Rc::new(LocalExecutor::new());
    let takes = async {
        while let Ok((relay, listener)) = relays.recv().await {
            executor.spawn(relay.run(Rc::clone(&executor), listener)).detach();
        }
    };
    async_io::block_on(executor.run(takes));
}

impl Drop for RelayThread {
    fn drop(&mut self) {
        self.new.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
