//! One direction of a link between two endpoints: it passes on the bytes that one sends the other on all their connections, and injects
//! faults.
//!
//! A partition of one direction therefore affects all connections between the two, whichever of them opened the connection.

use async_io::{Async, Timer};
use basaltgw_simulator::{draw, rng, Rng};
use event_listener::Event;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The largest chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 8 * 1024;
/// Chunks in transit on one direction of a connection; at this limit nothing more is read.
const MAX_CHUNKS_IN_TRANSIT: usize = 64;
/// The interval at which a throttled link delivers some bytes.
const THROTTLE_TICK: Duration = Duration::from_millis(10);
/// The bit that is inverted in a corrupted byte.
const CORRUPTED_BIT: u8 = 0x10;

/// How a link treats all bytes until its conditions are changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// The range of each chunk's delay, in milliseconds. Delays are random; the order of chunks is kept.
    pub delay_ms: (f64, f64),
    /// Whether the link is cut: it delivers nothing until it heals, and then everything. New connections are established only then.
    pub cut: bool,
    /// Whether the link discards all bytes.
    pub black_hole: bool,
    /// Bytes delivered in each tick of 10 ms; unlimited if `None`.
    pub bytes_per_tick: Option<usize>,
}

/// A fault that affects one chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkFault {
    /// The chunk is delivered twice.
    Duplicate,
    /// One byte of the chunk is changed.
    Corrupt,
}

/// Counters of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkStatistics {
    /// Bytes that were sent into the link.
    pub received_bytes: u64,
    /// Bytes that the link delivered.
    pub delivered_bytes: u64,
    /// Bytes that the link discarded.
    pub dropped_bytes: u64,
    /// Chunks delivered twice.
    pub duplicated_chunks: u64,
    /// Chunks with a changed byte.
    pub corrupted_chunks: u64,
    /// Connections that the link reset.
    pub resets: u64,
    /// Chunks, and connection attempts, that waited for a cut to heal.
    pub delayed_by_cut: u64,
}

impl std::ops::AddAssign for LinkStatistics {
    fn add_assign(&mut self, other: Self) {
        self.received_bytes += other.received_bytes;
        self.delivered_bytes += other.delivered_bytes;
        self.dropped_bytes += other.dropped_bytes;
        self.duplicated_chunks += other.duplicated_chunks;
        self.corrupted_chunks += other.corrupted_chunks;
        self.resets += other.resets;
        self.delayed_by_cut += other.delayed_by_cut;
    }
}

struct State {
    conditions: LinkConditions,
    /// Faults of the next chunks; the next chunk gets the last of them.
    chunk_faults: Vec<ChunkFault>,
    /// How often a reset of all connections was requested.
    reset_requests: u64,
    statistics: LinkStatistics,
    rng: Rng,
}

/// One direction of a link. Any thread may change its conditions at any time.
#[derive(Clone)]
pub struct Link {
    state: Arc<Mutex<State>>,
    changed: Arc<Event>,
}

impl Link {
    /// A link without faults. Its random delays and bytes depend on the seed and its number.
    pub fn new(seed: u64, number: u64) -> Self {
        let state = State {
            conditions: LinkConditions::default(),
            chunk_faults: Vec::new(),
            reset_requests: 0,
            statistics: LinkStatistics::default(),
            rng: rng(seed, number),
        };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::new(Event::new()) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes the link's conditions.
    pub fn configure(&self, change: impl FnOnce(&mut LinkConditions)) {
        change(&mut self.state().conditions);
        self.changed.notify(usize::MAX);
    }

    /// The link's conditions.
    pub fn conditions(&self) -> LinkConditions {
        self.state().conditions
    }

    /// Cuts or heals the link.
    pub fn set_cut(&self, cut: bool) {
        self.configure(|conditions| conditions.cut = cut);
    }

    /// Applies a fault to the next chunk.
    pub fn inject(&self, fault: ChunkFault) {
        self.state().chunk_faults.push(fault);
    }

    /// Resets all connections on the link.
    pub fn reset_connections(&self) {
        self.state().reset_requests += 1;
        self.changed.notify(usize::MAX);
    }

    /// The link's counters.
    pub fn statistics(&self) -> LinkStatistics {
        self.state().statistics
    }

    /// Waits until `get` returns a value for the link's state; checks it after every change.
    async fn wait_for<T>(&self, get: impl Fn(&State) -> Option<T>) -> T {
        loop {
            let changed = self.changed.listen();
            if let Some(value) = get(&self.state()) {
                return value;
            }
            changed.await;
        }
    }

    /// Waits until the link is neither cut nor a black hole.
    async fn wait_until_open(&self) {
        self.wait_for(|state| (!state.conditions.cut && !state.conditions.black_hole).then_some(())).await;
    }

    /// Waits until a new connection may be established: the first packet of a connection does not pass a cut.
    pub(super) async fn wait_until_connectable(&self) {
        self.count_if_cut();
        self.wait_until_open().await;
    }

    fn count_if_cut(&self) {
        let mut state = self.state();
        state.statistics.delayed_by_cut += u64::from(state.conditions.cut);
    }

    /// The number of resets requested so far, for [`Link::wait_for_reset`].
    pub(super) fn reset_requests(&self) -> u64 {
        self.state().reset_requests
    }

    /// Waits until a reset is requested after the first `earlier_requests`, and counts it.
    pub(super) async fn wait_for_reset(&self, earlier_requests: u64) {
        self.wait_for(|state| (state.reset_requests != earlier_requests).then_some(())).await;
        self.state().statistics.resets += 1;
    }

    /// Copies bytes from one connection to the other until the source ends, under the link's conditions.
    pub(super) async fn copy(&self, from: &Async<TcpStream>, to: &Async<TcpStream>) {
        let (sender, receiver) = async_channel::bounded::<DelayedChunk>(MAX_CHUNKS_IN_TRANSIT);
        // Each half owns its end of the queue: if delivery fails, the queue is closed, and reading ends too.
        future::zip(self.read_chunks(from, sender), self.deliver_chunks(receiver, to)).await;
    }

    async fn read_chunks(&self, mut from: &Async<TcpStream>, chunks: async_channel::Sender<DelayedChunk>) {
        let mut buffer = vec![0; MAX_CHUNK_BYTES];
        while let Ok(n @ 1..) = from.read(&mut buffer).await {
            if let Some(chunk) = self.receive(buffer[..n].to_vec()) {
                if chunks.send(chunk).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Applies faults to a chunk and draws its delay; `None` if the link discards it.
    fn receive(&self, mut bytes: Vec<u8>) -> Option<DelayedChunk> {
        let mut state = self.state();
        let state = &mut *state;
        state.statistics.received_bytes += bytes.len() as u64;
        if state.conditions.black_hole {
            state.statistics.dropped_bytes += bytes.len() as u64;
            return None;
        }
        match state.chunk_faults.pop() {
            Some(ChunkFault::Duplicate) => {
                bytes.extend_from_within(..);
                state.statistics.duplicated_chunks += 1;
            }
            Some(ChunkFault::Corrupt) => {
                let index = (draw(&mut state.rng) * bytes.len() as f64) as usize;
                if let Some(byte) = bytes.get_mut(index) {
                    *byte ^= CORRUPTED_BIT;
                }
                state.statistics.corrupted_chunks += 1;
            }
            None => {}
        }
        let (min, max) = state.conditions.delay_ms;
        let delay_ms = min + (max - min).max(0.0) * draw(&mut state.rng);
        let deliver_at = Instant::now() + Duration::from_secs_f64(delay_ms.max(0.0) / 1000.0);
        Some(DelayedChunk { bytes, deliver_at })
    }

    async fn deliver_chunks(&self, chunks: async_channel::Receiver<DelayedChunk>, to: &Async<TcpStream>) {
        while let Ok(chunk) = chunks.recv().await {
            Timer::at(chunk.deliver_at).await;
            if self.deliver(&chunk.bytes, to).await.is_err() {
                return;
            }
        }
        // The end of the stream does not pass a cut either.
        self.wait_until_open().await;
        let _ = to.get_ref().shutdown(Shutdown::Write);
    }

    async fn deliver(&self, mut bytes: &[u8], mut to: &Async<TcpStream>) -> std::io::Result<()> {
        while !bytes.is_empty() {
            self.count_if_cut();
            let conditions = |state: &State| (!state.conditions.cut).then_some(state.conditions);
            let limit = self.wait_for(conditions).await.bytes_per_tick;
            let n = limit.unwrap_or(bytes.len()).clamp(1, bytes.len());
            to.write_all(&bytes[..n]).await?;
            self.state().statistics.delivered_bytes += n as u64;
            bytes = &bytes[n..];
            if limit.is_some() {
                Timer::after(THROTTLE_TICK).await;
            }
        }
        Ok(())
    }
}

/// A chunk in transit.
struct DelayedChunk {
    bytes: Vec<u8>,
    deliver_at: Instant,
}
